// Package control implements the xDS control service: it turns the decision module's view of pools into xDS resources for
// other proxies and keeps them up to date.
package control

import (
	"cmp"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	router "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcm "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	leastrequest "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/least_request/v3"
	roundrobin "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/round_robin/v3"
	wrrlocality "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/wrr_locality/v3"
	matcher "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"kitewood/balance"
	"kitewood/internal/config"
	"kitewood/internal/routing"
	"kitewood/internal/xds"
	"kitewood/internal/xdsserver"
)

// RouteName is the name of the route configuration, and of the listener that every proxy may request.
const RouteName = "kitewood"

// baseWeight is the weight of an endpoint that gets an even share. It sets the resolution of weights to 1%: smaller changes are
// not worth a response to every proxy.
const baseWeight = 100

// adsSource has the proxy fetch a resource over its existing aggregated stream.
func adsSource() *core.ConfigSource {
	return &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3,
		ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}
}

// activeRequestBias is the exponent of the least request policy: it divides an endpoint's weight by the number
// of requests in flight plus one, raised to this power. With an exponent of 1 a dozen proxies keep filling the queue of an endpoint
// that has stalled.
const activeRequestBias = 3

// loadBalancingPolicies returns the policies in order of preference: a proxy uses the first that it supports. Weights are based on
// reports that are a second old, whereas a proxy's own requests in flight show at once that an endpoint has slowed down. So least
// request, which divides the weight by them, comes first.
func loadBalancingPolicies() (*cluster.LoadBalancingPolicy, error) {
	wrap := func(name string, m proto.Message) (*cluster.LoadBalancingPolicy_Policy, error) {
		body, err := anypb.New(m)
		return &cluster.LoadBalancingPolicy_Policy{TypedExtensionConfig: &core.TypedExtensionConfig{Name: name, TypedConfig: body}}, err
	}
	leastRequest, err1 := wrap("envoy.load_balancing_policies.least_request", &leastrequest.LeastRequest{
		ActiveRequestBias: &core.RuntimeDouble{DefaultValue: activeRequestBias, RuntimeKey: "kitewood.active_request_bias"}})
	roundRobin, err2 := wrap("envoy.load_balancing_policies.round_robin", &roundrobin.RoundRobin{})
	byLocality, err3 := wrap("envoy.load_balancing_policies.wrr_locality", &wrrlocality.WrrLocality{
		EndpointPickingPolicy: &cluster.LoadBalancingPolicy{Policies: []*cluster.LoadBalancingPolicy_Policy{roundRobin}}})
	return &cluster.LoadBalancingPolicy{Policies: []*cluster.LoadBalancingPolicy_Policy{leastRequest, byLocality}}, errors.Join(err1, err2, err3)
}

// newCluster returns the cluster resource of a pool.
func newCluster(p *config.Pool) (*xds.Resource, error) {
	policies, err := loadBalancingPolicies()
	if err != nil {
		return nil, err
	}
	return xds.NewResource(p.Name, 0, &cluster.Cluster{
		Name:                 p.Name,
		ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig:     &cluster.Cluster_EdsClusterConfig{EdsConfig: adsSource()},
		ConnectTimeout:       durationpb.New(p.Connections.Timeout.D()),
		LbPolicy:             cluster.Cluster_ROUND_ROBIN, // for proxies that do not support the next field
		LoadBalancingPolicy:  policies,
		LrsServer: &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3,
			ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{TransportApiVersion: core.ApiVersion_V3}}},
	})
}

// newLoadAssignment returns the endpoints of a pool as its decision module sees them. Endpoints that accept no new requests stay
// listed with a matching health status until they are gone: a proxy may abort its requests in flight to an endpoint that
// disappears. rejectPercent is the share of requests that proxies are to reject.
func newLoadAssignment(p *config.Pool, v routing.View, rejectPercent uint32) (*xds.Resource, error) {
	zones := map[string]*endpoint.LocalityLbEndpoints{}
	safety := xxhash.New()
	for _, view := range v.Endpoints { // ordered by name
		at, err := netip.ParseAddrPort(view.Address)
		if err != nil || view.State == balance.Gone {
			continue
		}
		status, weight := healthAndWeight(view)
		if status == core.HealthStatus_HEALTHY {
			safety.WriteString(view.Address + "\n")
		}
		locality := zones[view.Zone]
		if locality == nil {
			locality = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: view.Zone}}
			zones[view.Zone] = locality
		}
		locality.LbEndpoints = append(locality.LbEndpoints, &endpoint.LbEndpoint{
			HealthStatus:        status,
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{
				Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: at.Addr().String(),
					PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(at.Port())}}}}}},
		})
	}
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: p.Name}
	if rejectPercent > 0 {
		assignment.Policy = &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "kitewood", DropPercentage: &typev3.FractionalPercent{Numerator: rejectPercent, Denominator: typev3.FractionalPercent_HUNDRED}}}}
	}
	for _, locality := range zones {
		sum := uint32(0)
		for _, e := range locality.LbEndpoints {
			if e.HealthStatus == core.HealthStatus_HEALTHY {
				sum += e.LoadBalancingWeight.Value
			}
		}
		// By the protocol a locality without a weight gets no requests.
		locality.LoadBalancingWeight = wrapperspb.UInt32(max(sum, 1))
		assignment.Endpoints = append(assignment.Endpoints, locality)
	}
	slices.SortFunc(assignment.Endpoints, func(x, y *endpoint.LocalityLbEndpoints) int { return cmp.Compare(x.Locality.Zone, y.Locality.Zone) })
	return xds.NewResource(p.Name, safety.Sum64(), assignment)
}

// healthAndWeight returns the health status and the weight under which an endpoint is served to proxies.
func healthAndWeight(e routing.EndpointView) (core.HealthStatus, uint32) {
	weight := uint32(max(1, math.Round(e.Weight*baseWeight)))
	switch {
	case e.State == balance.Draining:
		return core.HealthStatus_DRAINING, weight
	case e.EjectedFor > 0:
		return core.HealthStatus_UNHEALTHY, weight
	case e.Probation: // readmitted after an ejection, not yet proven healthy
		return core.HealthStatus_HEALTHY, max(1, weight/10)
	}
	return core.HealthStatus_HEALTHY, weight
}

// newListener returns an API listener, for proxies that look up their routes by listener name, as gRPC clients do.
func newListener(name string) (*xds.Resource, error) {
	routerFilter, err := anypb.New(&router.Router{})
	if err != nil {
		return nil, err
	}
	manager, err := anypb.New(&hcm.HttpConnectionManager{
		StatPrefix:     "kitewood",
		RouteSpecifier: &hcm.HttpConnectionManager_Rds{Rds: &hcm.Rds{ConfigSource: adsSource(), RouteConfigName: RouteName}},
		HttpFilters: []*hcm.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: routerFilter}}},
	})
	if err != nil {
		return nil, err
	}
	return xds.NewResource(name, 0, &listener.Listener{Name: name, ApiListener: &listener.ApiListener{ApiListener: manager}})
}

// newRouteConfig returns the routes of a configuration in the order in which proxies try them. Each host has a virtual host of its
// own, with the routes of the wildcards that match it after its own, as proxies never look at a second virtual host.
func newRouteConfig(f *config.File, rights *xdsserver.Rights) (*xds.Resource, error) {
	type rule struct {
		*config.Route
		order int
	}
	byHost := map[string][]rule{"*": nil}
	for i := range f.Routes {
		r := rule{&f.Routes[i], i}
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, h := range hosts {
			h = strings.ToLower(strings.TrimSuffix(h, "."))
			byHost[h] = append(byHost[h], r)
		}
	}
	routeConfig := &routes.RouteConfiguration{Name: RouteName, IgnorePortInHostMatching: true}
	for host := range byHost {
		v := &routes.VirtualHost{Name: host, Domains: []string{host}}
		for _, h := range hostPatterns(host) {
			rules := byHost[h]
			slices.SortStableFunc(rules, func(a, b rule) int { return compareRoutes(a.Route, b.Route) })
			for _, r := range rules {
				v.Routes = append(v.Routes, newRoutes(r.Route, allowed(rights, r.Pool))...)
			}
		}
		routeConfig.VirtualHosts = append(routeConfig.VirtualHosts, v)
	}
	slices.SortFunc(routeConfig.VirtualHosts, func(a, b *routes.VirtualHost) int { return cmp.Compare(a.Name, b.Name) })
	return xds.NewResource(RouteName, 0, routeConfig)
}

// hostPatterns returns a host, the wildcards that match it from the longest to the shortest, and "*".
func hostPatterns(host string) []string {
	out := []string{host}
	rest := strings.TrimPrefix(host, "*.")
	for host != "*" {
		_, parent, ok := strings.Cut(rest, ".")
		if !ok {
			out = append(out, "*."+rest)
			break
		}
		rest = parent
		out = append(out, "*."+rest)
	}
	if host != "*" {
		out = append(out, "*")
	}
	return slices.Compact(out)
}

// compareRoutes orders the routes of one host as package route does.
func compareRoutes(a, b *config.Route) int {
	isSet := func(s string) int { return min(len(s), 1) }
	return cmp.Or(cmp.Compare(isSet(b.Exact), isSet(a.Exact)), cmp.Compare(countSegments(b.Path), countSegments(a.Path)),
		cmp.Compare(isSet(b.Class), isSet(a.Class)), cmp.Compare(len(b.Headers), len(a.Headers)))
}

// countSegments returns the number of segments of a path.
func countSegments(path string) int { return strings.Count(strings.TrimSuffix(path, "/"), "/") }

// newRoutes converts a route to xDS routes. A prefix of whole segments needs two of them. For a proxy without access to the pool
// the route answers 404: if it were left out, its requests would match a later route and reach another pool.
func newRoutes(r *config.Route, hasAccess bool) []*routes.Route {
	var headers []*routes.HeaderMatcher
	matchHeader := func(name, value string) {
		header := &routes.HeaderMatcher{Name: strings.ToLower(name), HeaderMatchSpecifier: &routes.HeaderMatcher_PresentMatch{PresentMatch: true}}
		if value != "" {
			header.HeaderMatchSpecifier = &routes.HeaderMatcher_StringMatch{StringMatch: &matcher.StringMatcher{
				MatchPattern: &matcher.StringMatcher_Exact{Exact: value}}}
		}
		headers = append(headers, header)
	}
	if r.Class != "" {
		matchHeader("x-service-class", r.Class)
	}
	for name, value := range r.Headers {
		matchHeader(name, value)
	}
	slices.SortFunc(headers, func(a, b *routes.HeaderMatcher) int { return cmp.Compare(a.Name, b.Name) })
	route := func(m *routes.RouteMatch) *routes.Route {
		m.Headers = headers
		if !hasAccess {
			return &routes.Route{Match: m, Action: &routes.Route_DirectResponse{DirectResponse: &routes.DirectResponseAction{Status: 404}}}
		}
		return &routes.Route{Match: m, Action: &routes.Route_Route{Route: &routes.RouteAction{
			ClusterSpecifier: &routes.RouteAction_Cluster{Cluster: r.Pool}}}}
	}
	path := func(p string) *routes.Route {
		return route(&routes.RouteMatch{PathSpecifier: &routes.RouteMatch_Path{Path: p}})
	}
	prefix := func(p string) *routes.Route {
		return route(&routes.RouteMatch{PathSpecifier: &routes.RouteMatch_Prefix{Prefix: p}})
	}
	switch p := strings.TrimSuffix(r.Path, "/"); {
	case r.Exact != "":
		return []*routes.Route{path(r.Exact)}
	case p == "":
		return []*routes.Route{prefix("")}
	default:
		return []*routes.Route{path(p), prefix(p + "/")}
	}
}
