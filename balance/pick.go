package balance

import (
	"time"
)

// pick.go: the choice of an endpoint for an attempt, and what excludes one.

const (
	inFlightSlack        = 1.0 // own in-flight attempts beyond its share, from which an endpoint is skipped
	baseSlots            = 7.0 // attempts in flight, from all trackers, from which an endpoint is skipped
	overloadLatencyRatio = 0.6 // skipped if its report predicts a latency above this part of the mean target,
	overloadMinInFlight  = 4.0 // it holds more than this many requests,
	overloadMaxReportAge = 0.6 // and the report is younger than this part of the mean target
)

// pickEndpoint finds the endpoint for the next attempt of r: the next in the rotation that is healthy. Once
// half of the rotation was unhealthy, that judgement is no longer trusted, and any endpoint will do that slow
// start allows.
func (b *Balancer) pickEndpoint(r *request, now time.Duration) *endpointState {
	c := &b.set.Classes[r.Class]
	if c.Effect == Keyed && c.DedupScope != ScopeAll && r.mayHaveRunOn != nil {
		return b.pickInScope(r, c.DedupScope, now)
	}
	if b.completed >= minSamples && float64(b.inFlight) >= b.inFlightLimit(now) {
		return nil // r is queued: it would slow down all attempts in flight
	}
	skipped := 0
	return b.nextEndpoint(now, func(s *endpointState) bool {
		if !b.slowStartAllows(s, now) || r.triedOn(s) && len(b.rotation) > len(r.attempts) || b.atLimit(s, now) {
			return false
		}
		skipped++
		// An endpoint on probation gets what may be retried: an unsafe request would be lost if it is still slow.
		risky := c.Effect == Unsafe && s.probation && now < s.ejectedUntil+s.ejectionTime
		return b.healthy(s, now) && !risky || 2*skipped > len(b.rotation)
	})
}

// inFlightLimit is the number of attempts that this balancer may have in flight: its share of what the
// healthy endpoints can hold, less for those in slow start. One attempt at each endpoint is harmless from one
// balancer, but one from every balancer slows the endpoints down.
func (b *Balancer) inFlightLimit(now time.Duration) float64 {
	sum := 0.0
	for _, s := range b.tracked {
		if now >= s.ejectedUntil && !s.probation && !b.overloaded(s, now) {
			sum += b.slowStartFactor(s, now)
		}
	}
	return max(sum*b.slots()/b.balancersPerEndpoint(), 2)
}

// slots is the limit of attempts in flight per endpoint. It is larger where late answers have a
// utility, as waiting is worth more there.
func (b *Balancer) slots() float64 { return baseSlots * float64(b.usefulWait) / float64(b.meanTarget) }

// atLimit reports whether an endpoint holds so many own attempts that one more would be answered too late and
// delay all others. This protects the last endpoint when few are left. Where many balancers share an endpoint
// each has its share of the limit, at least one attempt: four from each of a dozen balancers overloaded it.
func (b *Balancer) atLimit(s *endpointState, now time.Duration) bool {
	if b.completed < minSamples {
		return false
	}
	ownLimit := max(b.usefulWait.Seconds()/max(b.meanLatency, 1e-3), 4)
	return b.overloaded(s, now) ||
		float64(len(s.inFlight)) >= max(min(ownLimit, b.slots()/b.balancersPerEndpoint()), 1)
}

// overloaded reports whether an endpoint's last report predicts late answers: its requests in flight, from
// all balancers, over the rate at which it answers. The own attempts of a balancer with few requests would
// show that only when they time out.
func (b *Balancer) overloaded(s *endpointState, now time.Duration) bool {
	inFlight := b.reportedValue(s, Inflight)
	fresh := s.hasReport && now-s.reportedAt < time.Duration(overloadMaxReportAge*float64(b.meanTarget))
	return fresh && inFlight > overloadMinInFlight &&
		inFlight > overloadLatencyRatio*b.meanTarget.Seconds()*b.reportedValue(s, QPS)
}

// pickInScope finds the endpoint for a retry of a keyed request, within the deduplication scope of its first
// attempt.
func (b *Balancer) pickInScope(r *request, scope DedupScope, now time.Duration) *endpointState {
	key := 2 * r.mayHaveRunOn.Cell
	if scope == ScopeZone {
		key = 2*r.mayHaveRunOn.Zone + 1
	}
	var best *endpointState
	for _, s := range b.byScope[key] {
		if !b.slowStartAllows(s, now) || r.triedOn(s) || best != nil && b.healthy(best, now) &&
			(!b.healthy(s, now) || len(best.inFlight) <= len(s.inFlight)) {
			continue
		}
		best = s
	}
	return best
}

// healthy guards against piling up attempts at an endpoint that hangs, is slow or fails fast: own attempts in
// flight are the only prompt sign of the first two, an endpoint of the last kind looks idle, and averages
// react too late.
func (b *Balancer) healthy(s *endpointState, now time.Duration) bool {
	if now < s.ejectedUntil || s.probation && len(s.inFlight) > 0 {
		return false
	}
	for _, a := range s.inFlight {
		if now > a.slowAt {
			return false
		}
	}
	return float64(len(s.inFlight)) < 1+inFlightSlack*float64(b.inFlight)*s.signal/float64(len(b.tracked))
}

// weight is an endpoint's signal, reduced in slow start and in other zones.
func (b *Balancer) weight(s *endpointState, now time.Duration) float64 {
	return s.signal * b.slowStartFactor(s, now) * b.zoneWeight(s)
}

// zoneWeight is 1 for an endpoint of the local zone, and the spill-over share for one of another zone.
func (b *Balancer) zoneWeight(s *endpointState) float64 {
	if s.Zone != b.set.Zone && len(b.localEndpoints()) > 0 {
		return b.spillover
	}
	return 1
}
