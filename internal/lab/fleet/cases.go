package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kitewood/internal/lab/scenario"
	"kitewood/scenarios"
)

// Case is an overload or failure case: the changes that it makes to the base scenario of the fleet, and the time in which its
// faults are active.
type Case struct {
	Name, Description    string
	FaultStart, FaultEnd time.Duration // from the start of the run
	Duration             time.Duration // of the run
	Apply                func(*scenario.Scenario)
}

const (
	second        = scenario.Duration(time.Second)
	faultStart    = 10 * second // of most faults
	faultDuration = 20 * second // of long faults
)

// FullLoadStart is when the load of the case double rises from 60% of the fleet's capacity to the whole of it. From the case's
// FaultStart to its FaultEnd the load is twice the capacity.
const FullLoadStart = 4 * time.Second

// withFault returns a change that adds a fault.
func withFault(f scenario.Fault) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults = append(s.Faults, f) }
}

// combine returns a change that applies several changes in turn.
func combine(changes ...func(*scenario.Scenario)) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, c := range changes {
			c(s)
		}
	}
}

// withLoad returns a change that sets the load over time. The factors of the points are multiples of the fleet's capacity.
func withLoad(points ...scenario.Point) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, p := range points {
			s.Load.Shape = append(s.Load.Shape, scenario.Point{At: p.At, Factor: p.Factor / s.Load.Utilisation})
		}
	}
}

// withSlowThird makes a third of the middle tier four times slower.
var withSlowThird = withFault(scenario.Fault{Kind: "slow", At: faultStart, Duration: faultDuration, Tier: "comptes", Share: 0.34, Magnitude: 4})

// Cases returns all cases in the order in which the documentation lists them.
func Cases() []Case {
	long, end := time.Duration(faultStart+faultDuration), 45*time.Second // end of a long fault, and of the run
	begin := time.Duration(faultStart)
	return []Case{
		{"calm", "no fault, as the baseline for the other cases", 0, 0, 20 * time.Second, combine()},
		{"double", "twice the capacity for 20 s, after some time at the capacity, and back", 14 * time.Second, 34 * time.Second, 50 * time.Second,
			withLoad(scenario.Point{Factor: 0.6}, scenario.Point{At: scenario.Duration(FullLoadStart), Factor: 0.6}, scenario.Point{At: scenario.Duration(FullLoadStart), Factor: 1},
				scenario.Point{At: 14 * second, Factor: 1}, scenario.Point{At: 14 * second, Factor: 2}, scenario.Point{At: 34 * second, Factor: 2},
				scenario.Point{At: 34 * second, Factor: 0.6})},
		{"slow", "a third of comptes is four times slower for 20 s, while clients retry immediately", begin, long, end, withSlowThird},
		{"killed", "half of the front sidecars are killed for 5 s, their clients move to the others immediately, and they restart without state", begin,
			begin + 5*time.Second, end, withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart, Duration: 5 * second, Tier: "portail", Share: 0.5, DiscardList: true})},
		{"anew", "all sidecars and instances restart at the same time, the instances cold", begin, begin + 16*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "vanish", At: faultStart, Duration: second, Share: 1}),
				withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart, Duration: second, Tier: "portail", Share: 1, DiscardList: true}))},
		{"blind", "discovery is down for 20 s, while a third of comptes is slow and half of the front sidecars are killed", begin, long, end,
			combine(withSlowThird, withFault(scenario.Fault{Kind: "discovery-down", At: faultStart, Duration: faultDuration}),
				withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart + 3*second, Duration: 2 * second, Tier: "portail", Share: 0.5}))},
		{"uneven", "one front sidecar gets ten times the traffic of each other, and a third of comptes is slow", begin, long, end,
			combine(withSlowThird, func(s *scenario.Scenario) { s.Frontend.Skew = 10 })},
		{"stopped", "a sidecar of each tier is paused for 5 s and then resumes all its requests at once", begin, begin + 5*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "portail", Count: 1}),
				withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "comptes", Count: 1}),
				withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "registre", Count: 1}))},
		{"old-reports", "load reports arrive 4 s late, at 1.3 times the capacity for 20 s", begin, long, end,
			combine(withFault(scenario.Fault{Kind: "late-reports", At: faultStart, Duration: faultDuration, Span: 4 * second}),
				withLoad(scenario.Point{Factor: 0.6}, scenario.Point{At: faultStart, Factor: 0.6}, scenario.Point{At: faultStart, Factor: 1.3},
					scenario.Point{At: faultStart + faultDuration, Factor: 1.3}, scenario.Point{At: faultStart + faultDuration, Factor: 0.6}))},
		{"busy", "registre rejects every request for 5 s", begin, begin + 5*time.Second, end,
			withFault(scenario.Fault{Kind: "busy", At: faultStart, Duration: 5 * second, Tier: "registre"})},
		{"used-up", "comptes is six times slower for 10 s and uses up the requests' deadlines", begin, begin + 10*time.Second, end,
			withFault(scenario.Fault{Kind: "slow", At: faultStart, Duration: 10 * second, Tier: "comptes", Share: 1, Magnitude: 6})},
		{"circle", "comptes sends its calls back to portail for 5 s", begin, begin + 5*time.Second, end,
			withFault(scenario.Fault{Kind: "misroute", At: faultStart, Duration: 5 * second, Tier: "comptes"})},
		{"paths", "network paths between sidecars and instances have loss, delay, resets and cuts, and two sidecars lose discovery", begin, begin + 12*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "path", At: faultStart, Duration: 12 * second, Path: scenario.PathInstances, Share: 0.25, Mode: "both", TargetShare: 0.5}),
				withFault(scenario.Fault{Kind: "path", At: faultStart + 2*second, Duration: 6 * second, Path: scenario.PathInstances, Share: 0.25, Span: 150 * second / 1000, Magnitude: 0.05}),
				withFault(scenario.Fault{Kind: "path", At: faultStart + 4*second, Duration: second, Path: scenario.PathInstances, Share: 0.5, ResetConnections: true}),
				withFault(scenario.Fault{Kind: "path", At: faultStart, Duration: 10 * second, Path: scenario.PathDiscovery, Share: 0.25, Mode: "back"}))},
	}
}

// CaseNames returns the names of all cases.
func CaseNames() (names []string) {
	for _, c := range Cases() {
		names = append(names, c.Name)
	}
	return names
}

// FindCase returns a case and its complete, checked scenario.
func FindCase(name string) (Case, *scenario.Scenario, error) {
	cases := Cases()
	i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, nil, fmt.Errorf("unknown case %q; the cases are %s", name, strings.Join(CaseNames(), ", "))
	}
	file, text, err := scenarios.Find("fleet")
	if err != nil {
		return Case{}, nil, err
	}
	s, err := scenario.Read(file, text)
	if err != nil {
		return Case{}, nil, err
	}
	c := cases[i]
	s.Name, s.Description, s.Duration = "fleet-"+c.Name, c.Description, scenario.Duration(c.Duration)
	c.Apply(s)
	return c, s, s.Check()
}
