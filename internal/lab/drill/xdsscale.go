package drill

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"kitewood/internal/listfile"
	"kitewood/internal/xds"
)

// xdsScaleDrill changes many pools that many proxies subscribe to.
var xdsScaleDrill = Drill{
	Name: "xds-scale",
	Description: "1,000 proxies with five pools each, 50 pools of 200 endpoints, 100 changes a second: time from a change to its last acknowledgement, " +
		"and the cost",
	NeedsControl: true,
	Run:          runXDSScale,
}

// proxyGroup is many emulated proxies that acknowledge every response and apply none.
type proxyGroup struct {
	delta bool
	bytes atomic.Int64 // of responses
	acks  atomic.Int64

	mu          sync.Mutex
	changedAt   map[int]time.Time     // by change
	latency     map[int]time.Duration // by change: until the last acknowledgement that covers it
	changedPool map[int]string        // by change
	subscribers map[string]int        // number of proxies that subscribe to a pool
	acked       map[int]int           // by change: number of proxies that have acknowledged it
}

// markerPrefix begins the zone of an endpoint that identifies the last change of its pool.
const markerPrefix = "change-"

// recordAck records a proxy's acknowledgement of a pool's endpoints: all changes of the pool after from, up to the marked one, have
// reached it.
func (g *proxyGroup) recordAck(pool string, from, to int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for n := from + 1; n <= to; n++ {
		if g.changedPool[n] == pool {
			g.latency[n] = max(g.latency[n], now.Sub(g.changedAt[n]))
			g.acked[n]++
		}
	}
}

// parseMarker finds the pool and the marker of an encoded assignment without decoding all of it: a thousand proxies that decoded
// theirs would use more cores than the service.
func parseMarker(text []byte) (pool string, change int, err error) {
	field, wireType, n := protowire.ConsumeTag(text)
	if n < 0 || field != 1 || wireType != protowire.BytesType {
		return "", 0, errors.New("assignment does not begin with its name")
	}
	name, nameLen := protowire.ConsumeString(text[n:])
	marker := bytes.Index(text, []byte(markerPrefix))
	if nameLen < 0 || marker < 0 {
		return "", 0, errors.New("assignment has no name or no marker")
	}
	for _, c := range text[marker+len(markerPrefix):] {
		if c < '0' || c > '9' {
			break
		}
		change = 10*change + int(c-'0')
	}
	return name, change, nil
}

// runProxy runs one proxy: it subscribes to pools and acknowledges responses until its stream ends.
func (g *proxyGroup) runProxy(ctx context.Context, conn *grpc.ClientConn, node string, pools []string) error {
	acknowledged := map[string]int{}
	handle := func(bodies []*anypb.Any) error {
		for _, b := range bodies {
			pool, n, err := parseMarker(b.Value)
			if err != nil {
				return err
			}
			g.recordAck(pool, acknowledged[pool], n)
			acknowledged[pool] = n
		}
		g.acks.Add(1)
		return nil
	}
	send, receive, err := g.openStream(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn), &core.Node{Id: node}, pools)
	for err == nil {
		if err = send(); err == nil {
			var bodies []*anypb.Any
			if bodies, err = receive(); err == nil {
				err = handle(bodies)
			}
		}
	}
	return err
}

// openStream opens a stream of the group's variant. send subscribes to the pools at the first call, and later acknowledges the last
// response; receive returns the resources of the next one.
func (g *proxyGroup) openStream(ctx context.Context, api discovery.AggregatedDiscoveryServiceClient, id *core.Node, pools []string) (
	send func() error, receive func() ([]*anypb.Any, error), err error) {
	if g.delta {
		s, err := api.DeltaAggregatedResources(ctx, grpc.WaitForReady(true))
		req := &discovery.DeltaDiscoveryRequest{Node: id, TypeUrl: xds.TypeEndpoint, ResourceNamesSubscribe: pools}
		return func() error { return s.Send(req) }, func() ([]*anypb.Any, error) {
			resp, err := s.Recv()
			if err != nil {
				return nil, err
			}
			g.bytes.Add(int64(proto.Size(resp)))
			req = &discovery.DeltaDiscoveryRequest{TypeUrl: xds.TypeEndpoint, ResponseNonce: resp.Nonce}
			bodies := make([]*anypb.Any, len(resp.Resources))
			for i, x := range resp.Resources {
				bodies[i] = x.Resource
			}
			return bodies, nil
		}, err
	}
	s, err := api.StreamAggregatedResources(ctx, grpc.WaitForReady(true))
	req := &discovery.DiscoveryRequest{Node: id, TypeUrl: xds.TypeEndpoint, ResourceNames: pools}
	return func() error { return s.Send(req) }, func() ([]*anypb.Any, error) {
		resp, err := s.Recv()
		if err != nil {
			return nil, err
		}
		g.bytes.Add(int64(proto.Size(resp)))
		req.VersionInfo, req.ResponseNonce = resp.VersionInfo, resp.Nonce
		return resp.Resources, nil
	}, err
}

// writePool writes the list of a pool with the marker of its last change.
func writePool(dir, pool string, endpoints, change int) error {
	list := make([]listfile.Endpoint, endpoints)
	for n := range list {
		list[n] = listfile.Endpoint{Name: fmt.Sprint("e", n), Address: fmt.Sprintf("10.%d.%d.%d:80", len(pool), n/250, n%250+1), Zone: "rest"}
	}
	list[0].Zone = markerPrefix + strconv.Itoa(change)
	return listfile.Write(filepath.Join(dir, pool+".yaml"), list)
}

// runXDSScale runs the drill with each variant of the protocol.
func runXDSScale(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	for _, delta := range []bool{false, true} {
		if err := runXDSScaleVariant(ctx, o, out, delta); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// runXDSScaleVariant measures the time from a change to the last acknowledgement, and the cost, with one variant of the protocol.
func runXDSScaleVariant(ctx context.Context, o Options, out *Outcome, delta bool) error {
	proxies, pools, endpoints, poolsPerProxy, rate, duration := 1000, 50, 200, 5, 100.0, 20*time.Second
	if o.Short {
		proxies, pools, endpoints, poolsPerProxy, rate, duration = 60, 6, 30, 2, 20, 2*time.Second
	}
	variant := map[bool]string{false: "whole", true: "delta"}[delta]
	dir, err := makeDir(o, "xds-scale-"+variant)
	if err != nil {
		return err
	}
	names := make([]string, pools)
	var poolsYAML strings.Builder
	for n := range names {
		names[n] = fmt.Sprintf("p%d", n)
		if err := writePool(dir, names[n], endpoints, 0); err != nil {
			return err
		}
		fmt.Fprintf(&poolsYAML, "  - {name: %s, members: {file: %s.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\n", names[n], names[n])
	}
	service, err := startControlWith(o, dir, "control", poolsYAML.String(), "  - {pool: p0}\n")
	if err != nil {
		return err
	}
	defer service.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := &proxyGroup{delta: delta, changedAt: map[int]time.Time{}, latency: map[int]time.Duration{}, changedPool: map[int]string{}, subscribers: map[string]int{}, acked: map[int]int{}}
	rng := rand.New(rand.NewPCG(o.Seed, 4))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var conn *grpc.ClientConn
	for n := range proxies {
		if n%50 == 0 {
			if conn, err = grpc.NewClient("passthrough:///"+service.Address, grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
				return err
			}
			defer conn.Close()
		}
		subscribed := make([]string, 0, poolsPerProxy)
		for _, i := range rng.Perm(pools)[:poolsPerProxy] {
			subscribed = append(subscribed, names[i])
			group.subscribers[names[i]]++
		}
		proxyConn := conn
		wg.Go(func() { group.runProxy(ctx, proxyConn, fmt.Sprintf("crowd-%d", n), subscribed) })
	}
	for limit := time.Now().Add(waitTimeout); group.acks.Load() < int64(proxies); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) || ctx.Err() != nil {
			return fmt.Errorf("only %d of %d proxies have endpoints after a minute: %s", group.acks.Load(), proxies, service.Output())
		}
	}
	bytesBefore, cpuBefore, start := group.bytes.Load(), service.CPU(), time.Now()
	changes := int(rate * duration.Seconds())
	for n := 1; n <= changes; n++ {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(float64(n) / rate * float64(time.Second))))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		pool := names[rng.IntN(pools)]
		group.mu.Lock()
		group.changedAt[n], group.changedPool[n] = time.Now(), pool
		group.mu.Unlock()
		if err := writePool(dir, pool, endpoints, n); err != nil {
			return err
		}
	}
	took := time.Since(start)
	missing := func() (n int) {
		group.mu.Lock()
		defer group.mu.Unlock()
		for change, pool := range group.changedPool {
			if group.acked[change] < group.subscribers[pool] {
				n++
			}
		}
		return n
	}
	for limit := time.Now().Add(10 * time.Second); missing() > 0 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
	}
	unreached := missing()
	used := service.CPU() - cpuBefore
	memory := service.Memory("VmRSS")
	cancel()
	wg.Wait()
	times := make([]time.Duration, 0, len(group.latency))
	for _, t := range group.latency {
		times = append(times, t)
	}
	slices.Sort(times)
	prefix := variant + ": "
	percentileMS := func(p float64) float64 {
		if len(times) == 0 {
			return 0
		}
		return float64(Percentile(times, p).Microseconds()) / 1000
	}
	out.Report(prefix+"changes", float64(changes))
	out.Check(prefix+"changes that did not reach every proxy", float64(unreached), "0", unreached == 0)
	out.Report(prefix+"change to last answer, ms, p50", percentileMS(50))
	if delta && !o.Short {
		out.Check(prefix+"change to last answer, ms, p99", percentileMS(99), "under 250", percentileMS(99) < 250)
	} else {
		out.Report(prefix+"change to last answer, ms, p99", percentileMS(99))
	}
	out.Report(prefix+"bytes a change, KB", float64(group.bytes.Load()-bytesBefore)/float64(changes)/1000)
	out.Report(prefix+"cores of the service", used.Seconds()/took.Seconds())
	out.Report(prefix+"memory of the service, MB", float64(memory)/(1<<20))
	out.Report(prefix+"cores of the machine", float64(runtime.NumCPU()))
	clean := service.stop()
	out.Check(prefix+"the service ended by itself, with status 0", boolValue(clean), "1", clean)
	return nil
}
