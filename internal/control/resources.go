// Package control turns the decision module's view of pools into resources for other proxies, and keeps them fresh.
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

// RouteName is the name of the route configuration, and of the listener that every proxy may ask for.
const RouteName = "kitewood"

// evenWeight is the weight of an endpoint that gets an even share. Weights move by hundredths: smaller moves are not worth
// a response to every proxy.
const evenWeight = 100

// ads has a resource come over the stream that the proxy has.
func ads() *core.ConfigSource {
	return &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3,
		ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}
}

// activeBias is the power to which least request raises the requests that are out, and one, before it divides the weight by
// them. By the first power alone a dozen proxies go on filling a queue that has stopped.
const activeBias = 3

// policies are the ways of choosing, the best first: a proxy takes the first that it knows. Weights go by what was reported a
// second ago; own requests that are out at an endpoint tell at once that it has slowed down, so least request, which divides
// the weight by them, comes first.
func policies() (*cluster.LoadBalancingPolicy, error) {
	in := func(name string, m proto.Message) (*cluster.LoadBalancingPolicy_Policy, error) {
		body, err := anypb.New(m)
		return &cluster.LoadBalancingPolicy_Policy{TypedExtensionConfig: &core.TypedExtensionConfig{Name: name, TypedConfig: body}}, err
	}
	least, err1 := in("envoy.load_balancing_policies.least_request", &leastrequest.LeastRequest{
		ActiveRequestBias: &core.RuntimeDouble{DefaultValue: activeBias, RuntimeKey: "kitewood.active_request_bias"}})
	even, err2 := in("envoy.load_balancing_policies.round_robin", &roundrobin.RoundRobin{})
	zones, err3 := in("envoy.load_balancing_policies.wrr_locality", &wrrlocality.WrrLocality{
		EndpointPickingPolicy: &cluster.LoadBalancingPolicy{Policies: []*cluster.LoadBalancingPolicy_Policy{even}}})
	return &cluster.LoadBalancingPolicy{Policies: []*cluster.LoadBalancingPolicy_Policy{least, zones}}, errors.Join(err1, err2, err3)
}

// clusterOf is the cluster of a pool.
func clusterOf(p *config.Pool) (*xds.Resource, error) {
	choose, err := policies()
	if err != nil {
		return nil, err
	}
	return xds.NewResource(p.Name, 0, &cluster.Cluster{
		Name:                 p.Name,
		ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig:     &cluster.Cluster_EdsClusterConfig{EdsConfig: ads()},
		ConnectTimeout:       durationpb.New(p.Connections.Timeout.D()),
		LbPolicy:             cluster.Cluster_ROUND_ROBIN, // for proxies that do not know the next field
		LoadBalancingPolicy:  choose,
		LrsServer: &core.ConfigSource{ResourceApiVersion: core.ApiVersion_V3,
			ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{TransportApiVersion: core.ApiVersion_V3}}},
	})
}

// endpointsOf are the endpoints of a pool as its module sees them. Those that take nothing new stay named until they are
// gone, with a status that says so: a proxy that only sees them missing may break off what is out there.
func endpointsOf(p *config.Pool, v routing.View, refused uint32) (*xds.Resource, error) {
	zones := map[string]*endpoint.LocalityLbEndpoints{}
	safety := xxhash.New()
	for _, d := range v.Endpoints { // by name
		at, err := netip.ParseAddrPort(d.Address)
		if err != nil || d.State == balance.Gone {
			continue
		}
		status, weight := statusOf(d)
		if status == core.HealthStatus_HEALTHY {
			safety.WriteString(d.Address + "\n")
		}
		z := zones[d.Zone]
		if z == nil {
			z = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: d.Zone}}
			zones[d.Zone] = z
		}
		z.LbEndpoints = append(z.LbEndpoints, &endpoint.LbEndpoint{
			HealthStatus:        status,
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{
				Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: at.Addr().String(),
					PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(at.Port())}}}}}},
		})
	}
	a := &endpoint.ClusterLoadAssignment{ClusterName: p.Name}
	if refused > 0 {
		a.Policy = &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "kitewood", DropPercentage: &typev3.FractionalPercent{Numerator: refused, Denominator: typev3.FractionalPercent_HUNDRED}}}}
	}
	for _, z := range zones {
		sum := uint32(0)
		for _, e := range z.LbEndpoints {
			if e.HealthStatus == core.HealthStatus_HEALTHY {
				sum += e.LoadBalancingWeight.Value
			}
		}
		// A locality without a weight gets nothing, by the protocol.
		z.LoadBalancingWeight = wrapperspb.UInt32(max(sum, 1))
		a.Endpoints = append(a.Endpoints, z)
	}
	slices.SortFunc(a.Endpoints, func(x, y *endpoint.LocalityLbEndpoints) int { return cmp.Compare(x.Locality.Zone, y.Locality.Zone) })
	return xds.NewResource(p.Name, safety.Sum64(), a)
}

// statusOf is what a proxy is told of a destination.
func statusOf(d routing.EndpointView) (core.HealthStatus, uint32) {
	weight := uint32(max(1, math.Round(d.Weight*evenWeight)))
	switch {
	case d.State == balance.Draining:
		return core.HealthStatus_DRAINING, weight
	case d.EjectedFor > 0:
		return core.HealthStatus_UNHEALTHY, weight
	case d.Probation: // readmitted, not yet trusted
		return core.HealthStatus_HEALTHY, max(1, weight/10)
	}
	return core.HealthStatus_HEALTHY, weight
}

// listenerOf is a listener for proxies that ask for their routes by a name, as gRPC clients do.
func listenerOf(name string) (*xds.Resource, error) {
	last, err := anypb.New(&router.Router{})
	if err != nil {
		return nil, err
	}
	manager, err := anypb.New(&hcm.HttpConnectionManager{
		StatPrefix:     "kitewood",
		RouteSpecifier: &hcm.HttpConnectionManager_Rds{Rds: &hcm.Rds{ConfigSource: ads(), RouteConfigName: RouteName}},
		HttpFilters: []*hcm.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: last}}},
	})
	if err != nil {
		return nil, err
	}
	return xds.NewResource(name, 0, &listener.Listener{Name: name, ApiListener: &listener.ApiListener{ApiListener: manager}})
}

// routesOf are the routes of a configuration in the order that proxies try them: a virtual host for each host, with the
// routes of the hosts that cover it behind its own, as proxies never look at a second one.
func routesOf(f *config.File, rights *xdsserver.Rights) (*xds.Resource, error) {
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
	c := &routes.RouteConfiguration{Name: RouteName, IgnorePortInHostMatching: true}
	for host := range byHost {
		v := &routes.VirtualHost{Name: host, Domains: []string{host}}
		for _, h := range covering(host) {
			rules := byHost[h]
			slices.SortStableFunc(rules, func(a, b rule) int { return precedence(a.Route, b.Route) })
			for _, r := range rules {
				v.Routes = append(v.Routes, routeOf(r.Route, may(rights, r.Pool))...)
			}
		}
		c.VirtualHosts = append(c.VirtualHosts, v)
	}
	slices.SortFunc(c.VirtualHosts, func(a, b *routes.VirtualHost) int { return cmp.Compare(a.Name, b.Name) })
	return xds.NewResource(RouteName, 0, c)
}

// covering are a host, the wildcards that cover it from the longest to the shortest, and "*".
func covering(host string) []string {
	out := []string{host}
	rest := strings.TrimPrefix(host, "*.")
	for host != "*" {
		_, parent, more := strings.Cut(rest, ".")
		if !more {
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

// precedence orders routes of one host as package route does.
func precedence(a, b *config.Route) int {
	has := func(s string) int { return min(len(s), 1) }
	return cmp.Or(cmp.Compare(has(b.Exact), has(a.Exact)), cmp.Compare(segments(b.Path), segments(a.Path)),
		cmp.Compare(has(b.Class), has(a.Class)), cmp.Compare(len(b.Headers), len(a.Headers)))
}

func segments(path string) int { return strings.Count(strings.TrimSuffix(path, "/"), "/") }

// routeOf is a route as proxies have it. A prefix of whole segments is two of theirs. To a proxy that may not have the pool it
// is a 404: left out, its requests would fall to a route behind it, and reach another pool.
func routeOf(r *config.Route, may bool) []*routes.Route {
	var headers []*routes.HeaderMatcher
	exact := func(name, value string) {
		h := &routes.HeaderMatcher{Name: strings.ToLower(name), HeaderMatchSpecifier: &routes.HeaderMatcher_PresentMatch{PresentMatch: true}}
		if value != "" {
			h.HeaderMatchSpecifier = &routes.HeaderMatcher_StringMatch{StringMatch: &matcher.StringMatcher{
				MatchPattern: &matcher.StringMatcher_Exact{Exact: value}}}
		}
		headers = append(headers, h)
	}
	if r.Class != "" {
		exact("x-service-class", r.Class)
	}
	for name, value := range r.Headers {
		exact(name, value)
	}
	slices.SortFunc(headers, func(a, b *routes.HeaderMatcher) int { return cmp.Compare(a.Name, b.Name) })
	route := func(m *routes.RouteMatch) *routes.Route {
		m.Headers = headers
		if !may {
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
