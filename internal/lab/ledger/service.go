package ledger

import (
	"math"
	"time"
)

// Goal says how service is counted: the weights of its parts, and the points of each penalty (in shares of 1).
type Objective struct {
	WholeRun, WorstWindow, WorstClass      float64
	LateFailure, Waste, Connection, Probes float64
	Window                                 time.Duration // of WorstWindow
	Classes                                []ClassObjective
	UtilityPerWork                         bool // worth counts for each core-second of work
	Warmup                                 time.Duration
}

// GoalClass is what a class is worth and by when it is wanted.
type ClassObjective struct {
	Name          string
	Utility       float64
	LatencyTarget time.Duration
}

// Service is what the clients got.
type Service struct {
	Service            float64            `json:"service"` // with penalties
	WholeRun           float64            `json:"whole"`
	WorstWindow        float64            `json:"worst_window"`
	WorstClass         float64            `json:"worst_class"`
	Classes            map[string]float64 `json:"classes"`
	Penalties          map[string]float64 `json:"penalties"`
	ClientRequests     int                `json:"clients"`
	ClientAttempts     int                `json:"tries"`
	InTime             int                `json:"in_time"`
	Late               int                `json:"late"`
	Rejected           int                `json:"refused"`
	Failed             int                `json:"failed"`
	Unanswered         int                `json:"unanswered"`
	Attempts           int                `json:"attempts"` // that reached an instance, all tiers
	SidecarRequests    int                `json:"calls"`    // operations of sidecars, all tiers
	AttemptsPerRequest float64            `json:"attempts_per_operation"`
	Connections        int                `json:"connections"`
	Probes             int                `json:"probes"`
	InstanceCrashes    int                `json:"fallen"`
	InstanceOverloads  int                `json:"choked"`
}

// Client is one piece of business, as the ledger tells it.
type ClientRequest struct {
	IntendedAt time.Duration // when it was meant to go out
	Class      int
	Work       float64
	ServedAt   time.Duration // 0 if it was not
	LastKind   Kind          // of its last try
	Status     int
	Attempts   int
	EndedAt    time.Duration
}

// Clients gathers the clients' business, by number from 1; place 0 is empty.
func ClientRequests(entries []Entry) []ClientRequest {
	var out []ClientRequest
	for i := range entries {
		e := &entries[i]
		if e.ClientRequest <= 0 {
			continue
		}
		for len(out) <= e.ClientRequest {
			out = append(out, ClientRequest{})
		}
		c := &out[e.ClientRequest]
		switch e.Kind {
		case RequestSent, RequestUnsent:
			c.Attempts++
			c.Class, c.Work = e.Class, e.Work
			if !e.Retry {
				c.IntendedAt = e.Since
			}
			if e.Kind == RequestUnsent {
				c.LastKind, c.EndedAt = e.Kind, e.At
			}
		case Answered:
			if e.Status == 200 && c.ServedAt == 0 {
				c.ServedAt = e.At
			}
			c.LastKind, c.Status, c.EndedAt = e.Kind, e.Status, e.At
		case TimedOut, CallerClosed, ConnectionBroken:
			c.LastKind, c.EndedAt = e.Kind, e.At
		}
	}
	return out
}

// Serve counts the service.
func MeasureService(entries []Entry, goal Objective) Service {
	s := Service{Classes: map[string]float64{}, Penalties: map[string]float64{}}
	asked, got := make([]float64, len(goal.Classes)), make([]float64, len(goal.Classes))
	var windows, windowsGot []float64
	late := 0.0
	for _, c := range ClientRequests(entries) {
		if c.Attempts == 0 || c.IntendedAt < goal.Warmup || c.Class >= len(goal.Classes) {
			continue
		}
		s.ClientRequests++
		s.ClientAttempts += c.Attempts
		class := goal.Classes[c.Class]
		worth := class.Utility
		if goal.UtilityPerWork {
			worth *= c.Work
		}
		w := int(c.IntendedAt / max(goal.Window, time.Second))
		for len(windows) <= w {
			windows, windowsGot = append(windows, 0), append(windowsGot, 0)
		}
		asked[c.Class] += worth
		windows[w] += worth
		switch {
		case c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+class.LatencyTarget:
			s.InTime++
			got[c.Class] += worth
			windowsGot[w] += worth
			continue
		case c.ServedAt != 0:
			s.Late++
		case c.LastKind == Answered && (c.Status == 503 || c.Status == 429):
			s.Rejected++
		case c.LastKind == Answered:
			s.Failed++
		default:
			s.Unanswered++
		}
		if c.EndedAt > c.IntendedAt+class.LatencyTarget {
			late += worth
		}
	}
	total, in := 0.0, 0.0
	s.WorstClass, s.WorstWindow = 1, 1
	for i, c := range goal.Classes {
		total, in = total+asked[i], in+got[i]
		s.Classes[c.Name] = share(got[i], asked[i])
		s.WorstClass = math.Min(s.WorstClass, s.Classes[c.Name])
	}
	for i := range windows {
		if windows[i] > total/float64(4*len(windows)) { // a sliver at the end is no window
			s.WorstWindow = math.Min(s.WorstWindow, share(windowsGot[i], windows[i]))
		}
	}
	s.WholeRun = share(in, total)
	s.count(entries, goal)
	if s.ClientRequests > 0 {
		s.Penalties["late"] = goal.LateFailure * share(late, total) * btof(total > 0)
		s.Penalties["connections"] = goal.Connection * math.Min(1, float64(s.Connections)/float64(s.ClientRequests))
		s.Penalties["probes"] = goal.Probes * math.Min(1, float64(s.Probes)/float64(s.ClientRequests))
	}
	s.Service = goal.WholeRun*s.WholeRun + goal.WorstWindow*s.WorstWindow + goal.WorstClass*s.WorstClass
	for _, p := range s.Penalties {
		s.Service -= p
	}
	return s
}

// count takes what happened at the instances.
func (s *Service) count(entries []Entry, goal Objective) {
	work, useful, calls := 0.0, 0.0, map[string]float64{}
	for i := range entries {
		e := &entries[i]
		switch e.Kind {
		case RequestSent:
			s.SidecarRequests++
		case AttemptArrived:
			s.Attempts++
		case ConnectionOpened:
			s.Connections++
		case Probed:
			s.Probes++
		case InstanceCrashed:
			s.InstanceCrashes++
		case InstanceOverloaded:
			s.InstanceOverloads++
		case AttemptEnded:
			if e.Outcome != "turned" {
				work += e.Work
				if e.Outcome == "served" {
					calls[e.ID] = e.Work
				}
			}
		case Answered:
			if e.Status == 200 {
				useful += calls[e.ID]
			}
		}
	}
	s.AttemptsPerRequest = share(float64(s.Attempts), float64(s.SidecarRequests))
	s.Penalties["waste"] = goal.Waste * math.Max(0, share(work-useful, work)) * btof(work > 0)
}

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

func btof(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
