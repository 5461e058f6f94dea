package results

import (
	"fmt"
	"io/fs"
	"math"
	"path/filepath"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"
)

// Metric is one value of a summary by which runs are compared.
type Metric struct {
	Name      string
	Value     func(*Summary) float64
	Direction int // 1: higher is better; -1: lower is better
}

// RunMetrics are the metrics of runs of the emulator, LoadMetrics those of load runs.
var (
	RunMetrics = []Metric{
		{"service", func(s *Summary) float64 { return s.Service.Service }, 1},
		{"whole run", func(s *Summary) float64 { return s.Service.WholeRun }, 1},
		{"worst 10 s", func(s *Summary) float64 { return s.Service.WorstWindow }, 1},
		{"worst class", func(s *Summary) float64 { return s.Service.WorstClass }, 1},
		{"broken rules", func(s *Summary) float64 { return float64(s.Violations()) }, -1},
		{"p50 ms", func(s *Summary) float64 { return s.Latency.P50 }, -1},
		{"p99 ms", func(s *Summary) float64 { return s.Latency.P99 }, -1},
		{"attempts/operation", func(s *Summary) float64 { return s.Service.AttemptsPerRequest }, -1},
		{"CPU µs/operation", func(s *Summary) float64 { return s.Processes.CPUMicrosPerRequest }, -1},
		{"peak MiB", func(s *Summary) float64 { return s.Processes.PeakMB }, -1},
	}
	LoadMetrics = []Metric{
		{"ok", func(s *Summary) float64 { return float64(s.OK) }, 1},
		{"failed", func(s *Summary) float64 { return float64(s.Failed + s.TimedOut) }, -1},
		{"p50 ms", func(s *Summary) float64 { return s.Latency.P50 }, -1},
		{"p90 ms", func(s *Summary) float64 { return s.Latency.P90 }, -1},
		{"p99 ms", func(s *Summary) float64 { return s.Latency.P99 }, -1},
		{"p99.9 ms", func(s *Summary) float64 { return s.Latency.P999 }, -1},
		{"max ms", func(s *Summary) float64 { return s.Latency.Max }, -1},
	}
)

// Difference is one row of a comparison: the means of both sides, and the mean of the differences B - A with its standard
// error over the pairs.
type Difference struct {
	Metric                 string
	MeanA, MeanB           float64
	MeanDifference, StdErr float64
	Pairs                  int
	Better                 int // of B: 1 better, -1 worse, 0 no significant difference at the 5% level, as always with one pair
}

// FindSummaries reads the summaries in a folder and all folders below it.
func FindSummaries(dir string) ([]*Summary, error) {
	var out []*Summary
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.Name() == SummaryFile {
			s, err := ReadSummary(filepath.Dir(path))
			if err != nil {
				return err
			}
			out = append(out, s)
		}
		return nil
	})
	if err == nil && len(out) == 0 {
		err = fmt.Errorf("no run in %s", dir)
	}
	return out, err
}

// Compare pairs the runs of two sides by kind, name and seed, in their order, and compares each metric.
func Compare(a, b []*Summary) ([]Difference, error) {
	key := func(s *Summary) string {
		name := s.Name
		if s.Kind == "load" {
			name = "" // a target's address differs from run to run
		}
		return fmt.Sprintf("%s %s %d", s.Kind, name, s.Seed)
	}
	unpaired := map[string][]*Summary{}
	for _, s := range b {
		unpaired[key(s)] = append(unpaired[key(s)], s)
	}
	var pairs [][2]*Summary
	for _, s := range a {
		if o := unpaired[key(s)]; len(o) > 0 {
			pairs = append(pairs, [2]*Summary{s, o[0]})
			unpaired[key(s)] = o[1:]
		}
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("no run of one side matches a run of the other in kind, scenario and seed")
	}
	sort.SliceStable(pairs, func(i, j int) bool { return pairs[i][0].Seed < pairs[j][0].Seed })
	metrics := RunMetrics
	if pairs[0][0].Kind == "load" {
		metrics = LoadMetrics
	}
	var out []Difference
	for _, m := range metrics {
		d := Difference{Metric: m.Name, Pairs: len(pairs)}
		n, squares := float64(len(pairs)), 0.0
		for _, p := range pairs {
			x, y := m.Value(p[0]), m.Value(p[1])
			d.MeanA, d.MeanB, d.MeanDifference = d.MeanA+x/n, d.MeanB+y/n, d.MeanDifference+(y-x)/n
		}
		for _, p := range pairs {
			deviation := m.Value(p[1]) - m.Value(p[0]) - d.MeanDifference
			squares += deviation * deviation
		}
		if len(pairs) > 1 {
			d.StdErr = math.Sqrt(squares / (n - 1) / n)
			// With few pairs the standard error is itself uncertain: Student's t for a two-sided 5%.
			bound := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975)
			if math.Abs(d.MeanDifference) > bound*d.StdErr && d.MeanDifference != 0 {
				d.Better = m.Direction
				if d.MeanDifference < 0 {
					d.Better = -m.Direction
				}
			}
		}
		out = append(out, d)
	}
	return out, nil
}
