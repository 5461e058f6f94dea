// Command adapter runs instances of the decision module under the control of the simulator, whose binary protocol it speaks
// on standard input and output.
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
	debug.SetGCPercent(400) // many instances share this process; less frequent garbage collection saves CPU time
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve reads batches from in and writes a reply to each until the input ends. For a malformed batch it returns an error and
// writes no reply.
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
			if err := dispatch(instances, &writer, &event, clock); err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", batch, event.Instance, err)
			}
		}
		if _, err := out.Write(writer.Bytes()); err != nil {
			return err
		}
	}
}

// dispatch passes an event to its instance. Events for an instance that is not running are ignored.
func dispatch(instances map[int]*balance.Balancer, w *wire.Writer, e *wire.Event, now time.Duration) error {
	switch e.Kind {
	case wire.ListDefined:
		return nil
	case wire.InstanceStarted:
		settings, err := wire.ParseSettings(e.Settings, e.Seed)
		if err != nil {
			return err
		}
		b, err := balance.New(settings, &wire.Instance{Writer: w, ID: e.Instance}, now)
		if err != nil {
			return err
		}
		instances[e.Instance] = b
		return nil
	case wire.InstanceExited:
		delete(instances, e.Instance)
		return nil
	}
	b := instances[e.Instance]
	if b == nil {
		return nil
	}
	o := &e.Outcome
	switch e.Kind {
	case wire.EndpointsUpdated:
		b.UpdateEndpoints(now, e.ListKind, e.Endpoints)
	case wire.ClientGone:
		b.ClientGone(now, e.Request.ID)
	case wire.TimerFired:
		b.TimerFired(now, e.Token)
	case wire.StreamStarted:
		b.StreamStarted(now, o.ID, o.Endpoint, o.Attempt, o.Latency)
	case wire.ProbeDone:
		b.ProbeDone(now, o.Endpoint, o.Latency, o.Status, o.Load)
	case wire.PeerMessage:
		b.PeerMessage(now, e.From, e.Data)
	case wire.RequestArrived:
		b.RequestArrived(now, e.Request)
	case wire.AttemptDone:
		b.AttemptDone(now, *o)
	}
	return nil
}
