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

func run(seed uint64, service float64) *Summary {
	return &Summary{Kind: "run", Name: "s", Seed: seed, Service: &ledger.Service{Service: service}, Processes: &Processes{}}
}

// Runs are paired by seed, and a difference counts only beyond what the pairs' spread explains.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name        string
		a, b        []*Summary
		mean, error float64
		pairs       int
		better      int
	}{
		{"clear", []*Summary{run(1, 0.5), run(2, 0.7), run(3, 0.9)}, []*Summary{run(3, 0.8), run(2, 0.61), run(1, 0.39)}, -0.1, 0.01 / math.Sqrt(3), 3, -1},
		{"within the spread", []*Summary{run(1, 0.5), run(2, 0.7)}, []*Summary{run(1, 0.6), run(2, 0.9)}, 0.15, 0.05, 2, 0},
		{"one pair", []*Summary{run(1, 0.5), run(9, 0)}, []*Summary{run(1, 0.6), run(8, 1)}, 0.1, 0, 1, 0},
	} {
		got, err := Compare(c.a, c.b)
		if err != nil {
			t.Fatal(err)
		}
		d := got[0]
		if math.Abs(d.MeanDifference-c.mean) > 1e-9 || math.Abs(d.StdErr-c.error) > 1e-9 || d.Pairs != c.pairs || d.Better != c.better {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
	if _, err := Compare([]*Summary{run(1, 1)}, []*Summary{run(2, 1)}); err == nil {
		t.Error("runs of different seeds are compared")
	}
}

// A client's latency runs from when it meant to ask over all its tries.
func TestLatencies(t *testing.T) {
	s := time.Second
	rec := RecordLatencies([]ledger.Entry{
		{At: s + 1, Kind: ledger.RequestSent, ClientRequest: 1, Since: s}, {At: 2 * s, Kind: ledger.Answered, ClientRequest: 1, Status: 503},
		{At: 3 * s, Kind: ledger.RequestSent, ClientRequest: 1, Since: s, Retry: true}, {At: 4 * s, Kind: ledger.Answered, ClientRequest: 1, Status: 200},
		{At: s + 2, Kind: ledger.RequestSent, ClientRequest: 2, Since: s}, {At: 6 * s, Kind: ledger.TimedOut, ClientRequest: 2},
		{At: s, Kind: ledger.RequestUnsent, ClientRequest: 3, Since: s},
	})
	sum := rec.Summary()
	if sum.Intended != 3 || sum.OK != 1 || sum.TimedOut != 1 || sum.Failed != 1 {
		t.Errorf("%+v", sum)
	}
	if math.Abs(sum.Latency.P50-3000) > 3 || math.Abs(sum.Latency.Max-5000) > 5 {
		t.Errorf("%+v", sum.Latency)
	}
}

// What a load run leaves is read back, the histogram with its figures.
func TestFolder(t *testing.T) {
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
		t.Errorf("%v %v", h, err)
	}
	if got, err := ReadSummary(dir); err != nil || got.OK != 100 || got.Machine.CPUs < 1 || got.Version == "" {
		t.Errorf("%+v %v", got, err)
	}
	if seconds, err := ReadLines[load.SecondStats](dir, SecondsFile); err != nil || len(seconds) != 1 || seconds[0].OK != 100 {
		t.Errorf("%v %v", seconds, err)
	}
	if _, err := CreateDir(dir, "x", 1, time.Now()); err == nil || !strings.Contains(err.Error(), "holds a run") {
		t.Errorf("a second run in one folder: %v", err)
	}
}
