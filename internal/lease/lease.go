// Package lease says for how long a sidecar may go on using the endpoint list that it has.
//
// A change of the list counts as told some seconds after discovery had it, whether or not it arrived: from then on a request
// to a server that drains breaks the rules, however innocent the sidecar. A list is therefore held on a lease. Each word from
// discovery renews it, and so does each proof that discovery cannot be reached, as nothing is told then. When the lease runs
// out requests are held back until discovery is heard again.
//
// A call that gets through to discovery and fails proves nothing: in a crowd of callers, calls fail that wait too long, while
// others are told. It is taken for an outage only right after the start of the process or after the connection of a watch
// that stood has broken, and not for long.
//
// The package is a core without I/O: events come with their time, on any clock that does not run backwards.
package lease

import "time"

// Rules are the times within which a change counts as told.
type Rules struct {
	ConfirmWithin      time.Duration // after discovery had it and could be reached
	AfterWatchEnd      time.Duration // after a watch ended in order, which may be instead of telling it
	AfterAddressChange time.Duration // after a reload named another discovery, which alone has it
	DrainGrace         time.Duration // requests may go to a server for so long after word that it drains
}

// Pushed are the rules where an agent beside the sidecar pushes lists: what it has counts as told at once.
func PushRules(grace time.Duration) Rules {
	return Rules{ConfirmWithin: 6 * time.Second, AfterWatchEnd: 0, AfterAddressChange: 4 * time.Second, DrainGrace: grace}
}

// Asked are the rules where the sidecar asks for lists.
func PullRules(grace time.Duration) Rules {
	return Rules{ConfirmWithin: 6 * time.Second, AfterWatchEnd: 2 * time.Second, AfterAddressChange: 6 * time.Second, DrainGrace: grace}
}

const (
	// margin is kept of the grace: a process may be held up for 0.15 s between its look at the clock and its write.
	margin = 170 * time.Millisecond
	// assumedOutage is for how long after the start or the break of a watch failed calls are taken for an outage, so that one
	// of up to 12 s is served through. A crowd that begins with that looks alike; the longer this is, the longer requests may go
	// by a list that others know to be old.
	assumedOutage = 6500 * time.Millisecond
)

// Evidence is what the last event has shown of discovery.
type Evidence uint8

// The kinds of evidence.
const (
	Unknown        Evidence = iota // nothing has been heard of it, and no call has got through
	Up                             // a list or a sign of life came
	Overloaded                     // it refused a call at once: it is up, and tells others
	Unreachable                    // no connection to it came up
	PresumedOutage                 // every call since the start or the break of a watch has failed without an answer
	Inconclusive                   // a call failed without an answer
)

func (e Evidence) String() string {
	return [...]string{"unknown", "up", "crowded", "unreachable", "presumed outage", "inconclusive"}[e]
}

// Lease is the state of one subscription. The zero value has no rules and holds nothing back; see New.
type Lease struct {
	rules       Rules
	heard       time.Duration // a word came then
	unreachable time.Duration // discovery was proven to be out of reach then; 0 for never
	assumed     time.Duration // it is taken to have been out of reach then; 0 for not
	outageUntil time.Duration // calls that fail before are taken for an outage; 0 for none
	evidence    Evidence
	moves       []move // reloads whose discovery has told nothing yet, oldest first
	ended       bool   // a watch has ended in order, and the call after it is not over
	endedAt     time.Duration
	latest      int // generation of the last reload
}

// move is a reload that named another discovery.
type move struct {
	generation int
	at         time.Duration
}

// New returns a Lease for a list that a process has from its start on.
//
// Its first calls fail in an outage as after the break of a watch.
func New(rules Rules, now time.Duration) *Lease {
	return &Lease{rules: rules, heard: now, outageUntil: now + assumedOutage}
}

// confirmed is when the list was last known to be current, or discovery to be out of reach.
func (l *Lease) confirmed() time.Duration { return max(l.heard, l.unreachable, l.assumed) }

// Proven is when the list was last known to be current, or discovery was proven to be out of reach, without what is only assumed: a successor that began with an assumption would make one of its own on top.
func (l *Lease) LastProven() time.Duration { return max(l.heard, l.unreachable) }

// Heard is when the last word came, or the process began with its list.
func (l *Lease) LastReport() time.Duration { return l.heard }

// Evidence is what the last event has shown of discovery.
func (l *Lease) Evidence() Evidence { return l.evidence }

// Told takes word from the discovery of a generation: a list or a sign of life of its watch.
func (l *Lease) Confirm(now time.Duration, generation int) {
	l.heard = max(l.heard, now)
	l.evidence, l.ended = Up, false
	l.assumed, l.outageUntil = 0, 0
	for len(l.moves) > 0 && l.moves[0].generation <= generation {
		l.moves = l.moves[1:]
	}
}

// Unreachable takes the end of a call to the newest discovery that got no connection. Discovery can have been back since just
// after the call began, so that counts.
func (l *Lease) RecordUnreachable(began time.Duration) {
	l.unreachable = max(l.unreachable, began)
	l.evidence, l.ended = Unreachable, false
	for i := range l.moves {
		l.moves[i].at = max(l.moves[i].at, began)
	}
}

// Broken takes the break of the connection of a watch that stood: watches break when discovery goes down.
func (l *Lease) RecordBrokenWatch(now time.Duration) {
	if l.outageUntil == 0 {
		l.outageUntil = now + assumedOutage
	}
	l.evidence = PresumedOutage
}

// Failed takes the end of a call to the newest discovery that got through to it, and was neither answered nor refused at once.
func (l *Lease) RecordFailedCall(now time.Duration) {
	if l.outageUntil == 0 {
		l.evidence = Inconclusive
		return
	}
	l.assumed = max(l.assumed, min(now, l.outageUntil))
	l.ended = false
	if l.evidence = PresumedOutage; now > l.outageUntil {
		l.evidence = Inconclusive
	}
}

// Refused takes the refusal of a call at once: discovery can be reached, so an outage that was presumed was none. It renews
// nothing; but the end of a watch counts only where the call after it is taken.
func (l *Lease) RecordRefusedCall() {
	l.evidence, l.ended = Overloaded, false
	l.assumed, l.outageUntil = 0, 0
}

// Ended takes the end, in order, of a watch that stood.
func (l *Lease) RecordEndedWatch(now time.Duration) {
	if !l.ended {
		l.ended, l.endedAt = true, now
	}
	l.outageUntil = 0
}

// Moved takes a reload that names another discovery, and gives its generation. The first one is 0. What the break of a watch
// of the old one says ends here.
func (l *Lease) AddressChanged(now time.Duration) (generation int) {
	l.latest++
	l.moves = append(l.moves, move{l.latest, now})
	l.outageUntil = 0
	return l.latest
}

// Until is when requests are held back if nothing more is heard: the lease's end.
func (l *Lease) ExpiresAt() time.Duration {
	until := l.confirmed() + l.rules.ConfirmWithin
	if len(l.moves) > 0 {
		until = min(until, l.moves[0].at+l.rules.AfterAddressChange)
	}
	if l.ended {
		until = min(until, l.endedAt+l.rules.AfterWatchEnd)
	}
	return until + max(l.rules.DrainGrace-margin, 0)
}
