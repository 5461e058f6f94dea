package routing

import (
	"time"

	"kitewood/balance"
)

// Succeed has the Loop take the place of another, which takes nothing new and still ends what is open in it. A key that is
// open there is open here, too: a client that sends its operation again must not have it out twice. It is called before
// the first operation comes.
func (l *Loop) TakeOver(before *Loop) { l.before.Store(before) }

// Inherit hands a Loop that does not run yet the endpoint list of the one whose place it will take: what that one knows must
// not be learnt anew while requests wait. It tells whether the other answered within a time.
func (l *Loop) InheritEndpoints(before *Loop, within time.Duration) bool {
	type list struct {
		index   int64
		members []Member
	}
	answer := make(chan list, 1)
	until := before.Now() + within
	if !before.postUntil(func() { before.looked = true; answer <- list{before.pool.index, before.pool.members()} }, until) {
		return false
	}
	left := time.NewTimer(until - before.Now())
	defer left.Stop()
	select {
	case known := <-answer:
		l.UpdateEndpoints(balance.Cached, known.index, known.members)
		return true
	case <-left.C:
	case <-before.done:
	}
	return false
}

// members are the destinations as they were last told.
func (p *pool) members() []Member {
	out := make([]Member, 0, len(p.byName))
	for _, d := range p.byName {
		out = append(out, d.member)
	}
	return out
}

// predecessor is the Loop whose place this one has taken, while that one runs.
func (l *Loop) predecessor() *Loop {
	before := l.before.Load()
	if before == nil {
		return nil
	}
	select {
	case <-before.done:
		l.before.Store(nil)
		return nil
	default:
		return before
	}
}

// admitAfter runs on a predecessor's goroutine, and has this Loop take the operation unless its key is open there, or at
// that one's own predecessor.
func (l *Loop) admitAfter(before *Loop, op *Request) {
	if before.keys[op.Key] != nil {
		l.hand(func() { l.answer(op, Answer{Verdict: Duplicate}) })
		return
	}
	older := before.predecessor()
	switch {
	case older == nil:
		l.hand(func() { l.admit(op) })
	case older.Stuck() || !older.postUntil(func() { l.admitAfter(older, op) }, 0):
		l.hand(func() { l.answer(op, Answer{Verdict: Rejected}) }) // whether the key is open there cannot be known
	}
}

// hand posts an event for somebody who must not wait for the Loop.
func (l *Loop) hand(event func()) {
	if !l.postUntil(event, 0) {
		go l.post(event)
	}
}
