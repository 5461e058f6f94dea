// Package results writes and reads the folder of a lab run: the scenario as run, the summary, the time series, the latency
// histogram, the ledger and the violations found in it.
package results

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/load"
	"kitewood/internal/lab/scenario"
	"kitewood/internal/release"
)

// The files of a result folder.
const (
	SummaryFile   = "summary.json"
	ScenarioFile  = "scenario.yaml"
	SecondsFile   = "seconds.jsonl"
	SamplesFile   = "samples.jsonl"
	HistogramFile = "latency.hlog"
	LedgerFile    = "ledger.jsonl"
	VerdictFile   = "verdict.json"
	ReportFile    = "report.html"
)

// Machine describes the machine of a run.
type Machine struct {
	OS     string `json:"os"`
	Arch   string `json:"arch"`
	CPU    string `json:"cpu,omitempty"`
	CPUs   int    `json:"cpus"`
	Memory int64  `json:"memory_mb,omitempty"`
	Go     string `json:"go"`
}

// Processes is the CPU and memory use of the sidecars.
type Processes struct {
	Count               int     `json:"count"`
	IdleMB              float64 `json:"rest_mb"` // mean of all sidecars, once ready and idle
	PeakMB              float64 `json:"peak_mb"` // maximum of all sidecars
	CPUMicrosPerRequest float64 `json:"cpu_us_per_operation"`
	FirstTierPeakMB     float64 `json:"first_tier_peak_mb"`
	FirstTierCPUMicros  float64 `json:"first_tier_cpu_us_per_operation"`
}

// Summary is the content of summary.json.
type Summary struct {
	Kind           string          `json:"kind"` // run or load
	Name           string          `json:"name"`
	Seed           uint64          `json:"seed"`
	Version        string          `json:"version"`
	Revision       string          `json:"revision"`
	Binary         string          `json:"binary,omitempty"`
	Machine        Machine         `json:"machine"`
	Started        time.Time       `json:"started"`
	DurationS      float64         `json:"took_s"`
	CutShort       bool            `json:"cut_short"`
	Service        *ledger.Service `json:"service,omitempty"`
	RuleViolations map[string]int  `json:"rules,omitempty"` // violations by rule
	Processes      *Processes      `json:"processes,omitempty"`
	load.Summary
}

// Violations returns the number of violations of all rules.
func (s *Summary) Violations() int {
	n := 0
	for _, k := range s.RuleViolations {
		n += k
	}
	return n
}

// NewSummary returns a summary with the fields that every kind of run has.
func NewSummary(kind, name string, seed uint64, started time.Time) Summary {
	s := Summary{Kind: kind, Name: name, Seed: seed, Version: release.Version, Revision: release.Revision(), Started: started.UTC(),
		DurationS: time.Since(started).Seconds(), Machine: hostMachine()}
	return s
}

func hostMachine() Machine {
	m := Machine{OS: runtime.GOOS, Arch: runtime.GOARCH, CPUs: runtime.NumCPU(), Go: runtime.Version()}
	field := func(file, key string) string {
		text, _ := os.ReadFile(file)
		for line := range strings.Lines(string(text)) {
			if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == key {
				return strings.TrimSpace(value)
			}
		}
		return ""
	}
	m.CPU = field("/proc/cpuinfo", "model name")
	kb, _ := strconv.ParseInt(strings.TrimSuffix(field("/proc/meminfo", "MemTotal"), " kB"), 10, 64)
	m.Memory = kb / 1024
	return m
}

// CreateDir creates the folder of a run, with a generated name if out is empty. It fails if the folder already holds a run.
func CreateDir(out, name string, seed uint64, now time.Time) (string, error) {
	if out == "" {
		out = filepath.Join("lab-results", fmt.Sprintf("%s-seed%d-%s", name, seed, now.Format("20060102T150405.000")))
	}
	if _, err := os.Stat(filepath.Join(out, SummaryFile)); err == nil {
		return "", fmt.Errorf("%s already holds a run", out)
	}
	return out, os.MkdirAll(out, 0o755)
}

// WriteRun checks a run of the emulator against the rules, writes its folder, and returns the summary and the violations.
func WriteRun(dir string, s *scenario.Scenario, rules ledger.Rules, head Summary, r *emulator.Result) (*Summary, []ledger.Violation, error) {
	violations := ledger.FindViolations(r.Entries, rules)
	service := ledger.MeasureService(r.Entries, s.LedgerObjective())
	rec := RecordLatencies(r.Entries)
	sum := head
	sum.Summary = rec.Summary()
	sum.CutShort, sum.Service = r.CutShort, &service
	sum.RuleViolations = map[string]int{}
	for _, name := range ledger.RuleNames {
		sum.RuleViolations[name] = 0
	}
	for _, v := range violations {
		sum.RuleViolations[v.Rule]++
	}
	sum.Processes = processUsage(r)
	text, err := yaml.Marshal(s)
	if err != nil {
		return nil, nil, err
	}
	err = errors.Join(
		os.WriteFile(filepath.Join(dir, ScenarioFile), text, 0o644),
		writeJSON(dir, SummaryFile, sum), writeJSON(dir, VerdictFile, violations),
		writeLines(dir, SecondsFile, rec.Seconds()), writeLines(dir, SamplesFile, r.Samples),
		writeHistogram(dir, rec, head.Started), writeLedger(dir, r.Entries),
	)
	return &sum, violations, err
}

// WriteLoad writes the folder of a load run.
func WriteLoad(dir string, sum Summary, rec *load.Recorder) error {
	return errors.Join(writeJSON(dir, SummaryFile, sum), writeLines(dir, SecondsFile, rec.Seconds()),
		writeHistogram(dir, rec, sum.Started))
}

// RecordLatencies records the latencies of the client requests of a ledger: from the intended time until the request was
// served, or until its last attempt ended.
func RecordLatencies(entries []ledger.Entry) *load.Recorder {
	rec := load.NewRecorder()
	for _, c := range ledger.ClientRequests(entries) {
		if c.Attempts == 0 {
			continue
		}
		rec.RecordIntended(c.IntendedAt)
		o := load.Outcome{Intended: c.IntendedAt, Sent: c.IntendedAt, Ended: c.EndedAt, Status: c.Status, TimedOut: c.LastKind == ledger.TimedOut}
		if c.ServedAt != 0 {
			o.Ended, o.Status, o.TimedOut = c.ServedAt, 200, false
		}
		if c.LastKind == ledger.RequestUnsent && c.ServedAt == 0 {
			o.Status = 0
		}
		rec.Add(o)
	}
	return rec
}

func processUsage(r *emulator.Result) *Processes {
	p := &Processes{Count: len(r.Processes)}
	cpu, firstTierCPU := 0.0, 0.0
	for _, x := range r.Processes {
		p.IdleMB += x.IdleMB / float64(len(r.Processes))
		p.PeakMB = max(p.PeakMB, x.PeakMB)
		cpu += x.CPUSecond
		if x.Tier == 0 {
			p.FirstTierPeakMB = max(p.FirstTierPeakMB, x.PeakMB)
			firstTierCPU += x.CPUSecond
		}
	}
	requests, firstTierRequests := 0, 0
	for i := range r.Entries {
		if r.Entries[i].Kind == ledger.RequestSent {
			requests++
			if r.Entries[i].Tier == 0 {
				firstTierRequests++
			}
		}
	}
	if requests > 0 && firstTierRequests > 0 {
		p.CPUMicrosPerRequest, p.FirstTierCPUMicros = cpu*1e6/float64(requests), firstTierCPU*1e6/float64(firstTierRequests)
	}
	return p
}

func writeJSON(dir, name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), append(text, '\n'), 0o644)
}

func writeLines[T any](dir, name string, items []T) error {
	f, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	defer f.Close()
	buf := bufio.NewWriter(f)
	enc := json.NewEncoder(buf)
	for i := range items {
		if err := enc.Encode(&items[i]); err != nil {
			return err
		}
	}
	return buf.Flush()
}

func writeLedger(dir string, entries []ledger.Entry) error {
	f, err := os.Create(filepath.Join(dir, LedgerFile))
	if err != nil {
		return err
	}
	defer f.Close()
	return ledger.Write(f, entries)
}

// writeHistogram writes the latencies as an HdrHistogram log of one interval, in microseconds.
func writeHistogram(dir string, rec *load.Recorder, started time.Time) error {
	f, err := os.Create(filepath.Join(dir, HistogramFile))
	if err != nil {
		return err
	}
	defer f.Close()
	w := hdrhistogram.NewHistogramLogWriter(f)
	h := rec.Histogram()
	h.SetStartTimeMs(started.UnixMilli())
	h.SetEndTimeMs(started.UnixMilli() + int64(rec.Summary().Seconds*1000))
	err = errors.Join(w.OutputLogFormatVersion(), w.OutputComment("latency from the intended time, in microseconds"),
		w.OutputStartTime(started.UnixMilli()), w.OutputLegend())
	if err != nil {
		return err
	}
	return w.OutputIntervalHistogram(h)
}

// ReadSummary reads the summary of a folder.
func ReadSummary(dir string) (*Summary, error) {
	text, err := os.ReadFile(filepath.Join(dir, SummaryFile))
	if err != nil {
		return nil, err
	}
	var s Summary
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, SummaryFile), err)
	}
	return &s, nil
}

// ReadLines reads a file of JSON lines of a folder.
func ReadLines[T any](dir, name string) ([]T, error) {
	f, err := os.Open(filepath.Join(dir, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []T
	for dec := json.NewDecoder(bufio.NewReader(f)); dec.More(); {
		var v T
		if err := dec.Decode(&v); err != nil {
			return nil, fmt.Errorf("%s: %w", filepath.Join(dir, name), err)
		}
		out = append(out, v)
	}
	return out, nil
}

// ReadViolations reads the violations of a folder.
func ReadViolations(dir string) ([]ledger.Violation, error) {
	text, err := os.ReadFile(filepath.Join(dir, VerdictFile))
	if err != nil {
		return nil, err
	}
	var out []ledger.Violation
	return out, json.Unmarshal(text, &out)
}

// ReadHistogram reads the latency histogram of a folder.
func ReadHistogram(dir string) (*hdrhistogram.Histogram, error) {
	f, err := os.Open(filepath.Join(dir, HistogramFile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	h, err := hdrhistogram.NewHistogramLogReader(f).NextIntervalHistogram()
	if err == nil && h == nil {
		err = fmt.Errorf("no histogram in %s", filepath.Join(dir, HistogramFile))
	}
	return h, err
}
