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

// loop is what callers in a closed loop saw: each asks again as soon as it has its answer.
type loop struct {
	asked, refused, failed int
	latency                *hdrhistogram.Histogram // in microseconds
	notes                  []string                // of what was not served
}

func (l *loop) p99() float64 { return float64(l.latency.ValueAtQuantile(99)) / 1000 }

// closedLoopDrill is the part of fleet-overload that needs no fleet.
var closedLoopDrill = Drill{
	Name:        "closed-loop",
	Description: "callers that ask again as soon as they are answered, at what destinations can serve: none refused, none waits long",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		out := &Outcome{}
		return out, closedLoops(ctx, o, out)
	},
}

// closedLoops has callers in closed loops ask a kitewood process and a plain proxy, which serves what comes first first,
// before the same destinations, one after the other: each has one core.
func closedLoops(ctx context.Context, o Options, out *Outcome) error {
	dir, err := scratch(o, "closed")
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
	last, counts := 6*time.Second, []int{64, 256, 1000}
	if o.Short {
		last, counts = 2*time.Second, []int{256}
	}
	for _, callers := range counts {
		var seen [2]*loop
		for n, start := range []func(string, string, []listfile.Endpoint, Options) (*child.Child, error){startKitewood, startPlain} {
			address, err := child.Reserve()
			if err != nil {
				return err
			}
			defer address.Release()
			c, err := start(dir, address.String(), members, o)
			if err != nil {
				return err
			}
			seen[n], err = callInLoops(ctx, address.String(), callers, last)
			c.Kill()
			if err != nil {
				return fmt.Errorf("%d callers: %w: %s", callers, err, c.Output())
			}
		}
		kite, plain := seen[0], seen[1]
		at := fmt.Sprintf("%d callers in a closed loop: ", callers)
		out.Tell(at+"answers", float64(kite.asked))
		out.Tell(at+"answers by the plain proxy", float64(plain.asked))
		// The short form runs beside other tests: a machine that stands still for a moment may cost a few.
		lost, bound := kite.refused+kite.failed, 0
		if o.Short {
			bound = kite.asked / 500
		}
		out.Hold(at+"refused or failed", float64(lost), fmt.Sprintf("at most %d", bound), lost <= bound)
		out.Notes = append(out.Notes, kite.notes[:min(len(kite.notes), 5)]...)
		out.Tell(at+"longest, ms", float64(kite.latency.Max())/1000)
		times := kite.p99() / plain.p99()
		out.Tell(at+"p99, ms", kite.p99())
		out.Tell(at+"p99 by the plain proxy, ms", plain.p99())
		if o.Short {
			out.Tell(at+"p99, times the plain proxy's", times)
		} else {
			out.Hold(at+"p99, times the plain proxy's", times, "at most 1.2", times <= 1.2)
		}
	}
	return nil
}

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
	return c, untilReady(c, address)
}

func startPlain(dir, address string, members []listfile.Endpoint, o Options) (*child.Child, error) {
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
	return c, untilReady(c, address)
}

// untilReady waits until a process says that it is ready.
func untilReady(c *child.Child, address string) error {
	text := httpc.FormatRequest("GET", "/health/ready", "backend.local", nil)
	for until := time.Now().Add(controlWait); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		pool := httpc.NewPool(httpc.Options{Address: address})
		r := pool.Do("", "GET", text, time.Now().Add(time.Second))
		pool.Close()
		if r.Status == 200 {
			return nil
		}
		select {
		case <-c.Done:
			return fmt.Errorf("it ended: %s", c.Output())
		default:
		}
	}
	return fmt.Errorf("not ready within %s: %s", controlWait, c.Output())
}

// callInLoops has callers ask for a time.
func callInLoops(ctx context.Context, address string, callers int, last time.Duration) (*loop, error) {
	all := &loop{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var open sync.WaitGroup
	until := time.Now().Add(last)
	for n := range callers {
		open.Go(func() {
			mine := loop{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
			pool := httpc.NewPool(httpc.Options{Address: address, ConnectTimeout: 5 * time.Second})
			defer pool.Close()
			for k := 0; time.Now().Before(until) && ctx.Err() == nil; k++ {
				id := fmt.Sprintf("%d-%d", n, k)
				text := httpc.FormatRequest("GET", "/any", "backend.local", nil, httpc.HeaderField{Name: "X-Correlation-Id", Value: id},
					httpc.HeaderField{Name: "X-Time-Left-Ms", Value: "2500"})
				began := time.Now()
				r := pool.Do(id, "GET", text, began.Add(5*time.Second))
				mine.asked++
				switch r.Status {
				case 200:
					mine.latency.RecordValue(max(time.Since(began).Microseconds(), 1))
				case 503:
					mine.refused++
				default:
					mine.failed++
				}
				if r.Status != 200 {
					mine.notes = append(mine.notes, fmt.Sprintf("%d callers: status %d after %s, %s before the end: %v", callers, r.Status,
						time.Since(began).Round(time.Millisecond), time.Until(until).Round(time.Millisecond), r.Err))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.asked, all.refused, all.failed = all.asked+mine.asked, all.refused+mine.refused, all.failed+mine.failed
			all.latency.Merge(mine.latency)
			all.notes = append(all.notes, mine.notes...)
		})
	}
	open.Wait()
	return all, ctx.Err()
}
