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

// book keeps the last report of each address.
type book struct {
	mu   sync.Mutex
	last map[string]Report
	n    map[string]int
}

func (b *book) take(address string, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last[address] = r
	b.n[address]++
}

func (b *book) count(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n[address]
}

func watcher(t *testing.T) (*Watcher, *book) {
	b := &book{last: map[string]Report{}, n: map[string]int{}}
	return New(t.Context(), 20*time.Millisecond, 1, b.take, slog.New(slog.DiscardHandler)), b
}

// Reports come at the interval asked for, from those that offer the service; one that does not is left alone, one whose stream
// breaks is asked again, and one that is no longer followed is not.
func TestStreams(t *testing.T) {
	w, b := watcher(t)
	loaded, err := instances.New(func() *data.OrcaLoadReport {
		return &data.OrcaLoadReport{ApplicationUtilization: 0.5, RpsFractional: 7}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer loaded.Stop()
	none, err := instances.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer none.Stop()
	w.SetAddresses([]string{loaded.Address, none.Address})
	testkit.WaitUntil(t, "five reports", func() bool { return b.count(loaded.Address) >= 5 })
	testkit.WaitUntil(t, "one is known not to offer it", func() bool { return w.Counts() == Counts{Watched: 2, Reporting: 1, Unsupported: 1} })
	if r := b.last[loaded.Address]; r.QPS != 7 || r.Metrics["application_utilization"] != 0.5 || len(r.Metrics) != 1 {
		t.Errorf("%+v", r)
	}
	loaded.BreakStreams()
	n := b.count(loaded.Address)
	testkit.WaitUntil(t, "it is asked again", func() bool { return b.count(loaded.Address) > n+1 })
	w.SetAddresses(nil)
	testkit.WaitUntil(t, "the stream ends", func() bool { return loaded.OpenStreams() == 0 })
}

// gRPC's own service, which we did not write, is understood: its first report comes at once.
func TestGRPCsOwnService(t *testing.T) {
	w, b := watcher(t)
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
	testkit.WaitUntil(t, "a report", func() bool { return b.count(ln.Addr().String()) > 0 })
	if r := b.last[ln.Addr().String()]; r.Metrics["cpu_utilization"] != 0.25 || r.Metrics["queue"] != 0.75 {
		t.Errorf("%+v", r)
	}
}

// Numbers that are none are not told, and a named metric does not pass for one of the protocol's own.
func TestReportOf(t *testing.T) {
	r := reportOf(&data.OrcaLoadReport{CpuUtilization: math.NaN(), ApplicationUtilization: -1, Eps: math.Inf(1),
		NamedMetrics: map[string]float64{"cpu_utilization": 0.9, "inflight": 3}, Utilization: map[string]float64{"disk": math.Inf(-1)}})
	if r.EPS != 0 || len(r.Metrics) != 1 || r.Metrics["inflight"] != 3 {
		t.Errorf("%+v", r)
	}
}

// A Watcher whose context has ended holds nothing open.
func TestEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	x, err := instances.New(func() *data.OrcaLoadReport { return &data.OrcaLoadReport{CpuUtilization: 1} })
	if err != nil {
		t.Fatal(err)
	}
	defer x.Stop()
	New(ctx, time.Millisecond, 1, func(string, Report) {}, slog.New(slog.DiscardHandler)).SetAddresses([]string{x.Address})
	testkit.WaitUntil(t, "a stream", func() bool { return x.OpenStreams() == 1 })
	cancel()
	testkit.WaitUntil(t, "none", func() bool { return x.OpenStreams() == 0 })
}
