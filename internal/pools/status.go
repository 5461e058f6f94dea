package pools

import (
	"cmp"
	"maps"
	"runtime"
	"slices"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
)

// Status is what the admin socket shows. It changes nothing.
type Status struct {
	Name       string           `json:"name"`
	Goroutines int              `json:"goroutines"`
	MemoryKB   int              `json:"memory_kb"` // held by the runtime
	Limits     map[string]Limit `json:"limits"`    // by the key in shares
	Pools      []PoolStatus     `json:"pools"`
	Listeners  []string         `json:"listeners"`

	Closings   map[string]uint64 `json:"closings"`   // ends of clients' connections, by reason
	Violations map[string]uint64 `json:"violations"` // of invariants, by name: each is a defect
	Denials    map[string]uint64 `json:"denials"`    // what was not done as it would have broken one
}

// Limit is one limit of the process.
type Limit struct {
	Whole int `json:"whole"`
	Used  int `json:"used"`
}

// PoolStatus is one pool.
type PoolStatus struct {
	Name         string              `json:"name"`
	Retired      bool                `json:"retired,omitempty"` // it takes nothing new and ends what is open
	Stuck        bool                `json:"stuck,omitempty"`   // its loop did not answer
	Index        int64               `json:"index"`             // of its last list
	Open         int                 `json:"open"`
	Parked       int                 `json:"parked"`
	Level        float64             `json:"level"` // of refusals because answers are foretold late: 0 none, 1 all but what is worth most, 2 all
	Below        float64             `json:"below"` // share refused because services below decline it
	Shares       map[string]Use      `json:"shares,omitempty"`
	Destinations []DestinationStatus `json:"destinations"`
	Counts       map[string]uint64   `json:"counts"` // requests, attempts, refusals, retries and lists since the start, by name

	Discovery *transport.DiscoveryState `json:"discovery,omitempty"` // where its list comes from there
}

// Use is what a pool holds of a limit. Borrowed units are a part of those used.
type Use struct {
	Guaranteed int `json:"guaranteed"`
	Most       int `json:"most,omitempty"`
	Used       int `json:"used"`
	Borrowed   int `json:"borrowed"`
}

// DestinationStatus is one destination.
type DestinationStatus struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	State       string  `json:"state"` // ready, draining, ejected, trial, untracked
	Weight      float64 `json:"weight"`
	Utilisation float64 `json:"utilisation"`
	Failed      float64 `json:"failed"`
	InFlight    int     `json:"in_flight"`
	HeldOffMS   int64   `json:"held_off_ms,omitempty"`
}

// viewWithin is how long a pool's loop may take to say what it knows.
const viewWithin = 500 * time.Millisecond

// Status asks every pool at once, so that those that are stuck cost half a second in all.
func (s *Set) Status() Status {
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.pools))
	live := len(all)
	all = append(all, slices.Collect(maps.Keys(s.retired))...)
	out := Status{Name: s.file.Name, Goroutines: runtime.NumGoroutine(), Limits: map[string]Limit{},
		Listeners: slices.Sorted(maps.Keys(s.listeners))}
	out.Violations, out.Denials = s.guard.Violations(), s.guard.Denials()
	if s.front != nil {
		out.Closings = s.front.CloseCounts()
	}
	s.mu.Unlock()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	out.MemoryKB = int((memory.Sys - memory.HeapReleased) >> 10)
	out.Pools = make([]PoolStatus, len(all))
	done := make(chan struct{}, len(all))
	for i, p := range all {
		go func() {
			out.Pools[i] = p.status(i >= live)
			done <- struct{}{}
		}()
	}
	for range all {
		<-done
	}
	for key := range s.limits.all {
		whole, used, uses := s.limits.uses(key)
		out.Limits[key] = Limit{whole, used}
		for i, p := range all[:live] {
			if u, there := uses[p.name]; there {
				if out.Pools[i].Shares == nil {
					out.Pools[i].Shares = map[string]Use{}
				}
				out.Pools[i].Shares[key] = Use{u.Guaranteed, u.Max, u.Used, u.Borrowed}
			}
		}
	}
	slices.SortStableFunc(out.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (p *pool) status(retired bool) PoolStatus {
	out := PoolStatus{Name: p.name, Retired: retired, Destinations: []DestinationStatus{}}
	if p.discovery != nil {
		state := p.discovery.State()
		out.Discovery = &state
	}
	v, ok := p.loop.View(viewWithin)
	if out.Stuck = !ok; out.Stuck {
		out.Open = p.loop.PendingRequests()
		return out
	}
	out.Index, out.Open, out.Parked, out.Level, out.Below = v.Index, v.Pending, v.Queued, v.ShedLevel, v.DownstreamShed
	out.Counts = v.Metrics.Counts()
	for _, d := range v.Endpoints {
		out.Destinations = append(out.Destinations, DestinationStatus{Name: d.Name, Address: d.Address, State: state(d), Weight: d.Weight,
			Utilisation: d.Utilisation, Failed: d.FailureRatio, InFlight: d.InFlight, HeldOffMS: d.EjectedFor.Milliseconds()})
	}
	return out
}

// state is a destination's state in one word.
func state(d routing.EndpointView) string {
	switch {
	case d.State == balance.Draining:
		return "draining"
	case d.EjectedFor > 0 && d.Probation:
		return "ejected"
	case d.EjectedFor > 0:
		return "held off"
	case d.Probation:
		return "trial"
	case !d.Tracked:
		return "untracked"
	}
	return "ready"
}
