package balance

import (
	"fmt"
	"time"
)

// outlier.go: what outcomes, reports and probes tell of a server, and its ejection.

const (
	silentFor    = 2       // mean aims that a server is out which let an attempt time out, with no answer since
	ejectFrom    = 0.5     // a server whose share of failures exceeds that of all by this is ejected
	failWeight   = 0.3     // of one outcome in a server's share of failures: two in a row eject, one does not
	ejectShare   = 3       // at most one in this many tracked servers is ejected
	probeShare   = 1.0 / 3 // probes as a share of requests, where only probes bring reports,
	probeCost    = 0.004   // and at the most as many as cost this part of the result
	zoneBusy     = 0.75    // mean utilisation of the own zone from which others may help,
	zoneMargin   = 0.05    // if theirs is lower by this
	slowSmoothed = 1.0 / 16
)

// learn takes what an outcome tells of a server. Errors, time-outs, failed connections and being turned away
// are readings of full utilisation.
func (b *Balancer) learn(r *request, a *attempt, o Outcome, now time.Duration) {
	s, c := a.server, &b.classes[r.Class]
	b.out--
	away := 0.0
	b.below.Ended(now, b.meanAim/2, o.Status == Declined)
	if o.Status == Rejected || o.Status == ConnectFailed {
		away = 1
	}
	b.turned += slowSmoothed / 2 * (away - b.turned)
	reported := b.set.Report.Source == OnResponses && b.readReport(s, o.Load, now)
	switch o.Status {
	case OK:
		s.served = now
		c.n++
		c.lat += (o.Latency.Seconds() - c.lat) * max(slowSmoothed, 1/float64(c.n))
		c.rank(o.Latency.Seconds() / max(b.meanLat, 1e-6))
		if !reported && !b.utilReported() {
			// Exception: without reports of utilisation, latency against the class's mean stands in, 1/2 at par.
			b.read(s, o.Latency.Seconds()/(o.Latency.Seconds()+max(c.lat, 1e-6)), now)
		}
		if !a.judged {
			b.judge(s, 0, now)
		}
	case Error, Reset, ConnectFailed:
		b.read(s, 1, now)
		b.judge(s, 1, now)
	case Timeout, Cancelled:
		c.rank((now - a.sent).Seconds() / max(b.meanLat, 1e-6))
		if !r.ended {
			b.read(s, 1, now)
		}
		// Ejection takes a quiet balancer three time-outs, each on another request that is lost.
		if o.Status == Timeout && s.served <= a.sent {
			s.outUntil = max(s.outUntil, now+silentFor*b.meanAim+b.turnAt(s))
		}
	case Rejected:
		b.read(s, 1, now)
		s.outUntil = max(s.outUntil, now+b.meanAim/16)
	}
}

// judge ejects a server that fails far more than all do, for a time that doubles, never too many at once.
func (b *Balancer) judge(s *server, bad float64, now time.Duration) {
	s.failed += failWeight * (bad - s.failed)
	b.failed += slowSmoothed / 2 * (bad - b.failed)
	if bad == 0 {
		if s.trial && s.failed < failWeight {
			s.trial, s.hold = false, 0
		}
		return
	}
	if s.failed-b.failed <= ejectFrom || now < s.outUntil {
		return
	}
	ejected := 0
	for _, t := range b.tracked {
		if now < t.outUntil || t.trial {
			ejected++
		}
	}
	if !s.trial && (ejected+1)*ejectShare > len(b.tracked) {
		return
	}
	s.hold = min(max(b.meanAim, 2*s.hold), 8*b.meanAim)
	s.outUntil, s.trial = now+s.hold+b.turnAt(s), true
	b.host.Log(fmt.Sprintf("server %d ejected for %v: %.0f%% of its outcomes failed, %.0f%% of all",
		s.ID, s.hold, 100*s.failed, 100*b.failed))
}

// turnAt spreads the balancers that try a server again, as all who track it have left it for one cause at one
// time. The order follows from the server and from their numbers; if one is dead the next comes anyway.
func (b *Balancer) turnAt(s *server) time.Duration {
	place := float64(mix(s.spot^uint64(b.set.Index))>>11) / (1 << 53)
	return time.Duration(place * (b.sharers() - 1) * float64(b.lookAgain()))
}

// Probed takes the answer to a probe.
func (b *Balancer) ProbeDone(now time.Duration, id EndpointID, lag time.Duration, status Status, load []float32) {
	if s := b.servers[id]; s != nil {
		s.probing = false
	}
	failed := -1.0 // an answer tells of its load alone
	if status != OK && status != NotSent {
		failed = 1
	}
	b.EndpointObserved(now, id, failed, load)
}

// probeOnBudget asks for reports where only probes bring them: a small share of the requests, in turn.
func (b *Balancer) probeOnBudget(now time.Duration) {
	if b.set.Report.Source != OnProbes || !b.set.Limits.Probes || len(b.tracked) == 0 {
		return
	}
	b.probes = min(b.probes+min(probeShare, probeCost/max(b.set.Penalties.Probe, 1e-9)), minTracked)
	if b.probes < 1 {
		return
	}
	b.probeAt = (b.probeAt + 1) % len(b.tracked)
	if s := b.tracked[b.probeAt]; !s.probing && now-s.probed >= b.gap/4 {
		b.probes--
		s.probing, s.probed = true, now
		b.host.Probe(s.ID)
	}
}

// endPhase updates what goes by phases: own rate, the subset's size, the spill to other zones.
func (b *Balancer) endPhase(now time.Duration) {
	b.measure(now)
	// Exception: servers of other zones join while the own zone is clearly worse, in doubling steps.
	sum, n := map[bool]float64{}, map[bool]float64{} // by whether a server is local
	for _, s := range b.tracked {
		if local := s.Zone == b.set.Zone; s.count > 0 {
			sum[local], n[local] = sum[local]+s.avg, n[local]+1
		}
	}
	here, there := sum[true]/max(n[true], 1), sum[false]/max(n[false], 1)
	bad := (b.shed || here > zoneBusy) && here-there > zoneMargin
	if b.spill = max(b.spill/2, lowest/2); n[false] > 0 && bad {
		b.spill = min(4*b.spill, 1)
	}
	b.shed = false
	b.rankClasses(now)
	b.choose(now)
}
