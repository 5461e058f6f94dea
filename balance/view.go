package balance

import (
	"cmp"
	"slices"
	"time"
)

// EndpointView is what a Balancer knows about a listed endpoint.
type EndpointView struct {
	ID              EndpointID
	State           State
	Tracked         bool          // in this balancer's subset
	Weight          float64       // share of turns, 1 for an even share; 0 while it is not tracked
	SlowStartFactor float64       // part of its full load that it can handle by its age, 1 past slow start
	Utilisation     float64       // smoothed
	FailureRatio    float64       // smoothed share of failures among outcomes
	InFlight        int           // attempts without an outcome
	EjectedFor      time.Duration // no sends for so long; 0 if it may get some
	Probation       bool          // readmitted, one attempt at a time
}

// View returns the state of each listed endpoint, by ID, the number of requests without a final answer, and how many of those
// are queued. It changes nothing.
func (b *Balancer) View(now time.Duration) (endpoints []EndpointView, open, queued int) {
	for id, s := range b.endpoints {
		if !s.listed && len(s.inFlight) == 0 {
			continue
		}
		v := EndpointView{ID: id, State: s.State, Tracked: s.tracked, Utilisation: s.utilisation, FailureRatio: s.failureRatio, InFlight: len(s.inFlight), SlowStartFactor: b.slowStartFactor(s, now),
			EjectedFor: max(s.ejectedUntil-now, 0), Probation: s.probation}
		if s.tracked {
			v.Weight = b.weight(s, now)
		}
		endpoints = append(endpoints, v)
	}
	slices.SortFunc(endpoints, func(x, y EndpointView) int { return cmp.Compare(x.ID, y.ID) })
	for _, r := range b.queue {
		if r.queued && !r.ended {
			queued++
		}
	}
	return endpoints, b.openRequests, queued
}
