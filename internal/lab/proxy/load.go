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

// LoadTracker counts a proxy's requests by endpoint, for its load reports. It is safe for concurrent use.
type LoadTracker struct {
	mu    sync.Mutex
	stats map[string]map[string]*endpoint.UpstreamEndpointStats // by cluster and address
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{stats: map[string]map[string]*endpoint.UpstreamEndpointStats{}}
}

// endpointStats returns the counters of an endpoint and creates them if needed. The caller holds t.mu.
func (t *LoadTracker) endpointStats(cluster, address string) *endpoint.UpstreamEndpointStats {
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

// InFlight returns the number of requests in flight at an endpoint.
func (t *LoadTracker) InFlight(cluster, address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int(t.stats[cluster][address].GetTotalRequestsInProgress())
}

// Begin counts a request that is sent. The caller calls the returned function at the request's end, with the metrics that the
// response reported.
func (t *LoadTracker) Begin(cluster, address string) (end func(ok bool, metrics map[string]float64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpointStats(cluster, address)
	e.TotalIssuedRequests++
	e.TotalRequestsInProgress++
	return func(ok bool, metrics map[string]float64) {
		t.mu.Lock()
		defer t.mu.Unlock()
		e := t.endpointStats(cluster, address)
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

// takeReport returns the counts since the last report and resets them. Requests in progress stay counted.
func (t *LoadTracker) takeReport(interval time.Duration) []*endpoint.ClusterStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*endpoint.ClusterStats
	for cluster, endpoints := range t.stats {
		locality := &endpoint.UpstreamLocalityStats{Locality: &core.Locality{}}
		for address, e := range endpoints {
			locality.UpstreamEndpointStats = append(locality.UpstreamEndpointStats, e)
			delete(endpoints, address)
			if e.TotalRequestsInProgress > 0 {
				t.endpointStats(cluster, address).TotalRequestsInProgress = e.TotalRequestsInProgress
			}
		}
		out = append(out, &endpoint.ClusterStats{ClusterName: cluster, UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{locality},
			LoadReportInterval: durationpb.New(interval)})
	}
	return out
}

// reportLoads sends load reports at the interval that the control service requests, until the stream ends.
func (c *Client) reportLoads(ctx context.Context, conn *grpc.ClientConn) error {
	s, err := loadstats.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := s.Send(&loadstats.LoadStatsRequest{Node: c.nodeInfo()}); err != nil {
		return err
	}
	r, err := s.Recv()
	if err != nil {
		return err
	}
	interval := r.LoadReportingInterval.AsDuration()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case now := <-tick.C:
			if err := s.Send(&loadstats.LoadStatsRequest{ClusterStats: c.LoadTracker.takeReport(now.Sub(last))}); err != nil {
				return err
			}
			last = now
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
