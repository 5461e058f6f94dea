package config

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitewood/balance"
	"kitewood/internal/route"
	"kitewood/internal/transport"
)

// The words of the file and what they stand for.
var (
	effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	vias    = map[string]balance.ReportSource{"none": balance.NoReports, "answers": balance.OnResponses, "orca": balance.OnResponses, "probes": balance.OnProbes}
	fields  = map[string]balance.Field{"util": balance.Util, "inflight": balance.Inflight, "queue": balance.Queue,
		"latency_ms": balance.LatencyMS, "qps": balance.QPS, "eps": balance.EPS}
	// methods are those whose answers are read like those of GET: the answer to HEAD has a length and no body.
	methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const minSockets = transport.MinSockets

func (f *File) budget() (front, destinations int) {
	b := f.Budget()
	return b.ClientConns, b.UpstreamConns
}

// Budget divides the descriptors of the process.
func (f *File) Budget() transport.Budget {
	// Each further listener needs a descriptor and may be one connection ahead; each pool watches a list; files share one
	// watch of two descriptors, and an admin socket takes up to four.
	more := 2*max(len(f.Listeners)-1, 0) + len(f.Pools) + 2
	if f.Admin != "" {
		more += 4
	}
	return transport.NewBudget(max(f.Limits.Sockets-more, minSockets), int64(f.Limits.MemoryMB)<<20)
}

// SeedOf is the seed of a pool's random choices: no two pools draw the same.
func (f *File) SeedOf(pool string) uint64 {
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		seed = xxhash.Sum64String(f.Name)
	}
	return seed ^ xxhash.Sum64String(pool)
}

// Module is the decision module's settings for a pool. News of destinations has to be asked for where discovery gives it.
func (p *Pool) BalancerSettings(seed uint64) balance.Settings {
	s := balance.Settings{
		Seed: seed, Index: p.Sidecars.Me, Balancers: p.Sidecars.Of, Zone: max(slices.Index(p.Zones, p.Zone), 0),
		Objective: balance.Objective{Overall: 1},
		Penalties: balance.Penalties{Waste: 0.02, LateFailure: 0.03, Probe: 0.001},
		Report:    balance.Report{Source: vias[p.Reports.Source]},
		Limits: balance.Limits{Probes: p.Probes, Cancel: true, RetryAfter: p.RetryAfter > 0, MaxAttempts: p.Attempts,
			MaxRetryAfter: p.RetryAfter.D(), RetryShare: p.Retries.Share, RetryBurst: p.Retries.Burst},
		Rules: balance.Rules{DrainGrace: 500 * time.Millisecond, DiscoveryInterval: 10 * time.Second, SlowStartShare: p.Cold.Share, SlowStartTime: p.Cold.Time.D(),
			OverloadMultiple: p.Cold.Multiple, OverloadWindow: p.Cold.Window.D()},
		PollDiscovery:    p.Members.Discovery != "",
		UnitsAreCapacity: true,
	}
	if p.Inner {
		s.Tier = 1
	}
	for _, name := range p.Reports.Fields {
		s.Report.Fields = append(s.Report.Fields, fields[name])
	}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, balance.Class{LatencyTarget: c.Aim.D(), Deadline: c.Deadline.D(), Utility: c.Worth,
			LateUtility: c.LateWorth, Effect: effects[c.Effect], DedupWindow: c.Window.D()})
	}
	return s
}

func (r *Route) rule(target int) route.Rule {
	rule := route.Rule{Hosts: r.Hosts, Path: r.Path, Class: r.Class, Target: target}
	if r.Exact != "" {
		rule.Path, rule.Exact = r.Exact, true
	}
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		rule.Headers = append(rule.Headers, route.Header{Name: name, Value: r.Headers[name]})
	}
	return rule
}

// Table compiles the routes. A match's target is the place of its route in the file.
func (f *File) Table() (*route.Table, error) {
	rules := make([]route.Rule, 0, len(f.Routes))
	for i := range f.Routes {
		rules = append(rules, f.Routes[i].rule(i))
	}
	return route.New(rules)
}
