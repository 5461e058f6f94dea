package control

import (
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/loads"
	"kitewood/internal/routing"
)

// reports merges load reports of proxies and endpoints and passes the result to the pools. It implements
// xdsserver.LoadReportHandler.
type reports struct {
	service *Service

	mu      sync.Mutex
	loads   *loads.Aggregator
	pending map[*pool]map[string]bool // addresses whose own reports have not been passed to the pool yet
}

// OnReport stores a proxy's load report and passes the merged loads of the reported endpoints to the pool.
func (r *reports) OnReport(proxy, cluster string, interval time.Duration, stats map[string]loads.Stats) {
	p := r.service.pools[cluster]
	if p == nil {
		return
	}
	r.mu.Lock()
	now := r.service.clock.Now()
	r.loads.RecordProxyReport(now, proxy, cluster, interval, stats)
	r.mu.Unlock()
	merged := r.merge(p)
	inflight, qps := 0.0, 0.0
	for _, x := range merged {
		inflight, qps = inflight+x.Inflight, qps+x.QPS
	}
	p.rejection.update(now, p.settings.RejectShare(inflight, qps)) // before observe, after which the share is read
	observe(p, stats, merged)
}

// observe passes the merged loads of the endpoints in reported to a pool; those of the others have been passed before.
func observe[V any](p *pool, reported map[string]V, merged map[string]loads.EndpointLoad) {
	observations := make([]routing.Observation, 0, len(reported))
	for address := range reported {
		if x, ok := merged[address]; ok {
			observations = append(observations, newObservation(p.settings, address, x))
		}
	}
	p.loop.Observe(observations)
}

// OnDisconnect removes a proxy's reports.
func (r *reports) OnDisconnect(proxy string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.RemoveProxy(proxy)
}

// reportAges returns the age of each proxy's newest report.
func (r *reports) reportAges() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.ReportAges(r.service.clock.Now())
}

// utilisationMetrics are the names of metrics under which endpoints report their utilisation, most trusted first: ORCA's own,
// then the platform's.
var utilisationMetrics = []string{"application_utilization", "cpu_utilization", "util"}

// newObservation converts an endpoint load to an observation whose load has the order of the pool's report fields. Where the
// fields include utilisation and the metrics have none, the observation carries no load.
func newObservation(set balance.Settings, address string, endpointLoad loads.EndpointLoad) routing.Observation {
	o := routing.Observation{Address: address, FailureShare: -1}
	if endpointLoad.Outcomes > 0 {
		o.FailureShare = endpointLoad.FailureShare
	}
	load := make([]float32, len(set.Report.Fields))
	for i, f := range set.Report.Fields {
		switch f {
		case balance.Inflight:
			load[i] = float32(endpointLoad.Inflight)
		case balance.QPS:
			load[i] = float32(endpointLoad.QPS)
		case balance.EPS:
			load[i] = float32(endpointLoad.EPS)
		case balance.Util:
			known := false
			for _, name := range utilisationMetrics {
				if v, ok := endpointLoad.Metrics[name]; ok && !known {
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
