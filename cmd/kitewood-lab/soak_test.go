package main

import (
	"encoding/json"
	"fmt"
	"testing"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/wrong"
)

// soaked is what soak prints with --json, as other programs read it.
type soaked struct {
	Pass  bool
	Seeds []struct {
		Seed       uint64
		Sidecars   int
		Clients    int
		Attempts   int
		Faults     []any
		Violations []ledger.Violation
	}
}

func soakJSON(t *testing.T, args ...string) (out soaked, ok bool) {
	t.Helper()
	text, stderr, ok := call(t, append([]string{"soak", "--json", "--out", t.TempDir()}, args...)...)
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatalf("%v: %s%s", err, text, stderr)
	}
	return out, ok
}

// The short form of the soak, a minute of it in four runs beside each other: no invariant is violated under faults that overlap,
// with crowds in some runs. The slack is for a machine that is busy with other tests; the soak itself keeps to the protocol's.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		seed     string
		sidecars int
	}{{"1", 10}, {"2", 12}, {"3", 12}, {"4", 16}} {
		t.Run("seed "+c.seed, func(t *testing.T) {
			t.Parallel()
			out, ok := soakJSON(t, "--seed", c.seed, "--seeds", "1", "--duration", "15s", "--sidecars", fmt.Sprint(c.sidecars), "--slack", "300ms")
			if !ok || !out.Pass || len(out.Seeds) != 1 {
				t.Fatalf("%+v", out)
			}
			for _, s := range out.Seeds {
				if s.Sidecars != c.sidecars || s.Clients < 50 || s.Attempts < s.Clients || len(s.Faults) < 10 {
					t.Errorf("seed %d has shown nothing: %+v", s.Seed, s)
				}
			}
		})
	}
}

// Every invariant of the soak can fail: a wrong sidecar violates it, and the soak says so with the seed and exits with 1.
func TestSoakFindsWrongSidecars(t *testing.T) {
	broken := map[string]bool{}
	for _, rule := range wrong.RulesByMode {
		broken[rule] = true
	}
	for _, rule := range ledger.RuleNames {
		if !broken[rule] {
			t.Errorf("no wrong sidecar breaks %s", rule)
		}
	}
	for mode, rule := range wrong.RulesByMode {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			out, ok := soakJSON(t, "--seed", "5", "--duration", "12s", "--sidecars", "10", "--wrong", mode)
			if ok || out.Pass || len(out.Seeds) != 1 {
				t.Fatalf("it passes: %+v", out)
			}
			for _, v := range out.Seeds[0].Violations {
				if v.Rule == rule {
					return
				}
			}
			t.Errorf("%s is not among %d violations", rule, len(out.Seeds[0].Violations))
		})
	}
	if _, _, ok := call(t, "soak", "--wrong", "no-such-mode"); ok {
		t.Error("an unknown mode is taken")
	}
}
