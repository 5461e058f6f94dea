package balance

import (
	"cmp"
	"math"
	"time"
)

// slowstart.go: what a server gets while it is cold.

const (
	coldHarmless      = 1.0 // sends within the fall time that load no cold server,
	coldShareOfReport = 0.7 // and the part of what reports say it can do
)

// ramp is the part of its work that a server can do at the least, by its age.
func (b *Balancer) ramp(s *server, now time.Duration) float64 {
	r := &b.set.Rules
	if s.ReadyAt <= 0 || now-s.ReadyAt >= r.SlowStartTime {
		return 1
	}
	age := max(0, float64(now-s.ReadyAt)/float64(r.SlowStartTime))
	return max(r.SlowStartShare+(1-r.SlowStartShare)*age, lowest)
}

// coldGap guards the fourth rule: the least time between two sends to a cold server, even if all others look
// bad. It is this balancer's part of what comes, half way (by ratio) to where it falls; or of what reports
// say it can do, or of a few: else each tier of a fleet that starts anew lets through a part of what the one
// above does.
func (b *Balancer) coldGap(s *server, now time.Duration) time.Duration {
	ramp := b.ramp(s, now)
	if ramp == 1 {
		return 0
	}
	even := cmp.Or(b.rate, float64(b.arrivals)/b.length.Seconds()) * b.near(s) / float64(len(b.tracked)+1)
	few := coldHarmless / cmp.Or(b.set.Rules.OverloadWindow, b.set.Rules.SlowStartTime).Seconds()
	rate := even * ramp * math.Sqrt(max(b.set.Rules.OverloadMultiple, 1))
	rate = max(rate, max(coldShareOfReport*b.able(s)*ramp, few)/b.sharers())
	return time.Duration(float64(time.Second) / rate)
}

// coldTurn tells whether a server is warm or this balancer has a turn there now. One that is not used lapses:
// saved up by all balancers they came together. One that is far off is drawn anew when there are more.
func (b *Balancer) coldTurn(s *server, now time.Duration) bool {
	gap := b.coldGap(s, now)
	lapsed := now > s.coldNext+cmp.Or(b.set.Rules.OverloadWindow, b.set.Rules.SlowStartTime)
	if gap > 0 && (lapsed || s.coldNext > now+gap) {
		s.coldNext = now + b.spread(gap)
	}
	return gap == 0 || now >= s.coldNext
}
