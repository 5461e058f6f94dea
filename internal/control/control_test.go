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

// The routes served to proxies select the same pool for every request as the sidecar's own route table.
func TestProxyRoutesMatchSidecar(t *testing.T) {
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
		resource, err := newRouteConfig(f, &xdsserver.Rights{})
		if err != nil {
			t.Fatal(err)
		}
		var served routes.RouteConfiguration
		if err := resource.Body.UnmarshalTo(&served); err != nil {
			t.Fatal(err)
		}
		p := proxy.NewTable()
		if err := p.SetRoutes(&served); err != nil {
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
			t.Fatalf("%s%s: the proxy selects pool %q, the sidecar %q, routes %+v", h.Get("Host"), target, got, want, f.Routes)
		}
	})
}

// An endpoint's state maps to the xDS health status, and the urgent hash covers only endpoints that may get new requests.
func TestLoadAssignment(t *testing.T) {
	view := func(state balance.State, ejectedFor time.Duration, probation bool) routing.View {
		return routing.View{Index: 1, Endpoints: []routing.EndpointView{{Name: "a", Address: "127.0.0.1:1", Zone: "z",
			EndpointView: balance.EndpointView{State: state, Tracked: true, Weight: 1.5, EjectedFor: ejectedFor, Probation: probation}}}}
	}
	p := &config.Pool{Name: "p"}
	urgentHashes := map[uint64]bool{}
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
		r, err := newLoadAssignment(p, c.v, 0)
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
		urgentHashes[r.UrgentHash] = true
	}
	if len(urgentHashes) != 2 {
		t.Errorf("got %d urgent hashes, want 2: one with the endpoint accepting requests and one without", len(urgentHashes))
	}
}

// The reject share approaches the wanted share over about a second, never reaches 1, expires without reports, and is served as a
// drop overload policy.
func TestRejectShare(t *testing.T) {
	var r rejection
	start := time.Duration(time.Now().UnixNano())
	now := start
	for n := range 100 {
		now = start + time.Duration(n)*100*time.Millisecond
		r.update(now, 1)
		if n == 3 && (r.percent(now) < 10 || r.percent(now) > 50) {
			t.Errorf("reject share is %d%% after 0.3 s, want 10%% to 50%%", r.percent(now))
		}
	}
	if r.percent(now) != 100*maxRejectShare {
		t.Errorf("reject share is %d%% after 10 s, want its maximum", r.percent(now))
	}
	if expired := now + rejectShareTTL + 1; r.percent(expired) != 0 {
		t.Errorf("reject share is %d%% though no report has come, want 0", r.percent(expired))
	}
	v := routing.View{Index: 1, Endpoints: []routing.EndpointView{{Name: "a", Address: "127.0.0.1:1", EndpointView: balance.EndpointView{State: balance.Ready, Weight: 1}}}}
	for _, percent := range []uint32{0, 40} {
		x, err := newLoadAssignment(&config.Pool{Name: "p"}, v, percent)
		if err != nil {
			t.Fatal(err)
		}
		var a endpoint.ClusterLoadAssignment
		if err := x.Body.UnmarshalTo(&a); err != nil {
			t.Fatal(err)
		}
		if drops := a.GetPolicy().GetDropOverloads(); percent == 0 && drops != nil || percent > 0 && drops[0].DropPercentage.Numerator != percent {
			t.Errorf("reject share %d%%: drop overloads %v", percent, drops)
		}
	}
}

// newWatcher returns a file watcher that ends with the test.
func newWatcher(t *testing.T) *filewatch.Watcher {
	t.Helper()
	w, err := filewatch.New(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// validConfig is a minimal configuration that passes validation.
const validConfig = `name: c
plaintext: true
listeners: [{address: "127.0.0.1:9901"}]
pools:
  - {name: a, members: {file: a.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
routes:
  - {hosts: [a.test], pool: a}
`

func TestConfiguration(t *testing.T) {
	if _, err := Read("c.yaml", []byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for from, c := range map[string][2]string{
		"plaintext: true": {"plaintext: false", "c.yaml:1:1: tls: is missing"},
		"127.0.0.1:9901":  {"10.0.0.1:9901", "c.yaml:3:23: listeners[0].address: plaintext is allowed on loopback addresses only"},
		"plaintext":       {"plain", "c.yaml:2:1: plain: unknown field"},
		"a.test]":         {`"a.test:80"]`, "routes[0].hosts[0]: a host with a port"},
		"pool: a}":        {"pool: a, as: any}", "routes[0].as: proxies do not support classes"},
		"name: a,":        {"name: kitewood,", "pools[0].name"},
		"[{name: any":     {"[{name: any, aim: 2", "c.yaml:5:"},
		"file: a.yaml}":   {"etcd: {endpoints: [], prefix: \"\", form: odd, user: u}, serve: x}", "etcd.endpoints: at least one is needed"},
		"{file: a.yaml}":  {"{file: a.yaml, merge: {hold_below: 2}}", "pools[0].members.merge"},
		"members: {file":  {"reports: {via: probes, fields: [util], every: -1s}, members: {file", "pools[0].reports.every: must not be negative"},
	} {
		if _, err := Read("c.yaml", []byte(strings.Replace(validConfig, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

// Changes of a list file reach a proxy: draining and removed endpoints get no requests, new ones do, and the proxy's list is never
// empty in between.
func TestServiceUpdatesProxy(t *testing.T) {
	dir := t.TempDir()
	list := func(text string) {
		t.Helper()
		if err := filewatch.Replace(filepath.Join(dir, "a.yaml"), []byte("destinations:\n"+text)); err != nil {
			t.Fatal(err)
		}
	}
	list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock, discardLog := routing.NewClock(), slog.New(slog.DiscardHandler)
	hub := xdsserver.NewHub(clock.Now)
	g := grpc.NewServer()
	ln := bufconn.Listen(1 << 20)
	service, err := Start(ctx, f, newWatcher(t), hub, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	xdsserver.Register(g, hub, service.Reports(), xdsserver.AllowAll, discardLog)
	go g.Serve(ln)
	defer g.Stop()
	for _, delta := range []bool{false, true} {
		table := proxy.NewTable()
		client := &proxy.Client{NodeID: fmt.Sprint("n", delta), Servers: []string{"memory"}, Delta: delta, Table: table, Log: discardLog, Dial: ln.DialContext}
		go client.Run(ctx)
		testkit.WaitUntil(t, "the proxy has received endpoints", func() bool { return table.Ready("a") })
		pickedAddrs := func() map[string]bool {
			out := map[string]bool{}
			for range 20 {
				if at, err := table.Pick("a.test", "/", func(string) string { return "" }); err == nil {
					out[at] = true
				}
			}
			return out
		}
		if p := pickedAddrs(); len(p) != 2 {
			t.Errorf("the proxy picks %v, want both endpoints", p)
		}
		list("  - {name: x, address: \"127.0.0.1:1\", state: draining}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
		testkit.WaitUntil(t, "the draining endpoint gets no requests", func() bool { p := pickedAddrs(); return len(p) == 1 && p["127.0.0.1:2"] })
		list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n  - {name: z, address: \"127.0.0.1:3\"}\n")
		testkit.WaitUntil(t, "the new endpoint gets requests", func() bool { return len(pickedAddrs()) == 3 })
		list("  - {name: x, address: \"127.0.0.1:1\"}\n  - {name: y, address: \"127.0.0.1:2\"}\n")
		testkit.WaitUntil(t, "the removed endpoint gets no requests", func() bool { return len(pickedAddrs()) == 2 })
		if table.EmptiedCount() != 0 {
			t.Error("the proxy's endpoint list was empty at some time")
		}
	}
	// A proxy applies the last update before the service has read its acknowledgement. Until then the drain is pending.
	testkit.WaitUntil(t, "the status shows both proxies and their drains, and no drain is pending", func() bool {
		s := service.Status()
		return len(s.Proxies) == 2 && s.Drains.Count >= 2 && s.Proxies[0].DrainPendingMS == 0 && s.Proxies[1].DrainPendingMS == 0
	})
	s := service.Status()
	for _, p := range s.Proxies {
		if p.DrainAckMS <= 0 || p.DrainAckMS > 500 || p.DrainPendingMS != 0 {
			t.Errorf("drain of %s: acknowledged after %g ms, pending for %g ms", p.Node, p.DrainAckMS, p.DrainPendingMS)
		}
		for _, x := range p.Types {
			if x.Type == xds.TypeEndpoint && (x.Names != 1 || x.NackReason != "") {
				t.Errorf("endpoint type of %+v: want one name and no rejection", p)
			}
		}
	}
}

// Weights follow the load reports of proxies: the more utilised of two endpoints gets fewer requests, and one that fails all of
// its requests is ejected.
func TestWeightsFollowProxyReports(t *testing.T) {
	dir := t.TempDir()
	text := "destinations:\n"
	for i, name := range []string{"x", "y", "z", "w"} {
		text += fmt.Sprintf("  - {name: %s, address: \"127.0.0.1:%d\"}\n", name, i+1)
	}
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(validConfig, "classes:", "reports: {via: answers, fields: [util, inflight]}, classes:", 1)))
	if err != nil {
		t.Fatal(err)
	}
	clock, discardLog := routing.NewClock(), slog.New(slog.DiscardHandler)
	hub := xdsserver.NewHub(clock.Now)
	service, err := Start(t.Context(), f, newWatcher(t), hub, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ln := bufconn.Listen(1 << 20)
	g := grpc.NewServer()
	xdsserver.Register(g, hub, service.Reports(), xdsserver.AllowAll, discardLog)
	go g.Serve(ln)
	defer g.Stop()
	table, loads := proxy.NewTable(), proxy.NewLoadTracker()
	client := &proxy.Client{NodeID: "n", Servers: []string{"memory"}, Table: table, LoadTracker: loads, Log: discardLog, Dial: ln.DialContext}
	go client.Run(t.Context())
	testkit.WaitUntil(t, "the proxy has received endpoints", func() bool { return table.Ready("a") })
	picks := map[string]int{}
	n := 0
	testkit.WaitUntil(t, "weights follow the load reports", func() bool {
		clear(picks)
		for range 100 {
			at, err := table.Pick("a.test", "/", func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			picks[at]++
			n++
			util := map[string]float64{"127.0.0.1:1": 0.9, "127.0.0.1:2": 0.3, "127.0.0.1:3": 0.5, "127.0.0.1:4": 0.5}[at] + float64(n%7)/100
			loads.Begin("a", at)(at != "127.0.0.1:4", map[string]float64{"cpu_utilization": util})
		}
		return picks["127.0.0.1:4"] == 0 && picks["127.0.0.1:2"] > picks["127.0.0.1:1"]*3/2
	})
	if len(service.Status().Reports) != 1 {
		t.Errorf("reports in the status: %v, want one", service.Status().Reports)
	}
}

// A service publishes nothing before it has the lists of all pools, so that proxies keep what they have.
func TestNoSnapshotBeforeAllLists(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("destinations: [{name: x, address: \"127.0.0.1:1\"}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(validConfig, "routes:", fmt.Sprintf(
		"  - {name: b, members: {discovery: %q}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes:", closed.Addr()), 1)))
	if err != nil {
		t.Fatal(err)
	}
	clock := routing.NewClock()
	hub := xdsserver.NewHub(clock.Now)
	service, err := Start(t.Context(), f, newWatcher(t), hub, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	state := func() (lists int, published bool) {
		service.mu.Lock()
		defer service.mu.Unlock()
		return len(service.endpoints), service.published
	}
	testkit.WaitUntil(t, "one list is known", func() bool { lists, _ := state(); return lists == 1 })
	if _, published := state(); published {
		t.Error("a snapshot was published with one of two lists known")
	}
	service.pools["b"].loop.UpdateEndpoints(balance.Full, 1, nil) // an empty list counts as known
	testkit.WaitUntil(t, "a snapshot is published", func() bool { _, published := state(); return published })
}

// Where no proxy reports, weights follow the endpoints' own load reports, over out-of-band ORCA or probes.
func TestWeightsFollowEndpointReports(t *testing.T) {
	for _, source := range []string{"orca, fields: [util]}", "probes, fields: [util], every: 100ms}, probes: true"} {
		dir := t.TempDir()
		text := "destinations:\n"
		for i, util := range []float64{0.9, 0.3, 0.5} {
			n := 0
			address := ""
			if strings.HasPrefix(source, "orca") {
				instance, err := instances.New(func() *data.OrcaLoadReport {
					n++
					return &data.OrcaLoadReport{ApplicationUtilization: util + float64(n%7)/100}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer instance.Stop()
				address = instance.Address
			} else {
				var probes atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprintf(w, "util=%g", util+float64(probes.Add(1)%7)/100)
				}))
				defer server.Close()
				address = server.Listener.Addr().String()
			}
			text += fmt.Sprintf("  - {name: d%d, address: %q}\n", i, address)
		}
		if err := os.WriteFile(filepath.Join(dir, "a.yaml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := strings.Replace(validConfig, "classes:", "reports: {via: "+source+", classes:", 1)
		if strings.HasPrefix(source, "orca") {
			c = strings.Replace(c, "fields: [util]}", "fields: [util], every: 100ms}", 1)
		}
		f, err := Read(filepath.Join(dir, "c.yaml"), []byte(c))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		clock, discardLog := routing.NewClock(), slog.New(slog.DiscardHandler)
		service, err := Start(ctx, f, newWatcher(t), xdsserver.NewHub(clock.Now), clock, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		testkit.WaitUntil(t, "weights follow the load reports, source "+source, func() bool {
			v, ok := service.pools["a"].loop.View(time.Second)
			return ok && len(v.Endpoints) == 3 && v.Endpoints[1].Weight > 1.5*v.Endpoints[0].Weight
		})
		if strings.HasPrefix(source, "orca") && service.Status().OutOfBand["a"].Reporting != 3 {
			t.Errorf("out-of-band counts %+v, want reports of 3 endpoints", service.Status().OutOfBand)
		}
		cancel()
	}
}
