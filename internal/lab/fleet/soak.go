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

// Bounds of a soak's fleet and duration.
const (
	MinSoakSidecars = 10
	MaxSoakSidecars = 150
	MinSoakDuration = 12 * time.Second
)

// SoakOptions configure a soak.
type SoakOptions struct {
	Seed     uint64 // determines the fleet, the clients and the faults
	Sidecars int    // processes in all tiers
	Duration time.Duration
	Binary   string        // path of kitewood; with Defect, of a program that serves as a faulty sidecar in the mode named by the environment
	Defect   string        // mode of the faulty sidecar, see package wrong; empty for kitewood itself
	Slack    time.Duration // tolerance of the rules' time limits on a busy machine; 0 for the protocol's
	Dir      string
	Log      *slog.Logger
}

// SoakResult is the outcome of the soak of one seed.
type SoakResult struct {
	Seed           uint64             `json:"seed"`
	ConfigFormat   string             `json:"form"` // of the sidecars
	Sidecars       int                `json:"sidecars"`
	ClientRequests int                `json:"clients"`
	ServedShare    float64            `json:"served"` // share of client requests answered in time
	Attempts       int                `json:"attempts"`
	Faults         []PlannedFault     `json:"faults"`
	Violations     []ledger.Violation `json:"violations"`
	Dir            string             `json:"dir"`
}

// Soak runs one seed: a fleet under faults that overlap in time, checked against every invariant of the ledger and by the
// sidecars' own checks.
func Soak(ctx context.Context, o SoakOptions) (*SoakResult, error) {
	s, err := SoakScenario(o.Seed, o.Sidecars, o.Duration, o.Defect != "")
	if err != nil {
		return nil, err
	}
	options := Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Dir: o.Dir, Log: o.Log, Slack: o.Slack, Debug: true}
	if o.Defect != "" {
		options.Env = []string{wrong.ModeVariable + "=" + o.Defect}
	}
	r, err := Run(ctx, options)
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

// SoakDir returns the directory of a seed's run.
func SoakDir(dir string, seed uint64) string { return filepath.Join(dir, fmt.Sprintf("soak-%d", seed)) }

// SoakScenario generates the scenario of a seed. A calm scenario has only what the defects of faulty sidecars need to show:
// a rolling release, and clients that disconnect before the response.
func SoakScenario(seed uint64, sidecars int, duration time.Duration, calm bool) (*scenario.Scenario, error) {
	if sidecars < MinSoakSidecars || sidecars > MaxSoakSidecars {
		return nil, fmt.Errorf("between %d and %d sidecars, not %d", MinSoakSidecars, MaxSoakSidecars, sidecars)
	}
	if duration < MinSoakDuration {
		return nil, fmt.Errorf("the duration must be at least %v, not %v", MinSoakDuration, duration)
	}
	file, text, err := scenarios.Find("fleet")
	if err != nil {
		return nil, err
	}
	s, err := scenario.Read(file, text)
	if err != nil {
		return nil, err
	}
	g := &generator{rng: model.NewRand(seed, 0x736f616b), scenario: s}
	s.Name, s.Description = fmt.Sprintf("soak-%d", seed), "overlapping faults, generated from a seed"
	s.Duration, s.Warmup = scenario.Duration(duration), 0
	if err := Scale(s, sidecars); err != nil {
		return nil, err
	}
	g.drawSettings()
	g.addRelease()
	if calm {
		s.Sidecar.ConfigFormat, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormatPlatform, false, false
	} else {
		g.addFaults()
	}
	return s, s.Check()
}

// generator draws the parts of a soak scenario that depend on the seed.
type generator struct {
	rng      *rand.Rand
	scenario *scenario.Scenario
}

// duration draws a duration from a range, in whole milliseconds.
func (g *generator) duration(low, high time.Duration) scenario.Duration {
	return scenario.Duration((low + time.Duration(g.rng.Float64()*float64(high-low))).Round(time.Millisecond))
}

// share draws a number from a range, in whole hundredths.
func (g *generator) share(low, high float64) float64 {
	return float64(int(100*(low+g.rng.Float64()*(high-low)))) / 100
}

// choose draws one of the choices.
func choose[T any](g *generator, choices ...T) T { return choices[g.rng.IntN(len(choices))] }

// drawSettings draws the configuration of the sidecars, the clients and discovery.
func (g *generator) drawSettings() {
	s := g.scenario
	if g.rng.IntN(2) == 0 {
		s.Sidecar.ConfigFormat, s.Sidecar.Chain, s.Sidecar.Origin = scenario.FormatPlatform, false, false
	}
	s.Load.Utilisation = g.share(0.25, 0.5)
	s.Clients.MaxRetries, s.Clients.LeaveShare = g.rng.IntN(3), g.share(0.03, 0.15)
	for i := range s.Classes {
		s.Classes[i].TotalTimeout = g.duration(3*time.Second, 6*time.Second)
		s.Classes[i].LatencyTarget = s.Classes[i].TotalTimeout / 2
	}
	s.Frontend.DetectionDelay = g.duration(time.Millisecond, time.Second)
	s.Discovery.CallsPerSecond = float64(3 + g.rng.IntN(30))
	s.Discovery.RejectWhenFull = g.rng.IntN(2) == 0
	if g.rng.IntN(2) == 0 {
		g.overloadDiscovery()
	}
	if g.rng.IntN(3) == 0 {
		g.addLoadSpike()
	}
	for i := range s.Tiers {
		s.Tiers[i].Connections.IdleTimeout = g.duration(2*time.Second, 20*time.Second)
	}
}

// minCallsPerSecond is the lowest capacity of an overloaded discovery, as seen with a handful of callers.
const minCallsPerSecond = 3.3

// overloadDiscovery gives discovery so little capacity that it takes some seconds to serve each sidecar of a tier once, and
// has it serve calls even after they have timed out.
func (g *generator) overloadDiscovery() {
	callers := 0
	for t := range g.scenario.Tiers {
		callers = max(callers, DiscoveryCallers(g.scenario, t))
	}
	g.scenario.Discovery.CallsPerSecond = max(float64(callers)/g.share(2, 5), minCallsPerSecond)
	g.scenario.Discovery.Timeout = choose(g, scenario.Duration(2*time.Second), scenario.Duration(3*time.Second))
	g.scenario.Discovery.ServeTimedOut = true
}

// addLoadSpike adds a load spike of 1.5 to 3 times the base rate for some seconds.
func (g *generator) addLoadSpike() {
	begin := g.faultStart()
	end := begin + g.duration(time.Second, 4*time.Second)
	factor := g.share(1.5, 3)
	g.scenario.Load.Shape = []scenario.Point{{At: 0, Factor: 1}, {At: begin, Factor: 1}, {At: begin + scenario.Duration(100*time.Millisecond), Factor: factor},
		{At: end, Factor: factor}, {At: end + scenario.Duration(100*time.Millisecond), Factor: 1}}
}

// faultStart draws the start of a fault. Faults start in the middle of the run, so that they overlap.
func (g *generator) faultStart() scenario.Duration {
	last := g.scenario.Duration.D() - 8*time.Second
	return g.duration(2*time.Second, max(last, 3*time.Second))
}

// add draws the start of a fault and adds it. The fault ends with the run at the latest.
func (g *generator) add(f scenario.Fault) {
	f.At = g.faultStart()
	if f.At+f.Duration > g.scenario.Duration {
		f.Duration = g.scenario.Duration - f.At
	}
	g.scenario.Faults = append(g.scenario.Faults, f)
}

// addRelease adds a rolling release of some of the instances. Every soak has one, as most rules concern draining instances and
// instances in slow start.
func (g *generator) addRelease() {
	g.add(scenario.Fault{Kind: "deploy", Duration: g.duration(3*time.Second, 8*time.Second), Share: g.share(0.2, 0.5), BatchShare: g.share(0.1, 0.4),
		DrainTime: g.duration(2*time.Second, 5*time.Second)})
}

// addFaults adds some faults of each kind: of discovery, of sidecars, of instances and of the paths between them.
func (g *generator) addFaults() {
	for _, kind := range []struct {
		adders   []func()
		maxCount int
	}{
		{[]func(){g.discoveryMoves, g.discoveryDown, g.discoverySlow, g.watchesBroken, g.discoveryPath}, 3},
		{[]func(){g.sidecarsEnded, g.sidecarsPaused}, 2},
		{[]func(){g.machinesVanish, g.instancesSlow, g.instancesPaused, g.responsesCorrupted, g.instancesRejecting}, 3},
		{[]func(){g.pathCut, g.pathDegraded, g.pathReset}, 2},
	} {
		order := g.rng.Perm(len(kind.adders))
		for _, i := range order[:1+g.rng.IntN(kind.maxCount)] {
			kind.adders[i]()
		}
	}
	slices.SortStableFunc(g.scenario.Faults, func(a, b scenario.Fault) int { return int(a.At - b.At) })
}

func (g *generator) discoveryMoves() {
	g.add(scenario.Fault{Kind: "move-discovery", Count: 1 + g.rng.IntN(5), Interval: g.duration(200*time.Millisecond, 900*time.Millisecond)})
}

func (g *generator) discoveryDown() {
	g.add(scenario.Fault{Kind: "discovery-down", Duration: g.duration(time.Second, 8*time.Second)})
}

func (g *generator) discoverySlow() {
	g.add(scenario.Fault{Kind: "slow-discovery", Duration: g.duration(3*time.Second, 10*time.Second), Magnitude: float64(2 + g.rng.IntN(8))})
}

func (g *generator) watchesBroken() {
	g.add(scenario.Fault{Kind: "watches", Mode: choose(g, scenario.WatchesEnd, scenario.WatchesReset, scenario.WatchesSilent), Share: g.share(0.3, 1)})
}

func (g *generator) discoveryPath() {
	g.add(scenario.Fault{Kind: "path", Path: scenario.PathDiscovery, Duration: g.duration(2*time.Second, 9*time.Second), Share: g.share(0.2, 0.6),
		Mode: choose(g, "out", "back", "both")})
}

// sidecarsEnded restarts sidecars of the first tier by SIGTERM, or kills some of them, or kills some of another tier. It adds only
// one of the three, as each fault restarts the processes that it has ended.
func (g *generator) sidecarsEnded() {
	switch g.rng.IntN(3) {
	case 0:
		g.add(scenario.Fault{Kind: "restart-sidecar", Count: 1 + g.rng.IntN(2), SignalSeries: g.rng.IntN(2) == 0})
	case 1:
		g.add(scenario.Fault{Kind: "kill-sidecar", Tier: g.scenario.Tiers[0].Name, Share: g.share(0.2, 0.5), Duration: g.duration(0, 3*time.Second),
			DiscardList: g.rng.IntN(2) == 0})
	default:
		g.add(scenario.Fault{Kind: "kill-sidecar", Tier: g.scenario.Tiers[1+g.rng.IntN(len(g.scenario.Tiers)-1)].Name, Share: g.share(0.2, 0.5),
			Duration: g.duration(0, 3*time.Second), DiscardList: g.rng.IntN(2) == 0})
	}
}

func (g *generator) sidecarsPaused() {
	g.add(scenario.Fault{Kind: "stop-sidecar", Tier: g.scenario.Tiers[0].Name, Count: 1 + g.rng.IntN(2), Duration: g.duration(200*time.Millisecond, 4*time.Second)})
}

func (g *generator) machinesVanish() {
	g.add(scenario.Fault{Kind: "vanish", Duration: g.duration(2*time.Second, 6*time.Second), Share: g.share(0.1, 0.3)})
}

func (g *generator) instancesSlow() {
	g.add(scenario.Fault{Kind: "slow", Duration: g.duration(3*time.Second, 8*time.Second), Share: g.share(0.1, 0.4), Magnitude: float64(2 + g.rng.IntN(7))})
}

func (g *generator) instancesPaused() {
	g.add(scenario.Fault{Kind: "pauses", Duration: g.duration(3*time.Second, 8*time.Second), Share: g.share(0.1, 0.5),
		Interval: g.duration(time.Second, 3*time.Second), Span: g.duration(50*time.Millisecond, 700*time.Millisecond)})
}

func (g *generator) responsesCorrupted() {
	g.add(scenario.Fault{Kind: "spoilt", Duration: g.duration(2*time.Second, 8*time.Second), Share: g.share(0.1, 0.5), Magnitude: g.share(0.05, 0.5)})
}

func (g *generator) instancesRejecting() {
	g.add(scenario.Fault{Kind: "busy", Duration: g.duration(time.Second, 5*time.Second), Share: g.share(0.1, 0.5)})
}

func (g *generator) pathCut() {
	g.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: g.duration(2*time.Second, 8*time.Second), Share: g.share(0.1, 0.4),
		Mode: choose(g, "out", "back", "both"), TargetShare: g.share(0.2, 0.6)})
}

func (g *generator) pathDegraded() {
	g.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: g.duration(2*time.Second, 8*time.Second), Share: g.share(0.1, 0.5),
		Span: g.duration(20*time.Millisecond, 200*time.Millisecond), Magnitude: g.share(0, 0.1)})
}

func (g *generator) pathReset() {
	g.add(scenario.Fault{Kind: "path", Path: scenario.PathInstances, Duration: scenario.Duration(time.Second), Share: g.share(0.3, 1), ResetConnections: true})
}
