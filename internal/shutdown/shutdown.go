// Package shutdown says how long the stop of a process may last. Every program that serves requests asks it.
//
// After SIGTERM the platform waits before it kills the process: as long as the longest deadline of a class, or maxKillDelay if
// that is shorter, plus 0.7 s. What the process has received and not answered by then is lost.
package shutdown

import "time"

const (
	maxKillDelay = 3 * time.Second
	margin       = 500 * time.Millisecond // 0.2 s before the process may be killed
)

// Limits are the times, from the signal to stop, by which requests have their answers.
type Limits struct {
	LaterRequests   time.Duration // of requests that are received after the signal
	EarlierRequests time.Duration // of requests that were received before it, which keep their deadlines up to this
}

// LimitsFor returns the limits of a process whose classes have at most the given deadline.
func LimitsFor(maxDeadline time.Duration) Limits {
	return Limits{LaterRequests: min(maxDeadline, maxKillDelay) + margin, EarlierRequests: maxDeadline + margin}
}
