package model

import (
	"math/rand/v2"
	"time"
)

// Class is a kind of request that clients make.
type Class struct {
	Name          string
	Share         float64 // of the requests
	Work          time.Duration
	WorkCV        float64 // coefficient of variation of the work
	Utility       float64
	LatencyTarget time.Duration // an answer after it is worth nothing
	TotalTimeout  time.Duration // how long a client waits in all, over all its tries
	Safe          bool          // may be repeated after any failure
}

// Habits is how clients behave.
type ClientBehavior struct {
	MaxRetries          int           // further tries at the most
	AttemptTimeoutShare float64       // of the time to give up that one try is given
	Backoff             time.Duration // between tries; 0 for at once
	HonorRetryAfter     float64       // share of clients that heed Retry-After
}

// TryEnd is how a try looked to the client.
type AttemptResult uint8

// The ends of a try.
const (
	AttemptServed       AttemptResult = iota + 1
	AttemptRejected                   // trying again is harmless
	AttemptNotConnected               // the sidecar could not be reached
	AttemptFailed                     // it may have run
	AttemptTimedOut
	AttemptDeclined // refused, and nothing is gained by another attempt
)

// Try is one request that a client sends.
type ClientAttempt struct {
	At       time.Duration // when it goes out
	Deadline time.Duration // when the client gives this try up
	Retry    bool
}

// Client is one piece of business: a first try and its repeats.
type Client struct {
	ClassIndex int
	Work       float64 // core-seconds in all
	StartedAt  time.Duration
	class      Class
	habits     ClientBehavior
	tries      int
	heeds      bool
}

// NewClient draws a client that asks at a time.
func NewClient(rng *rand.Rand, classes []Class, habits ClientBehavior, at time.Duration) *Client {
	n, x := 0, rng.Float64()
	for x -= classes[0].Share; x >= 0 && n < len(classes)-1; x -= classes[n].Share {
		n++
	}
	c := classes[n]
	return &Client{ClassIndex: n, Work: Lognormal(rng, c.Work.Seconds(), c.WorkCV), StartedAt: at, class: c, habits: habits,
		heeds: rng.Float64() < habits.HonorRetryAfter}
}

// First is the first try.
func (c *Client) FirstAttempt() ClientAttempt { return c.try(c.StartedAt) }

func (c *Client) try(at time.Duration) ClientAttempt {
	t := ClientAttempt{At: at, Retry: c.tries > 0,
		Deadline: min(at+time.Duration(c.habits.AttemptTimeoutShare*float64(c.class.TotalTimeout)), c.StartedAt+c.class.TotalTimeout)}
	c.tries++
	return t
}

// Next is the try that follows one that ended, if the client makes one.
func (c *Client) NextAttempt(now time.Duration, end AttemptResult, retryAfter time.Duration) (ClientAttempt, bool) {
	again := end == AttemptRejected || end == AttemptNotConnected || c.class.Safe && (end == AttemptFailed || end == AttemptTimedOut)
	if end == AttemptServed || !again || c.tries > c.habits.MaxRetries {
		return ClientAttempt{}, false
	}
	wait := c.habits.Backoff
	if c.heeds {
		wait = max(wait, retryAfter)
	}
	if now+wait >= c.StartedAt+c.class.TotalTimeout {
		return ClientAttempt{}, false
	}
	return c.try(now + wait), true
}

// Front spreads clients over the sidecars of their zone. It learns late that one has died.
type FrontendBalancer struct {
	order []*place
	gone  map[string]time.Duration // noticed from then on
}

// place is a sidecar in the front's turns: a smooth weighted round robin.
type place struct {
	name          string
	share, credit float64
}

// Admit takes a sidecar that has said it is ready. Share is how much it gets beside others, 1 for an even part.
func (f *FrontendBalancer) AddSidecar(name string, share float64) {
	delete(f.gone, name)
	for _, p := range f.order {
		if p.name == name {
			return
		}
	}
	f.order = append(f.order, &place{name: name, share: share})
}

// Died tells that a sidecar's process has ended, and when the front layer notices.
func (f *FrontendBalancer) MarkDead(noticed time.Duration, name string) {
	if f.gone == nil {
		f.gone = map[string]time.Duration{}
	}
	f.gone[name] = noticed
}

// Pick is the sidecar for the next connection; empty where there is none. The front deals in turn.
func (f *FrontendBalancer) Pick(now time.Duration) string {
	var next *place
	sum := 0.0
	for _, p := range f.order {
		if at, dead := f.gone[p.name]; dead && now >= at {
			continue
		}
		sum += p.share
		if p.credit += p.share; next == nil || p.credit > next.credit {
			next = p
		}
	}
	if next == nil {
		return ""
	}
	next.credit -= sum
	return next.name
}
