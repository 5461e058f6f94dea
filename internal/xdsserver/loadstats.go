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

// LoadReportHandler receives the load reports of proxies. It has to be safe for concurrent use. A proxy is identified by its
// node ID and its connection, as several nodes may share an ID.
type LoadReportHandler interface {
	OnReport(proxy, cluster string, interval time.Duration, stats map[string]loads.Stats)
	OnDisconnect(proxy string)
}

// loadReportInterval is the reporting interval requested from proxies.
const loadReportInterval = time.Second

// maxReportEndpoints is the maximum number of endpoints in a report.
const maxReportEndpoints = 20_000

// StreamLoadStats implements the load reporting service. It requests reports for all clusters, by endpoint.
func (s *Server) StreamLoadStats(stream loadstats.LoadReportingService_StreamLoadStatsServer) error {
	rights, err := s.authorizeProxy(stream.Context())
	if err != nil {
		return err
	}
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	proxy := request.GetNode().GetId()
	if len(proxy) > xds.MaxNodeIDBytes {
		return status.Errorf(codes.InvalidArgument, "the node id is over %d bytes", xds.MaxNodeIDBytes)
	}
	proxy += " " + peerAddress(stream.Context())
	defer s.reports.OnDisconnect(proxy)
	if err := stream.Send(&loadstats.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(loadReportInterval)}); err != nil {
		return err
	}
	for {
		request, err := stream.Recv()
		if err != nil {
			return streamError(err)
		}
		for _, cluster := range request.ClusterStats {
			if len(rights.Pools) > 0 && !slices.Contains(rights.Pools, cluster.ClusterName) {
				continue // reports on pools that the proxy has no rights for are ignored
			}
			stats, err := endpointStats(cluster)
			if err != nil {
				return err
			}
			s.reports.OnReport(proxy, cluster.ClusterName, cluster.GetLoadReportInterval().AsDuration(), stats)
		}
	}
}

// peerAddress returns the address of the proxy, "" if it is unknown.
func peerAddress(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return ""
}

// endpointStats returns the statistics of the endpoints in a report, by address and port.
func endpointStats(cluster *endpoint.ClusterStats) (map[string]loads.Stats, error) {
	stats := map[string]loads.Stats{}
	for _, locality := range cluster.UpstreamLocalityStats {
		for _, ep := range locality.UpstreamEndpointStats {
			address := ep.GetAddress().GetSocketAddress()
			if address == nil {
				continue
			}
			if len(stats) >= maxReportEndpoints {
				return nil, status.Errorf(codes.InvalidArgument, "a report names over %d endpoints", maxReportEndpoints)
			}
			s := loads.Stats{InProgress: ep.TotalRequestsInProgress, OK: ep.TotalSuccessfulRequests,
				Failed: ep.TotalErrorRequests, Metrics: map[string]loads.Metric{}}
			for _, m := range ep.LoadMetricStats {
				s.Metrics[m.MetricName] = loads.Metric{Samples: m.NumRequestsFinishedWithMetric, Sum: m.TotalMetricValue}
			}
			stats[hostPort(address)] = s
		}
	}
	return stats, nil
}

func hostPort(a *core.SocketAddress) string {
	return net.JoinHostPort(a.Address, strconv.Itoa(int(a.GetPortValue())))
}
