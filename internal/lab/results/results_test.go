package results

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/load"
)

// newRun returns the summary of an emulator run with the given score.
func newRun(seed uint64, service float64) *Summary {
	return &Summary{Kind: "run", Name: "s", Seed: seed, Service: &ledger.Service{Service: service}, Processes: &Processes{}}
}

// Runs are paired by seed, and a difference counts only if it exceeds what the variance of the pairs explains.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name        string
		a, b        []*Summary
		mean, error float64
		pairs       int
		better      int
	}{
		{"significant", []*Summary{newRun(1, 0.5), newRun(2, 0.7), newRun(3, 0.9)}, []*Summary{newRun(3, 0.8), newRun(2, 0.61), newRun(1, 0.39)}, -0.1, 0.01 / math.Sqrt(3), 3, -1},
		{"within the variance", []*Summary{newRun(1, 0.5), newRun(2, 0.7)}, []*Summary{newRun(1, 0.6), newRun(2, 0.9)}, 0.15, 0.05, 2, 0},
		{"one pair", []*Summary{newRun(1, 0.5), newRun(9, 0)}, []*Summary{newRun(1, 0.6), newRun(8, 1)}, 0.1, 0, 1, 0},
	} {
		got, err := Compare(c.a, c.b)
		if err != nil {
			t.Fatal(err)
		}
		d := got[0]
		if math.Abs(d.MeanDifference-c.mean) > 1e-9 || math.Abs(d.StdErr-c.error) > 1e-9 || d.Pairs != c.pairs || d.Better != c.better {
			t.Errorf("%s: difference %+v is not as wanted", c.name, d)
		}
	}
	if _, err := Compare([]*Summary{newRun(1, 1)}, []*Summary{newRun(2, 1)}); err == nil {
		t.Error("runs of different seeds were compared")
	}
}

// The latency of a client request counts from its intended time and covers all its attempts.
func TestRecordLatencies(t *testing.T) {
	s := time.Second
	rec := RecordLatencies([]ledger.Entry{
		{At: s + 1, Kind: ledger.RequestSent, ClientRequest: 1, Since: s}, {At: 2 * s, Kind: ledger.Answered, ClientRequest: 1, Status: 503},
		{At: 3 * s, Kind: ledger.RequestSent, ClientRequest: 1, Since: s, Retry: true}, {At: 4 * s, Kind: ledger.Answered, ClientRequest: 1, Status: 200},
		{At: s + 2, Kind: ledger.RequestSent, ClientRequest: 2, Since: s}, {At: 6 * s, Kind: ledger.TimedOut, ClientRequest: 2},
		{At: s, Kind: ledger.RequestUnsent, ClientRequest: 3, Since: s},
	})
	sum := rec.Summary()
	if sum.Intended != 3 || sum.OK != 1 || sum.TimedOut != 1 || sum.Failed != 1 {
		t.Errorf("summary %+v, want 3 intended: 1 ok, 1 timed out, 1 failed", sum)
	}
	if math.Abs(sum.Latency.P50-3000) > 3 || math.Abs(sum.Latency.Max-5000) > 5 {
		t.Errorf("latencies %+v, want a median of 3000 ms and a maximum of 5000 ms", sum.Latency)
	}
}

// The folder of a load run is written and read back, with the histogram.
func TestWriteLoadAndReadBack(t *testing.T) {
	dir, err := CreateDir(filepath.Join(t.TempDir(), "a"), "x", 1, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	rec := load.NewRecorder()
	for n := range 100 {
		at := time.Duration(n) * 10 * time.Millisecond
		rec.RecordIntended(at)
		rec.Add(load.Outcome{Intended: at, Sent: at, Ended: at + time.Duration(n+1)*time.Millisecond, Status: 200})
	}
	sum := NewSummary("load", "x", 1, time.Now())
	sum.Summary = rec.Summary()
	if err := WriteLoad(dir, sum, rec); err != nil {
		t.Fatal(err)
	}
	h, err := ReadHistogram(dir)
	if err != nil || h.TotalCount() != 100 || math.Abs(float64(h.ValueAtQuantile(50))-50_000) > 60 {
		t.Errorf("histogram %v, error %v, want 100 values with a median of 50 ms", h, err)
	}
	if got, err := ReadSummary(dir); err != nil || got.OK != 100 || got.Machine.CPUs < 1 || got.Version == "" {
		t.Errorf("summary %+v, error %v, want 100 ok on a known machine and version", got, err)
	}
	if seconds, err := ReadLines[load.SecondStats](dir, SecondsFile); err != nil || len(seconds) != 1 || seconds[0].OK != 100 {
		t.Errorf("seconds %v, error %v, want one with 100 ok", seconds, err)
	}
	if _, err := CreateDir(dir, "x", 1, time.Now()); err == nil || !strings.Contains(err.Error(), "holds a run") {
		t.Errorf("a second run in the same folder: error %v, want that the folder holds a run", err)
	}
}
