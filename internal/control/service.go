package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kitewood/balance"
	"kitewood/internal/config"
	"kitewood/internal/filewatch"
	"kitewood/internal/loads"
	"kitewood/internal/orca"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
	"kitewood/internal/xds"
	"kitewood/internal/xdsserver"
)

// minViewInterval is the minimum time between two evaluations of a pool, so that a burst of load reports or list updates causes
// one evaluation.
const minViewInterval = 10 * time.Millisecond

// weightBatchDelay is how long new weights of one pool wait for those of other pools.
const weightBatchDelay = 25 * time.Millisecond

// initialListTimeout is how long after its start the service waits for the lists of all pools before it publishes anything to
// proxies: a starting service must not empty the lists that they have.
const initialListTimeout = 10 * time.Second

// Service runs a balancer for each pool and publishes the resulting xDS resources.
type Service struct {
	log          *slog.Logger
	ctx          context.Context
	clock        routing.Clock
	hub          *xdsserver.Hub
	file         *config.File
	rightsByView map[string]*xdsserver.Rights
	pools        map[string]*pool

	reports *reports

	mu              sync.Mutex
	staticResources map[string]map[string][]*xds.Resource // listeners, routes and clusters, by view and type
	endpoints       map[string]*xds.Resource              // by pool; nil before its first list
	published       bool                                  // whether anything has been published
	publishPending  bool                                  // whether a delayed publication is scheduled
}

// pool is a balancer with its membership and load probes. It sends no requests: proxies do.
type pool struct {
	conf        *config.Pool
	settings    balance.Settings
	loop        *routing.Loop
	members     *members
	connections *transport.ConnectionPool
	dirty       chan struct{}
	rejection   rejection
	orca        *orca.Watcher            // nil if endpoints are not queried out of band
	readyAddrs  atomic.Pointer[[]string] // addresses of the endpoints that accept new requests
}

// Start reads the endpoint lists, starts the pools of a configuration and publishes their resources to a hub until the context
// ends. After an error, too, what was started runs until the context ends.
func Start(ctx context.Context, file *File, watcher *filewatch.Watcher, hub *xdsserver.Hub, clock routing.Clock, log *slog.Logger) (*Service, error) {
	f := &file.File
	s := &Service{log: log, ctx: ctx, clock: clock, hub: hub, file: f, rightsByView: map[string]*xdsserver.Rights{}, pools: map[string]*pool{},
		staticResources: map[string]map[string][]*xds.Resource{}, endpoints: map[string]*xds.Resource{}}
	if file.TLS == nil {
		s.rightsByView[""] = &xdsserver.Rights{}
	} else {
		for i := range file.TLS.Proxies {
			r := file.TLS.Proxies[i].rights()
			s.rightsByView[r.View] = r
		}
	}
	s.reports = &reports{service: s, loads: loads.New(), pending: map[*pool]map[string]bool{}}
	if err := s.buildStaticResources(); err != nil {
		return nil, err
	}
	for i := range f.Pools {
		conf := &f.Pools[i]
		log := log.With("pool", conf.Name)
		settings := balancerSettings(f, conf)
		loop, err := routing.New(settings, routing.Names{Zones: conf.Zones, Kinds: conf.Kinds}, clock, log)
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", conf.Name, err)
		}
		p := &pool{conf: conf, settings: settings, loop: loop, dirty: make(chan struct{}, 1)}
		loop.OnChange(p.markChanged)
		p.connections = transport.NewConnectionPool(transport.ConnectionPoolOptions{Clock: clock, ConnectTimeout: conf.Connections.Timeout.D(),
			IdleTimeout: conf.Connections.Idle.D() / 2, ConnectionLimiter: transport.NewConnLimiter(f.Budget().UpstreamConns / len(f.Pools)),
			LoadFields: conf.Reports.Fields, ProbePath: "/stats", Log: log})
		p.members = newMembers(ctx, conf, settings.Seed, clock, loop, log)
		if err := p.members.start(watcher); err != nil {
			return nil, fmt.Errorf("pool %q: %w", conf.Name, err)
		}
		s.pools[conf.Name] = p
	}
	for _, p := range s.pools {
		p.readyAddrs.Store(new([]string))
		s.startLoadQueries(p)
		go p.loop.Run(ctx, p.connections, p.members)
		go s.watchPool(ctx, p)
	}
	time.AfterFunc(initialListTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.published && ctx.Err() == nil {
			s.log.Warn("not all pools have an endpoint list; publishing those that do", "known", len(s.endpoints), "pools", len(s.pools))
			s.publish()
		}
	})
	return s, nil
}

// Reports returns the receiver of proxies' load reports.
func (s *Service) Reports() xdsserver.LoadReportHandler { return s.reports }

// balancerSettings returns a pool's settings for the decision module. All proxies together act as one balancer, which tracks every
// endpoint.
func balancerSettings(f *config.File, p *config.Pool) balance.Settings {
	settings := p.BalancerSettings(f.SeedOf(p.Name))
	settings.Index, settings.Balancers = 0, 1
	settings.PollDiscovery = false // the sources of package membership push updates
	return settings
}

// markChanged records that the pool may have changed. It does not block.
func (p *pool) markChanged() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// watchPool evaluates a pool after each burst of changes until the context ends.
func (s *Service) watchPool(ctx context.Context, p *pool) {
	for {
		select {
		case <-p.dirty:
		case <-ctx.Done():
			return
		}
		if v, ok := p.loop.View(time.Second); ok {
			s.updatePool(p, v)
		} else if ctx.Err() == nil {
			s.log.Error("event loop of pool does not answer", "pool", p.conf.Name)
		}
		select {
		case <-time.After(minViewInterval):
		case <-ctx.Done():
			return
		}
	}
}

// updatePool publishes a pool's endpoints if they have changed.
func (s *Service) updatePool(p *pool, v routing.View) {
	if v.Index == 0 && len(v.Endpoints) == 0 {
		return // no list received yet
	}
	var ready []string
	for _, e := range v.Endpoints {
		if e.State == balance.Ready {
			ready = append(ready, e.Address)
		}
	}
	p.readyAddrs.Store(&ready)
	if p.orca != nil {
		p.orca.SetAddresses(ready)
	}
	r, err := newLoadAssignment(p.conf, v, p.rejection.percent(s.clock.Now()))
	if err != nil {
		s.log.Error("endpoints", "pool", p.conf.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.endpoints[p.conf.Name]
	if old != nil && old.Version == r.Version {
		return
	}
	s.endpoints[p.conf.Name] = r
	switch {
	case !s.published && len(s.endpoints) < len(s.pools): // some pools have no list yet
	case !s.published || old == nil || old.UrgentHash != r.UrgentHash:
		s.publish()
	case !s.publishPending: // only weights changed: a publication wakes every stream, so several pools share one
		s.publishPending = true
		time.AfterFunc(weightBatchDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.publishPending && s.ctx.Err() == nil {
				s.publish()
			}
		})
	}
}

// buildStaticResources builds the resources that depend on the configuration alone, for each view.
func (s *Service) buildStaticResources() error {
	for view, rights := range s.rightsByView {
		resources := map[string][]*xds.Resource{}
		s.staticResources[view] = resources
		add := func(t string, r *xds.Resource, err error) error {
			if err == nil {
				resources[t] = append(resources[t], r)
			}
			return err
		}
		r, err := newRouteConfig(s.file, rights)
		if err := add(xds.TypeRoute, r, err); err != nil {
			return err
		}
		names := []string{RouteName}
		for i := range s.file.Pools {
			p := &s.file.Pools[i]
			if !allowed(rights, p.Name) {
				continue
			}
			names = append(names, p.Name)
			r, err := newCluster(p)
			if err := add(xds.TypeCluster, r, err); err != nil {
				return err
			}
		}
		for _, name := range names {
			r, err := newListener(name)
			if err := add(xds.TypeListener, r, err); err != nil {
				return err
			}
		}
	}
	return nil
}

// allowed reports whether a proxy with the given rights has access to a pool.
func allowed(rights *xdsserver.Rights, pool string) bool {
	return len(rights.Pools) == 0 || slices.Contains(rights.Pools, pool)
}

// publish passes a snapshot for each view to the hub. The caller holds s.mu.
func (s *Service) publish() {
	snapshots := map[string]*xds.Snapshot{}
	for view, rights := range s.rightsByView {
		types := maps.Clone(s.staticResources[view])
		for name, r := range s.endpoints {
			if allowed(rights, name) {
				types[xds.TypeEndpoint] = append(types[xds.TypeEndpoint], r)
			}
		}
		snapshot, err := xds.NewSnapshot(types)
		if err != nil {
			s.log.Error("snapshot", "error", err)
			return
		}
		snapshots[view] = snapshot
	}
	s.published, s.publishPending = true, false
	s.hub.Publish(snapshots)
}
