package loads

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// utilMetric returns the metric util with the given samples.
func utilMetric(samples uint64, sum float64) map[string]Metric {
	return map[string]Metric{"util": {samples, sum}}
}

// An endpoint that rejects most requests and still serves some is overloaded, and its failure share stays below what ejects it.
// One that serves next to nothing is broken.
func TestOverloadedIsNotBroken(t *testing.T) {
	aggregator := New()
	aggregator.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"well": {OK: 60}, "full": {OK: 5, Failed: 45}, "broken": {Failed: 40}, "chance": {OK: 1, Failed: 40}})
	loads := aggregator.Merge(0, "c")
	if loads["full"].FailureShare != maxOverloadedFailureShare || loads["broken"].FailureShare != 1 || loads["chance"].FailureShare < 0.9 || loads["well"].FailureShare != 0 {
		t.Errorf("loads %+v", loads)
	}
}

// Reports of several proxies on one endpoint are merged by the rules of the package. Stale reports and those of a proxy that has
// left do not count.
func TestMerge(t *testing.T) {
	aggregator := New()
	aggregator.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 3, OK: 8, Failed: 2, Metrics: utilMetric(10, 9)}, "b": {OK: 1}})
	aggregator.RecordProxyReport(0, "q", "c", 2*time.Second, map[string]Stats{"a": {InProgress: 1, OK: 30, Metrics: utilMetric(30, 3)}})
	aggregator.RecordProxyReport(0, "r", "c", time.Second, map[string]Stats{"a": {Metrics: utilMetric(5, math.NaN())}})
	aggregator.RecordProxyReport(0, "p", "other", time.Second, map[string]Stats{"a": {InProgress: 99}})
	aggregator.RecordProxyReport(0, "void", "c", 0, map[string]Stats{"a": {InProgress: 99}})
	a := aggregator.Merge(time.Second, "c")["a"]
	if a.Proxies != 3 || a.Inflight != 4 || a.QPS != 8+15 || a.EPS != 2 || a.Outcomes != 40 || a.FailureShare != 2.0/40 || math.Abs(a.Metrics["util"]-0.3) > 1e-9 {
		t.Errorf("load of a: %+v", a)
	}
	aggregator.RecordProxyReport(time.Second, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 5}})
	if a := aggregator.Merge(time.Second, "c")["a"]; a.Inflight != 6 || a.Outcomes != 30 {
		t.Errorf("a newer report did not replace the older one: %+v", a)
	}
	if a := aggregator.Merge(4*time.Second, "c")["a"]; a.Proxies != 1 || a.Inflight != 1 {
		t.Errorf("stale reports were counted: %+v", a)
	}
	if age := aggregator.ReportAges(4 * time.Second); age["q"] != 4*time.Second || len(age) != 2 { // p has a report on another cluster
		t.Errorf("ages %v, want 4s for q and 2 proxies in all", age)
	}
	aggregator.RemoveProxy("q")
	if m := aggregator.Merge(4*time.Second, "c"); len(m) != 0 {
		t.Errorf("a proxy that has left was counted: %+v", m)
	}
}

// The merged load does not depend on the order of reports, and shares and means stay within the range that was reported.
func TestMergeIndependentOfReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type proxyStats struct {
			proxy string
			stats Stats
		}
		var all []proxyStats
		for i := range rapid.IntRange(1, 6).Draw(t, "proxies") {
			samples := rapid.Uint64Range(1, 100).Draw(t, "samples")
			all = append(all, proxyStats{fmt.Sprint(i), Stats{InProgress: rapid.Uint64Range(0, 50).Draw(t, "out"), OK: rapid.Uint64Range(0, 50).Draw(t, "ok"),
				Failed: rapid.Uint64Range(0, 50).Draw(t, "failed"), Metrics: utilMetric(samples, float64(samples)*rapid.Float64Range(0, 1).Draw(t, "util"))}})
		}
		merge := func(order []proxyStats) EndpointLoad {
			aggregator := New()
			for _, p := range order {
				aggregator.RecordProxyReport(0, p.proxy, "c", time.Second, map[string]Stats{"a": p.stats})
			}
			return aggregator.Merge(0, "c")["a"]
		}
		a, b := merge(all), merge(rapid.Permutation(all).Draw(t, "order"))
		if a.Inflight != b.Inflight || a.Outcomes != b.Outcomes || math.Abs(a.FailureShare-b.FailureShare) > 1e-9 || math.Abs(a.Metrics["util"]-b.Metrics["util"]) > 1e-9 {
			t.Fatalf("load %+v in one order, %+v in another", a, b)
		}
		if u := a.Metrics["util"]; u < 0 || u > 1+1e-9 || a.FailureShare < 0 || a.FailureShare > 1 {
			t.Fatalf("load beyond what was reported: %+v", a)
		}
	})
}

// An endpoint's own report takes precedence over the metrics that proxies pass on, is used alone where no proxy reports on the
// endpoint, and becomes stale.
func TestEndpointReportTakesPrecedence(t *testing.T) {
	aggregator := New()
	aggregator.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 2, OK: 8, Failed: 2, Metrics: map[string]Metric{"util": {1, 0.9}, "queue": {1, 4}}}})
	aggregator.RecordEndpointReport(0, "c", "a", time.Second, EndpointReport{QPS: 99, EPS: 9, Metrics: map[string]float64{"util": 0.1}})
	aggregator.RecordEndpointReport(0, "c", "alone", time.Second, EndpointReport{QPS: 10, EPS: 4, Metrics: map[string]float64{"util": 0.3, "inflight": 5}})
	aggregator.RecordEndpointReport(0, "c", "void", 0, EndpointReport{QPS: 1})
	aggregator.RecordEndpointReport(0, "other", "a", time.Second, EndpointReport{Metrics: map[string]float64{"util": 1}})
	m := aggregator.Merge(2*time.Second, "c")
	if a := m["a"]; a.Metrics["util"] != 0.1 || a.Metrics["queue"] != 4 || a.QPS != 8 || a.FailureShare != 0.2 {
		t.Errorf("endpoint with proxy reports: %+v", a)
	}
	if x := m["alone"]; x.QPS != 6 || x.EPS != 4 || x.Inflight != 5 || x.Metrics["util"] != 0.3 || x.Outcomes != 0 || len(m) != 2 {
		t.Errorf("endpoint without proxy reports: %+v, of %d endpoints", x, len(m))
	}
	if m := aggregator.Merge(3*time.Second, "c"); len(m) != 0 {
		t.Errorf("stale reports were counted: %+v", m)
	}
}
