package pools

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/testkit"
)

// stubService is the endpoint of a pool.
type stubService struct {
	address string
	open    atomic.Int32
	served  atomic.Int32
	resume  chan struct{} // requests wait until it is closed; nil: they do not wait
}

// startStubService starts an endpoint that answers with its name, after resume is closed unless that is nil.
func startStubService(t *testing.T, name string, resume chan struct{}) *stubService {
	t.Helper()
	s := &stubService{resume: resume}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		if resume != nil {
			<-resume
		}
		s.served.Add(1)
		if r.URL.Path == "/teapot" {
			w.WriteHeader(418)
		}
		fmt.Fprint(w, name)
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return s
}

// testProcess is a Set whose configuration and endpoint lists are in a temporary directory.
type testProcess struct {
	*Set
	t       *testing.T
	dir     string
	address string
}

// startProcess starts a Set on a free port with a list file for each service and the configuration text.
func startProcess(t *testing.T, services map[string]*stubService, text string) *testProcess {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{t: t, dir: t.TempDir(), address: ln.Addr().String()}
	ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p.Set = New(ctx, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		for _, ln := range p.listeners {
			ln.Close()
		}
	})
	for name, s := range services {
		list := fmt.Sprintf("destinations: [{name: %s-1, address: %q}]\n", name, s.address)
		if err := os.WriteFile(filepath.Join(p.dir, name+".yaml"), []byte(list), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.apply(text); err != nil {
		t.Fatal(err)
	}
	return p
}

// apply applies a configuration given by its pools and routes.
func (p *testProcess) apply(text string) error {
	p.t.Helper()
	f, err := config.Read(filepath.Join(p.dir, "c.yaml"), []byte(fmt.Sprintf("name: t\nlisteners: [{address: %q}]\n%s", p.address, text)))
	if err != nil {
		p.t.Fatal(err)
	}
	return p.Apply(f)
}

const classFormat = "classes: [{name: any, effect: unsafe, methods: [GET, POST], aim: 1s, deadline: %s}]"

// poolEntry returns the configuration of a pool with one class and a list file.
func poolEntry(name, deadline, more string) string {
	return fmt.Sprintf("  - {name: %s, members: {file: %s.yaml}, "+classFormat+more+"}\n", name, name, deadline)
}

// get sends one request on a new connection.
func (p *testProcess) get(host, path string) (status int, body string, header http.Header) {
	p.t.Helper()
	return p.getWithHeader(host, path, "")
}

// getWithHeader is get with further header lines.
func (p *testProcess) getWithHeader(host, path, lines string) (status int, body string, header http.Header) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s\r\n", path, host, lines)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.t.Error(err)
		return 0, "", nil
	}
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text), r.Header
}

// expect sends one request and checks the status of the response, and its body unless that is empty.
func (p *testProcess) expect(host, path string, status int, body string) {
	p.t.Helper()
	if got, text, _ := p.get(host, path); got != status || body != "" && text != body {
		p.t.Errorf("%s%s: %d %q, want %d %q", host, path, got, text, status, body)
	}
}

// Requests reach the pool of their route, the endpoint's response is passed through, and requests that match no route reach no
// endpoint.
func TestRequestsReachTheirPool(t *testing.T) {
	a, b := startStubService(t, "a", nil), startStubService(t, "b", nil)
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, "pools:\n"+poolEntry("a", "2s", "")+poolEntry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {hosts: [b.test], pool: b}]\n")
	p.expect("x", "/a/1", 200, "a")
	p.expect("b.test", "/teapot", 418, "b")
	p.expect("b.test", "http://b.test/abs", 200, "b")
	p.expect("x", "/other", 404, "")
	p.expect("x", "/a/../other", 400, "")
	if n := a.served.Load() + b.served.Load(); n != 3 {
		t.Errorf("%d requests reached an endpoint, want 3", n)
	}
}

// A pool whose endpoint does not answer rejects requests above its share at once, with Retry-After; other pools are not affected.
func TestFrozenPoolDoesNotAffectOthers(t *testing.T) {
	resume := make(chan struct{})
	a, b := startStubService(t, "a", resume), startStubService(t, "b", nil)
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, "pools:\n"+poolEntry("a", "5s", ", shares: {operations: {guaranteed: 4, most: 4}}")+poolEntry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n")
	ended := make(chan int, 4)
	for range 4 {
		go func() { status, _, _ := p.get("x", "/a"); ended <- status }()
	}
	testkit.WaitUntil(t, "four requests are pending", func() bool { _, _, u := p.limits.usage("operations"); return u["a"].Used == 4 })
	for range 20 {
		status, _, header := p.get("x", "/a")
		if status != 503 || header.Get("Retry-After") == "" {
			t.Fatalf("status %d, Retry-After %q", status, header.Get("Retry-After"))
		}
		p.expect("x", "/b", 200, "b")
	}
	close(resume)
	for range 4 {
		<-ended
	}
	testkit.WaitUntil(t, "all units are released", func() bool {
		for _, key := range []string{"operations", "parked", "memory_kb"} {
			if _, used, _ := p.limits.usage(key); used != 0 {
				return false
			}
		}
		return true
	})
	if n := b.served.Load(); n != 20 {
		t.Errorf("b served %d requests, want 20", n)
	}
}

// Pools are added, changed and removed while they serve: requests in flight still finish, and an invalid configuration changes
// nothing.
func TestApplyWhileServing(t *testing.T) {
	resume := make(chan struct{})
	a, b := startStubService(t, "a", resume), startStubService(t, "b", nil)
	both := "pools:\n" + poolEntry("a", "3s", "") + poolEntry("b", "2s", "") + "routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n"
	onlyB := "pools:\n" + poolEntry("b", "2s", "") + "routes: [{path: /b, pool: b}]\n"
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, both)
	kept := p.pools["b"]
	answered := make(chan string, 1)
	go func() { _, text, _ := p.get("x", "/a"); answered <- text }()
	testkit.WaitUntil(t, "the request is at its endpoint", func() bool { return a.open.Load() == 1 })
	if err := p.apply(onlyB); err != nil {
		t.Fatal(err)
	}
	p.expect("x", "/a", 404, "")
	if p.pools["b"] != kept {
		t.Error("a pool that did not change was restarted")
	}
	close(resume)
	if text := <-answered; text != "a" {
		t.Errorf("the request in the removed pool was answered %q", text)
	}
	if err := p.apply(both); err != nil {
		t.Fatal(err)
	}
	p.expect("x", "/a", 200, "a")
	testkit.WaitUntil(t, "the removed pool has ended", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.retired) == 0 })
	before := p.pools["a"]
	os.Remove(filepath.Join(p.dir, "b.yaml"))
	invalid := "pools:\n" + poolEntry("a", "4s", "") + poolEntry("c", "2s", "") + "routes: [{path: /c, pool: c}]\n"
	if err := p.apply(invalid); err == nil || !strings.Contains(err.Error(), `pool "c"`) {
		t.Errorf("pool without its list file: %v", err)
	}
	if p.pools["a"] != before || p.pools["c"] != nil {
		t.Error("a rejected configuration changed pools")
	}
	p.expect("x", "/a", 200, "a")
	if err := p.apply("pools:\n" + poolEntry("a", "4s", "") + "routes: [{path: /a, pool: a}]\n"); err != nil || p.pools["a"] == before {
		t.Errorf("a changed pool was not restarted: %v", err)
	}
	p.expect("x", "/a", 200, "a")
	p.expect("x", "/b", 404, "")
}

// A request that states more time than its class has is served although its pool is removed meanwhile. Guards against a pool that is
// ended by its classes' deadlines while requests are in flight.
func TestRemovedPoolServesLongerRequests(t *testing.T) {
	resume := make(chan struct{})
	a, b := startStubService(t, "a", resume), startStubService(t, "b", nil)
	pools, entryB := "pools:\n", poolEntry("b", "1s", "")
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, pools+poolEntry("a", "1s, late_worth: 0.5", "")+entryB+"routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n")
	answered := make(chan string, 1)
	go func() {
		_, text, _ := p.getWithHeader("x", "/a", "X-Time-Left-Ms: 10000\r\n")
		answered <- text
	}()
	testkit.WaitUntil(t, "the request is at its endpoint", func() bool { return a.open.Load() == 1 })
	if err := p.apply(pools + entryB + "routes: [{path: /b, pool: b}]\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second + retireMargin + 200*time.Millisecond)
	close(resume)
	if text := <-answered; text != "a" {
		t.Errorf("the request in the removed pool was answered %q", text)
	}
	testkit.WaitUntil(t, "the removed pool has ended", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.retired) == 0 })
}

// When another pool has borrowed connections that are guaranteed to a pool, the pool gets an idle one of them.
func TestIdleBorrowedConnectionIsEvicted(t *testing.T) {
	a, b := startStubService(t, "a", nil), startStubService(t, "b", nil)
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, "limits: {sockets: 64}\npools:\n"+poolEntry("a", "2s", "")+poolEntry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n")
	limiterA := connLimiter{p.limits, "a"}
	p.expect("x", "/b", 200, "b") // one idle connection
	testkit.WaitUntil(t, "b's connection is idle", func() bool { _, used, _ := p.limits.usage("connections"); return used == 1 })
	limiterB := connLimiter{p.limits, "b"}
	for limiterB.tryAcquire() {
	}
	total, _, usage := p.limits.usage("connections")
	if usage["b"].Borrowed == 0 || total == usage["b"].Used {
		t.Fatalf("usage of b is %+v of %d connections", usage["b"], total)
	}
	n := 0
	for limiterA.tryAcquire() {
		n++
	}
	if !limiterA.Acquire() || limiterA.Acquire() {
		t.Errorf("after %d free connections a must get exactly one more, the idle one of b", n)
	}
}

// The admin socket shows the pools, limits and endpoints of the running process, also while requests wait and a pool is being
// retired.
func TestAdminSocket(t *testing.T) {
	resume := make(chan struct{})
	a, b := startStubService(t, "a", resume), startStubService(t, "b", nil)
	onlyB := "pools:\n" + poolEntry("b", "2s", "") + "routes: [{path: /b, pool: b}]\n"
	p := startProcess(t, map[string]*stubService{"a": a, "b": b}, "pools:\n"+poolEntry("a", "3s", "")+poolEntry("b", "2s", "")+"routes: [{path: /a, pool: a}]\n")
	path := filepath.Join(p.dir, "admin.sock")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.ServeAdmin(ctx, path); err != nil {
		t.Fatal(err)
	}
	if err := p.ServeAdmin(ctx, path); err == nil {
		t.Error("a socket in use was replaced")
	}
	answered := make(chan int, 1)
	go func() { status, _, _ := p.get("x", "/a"); answered <- status }()
	testkit.WaitUntil(t, "the request is at its endpoint", func() bool { return a.open.Load() == 1 })
	s, err := ReadStatus(path)
	if err != nil || len(s.Pools) != 2 || s.Pools[0].Name != "a" || s.Pools[0].Pending != 1 || s.Pools[0].Endpoints[0].InFlight != 1 ||
		s.Pools[0].Endpoints[0].State != "ready" || s.Pools[0].Shares["operations"].Used != 1 || s.Limits["operations"].Used != 1 {
		t.Errorf("status %+v, %v", s, err)
	}
	if err := p.apply(onlyB); err != nil {
		t.Fatal(err)
	}
	if s, err := ReadStatus(path); err != nil || !s.Pools[0].Retired || s.Pools[0].Pending != 1 || s.Pools[1].Retired {
		t.Errorf("status %+v, %v", s, err)
	}
	close(resume)
	if status := <-answered; status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	cancel()
	testkit.WaitUntil(t, "the socket is closed", func() bool { _, err := ReadStatus(path); return err != nil })
}

// A pool whose settings change while discovery sends no list continues with the endpoint list of its predecessor: ready
// endpoints receive requests, draining ones do not.
func TestChangedPoolKeepsEndpointList(t *testing.T) {
	a, draining := startStubService(t, "a", nil), startStubService(t, "gone", nil)
	var silent atomic.Bool
	calls := make(chan bool, 99)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls <- true; !silent.Load() {
			format := `{"name":%q,"address":%q,"zone":"","type":"","group":0,"status":%q,"weight":1,"since_ms":0}`
			fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[`+format+","+format+"]}\n", "a", a.address, "Ready", "gone", draining.address, "Terminating")
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	text := func(deadline string) string {
		return fmt.Sprintf("pools:\n  - {name: a, members: {discovery: %q}, "+classFormat+"}\nroutes: [{path: /, pool: a}]\n",
			discovery.Listener.Addr(), deadline)
	}
	p := startProcess(t, nil, text("2s"))
	testkit.WaitUntil(t, "the endpoint list has arrived", func() bool { return len(p.Status().Pools[0].Endpoints) == 2 })
	silent.Store(true)
	if err := p.apply(text("3s")); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.expect("x", "/", 200, "a")
	}
	if n := draining.served.Load(); n > 0 {
		t.Errorf("%d requests went to a draining endpoint", n)
	}
}
