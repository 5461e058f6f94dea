// Package subscription is the core of a sidecar's subscription to discovery: when discovery is called, at which address and
// for which version, which watches are kept, and what their events show about discovery.
//
// After a reload with another address the old subscription stays until the new one has delivered its first list (make
// before break): the old watch goes on delivering lists, and a call that is queued at discovery keeps its place. A
// subscription that a later reload has superseded makes no further call once its current call or watch has ended. The latest
// subscription is called again, with backoff.
//
// The core drives the lease of the list (package lease), which keeps the evidence about discovery.
//
// The package does no I/O, reads no clock and starts no goroutine: every event carries its time, on any clock that does not run
// backwards, and random numbers come from a given generator. What is to be done is returned as actions; their driver is
// transport.DiscoveryClient.
package subscription

import (
	"math/rand/v2"
	"time"

	"kitewood/internal/lease"
)

// Settings are the settings of a Core.
type Settings struct {
	Pushed         bool          // lists are pushed by an agent beside the sidecar, and count as delivered as soon as the agent has them
	NoInitialDelay bool          // make the first call at once, as the initial list is empty
	CreatedAt      time.Duration // the initial delay counts from this time
}

const (
	// MaxSubscriptions bounds the connections to discovery; the descriptor budget reserves descriptors for them.
	MaxSubscriptions = 3

	// While an old watch is open, a reload waits for further reloads before it calls: each call takes a place in discovery's
	// queue, even when it is cancelled.
	switchDebounce    = time.Second
	maxSwitchDebounce = 2 * time.Second
	// An agent beside the sidecar responds at once, and a change that it has counts as delivered sooner.
	switchDebouncePushed    = 150 * time.Millisecond
	maxSwitchDebouncePushed = 300 * time.Millisecond
	// The old watch is looked at this often, as the wait ends with it.
	debounceCheckInterval = 50 * time.Millisecond
)

// Core is the state of all subscriptions of a process. Its methods are not to be called concurrently.
type Core struct {
	settings         Settings
	lease            *lease.Lease
	rng              *rand.Rand
	subscriptions    []*subscription // oldest first, so the last one is of the configured address
	started          bool
	unconfirmed      bool          // the discovery of the last reload has delivered no list yet
	unconfirmedSince time.Duration // time of the first such reload
	calls            int
	callEnds         [outcomes]uint64
	longestWait      time.Duration

	now     time.Duration // of the event that is handled
	actions []Action      // that follow from it
}

// New returns a Core with a subscription at an address, which begins with the event Started.
func New(settings Settings, l *lease.Lease, rng *rand.Rand, address string) *Core {
	c := &Core{settings: settings, lease: l, rng: rng}
	c.add(0, address)
	return c
}

// Handle handles an event that happened at a time and returns what is to be done, in this order. Events of a subscription that
// has been closed change nothing, nor does a list of a call that is neither its last one nor that of its silent watch.
func (c *Core) Handle(now time.Duration, event Event) []Action {
	c.now, c.actions = now, nil
	switch e := event.(type) {
	case Started:
		c.start(e)
	case AddressChanged:
		c.changeAddress(e)
	case TimerFired:
		c.endWait(c.find(e.Generation))
	case ResponseBegun:
		c.longestWait = max(c.longestWait, e.Waited)
	case ListReceived:
		c.receiveList(c.find(e.Generation), e)
	case Reported:
		c.confirmLease(c.find(e.Generation))
	case WatchSilent:
		c.keepSilentWatch(c.find(e.Generation), e.Call)
	case SilentWatchEnded:
		if s := c.find(e.Generation); s.silentCall == e.Call {
			s.endSilentWatch()
		}
	case CallEnded:
		c.endCall(c.find(e.Generation), e)
	case CallCancelled:
		if s := c.find(e.Generation); s.superseded {
			c.remove(s, AtOtherAddress)
		}
	}
	return c.actions
}

// do appends an action to those of the event.
func (c *Core) do(action Action) { c.actions = append(c.actions, action) }

// find returns the subscription of a generation. For one that has been closed it returns a copy that is Closed.
func (c *Core) find(generation int) *subscription {
	for _, s := range c.subscriptions {
		if s.generation == generation {
			return s
		}
	}
	return &subscription{generation: generation, state: Closed}
}

// latest returns the subscription at the configured address.
func (c *Core) latest() *subscription { return c.subscriptions[len(c.subscriptions)-1] }

// add appends a subscription, which becomes the latest.
func (c *Core) add(generation int, address string) *subscription {
	s := &subscription{generation: generation, address: address, pace: backoff{pushed: c.settings.Pushed, reloaded: generation > 0}}
	c.subscriptions = append(c.subscriptions, s)
	return s
}

// remove closes a subscription and drops it. One that has not been opened needs no action.
func (c *Core) remove(s *subscription, cause Cause) {
	if s.state != Idle {
		c.do(Close{Generation: s.generation, Cause: cause})
	}
	s.close()
	for i, other := range c.subscriptions {
		if other == s {
			c.subscriptions = append(c.subscriptions[:i:i], c.subscriptions[i+1:]...)
			return
		}
	}
}

// hasWatch reports whether any watch is open and has delivered a list.
func (c *Core) hasWatch() bool {
	for _, s := range c.subscriptions {
		if s.state == Watching {
			return true
		}
	}
	return false
}

// Snapshot is what the core knows about discovery at some time.
type Snapshot struct {
	Address     string         // configured
	Watching    bool           // a watch is open and has delivered a list
	Evidence    lease.Evidence // what the last event has shown of discovery
	ListAge     time.Duration  // since the last list or heartbeat
	LeaseLeft   time.Duration  // until sending is suspended; negative while it is
	Calls       int            // since the start
	CallEnds    map[Outcome]uint64
	LongestWait time.Duration // longest time from a call to the start of its watch
}

// Snapshot returns what the core knows about discovery.
func (c *Core) Snapshot(now time.Duration) Snapshot {
	out := Snapshot{Address: c.latest().address, Watching: c.hasWatch(), Evidence: c.lease.Evidence(), ListAge: now - c.lease.LastReport(),
		LeaseLeft: c.lease.ExpiresAt() - now, Calls: c.calls, CallEnds: map[Outcome]uint64{}, LongestWait: c.longestWait}
	for outcome, n := range c.callEnds {
		if n > 0 {
			out.CallEnds[Outcome(outcome)] = n
		}
	}
	return out
}
