// Package share divides one limit of the process, such as open operations or connections, among pools. Each pool has a
// guaranteed part and may borrow what the others leave idle. Nothing that was taken is broken off: a pool that asks for
// its guaranteed part while it is lent out gets the next that is given back, before any borrower. The package knows no
// clock and is not safe for concurrent use.
package share

import (
	"fmt"
	"time"
)

// Part is what a pool may take of a limit.
type Share struct {
	Guaranteed int // units that no other pool can keep from it for longer than until the next is given back
	Max        int // units, borrowed ones included; 0 for no limit but the whole
}

// claimFor is how long a claim keeps room for a pool that was turned away inside its guaranteed part. Its clients may
// not come back; then the room must not stand idle.
const claimFor = time.Second

// spareShare is the part of the whole that borrowers leave free, so that a pool that wakes finds room without waiting
// for an answer of another's.
const spareShare = 8

// Limit is one limit and what pools hold of it.
type Limit struct {
	whole   int
	used    int
	idle    int // of the guaranteed parts
	pools   map[string]*pool
	claimed map[*pool]bool // those with a claim: few, where pools are many
	asked   uint64         // claims so far
}

type pool struct {
	Share
	gone  bool // it takes nothing any more, and is forgotten once it has given all back
	used  int
	claim claim
}

// claim is room that is kept for a pool.
type claim struct {
	units int
	until time.Duration
	order uint64
}

// New divides a limit of some units. See Set for its errors.
func New(whole int, parts map[string]Share) (*Limit, error) {
	l := &Limit{pools: map[string]*pool{}, claimed: map[*pool]bool{}}
	return l, l.Resize(whole, parts)
}

// Set divides the limit anew. What pools hold stays theirs, also beyond their new part, and what a pool that is no longer
// named holds still counts until it is given back. On an error nothing is changed.
func (l *Limit) Resize(whole int, parts map[string]Share) error {
	sum := 0
	for name, p := range parts {
		if p.Guaranteed < 1 {
			return fmt.Errorf("pool %q: the guaranteed part must be at least 1, not %d", name, p.Guaranteed)
		}
		if p.Max != 0 && p.Max < p.Guaranteed {
			return fmt.Errorf("pool %q: at most %d are less than the guaranteed %d", name, p.Max, p.Guaranteed)
		}
		sum += p.Guaranteed
	}
	if sum > whole {
		return fmt.Errorf("the guaranteed parts add up to %d of %d", sum, whole)
	}
	l.whole = whole
	clear(l.claimed)
	for name, p := range l.pools {
		if _, named := parts[name]; !named {
			p.Share, p.gone, p.claim = Share{}, true, claim{}
			l.forget(name, p)
		}
	}
	for name, part := range parts {
		p := l.pools[name]
		if p == nil {
			p = &pool{}
			l.pools[name] = p
		}
		p.Share, p.gone, p.claim = part, false, claim{}
	}
	l.idle = 0
	for _, p := range l.pools {
		l.idle += p.idle()
	}
	return nil
}

// idle is what the pool leaves of its guaranteed part.
func (p *pool) idle() int { return max(p.Guaranteed-p.used, 0) }

// hold changes what a pool holds.
func (l *Limit) hold(p *pool, units int) {
	l.idle -= p.idle()
	p.used += units
	l.used += units
	l.idle += p.idle()
}

func (l *Limit) forget(name string, p *pool) {
	if p.gone && p.used == 0 {
		delete(l.pools, name)
	}
}

// Take takes units for a pool, all or none. A refusal inside the guaranteed part keeps the next units that are given
// back for the pool, for a second.
func (l *Limit) Acquire(now time.Duration, name string, units int) bool {
	p := l.pools[name]
	if p == nil || p.gone || units < 0 || p.Max > 0 && p.used+units > p.Max {
		return false
	}
	free := l.whole - l.used
	owed := p.used+units <= p.Guaranteed
	for o := range l.claimed {
		if o.claim.until <= now {
			o.claim = claim{}
			delete(l.claimed, o)
		}
		if o == p {
			continue
		}
		// Those that asked for their own before go first; a borrower comes after all.
		if !owed || p.claim.units == 0 || o.claim.order < p.claim.order {
			free -= o.claim.units
		}
	}
	if !owed { // what borrowers leave free is no more than the others could claim
		free -= min(l.idle-p.idle(), (l.whole+spareShare-1)/spareShare)
	}
	if units <= free {
		l.hold(p, units)
		if p.claim.units = max(p.claim.units-units, 0); p.claim.units == 0 {
			delete(l.claimed, p)
		}
		return true
	}
	if owed {
		if p.claim.units == 0 {
			l.asked++
			p.claim = claim{order: l.asked}
			l.claimed[p] = true
		}
		p.claim.units, p.claim.until = max(p.claim.units, units), now+claimFor
	}
	return false
}

// Give gives units back.
func (l *Limit) Release(name string, units int) {
	p := l.pools[name]
	if p == nil || units > p.used || units < 0 {
		panic(fmt.Sprintf("share: pool %q gives back %d units that it does not hold", name, units))
	}
	l.hold(p, -units)
	l.forget(name, p)
}

// Use is what a pool holds of a limit.
type Usage struct {
	Share
	Used     int
	Borrowed int // of Used, beyond the guaranteed part
	Gone     bool
}

// Whole tells the units there are and those that are taken.
func (l *Limit) Total() (whole, used int) { return l.whole, l.used }

// Uses tells what each pool holds.
func (l *Limit) Usage() map[string]Usage {
	out := make(map[string]Usage, len(l.pools))
	for name, p := range l.pools {
		out[name] = Usage{Share: p.Share, Used: p.used, Borrowed: max(p.used-p.Guaranteed, 0), Gone: p.gone}
	}
	return out
}
