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

// Values of settings and their meaning.
var (
	effects       = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	reportSources = map[string]balance.ReportSource{"none": balance.NoReports, "answers": balance.OnResponses, "orca": balance.OnResponses, "probes": balance.OnProbes}
	reportFields  = map[string]balance.Field{"util": balance.Util, "inflight": balance.Inflight, "queue": balance.Queue,
		"latency_ms": balance.LatencyMS, "qps": balance.QPS, "eps": balance.EPS}
	// methods are those whose responses are read like those of GET. HEAD is not: its response has a length and no body.
	methods = []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// minSockets is the minimum number of descriptors of a process.
const minSockets = transport.MinSockets

// connectionLimits returns the maximum numbers of client connections and of connections to endpoints.
func (f *File) connectionLimits() (clients, upstream int) {
	b := f.Budget()
	return b.ClientConns, b.UpstreamConns
}

// Budget divides the descriptors of the process among its kinds of connections.
func (f *File) Budget() transport.Budget {
	// Beyond the reserve of a single listener: each further listener needs a descriptor and may have accepted one connection
	// more, each pool watches an endpoint list, all files share one watcher of two descriptors, and the admin socket needs up to
	// four.
	extra := 2*max(len(f.Listeners)-1, 0) + len(f.Pools) + 2
	if f.Admin != "" {
		extra += 4
	}
	return transport.NewBudget(max(f.Limits.Sockets-extra, minSockets), int64(f.Limits.MemoryMB)<<20)
}

// SeedOf returns the seed of a pool's random choices. It differs between pools, so that they do not make the same choices.
func (f *File) SeedOf(pool string) uint64 {
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		seed = xxhash.Sum64String(f.Name)
	}
	return seed ^ xxhash.Sum64String(pool)
}

// BalancerSettings returns the settings of package balance for a pool. If the endpoint list comes from discovery, the balancer
// has to ask for updates.
func (p *Pool) BalancerSettings(seed uint64) balance.Settings {
	s := balance.Settings{
		Seed: seed, Index: p.Sidecars.Index, Balancers: p.Sidecars.Count, Zone: max(slices.Index(p.Zones, p.Zone), 0),
		Objective: balance.Objective{Overall: 1},
		Penalties: balance.Penalties{Waste: 0.02, LateFailure: 0.03, Probe: 0.001},
		Report:    balance.Report{Source: reportSources[p.Reports.Source]},
		Limits: balance.Limits{Probes: p.Probes, Cancel: true, RetryAfter: p.RetryAfter > 0, MaxAttempts: p.Attempts,
			MaxRetryAfter: p.RetryAfter.D(), RetryShare: p.Retries.Share, RetryBurst: p.Retries.Burst},
		Rules: balance.Rules{DrainGrace: 500 * time.Millisecond, DiscoveryInterval: 10 * time.Second, SlowStartShare: p.SlowStart.Share, SlowStartTime: p.SlowStart.Time.D(),
			OverloadMultiple: p.SlowStart.OverloadMultiple, OverloadWindow: p.SlowStart.OverloadWindow.D()},
		PollDiscovery:    p.Members.Discovery != "",
		UnitsAreCapacity: true,
	}
	if p.InnerTier {
		s.Tier = 1
	}
	for _, name := range p.Reports.Fields {
		s.Report.Fields = append(s.Report.Fields, reportFields[name])
	}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, balance.Class{LatencyTarget: c.LatencyTarget.D(), Deadline: c.Deadline.D(), Utility: c.Utility,
			LateUtility: c.LateUtility, Effect: effects[c.Effect], DedupWindow: c.DedupWindow.D()})
	}
	return s
}

// rule returns the route as a rule of package route.
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

// Table compiles the routes. The target of a match is the index of its route in the file.
func (f *File) Table() (*route.Table, error) {
	rules := make([]route.Rule, 0, len(f.Routes))
	for i := range f.Routes {
		rules = append(rules, f.Routes[i].rule(i))
	}
	return route.New(rules)
}
