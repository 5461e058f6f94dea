package model

import (
	"math"
	"time"
)

// reports holds the load as it was sampled, until it shows.
type reports struct {
	next, since time.Duration
	busy        float64 // core-seconds since the last sample
	served      int
	shown       Load
	any         bool
	coming      []sample
}

type sample struct {
	at   time.Duration
	load Load
}

// sample takes the load now; it shows after the delay of reports.
func (i *Instance) sample() {
	r, c := &i.reports, i.config.LoadReports
	if span := (i.now - r.since).Seconds(); span > 0 {
		noisy := func(v float64) float64 { return math.Max(0, v*(1+c.Noise*i.rng.NormFloat64())) }
		r.coming = append(r.coming, sample{at: i.now + c.Delay + i.lateReports, load: Load{
			Queue:    int(noisy(float64(len(i.queue)))),
			Inflight: int(math.Round(noisy(float64(i.slots + len(i.queue))))),
			QPS:      noisy(float64(r.served) / span),
			Util:     math.Min(1, noisy(r.busy/span/float64(i.config.Cores))),
		}})
	}
	r.busy, r.served, r.since = 0, 0, i.now
	r.next = i.now + max(c.Period, 10*time.Millisecond)
}

// report is the load that shows now.
func (i *Instance) report() (Load, bool) {
	r := &i.reports
	for len(r.coming) > 0 && r.coming[0].at <= i.now {
		r.shown, r.any = r.coming[0].load, true
		r.coming = r.coming[1:]
	}
	return r.shown, r.any
}

// Report is the load report as the instance would send it now, for a probe.
func (i *Instance) Report(now time.Duration) (Load, bool) {
	i.Advance(now)
	return i.report()
}
