// Package proxy is a small data plane that applies what xDS says: weighted round robin over healthy endpoints, drains,
// routes. The lab puts it where other installations have proxies of their own.
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

// Endpoint is where a request can go, with its turn in the weighted round robin.
type Endpoint struct {
	Address string
	Weight  uint32
	next    float64
}

// Table is what a proxy was told. Any goroutine may call it.
type Table struct {
	// Busy tells how many of the proxy's requests are out at an endpoint of a cluster. With it, clusters that ask for least
	// request get it, as Envoy has it: where all weights are alike, of two endpoints drawn at random the one with fewer of them;
	// where they differ, an endpoint's weight at its turn is divided by those and one, raised to the cluster's bias. It is set
	// before the Table is used.
	InFlight func(cluster, address string) int

	// Changed is told the endpoints of a cluster that take requests whenever they are told, if it is set before the Table is used.
	OnEndpointsChanged func(cluster string, addresses []string)

	mu        sync.Mutex
	routes    *routes.RouteConfiguration
	clusters  map[string]float64     // the bias of least request of each, 0 where it does not ask for it
	endpoints map[string][]*Endpoint // that take new requests, by cluster
	turn      map[string]float64
	alike     map[string]bool    // clusters whose endpoints have one weight
	drops     map[string]float64 // share that is refused, by cluster
	emptied   int                // times that a cluster that had endpoints was left with none
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{clusters: map[string]float64{}, endpoints: map[string][]*Endpoint{}, turn: map[string]float64{}, alike: map[string]bool{}, drops: map[string]float64{}}
}

// SetRoutes takes a route configuration.
func (t *Table) SetRoutes(r *routes.RouteConfiguration) error {
	if len(r.VirtualHosts) == 0 {
		return errors.New("a route configuration without virtual hosts")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes = r
	return nil
}

// SetClusters takes the clusters there are, each with the bias of least request, 0 where it does not ask for that.
func (t *Table) SetClusters(least map[string]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clusters = maps.Clone(least)
}

// SetEndpoints takes the endpoints of a cluster. Those that are not healthy get nothing new.
func (t *Table) SetEndpoints(a *endpoint.ClusterLoadAssignment) error {
	var list []*Endpoint
	for _, z := range a.Endpoints {
		for _, e := range z.LbEndpoints {
			if e.HealthStatus != core.HealthStatus_HEALTHY && e.HealthStatus != core.HealthStatus_UNKNOWN {
				continue
			}
			at := e.GetEndpoint().GetAddress().GetSocketAddress()
			if at == nil || e.GetLoadBalancingWeight().GetValue() == 0 {
				return fmt.Errorf("cluster %q: an endpoint without an address or a weight", a.ClusterName)
			}
			list = append(list, &Endpoint{Address: net.JoinHostPort(at.Address, strconv.Itoa(int(at.GetPortValue()))), Weight: e.LoadBalancingWeight.Value})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := map[string]float64{}
	for _, e := range t.endpoints[a.ClusterName] {
		old[e.Address] = e.next
	}
	for i, e := range list {
		var known bool
		if e.next, known = old[e.Address]; !known { // somewhere in its first interval, so that newcomers get no burst
			e.next = t.turn[a.ClusterName] + float64(i+1)/float64(len(list))/float64(e.Weight)
		}
	}
	if len(list) == 0 && len(t.endpoints[a.ClusterName]) > 0 {
		t.emptied++
	}
	t.endpoints[a.ClusterName] = list
	t.alike[a.ClusterName] = !slices.ContainsFunc(list, func(e *Endpoint) bool { return e.Weight != list[0].Weight })
	pass := 1.0 // categories are drawn one after the other
	for _, d := range a.GetPolicy().GetDropOverloads() {
		of := map[typev3.FractionalPercent_DenominatorType]float64{typev3.FractionalPercent_HUNDRED: 100, typev3.FractionalPercent_TEN_THOUSAND: 1e4,
			typev3.FractionalPercent_MILLION: 1e6}[d.GetDropPercentage().GetDenominator()]
		pass *= 1 - float64(d.GetDropPercentage().GetNumerator())/of
	}
	t.drops[a.ClusterName] = 1 - pass
	if t.OnEndpointsChanged != nil {
		addresses := make([]string, 0, len(list))
		for _, e := range list {
			addresses = append(addresses, e.Address)
		}
		t.OnEndpointsChanged(a.ClusterName, addresses)
	}
	return nil
}

// Emptied tells how often a cluster that had endpoints was left with none.
func (t *Table) EmptiedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.emptied
}

// Ready tells whether a cluster has endpoints and there are routes.
func (t *Table) Ready(cluster string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, there := t.clusters[cluster]
	return t.routes != nil && there && len(t.endpoints[cluster]) > 0
}

// Drops tells whether a request to a cluster is one of those that the proxy is to refuse.
func (t *Table) ShouldDrop(cluster string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.Float64() < t.drops[cluster]
}

// Pick finds the endpoint for a request: the first route that fits, then the earliest turn.
func (t *Table) Pick(host, path string, header func(string) string) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cluster := route(t.routes, host, path, header)
	if cluster == "" {
		return "", errors.New("no route fits")
	}
	list := t.endpoints[cluster]
	least, there := t.clusters[cluster]
	if len(list) == 0 || !there {
		return "", fmt.Errorf("cluster %q has no endpoint", cluster)
	}
	if least > 0 && t.InFlight != nil && t.alike[cluster] {
		a, b := list[rand.IntN(len(list))].Address, list[rand.IntN(len(list))].Address
		if t.InFlight(cluster, b) < t.InFlight(cluster, a) {
			a = b
		}
		return a, nil
	}
	first := slices.MinFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.next, b.next) })
	t.turn[cluster] = first.next
	share := 1.0
	if least > 0 && t.InFlight != nil {
		share = math.Pow(1+float64(t.InFlight(cluster, first.Address)), least)
	}
	first.next += share / float64(first.Weight)
	return first.Address, nil
}

// Route finds the cluster of a request, "" where no route fits.
func (t *Table) Route(host, path string, header func(string) string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return route(t.routes, host, path, header)
}

// route finds the cluster of a request, as the protocol's virtual hosts have it.
func route(c *routes.RouteConfiguration, host, path string, header func(string) string) string {
	if c == nil {
		return ""
	}
	if h, _, err := net.SplitHostPort(host); err == nil && c.IgnorePortInHostMatching {
		host = h
	}
	host = strings.ToLower(host)
	var best *routes.VirtualHost
	length := -1
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
			if rank > length {
				best, length = v, rank
			}
		}
	}
	for _, r := range best.GetRoutes() {
		if fits(r.Match, path, header) {
			return r.GetRoute().GetCluster()
		}
	}
	return ""
}

func fits(m *routes.RouteMatch, path string, header func(string) string) bool {
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
