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
	"kitewood/internal/transport"
	"kitewood/internal/yamlfile"
)

// A stopping sidecar is killed no sooner than the longest deadline, or 3 s where that is longer, and 0.7 s after the word.
const (
	stopLongest = 3 * time.Second
	stopMargin  = 500 * time.Millisecond
	stuckAdvice = time.Second           // when clients should come back while the loop is stuck
	viewWithin  = 50 * time.Millisecond // the loop may take so long to tell what it counts
)

// Serve runs the sidecar that the environment describes until a signal stops it and nothing is owed to a client any more.
// At SIGHUP it reads the configuration again and moves to the discovery named there.
func Serve(ctx context.Context, env func(string) string, log *slog.Logger) error {
	// First of all: a signal that comes while the configuration is read waits until it can be answered. SIGHUP would end
	// the process.
	signals := listen()
	defer signal.Stop(signals)
	c, err := Load(env)
	if err != nil {
		return err
	}
	pools.FitRuntime(c.Cores, c.MemoryMB)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	clock := routing.NewClock()
	budget := transport.NewBudget(c.Sockets, int64(c.MemoryMB)<<20)
	options := transport.ConnectionPoolOptions{Clock: clock, ConnectTimeout: c.ConnTimeout, IdleTimeout: c.ConnIdle * 7 / 10,
		ConnectionLimiter: transport.NewConnLimiter(budget.UpstreamConns), LoadFields: c.LoadFields, ProbePath: "/health/live", Log: log}
	if c.Balancer.Report.Source != balance.NoReports {
		options.ProbePath = "/stats"
	}
	destinations := transport.NewConnectionPool(options)
	loop, err := routing.New(c.Balancer, routing.Names{Zones: c.Zones, Kinds: c.Kinds}, clock, log)
	if err != nil {
		return err
	}
	invariants := guard.New(log)
	loop.UseGuard(invariants)
	directory := transport.NewDiscoveryClient(ctx, c.Discovery, loop, log)
	directory.Pushed, directory.DrainGrace = !c.Balancer.PollDiscovery, c.Balancer.Rules.DrainGrace
	directory.Seed = c.Balancer.Seed ^ xxhash.Sum64String(c.Listen) // calls of sidecars with one seed must not come together
	directory.Clock, directory.OnLeaseExpiry = clock, loop.SetLeaseExpiry
	directory.NoInitialDelay = len(c.CachedEndpoints.Endpoints) == 0
	service := &transport.Backend{Loop: loop}
	if c.Balancer.Limits.RetryAfter {
		service.RetryAfter = min(stuckAdvice, c.Balancer.Limits.MaxRetryAfter)
	}
	front := transport.NewServer(clock, transport.SinglePoolRouter(service, c.Classes), budget, log)

	front.UseGuard(invariants)

	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	go loop.Run(ctx, destinations, directory)
	loop.UpdateEndpoints(balance.Cached, c.CachedEndpoints.Index, transport.Members(c.CachedEndpoints))
	if directory.Pushed { // the module asks for no watch; what the agent beside the sidecar has counts as told already
		directory.Watch(c.CachedEndpoints.Index)
	}
	go front.Serve(ln)
	log.Info("serving", "name", c.Name, "listen", c.Listen, "tier", c.Balancer.Tier, "destinations", len(c.CachedEndpoints.Endpoints))

	untilStopped(ctx, signals, log, loop.PendingRequests, func() error {
		next, err := Reload(env)
		if err != nil {
			return err
		}
		log.Info("configuration read again: discovery is taken from it, all else at the next start", "discovery", next.Discovery)
		directory.SwitchAddress(next.Discovery)
		return nil
	})
	longest := time.Duration(0)
	for _, class := range c.Classes {
		longest = max(longest, class.Deadline)
	}
	front.Stop(ctx, min(longest, stopLongest)+stopMargin, ln)
	if v, ok := loop.View(viewWithin); ok {
		log.Info("counts", "requests", &v.Metrics, "connections", front.CloseCounts(), "violations", invariants.Violations(), "denials", invariants.Denials(),
			"discovery", directory.State())
	}
	log.Info("stopped", "owed", loop.PendingRequests())
	return nil
}

// listen has the signals that a sidecar knows come to a channel.
func listen() chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// A configuration that is bad at SIGHUP may be half written: it is read again after these pauses, until it is good.
const (
	firstReread = 100 * time.Millisecond // doubled each time,
	mostReread  = time.Second            // up to this
	rereads     = 12                     // about 9 s in all
)

// untilStopped waits for the signal to stop, and reads the configuration again at each SIGHUP.
func untilStopped(ctx context.Context, signals chan os.Signal, log *slog.Logger, owed func() int, reload func() error) {
	again := time.NewTimer(time.Hour)
	defer again.Stop()
	pause, left, last := firstReread, 0, ""
	try := func() {
		err := reload()
		if err == nil {
			left = 0
			return
		}
		// A file that is half written or wrong must not take a sidecar down that serves.
		if text := yamlfile.OneLine(err); text != last {
			last = text
			log.Error("the configuration is not taken, the old one stays", "error", text, "reread", left > 0)
		}
		if left > 0 {
			again.Reset(pause)
			pause = min(2*pause, mostReread)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("stopping", "signal", s.String(), "owed", owed())
				return
			}
			pause, left, last = firstReread, rereads, ""
			again.Stop()
			try()
		case <-again.C:
			if left > 0 {
				left--
				try()
			}
		}
	}
}
