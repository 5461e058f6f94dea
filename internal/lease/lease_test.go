package lease

import (
	"testing"
	"time"
)

// testEvent is one event, and the time at which the lease expires after it.
type testEvent struct {
	kind    string
	at      float64 // seconds
	arg     int     // generation of heard, seconds since the call began of unreachable
	expires float64 // seconds
}

// TestLease plays sequences of events of one subscription and checks what renews the lease and what shortens it.
func TestLease(t *testing.T) {
	pull, push := PullRules(500*time.Millisecond), PushRules(500*time.Millisecond)
	const g = 0.33 // grace less the margin
	for name, test := range map[string]struct {
		rules  Rules
		events []testEvent
	}{
		"heartbeats of a watch renew it":               {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"heard", 3, 0, 9 + g}}},
		"a process whose calls fail from its start on": {pull, []testEvent{{"failed", 3, 0, 6 + g}, {"failed", 6, 0, 6 + g}}},
		"a failed call renews nothing":                 {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"failed", 4, 3, 7 + g}, {"failed", 8, 3, 7 + g}}},
		"a failed call after a broken watch renews nothing": {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"broken", 2, 0, 7 + g}, {"failed", 5, 0, 7 + g},
			{"refused", 6, 0, 7 + g}, {"failed", 8, 0, 7 + g}, {"heard", 9, 0, 15 + g}}},
		"a failed call after a broken watch of the old address renews nothing": {pull, []testEvent{{"broken", 2, 0, 6 + g}, {"moved", 3, 0, 6 + g},
			{"failed", 7, 3, 6 + g}}},
		"an ended watch shortens it until a call is answered or refused at once": {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g},
			{"failed", 5, 3, 4 + g}, {"refused", 7, 0, 7 + g}}},
		"unreachable discovery renews it from the beginning of the call": {pull, []testEvent{{"unreachable", 4, 3, 7 + g},
			{"unreachable", 8, 3, 11 + g}}},
		"a refused call renews nothing":                 {pull, []testEvent{{"refused", 3, 0, 6 + g}, {"refused", 5, 0, 6 + g}}},
		"an ended watch shortens it":                    {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"heard", 5, 0, 11 + g}}},
		"an ended watch until the next call is refused": {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"refused", 3, 0, 7 + g}}},
		"a second end does not extend it":               {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"ended", 3, 0, 4 + g}}},
		"push: an ended watch counts at once":           {push, []testEvent{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 2 + g}}},
		"a reload is not confirmed by the old address": {pull, []testEvent{{"heard", 1, 0, 7 + g}, {"moved", 2, 0, 6 + g}, {"heard", 5, 0, 6 + g},
			{"heard", 7, 1, 13 + g}}},
		"consecutive reloads count from the first unconfirmed one": {pull, []testEvent{{"moved", 1, 0, 5 + g}, {"heard", 2, 0, 5 + g},
			{"moved", 3, 0, 5 + g}, {"heard", 4, 1, 7 + g}, {"heard", 5, 2, 11 + g}}},
		"push: a reload counts alike":        {push, []testEvent{{"heard", 1, 0, 7 + g}, {"moved", 2, 0, 6 + g}, {"heard", 3, 0, 6 + g}}},
		"a reload to an unreachable address": {push, []testEvent{{"moved", 2, 0, 6 + g}, {"unreachable", 6, 3, 7 + g}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(test.rules, 0)
			for i, event := range test.events {
				at := time.Duration(event.at * float64(time.Second))
				switch event.kind {
				case "heard":
					l.Confirm(at, event.arg)
				case "broken":
					l.RecordBrokenWatch()
				case "failed":
					l.RecordFailedCall()
				case "unreachable":
					l.RecordUnreachable(at - time.Duration(event.arg)*time.Second)
				case "refused":
					l.RecordRefusedCall()
				case "ended":
					l.RecordEndedWatch(at)
				case "moved":
					l.AddressChanged(at)
				}
				expires := l.ExpiresAt()
				if d := expires - time.Duration(event.expires*float64(time.Second)); d > time.Microsecond || d < -time.Microsecond {
					t.Errorf("event %d, %s at %v: lease expires at %v, want %v s", i, event.kind, at, expires, event.expires)
				}
			}
		})
	}
}
