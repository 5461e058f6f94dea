package transport

import "log/slog"

// DirectoryState is what a Directory knows of discovery at a moment, for the people on call.
type DiscoveryState struct {
	Address     string            `json:"address"`         // that the configuration names
	Watching    bool              `json:"watching"`        // a watch stands
	Evidence    string            `json:"evidence"`        // what discovery has shown of itself last; see lease.Evidence
	ListAgeMS   int64             `json:"list_age_ms"`     // since the last word
	LeaseLeftMS int64             `json:"lease_left_ms"`   // until requests are held back; negative while they are
	Calls       int               `json:"calls"`           // so far
	CallEnds    map[string]uint64 `json:"call_ends"`       // of calls and watches, by kind
	Longest     int64             `json:"longest_wait_ms"` // of an answered call
}

// State tells what is known of discovery. Any goroutine may ask.
func (d *DiscoveryClient) State() DiscoveryState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state()
}

// state is State with d.mu held.
func (d *DiscoveryClient) state() DiscoveryState {
	out := DiscoveryState{Address: d.latest().address, Watching: d.stands(), Calls: d.calls, CallEnds: map[string]uint64{},
		Longest: d.longestWait.Milliseconds()}
	for kind, n := range d.ends {
		if n > 0 {
			out.CallEnds[callOutcome(kind).String()] = n
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

// LogValue shows the state as one group of a log line.
func (s DiscoveryState) LogValue() slog.Value {
	return slog.GroupValue(slog.Bool("watching", s.Watching), slog.String("evidence", s.Evidence), slog.Int64("list_age_ms", s.ListAgeMS),
		slog.Int64("lease_left_ms", s.LeaseLeftMS), slog.Int("calls", s.Calls), slog.Any("call_ends", s.CallEnds),
		slog.Int64("longest_wait_ms", s.Longest))
}
