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

// xdsScaleDrill changes many pools before many proxies.
var xdsScaleDrill = Drill{
	Name: "xds-scale",
	Description: "1,000 proxies with five pools each, 50 pools of 200 endpoints, 100 changes a second: from a change to its last answer, and " +
		"what it costs",
	NeedsControl: true,
	Run:          runXDSScale,
}

// crowd is many proxies that apply nothing and answer everything.
type crowd struct {
	delta   bool
	bytes   atomic.Int64 // of responses
	answers atomic.Int64

	mu   sync.Mutex
	sent map[int]time.Time     // by change
	last map[int]time.Duration // from a change to the last answer that covers it
	pool map[int]string        // of a change
	need map[string]int        // proxies that ask for a pool
	seen map[int]int           // proxies that have answered for a change
}

// marker is the zone by which a change can be told in the endpoints of its pool.
const marker = "change-"

// note takes the answer of a proxy to endpoints: all changes of the pool up to the marked one have reached it.
func (c *crowd) note(pool string, from, to int) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := from + 1; n <= to; n++ {
		if c.pool[n] == pool {
			c.last[n] = max(c.last[n], now.Sub(c.sent[n]))
			c.seen[n]++
		}
	}
}

// marked finds the pool and the mark of an encoded assignment without decoding it whole: a thousand proxies that did would
// take more cores than the service.
func marked(text []byte) (pool string, change int, err error) {
	field, kind, n := protowire.ConsumeTag(text)
	if n < 0 || field != 1 || kind != protowire.BytesType {
		return "", 0, errors.New("an assignment does not begin with its name")
	}
	name, m := protowire.ConsumeString(text[n:])
	at := bytes.Index(text, []byte(marker))
	if m < 0 || at < 0 {
		return "", 0, errors.New("an assignment has no name or no mark")
	}
	for _, c := range text[at+len(marker):] {
		if c < '0' || c > '9' {
			break
		}
		change = 10*change + int(c-'0')
	}
	return name, change, nil
}

// run is one proxy: it asks for some pools and answers until its stream ends.
func (c *crowd) run(ctx context.Context, conn *grpc.ClientConn, node string, pools []string) error {
	has := map[string]int{}
	take := func(bodies []*anypb.Any) error {
		for _, b := range bodies {
			pool, n, err := marked(b.Value)
			if err != nil {
				return err
			}
			c.note(pool, has[pool], n)
			has[pool] = n
		}
		c.answers.Add(1)
		return nil
	}
	ask, hear, err := c.open(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn), &core.Node{Id: node}, pools)
	for err == nil {
		if err = ask(); err == nil {
			var bodies []*anypb.Any
			if bodies, err = hear(); err == nil {
				err = take(bodies)
			}
		}
	}
	return err
}

// open opens a stream of the crowd's variant. ask asks for the pools, and then answers what was heard last.
func (c *crowd) open(ctx context.Context, api discovery.AggregatedDiscoveryServiceClient, id *core.Node, pools []string) (
	ask func() error, hear func() ([]*anypb.Any, error), err error) {
	if c.delta {
		s, err := api.DeltaAggregatedResources(ctx, grpc.WaitForReady(true))
		q := &discovery.DeltaDiscoveryRequest{Node: id, TypeUrl: xds.TypeEndpoint, ResourceNamesSubscribe: pools}
		return func() error { return s.Send(q) }, func() ([]*anypb.Any, error) {
			r, err := s.Recv()
			if err != nil {
				return nil, err
			}
			c.bytes.Add(int64(proto.Size(r)))
			q = &discovery.DeltaDiscoveryRequest{TypeUrl: xds.TypeEndpoint, ResponseNonce: r.Nonce}
			bodies := make([]*anypb.Any, len(r.Resources))
			for i, x := range r.Resources {
				bodies[i] = x.Resource
			}
			return bodies, nil
		}, err
	}
	s, err := api.StreamAggregatedResources(ctx, grpc.WaitForReady(true))
	q := &discovery.DiscoveryRequest{Node: id, TypeUrl: xds.TypeEndpoint, ResourceNames: pools}
	return func() error { return s.Send(q) }, func() ([]*anypb.Any, error) {
		r, err := s.Recv()
		if err != nil {
			return nil, err
		}
		c.bytes.Add(int64(proto.Size(r)))
		q.VersionInfo, q.ResponseNonce = r.VersionInfo, r.Nonce
		return r.Resources, nil
	}, err
}

// many writes the list of a pool with the mark of its last change.
func many(dir, pool string, endpoints, change int) error {
	all := make([]listfile.Endpoint, endpoints)
	for n := range all {
		all[n] = listfile.Endpoint{Name: fmt.Sprint("e", n), Address: fmt.Sprintf("10.%d.%d.%d:80", len(pool), n/250, n%250+1), Zone: "rest"}
	}
	all[0].Zone = marker + strconv.Itoa(change)
	return listfile.Write(filepath.Join(dir, pool+".yaml"), all)
}

func runXDSScale(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	for _, delta := range []bool{false, true} {
		if err := playScale(ctx, o, out, delta); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func playScale(ctx context.Context, o Options, out *Outcome, delta bool) error {
	proxies, pools, endpoints, each, rate, d := 1000, 50, 200, 5, 100.0, 20*time.Second
	if o.Short {
		proxies, pools, endpoints, each, rate, d = 60, 6, 30, 2, 20, 2*time.Second
	}
	variant := map[bool]string{false: "whole", true: "delta"}[delta]
	dir, err := scratch(o, "xds-scale-"+variant)
	if err != nil {
		return err
	}
	names := make([]string, pools)
	var conf strings.Builder
	for n := range names {
		names[n] = fmt.Sprintf("p%d", n)
		if err := many(dir, names[n], endpoints, 0); err != nil {
			return err
		}
		fmt.Fprintf(&conf, "  - {name: %s, members: {file: %s.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\n", names[n], names[n])
	}
	service, err := startControlWith(o, dir, "control", conf.String(), "  - {pool: p0}\n")
	if err != nil {
		return err
	}
	defer service.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &crowd{delta: delta, sent: map[int]time.Time{}, last: map[int]time.Duration{}, pool: map[int]string{}, need: map[string]int{}, seen: map[int]int{}}
	rng := rand.New(rand.NewPCG(o.Seed, 4))
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	var conn *grpc.ClientConn
	for n := range proxies {
		if n%50 == 0 {
			if conn, err = grpc.NewClient("passthrough:///"+service.Address, grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
				return err
			}
			defer conn.Close()
		}
		mine := make([]string, 0, each)
		for _, i := range rng.Perm(pools)[:each] {
			mine = append(mine, names[i])
			c.need[names[i]]++
		}
		at := conn
		wait.Go(func() { c.run(ctx, at, fmt.Sprintf("crowd-%d", n), mine) })
	}
	for until := time.Now().Add(controlWait); c.answers.Load() < int64(proxies); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d proxies have endpoints within a minute: %s", c.answers.Load(), proxies, service.Output())
		}
	}
	before, cpu, began := c.bytes.Load(), service.CPU(), time.Now()
	changes := int(rate * d.Seconds())
	for n := 1; n <= changes; n++ {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second))))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		pool := names[rng.IntN(pools)]
		c.mu.Lock()
		c.sent[n], c.pool[n] = time.Now(), pool
		c.mu.Unlock()
		if err := many(dir, pool, endpoints, n); err != nil {
			return err
		}
	}
	took := time.Since(began)
	missing := func() (n int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for change, pool := range c.pool {
			if c.seen[change] < c.need[pool] {
				n++
			}
		}
		return n
	}
	for until := time.Now().Add(10 * time.Second); missing() > 0 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
	}
	left := missing()
	used := service.CPU() - cpu
	memory := service.Memory("VmRSS")
	cancel()
	wait.Wait()
	times := make([]time.Duration, 0, len(c.last))
	for _, t := range c.last {
		times = append(times, t)
	}
	slices.Sort(times)
	at := variant + ": "
	ms := func(p float64) float64 {
		if len(times) == 0 {
			return 0
		}
		return float64(Percentile(times, p).Microseconds()) / 1000
	}
	out.Tell(at+"changes", float64(changes))
	out.Hold(at+"changes that did not reach every proxy", float64(left), "0", left == 0)
	out.Tell(at+"change to last answer, ms, p50", ms(50))
	if delta && !o.Short {
		out.Hold(at+"change to last answer, ms, p99", ms(99), "under 250", ms(99) < 250)
	} else {
		out.Tell(at+"change to last answer, ms, p99", ms(99))
	}
	out.Tell(at+"bytes a change, KB", float64(c.bytes.Load()-before)/float64(changes)/1000)
	out.Tell(at+"cores of the service", used.Seconds()/took.Seconds())
	out.Tell(at+"memory of the service, MB", float64(memory)/(1<<20))
	out.Tell(at+"cores of the machine", float64(runtime.NumCPU()))
	clean := service.stop()
	out.Hold(at+"the service ended by itself, with status 0", b2f(clean), "1", clean)
	return nil
}
