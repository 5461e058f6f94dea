package scenario

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"kitewood/internal/program"
)

const validScenario = `name: t
duration: 10s
classes:
  - {name: look, share: 0.6, work: 100ms}
  - {name: pay, share: 0.4, work: 200ms, effect: unsafe, worth: 3}
load: {utilisation: 0.5}
tiers:
  - name: one
    instances: 4
    work: 0.5
  - name: two
    instances: 2
    work: 0.5
    calls: 1.5
troubles:
  - {kind: slow, at: 1s, for: 2s, part: 0.5, size: 3}
`

// An error names the file, line, column and key of the invalid value.
func TestErrorsNamePosition(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"duration: 10s", "duration: 10", `t.yaml:2:11: duration: a span with its unit is wanted, like 500ms or 2s, not "10"`},
		{"duration: 10s", "duration: 10 parsecs", "t.yaml:2:11: duration: a span"},
		{"duration: 10s", "duration: -4s", "t.yaml:2:11: duration: must be above 0"},
		{"duration: 10s", "durration: 10s", "t.yaml:2:1: durration: unknown field"},
		{"work: 100ms", "work: 100ms, wrok: 1s", "t.yaml:4:43: wrok: unknown field"},
		{"share: 0.6", "share: lots", "t.yaml:4:25: share: "},
		{"share: 0.6", "share: 0.9", "t.yaml:4:3: classes: the shares add up to 1.30, not 1"},
		{"name: pay", "name: look", `t.yaml:5:12: classes[1].name: duplicate name "look"`},
		{"effect: unsafe", "effect: maybe", `t.yaml:5:50: classes[1].effect: safe or unsafe, not "maybe"`},
		{"utilisation: 0.5", "utilisation: 0.5, rate: 3", "t.yaml:6:32: load.rate: only one of utilisation and rate may be set"},
		{"{utilisation: 0.5}", "{arrivals: poisson}", "t.yaml:6:7: load: utilisation or rate is needed"},
		{"instances: 4", "instances: 0", "t.yaml:9:16: tiers[0].instances: between 1 and 200, not 0"},
		{"instances: 2", "instances: 2\n    sidecars: 3", "t.yaml:13:15: tiers[1].sidecars: only the first tier"},
		{"calls: 1.5", "calls: 0.5", "t.yaml:14:12: tiers[1].calls: between 1 and 10, not 0.5"},
		{"work: 0.5\n  - name: two", "work: 0.5\n    kinds: [{name: k, share: 1, speed: [1, 2, 3]}]\n  - name: two", "t.yaml:11:40: tiers[0].kinds[0].speed: a range has two numbers"},
		{"kind: slow", "kind: sloww", `t.yaml:16:12: troubles[0].kind: unknown kind "sloww", not one of busy, deploy, `},
		{"size: 3", "size: 0.5", "t.yaml:16:52: troubles[0].size: how many times slower"},
		{"size: 3", "drain: 3s", "t.yaml:16:53: troubles[0].drain: a fault of kind slow has no such key"},
		{"at: 1s", "at: 11s", "t.yaml:16:22: troubles[0].at: 11s is not within the run of 10s"},
		{"for: 2s, ", "", "t.yaml:16:5: troubles[0].for: required for kind slow"},
		{"part: 0.5", "part: 0.5, tier: three", `troubles[0].tier: there is no tier "three"`},
		{"name: t\n", "name: t\nname: u\n", "t.yaml:2:1: "},
		{"tiers:", "tiers: [", "t.yaml:"},
		{"name: t\n", "", "t.yaml:1:1: name: is missing"},
	} {
		text := strings.Replace(validScenario, c.from, c.to, 1)
		if text == validScenario {
			t.Fatalf("the valid scenario does not contain %q", c.from)
		}
		_, err := Read("t.yaml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q:\n got error %v\nwant %s", c.to, c.from, err, c.want)
		}
	}
	if _, err := Read("t.yaml", []byte("")); err == nil {
		t.Error("Read accepts an empty file")
	}
}

// A scenario that was written with a run's results reads back as the same scenario.
func TestScenarioRoundTrip(t *testing.T) {
	s, err := Read("t.yaml", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	text, err := yaml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Read("again.yaml", text)
	if err != nil || !reflect.DeepEqual(s, again) {
		t.Errorf("reading a written scenario: error %v, or another scenario; text:\n%s", err, text)
	}
	if a, b := s.Plan(3), again.Plan(3); !reflect.DeepEqual(a, b) {
		t.Error("the scenario that was read back gives another plan for the same seed")
	}
	if a, b := s.Plan(3), s.Plan(4); reflect.DeepEqual(a, b) {
		t.Error("two seeds give the same plan")
	}
}

// The utilisation is that of the tier with the least capacity, and a fault affects as many instances as configured and ends. A
// deploy starts a successor at the address of each replaced instance.
func TestPlan(t *testing.T) {
	s, err := Read("t.yaml", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(1)
	// Mean work 0.14; tier two: 2 cores for 0.07 x 1.5 a request.
	if want := 0.5 * 2 / (0.14 * 0.5 * 1.5); p.BaseRate < want*0.999 || p.BaseRate > want*1.001 {
		t.Errorf("base rate %.3f, want %.3f", p.BaseRate, want)
	}
	slow := map[string]int{}
	for _, e := range p.Events {
		slow[e.Instance]++
	}
	if len(slow) != 3 || len(p.Events) != 6 {
		t.Errorf("want a start and an end of the fault at 2 of 4 and 1 of 2 instances: %v", p.Events)
	}
	s.Faults = []Fault{{Kind: "deploy", At: Duration(time.Second), Duration: Duration(4 * time.Second), Share: 1, BatchShare: 0.25, DrainTime: Duration(time.Second)}}
	p = s.Plan(1)
	starts, numbers := 0, map[[2]int]string{}
	for _, e := range p.Events {
		if e.Kind == Start {
			starts++
			m := e.Machine
			if other := numbers[[2]int{m.Tier, m.AddressNumber}]; other != "" || !strings.HasSuffix(m.Name, ".2") {
				t.Errorf("%s starts at the address of successor %q, or has no second-generation name", m.Name, other)
			}
			numbers[[2]int{m.Tier, m.AddressNumber}] = m.Name
		}
	}
	if starts != 6 {
		t.Errorf("%d successors for 6 replaced instances", starts)
	}
}

// A sidecar accepts the settings that are written for it.
func TestSettingsAreAccepted(t *testing.T) {
	s, err := Read("t.yaml", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	for tier := range s.Tiers {
		text, err := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "settings": s.Settings(tier, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := program.Load(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
		if err != nil || c.Balancer.Tier != tier || len(c.Classes) != 2 || c.Classes[1].Methods[0] != "POST" || len(c.LoadFields) != 4 {
			t.Errorf("tier %d: %v %+v", tier, err, c)
		}
	}
}
