package balance

import (
	"cmp"
	"math"
	"time"
)

// slowstart.go: the limits on an endpoint in slow start.

const (
	slowStartMinSends      = 1.0 // sends within the overload window that overload no endpoint in slow start,
	slowStartCapacityRatio = 0.7 // and the usable part of its reported capacity
)

// slowStartFactor is the part of its full load that an endpoint can handle at least, by its age.
func (b *Balancer) slowStartFactor(s *endpointState, now time.Duration) float64 {
	r := &b.set.Rules
	if s.ReadyAt <= 0 || now-s.ReadyAt >= r.SlowStartTime {
		return 1
	}
	age := max(0, float64(now-s.ReadyAt)/float64(r.SlowStartTime))
	return max(r.SlowStartShare+(1-r.SlowStartShare)*age, minSignal)
}

// slowStartInterval keeps the fourth invariant: the smallest time between two sends to an endpoint in slow
// start, even if all others look unhealthy. It follows from the largest of three rates: this balancer's even
// share of its requests, at the geometric mean of the sustainable and the overload rate; its share of the
// reported capacity; and its share of a few sends. Without the last two, each tier of a fleet that restarts
// would pass on only a part of what the tier above passes on to it.
func (b *Balancer) slowStartInterval(s *endpointState, now time.Duration) time.Duration {
	factor := b.slowStartFactor(s, now)
	if factor == 1 {
		return 0
	}
	share := cmp.Or(b.requestRate, float64(b.arrivals)/b.phaseLength.Seconds()) *
		b.zoneWeight(s) / float64(len(b.tracked)+1)
	minRate := slowStartMinSends / cmp.Or(b.set.Rules.OverloadWindow, b.set.Rules.SlowStartTime).Seconds()
	rate := share * factor * math.Sqrt(max(b.set.Rules.OverloadMultiple, 1))
	rate = max(rate, max(slowStartCapacityRatio*b.expectedCapacity(s)*factor, minRate)/b.balancersPerEndpoint())
	return time.Duration(float64(time.Second) / rate)
}

// slowStartAllows reports whether an endpoint is past slow start or this balancer may send to it now. A send
// that is not used in time expires, as otherwise all balancers could send at once what they had saved up. A
// send that is far off is drawn anew when the interval has become shorter.
func (b *Balancer) slowStartAllows(s *endpointState, now time.Duration) bool {
	interval := b.slowStartInterval(s, now)
	expired := now > s.nextSlowStartSend+cmp.Or(b.set.Rules.OverloadWindow, b.set.Rules.SlowStartTime)
	if interval > 0 && (expired || s.nextSlowStartSend > now+interval) {
		s.nextSlowStartSend = now + b.randomPart(interval)
	}
	return interval == 0 || now >= s.nextSlowStartSend
}
