// Package instances provides test instances with a feature that the lab's emulator lacks: out-of-band load reports over ORCA.
package instances

import (
	"net"
	"sync"
	"time"

	data "github.com/cncf/xds/go/xds/data/orca/v3"
	service "github.com/cncf/xds/go/xds/service/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Instance serves the ORCA service as specified: one report immediately, then one per requested interval.
type Instance struct {
	service.UnimplementedOpenRcaServiceServer
	Address string
	grpc    *grpc.Server
	report  func() *data.OrcaLoadReport

	mu          sync.Mutex
	streams     int
	breakSignal chan struct{} // closed to break the open streams
}

// New starts an Instance on a free loopback port. If report is nil, the server runs without the ORCA service.
func New(report func() *data.OrcaLoadReport) (*Instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &Instance{Address: ln.Addr().String(), grpc: grpc.NewServer(), report: report, breakSignal: make(chan struct{})}
	if report != nil {
		service.RegisterOpenRcaServiceServer(i.grpc, i)
	}
	go i.grpc.Serve(ln)
	return i, nil
}

// Stop stops the server.
func (i *Instance) Stop() { i.grpc.Stop() }

// BreakStreams ends the open streams with status Unavailable.
func (i *Instance) BreakStreams() {
	i.mu.Lock()
	defer i.mu.Unlock()
	close(i.breakSignal)
	i.breakSignal = make(chan struct{})
}

// OpenStreams returns the number of open streams.
func (i *Instance) OpenStreams() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.streams
}

// StreamCoreMetrics implements the ORCA service.
func (i *Instance) StreamCoreMetrics(q *service.OrcaLoadReportRequest, out grpc.ServerStreamingServer[data.OrcaLoadReport]) error {
	i.mu.Lock()
	i.streams++
	broken := i.breakSignal
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.streams--
	}()
	interval := q.GetReportInterval().AsDuration()
	if interval <= 0 {
		interval = time.Minute
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := out.Send(i.report()); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-broken:
			return status.Error(codes.Unavailable, "broken off")
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}
