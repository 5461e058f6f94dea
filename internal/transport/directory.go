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

// Directory subscribes to discovery and holds the endpoint list on a lease. It implements routing.Directory.
//
// After a reload that names another address the old subscription stays until the new one has told its first list (make
// before break): the old watch goes on telling, and a call that waits its turn at discovery keeps its place. A subscription
// that a later reload has superseded is not called again once its call or its watch has ended.
//
// The latest subscription is called again for as long as the Directory lives, at the pace of a backoff.
type DiscoveryClient struct {
	Loop           routing.EndpointListReceiver
	Log            *slog.Logger
	Context        context.Context // ends all subscriptions
	Pushed         bool            // lists come by themselves and count as told at once
	Seed           uint64          // of the pauses
	NoInitialDelay bool            // the first call is not spread: the list that it starts with is empty
	DrainGrace     time.Duration   // requests may go to a server for so long after word that it drains
	Clock          routing.Clock   // of the Loop, for OnHold

	// OnHold is told from which time of the Clock on no request may be sent, as the list is too old then. It is nil where
	// nobody sends by the list.
	OnLeaseExpiry func(from time.Duration)

	mu            sync.Mutex
	subscriptions []*subscription // oldest first; the last one is the latest
	created       time.Time
	listAt        time.Time // the list that it starts with was current then
	followed      bool      // Follow or Move has started the first one
	lease         *lease.Lease
	movedAt       time.Time // the first reload that is not confirmed yet
	rng           *rand.Rand
	calls         int               // to discovery so far
	ends          [callKinds]uint64 // of calls and watches, by kind
	longestWait   time.Duration     // of a call that was answered with a watch

	telling sync.Mutex // held while a list is handed over, so that lists come in the order in which they count
}

// subscription is one address of discovery that is, or was, the configured one.
type subscription struct {
	generation int // counts reloads
	address    string
	since      int64         // version of the last list that this address told, 0 for none
	superseded chan struct{} // closed when a later reload names another address
	ctx        context.Context
	cancel     context.CancelCauseFunc
	standing   bool                    // a watch stands and has told a list
	waiting    bool                    // a call waits for its answer
	lingering  context.CancelCauseFunc // ends the watch that has fallen silent; nil for none
}

const (
	// mostSubscriptions bounds the connections to discovery; descriptors for them are in reserve.
	mostSubscriptions = 3

	// While an old watch stands a reload waits for others to follow: each call costs discovery a turn, also one that is cut off.
	quietAfterMove = time.Second
	mostQuiet      = 2 * time.Second
	// An agent beside the sidecar answers at once, and what it has counts sooner.
	quietPushed     = 150 * time.Millisecond
	mostQuietPushed = 300 * time.Millisecond
)

var (
	errMoved     = errors.New("discovery is watched elsewhere")
	errEvicted   = errors.New("too many reloads in a row")
	errSucceeded = errors.New("another call is answered")
)

var _ routing.Discovery = (*DiscoveryClient)(nil)

// NewDirectory returns a Directory of discovery at an address.
func NewDiscoveryClient(ctx context.Context, address string, loop routing.EndpointListReceiver, log *slog.Logger) *DiscoveryClient {
	d := &DiscoveryClient{Context: ctx, Loop: loop, Log: log, Clock: routing.NewClock(), created: time.Now(), listAt: time.Now()}
	d.add(0, address)
	return d
}

// Follow subscribes, once. It implements routing.Directory. The version is that of the list that the sidecar started with;
// what an address has told since goes before it.
func (d *DiscoveryClient) Watch(since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.followed {
		return
	}
	first := d.latest()
	if first.generation == 0 {
		first.since = since
	}
	d.start(first)
}

// Move subscribes to discovery at another address, which counts its versions for itself: its list is asked for whole.
func (d *DiscoveryClient) SwitchAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.latest()
	if address == old.address {
		return
	}
	d.initLease()
	if d.movedAt.IsZero() {
		d.movedAt = time.Now()
	}
	close(old.superseded)
	if !d.followed {
		d.remove(old, errMoved)
	}
	for len(d.subscriptions) >= mostSubscriptions {
		d.remove(d.leastUseful(), errEvicted)
	}
	next := d.add(d.lease.AddressChanged(d.Clock.Now()), address)
	d.renewed()
	d.start(next)
}

// Succeed has the Directory start with the list of another, which is no younger for that. It is called before Follow.
func (d *DiscoveryClient) TakeOver(old *DiscoveryClient) {
	old.mu.Lock()
	defer old.mu.Unlock()
	if old.lease != nil {
		d.listAt = time.Now().Add(old.lease.LastProven() - old.Clock.Now())
	}
}

// latest is the subscription that the configuration names. d.mu is held, or nobody else has the Directory.
func (d *DiscoveryClient) latest() *subscription { return d.subscriptions[len(d.subscriptions)-1] }

func (d *DiscoveryClient) add(generation int, address string) *subscription {
	s := &subscription{generation: generation, address: address, superseded: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(d.Context)
	d.subscriptions = append(d.subscriptions, s)
	return s
}

// start has a subscription called. d.mu is held.
func (d *DiscoveryClient) start(s *subscription) {
	d.initLease()
	d.followed = true
	go d.run(s)
}

// prepare makes what depends on the fields that are set after New. d.mu is held.
func (d *DiscoveryClient) initLease() {
	if d.lease != nil {
		return
	}
	rules := lease.PullRules(d.DrainGrace)
	if d.Pushed {
		rules = lease.PushRules(d.DrainGrace)
	}
	d.lease = lease.New(rules, d.Clock.Now()-time.Since(d.listAt))
	d.rng = rand.New(rand.NewPCG(d.Seed, 0x6469726563746f72))
	d.renewed()
}

// leastUseful is the subscription to give up for a new one: the oldest that neither stands nor waits for its turn, else the
// oldest that does not stand, else the oldest. d.mu is held.
func (d *DiscoveryClient) leastUseful() *subscription {
	for _, useless := range []func(*subscription) bool{
		func(s *subscription) bool { return !s.standing && !s.waiting },
		func(s *subscription) bool { return !s.standing },
	} {
		for _, s := range d.subscriptions {
			if useless(s) {
				return s
			}
		}
	}
	return d.subscriptions[0]
}

// remove ends a subscription. d.mu is held.
func (d *DiscoveryClient) remove(s *subscription, cause error) {
	s.cancel(cause)
	for i, other := range d.subscriptions {
		if other == s {
			d.subscriptions = append(d.subscriptions[:i:i], d.subscriptions[i+1:]...)
			return
		}
	}
}

// run calls discovery for a subscription until that is given up, or ends after a later reload.
func (d *DiscoveryClient) run(s *subscription) {
	if s.generation == 0 {
		d.awaitTurn(s)
	} else {
		d.awaitQuiet(s)
	}
	pace := backoff{pushed: d.Pushed, moved: s.generation > 0, began: time.Now()}
	for s.ctx.Err() == nil && !s.isSuperseded() {
		end := d.call(s)
		if s.ctx.Err() != nil {
			d.Log.Info("the watch of discovery is given up", "address", s.address, "cause", context.Cause(s.ctx),
				"stood", end.stood.Round(time.Millisecond))
			break
		}
		pause := d.ended(s, end, &pace)
		select {
		case <-s.ctx.Done():
		case <-s.superseded:
		case <-time.After(pause):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest() != s {
		d.remove(s, errMoved)
	}
}

func (s *subscription) isSuperseded() bool {
	select {
	case <-s.superseded:
		return true
	default:
		return false
	}
}

// awaitTurn spreads the first calls of sidecars that start together, counted from the start.
func (d *DiscoveryClient) awaitTurn(s *subscription) {
	if d.Pushed || d.NoInitialDelay {
		return
	}
	d.mu.Lock()
	wait := time.Duration(d.rng.Float64()*float64(spreadWidth)) - time.Since(d.created)
	d.mu.Unlock()
	select {
	case <-s.ctx.Done():
	case <-s.superseded:
	case <-time.After(wait):
	}
}

// awaitQuiet has a reload wait for others in quick succession, while an older watch stands.
func (d *DiscoveryClient) awaitQuiet(s *subscription) {
	quiet, most := quietAfterMove, mostQuiet
	if d.Pushed {
		quiet, most = quietPushed, mostQuietPushed
	}
	d.mu.Lock()
	wait := min(quiet, time.Until(d.movedAt.Add(most)))
	if !d.Pushed {
		wait += time.Duration(d.rng.Float64() * float64(afterReload))
	}
	if !d.stands() {
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
		stands := d.stands()
		d.mu.Unlock()
		if !stands {
			return
		}
	}
}

// stands tells whether any watch stands. d.mu is held.
func (d *DiscoveryClient) stands() bool {
	for _, s := range d.subscriptions {
		if s.standing {
			return true
		}
	}
	return false
}

// ended takes the end of a call, and gives the pause before the next one.
func (d *DiscoveryClient) ended(s *subscription, end callEnd, pace *backoff) time.Duration {
	d.mu.Lock()
	stoodWatch := s.standing
	s.standing, s.waiting = false, false
	latest := d.latest() == s
	d.ends[end.outcome]++
	d.note(end, stoodWatch, latest)
	d.renewed()
	pause := pace.next(end, d.rng)
	heard, since, state := d.stands(), s.since, d.state()
	d.mu.Unlock()
	d.Log.Warn("the watch of discovery has ended", "address", s.address, "since", since, "kind", end.outcome.String(), "error", end.err,
		"stood", end.stood.Round(time.Millisecond), "next", pause.Round(time.Millisecond), "superseded", !latest,
		"discovery", state)
	if !heard {
		d.Loop.SourceLost()
	}
	return pause
}

// note tells the lease what the end of a call, or of a watch that stood, has shown. Of a discovery that a reload has superseded
// only the end of its watch counts. d.mu is held.
func (d *DiscoveryClient) note(end callEnd, stoodWatch, latest bool) {
	now := d.Clock.Now()
	if end.outcome == callEnded || end.outcome == callCut {
		d.lease.RecordEndedWatch(now)
	}
	if !latest {
		return
	}
	switch end.outcome {
	case callBroken, callCut: // what was cut may have ended in order, or be an outage
		if stoodWatch {
			d.lease.RecordBrokenWatch(now)
		}
	case callUnreachable:
		d.lease.RecordUnreachable(now - time.Since(end.began))
	case callFailed, callUnanswered:
		d.lease.RecordFailedCall(now)
	case callRefused:
		d.lease.RecordRefusedCall()
	}
}

// renewed hands on what the lease says. d.mu is held.
func (d *DiscoveryClient) renewed() {
	if d.OnLeaseExpiry != nil {
		d.OnLeaseExpiry(d.lease.ExpiresAt())
	}
}

// heard takes a sign of life of a subscription's watch.
func (d *DiscoveryClient) heard(s *subscription) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.ctx.Err() == nil {
		d.lease.Confirm(d.Clock.Now(), s.generation)
		d.renewed()
	}
}

// line takes one list of a watch. Bad data are the watch's end: the last list is kept, and the next watch asks again from
// there.
func (d *DiscoveryClient) line(w *discoveryWatch, text []byte) error {
	list, err := protocol.ReadEndpointList(text)
	if err != nil {
		return err
	}
	kind := balance.Delta
	if list.Snapshot {
		kind = balance.Full
	}
	d.telling.Lock()
	defer d.telling.Unlock()
	if err := d.adopt(w, list.Index); err != nil {
		return err
	}
	d.Loop.UpdateEndpoints(kind, list.Index, Members(list))
	w.told = true
	d.heard(w.s) // after the list is on its way: what is held back goes by it
	return nil
}

// adopt makes a watch the source of lists, and gives up those before it.
func (d *DiscoveryClient) adopt(w *discoveryWatch, index int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.ctx.Err() != nil { // a later one has told meanwhile
		return context.Cause(w.ctx)
	}
	s := w.s
	if s.since = index; w.lingers {
		return nil
	}
	if s.lingering != nil {
		s.lingering(errSucceeded)
		s.lingering = nil
	}
	s.standing, s.waiting = true, false
	for d.subscriptions[0] != s {
		d.remove(d.subscriptions[0], errMoved)
	}
	if d.latest() == s {
		d.movedAt = time.Time{}
	}
	return nil
}

// Members turns an endpoint list into routing's words.
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
