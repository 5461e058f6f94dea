// Package results keeps what a run of the lab left: a folder with the scenario as run, the figures, the series, the
// histogram, the ledger and its verdict.
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

// The files of a folder.
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

// Machine is where a run was made.
type Machine struct {
	OS     string `json:"os"`
	Arch   string `json:"arch"`
	CPU    string `json:"cpu,omitempty"`
	CPUs   int    `json:"cpus"`
	Memory int64  `json:"memory_mb,omitempty"`
	Go     string `json:"go"`
}

// Processes is what the sidecars used.
type Processes struct {
	Count               int     `json:"count"`
	IdleMB              float64 `json:"rest_mb"` // mean, once ready
	PeakMB              float64 `json:"peak_mb"` // of the one that took most
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
	RuleViolations map[string]int  `json:"rules,omitempty"` // how often each was broken
	Processes      *Processes      `json:"processes,omitempty"`
	load.Summary
}

// Broken is how many rules were broken in all.
func (s *Summary) Violations() int {
	n := 0
	for _, k := range s.RuleViolations {
		n += k
	}
	return n
}

// Head fills in what every summary has.
func NewSummary(kind, name string, seed uint64, started time.Time) Summary {
	s := Summary{Kind: kind, Name: name, Seed: seed, Version: release.Version, Revision: release.Revision(), Started: started.UTC(),
		DurationS: time.Since(started).Seconds(), Machine: thisMachine()}
	return s
}

func thisMachine() Machine {
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

// Folder makes the folder of a run; it must not hold one already.
func CreateDir(out, name string, seed uint64, now time.Time) (string, error) {
	if out == "" {
		out = filepath.Join("lab-results", fmt.Sprintf("%s-seed%d-%s", name, seed, now.Format("20060102T150405.000")))
	}
	if _, err := os.Stat(filepath.Join(out, SummaryFile)); err == nil {
		return "", fmt.Errorf("%s holds a run already", out)
	}
	return out, os.MkdirAll(out, 0o755)
}

// KeepRun judges a run of the emulator by some rules, writes its folder and gives back the summary and the broken rules.
func WriteRun(dir string, s *scenario.Scenario, rules ledger.Rules, head Summary, r *emulator.Result) (*Summary, []ledger.Violation, error) {
	breaches := ledger.FindViolations(r.Entries, rules)
	service := ledger.MeasureService(r.Entries, s.LedgerObjective())
	rec := RecordLatencies(r.Entries)
	sum := head
	sum.Summary = rec.Summary()
	sum.CutShort, sum.Service = r.CutShort, &service
	sum.RuleViolations = map[string]int{}
	for _, name := range ledger.RuleNames {
		sum.RuleViolations[name] = 0
	}
	for _, b := range breaches {
		sum.RuleViolations[b.Rule]++
	}
	sum.Processes = processes(r)
	text, err := yaml.Marshal(s)
	if err != nil {
		return nil, nil, err
	}
	err = errors.Join(
		os.WriteFile(filepath.Join(dir, ScenarioFile), text, 0o644),
		writeJSON(dir, SummaryFile, sum), writeJSON(dir, VerdictFile, breaches),
		writeLines(dir, SecondsFile, rec.Seconds()), writeLines(dir, SamplesFile, r.Samples),
		keepHistogram(dir, rec, head.Started), keepLedger(dir, r.Entries),
	)
	return &sum, breaches, err
}

// KeepLoad writes the folder of a load run.
func WriteLoad(dir string, sum Summary, rec *load.Recorder) error {
	return errors.Join(writeJSON(dir, SummaryFile, sum), writeLines(dir, SecondsFile, rec.Seconds()),
		keepHistogram(dir, rec, sum.Started))
}

// Latencies records the clients' business of a ledger: from the time a client meant to ask until it was served, or until
// its last try ended.
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

func processes(r *emulator.Result) *Processes {
	p := &Processes{Count: len(r.Processes)}
	cpu, first := 0.0, 0.0
	for _, x := range r.Processes {
		p.IdleMB += x.IdleMB / float64(len(r.Processes))
		p.PeakMB = max(p.PeakMB, x.PeakMB)
		cpu += x.CPUSecond
		if x.Tier == 0 {
			p.FirstTierPeakMB = max(p.FirstTierPeakMB, x.PeakMB)
			first += x.CPUSecond
		}
	}
	calls, firstCalls := 0, 0
	for i := range r.Entries {
		if r.Entries[i].Kind == ledger.RequestSent {
			calls++
			if r.Entries[i].Tier == 0 {
				firstCalls++
			}
		}
	}
	if calls > 0 && firstCalls > 0 {
		p.CPUMicrosPerRequest, p.FirstTierCPUMicros = cpu*1e6/float64(calls), first*1e6/float64(firstCalls)
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

func keepLedger(dir string, entries []ledger.Entry) error {
	f, err := os.Create(filepath.Join(dir, LedgerFile))
	if err != nil {
		return err
	}
	defer f.Close()
	return ledger.Write(f, entries)
}

// keepHistogram writes the latencies as a HdrHistogram log of one interval, in microseconds.
func keepHistogram(dir string, rec *load.Recorder, started time.Time) error {
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

// Load reads the summary of a folder.
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

// Lines reads a file of JSON lines of a folder.
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

// Breaches reads the verdict of a folder.
func ReadViolations(dir string) ([]ledger.Violation, error) {
	text, err := os.ReadFile(filepath.Join(dir, VerdictFile))
	if err != nil {
		return nil, err
	}
	var out []ledger.Violation
	return out, json.Unmarshal(text, &out)
}

// Histogram reads the latencies of a folder.
func ReadHistogram(dir string) (*hdrhistogram.Histogram, error) {
	f, err := os.Open(filepath.Join(dir, HistogramFile))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	h, err := hdrhistogram.NewHistogramLogReader(f).NextIntervalHistogram()
	if err == nil && h == nil {
		err = fmt.Errorf("%s holds no histogram", filepath.Join(dir, HistogramFile))
	}
	return h, err
}
