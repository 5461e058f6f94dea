package report

import (
	"errors"
	"fmt"
	"html/template"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"time"

	"gonum.org/v1/plot/plotter"

	_ "embed"

	"kitewood/internal/lab/account"
	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/load"
	"kitewood/internal/lab/results"
	"kitewood/internal/lab/scenario"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"share":   func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"seconds": func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) },
}).Parse(pageText))

// Run is one folder as the page shows it.
type Run struct {
	Dir         string
	Summary     *results.Summary
	Description string
	Classes     []ClassRow
	Rules       []RuleRow
	Violations  []ledger.Violation
	Charts      []Chart
}

// ClassRow is the service of a class.
type ClassRow struct {
	Name    string
	Service float64
}

// RuleRow is how often a rule was broken.
type RuleRow struct {
	Name       string
	Violations int
}

// Write draws one page of all the folders.
func Write(w io.Writer, dirs ...string) error {
	var runs []*Run
	for _, dir := range dirs {
		r, err := read(dir)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	return page.Execute(w, runs)
}

// Keep draws the page of a folder into it.
func WriteFile(dir string) (string, error) {
	path := filepath.Join(dir, results.ReportFile)
	f, err := os.Create(path)
	if err != nil {
		return "", err
	}
	return path, errors.Join(Write(f, dir), f.Close())
}

func read(dir string) (*Run, error) {
	sum, err := results.ReadSummary(dir)
	if err != nil {
		return nil, err
	}
	r := &Run{Dir: dir, Summary: sum}
	seconds, err := results.ReadLines[load.SecondStats](dir, results.SecondsFile)
	if err != nil {
		return nil, err
	}
	var bands []Band
	var plan *scenario.Scenario
	if sum.Kind == "run" {
		if plan, err = scenario.Load(filepath.Join(dir, results.ScenarioFile)); err != nil {
			return nil, err
		}
		r.Description = plan.Description
		for _, b := range plan.Plan(sum.Seed).Bands {
			bands = append(bands, Band{From: b.From.Seconds(), To: math.Min(b.To.Seconds(), plan.Duration.D().Seconds()), Name: b.Name})
		}
		if r.Violations, err = results.ReadViolations(dir); err != nil {
			return nil, err
		}
		for _, name := range ledger.RuleNames {
			r.Rules = append(r.Rules, RuleRow{name, sum.RuleViolations[name]})
		}
		for name, v := range sum.Service.Classes {
			r.Classes = append(r.Classes, ClassRow{name, v})
		}
		sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Name < r.Classes[j].Name })
	}
	var entries []ledger.Entry
	if f, err := os.Open(filepath.Join(dir, results.LedgerFile)); err == nil {
		entries, err = ledger.Read(f)
		f.Close()
		if err != nil {
			return nil, err
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	return r, r.draw(dir, seconds, bands, plan, entries)
}

func (r *Run) draw(dir string, seconds []load.SecondStats, bands []Band, plan *scenario.Scenario, entries []ledger.Entry) error {
	end := float64(len(seconds))
	add := func(c Chart, err error) error {
		if err == nil {
			r.Charts = append(r.Charts, c)
		}
		return err
	}
	var outcomes []line
	if plan != nil {
		outcomes = outcomeLines(entries, plan)
	} else {
		outcomes = loadLines(seconds)
	}
	err := add(timeChart("Rate and outcomes", "by the second in which a request was meant to go out", "requests a second", outcomes, bands, end))
	p50, p90, p99 := line{Name: "median"}, line{Name: "90th percentile"}, line{Name: "99th percentile"}
	for _, s := range seconds {
		if s.Max > 0 {
			x := float64(s.Second) + 0.5
			p50.XYs = append(p50.XYs, plotter.XY{X: x, Y: s.P50})
			p90.XYs = append(p90.XYs, plotter.XY{X: x, Y: s.P90})
			p99.XYs = append(p99.XYs, plotter.XY{X: x, Y: s.P99})
		}
	}
	err = errors.Join(err, add(timeChart("Latency over time", "from the intended time, until served or given up", "latency (ms)",
		[]line{p50, p90, p99}, bands, end)))
	h, herr := results.ReadHistogram(dir)
	if herr == nil {
		var spread line
		for _, b := range h.CumulativeDistribution() {
			if b.Quantile < 100 && b.Count > 0 {
				spread.XYs = append(spread.XYs, plotter.XY{X: 1 / (1 - b.Quantile/100), Y: float64(b.ValueAt) / 1000})
			}
		}
		if len(spread.XYs) > 1 {
			err = errors.Join(err, add(spreadChart("Latency by percentile", "of all requests, from the intended time", spread)))
		}
	}
	if plan != nil {
		samples, serr := results.ReadLines[emulator.Sample](dir, results.SamplesFile)
		err = errors.Join(err, serr)
		for t := range plan.Tiers {
			err = errors.Join(err, add(timeChart("Load by instance: "+plan.Tiers[t].Name, "requests that each instance holds, twice a second",
				"requests held", loadByInstance(samples, t, end), bands, end)))
		}
		names, values := attempts(entries)
		err = errors.Join(err, add(barChart("Attempts per operation", "at the instances, for all operations of all sidecars",
			"attempts that reached an instance", "operations", names, values)))
		a := account.Summarize(entries, plan.LedgerObjective())
		err = errors.Join(err, add(timeChart("What one second's operations cost", "attempts that reached instances, busy replies of sidecars, and clients' repeats",
			"a second", fleetLines(a, plan), bands, end)),
			add(timeChart("Beside the work", "from all sidecars together", "a second", besideLines(a), bands, end)))
	}
	return err
}

// outcomeLines counts clients' business by second.
func outcomeLines(entries []ledger.Entry, plan *scenario.Scenario) []line {
	kinds := []string{"asked", "served in time", "served late", "refused", "failed", "no answer"}
	counts := make([][]float64, len(kinds))
	for _, c := range ledger.ClientRequests(entries) {
		if c.Attempts == 0 {
			continue
		}
		n := int(c.IntendedAt / time.Second)
		for k := range counts {
			for len(counts[k]) <= n {
				counts[k] = append(counts[k], 0)
			}
		}
		counts[0][n]++
		kind := 5
		switch {
		case c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+plan.Classes[c.Class].LatencyTarget.D():
			kind = 1
		case c.ServedAt != 0:
			kind = 2
		case c.LastKind == ledger.Answered && (c.Status == 503 || c.Status == 429):
			kind = 3
		case c.LastKind == ledger.Answered:
			kind = 4
		}
		counts[kind][n]++
	}
	return series(kinds, counts)
}

// fleetLines count attempts and refusals by tier.
func fleetLines(a *account.Account, plan *scenario.Scenario) []line {
	var names []string
	var counts [][]float64
	add := func(name string, of func(account.Second) float64) {
		var c []float64
		for _, s := range a.Seconds {
			c = append(c, of(s))
		}
		names, counts = append(names, name), append(counts, c)
	}
	of := func(list []int, tier int) float64 {
		if tier < len(list) {
			return float64(list[tier])
		}
		return 0
	}
	for t := range plan.Tiers {
		add("attempts at "+plan.Tiers[t].Name, func(s account.Second) float64 { return of(s.Attempts, t) })
	}
	for t := range plan.Tiers {
		add("refused before "+plan.Tiers[t].Name, func(s account.Second) float64 { return of(s.Rejected, t) })
	}
	add("clients' repeats", func(s account.Second) float64 { return float64(s.ClientRetries) })
	return series(names, counts)
}

// besideLines count what is no operation's work.
func besideLines(a *account.Account) []line {
	names := []string{"new connections", "probes", "calls to discovery"}
	counts := make([][]float64, len(names))
	for _, s := range a.Seconds {
		for n, v := range []int{s.ConnectionsOpened, s.Probes, s.Discovery} {
			counts[n] = append(counts[n], float64(v))
		}
	}
	return series(names, counts)
}

func loadLines(seconds []load.SecondStats) []line {
	kinds := []string{"intended", "answered well", "failed", "timed out"}
	counts := make([][]float64, len(kinds))
	for _, s := range seconds {
		for k, v := range []int{s.Intended, s.OK, s.Failed, s.TimedOut} {
			counts[k] = append(counts[k], float64(v))
		}
	}
	return series(kinds, counts)
}

func series(names []string, counts [][]float64) []line {
	var out []line
	for k, name := range names {
		l := line{Name: name}
		for n, v := range counts[k] {
			l.XYs = append(l.XYs, plotter.XY{X: float64(n) + 0.5, Y: v})
		}
		out = append(out, l)
	}
	return out
}

func loadByInstance(samples []emulator.Sample, tier int, end float64) []line {
	by := map[string]*line{}
	var names []string
	for _, s := range samples {
		if s.Tier != tier || s.At.Seconds() > end {
			continue
		}
		l := by[s.Instance]
		if l == nil {
			l = &line{Name: s.Instance}
			by[s.Instance] = l
			names = append(names, s.Instance)
		}
		l.XYs = append(l.XYs, plotter.XY{X: s.At.Seconds(), Y: float64(s.InFlight)})
	}
	slices.SortFunc(names, func(a, b string) int {
		if len(a) != len(b) {
			return len(a) - len(b)
		}
		return map[bool]int{true: -1, false: 1}[a < b]
	})
	var out []line
	for _, n := range names {
		out = append(out, *by[n])
	}
	return out
}

// attempts counts how many attempts reached an instance, for each operation that a sidecar took.
func attempts(entries []ledger.Entry) ([]string, []float64) {
	by := map[string]int{}
	for i := range entries {
		switch e := &entries[i]; e.Kind {
		case ledger.RequestSent:
			by[e.ID] += 0
		case ledger.AttemptArrived:
			by[e.ID]++
		}
	}
	values := make([]float64, 5)
	for _, n := range by {
		values[min(n, 4)]++
	}
	return []string{"0", "1", "2", "3", "4 or more"}, values
}
