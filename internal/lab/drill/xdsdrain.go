package drill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/xds"

	"kitewood/internal/lab/proxy"
)

// xdsDrainDrill drains instances while two proxies send to them.
var xdsDrainDrill = Drill{
	Name:    "xds-drain",
	About:   "two proxies, the lab's and gRPC's own client, under steady load: nothing new at a draining instance 500 ms after the word",
	Control: true,
	Run:     runXDSDrain,
}

const (
	drainGrace  = 500 * time.Millisecond
	drainFor    = 900 * time.Millisecond // it stays on the list, draining, for so long
	drainRest   = 250 * time.Millisecond
	drainEach   = 4 * time.Millisecond // between two requests of a proxy
	drainHosts  = 4
	controlWait = 60 * time.Second
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

// fleet is the instances of a pool and its list file.
type fleet struct {
	path      string
	instances []*instance
}

func newFleet(dir, pool string, rpc bool) (*fleet, error) {
	f := &fleet{path: filepath.Join(dir, pool+".yaml")}
	for n := range drainHosts {
		i, err := newInstance(fmt.Sprintf("%s-%d", pool, n), rpc)
		if err != nil {
			f.stop()
			return nil, err
		}
		f.instances = append(f.instances, i)
	}
	return f, f.list(-1)
}

// list writes the list, with one instance draining unless that is -1.
func (f *fleet) list(draining int) error {
	var b strings.Builder
	b.WriteString("destinations:\n")
	for n, i := range f.instances {
		state := "ready"
		if n == draining {
			state = "draining"
		}
		fmt.Fprintf(&b, "  - {name: %s, address: %q, state: %s}\n", i.name, i.address, state)
	}
	if err := os.WriteFile(f.path+".new", []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(f.path+".new", f.path)
}

func (f *fleet) stop() {
	for _, i := range f.instances {
		i.stop()
	}
}

// controlService is a kitewood-control process.
type controlService struct {
	cmd     *exec.Cmd
	address string
	log     string
	ended   chan struct{}
}

// startControl starts a control service with two pools whose lists lie in a folder.
func startControl(o Options, dir, name string) (*controlService, error) {
	return startControlWith(o, dir, name, `  - {name: web, members: {file: web.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
  - {name: rpc, members: {file: rpc.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
`, `  - {hosts: [web.test], pool: web}
  - {hosts: [rpc], pool: rpc}
`)
}

// startControlWith starts a control service with these lines of pools and routes.
func startControlWith(o Options, dir, name, pools, routes string) (*controlService, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &controlService{address: free.Addr().String(), log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	free.Close()
	path := filepath.Join(dir, name+"-config.yaml")
	text := fmt.Sprintf(`name: %s
plaintext: true
listeners: [{address: %q}]
pools:
%sroutes:
%s`, name, c.address, pools, routes)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c.cmd = exec.Command(o.Control, "serve", "--config", path)
	c.cmd.Env = append(os.Environ(), "GOMAXPROCS=4") // the cores that the figures are stated for
	c.cmd.Stdout, c.cmd.Stderr = log, log
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { c.cmd.Wait(); close(c.ended) }()
	return c, nil
}

// cpu is the processor time that the service has used.
func (c *controlService) cpu() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / 100 // the kernel's unit for programs
}

// memory is what the service holds in memory, in bytes.
func (c *controlService) memory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	return 0
}

// stop ends the service and tells whether it ended by itself, with status 0.
func (c *controlService) stop() bool {
	c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(20 * time.Second):
		c.cmd.Process.Kill()
		<-c.ended
	}
	return c.cmd.ProcessState.Success()
}

// bootstrap tells gRPC's client where the control service is.
func bootstrap(address string) []byte {
	return fmt.Appendf(nil, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],"node":{"id":"grpc-client"}}`, "passthrough:///"+address)
}

// sendWeb sends through the lab's proxy until the context ends, and tells how many were sent and how many failed.
func sendWeb(ctx context.Context, table *proxy.Table) (sent, failed int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(drainEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		sent++
		address, err := table.Pick("web.test", "/x", func(string) string { return "" })
		if err != nil {
			failed++
			continue
		}
		r, err := client.Get("http://" + address + "/x")
		if err != nil {
			failed++
			continue
		}
		r.Body.Close()
	}
}

// sendRPC sends through gRPC's own client.
func sendRPC(ctx context.Context, api grpc_health_v1.HealthClient) (sent, failed int) {
	tick := time.NewTicker(drainEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		sent++
		call, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{}); err != nil {
			failed++
		}
		cancel()
	}
}

func runXDSDrain(ctx context.Context, o Options) (*Outcome, error) {
	drains := 100
	if o.Short {
		drains = 10
	}
	if o.Repeats > 0 {
		drains = o.Repeats
	}
	dir, err := scratch(o, "xds-drain")
	if err != nil {
		return nil, err
	}
	fleets := map[string]*fleet{}
	for _, name := range []string{"web", "rpc"} {
		f, err := newFleet(dir, name, name == "rpc")
		if err != nil {
			return nil, err
		}
		defer f.stop()
		fleets[name] = f
	}
	service, err := startControl(o, dir, "control")
	if err != nil {
		return nil, err
	}
	defer service.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()

	tables := []*proxy.Table{proxy.NewTable(), proxy.NewTable()}
	for n, table := range tables {
		client := &proxy.Client{Node: fmt.Sprintf("lab-%d", n), Servers: []string{service.address}, Delta: n == 1, Table: table, Log: o.Log}
		wait.Go(func() { client.Run(ctx) })
	}
	resolver, err := xds.NewXDSResolverWithConfigForTesting(bootstrap(service.address))
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("xds:///rpc", grpc.WithResolvers(resolver), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	api := grpc_health_v1.NewHealthClient(conn)
	if err := connected(ctx, service, tables, api); err != nil {
		return nil, err
	}

	sent, failed := make([]int, 3), make([]int, 3)
	loaded, stop := context.WithCancel(ctx)
	for n, table := range tables {
		wait.Go(func() { sent[n], failed[n] = sendWeb(loaded, table) })
	}
	wait.Go(func() { sent[2], failed[2] = sendRPC(loaded, api) })

	out := &Outcome{}
	last := map[string][]time.Duration{} // of each drain, from the word to the last request
	late := map[string]int{}
	before := map[string]int{}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	for range drains {
		n := rng.IntN(drainHosts)
		began, word := time.Now(), map[string]time.Time{}
		for name, f := range fleets {
			before[name] += len(f.instances[n].since(began.Add(-drainGrace), began))
			if err := f.list(n); err != nil {
				stop()
				return nil, err
			}
			word[name] = time.Now()
		}
		select {
		case <-time.After(drainFor):
		case <-ctx.Done():
			stop()
			return nil, context.Cause(ctx)
		}
		for name, f := range fleets {
			times := f.instances[n].since(word[name], time.Now())
			end := time.Duration(0)
			for _, d := range times {
				end = max(end, d)
				if d > drainGrace {
					late[name]++
				}
			}
			last[name] = append(last[name], end)
			if err := f.list(-1); err != nil {
				stop()
				return nil, err
			}
		}
		time.Sleep(drainRest)
	}
	stop()
	cancel()
	wait.Wait()
	for _, name := range []string{"web", "rpc"} {
		slices.Sort(last[name])
		at := map[string]string{"web": "lab's proxies", "rpc": "gRPC's client"}[name]
		out.Hold(at+": requests after 500 ms", float64(late[name]), "0", late[name] == 0)
		out.Hold(at+": requests to it in the 500 ms before, a drain", float64(before[name])/float64(drains), "above 0", before[name] > 0)
		for _, p := range []float64{50, 90, 100} {
			out.Tell(fmt.Sprintf("%s: word to last request, ms, p%g", at, p), float64(Percentile(last[name], p).Microseconds())/1000)
		}
	}
	for n, who := range []string{"lab's proxy, whole", "lab's proxy, delta", "gRPC's client"} {
		out.Tell(who+": requests", float64(sent[n]))
		out.Hold(who+": failed", float64(failed[n]), "0", failed[n] == 0)
	}
	for n, table := range tables {
		out.Hold(fmt.Sprintf("lab-%d: lists emptied", n), float64(table.Emptied()), "0", table.Emptied() == 0)
	}
	clean := service.stop()
	out.Hold("the service ended by itself, with status 0", b2f(clean), "1", clean)
	return out, nil
}

// connected waits until all proxies can send.
func connected(ctx context.Context, service *controlService, tables []*proxy.Table, api grpc_health_v1.HealthClient) error {
	until := time.Now().Add(controlWait)
	for {
		ready := true
		for _, table := range tables {
			ready = ready && table.Ready("web")
		}
		if ready {
			call, cancel := context.WithTimeout(ctx, time.Until(until))
			defer cancel()
			if _, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true)); err != nil {
				return fmt.Errorf("gRPC's client: %w", err)
			}
			return nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-service.ended:
			text, _ := os.ReadFile(service.log)
			return fmt.Errorf("the control service has ended: %s", text)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if time.Now().After(until) {
			return errors.New("the lab's proxies have no endpoints within a minute")
		}
	}
}
