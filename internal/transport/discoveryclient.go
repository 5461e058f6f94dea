package transport

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/lease"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// DiscoveryClient subscribes to discovery and keeps a lease on the endpoint list. It implements routing.Discovery.
//
// After a reload with another address the old subscription stays until the new one has delivered its first list (make
// before break): the old watch goes on delivering lists, and a call that is queued at discovery keeps its place. A
// subscription that a later reload has superseded makes no further call once its current call or watch has ended.
//
// The latest subscription is called again, with backoff, for as long as Context is not done.
type DiscoveryClient struct {
	Receiver       routing.EndpointListReceiver // gets the endpoint lists
	Log            *slog.Logger
	Context        context.Context // ends all subscriptions
	Pushed         bool            // lists are pushed by an agent beside the sidecar, and count as delivered as soon as the agent has them
	Seed           uint64          // of the random delays before calls
	NoInitialDelay bool            // make the first call at once, as the initial list is empty
	DrainGrace     time.Duration   // requests may go to an endpoint for so long after the notice that it drains
	Clock          routing.Clock   // of the routing.Loop, for OnLeaseExpiry

	// OnLeaseExpiry is called with the time of Clock from which on no request may be sent, as the list is too old then. It is
	// nil where no requests are routed by the list.
	OnLeaseExpiry func(from time.Duration)

	mu               sync.Mutex
	subscriptions    []*subscription // oldest first, so the last one is of the configured address
	created          time.Time
	initialListTime  time.Time // when the list that the client starts with was current
	started          bool      // Watch or SwitchAddress has started a subscription
	lease            *lease.Lease
	unconfirmedSince time.Time // time of the first reload whose discovery has delivered no list yet; zero for none
	rng              *rand.Rand
	calls            int                  // to discovery since the start
	callEnds         [callOutcomes]uint64 // number of ended calls and watches by outcome
	longestWait      time.Duration        // longest time from a call to the start of its watch

	deliverMu sync.Mutex // held while a list is delivered, so that lists are delivered in the order in which they were accepted
}

// subscription is the subscription at one address of discovery, which is or was the configured one.
type subscription struct {
	generation       int // number of reloads before it
	address          string
	version          int64         // of the last list from this address, 0 for none
	superseded       chan struct{} // closed when a later reload names another address
	ctx              context.Context
	cancel           context.CancelCauseFunc
	established      bool                    // a watch is open and has delivered a list
	awaitingResponse bool                    // a call is in progress
	cancelLingering  context.CancelCauseFunc // ends the silent watch that is still read; nil for none
}

const (
	// maxSubscriptions bounds the connections to discovery; the descriptor budget reserves descriptors for them.
	maxSubscriptions = 3

	// While an old watch is open, a reload waits for further reloads before it calls: each call takes a place in discovery's
	// queue, even when it is cancelled.
	switchDebounce    = time.Second
	maxSwitchDebounce = 2 * time.Second
	// An agent beside the sidecar responds at once, and a change that it has counts as delivered sooner.
	switchDebouncePushed    = 150 * time.Millisecond
	maxSwitchDebouncePushed = 300 * time.Millisecond
)

var (
	errAddressChanged    = errors.New("superseded by a subscription at another address")
	errTooManyReloads    = errors.New("too many subscriptions pending after reloads")
	errOtherCallAnswered = errors.New("superseded by another call that was answered")
)

var _ routing.Discovery = (*DiscoveryClient)(nil)

// NewDiscoveryClient returns a client of discovery at an address. It makes no call before Watch or SwitchAddress.
func NewDiscoveryClient(ctx context.Context, address string, receiver routing.EndpointListReceiver, log *slog.Logger) *DiscoveryClient {
	d := &DiscoveryClient{Context: ctx, Receiver: receiver, Log: log, Clock: routing.NewClock(), created: time.Now(), initialListTime: time.Now()}
	d.addSubscription(0, address)
	return d
}

// Watch starts the subscription at the configured address; further calls do nothing. It implements routing.Discovery. The
// version is that of the list that the sidecar started with. It is not used after a reload with another address, as each
// address counts its own versions.
func (d *DiscoveryClient) Watch(since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return
	}
	first := d.latest()
	if first.generation == 0 {
		first.version = since
	}
	d.startSubscription(first)
}

// SwitchAddress subscribes to discovery at another address. That counts its own versions, so its whole list is requested.
func (d *DiscoveryClient) SwitchAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.latest()
	if address == old.address {
		return
	}
	d.initLease()
	if d.unconfirmedSince.IsZero() {
		d.unconfirmedSince = time.Now()
	}
	close(old.superseded)
	if !d.started {
		d.removeSubscription(old, errAddressChanged)
	}
	for len(d.subscriptions) >= maxSubscriptions {
		d.removeSubscription(d.evictionCandidate(), errTooManyReloads)
	}
	next := d.addSubscription(d.lease.AddressChanged(d.Clock.Now()), address)
	d.publishLeaseExpiry()
	d.startSubscription(next)
}

// TakeOver has the client start with the list of another client, and with that list's age. It is called before Watch.
func (d *DiscoveryClient) TakeOver(old *DiscoveryClient) {
	old.mu.Lock()
	defer old.mu.Unlock()
	if old.lease != nil {
		d.initialListTime = time.Now().Add(old.lease.LastProven() - old.Clock.Now())
	}
}

// latest returns the subscription at the configured address. d.mu is held, or the client is not shared yet.
func (d *DiscoveryClient) latest() *subscription { return d.subscriptions[len(d.subscriptions)-1] }

// addSubscription appends a subscription, which becomes the latest. d.mu is held, or the client is not shared yet.
func (d *DiscoveryClient) addSubscription(generation int, address string) *subscription {
	s := &subscription{generation: generation, address: address, superseded: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(d.Context)
	d.subscriptions = append(d.subscriptions, s)
	return s
}

// startSubscription starts the goroutine of a subscription. d.mu is held.
func (d *DiscoveryClient) startSubscription(s *subscription) {
	d.initLease()
	d.started = true
	go d.runSubscription(s)
}

// initLease creates, once, what depends on fields that are set after NewDiscoveryClient. d.mu is held.
func (d *DiscoveryClient) initLease() {
	if d.lease != nil {
		return
	}
	rules := lease.PullRules(d.DrainGrace)
	if d.Pushed {
		rules = lease.PushRules(d.DrainGrace)
	}
	d.lease = lease.New(rules, d.Clock.Now()-time.Since(d.initialListTime))
	d.rng = rand.New(rand.NewPCG(d.Seed, 0x6469726563746f72))
	d.publishLeaseExpiry()
}

// evictionCandidate returns the subscription to remove for a new one: the oldest with neither a watch nor a call in
// progress, else the oldest without a watch, else the oldest. d.mu is held.
func (d *DiscoveryClient) evictionCandidate() *subscription {
	for _, evictable := range []func(*subscription) bool{
		func(s *subscription) bool { return !s.established && !s.awaitingResponse },
		func(s *subscription) bool { return !s.established },
	} {
		for _, s := range d.subscriptions {
			if evictable(s) {
				return s
			}
		}
	}
	return d.subscriptions[0]
}

// removeSubscription cancels a subscription and drops it. d.mu is held.
func (d *DiscoveryClient) removeSubscription(s *subscription, cause error) {
	s.cancel(cause)
	for i, other := range d.subscriptions {
		if other == s {
			d.subscriptions = append(d.subscriptions[:i:i], d.subscriptions[i+1:]...)
			return
		}
	}
}

// runSubscription calls discovery for a subscription until it is cancelled, or superseded with its current call ended.
func (d *DiscoveryClient) runSubscription(s *subscription) {
	if s.generation == 0 {
		d.awaitInitialDelay(s)
	} else {
		d.debounceSwitch(s)
	}
	delays := backoff{pushed: d.Pushed, reloaded: s.generation > 0, startedAt: time.Now()}
	for s.ctx.Err() == nil && !s.isSuperseded() {
		result := d.call(s)
		if s.ctx.Err() != nil {
			d.Log.Info("discovery watch cancelled", "address", s.address, "cause", context.Cause(s.ctx),
				"stood", result.duration.Round(time.Millisecond))
			break
		}
		pause := d.handleCallEnd(s, result, &delays)
		select {
		case <-s.ctx.Done():
		case <-s.superseded:
		case <-time.After(pause):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest() != s {
		d.removeSubscription(s, errAddressChanged)
	}
}

// isSuperseded reports whether a later reload has named another address.
func (s *subscription) isSuperseded() bool {
	select {
	case <-s.superseded:
		return true
	default:
		return false
	}
}

// awaitInitialDelay waits for a random delay since the client was created, to spread the first calls of sidecars that start
// together.
func (d *DiscoveryClient) awaitInitialDelay(s *subscription) {
	if d.Pushed || d.NoInitialDelay {
		return
	}
	d.mu.Lock()
	wait := time.Duration(d.rng.Float64()*float64(initialSpread)) - time.Since(d.created)
	d.mu.Unlock()
	select {
	case <-s.ctx.Done():
	case <-s.superseded:
	case <-time.After(wait):
	}
}

// debounceSwitch waits for further reloads in quick succession, for as long as an older watch is open.
func (d *DiscoveryClient) debounceSwitch(s *subscription) {
	debounce, maxDebounce := switchDebounce, maxSwitchDebounce
	if d.Pushed {
		debounce, maxDebounce = switchDebouncePushed, maxSwitchDebouncePushed
	}
	d.mu.Lock()
	wait := min(debounce, time.Until(d.unconfirmedSince.Add(maxDebounce)))
	if !d.Pushed {
		wait += time.Duration(d.rng.Float64() * float64(reloadSpread))
	}
	if !d.hasEstablishedWatch() {
		wait = 0
	}
	d.mu.Unlock()
	for until := time.Now().Add(wait); time.Now().Before(until); {
		select {
		case <-s.ctx.Done():
			return
		case <-s.superseded:
			return
		case <-time.After(min(time.Until(until), 50*time.Millisecond)):
		}
		d.mu.Lock()
		established := d.hasEstablishedWatch()
		d.mu.Unlock()
		if !established {
			return
		}
	}
}

// hasEstablishedWatch reports whether any watch is open and has delivered a list. d.mu is held.
func (d *DiscoveryClient) hasEstablishedWatch() bool {
	for _, s := range d.subscriptions {
		if s.established {
			return true
		}
	}
	return false
}

// handleCallEnd handles the end of a call and returns the delay before the next one.
func (d *DiscoveryClient) handleCallEnd(s *subscription, result callResult, delays *backoff) time.Duration {
	d.mu.Lock()
	wasEstablished := s.established
	s.established, s.awaitingResponse = false, false
	latest := d.latest() == s
	d.callEnds[result.outcome]++
	d.updateLease(result, wasEstablished, latest)
	d.publishLeaseExpiry()
	pause := delays.next(result, d.rng)
	established, since, state := d.hasEstablishedWatch(), s.version, d.stateLocked()
	d.mu.Unlock()
	d.Log.Warn("the watch of discovery has ended", "address", s.address, "since", since, "kind", result.outcome.String(), "error", result.err,
		"stood", result.duration.Round(time.Millisecond), "next", pause.Round(time.Millisecond), "superseded", !latest,
		"discovery", state)
	if !established {
		d.Receiver.SourceLost()
	}
	return pause
}

// updateLease records in the lease what the end of a call, or of an established watch, shows about discovery. For a
// superseded subscription only the end of its watch counts. d.mu is held.
func (d *DiscoveryClient) updateLease(result callResult, wasEstablished, latest bool) {
	now := d.Clock.Now()
	if result.outcome == callEnded || result.outcome == callTruncated {
		d.lease.RecordEndedWatch(now)
	}
	if !latest {
		return
	}
	switch result.outcome {
	case callBroken, callTruncated: // a truncated watch may have been ended by discovery, or show an outage
		if wasEstablished {
			d.lease.RecordBrokenWatch(now)
		}
	case callUnreachable:
		d.lease.RecordUnreachable(now - time.Since(result.startedAt))
	case callFailed, callUnanswered:
		d.lease.RecordFailedCall(now)
	case callRefused:
		d.lease.RecordRefusedCall()
	}
}

// publishLeaseExpiry reports when the lease expires. d.mu is held.
func (d *DiscoveryClient) publishLeaseExpiry() {
	if d.OnLeaseExpiry != nil {
		d.OnLeaseExpiry(d.lease.ExpiresAt())
	}
}

// confirmLease renews the lease after a list or a heartbeat of a subscription's watch.
func (d *DiscoveryClient) confirmLease(s *subscription) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.ctx.Err() == nil {
		d.lease.Confirm(d.Clock.Now(), s.generation)
		d.publishLeaseExpiry()
	}
}

// handleList handles one list of a watch. An invalid list ends the watch: the last list is kept, and the next watch starts
// from its version.
func (d *DiscoveryClient) handleList(w *discoveryWatch, text []byte) error {
	list, err := protocol.ReadEndpointList(text)
	if err != nil {
		return err
	}
	kind := balance.Delta
	if list.Snapshot {
		kind = balance.Full
	}
	d.deliverMu.Lock()
	defer d.deliverMu.Unlock()
	if err := d.promote(w, list.Index); err != nil {
		return err
	}
	d.Receiver.UpdateEndpoints(kind, list.Index, Members(list))
	w.delivered = true
	d.confirmLease(w.subscription) // after the list is delivered, so that queued requests are routed by it
	return nil
}

// promote accepts a list's version from a watch and makes the watch the current one: older subscriptions are removed. A
// lingering watch only has its version recorded.
func (d *DiscoveryClient) promote(w *discoveryWatch, index int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.ctx.Err() != nil { // a later watch has delivered a list meanwhile
		return context.Cause(w.ctx)
	}
	s := w.subscription
	if s.version = index; w.lingering {
		return nil
	}
	if s.cancelLingering != nil {
		s.cancelLingering(errOtherCallAnswered)
		s.cancelLingering = nil
	}
	s.established, s.awaitingResponse = true, false
	for d.subscriptions[0] != s {
		d.removeSubscription(d.subscriptions[0], errAddressChanged)
	}
	if d.latest() == s {
		d.unconfirmedSince = time.Time{}
	}
	return nil
}

// Members converts an endpoint list to the members of package routing.
func Members(list protocol.EndpointList) []routing.Member {
	states := map[protocol.State]balance.State{protocol.Ready: balance.Ready, protocol.Draining: balance.Draining,
		protocol.Gone: balance.Gone}
	out := make([]routing.Member, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		out = append(out, routing.Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Group,
			State: states[e.State], Weight: e.Weight, StartedAt: time.Duration(e.SinceMS) * time.Millisecond})
	}
	return out
}
