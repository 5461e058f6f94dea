package balance

import (
	"cmp"
)

// retrybudget.go: the budget for retries.

const (
	defaultRetryShare = 1.0 / 8 // retries of attempts that may have run, as a share of first attempts
	defaultRetryBurst = 64.0    // retry tokens that all balancers together can accumulate, at least one each
)

// addRetryTokens adds a part of a retry token for each send. A new process starts with none: in a fleet of
// hundreds each would otherwise allow a burst of retries right after its start.
func (b *Balancer) addRetryTokens() {
	l := &b.set.Limits
	burst := cmp.Or(l.RetryBurst, defaultRetryBurst) / float64(max(b.set.Balancers, minTracked))
	b.retryTokens = min(b.retryTokens+cmp.Or(l.RetryShare, defaultRetryShare), max(burst, 1))
}

// takeRetryToken takes a token if there is one. The budget keeps every tier from multiplying the load of the
// tier below when answers fail.
func (b *Balancer) takeRetryToken() bool {
	if b.retryTokens < 1 {
		return false
	}
	b.retryTokens--
	return true
}
