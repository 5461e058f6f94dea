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
	Pools []PoolResult
	Clean bool   // the process ended by itself, with status 0, and logged no panic and no refused configuration
	Note  string // what was not clean
}

// PoolResult is what the clients and destinations of a pool saw.
type PoolResult struct {
	Name    string         `json:"name"`
	Unsafe  bool           `json:"unsafe"`
	Summary load.Summary   `json:"summary"` // of the clients, from the intended times
	Status  map[string]int `json:"status"`  // answers by status, "none" for no answer
	Longest time.Duration  `json:"longest"` // of an answer, from its send
	Again   int            `json:"again"`   // operations that reached destinations more than once
	Copies  int            `json:"copies"`  // of them, while another copy was out
}

// Share of the requests that were answered with 2xx within their time.
func (p *PoolResult) Share() float64 {
	return float64(p.Summary.OK) / float64(max(p.Summary.Intended, 1))
}

// Play runs a scenario to its end.
func Play(ctx context.Context, o Options) (*Result, error) {
	s := o.Scenario
	p, err := start(ctx, o)
	if err != nil {
		return nil, err
	}
	defer p.end()
	r := &Result{Pools: make([]PoolResult, len(s.Pools))}
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	for i, pool := range s.Pools {
		out := &r.Pools[i]
		out.Name, out.Unsafe, out.Status = pool.Name, pool.Effect == "unsafe", map[string]int{}
		recorder := load.NewRecorder()
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i)))
		source := &numbered{pool: pool, arrivals: load.NewArrivals(pool.Rate, nil, rng, s.Duration.D())}
		wait.Go(func() {
			err := load.Run(ctx, source, load.Options{URL: "http://" + p.address, Timeout: 2 * pool.Deadline.D(), MaxInFlight: 4000,
				Recorder: recorder, OnOutcome: func(_ load.Item, x load.Outcome) {
					mu.Lock()
					defer mu.Unlock()
					key := "none"
					if x.Status > 0 {
						key = strconv.Itoa(x.Status)
					}
					out.Status[key]++
					out.Longest = max(out.Longest, x.Ended-x.Sent)
				}})
			mu.Lock()
			defer mu.Unlock()
			out.Summary = recorder.Summary()
			if err != nil {
				failed = err
			}
		})
	}
	for _, t := range s.Troubles {
		wait.Go(func() {
			select {
			case <-time.After(t.At.D()):
				during, stop := context.WithTimeout(ctx, t.For.D())
				defer stop()
				p.cause(during, t)
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
		r.Pools[i].Again, r.Pools[i].Copies = s.broken()
	}
	r.Note = p.end()
	r.Clean = r.Note == ""
	return r, nil
}

// numbered is a source of operations, each with an id of its own.
type numbered struct {
	pool     Pool
	n        int
	arrivals *load.Arrivals
}

// Next is the next operation.
func (s *numbered) Next() (load.Item, time.Duration, bool) {
	at, more := s.arrivals.Next()
	s.n++
	i := load.Item{Method: "GET", Target: "/" + s.pool.Name + "/x",
		Headers: map[string]string{"X-Correlation-Id": s.pool.Name + "-" + strconv.Itoa(s.n)}}
	if s.pool.Effect == "unsafe" {
		i.Method, i.Body = "POST", []byte("amount=1")
	}
	return i, at, more
}

// cause causes a trouble until the context ends.
func (p *process) cause(ctx context.Context, t Trouble) {
	var s *service
	for _, x := range p.services {
		if x.pool.Name == t.Pool {
			s = x
		}
	}
	switch t.Kind {
	case "freeze":
		s.freeze(t.For.D())
	case "errors":
		s.fail(500)
		<-ctx.Done()
		s.fail(200)
	case "come-and-go":
		p.comeAndGo(ctx, t.Pool)
	case "crowd":
		p.crowd(ctx, t.Size)
	}
}

// comeAndGo removes a pool and adds it again, a second each.
func (p *process) comeAndGo(ctx context.Context, pool string) {
	for without := pool; ; {
		if err := p.configure(without); err != nil {
			return
		}
		p.hup()
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
func (p *process) crowd(ctx context.Context, size int) {
	for range size {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			continue
		}
		defer c.Close()
	}
	<-ctx.Done()
}
