package balance

import (
	"time"
)

// shedding.go: load shedding at the tier that clients reach.

const (
	shedStart    = 1.2      // pressure at which shedding starts,
	shedAll      = 1.8      // and at which a class is rejected entirely
	minSamples   = 20       // completed requests before pressure is computed
	quantileStep = 1.0 / 40 // step of the 80th-percentile estimate
)

// removeOpen removes r from the count of open requests. An overdue request was removed before: it is stuck at
// a bad endpoint, and rejecting others would not help it.
func (b *Balancer) removeOpen(r *request) {
	if !r.overdue {
		b.openRequests--
	}
}

// recordCompletion updates the completion rate and the mean latency by an answered request.
func (b *Balancer) recordCompletion(r *request, now time.Duration) {
	if r.overdue {
		return
	}
	b.completed++
	b.completionRate.add(now, b.meanTarget)
	b.burstCompleted++
	b.meanLatency += ((now - r.arrivedAt).Seconds() - b.meanLatency) *
		max(slowSmoothing/2, 1/float64(b.completed))
}

// pressure predicts the latency of a new request as a share of the latency target: open requests over the
// completion rate. It rises as soon as answers slow down, long before they are late.
func (b *Balancer) pressure(now time.Duration) float64 {
	if b.completed < minSamples || b.openRequests < minSamples/2 || now-b.burstStart < b.queueInterval() {
		return 0
	}
	latency := float64(b.openRequests) / max(b.completionsPerSecond(now), 1e-9)
	worst := 0.0
	for i := range b.classes {
		if c := &b.classes[i]; c.answers > 0 {
			worst = max(worst, c.p80Ratio*latency/b.set.Classes[i].LatencyTarget.Seconds())
		}
	}
	return worst + shedAll*b.rejectedRatio // an attempt is rejected where the endpoint is at its limit
}

// shouldShed reports whether to reject a request early, and the time after which to retry, as it will not be
// answered in time. It acts only at the tier that clients reach: when all endpoints slow down the mean moves
// with them, and no signal helps. Requests beyond a tenant's share and client retries are rejected first,
// then classes by utility per work.
func (b *Balancer) shouldShed(r *request, now time.Duration) (time.Duration, bool) {
	if b.set.Tier != 0 {
		return 0, false
	}
	overShare := false
	if r.Tenant >= 0 && r.Tenant < len(b.tenantRates) {
		t := &b.tenantRates[r.Tenant]
		if !r.ClientRetry { // retries of rejected requests would put every tenant over its share
			t.add(now, 4*b.meanTarget)
		}
		quota := b.set.Tenants[r.Tenant].Quota
		overShare = quota > 0 && b.rng.Float64() > quota/(t.value*float64(b.set.Balancers)+minSignal)
	}
	band, start := shedAll-shedStart, shedStart
	if b.classes[r.Class].protected {
		start += band
	}
	if overShare || r.ClientRetry {
		start -= band
		band /= 2
	}
	if b.downstream.Rejects(now, b.meanTarget/2, b.admissionDraw(r, now)) {
		return b.retryAfter(), true
	}
	p := b.pressure(now)
	if p <= start || b.admissionDraw(r, now) > rejectProbability(p, start, band) {
		return 0, false
	}
	b.shedInPhase = true
	return b.retryAfter(), true
}

// rejectProbability is the probability of rejecting a request at pressure p. It is 0 up to start and rises to
// 1 at start+band.
func rejectProbability(p, start, band float64) float64 { return min(max((p-start)/band, 0), 1) }

// updateProtectedClasses finds the classes with so much utility per work that the objective gains more from
// serving them fully than from serving all classes evenly.
func (b *Balancer) updateProtectedClasses(now time.Duration) {
	utility, work := 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		utility += c.valueAt(now, 4*b.meanTarget) * b.set.Classes[i].Utility
		work += c.value * c.latency
	}
	g := &b.set.Objective
	even := 1 + g.WorstClass/max(g.Overall+g.WorstWindow, minSignal)
	for i := range b.classes {
		c := &b.classes[i]
		c.protected = b.set.Classes[i].Utility*work > even*utility*c.latency
	}
}

// retryAfter is the time after which a rejected client should retry.
func (b *Balancer) retryAfter() time.Duration {
	return min(b.meanTarget/2, b.set.Limits.MaxRetryAfter)
}
