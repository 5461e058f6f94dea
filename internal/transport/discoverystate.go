package transport

import (
	"log/slog"

	"kitewood/internal/subscription"
)

// DiscoveryState is a snapshot of what a DiscoveryClient knows about discovery, for operators.
type DiscoveryState struct {
	Address       string            `json:"address"`         // configured
	Watching      bool              `json:"watching"`        // a watch is open and has delivered a list
	Evidence      string            `json:"evidence"`        // what the last event has shown of discovery; see lease.Evidence
	ListAgeMS     int64             `json:"list_age_ms"`     // since the last list or heartbeat
	LeaseLeftMS   int64             `json:"lease_left_ms"`   // until sending is suspended; negative while it is
	Calls         int               `json:"calls"`           // since the start
	CallEnds      map[string]uint64 `json:"call_ends"`       // number of ended calls and watches by outcome
	LongestWaitMS int64             `json:"longest_wait_ms"` // longest time from a call to the start of its watch
}

// State returns a snapshot of the client. Any goroutine may call it.
func (d *DiscoveryClient) State() DiscoveryState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.core == nil {
		return DiscoveryState{Address: d.address, CallEnds: map[string]uint64{}}
	}
	return discoveryState(d.core.Snapshot(d.Clock.Now()))
}

// discoveryState converts a snapshot of the core.
func discoveryState(s subscription.Snapshot) DiscoveryState {
	out := DiscoveryState{Address: s.Address, Watching: s.Watching, Evidence: s.Evidence.String(), ListAgeMS: s.ListAge.Milliseconds(),
		LeaseLeftMS: s.LeaseLeft.Milliseconds(), Calls: s.Calls, CallEnds: map[string]uint64{}, LongestWaitMS: s.LongestWait.Milliseconds()}
	for outcome, n := range s.CallEnds {
		out.CallEnds[outcome.String()] = n
	}
	return out
}

// LogValue returns the state as one group of log attributes. It implements slog.LogValuer.
func (s DiscoveryState) LogValue() slog.Value {
	return slog.GroupValue(slog.Bool("watching", s.Watching), slog.String("evidence", s.Evidence), slog.Int64("list_age_ms", s.ListAgeMS),
		slog.Int64("lease_left_ms", s.LeaseLeftMS), slog.Int("calls", s.Calls), slog.Any("call_ends", s.CallEnds),
		slog.Int64("longest_wait_ms", s.LongestWaitMS))
}
