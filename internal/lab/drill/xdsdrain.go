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
	drainGrace      = 500 * time.Millisecond
	drainDuration   = 900 * time.Millisecond // it stays on the list, draining, for so long
	drainPause      = 250 * time.Millisecond
	requestInterval = 4 * time.Millisecond // between two requests of a proxy
	drainInstances  = 4
)

// bootstrap tells gRPC's client where the control service is.
func xdsBootstrap(address string) []byte {
	return fmt.Appendf(nil, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],"node":{"id":"grpc-client"}}`, "passthrough:///"+address)
}

// steadily sends until the context ends, and tells how many were sent and how many failed.
func sendSteadily(ctx context.Context, send func() bool) (sent, failed int) {
	tick := time.NewTicker(requestInterval)
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
func sendHTTP(ctx context.Context, table *proxy.Table) (sent, failed int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	return sendSteadily(ctx, func() bool {
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
func sendGRPC(ctx context.Context, api grpc_health_v1.HealthClient) (sent, failed int) {
	return sendSteadily(ctx, func() bool {
		call, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{})
		return err == nil
	})
}

func runXDSDrain(ctx context.Context, o Options) (*Outcome, error) {
	drains := o.repeats(100, 10)
	dir, err := makeDir(o, "xds-drain")
	if err != nil {
		return nil, err
	}
	fleets := map[string]*filePool{}
	for _, name := range []string{"web", "rpc"} {
		f, err := newFilePool(dir, name, name == "rpc", drainInstances)
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
		client := &proxy.Client{Node: fmt.Sprintf("lab-%d", n), Servers: []string{service.Address}, Delta: n == 1, Table: table, Log: o.Log}
		wait.Go(func() { client.Run(ctx) })
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
	loaded, stop := context.WithCancel(ctx)
	for n, table := range tables {
		wait.Go(func() { sent[n], failed[n] = sendHTTP(loaded, table) })
	}
	wait.Go(func() { sent[2], failed[2] = sendGRPC(loaded, api) })

	out := &Outcome{}
	last := map[string][]time.Duration{} // of each drain, from the word to the last request
	late := map[string]int{}
	before := map[string]int{}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	for range drains {
		n := rng.IntN(drainInstances)
		began, word := time.Now(), map[string]time.Time{}
		for name, f := range fleets {
			before[name] += len(f.members[n].requestsBetween(began.Add(-drainGrace), began))
			f.members[n].drainingSince = began
			if err := f.writeList(); err != nil {
				stop()
				return nil, err
			}
			word[name] = time.Now()
		}
		select {
		case <-time.After(drainDuration):
		case <-ctx.Done():
			stop()
			return nil, context.Cause(ctx)
		}
		for name, f := range fleets {
			times := f.members[n].requestsBetween(word[name], time.Now())
			end := time.Duration(0)
			for _, d := range times {
				end = max(end, d)
				if d > drainGrace {
					late[name]++
				}
			}
			last[name] = append(last[name], end)
			f.members[n].drainingSince = time.Time{}
			if err := f.writeList(); err != nil {
				stop()
				return nil, err
			}
		}
		time.Sleep(drainPause)
	}
	stop()
	cancel()
	wait.Wait()
	for _, name := range []string{"web", "rpc"} {
		slices.Sort(last[name])
		at := map[string]string{"web": "lab's proxies", "rpc": "gRPC's client"}[name]
		out.Check(at+": requests after 500 ms", float64(late[name]), "0", late[name] == 0)
		out.Check(at+": requests to it in the 500 ms before, a drain", float64(before[name])/float64(drains), "above 0", before[name] > 0)
		for _, p := range []float64{50, 90, 100} {
			out.Report(fmt.Sprintf("%s: word to last request, ms, p%g", at, p), float64(Percentile(last[name], p).Microseconds())/1000)
		}
	}
	for n, who := range []string{"lab's proxy, whole", "lab's proxy, delta", "gRPC's client"} {
		out.Report(who+": requests", float64(sent[n]))
		out.Check(who+": failed", float64(failed[n]), "0", failed[n] == 0)
	}
	for n, table := range tables {
		out.Check(fmt.Sprintf("lab-%d: lists emptied", n), float64(table.Emptied()), "0", table.Emptied() == 0)
	}
	clean := service.stop()
	out.Check("the service ended by itself, with status 0", boolValue(clean), "1", clean)
	return out, nil
}

// connected waits until all proxies can send.
func waitConnected(ctx context.Context, service *controlService, tables []*proxy.Table, api grpc_health_v1.HealthClient) error {
	if err := waitUntil(ctx, service.Control, "the lab's proxies have endpoints", func() bool { return allReady(tables) }); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if _, err := api.Check(call, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true)); err != nil {
		return fmt.Errorf("gRPC's client: %w", err)
	}
	return nil
}
