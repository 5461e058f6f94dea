package subscription

import (
	"math/rand/v2"
	"time"
)

// backoff computes the delays between the calls of one subscription to discovery.
type backoff struct {
	pushed    bool          // lists are pushed by an agent beside the sidecar
	reloaded  bool          // its address comes from a reload
	startedAt time.Duration // when the subscription made its first call
	pause     time.Duration // the last one of doublePause
	failures  int           // consecutive calls that were refused, unanswered or failed; those that found discovery unreachable do not count
}

const (
	minPause         = 100 * time.Millisecond
	maxReloadPause   = 800 * time.Millisecond // within reloadSettleTime of a reload
	maxPushedPause   = 200 * time.Millisecond // the agent beside the sidecar has no other callers
	reloadSettleTime = 4 * time.Second        // for so long a subscription after a reload is called at short pauses

	// Discovery handles calls in order, and spends time even on a call that has waited too long and failed. Callers that call
	// together, or retry at once, keep the queue too long for all of them indefinitely. So after an event that affects all
	// sidecars together, calls are delayed by a random part of a spread. With these spreads a queue of 5 s of calls is served
	// within 6 s; see TestBackoffOfManyCallers.
	initialSpread        = 3200 * time.Millisecond // after a start or the break of a watch, and after the first failed calls
	maxFailureSpread     = 64 * time.Second        // after failed calls
	failuresBeforeGrowth = 3                       // number of failures with the initial spread; it doubles with each further one
	silentWatchSpread    = 2 * time.Second         // after a watch fell silent: most of the time within which a change counts as delivered has passed
	reloadSpread         = 1200 * time.Millisecond // added to the debounce of reloads: the open watch still renews the lease
	firstRefusalSpread   = 1250 * time.Millisecond // after the first refusal: a full queue may have a free place soon
	maxCallInterval      = 5800 * time.Millisecond // from the start of a call that fails to the start of the next one, before the spread doubles
	isolatedFailurePause = 625 * time.Millisecond  // after a failure that affects this sidecar alone

	endedWatchSpread = 100 * time.Millisecond // after discovery ended a watch in order
	minWatchDuration = time.Second            // a watch that ended sooner is not called again at once
)

// next returns the pause after a call whose end is handled now.
func (b *backoff) next(end CallEnded, now time.Duration, rng *rand.Rand) time.Duration {
	jitter := func(of time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(of)) }
	jitterAround := func(d time.Duration) time.Duration { return d/2 + jitter(d) }
	failed := end.Outcome == Failed || end.Outcome == Unanswered || end.Outcome == Refused
	if !failed && end.Outcome != Unreachable {
		b.failures = 0
	}
	switch {
	case b.pushed && end.Outcome != Silent && end.Outcome != Unanswered:
		return jitterAround(b.doublePause(maxPushedPause))
	case end.Outcome == Silent:
		return jitter(silentWatchSpread)
	case (end.Outcome == Ended || end.Outcome == Truncated) && end.Duration > minWatchDuration:
		return jitter(endedWatchSpread)
	case b.reloaded && end.Outcome != Refused && end.Duration < MaxRefusalDelay && now-b.startedAt < reloadSettleTime:
		return jitterAround(b.doublePause(maxReloadPause))
	case end.Outcome == Broken, end.Outcome == Truncated:
		return jitter(initialSpread)
	case end.Outcome == Unreachable:
		// The call took none of discovery's time and renewed the lease, so the next one must come before that expires.
		return jitter(initialSpread)
	case !failed:
		return jitterAround(isolatedFailurePause)
	}
	b.failures++
	if b.failures == 1 && end.Outcome == Refused {
		return jitter(firstRefusalSpread)
	}
	return jitter(b.failureSpread(end.Duration))
}

// failureSpread returns the spread of the pause after a call that failed after duration. The first ones leave time for
// one more call before a change that discovery got during the failed one counts as delivered.
func (b *backoff) failureSpread(duration time.Duration) time.Duration {
	if b.failures <= failuresBeforeGrowth {
		return min(initialSpread, maxCallInterval-duration)
	}
	return min(initialSpread<<min(b.failures-failuresBeforeGrowth, 10), maxFailureSpread)
}

// doublePause doubles the pause, up to a limit, and returns it.
func (b *backoff) doublePause(limit time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, minPause), limit)
	return b.pause
}
