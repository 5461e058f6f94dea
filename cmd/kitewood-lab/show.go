package main

import (
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/load"
	"kitewood/internal/lab/report"
	"kitewood/internal/lab/results"
)

// bar is the line that shows how a run goes; on something other than a terminal it is silent.
type bar struct {
	b *progressbar.ProgressBar
}

func newBar(of time.Duration) *bar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return &bar{}
	}
	return &bar{progressbar.NewOptions(int(of/time.Second), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(24),
		progressbar.OptionSetElapsedTime(true), progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())}
}

func (b *bar) set(elapsed time.Duration, words string) {
	if b.b != nil {
		b.b.Describe(words)
		b.b.Set(min(int(elapsed/time.Second), b.b.GetMax()))
	}
}

func (b *bar) run(p emulator.Progress) {
	b.set(p.Elapsed, fmt.Sprintf("%4.0f/s  in time %.3f  errors %d", p.Rate, p.InTime, p.Errors))
}

func (b *bar) load(p load.Progress) {
	s := p.Summary
	b.set(p.Elapsed, fmt.Sprintf("%6.0f/s  ok %d  errors %d  p99 %.1f ms", float64(s.Intended)/p.Elapsed.Seconds(), s.OK,
		s.Failed+s.TimedOut, s.Latency.P99))
}

func (b *bar) end() {
	if b.b != nil {
		b.b.Finish()
	}
}

func newTable(w io.Writer, head ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault // upper case would spoil units
	t.AppendHeader(head)
	return t
}

func runTables(w io.Writer, s *results.Summary, breaches []ledger.Violation) {
	v := s.Service
	t := newTable(w, "service", "share")
	t.AppendRow(table.Row{"service, penalties off", f3(v.Service)})
	t.AppendRow(table.Row{"whole run", f3(v.WholeRun)})
	t.AppendRow(table.Row{"worst 10 s", f3(v.WorstWindow)})
	t.AppendRow(table.Row{"worst class", f3(v.WorstClass)})
	var classes []string
	for name := range v.Classes {
		classes = append(classes, name)
	}
	sort.Strings(classes)
	for _, name := range classes {
		t.AppendRow(table.Row{"  " + name, f3(v.Classes[name])})
	}
	t.Render()
	t = newTable(w, "asked", "in time", "late", "refused", "failed", "no answer", "attempts/operation", "overdriven", "pushed over")
	t.AppendRow(table.Row{v.ClientRequests, v.InTime, v.Late, v.Rejected, v.Failed, v.Unanswered, f3(v.AttemptsPerRequest), v.InstanceOverloads, v.InstanceCrashes})
	t.Render()
	t = newTable(w, "rule", "broken")
	for _, name := range ledger.RuleNames {
		t.AppendRow(table.Row{name, s.RuleViolations[name]})
	}
	t.Render()
	latencyTable(w, "latency from the intended time (ms)", s.Latency)
	if p := s.Processes; p != nil {
		t = newTable(w, "sidecars", "rest MiB", "peak MiB, first tier", "peak MiB, most", "CPU µs/operation, first tier", "all")
		t.AppendRow(table.Row{p.Count, f1(p.IdleMB), f1(p.FirstTierPeakMB), f1(p.PeakMB), f1(p.FirstTierCPUMicros), f1(p.CPUMicrosPerRequest)})
		t.Render()
	}
	for n, b := range breaches {
		if n == 8 {
			fmt.Fprintf(w, "and %d more in %s\n", len(breaches)-n, results.VerdictFile)
			break
		}
		fmt.Fprintln(w, b)
	}
	if s.CutShort {
		fmt.Fprintln(w, "cut short: these figures tell of what was seen until then")
	}
}

func latencyTable(w io.Writer, name string, l load.LatencyMS) {
	t := newTable(w, name, "p50", "p90", "p99", "p99.9", "max", "mean")
	t.AppendRow(table.Row{"", f2(l.P50), f2(l.P90), f2(l.P99), f2(l.P999), f2(l.Max), f2(l.Mean)})
	t.Render()
}

func f1(v float64) string { return fmt.Sprintf("%.1f", v) }
func f2(v float64) string { return fmt.Sprintf("%.2f", v) }
func f3(v float64) string { return fmt.Sprintf("%.3f", v) }

// proxyTable shows a comparison of proxies.
func proxyTable(w io.Writer, rows *results.Table) {
	t := newTable(w, "scenario", "who decides", "service", "±", "worst 10 s", "p50 ms", "p99 ms", "attempts/operation", "broken rules")
	for _, scenario := range rows.Scenarios {
		for _, policy := range rows.Policies {
			row := []any{scenario, policy}
			service, err := rows.Mean(scenario, policy, func(s *results.Summary) float64 { return s.Service.Service })
			row = append(row, f3(service), f3(err))
			for _, f := range []struct {
				of   func(*results.Summary) float64
				form string
			}{
				{func(s *results.Summary) float64 { return s.Service.WorstWindow }, "%.3f"},
				{func(s *results.Summary) float64 { return s.Latency.P50 }, "%.0f"},
				{func(s *results.Summary) float64 { return s.Latency.P99 }, "%.0f"},
				{func(s *results.Summary) float64 { return s.Service.AttemptsPerRequest }, "%.2f"},
			} {
				mean, _ := rows.Mean(scenario, policy, f.of)
				row = append(row, fmt.Sprintf(f.form, mean))
			}
			broken := ""
			for _, name := range ledger.RuleNames {
				if n := rows.Violations(scenario, policy)[name]; n > 0 {
					broken += fmt.Sprintf("%s %d ", name, n)
				}
			}
			t.AppendRow(append(row, broken))
		}
		t.AppendSeparator()
	}
	t.Render()
}

// chartProxies draws the services of a comparison of proxies into a file.
func chartProxies(path string, rows *results.Table) error {
	var bars []report.BarSeries
	for _, policy := range rows.Policies {
		b := report.BarSeries{Name: policy}
		for _, scenario := range rows.Scenarios {
			mean, err := rows.Mean(scenario, policy, func(s *results.Summary) float64 { return s.Service.Service })
			b.Values, b.StdErrs = append(b.Values, mean), append(b.StdErrs, err)
		}
		bars = append(bars, b)
	}
	svg, err := report.GroupedBarChart("service, with standard errors", rows.Scenarios, bars)
	if err != nil {
		return err
	}
	return os.WriteFile(path, svg, 0o644)
}
