package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// Flags for measurements by hand.
var (
	floodDuration = flag.Duration("flood-duration", 4*time.Second, "for how long TestFloodOfSmallRequests sends with each form")
	floodClients  = flag.Int("flood-clients", 1, "number of connections that TestFloodOfSmallRequests sends on")
)

const chainFieldName = "X-Chain"

// flood is a form of small requests, sent on one connection as fast as the sidecar takes them; each %d is the number of the request.
type flood struct{ name, request string }

// floods are the forms. Sound ones are served, the others get an error each.
var floods = []flood{
	{"sound requests", "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: flood-%d\r\n\r\n"},
	{"unknown paths", "GET /p%d HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: flood\r\n\r\n"},
	{"unknown classes", "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: flood\r\nX-Service-Class: c%d\r\n\r\n"},
	{"readiness", "GET /health/ready?%d HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"no time left", "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: flood-%d\r\nX-Time-Left-Ms: 0\r\n\r\n"},
	{"hosts and origins", "GET /look/echo HTTP/1.1\r\nHost: h%[1]d\r\nX-Correlation-Id: flood-%[1]d\r\nX-Origin: o%[1]d\r\n\r\n"},
	{"chain words with new tokens", "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Time-Left-Ms: 86400000\r\n" + chainFieldName +
		": left=86400000;repeats=2;worth=1;token=" + strings.Repeat("t", 40) + "%d;via=" + strings.Repeat("v", 900) + "\r\n\r\n"},
	{"chain words with long tokens", "GET /look/echo HTTP/1.1\r\nHost: h\r\nX-Time-Left-Ms: 86400000\r\n" + chainFieldName +
		": left=86400000;repeats=2;worth=1;token=" + strings.Repeat("t", 900) + "%d;via=a\r\n\r\n"},
	{"chain words with new loops", "GET /look/echo HTTP/1.1\r\nHost: h\r\n" + chainFieldName +
		": left=1000;repeats=2;worth=1;token=t;via=edge," + strings.Repeat("v", 900) + "%d\r\n\r\n"},
}

// send sends the form on one connection until some time, and comes again when it is closed. It returns the number of answers read.
func (f flood) send(address string, number *atomic.Int64, until time.Time) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(until)
		go func() {
			var batch strings.Builder
			for {
				batch.Reset()
				for batch.Len() < 16<<10 {
					fmt.Fprintf(&batch, f.request, number.Add(1))
				}
				if _, err := io.WriteString(conn, batch.String()); err != nil {
					return
				}
			}
		}()
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// newConnectionRequests sends a request on a new connection every usualInterval, and returns the longest latency and how many were not
// served.
func newConnectionRequests(address string, number *atomic.Int64, duration time.Duration) (longest time.Duration, sent, failed int) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: usualTimeLeft + 3*time.Second}
	var mu sync.Mutex
	var running sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(usualInterval) {
		sent++
		running.Go(func() {
			q, _ := http.NewRequest("GET", "http://"+address+"/look/echo", nil)
			q.Header.Set("X-Correlation-Id", fmt.Sprintf("new-%d", number.Add(1)))
			q.Header.Set("X-Time-Left-Ms", strconv.Itoa(int(usualTimeLeft.Milliseconds())))
			began := time.Now()
			r, err := client.Do(q)
			if err == nil {
				r.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if longest = max(longest, time.Since(began)); err != nil || r.StatusCode != 200 {
				failed++
			}
		})
	}
	running.Wait()
	return longest, sent, failed
}

// startPoolsSidecar starts a sidecar with a pool that has an origin field and a chain, in front of an endpoint that answers at once.
func startPoolsSidecar(t *testing.T, memoryMB int) (address string, pid int) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	t.Cleanup(endpoint.Close)
	address = testkit.ReserveAddress(t)
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "a.yaml"), fmt.Sprintf("destinations: [{name: x, address: %q}]\n", endpoint.Listener.Addr()))
	config := filepath.Join(dir, "c.yaml")
	writeFile(t, config, fmt.Sprintf(`name: edge
listeners: [{address: %q}]
limits: {sockets: 512, memory_mb: %d}
pools:
  - name: a
    members: {file: a.yaml}
    origin: X-Origin
    chain: {header: %s, service: edge}
    classes: [{name: look, effect: safe, aim: 1s, deadline: 2s}]
routes: [{path: /look, pool: a}]
`, address, memoryMB, chainFieldName))
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	process := exec.Command(binary, "serve", "--config", config)
	process.Stderr = log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill(); process.Wait() })
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(address) })
	return address, process.Process.Pid
}

// One client sends small requests on one connection at full speed, sound or not, each under a new name. Usual clients are served in
// time, on kept and on new connections, and memory does not go on growing. Guards against a client whose requests cost the sidecar
// more than its share, or leave something behind.
func TestFloodOfSmallRequests(t *testing.T) {
	const memoryMB, maxGrowthMB = 32, 4
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			address, pid := startPoolsSidecar(t, memoryMB)
			var number atomic.Int64
			until := time.Now().Add(*floodDuration)
			var flooding sync.WaitGroup
			for range *floodClients {
				flooding.Go(func() { f.send(address, &number, until) })
			}
			var served latencies
			var others map[string]int
			var running sync.WaitGroup
			running.Go(func() { served, others = usualRequests(address, &number, *floodDuration-time.Second) })
			settled := 0
			running.Go(func() {
				time.Sleep(*floodDuration / 2)
				settled = residentPeak(t, pid)
			})
			longest, sent, failed := newConnectionRequests(address, &number, *floodDuration-time.Second)
			running.Wait()
			flooding.Wait()
			peak := residentPeak(t, pid)
			t.Logf("%d requests of the flood; kept connections: %v; new connections: %d of %d failed, longest %v; memory %.1f MB, half way %.1f MB", number.Load(),
				served, failed, sent, longest.Round(time.Millisecond), float64(peak)/(1<<20), float64(settled)/(1<<20))
			if len(others) > 0 || failed > 0 || served.percentile(100) > usualTimeLeft || longest > usualTimeLeft {
				t.Errorf("usual requests not served in time: %v on kept connections, %d on new ones, longest %v and %v", others, failed, served.percentile(100), longest)
			}
			if peak > memoryMB<<20 || peak-settled > maxGrowthMB<<20 {
				t.Errorf("%.1f MB in use after the flood, %.1f MB half way; want under %d MB and growth under %d MB", float64(peak)/(1<<20),
					float64(settled)/(1<<20), memoryMB, maxGrowthMB)
			}
		})
	}
}
