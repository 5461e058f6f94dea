package emulator

import (
	"context"
	"time"

	"kitewood/internal/lab/load"
	"kitewood/internal/lab/model"
)

// clients sends what the scenario's clients ask, open-loop, until the end of the run or of ctx, and waits for the
// outcome of all that went out.
func (w *World) clients(ctx context.Context, until time.Duration) {
	classes, habits := w.s.ClientModel()
	rng := model.NewRand(w.seed, 3)
	var shape load.Shape
	for _, p := range w.s.Load.Shape {
		shape = append(shape, load.Point{At: p.At.D(), Factor: p.Factor})
	}
	spacing := model.NewRand(w.seed, 4)
	if w.s.Load.Arrivals == "constant" {
		spacing = nil
	}
	arrivals := load.NewArrivals(w.plan.BaseRate, shape, spacing, until)
	var open tasks
	number := 0
	for at, more := arrivals.Next(); more; at, more = arrivals.Next() {
		if !w.sleep(ctx, at) {
			break
		}
		number++
		c, n := model.NewClient(rng, classes, habits, at), number
		w.intended.Add(1)
		open.Go(func() { w.client(ctx, c, n) })
	}
	open.Wait()
}

// client carries one piece of business through its tries.
func (w *World) client(ctx context.Context, c *model.Client, n int) {
	try := c.FirstAttempt()
	for more := true; more; {
		if !w.sleep(ctx, try.At) {
			return
		}
		end, why := w.caller.try(w.pick(), call{class: c.ClassIndex, work: c.Work, deadline: try.Deadline, client: n, intended: c.StartedAt,
			repeat: try.Retry, leaves: w.leaves(c.StartedAt, try, n)})
		now := w.book.Now()
		switch {
		case end == model.AttemptServed && now <= c.StartedAt+w.s.Classes[c.ClassIndex].LatencyTarget.D():
			w.inTime.Add(1)
		case end != model.AttemptServed:
			w.errors.Add(1)
		}
		try, more = c.NextAttempt(now, end, why.advice())
	}
}

// leaves is when a client closes its connection before its time is over, 0 if it does not.
func (w *World) leaves(asked time.Duration, try model.ClientAttempt, client int) time.Duration {
	rng := model.NewRand(w.seed^uint64(client), 7+uint64(try.At-asked))
	if rng.Float64() >= w.s.Clients.LeaveShare {
		return 0
	}
	return try.At + time.Duration(rng.Float64()*float64(try.Deadline-try.At))
}

// pick is the sidecar that the front layer gives a client. Every other client that could is one that has a connection to a
// sidecar which is stopping, and goes on using it.
func (w *World) pick() *sidecar {
	w.frontMu.Lock()
	w.picks++
	for s := range w.ending {
		if pool := s.client(); w.picks%2 == 0 && pool != nil && pool.HasIdle() {
			w.frontMu.Unlock()
			return s
		}
	}
	name := w.front.Pick(w.book.Now())
	w.frontMu.Unlock()
	for _, s := range w.first {
		if s.name == name {
			return s
		}
	}
	return nil
}

// sleep waits until a time of the run; false if ctx ended first.
func (w *World) sleep(ctx context.Context, at time.Duration) bool {
	wait := at - w.book.Now()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
