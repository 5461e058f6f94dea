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
	failed int // calls in a row that were refused or found discovery out of reach
}

const (
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond // while a reload settles
	mostPushed = 200 * time.Millisecond // an agent beside the sidecar is asked by nobody else
	settling   = 4 * time.Second        // after a reload
	afterMiss  = 600 * time.Millisecond // after a watch that fell silent: all sidecars meet that together

	// After a call that was refused or broke. A refusal costs discovery work, too: fourteen sidecars that asked again every
	// 0.4 s kept its queue full for ten seconds.
	firstBreak = 625 * time.Millisecond
	mostBreak  = 1250 * time.Millisecond
	atOnce     = 100 * time.Millisecond // after a watch that was ended in order
	afterWait  = 300 * time.Millisecond // after a call that has waited for seconds already: its outcome and the next one's renew the lease
	stood      = time.Second            // a watch that lasted this long was no refusal
)

// next is the pause after a call has ended.
func (b *backoff) next(end callEnd, rng *rand.Rand) time.Duration {
	part := func(of time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(of)) }
	around := func(d time.Duration) time.Duration { return d/2 + part(d) }
	waited := end.stood >= waitedOut
	if end.kind != callUnreachable && end.kind != callUnanswered && end.kind != callRefused {
		b.failed = 0
	}
	switch {
	case b.pushed && end.kind != callSilent && end.kind != callUnanswered:
		return around(b.grow(mostPushed))
	case end.kind == callUnanswered, end.kind == callUnreachable && waited:
		return part(afterWait)
	case end.kind == callSilent:
		return part(afterMiss)
	case end.kind == callEnded && end.stood > stood:
		return part(atOnce)
	case b.moved && end.kind != callRefused && time.Since(b.began) < settling:
		return around(b.grow(mostPause))
	}
	b.failed++
	if b.failed == 1 {
		return around(firstBreak)
	}
	return around(mostBreak)
}

// grow doubles the pause, up to a bound.
func (b *backoff) grow(most time.Duration) time.Duration {
	b.pause = min(max(2*b.pause, leastPause), most)
	return b.pause
}
