package xdsserver

import (
	"context"
	"log/slog"

	clusterservice "github.com/envoyproxy/go-control-plane/envoy/service/cluster/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	listenerservice "github.com/envoyproxy/go-control-plane/envoy/service/listener/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	routeservice "github.com/envoyproxy/go-control-plane/envoy/service/route/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"kitewood/internal/xds"
)

// Server offers the aggregated discovery service and that of each type, in both variants.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	clusterservice.UnimplementedClusterDiscoveryServiceServer
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
	listenerservice.UnimplementedListenerDiscoveryServiceServer
	routeservice.UnimplementedRouteDiscoveryServiceServer

	loadstats.UnimplementedLoadReportingServiceServer

	hub      *Hub
	reports  LoadReportHandler
	identify Authorize
	log      *slog.Logger
}

// Identify finds what the proxy of a connection may have; an error lets it have nothing.
type Authorize func(context.Context) (*Rights, error)

// Anybody may have all.
func AllowAll(context.Context) (*Rights, error) { return &Rights{}, nil }

// rights are those of a proxy, or the protocol's word for that it has none.
func (s *Server) rights(ctx context.Context) (*Rights, error) {
	r, err := s.identify(ctx)
	if err != nil {
		s.log.Warn("a proxy is not let in", "peer", peerOf(ctx), "error", err)
		return nil, status.Error(codes.PermissionDenied, "this proxy may have nothing")
	}
	return r, nil
}

// Register adds the services to a gRPC server.
func Register(g *grpc.Server, hub *Hub, reports LoadReportHandler, identify Authorize, log *slog.Logger) {
	s := &Server{hub: hub, reports: reports, identify: identify, log: log}
	loadstats.RegisterLoadReportingServiceServer(g, s)
	discovery.RegisterAggregatedDiscoveryServiceServer(g, s)
	clusterservice.RegisterClusterDiscoveryServiceServer(g, s)
	endpointservice.RegisterEndpointDiscoveryServiceServer(g, s)
	listenerservice.RegisterListenerDiscoveryServiceServer(g, s)
	routeservice.RegisterRouteDiscoveryServiceServer(g, s)
}

// whole is a stream of state of the world.
type whole interface {
	Send(*discovery.DiscoveryResponse) error
	Recv() (*discovery.DiscoveryRequest, error)
	Context() context.Context
}

// changes is a delta stream.
type changes interface {
	Send(*discovery.DeltaDiscoveryResponse) error
	Recv() (*discovery.DeltaDiscoveryRequest, error)
	Context() context.Context
}

// serve runs a stream of a proxy that may have something.
func (s *Server) serve(ctx context.Context, delta bool, only string, recv func() (*xds.Request, error), send func(*xds.Response) error) error {
	rights, err := s.rights(ctx)
	if err != nil {
		return err
	}
	return s.hub.serve(ctx, s.log, rights.View, delta, only, recv, send)
}

func (s *Server) whole(w whole, only string) error {
	return s.serve(w.Context(), false, only, func() (*xds.Request, error) {
		q, err := w.Recv()
		if err != nil {
			return nil, err
		}
		return &xds.Request{Node: q.GetNode().GetId(), TypeURL: q.TypeUrl, Nonce: q.ResponseNonce, Refused: refused(q.ErrorDetail),
			Names: q.ResourceNames, Version: q.VersionInfo}, nil
	}, func(r *xds.Response) error {
		out := &discovery.DiscoveryResponse{TypeUrl: r.TypeURL, VersionInfo: r.Version, Nonce: r.Nonce, Resources: make([]*anypb.Any, len(r.Resources))}
		for i, x := range r.Resources {
			out.Resources[i] = x.Body
		}
		return w.Send(out)
	})
}

func (s *Server) changes(w changes, only string) error {
	return s.serve(w.Context(), true, only, func() (*xds.Request, error) {
		q, err := w.Recv()
		if err != nil {
			return nil, err
		}
		return &xds.Request{Node: q.GetNode().GetId(), TypeURL: q.TypeUrl, Nonce: q.ResponseNonce, Refused: refused(q.ErrorDetail),
			Subscribe: q.ResourceNamesSubscribe, Unsubscribe: q.ResourceNamesUnsubscribe, Initial: q.InitialResourceVersions}, nil
	}, func(r *xds.Response) error {
		out := &discovery.DeltaDiscoveryResponse{TypeUrl: r.TypeURL, SystemVersionInfo: r.Version, Nonce: r.Nonce, RemovedResources: r.Removed,
			Resources: make([]*discovery.Resource, len(r.Resources))}
		for i, x := range r.Resources {
			out.Resources[i] = &discovery.Resource{Name: x.Name, Version: x.Version, Resource: x.Body}
		}
		return w.Send(out)
	})
}

// refused is why a response was refused, "" if it was not: a refusal without a text is one, too.
func refused(detail *rpc.Status) string {
	if detail != nil && detail.Message == "" {
		return "it does not say why"
	}
	return detail.GetMessage()
}

// StreamAggregatedResources serves all types, state of the world.
func (s *Server) StreamAggregatedResources(w discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return s.whole(w, "")
}

// DeltaAggregatedResources serves all types, delta.
func (s *Server) DeltaAggregatedResources(w discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return s.changes(w, "")
}

// StreamClusters serves clusters, state of the world.
func (s *Server) StreamClusters(w clusterservice.ClusterDiscoveryService_StreamClustersServer) error {
	return s.whole(w, xds.TypeCluster)
}

// DeltaClusters serves clusters, delta.
func (s *Server) DeltaClusters(w clusterservice.ClusterDiscoveryService_DeltaClustersServer) error {
	return s.changes(w, xds.TypeCluster)
}

// StreamEndpoints serves endpoints, state of the world.
func (s *Server) StreamEndpoints(w endpointservice.EndpointDiscoveryService_StreamEndpointsServer) error {
	return s.whole(w, xds.TypeEndpoint)
}

// DeltaEndpoints serves endpoints, delta.
func (s *Server) DeltaEndpoints(w endpointservice.EndpointDiscoveryService_DeltaEndpointsServer) error {
	return s.changes(w, xds.TypeEndpoint)
}

// StreamListeners serves listeners, state of the world.
func (s *Server) StreamListeners(w listenerservice.ListenerDiscoveryService_StreamListenersServer) error {
	return s.whole(w, xds.TypeListener)
}

// DeltaListeners serves listeners, delta.
func (s *Server) DeltaListeners(w listenerservice.ListenerDiscoveryService_DeltaListenersServer) error {
	return s.changes(w, xds.TypeListener)
}

// StreamRoutes serves routes, state of the world.
func (s *Server) StreamRoutes(w routeservice.RouteDiscoveryService_StreamRoutesServer) error {
	return s.whole(w, xds.TypeRoute)
}

// DeltaRoutes serves routes, delta.
func (s *Server) DeltaRoutes(w routeservice.RouteDiscoveryService_DeltaRoutesServer) error {
	return s.changes(w, xds.TypeRoute)
}
