package results

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Table gathers the summaries of runs by what was played and by what played it.
type Table struct {
	Scenarios, Policies []string // in the order in which they came
	runs                map[[2]string][]*Summary
}

// Add takes a run.
func (t *Table) Add(scenario, policy string, s *Summary) {
	if t.runs == nil {
		t.runs = map[[2]string][]*Summary{}
	}
	if !slices.Contains(t.Scenarios, scenario) {
		t.Scenarios = append(t.Scenarios, scenario)
	}
	if !slices.Contains(t.Policies, policy) {
		t.Policies = append(t.Policies, policy)
	}
	key := [2]string{scenario, policy}
	t.runs[key] = append(t.runs[key], s)
}

// Mean is the mean of a figure over the runs of a cell and its standard error, 0 for one run.
func (t *Table) Mean(scenario, policy string, of func(*Summary) float64) (mean, err float64) {
	var all []float64
	for _, s := range t.runs[[2]string{scenario, policy}] {
		all = append(all, of(s))
	}
	if len(all) < 2 {
		return stat.Mean(all, nil), 0
	}
	mean, sd := stat.MeanStdDev(all, nil)
	return mean, stat.StdErr(sd, float64(len(all)))
}

// Rules are how often each rule was broken over the runs of a cell.
func (t *Table) Violations(scenario, policy string) map[string]int {
	out := map[string]int{}
	for _, s := range t.runs[[2]string{scenario, policy}] {
		for name, n := range s.RuleViolations {
			out[name] += n
		}
	}
	return out
}
