package main

import (
	"encoding/json"
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

	"kitewood/internal/release"
	"kitewood/internal/testkit"
)

// binary is the built sidecar, which the tests start as a deployment does.
var binary string

func TestMain(m *testing.M) {
	testkit.MainWithPrograms(m, func(dir string) { binary = filepath.Join(dir, "kitewood") }, "kitewood")
}

// platform is what stands around one sidecar: a destination that answers by its path, and discovery.
type platform struct {
	t       *testing.T
	address string
	process *exec.Cmd
	came    chan string   // requests at the destination
	hold    chan struct{} // lets go of what the path "hold" holds
	config  string        // the configuration file, and its text
	text    string
	watches chan string // from where each watch asks
	news    chan string // lines for the watch
	log     strings.Builder
	ended   chan error
	calls   atomic.Int32
}

func start(t *testing.T) *platform {
	p := &platform{t: t, came: make(chan string, 99), hold: make(chan struct{}), watches: make(chan string, 99),
		news: make(chan string), ended: make(chan error, 1)}
	destination := httptest.NewServer(http.HandlerFunc(p.destination))
	discovery := httptest.NewServer(http.HandlerFunc(p.watch))
	p.address = testkit.ReserveAddress(t)
	p.config = filepath.Join(t.TempDir(), "config.json")
	p.text = configured(p.address, discovery.Listener.Addr().String(), 1024, "ask", entry(destination.Listener.Addr(), "Ready"))
	p.configure(p.text)
	p.process = exec.Command(binary, "serve")
	p.process.Env = append(os.Environ(), "ROUTER_CONFIG="+p.config, "ROUTER_DISCOVERY="+discovery.Listener.Addr().String())
	p.process.Stderr = &p.log
	if err := p.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.process.Wait() }()
	t.Cleanup(func() {
		p.process.Process.Kill()
		destination.CloseClientConnections()
		discovery.CloseClientConnections()
		destination.Close()
		discovery.Close()
	})
	for range 1000 {
		if r, err := http.Get("http://" + p.address + "/health/ready"); err == nil {
			if r.Body.Close(); r.StatusCode == 200 {
				return p
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the sidecar is never ready")
	return nil
}

// configured is the text of a configuration with two classes.
func configured(listen, discovery string, sockets int, mode string, entries ...string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":%d},
"known":{"index":1,"snapshot":true,"endpoints":[%s]},"settings":{"profiles":[
 {"name":"look","repeat":"safe","aimS":3,"giveUpS":3,"points":1},{"name":"pay","repeat":"unsafe","aimS":3,"giveUpS":3,"points":3}],
"permissions":{"cancel":true,"retryAfter":true,"maxRetryAfterS":2,"connIdleS":30,"connectTimeoutS":0.25,"sendCap":4},
"invariants":{"stopSendingWithinS":0.5,"askWithinS":0.5},"registryMode":%q,"zones":["a"],"shapes":["m"]}}`,
		listen, discovery, sockets, strings.Join(entries, ","), mode)
}

func (p *platform) configure(text string) {
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// watch serves the watch of discovery.
func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	p.watches <- r.FormValue("since")
	for {
		w.(http.Flusher).Flush()
		select {
		case line := <-p.news:
			io.WriteString(w, line+"\n")
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

func entry(at net.Addr, status string) string {
	return fmt.Sprintf(`{"name":"s","address":%q,"zone":"a","type":"m","group":0,"status":%q,"weight":1,"since_ms":0}`, at, status)
}

// destination answers as the second part of the path says.
func (p *platform) destination(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	p.came <- r.Method + " " + r.RequestURI + " " + r.Header.Get("X-Correlation-Id") + " " + r.Header.Get("X-Time-Left-Ms")
	switch what := strings.Split(r.URL.Path, "/")[2]; what {
	case "error":
		w.WriteHeader(500)
	case "full":
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(503)
	case "cut":
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	case "half":
		w.Header().Set("Content-Length", "99")
		io.WriteString(w, "half")
	case "never":
		<-r.Context().Done()
	case "hold":
		<-p.hold
		io.WriteString(w, "held")
	default:
		w.Write(append([]byte("echo "), body...))
	}
}

// call sends one request and returns the status, the body and the header of the answer.
func (p *platform) call(method, path, body string) (int, string, http.Header) {
	q, err := http.NewRequest(method, "http://"+p.address+path, strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0, "", nil
	}
	q.Header.Set("X-Correlation-Id", fmt.Sprintf("9b1f%d", p.calls.Add(1)))
	q.Header.Set("X-Time-Left-Ms", "2500")
	r, err := http.DefaultTransport.RoundTrip(q) // no client of its own accord tries again
	if err != nil {
		p.t.Errorf("%s %s: %v", method, path, err)
		return 0, "", nil
	}
	defer r.Body.Close()
	if r.Close { // the library takes it off the header
		r.Header.Set("Connection", "close")
	}
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text), r.Header
}

func TestServing(t *testing.T) {
	p := start(t)
	big := strings.Repeat("\x00\xffbody", 10000)
	if status, body, _ := p.call("POST", "/pay/echo?a=b", big); status != 200 || body != "echo "+big {
		t.Errorf("served: %d and %d bytes", status, len(body))
	}
	var left int
	if came := <-p.came; !strings.HasPrefix(came, "POST /pay/echo?a=b 9b1f1 ") {
		t.Errorf("the destination got %q", came)
	} else if fmt.Sscan(came[strings.LastIndex(came, " "):], &left); left <= 0 || left > 2500 {
		t.Errorf("with %d ms left", left)
	}
	if status, _, header := p.call("GET", "/look/full", ""); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("busy: %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	for len(p.came) > 0 {
		<-p.came
	}
	for _, what := range []string{"error", "cut", "half"} { // of an unsafe class: once each, and failed
		if status, _, _ := p.call("POST", "/pay/"+what, "x"); status != 502 {
			t.Errorf("%s: %d", what, status)
		}
		if <-p.came; len(p.came) != 0 {
			t.Errorf("%s: sent again", what)
		}
	}
	for path, want := range map[string]int{"/none": 404, "/pay": 405, "/health/ready": 200} {
		if status, _, _ := p.call("GET", path, ""); status != want {
			t.Errorf("GET %s: %d", path, status)
		}
	}
	for text, want := range map[string]string{
		"GARBAGE\r\n\r\n":                   "400",
		"GET /look HTTP/1.1\r\nHost: h\r\n": "400", // cut inside the head
		"POST /pay HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n":   "501",
		"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n":     "413",
		"GET /look HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 20<<10): "431",
	} {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(c)
		if c.Close(); !strings.HasPrefix(string(answer), "HTTP/1.1 "+want) || !strings.Contains(string(answer), "Connection: close") {
			t.Errorf("%.40q: %q", text, answer)
		}
	}
	if len(p.came) != 0 {
		t.Errorf("bad input reached the destination: %q", <-p.came)
	}
}

// After word of a drain nothing new goes there, and what was on its way is answered; what no destination may take is
// held for one, and answered in time.
func TestDrain(t *testing.T) {
	p := start(t)
	if since := <-p.watches; since != "1" { // up to 3.2 s after the start: what is held below has 2.5 s in all
		t.Errorf("the watch asks from %s", since)
	}
	held := make(chan string)
	go func() { _, body, _ := p.call("POST", "/pay/hold", ""); held <- body }()
	<-p.came
	p.news <- fmt.Sprintf(`{"index":2,"snapshot":false,"endpoints":[%s]}`, entry(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, "Terminating"))
	p.news <- "not an endpoint list"
	if since := <-p.watches; since != "2" {
		t.Errorf("after bad data the watch asks from %s", since)
	}
	close(p.hold)
	if body := <-held; body != "held" {
		t.Errorf("what was out before the drain: %q", body)
	}
	if status, _, header := p.call("GET", "/look/echo", ""); status != 503 || header.Get("Retry-After") == "" || len(p.came) > 0 {
		t.Errorf("answered %d, %d sent", status, len(p.came))
	}
	p.process.Process.Signal(syscall.SIGTERM)
	if err := <-p.ended; err != nil || !strings.Contains(p.log.String(), "endpoint list") {
		t.Errorf("ended with %v; the log says %s", err, p.log.String())
	}
}

// At SIGHUP the file's discovery is watched in place of the old one, whatever the environment says, and its list is
// asked for whole; a file that is no configuration changes nothing. Before, SIGHUP ended the process.
func TestSIGHUP(t *testing.T) {
	p := start(t)
	<-p.watches
	moved := make(chan string, 9)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		moved <- r.FormValue("since")
		p.watch(w, r)
	}))
	t.Cleanup(next.Close)
	t.Cleanup(next.CloseClientConnections)
	var conf map[string]any
	if err := json.Unmarshal([]byte(p.text), &conf); err != nil {
		t.Fatal(err)
	}
	conf["discovery"] = next.Listener.Addr().String()
	text, _ := json.Marshal(conf)
	for _, text := range []string{p.text[:99], string(text)} {
		p.configure(text)
		p.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond) // signals that wait are one
		if status, body, _ := p.call("GET", "/look/echo", ""); status != 200 || body != "echo " {
			t.Errorf("after SIGHUP: %d %q", status, body)
		}
	}
	select {
	case since := <-moved:
		if since != "0" {
			t.Errorf("the new discovery is asked from %s", since)
		}
	case err := <-p.ended:
		t.Fatalf("SIGHUP ended the sidecar: %v", err)
	}
	p.process.Process.Signal(syscall.SIGTERM)
	if err := <-p.ended; err != nil || !strings.Contains(p.log.String(), "not taken") {
		t.Errorf("ended with %v: %s", err, p.log.String())
	}
}

// After SIGTERM what is out and what still comes is answered, on connections that stay for a while: their clients may have
// no other sidecar. No answer comes later than the process may be killed, then it exits.
func TestSIGTERM(t *testing.T) {
	p := start(t)
	held := make(chan string)
	go func() { _, body, _ := p.call("POST", "/pay/hold", ""); held <- body }()
	<-p.came
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	p.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // the signal is on its way
	term := time.Now()
	if status, _, header := p.call("GET", "/look/echo", ""); status != 200 || header.Get("Connection") == "close" {
		t.Errorf("a new connection got %d, %v", status, header)
	}
	late := make(chan int)
	go func() {
		time.Sleep(1500 * time.Millisecond)
		status, _, _ := p.call("GET", "/look/never", "")
		late <- status
	}()
	io.WriteString(c, "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 2\r\n\r\n")
	close(p.hold)
	if body := <-held; body != "held" {
		t.Errorf("what was out got %q", body)
	}
	if text, _ := io.ReadAll(c); !strings.HasPrefix(string(text), "HTTP/1.1 200") {
		t.Errorf("an old connection got %q", text)
	}
	if status := <-late; status == 200 || time.Since(term) < 2*time.Second {
		t.Errorf("what came late and was not answered got %d after %v", status, time.Since(term))
	}
	if err := <-p.ended; err != nil {
		t.Errorf("ended with %v: %s", err, p.log.String())
	}
}

func TestCommandLine(t *testing.T) {
	for args, want := range map[string]string{"version": "kitewood " + release.Version, "check-config": "kitewood: ROUTER_CONFIG", "serve": "kitewood: ROUTER_CONFIG"} {
		c := exec.Command(binary, args)
		c.Env = []string{}
		out, err := c.CombinedOutput()
		if !strings.HasPrefix(string(out), want) || strings.Count(string(out), "\n") != 1 || (err == nil) != (args == "version") {
			t.Errorf("%s: %v, %q", args, err, out)
		}
	}
}
