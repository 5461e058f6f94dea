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
	MinSoakSidecars = 10
	MaxSoakSidecars = 150
	MinSoakDuration = 12 * time.Second
)

// SoakOptions say what to soak.
type SoakOptions struct {
	Seed     uint64 // draws the fleet, the clients and the faults
	Sidecars int    // processes in all tiers
	Duration time.Duration
	Binary   string        // kitewood; with Wrong, a program that is a wrong sidecar where the environment names its mode
	Defect   string        // one of the wrong sidecar's modes; empty for kitewood itself
	Slack    time.Duration // of the rules, where this machine is busy with more; 0 for the protocol's own
	Dir      string
	Log      *slog.Logger
}

// SoakResult is what one seed showed.
type SoakResult struct {
	Seed           uint64             `json:"seed"`
	ConfigFormat   string             `json:"form"` // of the sidecars' configuration
	Sidecars       int                `json:"sidecars"`
	ClientRequests int                `json:"clients"`
	ServedShare    float64            `json:"served"` // share of the clients, in time
	Attempts       int                `json:"attempts"`
	Faults         []PlannedFault     `json:"faults"`
	Violations     []ledger.Violation `json:"violations"`
	Dir            string             `json:"dir"`
}

// Soak plays one seed: a fleet under faults that overlap in time, judged by every invariant of the ledger and by the
// sidecars' own checks.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	s, err := SoakScenario(o.Seed, o.Sidecars, o.Duration, o.Defect != "")
	if err != nil {
		return nil, err
	}
	play := Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Dir: o.Dir, Log: o.Log, Slack: o.Slack, Debug: true}
	if o.Defect != "" {
		play.Env = []string{wrong.ModeVariable + "=" + o.Defect}
	}
	r, err := Run(ctx, play)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	if r.Summary.CutShort {
		return nil, context.Cause(ctx)
	}
	out := &SoakResult{Seed: o.Seed, ConfigFormat: s.Sidecar.ConfigFormat, Sidecars: r.Sidecars, ClientRequests: r.Summary.Service.ClientRequests, Attempts: r.Account.Attempts,
		Faults: r.Plan, Violations: r.Violations, Dir: o.Dir}
	if out.ClientRequests > 0 {
		out.ServedShare = float64(r.Summary.Service.InTime) / float64(out.ClientRequests)
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
	if sidecars < MinSoakSidecars || sidecars > MaxSoakSidecars {
		return nil, fmt.Errorf("between %d and %d sidecars, not %d", MinSoakSidecars, MaxSoakSidecars, sidecars)
	}
	if duration < MinSoakDuration {
		return nil, fmt.Errorf("at least %v, not %v", MinSoakDuration, duration)
	}
	file, text, err := scenarios.Find("fleet")
	if err != nil {
		return nil, err
	}
	s, err := scenario.Read(file, text)
	if err != nil {
		return nil, err
	}
	d := &generator{rng: model.NewRand(seed, 0x736f616b), scenario: s}
	s.Name, s.Description = fmt.Sprintf("soak-%d", seed), "faults that overlap in time, drawn from a seed"
	s.Duration, s.Warmup = scenario.Duration(duration), 0
	if err := Scale(s, sidecars); err != nil {
		return nil, err
	}
	d.drawSettings()
	d.addRelease()
	if calm {
		s.Sidecar.ConfigFormat, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormatPlatform, false, false
	} else {
		d.addFaults()
	}
	return s, s.Check()
}

// drawer draws what differs from seed to seed.
type generator struct {
	rng      *rand.Rand
	scenario *scenario.Scenario
}

// between draws a time.
func (d *generator) duration(least, most time.Duration) scenario.Duration {
	return scenario.Duration((least + time.Duration(d.rng.Float64()*float64(most-least))).Round(time.Millisecond))
}

// part draws a share.
func (d *generator) share(least, most float64) float64 {
	return float64(int(100*(least+d.rng.Float64()*(most-least)))) / 100
}

// one draws one of some.
func choose[T any](d *generator, all ...T) T { return all[d.rng.IntN(len(all))] }

// settings draws the fleet's configuration, its clients and its discovery.
func (d *generator) drawSettings() {
	s := d.scenario
	if d.rng.IntN(2) == 0 {
		s.Sidecar.ConfigFormat, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormatPlatform, false, false
	}
	s.Load.Utilisation = d.share(0.25, 0.5)
	s.Clients.MaxRetries, s.Clients.LeaveShare = d.rng.IntN(3), d.share(0.03, 0.15)
	for i := range s.Classes {
		s.Classes[i].TotalTimeout = d.duration(3*time.Second, 6*time.Second)
		s.Classes[i].LatencyTarget = s.Classes[i].TotalTimeout / 2
	}
	s.Frontend.DetectionDelay = d.duration(time.Millisecond, time.Second)
	s.Discovery.CallsPerSecond = float64(3 + d.rng.IntN(30))
	s.Discovery.RejectWhenFull = d.rng.IntN(2) == 0
	if d.rng.IntN(2) == 0 {
		d.overloadDiscovery()
	}
	if d.rng.IntN(3) == 0 {
		d.addLoadSpike()
	}
	for i := range s.Tiers {
		s.Tiers[i].Connections.IdleTimeout = d.duration(2*time.Second, 20*time.Second)
	}
}

// leastCapacity of discovery in a crowd, in calls a second, is what a handful of callers was seen to have.
const minCallsPerSecond = 3.3

// discoveryCrowd has discovery take some seconds to serve each sidecar of a tier once, and work off calls that have failed.
func (d *generator) overloadDiscovery() {
	callers := 0
	for t := range d.scenario.Tiers {
		callers = max(callers, DiscoveryCallers(d.scenario, t))
	}
	d.scenario.Discovery.CallsPerSecond = max(float64(callers)/d.share(2, 5), minCallsPerSecond)
	d.scenario.Discovery.Timeout = choose(d, scenario.Duration(2*time.Second), scenario.Duration(3*time.Second))
	d.scenario.Discovery.ServeTimedOut = true
}

// clientCrowd has many more clients come for some seconds.
func (d *generator) addLoadSpike() {
	begin := d.faultStart()
	end := begin + d.duration(time.Second, 4*time.Second)
	factor := d.share(1.5, 3)
	d.scenario.Load.Shape = []scenario.Point{{At: 0, Factor: 1}, {At: begin, Factor: 1}, {At: begin + scenario.Duration(100*time.Millisecond), Factor: factor},
		{At: end, Factor: factor}, {At: end + scenario.Duration(100*time.Millisecond), Factor: 1}}
}

// when draws when a fault begins: all of them fall into the middle of the run, so that they overlap.
func (d *generator) faultStart() scenario.Duration {
	last := d.scenario.Duration.D() - 8*time.Second
	return d.duration(2*time.Second, max(last, 3*time.Second))
}

func (d *generator) add(t scenario.Fault) {
	t.At = d.faultStart()
	if t.At+t.Duration > d.scenario.Duration {
		t.Duration = d.scenario.Duration - t.At
	}
	d.scenario.Faults = append(d.scenario.Faults, t)
}

// release replaces a part of the instances, as every soak does: what drains and what starts cold is what most rules are about.
func (d *generator) addRelease() {
	d.add(scenario.Fault{Kind: "deploy", Duration: d.duration(3*time.Second, 8*time.Second), Share: d.share(0.2, 0.5), BatchShare: d.share(0.1, 0.4),
		DrainTime: d.duration(2*time.Second, 5*time.Second)})
}

// faults draws some of each kind: of discovery, of sidecars, of instances and of the paths between them.
func (d *generator) addFaults() {
	for _, kind := range []struct {
		draws []func()
		most  int
	}{
		{[]func(){d.discoveryMoves, d.discoveryDown, d.discoverySlow, d.watchesBroken, d.discoveryPath}, 3},
		{[]func(){d.sidecarsEnded, d.sidecarsPaused}, 2},
		{[]func(){d.machinesVanish, d.instancesSlow, d.instancesPaused, d.responsesCorrupted, d.instancesRejecting}, 3},
		{[]func(){d.pathCut, d.pathDegraded, d.pathReset}, 2},
	} {
		order := d.rng.Perm(len(kind.draws))
		for _, i := range order[:1+d.rng.IntN(kind.most)] {
			kind.draws[i]()
		}
	}
	slices.SortStableFunc(d.scenario.Faults, func(a, b scenario.Fault) int { return int(a.At - b.At) })
}

func (d *generator) discoveryMoves() {
	d.add(scenario.Fault{Kind: "move-discovery", Count: 1 + d.rng.IntN(5), Interval: d.duration(200*time.Millisecond, 900*time.Millisecond)})
}

func (d *generator) discoveryDown() {
	d.add(scenario.Fault{Kind: "discovery-down", Duration: d.duration(time.Second, 8*time.Second)})
}

func (d *generator) discoverySlow() {
	d.add(scenario.Fault{Kind: "slow-discovery", Duration: d.duration(3*time.Second, 10*time.Second), Magnitude: float64(2 + d.rng.IntN(8))})
}

func (d *generator) watchesBroken() {
	d.add(scenario.Fault{Kind: "watches", Mode: choose(d, scenario.WatchesEnd, scenario.WatchesReset, scenario.WatchesSilent), Share: d.share(0.3, 1)})
}

func (d *generator) discoveryPath() {
	d.add(scenario.Fault{Kind: "path", Path: scenario.PathDiscovery, Duration: d.duration(2*time.Second, 9*time.Second), Share: d.share(0.2, 0.6),
		Mode: choose(d, "out", "back", "both")})
}

// sidecarsEnd has front sidecars end by SIGTERM or by SIGKILL, or kills those of other tiers: not two of them, as their
// processes are started anew by whoever ended them.
func (d *generator) sidecarsEnded() {
	switch d.rng.IntN(3) {
	case 0:
		d.add(scenario.Fault{Kind: "restart-sidecar", Count: 1 + d.rng.IntN(2), SignalSeries: d.rng.IntN(2) == 0})
	case 1:
		d.add(scenario.Fault{Kind: "kill-sidecar", Tier: d.scenario.Tiers[0].Name, Share: d.share(0.2, 0.5), Duration: d.duration(0, 3*time.Second),
			DiscardList: d.rng.IntN(2) == 0})
	default:
		d.add(scenario.Fault{Kind: "kill-sidecar", Tier: d.scenario.Tiers[1+d.rng.IntN(len(d.scenario.Tiers)-1)].Name, Share: d.share(0.2, 0.5),
			Duration: d.duration(0, 3*time.Second), DiscardList: d.rng.IntN(2) == 0})
	}
}

func (d *generator) sidecarsPaused() {
	d.add(scenario.Fault{Kind: "stop-sidecar", Tier: d.scenario.Tiers[0].Name, Count: 1 + d.rng.IntN(2), Duration: d.duration(200*time.Millisecond, 4*time.Second)})
}

func (d *generator) machinesVanish() {
	d.add(scenario.Fault{Kind: "vanish", Duration: d.duration(2*time.Second, 6*time.Second), Share: d.share(0.1, 0.3)})
}

func (d *generator) instancesSlow() {
	d.add(scenario.Fault{Kind: "slow", Duration: d.duration(3*time.Second, 8*time.Second), Share: d.share(0.1, 0.4), Magnitude: float64(2 + d.rng.IntN(7))})
}

func (d *generator) instancesPaused() {
	d.add(scenario.Fault{Kind: "pauses", Duration: d.duration(3*time.Second, 8*time.Second), Share: d.share(0.1, 0.5),
		Interval: d.duration(time.Second, 3*time.Second), Span: d.duration(50*time.Millisecond, 700*time.Millisecond)})
}

func (d *generator) responsesCorrupted() {
	d.add(scenario.Fault{Kind: "spoilt", Duration: d.duration(2*time.Second, 8*time.Second), Share: d.share(0.1, 0.5), Magnitude: d.share(0.05, 0.5)})
}

func (d *generator) instancesRejecting() {
	d.add(scenario.Fault{Kind: "busy", Duration: d.duration(time.Second, 5*time.Second), Share: d.share(0.1, 0.5)})
}

func (d *generator) pathCut() {
	d.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: d.duration(2*time.Second, 8*time.Second), Share: d.share(0.1, 0.4),
		Mode: choose(d, "out", "back", "both"), TargetShare: d.share(0.2, 0.6)})
}

func (d *generator) pathDegraded() {
	d.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: d.duration(2*time.Second, 8*time.Second), Share: d.share(0.1, 0.5),
		Span: d.duration(20*time.Millisecond, 200*time.Millisecond), Magnitude: d.share(0, 0.1)})
}

func (d *generator) pathReset() {
	d.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: scenario.Duration(time.Second), Share: d.share(0.3, 1), Reset: true})
}
