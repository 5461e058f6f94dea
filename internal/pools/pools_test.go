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

// service is a stand-in for the destinations of a pool.
type service struct {
	address string
	open    atomic.Int32
	served  atomic.Int32
	frozen  chan struct{} // closed when it thaws; nil while it serves
}

func serve(t *testing.T, name string, frozen chan struct{}) *service {
	t.Helper()
	s := &service{frozen: frozen}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		if frozen != nil {
			<-frozen
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

// process is a Set with its configuration in a folder.
type process struct {
	*Set
	t       *testing.T
	dir     string
	address string
}

func start(t *testing.T, services map[string]*service, text string) *process {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, dir: t.TempDir(), address: ln.Addr().String()}
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
	if err := p.take(text); err != nil {
		t.Fatal(err)
	}
	return p
}

// take applies a configuration of pools and routes.
func (p *process) take(text string) error {
	p.t.Helper()
	f, err := config.Read(filepath.Join(p.dir, "c.yaml"), []byte(fmt.Sprintf("name: t\nlisteners: [{address: %q}]\n%s", p.address, text)))
	if err != nil {
		p.t.Fatal(err)
	}
	return p.Apply(f)
}

const class = "classes: [{name: any, effect: unsafe, methods: [GET, POST], aim: 1s, deadline: %s}]"

func entry(name, deadline, more string) string {
	return fmt.Sprintf("  - {name: %s, members: {file: %s.yaml}, "+class+more+"}\n", name, name, deadline)
}

// ask sends one request on a connection of its own.
func (p *process) ask(host, path string) (status int, body string, head http.Header) {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, host)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.t.Error(err)
		return 0, "", nil
	}
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text), r.Header
}

func (p *process) want(host, path string, status int, body string) {
	p.t.Helper()
	if got, text, _ := p.ask(host, path); got != status || body != "" && text != body {
		p.t.Errorf("%s%s: %d %q, want %d %q", host, path, got, text, status, body)
	}
}

// Requests reach the pool of their route, a destination's own answer comes through, and what no route fits goes nowhere.
func TestRequestsReachTheirPool(t *testing.T) {
	a, b := serve(t, "a", nil), serve(t, "b", nil)
	p := start(t, map[string]*service{"a": a, "b": b}, "pools:\n"+entry("a", "2s", "")+entry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {hosts: [b.test], pool: b}]\n")
	p.want("x", "/a/1", 200, "a")
	p.want("b.test", "/teapot", 418, "b")
	p.want("b.test", "http://b.test/abs", 200, "b")
	p.want("x", "/other", 404, "")
	p.want("x", "/a/../other", 400, "")
	if n := a.served.Load() + b.served.Load(); n != 3 {
		t.Errorf("%d requests reached a destination, want 3", n)
	}
}

// A frozen pool is full at its share and answers busy at once with advice; the others serve on.
func TestFrozenPoolHarmsNoOther(t *testing.T) {
	thaw := make(chan struct{})
	a, b := serve(t, "a", thaw), serve(t, "b", nil)
	p := start(t, map[string]*service{"a": a, "b": b}, "pools:\n"+entry("a", "5s", ", shares: {operations: {guaranteed: 4, most: 4}}")+entry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n")
	ended := make(chan int, 4)
	for range 4 {
		go func() { status, _, _ := p.ask("x", "/a"); ended <- status }()
	}
	testkit.WaitUntil(t, "four operations are open", func() bool { _, _, u := p.limits.uses("operations"); return u["a"].Used == 4 })
	for range 20 {
		status, _, head := p.ask("x", "/a")
		if status != 503 || head.Get("Retry-After") == "" {
			t.Fatalf("answered %d, Retry-After %q", status, head.Get("Retry-After"))
		}
		p.want("x", "/b", 200, "b")
	}
	close(thaw)
	for range 4 {
		<-ended
	}
	testkit.WaitUntil(t, "all is given back", func() bool {
		for _, key := range []string{"operations", "parked", "memory_kb"} {
			if _, used, _ := p.limits.uses(key); used != 0 {
				return false
			}
		}
		return true
	})
	if n := b.served.Load(); n != 20 {
		t.Errorf("b served %d of 20", n)
	}
}

// While pools come, change and go, what is open in them ends by the rules, and a bad configuration changes nothing.
func TestApplyWhileServing(t *testing.T) {
	thaw := make(chan struct{})
	a, b := serve(t, "a", thaw), serve(t, "b", nil)
	both := "pools:\n" + entry("a", "3s", "") + entry("b", "2s", "") + "routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n"
	only := "pools:\n" + entry("b", "2s", "") + "routes: [{path: /b, pool: b}]\n"
	p := start(t, map[string]*service{"a": a, "b": b}, both)
	kept := p.pools["b"]
	answered := make(chan string, 1)
	go func() { _, text, _ := p.ask("x", "/a"); answered <- text }()
	testkit.WaitUntil(t, "the operation is at its destination", func() bool { return a.open.Load() == 1 })
	if err := p.take(only); err != nil {
		t.Fatal(err)
	}
	p.want("x", "/a", 404, "")
	if p.pools["b"] != kept {
		t.Error("a pool that did not change was started anew")
	}
	close(thaw)
	if text := <-answered; text != "a" {
		t.Errorf("the operation in the removed pool was answered %q", text)
	}
	if err := p.take(both); err != nil {
		t.Fatal(err)
	}
	p.want("x", "/a", 200, "a")
	testkit.WaitUntil(t, "the removed pool is forgotten", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.retired) == 0 })
	before := p.pools["a"]
	os.Remove(filepath.Join(p.dir, "b.yaml"))
	bad := "pools:\n" + entry("a", "4s", "") + entry("c", "2s", "") + "routes: [{path: /c, pool: c}]\n"
	if err := p.take(bad); err == nil || !strings.Contains(err.Error(), `pool "c"`) {
		t.Errorf("a pool without its list: %v", err)
	}
	if p.pools["a"] != before || p.pools["c"] != nil {
		t.Error("a refused configuration changed pools")
	}
	p.want("x", "/a", 200, "a")
	if err := p.take("pools:\n" + entry("a", "4s", "") + "routes: [{path: /a, pool: a}]\n"); err != nil || p.pools["a"] == before {
		t.Errorf("a changed pool was not started anew: %v", err)
	}
	p.want("x", "/a", 200, "a")
	p.want("x", "/b", 404, "")
}

// A pool that asks for its own connections while others have borrowed them gets one that stands idle.
func TestIdleConnectionsAreGivenBack(t *testing.T) {
	a, b := serve(t, "a", nil), serve(t, "b", nil)
	p := start(t, map[string]*service{"a": a, "b": b}, "limits: {sockets: 64}\npools:\n"+entry("a", "2s", "")+entry("b", "2s", "")+
		"routes: [{path: /a, pool: a}, {path: /b, pool: b}]\n")
	r := room{p.limits, "a"}
	p.want("x", "/b", 200, "b") // one idle connection
	testkit.WaitUntil(t, "b's connection is idle", func() bool { _, used, _ := p.limits.uses("connections"); return used == 1 })
	rb := room{p.limits, "b"}
	for rb.take() {
	}
	whole, _, uses := p.limits.uses("connections")
	if uses["b"].Borrowed == 0 || whole == uses["b"].Used {
		t.Fatalf("b borrowed %+v of %d", uses["b"], whole)
	}
	n := 0
	for r.take() {
		n++
	}
	if !r.Acquire() || r.Acquire() {
		t.Errorf("after %d spare ones a gets the one that b left idle, and no more", n)
	}
}

// The admin socket shows pools, limits and destinations of the live process, also while a pool is stuck or being retired.
func TestAdminSocket(t *testing.T) {
	thaw := make(chan struct{})
	a, b := serve(t, "a", thaw), serve(t, "b", nil)
	only := "pools:\n" + entry("b", "2s", "") + "routes: [{path: /b, pool: b}]\n"
	p := start(t, map[string]*service{"a": a, "b": b}, "pools:\n"+entry("a", "3s", "")+entry("b", "2s", "")+"routes: [{path: /a, pool: a}]\n")
	path := filepath.Join(p.dir, "admin.sock")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.Admin(ctx, path); err != nil {
		t.Fatal(err)
	}
	if err := p.Admin(ctx, path); err == nil {
		t.Error("a socket that is in use was taken")
	}
	answered := make(chan int, 1)
	go func() { status, _, _ := p.ask("x", "/a"); answered <- status }()
	testkit.WaitUntil(t, "the operation is at its destination", func() bool { return a.open.Load() == 1 })
	s, err := Ask(path)
	if err != nil || len(s.Pools) != 2 || s.Pools[0].Name != "a" || s.Pools[0].Open != 1 || s.Pools[0].Destinations[0].InFlight != 1 ||
		s.Pools[0].Destinations[0].State != "ready" || s.Pools[0].Shares["operations"].Used != 1 || s.Limits["operations"].Used != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	if err := p.take(only); err != nil {
		t.Fatal(err)
	}
	if s, err := Ask(path); err != nil || !s.Pools[0].Retired || s.Pools[0].Open != 1 || s.Pools[1].Retired {
		t.Errorf("%+v, %v", s, err)
	}
	close(thaw)
	if status := <-answered; status != 200 {
		t.Errorf("answered %d", status)
	}
	cancel()
	testkit.WaitUntil(t, "the socket is closed", func() bool { _, err := Ask(path); return err != nil })
}

// A pool whose settings change while discovery says nothing goes on with the list that its predecessor had: what was ready is
// sent to, and what drains is not.
func TestChangedPoolKeepsItsList(t *testing.T) {
	a, gone := serve(t, "a", nil), serve(t, "gone", nil)
	var silent atomic.Bool
	calls := make(chan bool, 99)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls <- true; !silent.Load() {
			one := `{"name":%q,"address":%q,"zone":"","type":"","group":0,"status":%q,"weight":1,"since_ms":0}`
			fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[`+one+","+one+"]}\n", "a", a.address, "Ready", "gone", gone.address, "Terminating")
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	text := func(deadline string) string {
		return fmt.Sprintf("pools:\n  - {name: a, members: {discovery: %q}, "+class+"}\nroutes: [{path: /, pool: a}]\n",
			discovery.Listener.Addr(), deadline)
	}
	p := start(t, nil, text("2s"))
	testkit.WaitUntil(t, "the list is there", func() bool { return len(p.Status().Pools[0].Destinations) == 2 })
	silent.Store(true)
	if err := p.take(text("3s")); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.want("x", "/", 200, "a")
	}
	if n := gone.served.Load(); n > 0 {
		t.Errorf("%d requests went to what drains", n)
	}
}
