package routing

import (
	"container/heap"
	"time"

	"kitewood/balance"
)

// host performs the module's actions on the Loop. What they lead to comes back as later events.
type host struct{ *Loop }

var _ balance.Host = host{}

// Send starts an attempt.
func (h host) Send(id balance.RequestID, server balance.EndpointID, timeout time.Duration) {
	h.send(id, server, timeout)
}

// Refuse answers at once that the sidecar is busy.
func (h host) Reject(id balance.RequestID, retryAfter time.Duration, why balance.Reason) {
	h.metrics.Rejected[why]++
	h.answerBecause(h.ops[id], Answer{Verdict: Rejected, RetryAfter: retryAfter}, why.String())
}

// Fail answers at once that the operation failed.
func (h host) Fail(id balance.RequestID, why balance.Reason) {
	h.metrics.Failed[why]++
	h.answerBecause(h.ops[id], Answer{Verdict: Failed}, why.String())
}

// Cancel calls an attempt off.
func (h host) Cancel(id balance.RequestID, attempt int) {
	if op := h.ops[id]; op != nil && attempt >= 0 && attempt < len(op.attempts) {
		op.attempts[attempt].cancel()
	}
}

// Probe asks a destination for its health and load.
func (h host) Probe(server balance.EndpointID) {
	began := h.Now()
	report := func(r Result) {
		status := r.Status
		if r.Err != nil {
			status = r.Err.Status()
		}
		now := h.Now()
		h.balancer.ProbeDone(now, server, now-began, status, r.Load)
	}
	if d := h.pool.byID[server]; d != nil && !h.hold.holds(began) {
		h.carrier.Probe(d, func(r Result) { h.post(func() { report(r) }) })
		return
	}
	h.pending = append(h.pending, func() { report(Result{Status: balance.NotSent}) })
}

// Close closes the idle connections to a destination.
func (h host) CloseIdle(server balance.EndpointID) {
	if d := h.pool.byID[server]; d != nil {
		h.carrier.CloseIdle(d)
	}
}

// Watch opens a watch of the endpoint list.
func (h host) Watch() { h.directory.Watch(h.pool.index) }

// Tell does nothing: sidecars have no way to talk to each other, and the settings say so to the module.
func (h host) SendToPeer(int, []byte) {}

// Timer asks for a timer.
func (h host) StartTimer(delay time.Duration, token uint64) {
	h.asked++
	heap.Push(&h.timers, timer{at: h.Now() + max(delay, 0), seq: h.asked, token: token})
}

// Log notes a line of the module's.
func (h host) Log(text string) { h.log.Info(text, "from", "module") }
