package shutdown

import (
	"testing"
	"time"
)

// What is received after the signal is answered before the process may be killed, however long the deadlines of its classes are.
func TestLaterRequestsAreAnsweredBeforeTheKill(t *testing.T) {
	for _, maxDeadline := range []time.Duration{0, 400 * time.Millisecond, 3 * time.Second, 6 * time.Second, time.Hour} {
		limits := LimitsFor(maxDeadline)
		killedAt := min(maxDeadline, 3*time.Second) + 700*time.Millisecond
		if left := killedAt - limits.LaterRequests; left < 200*time.Millisecond {
			t.Errorf("deadline %v: the last answer comes %v before the process may be killed, want at least 200ms", maxDeadline, left)
		}
		if limits.EarlierRequests < maxDeadline || limits.EarlierRequests < limits.LaterRequests {
			t.Errorf("deadline %v: earlier requests have %v", maxDeadline, limits.EarlierRequests)
		}
	}
}
