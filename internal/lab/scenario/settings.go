package scenario

import (
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
)

// reportFieldNames maps the names of load report values in the protocol to their names in the settings.
var reportFieldNames = map[string]string{"queue": "q", "inflight": "rif", "qps": "rate", "util": "busy"}

// Slack is the tolerance that the protocol adds to every time limit.
const Slack = 50 * time.Millisecond

// Settings returns the settings object of a sidecar of a tier, with the keys and units of the platform. The sidecar is number me
// of peers.
func (s *Scenario) Settings(tier, me, peers int) map[string]any {
	t := &s.Tiers[tier]
	var profiles []any
	for _, c := range s.Classes {
		profiles = append(profiles, map[string]any{"name": c.Name, "aimS": c.LatencyTarget.D().Seconds(), "giveUpS": c.TotalTimeout.D().Seconds(),
			"group": "all", "lateShare": 0.0, "points": c.Utility, "repeat": c.Effect, "stream": false, "windowS": 5.0})
	}
	var fields, tiers, shapes []string
	for _, f := range t.LoadReports.Fields {
		fields = append(fields, reportFieldNames[f])
	}
	for i := range s.Tiers {
		tiers = append(tiers, s.Tiers[i].Name)
	}
	for _, k := range t.Kinds {
		shapes = append(shapes, k.Name)
	}
	via := "inline"
	if len(fields) == 0 {
		via = "off"
	}
	g := &s.Objective
	return map[string]any{
		"clients": map[string]any{"marksRetry": true}, "countedBy": g.UtilityPer, "family": "chain",
		"familyInfo": map[string]any{"passesDeadline": true},
		"deductions": map[string]any{"crossZone": 0.0, "waste": g.Waste, "lateFail": g.LateFailure, "probe": g.Probes, "peer": 0.0,
			"handshake": g.Connection},
		"invariants": map[string]any{"askWithinS": 10.0, "coldS": t.ColdStart.Duration.D().Seconds(), "coldShare": t.ColdStart.InitialShare,
			"graceToAnswerS": 0.02, "overloadFactor": t.ColdStart.LoadFactor, "stopSendingWithinS": 0.5, "tipAfterS": t.ColdStart.Window.D().Seconds()},
		"locality": 0, "me": me, "peersTotal": peers,
		"objectiveMix": map[string]any{"whole": g.WholeRun, "worstClass": g.WorstClass, "worstTenant": 0.0, "worstWindow": g.WorstWindow},
		"permissions": map[string]any{"cancel": true, "connIdleS": t.Connections.IdleTimeout.D().Seconds(), "connectTimeoutS": 0.25,
			"maxRetryAfterS": 2.0, "mostHeld": 10000, "parallelTries": false, "peers": false, "probes": true, "retryAfter": true,
			"sendCap": s.Sidecar.MaxAttempts, "streamsPerConn": 1},
		"profiles": profiles, "projects": []any{}, "registryMode": "ask", "resolutionS": 0.005, "shapes": shapes,
		"telemetry": map[string]any{"fields": fields, "via": via}, "tier": tier, "tiers": tiers, "weights": "off",
		"zones": []string{s.Zone},
	}
}

// Header fields in which services pass on the chain header, and clients identify themselves.
const (
	ChainField  = "X-Chain"
	OriginField = "X-Customer"
)

// Pool returns the pool of a YAML configuration for a sidecar of a tier, without its members. The sidecar is number me of peers.
func (s *Scenario) Pool(tier, me, peers int) map[string]any {
	type object = map[string]any
	t, c := &s.Tiers[tier], &s.Sidecar
	var classes []object
	for _, class := range s.Classes {
		classes = append(classes, object{"name": class.Name, "effect": class.Effect, "aim": class.LatencyTarget.D().String(), "deadline": class.TotalTimeout.D().String(), "worth": class.Utility})
	}
	reports := object{"via": "none"}
	if len(t.LoadReports.Fields) > 0 {
		reports = object{"via": "answers", "fields": t.LoadReports.Fields}
	}
	p := object{"name": t.Name, "classes": classes, "inner": tier > 0, "zone": s.Zone, "zones": []string{s.Zone}, "reports": reports,
		"attempts": c.MaxAttempts, "sidecars": object{"me": me, "of": peers}, "connections": object{"idle": t.Connections.IdleTimeout.D().String()},
		"cold": object{"share": t.ColdStart.InitialShare, "time": t.ColdStart.Duration.D().String(), "multiple": t.ColdStart.LoadFactor, "window": t.ColdStart.Window.D().String()}}
	if c.Chain {
		p["chain"] = object{"header": ChainField, "repeat_declined": c.RetryDeclined}
	}
	if c.Origin {
		p["origin"] = OriginField
	}
	if c.RetryShare > 0 || c.RetryBurst > 0 {
		p["retries"] = object{"share": c.RetryShare, "burst": c.RetryBurst}
	}
	return p
}

// Rules returns the parameters of the rules that the ledger of a run is checked against.
func (s *Scenario) Rules() ledger.Rules {
	r := ledger.Rules{Slack: Slack, DrainGrace: 500 * time.Millisecond, NotifiedWithin: 6 * time.Second}
	for _, c := range s.Classes {
		r.RetrySafe = append(r.RetrySafe, c.Effect == "safe")
	}
	for _, t := range s.Tiers {
		slowStart := ledger.SlowStart{InitialShare: t.ColdStart.InitialShare, Duration: t.ColdStart.Duration.D(), Window: t.ColdStart.Window.D()}
		if t.ColdStart.LoadFactor > 0 {
			slowStart.WorkBudget = s.coldStart(&t).Budget
		}
		r.SlowStart = append(r.SlowStart, slowStart)
	}
	return r
}

// LedgerObjective returns the objective by which the service of a run is measured from its ledger.
func (s *Scenario) LedgerObjective() ledger.Objective {
	g := &s.Objective
	out := ledger.Objective{WholeRun: g.WholeRun, WorstWindow: g.WorstWindow, WorstClass: g.WorstClass, LateFailure: g.LateFailure, Waste: g.Waste,
		Connection: g.Connection, Probes: g.Probes, Window: g.Window.D(), UtilityPerWork: g.UtilityPer == "work", Warmup: s.Warmup.D()}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, ledger.ClassObjective{Name: c.Name, Utility: c.Utility, LatencyTarget: c.LatencyTarget.D()})
	}
	return out
}

// ClientModel returns the request classes and the client behavior in the types of package model.
func (s *Scenario) ClientModel() ([]model.Class, model.ClientBehavior) {
	var classes []model.Class
	for _, c := range s.Classes {
		classes = append(classes, model.Class{Name: c.Name, Share: c.Share, Work: c.Work.D(), WorkCV: c.WorkCV, Utility: c.Utility,
			LatencyTarget: c.LatencyTarget.D(), TotalTimeout: c.TotalTimeout.D(), Safe: c.Effect == "safe"})
	}
	b := s.Clients
	return classes, model.ClientBehavior{MaxRetries: b.MaxRetries, AttemptTimeoutShare: b.AttemptTimeoutShare, Backoff: b.Backoff.D(), HonorRetryAfter: b.HonorRetryAfter}
}
