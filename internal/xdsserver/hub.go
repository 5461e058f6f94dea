// Package xdsserver drives the core of package xds over gRPC: one goroutine owns each stream, one reads it and one writes
// it, so that a proxy that does not read delays nobody else.
package xdsserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kitewood/internal/xds"
)

// Hub holds the newest snapshot and the streams that it goes to. Any goroutine may call it.
type Hub struct {
	now func() time.Duration

	mu        sync.Mutex
	snapshots map[string]*xds.Snapshot // by view
	version   uint64                   // of them: it only grows
	streams   map[*stream]bool
	drains    []time.Duration // from the first word to a proxy to its answer, the last of them
}

// keptDrains is how many times of drains are kept for those who look.
const keptDrains = 1000

// NewHub returns a Hub without a snapshot: streams are sent nothing before the first, so that a service that has just
// started empties nobody's list.
func NewHub(now func() time.Duration) *Hub {
	return &Hub{now: now, streams: map[*stream]bool{}}
}

// Rights are what a proxy may have.
type Rights struct {
	View  string   // of the snapshot that it gets; proxies with the same pools share one
	Pools []string // that it may report on; none for all
}

// Publish has every stream go on to another snapshot, that of its view. It waits for none of them.
func (h *Hub) Publish(byView map[string]*xds.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshots = byView
	h.version++
	for x := range h.streams {
		x.poke()
	}
}

// newest is the newest snapshot of a view, nil before the first.
func (h *Hub) newest(view string) (*xds.Snapshot, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshots[view], h.version
}

func (h *Hub) join(x *stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams[x] = true
}

func (h *Hub) leave(x *stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, x)
}

func (h *Hub) drained(times []time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, times...)
	h.drains = h.drains[max(len(h.drains)-keptDrains, 0):]
}

// Proxy is how a stream stands.
type ProxyStatus struct {
	Node            string
	Peer            string
	Delta           bool
	ConnectedFor    time.Duration // how long it has been connected
	UnknownTypes    []string
	Types           []xds.TypeState
	LastDrainAck    time.Duration // from the last word of a drain to its answer; 0 before the first
	DrainAckPending time.Duration // how long a word of a drain has no answer; 0 if there is none
}

// Status tells how each stream stands, by node and peer, and the times of the last drains.
func (h *Hub) Status() (proxies []ProxyStatus, drains []time.Duration) {
	h.mu.Lock()
	streams := make([]*stream, 0, len(h.streams))
	for x := range h.streams {
		streams = append(streams, x)
	}
	drains = slices.Clone(h.drains)
	h.mu.Unlock()
	for _, x := range streams {
		proxies = append(proxies, x.status())
	}
	slices.SortFunc(proxies, func(a, b ProxyStatus) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Peer, b.Peer)) })
	return proxies, drains
}
