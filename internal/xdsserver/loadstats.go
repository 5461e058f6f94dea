package xdsserver

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"kitewood/internal/loads"
	"kitewood/internal/xds"
)

// Reports takes what proxies report. Any goroutine may call it; a proxy is known by its connection, as nodes may share an
// id.
type LoadReportHandler interface {
	OnReport(proxy, cluster string, interval time.Duration, stats map[string]loads.Stats)
	OnDisconnect(proxy string)
}

// reportEvery is the interval that proxies are asked to report at.
const reportEvery = time.Second

// maxEndpoints is how many endpoints a report may name.
const maxEndpoints = 20_000

// StreamLoadStats is the load reporting service: proxies are asked for all clusters, by endpoint.
func (s *Server) StreamLoadStats(w loadstats.LoadReportingService_StreamLoadStatsServer) error {
	rights, err := s.rights(w.Context())
	if err != nil {
		return err
	}
	q, err := w.Recv()
	if err != nil {
		return err
	}
	proxy := q.GetNode().GetId()
	if len(proxy) > xds.MaxNode {
		return status.Errorf(codes.InvalidArgument, "the node id is over %d bytes", xds.MaxNode)
	}
	proxy += " " + peerOf(w.Context())
	defer s.reports.OnDisconnect(proxy)
	if err := w.Send(&loadstats.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(reportEvery)}); err != nil {
		return err
	}
	for {
		q, err := w.Recv()
		if err != nil {
			return end(err)
		}
		for _, c := range q.ClusterStats {
			if len(rights.Pools) > 0 && !slices.Contains(rights.Pools, c.ClusterName) {
				continue // what it says of others' pools is not believed
			}
			stats, err := statsOf(c)
			if err != nil {
				return err
			}
			s.reports.OnReport(proxy, c.ClusterName, c.GetLoadReportInterval().AsDuration(), stats)
		}
	}
}

func peerOf(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return ""
}

// statsOf are the endpoints of a report, by address and port.
func statsOf(c *endpoint.ClusterStats) (map[string]loads.Stats, error) {
	out := map[string]loads.Stats{}
	for _, z := range c.UpstreamLocalityStats {
		for _, e := range z.UpstreamEndpointStats {
			at := e.GetAddress().GetSocketAddress()
			if at == nil {
				continue
			}
			if len(out) >= maxEndpoints {
				return nil, status.Errorf(codes.InvalidArgument, "a report names over %d endpoints", maxEndpoints)
			}
			x := loads.Stats{InProgress: e.TotalRequestsInProgress, OK: e.TotalSuccessfulRequests,
				Failed: e.TotalErrorRequests, Metrics: map[string]loads.Metric{}}
			for _, m := range e.LoadMetricStats {
				x.Metrics[m.MetricName] = loads.Metric{Samples: m.NumRequestsFinishedWithMetric, Sum: m.TotalMetricValue}
			}
			out[addressOf(at)] = x
		}
	}
	return out, nil
}

func addressOf(a *core.SocketAddress) string {
	return net.JoinHostPort(a.Address, strconv.Itoa(int(a.GetPortValue())))
}
