package model

import "time"

// overloadState tracks whether an instance is slowed down because it was overloaded.
type overloadState struct {
	active                        bool
	overThreshold, underThreshold bool
	since                         time.Duration // start of overThreshold while inactive, of underThreshold while active
	activatedAt                   time.Duration
}

// observe updates the state from the number of requests queued per core and the busy fraction of the cores.
func (o *overloadState) observe(now time.Duration, config Overload, queuedPerCore, utilization float64) {
	if config.TriggerAfter <= 0 {
		return
	}
	if !o.active {
		over := queuedPerCore > config.QueuedPerCore
		if over && !o.overThreshold {
			o.since = now
		}
		o.overThreshold = over
		if over && now-o.since >= config.TriggerAfter {
			*o = overloadState{active: true, activatedAt: now}
		}
		return
	}
	under := utilization < config.RecoverBelow
	if under && !o.underThreshold {
		o.since = now
	}
	o.underThreshold = under
	if under && now-o.since >= config.RecoverAfter || now-o.activatedAt >= config.MaxDuration {
		*o = overloadState{}
	}
}

// nextChange returns the time at which the state may change without further events, or false if it cannot.
func (o *overloadState) nextChange(config Overload) (time.Duration, bool) {
	switch {
	case config.TriggerAfter <= 0:
		return 0, false
	case !o.active:
		return o.since + config.TriggerAfter, o.overThreshold
	case o.underThreshold:
		return min(o.since+config.RecoverAfter, o.activatedAt+config.MaxDuration), true
	}
	return o.activatedAt + config.MaxDuration, true
}
