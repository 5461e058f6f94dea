package model

import "time"

// choke is the state of being overdriven.
type choke struct {
	on           bool
	waiting, low bool
	since        time.Duration // of waiting, or of low once on
	began        time.Duration
}

// see takes how many requests a core wait and how much of the cores is busy.
func (c *choke) see(now time.Duration, k Overload, waiting, busy float64) {
	if k.TriggerAfter <= 0 {
		return
	}
	if !c.on {
		over := waiting > k.QueuedPerCore
		if over && !c.waiting {
			c.since = now
		}
		c.waiting = over
		if over && now-c.since >= k.TriggerAfter {
			*c = choke{on: true, began: now}
		}
		return
	}
	low := busy < k.RecoverBelow
	if low && !c.low {
		c.since = now
	}
	c.low = low
	if low && now-c.since >= k.RecoverAfter || now-c.began >= k.MaxDuration {
		*c = choke{}
	}
}

// bound is when the state may change by time alone.
func (c *choke) bound(k Overload) (time.Duration, bool) {
	switch {
	case k.TriggerAfter <= 0:
		return 0, false
	case !c.on:
		return c.since + k.TriggerAfter, c.waiting
	case c.low:
		return min(c.since+k.RecoverAfter, c.began+k.MaxDuration), true
	}
	return c.began + k.MaxDuration, true
}
