package results

import (
	"fmt"
	"io/fs"
	"math"
	"path/filepath"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"
)

// Figure is one figure of a summary that runs are compared by.
type Metric struct {
	Name      string
	Value     func(*Summary) float64
	Direction int // 1: more is better; -1: less
}

// RunFigures are the figures of runs of the emulator; LoadFigures those of load runs.
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

// Difference is one row of a comparison: the means of both sides, and the mean of the differences with their standard
// error over the pairs.
type Difference struct {
	Metric                 string
	MeanA, MeanB           float64
	MeanDifference, StdErr float64
	Pairs                  int
	Better                 int // of B: 1 better, -1 worse, 0 not told apart at 5%, as with one pair
}

// Find gathers the summaries under a folder: its own, or those of the folders in it.
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
		err = fmt.Errorf("%s holds no run", dir)
	}
	return out, err
}

// Compare pairs the runs of two sides by kind, name and seed, in their order, and compares each figure.
func Compare(a, b []*Summary) ([]Difference, error) {
	key := func(s *Summary) string {
		name := s.Name
		if s.Kind == "load" {
			name = "" // a target's address differs from run to run
		}
		return fmt.Sprintf("%s %s %d", s.Kind, name, s.Seed)
	}
	rest := map[string][]*Summary{}
	for _, s := range b {
		rest[key(s)] = append(rest[key(s)], s)
	}
	var pairs [][2]*Summary
	for _, s := range a {
		if o := rest[key(s)]; len(o) > 0 {
			pairs = append(pairs, [2]*Summary{s, o[0]})
			rest[key(s)] = o[1:]
		}
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("no run of one side has the kind, scenario and seed of one of the other")
	}
	sort.SliceStable(pairs, func(i, j int) bool { return pairs[i][0].Seed < pairs[j][0].Seed })
	figures := RunMetrics
	if pairs[0][0].Kind == "load" {
		figures = LoadMetrics
	}
	var out []Difference
	for _, f := range figures {
		d := Difference{Metric: f.Name, Pairs: len(pairs)}
		n, squares := float64(len(pairs)), 0.0
		for _, p := range pairs {
			x, y := f.Value(p[0]), f.Value(p[1])
			d.MeanA, d.MeanB, d.MeanDifference = d.MeanA+x/n, d.MeanB+y/n, d.MeanDifference+(y-x)/n
		}
		for _, p := range pairs {
			off := f.Value(p[1]) - f.Value(p[0]) - d.MeanDifference
			squares += off * off
		}
		if len(pairs) > 1 {
			d.StdErr = math.Sqrt(squares / (n - 1) / n)
			// With few pairs the error itself is known badly: Student's t for a two-sided 5%.
			bound := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975)
			if math.Abs(d.MeanDifference) > bound*d.StdErr && d.MeanDifference != 0 {
				d.Better = f.Direction
				if d.MeanDifference < 0 {
					d.Better = -f.Direction
				}
			}
		}
		out = append(out, d)
	}
	return out, nil
}
