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
	Name, About string
	From, To    time.Duration // of the trouble
	Last        time.Duration // of the run
	Change      func(*scenario.Scenario)
}

const (
	second  = scenario.Duration(time.Second)
	at      = 10 * second // troubles begin
	caseFor = 20 * second // the long ones
)

// FullFrom is when the case double goes from a quiet day to the fleet's capacity; at twice of it it is from the case's From
// to its To.
const FullFrom = 4 * time.Second

// trouble adds one.
func trouble(t scenario.Trouble) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Troubles = append(s.Troubles, t) }
}

// all does several changes.
func all(changes ...func(*scenario.Scenario)) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, c := range changes {
			c(s)
		}
	}
}

// load sets the fleet's load as multiples of its capacity, by corners.
func load(corners ...scenario.Point) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) {
		for _, c := range corners {
			s.Load.Shape = append(s.Load.Shape, scenario.Point{At: c.At, Factor: c.Factor / s.Load.Utilisation})
		}
	}
}

// slowThird makes a third of the middle tier four times slower.
var slowThird = trouble(scenario.Trouble{Kind: "slow", At: at, For: caseFor, Tier: "comptes", Part: 0.34, Size: 4})

// Cases are the hard cases, in the order of their pages.
func Cases() []Case {
	long, end := time.Duration(at+caseFor), 45*time.Second
	begin := time.Duration(at)
	return []Case{
		{"calm", "nothing happens: what the others are held against", 0, 0, 20 * time.Second, all()},
		{"double", "twice the capacity for 20 s, after a stretch at the capacity, and back", 14 * time.Second, 34 * time.Second, 50 * time.Second,
			load(scenario.Point{Factor: 0.6}, scenario.Point{At: scenario.Duration(FullFrom), Factor: 0.6}, scenario.Point{At: scenario.Duration(FullFrom), Factor: 1},
				scenario.Point{At: 14 * second, Factor: 1}, scenario.Point{At: 14 * second, Factor: 2}, scenario.Point{At: 34 * second, Factor: 2},
				scenario.Point{At: 34 * second, Factor: 0.6})},
		{"slow", "a third of comptes is four times slower for 20 s, while clients repeat at once", begin, long, end, slowThird},
		{"killed", "half of the front sidecars are killed for 5 s, their clients go to the rest at once, and they return with nothing", begin,
			begin + 5*time.Second, end, trouble(scenario.Trouble{Kind: "kill-sidecar", At: at, For: 5 * second, Tier: "portail", Part: 0.5, Forget: true})},
		{"anew", "all sidecars and instances start at once, the instances cold", begin, begin + 16*time.Second, end,
			all(trouble(scenario.Trouble{Kind: "vanish", At: at, For: second, Part: 1}),
				trouble(scenario.Trouble{Kind: "kill-sidecar", At: at, For: second, Tier: "portail", Part: 1, Forget: true}))},
		{"blind", "discovery is gone for 20 s, while a third of comptes is slow and half of the front sidecars are killed", begin, long, end,
			all(slowThird, trouble(scenario.Trouble{Kind: "discovery-down", At: at, For: caseFor}),
				trouble(scenario.Trouble{Kind: "kill-sidecar", At: at + 3*second, For: 2 * second, Tier: "portail", Part: 0.5}))},
		{"uneven", "one front sidecar has ten times the others' traffic, and a third of comptes is slow", begin, long, end,
			all(slowThird, func(s *scenario.Scenario) { s.Front.Skew = 10 })},
		{"stopped", "a sidecar of each tier stands still for 5 s and lets go of all that it held", begin, begin + 5*time.Second, end,
			all(trouble(scenario.Trouble{Kind: "stop-sidecar", At: at, For: 5 * second, Tier: "portail", Count: 1}),
				trouble(scenario.Trouble{Kind: "stop-sidecar", At: at, For: 5 * second, Tier: "comptes", Count: 1}),
				trouble(scenario.Trouble{Kind: "stop-sidecar", At: at, For: 5 * second, Tier: "registre", Count: 1}))},
		{"old-reports", "reports come 4 s late, at 1.3 times the capacity for 20 s", begin, long, end,
			all(trouble(scenario.Trouble{Kind: "late-reports", At: at, For: caseFor, Span: 4 * second}),
				load(scenario.Point{Factor: 0.6}, scenario.Point{At: at, Factor: 0.6}, scenario.Point{At: at, Factor: 1.3},
					scenario.Point{At: at + caseFor, Factor: 1.3}, scenario.Point{At: at + caseFor, Factor: 0.6}))},
		{"busy", "registre answers busy to everything for 5 s", begin, begin + 5*time.Second, end,
			trouble(scenario.Trouble{Kind: "busy", At: at, For: 5 * second, Tier: "registre"})},
		{"used-up", "comptes is six times slower for 10 s, and uses up the time", begin, begin + 10*time.Second, end,
			trouble(scenario.Trouble{Kind: "slow", At: at, For: 10 * second, Tier: "comptes", Part: 1, Size: 6})},
		{"circle", "comptes sends its calls back to portail for 5 s", begin, begin + 5*time.Second, end,
			trouble(scenario.Trouble{Kind: "misroute", At: at, For: 5 * second, Tier: "comptes"})},
		{"paths", "paths between sidecars and instances lose, delay, are reset and cut, and two sidecars lose discovery", begin, begin + 12*time.Second, end,
			all(trouble(scenario.Trouble{Kind: "path", At: at, For: 12 * second, Path: scenario.PathInstances, Part: 0.25, Way: "both", Targets: 0.5}),
				trouble(scenario.Trouble{Kind: "path", At: at + 2*second, For: 6 * second, Path: scenario.PathInstances, Part: 0.25, Span: 150 * second / 1000, Size: 0.05}),
				trouble(scenario.Trouble{Kind: "path", At: at + 4*second, For: second, Path: scenario.PathInstances, Part: 0.5, Reset: true}),
				trouble(scenario.Trouble{Kind: "path", At: at, For: 10 * second, Path: scenario.PathDiscovery, Part: 0.25, Way: "back"}))},
	}
}

// Names are the names of the hard cases.
func Names() (names []string) {
	for _, c := range Cases() {
		names = append(names, c.Name)
	}
	return names
}

// Find gives a hard case and its scenario, ready to be played.
func Find(name string) (Case, *scenario.Scenario, error) {
	cases := Cases()
	i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, nil, fmt.Errorf("no case %q: there are %s", name, strings.Join(Names(), ", "))
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
	s.Name, s.About, s.Duration = "fleet-"+c.Name, c.About, scenario.Duration(c.Last)
	c.Change(s)
	return c, s, s.Check()
}
