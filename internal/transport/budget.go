// Package transport owns the sockets: the front socket that clients connect to, the connections to destinations, and
// the watch of discovery. It drives the state machines of package protocol and carries what package routing decides.
package transport

import "sync"

// Budget shares out the descriptors of the process.
type Budget struct{ Front, Destinations int }

// reserve is kept for the standard streams, the listener, the poller, discovery, and for telling clients beyond the
// front's part that the sidecar is busy.
const reserve = 32 + overflow

// overflow is how many connections beyond the front's part are answered busy at a time.
const overflow = 16

// NewBudget divides the descriptors that a process may hold. An operation holds one of the front's and at most one of
// the destinations' at a time, and those being closed linger a moment, so the latter get the larger half.
func NewBudget(sockets int) Budget {
	free := max(sockets-reserve, 4)
	return Budget{Front: free * 9 / 20, Destinations: free - free*9/20}
}

// MinSockets is the least number of descriptors that a sidecar can work with.
const MinSockets = reserve + 4

// meter counts what is open of one part of the budget.
type meter struct {
	mu   sync.Mutex
	open int
	most int
}

func (m *meter) take() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open >= m.most {
		return false
	}
	m.open++
	return true
}

func (m *meter) give() {
	m.mu.Lock()
	m.open--
	m.mu.Unlock()
}
