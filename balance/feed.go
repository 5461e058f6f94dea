package balance

import "time"

// highUnknown is the multiple of the mean latency that one answer in five exceeds where only rates are known: that of
// exponential latencies.
const highUnknown = 1.6

// Refusal is the share of first tries that is to be refused where others carry the requests: by the same pressure as that of an
// owner's own, the latency foretold for what comes now as a share of the mean aim, from the requests open in all and those
// served a second.
func (s *Settings) RejectShare(open, served float64) float64 {
	if s.Tier != 0 || open < matureCount/2 {
		return 0
	}
	return chance(highUnknown*open/max(served, 1e-9)/s.meanAim().Seconds(), shedFrom, shedTo-shedFrom)
}

// Observed takes what others saw of a server over some time: the share of failures among its outcomes, below 0 where there
// were none, and a load report in the order of Report.Fields, or empty. It is the way in for an owner that sends nothing
// itself; the readings go the way of those from outcomes and probes.
func (b *Balancer) EndpointObserved(now time.Duration, id EndpointID, failed float64, load []float32) {
	s := b.servers[id]
	if s == nil {
		return
	}
	if b.set.Report.Source != NoReports {
		b.readReport(s, load, now)
	}
	if failed >= 0 {
		if failed > ejectFrom { // as a failed probe
			b.read(s, 1, now)
		}
		b.judge(s, min(failed, 1), now)
	}
}
