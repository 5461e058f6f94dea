package transport

import (
	"math/rand/v2"
	"time"
)

// backoff paces the calls of one subscription to discovery.
type backoff struct {
	pushed bool
	moved  bool      // a reload has named its address
	began  time.Time // of the subscription
	pause  time.Duration
	failed int // calls in a row that were refused, failed, or found discovery out of reach
}

const (
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond // while a reload settles
	mostPushed = 200 * time.Millisecond // an agent beside the sidecar is asked by nobody else
	settling   = 4 * time.Second        // after a reload

	// Discovery takes calls in turn, and works off a call, too, that has waited too long and failed. Callers that come together,
	// or again at once, keep its queue too long for all of them, for good; so whatever all sidecars meet together is followed by
	// calls that are spread. These widths take callers through a queue of 5 s of calls within 6 s; see TestPaceInACrowd.
	spreadWidth    = 3200 * time.Millisecond // after a start or a break, and after calls that failed
	mostWidth      = 64 * time.Second        // of the pauses after calls that failed
	steadyFailures = 3                       // so many have the first width, from then on it doubles
	afterMiss      = 2 * time.Second         // after a watch that fell silent: most of the time until a change counts as told is over
	afterReload    = 1200 * time.Millisecond // beyond the wait for other reloads: a watch that stands is beating still
	afterRefusal   = 1250 * time.Millisecond // the first pause; a queue that was full may have a place soon
	mostUnheard    = 5800 * time.Millisecond // from the begin of a call that fails to that of the next one, at first
	afterMishap    = 625 * time.Millisecond  // after what this sidecar alone has met

	atOnce = 100 * time.Millisecond // after a watch that was ended in order
	stood  = time.Second            // a watch that lasted this long was no refusal
)

// next is the pause after a call has ended.
func (b *backoff) next(end callEnd, rng *rand.Rand) time.Duration {
	part := func(of time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(of)) }
	around := func(d time.Duration) time.Duration { return d/2 + part(d) }
	unserved := end.outcome == callUnreachable || end.outcome == callFailed || end.outcome == callUnanswered || end.outcome == callRefused
	if !unserved {
		b.failed = 0
	}
	switch {
	case b.pushed && end.outcome != callSilent && end.outcome != callUnanswered:
		return around(b.grow(mostPushed))
	case end.outcome == callSilent:
		return part(afterMiss)
	case (end.outcome == callEnded || end.outcome == callCut) && end.stood > stood:
		return part(atOnce)
	case b.moved && end.outcome != callRefused && end.stood < waitedOut && time.Since(b.began) < settling:
		return around(b.grow(mostPause))
	case end.outcome == callBroken, end.outcome == callCut:
		return part(spreadWidth)
	case !unserved:
		return around(afterMishap)
	}
	b.failed++
	if b.failed == 1 && end.outcome == callRefused {
		return part(afterRefusal)
	}
	return part(b.width(end.stood))
}

// width is how far the pauses after calls that were not answered spread, the last of them after some time. The first ones leave
// room for one more call before a change that came with the last one counts as told.
func (b *backoff) width(took time.Duration) time.Duration {
	if b.failed <= steadyFailures {
		return min(spreadWidth, mostUnheard-took)
	}
	return min(spreadWidth<<min(b.failed-steadyFailures, 10), mostWidth)
}

// grow doubles the pause, up to a bound.
func (b *backoff) grow(most time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, leastPause), most)
	return b.pause
}
