package routing

import (
	"context"
	"errors"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
)

// Submit takes an operation, from any goroutine. Its Done gets one answer, unless Abandon comes first. A Loop that has
// not taken it by its deadline never will, and one that is stuck does not: it tells so, and the operation reached no
// destination.
func (l *Loop) Submit(op *Request) bool {
	l.owed.Add(1)
	to, event := l, func() { l.admit(op) }
	if before := l.predecessor(); before != nil && op.Key != "" {
		to, event = before, func() { l.admitAfter(before, op) }
	}
	if stuck := l.Stuck() || to != l && to.Stuck(); !stuck && to.postUntil(event, op.Deadline) {
		return true
	}
	l.owed.Add(-1)
	return false
}

// admit hands an operation to the module unless its key is in use: a destination knows requests by it, and two of them
// would be taken for copies of one.
func (l *Loop) admit(op *Request) {
	if op.ended.Load() { // its client left while it waited
		return
	}
	if old := l.keys[op.Key]; old != nil && op.Key != "" {
		// A client sends a request again when its connection is closed under it, and that may be known here only now.
		if !old.ended.Load() && old.ClientGone != nil && old.ClientGone() {
			l.abandon(old)
		}
		if !old.ended.Load() {
			l.answer(op, Answer{Verdict: Duplicate})
			return
		}
		if old.out > 0 {
			old.next = append(old.next, op)
			return
		}
	}
	l.lastID++
	l.metrics.Requests++
	op.id, op.came = l.lastID, l.Now()
	l.ops[op.id] = op
	if op.Key != "" {
		l.keys[op.Key] = op
	}
	defer l.answerOnPanic(op)
	l.balancer.RequestArrived(l.Now(), balance.Request{ID: op.id, Class: op.Class, Deadline: op.Deadline, CostHint: op.CostHint,
		ClientRetry: op.ClientRetry, Origin: op.Origin})
}

// Abandon says that the client of an operation has left, from any goroutine. Its Done may still be called.
func (l *Loop) Abandon(op *Request) {
	op.overAt.CompareAndSwap(0, int64(l.Now()))
	l.hand(func() { l.abandon(op) }) // the Loop may be behind, and whoever calls owes a client an answer
}

func (l *Loop) abandon(op *Request) {
	if !op.ended.Load() {
		l.end(op)
		l.metrics.Abandoned++
		l.traceAbandoned(op)
		l.balancer.ClientGone(l.Now(), op.id)
		l.forget(op)
	}
}

// answer gives an operation its one final answer.
func (l *Loop) answer(op *Request, a Answer) { l.answerBecause(op, a, "") }

// answerBecause is answer with the reason of a refusal or a failure, for the log.
func (l *Loop) answerBecause(op *Request, a Answer, why string) {
	if op != nil && !op.ended.Load() {
		l.end(op)
		l.metrics.Answers[a.Verdict]++
		l.traceAnswer(op, a.Verdict, why)
		op.Done(a)
		l.forget(op)
	}
}

// answerOnPanic gives the operation that a panic met its answer, and passes the panic on.
func (l *Loop) answerOnPanic(op *Request) {
	if p := recover(); p != nil {
		l.answer(op, Answer{Verdict: Failed})
		panic(p)
	}
}

func (l *Loop) end(op *Request) {
	op.ended.Store(true)
	op.overAt.CompareAndSwap(0, int64(l.Now()))
	l.owed.Add(-1)
}

// forget drops an operation when nothing more can come for it.
func (l *Loop) forget(op *Request) {
	if !op.ended.Load() || op.out > 0 {
		return
	}
	delete(l.ops, op.id)
	if l.keys[op.Key] == op {
		delete(l.keys, op.Key)
	}
	for _, next := range op.next {
		l.pending = append(l.pending, func() { l.admit(next) })
	}
	op.next = nil
}

// send starts an attempt. Each has exactly one outcome, also those that never reach the carrier.
func (l *Loop) send(id balance.RequestID, server balance.EndpointID, timeout time.Duration) {
	op, d := l.ops[id], l.pool.byID[server]
	if op == nil {
		return
	}
	now := l.Now()
	until := op.Deadline
	if timeout > 0 {
		until = min(until, now+timeout)
	}
	a := &Attempt{Request: op, Endpoint: d, Deadline: until, clock: l.Clock, hold: &l.hold, guard: l.guard, number: len(op.attempts), sent: now,
		lists: l.metrics.EndpointLists}
	a.Context, a.cancel = context.WithCancel(context.Background())
	if c := &l.set.Classes[op.Class]; c.Effect == balance.Keyed && op.ranAt > 0 {
		a.RetryWindowEnd = op.ranAt + c.DedupWindow - onTheWay
	}
	repeat := l.guard.Denied(guard.MayRetry(l.repeating(op)))
	l.metrics.attempt(op)
	op.attempts = append(op.attempts, a)
	op.out++
	if d == nil || repeat || l.guard.Denied(guard.MaySend(a.facts())) {
		l.pending = append(l.pending, func() { l.finish(a, server, Result{Err: &AttemptError{NotSent, errNotSent}}) })
		return
	}
	if a.number == 0 && op.OnFirstSend != nil {
		op.OnFirstSend()
	}
	l.carrier.Send(a, func(r Result) { l.post(func() { l.finish(a, server, r) }) })
}

// onTheWay is kept of the window for repeats, as a repeat counts when its last byte has arrived. The window is that of the
// first attempt that may have run, and a connection can take longer to come up than what is left of it.
const onTheWay = 50 * time.Millisecond

var errNotSent = errors.New("it may no longer be sent")

// finish takes the end of an attempt: the client's answer goes out before the module learns of it.
func (l *Loop) finish(a *Attempt, server balance.EndpointID, r Result) {
	if a.over {
		return
	}
	a.over = true
	a.cancel()
	op, now := a.Request, l.Now()
	a.endedAt = now
	op.out--
	status := r.Status
	if r.Err != nil {
		status = r.Err.Status()
	}
	a.status, op.lastStatus = status, status
	l.check(a)
	l.metrics.Outcomes[status]++
	l.traceAttempt(a, server, status, r, now)
	if mayHaveRun(status) && (op.ranAt == 0 || a.sent < op.ranAt) {
		op.ranAt = a.sent
	}
	if status == balance.OK || status == balance.Declined {
		l.answer(op, Answer{Verdict: Served, Payload: r.Payload})
	}
	defer l.answerOnPanic(op)
	l.balancer.AttemptDone(now, balance.Outcome{ID: op.id, Final: op.ended.Load(), Attempt: a.number, Endpoint: server,
		Latency: now - a.sent, Status: status, Load: r.Load})
	l.forget(op)
}

// repeating are the facts about a further attempt of an operation.
func (l *Loop) repeating(op *Request) guard.RetryFacts {
	return guard.RetryFacts{Attempts: len(op.attempts), InFlight: op.out, MayHaveRun: op.ranAt > 0, Unsafe: l.unsafe(op), HedgingAllowed: l.set.Limits.Hedging}
}

func (l *Loop) unsafe(op *Request) bool { return l.set.Classes[op.Class].Effect == balance.Unsafe }

// windowEnd is until when a repeat of an operation is dropped whose first attempt that may have run began at a time; 0 where its
// class has no such window.
func (l *Loop) windowEnd(op *Request, began time.Duration) time.Duration {
	c := &l.set.Classes[op.Class]
	if c.Effect != balance.Keyed {
		return 0
	}
	return began + c.DedupWindow
}

// drainSlack is what the platform's protocol adds to each time limit on sockets.
const drainSlack = 50 * time.Millisecond

// check has the guard look at what an attempt that has ended has noted.
func (l *Loop) check(a *Attempt) {
	if a.began.Load() == 0 {
		return
	}
	op := a.Request
	b := guard.AttemptRecord{RequestID: op.Key, Endpoint: a.Endpoint.Name, BegunAt: time.Duration(a.began.Load()), TimeoutSent: time.Duration(a.told.Load()),
		Deadline: op.Deadline, ClosedAt: a.Endpoint.closedAt, DrainGrace: l.set.Rules.DrainGrace + drainSlack,
		RequestEndedAt: time.Duration(op.overAt.Load()), LeaseExpired: a.heldThen.Load(), Unsafe: l.unsafe(op), HedgingAllowed: l.set.Limits.Hedging}
	b.NoEndpointList = a.lists == 0
	for _, earlier := range op.attempts[:a.number] {
		if earlier.began.Load() == 0 {
			continue
		}
		if b.RetryWindowEnd == 0 && (!earlier.over || mayHaveRun(earlier.status)) {
			b.RetryWindowEnd = l.windowEnd(op, time.Duration(earlier.began.Load()))
		}
		out := !earlier.over || earlier.endedAt > b.BegunAt
		b.EarlierInFlight = b.EarlierInFlight || out
		b.EarlierMayRun = b.EarlierMayRun || !earlier.over || mayHaveRun(earlier.status)
	}
	l.guard.Check(b)
}

// mayHaveRun tells whether an attempt that ended so may have run.
func mayHaveRun(s balance.Status) bool {
	return s != balance.NotSent && s != balance.ConnectFailed && s != balance.Rejected
}
