// Package drill keeps the lab's drills: each causes a failure with real processes and tells, from the stand-ins' ledger
// or a hand-computed result, whether a promise held.
package drill

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
)

// Options say how to run a drill.
type Options struct {
	Short         bool // the form that CI runs
	Seed          uint64
	Repeats       int    // of the failure; 0 for the drill's own number
	Defect        string // one of the drill's Wrongs, or empty
	Binary        string // kitewood
	LabBinary     string // kitewood-lab
	ControlBinary string // kitewood-control
	Dir           string // for what it leaves; it is there
	Log           *slog.Logger
}

// times is how often a drill causes its failure: as often as it was asked to, or its own number for the form.
func (o *Options) times(long, short int) int {
	switch {
	case o.Repeats > 0:
		return o.Repeats
	case o.Short:
		return short
	}
	return long
}

// Figure is one figure of a drill, with the bound that it was held to, if any.
type Figure struct {
	Name   string
	Value  float64
	Bound  string // empty for a figure that is only told
	Passed bool
}

// Outcome is what a drill found. Its promise held if every bounded figure did.
type Outcome struct {
	Metrics []Figure
	Notes   []string // what an operator should see of a broken promise
}

// Tell adds a figure without a bound.
func (o *Outcome) Tell(name string, v float64) {
	o.Metrics = append(o.Metrics, Figure{Name: name, Value: v, Passed: true})
}

// Hold adds a figure with the bound that it is held to.
func (o *Outcome) Hold(name string, v float64, bound string, held bool) {
	o.Metrics = append(o.Metrics, Figure{name, v, bound, held})
}

// Pass tells whether the promise held. A drill that held nothing to a bound has proved nothing.
func (o *Outcome) Pass() bool {
	bounded := false
	for _, f := range o.Metrics {
		if !f.Passed {
			return false
		}
		bounded = bounded || f.Bound != ""
	}
	return bounded
}

// Drill is one promise and the failure that tries it.
type Drill struct {
	Name         string
	Description  string
	NeedsControl bool     // it starts kitewood-control
	Defects      []string // ways to run it wrongly on purpose, each of which has to break the promise
	Run          func(context.Context, Options) (*Outcome, error)
}

// All are the drills, by name.
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

// Find is a drill by its name.
func Find(name string) (Drill, error) {
	for _, d := range All() {
		if d.Name == name {
			return d, nil
		}
	}
	return Drill{}, fmt.Errorf("no drill %q: see kitewood-lab drill list", name)
}
