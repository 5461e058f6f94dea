package transport

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/lease"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/subscription"
)

// DiscoveryClient subscribes to discovery and keeps a lease on the endpoint list. It implements routing.Discovery.
//
// It drives a subscription.Core, which decides when discovery is called and what its answers show: it makes the calls, reads
// the watches, runs the timers and writes the log. After a reload with another address the old watch goes on delivering lists
// until the new one has delivered its first list (make before break).
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

	mu              sync.Mutex
	address         string // configured
	created         time.Time
	initialListTime time.Time                 // when the list that the client starts with was current
	listAddress     string                    // of the discovery that delivered the latest list; empty for none
	movedAt         time.Time                 // when a reload moved discovery since the list that the client starts with; zero if none did
	lease           *lease.Lease              // nil before initLease, like core
	core            *subscription.Core        // decides; its events are in the order in which mu was held
	subscriptions   map[int]*openSubscription // that the core has opened, by generation

	deliverMu sync.Mutex // held while a list is delivered, so that lists are delivered in the order in which they were accepted
}

// openSubscription is what the driver holds for one subscription of the core.
type openSubscription struct {
	generation   int
	address      string
	ctx          context.Context
	cancel       context.CancelCauseFunc
	cancelSilent context.CancelCauseFunc // ends the silent watch that is still read; nil for none
}

var _ routing.Discovery = (*DiscoveryClient)(nil)

// NewDiscoveryClient returns a client of discovery at an address. It makes no call before Watch or SwitchAddress.
func NewDiscoveryClient(ctx context.Context, address string, receiver routing.EndpointListReceiver, log *slog.Logger) *DiscoveryClient {
	return &DiscoveryClient{Context: ctx, Receiver: receiver, Log: log, Clock: routing.NewClock(), address: address,
		created: time.Now(), initialListTime: time.Now()}
}

// Watch starts the subscription at the configured address; further calls do nothing. It implements routing.Discovery. The
// version is that of the list that the sidecar started with. It is not used after a reload with another address, as each
// address counts its own versions.
func (d *DiscoveryClient) Watch(since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initLease()
	runAll(d.handle(subscription.Started{Version: d.initialVersion(since)}))
}

// initialVersion returns the version from which the first call requests changes: that of the list, or 0 for the whole list if the
// list is of another discovery.
func (d *DiscoveryClient) initialVersion(listVersion int64) int64 {
	if d.listAddress != "" && d.listAddress != d.address {
		return 0
	}
	return listVersion
}

// SwitchAddress subscribes to discovery at another address. That counts its own versions, so its whole list is requested.
func (d *DiscoveryClient) SwitchAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.initLease()
	d.address = address
	runAll(d.handle(subscription.AddressChanged{Address: address}))
}

// TakeOver has the client start with the list of another client, and with that list's age. If that list is of a discovery at another
// address, its version is not used, and it counts as after a reload. It is called before Watch.
func (d *DiscoveryClient) TakeOver(old *DiscoveryClient) {
	old.mu.Lock()
	defer old.mu.Unlock()
	if old.lease == nil {
		return
	}
	now := time.Now()
	d.initialListTime = now.Add(old.lease.LastProven() - old.Clock.Now())
	d.listAddress = old.listAddress
	if d.address != old.address {
		d.movedAt = now
	}
	if at, unconfirmed := old.lease.UnconfirmedAddressChange(); unconfirmed {
		d.movedAt = now.Add(at - old.Clock.Now())
	}
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
	now := d.Clock.Now()
	d.lease = lease.New(rules, now-time.Since(d.initialListTime))
	if !d.movedAt.IsZero() {
		d.lease.StartAtOtherAddress(now - time.Since(d.movedAt))
	}
	settings := subscription.Settings{Pushed: d.Pushed, NoInitialDelay: d.NoInitialDelay, CreatedAt: now - time.Since(d.created)}
	d.core = subscription.New(settings, d.lease, rand.New(rand.NewPCG(d.Seed, 0x6469726563746f72)), d.address)
	d.subscriptions = map[int]*openSubscription{}
	d.publishLeaseExpiry(d.lease.ExpiresAt())
}

// publishLeaseExpiry reports when the lease expires. d.mu is held.
func (d *DiscoveryClient) publishLeaseExpiry(at time.Duration) {
	if d.OnLeaseExpiry != nil {
		d.OnLeaseExpiry(at)
	}
}

// handle has the core handle an event, and carries out its actions. It returns those that wait until d.mu is released: the
// log, the receiver, and the timers and calls that come after these. d.mu is held.
func (d *DiscoveryClient) handle(event subscription.Event) []func() {
	return d.carryOut(d.core.Handle(d.Clock.Now(), event))
}

// carryOut is handle for the actions of an event that has been handled.
func (d *DiscoveryClient) carryOut(actions []subscription.Action) (later []func()) {
	for _, action := range actions {
		switch a := action.(type) {
		case subscription.Open:
			d.open(a)
		case subscription.Close:
			d.subscriptions[a.Generation].cancel(a.Cause)
			delete(d.subscriptions, a.Generation)
		case subscription.CloseSilentWatch:
			d.subscriptions[a.Generation].cancelSilent(subscription.OtherCallAnswered)
		case subscription.SetLeaseExpiry:
			d.publishLeaseExpiry(a.At)
		case subscription.SourceLost:
			later = append(later, func() { d.Receiver.SourceLost() })
		case subscription.ReportCallEnd:
			later = append(later, func() { d.logCallEnd(a) })
		case subscription.Wait:
			s := d.subscriptions[a.Generation]
			later = append(later, func() { go d.wait(s, a.For) })
		case subscription.Call:
			s := d.subscriptions[a.Generation]
			later = append(later, func() { go d.call(s, a) })
		}
	}
	return later
}

// runAll runs functions in order.
func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// open prepares a subscription. d.mu is held.
func (d *DiscoveryClient) open(a subscription.Open) *openSubscription {
	s := &openSubscription{generation: a.Generation, address: a.Address}
	s.ctx, s.cancel = context.WithCancelCause(d.Context)
	d.subscriptions[a.Generation] = s
	return s
}

// wait tells the core when the pause of a subscription is over, unless the subscription has ended.
func (d *DiscoveryClient) wait(s *openSubscription, pause time.Duration) {
	if pause > 0 {
		select {
		case <-s.ctx.Done():
		case <-time.After(pause):
		}
	}
	runAll(d.handleFor(s, subscription.TimerFired{Generation: s.generation}))
}

// handleFor is handle with d.mu not held, for an event of a subscription. An event after the end of the subscription is
// dropped.
func (d *DiscoveryClient) handleFor(s *openSubscription, event subscription.Event) []func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil
	}
	return d.handle(event)
}

// call makes a call for a subscription, runs the watch that it opens until that ends, and tells the core how it ended.
func (d *DiscoveryClient) call(s *openSubscription, ask subscription.Call) {
	end := d.runCall(s, ask)
	d.mu.Lock()
	if s.ctx.Err() == nil {
		later := d.handle(end)
		d.mu.Unlock()
		runAll(later)
		return
	}
	d.mu.Unlock()
	d.Log.Info("discovery watch cancelled", "address", s.address, "cause", context.Cause(s.ctx),
		"stood", end.Duration.Round(time.Millisecond))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(subscription.CallCancelled{Generation: s.generation})
}

// logCallEnd writes the line of the log on the end of a call.
func (d *DiscoveryClient) logCallEnd(a subscription.ReportCallEnd) {
	d.Log.Warn("the watch of discovery has ended", "address", a.Address, "since", a.Version, "kind", a.End.Outcome.String(), "error", a.End.Err,
		"stood", a.End.Duration.Round(time.Millisecond), "next", a.Pause.Round(time.Millisecond), "superseded", a.Superseded,
		"discovery", discoveryState(a.State))
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
	if err := d.acceptList(w, list.Index); err != nil {
		return err
	}
	d.Receiver.UpdateEndpoints(kind, list.Index, Members(list))
	w.delivered = true
	d.confirmLease(w.subscription) // after the list is delivered, so that queued requests are routed by it
	return nil
}

// acceptList has the core accept a list of a watch. It returns why the list is not to be delivered, nil if it is.
func (d *DiscoveryClient) acceptList(w *discoveryWatch, version int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.ctx.Err() != nil { // a later watch has delivered a list meanwhile
		return context.Cause(w.ctx)
	}
	actions := d.core.Handle(d.Clock.Now(), subscription.ListReceived{Generation: w.subscription.generation, Call: w.callNumber, Version: version})
	runAll(d.carryOut(actions))
	if !slices.Contains(actions, subscription.Action(subscription.Deliver{})) {
		return subscription.OtherCallAnswered
	}
	d.listAddress = w.subscription.address
	return nil
}

// confirmLease renews the lease after a list or a heartbeat of a subscription's watch.
func (d *DiscoveryClient) confirmLease(s *openSubscription) {
	runAll(d.handleFor(s, subscription.Reported{Generation: s.generation}))
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
