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

// instance is a destination that notes when requests came.
type instance struct {
	name, address string
	stop          func()

	mu   sync.Mutex
	came []time.Time
}

func (i *instance) note() {
	now := time.Now()
	i.mu.Lock()
	i.came = append(i.came, now)
	i.mu.Unlock()
}

// since are the times of requests that came after a moment, from it, up to another.
func (i *instance) since(from, to time.Time) (out []time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, t := range i.came {
		if t.After(from) && t.Before(to) {
			out = append(out, t.Sub(from))
		}
	}
	return out
}

// grpcHealth answers health checks, which the drill uses as its calls.
type grpcHealth struct {
	grpc_health_v1.UnimplementedHealthServer
	*instance
}

// Check counts a call.
func (h grpcHealth) Check(context.Context, *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	h.note()
	return &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

// newInstance starts an instance that speaks HTTP/1.1 or gRPC.
func newInstance(name string, rpc bool) (*instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, address: ln.Addr().String()}
	if rpc {
		g := grpc.NewServer()
		grpc_health_v1.RegisterHealthServer(g, grpcHealth{instance: i})
		i.stop = g.Stop
		go g.Serve(ln)
		return i, nil
	}
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { i.note() })}
	i.stop = func() { s.Close() }
	go s.Serve(ln)
	return i, nil
}

// fleet is the instances of a pool, those before it too, and its list file.
type fleet struct {
	pool, path string
	rpc        bool
	all        []*member
}

// member is an instance with its life.
type member struct {
	*instance
	started time.Time // zero for long ago
	drains  time.Time // the word that it drains; zero while it does not
	gone    bool
}

// newFleet starts a number of instances that have long been up, and writes their list into a folder.
func newFleet(dir, pool string, rpc bool, n int) (*fleet, error) {
	f := &fleet{pool: pool, path: filepath.Join(dir, pool+".yaml"), rpc: rpc}
	for range n {
		if err := f.add(time.Time{}); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, f.write()
}

// add starts an instance.
func (f *fleet) add(started time.Time) error {
	i, err := newInstance(fmt.Sprintf("%s-%d", f.pool, len(f.all)), f.rpc)
	if err == nil {
		f.all = append(f.all, &member{instance: i, started: started})
	}
	return err
}

// write writes the list.
func (f *fleet) write() error {
	var out []listfile.Endpoint
	for _, m := range f.all {
		if m.gone {
			continue
		}
		d := listfile.Endpoint{Name: m.name, Address: m.address}
		if !m.drains.IsZero() {
			d.State = "draining"
		}
		if !m.started.IsZero() {
			d.Started = m.started.UTC().Format(time.RFC3339Nano)
		}
		out = append(out, d)
	}
	return listfile.Write(f.path, out)
}

func (f *fleet) stop() {
	for _, m := range f.all {
		m.stop()
	}
}
