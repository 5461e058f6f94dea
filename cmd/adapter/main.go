// Command adapter hosts instances of the decision module and speaks the simulator's wire on standard input and
// output.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"kitewood/balance"
	"kitewood/internal/wire"
)

func main() {
	debug.SetGCPercent(400) // many instances share this process; collecting less often is cheaper
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. On malformed input it returns an error and writes no reply.
func serve(in io.Reader, out io.Writer) error {
	var (
		reader    = wire.NewReader(in)
		writer    wire.Writer
		event     wire.Event
		instances = map[int]*balance.Balancer{}
		clock     time.Duration
	)
	for batch := 1; ; batch++ {
		now, err := reader.Batch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		clock = max(clock, now)
		writer.Reset()
		for {
			more, err := reader.Event(&event)
			if err != nil {
				return err
			}
			if !more {
				break
			}
			if err := deliver(instances, &writer, &event, clock); err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", batch, event.Instance, err)
			}
		}
		if _, err := out.Write(writer.Bytes()); err != nil {
			return err
		}
	}
}

// deliver hands one event to its instance. Events for an instance that does not run are passed over.
func deliver(instances map[int]*balance.Balancer, w *wire.Writer, e *wire.Event, now time.Duration) error {
	switch e.Kind {
	case wire.Catalog:
		return nil
	case wire.Start:
		set, err := wire.ParseSettings(e.Settings, e.Seed)
		if err != nil {
			return err
		}
		b, err := balance.New(set, &wire.Instance{Writer: w, Who: e.Instance}, now)
		if err != nil {
			return err
		}
		instances[e.Instance] = b
		return nil
	case wire.Exit:
		delete(instances, e.Instance)
		return nil
	}
	b := instances[e.Instance]
	if b == nil {
		return nil
	}
	o := &e.Outcome
	switch e.Kind {
	case wire.PeersKnown:
		b.UpdateEndpoints(now, e.List, e.Servers)
	case wire.Gone:
		b.ClientGone(now, e.Request.ID)
	case wire.Due:
		b.TimerFired(now, e.Token)
	case wire.AckFirst:
		b.StreamStarted(now, o.ID, o.Endpoint, o.Attempt, o.Latency)
	case wire.ProbeDone:
		b.ProbeDone(now, o.Endpoint, o.Latency, o.Status, o.Load)
	case wire.Mail:
		b.PeerMessage(now, e.From, e.Data)
	case wire.Demand:
		b.RequestArrived(now, e.Request)
	case wire.Answer:
		b.AttemptDone(now, *o)
	}
	return nil
}
