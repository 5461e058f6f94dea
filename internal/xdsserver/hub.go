// Package xdsserver serves the streams of package xds over gRPC, and accepts load reports. Each discovery stream has one
// goroutine that owns its state, one that reads and one that writes, so that a proxy that does not read delays no other.
package xdsserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kitewood/internal/xds"
)

// Hub holds the latest snapshots and the streams that receive them. It is safe for concurrent use.
type Hub struct {
	now func() time.Duration

	mu        sync.Mutex
	snapshots map[string]*xds.Snapshot // by view
	version   uint64                   // of snapshots, incremented by each Publish
	streams   map[*stream]bool
	drainAcks []time.Duration // most recent times from the first urgent response to its ACK
}

// maxDrainAcks is the number of drain acknowledgement times kept for Status.
const maxDrainAcks = 1000

// NewHub returns a Hub without a snapshot. Streams are sent nothing before the first snapshot, so that a service that has just
// started does not empty the endpoint lists of proxies.
func NewHub(now func() time.Duration) *Hub {
	return &Hub{now: now, streams: map[*stream]bool{}}
}

// Rights are the permissions of a proxy.
type Rights struct {
	View  string   // of the snapshot that the proxy receives; proxies with the same pools share one
	Pools []string // for which load reports are accepted; empty for all
}

// Publish replaces the snapshots; each stream continues with the one of its view. It does not wait for the streams.
func (h *Hub) Publish(byView map[string]*xds.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshots = byView
	h.version++
	for s := range h.streams {
		s.notify()
	}
}

// latest returns the latest snapshot of a view, nil before the first, and the version of the snapshots.
func (h *Hub) latest(view string) (*xds.Snapshot, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshots[view], h.version
}

func (h *Hub) addStream(s *stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams[s] = true
}

func (h *Hub) removeStream(s *stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams, s)
}

func (h *Hub) recordDrainAcks(times []time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainAcks = append(h.drainAcks, times...)
	h.drainAcks = h.drainAcks[max(len(h.drainAcks)-maxDrainAcks, 0):]
}

// ProxyStatus is the status of a stream.
type ProxyStatus struct {
	Node            string
	Peer            string
	Delta           bool
	ConnectedFor    time.Duration // time since the stream was opened
	UnknownTypes    []string
	Types           []xds.TypeState
	LastDrainAck    time.Duration // time until the last drain was acknowledged, 0 before the first
	DrainAckPending time.Duration // how long a drain has been without an ACK, 0 if there is none
}

// Status returns the status of each stream, sorted by node and peer, and the most recent times until drains were acknowledged.
func (h *Hub) Status() (proxies []ProxyStatus, drains []time.Duration) {
	h.mu.Lock()
	streams := make([]*stream, 0, len(h.streams))
	for s := range h.streams {
		streams = append(streams, s)
	}
	drains = slices.Clone(h.drainAcks)
	h.mu.Unlock()
	for _, s := range streams {
		proxies = append(proxies, s.status())
	}
	slices.SortFunc(proxies, func(a, b ProxyStatus) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Peer, b.Peer)) })
	return proxies, drains
}
