package load

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"kitewood/internal/lab/httpc"
)

// Source generates the requests of a run, in order of their intended times.
type Source interface {
	Next() (Item, time.Duration, bool)
}

// Options configure a load run.
type Options struct {
	URL         string // http or https; its path is the target for sources without one of their own
	Timeout     time.Duration
	MaxInFlight int // limit of requests in flight; further ones wait, and the wait counts towards their latency
	Recorder    *Recorder
	Tracer      *Tracer // records the requests sent; nil for none
	OnProgress  func(Progress)
	OnOutcome   func(Item, Outcome) // called with every outcome, from any goroutine; nil for none
}

// Progress is the progress of a load run.
type Progress struct {
	Elapsed time.Duration
	Summary Summary
}

// Target is the server that a URL refers to.
type Target struct {
	Address string
	Host    string
	Path    string
	TLS     *tls.Config
}

// ParseURL parses the URL of a target.
func ParseURL(text string) (Target, error) {
	u, err := url.Parse(text)
	if err != nil {
		return Target{}, err
	}
	t := Target{Host: u.Host, Path: u.RequestURI()}
	port := u.Port()
	switch u.Scheme {
	case "http":
		port = cmp.Or(port, "80")
	case "https":
		port = cmp.Or(port, "443")
		t.TLS = &tls.Config{ServerName: u.Hostname(), NextProtos: []string{"http/1.1"}}
	default:
		return Target{}, fmt.Errorf("%q: an http or https URL is wanted", text)
	}
	if u.Hostname() == "" {
		return Target{}, fmt.Errorf("%q has no host", text)
	}
	t.Address = net.JoinHostPort(u.Hostname(), port)
	return t, nil
}

// Run sends the requests of source at their intended times, whether or not earlier ones have completed, and waits for the
// last response. When ctx ends, it stops sending and returns after the requests in flight.
func Run(ctx context.Context, source Source, o Options) error {
	target, err := ParseURL(o.URL)
	if err != nil {
		return err
	}
	if o.Recorder == nil || o.Timeout <= 0 || o.MaxInFlight < 1 {
		return errors.New("load: a recorder, a timeout and a limit of requests in flight are required")
	}
	pool := httpc.NewPool(httpc.Options{Address: target.Address, TLS: target.TLS, ConnectTimeout: o.Timeout})
	defer pool.Close()
	start := time.Now()
	if o.OnProgress != nil {
		stop := progress(o, start)
		defer stop()
	}
	g := &generator{options: o, target: target, pool: pool, start: start, requests: make(chan scheduledRequest)}
	pace := newPacer()
	defer pace.close()
	var failed error
	for {
		item, at, more := source.Next()
		if !more || !pace.waitUntil(ctx, start.Add(at)) {
			break
		}
		o.Recorder.RecordIntended(at)
		if o.Tracer != nil {
			if failed = o.Tracer.Add(start.Add(at), item); failed != nil {
				break
			}
		}
		g.dispatch(scheduledRequest{item, at})
	}
	close(g.requests)
	g.workerGroup.Wait()
	return failed
}

// scheduledRequest is a request and its intended time.
type scheduledRequest struct {
	item Item
	at   time.Duration
}

// generator passes requests to idle worker goroutines. If none is idle, it starts another, up to MaxInFlight.
type generator struct {
	options     Options
	target      Target
	pool        *httpc.Pool
	start       time.Time
	requests    chan scheduledRequest
	workers     int
	workerGroup sync.WaitGroup
}

// dispatch passes a request to a worker. It blocks if all workers are busy and no more may be started.
func (g *generator) dispatch(r scheduledRequest) {
	select {
	case g.requests <- r:
		return
	default:
	}
	if g.workers < g.options.MaxInFlight {
		g.workers++
		g.workerGroup.Go(func() {
			g.send(r)
			for r := range g.requests {
				g.send(r)
			}
		})
		return
	}
	g.requests <- r // sent late, but measured from its intended time
}

// send sends a request, waits for its end and records the outcome.
func (g *generator) send(s scheduledRequest) {
	fields := make([]httpc.HeaderField, 0, len(s.item.Headers))
	for name, value := range s.item.Headers {
		fields = append(fields, httpc.HeaderField{Name: name, Value: value})
	}
	text := httpc.FormatRequest(s.item.Method, s.item.Target, g.target.Host, s.item.Body, fields...)
	sent := time.Now()
	r := g.pool.Do("", s.item.Method, text, sent.Add(g.options.Timeout))
	out := Outcome{Intended: s.at, Sent: sent.Sub(g.start), Ended: r.EndedAt.Sub(g.start), Status: r.Status, TimedOut: r.TimedOut,
		NewConnection: r.NewConnection}
	g.options.Recorder.Add(out)
	if g.options.OnOutcome != nil {
		g.options.OnOutcome(s.item, out)
	}
}

// progress reports the progress once per second until stop is called.
func progress(o Options, start time.Time) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				o.OnProgress(Progress{Elapsed: time.Since(start), Summary: o.Recorder.Summary()})
			case <-done:
				return
			}
		}
	})
	return func() { close(done); wait.Wait() }
}

// SingleRequest is a source that repeats one request at the times of Arrivals.
type SingleRequest struct {
	Item     Item
	Arrivals *Arrivals
}

// Next returns the next request and its intended time, or false at the end.
func (s *SingleRequest) Next() (Item, time.Duration, bool) {
	at, more := s.Arrivals.Next()
	return s.Item, at, more
}

// Mix is a source that chooses among several requests at random, by weight.
type Mix struct {
	Kinds    []WeightedItem
	Arrivals *Arrivals
	Draw     func() float64 // random number in [0,1)
}

// WeightedItem is one request of a Mix.
type WeightedItem struct {
	Item   Item
	Weight float64
}

// Next returns the next request and its intended time, or false at the end.
func (m *Mix) Next() (Item, time.Duration, bool) {
	at, more := m.Arrivals.Next()
	sum := 0.0
	for _, k := range m.Kinds {
		sum += k.Weight
	}
	x := m.Draw() * sum
	for _, k := range m.Kinds {
		if x -= k.Weight; x < 0 {
			return k.Item, at, more
		}
	}
	return m.Kinds[len(m.Kinds)-1].Item, at, more
}

// Replay is a source that replays a trace, Speed times as fast as it was recorded.
type Replay struct {
	Items []Item
	Speed float64
	next  int
}

// Next returns the next request and its intended time, or false at the end.
func (r *Replay) Next() (Item, time.Duration, bool) {
	if r.next >= len(r.Items) {
		return Item{}, 0, false
	}
	i := r.Items[r.next]
	r.next++
	return i, time.Duration(float64(i.At()) / r.Speed), true
}

// RunClosedLoop sends requests as a closed loop does: each of n callers waits for its response before its next request, and
// spaces its requests evenly so that all callers together reach the rate. It exists to show which requests such a loop leaves
// out when the server stalls.
func RunClosedLoop(ctx context.Context, n int, rate float64, d time.Duration, item Item, o Options) error {
	target, err := ParseURL(o.URL)
	if err != nil {
		return err
	}
	pool := httpc.NewPool(httpc.Options{Address: target.Address, TLS: target.TLS, ConnectTimeout: o.Timeout})
	defer pool.Close()
	g := &generator{options: o, target: target, pool: pool, start: time.Now()}
	interval := seconds(float64(n) / rate)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			pace := newPacer()
			defer pace.close()
			at := interval * time.Duration(i) / time.Duration(n)
			for at < d && pace.waitUntil(ctx, g.start.Add(at)) {
				now := time.Since(g.start)
				o.Recorder.RecordIntended(now)
				g.send(scheduledRequest{item, now})
				at = max(at+interval, time.Since(g.start)) // requests that should have been sent meanwhile are skipped
			}
		})
	}
	wait.Wait()
	return nil
}
