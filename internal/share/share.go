// Package share divides a limit of the process, such as that of open requests or connections, among pools. Each pool has a
// guaranteed share and may borrow units that other pools leave idle. Acquired units are never revoked: if a pool requests
// units of its guaranteed share while they are lent out, it gets the next ones that are released, before any borrower. The
// package has no clock and is not safe for concurrent use.
package share

import (
	"fmt"
	"time"
)

// Share is a pool's share of a limit.
type Share struct {
	Guaranteed int // units that others cannot withhold: while they are lent out, the pool gets the next ones released
	Max        int // maximum number of units the pool may hold, including borrowed ones; 0 for no maximum but the total
}

// claimDuration is how long units are reserved for a pool that was rejected within its guaranteed share. It is limited, as the
// pool's clients may not retry, and the units must then not stay idle.
const claimDuration = time.Second

// spareDivisor determines the units that borrowers leave free: 1/spareDivisor of the total. With them a pool that becomes
// active gets units without waiting for a request of another pool to end.
const spareDivisor = 8

// Limit is a limit and the units of it that pools hold.
type Limit struct {
	total          int
	used           int
	idleGuaranteed int // units of guaranteed shares that their pools do not hold
	pools          map[string]*pool
	claimants      map[*pool]bool // pools with a claim: few, even if there are many pools
	claimCount     uint64         // claims made so far
}

// pool is the state of a pool in a Limit.
type pool struct {
	Share
	removed bool // it gets no more units, and is deleted once it has released all
	used    int
	claim   claim
}

// claim reserves units for a pool. Claims are served in order of seq.
type claim struct {
	units     int
	expiresAt time.Duration
	seq       uint64
}

// New returns a Limit of total units with these shares. See Resize for its errors.
func New(total int, shares map[string]Share) (*Limit, error) {
	l := &Limit{pools: map[string]*pool{}, claimants: map[*pool]bool{}}
	return l, l.Resize(total, shares)
}

// Resize changes the total and the shares. Pools keep the units they hold, even beyond their new share; the units of a pool
// that is no longer listed count until they are released. On an error nothing is changed.
func (l *Limit) Resize(total int, shares map[string]Share) error {
	sum := 0
	for name, p := range shares {
		if p.Guaranteed < 1 {
			return fmt.Errorf("pool %q: guaranteed share must be at least 1, got %d", name, p.Guaranteed)
		}
		if p.Max != 0 && p.Max < p.Guaranteed {
			return fmt.Errorf("pool %q: at most %d are less than the guaranteed %d", name, p.Max, p.Guaranteed)
		}
		sum += p.Guaranteed
	}
	if sum > total {
		return fmt.Errorf("the guaranteed parts add up to %d of %d", sum, total)
	}
	l.total = total
	clear(l.claimants)
	for name, p := range l.pools {
		if _, listed := shares[name]; !listed {
			p.Share, p.removed, p.claim = Share{}, true, claim{}
			l.removeIfEmpty(name, p)
		}
	}
	for name, share := range shares {
		p := l.pools[name]
		if p == nil {
			p = &pool{}
			l.pools[name] = p
		}
		p.Share, p.removed, p.claim = share, false, claim{}
	}
	l.idleGuaranteed = 0
	for _, p := range l.pools {
		l.idleGuaranteed += p.idle()
	}
	return nil
}

// idle returns the units of its guaranteed share that the pool does not hold.
func (p *pool) idle() int { return max(p.Guaranteed-p.used, 0) }

// adjust changes the units that a pool holds by a positive or negative number.
func (l *Limit) adjust(p *pool, units int) {
	l.idleGuaranteed -= p.idle()
	p.used += units
	l.used += units
	l.idleGuaranteed += p.idle()
}

// removeIfEmpty deletes a pool that is no longer listed and holds nothing.
func (l *Limit) removeIfEmpty(name string, p *pool) {
	if p.removed && p.used == 0 {
		delete(l.pools, name)
	}
}

// Acquire acquires units for a pool, all or none, and reports whether it did. If it fails within the guaranteed share, the
// next units that are released are reserved for the pool for claimDuration.
func (l *Limit) Acquire(now time.Duration, name string, units int) bool {
	p := l.pools[name]
	if p == nil || p.removed || units < 0 || p.Max > 0 && p.used+units > p.Max {
		return false
	}
	free := l.total - l.used
	guaranteed := p.used+units <= p.Guaranteed
	for other := range l.claimants {
		if other.claim.expiresAt <= now {
			other.claim = claim{}
			delete(l.claimants, other)
		}
		if other == p {
			continue
		}
		// Earlier claims for guaranteed units go first; a borrower comes after all claims.
		if !guaranteed || p.claim.units == 0 || other.claim.seq < p.claim.seq {
			free -= other.claim.units
		}
	}
	if !guaranteed { // borrowers need not leave more free than the other pools could claim
		free -= min(l.idleGuaranteed-p.idle(), (l.total+spareDivisor-1)/spareDivisor)
	}
	if units <= free {
		l.adjust(p, units)
		if p.claim.units = max(p.claim.units-units, 0); p.claim.units == 0 {
			delete(l.claimants, p)
		}
		return true
	}
	if guaranteed {
		if p.claim.units == 0 {
			l.claimCount++
			p.claim = claim{seq: l.claimCount}
			l.claimants[p] = true
		}
		p.claim.units, p.claim.expiresAt = max(p.claim.units, units), now+claimDuration
	}
	return false
}

// Release returns units of a pool to the limit.
func (l *Limit) Release(name string, units int) {
	p := l.pools[name]
	if p == nil || units > p.used || units < 0 {
		panic(fmt.Sprintf("share: pool %q releases %d units that it does not hold", name, units))
	}
	l.adjust(p, -units)
	l.removeIfEmpty(name, p)
}

// Usage is a pool's usage of a limit.
type Usage struct {
	Share
	Used     int
	Borrowed int  // units of Used beyond the guaranteed share
	Removed  bool // it is no longer listed, but has not released all units
}

// Total returns the number of all units, and of those that are held.
func (l *Limit) Total() (total, used int) { return l.total, l.used }

// Usage returns the usage of each pool.
func (l *Limit) Usage() map[string]Usage {
	usage := make(map[string]Usage, len(l.pools))
	for name, p := range l.pools {
		usage[name] = Usage{Share: p.Share, Used: p.used, Borrowed: max(p.used-p.Guaranteed, 0), Removed: p.removed}
	}
	return usage
}
