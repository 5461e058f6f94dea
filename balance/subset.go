package balance

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// subset.go: the list of servers, and the part of it that a balancer tracks.

const (
	minTracked     = 8 // servers tracked at the least: a mean of fewer is no reference
	trackersWanted = 8 // and so many that each server is tracked by about this many balancers
	goldenRatio    = 0.6180339887498949
	askLeast       = 20 * time.Millisecond   // between calls to discovery, whatever the settings give for them,
	askMost        = 1250 * time.Millisecond // and at the most: changes count as told after 6 s
)

// Members takes news of the list of servers.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if kind == Failed {
		// Asked again ever more slowly, but inside the time after which it counts as told; spread, for discovery
		// answers in turn and all balancers lose it together.
		b.watching, b.asked = false, min(b.asked+1, 2)
		wait := min(max(b.set.Rules.DiscoveryInterval/32, askLeast)<<b.asked, askMost)
		b.host.StartTimer(wait/2+b.spread(wait), timerWatch)
		return
	}
	if kind != Cached {
		b.watching, b.asked = true, 0
	}
	for _, s := range b.servers {
		s.listed = kind == Delta
	}
	for _, e := range list {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{spot: mix(uint64(e.ID)), reading: reading{index: -1, cs: 1, step: lowest}}
			b.servers[e.ID] = s
		}
		if e.ReadyAt > s.ReadyAt { // a new process: what was known of the old one is void
			b.untrack(s)
			s.reading = reading{index: -1, cs: s.cs, step: lowest}
			s.failed, s.outUntil, s.trial = 0, 0, false
		}
		s.Endpoint, s.listed = e, e.State != Gone
	}
	b.ring, b.away, b.groups = b.ring[:0], b.away[:0], map[int][]*server{}
	for id, s := range b.servers {
		switch {
		case !s.listed || s.State == Gone:
			s.State = Gone
			delete(b.servers, id)
		case s.State == Ready:
			b.ring = append(b.ring, s)
		}
	}
	slices.SortFunc(b.ring, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.spot, y.spot), cmp.Compare(x.ID, y.ID))
	})
	b.meanUnits = 0
	for _, s := range b.ring {
		b.groups[2*s.Cell] = append(b.groups[2*s.Cell], s)
		b.groups[2*s.Zone+1] = append(b.groups[2*s.Zone+1], s)
		if s.Zone != b.set.Zone {
			b.away = append(b.away, s)
		}
		b.meanUnits += s.Units / float64(len(b.ring))
	}
	b.choose(now)
	b.unpark(now)
}

// choose keeps the subset of servers that this balancer tracks: as many as its own rate keeps fresh, from its
// own zone, and a few of others to compare with. A quiet caller that spread its requests over a whole fleet
// would know nothing of any server and hold a connection to each.
func (b *Balancer) choose(now time.Duration) {
	k := max(minTracked, trackersWanted*len(b.ring)/b.set.Balancers, int(b.rate*b.meanAim.Seconds()/2))
	if 4*k < 3*b.width || 3*k > 4*b.width { // small changes would cost connections and gain nothing
		b.width = k
	}
	for _, s := range b.ring {
		s.wanted = false
	}
	local := b.local()
	b.want(local, b.width)
	if len(local) == 0 {
		b.want(b.away, b.width)
	}
	b.want(b.away, max(2, b.width/2))
	for _, s := range slices.Clone(b.tracked) {
		if !s.wanted || s.State != Ready {
			b.untrack(s)
			b.host.CloseIdle(s.ID)
		}
	}
	for _, s := range b.ring {
		if !s.wanted || s.tracked {
			continue
		}
		if s.count == 0 && b.set.UnitsAreCapacity && b.meanUnits > 0 {
			// Exception: where units tell the size they scale the starting signal, which is equal otherwise.
			s.cs = min(max(s.Units/b.meanUnits, lowest), highest)
		}
		s.tracked = true
		b.tracked = append(b.tracked, s)
	}
	for _, s := range b.tracked { // once all are known: turns at cold ones are shares of what comes
		b.join(s, now)
	}
}

func (b *Balancer) untrack(s *server) {
	if s.index >= 0 {
		heap.Remove(&b.rotation, s.index)
	}
	s.tracked = false
	b.tracked = slices.DeleteFunc(b.tracked, func(t *server) bool { return t == s })
}

func (b *Balancer) local() []*server { return b.groups[2*b.set.Zone+1] }

// want marks k servers of a ring from this balancer's place on: together all cover the ring evenly. Who
// shares a zone is not known, so with several of them places go by the golden ratio, even for any part.
func (b *Balancer) want(ring []*server, k int) {
	step := 1 / float64(b.set.Balancers)
	if len(b.away) > 0 {
		step = goldenRatio
	}
	_, at := math.Modf(float64(b.set.Index) * step)
	for i := range min(k, len(ring)) {
		ring[(int(at*float64(len(ring)))+i)%len(ring)].wanted = true
	}
}

// startGuard makes what the exceptions to the mechanism keep.
func (b *Balancer) startGuard(now time.Duration) {
	b.servers, b.tenants = map[EndpointID]*server{}, make([]rate, len(b.set.Tenants))
	b.start, b.spill = now, lowest
	b.meanAim, b.horizon = b.set.meanAim(), b.set.horizon()
	if b.set.PollDiscovery {
		// Many balancers can start at once; discovery answers in turn, so calls are spread.
		b.host.StartTimer(b.spread(min(b.set.Rules.DiscoveryInterval/8, askMost)), timerWatch)
	}
}
