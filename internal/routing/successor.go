package routing

import (
	"time"

	"kitewood/balance"
)

// TakeOver makes the Loop the successor of another one, which accepts no new requests but completes those that are open in
// it. A key that is open in the predecessor counts as open here, too, so that a client's retry is not sent while the original
// is in flight, and so does one whose answer the predecessor could not deliver. It must be called before the Loop runs.
func (l *Loop) TakeOver(prev *Loop) {
	l.previous.Store(prev)
	l.undelivered = prev.undelivered
}

// InheritEndpoints gives a Loop that is not running yet the endpoint list of its future predecessor, so that requests need not
// wait for discovery. It reports whether the predecessor answered within the timeout.
func (l *Loop) InheritEndpoints(prev *Loop, timeout time.Duration) bool {
	type list struct {
		index   int64
		members []Member
	}
	reply := make(chan list, 1)
	deadline := prev.Now() + timeout
	if !prev.postUntil(func() { prev.readOnly = true; reply <- list{prev.endpoints.index, prev.endpoints.members()} }, deadline) {
		return false
	}
	expiryTimer := time.NewTimer(deadline - prev.Now())
	defer expiryTimer.Stop()
	select {
	case known := <-reply:
		l.UpdateEndpoints(balance.Cached, known.index, known.members)
		return true
	case <-expiryTimer.C:
	case <-prev.done:
	}
	return false
}

// members returns the latest list entry of each endpoint.
func (t *endpointTable) members() []Member {
	members := make([]Member, 0, len(t.byName))
	for _, ep := range t.byName {
		members = append(members, ep.member)
	}
	return members
}

// predecessor returns the Loop that this one has taken over from, or nil once that one has stopped.
func (l *Loop) predecessor() *Loop {
	prev := l.previous.Load()
	if prev == nil {
		return nil
	}
	select {
	case <-prev.done:
		l.previous.Store(nil)
		return nil
	default:
		return prev
	}
}

// admitUnlessOpenIn runs on a predecessor's goroutine. It admits a request to this Loop unless its key is open, or may be open,
// in the predecessor or in an earlier predecessor.
func (l *Loop) admitUnlessOpenIn(prev *Loop, req *Request) {
	if prev.requestsByKey[req.Key] != nil {
		l.postAsync(func() { l.answer(req, Answer{Verdict: Duplicate}) })
		return
	}
	older := prev.predecessor()
	switch {
	case older == nil:
		l.postAsync(func() { l.admit(req) })
	case older.Stuck() || !older.postUntil(func() { l.admitUnlessOpenIn(older, req) }, 0):
		l.failAsPossiblyOpen(req)
	}
}

// failAsPossiblyOpen answers a request whose key may be open in a predecessor that does not respond. A copy of the request may
// have run there, so the answer must not state that a retry is safe.
func (l *Loop) failAsPossiblyOpen(req *Request) {
	l.postAsync(func() { l.answer(req, Answer{Verdict: Failed}) })
}

// postAsync enqueues an event without waiting for the Loop.
func (l *Loop) postAsync(event func()) {
	if !l.postUntil(event, 0) {
		go l.post(event)
	}
}
