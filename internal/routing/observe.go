package routing

import (
	"slices"

	"kitewood/balance"
)

// Observation is what others saw of a destination: see balance.Balancer.Observed.
type Observation struct {
	Address string
	Failed  float64
	Load    []float32
}

// Probe asks the destinations at some addresses for their health and load, from any goroutine. Those that no destination
// has are passed over.
func (l *Loop) Probe(addresses []string) {
	l.post(func() {
		for _, d := range l.pool.byName {
			if slices.Contains(addresses, d.Address) {
				host{l}.Probe(d.ID)
			}
		}
	})
}

// Observe hands the module what others saw of destinations, by address, from any goroutine. Those that no destination has
// are passed over.
func (l *Loop) Observe(all []Observation) {
	l.post(func() {
		ids := make(map[string]balance.ServerID, len(l.pool.byName))
		for _, d := range l.pool.byName {
			ids[d.Address] = d.ID
		}
		for _, o := range all {
			if id, known := ids[o.Address]; known {
				l.balancer.Observed(l.Now(), id, o.Failed, o.Load)
			}
		}
	})
}
