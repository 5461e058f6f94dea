package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"kitewood/internal/lab/child"
	"kitewood/internal/lab/dataplane"
	"kitewood/internal/lab/httpc"
	"kitewood/internal/listfile"
)

// closedLoopResult holds what callers in a closed loop observed: each sends its next request as soon as it has a response.
type closedLoopResult struct {
	requests, rejected, failed int
	latency                    *hdrhistogram.Histogram // in microseconds
	notes                      []string                // one for each request that was not served
}

// p99 returns the 99th percentile of the latency in milliseconds.
func (r *closedLoopResult) p99() float64 { return float64(r.latency.ValueAtQuantile(99)) / 1000 }

// closedLoopDrill runs the closed-loop part of fleet-overload, which needs no fleet of sidecars.
var closedLoopDrill = Drill{
	Name:        "closed-loop",
	Description: "closed-loop callers at a load within the capacity of the endpoints: no request rejected, none with a long latency",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		out := &Outcome{}
		return out, compareClosedLoops(ctx, o, out)
	},
}

// compareClosedLoops drives a kitewood process and then a plain first-come-first-served proxy with closed-loop callers. Both use
// the same endpoints and one core each.
func compareClosedLoops(ctx context.Context, o Options, out *Outcome) error {
	dir, err := makeDir(o, "closed")
	if err != nil {
		return err
	}
	var members []listfile.Endpoint
	for n := range 8 {
		i, err := newInstance(fmt.Sprintf("d-%d", n), false)
		if err != nil {
			return err
		}
		defer i.stop()
		members = append(members, listfile.Endpoint{Name: i.name, Address: i.address})
	}
	duration, callerCounts := 6*time.Second, []int{64, 256, 1000}
	if o.Short {
		duration, callerCounts = 2*time.Second, []int{256}
	}
	for _, callers := range callerCounts {
		var observed [2]*closedLoopResult
		for n, start := range []func(string, string, []listfile.Endpoint, Options) (*child.Child, error){startKitewood, startPlainProxy} {
			address, err := child.Reserve()
			if err != nil {
				return err
			}
			defer address.Release()
			c, err := start(dir, address.String(), members, o)
			if err != nil {
				return err
			}
			observed[n], err = runClosedLoop(ctx, address.String(), callers, duration)
			c.Kill()
			if err != nil {
				return fmt.Errorf("%d callers: %w: %s", callers, err, c.Output())
			}
		}
		sidecar, plain := observed[0], observed[1]
		prefix := fmt.Sprintf("%d callers in a closed loop: ", callers)
		out.Report(prefix+"answers", float64(sidecar.requests))
		out.Report(prefix+"answers by the plain proxy", float64(plain.requests))
		// The short form runs next to other tests: a short pause of the machine may cost a few requests.
		unserved, maxUnserved := sidecar.rejected+sidecar.failed, 0
		if o.Short {
			maxUnserved = sidecar.requests / 500
		}
		out.Check(prefix+"refused or failed", float64(unserved), fmt.Sprintf("at most %d", maxUnserved), unserved <= maxUnserved)
		out.Notes = append(out.Notes, sidecar.notes[:min(len(sidecar.notes), 5)]...)
		out.Report(prefix+"longest, ms", float64(sidecar.latency.Max())/1000)
		ratio := sidecar.p99() / plain.p99()
		out.Report(prefix+"p99, ms", sidecar.p99())
		out.Report(prefix+"p99 by the plain proxy, ms", plain.p99())
		if o.Short {
			out.Report(prefix+"p99, times the plain proxy's", ratio)
		} else {
			out.Check(prefix+"p99, times the plain proxy's", ratio, "at most 1.2", ratio <= 1.2)
		}
	}
	return nil
}

// startKitewood starts a kitewood process with one pool of the given members and waits until it is ready.
func startKitewood(dir, address string, members []listfile.Endpoint, o Options) (*child.Child, error) {
	if err := listfile.Write(filepath.Join(dir, "list.yaml"), members); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`name: closed
listeners: [{address: %q}]
limits: {sockets: 8192, memory_mb: 1024}
pools:
  - name: web
    members: {file: list.yaml}
    classes: [{name: any, effect: safe, aim: 2.5s, deadline: 2.5s}]
routes: [{path: /, pool: web}]
`, address)
	path := filepath.Join(dir, "closed.yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	c, err := child.Start(filepath.Join(dir, "kitewood.log"), nil, o.Binary, "serve", "--config", path)
	if err != nil {
		return nil, err
	}
	return c, waitReady(c, address)
}

// startPlainProxy starts the lab's round-robin proxy on one core and waits until it is ready.
func startPlainProxy(dir, address string, members []listfile.Endpoint, o Options) (*child.Child, error) {
	var endpoints []map[string]any
	for _, m := range members {
		endpoints = append(endpoints, map[string]any{"name": m.Name, "address": m.Address, "status": "Ready", "weight": 1})
	}
	text, err := json.Marshal(map[string]any{"name": "plain", "listen": address, "discovery": "127.0.0.1:1", "seed": "1",
		"known": map[string]any{"snapshot": true, "endpoints": endpoints}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "plain.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	c, err := child.Start(filepath.Join(dir, "plain.log"), []string{"ROUTER_CONFIG=" + path, "GOMAXPROCS=1"}, o.LabBinary, "proxy", "--policy", dataplane.RoundRobin)
	if err != nil {
		return nil, err
	}
	return c, waitReady(c, address)
}

// waitReady waits until the process reports readiness.
func waitReady(c *child.Child, address string) error {
	text := httpc.FormatRequest("GET", "/health/ready", "backend.local", nil)
	for limit := time.Now().Add(waitTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		pool := httpc.NewPool(httpc.Options{Address: address})
		resp := pool.Do("", "GET", text, time.Now().Add(time.Second))
		pool.Close()
		if resp.Status == 200 {
			return nil
		}
		select {
		case <-c.Done:
			return fmt.Errorf("process ended: %s", c.Output())
		default:
		}
	}
	return fmt.Errorf("process not ready within %s: %s", waitTimeout, c.Output())
}

// runClosedLoop runs the callers in a closed loop for the given duration and merges their results.
func runClosedLoop(ctx context.Context, address string, callers int, duration time.Duration) (*closedLoopResult, error) {
	total := &closedLoopResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(duration)
	for n := range callers {
		wg.Go(func() {
			own := closedLoopResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
			pool := httpc.NewPool(httpc.Options{Address: address, ConnectTimeout: 5 * time.Second})
			defer pool.Close()
			for k := 0; time.Now().Before(until) && ctx.Err() == nil; k++ {
				id := fmt.Sprintf("%d-%d", n, k)
				text := httpc.FormatRequest("GET", "/any", "backend.local", nil, httpc.HeaderField{Name: "X-Correlation-Id", Value: id},
					httpc.HeaderField{Name: "X-Time-Left-Ms", Value: "2500"})
				start := time.Now()
				resp := pool.Do(id, "GET", text, start.Add(5*time.Second))
				own.requests++
				switch resp.Status {
				case 200:
					own.latency.RecordValue(max(time.Since(start).Microseconds(), 1))
				case 503:
					own.rejected++
				default:
					own.failed++
				}
				if resp.Status != 200 {
					own.notes = append(own.notes, fmt.Sprintf("%d callers: status %d after %s, %s before the end: %v", callers, resp.Status,
						time.Since(start).Round(time.Millisecond), time.Until(until).Round(time.Millisecond), resp.Err))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total.requests, total.rejected, total.failed = total.requests+own.requests, total.rejected+own.rejected, total.failed+own.failed
			total.latency.Merge(own.latency)
			total.notes = append(total.notes, own.notes...)
		})
	}
	wg.Wait()
	return total, ctx.Err()
}
