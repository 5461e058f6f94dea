package balance

import (
	"cmp"
)

// retrybudget.go: how many attempts beyond the first all requests may have.

const (
	retryShare = 1.0 / 8 // repeats of what may have run, as a share of first sends
	retryBurst = 64.0    // repeats that all balancers together can save up, one each at the least
)

// earnRetry saves a part of a repeat for each send. A new process has none: hundreds of them would bring as
// many bursts for nothing.
func (b *Balancer) earnRetry() {
	l := &b.set.Limits
	most := cmp.Or(l.RetryBurst, retryBurst) / float64(max(b.set.Balancers, minTracked))
	b.retries = min(b.retries+cmp.Or(l.RetryShare, retryShare), max(most, 1))
}

// spendRetry guards against every tier multiplying the load of the tier below it when answers fail.
func (b *Balancer) spendRetry() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
