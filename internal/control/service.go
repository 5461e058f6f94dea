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

// rest is the least time between two looks at a pool. A burst of readings or of list lines is one look.
const rest = 10 * time.Millisecond

// together is how long new weights of one pool wait for those of others.
const together = 25 * time.Millisecond

// wholeWithin is how long after its start the service waits for the lists of all pools before it tells proxies anything:
// a service that starts must not empty the lists that they have.
const wholeWithin = 10 * time.Second

// Service runs a Balancer for each pool and publishes what they decide.
type Service struct {
	log   *slog.Logger
	ctx   context.Context
	clock routing.Clock
	hub   *xdsserver.Hub
	file  *config.File
	views map[string]*xdsserver.Rights
	pools map[string]*pool

	reports *reports

	mu        sync.Mutex
	fixed     map[string]map[string][]*xds.Resource // listeners, routes, clusters, by view
	endpoints map[string]*xds.Resource              // by pool; nil before its first list
	open      bool                                  // something was published
	due       bool                                  // a publication is under way that waits for more
}

// pool is a Balancer with its list and its probes, and no operations: proxies carry those.
type pool struct {
	conf    *config.Pool
	set     balance.Settings
	loop    *routing.Loop
	members *members
	carrier *transport.ConnectionPool
	dirty   chan struct{}
	refusal refusal
	orca    *orca.Watcher            // nil if destinations are not asked out of band
	open    atomic.Pointer[[]string] // addresses of the destinations that take new requests
}

// Start reads lists, starts the pools of a configuration and publishes to a hub until the context ends. On an error, too,
// the context ends what was started.
func Start(ctx context.Context, file *File, watcher *filewatch.Watcher, hub *xdsserver.Hub, clock routing.Clock, log *slog.Logger) (*Service, error) {
	f := &file.File
	s := &Service{log: log, ctx: ctx, clock: clock, hub: hub, file: f, views: map[string]*xdsserver.Rights{}, pools: map[string]*pool{},
		fixed: map[string]map[string][]*xds.Resource{}, endpoints: map[string]*xds.Resource{}}
	if file.TLS == nil {
		s.views[""] = &xdsserver.Rights{}
	} else {
		for i := range file.TLS.Proxies {
			r := file.TLS.Proxies[i].rights()
			s.views[r.View] = r
		}
	}
	s.reports = &reports{service: s, loads: loads.New(), waiting: map[*pool]map[string]bool{}}
	if err := s.fix(); err != nil {
		return nil, err
	}
	for i := range f.Pools {
		conf := &f.Pools[i]
		log := log.With("pool", conf.Name)
		set := module(f, conf)
		loop, err := routing.New(set, routing.Names{Zones: conf.Zones, Kinds: conf.Kinds}, clock, log)
		if err != nil {
			return nil, fmt.Errorf("pool %q: %w", conf.Name, err)
		}
		p := &pool{conf: conf, set: set, loop: loop, dirty: make(chan struct{}, 1)}
		loop.OnChange(p.changed)
		p.carrier = transport.NewConnectionPool(transport.ConnectionPoolOptions{Clock: clock, ConnectTimeout: conf.Connections.Timeout.D(),
			IdleTimeout: conf.Connections.Idle.D() / 2, ConnectionLimiter: transport.NewConnLimiter(f.Budget().UpstreamConns / len(f.Pools)),
			LoadFields: conf.Reports.Fields, ProbePath: "/stats", Log: log})
		p.members = newMembers(ctx, conf, set.Seed, clock, loop, log)
		if err := p.members.open(watcher); err != nil {
			return nil, fmt.Errorf("pool %q: %w", conf.Name, err)
		}
		s.pools[conf.Name] = p
	}
	for _, p := range s.pools {
		p.open.Store(new([]string))
		s.asks(p)
		go p.loop.Run(ctx, p.carrier, p.members)
		go s.follow(ctx, p)
	}
	time.AfterFunc(wholeWithin, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.open && ctx.Err() == nil {
			s.log.Warn("some pools have no list yet; what is known is published", "known", len(s.endpoints), "pools", len(s.pools))
			s.publish()
		}
	})
	return s, nil
}

// Reports takes what proxies report.
func (s *Service) Reports() xdsserver.LoadReportHandler { return s.reports }

// module is a pool's settings for the module. The proxies together are one balancer, which tracks every destination.
func module(f *config.File, p *config.Pool) balance.Settings {
	set := p.BalancerSettings(f.SeedOf(p.Name))
	set.Index, set.Balancers = 0, 1
	set.PollDiscovery = false // news come by themselves, from package membership's sources
	return set
}

// changed notes that the pool may have changed. It does not block.
func (p *pool) changed() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// follow looks at a pool after each burst of changes.
func (s *Service) follow(ctx context.Context, p *pool) {
	for {
		select {
		case <-p.dirty:
		case <-ctx.Done():
			return
		}
		if v, ok := p.loop.View(time.Second); ok {
			s.take(p, v)
		} else if ctx.Err() == nil {
			s.log.Error("a pool does not answer", "pool", p.conf.Name)
		}
		select {
		case <-time.After(rest):
		case <-ctx.Done():
			return
		}
	}
}

// take publishes a pool's endpoints if they have changed.
func (s *Service) take(p *pool, v routing.View) {
	if v.Index == 0 && len(v.Endpoints) == 0 {
		return // no list has come
	}
	var open []string
	for _, d := range v.Endpoints {
		if d.State == balance.Ready {
			open = append(open, d.Address)
		}
	}
	p.open.Store(&open)
	if p.orca != nil {
		p.orca.SetAddresses(open)
	}
	r, err := endpointsOf(p.conf, v, p.refusal.percent(s.clock.Now()))
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
	case !s.open && len(s.endpoints) < len(s.pools): // not yet whole
	case !s.open || old == nil || old.UrgentHash != r.UrgentHash:
		s.publish()
	case !s.due: // weights: a publication wakes every stream, so several pools share one
		s.due = true
		time.AfterFunc(together, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.due && s.ctx.Err() == nil {
				s.publish()
			}
		})
	}
}

// fix makes the resources that follow from the configuration alone, for each view.
func (s *Service) fix() error {
	for view, rights := range s.views {
		fixed := map[string][]*xds.Resource{}
		s.fixed[view] = fixed
		add := func(t string, r *xds.Resource, err error) error {
			if err == nil {
				fixed[t] = append(fixed[t], r)
			}
			return err
		}
		r, err := routesOf(s.file, rights)
		if err := add(xds.TypeRoute, r, err); err != nil {
			return err
		}
		names := []string{RouteName}
		for i := range s.file.Pools {
			p := &s.file.Pools[i]
			if !may(rights, p.Name) {
				continue
			}
			names = append(names, p.Name)
			r, err := clusterOf(p)
			if err := add(xds.TypeCluster, r, err); err != nil {
				return err
			}
		}
		for _, name := range names {
			r, err := listenerOf(name)
			if err := add(xds.TypeListener, r, err); err != nil {
				return err
			}
		}
	}
	return nil
}

// may tells whether a proxy with some rights is told of a pool.
func may(rights *xdsserver.Rights, pool string) bool {
	return len(rights.Pools) == 0 || slices.Contains(rights.Pools, pool)
}

// publish hands the hub a snapshot for each view. s.mu is held.
func (s *Service) publish() {
	all := map[string]*xds.Snapshot{}
	for view, rights := range s.views {
		types := maps.Clone(s.fixed[view])
		for name, r := range s.endpoints {
			if may(rights, name) {
				types[xds.TypeEndpoint] = append(types[xds.TypeEndpoint], r)
			}
		}
		snapshot, err := xds.NewSnapshot(types)
		if err != nil {
			s.log.Error("snapshot", "error", err)
			return
		}
		all[view] = snapshot
	}
	s.open, s.due = true, false
	s.hub.Publish(all)
}
