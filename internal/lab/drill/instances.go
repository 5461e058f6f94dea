package drill

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health/grpc_health_v1"

	"kitewood/internal/listfile"
)

// instance is an emulated server that records when requests arrive.
type instance struct {
	name, address string
	stop          func()

	mu       sync.Mutex
	requests []time.Time
}

// record stores the arrival of a request.
func (i *instance) record() {
	now := time.Now()
	i.mu.Lock()
	i.requests = append(i.requests, now)
	i.mu.Unlock()
}

// requestsBetween returns the requests after from and before to, each as the time since from.
func (i *instance) requestsBetween(from, to time.Time) (out []time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, t := range i.requests {
		if t.After(from) && t.Before(to) {
			out = append(out, t.Sub(from))
		}
	}
	return out
}

// healthServer is a gRPC health service; the drills use its checks as their calls.
type healthServer struct {
	grpc_health_v1.UnimplementedHealthServer
	*instance
}

// Check records a call.
func (h healthServer) Check(context.Context, *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	h.record()
	return &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

// newInstance starts an instance that serves HTTP/1.1 or, if rpc is set, gRPC.
func newInstance(name string, rpc bool) (*instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, address: ln.Addr().String()}
	if rpc {
		g := grpc.NewServer()
		grpc_health_v1.RegisterHealthServer(g, healthServer{instance: i})
		i.stop = g.Stop
		go g.Serve(ln)
		return i, nil
	}
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { i.record() })}
	i.stop = func() { s.Close() }
	go s.Serve(ln)
	return i, nil
}

// filePool is a pool whose list is a file, with all of its instances, including former ones.
type filePool struct {
	name, path string
	rpc        bool
	members    []*member
}

// member is an instance of a filePool with its state.
type member struct {
	*instance
	started       time.Time // zero for an instance past slow start
	drainingSince time.Time // zero if it does not drain
	gone          bool
}

// newFilePool starts n instances that are past slow start and writes their list into dir.
func newFilePool(dir, name string, rpc bool, n int) (*filePool, error) {
	p := &filePool{name: name, path: filepath.Join(dir, name+".yaml"), rpc: rpc}
	for range n {
		if err := p.add(time.Time{}); err != nil {
			p.stop()
			return nil, err
		}
	}
	return p, p.writeList()
}

// add starts an instance; the list is not yet written.
func (p *filePool) add(started time.Time) error {
	i, err := newInstance(fmt.Sprintf("%s-%d", p.name, len(p.members)), p.rpc)
	if err == nil {
		p.members = append(p.members, &member{instance: i, started: started})
	}
	return err
}

// writeList writes the list file, without instances that are gone.
func (p *filePool) writeList() error {
	var out []listfile.Endpoint
	for _, m := range p.members {
		if m.gone {
			continue
		}
		e := listfile.Endpoint{Name: m.name, Address: m.address}
		if !m.drainingSince.IsZero() {
			e.State = "draining"
		}
		if !m.started.IsZero() {
			e.Started = m.started.UTC().Format(time.RFC3339Nano)
		}
		out = append(out, e)
	}
	return listfile.Write(p.path, out)
}

// stop ends all instances.
func (p *filePool) stop() {
	for _, m := range p.members {
		m.stop()
	}
}
