package emulator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/scenario"
	"kitewood/internal/lab/wrong"
)

// baseScenario has one tier and is small enough for a slow machine.
const baseScenario = `
name: small
duration: 3s
classes:
  - {name: look, share: 0.5, work: 60ms, aim: 1s, give_up: 2s, effect: safe}
  - {name: pay, share: 0.5, work: 60ms, aim: 1s, give_up: 2s, effect: unsafe}
load: {rate: 40}
clients: {retries: 1}
tiers:
  - {name: one, instances: 4, sidecars: 1, work: 1, kinds: [{name: k, share: 1, speed: 2}], cold: {share: 0.16, time: 20s}, restart: 200ms}
discovery: {notice: 200ms, silent_notice: 400ms, add: 100ms, period: 50ms, spread: 10ms}
troubles:
`

func TestMain(m *testing.M) {
	if mode := os.Getenv(wrong.ModeVariable); mode != "" && len(os.Args) > 1 && os.Args[1] == "serve" {
		if err := wrong.Serve(mode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// lenientSlack is the slack for runs that must keep the rules, on a machine that may be busy with other tests.
const lenientSlack = 500 * time.Millisecond

func readScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runOptions(t *testing.T, s *scenario.Scenario) Options {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Scenario: s, Seed: 1, Binary: own, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}
}

// checkNoProcesses fails the test if a process that was started from a run's folder still exists.
func checkNoProcesses(t *testing.T, dir string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil || len(all) == 0 {
		t.Fatal("no process environments in /proc", err)
	}
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "ROUTER_CONFIG="+dir) {
			t.Errorf("process %s of the run still exists", path)
		}
	}
}

// Checks that each rule, violated on purpose by a proxy with one fault, is reported from the ledger together with the entries
// that led to it, and that the same proxy without a fault violates no rule.
func TestLedgerCatchesWrongProxies(t *testing.T) {
	drain := "  - {kind: deploy, at: 500ms, for: 200ms, count: 1, batch: 0.3, drain: 1500ms}\n"
	for mode, c := range map[string]struct{ rule, what, troubles string }{
		"honest":        {"", "", ""},
		"twice":         {ledger.RuleNoUnsafeRetry, "sent again though it may have run", ""},
		"refuses":       {ledger.RuleNoUnsafeRetry, "refused though it may have run", ""},
		"copies":        {ledger.RuleNoConcurrentAttempts, "two attempts out at once", ""},
		"never":         {ledger.RuleOneAnswer, "no final answer", ""},
		"answers-twice": {ledger.RuleOneAnswer, "more than one answer", ""},
		"invents":       {ledger.RuleOneAnswer, "served with what no instance made", ""},
		"drained":       {ledger.RuleDrain, "told Terminating", drain},
		"cold":          {ledger.RuleSlowStart, "core-seconds within", drain},
		"crash":         {ledger.RuleNoCrash, "exit status 3", ""},
		"gone":          {ledger.RuleClientGone, "after its client had left", ""},
		"more-time":     {ledger.RuleTimeLeft, "more than its caller had left", ""},
	} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, strings.TrimSuffix(baseScenario+c.troubles, "troubles:\n"))
			if mode == "cold" {
				s.Duration = scenario.Duration(5 * time.Second)
			}
			o := runOptions(t, s)
			o.Env = []string{wrong.ModeVariable + "=" + mode}
			r, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			checkNoProcesses(t, o.Dir)
			rules := s.Rules()
			if c.rule == "" {
				rules.Slack = lenientSlack
			}
			violations := ledger.FindViolations(r.Entries, rules)
			if c.rule == "" {
				if len(violations) > 0 {
					t.Fatalf("a proxy without faults violated a rule: %s", violations[0])
				}
				if v := ledger.MeasureService(r.Entries, s.LedgerObjective()); v.ClientRequests < 60 || v.InTime < v.ClientRequests*9/10 {
					t.Errorf("%d of %d requests served in time, want at least 60 requests and 9 in 10 in time", v.InTime, v.ClientRequests)
				}
				return
			}
			at := slices.IndexFunc(violations, func(v ledger.Violation) bool { return v.Rule == c.rule && strings.Contains(v.Message, c.what) })
			if at < 0 {
				t.Fatalf("violation of %s (%s) not reported; reported: %v", c.rule, c.what, violations)
			}
			if c.rule != ledger.RuleNoCrash && len(violations[at].Entries) == 0 {
				t.Errorf("violation without its entries: %s", violations[at])
			}
		})
	}
}

// Checks that a sidecar that cannot start ends the run with an error that contains its output, and that nothing is left behind.
func TestSidecarThatDoesNotStart(t *testing.T) {
	base := goleak.IgnoreCurrent()
	text := strings.Replace(baseScenario, "discovery:", "  - {name: two, instances: 2, work: 1}\ndiscovery:", 1)
	o := runOptions(t, readScenario(t, strings.TrimSuffix(text, "troubles:\n")))
	o.Binary = filepath.Join(t.TempDir(), "broken")
	// The processes fail at different times: the first failure must not leave the others behind.
	if err := os.WriteFile(o.Binary, []byte("#!/bin/sh\nsleep 0.$(($$ % 5))\necho out of order >&2\nexit 4\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, err := Run(context.Background(), o)
	if err == nil || !strings.Contains(err.Error(), "out of order") {
		t.Errorf("got error %v, want one with the output of the sidecar", err)
	}
	checkNoProcesses(t, o.Dir)
	goleak.VerifyNone(t, base)
}

// Checks that a run that is interrupted amid its faults keeps its ledger, and leaves no process, goroutine or listener.
func TestInterruptedRunLeavesNothing(t *testing.T) {
	base := goleak.IgnoreCurrent()
	kitewood := filepath.Join(t.TempDir(), "kitewood")
	if out, err := exec.Command("go", "build", "-o", kitewood, "kitewood/cmd/kitewood").CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	s := readScenario(t, baseScenario+"  - {kind: vanish, at: 300ms, for: 10s, count: 1}\n  - {kind: restart-sidecar, at: 500ms}\n"+
		"  - {kind: move-discovery, at: 700ms}\n  - {kind: deploy, at: 800ms, for: 1s, count: 1, drain: 100ms}\n")
	s.Duration = scenario.Duration(time.Minute)
	o := runOptions(t, s)
	o.Binary = kitewood
	ctx, cancel := context.WithCancel(context.Background())
	var addresses []string
	o.Ready = func(a []string) { addresses = a; time.AfterFunc(2500*time.Millisecond, cancel) }
	started := time.Now()
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.CutShort || len(r.Entries) == 0 || time.Since(started) > 30*time.Second {
		t.Errorf("cut short %v, %d entries, took %s", r.CutShort, len(r.Entries), time.Since(started))
	}
	rules := s.Rules()
	rules.Slack = lenientSlack
	for _, b := range ledger.FindViolations(r.Entries, rules) {
		t.Errorf("rule violated: %s", b)
	}
	if len(addresses) != 1 {
		t.Errorf("got first-tier addresses %v, want one", addresses)
	}
	checkNoProcesses(t, o.Dir)
	for _, a := range addresses {
		if c, err := net.DialTimeout("tcp", a, time.Second); err == nil {
			c.Close()
			t.Errorf("%s still accepts connections", a)
		}
	}
	goleak.VerifyNone(t, base)
}
