package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/xds"

	"kitewood/internal/lab/proxy"
)

// xdsDrainDrill drains instances while proxies of two kinds send to them.
var xdsDrainDrill = Drill{
	Name:         "xds-drain",
	Description:  "the lab's proxies and gRPC's own client under steady load: no new request at a draining instance 500 ms after its drain is published",
	NeedsControl: true,
	Run:          runXDSDrain,
}

const (
	drainGrace      = 500 * time.Millisecond
	drainDuration   = 900 * time.Millisecond // how long an instance stays on the list in state draining
	drainPause      = 250 * time.Millisecond
	requestInterval = 4 * time.Millisecond // of each proxy
	drainInstances  = 4
)

// xdsBootstrap returns the bootstrap configuration that directs gRPC's client to the control service.
func xdsBootstrap(address string) []byte {
	return fmt.Appendf(nil, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],"node":{"id":"grpc-client"}}`, "passthrough:///"+address)
}

// sendSteadily sends one request per requestInterval until the context ends. It returns how many were sent and how many failed.
func sendSteadily(ctx context.Context, send func() bool) (sent, failed int) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if sent++; !send() {
			failed++
		}
	}
}

// sendHTTP sends steadily through a lab proxy's table.
func sendHTTP(ctx context.Context, table *proxy.Table) (sent, failed int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	return sendSteadily(ctx, func() bool {
		address, err := table.Pick("web.test", "/x", func(string) string { return "" })
		if err != nil {
			return false
		}
		resp, err := client.Get("http://" + address + "/x")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	})
}

// sendGRPC sends steadily through gRPC's own client.
func sendGRPC(ctx context.Context, api grpc_health_v1.HealthClient) (sent, failed int) {
	return sendSteadily(ctx, func() bool {
		callCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := api.Check(callCtx, &grpc_health_v1.HealthCheckRequest{})
		return err == nil
	})
}

// runXDSDrain drains one random instance of each pool after another, and checks that no request reaches it after the grace.
func runXDSDrain(ctx context.Context, o Options) (*Outcome, error) {
	drains := o.repeats(100, 10)
	dir, err := makeDir(o, "xds-drain")
	if err != nil {
		return nil, err
	}
	pools := map[string]*filePool{}
	for _, name := range []string{"web", "rpc"} {
		p, err := newFilePool(dir, name, name == "rpc", drainInstances)
		if err != nil {
			return nil, err
		}
		defer p.stop()
		pools[name] = p
	}
	service, err := startControl(o, dir, "control")
	if err != nil {
		return nil, err
	}
	defer service.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()

	tables := []*proxy.Table{proxy.NewTable(), proxy.NewTable()}
	for n, table := range tables {
		client := &proxy.Client{NodeID: fmt.Sprintf("lab-%d", n), Servers: []string{service.Address}, Delta: n == 1, Table: table, Log: o.Log}
		wg.Go(func() { client.Run(ctx) })
	}
	resolver, err := xds.NewXDSResolverWithConfigForTesting(xdsBootstrap(service.Address))
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("xds:///rpc", grpc.WithResolvers(resolver), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	api := grpc_health_v1.NewHealthClient(conn)
	if err := waitConnected(ctx, service, tables, api); err != nil {
		return nil, err
	}

	sent, failed := make([]int, 3), make([]int, 3)
	loadCtx, stop := context.WithCancel(ctx)
	for n, table := range tables {
		wg.Go(func() { sent[n], failed[n] = sendHTTP(loadCtx, table) })
	}
	wg.Go(func() { sent[2], failed[2] = sendGRPC(loadCtx, api) })

	out := &Outcome{}
	last := map[string][]time.Duration{} // by pool: for each drain, from its publication to the last request
	late := map[string]int{}
	before := map[string]int{}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	for range drains {
		n := rng.IntN(drainInstances)
		start, published := time.Now(), map[string]time.Time{}
		for name, p := range pools {
			before[name] += len(p.members[n].requestsBetween(start.Add(-drainGrace), start))
			p.members[n].drainingSince = start
			if err := p.writeList(); err != nil {
				stop()
				return nil, err
			}
			published[name] = time.Now()
		}
		select {
		case <-time.After(drainDuration):
		case <-ctx.Done():
			stop()
			return nil, context.Cause(ctx)
		}
		for name, p := range pools {
			times := p.members[n].requestsBetween(published[name], time.Now())
			latest := time.Duration(0)
			for _, d := range times {
				latest = max(latest, d)
				if d > drainGrace {
					late[name]++
				}
			}
			last[name] = append(last[name], latest)
			p.members[n].drainingSince = time.Time{}
			if err := p.writeList(); err != nil {
				stop()
				return nil, err
			}
		}
		time.Sleep(drainPause)
	}
	stop()
	cancel()
	wg.Wait()
	for _, name := range []string{"web", "rpc"} {
		slices.Sort(last[name])
		sender := map[string]string{"web": "lab's proxies", "rpc": "gRPC's client"}[name]
		out.Check(sender+": requests after 500 ms", float64(late[name]), "0", late[name] == 0)
		out.Check(sender+": requests to it in the 500 ms before, a drain", float64(before[name])/float64(drains), "above 0", before[name] > 0)
		for _, p := range []float64{50, 90, 100} {
			out.Report(fmt.Sprintf("%s: word to last request, ms, p%g", sender, p), float64(Percentile(last[name], p).Microseconds())/1000)
		}
	}
	for n, sender := range []string{"lab's proxy, whole", "lab's proxy, delta", "gRPC's client"} {
		out.Report(sender+": requests", float64(sent[n]))
		out.Check(sender+": failed", float64(failed[n]), "0", failed[n] == 0)
	}
	for n, table := range tables {
		out.Check(fmt.Sprintf("lab-%d: lists emptied", n), float64(table.EmptiedCount()), "0", table.EmptiedCount() == 0)
	}
	clean := service.stop()
	out.Check("the service ended by itself, with status 0", boolValue(clean), "1", clean)
	return out, nil
}

// waitConnected waits until all proxies can send.
func waitConnected(ctx context.Context, service *controlService, tables []*proxy.Table, api grpc_health_v1.HealthClient) error {
	if err := waitUntil(ctx, service.ControlProcess, "the lab's proxies have endpoints", func() bool { return allReady(tables) }); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if _, err := api.Check(callCtx, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true)); err != nil {
		return fmt.Errorf("gRPC client: %w", err)
	}
	return nil
}
