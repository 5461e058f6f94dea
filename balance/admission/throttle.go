// Package admission limits what enters a chain of services while the services below decline it: an admitted rate that rises
// with every request served and falls with every request declined, as published for client-side throttling in large service
// meshes and for congestion control. It reads no clock and does no I/O.
package admission

import (
	"math"
	"time"
)

const (
	increaseFactor   = 1.5      // of the admitted rate for each request served: the end of an overload is noticed within 3 s
	decreaseFactor   = 0.7      // of the admitted rate for each request declined: with increaseFactor, it settles where half is served
	releaseMultiple  = 2.0      // the limit is lifted once the admitted rate exceeds the arrival rate by this factor
	minRate          = 1.2      // requests a second admitted whatever is declined: without them the end of the overload would go unnoticed
	minAdmittedShare = 1.0 / 32 // the smallest share of arrivals that admitted requests are taken to represent
)

// Throttle limits the admitted rate. Its zero value is ready for use and admits everything.
type Throttle struct {
	limiting    bool
	allowedRate float64 // requests a second, while limiting
	arrivals    float64 // decaying count of arrivals, without client retries of rejected requests
	updatedAt   time.Duration
}

// arrivalRate is the number of arrivals a second, averaged over span.
func (t *Throttle) arrivalRate(now, span time.Duration) float64 {
	if now > t.updatedAt {
		t.arrivals *= math.Exp(-float64(now-t.updatedAt) / float64(span))
		t.updatedAt = now
	}
	return t.arrivals / span.Seconds()
}

// RecordResult records the end of an admitted request; declined says that a service below declined it for good.
func (t *Throttle) RecordResult(now, span time.Duration, declined bool) {
	rate := t.arrivalRate(now, span)
	switch {
	case declined && !t.limiting:
		t.limiting, t.allowedRate = true, max(releaseMultiple*decreaseFactor*rate, minRate)
	case declined:
		t.allowedRate = max(t.allowedRate*decreaseFactor, minRate)
	case t.limiting:
		t.allowedRate *= increaseFactor
		t.limiting = t.allowedRate < releaseMultiple*rate
	}
}

// Rejects reports whether a request with a draw in 0..1 is rejected. The lowest draws are rejected first.
//
// Rejected clients retry, possibly with the same draw. Counting their retries as arrivals would leave less capacity than
// minRate to new requests, and the end of the overload would be noticed late. Therefore arrivals are estimated from admitted
// requests only: each stands for 1/(1-level) arrivals, as draws above the level were not rejected before.
func (t *Throttle) Rejects(now, span time.Duration, draw float64) bool {
	level := t.level(t.arrivalRate(now, span))
	if draw < level {
		return true
	}
	t.arrivals += 1 / max(1-level, minAdmittedShare)
	return false
}

// Level is the share of arrivals that is rejected.
func (t *Throttle) Level(now, span time.Duration) float64 { return t.level(t.arrivalRate(now, span)) }

func (t *Throttle) level(rate float64) float64 {
	if !t.limiting || rate <= 0 {
		return 0
	}
	return max(0, 1-t.allowedRate/rate)
}
