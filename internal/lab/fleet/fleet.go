// Package fleet tests many sidecar processes together: it runs a lab scenario with a fleet of a given size, injects the faults
// of the scenario's plan into the processes and the network paths between them, and computes fleet-wide totals from the ledger.
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

// Files that a fleet run writes in addition to those of every run.
const (
	AccountFile = "account.json"
	PlanFile    = "plan.json" // the planned faults
)

// Options configure a run.
type Options struct {
	Scenario *scenario.Scenario
	Sidecars int // processes in all tiers; 0 for the scenario's own number
	Seed     uint64
	Binary   string        // path of kitewood
	Env      []string      // added to the environment of the sidecars
	Debug    bool          // sidecars log at debug level
	Slack    time.Duration // tolerance of the rules' time limits; 0 for the protocol's
	Dir      string        // output directory; created if missing
	Log      *slog.Logger
	Progress func(emulator.Progress)
}

// Result is the outcome of a run.
type Result struct {
	Summary    *results.Summary
	Violations []ledger.Violation
	Account    *account.Account
	Sidecars   int
	Plan       []PlannedFault
}

// SidecarCount returns the number of sidecar processes that a scenario has at its start.
func SidecarCount(s *scenario.Scenario) int {
	n := 0
	for t := range s.Tiers {
		if t+1 < len(s.Tiers) {
			n += s.Tiers[t].Instances
		}
	}
	return n + s.Tiers[0].Sidecars
}

// DiscoveryCallers returns the number of sidecars that ask discovery for the endpoint list of a tier.
func DiscoveryCallers(s *scenario.Scenario, tier int) int {
	if tier == 0 {
		return s.Tiers[0].Sidecars
	}
	return s.Tiers[tier-1].Instances
}

// Bounds of a fleet, in sidecar processes.
const (
	minSidecars = 3
	maxSidecars = 150
)

// Scale changes a scenario to a fleet of about the given number of sidecars. All tiers are scaled by the same factor, so the
// ratio of instances to sidecars stays; a load given as a rate is scaled too, one given as a utilisation follows by itself.
func Scale(s *scenario.Scenario, sidecars int) error {
	if sidecars < minSidecars || sidecars > maxSidecars {
		return fmt.Errorf("between %d and %d sidecars, not %d", minSidecars, maxSidecars, sidecars)
	}
	factor := float64(sidecars) / float64(SidecarCount(s))
	scaled := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	for t := range s.Tiers {
		s.Tiers[t].Instances = scaled(s.Tiers[t].Instances)
	}
	rest := sidecars - (SidecarCount(s) - s.Tiers[0].Sidecars)
	if s.Tiers[0].Sidecars = max(1, rest); s.Load.Rate > 0 {
		s.Load.Rate *= factor
	}
	return nil
}

// Run runs a scenario, writes its results to the output directory and summarizes them.
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
	logged, err := loggedViolations(filepath.Join(o.Dir, "sidecars"), run.Duration)
	if err != nil {
		return nil, err
	}
	run.Entries = append(run.Entries, logged...)
	summary := results.NewSummary("run", s.Name, o.Seed, started)
	summary.Binary = o.Binary
	rules := s.Rules()
	if o.Slack > 0 {
		rules.Slack = o.Slack
	}
	r := &Result{Sidecars: SidecarCount(s), Plan: plannedFaults(run.Plan), Account: account.Summarize(run.Entries, s.LedgerObjective())}
	if r.Summary, r.Violations, err = results.WriteRun(o.Dir, s, rules, summary, run); err != nil {
		return nil, err
	}
	if err := writeJSON(o.Dir, AccountFile, r.Account); err != nil {
		return nil, err
	}
	return r, writeJSON(o.Dir, PlanFile, r.Plan)
}

// PlannedFault is an event of the plan as it is written to PlanFile.
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

// Defects are deliberate misconfigurations, by name, that show that a check can fail: each disables one part of the fleet's
// overload handling.
var Defects = map[string]func(*scenario.Sidecar){
	"no-budget":  func(c *scenario.Sidecar) { c.Chain, c.RetryShare, c.RetryBurst, c.MaxAttempts = false, 1, 1e6, 10 },
	"dice":       func(c *scenario.Sidecar) { c.Origin = false },
	"own-probes": func(c *scenario.Sidecar) { c.Standalone = true },
	"no-pass-up": func(c *scenario.Sidecar) { c.RetryDeclined = true },
	"no-chain":   func(c *scenario.Sidecar) { c.Chain = false },
}

// ApplyDefect configures a scenario's sidecars with the named defect; the empty name changes nothing.
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

// DefectNames returns the names of Defects, sorted.
func DefectNames() []string {
	var names []string
	for n := range Defects {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
