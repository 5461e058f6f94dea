package routing

import (
	"cmp"
	"slices"
	"time"

	"kitewood/balance"
)

// View is a snapshot of a Loop's state.
type View struct {
	Index                     int64   // version of the latest endpoint list
	Pending, Queued           int     // requests without a final answer, and those of them that wait for an endpoint
	ShedLevel, DownstreamShed float64 // load shedding: see balance.Balancer.AdmissionLevel
	Endpoints                 []EndpointView
	Metrics                   Metrics
}

// EndpointView is an endpoint with what the Balancer knows about it.
type EndpointView struct {
	Name, Address, Zone string
	balance.EndpointView
}

// View returns a snapshot of the Loop's state, and whether the Loop answered within the timeout.
func (l *Loop) View(timeout time.Duration) (View, bool) {
	answer := make(chan View, 1)
	deadline := l.Now() + timeout
	if !l.postUntil(func() { l.readOnly = true; answer <- l.view() }, deadline) {
		return View{}, false
	}
	expiryTimer := time.NewTimer(deadline - l.Now())
	defer expiryTimer.Stop()
	select {
	case v := <-answer:
		return v, true
	case <-expiryTimer.C:
	case <-l.done:
	}
	return View{}, false
}

func (l *Loop) view() View {
	endpoints, open, queued := l.balancer.View(l.Now())
	l.metrics.KeysForgotten = l.undelivered.forgotten()
	v := View{Index: l.endpoints.index, Pending: open, Queued: queued, Metrics: l.metrics}
	v.ShedLevel, v.DownstreamShed = l.balancer.AdmissionLevel(l.Now())
	for _, known := range endpoints {
		if ep := l.endpoints.byID[known.ID]; ep != nil {
			v.Endpoints = append(v.Endpoints, EndpointView{ep.Name, ep.Address, ep.Zone, known})
		}
	}
	slices.SortFunc(v.Endpoints, func(x, y EndpointView) int { return cmp.Compare(x.Name, y.Name) })
	return v
}
