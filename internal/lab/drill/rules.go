package drill

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/scenario"
	"kitewood/scenarios"
)

// rulesDrill runs a scenario with all kinds of faults at once.
var rulesDrill = Drill{
	Name:        "rules",
	Description: "all faults at once, a killed sidecar and a change of the discovery address among them: no rule broken, no sidecar crashed",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		return runScenario(ctx, o, "everything", 12*time.Second, 0)
	},
}

// calmDrill runs a scenario without faults.
var calmDrill = Drill{
	Name:        "calm",
	Description: "three tiers under calm load: no rule broken, at least 0.8 of the utility served in time",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		return runScenario(ctx, o, "calm", 6*time.Second, 0.8)
	},
}

// runScenario runs a scenario once per repeat, with consecutive seeds, and checks the ledger's rules and, if minService is above 0,
// the lowest service of the runs.
func runScenario(ctx context.Context, o Options, name string, short time.Duration, minService float64) (*Outcome, error) {
	out := &Outcome{}
	violations, crashes, clients, requests, lowest := 0, 0, 0, 0, 1.0
	for n := range max(o.Repeats, 1) {
		s, err := findScenario(name)
		if err != nil {
			return nil, err
		}
		if o.Short {
			compressTimeline(s, short)
		}
		seed := o.Seed + uint64(n)
		r, err := emulator.Run(ctx, emulator.Options{Scenario: s, Seed: seed, Binary: o.Binary, Log: o.Log,
			Dir: filepath.Join(o.Dir, fmt.Sprintf("%s-seed%d", name, seed))})
		if err != nil {
			return nil, err
		}
		if r.CutShort {
			return nil, context.Cause(ctx)
		}
		for _, b := range ledger.FindViolations(r.Entries, s.Rules()) {
			if b.Rule == ledger.RuleNoCrash {
				crashes++
			} else {
				violations++
			}
			out.Notes = append(out.Notes, fmt.Sprintf("seed %d: %s", seed, b))
		}
		v := ledger.MeasureService(r.Entries, s.LedgerObjective())
		clients, requests, lowest = clients+v.ClientRequests, requests+v.SidecarRequests, min(lowest, v.Service)
	}
	out.Report("clients", float64(clients))
	out.Check("operations of sidecars", float64(requests), "above 0", requests > 0)
	out.Check("broken rules", float64(violations), "0", violations == 0)
	out.Check("crashed sidecars", float64(crashes), "0", crashes == 0)
	if minService > 0 {
		out.Check("least service", lowest, fmt.Sprintf("at least %g", minService), lowest >= minService)
	} else {
		out.Report("least service", lowest)
	}
	return out, nil
}

// findScenario reads a built-in scenario by its name.
func findScenario(name string) (*scenario.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(file, text)
}

// compressTimeline scales a scenario's timeline to duration d.
func compressTimeline(s *scenario.Scenario, d time.Duration) {
	factor := float64(d) / float64(s.Duration)
	s.Duration = scenario.Duration(d)
	for i := range s.Faults {
		s.Faults[i].At = scenario.Duration(float64(s.Faults[i].At) * factor)
		s.Faults[i].Duration = scenario.Duration(float64(s.Faults[i].Duration) * factor)
	}
	for i := range s.Load.Shape {
		s.Load.Shape[i].At = scenario.Duration(float64(s.Load.Shape[i].At) * factor)
	}
}

// makeDir creates a directory inside the drill's.
func makeDir(o Options, name string) (string, error) {
	dir := filepath.Join(o.Dir, name)
	return dir, os.MkdirAll(dir, 0o755)
}
