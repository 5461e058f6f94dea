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

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"share":   func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"seconds": func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) },
}).Parse(pageText))

// Run is the content of one result folder as the page shows it.
type Run struct {
	Dir         string
	Summary     *results.Summary
	Description string
	Classes     []ClassRow
	Rules       []RuleRow
	Violations  []ledger.Violation
	Charts      []Chart
}

// ClassRow is the service of one class.
type ClassRow struct {
	Name    string
	Service float64
}

// RuleRow is the number of violations of one rule.
type RuleRow struct {
	Name       string
	Violations int
}

// Write renders one page with the results of all the folders.
func Write(w io.Writer, dirs ...string) error {
	var runs []*Run
	for _, dir := range dirs {
		r, err := loadRun(dir)
		if err != nil {
			return err
		}
		runs = append(runs, r)
	}
	return pageTemplate.Execute(w, runs)
}

// WriteFile renders the page of a folder into that folder, and returns its path.
func WriteFile(dir string) (string, error) {
	path := filepath.Join(dir, results.ReportFile)
	f, err := os.Create(path)
	if err != nil {
		return "", err
	}
	return path, errors.Join(Write(f, dir), f.Close())
}

func loadRun(dir string) (*Run, error) {
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
	var scn *scenario.Scenario
	if sum.Kind == "run" {
		if scn, err = scenario.Load(filepath.Join(dir, results.ScenarioFile)); err != nil {
			return nil, err
		}
		r.Description = scn.Description
		for _, b := range scn.Plan(sum.Seed).Bands {
			bands = append(bands, Band{From: b.From.Seconds(), To: math.Min(b.To.Seconds(), scn.Duration.D().Seconds()), Name: b.Name})
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
	return r, r.addCharts(dir, seconds, bands, scn, entries)
}

func (r *Run) addCharts(dir string, seconds []load.SecondStats, bands []Band, scn *scenario.Scenario, entries []ledger.Entry) error {
	end := float64(len(seconds))
	add := func(c Chart, err error) error {
		if err == nil {
			r.Charts = append(r.Charts, c)
		}
		return err
	}
	var outcomes []line
	if scn != nil {
		outcomes = outcomeLines(entries, scn)
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
	h, histErr := results.ReadHistogram(dir)
	if histErr == nil {
		var percentiles line
		for _, b := range h.CumulativeDistribution() {
			if b.Quantile < 100 && b.Count > 0 {
				percentiles.XYs = append(percentiles.XYs, plotter.XY{X: 1 / (1 - b.Quantile/100), Y: float64(b.ValueAt) / 1000})
			}
		}
		if len(percentiles.XYs) > 1 {
			err = errors.Join(err, add(percentileChart("Latency by percentile", "of all requests, from the intended time", percentiles)))
		}
	}
	if scn != nil {
		samples, samplesErr := results.ReadLines[emulator.Sample](dir, results.SamplesFile)
		err = errors.Join(err, samplesErr)
		for t := range scn.Tiers {
			err = errors.Join(err, add(timeChart("Load by instance: "+scn.Tiers[t].Name, "requests that each instance holds, twice a second",
				"requests held", loadByInstance(samples, t, end), bands, end)))
		}
		names, values := attemptsPerRequest(entries)
		err = errors.Join(err, add(barChart("Attempts per operation", "at the instances, for all operations of all sidecars",
			"attempts that reached an instance", "operations", names, values)))
		a := account.Summarize(entries, scn.LedgerObjective())
		err = errors.Join(err, add(timeChart("What one second's operations cost", "attempts that reached instances, busy replies of sidecars, and clients' repeats",
			"a second", attemptLines(a, scn), bands, end)),
			add(timeChart("Beside the work", "from all sidecars together", "a second", overheadLines(a), bands, end)))
	}
	return err
}

// outcomeLines counts client requests by second and outcome.
func outcomeLines(entries []ledger.Entry, scn *scenario.Scenario) []line {
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
		case c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+scn.Classes[c.Class].LatencyTarget.D():
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
	return perSecondLines(kinds, counts)
}

// attemptLines counts attempts and rejections by tier, and client retries.
func attemptLines(a *account.Account, scn *scenario.Scenario) []line {
	var names []string
	var counts [][]float64
	add := func(name string, value func(account.Second) float64) {
		var c []float64
		for _, s := range a.Seconds {
			c = append(c, value(s))
		}
		names, counts = append(names, name), append(counts, c)
	}
	value := func(list []int, tier int) float64 {
		if tier < len(list) {
			return float64(list[tier])
		}
		return 0
	}
	for t := range scn.Tiers {
		add("attempts at "+scn.Tiers[t].Name, func(s account.Second) float64 { return value(s.Attempts, t) })
	}
	for t := range scn.Tiers {
		add("refused before "+scn.Tiers[t].Name, func(s account.Second) float64 { return value(s.Rejected, t) })
	}
	add("clients' repeats", func(s account.Second) float64 { return float64(s.ClientRetries) })
	return perSecondLines(names, counts)
}

// overheadLines counts activity that is not part of a request: new connections, probes and calls to discovery.
func overheadLines(a *account.Account) []line {
	names := []string{"new connections", "probes", "calls to discovery"}
	counts := make([][]float64, len(names))
	for _, s := range a.Seconds {
		for n, v := range []int{s.ConnectionsOpened, s.Probes, s.Discovery} {
			counts[n] = append(counts[n], float64(v))
		}
	}
	return perSecondLines(names, counts)
}

// loadLines counts the requests of a load run by second and outcome.
func loadLines(seconds []load.SecondStats) []line {
	kinds := []string{"intended", "answered well", "failed", "timed out"}
	counts := make([][]float64, len(kinds))
	for _, s := range seconds {
		for k, v := range []int{s.Intended, s.OK, s.Failed, s.TimedOut} {
			counts[k] = append(counts[k], float64(v))
		}
	}
	return perSecondLines(kinds, counts)
}

// perSecondLines returns a line for each name, with the counts at the middle of each second.
func perSecondLines(names []string, counts [][]float64) []line {
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

// loadByInstance returns the requests in flight at each instance of a tier.
func loadByInstance(samples []emulator.Sample, tier int, end float64) []line {
	lines := map[string]*line{}
	var names []string
	for _, s := range samples {
		if s.Tier != tier || s.At.Seconds() > end {
			continue
		}
		l := lines[s.Instance]
		if l == nil {
			l = &line{Name: s.Instance}
			lines[s.Instance] = l
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
		out = append(out, *lines[n])
	}
	return out
}

// attemptsPerRequest counts the requests that sidecars received by the number of their attempts that reached an instance.
func attemptsPerRequest(entries []ledger.Entry) ([]string, []float64) {
	perRequest := map[string]int{}
	for i := range entries {
		switch e := &entries[i]; e.Kind {
		case ledger.RequestSent:
			perRequest[e.ID] += 0
		case ledger.AttemptArrived:
			perRequest[e.ID]++
		}
	}
	values := make([]float64, 5)
	for _, n := range perRequest {
		values[min(n, 4)]++
	}
	return []string{"0", "1", "2", "3", "4 or more"}, values
}
