package program

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
)

// stopMargin is how long after the longest deadline a stopping sidecar gives up on what is still owed.
const stopMargin = 600 * time.Millisecond

// Serve runs a sidecar until a signal stops it and nothing is owed to a client any more.
func Serve(ctx context.Context, c *Config, log *slog.Logger) error {
	limit(c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	clock := routing.NewClock()
	budget := transport.NewBudget(c.Sockets, int64(c.MemoryMB)<<20)
	options := transport.Options{Clock: clock, ConnectTimeout: c.ConnTimeout, IdleFor: c.ConnIdle * 7 / 10,
		Most: budget.Destinations, Fields: c.LoadFields, ProbePath: "/health/live", Log: log}
	if c.Module.Report.Via != balance.NoReports {
		options.ProbePath = "/stats"
	}
	destinations := transport.NewDestinations(options)
	loop, err := routing.New(c.Module, routing.Names{Zones: c.Zones, Kinds: c.Kinds}, clock, log)
	if err != nil {
		return err
	}
	directory := &transport.Directory{Address: c.Discovery, Loop: loop, Log: log, Context: ctx}
	front := transport.NewFront(loop, c.Classes, budget, log)

	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	go loop.Run(ctx, destinations, directory)
	loop.Pool(balance.Cached, c.Known.Index, transport.Members(c.Known))
	go front.Serve(ln)
	log.Info("serving", "name", c.Name, "listen", c.Listen, "tier", c.Module.Tier, "destinations", len(c.Known.Destinations))

	select {
	case <-ctx.Done():
	case s := <-signals:
		log.Info("stopping", "signal", s.String(), "owed", loop.Owed())
	}
	longest := 3 * time.Second
	for _, class := range c.Classes {
		longest = max(longest, class.Deadline)
	}
	last, done := context.WithTimeout(ctx, longest+stopMargin)
	defer done()
	front.Stop(last, ln)
	log.Info("stopped", "owed", loop.Owed())
	return nil
}

// limit fits the runtime to the machine's part that the sidecar may use.
func limit(c *Config) {
	runtime.GOMAXPROCS(max(1, int(c.Cores+0.5)))
	debug.SetGCPercent(400) // a small heap: collecting less often costs little memory
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 3 / 4)
}
