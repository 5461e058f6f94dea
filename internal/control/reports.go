package control

import (
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/loads"
	"kitewood/internal/routing"
)

// reports merges what proxies report and feeds the pools. It implements xdsserver.Reports.
type reports struct {
	service *Service

	mu      sync.Mutex
	loads   *loads.Aggregator
	waiting map[*pool]map[string]bool // destinations that told of themselves and that the pool has not learnt of
}

// Take takes a proxy's report and has the pool learn what all proxies together saw.
func (r *reports) OnReport(proxy, cluster string, interval time.Duration, stats map[string]loads.Stats) {
	p := r.service.pools[cluster]
	if p == nil {
		return
	}
	r.mu.Lock()
	now := r.service.clock.Now()
	r.loads.RecordProxyReport(now, proxy, cluster, interval, stats)
	r.mu.Unlock()
	merged := r.merged(p)
	open, served := 0.0, 0.0
	for _, x := range merged {
		open, served = open+x.Inflight, served+x.QPS
	}
	p.refusal.take(now, p.set.RejectShare(open, served)) // before the event, after which it is looked at
	observe(p, stats, merged)
}

// observe has a pool learn the readings of some of its destinations; the others have been told already.
func observe[V any](p *pool, some map[string]V, merged map[string]loads.EndpointLoad) {
	all := make([]routing.Observation, 0, len(some))
	for address := range some {
		if x, there := merged[address]; there {
			all = append(all, observationOf(p.set, address, x))
		}
	}
	p.loop.Observe(all)
}

// Leave forgets a proxy.
func (r *reports) OnDisconnect(proxy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.RemoveProxy(proxy)
}

// ages tells how old each proxy's newest report is.
func (r *reports) ages() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.ReportAges(r.service.clock.Now())
}

// The names of metrics under which instances tell their utilisation, in the order of trust: ORCA's own, then the
// platform's word.
var utilNames = []string{"application_utilization", "cpu_utilization", "util"}

// observationOf is a reading in the order of a pool's report fields. Without utilisation it is no report.
func observationOf(set balance.Settings, address string, x loads.EndpointLoad) routing.Observation {
	o := routing.Observation{Address: address, FailureShare: -1}
	if x.Outcomes > 0 {
		o.FailureShare = x.FailureShare
	}
	load := make([]float32, len(set.Report.Fields))
	for i, f := range set.Report.Fields {
		switch f {
		case balance.Inflight:
			load[i] = float32(x.Inflight)
		case balance.QPS:
			load[i] = float32(x.QPS)
		case balance.EPS:
			load[i] = float32(x.EPS)
		case balance.Util:
			known := false
			for _, name := range utilNames {
				if v, there := x.Metrics[name]; there && !known {
					load[i], known = float32(v), true
				}
			}
			if !known {
				return o
			}
		}
	}
	o.Load = load
	return o
}
