package proxy

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Tracker counts a proxy's requests by endpoint, for its load reports. Any goroutine may call it.
type LoadTracker struct {
	mu    sync.Mutex
	stats map[string]map[string]*endpoint.UpstreamEndpointStats // by cluster and address
}

// NewTracker returns a Tracker that has counted nothing.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{stats: map[string]map[string]*endpoint.UpstreamEndpointStats{}}
}

func (t *LoadTracker) at(cluster, address string) *endpoint.UpstreamEndpointStats {
	if t.stats[cluster] == nil {
		t.stats[cluster] = map[string]*endpoint.UpstreamEndpointStats{}
	}
	e := t.stats[cluster][address]
	if e == nil {
		host, text, _ := net.SplitHostPort(address)
		port, _ := strconv.ParseUint(text, 10, 16)
		e = &endpoint.UpstreamEndpointStats{Address: &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{
			Address: host, PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(port)}}}}}
		t.stats[cluster][address] = e
	}
	return e
}

// Busy tells how many requests are out at an endpoint.
func (t *LoadTracker) InFlight(cluster, address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.stats[cluster][address].GetTotalRequestsInProgress())
}

// Begin counts a request that goes out. The function that it returns counts its end, with the metrics that the answer told.
func (t *LoadTracker) Begin(cluster, address string) (end func(ok bool, metrics map[string]float64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.at(cluster, address)
	e.TotalIssuedRequests++
	e.TotalRequestsInProgress++
	return func(ok bool, metrics map[string]float64) {
		t.mu.Lock()
		defer t.mu.Unlock()
		e := t.at(cluster, address)
		e.TotalRequestsInProgress--
		if ok {
			e.TotalSuccessfulRequests++
		} else {
			e.TotalErrorRequests++
		}
	next:
		for name, v := range metrics {
			for _, m := range e.LoadMetricStats {
				if m.MetricName == name {
					m.NumRequestsFinishedWithMetric++
					m.TotalMetricValue += v
					continue next
				}
			}
			e.LoadMetricStats = append(e.LoadMetricStats, &endpoint.EndpointLoadMetricStats{MetricName: name, NumRequestsFinishedWithMetric: 1, TotalMetricValue: v})
		}
	}
}

// report takes what was counted since the last report. Requests in progress stay counted.
func (t *LoadTracker) report(interval time.Duration) []*endpoint.ClusterStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*endpoint.ClusterStats
	for name, endpoints := range t.stats {
		z := &endpoint.UpstreamLocalityStats{Locality: &core.Locality{}}
		for address, e := range endpoints {
			z.UpstreamEndpointStats = append(z.UpstreamEndpointStats, e)
			delete(endpoints, address)
			if e.TotalRequestsInProgress > 0 {
				t.at(name, address).TotalRequestsInProgress = e.TotalRequestsInProgress
			}
		}
		out = append(out, &endpoint.ClusterStats{ClusterName: name, UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{z},
			LoadReportInterval: durationpb.New(interval)})
	}
	return out
}

// reportLoads sends load reports as the service asks for them, until the stream ends.
func (c *Client) reportLoads(ctx context.Context, conn *grpc.ClientConn) error {
	s, err := loadstats.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := s.Send(&loadstats.LoadStatsRequest{Node: c.node()}); err != nil {
		return err
	}
	r, err := s.Recv()
	if err != nil {
		return err
	}
	every := r.LoadReportingInterval.AsDuration()
	tick := time.NewTicker(every)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case now := <-tick.C:
			if err := s.Send(&loadstats.LoadStatsRequest{ClusterStats: c.LoadTracker.report(now.Sub(last))}); err != nil {
				return err
			}
			last = now
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
