package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	leastrequest "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/least_request/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"kitewood/internal/xds"
)

// again is how long a proxy waits before it connects again.
const again = 50 * time.Millisecond

// Client keeps a Table as a control service says, over one aggregated stream, state of the world or delta. It connects again,
// to the next of its servers in turn, and goes on from what it has.
type Client struct {
	NodeID      string
	Servers     []string
	Delta       bool
	Table       *Table
	LoadTracker *LoadTracker // reported to the service; nil for none
	Log         *slog.Logger
	Dial        func(context.Context) (net.Conn, error) // instead of TCP; nil for TCP

	mu   sync.Mutex
	cut  context.CancelFunc // ends the stream that is open
	cuts int

	versions map[string]map[string]string // delta: of each resource, by type
	whole    map[string]string            // state of the world: of each type
	least    map[string]float64           // by cluster: the bias of least request, 0 where it does not ask for it
}

// leastRequest tells whether the first policy of a cluster that this proxy knows is least request, by its bias; 0 if it is not.
func leastRequest(x *cluster.Cluster) float64 {
	for _, p := range x.GetLoadBalancingPolicy().GetPolicies() {
		switch p.GetTypedExtensionConfig().GetName() {
		case "envoy.load_balancing_policies.least_request":
			var c leastrequest.LeastRequest
			if p.TypedExtensionConfig.TypedConfig.UnmarshalTo(&c) == nil && c.ActiveRequestBias != nil {
				return c.ActiveRequestBias.DefaultValue
			}
			return 1
		case "envoy.load_balancing_policies.round_robin", "envoy.load_balancing_policies.wrr_locality":
			return 0
		}
	}
	if x.LbPolicy == cluster.Cluster_LEAST_REQUEST {
		return 1
	}
	return 0
}

// Run follows the service until the context ends.
func (c *Client) Run(ctx context.Context) {
	c.versions = map[string]map[string]string{xds.TypeCluster: {}, xds.TypeEndpoint: {}, xds.TypeRoute: {}}
	c.whole = map[string]string{}
	for n := 0; ctx.Err() == nil; n++ {
		err := c.once(ctx, c.Servers[n%len(c.Servers)])
		c.Log.Debug("the stream has ended", "node", c.NodeID, "error", err)
		select {
		case <-time.After(again):
		case <-ctx.Done():
		}
	}
}

// Cut ends the stream that is open, as a broken network does. The proxy connects again, to the next of its servers.
func (c *Client) Disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut != nil {
		c.cut()
		c.cuts++
	}
}

// Cuts tells how often it was cut off.
func (c *Client) Disconnects() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

func (c *Client) once(ctx context.Context, server string) error {
	options := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	if c.Dial != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return c.Dial(ctx) }))
	}
	conn, err := grpc.NewClient("passthrough:///"+server, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.cut = cancel
	c.mu.Unlock()
	if c.LoadTracker != nil {
		go c.reportLoads(ctx, conn)
	}
	if c.Delta {
		return c.deltas(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
	}
	return c.wholes(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
}

func (c *Client) node() *core.Node { return &core.Node{Id: c.NodeID, Cluster: "lab"} }

// clusters are the names of those it has.
func (c *Client) clusters() []string { return slices.Sorted(maps.Keys(c.least)) }

// names are the resources that a proxy asks for by name.
func (c *Client) names(typeURL string) []string {
	switch typeURL {
	case xds.TypeEndpoint:
		return c.clusters()
	case xds.TypeRoute:
		return []string{"kitewood"}
	}
	return nil
}

func (c *Client) wholes(ctx context.Context, api discovery.AggregatedDiscoveryServiceClient) error {
	s, err := api.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	nonces := map[string]string{}
	ask := func(typeURL string, refused error) error {
		q := &discovery.DiscoveryRequest{Node: c.node(), TypeUrl: typeURL, VersionInfo: c.whole[typeURL], ResponseNonce: nonces[typeURL], ResourceNames: c.names(typeURL)}
		if refused != nil {
			q.ErrorDetail = &status.Status{Code: 3, Message: refused.Error()}
		}
		return s.Send(q)
	}
	// The endpoints of clusters that are known are asked for at once: it may be long until the clusters change.
	for _, t := range []string{xds.TypeCluster, xds.TypeEndpoint, xds.TypeRoute} {
		if t != xds.TypeEndpoint || len(c.least) > 0 {
			if err := ask(t, nil); err != nil {
				return err
			}
		}
	}
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		before := c.clusters()
		refused := c.apply(r.TypeUrl, r.Resources, nil, true)
		nonces[r.TypeUrl] = r.Nonce
		if refused == nil {
			c.whole[r.TypeUrl] = r.VersionInfo
		}
		if err := ask(r.TypeUrl, refused); err != nil {
			return err
		}
		if r.TypeUrl == xds.TypeCluster && !slices.Equal(before, c.clusters()) {
			if err := ask(xds.TypeEndpoint, nil); err != nil {
				return err
			}
		}
	}
}

func (c *Client) deltas(ctx context.Context, api discovery.AggregatedDiscoveryServiceClient) error {
	s, err := api.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	asked := map[string]bool{}
	for _, t := range []string{xds.TypeCluster, xds.TypeEndpoint, xds.TypeRoute} {
		if t == xds.TypeEndpoint && len(c.least) == 0 {
			continue
		}
		if err := s.Send(&discovery.DeltaDiscoveryRequest{Node: c.node(), TypeUrl: t, ResourceNamesSubscribe: c.names(t), InitialResourceVersions: c.versions[t]}); err != nil {
			return err
		}
		for _, name := range c.names(t) {
			asked[t+name] = true
		}
	}
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		bodies := make([]*anypb.Any, len(r.Resources))
		for i, x := range r.Resources {
			bodies[i] = x.Resource
		}
		q := &discovery.DeltaDiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce}
		if refused := c.apply(r.TypeUrl, bodies, r.RemovedResources, false); refused != nil {
			q.ErrorDetail = &status.Status{Code: 3, Message: refused.Error()}
		} else {
			for _, x := range r.Resources {
				c.versions[r.TypeUrl][x.Name] = x.Version
			}
			for _, name := range r.RemovedResources {
				delete(c.versions[r.TypeUrl], name)
			}
		}
		if err := s.Send(q); err != nil {
			return err
		}
		if r.TypeUrl != xds.TypeCluster {
			continue
		}
		more := &discovery.DeltaDiscoveryRequest{TypeUrl: xds.TypeEndpoint}
		for _, name := range c.clusters() {
			if !asked[xds.TypeEndpoint+name] {
				asked[xds.TypeEndpoint+name] = true
				more.ResourceNamesSubscribe = append(more.ResourceNamesSubscribe, name)
			}
		}
		if len(more.ResourceNamesSubscribe) > 0 {
			if err := s.Send(more); err != nil {
				return err
			}
		}
	}
}

// apply takes resources; an error refuses them.
func (c *Client) apply(typeURL string, bodies []*anypb.Any, removed []string, whole bool) error {
	switch typeURL {
	case xds.TypeCluster:
		if whole || c.least == nil {
			c.least = map[string]float64{}
		}
		for _, name := range removed {
			delete(c.least, name)
		}
		for _, b := range bodies {
			var x cluster.Cluster
			if err := b.UnmarshalTo(&x); err != nil {
				return err
			}
			c.least[x.Name] = leastRequest(&x)
		}
		c.Table.SetClusters(c.least)
	case xds.TypeEndpoint:
		return each(bodies, c.Table.SetEndpoints)
	case xds.TypeRoute:
		return each(bodies, c.Table.SetRoutes)
	default:
		return fmt.Errorf("%s was not asked for", typeURL)
	}
	return nil
}

// each unpacks messages of one type and applies them.
func each[M any, P interface {
	*M
	proto.Message
}](bodies []*anypb.Any, apply func(P) error) error {
	for _, b := range bodies {
		m := P(new(M))
		if err := b.UnmarshalTo(m); err != nil {
			return err
		}
		if err := apply(m); err != nil {
			return err
		}
	}
	return nil
}
