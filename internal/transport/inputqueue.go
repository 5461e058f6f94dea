package transport

import (
	"net"
	"slices"
	"sync"
	"time"
)

// The work that the input of a client connection causes is counted in the parser's steps. A connection has the credit of a usual
// request and spends it with every read, every step and every response that reaches no endpoint. Without credit it goes on in turns:
// of all such connections one at a time works, for a short while, and then the processor is free of them for longer. So the input of
// one client, or of many, delays the answers that others are owed by no more than one turn.
const (
	inputCredit    = 4096 // steps; some 60 us of work
	creditInterval = time.Second
	turnSteps      = 16384
	stepsPerRead   = 100
	bytesPerStep   = 256 // of a read
	stepsPerReply  = 500
	minTurnPause   = 500 * time.Microsecond
	maxTurnPause   = 20 * time.Millisecond
	pauseFactor    = 3        // a pause lasts so many times as long as the turn before it
	turnReadBytes  = 16 << 10 // of one read in a turn
	turnReads      = 64
)

// New connections above this rate begin in turns, too: clients that come again as soon as they are turned away cost as much as those
// that send much.
const (
	newConnectionBurst    = 64
	newConnectionInterval = 2 * time.Millisecond
)

// turnClass is the priority of a connection that waits for a turn.
type turnClass uint8

const (
	turnBegin    turnClass = iota // its first request; goes before the others
	turnContinue                  // it has used up its credit
	turnClasses
)

// inputQueue gives turns to connections, by class and then first come, first served.
type inputQueue struct {
	mu       sync.Mutex
	busy     bool // a turn or the pause after it lasts
	waiting  [turnClasses][]*turnWaiter
	tokens   int // new connections that may begin without a turn
	tokensAt time.Time
	buffer   []byte // belongs to the connection that has the turn
}

// turnWaiter is one wait for a turn.
type turnWaiter struct {
	class   turnClass
	granted chan struct{} // closed once the turn begins
}

// newInputQueue returns an inputQueue in which nobody waits.
func newInputQueue() *inputQueue {
	return &inputQueue{tokens: newConnectionBurst, tokensAt: time.Now()}
}

// admitNew reports whether a new connection may begin without a turn.
func (q *inputQueue) admitNew() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refill := int(time.Since(q.tokensAt) / newConnectionInterval); refill > 0 {
		q.tokens = min(q.tokens+refill, newConnectionBurst)
		q.tokensAt = time.Now()
	}
	if q.tokens == 0 {
		return false
	}
	q.tokens--
	return true
}

// enqueue begins a wait for a turn. It ends with the turn or with cancel.
func (q *inputQueue) enqueue(class turnClass) *turnWaiter {
	w := &turnWaiter{class: class, granted: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[class] = append(q.waiting[class], w)
	q.grantNext()
	return w
}

// grantNext begins the next turn if there is none. q.mu is held.
func (q *inputQueue) grantNext() {
	for class := range q.waiting {
		if waiting := q.waiting[class]; !q.busy && len(waiting) > 0 {
			q.waiting[class] = waiting[1:]
			q.busy = true
			close(waiting[0].granted)
		}
	}
}

// cancel ends a wait, and the turn if it has begun meanwhile.
func (q *inputQueue) cancel(w *turnWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting[w.class], w); at >= 0 {
		q.waiting[w.class] = slices.Delete(q.waiting[w.class], at, at+1)
		return
	}
	q.busy = false
	q.grantNext()
}

// release ends a turn that began at the given time. The next one begins after a pause.
func (q *inputQueue) release(began time.Time) {
	pause := min(max(pauseFactor*time.Since(began), minTurnPause), maxTurnPause)
	time.AfterFunc(pause, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.busy = false
		q.grantNext()
	})
}

// readBuffer returns the buffer of the connection that has the turn.
func (q *inputQueue) readBuffer() []byte {
	if q.buffer == nil {
		q.buffer = make([]byte, turnReadBytes)
	}
	return q.buffer
}

// readPending reads what has arrived on a connection, up to the limit of a turn, and passes it on in pieces until
// onRead returns false. The caller has the turn.
// It returns the error of the last read and whether anything was read.
func (q *inputQueue) readPending(conn net.Conn, onRead func([]byte) bool) (read bool, err error) {
	buf := q.readBuffer()
	for range turnReads {
		if peek(conn) == peekNothing {
			break
		}
		var n int
		n, err = conn.Read(buf)
		more := onRead(buf[:n])
		read = read || n > 0
		if err != nil || !more {
			break
		}
	}
	return read, err
}

// credit is what the input of a connection may still cost before it has to wait for a turn.
type credit struct {
	steps      int
	refilledAt time.Time
}

// available returns the steps that are left, and refills the credit if that is due.
func (c *credit) available() int {
	if time.Since(c.refilledAt) >= creditInterval {
		c.refill()
	}
	return c.steps
}

// spend takes a number of steps off the credit.
func (c *credit) spend(steps int) { c.steps -= steps }

// spendRead takes the cost of a read of n bytes off the credit.
func (c *credit) spendRead(n int) { c.spend(stepsPerRead + n/bytesPerStep) }

// refill restores the whole credit.
func (c *credit) refill() { *c = credit{inputCredit, time.Now()} }

// grantTurn replaces the credit by that of a turn.
func (c *credit) grantTurn() { *c = credit{turnSteps, time.Now()} }
