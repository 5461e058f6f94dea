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

// Server implements the aggregated discovery service and that of each resource type, in both protocol variants, and the load
// reporting service.
type Server struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	clusterservice.UnimplementedClusterDiscoveryServiceServer
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
	listenerservice.UnimplementedListenerDiscoveryServiceServer
	routeservice.UnimplementedRouteDiscoveryServiceServer

	loadstats.UnimplementedLoadReportingServiceServer

	hub       *Hub
	reports   LoadReportHandler
	authorize Authorize
	log       *slog.Logger
}

// Authorize returns the rights of the proxy that opened a stream with the given context. An error denies access.
type Authorize func(context.Context) (*Rights, error)

// AllowAll is an Authorize function that grants every proxy all rights.
func AllowAll(context.Context) (*Rights, error) { return &Rights{}, nil }

// authorizeProxy returns the rights of a proxy, or a PermissionDenied status if it has none.
func (s *Server) authorizeProxy(ctx context.Context) (*Rights, error) {
	r, err := s.authorize(ctx)
	if err != nil {
		s.log.Warn("a proxy is not let in", "peer", peerAddress(ctx), "error", err)
		return nil, status.Error(codes.PermissionDenied, "this proxy may have nothing")
	}
	return r, nil
}

// Register adds the services to a gRPC server.
func Register(g *grpc.Server, hub *Hub, reports LoadReportHandler, authorize Authorize, log *slog.Logger) {
	s := &Server{hub: hub, reports: reports, authorize: authorize, log: log}
	loadstats.RegisterLoadReportingServiceServer(g, s)
	discovery.RegisterAggregatedDiscoveryServiceServer(g, s)
	clusterservice.RegisterClusterDiscoveryServiceServer(g, s)
	endpointservice.RegisterEndpointDiscoveryServiceServer(g, s)
	listenerservice.RegisterListenerDiscoveryServiceServer(g, s)
	routeservice.RegisterRouteDiscoveryServiceServer(g, s)
}

// sotwStream is a gRPC stream of the state-of-the-world variant.
type sotwStream interface {
	Send(*discovery.DiscoveryResponse) error
	Recv() (*discovery.DiscoveryRequest, error)
	Context() context.Context
}

// deltaStream is a gRPC stream of the delta variant.
type deltaStream interface {
	Send(*discovery.DeltaDiscoveryResponse) error
	Recv() (*discovery.DeltaDiscoveryRequest, error)
	Context() context.Context
}

// serveStream authorizes the proxy and serves its stream.
func (s *Server) serveStream(ctx context.Context, delta bool, onlyType string, recv func() (*xds.Request, error),
	send func(*xds.Response) error) error {
	rights, err := s.authorizeProxy(ctx)
	if err != nil {
		return err
	}
	return s.hub.serveStream(ctx, s.log, rights.View, delta, onlyType, recv, send)
}

// serveSotW serves a stream of the state-of-the-world variant, for one type or, if onlyType is "", for all.
func (s *Server) serveSotW(stream sotwStream, onlyType string) error {
	return s.serveStream(stream.Context(), false, onlyType, func() (*xds.Request, error) {
		request, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		return &xds.Request{NodeID: request.GetNode().GetId(), TypeURL: request.TypeUrl, Nonce: request.ResponseNonce,
			NackReason: nackReason(request.ErrorDetail),
			Names:      request.ResourceNames, Version: request.VersionInfo}, nil
	}, func(r *xds.Response) error {
		message := &discovery.DiscoveryResponse{TypeUrl: r.TypeURL, VersionInfo: r.Version, Nonce: r.Nonce,
			Resources: make([]*anypb.Any, len(r.Resources))}
		for i, x := range r.Resources {
			message.Resources[i] = x.Body
		}
		return stream.Send(message)
	})
}

// serveDelta serves a stream of the delta variant, for one type or, if onlyType is "", for all.
func (s *Server) serveDelta(stream deltaStream, onlyType string) error {
	return s.serveStream(stream.Context(), true, onlyType, func() (*xds.Request, error) {
		request, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		return &xds.Request{NodeID: request.GetNode().GetId(), TypeURL: request.TypeUrl, Nonce: request.ResponseNonce,
			NackReason: nackReason(request.ErrorDetail),
			Subscribe:  request.ResourceNamesSubscribe, Unsubscribe: request.ResourceNamesUnsubscribe,
			InitialVersions: request.InitialResourceVersions}, nil
	}, func(r *xds.Response) error {
		message := &discovery.DeltaDiscoveryResponse{TypeUrl: r.TypeURL, SystemVersionInfo: r.Version, Nonce: r.Nonce,
			RemovedResources: r.Removed,
			Resources:        make([]*discovery.Resource, len(r.Resources))}
		for i, x := range r.Resources {
			message.Resources[i] = &discovery.Resource{Name: x.Name, Version: x.Version, Resource: x.Body}
		}
		return stream.Send(message)
	})
}

// nackReason returns the error message of a NACK, or "" for an ACK. A NACK without a message is still a NACK, and gets a
// substitute message.
func nackReason(detail *rpc.Status) string {
	if detail != nil && detail.Message == "" {
		return "it does not say why"
	}
	return detail.GetMessage()
}

// StreamAggregatedResources implements the state-of-the-world discovery service for all types.
func (s *Server) StreamAggregatedResources(w discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return s.serveSotW(w, "")
}

// DeltaAggregatedResources implements the delta discovery service for all types.
func (s *Server) DeltaAggregatedResources(w discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return s.serveDelta(w, "")
}

// StreamClusters implements the state-of-the-world discovery service for clusters.
func (s *Server) StreamClusters(w clusterservice.ClusterDiscoveryService_StreamClustersServer) error {
	return s.serveSotW(w, xds.TypeCluster)
}

// DeltaClusters implements the delta discovery service for clusters.
func (s *Server) DeltaClusters(w clusterservice.ClusterDiscoveryService_DeltaClustersServer) error {
	return s.serveDelta(w, xds.TypeCluster)
}

// StreamEndpoints implements the state-of-the-world discovery service for endpoints.
func (s *Server) StreamEndpoints(w endpointservice.EndpointDiscoveryService_StreamEndpointsServer) error {
	return s.serveSotW(w, xds.TypeEndpoint)
}

// DeltaEndpoints implements the delta discovery service for endpoints.
func (s *Server) DeltaEndpoints(w endpointservice.EndpointDiscoveryService_DeltaEndpointsServer) error {
	return s.serveDelta(w, xds.TypeEndpoint)
}

// StreamListeners implements the state-of-the-world discovery service for listeners.
func (s *Server) StreamListeners(w listenerservice.ListenerDiscoveryService_StreamListenersServer) error {
	return s.serveSotW(w, xds.TypeListener)
}

// DeltaListeners implements the delta discovery service for listeners.
func (s *Server) DeltaListeners(w listenerservice.ListenerDiscoveryService_DeltaListenersServer) error {
	return s.serveDelta(w, xds.TypeListener)
}

// StreamRoutes implements the state-of-the-world discovery service for routes.
func (s *Server) StreamRoutes(w routeservice.RouteDiscoveryService_StreamRoutesServer) error {
	return s.serveSotW(w, xds.TypeRoute)
}

// DeltaRoutes implements the delta discovery service for routes.
func (s *Server) DeltaRoutes(w routeservice.RouteDiscoveryService_DeltaRoutesServer) error {
	return s.serveDelta(w, xds.TypeRoute)
}
