// Package proxy is a small data plane that is configured over xDS. It implements routes, weighted round robin and least request
// over healthy endpoints, draining, and drop policies. The lab uses it in place of the third-party proxies of other
// installations.
package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
)

// Endpoint is an endpoint of a cluster, with its position in the weighted round robin.
type Endpoint struct {
	Address  string
	Weight   uint32
	nextTurn float64
}

// Table holds the routes, clusters and endpoints that a proxy has received. It is safe for concurrent use.
type Table struct {
	// InFlight returns the number of the proxy's requests in flight at an endpoint of a cluster. Clusters configured for least
	// request use it only if InFlight is set. The algorithm is Envoy's: with equal weights, the endpoint with fewer requests in
	// flight of two chosen at random; otherwise weighted round robin, where the weight of the endpoint whose turn it is gets
	// divided by (requests in flight + 1) to the power of the cluster's bias. It must be set before the Table is used.
	InFlight func(cluster, address string) int

	// OnEndpointsChanged, if not nil, is called at each update of a cluster's endpoints with those that accept requests. It must
	// be set before the Table is used.
	OnEndpointsChanged func(cluster string, addresses []string)

	mu               sync.Mutex
	routes           *routes.RouteConfiguration
	leastRequestBias map[string]float64     // by cluster; 0 if the cluster does not use least request
	endpoints        map[string][]*Endpoint // that accept new requests, by cluster
	lastTurn         map[string]float64
	equalWeights     map[string]bool    // clusters whose endpoints all have the same weight
	dropShare        map[string]float64 // fraction of requests to drop, by cluster
	emptiedCount     int                // how often a cluster lost its last endpoint
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{leastRequestBias: map[string]float64{}, endpoints: map[string][]*Endpoint{}, lastTurn: map[string]float64{}, equalWeights: map[string]bool{}, dropShare: map[string]float64{}}
}

// SetRoutes replaces the route configuration.
func (t *Table) SetRoutes(r *routes.RouteConfiguration) error {
	if len(r.VirtualHosts) == 0 {
		return errors.New("a route configuration without virtual hosts")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes = r
	return nil
}

// SetClusters replaces the set of clusters. It takes the least-request bias of each, 0 if the cluster does not use least request.
func (t *Table) SetClusters(bias map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leastRequestBias = maps.Clone(bias)
}

// SetEndpoints replaces the endpoints of a cluster. Those that are not healthy get no new requests.
func (t *Table) SetEndpoints(a *endpoint.ClusterLoadAssignment) error {
	var list []*Endpoint
	for _, locality := range a.Endpoints {
		for _, e := range locality.LbEndpoints {
			if e.HealthStatus != core.HealthStatus_HEALTHY && e.HealthStatus != core.HealthStatus_UNKNOWN {
				continue
			}
			address := e.GetEndpoint().GetAddress().GetSocketAddress()
			if address == nil || e.GetLoadBalancingWeight().GetValue() == 0 {
				return fmt.Errorf("cluster %q: an endpoint without an address or a weight", a.ClusterName)
			}
			list = append(list, &Endpoint{Address: net.JoinHostPort(address.Address, strconv.Itoa(int(address.GetPortValue()))), Weight: e.LoadBalancingWeight.Value})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	oldTurns := map[string]float64{}
	for _, e := range t.endpoints[a.ClusterName] {
		oldTurns[e.Address] = e.nextTurn
	}
	for i, e := range list {
		var known bool
		if e.nextTurn, known = oldTurns[e.Address]; !known { // spread over the first interval, so that new endpoints get no burst
			e.nextTurn = t.lastTurn[a.ClusterName] + float64(i+1)/float64(len(list))/float64(e.Weight)
		}
	}
	if len(list) == 0 && len(t.endpoints[a.ClusterName]) > 0 {
		t.emptiedCount++
	}
	t.endpoints[a.ClusterName] = list
	t.equalWeights[a.ClusterName] = !slices.ContainsFunc(list, func(e *Endpoint) bool { return e.Weight != list[0].Weight })
	passShare := 1.0 // each category drops from what the previous ones let through
	for _, d := range a.GetPolicy().GetDropOverloads() {
		denominator := map[typev3.FractionalPercent_DenominatorType]float64{typev3.FractionalPercent_HUNDRED: 100, typev3.FractionalPercent_TEN_THOUSAND: 1e4,
			typev3.FractionalPercent_MILLION: 1e6}[d.GetDropPercentage().GetDenominator()]
		passShare *= 1 - float64(d.GetDropPercentage().GetNumerator())/denominator
	}
	t.dropShare[a.ClusterName] = 1 - passShare
	if t.OnEndpointsChanged != nil {
		addresses := make([]string, 0, len(list))
		for _, e := range list {
			addresses = append(addresses, e.Address)
		}
		t.OnEndpointsChanged(a.ClusterName, addresses)
	}
	return nil
}

// EmptiedCount returns how often a cluster lost its last endpoint.
func (t *Table) EmptiedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.emptiedCount
}

// Ready reports whether there are routes and the cluster is known and has endpoints.
func (t *Table) Ready(cluster string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.leastRequestBias[cluster]
	return t.routes != nil && ok && len(t.endpoints[cluster]) > 0
}

// ShouldDrop decides at random whether the cluster's drop policy drops a request.
func (t *Table) ShouldDrop(cluster string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.Float64() < t.dropShare[cluster]
}

// Pick returns the address of the endpoint for a request: the first route that matches selects the cluster, and the cluster's
// load-balancing policy the endpoint.
func (t *Table) Pick(host, path string, header func(string) string) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cluster := findCluster(t.routes, host, path, header)
	if cluster == "" {
		return "", errors.New("no route matches the request")
	}
	list := t.endpoints[cluster]
	bias, ok := t.leastRequestBias[cluster]
	if len(list) == 0 || !ok {
		return "", fmt.Errorf("cluster %q has no endpoints", cluster)
	}
	if bias > 0 && t.InFlight != nil && t.equalWeights[cluster] {
		a, b := list[rand.IntN(len(list))].Address, list[rand.IntN(len(list))].Address
		if t.InFlight(cluster, b) < t.InFlight(cluster, a) {
			a = b
		}
		return a, nil
	}
	first := slices.MinFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.nextTurn, b.nextTurn) })
	t.lastTurn[cluster] = first.nextTurn
	cost := 1.0
	if bias > 0 && t.InFlight != nil {
		cost = math.Pow(1+float64(t.InFlight(cluster, first.Address)), bias)
	}
	first.nextTurn += cost / float64(first.Weight)
	return first.Address, nil
}

// Route returns the cluster of a request, "" if no route matches.
func (t *Table) Route(host, path string, header func(string) string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return findCluster(t.routes, host, path, header)
}

// findCluster returns the cluster of a request, "" if no route matches. The virtual host is selected as xDS defines it: an exact
// domain is preferred to a wildcard, a longer wildcard suffix to a shorter one.
func findCluster(c *routes.RouteConfiguration, host, path string, header func(string) string) string {
	if c == nil {
		return ""
	}
	if h, _, err := net.SplitHostPort(host); err == nil && c.IgnorePortInHostMatching {
		host = h
	}
	host = strings.ToLower(host)
	var best *routes.VirtualHost
	bestRank := -1
	for _, v := range c.VirtualHosts {
		for _, d := range v.Domains {
			suffix, wild := strings.CutPrefix(d, "*")
			rank := -1
			switch {
			case d == host:
				rank = 1 << 20
			case wild && strings.HasSuffix(host, suffix) && len(host) > len(suffix):
				rank = len(suffix)
			}
			if rank > bestRank {
				best, bestRank = v, rank
			}
		}
	}
	for _, r := range best.GetRoutes() {
		if matches(r.Match, path, header) {
			return r.GetRoute().GetCluster()
		}
	}
	return ""
}

// matches reports whether a request matches a route.
func matches(m *routes.RouteMatch, path string, header func(string) string) bool {
	path, _, _ = strings.Cut(path, "?")
	switch p := m.PathSpecifier.(type) {
	case *routes.RouteMatch_Path:
		if path != p.Path {
			return false
		}
	case *routes.RouteMatch_Prefix:
		if !strings.HasPrefix(path, p.Prefix) {
			return false
		}
	default:
		return false
	}
	for _, h := range m.Headers {
		v := header(h.Name)
		if want := h.GetStringMatch().GetExact(); v == "" || want != "" && v != want {
			return false
		}
	}
	return true
}
