// Package guard decides whether something that cannot be taken back may be done, and counts what was done against the rules.
//
// There are four such things: a request is sent to an endpoint, it is sent again, a client's connection is closed, and a
// process takes its first request. Each has one function here that looks at the facts and denies it with the invariant that it
// would break. Whoever does the thing asks right before; there is no other place that decides.
//
// Decisions can be bypassed by a fault, and facts change between a decision and the deed. So what was done is noted with its
// time, and a check that goes by those notes alone counts violations. A violation is a defect of the program or a sign that
// the process was held up; it is logged and shown by the admin socket.
package guard

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Invariant is something that holds at every moment.
type Invariant uint8

// The invariants.
const (
	Drain       Invariant = iota // nothing begins at an endpoint that drains or is gone, once the grace after the news is over
	StaleList                    // nothing begins by an endpoint list whose lease has run out
	Retry                        // nothing that may have run begins again unless its class allows it
	Hedge                        // no two attempts of a request are out at once unless the settings allow it
	ClientGone                   // nothing begins for a client that has left or has its answer
	TimeLeft                     // an endpoint is told at most the time that the client has left
	FinalAnswer                  // a request that was read has a final answer before its connection is closed
	Start                        // nothing is taken before there is a list to send by, or once the process is about to end
	invariants
)

func (i Invariant) String() string {
	return [...]string{"drain", "stale list", "repeat", "copies", "client gone", "time left", "answer", "start"}[i]
}

// Invariants are all of them.
func Invariants() []Invariant {
	out := make([]Invariant, invariants)
	for i := range out {
		out[i] = Invariant(i)
	}
	return out
}

// What the platform's protocol allows between a fact and a deed, from the time at which the process knew the fact.
const (
	goneGrace = 100 * time.Millisecond // an attempt may begin so long after its client has left
	timeSlack = 150 * time.Millisecond // an endpoint may be told so much more than the client has left
)

// Denial says which invariant something would break. It is an error.
type Denial struct {
	Invariant Invariant
	Reason    string
}

func (d *Denial) Error() string { return fmt.Sprintf("%s: %s", d.Invariant, d.Reason) }

// Sending are the facts about an attempt before its first byte. Times are on one clock; 0 stands for never.
type SendFacts struct {
	Now            time.Duration
	EndpointClosed bool // discovery says that it drains or is gone
	LeaseExpired   bool // the lease of the endpoint list has run out
	Answered       bool // the client has its answer, or nobody waits for one
	ClientGone     bool
	Cancelled      bool
	Deadline       time.Duration // of the attempt
	RetryWindowEnd time.Duration // the end of the time in which a repeat is dropped; 0 for none
}

// MaySend tells whether an attempt may begin.
func MaySend(s SendFacts) *Denial {
	switch {
	case s.EndpointClosed:
		return &Denial{Drain, "the endpoint takes nothing new"}
	case s.LeaseExpired:
		return &Denial{StaleList, "the endpoint list is too old"}
	case s.Answered, s.Cancelled:
		return &Denial{ClientGone, "the request is over"}
	case s.ClientGone:
		return &Denial{ClientGone, "the client has left"}
	case s.Now >= s.Deadline:
		return &Denial{TimeLeft, "no time is left"}
	case s.RetryWindowEnd > 0 && s.Now >= s.RetryWindowEnd:
		return &Denial{Retry, "a repeat would not be dropped any more"}
	}
	return nil
}

// Repeating are the facts about a request that is to be sent once more.
type RetryFacts struct {
	Attempts       int  // before this one
	InFlight       int  // of them, those without an outcome
	MayHaveRun     bool // one of those that have ended
	Unsafe         bool // its class must never run twice
	HedgingAllowed bool // the settings allow two attempts at once
}

// MayRepeat tells whether a request may be sent once more.
func MayRetry(r RetryFacts) *Denial {
	switch {
	case r.Attempts == 0:
		return nil
	case r.InFlight > 0 && !r.HedgingAllowed:
		return &Denial{Hedge, "an attempt is out"}
	case r.Unsafe && (r.InFlight > 0 || r.MayHaveRun):
		return &Denial{Retry, "an attempt may have run"}
	}
	return nil
}

// Closing are the facts about a client's connection that is to be closed.
type CloseFacts struct {
	Unanswered bool // a request was read whole and has no answer
	ClientGone bool // by its own end of the connection, or by taking nothing
}

// MayClose tells whether a client's connection may be closed.
func MayClose(c CloseFacts) *Denial {
	if c.Unanswered && !c.ClientGone {
		return &Denial{FinalAnswer, "a request has no answer"}
	}
	return nil
}

// Starting are the facts about a process that is to take requests.
type StartFacts struct {
	Serving  bool // it has an endpoint list, and runs what sends by it
	Stopping bool
}

// MayStart tells whether a process may say that it is ready.
func MayStart(s StartFacts) *Denial {
	switch {
	case !s.Serving:
		return &Denial{Start, "it has no endpoint list yet"}
	case s.Stopping:
		return &Denial{Start, "it is stopping"}
	}
	return nil
}

// Began are the notes of an attempt that has begun, and what its process knew, when. Times are on one clock; 0 is never.
type AttemptRecord struct {
	RequestID              string // of the request
	Endpoint               string
	BegunAt                time.Duration // before its first byte
	TimeoutSent            time.Duration // that the endpoint was told
	Deadline               time.Duration // of the request
	ClosedAt               time.Duration // word that the endpoint drains or is gone was taken
	DrainGrace             time.Duration // after that word
	RequestEndedAt         time.Duration // the client left, or had its answer
	LeaseExpired           bool          // the lease of the list had run out then
	EarlierMayRun          bool          // an earlier attempt may have run, or was out
	EarlierInFlight        bool
	Unsafe, HedgingAllowed bool          // as in Repeating
	RetryWindowEnd         time.Duration // a repeat of what may have run is dropped until then; 0 where there is none
	NoEndpointList         bool          // the process had taken no endpoint list by then
}

// violations are the invariants that an attempt has broken.
func (b *AttemptRecord) violations() (out []Invariant) {
	add := func(i Invariant, broken bool) {
		if broken {
			out = append(out, i)
		}
	}
	add(Drain, b.ClosedAt > 0 && b.BegunAt > b.ClosedAt+b.DrainGrace)
	add(StaleList, b.LeaseExpired)
	add(Retry, b.EarlierMayRun && (b.Unsafe || b.RetryWindowEnd > 0 && b.BegunAt > b.RetryWindowEnd))
	add(Hedge, b.EarlierInFlight && !b.HedgingAllowed)
	add(ClientGone, b.RequestEndedAt > 0 && b.BegunAt > b.RequestEndedAt+goneGrace)
	add(TimeLeft, b.TimeoutSent > b.Deadline-b.BegunAt+timeSlack)
	add(Start, b.NoEndpointList)
	return out
}

// Guard counts denials and violations of a process. Any goroutine may use it.
type Guard struct {
	log        *slog.Logger
	denied     [invariants]atomic.Uint64
	violations [invariants]atomic.Uint64
}

// New returns a Guard that has counted nothing.
func New(log *slog.Logger) *Guard { return &Guard{log: log} }

// Denied counts a denial. It takes nil, and tells whether there was one.
func (g *Guard) Denied(d *Denial) bool {
	if d != nil {
		g.denied[d.Invariant].Add(1)
	}
	return d != nil
}

// Check counts what an attempt has broken.
func (g *Guard) Check(b AttemptRecord) {
	for _, i := range b.violations() {
		g.RecordViolation(i, "id", b.RequestID, "endpoint", b.Endpoint, "at", b.BegunAt, "told", b.TimeoutSent, "deadline", b.Deadline, "closed_at", b.ClosedAt,
			"over_at", b.RequestEndedAt)
	}
}

const (
	logAll  = 20  // violations of an invariant that are logged each,
	logSome = 100 // and one in so many after them
)

// Violated counts a violation and logs it, with what is known of it.
func (g *Guard) RecordViolation(i Invariant, about ...any) {
	n := g.violations[i].Add(1)
	if n <= logAll || n%logSome == 0 {
		g.log.Error("invariant violated", append([]any{"invariant", i.String(), "count", n}, about...)...)
	}
}

// Violations are the counts by invariant, those that are 0 left out.
func (g *Guard) Violations() map[string]uint64 { return counts(&g.violations) }

// Denials are how often something was not done for an invariant, by invariant, those that are 0 left out.
func (g *Guard) Denials() map[string]uint64 { return counts(&g.denied) }

func counts(all *[invariants]atomic.Uint64) map[string]uint64 {
	out := map[string]uint64{}
	for i := range all {
		if n := all[i].Load(); n > 0 {
			out[Invariant(i).String()] = n
		}
	}
	return out
}
