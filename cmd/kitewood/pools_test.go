package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// The commands of an operator work on a configuration of pools: check, serve, show, reload and stop. An invalid configuration is
// reported in one line.
func TestPoolsProgram(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "here "+r.URL.Path) }))
	defer endpoint.Close()
	address, dir := testkit.ReserveAddress(t), t.TempDir()
	path := filepath.Join(dir, "c.yaml")
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text := fmt.Sprintf("name: edge\nadmin: %s/admin.sock\nlisteners: [{address: %q}]\npools:\n  - {name: a, members: {file: a.yaml}, classes: [{name: look, effect: safe, aim: 500ms, deadline: 1s}]}\n"+
		"routes: [{path: /a, pool: a}]\n", dir, address)
	write("a.yaml", fmt.Sprintf("destinations: [{name: x, address: %q}]\n", endpoint.Listener.Addr()))
	write("c.yaml", strings.Replace(text, "pool: a}]", "pool: z}]", 1))
	for _, command := range []string{"serve", "check-config", "pools"} {
		if _, stderr, ok := testkit.RunProgram(t, binary, command, "--config", path); ok || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, `c.yaml:6:27: routes[0].pool: there is no pool "z"`) {
			t.Errorf("%s: success %v, stderr %q", command, ok, stderr)
		}
	}
	write("c.yaml", text)
	if stdout, stderr, ok := testkit.RunProgram(t, binary, "check-config", "--config", path); !ok || !strings.Contains(stdout, "attempts: 3") {
		t.Errorf("success %v, stdout %q, stderr %q", ok, stdout, stderr)
	}
	cmd := exec.Command(binary, "serve", "--config", path)
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + address + path)
		if err != nil {
			return 0, err.Error()
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(body)
	}
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { status, _ := get("/health/ready"); return status == 200 })
	if status, body := get("/a/1"); status != 200 || body != "here /a/1" {
		t.Errorf("GET /a/1: status %d, body %q", status, body)
	}
	if status, _ := get("/b"); status != 404 {
		t.Errorf("a path without a route: status %d, want 404", status)
	}
	if stdout, stderr, ok := testkit.RunProgram(t, binary, "pools", "--config", path); !ok || !strings.Contains(stdout, "serving") || !strings.Contains(stdout, "ready") {
		t.Errorf("success %v, stdout %q, stderr %q", ok, stdout, stderr)
	}
	if stdout, stderr, ok := testkit.RunProgram(t, binary, "pools", "--json", "--config", path); !ok || !strings.Contains(stdout, `"state": "ready"`) {
		t.Errorf("success %v, stdout %q, stderr %q", ok, stdout, stderr)
	}
	write("c.yaml", "name: [")
	cmd.Process.Signal(syscall.SIGHUP)
	logContains := func(text string) bool {
		logged, _ := os.ReadFile(log.Name())
		return strings.Contains(string(logged), text)
	}
	testkit.WaitUntil(t, "the invalid file is reported", func() bool { return logContains("the old one stays") })
	write("c.yaml", strings.Replace(text, "path: /a", "path: /b", 1))
	cmd.Process.Signal(syscall.SIGHUP)
	testkit.WaitUntil(t, "the new route is served", func() bool { status, _ := get("/b"); return status == 200 })
	if status, _ := get("/a/1"); status != 404 {
		t.Errorf("the old route: status %d, want 404", status)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A sidecar with pools is told to stop while its clients send on. The classes have a deadline of 6 s, so it may be killed after 3.7 s:
// by then it has ended, and each request that came later than 0.7 s after the signal and has run was answered. Guards against a
// stop that follows the longest deadline alone.
func TestPoolsStopBeforeTheKill(t *testing.T) {
	const (
		excused = 700 * time.Millisecond // after the signal: requests that came until then may be lost
		kill    = 3*time.Second + excused
		clients = 8
	)
	var ran sync.Map
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("X-Correlation-Id"), true)
		time.Sleep(300 * time.Millisecond)
	}))
	defer endpoint.Close()
	address, dir := testkit.ReserveAddress(t), t.TempDir()
	writeFile(t, filepath.Join(dir, "a.yaml"), fmt.Sprintf("destinations: [{name: x, address: %q}]\n", endpoint.Listener.Addr()))
	config := filepath.Join(dir, "c.yaml")
	writeFile(t, config, fmt.Sprintf("name: edge\nlisteners: [{address: %q}]\npools:\n  - {name: a, members: {file: a.yaml}, classes: [{name: pay, effect: unsafe, aim: 2500ms, deadline: 6s}]}\n"+
		"routes: [{path: /, pool: a}]\n", address))
	process := exec.Command(binary, "serve", "--config", config)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(address) })
	var stopped atomic.Pointer[time.Time]
	var lost, late atomic.Int32
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for i := 0; ; i++ {
				request, _ := http.NewRequest("POST", "http://"+address+"/pay", strings.NewReader("x"))
				id := fmt.Sprintf("%d-%d", n, i)
				request.Header.Set("X-Correlation-Id", id)
				sent := time.Now()
				response, err := transport.RoundTrip(request)
				signal := stopped.Load()
				isLate := signal != nil && sent.Sub(*signal) > excused
				if err != nil {
					if _, hasRun := ran.Load(id); hasRun && isLate {
						lost.Add(1)
					}
					return
				}
				response.Body.Close()
				if isLate {
					late.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	now := time.Now()
	stopped.Store(&now)
	process.Process.Signal(syscall.SIGTERM)
	killer := time.AfterFunc(kill, func() { process.Process.Kill() })
	defer killer.Stop()
	if err := process.Wait(); err != nil {
		t.Errorf("the sidecar was still running %v after SIGTERM: %v", kill, err)
	}
	running.Wait()
	if lost.Load() > 0 || late.Load() == 0 {
		t.Errorf("of the requests that came later than %v after SIGTERM %d were answered and %d were lost, want none lost", excused, late.Load(), lost.Load())
	}
}
