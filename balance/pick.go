package balance

import (
	"time"
)

// pick.go: the choice of a server for an attempt, and what passes one over.

const (
	inFlightAllowance = 1.0 // own attempts out at a server, over its weight's share, that pass it over
	fleetHold         = 7.0 // a server with its part of so many out, which all that track it share, is no choice
	overloadedFrom    = 0.6 // a server whose report foretells more than this part of the mean aim is no choice,
	overloadedLeast   = 4.0 // if it holds more than this many
	overloadedFor     = 0.6 // and the report is younger than this part of the mean aim
)

// pick finds the server for the next attempt of r: the next turn of the rotation that is fit. Where half of
// the turns were unfit the look of things is no longer trusted, and any will do that is not cold.
func (b *Balancer) pick(r *request, now time.Duration) *server {
	c := &b.set.Classes[r.Class]
	if c.Effect == Keyed && c.DedupScope != ScopeAll && r.mayRun != nil {
		return b.pickInGroup(r, c.DedupScope, now)
	}
	if b.doneAll >= matureCount && float64(b.out) >= b.room(now) {
		return nil // it waits: all that is out would take longer still
	}
	skipped := 0
	return b.spin(now, func(s *server) bool {
		if !b.coldTurn(s, now) || r.tried(s) && len(b.rotation) > len(r.attempts) || b.full(s, now) {
			return false
		}
		skipped++
		// A server on trial gets what may be repeated: an unsafe request would be lost if it still crawls.
		risky := c.Effect == Unsafe && s.trial && now < s.outUntil+s.hold
		return b.fit(s, now) && !risky || 2*skipped > len(b.rotation)
	})
}

// room is how many attempts this balancer may have out: its part of what the servers that are well may hold,
// less of cold ones. One at each server is harmless alone; from every balancer they slow down under it.
func (b *Balancer) room(now time.Duration) float64 {
	sum := 0.0
	for _, s := range b.tracked {
		if now >= s.outUntil && !s.trial && !b.jammed(s, now) {
			sum += b.ramp(s, now)
		}
	}
	return max(sum*b.hold()/b.sharers(), 2)
}

// hold is how many attempts a server may hold: more where late answers earn, as waiting pays longer there.
func (b *Balancer) hold() float64 { return fleetHold * float64(b.horizon) / float64(b.meanAim) }

// full tells whether a server holds so many own attempts that one more would be answered too late, and
// make all others later still: with few servers left the last one is not to be buried. Where many share a
// server each has its part of what it may hold, one at the least: four from each of a dozen buried it.
func (b *Balancer) full(s *server, now time.Duration) bool {
	if b.doneAll < matureCount {
		return false
	}
	alone := max(b.horizon.Seconds()/max(b.meanLat, 1e-3), 4)
	return b.jammed(s, now) || float64(len(s.out)) >= max(min(alone, b.hold()/b.sharers()), 1)
}

// jammed tells whether a server's last report foretells late answers: what it holds, from all balancers, over
// the rate at which it answers. A quiet balancer's own attempts would tell that only when they time out.
func (b *Balancer) jammed(s *server, now time.Duration) bool {
	held := b.said(s, Inflight)
	fresh := s.reported && now-s.fresh < time.Duration(overloadedFor*float64(b.meanAim))
	return fresh && held > overloadedLeast &&
		held > overloadedFrom*b.meanAim.Seconds()*b.said(s, QPS)
}

func (b *Balancer) pickInGroup(r *request, group DedupScope, now time.Duration) *server {
	key := 2 * r.mayRun.Cell
	if group == ScopeZone {
		key = 2*r.mayRun.Zone + 1
	}
	var best *server
	for _, s := range b.groups[key] {
		if !b.coldTurn(s, now) || r.tried(s) || best != nil && b.fit(best, now) &&
			(!b.fit(s, now) || len(best.out) <= len(s.out)) {
			continue
		}
		best = s
	}
	return best
}

// fit guards against calls piling up on a server that hangs, crawls or fails fast: own attempts out there are
// the only prompt sign of the first two, the last looks idle, and the average tells far too late.
func (b *Balancer) fit(s *server, now time.Duration) bool {
	if now < s.outUntil || s.trial && len(s.out) > 0 {
		return false
	}
	for _, a := range s.out {
		if now > a.slow {
			return false
		}
	}
	return float64(len(s.out)) < 1+inFlightAllowance*float64(b.out)*s.cs/float64(len(b.tracked))
}

// weight is a server's signal, less while it is cold and where it stands in another zone.
func (b *Balancer) weight(s *server, now time.Duration) float64 {
	return s.cs * b.ramp(s, now) * b.near(s)
}

// near is 1 for a server of the own zone, and the part of its weight that one of another zone gets.
func (b *Balancer) near(s *server) float64 {
	if s.Zone != b.set.Zone && len(b.local()) > 0 {
		return b.spill
	}
	return 1
}
