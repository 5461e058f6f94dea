package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"kitewood/balance"
)

// facts is the settings object of the dialect, as far as the module uses it. Unknown keys are ignored.
type facts struct {
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

var (
	effects   = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups    = map[string]balance.DedupScope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
	vias      = map[string]balance.ReportSource{"": balance.NoReports, "off": balance.NoReports, "inline": balance.OnResponses, "on_probe": balance.OnProbes}
	loadNames = map[string]balance.Field{"busy": balance.Util, "rif": balance.Inflight, "q": balance.Queue,
		"lat_ms": balance.LatencyMS, "rate": balance.QPS, "fail_rate": balance.EPS}
)

// Settings turns the text of a start event into the module's settings.
func ParseSettings(text []byte, seed uint64) (balance.Settings, error) {
	var f facts
	none := balance.Settings{}
	if err := json.Unmarshal(text, &f); err != nil {
		return none, fmt.Errorf("settings: %w", err)
	}
	switch {
	case len(f.Profiles) == 0:
		return none, errors.New("settings: profiles are missing")
	case f.Permissions == nil:
		return none, errors.New("settings: permissions are missing")
	case f.Invariants == nil:
		return none, errors.New("settings: invariants are missing")
	case f.RegistryMode != "push" && f.RegistryMode != "ask":
		return none, fmt.Errorf("settings: registryMode %q is neither push nor ask", f.RegistryMode)
	}
	p, v, d, m := f.Permissions, f.Invariants, &f.Deductions, &f.ObjectiveMix
	s := balance.Settings{
		Seed: seed, Index: f.Me, Balancers: max(f.PeersTotal, 1), Tier: f.Tier, Zone: f.Locality,
		Tick:             span(f.ResolutionS),
		OverShareUtility: f.OverShareWorth,
		Objective: balance.Objective{Overall: m.Whole, WorstWindow: m.WorstWindow, WorstClass: m.WorstClass,
			WorstTenant: m.WorstTenant},
		Penalties: balance.Penalties{CrossZone: d.CrossZone, Waste: d.Waste, LateFailure: d.LateFail, Probe: d.Probe, Peer: d.Peer},
		Limits: balance.Limits{Probes: p.Probes, Peers: p.Peers, Cancel: p.Cancel, Hedging: p.ParallelTries,
			RetryAfter: p.RetryAfter, MaxAttempts: p.SendCap, MaxRetryAfter: span(p.MaxRetryAfterS)},
		Rules: balance.Rules{DrainGrace: span(v.StopSendingWithinS), DiscoveryInterval: span(v.AskWithinS), SlowStartShare: v.ColdShare,
			SlowStartTime: span(v.ColdS), OverloadMultiple: v.OverloadFactor, OverloadWindow: span(v.TipAfterS)},
		PollDiscovery:    f.RegistryMode == "ask",
		UnitsAreCapacity: f.Weights == "nominal" || f.Weights == "rough",
	}
	for i, c := range f.Profiles {
		effect, known := effects[c.Repeat]
		group, grouped := groups[c.Group]
		if !known || !grouped {
			return none, fmt.Errorf("settings: profile %d: unknown repeat %q or group %q", i, c.Repeat, c.Group)
		}
		s.Classes = append(s.Classes, balance.Class{LatencyTarget: span(c.AimS), Deadline: span(c.GiveUpS), Utility: c.Points,
			LateUtility: c.LateShare, Effect: effect, DedupScope: group, DedupWindow: span(c.WindowS), Stream: c.Stream})
	}
	for _, t := range f.Projects {
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	via, known := vias[f.Telemetry.Via]
	if !known {
		return none, fmt.Errorf("settings: unknown telemetry.via %q", f.Telemetry.Via)
	}
	s.Report.Source = via
	for _, name := range f.Telemetry.Fields {
		s.Report.Fields = append(s.Report.Fields, loadNames[name])
	}
	return s, nil
}

func span(s float64) time.Duration { return seconds(math.Float64bits(s)) }
