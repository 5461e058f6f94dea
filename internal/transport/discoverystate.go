package transport

import "log/slog"

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
	return d.stateLocked()
}

// stateLocked is State with d.mu held.
func (d *DiscoveryClient) stateLocked() DiscoveryState {
	out := DiscoveryState{Address: d.latest().address, Watching: d.hasEstablishedWatch(), Calls: d.calls, CallEnds: map[string]uint64{},
		LongestWaitMS: d.longestWait.Milliseconds()}
	for outcome, n := range d.callEnds {
		if n > 0 {
			out.CallEnds[callOutcome(outcome).String()] = n
		}
	}
	if d.lease != nil {
		now := d.Clock.Now()
		out.Evidence = d.lease.Evidence().String()
		out.ListAgeMS = (now - d.lease.LastReport()).Milliseconds()
		out.LeaseLeftMS = (d.lease.ExpiresAt() - now).Milliseconds()
	}
	return out
}

// LogValue returns the state as one group of log attributes. It implements slog.LogValuer.
func (s DiscoveryState) LogValue() slog.Value {
	return slog.GroupValue(slog.Bool("watching", s.Watching), slog.String("evidence", s.Evidence), slog.Int64("list_age_ms", s.ListAgeMS),
		slog.Int64("lease_left_ms", s.LeaseLeftMS), slog.Int("calls", s.Calls), slog.Any("call_ends", s.CallEnds),
		slog.Int64("longest_wait_ms", s.LongestWaitMS))
}
