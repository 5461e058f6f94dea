package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"kitewood/balance"
)

// simulatorSettings is the simulator's settings object, as far as the decision module uses it. Unknown keys are ignored.
// The field names match the keys of the JSON object.
type simulatorSettings struct {
	Deductions struct {
		CrossZone, Waste, LateFail, Probe, Peer float64
	}
	Invariants *struct {
		AskWithinS, ColdS, ColdShare, OverloadFactor, StopSendingWithinS, TipAfterS float64
	}
	Locality     int
	Me           int
	ObjectiveMix struct {
		Whole, WorstWindow, WorstClass, WorstTenant float64
	}
	OverShareWorth float64
	PeersTotal     int
	Permissions    *struct {
		Cancel, ParallelTries, Peers, Probes, RetryAfter bool
		MaxRetryAfterS                                   float64
		SendCap                                          int
	}
	Profiles []struct {
		AimS, GiveUpS, LateShare, Points, WindowS float64
		Group, Repeat                             string
		Stream                                    bool
	}
	Projects []struct {
		Portion, QuotaPerS float64
	}
	RegistryMode string
	ResolutionS  float64
	Telemetry    struct {
		Fields []string
		Via    string
	}
	Tier    int
	Weights string
}

// The simulator's names for values of package balance.
var (
	effects       = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups        = map[string]balance.DedupScope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
	reportSources = map[string]balance.ReportSource{"": balance.NoReports, "off": balance.NoReports, "inline": balance.OnResponses, "on_probe": balance.OnProbes}
	reportFields  = map[string]balance.Field{"busy": balance.Util, "rif": balance.Inflight, "q": balance.Queue,
		"lat_ms": balance.LatencyMS, "rate": balance.QPS, "fail_rate": balance.EPS}
)

// ParseSettings converts the JSON text of a start event to the settings of the decision module.
func ParseSettings(text []byte, seed uint64) (balance.Settings, error) {
	var in simulatorSettings
	zero := balance.Settings{}
	if err := json.Unmarshal(text, &in); err != nil {
		return zero, fmt.Errorf("settings: %w", err)
	}
	switch {
	case len(in.Profiles) == 0:
		return zero, errors.New("settings: profiles are missing")
	case in.Permissions == nil:
		return zero, errors.New("settings: permissions are missing")
	case in.Invariants == nil:
		return zero, errors.New("settings: invariants are missing")
	case in.RegistryMode != "push" && in.RegistryMode != "ask":
		return zero, fmt.Errorf("settings: registryMode %q is neither push nor ask", in.RegistryMode)
	}
	permissions, invariants, deductions, mix := in.Permissions, in.Invariants, &in.Deductions, &in.ObjectiveMix
	s := balance.Settings{
		Seed: seed, Index: in.Me, Balancers: max(in.PeersTotal, 1), Tier: in.Tier, Zone: in.Locality,
		Tick:             toDuration(in.ResolutionS),
		OverShareUtility: in.OverShareWorth,
		Objective: balance.Objective{Overall: mix.Whole, WorstWindow: mix.WorstWindow, WorstClass: mix.WorstClass,
			WorstTenant: mix.WorstTenant},
		Penalties: balance.Penalties{CrossZone: deductions.CrossZone, Waste: deductions.Waste, LateFailure: deductions.LateFail,
			Probe: deductions.Probe, Peer: deductions.Peer},
		Limits: balance.Limits{Probes: permissions.Probes, Peers: permissions.Peers, Cancel: permissions.Cancel,
			Hedging: permissions.ParallelTries, RetryAfter: permissions.RetryAfter, MaxAttempts: permissions.SendCap,
			MaxRetryAfter: toDuration(permissions.MaxRetryAfterS)},
		Rules: balance.Rules{DrainGrace: toDuration(invariants.StopSendingWithinS), DiscoveryInterval: toDuration(invariants.AskWithinS),
			SlowStartShare: invariants.ColdShare, SlowStartTime: toDuration(invariants.ColdS), OverloadMultiple: invariants.OverloadFactor,
			OverloadWindow: toDuration(invariants.TipAfterS)},
		PollDiscovery:    in.RegistryMode == "ask",
		UnitsAreCapacity: in.Weights == "nominal" || in.Weights == "rough",
	}
	for i, c := range in.Profiles {
		effect, effectKnown := effects[c.Repeat]
		group, groupKnown := groups[c.Group]
		if !effectKnown || !groupKnown {
			return zero, fmt.Errorf("settings: profile %d: unknown repeat %q or group %q", i, c.Repeat, c.Group)
		}
		s.Classes = append(s.Classes, balance.Class{LatencyTarget: toDuration(c.AimS), Deadline: toDuration(c.GiveUpS), Utility: c.Points,
			LateUtility: c.LateShare, Effect: effect, DedupScope: group, DedupWindow: toDuration(c.WindowS), Stream: c.Stream})
	}
	for _, t := range in.Projects {
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	source, known := reportSources[in.Telemetry.Via]
	if !known {
		return zero, fmt.Errorf("settings: unknown telemetry.via %q", in.Telemetry.Via)
	}
	s.Report.Source = source
	for _, name := range in.Telemetry.Fields {
		s.Report.Fields = append(s.Report.Fields, reportFields[name])
	}
	return s, nil
}

// toDuration converts seconds to a Duration.
func toDuration(seconds float64) time.Duration { return decodeSeconds(math.Float64bits(seconds)) }
