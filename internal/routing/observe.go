package routing

// Observation is what others measured at an endpoint over some time: see balance.Balancer.EndpointObserved.
type Observation struct {
	Address      string
	FailureShare float64
	Load         []float32
}

// Probe requests the health and load of the endpoints at some addresses. Addresses of no known endpoint are skipped. Any
// goroutine may call it.
func (l *Loop) Probe(addresses []string) {
	l.post(func() {
		ids := l.endpoints.idsByAddress()
		for _, a := range addresses {
			if id, known := ids[a]; known {
				host{l}.Probe(id)
			}
		}
	})
}

// Observe passes observations of endpoints, by address, to the Balancer. Addresses of no known endpoint are skipped. Any
// goroutine may call it.
func (l *Loop) Observe(observations []Observation) {
	l.post(func() {
		ids := l.endpoints.idsByAddress()
		for _, o := range observations {
			if id, known := ids[o.Address]; known {
				l.balancer.EndpointObserved(l.Now(), id, o.FailureShare, o.Load)
			}
		}
	})
}
