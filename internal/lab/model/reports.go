package model

import (
	"math"
	"time"
)

// reportState holds load samples until they become visible in reports.
type reportState struct {
	nextSample, lastSample time.Duration
	busyWork               float64 // core-seconds since the last sample
	served                 int
	visible                Load
	any                    bool
	pending                []loadSample
}

// loadSample is a load sample and the time at which it becomes visible.
type loadSample struct {
	at   time.Duration
	load Load
}

// sampleLoad samples the current load, which becomes visible after the delay of load reports.
func (i *Instance) sampleLoad() {
	r, c := &i.reports, i.config.LoadReports
	if span := (i.now - r.lastSample).Seconds(); span > 0 {
		noisy := func(v float64) float64 { return math.Max(0, v*(1+c.Noise*i.rng.NormFloat64())) }
		r.pending = append(r.pending, loadSample{at: i.now + c.Delay + i.reportDelay, load: Load{
			Queue:    int(noisy(float64(len(i.queue)))),
			Inflight: int(math.Round(noisy(float64(i.usedSlots + len(i.queue))))),
			QPS:      noisy(float64(r.served) / span),
			Util:     math.Min(1, noisy(r.busyWork/span/float64(i.config.Cores))),
		}})
	}
	r.busyWork, r.served, r.lastSample = 0, 0, i.now
	r.nextSample = i.now + max(c.Period, 10*time.Millisecond)
}

// visibleReport returns the latest load sample that is visible now, or false if there is none yet.
func (i *Instance) visibleReport() (Load, bool) {
	r := &i.reports
	for len(r.pending) > 0 && r.pending[0].at <= i.now {
		r.visible, r.any = r.pending[0].load, true
		r.pending = r.pending[1:]
	}
	return r.visible, r.any
}

// Report returns the load report with which the instance would answer a probe now.
func (i *Instance) Report(now time.Duration) (Load, bool) {
	i.Advance(now)
	return i.visibleReport()
}
