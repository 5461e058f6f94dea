package balance

import (
	"fmt"
	"time"
)

// outlier.go: what outcomes, reports and probes show about an endpoint, and its ejection.

const (
	timeoutEjectTargets  = 2        // mean latency targets of ejection after a time-out with no answer since
	ejectThreshold       = 0.5      // an endpoint whose failure ratio exceeds the mean of all by this is ejected
	failureSmoothing     = 0.3      // weight of one outcome: two failures in a row eject, one does not
	maxEjectedDivisor    = 3        // at most one in this many tracked endpoints is ejected
	probeRatio           = 1.0 / 3  // probes as a share of requests, where only probes bring reports,
	maxProbePenalty      = 0.004    // and at most as many as cost this part of the objective
	spilloverUtilisation = 0.75     // utilisation of the local zone from which traffic spills over to others,
	spilloverMargin      = 0.05     // if theirs is lower by this
	slowSmoothing        = 1.0 / 16 // smoothing factor of slowly changing averages
)

// recordOutcome updates the state of an endpoint by an outcome. Errors, time-outs, failed connections and
// rejections count as readings of full utilisation.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome, now time.Duration) {
	s, c := a.endpoint, &b.classes[r.Class]
	b.inFlight--
	rejected := 0.0
	b.downstream.RecordResult(now, b.meanTarget/2, o.Status == Declined)
	if o.Status == Rejected || o.Status == ConnectFailed {
		rejected = 1
	}
	b.rejectedRatio += slowSmoothing / 2 * (rejected - b.rejectedRatio)
	reported := b.set.Report.Source == OnResponses && b.readReport(s, o.Load, now)
	switch o.Status {
	case OK:
		s.lastSuccess = now
		c.answers++
		c.latency += (o.Latency.Seconds() - c.latency) * max(slowSmoothing, 1/float64(c.answers))
		c.updateP80(o.Latency.Seconds() / max(b.meanLatency, 1e-6))
		if !reported && !b.reportsUtilisation() {
			// Exception: without reported utilisation, latency relative to the class's mean stands in; 1/2 at par.
			b.addReading(s, o.Latency.Seconds()/(o.Latency.Seconds()+max(c.latency, 1e-6)), now)
		}
		if !a.failureCounted {
			b.recordFailureShare(s, 0, now)
		}
	case Error, Reset, ConnectFailed:
		b.addReading(s, 1, now)
		b.recordFailureShare(s, 1, now)
	case Timeout, Cancelled:
		c.updateP80((now - a.sentAt).Seconds() / max(b.meanLatency, 1e-6))
		if !r.ended {
			b.addReading(s, 1, now)
		}
		// A failure ratio that ejects takes a balancer with few requests three time-outs, each losing a request.
		if o.Status == Timeout && s.lastSuccess <= a.sentAt {
			s.ejectedUntil = max(s.ejectedUntil, now+timeoutEjectTargets*b.meanTarget+b.probationDelay(s))
		}
	case Rejected:
		b.addReading(s, 1, now)
		s.ejectedUntil = max(s.ejectedUntil, now+b.meanTarget/16)
	}
}

// recordFailureShare updates an endpoint's failure ratio, and ejects it if that is far above the mean of all.
// The ejection time doubles each time, and the number of endpoints ejected at once is limited.
func (b *Balancer) recordFailureShare(s *endpointState, failed float64, now time.Duration) {
	s.failureRatio += failureSmoothing * (failed - s.failureRatio)
	b.meanFailureRatio += slowSmoothing / 2 * (failed - b.meanFailureRatio)
	if failed == 0 {
		if s.probation && s.failureRatio < failureSmoothing {
			s.probation, s.ejectionTime = false, 0
		}
		return
	}
	if s.failureRatio-b.meanFailureRatio <= ejectThreshold || now < s.ejectedUntil {
		return
	}
	ejected := 0
	for _, t := range b.tracked {
		if now < t.ejectedUntil || t.probation {
			ejected++
		}
	}
	if !s.probation && (ejected+1)*maxEjectedDivisor > len(b.tracked) {
		return
	}
	s.ejectionTime = min(max(b.meanTarget, 2*s.ejectionTime), 8*b.meanTarget)
	s.ejectedUntil, s.probation = now+s.ejectionTime+b.probationDelay(s), true
	b.host.Log(fmt.Sprintf("endpoint %d ejected for %v: %.0f%% of its outcomes failed, %.0f%% of all",
		s.ID, s.ejectionTime, 100*s.failureRatio, 100*b.meanFailureRatio))
}

// probationDelay spreads the end of an ejection over the balancers that track the endpoint, as all of them
// ejected it for the same cause at the same time. The order follows from the endpoint and the balancers'
// numbers; no balancer waits for another, so one that is down does not stop the rest.
func (b *Balancer) probationDelay(s *endpointState) time.Duration {
	position := float64(hash(s.ringHash^uint64(b.set.Index))>>11) / (1 << 53)
	return time.Duration(position * (b.balancersPerEndpoint() - 1) * float64(b.queueInterval()))
}

// ProbeDone handles the answer to a probe.
func (b *Balancer) ProbeDone(now time.Duration, id EndpointID, lag time.Duration, status Status,
	load []float32) {
	if s := b.endpoints[id]; s != nil {
		s.probePending = false
	}
	failureShare := -1.0 // an answer carries load only, no outcome
	if status != OK && status != NotSent {
		failureShare = 1
	}
	b.EndpointObserved(now, id, failureShare, load)
}

// probeWithinBudget probes the tracked endpoints in turn, as a small share of requests, where only probes
// bring reports.
func (b *Balancer) probeWithinBudget(now time.Duration) {
	if b.set.Report.Source != OnProbes || !b.set.Limits.Probes || len(b.tracked) == 0 {
		return
	}
	b.probeTokens = min(
		b.probeTokens+min(probeRatio, maxProbePenalty/max(b.set.Penalties.Probe, 1e-9)), minTracked)
	if b.probeTokens < 1 {
		return
	}
	b.probeIndex = (b.probeIndex + 1) % len(b.tracked)
	if s := b.tracked[b.probeIndex]; !s.probePending && now-s.probedAt >= b.reportInterval/4 {
		b.probeTokens--
		s.probePending, s.probedAt = true, now
		b.host.Probe(s.ID)
	}
}

// updateAfterPhase updates what is measured by phases: request rate, subset size, locality spill-over.
func (b *Balancer) updateAfterPhase(now time.Duration) {
	b.updateRequestRate(now)
	// Exception: other zones join while the local zone is clearly more loaded, in doubling steps.
	sum, n := map[bool]float64{}, map[bool]float64{} // by whether an endpoint is local
	for _, s := range b.tracked {
		if local := s.Zone == b.set.Zone; s.readings > 0 {
			sum[local], n[local] = sum[local]+s.utilisation, n[local]+1
		}
	}
	local, remote := sum[true]/max(n[true], 1), sum[false]/max(n[false], 1)
	overloaded := (b.shedInPhase || local > spilloverUtilisation) && local-remote > spilloverMargin
	if b.spillover = max(b.spillover/2, minSignal/2); n[false] > 0 && overloaded {
		b.spillover = min(4*b.spillover, 1)
	}
	b.shedInPhase = false
	b.updateProtectedClasses(now)
	b.updateSubset(now)
}
