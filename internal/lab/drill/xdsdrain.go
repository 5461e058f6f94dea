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

// xdsDrainDrill drains instances while two proxies send to them.
var xdsDrainDrill = Drill{
	Name:         "xds-drain",
	Description:  "two proxies, the lab's and gRPC's own client, under steady load: nothing new at a draining instance 500 ms after the word",
	NeedsControl: true,
	Run:          runXDSDrain,
}

const (
	drainGrace = 500 * time.Millisecond
	drainFor   = 900 * time.Millisecond // it stays on the list, draining, for so long
	drainRest  = 250 * time.Millisecond
	drainEach  = 4 * time.Millisecond // between two requests of a proxy
	drainHosts = 4
)

// bootstrap tells gRPC's client where the control service is.
func bootstrap(address string) []byte {
	return fmt.Appendf(nil, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],"node":{"id":"grpc-client"}}`, "passthrough:///"+address)
}

// steadily sends until the context ends, and tells how many were sent and how many failed.
func steadily(ctx context.Context, send func() bool) (sent, failed int) {
	tick := time.NewTicker(drainEach)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if sent++; !send() {
			failed++
		}
	}
}

// sendWeb sends through the lab's proxy.
func sendWeb(ctx context.Context, table *proxy.Table) (sent, failed int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	return steadily(ctx, func() bool {
		address, err := table.Pick("web.test", "/x", func(string) string { return "" })
		if err != nil {
			return false
		}
		r, err := client.Get("http://" + address + "/x")
		if err == nil {
			r.Body.Close()
		}
		return err == nil
	})
}

// sendRPC sends through gRPC's own client.
func sendRPC(ctx context.Context, api grpc_health_v1.HealthClient) (sent, failed int) {
	return steadily(ctx, func() bool {
		call, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{})
		return err == nil
	})
}

func runXDSDrain(ctx context.Context, o Options) (*Outcome, error) {
	drains := o.times(100, 10)
	dir, err := scratch(o, "xds-drain")
	if err != nil {
		return nil, err
	}
	fleets := map[string]*fleet{}
	for _, name := range []string{"web", "rpc"} {
		f, err := newFleet(dir, name, name == "rpc", drainHosts)
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
		client := &proxy.Client{NodeID: fmt.Sprintf("lab-%d", n), Servers: []string{service.Address}, Delta: n == 1, Table: table, Log: o.Log}
		wait.Go(func() { client.Run(ctx) })
	}
	resolver, err := xds.NewXDSResolverWithConfigForTesting(bootstrap(service.Address))
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
			before[name] += len(f.all[n].since(began.Add(-drainGrace), began))
			f.all[n].drains = began
			if err := f.write(); err != nil {
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
			times := f.all[n].since(word[name], time.Now())
			end := time.Duration(0)
			for _, d := range times {
				end = max(end, d)
				if d > drainGrace {
					late[name]++
				}
			}
			last[name] = append(last[name], end)
			f.all[n].drains = time.Time{}
			if err := f.write(); err != nil {
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
		out.Hold(fmt.Sprintf("lab-%d: lists emptied", n), float64(table.EmptiedCount()), "0", table.EmptiedCount() == 0)
	}
	clean := service.stop()
	out.Hold("the service ended by itself, with status 0", b2f(clean), "1", clean)
	return out, nil
}

// connected waits until all proxies can send.
func connected(ctx context.Context, service *controlService, tables []*proxy.Table, api grpc_health_v1.HealthClient) error {
	if err := until(ctx, service.ControlProcess, "the lab's proxies have endpoints", func() bool { return allReady(tables) }); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, controlWait)
	defer cancel()
	if _, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true)); err != nil {
		return fmt.Errorf("gRPC's client: %w", err)
	}
	return nil
}
