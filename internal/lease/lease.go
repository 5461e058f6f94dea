// Package lease says for how long a sidecar may go on using the endpoint list that it has.
//
// A change of the list counts as told some seconds after discovery had it, whether or not it arrived: from then on a request
// to a server that drains breaks the rules, however innocent the sidecar. A list is therefore held on a lease. Each word from
// discovery renews it, and so does each proof that discovery cannot be reached, as nothing is told then. When the lease runs
// out requests are held back until discovery is heard again.
//
// The package is a core without I/O: events come with their time, on any clock that does not run backwards.
package lease

import "time"

// Rules are the times within which a change counts as told.
type Rules struct {
	ToldWithin time.Duration // after discovery had it and could be reached
	AfterEnd   time.Duration // after a watch ended in order, which may be instead of telling it
	AfterMove  time.Duration // after a reload named another discovery, which alone has it
	Grace      time.Duration // requests may go to a server for so long after word that it drains
}

// Pushed are the rules where an agent beside the sidecar pushes lists: what it has counts as told at once.
func Pushed(grace time.Duration) Rules {
	return Rules{ToldWithin: 6 * time.Second, AfterEnd: 0, AfterMove: 4 * time.Second, Grace: grace}
}

// Asked are the rules where the sidecar asks for lists.
func Asked(grace time.Duration) Rules {
	return Rules{ToldWithin: 6 * time.Second, AfterEnd: 2 * time.Second, AfterMove: 6 * time.Second, Grace: grace}
}

const (
	// margin is kept of the grace: a process may be held up for 0.15 s between its look at the clock and its write.
	margin = 170 * time.Millisecond
	// mostHeld is how long requests are held back. A discovery that refuses all calls for longer is taken for one that is out
	// of reach: refusing everything without end would be worse than the risk.
	mostHeld = 10 * time.Second
)

// Lease is the state of one subscription. The zero value has no rules and holds nothing back; see New.
type Lease struct {
	rules     Rules
	confirmed time.Duration // the list was current then, or discovery could not be reached
	moves     []move        // reloads whose discovery has told nothing yet, oldest first
	ended     bool          // a watch has ended in order, and the call after it is not over
	endedAt   time.Duration
	latest    int // generation of the last reload
}

// move is a reload that named another discovery.
type move struct {
	generation int
	at         time.Duration
}

// New returns a Lease for a list that a process has from its start on.
func New(rules Rules, now time.Duration) *Lease { return &Lease{rules: rules, confirmed: now} }

// Confirmed is when the list was last known to be current, or discovery to be out of reach.
func (l *Lease) Confirmed() time.Duration { return l.confirmed }

// Heard takes word from the discovery of a generation: a list or a sign of life of its watch.
func (l *Lease) Heard(now time.Duration, generation int) {
	l.confirmed, l.ended = max(l.confirmed, now), false
	for len(l.moves) > 0 && l.moves[0].generation <= generation {
		l.moves = l.moves[1:]
	}
}

// Unreachable takes the end of a call to the newest discovery that found it out of reach. Discovery can have been back
// since just after the call began, so that counts.
func (l *Lease) Unreachable(began time.Duration) {
	l.confirmed, l.ended = max(l.confirmed, began), false
	for i := range l.moves {
		l.moves[i].at = max(l.moves[i].at, began)
	}
}

// Refused takes the refusal of a call by a discovery that can be reached. It renews nothing; but the end of a watch counts
// only where the call after it is taken.
func (l *Lease) Refused() { l.ended = false }

// Ended takes the end, in order, of a watch that stood.
func (l *Lease) Ended(now time.Duration) {
	if !l.ended {
		l.ended, l.endedAt = true, now
	}
}

// Moved takes a reload that names another discovery, and gives its generation. The first one is 0.
func (l *Lease) Moved(now time.Duration) (generation int) {
	l.latest++
	l.moves = append(l.moves, move{l.latest, now})
	return l.latest
}

// Hold tells between which times requests are held back if nothing more is heard.
func (l *Lease) Hold() (from, to time.Duration) {
	from = l.confirmed + l.rules.ToldWithin
	if len(l.moves) > 0 {
		from = min(from, l.moves[0].at+l.rules.AfterMove)
	}
	if l.ended {
		from = min(from, l.endedAt+l.rules.AfterEnd)
	}
	from += max(l.rules.Grace-margin, 0)
	return from, from + mostHeld
}
