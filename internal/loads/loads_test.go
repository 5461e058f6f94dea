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

func util(samples uint64, sum float64) map[string]Metric {
	return map[string]Metric{"util": {samples, sum}}
}

// An endpoint that turns most away and still serves is full: it keeps under what ejects. One that serves next to nothing is not.
func TestFullIsNotBroken(t *testing.T) {
	l := New()
	l.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"well": {OK: 60}, "full": {OK: 5, Failed: 45}, "broken": {Failed: 40}, "chance": {OK: 1, Failed: 40}})
	m := l.Merge(0, "c")
	if m["full"].FailureShare != fullFailed || m["broken"].FailureShare != 1 || m["chance"].FailureShare < 0.9 || m["well"].FailureShare != 0 {
		t.Errorf("%+v", m)
	}
}

// Two proxies that see one endpoint differently are merged by the rules; a stale one and one that has left count no more.
func TestMerge(t *testing.T) {
	l := New()
	l.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 3, OK: 8, Failed: 2, Metrics: util(10, 9)}, "b": {OK: 1}})
	l.RecordProxyReport(0, "q", "c", 2*time.Second, map[string]Stats{"a": {InProgress: 1, OK: 30, Metrics: util(30, 3)}})
	l.RecordProxyReport(0, "r", "c", time.Second, map[string]Stats{"a": {Metrics: util(5, math.NaN())}})
	l.RecordProxyReport(0, "p", "other", time.Second, map[string]Stats{"a": {InProgress: 99}})
	l.RecordProxyReport(0, "void", "c", 0, map[string]Stats{"a": {InProgress: 99}})
	a := l.Merge(time.Second, "c")["a"]
	if a.Proxies != 3 || a.Inflight != 4 || a.QPS != 8+15 || a.EPS != 2 || a.Outcomes != 40 || a.FailureShare != 2.0/40 || math.Abs(a.Metrics["util"]-0.3) > 1e-9 {
		t.Errorf("%+v", a)
	}
	l.RecordProxyReport(time.Second, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 5}})
	if a := l.Merge(time.Second, "c")["a"]; a.Inflight != 6 || a.Outcomes != 30 {
		t.Errorf("a newer report does not replace the older: %+v", a)
	}
	if a := l.Merge(4*time.Second, "c")["a"]; a.Proxies != 1 || a.Inflight != 1 {
		t.Errorf("stale reports count: %+v", a)
	}
	if age := l.ReportAges(4 * time.Second); age["q"] != 4*time.Second || len(age) != 2 { // p has one of another cluster
		t.Errorf("ages %v", age)
	}
	l.RemoveProxy("q")
	if m := l.Merge(4*time.Second, "c"); len(m) != 0 {
		t.Errorf("a proxy that has left counts: %+v", m)
	}
}

// The order in which reports come changes nothing, and no reading is beyond what was reported.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type one struct {
			proxy string
			stats Stats
		}
		var all []one
		for i := range rapid.IntRange(1, 6).Draw(t, "proxies") {
			n := rapid.Uint64Range(1, 100).Draw(t, "samples")
			all = append(all, one{fmt.Sprint(i), Stats{InProgress: rapid.Uint64Range(0, 50).Draw(t, "out"), OK: rapid.Uint64Range(0, 50).Draw(t, "ok"),
				Failed: rapid.Uint64Range(0, 50).Draw(t, "failed"), Metrics: util(n, float64(n)*rapid.Float64Range(0, 1).Draw(t, "util"))}})
		}
		merge := func(order []one) EndpointLoad {
			l := New()
			for _, x := range order {
				l.RecordProxyReport(0, x.proxy, "c", time.Second, map[string]Stats{"a": x.stats})
			}
			return l.Merge(0, "c")["a"]
		}
		a, b := merge(all), merge(rapid.Permutation(all).Draw(t, "order"))
		if a.Inflight != b.Inflight || a.Outcomes != b.Outcomes || math.Abs(a.FailureShare-b.FailureShare) > 1e-9 || math.Abs(a.Metrics["util"]-b.Metrics["util"]) > 1e-9 {
			t.Fatalf("%+v, %+v", a, b)
		}
		if u := a.Metrics["util"]; u < 0 || u > 1+1e-9 || a.FailureShare < 0 || a.FailureShare > 1 {
			t.Fatalf("%+v", a)
		}
	})
}

// What an endpoint tells of itself counts before what proxies pass on, stands alone where they say nothing, and grows stale.
func TestOwnWordCountsFirst(t *testing.T) {
	l := New()
	l.RecordProxyReport(0, "p", "c", time.Second, map[string]Stats{"a": {InProgress: 2, OK: 8, Failed: 2, Metrics: map[string]Metric{"util": {1, 0.9}, "queue": {1, 4}}}})
	l.RecordEndpointReport(0, "c", "a", time.Second, EndpointReport{QPS: 99, EPS: 9, Metrics: map[string]float64{"util": 0.1}})
	l.RecordEndpointReport(0, "c", "alone", time.Second, EndpointReport{QPS: 10, EPS: 4, Metrics: map[string]float64{"util": 0.3, "inflight": 5}})
	l.RecordEndpointReport(0, "c", "void", 0, EndpointReport{QPS: 1})
	l.RecordEndpointReport(0, "other", "a", time.Second, EndpointReport{Metrics: map[string]float64{"util": 1}})
	m := l.Merge(2*time.Second, "c")
	if a := m["a"]; a.Metrics["util"] != 0.1 || a.Metrics["queue"] != 4 || a.QPS != 8 || a.FailureShare != 0.2 {
		t.Errorf("with proxies: %+v", a)
	}
	if x := m["alone"]; x.QPS != 6 || x.EPS != 4 || x.Inflight != 5 || x.Metrics["util"] != 0.3 || x.Outcomes != 0 || len(m) != 2 {
		t.Errorf("alone: %+v of %d", x, len(m))
	}
	if m := l.Merge(3*time.Second, "c"); len(m) != 0 {
		t.Errorf("stale words count: %+v", m)
	}
}
