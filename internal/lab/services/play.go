package services

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"kitewood/internal/lab/load"
)

// Options configure a run.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	Binary   string // path of kitewood
	Dir      string // existing output directory
}

// Result is the outcome of a run.
type Result struct {
	Pools    []PoolResult
	Clean    bool   // the process ended by itself, with status 0, and logged no panic and no rejected configuration
	Problems string // why the run was not clean
}

// PoolResult is what the clients and endpoints of a pool recorded.
type PoolResult struct {
	Name       string         `json:"name"`
	Unsafe     bool           `json:"unsafe"`
	Summary    load.Summary   `json:"summary"` // of the clients; latencies count from the intended send times
	Statuses   map[string]int `json:"status"`  // responses by status, "none" for no response
	MaxLatency time.Duration  `json:"longest"` // from sending a request to its response
	Retried    int            `json:"again"`   // requests that reached endpoints more than once
	Concurrent int            `json:"copies"`  // of them, those that arrived while another attempt was in flight
}

// OKShare returns the share of requests that were answered with 2xx in time.
func (p *PoolResult) OKShare() float64 {
	return float64(p.Summary.OK) / float64(max(p.Summary.Intended, 1))
}

// Run runs a scenario to its end.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := o.Scenario
	p, err := start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	r := &Result{Pools: make([]PoolResult, len(s.Pools))}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var loadErr error
	for i, pool := range s.Pools {
		out := &r.Pools[i]
		out.Name, out.Unsafe, out.Statuses = pool.Name, pool.Effect == "unsafe", map[string]int{}
		recorder := load.NewRecorder()
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		source := &requestSource{pool: pool, arrivals: load.NewArrivals(pool.Rate, nil, rng, s.Duration.D())}
		wg.Go(func() {
			err := load.Run(ctx, source, load.Options{URL: "http://" + p.address, Timeout: 2 * pool.Deadline.D(), MaxInFlight: 4000,
				Recorder: recorder, OnOutcome: func(_ load.Item, outcome load.Outcome) {
					mu.Lock()
					defer mu.Unlock()
					key := "none"
					if outcome.Status > 0 {
						key = strconv.Itoa(outcome.Status)
					}
					out.Statuses[key]++
					out.MaxLatency = max(out.MaxLatency, outcome.Ended-outcome.Sent)
				}})
			mu.Lock()
			defer mu.Unlock()
			out.Summary = recorder.Summary()
			if err != nil {
				loadErr = err
			}
		})
	}
	for _, f := range s.Faults {
		wg.Go(func() {
			select {
			case <-time.After(f.At.D()):
				faultCtx, cancel := context.WithTimeout(ctx, f.Duration.D())
				defer cancel()
				p.inject(faultCtx, f)
			case <-ctx.Done():
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if loadErr != nil {
		return nil, loadErr
	}
	for i, s := range p.services {
		r.Pools[i].Retried, r.Pools[i].Concurrent = s.counts()
	}
	r.Problems = p.stop()
	r.Clean = r.Problems == ""
	return r, nil
}

// requestSource generates the requests to a pool, each with a correlation id of its own.
type requestSource struct {
	pool     Pool
	count    int
	arrivals *load.Arrivals
}

// Next returns the next request and when to send it.
func (s *requestSource) Next() (load.Item, time.Duration, bool) {
	at, ok := s.arrivals.Next()
	s.count++
	i := load.Item{Method: "GET", Target: "/" + s.pool.Name + "/x",
		Headers: map[string]string{"X-Correlation-Id": s.pool.Name + "-" + strconv.Itoa(s.count)}}
	if s.pool.Effect == "unsafe" {
		i.Method, i.Body = "POST", []byte("amount=1")
	}
	return i, at, ok
}

// inject causes a fault until the context ends.
func (p *process) inject(ctx context.Context, f Fault) {
	var s *service
	for _, candidate := range p.services {
		if candidate.pool.Name == f.Pool {
			s = candidate
		}
	}
	switch f.Kind {
	case "freeze":
		s.freeze(f.Duration.D())
	case "errors":
		s.setStatus(500)
		<-ctx.Done()
		s.setStatus(200)
	case "come-and-go":
		p.removeAndRestore(ctx, f.Pool)
	case "crowd":
		p.openIdleConnections(ctx, f.Connections)
	}
}

// removeAndRestore removes a pool from the configuration and adds it again, every second, and ends with the pool in place.
func (p *process) removeAndRestore(ctx context.Context, pool string) {
	for excluded := pool; ; {
		if err := p.configure(excluded); err != nil {
			return
		}
		p.reload()
		if ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(time.Second):
			if excluded == "" {
				excluded = pool
			} else {
				excluded = ""
			}
		case <-ctx.Done():
			excluded = ""
		}
	}
}

// openIdleConnections opens connections that send nothing, and closes them when the context ends.
func (p *process) openIdleConnections(ctx context.Context, count int) {
	for range count {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			continue
		}
		defer c.Close()
	}
	<-ctx.Done()
}
