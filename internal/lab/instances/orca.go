// Package instances are small stand-ins of instances that offer what the lab's emulator does not: load out of band.
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

// Instance offers the ORCA service as its documentation has it: a report at once, then one at each interval that is asked for.
type Instance struct {
	service.UnimplementedOpenRcaServiceServer
	Address string
	grpc    *grpc.Server
	report  func() *data.OrcaLoadReport

	mu      sync.Mutex
	streams int
	cut     chan struct{} // closed to break the streams that are open
}

// New starts an Instance on a free port of loopback. Without a report it runs but does not offer the service.
func New(report func() *data.OrcaLoadReport) (*Instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &Instance{Address: ln.Addr().String(), grpc: grpc.NewServer(), report: report, cut: make(chan struct{})}
	if report != nil {
		service.RegisterOpenRcaServiceServer(i.grpc, i)
	}
	go i.grpc.Serve(ln)
	return i, nil
}

// Stop ends it.
func (i *Instance) Stop() { i.grpc.Stop() }

// Break breaks the streams that are open.
func (i *Instance) BreakStreams() {
	i.mu.Lock()
	defer i.mu.Unlock()
	close(i.cut)
	i.cut = make(chan struct{})
}

// Streams tells how many streams are open.
func (i *Instance) OpenStreams() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.streams
}

// StreamCoreMetrics is the service.
func (i *Instance) StreamCoreMetrics(q *service.OrcaLoadReportRequest, out grpc.ServerStreamingServer[data.OrcaLoadReport]) error {
	i.mu.Lock()
	i.streams++
	cut := i.cut
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.streams--
	}()
	every := q.GetReportInterval().AsDuration()
	if every <= 0 {
		every = time.Minute
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if err := out.Send(i.report()); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-cut:
			return status.Error(codes.Unavailable, "broken off")
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}
