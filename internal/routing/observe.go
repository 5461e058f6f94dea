package routing

// Observation is what others saw of a destination: see balance.Balancer.Observed.
type Observation struct {
	Address      string
	FailureShare float64
	Load         []float32
}

// Probe asks the destinations at some addresses for their health and load, from any goroutine. Those that no destination
// has are passed over.
func (l *Loop) Probe(addresses []string) {
	l.post(func() {
		ids := l.pool.byAddress()
		for _, a := range addresses {
			if id, known := ids[a]; known {
				host{l}.Probe(id)
			}
		}
	})
}

// Observe hands the module what others saw of destinations, by address, from any goroutine. Those that no destination has
// are passed over.
func (l *Loop) Observe(all []Observation) {
	l.post(func() {
		ids := l.pool.byAddress()
		for _, o := range all {
			if id, known := ids[o.Address]; known {
				l.balancer.EndpointObserved(l.Now(), id, o.FailureShare, o.Load)
			}
		}
	})
}
