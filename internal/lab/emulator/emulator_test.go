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

// small is a scenario of one tier that a slow machine plays, too.
const small = `
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

// lenient is the slack for what must keep the rules on a machine that may be busy with other tests.
const lenient = 500 * time.Millisecond

func read(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Read("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func options(t *testing.T, s *scenario.Scenario) Options {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Scenario: s, Seed: 1, Binary: own, Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)}
}

// left fails if a process of a run's folder still lives.
func left(t *testing.T, dir string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil || len(all) == 0 {
		t.Fatal("no processes to look at", err)
	}
	for _, path := range all {
		if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), "ROUTER_CONFIG="+dir) {
			t.Errorf("process %s of the run is left", path)
		}
	}
}

// Each rule, broken on purpose by a proxy that is wrong in one way, is caught from the ledger, with the story; the same
// proxy without its fault breaks none.
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
			s := read(t, strings.TrimSuffix(small+c.troubles, "troubles:\n"))
			if mode == "cold" {
				s.Duration = scenario.Duration(5 * time.Second)
			}
			o := options(t, s)
			o.Env = []string{wrong.ModeVariable + "=" + mode}
			r, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			left(t, o.Dir)
			rules := s.Rules()
			if c.rule == "" {
				rules.Slack = lenient
			}
			breaches := ledger.FindViolations(r.Entries, rules)
			if c.rule == "" {
				if len(breaches) > 0 {
					t.Fatalf("nothing is wrong, and the ledger says: %s", breaches[0])
				}
				if v := ledger.MeasureService(r.Entries, s.LedgerObjective()); v.ClientRequests < 60 || v.InTime < v.ClientRequests*9/10 {
					t.Errorf("%d of %d served in time", v.InTime, v.ClientRequests)
				}
				return
			}
			at := slices.IndexFunc(breaches, func(b ledger.Violation) bool { return b.Rule == c.rule && strings.Contains(b.Message, c.what) })
			if at < 0 {
				t.Fatalf("%s (%s) is not caught; broken: %v", c.rule, c.what, breaches)
			}
			if c.rule != ledger.RuleNoCrash && len(breaches[at].Entries) == 0 {
				t.Errorf("no story: %s", breaches[at])
			}
		})
	}
}

// A sidecar that cannot start ends the run with an error that says what it said, and leaves nothing.
func TestSidecarThatDoesNotStart(t *testing.T) {
	base := goleak.IgnoreCurrent()
	text := strings.Replace(small, "discovery:", "  - {name: two, instances: 2, work: 1}\ndiscovery:", 1)
	o := options(t, read(t, strings.TrimSuffix(text, "troubles:\n")))
	o.Binary = filepath.Join(t.TempDir(), "broken")
	// Not all at once: what fails first must not leave the rest behind.
	if err := os.WriteFile(o.Binary, []byte("#!/bin/sh\nsleep 0.$(($$ % 5))\necho out of order >&2\nexit 4\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, err := Run(context.Background(), o)
	if err == nil || !strings.Contains(err.Error(), "out of order") {
		t.Errorf("the error is %v", err)
	}
	left(t, o.Dir)
	goleak.VerifyNone(t, base)
}

// A run that is cut short in the middle of its troubles keeps what was seen, and leaves no process, goroutine or address.
func TestInterruptedRunLeavesNothing(t *testing.T) {
	base := goleak.IgnoreCurrent()
	kitewood := filepath.Join(t.TempDir(), "kitewood")
	if out, err := exec.Command("go", "build", "-o", kitewood, "kitewood/cmd/kitewood").CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	s := read(t, small+"  - {kind: vanish, at: 300ms, for: 10s, count: 1}\n  - {kind: restart-sidecar, at: 500ms}\n"+
		"  - {kind: move-discovery, at: 700ms}\n  - {kind: deploy, at: 800ms, for: 1s, count: 1, drain: 100ms}\n")
	s.Duration = scenario.Duration(time.Minute)
	o := options(t, s)
	o.Binary = kitewood
	ctx, cancel := context.WithCancel(context.Background())
	var addresses []string
	o.Ready = func(a []string) { addresses = a; time.AfterFunc(2500*time.Millisecond, cancel) }
	began := time.Now()
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.CutShort || len(r.Entries) == 0 || time.Since(began) > 30*time.Second {
		t.Errorf("cut %v, %d entries, %s", r.CutShort, len(r.Entries), time.Since(began))
	}
	rules := s.Rules()
	rules.Slack = lenient
	for _, b := range ledger.FindViolations(r.Entries, rules) {
		t.Errorf("broken: %s", b)
	}
	if len(addresses) != 1 {
		t.Errorf("addresses: %v", addresses)
	}
	left(t, o.Dir)
	for _, a := range addresses {
		if c, err := net.DialTimeout("tcp", a, time.Second); err == nil {
			c.Close()
			t.Errorf("somebody still listens on %s", a)
		}
	}
	goleak.VerifyNone(t, base)
}
