package model

import (
	"math"
	"time"
)

// workWindow sums the work received within a sliding window. Each request counts with the mean work of its class, because a
// sender cannot know what a single request will cost.
type workWindow struct {
	times []time.Duration
	work  []float64
	sum   float64
}

// add records received work, rejected requests included, and reports whether an instance in its cold start has now received
// more than its budget within one window.
func (w *workWindow) add(now time.Duration, work float64, c ColdStart, start time.Duration, capacity float64) bool {
	if c.LoadFactor <= 0 || now >= start+c.Duration {
		return false
	}
	w.times, w.work = append(w.times, now), append(w.work, work)
	w.sum += work
	for len(w.times) > 0 && w.times[0] <= now-c.Window {
		w.sum -= w.work[0]
		w.times, w.work = w.times[1:], w.work[1:]
	}
	return w.sum > c.Budget(capacity)
}

// Budget returns the work that an instance in its cold start tolerates within a window at a given capacity. With n the number
// of mean requests in LoadFactor times that capacity, it is the work of n + 2*sqrt(n) + 2 mean requests: the excess is the
// random variation to expect when many senders act without coordination.
func (c ColdStart) Budget(capacity float64) float64 {
	n := c.LoadFactor * capacity * c.Window.Seconds() / c.MeanWork
	return (n + 2*math.Sqrt(n) + 2) * c.MeanWork
}
