package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// startSidecar starts a sidecar through a shell, with a limit on its file descriptors; 0 leaves the limit unchanged.
func startSidecar(t *testing.T, configPath string, maxDescriptors int) (*exec.Cmd, *testkit.LogBuffer) {
	t.Helper()
	limit := ""
	if maxDescriptors > 0 {
		limit = fmt.Sprintf("ulimit -n %d && ", maxDescriptors)
	}
	c, log := exec.Command("sh", "-c", limit+"exec "+binary+" serve"), &testkit.LogBuffer{}
	c.Env, c.Stderr = append(os.Environ(), "ROUTER_CONFIG="+configPath), log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, log
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// isReady asks a sidecar once whether it is ready.
func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	text, _ := io.ReadAll(c)
	return strings.HasPrefix(string(text), "HTTP/1.1 200 ")
}

// startDiscovery starts a discovery server that sends one list on each watch. The returned channel gets the index from which each
// watch asks.
func startDiscovery(t *testing.T, address, list string) chan string {
	t.Helper()
	watchedFrom := make(chan string, 999)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watchedFrom <- r.FormValue("since")
		io.WriteString(w, list+"\n")
		for w.(http.Flusher).Flush(); r.Context().Err() == nil; w.(http.Flusher).Flush() {
			select {
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
			}
		}
	}))
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.Listener.Close()
	s.Listener = ln
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return watchedFrom
}

// A SIGHUP that arrives while the sidecar reads its configuration for the first time does not end the process. The file is read
// again, and the discovery address of the new content is used.
func TestSIGHUPWhileStarting(t *testing.T) {
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	list := `{"index":1,"snapshot":true,"endpoints":[]}`
	addresses := []string{testkit.ReserveAddress(t), testkit.ReserveAddress(t)}
	first, next := startDiscovery(t, addresses[0], list), startDiscovery(t, addresses[1], list)
	c, log := startSidecar(t, path, 0)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the sidecar opens the file
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	os.Remove(path)
	writeFile(t, path, configJSON(listen, addresses[1], 64, "ask"))
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(pipe, configJSON(listen, addresses[0], 64, "ask")); err != nil {
		t.Fatalf("the sidecar has exited: %v; %s", err, log)
	}
	pipe.Close()
	select {
	case <-next:
	case <-time.After(20 * time.Second):
		t.Errorf("the second discovery was not asked for a watch, the first %d times; %s", len(first), log)
	}
}

// After a SIGHUP that arrives while the configuration is partially written, the file is read again until it is valid, without
// another signal, and then its discovery is watched. The error is logged once.
func TestSIGHUPWithPartialFile(t *testing.T) {
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	list := `{"index":1,"snapshot":true,"endpoints":[]}`
	addresses := []string{testkit.ReserveAddress(t), testkit.ReserveAddress(t)}
	first, next := startDiscovery(t, addresses[0], list), startDiscovery(t, addresses[1], list)
	writeFile(t, path, configJSON(listen, addresses[0], 64, "ask"))
	c, log := startSidecar(t, path, 0)
	<-first
	full := configJSON(listen, addresses[1], 64, "ask")
	writeFile(t, path, full[:len(full)/2])
	c.Process.Signal(syscall.SIGHUP)
	testkit.WaitUntil(t, "the partial file is rejected", func() bool { return log.Count("is not taken") > 0 })
	time.Sleep(300 * time.Millisecond)
	writeFile(t, path, full)
	select {
	case <-next:
	case <-time.After(10 * time.Second):
		t.Fatalf("the second discovery was not asked for a watch; %s", log)
	}
	if n := log.Count("is not taken"); n != 1 {
		t.Errorf("the rejection was logged %d times, want 1", n)
	}
}

// While discovery is down, clients that send nothing hold as many connections as the sidecar accepts, and reconnect whenever one
// is closed. When discovery is up again, it is asked within 6 s, its endpoint gets requests, and new clients are served. Guards
// against idle client connections using up the file descriptors that the sidecar needs for its own connections.
func TestIdleConnectionsWhileDiscoveryIsDown(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	defer endpoint.Close()
	path, listen, discovery := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t), testkit.ReserveAddress(t)
	writeFile(t, path, configJSON(listen, discovery, 64, "ask"))
	_, log := startSidecar(t, path, 64)
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(listen) })
	var done atomic.Bool
	defer done.Store(true)
	for range 150 {
		go func() {
			for !done.Load() {
				if c, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
					c.SetReadDeadline(time.Now().Add(5 * time.Second))
					c.Read(make([]byte, 1))
					c.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	watchedFrom := startDiscovery(t, discovery, fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`, endpointJSON(endpoint.Listener.Addr(), "Ready")))
	select {
	case <-watchedFrom:
	case <-time.After(6 * time.Second):
		t.Fatalf("discovery was not asked for a watch within 6 s; %s", log)
	}
	served := 0
	for i := range 20 {
		c, err := net.DialTimeout("tcp", listen, 3*time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c%d\r\nConnection: close\r\n\r\n", i)
		if text, _ := io.ReadAll(c); strings.HasPrefix(string(text), "HTTP/1.1 200 ") {
			served++
		}
		c.Close()
	}
	if served < 18 {
		t.Errorf("%d of 20 clients were served, want at least 18; %s", served, log)
	}
	if n := log.Count("too many open files"); n > 0 {
		t.Errorf("file descriptors ran out %d times", n)
	}
}

// Twenty sidecars start together while discovery accepts their connections and answers none of their calls: nine in ten are ready
// within 10 s, all within 30 s.
func TestSimultaneousStart(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and nothing reads from them
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dir := t.TempDir()
	var addresses []string
	start := time.Now()
	for i := range 20 {
		path, listen := filepath.Join(dir, fmt.Sprint(i)), testkit.ReserveAddress(t)
		writeFile(t, path, configJSON(listen, ln.Addr().String(), 64, "ask"))
		startSidecar(t, path, 0)
		addresses = append(addresses, listen)
	}
	for n, listen := range addresses {
		testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(listen) })
		elapsed := time.Since(start)
		if n < 18 && elapsed > 10*time.Second || elapsed > 30*time.Second {
			t.Fatalf("%d sidecars were ready only after %v", n+1, elapsed)
		}
	}
}

// In push mode the sidecar opens a watch, too, as a change counts as notified even if the sidecar has no watch on which to receive
// it from the agent.
func TestWatchInPushMode(t *testing.T) {
	path, listen, discovery := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t), testkit.ReserveAddress(t)
	writeFile(t, path, configJSON(listen, discovery, 64, "push"))
	watchedFrom := startDiscovery(t, discovery, `{"index":2,"snapshot":true,"endpoints":[]}`)
	_, log := startSidecar(t, path, 0)
	select {
	case since := <-watchedFrom:
		if since != "1" {
			t.Errorf("the watch asks from index %s, want 1", since)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no watch was opened; %s", log)
	}
}

// An idempotency key is forwarded unchanged with every attempt of its request. A request with an invalid key, without a required
// one or with one in a class that allows none is rejected and reaches no endpoint.
func TestIdempotencyKeyForwarded(t *testing.T) {
	keys := make(chan []string, 99)
	var calls atomic.Int32
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Values("Idempotency-Key")
		if calls.Add(1) == 1 {
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(503)
		}
	}))
	defer endpoint.Close()
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	writeFile(t, path, strings.Replace(configJSON(listen, testkit.ReserveAddress(t), 64, "ask", endpointJSON(endpoint.Listener.Addr(), "Ready")), `{"name":"pay"`,
		`{"name":"cut","repeat":"keyed","group":"all","windowS":5,"aimS":3,"giveUpS":3,"points":2},{"name":"pay"`, 1))
	startSidecar(t, path, 0)
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(listen) })
	for i, c := range []struct{ class, key, want string }{{"cut", "a key=1", "400"}, {"cut", "", "400"}, {"pay", "k", "400"}, {"cut", "k-1/+=", "200"}} {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		field := ""
		if c.key != "" {
			field = "Idempotency-Key: " + c.key + "\r\n"
		}
		fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: k%d\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", c.class, i, field)
		text, _ := io.ReadAll(conn)
		conn.Close()
		if !strings.HasPrefix(string(text), "HTTP/1.1 "+c.want+" ") {
			t.Errorf("class %s with key %q got %.60q", c.class, c.key, text)
		}
	}
	if len(keys) != 2 {
		t.Fatalf("%d requests reached the endpoint, want two attempts of one", len(keys))
	}
	for range 2 {
		if k := <-keys; len(k) != 1 || k[0] != "k-1/+=" {
			t.Errorf("an attempt carries the keys %q", k)
		}
	}
}
