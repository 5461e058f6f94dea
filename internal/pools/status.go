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

// Status is the state of the process as the admin socket shows it.
type Status struct {
	Name       string           `json:"name"`
	Goroutines int              `json:"goroutines"`
	MemoryKB   int              `json:"memory_kb"` // memory that the Go runtime holds
	Limits     map[string]Limit `json:"limits"`    // by the key in the shares setting
	Pools      []PoolStatus     `json:"pools"`
	Listeners  []string         `json:"listeners"`

	CloseCounts map[string]uint64 `json:"closings"`   // closed client connections, by reason
	Violations  map[string]uint64 `json:"violations"` // invariant violations, by name; each one is a defect
	Denials     map[string]uint64 `json:"denials"`    // actions that were denied because they would have violated an invariant
}

// Limit is the size and the use of one process limit.
type Limit struct {
	Total int `json:"whole"`
	Used  int `json:"used"`
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Name           string            `json:"name"`
	Retired        bool              `json:"retired,omitempty"` // accepts no new requests and finishes those in flight
	Unresponsive   bool              `json:"stuck,omitempty"`   // its event loop did not respond
	Index          int64             `json:"index"`             // of its latest endpoint list
	Pending        int               `json:"open"`
	Queued         int               `json:"parked"`
	ShedLevel      float64           `json:"level"` // load shedding because responses are predicted to be late: 0 none, 1 all but the class of the highest utility, 2 all
	DownstreamShed float64           `json:"below"` // share of requests shed because downstream services decline them
	Shares         map[string]Usage  `json:"shares,omitempty"`
	Endpoints      []EndpointStatus  `json:"destinations"`
	Counts         map[string]uint64 `json:"counts"` // requests, attempts, rejections, retries and lists since the start, by name

	Discovery *transport.DiscoveryState `json:"discovery,omitempty"` // nil if the endpoint list is a file
}

// Usage is a pool's use of one limit. Borrowed units are part of the used ones.
type Usage struct {
	Guaranteed int `json:"guaranteed"`
	Max        int `json:"most,omitempty"`
	Used       int `json:"used"`
	Borrowed   int `json:"borrowed"`
}

// EndpointStatus is the state of one endpoint.
type EndpointStatus struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"`
	State        string  `json:"state"` // ready, draining, ejected, held off, trial or untracked
	Weight       float64 `json:"weight"`
	Utilisation  float64 `json:"utilisation"`
	FailureRatio float64 `json:"failed"`
	InFlight     int     `json:"in_flight"`
	EjectedMS    int64   `json:"held_off_ms,omitempty"`
}

// viewTimeout is how long a pool's event loop may take to report its state.
const viewTimeout = 500 * time.Millisecond

// Status returns the state of all pools. It queries them in parallel, so that unresponsive pools delay it by half a second in
// total.
func (s *Set) Status() Status {
	s.mu.Lock()
	all := slices.Collect(maps.Values(s.pools))
	live := len(all)
	all = append(all, slices.Collect(maps.Keys(s.retired))...)
	out := Status{Name: s.file.Name, Goroutines: runtime.NumGoroutine(), Limits: map[string]Limit{},
		Listeners: slices.Sorted(maps.Keys(s.listeners))}
	out.Violations, out.Denials = s.guard.Violations(), s.guard.Denials()
	if s.server != nil {
		out.CloseCounts = s.server.CloseCounts()
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
	for key := range s.limits.byKey {
		total, used, usage := s.limits.usage(key)
		out.Limits[key] = Limit{total, used}
		for i, p := range all[:live] {
			if u, ok := usage[p.name]; ok {
				if out.Pools[i].Shares == nil {
					out.Pools[i].Shares = map[string]Usage{}
				}
				out.Pools[i].Shares[key] = Usage{u.Guaranteed, u.Max, u.Used, u.Borrowed}
			}
		}
	}
	slices.SortStableFunc(out.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// status returns the state of the pool; an unresponsive one reports little more than its pending requests.
func (p *pool) status(retired bool) PoolStatus {
	out := PoolStatus{Name: p.name, Retired: retired, Endpoints: []EndpointStatus{}}
	if p.discoveryClient != nil {
		state := p.discoveryClient.State()
		out.Discovery = &state
	}
	v, ok := p.loop.View(viewTimeout)
	if out.Unresponsive = !ok; out.Unresponsive {
		out.Pending = p.loop.PendingRequests()
		return out
	}
	out.Index, out.Pending, out.Queued, out.ShedLevel, out.DownstreamShed = v.Index, v.Pending, v.Queued, v.ShedLevel, v.DownstreamShed
	out.Counts = v.Metrics.Counts()
	for _, e := range v.Endpoints {
		out.Endpoints = append(out.Endpoints, EndpointStatus{Name: e.Name, Address: e.Address, State: endpointState(e), Weight: e.Weight,
			Utilisation: e.Utilisation, FailureRatio: e.FailureRatio, InFlight: e.InFlight, EjectedMS: e.EjectedFor.Milliseconds()})
	}
	return out
}

// endpointState names the state of an endpoint.
func endpointState(e routing.EndpointView) string {
	switch {
	case e.State == balance.Draining:
		return "draining"
	case e.EjectedFor > 0 && e.Probation:
		return "ejected"
	case e.EjectedFor > 0:
		return "held off"
	case e.Probation:
		return "trial"
	case !e.Tracked:
		return "untracked"
	}
	return "ready"
}
