package proxy

import (
	"testing"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// newTable returns a table with one cluster "c" whose endpoints have the given weights.
func newTable(t *testing.T, bias float64, drop *endpoint.ClusterLoadAssignment_Policy, weights ...uint32) *Table {
	t.Helper()
	x := NewTable()
	x.SetClusters(map[string]float64{"c": bias})
	err := x.SetRoutes(&routes.RouteConfiguration{VirtualHosts: []*routes.VirtualHost{{Name: "*", Domains: []string{"*"}, Routes: []*routes.Route{{
		Match:  &routes.RouteMatch{PathSpecifier: &routes.RouteMatch_Prefix{Prefix: ""}},
		Action: &routes.Route_Route{Route: &routes.RouteAction{ClusterSpecifier: &routes.RouteAction_Cluster{Cluster: "c"}}}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	locality := &endpoint.LocalityLbEndpoints{}
	for port, weight := range weights {
		locality.LbEndpoints = append(locality.LbEndpoints, &endpoint.LbEndpoint{LoadBalancingWeight: wrapperspb.UInt32(weight),
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{Address: &core.Address_SocketAddress{
				SocketAddress: &core.SocketAddress{Address: "10.0.0.1", PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(port) + 1}}}}}}})
	}
	if err := x.SetEndpoints(&endpoint.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpoint.LocalityLbEndpoints{locality}, Policy: drop}); err != nil {
		t.Fatal(err)
	}
	return x
}

// With least request, the weight of an endpoint is divided by a power of its requests in flight plus one. If all weights are
// equal, the loaded one of two endpoints is picked only when both random choices fall on it. Without least request, the
// requests in flight have no effect.
func TestLeastRequest(t *testing.T) {
	for _, c := range []struct {
		bias               float64
		otherWeight        uint32
		minPicks, maxPicks int // bounds for the endpoint with one request in flight, of 900 picks
	}{{0, 100, 450, 450}, {1, 101, 295, 305}, {3, 101, 95, 105}, {1, 100, 150, 300}, {3, 100, 150, 300}} {
		x := newTable(t, c.bias, nil, 100, c.otherWeight)
		x.InFlight = func(_, address string) int {
			if address == "10.0.0.1:1" {
				return 1
			}
			return 0
		}
		n := 0
		for range 900 {
			address, err := x.Pick("any", "/", func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			if address == "10.0.0.1:1" {
				n++
			}
		}
		if n < c.minPicks || n > c.maxPicks {
			t.Errorf("bias %g, weights 100 and %d: %d of 900 picks for the endpoint with a request in flight", c.bias, c.otherWeight, n)
		}
	}
}

// Drop categories apply one after the other, each with its own denominator.
func TestDrops(t *testing.T) {
	drop := func(numerator uint32, denominator typev3.FractionalPercent_DenominatorType) *endpoint.ClusterLoadAssignment_Policy_DropOverload {
		return &endpoint.ClusterLoadAssignment_Policy_DropOverload{DropPercentage: &typev3.FractionalPercent{Numerator: numerator, Denominator: denominator}}
	}
	x := newTable(t, 0, &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{
		drop(50, typev3.FractionalPercent_HUNDRED), drop(5000, typev3.FractionalPercent_TEN_THOUSAND)}})
	if got := x.dropShare["c"]; got != 0.75 {
		t.Errorf("drop share %g, want 0.75", got)
	}
	if !newTable(t, 0, &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{
		drop(1e6, typev3.FractionalPercent_MILLION)}}).ShouldDrop("c") || newTable(t, 0, nil).ShouldDrop("c") {
		t.Error("a policy of 100 percent must drop all requests, and a table without a policy none")
	}
}
