package balance

import (
	"math"
	"slices"
	"time"
)

// Kinds of timers, in the top byte of a token; the rest names the request, and the attempt.
const (
	timerPhase uint64 = iota << 56
	timerWatch
	timerOverdue
	timerExpire
	timerParked
	timerKind uint64 = 0xff << 56
)

const (
	overdueAfter = 4   // an attempt is overdue after this many times the mean latency of its class
	slowAfter    = 2.5 // and passes its server over from this many on
	leastLeft    = 0.5 // nothing is repeated with less left than this part of its class's mean latency
	queueShare   = 45  // of a request's time, in 100, that it may be queued

	tryNoise = 50 * time.Millisecond // by which the times that clients give may differ
)

// Request takes a request: it is sent, held or refused at once, and is answered before its deadline.
func (b *Balancer) RequestArrived(now time.Duration, q Request) {
	if _, known := b.requests[q.ID]; known {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Reject(q.ID, 0, UnknownClass)
		return
	}
	r := &request{Request: q, arrived: now}
	b.classes[q.Class].add(now, 4*b.meanAim)
	if !q.ClientRetry {
		b.classes[q.Class].tries.add(q.Deadline - now)
	}
	if wait, refuse := b.shedding(r, now); refuse {
		b.host.Reject(q.ID, wait, Shed)
		return
	}
	b.arrivals++ // what is refused is no load that servers see
	b.requests[q.ID] = r
	b.opens(now)
	b.try(r, now)
	b.probeOnBudget(now)
}

// left tells how long an answer to r is still worth something: late answers can be worth nothing to clients.
func (b *Balancer) left(r *request, now time.Duration) time.Duration {
	until := r.Deadline
	c := &b.set.Classes[r.Class]
	if c.LateUtility == 0 && !c.Stream {
		until = min(until, r.arrived+c.LatencyTarget)
	}
	// A repeat's client has waited since its first try. Where its time is none that clients give a first try,
	// it is the rest of the deadline and tells since when: after that first try's aim nothing is worth anything.
	given := r.Deadline - r.arrived
	if r.ClientRetry && c.LateUtility == 0 && !c.Stream && b.classes[r.Class].tries.outside(given, tryNoise) {
		until = min(until, r.Deadline-c.Deadline+c.LatencyTarget)
	}
	return until - now
}

// try sends r to the next server, parks it while none may take it, or ends it when nothing is left to try.
func (b *Balancer) try(r *request, now time.Duration) {
	left := b.left(r, now)
	mean := b.classes[r.Class].mean(&b.set.Classes[r.Class])
	// A repeat that cannot be done in what is left is work for nobody; nor can what a service asks for so late.
	late := (len(r.attempts) > 0 || b.set.Tier > 0) && left < time.Duration(leastLeft*float64(mean))
	if left <= b.set.Tick || late {
		b.giveUp(r, now, TooLate)
		return
	}
	if len(r.attempts) >= b.set.Limits.MaxAttempts {
		b.giveUp(r, now, AttemptsSpent)
		return
	}
	var s *server
	if !b.paused(now) {
		s = b.pick(r, now)
	}
	if s == nil {
		// A keyed request that may have run waits for nothing: its group is what it is.
		if r.out > 0 || r.mayRun != nil && b.set.Classes[r.Class].Effect != Safe {
			b.giveUp(r, now, NoEndpoint)
		} else {
			b.park(r, now, left)
		}
		return
	}
	a := &attempt{server: s, sent: now, due: now + max(overdueAfter*mean, b.lookAgain())}
	a.slow = now + time.Duration(slowAfter*float64(mean))
	r.attempts = append(r.attempts, a)
	r.out, b.out = r.out+1, b.out+1
	s.out = append(s.out, a)
	s.coldNext = now + b.coldGap(s, now)
	b.earnRetry()
	b.host.Send(r.ID, s.ID, left)
	if a.due < now+left {
		b.host.StartTimer(a.due-now, timerOverdue|uint64(len(r.attempts)-1)<<32|uint64(r.ID))
	}
}

// park holds a request that no server may take now while an answer can be in time, and under half its time.
func (b *Balancer) park(r *request, now, left time.Duration) {
	if r.parked {
		return
	}
	most := r.arrived + (r.Deadline-r.arrived)*queueShare/100 - now
	if most <= 0 { // its timer may have come while an attempt was out, which has ended unseen
		b.giveUp(r, now, QueueTimeout)
		return
	}
	r.parked, b.parked = true, append(b.parked, r)
	if !r.waited { // once: parked again it has the time that it had
		r.waited = true
		b.host.StartTimer(min(left-b.set.Tick, most), timerExpire|uint64(r.ID))
	}
	if !b.looks { // they look for a server again soon: a cold one may take more by then
		b.looks = true
		b.host.StartTimer(b.lookAgain(), timerParked)
	}
}

func (b *Balancer) unpark(now time.Duration) {
	held := b.parked
	b.parked = nil
	for _, r := range held {
		r.parked = false
		if !r.ended {
			b.try(r, now)
		}
	}
}

// next gives the room that an answer leaves to the oldest that waits, while all are served in a moment.
// Where that takes longer not all can be in time: then to the youngest, which still can, of the worthiest.
func (b *Balancer) next(now time.Duration) {
	for n := len(b.parked); n > 0; n = len(b.parked) {
		at := 0
		if float64(n) >= 2*b.doing(now)*b.lookAgain().Seconds() {
			at = b.lastWorthy()
		}
		r := b.parked[at]
		if !r.ended {
			b.try(r, now) // it keeps its place if none takes it
		}
		if !r.ended && r.out == 0 {
			return
		}
		b.parked, r.parked = slices.Delete(b.parked, at, at+1), false
	}
}

// giveUp ends a request that is not sent again. While an attempt is out it waits for that instead.
func (b *Balancer) giveUp(r *request, now time.Duration, why Reason) {
	if r.ended || r.out > 0 && b.left(r, now) > b.set.Tick {
		return
	}
	b.end(r)
	if r.out == 0 && b.mayRefuse(r) {
		b.host.Reject(r.ID, b.retryAfter(), why)
	} else {
		b.host.Fail(r.ID, why)
	}
	b.cancelOut(r)
	b.forget(r)
}

// mayRefuse keeps the second rule: a refusal says that nothing has run, or that a repeat would be dropped.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.set.Classes[r.Class]
	return r.mayRun == nil || c.Effect == Safe || c.Effect == Keyed && c.DedupScope == ScopeAll
}

// mayRepeat keeps the second rule: r may be sent again, to a server that pick finds in its group.
func (b *Balancer) mayRepeat(r *request, now time.Duration) bool {
	c := &b.set.Classes[r.Class]
	if r.ended || len(r.attempts) >= b.set.Limits.MaxAttempts || r.out > 0 && !b.set.Limits.Hedging {
		return false
	}
	// An attempt that is out may have run, whatever it turns out to be.
	if r.out == 0 && r.mayRun == nil {
		return true
	}
	return c.Effect == Safe || c.Effect == Keyed && r.mayRun != nil && now < r.mayRunAt+c.DedupWindow-2*b.set.Tick
}

// end marks the final answer. Nothing is sent for r from here on.
func (b *Balancer) end(r *request) {
	if !r.ended {
		r.ended = true
		b.leave(r)
	}
}

// forget drops r when nothing more can come for it.
func (b *Balancer) forget(r *request) {
	if r.ended && r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) AttemptDone(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].over {
		return
	}
	a := r.attempts[o.Attempt]
	a.over = true
	r.out--
	a.server.arrived(a)
	b.learn(r, a, o, now)
	defer b.next(now)
	free := o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent // it never ran
	if o.Status != OK && !free && (r.mayRun == nil || a.sent < r.mayRunAt) {
		r.mayRun, r.mayRunAt = a.server, a.sent
	}
	if o.Final || o.Status == OK {
		if !r.ended && o.Status != Declined {
			b.done(r, now)
		}
		b.end(r)
		b.cancelOut(r)
		b.forget(r)
		return
	}
	if r.ended {
		b.forget(r)
		return
	}
	// What never ran goes out again at once, what was withdrawn has paid; the rest asks the retry budget.
	free = free || o.Status == Cancelled
	switch {
	case b.left(r, now) <= b.set.Tick:
		b.giveUp(r, now, TooLate)
	case len(r.attempts) >= b.set.Limits.MaxAttempts:
		b.giveUp(r, now, AttemptsSpent)
	case !b.mayRepeat(r, now):
		b.giveUp(r, now, NotRetriable)
	case !free && !b.spendRetry():
		b.giveUp(r, now, NoRetryBudget)
	default:
		b.try(r, now)
	}
}

// cancelOut withdraws what is still out of a request that is over.
func (b *Balancer) cancelOut(r *request) {
	for i, a := range r.attempts {
		if !a.over && b.set.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// First takes the start of a stream: the attempt is the client's from here on.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, server EndpointID, attempt int, lag time.Duration) {
	r := b.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	b.end(r)
	r.attempts[attempt].due, r.attempts[attempt].slow = math.MaxInt64, math.MaxInt64
}

// GoneClient takes the news that the client has left; nothing is owed to it any more.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.end(r)
		b.cancelOut(r)
		b.forget(r)
	}
}

// Timer takes a timer that the Balancer asked for.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	r := b.requests[RequestID(token)]
	switch token & timerKind {
	case timerPhase:
		b.phase(now)
	case timerWatch:
		if b.set.PollDiscovery && !b.watching {
			b.host.Watch()
		}
	case timerParked:
		b.looks = false
		b.unpark(now)
	case timerExpire:
		if r != nil && r.out == 0 {
			b.giveUp(r, now, QueueTimeout)
		}
	case timerOverdue:
		n := int(token >> 32 & 0xffff)
		if r != nil && !r.ended && n == len(r.attempts)-1 && !r.attempts[n].over {
			b.overdue(r, n, now)
		}
	}
}

// overdue answers an attempt that takes far longer than its class does: it counts against its server, and a
// second copy may go out where allowed. It is withdrawn and sent again only from a server on trial: elsewhere
// most late answers come, and the work would run twice. Both ask the retry budget.
func (b *Balancer) overdue(r *request, n int, now time.Duration) {
	c := &b.set.Classes[r.Class]
	r.attempts[n].judged = true
	b.judge(r.attempts[n].server, 1, now)
	b.leave(r)
	r.late = true
	if c.Effect != Safe || b.left(r, now) < b.classes[r.Class].mean(c) {
		return
	}
	if b.mayRepeat(r, now) {
		if b.spendRetry() {
			b.try(r, now)
		}
	} else if b.set.Limits.Cancel && r.attempts[n].server.trial && n+1 < b.set.Limits.MaxAttempts &&
		b.spendRetry() {
		b.host.Cancel(r.ID, n)
	}
}
