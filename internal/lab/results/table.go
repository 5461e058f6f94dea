package results

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Table groups the summaries of runs by scenario and policy.
type Table struct {
	Scenarios, Policies []string // in the order in which they were added
	runs                map[[2]string][]*Summary
}

// Add adds a run.
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

// Mean returns the mean of a metric over the runs of a cell and its standard error, 0 for one run.
func (t *Table) Mean(scenario, policy string, metric func(*Summary) float64) (mean, err float64) {
	var all []float64
	for _, s := range t.runs[[2]string{scenario, policy}] {
		all = append(all, metric(s))
	}
	if len(all) < 2 {
		return stat.Mean(all, nil), 0
	}
	mean, sd := stat.MeanStdDev(all, nil)
	return mean, stat.StdErr(sd, float64(len(all)))
}

// Violations returns the number of violations of each rule over the runs of a cell.
func (t *Table) Violations(scenario, policy string) map[string]int {
	out := map[string]int{}
	for _, s := range t.runs[[2]string{scenario, policy}] {
		for name, n := range s.RuleViolations {
			out[name] += n
		}
	}
	return out
}
