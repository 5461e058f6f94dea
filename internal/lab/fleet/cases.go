package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kitewood/internal/lab/scenario"
	"kitewood/scenarios"
)

// Case is a hard case: what is done to the base scenario's fleet, and when it is over.
type Case struct {
	Name, Description    string
	FaultStart, FaultEnd time.Duration // of the trouble
	Duration             time.Duration // of the run
	Apply                func(*scenario.Scenario)
}

const (
	second        = scenario.Duration(time.Second)
	faultStart    = 10 * second // troubles begin
	faultDuration = 20 * second // the long ones
)

// FullFrom is when the case double goes from a quiet day to the fleet's capacity; at twice of it it is from the case's From
// to its To.
const FullLoadStart = 4 * time.Second

// trouble adds one.
func withFault(t scenario.Fault) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults = append(s.Faults, t) }
}

// all does several changes.
func combine(changes ...func(*scenario.Scenario)) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, c := range changes {
			c(s)
		}
	}
}

// load sets the fleet's load as multiples of its capacity, by corners.
func withLoad(corners ...scenario.Point) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, c := range corners {
			s.Load.Shape = append(s.Load.Shape, scenario.Point{At: c.At, Factor: c.Factor / s.Load.Utilisation})
		}
	}
}

// slowThird makes a third of the middle tier four times slower.
var withSlowThird = withFault(scenario.Fault{Kind: "slow", At: faultStart, Duration: faultDuration, Tier: "comptes", Share: 0.34, Magnitude: 4})

// Cases are the hard cases, in the order of their pages.
func Cases() []Case {
	long, end := time.Duration(faultStart+faultDuration), 45*time.Second
	begin := time.Duration(faultStart)
	return []Case{
		{"calm", "nothing happens: what the others are held against", 0, 0, 20 * time.Second, combine()},
		{"double", "twice the capacity for 20 s, after a stretch at the capacity, and back", 14 * time.Second, 34 * time.Second, 50 * time.Second,
			withLoad(scenario.Point{Factor: 0.6}, scenario.Point{At: scenario.Duration(FullLoadStart), Factor: 0.6}, scenario.Point{At: scenario.Duration(FullLoadStart), Factor: 1},
				scenario.Point{At: 14 * second, Factor: 1}, scenario.Point{At: 14 * second, Factor: 2}, scenario.Point{At: 34 * second, Factor: 2},
				scenario.Point{At: 34 * second, Factor: 0.6})},
		{"slow", "a third of comptes is four times slower for 20 s, while clients repeat at once", begin, long, end, withSlowThird},
		{"killed", "half of the front sidecars are killed for 5 s, their clients go to the rest at once, and they return with nothing", begin,
			begin + 5*time.Second, end, withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart, Duration: 5 * second, Tier: "portail", Share: 0.5, DiscardList: true})},
		{"anew", "all sidecars and instances start at once, the instances cold", begin, begin + 16*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "vanish", At: faultStart, Duration: second, Share: 1}),
				withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart, Duration: second, Tier: "portail", Share: 1, DiscardList: true}))},
		{"blind", "discovery is gone for 20 s, while a third of comptes is slow and half of the front sidecars are killed", begin, long, end,
			combine(withSlowThird, withFault(scenario.Fault{Kind: "discovery-down", At: faultStart, Duration: faultDuration}),
				withFault(scenario.Fault{Kind: "kill-sidecar", At: faultStart + 3*second, Duration: 2 * second, Tier: "portail", Share: 0.5}))},
		{"uneven", "one front sidecar has ten times the others' traffic, and a third of comptes is slow", begin, long, end,
			combine(withSlowThird, func(s *scenario.Scenario) { s.Frontend.Skew = 10 })},
		{"stopped", "a sidecar of each tier stands still for 5 s and lets go of all that it held", begin, begin + 5*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "portail", Count: 1}),
				withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "comptes", Count: 1}),
				withFault(scenario.Fault{Kind: "stop-sidecar", At: faultStart, Duration: 5 * second, Tier: "registre", Count: 1}))},
		{"old-reports", "reports come 4 s late, at 1.3 times the capacity for 20 s", begin, long, end,
			combine(withFault(scenario.Fault{Kind: "late-reports", At: faultStart, Duration: faultDuration, Span: 4 * second}),
				withLoad(scenario.Point{Factor: 0.6}, scenario.Point{At: faultStart, Factor: 0.6}, scenario.Point{At: faultStart, Factor: 1.3},
					scenario.Point{At: faultStart + faultDuration, Factor: 1.3}, scenario.Point{At: faultStart + faultDuration, Factor: 0.6}))},
		{"busy", "registre answers busy to everything for 5 s", begin, begin + 5*time.Second, end,
			withFault(scenario.Fault{Kind: "busy", At: faultStart, Duration: 5 * second, Tier: "registre"})},
		{"used-up", "comptes is six times slower for 10 s, and uses up the time", begin, begin + 10*time.Second, end,
			withFault(scenario.Fault{Kind: "slow", At: faultStart, Duration: 10 * second, Tier: "comptes", Share: 1, Magnitude: 6})},
		{"circle", "comptes sends its calls back to portail for 5 s", begin, begin + 5*time.Second, end,
			withFault(scenario.Fault{Kind: "misroute", At: faultStart, Duration: 5 * second, Tier: "comptes"})},
		{"paths", "paths between sidecars and instances lose, delay, are reset and cut, and two sidecars lose discovery", begin, begin + 12*time.Second, end,
			combine(withFault(scenario.Fault{Kind: "path", At: faultStart, Duration: 12 * second, Path: scenario.PathInstances, Share: 0.25, Mode: "both", TargetShare: 0.5}),
				withFault(scenario.Fault{Kind: "path", At: faultStart + 2*second, Duration: 6 * second, Path: scenario.PathInstances, Share: 0.25, Span: 150 * second / 1000, Magnitude: 0.05}),
				withFault(scenario.Fault{Kind: "path", At: faultStart + 4*second, Duration: second, Path: scenario.PathInstances, Share: 0.5, Reset: true}),
				withFault(scenario.Fault{Kind: "path", At: faultStart, Duration: 10 * second, Path: scenario.PathDiscovery, Share: 0.25, Mode: "back"}))},
	}
}

// Names are the names of the hard cases.
func CaseNames() (names []string) {
	for _, c := range Cases() {
		names = append(names, c.Name)
	}
	return names
}

// Find gives a hard case and its scenario, ready to be played.
func FindCase(name string) (Case, *scenario.Scenario, error) {
	cases := Cases()
	i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, nil, fmt.Errorf("no case %q: there are %s", name, strings.Join(CaseNames(), ", "))
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
