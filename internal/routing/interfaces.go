// Package routing takes operations to destinations by the decisions of package balance. One goroutine, the Loop, owns
// the Balancer and all that belongs to it; it neither blocks nor polls. The package knows no socket and no protocol:
// its interfaces are implemented by whoever carries the bytes.
package routing

import (
	"context"
	"sync/atomic"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
)

// Operation is a client's request on its way through the sidecar.
type Request struct {
	Class       int
	Deadline    time.Duration // on the Loop's clock: when the client stops waiting
	CostHint    float64       // seconds of a core, 0 for none
	ClientRetry bool          // the client has tried before
	Payload     any           // the request itself, for the Carrier alone
	Done        func(Answer)  // takes the one final answer; it must not block
	Key         string        // no two that are open share one; "" for none
	ClientGone  func() bool   // looks whether the client has left; nil if that cannot be told
	OnFirstSend func()        // told when the first attempt goes out; nil if nobody asks
	Origin      uint64        // see balance.Request
	// Word writes what an attempt that goes out now carries on; ok is false if it may not, as the operation has cost enough.
	// It is nil where nothing is carried on. Any goroutine may call it.
	Header func() (text string, ok bool)

	next     []*Request // wait for the attempts of this one, which has ended and has their key
	id       balance.RequestID
	came     time.Duration
	ended    atomic.Bool   // the final answer was given, or nobody waits for it
	overAt   atomic.Int64  // when that was, or the client was seen to have left; 0 for not yet
	ranAt    time.Duration // when the first attempt that may have run was sent, 0 for none
	attempts []*Attempt
	out      int // attempts without an outcome

	lastStatus balance.Status // of the attempt that ended last
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota // Payload is a destination's answer, also one that declines
	Rejected                 // refused: trying again is harmless
	Failed                   // it may have run
	Duplicate                // another open operation has its key: it reached no destination
)

// Answer is the final answer to an operation.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // Busy: when to come back, 0 for no advice
	Payload    any
}

// Destination is a server that the endpoint list has named.
type Endpoint struct {
	ID       balance.EndpointID
	Name     string
	Address  string
	Zone     string
	closed   atomic.Bool   // discovery says that it drains or is gone
	closedAt time.Duration // when that was taken, 0 while it is open; of the Loop
	since    time.Duration // Unix time of its last start; 0 for long ago
	member   Member        // as last told; of the Loop
}

// Closed tells whether the destination takes nothing new. Any goroutine may ask.
func (d *Endpoint) Closed() bool { return d.closed.Load() }

// Attempt is one send of an operation.
type Attempt struct {
	Request        *Request
	Endpoint       *Endpoint
	Deadline       time.Duration   // on the Loop's clock
	RetryWindowEnd time.Duration   // it must have begun by then, 0 for no such time: its window for repeats ends
	Context        context.Context // done when the attempt is called off
	clock          Clock
	hold           *sendHold
	number         int
	sent           time.Duration
	cancel         context.CancelFunc
	over           bool
	opened         atomic.Bool

	guard    *guard.Guard
	status   balance.Status // of its end
	endedAt  time.Duration  // 0 while it is out
	began    atomic.Int64   // before its first byte, 0 for not begun
	told     atomic.Int64   // the time that its endpoint was told
	heldThen atomic.Bool    // the list's lease had run out when it began
	lists    uint64         // endpoint lists that had been taken when it was decided
}

// Opened notes that a connection was opened for the attempt. Any goroutine may call it.
func (a *Attempt) ConnectionOpened() { a.opened.Store(true) }

// Stale guards the moment before the first byte: time may have passed since the decision, in which the destination
// began to drain, the operation ended, the client left, or the time ran out in which a repeat would be dropped.
func (a *Attempt) Stale() bool {
	s := a.facts()
	s.ClientGone = a.Request.ClientGone != nil && a.Request.ClientGone()
	return a.guard.Denied(guard.MaySend(s))
}

// facts are what the guard looks at, but for a look at the client's connection.
func (a *Attempt) facts() guard.SendFacts {
	now := a.clock.Now()
	return guard.SendFacts{Now: now, EndpointClosed: a.Endpoint.closed.Load(), LeaseExpired: a.hold.holds(now), Answered: a.Request.ended.Load(),
		Cancelled: a.Context.Err() != nil, Deadline: a.Deadline, RetryWindowEnd: a.RetryWindowEnd}
}

// Begin notes that the first byte is about to be written, and returns the time that the endpoint is to be told.
func (a *Attempt) Begin() (left time.Duration) {
	now := a.clock.Now()
	left = a.Deadline - now
	a.told.Store(int64(left))
	a.heldThen.Store(a.hold.broken(now))
	a.began.Store(int64(now))
	return left
}

// Left is the time that the attempt still has.
func (a *Attempt) TimeLeft() time.Duration { return a.Deadline - a.clock.Now() }

// Result is how an attempt or a probe ended: with an answer or with an error.
type Result struct {
	Status  balance.Status // of an answer
	Payload any            // the answer, if it was served or declined
	Load    []float32      // its load report, if there was one
	Err     *AttemptError  // instead of an answer
}

// Carrier takes attempts to destinations.
type Transport interface {
	// Carry starts an attempt and returns at once. done is called once, from any goroutine.
	Send(a *Attempt, done func(Result))
	// Probe asks a destination for its health and load.
	Probe(d *Endpoint, done func(Result))
	// CloseIdle closes the idle connections to a destination.
	CloseIdle(d *Endpoint)
}

// Lists takes what a source of endpoint lists tells, from any goroutine. A Loop is one.
type EndpointListReceiver interface {
	// Pool takes an endpoint list, whole or what changed, with its version.
	UpdateEndpoints(kind balance.ListKind, index int64, members []Member)
	// Lost says that the source is not heard any more.
	SourceLost()
}

// Directory watches discovery.
type Discovery interface {
	// Follow opens a watch of what has changed since a version and returns at once. The watch reports to the Loop by
	// Pool and ends with one Lost.
	Watch(since int64)
}

// Clock is Unix time, read once and advanced by the monotonic clock, so that steps of the system's clock do no harm.
type Clock struct{ base time.Time }

// NewClock reads the system's clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.base.UnixNano()) + time.Since(c.base)
}

// At turns a time of this clock into one for sockets.
func (c Clock) At(t time.Duration) time.Time { return c.base.Add(t - time.Duration(c.base.UnixNano())) }
