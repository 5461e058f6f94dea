package proxy

import (
	"testing"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// table has one cluster with two endpoints of some weights.
func table(t *testing.T, bias float64, drop *endpoint.ClusterLoadAssignment_Policy, weights ...uint32) *Table {
	t.Helper()
	x := NewTable()
	x.SetClusters(map[string]float64{"c": bias})
	err := x.SetRoutes(&routes.RouteConfiguration{VirtualHosts: []*routes.VirtualHost{{Name: "*", Domains: []string{"*"}, Routes: []*routes.Route{{
		Match:  &routes.RouteMatch{PathSpecifier: &routes.RouteMatch_Prefix{Prefix: ""}},
		Action: &routes.Route_Route{Route: &routes.RouteAction{ClusterSpecifier: &routes.RouteAction_Cluster{Cluster: "c"}}}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	z := &endpoint.LocalityLbEndpoints{}
	for port, weight := range weights {
		z.LbEndpoints = append(z.LbEndpoints, &endpoint.LbEndpoint{LoadBalancingWeight: wrapperspb.UInt32(weight),
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{Address: &core.Address_SocketAddress{
				SocketAddress: &core.SocketAddress{Address: "10.0.0.1", PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(port) + 1}}}}}}})
	}
	if err := x.SetEndpoints(&endpoint.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpoint.LocalityLbEndpoints{z}, Policy: drop}); err != nil {
		t.Fatal(err)
	}
	return x
}

// With least request an endpoint that holds requests gets its weight divided by their power, or is taken only where it is drawn
// twice if all weights are alike; without it they change nothing.
func TestLeastRequest(t *testing.T) {
	for _, c := range []struct {
		bias        float64
		other       uint32
		least, most int // of 900 at the endpoint that holds one
	}{{0, 100, 450, 450}, {1, 101, 295, 305}, {3, 101, 95, 105}, {1, 100, 150, 300}, {3, 100, 150, 300}} {
		x := table(t, c.bias, nil, 100, c.other)
		x.InFlight = func(_, address string) int {
			if address == "10.0.0.1:1" {
				return 1
			}
			return 0
		}
		n := 0
		for range 900 {
			at, err := x.Pick("any", "/", func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			if at == "10.0.0.1:1" {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("bias %g, weights 100 and %d: %d of 900", c.bias, c.other, n)
		}
	}
}

// Categories of refusals are drawn one after the other, each in its own unit.
func TestDrops(t *testing.T) {
	drop := func(numerator uint32, of typev3.FractionalPercent_DenominatorType) *endpoint.ClusterLoadAssignment_Policy_DropOverload {
		return &endpoint.ClusterLoadAssignment_Policy_DropOverload{DropPercentage: &typev3.FractionalPercent{Numerator: numerator, Denominator: of}}
	}
	x := table(t, 0, &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{
		drop(50, typev3.FractionalPercent_HUNDRED), drop(5000, typev3.FractionalPercent_TEN_THOUSAND)}})
	if got := x.drops["c"]; got != 0.75 {
		t.Errorf("%g are refused", got)
	}
	if !table(t, 0, &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{
		drop(1e6, typev3.FractionalPercent_MILLION)}}).ShouldDrop("c") || table(t, 0, nil).ShouldDrop("c") {
		t.Error("all are to be refused, and none without a policy")
	}
}
