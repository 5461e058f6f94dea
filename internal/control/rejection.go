package control

import (
	"math"
	"sync"
	"time"
)

const (
	rejectTimeConstant = time.Second     // of the smoothing; proxies' reports are a second old
	maxRejectShare     = 0.9             // of first attempts; some have to pass, or nothing would show that the pool has recovered
	rejectShareTTL     = 3 * time.Second // without a report the share is void: the reporting proxies may have left while others go on rejecting
)

// rejection is the share of requests that proxies are configured to reject. It follows the share that the decision module wants,
// slowly enough that the effect of one value is reported before the next differs much. It is safe for concurrent use.
type rejection struct {
	mu        sync.Mutex
	updatedAt time.Duration
	share     float64
}

// update moves the share towards the one that the decision module wants.
func (r *rejection) update(now time.Duration, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.updatedAt > rejectShareTTL {
		r.share, r.updatedAt = 0, now
	}
	gain := 1 - math.Exp(-float64(now-r.updatedAt)/float64(rejectTimeConstant))
	r.share += (min(share, maxRejectShare) - r.share) * max(gain, 0)
	r.updatedAt = now
}

// percent returns the share in steps of 2%: smaller changes are not worth a response to every proxy.
func (r *rejection) percent(now time.Duration) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.updatedAt > rejectShareTTL {
		return 0
	}
	return 2 * uint32(math.Round(50*r.share))
}
