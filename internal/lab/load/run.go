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

// Source gives the requests of a run, in order of their intended times.
type Source interface {
	Next() (Item, time.Duration, bool)
}

// Options say whom to load and how.
type Options struct {
	URL         string // http or https; its path is for sources that have none
	Timeout     time.Duration
	MaxInFlight int // requests out at once; more wait, and their latency counts on
	Recorder    *Recorder
	Tracer      *Tracer // records what goes out; nil for none
	OnProgress  func(Progress)
	OnOutcome   func(Item, Outcome) // takes every outcome, from any goroutine; nil if nobody asks
}

// Progress is how a load run stands.
type Progress struct {
	Elapsed time.Duration
	Summary Summary
}

// Target is where a URL leads.
type Target struct {
	Address string
	Host    string
	Path    string
	TLS     *tls.Config
}

// ParseURL reads the URL of a target.
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
		return Target{}, fmt.Errorf("%q names no host", text)
	}
	t.Address = net.JoinHostPort(u.Hostname(), port)
	return t, nil
}

// Run sends what source gives at its times, whether or not earlier requests have been answered, and waits for the
// last. It ends early, cleanly, with ctx.
func Run(ctx context.Context, source Source, o Options) error {
	target, err := ParseURL(o.URL)
	if err != nil {
		return err
	}
	if o.Recorder == nil || o.Timeout <= 0 || o.MaxInFlight < 1 {
		return errors.New("load: a recorder, a timeout and a number of requests out at once are needed")
	}
	pool := httpc.NewPool(httpc.Options{Address: target.Address, TLS: target.TLS, ConnectTimeout: o.Timeout})
	defer pool.Close()
	start := time.Now()
	if o.OnProgress != nil {
		stop := progress(o, start)
		defer stop()
	}
	g := &generator{o: o, target: target, pool: pool, start: start, work: make(chan job)}
	pace := newPacer()
	defer pace.close()
	var failed error
	for {
		item, at, more := source.Next()
		if !more || !pace.until(ctx, start.Add(at)) {
			break
		}
		o.Recorder.RecordIntended(at)
		if o.Tracer != nil {
			if failed = o.Tracer.Add(start.Add(at), item); failed != nil {
				break
			}
		}
		g.hand(job{item, at})
	}
	close(g.work)
	g.wait.Wait()
	return failed
}

type job struct {
	item Item
	at   time.Duration
}

// generator hands requests to goroutines that wait for one; it starts another when none does, up to MaxOpen.
type generator struct {
	o      Options
	target Target
	pool   *httpc.Pool
	start  time.Time
	work   chan job
	open   int
	wait   sync.WaitGroup
}

func (g *generator) hand(j job) {
	select {
	case g.work <- j:
		return
	default:
	}
	if g.open < g.o.MaxInFlight {
		g.open++
		g.wait.Go(func() {
			g.do(j)
			for j := range g.work {
				g.do(j)
			}
		})
		return
	}
	g.work <- j // all are out: it goes late, and counts from its time
}

func (g *generator) do(j job) {
	fields := make([]httpc.HeaderField, 0, len(j.item.Headers))
	for name, value := range j.item.Headers {
		fields = append(fields, httpc.HeaderField{Name: name, Value: value})
	}
	text := httpc.FormatRequest(j.item.Method, j.item.Target, g.target.Host, j.item.Body, fields...)
	sent := time.Now()
	r := g.pool.Do("", j.item.Method, text, sent.Add(g.o.Timeout))
	out := Outcome{Intended: j.at, Sent: sent.Sub(g.start), Ended: r.EndedAt.Sub(g.start), Status: r.Status, TimedOut: r.TimedOut,
		NewConnection: r.NewConnection}
	g.o.Recorder.Add(out)
	if g.o.OnOutcome != nil {
		g.o.OnOutcome(j.item, out)
	}
}

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

// Steady is a source of one kind of request at the times of Arrivals.
type SingleRequest struct {
	Item     Item
	Arrivals *Arrivals
}

// Next is the next request.
func (s *SingleRequest) Next() (Item, time.Duration, bool) {
	at, more := s.Arrivals.Next()
	return s.Item, at, more
}

// Mix is a source of several kinds of requests, by their weights.
type Mix struct {
	Kinds    []WeightedItem
	Arrivals *Arrivals
	Draw     func() float64 // in [0,1)
}

// Weighted is one kind of request of a mix.
type WeightedItem struct {
	Item   Item
	Weight float64
}

// Next is the next request.
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

// Replay is a source that plays a trace, Speed times as fast as it was recorded.
type Replay struct {
	Items []Item
	Speed float64
	next  int
}

// Next is the next request.
func (r *Replay) Next() (Item, time.Duration, bool) {
	if r.next >= len(r.Items) {
		return Item{}, 0, false
	}
	i := r.Items[r.next]
	r.next++
	return i, time.Duration(float64(i.At()) / r.Speed), true
}

// Closed sends requests as a closed loop does: each of n callers waits for its answer before its next request, which
// it spaces evenly to the rate in all. It is here to show what such a loop leaves out when the server stalls.
func RunClosedLoop(ctx context.Context, n int, rate float64, d time.Duration, item Item, o Options) error {
	target, err := ParseURL(o.URL)
	if err != nil {
		return err
	}
	pool := httpc.NewPool(httpc.Options{Address: target.Address, TLS: target.TLS, ConnectTimeout: o.Timeout})
	defer pool.Close()
	g := &generator{o: o, target: target, pool: pool, start: time.Now()}
	each := seconds(float64(n) / rate)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			pace := newPacer()
			defer pace.close()
			at := each * time.Duration(i) / time.Duration(n)
			for at < d && pace.until(ctx, g.start.Add(at)) {
				now := time.Since(g.start)
				o.Recorder.RecordIntended(now)
				g.do(job{item, now})
				at = max(at+each, time.Since(g.start)) // a request that should have gone meanwhile is forgotten
			}
		})
	}
	wait.Wait()
	return nil
}
