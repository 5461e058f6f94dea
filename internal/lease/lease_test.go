package lease

import (
	"testing"
	"time"
)

// step is one event of a story, and the time from which requests are held back after it.
type step struct {
	what string
	at   float64 // seconds
	arg  int     // generation of heard, seconds since the call's begin of unreachable
	from float64
}

// Stories of one subscription, event by event: what renews the lease, and what shortens it.
func TestLease(t *testing.T) {
	asked, pushed := PullRules(500*time.Millisecond), PushRules(500*time.Millisecond)
	const g = 0.33 // grace less the margin
	for name, story := range map[string]struct {
		rules Rules
		steps []step
	}{
		"a watch that beats renews it":       {asked, []step{{"heard", 1, 0, 7 + g}, {"heard", 3, 0, 9 + g}}},
		"a process that starts in an outage": {asked, []step{{"failed", 3, 0, 9 + g}, {"failed", 6, 0, 12 + g}, {"failed", 9, 0, 12.5 + g}}},
		"a call that fails renews nothing":   {asked, []step{{"heard", 1, 0, 7 + g}, {"failed", 4, 3, 7 + g}, {"failed", 8, 3, 7 + g}}},
		"after the break of a watch it is an outage, for 6.5 s": {asked, []step{{"heard", 1, 0, 7 + g}, {"broken", 2, 0, 7 + g}, {"failed", 5, 0, 11 + g},
			{"failed", 8, 0, 14 + g}, {"failed", 13, 0, 14.5 + g}, {"failed", 30, 0, 14.5 + g}}},
		"a second break is not a later one": {asked, []step{{"heard", 1, 0, 7 + g}, {"broken", 2, 0, 7 + g}, {"broken", 9, 0, 7 + g},
			{"failed", 14, 0, 14.5 + g}}},
		"a refusal shows that it was none": {asked, []step{{"heard", 1, 0, 7 + g}, {"broken", 2, 0, 7 + g}, {"failed", 5, 0, 11 + g},
			{"refused", 6, 0, 7 + g}, {"failed", 9, 3, 7 + g}}},
		"a list ends the outage": {asked, []step{{"broken", 2, 0, 6 + g}, {"failed", 5, 0, 11 + g}, {"heard", 6, 0, 12 + g}, {"failed", 10, 2, 12 + g}}},
		"the break of a watch of the old discovery says nothing of the new one": {asked, []step{{"broken", 2, 0, 6 + g}, {"moved", 3, 0, 6 + g},
			{"failed", 7, 3, 6 + g}}},
		"an ended watch shortens it until a call is answered or refused": {asked, []step{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g},
			{"failed", 5, 3, 4 + g}, {"refused", 7, 0, 7 + g}}},
		"discovery out of reach renews it from the call's begin": {asked, []step{{"unreachable", 4, 3, 7 + g},
			{"unreachable", 8, 3, 11 + g}}},
		"a refusal renews nothing":               {asked, []step{{"refused", 3, 0, 6 + g}, {"refused", 5, 0, 6 + g}}},
		"an ended watch shortens it":             {asked, []step{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"heard", 5, 0, 11 + g}}},
		"only until the next call is refused":    {asked, []step{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"refused", 3, 0, 7 + g}}},
		"a second end is not a later one":        {asked, []step{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 4 + g}, {"ended", 3, 0, 4 + g}}},
		"pushed: what the agent has counts then": {pushed, []step{{"heard", 1, 0, 7 + g}, {"ended", 2, 0, 2 + g}}},
		"a reload is not confirmed by the old discovery": {asked, []step{{"heard", 1, 0, 7 + g}, {"moved", 2, 0, 7 + g}, {"heard", 5, 0, 8 + g},
			{"heard", 7, 1, 13 + g}}},
		"reloads in a row count from the first that is not confirmed": {asked, []step{{"moved", 1, 0, 6 + g}, {"heard", 2, 0, 7 + g},
			{"moved", 3, 0, 7 + g}, {"heard", 4, 1, 9 + g}, {"heard", 5, 2, 11 + g}}},
		"pushed: a reload counts sooner":               {pushed, []step{{"heard", 1, 0, 7 + g}, {"moved", 2, 0, 6 + g}, {"heard", 3, 0, 6 + g}}},
		"a reload to a discovery that is out of reach": {pushed, []step{{"moved", 2, 0, 6 + g}, {"unreachable", 6, 3, 7 + g}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(story.rules, 0)
			for i, s := range story.steps {
				at := time.Duration(s.at * float64(time.Second))
				switch s.what {
				case "heard":
					l.Confirm(at, s.arg)
				case "broken":
					l.RecordBrokenWatch(at)
				case "failed":
					l.RecordFailedCall(at)
				case "unreachable":
					l.RecordUnreachable(at - time.Duration(s.arg)*time.Second)
				case "refused":
					l.RecordRefusedCall()
				case "ended":
					l.RecordEndedWatch(at)
				case "moved":
					l.AddressChanged(at)
				}
				from := l.ExpiresAt()
				if d := from - time.Duration(s.from*float64(time.Second)); d > time.Microsecond || d < -time.Microsecond {
					t.Errorf("step %d, %s at %v: held from %v, want from %v", i, s.what, at, from, s.from)
				}
			}
		})
	}
}
