package control

import (
	"math"
	"sync"
	"time"
)

const (
	refusalSpan = time.Second     // over which the share follows: what proxies report is a second old
	refusalMost = 0.9             // of first tries; some must pass, or nothing tells that the pool is well again
	refusalKept = 3 * time.Second // without a report the share is void: proxies that report may have left, others refuse on
)

// refusal is the share of requests that proxies are told to refuse. It follows what the module says, slowly enough that the
// effect of one share is reported before the next is far from it. Any goroutine may call it.
type refusal struct {
	mu    sync.Mutex
	at    time.Duration
	share float64
}

// take takes the share that the module wants.
func (r *refusal) take(now time.Duration, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.at > refusalKept {
		r.share, r.at = 0, now
	}
	part := 1 - math.Exp(-float64(now-r.at)/float64(refusalSpan))
	r.share += (min(share, refusalMost) - r.share) * max(part, 0)
	r.at = now
}

// percent is the share in steps of two hundredths: smaller ones are not worth a response to every proxy.
func (r *refusal) percent(now time.Duration) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.at > refusalKept {
		return 0
	}
	return 2 * uint32(math.Round(50*r.share))
}
