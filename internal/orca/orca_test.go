package orca

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	data "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	grpcorca "google.golang.org/grpc/orca"

	"kitewood/internal/lab/instances"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// reportRecorder records the last report and the number of reports of each address.
type reportRecorder struct {
	mu     sync.Mutex
	last   map[string]Report
	counts map[string]int
}

func (r *reportRecorder) onReport(address string, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[address] = report
	r.counts[address]++
}

func (r *reportRecorder) count(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[address]
}

// newTestWatcher returns a Watcher with an interval of 20 ms and the recorder of its reports.
func newTestWatcher(t *testing.T) (*Watcher, *reportRecorder) {
	recorder := &reportRecorder{last: map[string]Report{}, counts: map[string]int{}}
	return New(t.Context(), 20*time.Millisecond, 1, recorder.onReport, slog.New(slog.DiscardHandler)), recorder
}

// TestStreams checks that reports arrive at the requested interval from an endpoint that offers the service, that one which does
// not is counted as unsupported, that a broken stream is reopened, and that the stream to a removed address ends.
func TestStreams(t *testing.T) {
	w, recorder := newTestWatcher(t)
	reporting, err := instances.New(func() *data.OrcaLoadReport {
		return &data.OrcaLoadReport{ApplicationUtilization: 0.5, RpsFractional: 7}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer reporting.Stop()
	unsupported, err := instances.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer unsupported.Stop()
	w.SetAddresses([]string{reporting.Address, unsupported.Address})
	testkit.WaitUntil(t, "five reports", func() bool { return recorder.count(reporting.Address) >= 5 })
	testkit.WaitUntil(t, "one endpoint is counted as unsupported", func() bool { return w.Counts() == Counts{Watched: 2, Reporting: 1, Unsupported: 1} })
	if r := recorder.last[reporting.Address]; r.QPS != 7 || r.Metrics["application_utilization"] != 0.5 || len(r.Metrics) != 1 {
		t.Errorf("unexpected report: %+v", r)
	}
	reporting.BreakStreams()
	before := recorder.count(reporting.Address)
	testkit.WaitUntil(t, "reports after the stream was reopened", func() bool { return recorder.count(reporting.Address) > before+1 })
	w.SetAddresses(nil)
	testkit.WaitUntil(t, "the stream ends", func() bool { return reporting.OpenStreams() == 0 })
}

// TestGRPCLibraryServer checks interoperability with the ORCA service of the gRPC library, which sends its first report at once.
func TestGRPCLibraryServer(t *testing.T) {
	w, recorder := newTestWatcher(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics := grpcorca.NewServerMetricsRecorder()
	metrics.SetCPUUtilization(0.25)
	metrics.SetNamedUtilization("queue", 0.75)
	g := grpc.NewServer()
	if err := grpcorca.Register(g, grpcorca.ServiceOptions{ServerMetricsProvider: metrics}); err != nil {
		t.Fatal(err)
	}
	go g.Serve(ln)
	defer g.Stop()
	w.SetAddresses([]string{ln.Addr().String()})
	testkit.WaitUntil(t, "a report", func() bool { return recorder.count(ln.Addr().String()) > 0 })
	if r := recorder.last[ln.Addr().String()]; r.Metrics["cpu_utilization"] != 0.25 || r.Metrics["queue"] != 0.75 {
		t.Errorf("unexpected report: %+v", r)
	}
}

// TestParseReport checks that invalid numbers are left out and that a named metric does not replace a standard metric of the
// protocol.
func TestParseReport(t *testing.T) {
	r := parseReport(&data.OrcaLoadReport{CpuUtilization: math.NaN(), ApplicationUtilization: -1, Eps: math.Inf(1),
		NamedMetrics: map[string]float64{"cpu_utilization": 0.9, "inflight": 3}, Utilization: map[string]float64{"disk": math.Inf(-1)}})
	if r.EPS != 0 || len(r.Metrics) != 1 || r.Metrics["inflight"] != 3 {
		t.Errorf("unexpected report: %+v", r)
	}
}

// TestContextEndClosesStreams checks that a Watcher has no open stream after its context has ended.
func TestContextEndClosesStreams(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	endpoint, err := instances.New(func() *data.OrcaLoadReport { return &data.OrcaLoadReport{CpuUtilization: 1} })
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Stop()
	New(ctx, time.Millisecond, 1, func(string, Report) {}, slog.New(slog.DiscardHandler)).SetAddresses([]string{endpoint.Address})
	testkit.WaitUntil(t, "a stream is open", func() bool { return endpoint.OpenStreams() == 1 })
	cancel()
	testkit.WaitUntil(t, "no stream is open", func() bool { return endpoint.OpenStreams() == 0 })
}
