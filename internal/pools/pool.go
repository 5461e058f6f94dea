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

// pool is one set of endpoints with its own event loop, connections and endpoint source.
type pool struct {
	name            string
	conf            config.Pool // as last applied; guarded by Set.mu
	ctx             context.Context
	cancel          context.CancelFunc
	loop            *routing.Loop
	log             *slog.Logger
	connections     *transport.ConnectionPool
	source          routing.Discovery
	discoveryClient *transport.DiscoveryClient // nil if the endpoint list is a file
	classes         []protocol.Class
	backend         transport.Backend
}

// idleTimeoutFraction is the part of the endpoints' idle timeout after which the pool stops using an idle connection. A request
// written to a connection that the endpoint closes at the same moment may have run and counts as such.
const idleTimeoutFraction = 0.7

// overloadRetryAfter is the Retry-After of a pool that is at its limit or unresponsive; the pool's settings may lower it.
const overloadRetryAfter = time.Second

// newPool returns a pool that does not run yet. An endpoint list in a file has been read.
func (s *Set) newPool(f *config.File, conf *config.Pool) (*pool, error) {
	log := s.log.With("pool", conf.Name)
	settings := conf.BalancerSettings(f.SeedOf(conf.Name))
	loop, err := routing.New(settings, routing.Names{Zones: conf.Zones, Kinds: conf.Kinds}, s.clock, log)
	if err != nil {
		return nil, err
	}
	loop.UseGuard(s.guard)
	p := &pool{name: conf.Name, conf: *conf, loop: loop, log: log}
	p.ctx, p.cancel = context.WithCancel(s.ctx)
	if conf.Members.Discovery != "" {
		p.discoveryClient = transport.NewDiscoveryClient(p.ctx, conf.Members.Discovery, loop, log)
		p.discoveryClient.Clock, p.discoveryClient.OnLeaseExpiry = s.clock, loop.SetLeaseExpiry
		p.discoveryClient.NoInitialDelay = true // the pool has no cached list
		p.discoveryClient.Seed, p.discoveryClient.DrainGrace = f.SeedOf(conf.Name+"/discovery"), settings.Rules.DrainGrace
		p.source = p.discoveryClient
	} else if p.source, err = s.openListFile(p.ctx, conf.Members.File, loop, log); err != nil {
		p.cancel()
		return nil, err
	}
	options := transport.ConnectionPoolOptions{Clock: s.clock, ConnectTimeout: conf.Connections.Timeout.D(),
		IdleTimeout: time.Duration(float64(conf.Connections.Idle) * idleTimeoutFraction), ConnectionLimiter: connLimiter{s.limits, conf.Name}, ForwardClientErrors: true,
		LoadFields: conf.Reports.Fields, ProbePath: "/health/live", Log: log}
	if conf.Reports.Source != "none" {
		options.ProbePath = "/stats"
	}
	var utilities []float64
	for _, c := range conf.Classes {
		utilities = append(utilities, c.Utility)
	}
	p.backend = transport.Backend{Loop: loop, Admission: admissionController{s.limits, conf.Name}, RetryAfter: min(overloadRetryAfter, conf.RetryAfter.D()), Utilities: utilities,
		Origin: textproto.CanonicalMIMEHeaderKey(conf.Origin)}
	if c := conf.Chain; c != nil {
		options.ChainHeader, options.ForwardDeclined = textproto.CanonicalMIMEHeaderKey(c.Header), !c.RetryDeclined
		p.backend.Chain = transport.NewChain(options.ChainHeader, chain.Limits{Service: c.Service, MaxHops: c.MaxHops, MaxRetries: c.MaxRetries},
			f.SeedOf(conf.Name+"/chain"), s.clock.Now, log)
	}
	p.connections = transport.NewConnectionPool(options)
	for _, c := range conf.Classes {
		p.classes = append(p.classes, protocol.Class{Name: c.Name, Methods: c.Methods, Deadline: c.Deadline.D()})
	}
	return p, nil
}

// openListFile watches an endpoint list file. All files share one watcher, which the first call creates.
func (s *Set) openListFile(ctx context.Context, path string, loop *routing.Loop, log *slog.Logger) (routing.Discovery, error) {
	if s.watcher == nil {
		var err error
		if s.watcher, err = filewatch.New(s.ctx, s.log); err != nil {
			return nil, err
		}
	}
	return listfile.Open(ctx, s.watcher, path, loop, log)
}

// takeOver makes the pool the successor of another. If both use discovery, the pool starts with the endpoint list of its
// predecessor and uses it until discovery reports a new one.
func (p *pool) takeOver(old *pool) {
	p.loop.TakeOver(old.loop)
	if p.discoveryClient == nil || old.discoveryClient == nil {
		return
	}
	p.discoveryClient.TakeOver(old.discoveryClient)
	if !p.loop.InheritEndpoints(old.loop, viewTimeout) {
		p.log.Warn("cannot inherit the endpoint list: the event loop of the previous pool did not respond")
	}
}

// run starts the pool's event loop.
func (p *pool) run() { go p.loop.Run(p.ctx, p.connections, p.source) }

// updateConfig applies the settings that may change while the pool runs: see canKeep.
func (p *pool) updateConfig(conf *config.Pool) {
	if p.discoveryClient != nil && conf.Members.Discovery != p.conf.Members.Discovery {
		p.discoveryClient.SwitchAddress(conf.Members.Discovery)
	}
	p.conf = *conf
}

// maxDeadline returns the longest deadline of the pool's classes.
func (p *pool) maxDeadline() (d time.Duration) {
	for _, c := range p.classes {
		d = max(d, c.Deadline)
	}
	return d
}
