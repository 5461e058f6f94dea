package routing

import (
	"container/heap"
	"time"

	"kitewood/balance"
)

// host implements balance.Host on a Loop. The results of its actions are reported as later events.
type host struct{ *Loop }

var _ balance.Host = host{}

// Send starts an attempt of a request at an endpoint.
func (h host) Send(id balance.RequestID, endpoint balance.EndpointID, timeout time.Duration) {
	h.send(id, endpoint, timeout)
}

// Reject answers the client immediately with Rejected.
func (h host) Reject(id balance.RequestID, retryAfter time.Duration, reason balance.Reason) {
	h.metrics.Rejected[reason]++
	h.answerWithReason(h.requests[id], Answer{Verdict: Rejected, RetryAfter: retryAfter}, reason.String())
}

// Fail answers the client immediately with Failed.
func (h host) Fail(id balance.RequestID, reason balance.Reason) {
	h.metrics.Failed[reason]++
	h.answerWithReason(h.requests[id], Answer{Verdict: Failed}, reason.String())
}

// Cancel cancels an attempt of a request; an unknown attempt is ignored.
func (h host) Cancel(id balance.RequestID, attempt int) {
	if req := h.requests[id]; req != nil && attempt >= 0 && attempt < len(req.attempts) {
		req.attempts[attempt].cancel()
	}
}

// Probe requests the health and load of an endpoint. If the endpoint is unknown or the lease has
// expired, the probe is reported as not sent.
func (h host) Probe(endpoint balance.EndpointID) {
	startedAt := h.Now()
	report := func(r Result) {
		status := r.Status
		if r.Err != nil {
			status = r.Err.Status()
		}
		now := h.Now()
		h.balancer.ProbeDone(now, endpoint, now-startedAt, status, r.Load)
	}
	if ep := h.endpoints.byID[endpoint]; ep != nil && !h.lease.expired(startedAt) {
		h.transport.Probe(ep, func(r Result) { h.post(func() { report(r) }) })
		return
	}
	h.followUps = append(h.followUps, func() { report(Result{Status: balance.NotSent}) })
}

// CloseIdle closes the idle connections to an endpoint.
func (h host) CloseIdle(endpoint balance.EndpointID) {
	if ep := h.endpoints.byID[endpoint]; ep != nil {
		h.transport.CloseIdle(ep)
	}
}

// Watch opens a watch of the endpoint list from the version that is known.
func (h host) Watch() { h.discovery.Watch(h.endpoints.index) }

// SendToPeer does nothing: sidecars cannot send messages to each other, and the settings given to package balance do not allow
// it.
func (h host) SendToPeer(int, []byte) {}

// StartTimer schedules a timer event; a negative delay counts as 0.
func (h host) StartTimer(delay time.Duration, token uint64) {
	h.timersRequested++
	heap.Push(&h.timers, timer{at: h.Now() + max(delay, 0), seq: h.timersRequested, token: token})
}

// Log logs a line on behalf of the decision module.
func (h host) Log(text string) { h.log.Info(text, "from", "module") }
