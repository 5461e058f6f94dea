// Package loads merges what several proxies report of the same endpoints, over intervals of their own, into one reading of
// each. It is a core: it knows no socket and no clock.
//
// The rules:
//
//   - The last report of each proxy counts, until it is stale or the proxy has left. What a proxy reported before is
//     replaced, never added to.
//   - Requests in progress and rates are added over proxies: each sees its own requests alone.
//   - A metric that instances tell of themselves is the mean of the samples, weighted by their number: a proxy that sent
//     more requests has seen more. Samples that are no finite number from 0 up are dropped.
//   - What an endpoint tells of itself on a stream of its own counts before the metrics that proxies pass on, and its rates where
//     no proxy reports on it. It is stale as a proxy's report is.
//   - Failures are counted over all outcomes of all proxies, so one proxy whose own network is broken does not condemn an
//     endpoint that serves the others.
//   - An endpoint that fails many and still serves a part of what the others serve is full, not broken: proxies report
//     what was turned away among the failures. Its failures count as half of its outcomes at the most, which is not enough to
//     eject it: the others would take over what it serves and fill up in turn.
package loads

import (
	"maps"
	"math"
	"time"
)

// stale is how many of its intervals a proxy's report counts for. One may be late; two missing are silence.
const stale = 3

// An endpoint that serves at least serves of what the mean endpoint does is full rather than broken: one that crawls
// under its queue passes, one whose few good answers are chance does not.
const serves = 0.1

// fullFailed is the share of failures that an endpoint which is full has at the most.
const fullFailed = 0.5

// Stats is what a proxy saw of an endpoint over an interval.
type Stats struct {
	InProgress uint64 // at the end of the interval
	OK         uint64
	Failed     uint64
	Metrics    map[string]Metric
}

// Metric is the samples of a metric that an endpoint told of itself.
type Metric struct {
	Samples uint64
	Sum     float64
}

// Reading is what all proxies together saw of an endpoint.
type EndpointLoad struct {
	Proxies      int // whose reports count
	Inflight     float64
	QPS          float64 // requests served a second
	EPS          float64 // failures a second
	Outcomes     uint64  // over the last intervals
	FailureShare float64 // share of failures among them, fullFailed at the most where it is full
	Metrics      map[string]float64
}

// sample is a metric of an endpoint.
type sample struct{ endpoint, name string }

// report is the last one of a proxy for a cluster.
type report struct {
	at       time.Duration
	interval time.Duration
	stats    map[string]Stats
}

// Own is what an endpoint told of itself.
type EndpointReport struct {
	QPS, EPS float64
	Metrics  map[string]float64
}

// own is the last one of an endpoint.
type own struct {
	at       time.Duration
	interval time.Duration
	EndpointReport
}

// Loads holds the last reports. It is not safe for concurrent use.
type Aggregator struct {
	proxies map[string]map[string]report // by proxy and cluster
	own     map[string]map[string]own    // by cluster and endpoint
}

// New returns a Loads without reports.
func New() *Aggregator {
	return &Aggregator{proxies: map[string]map[string]report{}, own: map[string]map[string]own{}}
}

// TakeOwn takes what an endpoint of a cluster told of itself. An interval that is not above 0 makes it void.
func (l *Aggregator) RecordEndpointReport(now time.Duration, cluster, endpoint string, interval time.Duration, o EndpointReport) {
	if interval <= 0 {
		return
	}
	if l.own[cluster] == nil {
		l.own[cluster] = map[string]own{}
	}
	l.own[cluster][endpoint] = own{now, interval, o}
}

// Take takes a proxy's report on a cluster. An interval that is not above 0 makes the report void.
func (l *Aggregator) RecordProxyReport(now time.Duration, proxy, cluster string, interval time.Duration, stats map[string]Stats) {
	if interval <= 0 {
		return
	}
	if l.proxies[proxy] == nil {
		l.proxies[proxy] = map[string]report{}
	}
	l.proxies[proxy][cluster] = report{now, interval, stats}
}

// Leave forgets a proxy that has gone: what it had in progress is no longer known.
func (l *Aggregator) RemoveProxy(proxy string) { delete(l.proxies, proxy) }

// Merge gives the readings of a cluster's endpoints. Reports that are stale are forgotten.
func (l *Aggregator) Merge(now time.Duration, cluster string) map[string]EndpointLoad {
	out := map[string]EndpointLoad{}
	sums := map[sample]Metric{}
	failed := map[string]uint64{}
	for proxy, clusters := range l.proxies {
		r, there := clusters[cluster]
		if !there {
			continue
		}
		if now-r.at >= stale*r.interval {
			if delete(clusters, cluster); len(clusters) == 0 {
				delete(l.proxies, proxy)
			}
			continue
		}
		seconds := r.interval.Seconds()
		for endpoint, s := range r.stats {
			x := out[endpoint]
			x.Proxies++
			x.Inflight += float64(s.InProgress)
			x.QPS += float64(s.OK) / seconds
			x.EPS += float64(s.Failed) / seconds
			x.Outcomes += s.OK + s.Failed
			failed[endpoint] += s.Failed
			out[endpoint] = x
			for name, m := range s.Metrics {
				if m.Samples == 0 || !(m.Sum >= 0) || math.IsInf(m.Sum, 0) {
					continue
				}
				sum := sums[sample{endpoint, name}]
				sums[sample{endpoint, name}] = Metric{sum.Samples + m.Samples, sum.Sum + m.Sum}
			}
		}
	}
	served := 0.0
	for _, x := range out {
		served += x.QPS / float64(len(out))
	}
	for endpoint, x := range out {
		if x.Outcomes > 0 {
			x.FailureShare = float64(failed[endpoint]) / float64(x.Outcomes)
		}
		if x.QPS > 0 && x.QPS >= serves*served {
			x.FailureShare = min(x.FailureShare, fullFailed)
		}
		x.Metrics = map[string]float64{}
		out[endpoint] = x
	}
	for k, m := range sums {
		out[k.endpoint].Metrics[k.name] = m.Sum / float64(m.Samples)
	}
	for endpoint, o := range l.own[cluster] {
		if now-o.at >= stale*o.interval {
			delete(l.own[cluster], endpoint)
			continue
		}
		x, seen := out[endpoint]
		if !seen {
			x = EndpointLoad{Inflight: o.Metrics["inflight"], QPS: max(0, o.EndpointReport.QPS-o.EPS), EPS: o.EPS, Metrics: map[string]float64{}}
		}
		maps.Copy(x.Metrics, o.Metrics)
		out[endpoint] = x
	}
	return out
}

// Age tells how old each proxy's newest report is.
func (l *Aggregator) ReportAges(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for proxy, clusters := range l.proxies {
		for _, r := range clusters {
			if age, there := out[proxy]; !there || now-r.at < age {
				out[proxy] = now - r.at
			}
		}
	}
	return out
}
