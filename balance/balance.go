package balance

import (
	"math"
	"slices"
	"time"
)

// Kinds of timers, in the top byte of a token; the rest identifies the request and the attempt.
const (
	timerPhase uint64 = iota << 56
	timerWatch
	timerOverdue
	timerQueueTimeout
	timerQueue
	timerKindMask uint64 = 0xff << 56
)

const (
	overdueMultiple  = 4   // an attempt is overdue after this many times the mean latency of its class
	slowMultiple     = 2.5 // and its endpoint is skipped after this many
	minTimeLeftRatio = 0.5 // no retry with less time left than this part of its class's mean latency
	maxQueuePercent  = 45  // of a request's time, in percent, that it may be queued

	timeoutTolerance = 50 * time.Millisecond // by which the timeouts that clients set may vary
)

// RequestArrived handles a new request: it is sent, queued or rejected at once, and answered before its
// deadline.
func (b *Balancer) RequestArrived(now time.Duration, q Request) {
	if _, known := b.requests[q.ID]; known {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Reject(q.ID, 0, UnknownClass)
		return
	}
	r := &request{Request: q, arrivedAt: now}
	b.classes[q.Class].add(now, 4*b.meanTarget)
	if !q.ClientRetry {
		b.classes[q.Class].clientTimeouts.add(q.Deadline - now)
	}
	if wait, shed := b.shouldShed(r, now); shed {
		b.host.Reject(q.ID, wait, Shed)
		return
	}
	b.arrivals++ // rejected requests are no load on the endpoints
	b.requests[q.ID] = r
	b.addOpen(now)
	b.sendOrQueue(r, now)
	b.probeWithinBudget(now)
}

// usefulTimeLeft is how long an answer to r still has a utility: late answers can have none.
func (b *Balancer) usefulTimeLeft(r *request, now time.Duration) time.Duration {
	until := r.Deadline
	c := &b.set.Classes[r.Class]
	if c.LateUtility == 0 && !c.Stream {
		until = min(until, r.arrivedAt+c.LatencyTarget)
	}
	// The client of a retry has waited since its first attempt. Where the timeout of the retry is outside the
	// range of those of first attempts, it is the rest of the client's deadline and so tells when that first
	// attempt began: after the first attempt's latency target an answer has no utility.
	timeout := r.Deadline - r.arrivedAt
	if r.ClientRetry && c.LateUtility == 0 && !c.Stream &&
		b.classes[r.Class].clientTimeouts.outside(timeout, timeoutTolerance) {
		until = min(until, r.Deadline-c.Deadline+c.LatencyTarget)
	}
	return until - now
}

// sendOrQueue sends r to the next endpoint, queues it while none may handle it, or ends it when it may not be
// sent again.
func (b *Balancer) sendOrQueue(r *request, now time.Duration) {
	left := b.usefulTimeLeft(r, now)
	mean := b.classes[r.Class].expectedLatency(&b.set.Classes[r.Class])
	// A retry that cannot finish in the time left is wasted work; nor can a late request from another service.
	late := (len(r.attempts) > 0 || b.set.Tier > 0) && left < time.Duration(minTimeLeftRatio*float64(mean))
	if left <= b.set.Tick || late {
		b.endUnserved(r, now, TooLate)
		return
	}
	if len(r.attempts) >= b.set.Limits.MaxAttempts {
		b.endUnserved(r, now, AttemptsSpent)
		return
	}
	var s *endpointState
	if !b.sendingSuspended(now) {
		s = b.pickEndpoint(r, now)
	}
	if s == nil {
		// A keyed request that may have run is not queued: waiting does not change its deduplication scope.
		if r.inFlight > 0 || r.mayHaveRunOn != nil && b.set.Classes[r.Class].Effect != Safe {
			b.endUnserved(r, now, NoEndpoint)
		} else {
			b.enqueue(r, now, left)
		}
		return
	}
	a := &attempt{endpoint: s, sentAt: now, overdueAt: now + max(overdueMultiple*mean, b.queueInterval())}
	a.slowAt = now + time.Duration(slowMultiple*float64(mean))
	r.attempts = append(r.attempts, a)
	r.inFlight, b.inFlight = r.inFlight+1, b.inFlight+1
	s.inFlight = append(s.inFlight, a)
	s.nextSlowStartSend = now + b.slowStartInterval(s, now)
	b.addRetryTokens()
	b.host.Send(r.ID, s.ID, left)
	if a.overdueAt < now+left {
		b.host.StartTimer(a.overdueAt-now, timerOverdue|uint64(len(r.attempts)-1)<<32|uint64(r.ID))
	}
}

// enqueue queues a request that no endpoint may handle now, while an answer can be in time and for less than
// half of the request's time.
func (b *Balancer) enqueue(r *request, now, left time.Duration) {
	if r.queued {
		return
	}
	maxWait := r.arrivedAt + (r.Deadline-r.arrivedAt)*maxQueuePercent/100 - now
	if maxWait <= 0 { // its queue timer may have fired while an attempt was in flight
		b.endUnserved(r, now, QueueTimeout)
		return
	}
	r.queued, b.queue = true, append(b.queue, r)
	if !r.queueTimeoutSet { // once: the time limit is for all its time in the queue
		r.queueTimeoutSet = true
		b.host.StartTimer(min(left-b.set.Tick, maxWait), timerQueueTimeout|uint64(r.ID))
	}
	if !b.queueTimerSet { // retry soon: slow start may allow more by then
		b.queueTimerSet = true
		b.host.StartTimer(b.queueInterval(), timerQueue)
	}
}

// retryQueued tries to send every queued request.
func (b *Balancer) retryQueued(now time.Duration) {
	queue := b.queue
	b.queue = nil
	for _, r := range queue {
		r.queued = false
		if !r.ended {
			b.sendOrQueue(r, now)
		}
	}
}

// sendFromQueue gives the capacity that an answer frees to the oldest queued request, as long as the queue is
// served quickly. Where that takes longer not all can be in time: then the youngest, which still can, goes
// first, and protected classes before the others.
func (b *Balancer) sendFromQueue(now time.Duration) {
	for n := len(b.queue); n > 0; n = len(b.queue) {
		at := 0
		if float64(n) >= 2*b.completionsPerSecond(now)*b.queueInterval().Seconds() {
			at = b.youngestProtected()
		}
		r := b.queue[at]
		if !r.ended {
			b.sendOrQueue(r, now) // it keeps its place in the queue if none may handle it
		}
		if !r.ended && r.inFlight == 0 {
			return
		}
		b.queue, r.queued = slices.Delete(b.queue, at, at+1), false
	}
}

// endUnserved ends a request that is not sent again. While an attempt is in flight it waits for that instead.
func (b *Balancer) endUnserved(r *request, now time.Duration, reason Reason) {
	if r.ended || r.inFlight > 0 && b.usefulTimeLeft(r, now) > b.set.Tick {
		return
	}
	b.markEnded(r)
	if r.inFlight == 0 && b.mayReject(r) {
		b.host.Reject(r.ID, b.retryAfter(), reason)
	} else {
		b.host.Fail(r.ID, reason)
	}
	b.cancelInFlight(r)
	b.removeIfOver(r)
}

// mayReject keeps the second invariant: a rejection promises that nothing has run, or that a retry would be
// dropped.
func (b *Balancer) mayReject(r *request) bool {
	c := &b.set.Classes[r.Class]
	return r.mayHaveRunOn == nil || c.Effect == Safe || c.Effect == Keyed && c.DedupScope == ScopeAll
}

// mayRetry keeps the second invariant: r may be sent again, to an endpoint that pickEndpoint finds in its
// scope.
func (b *Balancer) mayRetry(r *request, now time.Duration) bool {
	c := &b.set.Classes[r.Class]
	if r.ended || len(r.attempts) >= b.set.Limits.MaxAttempts || r.inFlight > 0 && !b.set.Limits.Hedging {
		return false
	}
	// An attempt in flight may have run, whatever its outcome.
	if r.inFlight == 0 && r.mayHaveRunOn == nil {
		return true
	}
	return c.Effect == Safe ||
		c.Effect == Keyed && r.mayHaveRunOn != nil && now < r.mayHaveRunAt+c.DedupWindow-2*b.set.Tick
}

// markEnded records that r has its final answer. Nothing is sent for r after that.
func (b *Balancer) markEnded(r *request) {
	if !r.ended {
		r.ended = true
		b.removeOpen(r)
	}
}

// removeIfOver deletes r once no further event can arrive for it.
func (b *Balancer) removeIfOver(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// AttemptDone handles the outcome of an attempt.
func (b *Balancer) AttemptDone(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := r.attempts[o.Attempt]
	a.done = true
	r.inFlight--
	a.endpoint.removeAttempt(a)
	b.recordOutcome(r, a, o, now)
	defer b.sendFromQueue(now)
	unprocessed := o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent // it never ran
	if o.Status != OK && !unprocessed && (r.mayHaveRunOn == nil || a.sentAt < r.mayHaveRunAt) {
		r.mayHaveRunOn, r.mayHaveRunAt = a.endpoint, a.sentAt
	}
	if o.Final || o.Status == OK {
		if !r.ended && o.Status != Declined {
			b.recordCompletion(r, now)
		}
		b.markEnded(r)
		b.cancelInFlight(r)
		b.removeIfOver(r)
		return
	}
	if r.ended {
		b.removeIfOver(r)
		return
	}
	// What never ran is retried at once, and a cancelled attempt has paid already; the rest needs a retry token.
	unprocessed = unprocessed || o.Status == Cancelled
	switch {
	case b.usefulTimeLeft(r, now) <= b.set.Tick:
		b.endUnserved(r, now, TooLate)
	case len(r.attempts) >= b.set.Limits.MaxAttempts:
		b.endUnserved(r, now, AttemptsSpent)
	case !b.mayRetry(r, now):
		b.endUnserved(r, now, NotRetriable)
	case !unprocessed && !b.takeRetryToken():
		b.endUnserved(r, now, NoRetryBudget)
	default:
		b.sendOrQueue(r, now)
	}
}

// cancelInFlight cancels the attempts in flight of a request that is over.
func (b *Balancer) cancelInFlight(r *request) {
	for i, a := range r.attempts {
		if !a.done && b.set.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// StreamStarted handles the start of a stream: from here on the attempt belongs to the client.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, endpoint EndpointID, attempt int,
	lag time.Duration) {
	r := b.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	b.markEnded(r)
	r.attempts[attempt].overdueAt, r.attempts[attempt].slowAt = math.MaxInt64, math.MaxInt64
}

// ClientGone handles a client that has disconnected; it needs no answer.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.markEnded(r)
		b.cancelInFlight(r)
		b.removeIfOver(r)
	}
}

// TimerFired handles a timer that the Balancer requested.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	r := b.requests[RequestID(token)]
	switch token & timerKindMask {
	case timerPhase:
		b.endPhase(now)
	case timerWatch:
		if b.set.PollDiscovery && !b.watching {
			b.host.Watch()
		}
	case timerQueue:
		b.queueTimerSet = false
		b.retryQueued(now)
	case timerQueueTimeout:
		if r != nil && r.inFlight == 0 {
			b.endUnserved(r, now, QueueTimeout)
		}
	case timerOverdue:
		n := int(token >> 32 & 0xffff)
		if r != nil && !r.ended && n == len(r.attempts)-1 && !r.attempts[n].done {
			b.handleOverdue(r, n, now)
		}
	}
}

// handleOverdue handles an attempt that takes far longer than its class does: it counts as a failure of its
// endpoint, and a hedged request may be sent where allowed. Only on probation is the attempt cancelled and
// sent again: elsewhere most late answers do arrive, and the work would run twice. Both need a retry token.
func (b *Balancer) handleOverdue(r *request, n int, now time.Duration) {
	c := &b.set.Classes[r.Class]
	r.attempts[n].failureCounted = true
	b.recordFailureShare(r.attempts[n].endpoint, 1, now)
	b.removeOpen(r)
	r.overdue = true
	if c.Effect != Safe || b.usefulTimeLeft(r, now) < b.classes[r.Class].expectedLatency(c) {
		return
	}
	if b.mayRetry(r, now) {
		if b.takeRetryToken() {
			b.sendOrQueue(r, now)
		}
	} else if b.set.Limits.Cancel && r.attempts[n].endpoint.probation && n+1 < b.set.Limits.MaxAttempts &&
		b.takeRetryToken() {
		b.host.Cancel(r.ID, n)
	}
}
