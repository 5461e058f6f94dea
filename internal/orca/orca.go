// Package orca receives out-of-band load reports from endpoints. It opens one stream of the ORCA service (xds.service.orca.v3,
// OpenRcaService) to each endpoint, over which the endpoint reports its load at the requested interval, independent of
// requests.
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

// Report is a load report of an endpoint.
type Report struct {
	QPS, EPS float64 // requests and errors per second, 0 if not reported
	// Metrics by name: the standard metrics of the protocol, and named metrics and utilizations under their own names. Values
	// that are not finite numbers above 0 are left out, as the protocol encodes a missing value as 0.
	Metrics map[string]float64
}

const (
	minBackoff       = time.Second      // initial backoff before a failed stream is reopened; it doubles with each failure
	maxBackoff       = 30 * time.Second // maximum backoff
	unsupportedRetry = 5 * time.Minute  // retry interval for an endpoint that does not offer the service
	maxReportBytes   = 64 << 10         // maximum message size in bytes
)

// Watcher manages the streams to the endpoints of one pool. It is safe for concurrent use.
type Watcher struct {
	ctx      context.Context
	interval time.Duration
	seed     uint64
	onReport func(address string, r Report)
	log      *slog.Logger

	mu      sync.Mutex
	streams map[string]*stream // by address
}

// stream is the state of the stream to one endpoint.
type stream struct {
	cancel      context.CancelFunc
	reports     uint64 // number of reports received
	unsupported bool   // the endpoint does not offer the service
}

// Counts summarizes the streams of a Watcher.
type Counts struct {
	Watched     int `json:"asked"`   // endpoints
	Reporting   int `json:"told"`    // endpoints that have reported their load
	Unsupported int `json:"without"` // endpoints that do not offer the service
}

// New returns a Watcher that requests reports at the given interval until the context ends, and passes each to onReport, which
// may be called concurrently. The jitter of reconnection attempts is derived from the seed.
func New(ctx context.Context, interval time.Duration, seed uint64, onReport func(address string, r Report),
	log *slog.Logger) *Watcher {
	return &Watcher{ctx: ctx, interval: interval, seed: seed, onReport: onReport, log: log, streams: map[string]*stream{}}
}

// SetAddresses replaces the watched addresses. Streams to addresses that remain are kept open.
func (w *Watcher) SetAddresses(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if w.streams[a] == nil {
			ctx, cancel := context.WithCancel(w.ctx)
			s := &stream{cancel: cancel}
			w.streams[a] = s
			go w.run(ctx, a, s)
		}
	}
	for a, s := range w.streams {
		if !wanted[a] {
			s.cancel()
			delete(w.streams, a)
		}
	}
}

// Counts returns a summary of the streams.
func (w *Watcher) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := Counts{Watched: len(w.streams)}
	for _, s := range w.streams {
		if s.reports > 0 {
			c.Reporting++
		}
		if s.unsupported {
			c.Unsupported++
		}
	}
	return c
}

// run keeps the stream to an address open until ctx ends.
func (w *Watcher) run(ctx context.Context, address string, s *stream) {
	rng := rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(address)))
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReportBytes)))
	if err != nil {
		w.log.Error("cannot create client for out-of-band load reports", "address", address, "error", err)
		return
	}
	defer conn.Close()
	for backoff := minBackoff; ; {
		received, err := w.readStream(ctx, conn, address, s)
		if ctx.Err() != nil {
			return
		}
		wait := backoff
		backoff = min(2*backoff, maxBackoff)
		switch {
		case received:
			wait, backoff = minBackoff, minBackoff
		case status.Code(err) == codes.Unimplemented:
			w.mu.Lock()
			s.unsupported = true
			w.mu.Unlock()
			wait = unsupportedRetry
		}
		w.log.Debug("load report stream ended, reopening it", "address", address, "error", err, "again_in", wait)
		select {
		case <-time.After(wait/2 + time.Duration(rng.Int64N(int64(wait)))): // jitter: all streams may have failed at once
		case <-ctx.Done():
			return
		}
	}
}

// errNoReport is the cause when a stream is ended for lack of reports.
var errNoReport = errors.New("no load report received in time")

// silenceTimeout returns the time without a report after which a stream is considered dead. Servers may enforce a minimum
// interval above the requested one; that of gRPC is 30 s.
func (w *Watcher) silenceTimeout() time.Duration { return max(3*w.interval, 65*time.Second) }

// readStream opens a stream, reads it to its end and returns whether any report was received.
func (w *Watcher) readStream(ctx context.Context, conn *grpc.ClientConn, address string, s *stream) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(w.silenceTimeout(), func() { cancel(errNoReport) })
	defer watchdog.Stop()
	reports, err := service.NewOpenRcaServiceClient(conn).StreamCoreMetrics(ctx,
		&service.OrcaLoadReportRequest{ReportInterval: durationpb.New(w.interval)})
	if err != nil {
		return false, err
	}
	for {
		r, err := reports.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return received, err
		}
		watchdog.Reset(w.silenceTimeout())
		w.mu.Lock()
		s.reports++
		s.unsupported = false
		w.mu.Unlock()
		received = true
		w.onReport(address, parseReport(r))
	}
}

// parseReport converts a report of the protocol.
func parseReport(r *data.OrcaLoadReport) Report {
	report := Report{QPS: finiteOrZero(r.GetRpsFractional()), EPS: finiteOrZero(r.GetEps()), Metrics: map[string]float64{}}
	add := func(name string, v float64) {
		if v = finiteOrZero(v); v > 0 {
			report.Metrics[name] = v
		}
	}
	for name, v := range r.GetNamedMetrics() {
		add(name, v)
	}
	for name, v := range r.GetUtilization() {
		add(name, v)
	}
	// These come last, so that a named metric cannot replace a standard metric of the protocol.
	for name, v := range map[string]float64{"application_utilization": r.GetApplicationUtilization(), "cpu_utilization": r.GetCpuUtilization(),
		"mem_utilization": r.GetMemUtilization()} {
		delete(report.Metrics, name)
		add(name, v)
	}
	return report
}

// finiteOrZero returns v, or 0 if v is negative, infinite or NaN.
func finiteOrZero(v float64) float64 {
	if !(v >= 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
