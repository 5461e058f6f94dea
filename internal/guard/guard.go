// Package guard decides whether an irreversible action is allowed, and counts actions that violated an invariant.
//
// There are four such actions: sending a request to an endpoint, retrying or hedging it, closing a client's connection, and
// reporting that the process is ready for requests. Each has one function here, which examines the facts and denies the action
// with the invariant that it would violate. The code that performs an action calls that function immediately before; nothing
// else decides.
//
// A fault can bypass a decision, and the facts can change between the decision and the action. Actions are therefore recorded
// with their times, and a check that relies only on those records counts violations. A violation is a defect of the program or
// a sign that the process was delayed; it is logged and shown by the admin socket.
package guard

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Invariant is a condition that must hold at all times.
type Invariant uint8

// The invariants that are checked.
const (
	Drain       Invariant = iota // no attempt begins at a draining or gone endpoint after the grace period that follows the notification
	StaleList                    // no attempt begins while the lease of the endpoint list has expired
	Retry                        // no request that may have run is attempted again unless its class allows it
	Hedge                        // no two attempts of a request are in flight at once unless the settings allow it
	ClientGone                   // no attempt begins for a client that has disconnected or has its answer
	TimeLeft                     // an endpoint is given no more time than the client has left until its deadline
	FinalAnswer                  // a request that was read gets a final answer before its connection is closed
	Start                        // no request is accepted before there is an endpoint list, or once the process is about to stop
	invariantCount
)

// String returns the invariant's name in metrics and logs.
func (i Invariant) String() string {
	return [...]string{"drain", "stale list", "repeat", "copies", "client gone", "time left", "answer", "start"}[i]
}

// Invariants returns all invariants.
func Invariants() []Invariant {
	out := make([]Invariant, invariantCount)
	for i := range out {
		out[i] = Invariant(i)
	}
	return out
}

// Tolerances of the platform's protocol between a fact and an action, from the time at which the process knew the fact.
const (
	clientGoneGrace = 100 * time.Millisecond // an attempt may begin this long after its client has disconnected
	timeLeftSlack   = 150 * time.Millisecond // an endpoint may be given this much more time than the client has left
)

// Denial is an error that names the invariant that an action would violate.
type Denial struct {
	Invariant Invariant
	Reason    string
}

func (d *Denial) Error() string { return fmt.Sprintf("%s: %s", d.Invariant, d.Reason) }

// SendFacts are the facts about an attempt before its first byte. Times are on one clock; 0 stands for never.
type SendFacts struct {
	Now            time.Duration
	EndpointClosed bool // discovery has reported it as draining or gone
	LeaseExpired   bool // the lease of the endpoint list has expired
	Answered       bool // the client has its answer, or the request was abandoned
	ClientGone     bool
	Cancelled      bool
	Deadline       time.Duration // of the attempt
	RetryWindowEnd time.Duration // end of the time in which endpoints drop duplicates; 0 for none
}

// MaySend returns nil if an attempt may begin, and a Denial otherwise.
func MaySend(f SendFacts) *Denial {
	switch {
	case f.EndpointClosed:
		return &Denial{Drain, "endpoint is draining or gone"}
	case f.LeaseExpired:
		return &Denial{StaleList, "endpoint list lease has expired"}
	case f.Answered, f.Cancelled:
		return &Denial{ClientGone, "request was answered or cancelled"}
	case f.ClientGone:
		return &Denial{ClientGone, "client has disconnected"}
	case f.Now >= f.Deadline:
		return &Denial{TimeLeft, "deadline has passed"}
	case f.RetryWindowEnd > 0 && f.Now >= f.RetryWindowEnd:
		return &Denial{Retry, "retry window has ended"}
	}
	return nil
}

// RetryFacts are the facts about a request that is to be attempted again.
type RetryFacts struct {
	Attempts       int  // earlier attempts
	InFlight       int  // of those, the ones without an outcome
	MayHaveRun     bool // at least one of those that have ended may have run
	Unsafe         bool // requests of its class must never run twice
	HedgingAllowed bool // the settings allow two attempts in flight at once
}

// MayRetry returns nil if a request may be attempted again, and a Denial otherwise.
func MayRetry(f RetryFacts) *Denial {
	switch {
	case f.Attempts == 0:
		return nil
	case f.InFlight > 0 && !f.HedgingAllowed:
		return &Denial{Hedge, "an earlier attempt is in flight"}
	case f.Unsafe && (f.InFlight > 0 || f.MayHaveRun):
		return &Denial{Retry, "an earlier attempt may have run"}
	}
	return nil
}

// CloseFacts are the facts about a client's connection that is to be closed.
type CloseFacts struct {
	Unanswered bool // a request was read completely and has no answer
	ClientGone bool // it closed its end of the connection, or does not read
}

// MayClose returns nil if a client's connection may be closed, and a Denial otherwise.
func MayClose(f CloseFacts) *Denial {
	if f.Unanswered && !f.ClientGone {
		return &Denial{FinalAnswer, "request has not been answered"}
	}
	return nil
}

// StartFacts are the facts about a process that is to accept requests.
type StartFacts struct {
	Serving  bool // it has an endpoint list, and the event loop that uses it is running
	Stopping bool
}

// MayStart returns nil if a process may report that it is ready, and a Denial otherwise.
func MayStart(f StartFacts) *Denial {
	switch {
	case !f.Serving:
		return &Denial{Start, "it has no endpoint list yet"}
	case f.Stopping:
		return &Denial{Start, "it is stopping"}
	}
	return nil
}

// AttemptRecord records an attempt that has begun, and what its process knew at which time. Times are on one clock; 0 is never.
type AttemptRecord struct {
	RequestID              string // key of the request
	Endpoint               string
	BegunAt                time.Duration // just before its first byte
	TimeoutSent            time.Duration // the remaining time that the endpoint was given
	Deadline               time.Duration // of the request
	ClosedAt               time.Duration // when the report that the endpoint is draining or gone was handled
	DrainGrace             time.Duration // period after that report in which an attempt may begin
	RequestEndedAt         time.Duration // when the client disconnected, or got its answer
	LeaseExpired           bool          // the lease of the endpoint list had expired when it began
	EarlierMayRun          bool          // an earlier attempt may have run, or was in flight
	EarlierInFlight        bool
	Unsafe, HedgingAllowed bool          // as in RetryFacts
	RetryWindowEnd         time.Duration // until then endpoints drop duplicates of a request that may have run; 0 for none
	NoEndpointList         bool          // the process had received no endpoint list when it was decided
}

// violations returns the invariants that an attempt has violated.
func (r *AttemptRecord) violations() (out []Invariant) {
	add := func(i Invariant, violated bool) {
		if violated {
			out = append(out, i)
		}
	}
	add(Drain, r.ClosedAt > 0 && r.BegunAt > r.ClosedAt+r.DrainGrace)
	add(StaleList, r.LeaseExpired)
	add(Retry, r.EarlierMayRun && (r.Unsafe || r.RetryWindowEnd > 0 && r.BegunAt > r.RetryWindowEnd))
	add(Hedge, r.EarlierInFlight && !r.HedgingAllowed)
	add(ClientGone, r.RequestEndedAt > 0 && r.BegunAt > r.RequestEndedAt+clientGoneGrace)
	add(TimeLeft, r.TimeoutSent > r.Deadline-r.BegunAt+timeLeftSlack)
	add(Start, r.NoEndpointList)
	return out
}

// Guard counts the denials and violations of a process. It is safe for concurrent use.
type Guard struct {
	log        *slog.Logger
	denied     [invariantCount]atomic.Uint64
	violations [invariantCount]atomic.Uint64
}

// New returns a Guard with all counts 0.
func New(log *slog.Logger) *Guard { return &Guard{log: log} }

// Denied counts a denial and reports whether there was one; d may be nil.
func (g *Guard) Denied(d *Denial) bool {
	if d != nil {
		g.denied[d.Invariant].Add(1)
	}
	return d != nil
}

// Check counts and logs the invariants that an attempt has violated.
func (g *Guard) Check(r AttemptRecord) {
	for _, i := range r.violations() {
		g.RecordViolation(i, "id", r.RequestID, "endpoint", r.Endpoint, "at", r.BegunAt, "told", r.TimeoutSent, "deadline", r.Deadline,
			"closed_at", r.ClosedAt, "over_at", r.RequestEndedAt)
	}
}

const (
	maxLoggedEach = 20  // the first violations of an invariant are logged individually,
	logInterval   = 100 // and after them one in this many
)

// RecordViolation counts a violation and logs it with the attributes given.
func (g *Guard) RecordViolation(i Invariant, attrs ...any) {
	n := g.violations[i].Add(1)
	if n <= maxLoggedEach || n%logInterval == 0 {
		g.log.Error("invariant violated", append([]any{"invariant", i.String(), "count", n}, attrs...)...)
	}
}

// Violations returns the counts that are not 0 of violations, by invariant.
func (g *Guard) Violations() map[string]uint64 { return nonZeroCounts(&g.violations) }

// Denials returns the counts that are not 0 of denied actions, by invariant.
func (g *Guard) Denials() map[string]uint64 { return nonZeroCounts(&g.denied) }

// nonZeroCounts returns the counts that are not 0, by invariant.
func nonZeroCounts(counters *[invariantCount]atomic.Uint64) map[string]uint64 {
	counts := map[string]uint64{}
	for i := range counters {
		if n := counters[i].Load(); n > 0 {
			counts[Invariant(i).String()] = n
		}
	}
	return counts
}
