package balance

import (
	"cmp"
	"slices"
	"time"
)

// ServerView is what a Balancer knows of a listed server.
type EndpointView struct {
	ID              EndpointID
	State           State
	Tracked         bool          // in this balancer's subset
	Weight          float64       // of its turns, 1 for an even share; 0 while it is not tracked
	SlowStartFactor float64       // part of its work that it can do by its age, 1 once it is warm
	Utilisation     float64       // smoothed
	FailureRatio    float64       // smoothed share of failures
	InFlight        int           // attempts without an outcome
	EjectedFor      time.Duration // it gets nothing for so long; 0 if it may
	Probation       bool          // readmitted, one attempt at a time
}

// View tells what is known of each listed server, by id, how many requests have no final answer, and how many of them
// wait for a server. It changes nothing.
func (b *Balancer) View(now time.Duration) (servers []EndpointView, open, parked int) {
	for id, s := range b.servers {
		if !s.listed && len(s.out) == 0 {
			continue
		}
		v := EndpointView{ID: id, State: s.State, Tracked: s.tracked, Utilisation: s.avg, FailureRatio: s.failed, InFlight: len(s.out), SlowStartFactor: b.ramp(s, now),
			EjectedFor: max(s.outUntil-now, 0), Probation: s.trial}
		if s.tracked {
			v.Weight = b.weight(s, now)
		}
		servers = append(servers, v)
	}
	slices.SortFunc(servers, func(x, y EndpointView) int { return cmp.Compare(x.ID, y.ID) })
	for _, r := range b.parked {
		if r.parked && !r.ended {
			parked++
		}
	}
	return servers, b.open, parked
}
