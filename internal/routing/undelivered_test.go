package routing

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// Keys are remembered for their time, and of too many the newest; what was forgotten early is counted.
func TestUndeliveredKeysAreBounded(t *testing.T) {
	u := newUndeliveredKeys()
	for n := range maxUndeliveredKeys + 10 {
		u.record(time.Duration(n), fmt.Sprint(n))
	}
	if u.contains(time.Second, "9") || !u.contains(time.Second, "10") || u.forgotten() != 10 || len(u.oldest) != maxUndeliveredKeys {
		t.Errorf("the tenth key is remembered: %v, the eleventh: %v; %d forgotten, %d kept", u.contains(time.Second, "9"), u.contains(time.Second, "10"),
			u.forgotten(), len(u.oldest))
	}
	if u.contains(2*undeliveredRetention, "10") || len(u.until)+len(u.oldest) > 0 {
		t.Errorf("%d keys are left after their time", len(u.until))
	}
}

// A successor does not send a request again that may have run in its predecessor and whose client disconnected there.
func TestSuccessorKnowsUndeliveredKeys(t *testing.T) {
	previous, network := start(t, limits)
	next, nextNetwork := start(t, limits)
	next.TakeOver(previous)
	first := &Request{Key: "k", Deadline: previous.Now() + time.Minute, Done: func(Answer) {}}
	previous.Submit(first)
	<-network.sent
	previous.Abandon(first)
	(<-network.done)(Result{Err: &AttemptError{FullyWritten, context.Canceled}})
	waitForEvents(previous)
	answers := make(chan Answer, 1)
	next.Submit(&Request{Key: "k", Deadline: next.Now() + time.Minute, Done: func(a Answer) { answers <- a }})
	if a := <-answers; a.Verdict != Failed || len(nextNetwork.sent) > 0 {
		t.Errorf("answered %+v, %d attempts, want Failed and none", a, len(nextNetwork.sent))
	}
}
