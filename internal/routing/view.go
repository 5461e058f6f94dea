package routing

import (
	"cmp"
	"slices"
	"time"

	"kitewood/balance"
)

// View is what a Loop knows at a moment.
type View struct {
	Index                     int64   // of the last endpoint list
	Pending, Queued           int     // operations
	ShedLevel, DownstreamShed float64 // of refusals: see balance.Balancer.Level
	Endpoints                 []EndpointView
	Metrics                   Metrics
}

// DestinationView is a destination with what the module knows of it.
type EndpointView struct {
	Name, Address, Zone string
	balance.EndpointView
}

// View asks the Loop for what it knows, and tells whether it answered within a time.
func (l *Loop) View(within time.Duration) (View, bool) {
	answer := make(chan View, 1)
	until := l.Now() + within
	if !l.postUntil(func() { l.looked = true; answer <- l.view() }, until) {
		return View{}, false
	}
	left := time.NewTimer(until - l.Now())
	defer left.Stop()
	select {
	case v := <-answer:
		return v, true
	case <-left.C:
	case <-l.done:
	}
	return View{}, false
}

func (l *Loop) view() View {
	servers, open, parked := l.balancer.View(l.Now())
	v := View{Index: l.pool.index, Pending: open, Queued: parked, Metrics: l.metrics}
	v.ShedLevel, v.DownstreamShed = l.balancer.AdmissionLevel(l.Now())
	for _, s := range servers {
		if d := l.pool.byID[s.ID]; d != nil {
			v.Endpoints = append(v.Endpoints, EndpointView{d.Name, d.Address, d.Zone, s})
		}
	}
	slices.SortFunc(v.Endpoints, func(x, y EndpointView) int { return cmp.Compare(x.Name, y.Name) })
	return v
}
