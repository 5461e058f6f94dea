package main

import (
	"encoding/json"
	"fmt"
	"testing"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/wrong"
)

// soakOutput is the output of soak --json, by the names of its keys.
type soakOutput struct {
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

// runSoakJSON runs soak --json and returns its decoded output and whether it succeeded.
func runSoakJSON(t *testing.T, args ...string) (out soakOutput, ok bool) {
	t.Helper()
	stdout, stderr, ok := runLab(t, append([]string{"soak", "--json", "--out", t.TempDir()}, args...)...)
	if err := json.Unmarshal([]byte(stdout), &out); err != nil {
		t.Fatalf("decoding the output: %v: %s%s", err, stdout, stderr)
	}
	return out, ok
}

// The short form of the soak, a minute in four parallel runs: no invariant is violated under overlapping faults, with load spikes
// or overloaded discovery in some runs. The slack is for a machine that is busy with other tests; by default the soak uses the
// slack of the protocol.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		seed     string
		sidecars int
	}{{"1", 10}, {"2", 12}, {"3", 12}, {"4", 16}} {
		t.Run("seed "+c.seed, func(t *testing.T) {
			t.Parallel()
			out, ok := runSoakJSON(t, "--seed", c.seed, "--seeds", "1", "--duration", "15s", "--sidecars", fmt.Sprint(c.sidecars), "--slack", "300ms")
			if !ok || !out.Pass || len(out.Seeds) != 1 {
				t.Fatalf("%+v", out)
			}
			for _, s := range out.Seeds {
				if s.Sidecars != c.sidecars || s.Clients < 50 || s.Attempts < s.Clients || len(s.Faults) < 10 {
					t.Errorf("seed %d had too few sidecars, clients, attempts or faults to check anything: %+v", s.Seed, s)
				}
			}
		})
	}
}

// Every invariant of the soak can fail: for each there is a sidecar defect that violates it, and the soak then reports the
// violation and exits with 1.
func TestSoakDetectsFaultySidecars(t *testing.T) {
	covered := map[string]bool{}
	for _, rule := range wrong.RulesByMode {
		covered[rule] = true
	}
	for _, rule := range ledger.RuleNames {
		if !covered[rule] {
			t.Errorf("no sidecar defect violates %s", rule)
		}
	}
	for mode, rule := range wrong.RulesByMode {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			out, ok := runSoakJSON(t, "--seed", "5", "--duration", "12s", "--sidecars", "10", "--wrong", mode)
			if ok || out.Pass || len(out.Seeds) != 1 {
				t.Fatalf("the soak passed with a defect: %+v", out)
			}
			for _, v := range out.Seeds[0].Violations {
				if v.Rule == rule {
					return
				}
			}
			t.Errorf("%s is not among the %d violations", rule, len(out.Seeds[0].Violations))
		})
	}
	if _, _, ok := runLab(t, "soak", "--wrong", "no-such-mode"); ok {
		t.Error("an unknown mode was accepted")
	}
}
