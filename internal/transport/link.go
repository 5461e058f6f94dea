package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// task is one request on its way over a connection.
type task struct {
	done     func(routing.Result)
	deadline time.Time
	hurried  bool // the deadline is that of an answer which has begun
	probe    bool
	opened   func() // called when a connection is opened for it

	mu       sync.Mutex
	progress routing.Progress
	writing  bool
	wrote    chan struct{} // closed when the write has ended
	broke    error         // what ended it while it was being written
	over     bool
	after    func() bool
}

// finish reports the end of the task, once.
func (t *task) finish(r routing.Result) {
	t.mu.Lock()
	over, after := t.over, t.after
	t.over = true
	t.mu.Unlock()
	if over {
		return
	}
	if after != nil {
		after()
	}
	t.done(r)
}

// fail reports that the task ended without an answer. While it is being written it waits for the end of that:
// before, nobody knows whether the request may have run.
func (t *task) fail(err error) {
	t.mu.Lock()
	if t.writing {
		if t.broke == nil {
			t.broke = err
		}
		t.mu.Unlock()
		return
	}
	progress := t.progress
	t.mu.Unlock()
	t.finish(routing.Result{Err: &routing.AttemptError{Progress: progress, Err: err}})
}

func (t *task) startWriting() {
	t.mu.Lock()
	t.writing, t.progress, t.wrote = true, routing.PartlyWritten, make(chan struct{})
	t.mu.Unlock()
}

// wasWritten takes the end of the write, and returns what ended the task meanwhile.
func (t *task) wasWritten(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	close(t.wrote)
	if err == nil && t.progress < routing.FullyWritten {
		t.progress = routing.FullyWritten
	}
	if t.broke != nil {
		return t.broke
	}
	return err
}

// settle guards against taking a prompt answer for an early one: it can come before the goroutine that wrote the
// request has run on from its write. A connection was closed for nothing then, and the next request paid for a new one.
func (t *task) settle() {
	t.mu.Lock()
	writing, wrote := t.writing, t.wrote
	t.mu.Unlock()
	if writing {
		select {
		case <-wrote:
		case <-time.After(writeGrace):
		}
	}
}

// writeGrace is how long an answer waits for the end of its request's write before it counts as early.
const writeGrace = time.Second / 4

// answered notes that part of an answer has come. It tells whether that was before the request was out, and whether it
// is the first part.
func (t *task) answered() (early, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.progress < routing.FullyWritten {
		return true, false
	}
	first = t.progress < routing.Answering
	t.progress = routing.Answering
	return false, first
}

// wholeWithin is how long an answer may take from its first byte to its last.
const wholeWithin = 3 * time.Second / 4

// hurry brings the task's deadline forward.
func (t *task) hurry(until time.Time) {
	if until.Before(t.deadline) {
		t.deadline, t.hurried = until, true
	}
}

// onEnd has f run when the task ends, or now if it has.
func (t *task) onEnd(f func() bool) {
	t.mu.Lock()
	over := t.over
	t.after = f
	t.mu.Unlock()
	if over {
		f()
	}
}

// link is one connection to a destination. Its reader runs for as long as it stands, so the end of an idle
// connection is seen when it comes.
type link struct {
	home *ConnectionPool
	to   *routing.Endpoint
	conn net.Conn
	once sync.Once

	mu      sync.Mutex
	machine protocol.Parser
	task    *task     // on its way, nil while idle
	used    bool      // it has brought an answer
	since   time.Time // idle since then
	dead    bool
}

// begin gives an idle connection a task, if it still stands. The look guards against one that its peer has closed, or
// sent something over, while the reader has not run yet: a request written to it would count as one that may have run,
// and what came would pass for its answer.
func (k *link) begin(t *task) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || k.task != nil || peek(k.conn) != peekNothing {
		k.close()
		return false
	}
	k.task = t
	k.conn.SetReadDeadline(t.deadline)
	return true
}

// write sends a task's request.
func (k *link) write(t *task, text net.Buffers) {
	k.conn.SetWriteDeadline(t.deadline)
	t.startWriting()
	_, err := text.WriteTo(k.conn)
	k.wrote(t, err)
}

func (k *link) wrote(t *task, err error) {
	if err := t.wasWritten(err); err != nil {
		k.end(t, err)
	}
}

// release gives back a connection that was not used.
func (k *link) release(t *task) {
	k.mu.Lock()
	mine := k.task == t
	if mine {
		k.rest()
	}
	k.mu.Unlock()
	if mine {
		k.home.put(k)
	}
}

func (k *link) rest() {
	k.task = nil
	k.since = time.Now()
	k.conn.SetReadDeadline(k.since.Add(k.home.IdleTimeout))
}

// close ends the connection. k.mu is held.
func (k *link) close() {
	k.dead = true
	k.once.Do(func() {
		k.conn.Close()
		k.home.ConnectionLimiter.Release()
	})
}

// end ends a task without an answer: first the connection, so that no second copy can be out, then the task.
func (k *link) end(t *task, err error) {
	k.mu.Lock()
	if k.task == t {
		k.task = nil
		k.close()
	}
	k.mu.Unlock()
	t.fail(err)
}

// read takes all that comes over the connection until it ends.
func (k *link) read() {
	defer func() {
		if p := recover(); p != nil { // it stops here; the attempt ends as one that may have run
			k.home.Log.Error("panic at a destination", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
		k.mu.Lock()
		t := k.task
		k.task = nil
		k.close()
		k.mu.Unlock()
		k.home.remove(k)
		if t != nil {
			t.fail(errPanic)
		}
	}()
	buf := make([]byte, 4<<10)
	for {
		n, err := k.conn.Read(buf)
		if t := k.current(); t != nil && n > 0 {
			t.settle()
		}
		t, msg, err, stays := k.took(buf[:n], err)
		switch {
		case msg != nil && stays:
			k.home.put(k)
			t.finish(k.home.result(msg, t.probe))
		case msg != nil:
			t.finish(k.home.result(msg, t.probe))
		case err != nil:
			k.end(t, err)
		}
		if !stays {
			return
		}
	}
}

func (k *link) current() *task {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.task
}

// took handles what one read brought. It returns the task with the answer or the error that ends it, and whether the
// connection stays.
func (k *link) took(p []byte, err error) (t *task, msg *protocol.Message, broke error, stays bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t = k.task
	if t == nil { // idle: its end, its time, or bytes that nobody asked for
		k.close()
		return nil, nil, nil, false
	}
	used, early := 0, false
	if len(p) > 0 {
		var first bool
		early, first = t.answered()
		if used, msg, broke = k.machine.Feed(p); broke != nil {
			broke = fmt.Errorf("%w: %w", errSpoilt, broke)
		} else if early && (k.used || msg != nil && msg.Status() == 200) {
			// It came before the request was out: what is left of an earlier answer, or nobody's.
			msg, broke = nil, fmt.Errorf("%w: it came before its request", errSpoilt)
		} else if first && msg == nil {
			// A spoilt answer can stop short of its length and its connection stay open: the time is not waited out.
			t.hurry(time.Now().Add(wholeWithin))
			k.conn.SetReadDeadline(t.deadline)
		}
	}
	if msg == nil && broke == nil && err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(t.deadline) {
			return t, nil, nil, true // the time of the rest before: the task has set its own
		}
		broke = err
		if t.hurried && errors.Is(err, os.ErrDeadlineExceeded) {
			broke = fmt.Errorf("%w: it stops short", errSpoilt)
		}
		if errors.Is(err, io.EOF) {
			if m, e := k.machine.End(); e == nil {
				msg, broke = m, nil
			}
		}
	}
	if msg == nil {
		return t, nil, broke, broke == nil
	}
	k.task, k.used = nil, true
	if early || err != nil || used < len(p) || msg.Close {
		// An answer before the request's end, bytes after the answer: the two sides may no longer agree on where
		// a message ends.
		k.close()
		return t, msg, nil, false
	}
	k.rest()
	return t, msg, nil, true
}
