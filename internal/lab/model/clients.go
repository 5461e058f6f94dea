package model

import (
	"math/rand/v2"
	"time"
)

// Class is a class of requests that clients send.
type Class struct {
	Name          string
	Share         float64 // fraction of all requests
	Work          time.Duration
	WorkCV        float64 // coefficient of variation of the work
	Utility       float64
	LatencyTarget time.Duration // a later response has no utility
	TotalTimeout  time.Duration // how long a client waits over all its attempts
	Safe          bool          // may be retried after any failure
}

// ClientBehavior describes how clients retry.
type ClientBehavior struct {
	MaxRetries          int
	AttemptTimeoutShare float64       // timeout of one attempt, as a fraction of the total timeout
	Backoff             time.Duration // between attempts; 0 to retry immediately
	HonorRetryAfter     float64       // fraction of clients that honor Retry-After
}

// AttemptResult is the result of a client attempt as the client sees it.
type AttemptResult uint8

// The results of a client attempt.
const (
	AttemptServed       AttemptResult = iota + 1
	AttemptRejected                   // not processed, so a retry is safe
	AttemptNotConnected               // the sidecar could not be reached
	AttemptFailed                     // may have been processed
	AttemptTimedOut
	AttemptDeclined // rejected in a way that a retry cannot change
)

// ClientAttempt is one request sent by a client.
type ClientAttempt struct {
	At       time.Duration // when it is sent
	Deadline time.Duration // when the client gives up on this attempt
	Retry    bool
}

// Client is one client request: the first attempt and its retries.
type Client struct {
	ClassIndex       int
	Work             float64 // core-seconds
	StartedAt        time.Duration
	class            Class
	behavior         ClientBehavior
	attempts         int
	honorsRetryAfter bool
}

// NewClient draws a client whose first attempt is at the given time.
func NewClient(rng *rand.Rand, classes []Class, behavior ClientBehavior, at time.Duration) *Client {
	n, x := 0, rng.Float64()
	for x -= classes[0].Share; x >= 0 && n < len(classes)-1; x -= classes[n].Share {
		n++
	}
	c := classes[n]
	return &Client{ClassIndex: n, Work: Lognormal(rng, c.Work.Seconds(), c.WorkCV), StartedAt: at, class: c, behavior: behavior,
		honorsRetryAfter: rng.Float64() < behavior.HonorRetryAfter}
}

// FirstAttempt returns the first attempt.
func (c *Client) FirstAttempt() ClientAttempt { return c.attempt(c.StartedAt) }

// attempt counts and returns an attempt sent at the given time.
func (c *Client) attempt(at time.Duration) ClientAttempt {
	a := ClientAttempt{At: at, Retry: c.attempts > 0,
		Deadline: min(at+time.Duration(c.behavior.AttemptTimeoutShare*float64(c.class.TotalTimeout)), c.StartedAt+c.class.TotalTimeout)}
	c.attempts++
	return a
}

// NextAttempt returns the retry that follows an ended attempt, or false if the client does not retry.
func (c *Client) NextAttempt(now time.Duration, result AttemptResult, retryAfter time.Duration) (ClientAttempt, bool) {
	retry := result == AttemptRejected || result == AttemptNotConnected || c.class.Safe && (result == AttemptFailed || result == AttemptTimedOut)
	if result == AttemptServed || !retry || c.attempts > c.behavior.MaxRetries {
		return ClientAttempt{}, false
	}
	wait := c.behavior.Backoff
	if c.honorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	if now+wait >= c.StartedAt+c.class.TotalTimeout {
		return ClientAttempt{}, false
	}
	return c.attempt(now + wait), true
}

// FrontendBalancer distributes client connections over the sidecars of their zone. It detects a dead sidecar with a delay.
type FrontendBalancer struct {
	targets  []*balancerTarget
	deadFrom map[string]time.Duration // when the end of a sidecar's process is detected
}

// balancerTarget is a sidecar in the smooth weighted round robin of a FrontendBalancer.
type balancerTarget struct {
	name                  string
	weight, currentWeight float64
}

// AddSidecar adds a sidecar that has reported ready, also one that was marked dead before. The weight is relative to that of
// the others; 1 is an even share.
func (b *FrontendBalancer) AddSidecar(name string, weight float64) {
	delete(b.deadFrom, name)
	for _, t := range b.targets {
		if t.name == name {
			return
		}
	}
	b.targets = append(b.targets, &balancerTarget{name: name, weight: weight})
}

// MarkDead records that a sidecar's process has ended, and when the balancer detects it.
func (b *FrontendBalancer) MarkDead(detected time.Duration, name string) {
	if b.deadFrom == nil {
		b.deadFrom = map[string]time.Duration{}
	}
	b.deadFrom[name] = detected
}

// Pick returns the sidecar for the next connection by smooth weighted round robin, or an empty name if there is none.
func (b *FrontendBalancer) Pick(now time.Duration) string {
	var next *balancerTarget
	sum := 0.0
	for _, t := range b.targets {
		if at, dead := b.deadFrom[t.name]; dead && now >= at {
			continue
		}
		sum += t.weight
		if t.currentWeight += t.weight; next == nil || t.currentWeight > next.currentWeight {
			next = t
		}
	}
	if next == nil {
		return ""
	}
	next.currentWeight -= sum
	return next.name
}
