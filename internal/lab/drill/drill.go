// Package drill contains the lab's drills: each causes a failure with real processes and checks a guarantee of the system
// against the ledger of the emulated servers and clients or against a result computed by hand.
package drill

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
)

// Options configure a run of a drill.
type Options struct {
	Short         bool // run the short form, as CI does
	Seed          uint64
	Repeats       int    // how often to cause the failure; 0 for the drill's default
	Defect        string // one of the drill's Defects, or empty
	Binary        string // path of kitewood
	LabBinary     string // path of kitewood-lab
	ControlBinary string // path of kitewood-control
	Dir           string // existing directory for output files
	Log           *slog.Logger
}

// repeats returns how often a drill causes its failure: Repeats if set, else the drill's default for the long or the short form.
func (o *Options) repeats(long, short int) int {
	switch {
	case o.Repeats > 0:
		return o.Repeats
	case o.Short:
		return short
	}
	return long
}

// Metric is one result of a drill, with the bound that it was checked against, if any.
type Metric struct {
	Name   string
	Value  float64
	Bound  string // empty for a metric that is only reported
	Passed bool
}

// Outcome is the result of a drill. The guarantee holds if every metric with a bound is within it.
type Outcome struct {
	Metrics []Metric
	Notes   []string // details of a violated guarantee, for the operator
}

// Report adds a metric without a bound.
func (o *Outcome) Report(name string, value float64) {
	o.Metrics = append(o.Metrics, Metric{Name: name, Value: value, Passed: true})
}

// Check adds a metric with its bound and whether it is within the bound.
func (o *Outcome) Check(name string, value float64, bound string, passed bool) {
	o.Metrics = append(o.Metrics, Metric{name, value, bound, passed})
}

// Pass reports whether the guarantee held. A drill that checked no metric against a bound has proved nothing and does not pass.
func (o *Outcome) Pass() bool {
	bounded := false
	for _, m := range o.Metrics {
		if !m.Passed {
			return false
		}
		bounded = bounded || m.Bound != ""
	}
	return bounded
}

// Drill causes a failure and checks one guarantee under it.
type Drill struct {
	Name         string
	Description  string
	NeedsControl bool     // it starts kitewood-control, so Options.ControlBinary is required
	Defects      []string // deliberate misconfigurations, each of which has to violate the guarantee
	Run          func(context.Context, Options) (*Outcome, error)
}

// All returns the drills, sorted by name.
func All() []Drill {
	all := []Drill{rulesDrill, stallDrill, rateDrill, leftoversDrill, calmDrill, poolsDrill, xdsDrainDrill, xdsReconnectDrill, xdsScaleDrill,
		fleetOverloadDrill, closedLoopDrill, etcdBurstDrill, etcdCompactDrill, etcdChaosDrill, etcdScaleDrill}
	slices.SortFunc(all, func(a, b Drill) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Find returns the drill with the given name.
func Find(name string) (Drill, error) {
	for _, d := range All() {
		if d.Name == name {
			return d, nil
		}
	}
	return Drill{}, fmt.Errorf("no drill %q: see kitewood-lab drill list", name)
}
