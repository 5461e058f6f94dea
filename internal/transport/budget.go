// Package transport owns the process's sockets: the listeners that clients connect to, the upstream connections to endpoints,
// and the discovery watch. It drives the state machines of package protocol and performs the I/O that package routing decides
// on.
package transport

import "sync"

// Budget divides the file descriptors and the memory of the process between their uses.
type Budget struct {
	ClientConns    int   // client connections that are served
	OverflowConns  int   // further client connections, whose requests are answered "busy"
	UpstreamConns  int   // connections to endpoints
	ReadAheadBytes int64 // that client connections buffer of requests sent ahead of responses, beyond a small amount each
}

// reservedDescriptors is kept for the standard streams, the poller, the listener, the discovery watches and files.
const reservedDescriptors = 14

// MinSockets is the smallest number of descriptors that a sidecar can work with.
const MinSockets = reservedDescriptors + 10

// maxClientConnBytes is the memory that a client connection and its request may take, with request and response at their
// maximum size.
const maxClientConnBytes = 192 << 10

// readAheadFraction is the reciprocal of the share of memory for requests sent ahead of responses.
const readAheadFraction = 8

// NewBudget divides the descriptors that a process may hold. A request holds one client connection and at most one upstream
// connection at a time. Upstream connections that are being closed hold their descriptor a little longer, so they get the
// larger part.
func NewBudget(sockets int, memory int64) Budget {
	// The overflow scales with the total: a fixed number that suits 1,024 descriptors left only seven client connections out
	// of 64.
	b := Budget{OverflowConns: min(2+sockets/64, 16), ReadAheadBytes: memory / readAheadFraction}
	free := max(sockets-reservedDescriptors-b.OverflowConns, 2)
	b.ClientConns = free * 9 / 20
	b.UpstreamConns = free - b.ClientConns
	// Clients that all send and read slowly at once must not take the memory of the rest of the process.
	b.ClientConns = min(b.ClientConns, int(memory*6/10/maxClientConnBytes))
	return b
}

// ConnLimiter bounds the upstream connections that may be open at a time. It is safe for concurrent use.
type ConnLimiter interface {
	Acquire() bool // takes one descriptor and reports whether one was free
	Release()      // gives one descriptor back
}

// countingLimiter is the ConnLimiter of a process with a single pool.
type countingLimiter struct {
	mu    sync.Mutex
	open  int
	limit int
}

// NewConnLimiter returns a ConnLimiter that allows up to limit connections.
func NewConnLimiter(limit int) ConnLimiter { return &countingLimiter{limit: limit} }

// Acquire implements ConnLimiter.
func (l *countingLimiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

// Release implements ConnLimiter.
func (l *countingLimiter) Release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}
