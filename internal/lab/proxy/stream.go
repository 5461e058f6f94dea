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

// reconnectDelay is the delay between the end of a stream and the next connection attempt.
const reconnectDelay = 50 * time.Millisecond

// Client is an xDS client that keeps a Table up to date over one aggregated stream, in the state-of-the-world or the delta
// variant. After a disconnect it connects to the next of its Servers in turn and resumes from the versions that it has.
type Client struct {
	NodeID      string
	Servers     []string
	Delta       bool
	Table       *Table
	LoadTracker *LoadTracker // reported to the control service; nil for no reports
	Log         *slog.Logger
	Dial        func(context.Context) (net.Conn, error) // opens connections; nil for TCP

	mu           sync.Mutex
	cancelStream context.CancelFunc // ends the open stream
	disconnects  int

	resourceVersions map[string]map[string]string // delta: version of each resource, by type and name
	typeVersions     map[string]string            // state of the world: version of each type
	leastRequestBias map[string]float64           // by cluster; 0 if the cluster does not use least request
}

// clusterBias returns the least-request bias of a cluster. It is 0 if the first policy that this proxy supports is another one.
func clusterBias(x *cluster.Cluster) float64 {
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

// Run keeps a stream to a control service open until the context ends.
func (c *Client) Run(ctx context.Context) {
	c.resourceVersions = map[string]map[string]string{xds.TypeCluster: {}, xds.TypeEndpoint: {}, xds.TypeRoute: {}}
	c.typeVersions = map[string]string{}
	for n := 0; ctx.Err() == nil; n++ {
		err := c.runStream(ctx, c.Servers[n%len(c.Servers)])
		c.Log.Debug("xDS stream ended", "node", c.NodeID, "error", err)
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// Disconnect ends the open stream, as a network failure would. The client then connects to the next of its Servers.
func (c *Client) Disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStream != nil {
		c.cancelStream()
		c.disconnects++
	}
}

// Disconnects returns how often Disconnect ended a stream.
func (c *Client) Disconnects() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disconnects
}

// runStream connects to one server and runs a stream until it ends.
func (c *Client) runStream(ctx context.Context, server string) error {
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
	c.cancelStream = cancel
	c.mu.Unlock()
	if c.LoadTracker != nil {
		go c.reportLoads(ctx, conn)
	}
	if c.Delta {
		return c.runDelta(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
	}
	return c.runStateOfTheWorld(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
}

func (c *Client) nodeInfo() *core.Node { return &core.Node{Id: c.NodeID, Cluster: "lab"} }

// clusterNames returns the sorted names of the known clusters.
func (c *Client) clusterNames() []string { return slices.Sorted(maps.Keys(c.leastRequestBias)) }

// requestedNames returns the resources of a type that are requested by name. It is nil for a wildcard request.
func (c *Client) requestedNames(typeURL string) []string {
	switch typeURL {
	case xds.TypeEndpoint:
		return c.clusterNames()
	case xds.TypeRoute:
		return []string{"kitewood"}
	}
	return nil
}

// runStateOfTheWorld runs a state-of-the-world stream until it ends.
func (c *Client) runStateOfTheWorld(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	s, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	nonces := map[string]string{}
	request := func(typeURL string, rejection error) error {
		req := &discovery.DiscoveryRequest{Node: c.nodeInfo(), TypeUrl: typeURL, VersionInfo: c.typeVersions[typeURL], ResponseNonce: nonces[typeURL], ResourceNames: c.requestedNames(typeURL)}
		if rejection != nil {
			req.ErrorDetail = &status.Status{Code: 3, Message: rejection.Error()}
		}
		return s.Send(req)
	}
	// Request the endpoints of known clusters immediately: the next change of the clusters may be far off.
	for _, t := range []string{xds.TypeCluster, xds.TypeEndpoint, xds.TypeRoute} {
		if t != xds.TypeEndpoint || len(c.leastRequestBias) > 0 {
			if err := request(t, nil); err != nil {
				return err
			}
		}
	}
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		before := c.clusterNames()
		rejection := c.apply(r.TypeUrl, r.Resources, nil, true)
		nonces[r.TypeUrl] = r.Nonce
		if rejection == nil {
			c.typeVersions[r.TypeUrl] = r.VersionInfo
		}
		if err := request(r.TypeUrl, rejection); err != nil {
			return err
		}
		if r.TypeUrl == xds.TypeCluster && !slices.Equal(before, c.clusterNames()) {
			if err := request(xds.TypeEndpoint, nil); err != nil {
				return err
			}
		}
	}
}

// runDelta runs a delta stream until it ends.
func (c *Client) runDelta(ctx context.Context, client discovery.AggregatedDiscoveryServiceClient) error {
	s, err := client.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	subscribed := map[string]bool{}
	for _, t := range []string{xds.TypeCluster, xds.TypeEndpoint, xds.TypeRoute} {
		if t == xds.TypeEndpoint && len(c.leastRequestBias) == 0 {
			continue
		}
		if err := s.Send(&discovery.DeltaDiscoveryRequest{Node: c.nodeInfo(), TypeUrl: t, ResourceNamesSubscribe: c.requestedNames(t), InitialResourceVersions: c.resourceVersions[t]}); err != nil {
			return err
		}
		for _, name := range c.requestedNames(t) {
			subscribed[t+name] = true
		}
	}
	for {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		resources := make([]*anypb.Any, len(r.Resources))
		for i, x := range r.Resources {
			resources[i] = x.Resource
		}
		req := &discovery.DeltaDiscoveryRequest{TypeUrl: r.TypeUrl, ResponseNonce: r.Nonce}
		if rejection := c.apply(r.TypeUrl, resources, r.RemovedResources, false); rejection != nil {
			req.ErrorDetail = &status.Status{Code: 3, Message: rejection.Error()}
		} else {
			for _, x := range r.Resources {
				c.resourceVersions[r.TypeUrl][x.Name] = x.Version
			}
			for _, name := range r.RemovedResources {
				delete(c.resourceVersions[r.TypeUrl], name)
			}
		}
		if err := s.Send(req); err != nil {
			return err
		}
		if r.TypeUrl != xds.TypeCluster {
			continue
		}
		subscription := &discovery.DeltaDiscoveryRequest{TypeUrl: xds.TypeEndpoint}
		for _, name := range c.clusterNames() {
			if !subscribed[xds.TypeEndpoint+name] {
				subscribed[xds.TypeEndpoint+name] = true
				subscription.ResourceNamesSubscribe = append(subscription.ResourceNamesSubscribe, name)
			}
		}
		if len(subscription.ResourceNamesSubscribe) > 0 {
			if err := s.Send(subscription); err != nil {
				return err
			}
		}
	}
}

// apply applies resources to the table. An error means that they are rejected, and its text goes to the control service.
func (c *Client) apply(typeURL string, resources []*anypb.Any, removed []string, complete bool) error {
	switch typeURL {
	case xds.TypeCluster:
		if complete || c.leastRequestBias == nil {
			c.leastRequestBias = map[string]float64{}
		}
		for _, name := range removed {
			delete(c.leastRequestBias, name)
		}
		for _, b := range resources {
			var x cluster.Cluster
			if err := b.UnmarshalTo(&x); err != nil {
				return err
			}
			c.leastRequestBias[x.Name] = clusterBias(&x)
		}
		c.Table.SetClusters(c.leastRequestBias)
	case xds.TypeEndpoint:
		return applyEach(resources, c.Table.SetEndpoints)
	case xds.TypeRoute:
		return applyEach(resources, c.Table.SetRoutes)
	default:
		return fmt.Errorf("%s was not asked for", typeURL)
	}
	return nil
}

// applyEach unpacks resources of one type and applies each of them.
func applyEach[M any, P interface {
	*M
	proto.Message
}](resources []*anypb.Any, apply func(P) error) error {
	for _, b := range resources {
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
