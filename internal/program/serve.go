package program

import (
	"context"
	"errors"
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
	budget := transport.NewBudget(c.Sockets)
	destinations := &transport.Destinations{Clock: clock, ConnectTimeout: c.ConnTimeout, IdleFor: c.ConnIdle * 7 / 10,
		Fields: c.LoadFields, ProbePath: "/health/live", Log: log}
	if c.Module.Report.Via != balance.NoReports {
		destinations.ProbePath = "/stats"
	}
	destinations.Open(budget.Destinations)
	loop := routing.New(c.Module, routing.Names{Zones: c.Zones, Kinds: c.Kinds}, clock, log)
	directory := &transport.Directory{Address: c.Discovery, Loop: loop, Log: log, Context: ctx}
	front := &transport.Front{Loop: loop, Classes: c.Classes, Log: log, Most: budget.Front}

	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	failed := make(chan error, 2)
	go func() { failed <- loop.Run(ctx, destinations, directory) }()
	loop.Pool(balance.Cached, c.Known.Index, transport.Members(c.Known))
	front.Ready.Store(true) // whatever clients send comes to the loop after the list
	go func() { failed <- front.Serve(ln) }()
	log.Info("serving", "name", c.Name, "listen", c.Listen, "tier", c.Module.Tier, "destinations", len(c.Known.Destinations))

	select {
	case err := <-failed:
		return errors.Join(errors.New("a part of the sidecar has stopped"), err)
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
