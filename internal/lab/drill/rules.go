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

// rulesDrill plays every trouble at once.
var rulesDrill = Drill{
	Name:        "rules",
	Description: "all troubles at once, a killed sidecar and a moved discovery among them: no rule broken, no sidecar crashed",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		return playDrill(ctx, o, "everything", 12*time.Second, 0)
	},
}

// calmDrill plays a quiet day.
var calmDrill = Drill{
	Name:        "calm",
	Description: "three tiers on a quiet day: no rule broken, at least 0.8 of the worth served in time",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		return playDrill(ctx, o, "calm", 6*time.Second, 0.8)
	},
}

// playDrill plays a scenario once for each repeat, with the seeds that follow, and holds it to the rules and to a
// least service.
func playDrill(ctx context.Context, o Options, name string, short time.Duration, least float64) (*Outcome, error) {
	out := &Outcome{}
	broken, crashes, clients, operations, worst := 0, 0, 0, 0, 1.0
	for n := range max(o.Repeats, 1) {
		s, err := find(name)
		if err != nil {
			return nil, err
		}
		if o.Short {
			squeeze(s, short)
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
				broken++
			}
			out.Notes = append(out.Notes, fmt.Sprintf("seed %d: %s", seed, b))
		}
		v := ledger.MeasureService(r.Entries, s.LedgerObjective())
		clients, operations, worst = clients+v.ClientRequests, operations+v.SidecarRequests, min(worst, v.Service)
	}
	out.Tell("clients", float64(clients))
	out.Hold("operations of sidecars", float64(operations), "above 0", operations > 0)
	out.Hold("broken rules", float64(broken), "0", broken == 0)
	out.Hold("crashed sidecars", float64(crashes), "0", crashes == 0)
	if least > 0 {
		out.Hold("least service", worst, fmt.Sprintf("at least %g", least), worst >= least)
	} else {
		out.Tell("least service", worst)
	}
	return out, nil
}

func find(name string) (*scenario.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(file, text)
}

// squeeze plays the whole of a scenario's timeline in a shorter time.
func squeeze(s *scenario.Scenario, d time.Duration) {
	f := float64(d) / float64(s.Duration)
	s.Duration = scenario.Duration(d)
	for i := range s.Faults {
		s.Faults[i].At = scenario.Duration(float64(s.Faults[i].At) * f)
		s.Faults[i].Duration = scenario.Duration(float64(s.Faults[i].Duration) * f)
	}
	for i := range s.Load.Shape {
		s.Load.Shape[i].At = scenario.Duration(float64(s.Load.Shape[i].At) * f)
	}
}

// scratch makes a folder inside the drill's.
func scratch(o Options, name string) (string, error) {
	dir := filepath.Join(o.Dir, name)
	return dir, os.MkdirAll(dir, 0o755)
}
