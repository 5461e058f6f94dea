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

var (
	effects       = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups        = map[string]balance.Group{"": balance.GroupAll, "all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}
	reportSources = map[string]balance.Via{"": balance.NoReports, "off": balance.NoReports, "inline": balance.OnAnswers, "on_probe": balance.OnProbes}
	reportFields  = map[string]balance.Field{"busy": balance.Util, "rif": balance.Inflight, "q": balance.Queue,
		"lat_ms": balance.LatencyMS, "rate": balance.QPS, "fail_rate": balance.EPS}
)

// Settings turns the text of a start event into the module's settings.
func ParseSettings(text []byte, seed uint64) (balance.Settings, error) {
	var f simulatorSettings
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
		Seed: seed, Me: f.Me, Balancers: max(f.PeersTotal, 1), Tier: f.Tier, Zone: f.Locality,
		Tick:           toDuration(f.ResolutionS),
		OverShareWorth: f.OverShareWorth,
		Goal: balance.Goal{Whole: m.Whole, WorstWindow: m.WorstWindow, WorstClass: m.WorstClass,
			WorstTenant: m.WorstTenant},
		Prices: balance.Prices{CrossZone: d.CrossZone, Waste: d.Waste, LateFail: d.LateFail, Probe: d.Probe, Peer: d.Peer},
		Limits: balance.Limits{Probes: p.Probes, Peers: p.Peers, Cancel: p.Cancel, SecondCopies: p.ParallelTries,
			RetryAfter: p.RetryAfter, MaxAttempts: p.SendCap, MaxRetryAfter: toDuration(p.MaxRetryAfterS)},
		Rules: balance.Rules{DrainGrace: toDuration(v.StopSendingWithinS), AskWithin: toDuration(v.AskWithinS), ColdShare: v.ColdShare,
			ColdTime: toDuration(v.ColdS), FallMultiple: v.OverloadFactor, FallTime: toDuration(v.TipAfterS)},
		Ask:           f.RegistryMode == "ask",
		UnitsMeanSize: f.Weights == "nominal" || f.Weights == "rough",
	}
	for i, c := range f.Profiles {
		effect, known := effects[c.Repeat]
		group, grouped := groups[c.Group]
		if !known || !grouped {
			return none, fmt.Errorf("settings: profile %d: unknown repeat %q or group %q", i, c.Repeat, c.Group)
		}
		s.Classes = append(s.Classes, balance.Class{Aim: toDuration(c.AimS), Deadline: toDuration(c.GiveUpS), Worth: c.Points,
			LateWorth: c.LateShare, Effect: effect, Group: group, Window: toDuration(c.WindowS), Stream: c.Stream})
	}
	for _, t := range f.Projects {
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	via, known := reportSources[f.Telemetry.Via]
	if !known {
		return none, fmt.Errorf("settings: unknown telemetry.via %q", f.Telemetry.Via)
	}
	s.Report.Via = via
	for _, name := range f.Telemetry.Fields {
		s.Report.Fields = append(s.Report.Fields, reportFields[name])
	}
	return s, nil
}

func toDuration(s float64) time.Duration { return decodeSeconds(math.Float64bits(s)) }
