package model

import "time"

// window sums the work that came within the last span.
type window struct {
	at   []time.Duration
	work []float64
	sum  float64
}

// add takes work and tells whether it pushes a cold instance over: within a window more than multiple x capacity x window
// (and the slack) has come, turned away or not.
func (w *window) add(now time.Duration, work float64, c Cold, start time.Duration, capacity float64) bool {
	if c.Multiple <= 0 || now >= start+c.Time {
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

// Budget is the work that a cold instance bears within a window, at a capacity.
func (c Cold) Budget(capacity float64) float64 {
	return c.Multiple * capacity * c.Window.Seconds() * (1 + FallSlack)
}
