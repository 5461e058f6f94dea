// Package fleet is the rig of many processes: it plays a scenario of the lab with a fleet of a given size, breaks what the
// scenario's plan says between the processes and on them, and adds up from the ledger what all did together.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"kitewood/internal/lab/account"
	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/results"
	"kitewood/internal/lab/scenario"
)

// The files that a run leaves beside those of every run.
const (
	AccountFile = "account.json"
	PlanFile    = "plan.json" // the faults as they were drawn
)

// Options say what to play.
type Options struct {
	Scenario *scenario.Scenario
	Sidecars int // processes in all tiers; 0 for as many as the scenario has
	Seed     uint64
	Binary   string        // kitewood
	Env      []string      // of the sidecars, beside this process's
	Debug    bool          // the sidecars log at debug level
	Slack    time.Duration // of the rules, instead of the protocol's; 0 for that
	Dir      string        // for what it leaves; it is made
	Log      *slog.Logger
	Progress func(emulator.Progress)
}

// Result is what a run showed.
type Result struct {
	Summary    *results.Summary
	Violations []ledger.Violation
	Account    *account.Account
	Sidecars   int
	Plan       []PlannedFault // as they were drawn
}

// Size is how many sidecar processes a scenario has at its start.
func SidecarCount(s *scenario.Scenario) int {
	n := 0
	for t := range s.Tiers {
		if t+1 < len(s.Tiers) {
			n += s.Tiers[t].Instances
		}
	}
	return n + s.Tiers[0].Sidecars
}

// Callers is how many sidecars of a tier ask discovery for its list.
func DiscoveryCallers(s *scenario.Scenario, tier int) int {
	if tier == 0 {
		return s.Tiers[0].Sidecars
	}
	return s.Tiers[tier-1].Instances
}

// Bounds of a fleet, in processes.
const (
	minSidecars = 3
	maxSidecars = 150
)

// Scale gives a scenario a fleet of about so many sidecars, with as many instances beside them as it had: all tiers grow
// alike, and the load with them where it is given as a utilisation.
func Scale(s *scenario.Scenario, sidecars int) error {
	if sidecars < minSidecars || sidecars > maxSidecars {
		return fmt.Errorf("between %d and %d sidecars, not %d", minSidecars, maxSidecars, sidecars)
	}
	by := float64(sidecars) / float64(SidecarCount(s))
	part := func(n int) int { return max(1, int(math.Round(float64(n)*by))) }
	for t := range s.Tiers {
		s.Tiers[t].Instances = part(s.Tiers[t].Instances)
	}
	rest := sidecars - (SidecarCount(s) - s.Tiers[0].Sidecars)
	if s.Tiers[0].Sidecars = max(1, rest); s.Load.Rate > 0 {
		s.Load.Rate *= by
	}
	return nil
}

// Play plays a scenario, keeps what it left in a folder and adds it up.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := o.Scenario
	if o.Sidecars > 0 {
		if err := Scale(s, o.Sidecars); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	run, err := emulator.Run(ctx, emulator.Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Env: o.Env, Debug: o.Debug, Dir: o.Dir, Log: o.Log,
		Progress: o.Progress})
	if err != nil {
		return nil, err
	}
	own, err := loggedViolations(filepath.Join(o.Dir, "sidecars"), run.Duration)
	if err != nil {
		return nil, err
	}
	run.Entries = append(run.Entries, own...)
	head := results.NewSummary("run", s.Name, o.Seed, started)
	head.Binary = o.Binary
	rules := s.Rules()
	if o.Slack > 0 {
		rules.Slack = o.Slack
	}
	r := &Result{Sidecars: SidecarCount(s), Plan: plannedFaults(run.Plan), Account: account.Summarize(run.Entries, s.LedgerObjective())}
	if r.Summary, r.Violations, err = results.WriteRun(o.Dir, s, rules, head, run); err != nil {
		return nil, err
	}
	if err := writeJSON(o.Dir, AccountFile, r.Account); err != nil {
		return nil, err
	}
	return r, writeJSON(o.Dir, PlanFile, r.Plan)
}

// Fault is an entry of the plan as it is written down.
type PlannedFault struct {
	AtMS int64  `json:"at_ms"`
	Text string `json:"what"`
}

func plannedFaults(p *scenario.Plan) []PlannedFault {
	out := []PlannedFault{}
	for _, e := range p.Events {
		out = append(out, PlannedFault{e.At.Milliseconds(), e.String()})
	}
	return out
}

func writeJSON(dir, name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), append(text, '\n'), 0o644)
}

// Wrongs are ways of running the fleet wrongly on purpose, to see a promise broken: each takes one part of the fleet's
// handling of overload away by configuration.
var Defects = map[string]func(*scenario.Sidecar){
	"no-budget":  func(c *scenario.Sidecar) { c.Chain, c.RetryShare, c.RetryBurst, c.MaxAttempts = false, 1, 1e6, 10 },
	"dice":       func(c *scenario.Sidecar) { c.Origin = false },
	"own-probes": func(c *scenario.Sidecar) { c.Standalone = true },
	"no-pass-up": func(c *scenario.Sidecar) { c.RetryDeclined = true },
	"no-chain":   func(c *scenario.Sidecar) { c.Chain = false },
}

// Wrong runs a scenario's sidecars wrongly in a named way; the empty name changes nothing.
func ApplyDefect(s *scenario.Scenario, name string) error {
	if name == "" {
		return nil
	}
	change, known := Defects[name]
	if !known {
		return fmt.Errorf("nothing is called %q: there are %s", name, strings.Join(DefectNames(), ", "))
	}
	change(&s.Sidecar)
	return nil
}

// WrongNames are the names that Wrong knows, sorted.
func DefectNames() []string {
	var names []string
	for n := range Defects {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
