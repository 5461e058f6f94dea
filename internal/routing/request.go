package routing

import (
	"context"
	"errors"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
)

// Submit passes a request to the Loop, from any goroutine, and reports whether the Loop accepted it. If so, the request's
// Done receives one answer, unless Abandon comes first. It returns false if the Loop is stuck or has not accepted the
// request by its deadline; the request has then reached no endpoint. While a predecessor in which its key may be open is
// stuck, or has not responded by the deadline, the answer is Failed.
func (l *Loop) Submit(req *Request) bool {
	l.pendingRequests.Add(1)
	if !l.Stuck() {
		previous := l.predecessor()
		if previous != nil && req.Key != "" {
			if previous.Stuck() || !previous.postUntil(func() { l.admitUnlessOpenIn(previous, req) }, req.Deadline) {
				l.failAsPossiblyOpen(req)
			}
			return true
		}
		if l.postUntil(func() { l.admit(req) }, req.Deadline) {
			return true
		}
	}
	l.pendingRequests.Add(-1)
	return false
}

// admit passes a request to the Balancer unless its key is in use: endpoints identify requests by key, and would treat two
// with the same key as copies of one.
func (l *Loop) admit(req *Request) {
	if req.ended.Load() { // its client disconnected while it was queued
		return
	}
	if earlier := l.requestsByKey[req.Key]; earlier != nil && req.Key != "" {
		// A client retries when its connection is closed during a request; the disconnect may not have been noticed here yet.
		if !earlier.ended.Load() && earlier.ClientGone != nil && earlier.ClientGone() {
			l.abandon(earlier)
		}
		if !earlier.ended.Load() {
			l.answer(req, Answer{Verdict: Duplicate})
			return
		}
		if earlier.inFlight > 0 {
			earlier.queuedBehind = append(earlier.queuedBehind, req)
			return
		}
	}
	if req.Key != "" && l.undelivered.contains(l.Now(), req.Key) && l.unsafeClass(req.Class) {
		// It may have run: its client disconnected before the answer, and has come again.
		l.answer(req, Answer{Verdict: Failed})
		return
	}
	l.lastID++
	l.metrics.Requests++
	req.id, req.receivedAt = l.lastID, l.Now()
	l.requests[req.id] = req
	if req.Key != "" {
		l.requestsByKey[req.Key] = req
	}
	defer l.answerOnPanic(req)
	l.balancer.RequestArrived(l.Now(), balance.Request{ID: req.id, Class: req.Class, Deadline: req.Deadline, CostHint: req.CostHint,
		ClientRetry: req.ClientRetry, Origin: req.Origin})
}

// Abandon reports, from any goroutine, that the client of a request has disconnected. Its Done may still be called.
func (l *Loop) Abandon(req *Request) {
	req.endedAt.CompareAndSwap(0, int64(l.Now()))
	l.postAsync(func() { l.abandon(req) }) // must not block: the Loop may be behind, and the caller may have a client to answer
}

func (l *Loop) abandon(req *Request) {
	if !req.ended.Load() {
		l.markEnded(req)
		req.abandoned = true
		l.metrics.Abandoned++
		l.traceAbandoned(req)
		l.balancer.ClientGone(l.Now(), req.id)
		l.removeIfDone(req)
	}
}

// AnswerLost reports, from any goroutine, that the client of a request has disconnected before its answer was written.
func (l *Loop) AnswerLost(req *Request) {
	l.postAsync(func() { l.recordUndelivered(req) })
}

// recordUndelivered remembers the key of a request that must not run twice, may have run, and whose client has no answer.
func (l *Loop) recordUndelivered(req *Request) {
	if req.Key != "" && req.mayHaveRunSince > 0 && l.unsafe(req) {
		l.undelivered.record(l.Now(), req.Key)
	}
}

// answer gives a request its one final answer; a nil or ended request is ignored.
func (l *Loop) answer(req *Request, a Answer) { l.answerWithReason(req, a, "") }

// answerWithReason is answer with the reason for a rejection or a failure, which is logged.
func (l *Loop) answerWithReason(req *Request, a Answer, reason string) {
	if req != nil && !req.ended.Load() {
		l.markEnded(req)
		l.metrics.Answers[a.Verdict]++
		l.traceAnswer(req, a.Verdict, reason)
		req.Done(a)
		l.removeIfDone(req)
	}
}

// answerOnPanic is deferred: on a panic it answers the request with Failed and panics again.
func (l *Loop) answerOnPanic(req *Request) {
	if p := recover(); p != nil {
		l.answer(req, Answer{Verdict: Failed})
		panic(p)
	}
}

// markEnded marks a request as answered or abandoned.
func (l *Loop) markEnded(req *Request) {
	req.ended.Store(true)
	req.endedAt.CompareAndSwap(0, int64(l.Now()))
	l.pendingRequests.Add(-1)
}

// removeIfDone removes a request that has ended and has no attempt in flight, and admits the requests queued behind it.
func (l *Loop) removeIfDone(req *Request) {
	if !req.ended.Load() || req.inFlight > 0 {
		return
	}
	delete(l.requests, req.id)
	if req.abandoned {
		l.recordUndelivered(req)
	}
	if l.requestsByKey[req.Key] == req {
		delete(l.requestsByKey, req.Key)
	}
	for _, waiting := range req.queuedBehind {
		l.followUps = append(l.followUps, func() { l.admit(waiting) })
	}
	req.queuedBehind = nil
}

// send starts an attempt. Each attempt has exactly one outcome, even if it never reaches the transport.
func (l *Loop) send(id balance.RequestID, endpoint balance.EndpointID, timeout time.Duration) {
	req, ep := l.requests[id], l.endpoints.byID[endpoint]
	if req == nil {
		return
	}
	now := l.Now()
	deadline := req.Deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &Attempt{Request: req, Endpoint: ep, Deadline: deadline, clock: l.Clock, lease: &l.lease,
		guard: l.guard, number: len(req.attempts), sentAt: now, endpointLists: l.metrics.EndpointLists}
	a.Context, a.cancel = context.WithCancel(context.Background())
	if c := &l.settings.Classes[req.Class]; c.Effect == balance.Keyed && req.mayHaveRunSince > 0 {
		a.RetryWindowEnd = req.mayHaveRunSince + c.DedupWindow - transitAllowance
	}
	retryDenied := l.guard.Denied(guard.MayRetry(l.retryFacts(req)))
	l.metrics.countAttempt(req)
	req.attempts = append(req.attempts, a)
	req.inFlight++
	if ep == nil || retryDenied || l.guard.Denied(guard.MaySend(a.sendFacts())) {
		l.followUps = append(l.followUps, func() { l.finish(a, endpoint, Result{Err: &AttemptError{NotSent, errNotSent}}) })
		return
	}
	if a.number == 0 && req.OnFirstSend != nil {
		req.OnFirstSend()
	}
	l.transport.Send(a, func(r Result) { l.post(func() { l.finish(a, endpoint, r) }) })
}

// transitAllowance is subtracted from the window in which endpoints drop duplicates, because a retry counts from the arrival
// of its last byte. The window starts with the first attempt that may have run, and opening a connection can take longer
// than what remains of it.
const transitAllowance = 50 * time.Millisecond

var errNotSent = errors.New("attempt may no longer be sent")

// finish handles the end of an attempt. The client is answered before the Balancer is notified.
func (l *Loop) finish(a *Attempt, endpoint balance.EndpointID, r Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	req, now := a.Request, l.Now()
	a.endedAt = now
	req.inFlight--
	status := r.Status
	if r.Err != nil {
		status = r.Err.Status()
	}
	a.status, req.lastStatus = status, status
	l.checkInvariants(a)
	l.metrics.Outcomes[status]++
	l.traceAttempt(a, endpoint, status, r, now)
	if mayHaveRun(status) && (req.mayHaveRunSince == 0 || a.sentAt < req.mayHaveRunSince) {
		req.mayHaveRunSince = a.sentAt
	}
	if status == balance.OK || status == balance.Declined {
		l.answer(req, Answer{Verdict: Served, Payload: r.Payload})
	}
	defer l.answerOnPanic(req)
	l.balancer.AttemptDone(now, balance.Outcome{ID: req.id, Final: req.ended.Load(), Attempt: a.number, Endpoint: endpoint,
		Latency: now - a.sentAt, Status: status, Load: r.Load})
	l.removeIfDone(req)
}

// retryFacts returns the facts for the guard about a further attempt of a request.
func (l *Loop) retryFacts(req *Request) guard.RetryFacts {
	return guard.RetryFacts{Attempts: len(req.attempts), InFlight: req.inFlight, MayHaveRun: req.mayHaveRunSince > 0,
		Unsafe: l.unsafe(req), HedgingAllowed: l.settings.Limits.Hedging}
}

// unsafe reports whether the request's class must never run twice.
func (l *Loop) unsafe(r *Request) bool { return l.unsafeClass(r.Class) }

// unsafeClass reports whether requests of a class must never run twice.
func (l *Loop) unsafeClass(class int) bool { return l.settings.Classes[class].Effect == balance.Unsafe }

// retryWindowEnd returns the time until which endpoints drop duplicates of a request whose first attempt that may have run
// began at begunAt; 0 if the request's class has no such window.
func (l *Loop) retryWindowEnd(req *Request, begunAt time.Duration) time.Duration {
	c := &l.settings.Classes[req.Class]
	if c.Effect != balance.Keyed {
		return 0
	}
	return begunAt + c.DedupWindow
}

// drainGraceSlack is what the platform's protocol adds to each time limit on sockets.
const drainGraceSlack = 50 * time.Millisecond

// checkInvariants has the guard check the record of an attempt that has ended.
func (l *Loop) checkInvariants(a *Attempt) {
	if a.begunAt.Load() == 0 {
		return
	}
	req := a.Request
	record := guard.AttemptRecord{RequestID: req.Key, Endpoint: a.Endpoint.Name, BegunAt: time.Duration(a.begunAt.Load()),
		TimeoutSent: time.Duration(a.timeoutSent.Load()), Deadline: req.Deadline, ClosedAt: a.Endpoint.closedAt,
		DrainGrace: l.settings.Rules.DrainGrace + drainGraceSlack, RequestEndedAt: time.Duration(req.endedAt.Load()),
		LeaseExpired: a.leaseExpired.Load(), Unsafe: l.unsafe(req), HedgingAllowed: l.settings.Limits.Hedging}
	record.NoEndpointList = a.endpointLists == 0
	for _, earlier := range req.attempts[:a.number] {
		if earlier.begunAt.Load() == 0 {
			continue
		}
		if record.RetryWindowEnd == 0 && (!earlier.ended || mayHaveRun(earlier.status)) {
			record.RetryWindowEnd = l.retryWindowEnd(req, time.Duration(earlier.begunAt.Load()))
		}
		inFlight := !earlier.ended || earlier.endedAt > record.BegunAt
		record.EarlierInFlight = record.EarlierInFlight || inFlight
		record.EarlierMayRun = record.EarlierMayRun || !earlier.ended || mayHaveRun(earlier.status)
	}
	l.guard.Check(record)
}

// mayHaveRun reports whether an attempt with this status may have run.
func mayHaveRun(s balance.Status) bool {
	return s != balance.NotSent && s != balance.ConnectFailed && s != balance.Rejected
}
