package control

import (
	"math"
	"sync"
	"time"
)

const (
	refusalSpan = time.Second // over which the share follows: what proxies report is a second old
	refusalMost = 0.9         // of first tries; some must pass, or nothing tells that the pool is well again
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
	part := 1 - math.Exp(-float64(now-r.at)/float64(refusalSpan))
	r.share += (min(share, refusalMost) - r.share) * max(part, 0)
	r.at = now
}

// percent is the share in steps of two hundredths: smaller ones are not worth a response to every proxy.
func (r *refusal) percent() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 2 * uint32(math.Round(50*r.share))
}
