// Package loads merges what several proxies, each with its own reporting interval, report about the same endpoints into one
// load per endpoint. It does no I/O and reads no clock.
//
// The rules:
//
//   - The last report of each proxy counts until it is stale or the proxy has left. A new report replaces the previous one of
//     the same proxy; the two are never added up.
//   - Requests in progress and rates are summed over proxies, as each sees only its own requests.
//   - A metric that endpoints report in their responses is averaged over all samples, so a proxy that sent more requests has
//     more influence. Samples that are negative, infinite or NaN are dropped.
//   - A report that an endpoint sends on a stream of its own takes precedence over the metrics that proxies pass on. Its rates
//     are used only if no proxy reports on the endpoint. It becomes stale in the same way as a proxy's report.
//   - The failure share is computed over the outcomes of all proxies, so that one proxy with a broken network does not condemn
//     an endpoint that serves the others.
//   - An endpoint that fails many requests and still serves a fraction of what the others serve is overloaded, not broken, as
//     proxies count rejected requests among the failures. Its failure share is capped at half, which is not enough to eject it:
//     the other endpoints would take over its requests and become overloaded in turn.
package loads

import (
	"maps"
	"math"
	"time"
)

// staleIntervals is the age, in reporting intervals, at which a report becomes stale. One report may be late; two missing ones
// mean that the reporter is silent.
const staleIntervals = 3

// minServedRatio is the request rate, relative to the mean over endpoints, from which a failing endpoint counts as overloaded
// rather than broken. An endpoint that is slow under a long queue reaches it; one that answers a few requests by chance does not.
const minServedRatio = 0.1

// maxOverloadedFailureShare caps the failure share of an overloaded endpoint.
const maxOverloadedFailureShare = 0.5

// Stats is what a proxy measured of an endpoint over an interval.
type Stats struct {
	InProgress uint64 // at the end of the interval
	OK         uint64
	Failed     uint64
	Metrics    map[string]Metric
}

// Metric sums up the samples of a metric that an endpoint reported.
type Metric struct {
	Samples uint64
	Sum     float64
}

// EndpointLoad is the merged load of an endpoint.
type EndpointLoad struct {
	Proxies      int // number of proxies whose reports count
	Inflight     float64
	QPS          float64 // requests served per second
	EPS          float64 // failures per second
	Outcomes     uint64  // over the last interval of each proxy
	FailureShare float64 // of Outcomes; at most maxOverloadedFailureShare if the endpoint is overloaded
	Metrics      map[string]float64
}

// metricKey identifies a metric of an endpoint.
type metricKey struct{ endpoint, name string }

// proxyReport is the last report of a proxy on a cluster.
type proxyReport struct {
	receivedAt time.Duration
	interval   time.Duration
	stats      map[string]Stats
}

// EndpointReport is what an endpoint reports of itself on a stream of its own.
type EndpointReport struct {
	QPS, EPS float64
	Metrics  map[string]float64
}

// receivedEndpointReport is the last EndpointReport of an endpoint.
type receivedEndpointReport struct {
	receivedAt time.Duration
	interval   time.Duration
	EndpointReport
}

// Aggregator holds the last reports. It is not safe for concurrent use.
type Aggregator struct {
	proxies         map[string]map[string]proxyReport            // by proxy and cluster
	endpointReports map[string]map[string]receivedEndpointReport // by cluster and endpoint
}

// New returns an Aggregator without reports.
func New() *Aggregator {
	return &Aggregator{proxies: map[string]map[string]proxyReport{}, endpointReports: map[string]map[string]receivedEndpointReport{}}
}

// RecordEndpointReport records what an endpoint of a cluster reports of itself. It ignores a report whose interval is not above 0.
func (a *Aggregator) RecordEndpointReport(now time.Duration, cluster, endpoint string, interval time.Duration, report EndpointReport) {
	if interval <= 0 {
		return
	}
	if a.endpointReports[cluster] == nil {
		a.endpointReports[cluster] = map[string]receivedEndpointReport{}
	}
	a.endpointReports[cluster][endpoint] = receivedEndpointReport{now, interval, report}
}

// RecordProxyReport records a proxy's report on a cluster. It ignores a report whose interval is not above 0.
func (a *Aggregator) RecordProxyReport(now time.Duration, proxy, cluster string, interval time.Duration, stats map[string]Stats) {
	if interval <= 0 {
		return
	}
	if a.proxies[proxy] == nil {
		a.proxies[proxy] = map[string]proxyReport{}
	}
	a.proxies[proxy][cluster] = proxyReport{now, interval, stats}
}

// RemoveProxy drops the reports of a proxy that has left: its requests in progress are no longer known.
func (a *Aggregator) RemoveProxy(proxy string) { delete(a.proxies, proxy) }

// Merge returns the loads of a cluster's endpoints by endpoint. It drops the cluster's stale reports.
func (a *Aggregator) Merge(now time.Duration, cluster string) map[string]EndpointLoad {
	out := map[string]EndpointLoad{}
	sums := map[metricKey]Metric{}
	failed := map[string]uint64{}
	for proxy, clusters := range a.proxies {
		report, found := clusters[cluster]
		if !found {
			continue
		}
		if now-report.receivedAt >= staleIntervals*report.interval {
			if delete(clusters, cluster); len(clusters) == 0 {
				delete(a.proxies, proxy)
			}
			continue
		}
		seconds := report.interval.Seconds()
		for endpoint, s := range report.stats {
			load := out[endpoint]
			load.Proxies++
			load.Inflight += float64(s.InProgress)
			load.QPS += float64(s.OK) / seconds
			load.EPS += float64(s.Failed) / seconds
			load.Outcomes += s.OK + s.Failed
			failed[endpoint] += s.Failed
			out[endpoint] = load
			for name, m := range s.Metrics {
				if m.Samples == 0 || !(m.Sum >= 0) || math.IsInf(m.Sum, 0) {
					continue
				}
				sum := sums[metricKey{endpoint, name}]
				sums[metricKey{endpoint, name}] = Metric{sum.Samples + m.Samples, sum.Sum + m.Sum}
			}
		}
	}
	meanServed := 0.0
	for _, load := range out {
		meanServed += load.QPS / float64(len(out))
	}
	for endpoint, load := range out {
		if load.Outcomes > 0 {
			load.FailureShare = float64(failed[endpoint]) / float64(load.Outcomes)
		}
		if load.QPS > 0 && load.QPS >= minServedRatio*meanServed {
			load.FailureShare = min(load.FailureShare, maxOverloadedFailureShare)
		}
		load.Metrics = map[string]float64{}
		out[endpoint] = load
	}
	for key, m := range sums {
		out[key.endpoint].Metrics[key.name] = m.Sum / float64(m.Samples)
	}
	for endpoint, own := range a.endpointReports[cluster] {
		if now-own.receivedAt >= staleIntervals*own.interval {
			delete(a.endpointReports[cluster], endpoint)
			continue
		}
		load, seen := out[endpoint]
		if !seen {
			load = EndpointLoad{Inflight: own.Metrics["inflight"], QPS: max(0, own.EndpointReport.QPS-own.EPS), EPS: own.EPS, Metrics: map[string]float64{}}
		}
		maps.Copy(load.Metrics, own.Metrics)
		out[endpoint] = load
	}
	return out
}

// ReportAges returns the age of each proxy's newest report.
func (a *Aggregator) ReportAges(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for proxy, clusters := range a.proxies {
		for _, report := range clusters {
			if age, found := out[proxy]; !found || now-report.receivedAt < age {
				out[proxy] = now - report.receivedAt
			}
		}
	}
	return out
}
