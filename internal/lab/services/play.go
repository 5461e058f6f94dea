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

// Options say how to play a scenario.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	Binary   string // kitewood
	Dir      string // for what the run leaves; it is there
}

// Result is what a run saw.
type Result struct {
	Pools    []PoolResult
	Clean    bool   // the process ended by itself, with status 0, and logged no panic and no refused configuration
	Problems string // what was not clean
}

// PoolResult is what the clients and destinations of a pool saw.
type PoolResult struct {
	Name       string         `json:"name"`
	Unsafe     bool           `json:"unsafe"`
	Summary    load.Summary   `json:"summary"` // of the clients, from the intended times
	Statuses   map[string]int `json:"status"`  // answers by status, "none" for no answer
	MaxLatency time.Duration  `json:"longest"` // of an answer, from its send
	Retried    int            `json:"again"`   // operations that reached destinations more than once
	Concurrent int            `json:"copies"`  // of them, while another copy was out
}

// Share of the requests that were answered with 2xx within their time.
func (p *PoolResult) OKShare() float64 {
	return float64(p.Summary.OK) / float64(max(p.Summary.Intended, 1))
}

// Play runs a scenario to its end.
func Run(ctx context.Context, o Options) (*Result, error) {
	s := o.Scenario
	p, err := start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	r := &Result{Pools: make([]PoolResult, len(s.Pools))}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	for i, pool := range s.Pools {
		out := &r.Pools[i]
		out.Name, out.Unsafe, out.Statuses = pool.Name, pool.Effect == "unsafe", map[string]int{}
		recorder := load.NewRecorder()
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		source := &requestSource{pool: pool, arrivals: load.NewArrivals(pool.Rate, nil, rng, s.Duration.D())}
		wait.Go(func() {
			err := load.Run(ctx, source, load.Options{URL: "http://" + p.address, Timeout: 2 * pool.Deadline.D(), MaxInFlight: 4000,
				Recorder: recorder, OnOutcome: func(_ load.Item, x load.Outcome) {
					mu.Lock()
					defer mu.Unlock()
					key := "none"
					if x.Status > 0 {
						key = strconv.Itoa(x.Status)
					}
					out.Statuses[key]++
					out.MaxLatency = max(out.MaxLatency, x.Ended-x.Sent)
				}})
			mu.Lock()
			defer mu.Unlock()
			out.Summary = recorder.Summary()
			if err != nil {
				failed = err
			}
		})
	}
	for _, t := range s.Faults {
		wait.Go(func() {
			select {
			case <-time.After(t.At.D()):
				during, stop := context.WithTimeout(ctx, t.Duration.D())
				defer stop()
				p.inject(during, t)
			case <-ctx.Done():
			}
		})
	}
	wait.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if failed != nil {
		return nil, failed
	}
	for i, s := range p.services {
		r.Pools[i].Retried, r.Pools[i].Concurrent = s.counts()
	}
	r.Problems = p.stop()
	r.Clean = r.Problems == ""
	return r, nil
}

// numbered is a source of operations, each with an id of its own.
type requestSource struct {
	pool     Pool
	count    int
	arrivals *load.Arrivals
}

// Next is the next operation.
func (s *requestSource) Next() (load.Item, time.Duration, bool) {
	at, more := s.arrivals.Next()
	s.count++
	i := load.Item{Method: "GET", Target: "/" + s.pool.Name + "/x",
		Headers: map[string]string{"X-Correlation-Id": s.pool.Name + "-" + strconv.Itoa(s.count)}}
	if s.pool.Effect == "unsafe" {
		i.Method, i.Body = "POST", []byte("amount=1")
	}
	return i, at, more
}

// cause causes a trouble until the context ends.
func (p *process) inject(ctx context.Context, t Fault) {
	var s *service
	for _, x := range p.services {
		if x.pool.Name == t.Pool {
			s = x
		}
	}
	switch t.Kind {
	case "freeze":
		s.freeze(t.Duration.D())
	case "errors":
		s.setStatus(500)
		<-ctx.Done()
		s.setStatus(200)
	case "come-and-go":
		p.removeAndRestore(ctx, t.Pool)
	case "crowd":
		p.openIdleConnections(ctx, t.Connections)
	}
}

// comeAndGo removes a pool and adds it again, a second each.
func (p *process) removeAndRestore(ctx context.Context, pool string) {
	for without := pool; ; {
		if err := p.configure(without); err != nil {
			return
		}
		p.reload()
		if ctx.Err() != nil {
			return
		}
		select {
		case <-time.After(time.Second):
			if without == "" {
				without = pool
			} else {
				without = ""
			}
		case <-ctx.Done():
			without = ""
		}
	}
}

// crowd opens connections that say nothing.
func (p *process) openIdleConnections(ctx context.Context, size int) {
	for range size {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			continue
		}
		defer c.Close()
	}
	<-ctx.Done()
}
