// Package routing sends client requests to endpoints as decided by package balance. One goroutine, the event loop of a
// Loop, owns the Balancer and all its state; it neither blocks nor polls. The package is independent of sockets and
// protocols: the packages that implement a transport or a discovery client implement its interfaces.
package routing

import (
	"context"
	"sync/atomic"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
)

// Request is a client's request that the sidecar is handling.
type Request struct {
	Class       int
	Deadline    time.Duration // on the Loop's clock: when the client stops waiting for the answer
	CostHint    float64       // expected cost in CPU seconds, 0 if unknown
	ClientRetry bool          // the client has marked the request as a retry
	Payload     any           // the request itself, used by the Transport only
	Done        func(Answer)  // receives the one final answer; it must not block
	Key         string        // identifies the request: no two open requests share one; "" for none
	ClientGone  func() bool   // reports whether the client has disconnected; nil if that is unknown
	OnFirstSend func()        // called when the first attempt is sent; may be nil
	Origin      uint64        // see balance.Request
	// Header returns the header text that an attempt sent now passes on; ok is false if the attempt may not be sent because
	// the request has used up its budget. It is nil if there is nothing to pass on. Any goroutine may call it.
	Header func() (text string, ok bool)

	queuedBehind    []*Request // requests with the same key that wait until the attempts of this one, which has ended, are over
	id              balance.RequestID
	receivedAt      time.Duration
	abandoned       bool          // its client disconnected before the answer; owned by the Loop
	ended           atomic.Bool   // the final answer was sent, or the request was abandoned
	endedAt         atomic.Int64  // when it ended, or its client was seen to have disconnected; 0 for not yet
	mayHaveRunSince time.Duration // when the earliest attempt that may have run was sent, 0 for none
	attempts        []*Attempt
	inFlight        int // attempts without an outcome

	lastStatus balance.Status // of the attempt that ended most recently
}

// Verdict classifies a final answer.
type Verdict uint8

// The verdicts of final answers.
const (
	Served    Verdict = iota // Payload is an endpoint's answer, which may decline the request
	Rejected                 // not processed: a retry is safe
	Failed                   // the request may have run
	Duplicate                // another open request has the same key: this one reached no endpoint
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // for Rejected: when the client should retry, 0 for no advice
	Payload    any
}

// Endpoint is a server that the endpoint list contains or contained.
type Endpoint struct {
	ID        balance.EndpointID
	Name      string
	Address   string
	Zone      string
	closed    atomic.Bool   // discovery has reported it as draining or gone
	closedAt  time.Duration // when that report was handled, 0 while it accepts requests; owned by the Loop
	startedAt time.Duration // Unix time of its last start; 0 for long ago
	member    Member        // its latest list entry; owned by the Loop
}

// Closed reports whether the endpoint accepts no new requests. Any goroutine may call it.
func (ep *Endpoint) Closed() bool { return ep.closed.Load() }

// Attempt is a request sent to one endpoint, with a deadline of its own.
type Attempt struct {
	Request          *Request
	Endpoint         *Endpoint
	Deadline         time.Duration   // on the Loop's clock
	RetryWindowEnd   time.Duration   // latest time to begin, as the window in which endpoints drop duplicates ends then; 0 for none
	Context          context.Context // done when the attempt is cancelled
	clock            Clock
	lease            *lease
	number           int
	sentAt           time.Duration
	cancel           context.CancelFunc
	ended            bool
	connectionOpened atomic.Bool

	guard         *guard.Guard
	status        balance.Status // its outcome
	endedAt       time.Duration  // 0 while it is in flight
	begunAt       atomic.Int64   // just before its first byte, 0 for not begun
	timeoutSent   atomic.Int64   // the remaining time that its endpoint was given
	leaseExpired  atomic.Bool    // the endpoint list's lease had expired when it began
	endpointLists uint64         // number of endpoint lists received when it was decided
}

// ConnectionOpened records that a connection was opened for the attempt. Any goroutine may call it.
func (a *Attempt) ConnectionOpened() { a.connectionOpened.Store(true) }

// Stale reports whether the attempt may no longer be sent. It is called just before the first byte: since the decision the
// endpoint may have begun to drain, the request may have ended, the client may have disconnected, or the window in which
// endpoints drop duplicates may have ended.
func (a *Attempt) Stale() bool {
	s := a.sendFacts()
	s.ClientGone = a.Request.ClientGone != nil && a.Request.ClientGone()
	return a.guard.Denied(guard.MaySend(s))
}

// sendFacts returns the facts for the guard, except the state of the client's connection.
func (a *Attempt) sendFacts() guard.SendFacts {
	now := a.clock.Now()
	return guard.SendFacts{Now: now, EndpointClosed: a.Endpoint.closed.Load(), LeaseExpired: a.lease.expired(now),
		Answered: a.Request.ended.Load(), Cancelled: a.Context.Err() != nil, Deadline: a.Deadline, RetryWindowEnd: a.RetryWindowEnd}
}

// Begin records that the first byte is about to be written, and returns the remaining time to pass on to the endpoint.
func (a *Attempt) Begin() (timeLeft time.Duration) {
	now := a.clock.Now()
	timeLeft = a.Deadline - now
	a.timeoutSent.Store(int64(timeLeft))
	a.leaseExpired.Store(a.lease.violated(now))
	a.begunAt.Store(int64(now))
	return timeLeft
}

// TimeLeft returns the time until the attempt's deadline.
func (a *Attempt) TimeLeft() time.Duration { return a.Deadline - a.clock.Now() }

// Result is the result of an attempt or a probe: an answer or an error.
type Result struct {
	Status  balance.Status // of an answer
	Payload any            // the answer, if the request was served or declined
	Load    []float32      // the endpoint's load report, if there was one
	Err     *AttemptError  // instead of an answer
}

// Transport sends attempts and probes to endpoints.
type Transport interface {
	// Send starts an attempt and returns immediately. done is called once, from any goroutine.
	Send(a *Attempt, done func(Result))
	// Probe requests the health and load of an endpoint.
	Probe(ep *Endpoint, done func(Result))
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(ep *Endpoint)
}

// EndpointListReceiver receives endpoint lists from a source, on any goroutine. A Loop implements it.
type EndpointListReceiver interface {
	// UpdateEndpoints handles an endpoint list, complete or only its changes, with its version.
	UpdateEndpoints(kind balance.ListKind, index int64, members []Member)
	// SourceLost reports that the source no longer delivers lists.
	SourceLost()
}

// Discovery watches the endpoint list of a discovery service.
type Discovery interface {
	// Watch opens a watch of the changes since a version and returns immediately. The watch reports to the Loop with
	// UpdateEndpoints and ends with one call of SourceLost.
	Watch(since int64)
}

// Clock is Unix time, read once and advanced by the monotonic clock, so that steps of the system clock have no effect.
type Clock struct{ base time.Time }

// NewClock returns a Clock that starts at the system time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.base.UnixNano()) + time.Since(c.base)
}

// At converts a time of this clock to a time.Time, as socket deadlines need it.
func (c Clock) At(t time.Duration) time.Time { return c.base.Add(t - time.Duration(c.base.UnixNano())) }
