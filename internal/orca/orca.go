// Package orca asks destinations for their load out of band: one stream of the ORCA service (xds.service.orca.v3, the
// protocol's OpenRcaService) to each, over which it tells its load as often as it is asked to, whether or not requests come.
package orca

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	data "github.com/cncf/xds/go/xds/data/orca/v3"
	service "github.com/cncf/xds/go/xds/service/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Report is what a destination told of itself.
type Report struct {
	QPS, EPS float64 // requests and failures a second, 0 where it does not say
	// Metrics by name: those that the protocol names, and named metrics and utilisations under their own names. What is no
	// finite number above 0 is left out: the protocol writes what is not told as 0.
	Metrics map[string]float64
}

const (
	leastPause = time.Second      // before a stream that broke is opened again, at the least; it doubles
	mostPause  = 30 * time.Second // up to this
	without    = 5 * time.Minute  // before a destination that does not offer the service is asked again
	maxReport  = 64 << 10         // bytes
)

// Watcher holds the streams of one pool. Any goroutine may call it.
type Watcher struct {
	ctx   context.Context
	every time.Duration
	seed  uint64
	take  func(address string, r Report)
	log   *slog.Logger

	mu      sync.Mutex
	streams map[string]*stream // by address
}

// stream is that of one destination.
type stream struct {
	end     context.CancelFunc
	told    uint64 // reports
	without bool   // it does not offer the service
}

// Counts tell how the streams of a Watcher stand.
type Counts struct {
	Watched     int `json:"asked"`   // destinations
	Reporting   int `json:"told"`    // of them that have told their load
	Unsupported int `json:"without"` // of them that do not offer the service
}

// New returns a Watcher that asks for a report at every interval until the context ends, and hands each to take, which may
// be called from several goroutines. The spread of its attempts comes from the seed.
func New(ctx context.Context, every time.Duration, seed uint64, take func(address string, r Report), log *slog.Logger) *Watcher {
	return &Watcher{ctx: ctx, every: every, seed: seed, take: take, log: log, streams: map[string]*stream{}}
}

// Follow asks exactly these addresses from now on. Streams to those that were asked already stay.
func (w *Watcher) SetAddresses(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if w.streams[a] == nil {
			ctx, cancel := context.WithCancel(w.ctx)
			s := &stream{end: cancel}
			w.streams[a] = s
			go w.run(ctx, a, s)
		}
	}
	for a, s := range w.streams {
		if !wanted[a] {
			s.end()
			delete(w.streams, a)
		}
	}
}

// Counts tell how the streams stand.
func (w *Watcher) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Counts{Watched: len(w.streams)}
	for _, s := range w.streams {
		if s.told > 0 {
			c.Reporting++
		}
		if s.without {
			c.Unsupported++
		}
	}
	return c
}

// run keeps a stream open.
func (w *Watcher) run(ctx context.Context, address string, s *stream) {
	rng := rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(address)))
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReport)))
	if err != nil {
		w.log.Error("load out of band", "address", address, "error", err)
		return
	}
	defer conn.Close()
	for pause := leastPause; ; {
		told, err := w.listen(ctx, conn, address, s)
		if ctx.Err() != nil {
			return
		}
		wait := pause
		pause = min(2*pause, mostPause)
		switch {
		case told:
			wait, pause = leastPause, leastPause
		case status.Code(err) == codes.Unimplemented:
			w.mu.Lock()
			s.without = true
			w.mu.Unlock()
			wait = without
		}
		w.log.Debug("the stream of load reports has ended", "address", address, "error", err, "again_in", wait)
		select {
		case <-time.After(wait/2 + time.Duration(rng.Int64N(int64(wait)))): // spread: all may have broken together
		case <-ctx.Done():
			return
		}
	}
}

// errSilent ends a stream on which nothing comes.
var errSilent = errors.New("nothing came on the stream of load reports")

// silence is after how long a stream without a report is dead. Servers may have a least interval of their own, whatever
// they are asked for: gRPC's is 30 s.
func (w *Watcher) silence() time.Duration { return max(3*w.every, 65*time.Second) }

// listen reads one stream to its end and tells whether it brought anything.
func (w *Watcher) listen(ctx context.Context, conn *grpc.ClientConn, address string, s *stream) (told bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dead := time.AfterFunc(w.silence(), func() { cancel(errSilent) })
	defer dead.Stop()
	in, err := service.NewOpenRcaServiceClient(conn).StreamCoreMetrics(ctx, &service.OrcaLoadReportRequest{ReportInterval: durationpb.New(w.every)})
	if err != nil {
		return false, err
	}
	for {
		r, err := in.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return told, err
		}
		dead.Reset(w.silence())
		w.mu.Lock()
		s.told++
		s.without = false
		w.mu.Unlock()
		told = true
		w.take(address, reportOf(r))
	}
}

// reportOf reads a report of the protocol.
func reportOf(r *data.OrcaLoadReport) Report {
	out := Report{QPS: sound(r.GetRpsFractional()), EPS: sound(r.GetEps()), Metrics: map[string]float64{}}
	add := func(name string, v float64) {
		if v = sound(v); v > 0 {
			out.Metrics[name] = v
		}
	}
	for name, v := range r.GetNamedMetrics() {
		add(name, v)
	}
	for name, v := range r.GetUtilization() {
		add(name, v)
	}
	// Last: a named metric must not pass for one of the protocol's own.
	for name, v := range map[string]float64{"application_utilization": r.GetApplicationUtilization(), "cpu_utilization": r.GetCpuUtilization(),
		"mem_utilization": r.GetMemUtilization()} {
		delete(out.Metrics, name)
		add(name, v)
	}
	return out
}

// sound is a figure, 0 if it is none.
func sound(v float64) float64 {
	if !(v >= 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
