package program

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitewood/balance"
	"kitewood/internal/guard"
	"kitewood/internal/pools"
	"kitewood/internal/routing"
	"kitewood/internal/shutdown"
	"kitewood/internal/transport"
)

const (
	unresponsiveRetryAfter = time.Second           // Retry-After while the event loop does not respond
	viewTimeout            = 50 * time.Millisecond // for the event loop to report its metrics
)

// Serve runs the sidecar that the environment describes until a signal stops it and no requests are pending. On SIGHUP it reads
// the configuration again and switches to the discovery address in it.
func Serve(ctx context.Context, env func(string) string, log *slog.Logger) error {
	// Before all else, so that a signal that arrives while the configuration is read is handled later. Without a handler
	// SIGHUP would end the process.
	signals := notifySignals()
	defer signal.Stop(signals)
	c, err := Load(env)
	if err != nil {
		return err
	}
	pools.ConfigureRuntime(c.Cores, c.MemoryMB)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	clock := routing.NewClock()
	budget := transport.NewBudget(c.Sockets, int64(c.MemoryMB)<<20)
	options := transport.ConnectionPoolOptions{Clock: clock, ConnectTimeout: c.ConnTimeout, IdleTimeout: c.ConnIdle * 7 / 10,
		ConnectionLimiter: transport.NewConnLimiter(budget.UpstreamConns), LoadFields: c.LoadFields, ProbePath: "/health/live", Log: log}
	if c.Balancer.Report.Source != balance.NoReports {
		options.ProbePath = "/stats"
	}
	connections := transport.NewConnectionPool(options)
	loop, err := routing.New(c.Balancer, routing.Names{Zones: c.Zones, Kinds: c.Kinds}, clock, log)
	if err != nil {
		return err
	}
	invariants := guard.New(log)
	loop.UseGuard(invariants)
	discovery := transport.NewDiscoveryClient(ctx, c.Discovery, loop, log)
	discovery.Pushed, discovery.DrainGrace = !c.Balancer.PollDiscovery, c.Balancer.Rules.DrainGrace
	discovery.Seed = c.Balancer.Seed ^ xxhash.Sum64String(c.Listen) // sidecars with the same seed must not call discovery at the same time
	discovery.Clock, discovery.OnLeaseExpiry = clock, loop.SetLeaseExpiry
	discovery.NoInitialDelay = len(c.CachedEndpoints.Endpoints) == 0
	backend := &transport.Backend{Loop: loop}
	if c.Balancer.Limits.RetryAfter {
		backend.RetryAfter = min(unresponsiveRetryAfter, c.Balancer.Limits.MaxRetryAfter)
	}
	server := transport.NewServer(clock, transport.SinglePoolRouter(backend, c.Classes), budget, log)

	server.UseGuard(invariants)

	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	go loop.Run(ctx, connections, discovery)
	loop.UpdateEndpoints(balance.Cached, c.CachedEndpoints.Index, transport.Members(c.CachedEndpoints))
	if discovery.Pushed { // the balancer requests no watch; the cached list of the local agent counts as received
		discovery.Watch(c.CachedEndpoints.Index)
	}
	go server.Serve(ln)
	log.Info("serving", "name", c.Name, "listen", c.Listen, "tier", c.Balancer.Tier, "destinations", len(c.CachedEndpoints.Endpoints))

	waitForStop(ctx, signals, log, loop.PendingRequests, func() error {
		next, err := Reload(env)
		if err != nil {
			return err
		}
		log.Info("configuration reloaded: the discovery address is in use, other changes need a restart", "discovery", next.Discovery)
		discovery.SwitchAddress(next.Discovery)
		return nil
	})
	maxDeadline := time.Duration(0)
	for _, class := range c.Classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	ctx, cancelDrain := untilSecondSignal(ctx, signals, log)
	defer cancelDrain()
	server.Stop(ctx, shutdown.LimitsFor(maxDeadline), ln)
	if v, ok := loop.View(viewTimeout); ok {
		log.Info("counts", "requests", &v.Metrics, "connections", server.CloseCounts(), "violations", invariants.Violations(), "denials", invariants.Denials(),
			"discovery", discovery.State())
	}
	log.Info("stopped", "owed", loop.PendingRequests())
	return nil
}

// notifySignals returns a channel that receives the signals that a sidecar handles.
func notifySignals() chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
