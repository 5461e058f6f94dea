// Package transport owns the sockets: the listener that clients connect to, the connections to destinations, and
// the watch of discovery. It drives the state machines of package protocol and carries what package routing decides.
package transport

import "sync"

// Budget shares out the descriptors of the process.
type Budget struct {
	ClientConns   int // connections of clients that are served
	OverflowConns int // further ones that are told that the sidecar is busy
	UpstreamConns int // connections to destinations
}

// reserve is kept for the standard streams, the poller, the listener, the watches of discovery and files.
const reservedDescriptors = 14

// MinSockets is the least number of descriptors that a sidecar can work with.
const MinSockets = reservedDescriptors + 10

// worst is what a connection of a client may take, with its operation: the request and the answer at their largest.
const maxClientConnBytes = 192 << 10

// NewBudget divides the descriptors that a process may hold. An operation holds one of the front's and at most one of
// the destinations' at a time, and those being closed linger a moment, so the latter get the larger part.
func NewBudget(sockets int, memory int64) Budget {
	// The overflow shrinks with the whole: taken from 64 as from 1,024 it left the clients seven connections.
	b := Budget{OverflowConns: min(2+sockets/64, 16)}
	free := max(sockets-reservedDescriptors-b.OverflowConns, 2)
	b.ClientConns = free * 9 / 20
	b.UpstreamConns = free - b.ClientConns
	// Clients that are slow to send and to read, all at once, must not take the memory of the others.
	b.ClientConns = min(b.ClientConns, int(memory*6/10/maxClientConnBytes))
	return b
}

// Room holds the descriptors that connections to destinations may take. Any goroutine may call it.
type ConnLimiter interface {
	Acquire() bool // one, if there is one
	Release()      // gives one back
}

// meter is the Room of a process with one pool.
type meter struct {
	mu   sync.Mutex
	open int
	most int
}

// NewRoom returns a Room for some connections.
func NewConnLimiter(most int) ConnLimiter { return &meter{most: most} }

// Take takes one. It implements Room.
func (m *meter) Acquire() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open >= m.most {
		return false
	}
	m.open++
	return true
}

// Give gives one back. It implements Room.
func (m *meter) Release() {
	m.mu.Lock()
	m.open--
	m.mu.Unlock()
}
