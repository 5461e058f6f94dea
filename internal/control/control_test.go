package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	data "github.com/cncf/xds/go/xds/data/orca/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"
	"pgregory.net/rapid"

	"kitewood/balance"
	"kitewood/internal/config"
	"kitewood/internal/filewatch"
	"kitewood/internal/lab/instances"
	"kitewood/internal/lab/proxy"
	"kitewood/internal/route"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
	"kitewood/internal/xds"
	"kitewood/internal/xdsserver"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// Proxies lead every request to the pool that the sidecar's own table leads it to.
func TestProxiesRouteAsTheSidecarDoes(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a.test", "x.a.test", "y.x.a.test", "B.test", "*", "*.a.test", "*.x.a.test", "*.test"})
	paths := rapid.SampledFrom([]string{"", "/", "/a", "/a/", "/a/b", "/b"})
	headers := rapid.SampledFrom([]map[string]string{nil, {"X-One": "1"}, {"x-one": ""}, {"X-One": "1", "X-Two": "2"}})
	class := rapid.SampledFrom([]string{"", "", "look"})
	rapid.Check(t, func(t *rapid.T) {
		f := &config.File{}
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := config.Route{Hosts: rapid.SliceOfN(hosts, 0, 2).Draw(t, "hosts"), Headers: headers.Draw(t, "headers"),
				Class: class.Draw(t, "class"), Pool: fmt.Sprint("p", i)}
			if p := paths.Draw(t, "path"); p != "" && rapid.Bool().Draw(t, "exact") {
				r.Exact = p
			} else {
				r.Path = p
			}
			f.Routes = append(f.Routes, r)
		}
		table, err := f.Table()
		if err != nil {
			t.Fatal(err)
		}
		resource, err := routesOf(f, &xdsserver.Rights{})
		if err != nil {
			t.Fatal(err)
		}
		var told routes.RouteConfiguration
		if err := resource.Body.UnmarshalTo(&told); err != nil {
			t.Fatal(err)
		}
		p := proxy.NewTable()
		if err := p.SetRoutes(&told); err != nil {
			t.Fatal(err)
		}
		h := textproto.MIMEHeader{"Host": {rapid.SampledFrom([]string{"a.test", "x.a.test", "z.y.x.a.test", "b.test:80", "other"}).Draw(t, "host")}}
		for name, value := range headers.Draw(t, "sent") {
			if value == "" {
				value = "0"
			}
			h.Set(name, value)
		}
		stated := class.Draw(t, "stated")
		if stated != "" {
			h.Set("X-Service-Class", stated)
		}
		target := rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab", "/b?x=1"}).Draw(t, "target")
		want := ""
		if i, bad := table.Match(route.Request{Target: target, Header: h, Class: stated}); bad == nil {
			want = f.Routes[i].Pool
		}
		if got := p.Route(h.Get("Host"), target, h.Get); got != want {
			t.Fatalf("%s%s: the proxy has %q, the sidecar %q, routes %+v", h.Get("Host"), target, got, want, f.Routes)
		}
	})
}

// A destination's state is told in the protocol's words, and only what may get new requests is safe.
func TestEndpoints(t *testing.T) {
	view := func(state balance.State, held time.Duration, trial bool) routing.View {
		return routing.View{Index: 1, Endpoints: []routing.EndpointView{{Name: "a", Address: "127.0.0.1:1", Zone: "z",
			EndpointView: balance.EndpointView{State: state, Tracked: true, Weight: 1.5, EjectedFor: held, Probation: trial}}}}
	}
	p := &config.Pool{Name: "p"}
	safety := map[uint64]bool{}
	for _, c := range []struct {
		v      routing.View
		status core.HealthStatus
		weight uint32
	}{
		{view(balance.Ready, 0, false), core.HealthStatus_HEALTHY, 150},
		{view(balance.Ready, 0, true), core.HealthStatus_HEALTHY, 15},
		{view(balance.Ready, time.Second, false), core.HealthStatus_UNHEALTHY, 150},
		{view(balance.Draining, 0, false), core.HealthStatus_DRAINING, 150},
	} {
		r, err := endpointsOf(p, c.v, 0)
		if err != nil {
			t.Fatal(err)
		}
		var a endpoint.ClusterLoadAssignment
		if err := r.Body.UnmarshalTo(&a); err != nil {
			t.Fatal(err)
		}
		e := a.Endpoints[0].LbEndpoints[0]
		if e.HealthStatus != c.status || e.LoadBalancingWeight.Value != c.weight || a.Endpoints[0].Locality.Zone != "z" ||
			a.Endpoints[0].LoadBalancingWeight.Value == 0 {
			t.Errorf("%+v: %v", c.v, &a)
		}
		safety[r.UrgentHash] = true
	}
	if len(safety) != 2 {
		t.Errorf("%d kinds of safety, want those that may get requests and those that may not", len(safety))
	}
}

// The share of refusals follows what the module wants over about a second, leaves some to pass, and is told in the protocol's form.
func TestRefusals(t *testing.T) {
	var r refusal
	start := time.Duration(time.Now().UnixNano())
	now := start
	for n := range 100 {
		now = start + time.Duration(n)*100*time.Millisecond
		r.take(now, 1)
		if n == 3 && (r.percent(now) < 10 || r.percent(now) > 50) {
			t.Errorf("%d%% after 0.3 s", r.percent(now))
		}
	}
	if r.percent(now) != 100*refusalMost {
		t.Errorf("%d%% in the end", r.percent(now))
	}
	if silent := now + refusalKept + 1; r.percent(silent) != 0 {
		t.Errorf("%d%% though nobody reports", r.percent(silent))
	}
	v := routing.View{Index: 1, Endpoints: []routing.EndpointView{{Name: "a", Address: "127.0.0.1:1", EndpointView: balance.EndpointView{State: balance.Ready, Weight: 1}}}}
	for _, percent := range []uint32{0, 40} {
		x, err := endpointsOf(&config.Pool{Name: "p"}, v, percent)
		if err != nil {
			t.Fatal(err)
		}
		var a endpoint.ClusterLoadAssignment
		if err := x.Body.UnmarshalTo(&a); err != nil {
			t.Fatal(err)
		}
		if drops := a.GetPolicy().GetDropOverloads(); percent == 0 && drops != nil || percent > 0 && drops[0].DropPercentage.Numerator != percent {
			t.Errorf("%d%%: %v", percent, drops)
		}
	}
}

func watch(t *testing.T) *filewatch.Watcher {
	t.Helper()
	w, err := filewatch.New(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

const good = `name: c
plaintext: true
listeners: [{address: "127.0.0.1:9901"}]
pools:
  - {name: a, members: {file: a.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
routes:
  - {hosts: [a.test], pool: a}
`

func TestConfiguration(t *testing.T) {
	if _, err := Read("c.yaml", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for from, c := range map[string][2]string{
		"plaintext: true": {"plaintext: false", "c.yaml:1:1: tls: is missing"},
		"127.0.0.1:9901":  {"10.0.0.1:9901", "c.yaml:3:23: listeners[0].address: plain text is for loopback only"},
		"plaintext":       {"plain", "c.yaml:2:1: plain: unknown field"},
		"a.test]":         {`"a.test:80"]`, "routes[0].hosts[0]: a host with a port"},
		"pool: a}":        {"pool: a, as: any}", "routes[0].as: proxies know no classes"},
		"name: a,":        {"name: kitewood,", "pools[0].name"},
		"[{name: any":     {"[{name: any, aim: 2", "c.yaml:5:"},
		"file: a.yaml}":   {"etcd: {endpoints: [], prefix: \"\", form: odd, user: u}, serve: x}", "etcd.endpoints: at least one is needed"},
		"{file: a.yaml}":  {"{file: a.yaml, merge: {hold_below: 2}}", "pools[0].members.merge"},
		"members: {file":  {"reports: {via: probes, fields: [util], every: -1s}, members: {file", "pools[0].reports.every: is negative"},
	} {
		if _, err := Read("c.yaml", []byte(strings.Replace(good, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

// From a file to a proxy: a drain is told, a new list does not empty it, and nothing is told before all lists are known.
func TestServiceTellsAProxy(t *testing.T) {
	dir := t.TempDir()
	list := func(text string) {
		t.Helper()
		if err := filewatch.Replace(filepath.Join(dir, "a.yaml"), []byte("destinations:\n"+text)); err != nil {
			t.Fatal(err)
		}
	}
	list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock, quiet := routing.NewClock(), slog.New(slog.DiscardHandler)
	hub := xdsserver.NewHub(clock.Now)
	g := grpc.NewServer()
	ln := bufconn.Listen(1 << 20)
	service, err := Start(ctx, f, watch(t), hub, clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	xdsserver.Register(g, hub, service.Reports(), xdsserver.AllowAll, quiet)
	go g.Serve(ln)
	defer g.Stop()
	for _, delta := range []bool{false, true} {
		table := proxy.NewTable()
		client := &proxy.Client{NodeID: fmt.Sprint("n", delta), Servers: []string{"memory"}, Delta: delta, Table: table, Log: quiet, Dial: ln.DialContext}
		go client.Run(ctx)
		testkit.WaitUntil(t, "the proxy has endpoints", func() bool { return table.Ready("a") })
		picked := func() map[string]bool {
			out := map[string]bool{}
			for range 20 {
				if at, err := table.Pick("a.test", "/", func(string) string { return "" }); err == nil {
					out[at] = true
				}
			}
			return out
		}
		if p := picked(); len(p) != 2 {
			t.Errorf("it picks %v", p)
		}
		list("  - {name: x, address: \"127.0.0.1:1\", state: draining}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
		testkit.WaitUntil(t, "the draining one gets nothing", func() bool { p := picked(); return len(p) == 1 && p["127.0.0.1:2"] })
		list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n  - {name: z, address: \"127.0.0.1:3\"}\n")
		testkit.WaitUntil(t, "the new one gets requests", func() bool { return len(picked()) == 3 })
		list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
		testkit.WaitUntil(t, "the one that is gone gets none", func() bool { return len(picked()) == 2 })
		if table.EmptiedCount() != 0 {
			t.Error("the list was empty for a moment")
		}
	}
	// A proxy acts on the last word before the service has read its answer to it: until then it owes that, and no longer.
	testkit.WaitUntil(t, "both proxies and their drains are shown, and none owes an answer", func() bool {
		s := service.Status()
		return len(s.Proxies) == 2 && s.Drains.Count >= 2 && s.Proxies[0].OwesMS == 0 && s.Proxies[1].OwesMS == 0
	})
	s := service.Status()
	for _, p := range s.Proxies {
		if p.DrainedMS <= 0 || p.DrainedMS > 500 || p.OwesMS != 0 {
			t.Errorf("drains of %s: %g ms, owes %g", p.Node, p.DrainedMS, p.OwesMS)
		}
		for _, x := range p.Types {
			if x.Type == xds.TypeEndpoint && (x.Names != 1 || x.Refused != "") {
				t.Errorf("%+v", p)
			}
		}
	}
}

// Weights follow what proxies report: the busier of two endpoints gets less, and one that fails is held off.
func TestWeightsFollowReports(t *testing.T) {
	dir := t.TempDir()
	text := "destinations:\n"
	for i, name := range []string{"x", "y", "z", "w"} {
		text += fmt.Sprintf("  - {name: %s, address: \"127.0.0.1:%d\"}\n", name, i+1)
	}
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(good, "classes:", "reports: {via: answers, fields: [util, inflight]}, classes:", 1)))
	if err != nil {
		t.Fatal(err)
	}
	clock, quiet := routing.NewClock(), slog.New(slog.DiscardHandler)
	hub := xdsserver.NewHub(clock.Now)
	service, err := Start(t.Context(), f, watch(t), hub, clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ln := bufconn.Listen(1 << 20)
	g := grpc.NewServer()
	xdsserver.Register(g, hub, service.Reports(), xdsserver.AllowAll, quiet)
	go g.Serve(ln)
	defer g.Stop()
	table, loads := proxy.NewTable(), proxy.NewLoadTracker()
	client := &proxy.Client{NodeID: "n", Servers: []string{"memory"}, Table: table, LoadTracker: loads, Log: quiet, Dial: ln.DialContext}
	go client.Run(t.Context())
	testkit.WaitUntil(t, "the proxy has endpoints", func() bool { return table.Ready("a") })
	picks := map[string]int{}
	n := 0
	testkit.WaitUntil(t, "weights follow", func() bool {
		clear(picks)
		for range 100 {
			at, err := table.Pick("a.test", "/", func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			picks[at]++
			n++
			busy := map[string]float64{"127.0.0.1:1": 0.9, "127.0.0.1:2": 0.3, "127.0.0.1:3": 0.5, "127.0.0.1:4": 0.5}[at] + float64(n%7)/100
			loads.Begin("a", at)(at != "127.0.0.1:4", map[string]float64{"cpu_utilization": busy})
		}
		return picks["127.0.0.1:4"] == 0 && picks["127.0.0.1:2"] > picks["127.0.0.1:1"]*3/2
	})
	if len(service.Status().Reports) != 1 {
		t.Errorf("ages of reports: %v", service.Status().Reports)
	}
}

// A service that has not the lists of all pools tells nothing: proxies keep what they have.
func TestNothingIsToldBeforeAllListsAreKnown(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("destinations: [{name: x, address: \"127.0.0.1:1\"}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(good, "routes:", fmt.Sprintf(
		"  - {name: b, members: {discovery: %q}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes:", closed.Addr()), 1)))
	if err != nil {
		t.Fatal(err)
	}
	clock := routing.NewClock()
	hub := xdsserver.NewHub(clock.Now)
	service, err := Start(t.Context(), f, watch(t), hub, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	known := func() (n int, open bool) {
		service.mu.Lock()
		defer service.mu.Unlock()
		return len(service.endpoints), service.open
	}
	testkit.WaitUntil(t, "one list is known", func() bool { n, _ := known(); return n == 1 })
	if _, open := known(); open {
		t.Error("one of two lists is known, and it was published")
	}
	service.pools["b"].loop.UpdateEndpoints(balance.Full, 1, nil) // a list that names nobody is one
	testkit.WaitUntil(t, "all is published", func() bool { _, open := known(); return open })
}

// Where no proxy reports, weights follow what destinations tell of themselves: out of band, or when they are asked.
func TestWeightsFollowDestinationsOwnWord(t *testing.T) {
	for _, via := range []string{"orca, fields: [util]}", "probes, fields: [util], every: 100ms}, probes: true"} {
		dir := t.TempDir()
		text := "destinations:\n"
		for i, busy := range []float64{0.9, 0.3, 0.5} {
			n := 0
			address := ""
			if strings.HasPrefix(via, "orca") {
				x, err := instances.New(func() *data.OrcaLoadReport {
					n++
					return &data.OrcaLoadReport{ApplicationUtilization: busy + float64(n%7)/100}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer x.Stop()
				address = x.Address
			} else {
				var asked atomic.Int64
				x := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprintf(w, "util=%g", busy+float64(asked.Add(1)%7)/100)
				}))
				defer x.Close()
				address = x.Listener.Addr().String()
			}
			text += fmt.Sprintf("  - {name: d%d, address: %q}\n", i, address)
		}
		if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := strings.Replace(good, "classes:", "reports: {via: "+via+", classes:", 1)
		if strings.HasPrefix(via, "orca") {
			c = strings.Replace(c, "fields: [util]}", "fields: [util], every: 100ms}", 1)
		}
		f, err := Read(filepath.Join(dir, "c.yaml"), []byte(c))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		clock, quiet := routing.NewClock(), slog.New(slog.DiscardHandler)
		service, err := Start(ctx, f, watch(t), xdsserver.NewHub(clock.Now), clock, quiet)
		if err != nil {
			t.Fatal(err)
		}
		testkit.WaitUntil(t, "weights follow, "+via, func() bool {
			v, ok := service.pools["a"].loop.View(time.Second)
			return ok && len(v.Endpoints) == 3 && v.Endpoints[1].Weight > 1.5*v.Endpoints[0].Weight
		})
		if strings.HasPrefix(via, "orca") && service.Status().OutOfBand["a"].Reporting != 3 {
			t.Errorf("%+v", service.Status().OutOfBand)
		}
		cancel()
	}
}
