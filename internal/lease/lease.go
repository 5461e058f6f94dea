// Package lease says for how long a sidecar may go on using the endpoint list that it has.
//
// The rules count a change of the list as delivered a few seconds after discovery had it, whether or not it arrived: a
// request sent to a draining endpoint after that breaks the rules. The list is therefore held on a lease. Every report from
// discovery renews it, and so does proof that discovery is unreachable, because changes do not count as delivered then. When the
// lease expires, sending is suspended until discovery reports again.
//
// A call that reaches discovery and fails proves nothing, and neither does a watch that breaks: under overload some calls time
// out while other callers are served. Only a call that gets no connection proves that discovery is unreachable.
//
// The package does no I/O and reads no clock: every event carries its time, on any clock that does not run backwards.
package lease

import "time"

// Rules are the times after which a change of the list counts as delivered.
type Rules struct {
	ConfirmWithin      time.Duration // after discovery had it, while discovery is reachable
	AfterWatchEnd      time.Duration // after a watch ended normally, perhaps without having delivered the change
	AfterAddressChange time.Duration // after a reload switched to another discovery address, which alone knows the change
	DrainGrace         time.Duration // for so long after the report of a drain, requests may still go to the endpoint
}

// PushRules returns the rules for a local agent that pushes lists: a change counts as delivered once the agent has it.
func PushRules(grace time.Duration) Rules {
	return Rules{ConfirmWithin: 6 * time.Second, AfterWatchEnd: 0, AfterAddressChange: 4 * time.Second, DrainGrace: grace}
}

// PullRules returns the rules for a sidecar that requests its lists.
func PullRules(grace time.Duration) Rules {
	return Rules{ConfirmWithin: 6 * time.Second, AfterWatchEnd: 2 * time.Second, AfterAddressChange: 4 * time.Second, DrainGrace: grace}
}

// graceMargin is subtracted from the grace: a process may stall for 0.15 s between reading the clock and writing.
const graceMargin = 170 * time.Millisecond

// Evidence is what the last event showed about discovery.
type Evidence uint8

// The kinds of evidence.
const (
	Unknown      Evidence = iota // no report has arrived, and no call has reached it
	Up                           // a list or a heartbeat arrived
	Overloaded                   // it refused a call at once: it is up, and serves other callers
	Unreachable                  // no connection to it could be established
	Inconclusive                 // a call failed without an answer, or a watch broke: it is down or overloaded
)

func (e Evidence) String() string {
	return [...]string{"unknown", "up", "crowded", "unreachable", "inconclusive"}[e]
}

// Lease is the state of one subscription. The zero value has no rules and never suspends sending; see New.
type Lease struct {
	rules          Rules
	reportedAt     time.Duration // when the last report arrived
	unreachableAt  time.Duration // when discovery was last proven unreachable; 0 for never
	evidence       Evidence
	addressChanges []addressChange // reloads whose discovery has not reported yet, oldest first
	watchEnded     bool            // a watch has ended normally, and the next call is not over
	watchEndedAt   time.Duration
	generation     int // generation of the last reload
}

// addressChange is a reload that named another discovery address.
type addressChange struct {
	generation int
	at         time.Duration
}

// New returns a Lease for the list that a process starts with.
func New(rules Rules, now time.Duration) *Lease { return &Lease{rules: rules, reportedAt: now} }

// StartAtOtherAddress records that the list that the process starts with comes from another discovery than the first address
// names, since a reload at some time.
func (l *Lease) StartAtOtherAddress(at time.Duration) {
	l.addressChanges = append(l.addressChanges, addressChange{l.generation, at})
}

// UnconfirmedAddressChange returns when the first reload was whose discovery has not reported yet, and whether there is one.
func (l *Lease) UnconfirmedAddressChange() (at time.Duration, unconfirmed bool) {
	if len(l.addressChanges) == 0 {
		return 0, false
	}
	return l.addressChanges[0].at, true
}

// LastProven is when the list was last known to be current or discovery was proven unreachable.
func (l *Lease) LastProven() time.Duration { return max(l.reportedAt, l.unreachableAt) }

// LastReport is when the last report arrived, or the process started with its list.
func (l *Lease) LastReport() time.Duration { return l.reportedAt }

// Evidence returns what the last event showed about discovery.
func (l *Lease) Evidence() Evidence { return l.evidence }

// Confirm records a report, a list or a heartbeat of its watch, from the discovery of a generation.
func (l *Lease) Confirm(now time.Duration, generation int) {
	l.reportedAt = max(l.reportedAt, now)
	l.evidence, l.watchEnded = Up, false
	for len(l.addressChanges) > 0 && l.addressChanges[0].generation <= generation {
		l.addressChanges = l.addressChanges[1:]
	}
}

// RecordUnreachable records that a call to the newest discovery got no connection. Discovery may have come back just after the
// call began, so the time of its beginning counts.
func (l *Lease) RecordUnreachable(began time.Duration) {
	l.unreachableAt = max(l.unreachableAt, began)
	l.evidence, l.watchEnded = Unreachable, false
	for i := range l.addressChanges {
		l.addressChanges[i].at = max(l.addressChanges[i].at, began)
	}
}

// RecordBrokenWatch records that the connection of an established watch broke, as happens when discovery goes down, and when it
// resets its watches and goes on notifying others.
func (l *Lease) RecordBrokenWatch() { l.evidence = Inconclusive }

// RecordFailedCall records that a call reached the newest discovery and was neither answered nor refused at once.
func (l *Lease) RecordFailedCall() { l.evidence = Inconclusive }

// RecordRefusedCall records that discovery refused a call at once: it is reachable. That does not renew the lease, but it clears
// the end of a watch, which shortens the lease only until the call after it is over.
func (l *Lease) RecordRefusedCall() { l.evidence, l.watchEnded = Overloaded, false }

// RecordEndedWatch records that an established watch ended normally.
func (l *Lease) RecordEndedWatch(now time.Duration) {
	if !l.watchEnded {
		l.watchEnded, l.watchEndedAt = true, now
	}
}

// AddressChanged records a reload that names another discovery address and returns its generation; the first address has
// generation 0.
func (l *Lease) AddressChanged(now time.Duration) (generation int) {
	l.generation++
	l.addressChanges = append(l.addressChanges, addressChange{l.generation, now})
	return l.generation
}

// ExpiresAt is when the lease expires, and sending is suspended, if no further report arrives.
func (l *Lease) ExpiresAt() time.Duration {
	until := l.LastProven() + l.rules.ConfirmWithin
	if len(l.addressChanges) > 0 {
		until = min(until, l.addressChanges[0].at+l.rules.AfterAddressChange)
	}
	if l.watchEnded {
		until = min(until, l.watchEndedAt+l.rules.AfterWatchEnd)
	}
	return until + max(l.rules.DrainGrace-graceMargin, 0)
}
