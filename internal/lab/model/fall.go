package model

import (
	"math"
	"time"
)

// window sums the work that came within the last span, each request at the mean of its class: what one of them turns out to
// cost nobody knows who sends it.
type window struct {
	at   []time.Duration
	work []float64
	sum  float64
}

// add takes work and tells whether it pushes a cold instance over: more than its budget has come within a window, turned away
// or not.
func (w *window) add(now time.Duration, work float64, c ColdStart, start time.Duration, capacity float64) bool {
	if c.LoadFactor <= 0 || now >= start+c.Duration {
		return false
	}
	w.at, w.work = append(w.at, now), append(w.work, work)
	w.sum += work
	for len(w.at) > 0 && w.at[0] <= now-c.Window {
		w.sum -= w.work[0]
		w.at, w.work = w.at[1:], w.work[1:]
	}
	return w.sum > c.Budget(capacity)
}

// Budget is the work that a cold instance bears within a window, at a capacity: that of n mean requests, Multiple times what it
// can do, and of 2 x root of n + 2 more, which is what chance brings where many send without word of each other.
func (c ColdStart) Budget(capacity float64) float64 {
	n := c.LoadFactor * capacity * c.Window.Seconds() / c.MeanWork
	return (n + 2*math.Sqrt(n) + 2) * c.MeanWork
}
