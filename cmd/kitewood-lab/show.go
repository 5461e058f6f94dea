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

// progressBar shows the progress of a run on stderr. It shows nothing if stderr is not a terminal.
type progressBar struct {
	bar *progressbar.ProgressBar
}

// newProgressBar returns the progress bar of a run of the given duration.
func newProgressBar(duration time.Duration) *progressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return &progressBar{}
	}
	return &progressBar{progressbar.NewOptions(int(duration/time.Second), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(24),
		progressbar.OptionSetElapsedTime(true), progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())}
}

// update shows the elapsed time and a description.
func (b *progressBar) update(elapsed time.Duration, description string) {
	if b.bar != nil {
		b.bar.Describe(description)
		b.bar.Set(min(int(elapsed/time.Second), b.bar.GetMax()))
	}
}

// showRun shows the progress of a scenario run.
func (b *progressBar) showRun(p emulator.Progress) {
	b.update(p.Elapsed, fmt.Sprintf("%4.0f/s  in time %.3f  errors %d", p.Rate, p.InTime, p.Errors))
}

// showLoad shows the progress of the load generator.
func (b *progressBar) showLoad(p load.Progress) {
	s := p.Summary
	b.update(p.Elapsed, fmt.Sprintf("%6.0f/s  ok %d  errors %d  p99 %.1f ms", float64(s.Intended)/p.Elapsed.Seconds(), s.OK,
		s.Failed+s.TimedOut, s.Latency.P99))
}

func (b *progressBar) finish() {
	if b.bar != nil {
		b.bar.Finish()
	}
}

// newTable returns a table with a header that is written to w when it is rendered.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault // upper case would distort units
	t.AppendHeader(header)
	return t
}

// printRunTables prints the summary of a scenario run and its first 8 violations.
func printRunTables(w io.Writer, s *results.Summary, violations []ledger.Violation) {
	v := s.Service
	t := newTable(w, "service", "share")
	t.AppendRow(table.Row{"service, penalties off", decimals3(v.Service)})
	t.AppendRow(table.Row{"whole run", decimals3(v.WholeRun)})
	t.AppendRow(table.Row{"worst 10 s", decimals3(v.WorstWindow)})
	t.AppendRow(table.Row{"worst class", decimals3(v.WorstClass)})
	var classes []string
	for name := range v.Classes {
		classes = append(classes, name)
	}
	sort.Strings(classes)
	for _, name := range classes {
		t.AppendRow(table.Row{"  " + name, decimals3(v.Classes[name])})
	}
	t.Render()
	t = newTable(w, "asked", "in time", "late", "refused", "failed", "no answer", "attempts/operation", "overdriven", "pushed over")
	t.AppendRow(table.Row{v.ClientRequests, v.InTime, v.Late, v.Rejected, v.Failed, v.Unanswered, decimals3(v.AttemptsPerRequest), v.InstanceOverloads, v.InstanceCrashes})
	t.Render()
	t = newTable(w, "rule", "broken")
	for _, name := range ledger.RuleNames {
		t.AppendRow(table.Row{name, s.RuleViolations[name]})
	}
	t.Render()
	printLatencyTable(w, "latency from the intended time (ms)", s.Latency)
	if p := s.Processes; p != nil {
		t = newTable(w, "sidecars", "rest MiB", "peak MiB, first tier", "peak MiB, most", "CPU µs/operation, first tier", "all")
		t.AppendRow(table.Row{p.Count, decimals1(p.IdleMB), decimals1(p.FirstTierPeakMB), decimals1(p.PeakMB), decimals1(p.FirstTierCPUMicros), decimals1(p.CPUMicrosPerRequest)})
		t.Render()
	}
	for n, violation := range violations {
		if n == 8 {
			fmt.Fprintf(w, "and %d more in %s\n", len(violations)-n, results.VerdictFile)
			break
		}
		fmt.Fprintln(w, violation)
	}
	if s.CutShort {
		fmt.Fprintln(w, "interrupted: the results cover only the time before the interruption")
	}
}

// printLatencyTable prints the percentiles of a latency under a title.
func printLatencyTable(w io.Writer, title string, l load.LatencyMS) {
	t := newTable(w, title, "p50", "p90", "p99", "p99.9", "max", "mean")
	t.AppendRow(table.Row{"", decimals2(l.P50), decimals2(l.P90), decimals2(l.P99), decimals2(l.P999), decimals2(l.Max), decimals2(l.Mean)})
	t.Render()
}

// decimals1 formats a number with one decimal; decimals2 and decimals3 use two and three.
func decimals1(v float64) string { return fmt.Sprintf("%.1f", v) }
func decimals2(v float64) string { return fmt.Sprintf("%.2f", v) }
func decimals3(v float64) string { return fmt.Sprintf("%.3f", v) }

// printProxyTable prints a comparison of proxies, one row for each scenario and policy.
func printProxyTable(w io.Writer, rows *results.Table) {
	t := newTable(w, "scenario", "who decides", "service", "±", "worst 10 s", "p50 ms", "p99 ms", "attempts/operation", "broken rules")
	for _, scenario := range rows.Scenarios {
		for _, policy := range rows.Policies {
			row := []any{scenario, policy}
			service, stdErr := rows.Mean(scenario, policy, func(s *results.Summary) float64 { return s.Service.Service })
			row = append(row, decimals3(service), decimals3(stdErr))
			for _, column := range []struct {
				metric func(*results.Summary) float64
				format string
			}{
				{func(s *results.Summary) float64 { return s.Service.WorstWindow }, "%.3f"},
				{func(s *results.Summary) float64 { return s.Latency.P50 }, "%.0f"},
				{func(s *results.Summary) float64 { return s.Latency.P99 }, "%.0f"},
				{func(s *results.Summary) float64 { return s.Service.AttemptsPerRequest }, "%.2f"},
			} {
				mean, _ := rows.Mean(scenario, policy, column.metric)
				row = append(row, fmt.Sprintf(column.format, mean))
			}
			violations := ""
			for _, name := range ledger.RuleNames {
				if n := rows.Violations(scenario, policy)[name]; n > 0 {
					violations += fmt.Sprintf("%s %d ", name, n)
				}
			}
			t.AppendRow(append(row, violations))
		}
		t.AppendSeparator()
	}
	t.Render()
}

// writeProxyChart writes a bar chart of the service shares of a comparison of proxies to an SVG file.
func writeProxyChart(path string, rows *results.Table) error {
	var bars []report.BarSeries
	for _, policy := range rows.Policies {
		series := report.BarSeries{Name: policy}
		for _, scenario := range rows.Scenarios {
			mean, stdErr := rows.Mean(scenario, policy, func(s *results.Summary) float64 { return s.Service.Service })
			series.Values, series.StdErrs = append(series.Values, mean), append(series.StdErrs, stdErr)
		}
		bars = append(bars, series)
	}
	svg, err := report.GroupedBarChart("service, with standard errors", rows.Scenarios, bars)
	if err != nil {
		return err
	}
	return os.WriteFile(path, svg, 0o644)
}
