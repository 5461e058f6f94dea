package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/scenario"
	"kitewood/internal/lab/wrong"
	"kitewood/scenarios"
)

// Bounds of a soak's fleet and time.
const (
	LeastSoakers = 10
	MostSoakers  = 150
	LeastSoak    = 12 * time.Second
)

// SoakOptions say what to soak.
type SoakOptions struct {
	Seed     uint64 // draws the fleet, the clients and the faults
	Sidecars int    // processes in all tiers
	Duration time.Duration
	Binary   string        // kitewood; with Wrong, a program that is a wrong sidecar where the environment names its mode
	Wrong    string        // one of the wrong sidecar's modes; empty for kitewood itself
	Slack    time.Duration // of the rules, where this machine is busy with more; 0 for the protocol's own
	Dir      string
	Log      *slog.Logger
}

// SoakResult is what one seed showed.
type SoakResult struct {
	Seed       uint64             `json:"seed"`
	Form       string             `json:"form"` // of the sidecars' configuration
	Sidecars   int                `json:"sidecars"`
	Clients    int                `json:"clients"`
	Served     float64            `json:"served"` // share of the clients, in time
	Attempts   int                `json:"attempts"`
	Faults     []Fault            `json:"faults"`
	Violations []ledger.Violation `json:"violations"`
	Dir        string             `json:"dir"`
}

// Soak plays one seed: a fleet under faults that overlap in time, judged by every invariant of the ledger and by the
// sidecars' own checks.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	s, err := SoakScenario(o.Seed, o.Sidecars, o.Duration, o.Wrong != "")
	if err != nil {
		return nil, err
	}
	play := Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Dir: o.Dir, Log: o.Log, Slack: o.Slack, Debug: true}
	if o.Wrong != "" {
		play.Env = []string{wrong.Variable + "=" + o.Wrong}
	}
	r, err := Play(ctx, play)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	if r.Summary.CutShort {
		return nil, context.Cause(ctx)
	}
	out := &SoakResult{Seed: o.Seed, Form: s.Sidecar.Form, Sidecars: r.Sidecars, Clients: r.Summary.Service.ClientRequests, Attempts: r.Account.Attempts,
		Faults: r.Plan, Violations: r.Breaches, Dir: o.Dir}
	if out.Clients > 0 {
		out.Served = float64(r.Summary.Service.InTime) / float64(out.Clients)
	}
	if out.Violations == nil {
		out.Violations = []ledger.Violation{}
	}
	return out, nil
}

// SoakDir is the folder of a seed's run.
func SoakDir(dir string, seed uint64) string { return filepath.Join(dir, fmt.Sprintf("soak-%d", seed)) }

// SoakScenario draws the scenario of a seed. A calm one has only what the wrong sidecars need to be wrong: a release, and
// clients that leave.
func SoakScenario(seed uint64, sidecars int, duration time.Duration, calm bool) (*scenario.Scenario, error) {
	if sidecars < LeastSoakers || sidecars > MostSoakers {
		return nil, fmt.Errorf("between %d and %d sidecars, not %d", LeastSoakers, MostSoakers, sidecars)
	}
	if duration < LeastSoak {
		return nil, fmt.Errorf("at least %v, not %v", LeastSoak, duration)
	}
	file, text, err := scenarios.Find("fleet")
	if err != nil {
		return nil, err
	}
	s, err := scenario.Read(file, text)
	if err != nil {
		return nil, err
	}
	d := &drawer{rng: model.NewRand(seed, 0x736f616b), s: s}
	s.Name, s.About = fmt.Sprintf("soak-%d", seed), "faults that overlap in time, drawn from a seed"
	s.Duration, s.Warmup = scenario.Duration(duration), 0
	if err := Scale(s, sidecars); err != nil {
		return nil, err
	}
	d.settings()
	d.release()
	if calm {
		s.Sidecar.Form, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormPlatform, false, false
	} else {
		d.faults()
	}
	return s, s.Check()
}

// drawer draws what differs from seed to seed.
type drawer struct {
	rng *rand.Rand
	s   *scenario.Scenario
}

// between draws a time.
func (d *drawer) between(least, most time.Duration) scenario.Duration {
	return scenario.Duration((least + time.Duration(d.rng.Float64()*float64(most-least))).Round(time.Millisecond))
}

// part draws a share.
func (d *drawer) part(least, most float64) float64 {
	return float64(int(100*(least+d.rng.Float64()*(most-least)))) / 100
}

// one draws one of some.
func one[T any](d *drawer, all ...T) T { return all[d.rng.IntN(len(all))] }

// settings draws the fleet's configuration, its clients and its discovery.
func (d *drawer) settings() {
	s := d.s
	if d.rng.IntN(2) == 0 {
		s.Sidecar.Form, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormPlatform, false, false
	}
	s.Load.Utilisation = d.part(0.25, 0.5)
	s.Clients.Retries, s.Clients.Leave = d.rng.IntN(3), d.part(0.03, 0.15)
	for i := range s.Classes {
		s.Classes[i].GiveUp = d.between(3*time.Second, 6*time.Second)
		s.Classes[i].Aim = s.Classes[i].GiveUp / 2
	}
	s.Front.Notice = d.between(time.Millisecond, time.Second)
	s.Discovery.Capacity = float64(3 + d.rng.IntN(30))
	s.Discovery.RefuseFull = d.rng.IntN(2) == 0
	if d.rng.IntN(2) == 0 {
		d.discoveryCrowd()
	}
	if d.rng.IntN(3) == 0 {
		d.clientCrowd()
	}
	for i := range s.Tiers {
		s.Tiers[i].Conns.Idle = d.between(2*time.Second, 20*time.Second)
	}
}

// leastCapacity of discovery in a crowd, in calls a second, is what a handful of callers was seen to have.
const leastCapacity = 3.3

// discoveryCrowd has discovery take some seconds to serve each sidecar of a tier once, and work off calls that have failed.
func (d *drawer) discoveryCrowd() {
	callers := 0
	for t := range d.s.Tiers {
		callers = max(callers, Callers(d.s, t))
	}
	d.s.Discovery.Capacity = max(float64(callers)/d.part(2, 5), leastCapacity)
	d.s.Discovery.Timeout = one(d, scenario.Duration(2*time.Second), scenario.Duration(3*time.Second))
	d.s.Discovery.WorksOffFailed = true
}

// clientCrowd has many more clients come for some seconds.
func (d *drawer) clientCrowd() {
	begin := d.when()
	end := begin + d.between(time.Second, 4*time.Second)
	factor := d.part(1.5, 3)
	d.s.Load.Shape = []scenario.Point{{At: 0, Factor: 1}, {At: begin, Factor: 1}, {At: begin + scenario.Duration(100*time.Millisecond), Factor: factor},
		{At: end, Factor: factor}, {At: end + scenario.Duration(100*time.Millisecond), Factor: 1}}
}

// when draws when a fault begins: all of them fall into the middle of the run, so that they overlap.
func (d *drawer) when() scenario.Duration {
	last := d.s.Duration.D() - 8*time.Second
	return d.between(2*time.Second, max(last, 3*time.Second))
}

func (d *drawer) add(t scenario.Trouble) {
	t.At = d.when()
	if t.At+t.For > d.s.Duration {
		t.For = d.s.Duration - t.At
	}
	d.s.Troubles = append(d.s.Troubles, t)
}

// release replaces a part of the instances, as every soak does: what drains and what starts cold is what most rules are about.
func (d *drawer) release() {
	d.add(scenario.Trouble{Kind: "deploy", For: d.between(3*time.Second, 8*time.Second), Part: d.part(0.2, 0.5), Batch: d.part(0.1, 0.4),
		Drain: d.between(2*time.Second, 5*time.Second)})
}

// faults draws some of each kind: of discovery, of sidecars, of instances and of the paths between them.
func (d *drawer) faults() {
	for _, kind := range []struct {
		draws []func()
		most  int
	}{
		{[]func(){d.reloads, d.discoveryDown, d.discoverySlow, d.watchesBreak, d.discoveryPath}, 3},
		{[]func(){d.sidecarsEnd, d.sidecarStops}, 2},
		{[]func(){d.machinesVanish, d.instancesSlow, d.instancesPause, d.answersSpoilt, d.instancesBusy}, 3},
		{[]func(){d.pathCut, d.pathPoor, d.pathReset}, 2},
	} {
		order := d.rng.Perm(len(kind.draws))
		for _, i := range order[:1+d.rng.IntN(kind.most)] {
			kind.draws[i]()
		}
	}
	slices.SortStableFunc(d.s.Troubles, func(a, b scenario.Trouble) int { return int(a.At - b.At) })
}

func (d *drawer) reloads() {
	d.add(scenario.Trouble{Kind: "move-discovery", Count: 1 + d.rng.IntN(5), Every: d.between(200*time.Millisecond, 900*time.Millisecond)})
}

func (d *drawer) discoveryDown() {
	d.add(scenario.Trouble{Kind: "discovery-down", For: d.between(time.Second, 8*time.Second)})
}

func (d *drawer) discoverySlow() {
	d.add(scenario.Trouble{Kind: "slow-discovery", For: d.between(3*time.Second, 10*time.Second), Size: float64(2 + d.rng.IntN(8))})
}

func (d *drawer) watchesBreak() {
	d.add(scenario.Trouble{Kind: "watches", Way: one(d, scenario.WatchesEnd, scenario.WatchesReset, scenario.WatchesSilent), Part: d.part(0.3, 1)})
}

func (d *drawer) discoveryPath() {
	d.add(scenario.Trouble{Kind: "path", Path: scenario.PathDiscovery, For: d.between(2*time.Second, 9*time.Second), Part: d.part(0.2, 0.6),
		Way: one(d, "out", "back", "both")})
}

// sidecarsEnd has front sidecars end by SIGTERM or by SIGKILL, or kills those of other tiers: not two of them, as their
// processes are started anew by whoever ended them.
func (d *drawer) sidecarsEnd() {
	switch d.rng.IntN(3) {
	case 0:
		d.add(scenario.Trouble{Kind: "restart-sidecar", Count: 1 + d.rng.IntN(2), Series: d.rng.IntN(2) == 0})
	case 1:
		d.add(scenario.Trouble{Kind: "kill-sidecar", Tier: d.s.Tiers[0].Name, Part: d.part(0.2, 0.5), For: d.between(0, 3*time.Second),
			Forget: d.rng.IntN(2) == 0})
	default:
		d.add(scenario.Trouble{Kind: "kill-sidecar", Tier: d.s.Tiers[1+d.rng.IntN(len(d.s.Tiers)-1)].Name, Part: d.part(0.2, 0.5),
			For: d.between(0, 3*time.Second), Forget: d.rng.IntN(2) == 0})
	}
}

func (d *drawer) sidecarStops() {
	d.add(scenario.Trouble{Kind: "stop-sidecar", Tier: d.s.Tiers[0].Name, Count: 1 + d.rng.IntN(2), For: d.between(200*time.Millisecond, 4*time.Second)})
}

func (d *drawer) machinesVanish() {
	d.add(scenario.Trouble{Kind: "vanish", For: d.between(2*time.Second, 6*time.Second), Part: d.part(0.1, 0.3)})
}

func (d *drawer) instancesSlow() {
	d.add(scenario.Trouble{Kind: "slow", For: d.between(3*time.Second, 8*time.Second), Part: d.part(0.1, 0.4), Size: float64(2 + d.rng.IntN(7))})
}

func (d *drawer) instancesPause() {
	d.add(scenario.Trouble{Kind: "pauses", For: d.between(3*time.Second, 8*time.Second), Part: d.part(0.1, 0.5),
		Every: d.between(time.Second, 3*time.Second), Span: d.between(50*time.Millisecond, 700*time.Millisecond)})
}

func (d *drawer) answersSpoilt() {
	d.add(scenario.Trouble{Kind: "spoilt", For: d.between(2*time.Second, 8*time.Second), Part: d.part(0.1, 0.5), Size: d.part(0.05, 0.5)})
}

func (d *drawer) instancesBusy() {
	d.add(scenario.Trouble{Kind: "busy", For: d.between(time.Second, 5*time.Second), Part: d.part(0.1, 0.5)})
}

func (d *drawer) pathCut() {
	d.add(scenario.Trouble{Kind: "path", Path: scenario.PathInstances, For: d.between(2*time.Second, 8*time.Second), Part: d.part(0.1, 0.4),
		Way: one(d, "out", "back", "both"), Targets: d.part(0.2, 0.6)})
}

func (d *drawer) pathPoor() {
	d.add(scenario.Trouble{Kind: "path", Path: scenario.PathInstances, For: d.between(2*time.Second, 8*time.Second), Part: d.part(0.1, 0.5),
		Span: d.between(20*time.Millisecond, 200*time.Millisecond), Size: d.part(0, 0.1)})
}

func (d *drawer) pathReset() {
	d.add(scenario.Trouble{Kind: "path", Path: scenario.PathInstances, For: scenario.Duration(time.Second), Part: d.part(0.3, 1), Reset: true})
}
