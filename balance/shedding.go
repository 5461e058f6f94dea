package balance

import (
	"time"
)

// shedding.go: load shedding at the clients' tier.

const (
	shedFrom     = 1.2 // pressure at which shedding starts,
	shedTo       = 1.8 // and at which a class is wholly refused
	matureCount  = 20  // requests done before pressure is believed
	quantileStep = 1.0 / 40
)

// leave takes r out of the open ones. What is overdue has left before: it is stuck at some bad server, and
// refusing others would not help it.
func (b *Balancer) leave(r *request) {
	if !r.late {
		b.open--
	}
}

func (b *Balancer) done(r *request, now time.Duration) {
	if r.late {
		return
	}
	b.doneAll++
	b.doneRate.add(now, b.meanAim)
	b.burstDone++
	b.meanLat += ((now - r.arrived).Seconds() - b.meanLat) * max(slowSmoothed/2, 1/float64(b.doneAll))
}

// pressure foretells the latency of what comes now as a share of the aim: requests open over the rate at
// which they are done. It rises as soon as answers slow down, long before they are late.
func (b *Balancer) pressure(now time.Duration) float64 {
	if b.doneAll < matureCount || b.open < matureCount/2 || now-b.burstAt < b.lookAgain() {
		return 0
	}
	next := float64(b.open) / max(b.doing(now), 1e-9)
	worst := 0.0
	for i := range b.classes {
		if c := &b.classes[i]; c.n > 0 {
			worst = max(worst, c.high*next/b.set.Classes[i].LatencyTarget.Seconds())
		}
	}
	return worst + shedTo*b.turned // what is turned away finds every place taken: that is pressure too
}

// shedding refuses early, at the clients' tier alone, what will not be answered in time: when all slow down
// the mean moves with them and no signal helps. What is beyond a tenant's share and repeats go first, then
// classes by worth for their work.
func (b *Balancer) shedding(r *request, now time.Duration) (time.Duration, bool) {
	if b.set.Tier != 0 {
		return 0, false
	}
	over := false
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) {
		t := &b.tenants[r.Tenant]
		if !r.ClientRetry { // else retries of what was refused would put every tenant over its share
			t.add(now, 4*b.meanAim)
		}
		quota := b.set.Tenants[r.Tenant].Quota
		over = quota > 0 && b.rng.Float64() > quota/(t.v*float64(b.set.Balancers)+lowest)
	}
	band, from := shedTo-shedFrom, shedFrom
	if b.classes[r.Class].protected {
		from += band
	}
	if over || r.ClientRetry {
		from -= band
		band /= 2
	}
	if b.below.Refuses(now, b.meanAim/2, b.lot(r, now)) {
		return b.retryAfter(), true
	}
	p := b.pressure(now)
	if p <= from || b.lot(r, now) > chance(p, from, band) {
		return 0, false
	}
	b.shed = true
	return b.retryAfter(), true
}

// chance is how likely what comes is refused at a pressure.
func chance(pressure, from, band float64) float64 { return min(max((pressure-from)/band, 0), 1) }

// rankClasses finds the classes of so much worth per work that the goal gains more from serving them whole
// than from serving all evenly.
func (b *Balancer) rankClasses(now time.Duration) {
	worth, work := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		worth += c.get(now, 4*b.meanAim) * b.set.Classes[i].Utility
		work += c.v * c.lat
	}
	g := &b.set.Objective
	even := 1 + g.WorstClass/max(g.Overall+g.WorstWindow, lowest)
	for i := range b.classes {
		c := &b.classes[i]
		c.protected = b.set.Classes[i].Utility*work > even*worth*c.lat
	}
}

func (b *Balancer) retryAfter() time.Duration {
	return min(b.meanAim/2, b.set.Limits.MaxRetryAfter)
}
