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

// launch starts a sidecar as a shell starts it, with a limit on its descriptors; 0 leaves that as it is.
func launch(t *testing.T, config string, descriptors int) (*exec.Cmd, *testkit.LogBuffer) {
	t.Helper()
	limit := ""
	if descriptors > 0 {
		limit = fmt.Sprintf("ulimit -n %d && ", descriptors)
	}
	c, log := exec.Command("sh", "-c", limit+"exec "+binary+" serve"), &testkit.LogBuffer{}
	c.Env, c.Stderr = append(os.Environ(), "ROUTER_CONFIG="+config), log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, log
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ready asks once whether a sidecar is.
func ready(address string) bool {
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

// watched is a discovery that tells one list, and tells on a channel who asks.
func watched(t *testing.T, address, list string) chan string {
	t.Helper()
	asked := make(chan string, 999)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.FormValue("since")
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
	return asked
}

// SIGHUP comes while the sidecar reads its configuration for the first time: it does not end the process, and the
// discovery that the file names then counts.
func TestSIGHUPWhileStarting(t *testing.T) {
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	list := `{"index":1,"snapshot":true,"endpoints":[]}`
	addresses := []string{testkit.ReserveAddress(t), testkit.ReserveAddress(t)}
	first, next := watched(t, addresses[0], list), watched(t, addresses[1], list)
	c, log := launch(t, path, 0)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the sidecar reads
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	os.Remove(path)
	write(t, path, configured(listen, addresses[1], 64, "ask"))
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(pipe, configured(listen, addresses[0], 64, "ask")); err != nil {
		t.Fatalf("the sidecar has gone: %v; %s", err, log)
	}
	pipe.Close()
	select {
	case <-next:
	case <-time.After(20 * time.Second):
		t.Errorf("the second discovery was not asked, the first %d times; %s", len(first), log)
	}
}

// SIGHUP comes while the configuration is half written: the file is read again until it is whole, without another signal, and
// once it is good its discovery is watched.
func TestSIGHUPOverAHalfWrittenFile(t *testing.T) {
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	list := `{"index":1,"snapshot":true,"endpoints":[]}`
	addresses := []string{testkit.ReserveAddress(t), testkit.ReserveAddress(t)}
	first, next := watched(t, addresses[0], list), watched(t, addresses[1], list)
	write(t, path, configured(listen, addresses[0], 64, "ask"))
	c, log := launch(t, path, 0)
	<-first
	whole := configured(listen, addresses[1], 64, "ask")
	write(t, path, whole[:len(whole)/2])
	c.Process.Signal(syscall.SIGHUP)
	testkit.WaitUntil(t, "the half file is refused", func() bool { return log.Count("is not taken") > 0 })
	time.Sleep(300 * time.Millisecond)
	write(t, path, whole)
	select {
	case <-next:
	case <-time.After(10 * time.Second):
		t.Fatalf("the second discovery is not asked; %s", log)
	}
	if n := log.Count("is not taken"); n != 1 {
		t.Errorf("the refusal is logged %d times", n)
	}
}

// Clients that ask nothing hold all the descriptors that there are, and come again for each that is closed, while discovery
// is down. When it is back it is asked within 6 s, the instance that it names is reached, and a client that comes then is
// served.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	destination := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	defer destination.Close()
	path, listen, discovery := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t), testkit.ReserveAddress(t)
	write(t, path, configured(listen, discovery, 64, "ask"))
	_, log := launch(t, path, 64)
	testkit.WaitUntil(t, "it is ready", func() bool { return ready(listen) })
	var over atomic.Bool
	defer over.Store(true)
	for range 150 {
		go func() {
			for !over.Load() {
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
	asked := watched(t, discovery, fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`, entry(destination.Listener.Addr(), "Ready")))
	select {
	case <-asked:
	case <-time.After(6 * time.Second):
		t.Fatalf("discovery is not asked within 6 s; %s", log)
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
		t.Errorf("%d of 20 clients were served; %s", served, log)
	}
	if n := log.Count("too many open files"); n > 0 {
		t.Errorf("descriptors ran out %d times", n)
	}
}

// Twenty sidecars start together while discovery takes their calls and answers none: nine in ten are ready within 10 s, all
// within 30 s.
func TestRestartedTogether(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // its system takes connections, and nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dir := t.TempDir()
	var listens []string
	began := time.Now()
	for i := range 20 {
		path, listen := filepath.Join(dir, fmt.Sprint(i)), testkit.ReserveAddress(t)
		write(t, path, configured(listen, ln.Addr().String(), 64, "ask"))
		launch(t, path, 0)
		listens = append(listens, listen)
	}
	for n, listen := range listens {
		testkit.WaitUntil(t, "it is ready", func() bool { return ready(listen) })
		took := time.Since(began)
		if n < 18 && took > 10*time.Second || took > 30*time.Second {
			t.Fatalf("%d are ready after %v", n+1, took)
		}
	}
}

// Where lists are pushed, what the sidecar beside the agent is not told by a watch that it never opened still counts.
func TestPushedListIsWatched(t *testing.T) {
	path, listen, discovery := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t), testkit.ReserveAddress(t)
	write(t, path, configured(listen, discovery, 64, "push"))
	asked := watched(t, discovery, `{"index":2,"snapshot":true,"endpoints":[]}`)
	_, log := launch(t, path, 0)
	select {
	case since := <-asked:
		if since != "1" {
			t.Errorf("asked from %s", since)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no watch is opened; %s", log)
	}
}

// A key goes on unchanged with every attempt of its request, and one that is missing or stands where none belongs is told
// so and reaches nobody.
func TestKeyGoesOnWithEveryAttempt(t *testing.T) {
	keys := make(chan []string, 99)
	var calls atomic.Int32
	destination := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Values("Idempotency-Key")
		if calls.Add(1) == 1 {
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(503)
		}
	}))
	defer destination.Close()
	path, listen := filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	write(t, path, strings.Replace(configured(listen, testkit.ReserveAddress(t), 64, "ask", entry(destination.Listener.Addr(), "Ready")), `{"name":"pay"`,
		`{"name":"cut","repeat":"keyed","group":"all","windowS":5,"aimS":3,"giveUpS":3,"points":2},{"name":"pay"`, 1))
	launch(t, path, 0)
	testkit.WaitUntil(t, "it is ready", func() bool { return ready(listen) })
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
			t.Errorf("%s with key %q got %.60q", c.class, c.key, text)
		}
	}
	if len(keys) != 2 {
		t.Fatalf("%d requests reached the destination, want two attempts of one", len(keys))
	}
	for range 2 {
		if k := <-keys; len(k) != 1 || k[0] != "k-1/+=" {
			t.Errorf("an attempt came with the keys %q", k)
		}
	}
}
