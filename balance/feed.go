package balance

import "time"

// exponentialP80Ratio is the 80th percentile of latency as a multiple of the mean, for exponentially distributed latencies. It is
// used where only rates are known.
const exponentialP80Ratio = 1.6

// RejectShare returns the share of first attempts to reject where another data plane carries the requests. It uses the same
// pressure as a Balancer does for its own requests: the predicted latency of a new request as a share of the mean latency
// target, from the requests open in total and those answered a second.
func (s *Settings) RejectShare(open, served float64) float64 {
	if s.Tier != 0 || open < minSamples/2 {
		return 0
	}
	return rejectProbability(exponentialP80Ratio*open/max(served, 1e-9)/s.meanTarget().Seconds(), shedStart, shedAll-shedStart)
}

// EndpointObserved records what others observed of an endpoint over some time: the share of failures among its outcomes, below
// 0 where there were none, and a load report in the order of Report.Fields, or empty. It is the input for an owner that sends no
// requests itself; its values are handled like those from outcomes and probes.
func (b *Balancer) EndpointObserved(now time.Duration, id EndpointID, failureShare float64, load []float32) {
	s := b.endpoints[id]
	if s == nil {
		return
	}
	if b.set.Report.Source != NoReports {
		b.readReport(s, load, now)
	}
	if failureShare >= 0 {
		if failureShare > ejectThreshold { // like a failed probe
			b.addReading(s, 1, now)
		}
		b.recordFailureShare(s, min(failureShare, 1), now)
	}
}
