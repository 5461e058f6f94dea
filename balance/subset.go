package balance

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// subset.go: the endpoint list, and the subset of it that a balancer tracks.

const (
	minTracked        = 8 // endpoints tracked at least: a mean of fewer is no reference
	targetTrackers    = 8 // and enough that each endpoint is tracked by about this many balancers
	goldenRatio       = 0.6180339887498949
	minDiscoveryRetry = 20 * time.Millisecond   // between calls to discovery, whatever the settings say,
	maxDiscoveryRetry = 1250 * time.Millisecond // and at most: a change counts as delivered after 6 s
)

// UpdateEndpoints handles an update of the endpoint list.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if kind == Failed {
		// The backoff between calls grows, but stays below the time after which a change counts as delivered. It is
		// randomised because all balancers lose discovery together and it answers calls one by one.
		b.watching, b.discoveryFailures = false, min(b.discoveryFailures+1, 2)
		wait := min(max(b.set.Rules.DiscoveryInterval/32, minDiscoveryRetry)<<b.discoveryFailures,
			maxDiscoveryRetry)
		b.host.StartTimer(wait/2+b.randomPart(wait), timerWatch)
		return
	}
	if kind != Cached {
		b.watching, b.discoveryFailures = true, 0
	}
	for _, s := range b.endpoints {
		s.listed = kind == Delta
	}
	for _, e := range list {
		s := b.endpoints[e.ID]
		if s == nil {
			s = &endpointState{ringHash: hash(uint64(e.ID)),
				utilisationState: utilisationState{heapIndex: -1, signal: 1, step: minSignal}}
			b.endpoints[e.ID] = s
		}
		if e.ReadyAt > s.ReadyAt { // a new process: the state of the old one is void
			b.untrack(s)
			s.utilisationState = utilisationState{heapIndex: -1, signal: s.signal, step: minSignal}
			s.failureRatio, s.ejectedUntil, s.probation = 0, 0, false
		}
		s.Endpoint, s.listed = e, e.State != Gone
	}
	b.ring, b.remote, b.byScope = b.ring[:0], b.remote[:0], map[int][]*endpointState{}
	for id, s := range b.endpoints {
		switch {
		case !s.listed || s.State == Gone:
			s.State = Gone
			delete(b.endpoints, id)
		case s.State == Ready:
			b.ring = append(b.ring, s)
		}
	}
	slices.SortFunc(b.ring, func(x, y *endpointState) int {
		return cmp.Or(cmp.Compare(x.ringHash, y.ringHash), cmp.Compare(x.ID, y.ID))
	})
	b.meanUnits = 0
	for _, s := range b.ring {
		b.byScope[2*s.Cell] = append(b.byScope[2*s.Cell], s)
		b.byScope[2*s.Zone+1] = append(b.byScope[2*s.Zone+1], s)
		if s.Zone != b.set.Zone {
			b.remote = append(b.remote, s)
		}
		b.meanUnits += s.Units / float64(len(b.ring))
	}
	b.updateSubset(now)
	b.retryQueued(now)
}

// updateSubset selects the endpoints that this balancer tracks: as many as its own request rate keeps up to
// date, from its own zone, and a few of other zones for comparison. A balancer with few requests that spread
// them over a whole fleet would have no current state of any endpoint and a connection to each.
func (b *Balancer) updateSubset(now time.Duration) {
	size := max(minTracked, targetTrackers*len(b.ring)/b.set.Balancers,
		int(b.requestRate*b.meanTarget.Seconds()/2))
	if 4*size < 3*b.subsetSize || 3*size > 4*b.subsetSize { // small changes cost connections and gain nothing
		b.subsetSize = size
	}
	for _, s := range b.ring {
		s.inSubset = false
	}
	local := b.localEndpoints()
	b.selectFromRing(local, b.subsetSize)
	if len(local) == 0 {
		b.selectFromRing(b.remote, b.subsetSize)
	}
	b.selectFromRing(b.remote, max(2, b.subsetSize/2))
	for _, s := range slices.Clone(b.tracked) {
		if !s.inSubset || s.State != Ready {
			b.untrack(s)
			b.host.CloseIdle(s.ID)
		}
	}
	for _, s := range b.ring {
		if !s.inSubset || s.tracked {
			continue
		}
		if s.readings == 0 && b.set.UnitsAreCapacity && b.meanUnits > 0 {
			// Exception: where units tell the capacity they scale the initial signal, which is equal otherwise.
			s.signal = min(max(s.Units/b.meanUnits, minSignal), maxSignal)
		}
		s.tracked = true
		b.tracked = append(b.tracked, s)
	}
	for _, s := range b.tracked { // after all are tracked: slow start divides the request rate by their number
		b.addToRotation(s, now)
	}
}

// untrack removes an endpoint from the subset and the rotation.
func (b *Balancer) untrack(s *endpointState) {
	if s.heapIndex >= 0 {
		heap.Remove(&b.rotation, s.heapIndex)
	}
	s.tracked = false
	b.tracked = slices.DeleteFunc(b.tracked, func(t *endpointState) bool { return t == s })
}

// localEndpoints are the ready endpoints of this balancer's zone.
func (b *Balancer) localEndpoints() []*endpointState { return b.byScope[2*b.set.Zone+1] }

// selectFromRing selects k endpoints of a ring from this balancer's position on; all balancers together cover
// the ring evenly. With several zones it is unknown which balancers share one, so positions follow the golden
// ratio, which is even for any part of the balancers.
func (b *Balancer) selectFromRing(ring []*endpointState, k int) {
	step := 1 / float64(b.set.Balancers)
	if len(b.remote) > 0 {
		step = goldenRatio
	}
	_, position := math.Modf(float64(b.set.Index) * step)
	for i := range min(k, len(ring)) {
		ring[(int(position*float64(len(ring)))+i)%len(ring)].inSubset = true
	}
}

// initGuards initialises the state of the exceptions to the utilisation-trend algorithm.
func (b *Balancer) initGuards(now time.Duration) {
	b.endpoints, b.tenantRates = map[EndpointID]*endpointState{}, make([]eventRate, len(b.set.Tenants))
	b.startedAt, b.spillover = now, minSignal
	b.meanTarget, b.usefulWait = b.set.meanTarget(), b.set.usefulWait()
	if b.set.PollDiscovery {
		// Many balancers can start at once and discovery answers calls one by one, so the first calls are spread.
		b.host.StartTimer(b.randomPart(min(b.set.Rules.DiscoveryInterval/8, maxDiscoveryRetry)), timerWatch)
	}
}
