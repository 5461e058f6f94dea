package balance

import (
	"fmt"
	"time"
)

// leaseExpiry says when sending is suspended: the endpoint list may by then miss a change that counts as
// delivered. Requests that arrive later are queued for as long as any request may be.
type leaseExpiry struct {
	at     time.Duration // 0 for never
	logged bool          // its beginning was logged
}

// SetLeaseExpiry sets the time from which sending is suspended unless the endpoint list is renewed. It
// replaces the time set before.
func (b *Balancer) SetLeaseExpiry(now, at time.Duration) {
	old := b.expiry
	b.expiry = leaseExpiry{at: at, logged: old.logged}
	if !old.logged || now >= at {
		return
	}
	b.expiry.logged = false
	b.host.Log(fmt.Sprintf("endpoint list renewed; sending resumed after a suspension of %v",
		(now - old.at).Round(time.Millisecond)))
	b.retryQueued(now)
}

// sendingSuspended reports whether nothing may be sent now.
func (b *Balancer) sendingSuspended(now time.Duration) bool {
	if now < b.expiry.at || b.expiry.at == 0 {
		return false
	}
	if !b.expiry.logged {
		b.expiry.logged = true
		b.host.Log("sending suspended: the lease of the endpoint list has expired")
	}
	return true
}
