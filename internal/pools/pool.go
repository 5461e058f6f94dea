package pools

import (
	"context"
	"log/slog"
	"net/textproto"
	"time"

	"kitewood/internal/chain"
	"kitewood/internal/config"
	"kitewood/internal/filewatch"
	"kitewood/internal/listfile"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
)

// pool is one service.
type pool struct {
	name         string
	conf         config.Pool // as last applied; under Set.mu
	ctx          context.Context
	cancel       context.CancelFunc
	loop         *routing.Loop
	log          *slog.Logger
	destinations *transport.ConnectionPool
	watch        routing.Discovery
	discovery    *transport.DiscoveryClient // nil where the list is a file
	classes      []protocol.Class
	service      transport.Backend
}

// idleShare of the time that destinations keep an idle connection is how long it is used here: one that its peer closes
// as a request is written counts as one that may have run.
const idleShare = 0.7

// fullAdvice is when to come back to a pool that is full or stuck, where its settings allow so much.
const fullAdvice = time.Second

// prepare makes a pool that does not run yet. Its list has been read if it is a file.
func (s *Set) prepare(f *config.File, conf *config.Pool) (*pool, error) {
	log := s.log.With("pool", conf.Name)
	module := conf.BalancerSettings(f.SeedOf(conf.Name))
	loop, err := routing.New(module, routing.Names{Zones: conf.Zones, Kinds: conf.Kinds}, s.clock, log)
	if err != nil {
		return nil, err
	}
	loop.UseGuard(s.guard)
	p := &pool{name: conf.Name, conf: *conf, loop: loop, log: log}
	p.ctx, p.cancel = context.WithCancel(s.ctx)
	if conf.Members.Discovery != "" {
		p.discovery = transport.NewDiscoveryClient(p.ctx, conf.Members.Discovery, loop, log)
		p.discovery.Clock, p.discovery.OnLeaseExpiry = s.clock, loop.SetLeaseExpiry
		p.discovery.NoInitialDelay = true // the pool has no list of its own
		p.discovery.Seed, p.discovery.DrainGrace = f.SeedOf(conf.Name+"/discovery"), module.Rules.DrainGrace
		p.watch = p.discovery
	} else if p.watch, err = s.source(p.ctx, conf.Members.File, loop, log); err != nil {
		p.cancel()
		return nil, err
	}
	options := transport.ConnectionPoolOptions{Clock: s.clock, ConnectTimeout: conf.Connections.Timeout.D(),
		IdleTimeout: time.Duration(float64(conf.Connections.Idle) * idleShare), ConnectionLimiter: room{s.limits, conf.Name}, ForwardClientErrors: true,
		LoadFields: conf.Reports.Fields, ProbePath: "/health/live", Log: log}
	if conf.Reports.Source != "none" {
		options.ProbePath = "/stats"
	}
	var worths []float64
	for _, c := range conf.Classes {
		worths = append(worths, c.Worth)
	}
	p.service = transport.Backend{Loop: loop, Admission: gate{s.limits, conf.Name}, RetryAfter: min(fullAdvice, conf.RetryAfter.D()), Utilities: worths,
		Origin: textproto.CanonicalMIMEHeaderKey(conf.Origin)}
	if c := conf.Chain; c != nil {
		options.ChainHeader, options.ForwardDeclined = textproto.CanonicalMIMEHeaderKey(c.Header), !c.RepeatDeclined
		p.service.Chain = transport.NewChain(options.ChainHeader, chain.Limits{Service: c.Service, MaxHops: c.Hops, MaxRetries: c.Repeats},
			f.SeedOf(conf.Name+"/chain"), s.clock.Now, log)
	}
	p.destinations = transport.NewConnectionPool(options)
	for _, c := range conf.Classes {
		p.classes = append(p.classes, protocol.Class{Name: c.Name, Methods: c.Methods, Deadline: c.Deadline.D()})
	}
	return p, nil
}

// source watches a list file, by the one watcher of the process, which is made for the first.
func (s *Set) source(ctx context.Context, path string, loop *routing.Loop, log *slog.Logger) (routing.Discovery, error) {
	if s.watcher == nil {
		var err error
		if s.watcher, err = filewatch.New(s.ctx, s.log); err != nil {
			return nil, err
		}
	}
	return listfile.Open(ctx, s.watcher, path, loop, log)
}

// succeed has the pool take the place of another. Where both ask discovery it goes on with the list that the other had, until
// discovery tells it one.
func (p *pool) succeed(old *pool) {
	p.loop.TakeOver(old.loop)
	if p.discovery == nil || old.discovery == nil {
		return
	}
	p.discovery.TakeOver(old.discovery)
	if !p.loop.InheritEndpoints(old.loop, viewWithin) {
		p.log.Warn("the list of the pool before is not known: its loop does not answer")
	}
}

// run starts the pool's Loop.
func (p *pool) run() { go p.loop.Run(p.ctx, p.destinations, p.watch) }

// adopt takes what may change while the pool runs.
func (p *pool) adopt(conf *config.Pool) {
	if p.discovery != nil && conf.Members.Discovery != p.conf.Members.Discovery {
		p.discovery.SwitchAddress(conf.Members.Discovery)
	}
	p.conf = *conf
}

// longest is the longest deadline of a class.
func (p *pool) longest() (d time.Duration) {
	for _, c := range p.classes {
		d = max(d, c.Deadline)
	}
	return d
}
