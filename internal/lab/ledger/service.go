package ledger

import (
	"math"
	"time"
)

// Objective defines how the service is scored: the weights of its parts, and the size of each penalty (in shares of 1).
type Objective struct {
	WholeRun, WorstWindow, WorstClass      float64
	LateFailure, Waste, Connection, Probes float64
	Window                                 time.Duration // of WorstWindow
	Classes                                []ClassObjective
	UtilityPerWork                         bool // the utility of a request is multiplied by its work in core-seconds
	Warmup                                 time.Duration
}

// ClassObjective is the utility of a request of a class and its latency target.
type ClassObjective struct {
	Name          string
	Utility       float64
	LatencyTarget time.Duration
}

// Service is the service that the clients got.
type Service struct {
	Service            float64            `json:"service"` // score, with penalties
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
	SidecarRequests    int                `json:"calls"`    // requests that sidecars received, all tiers
	AttemptsPerRequest float64            `json:"attempts_per_operation"`
	Connections        int                `json:"connections"`
	Probes             int                `json:"probes"`
	InstanceCrashes    int                `json:"fallen"`
	InstanceOverloads  int                `json:"choked"`
}

// ClientRequest is one request of a client with all its attempts, as the ledger shows it.
type ClientRequest struct {
	IntendedAt time.Duration // when it was meant to be sent
	Class      int
	Work       float64
	ServedAt   time.Duration // 0 if it was not served
	LastKind   Kind          // of its last attempt
	Status     int
	Attempts   int
	EndedAt    time.Duration
}

// ClientRequests collects the clients' requests, indexed by their number from 1; index 0 is empty.
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

// MeasureService computes the service and its score from the entries of a run.
func MeasureService(entries []Entry, objective Objective) Service {
	s := Service{Classes: map[string]float64{}, Penalties: map[string]float64{}}
	offered, achieved := make([]float64, len(objective.Classes)), make([]float64, len(objective.Classes))
	var offeredWindows, achievedWindows []float64
	late := 0.0
	for _, c := range ClientRequests(entries) {
		if c.Attempts == 0 || c.IntendedAt < objective.Warmup || c.Class >= len(objective.Classes) {
			continue
		}
		s.ClientRequests++
		s.ClientAttempts += c.Attempts
		class := objective.Classes[c.Class]
		utility := class.Utility
		if objective.UtilityPerWork {
			utility *= c.Work
		}
		w := int(c.IntendedAt / max(objective.Window, time.Second))
		for len(offeredWindows) <= w {
			offeredWindows, achievedWindows = append(offeredWindows, 0), append(achievedWindows, 0)
		}
		offered[c.Class] += utility
		offeredWindows[w] += utility
		switch {
		case c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+class.LatencyTarget:
			s.InTime++
			achieved[c.Class] += utility
			achievedWindows[w] += utility
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
			late += utility
		}
	}
	total, inTime := 0.0, 0.0
	s.WorstClass, s.WorstWindow = 1, 1
	for i, c := range objective.Classes {
		total, inTime = total+offered[i], inTime+achieved[i]
		s.Classes[c.Name] = ratio(achieved[i], offered[i])
		s.WorstClass = math.Min(s.WorstClass, s.Classes[c.Name])
	}
	for i := range offeredWindows {
		if offeredWindows[i] > total/float64(4*len(offeredWindows)) { // skip a short window at the end
			s.WorstWindow = math.Min(s.WorstWindow, ratio(achievedWindows[i], offeredWindows[i]))
		}
	}
	s.WholeRun = ratio(inTime, total)
	s.addInstanceMetrics(entries, objective)
	if s.ClientRequests > 0 {
		s.Penalties["late"] = objective.LateFailure * ratio(late, total) * boolToFloat(total > 0)
		s.Penalties["connections"] = objective.Connection * math.Min(1, float64(s.Connections)/float64(s.ClientRequests))
		s.Penalties["probes"] = objective.Probes * math.Min(1, float64(s.Probes)/float64(s.ClientRequests))
	}
	s.Service = objective.WholeRun*s.WholeRun + objective.WorstWindow*s.WorstWindow + objective.WorstClass*s.WorstClass
	for _, p := range s.Penalties {
		s.Service -= p
	}
	return s
}

// addInstanceMetrics adds what happened at the instances: attempts, connections, probes, crashes and wasted work.
func (s *Service) addInstanceMetrics(entries []Entry, objective Objective) {
	work, useful, servedWork := 0.0, 0.0, map[string]float64{}
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
					servedWork[e.ID] = e.Work
				}
			}
		case Answered:
			if e.Status == 200 {
				useful += servedWork[e.ID]
			}
		}
	}
	s.AttemptsPerRequest = ratio(float64(s.Attempts), float64(s.SidecarRequests))
	s.Penalties["waste"] = objective.Waste * math.Max(0, ratio(work-useful, work)) * boolToFloat(work > 0)
}

// ratio returns part/whole, or 1 if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
