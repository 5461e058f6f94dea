package emulator

import (
	"context"
	"time"

	"kitewood/internal/lab/load"
	"kitewood/internal/lab/model"
)

// runClients sends the requests of the scenario's clients, open-loop, until the end of the run or of ctx, and waits for the
// outcome of all requests sent.
func (w *World) runClients(ctx context.Context, until time.Duration) {
	classes, behavior := w.scenario.ClientModel()
	rng := model.NewRand(w.seed, 3)
	var shape load.Shape
	for _, p := range w.scenario.Load.Shape {
		shape = append(shape, load.Point{At: p.At.D(), Factor: p.Factor})
	}
	spacing := model.NewRand(w.seed, 4)
	if w.scenario.Load.Arrivals == "constant" {
		spacing = nil
	}
	arrivals := load.NewArrivals(w.plan.BaseRate, shape, spacing, until)
	var running tasks
	number := 0
	for at, more := arrivals.Next(); more; at, more = arrivals.Next() {
		if !w.sleepUntil(ctx, at) {
			break
		}
		number++
		c, n := model.NewClient(rng, classes, behavior, at), number
		w.requests.Add(1)
		running.Go(func() { w.runClient(ctx, c, n) })
	}
	running.Wait()
}

// runClient sends a client's request and its client retries.
func (w *World) runClient(ctx context.Context, c *model.Client, n int) {
	attempt := c.FirstAttempt()
	for more := true; more; {
		if !w.sleepUntil(ctx, attempt.At) {
			return
		}
		end, reject := w.caller.send(w.pickSidecar(), call{class: c.ClassIndex, work: c.Work, deadline: attempt.Deadline, client: n,
			intended: c.StartedAt, clientRetry: attempt.Retry, closeAt: w.clientCloseTime(c.StartedAt, attempt, n)})
		now := w.ledger.Now()
		switch {
		case end == model.AttemptServed && now <= c.StartedAt+w.scenario.Classes[c.ClassIndex].LatencyTarget.D():
			w.inTime.Add(1)
		case end != model.AttemptServed:
			w.failures.Add(1)
		}
		attempt, more = c.NextAttempt(now, end, reject.retryDelay())
	}
}

// clientCloseTime is when a client closes its connection before its deadline, 0 if it does not.
func (w *World) clientCloseTime(intended time.Duration, attempt model.ClientAttempt, client int) time.Duration {
	rng := model.NewRand(w.seed^uint64(client), 7+uint64(attempt.At-intended))
	if rng.Float64() >= w.scenario.Clients.LeaveShare {
		return 0
	}
	return attempt.At + time.Duration(rng.Float64()*float64(attempt.Deadline-attempt.At))
}

// pickSidecar returns the sidecar that the front-end load balancer assigns to a client, nil if there is none. While a sidecar
// with an idle connection is stopping, every other client stands for one that holds such a connection and keeps using it.
func (w *World) pickSidecar() *sidecar {
	w.balancerMu.Lock()
	w.picks++
	for s := range w.stoppingSidecars {
		if pool := s.clientPool(); w.picks%2 == 0 && pool != nil && pool.HasIdle() {
			w.balancerMu.Unlock()
			return s
		}
	}
	name := w.balancer.Pick(w.ledger.Now())
	w.balancerMu.Unlock()
	for _, s := range w.firstTierSidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}

// sleepUntil waits until a time of the run; it returns false if ctx ended first.
func (w *World) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := at - w.ledger.Now()
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
