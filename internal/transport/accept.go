package transport

import (
	"log/slog"
	"time"

	"kitewood/internal/errnoclass"
)

// The delay after a failed accept starts at minAcceptDelay and doubles with each further failure up to maxAcceptDelay. New
// clients wait in the kernel's accept queue meanwhile.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 50 * time.Millisecond
)

// maxImmediateAccepts is how often in a row accept is repeated at once. Errors that concern one client do not go on for longer.
const maxImmediateAccepts = 16

// acceptLogInterval is the least time between two log entries about failures. At the limit of descriptors accept fails after each
// client that it lets in.
const acceptLogInterval = 10 * time.Second

// acceptBackoff delays and logs runs of consecutive accept failures. Of each run at most the first failure and the recovery are
// logged.
type acceptBackoff struct {
	immediate int           // repeats without a delay since the last success
	delay     time.Duration // after the next failure, 0 for minAcceptDelay
	failures  int           // since the last recovery that was logged
	since     time.Time     // when the first of them came
	logged    bool          // a failure was logged, and no recovery since
	loggedAt  time.Time     // when a failure was logged last
}

// onError records a failed accept and sleeps for the current delay. A client that disconnected before it was accepted, or an
// interrupted call, does not count as a failure.
func (a *acceptBackoff) onError(err error, log *slog.Logger) {
	if errnoclass.Of(errnoclass.Accept, err) == errnoclass.TryAgain && a.immediate < maxImmediateAccepts {
		a.immediate++
		return
	}
	if a.failures++; a.failures == 1 {
		a.since = time.Now()
	}
	if !a.logged && (a.loggedAt.IsZero() || time.Since(a.loggedAt) >= acceptLogInterval) {
		a.logged, a.loggedAt = true, time.Now()
		log.Error("accepting client connections failed; retrying with backoff", "error", err)
	}
	a.delay = max(a.delay, minAcceptDelay)
	time.Sleep(a.delay)
	a.delay = min(2*a.delay, maxAcceptDelay)
}

// onSuccess records an accepted connection and ends a run of failures.
func (a *acceptBackoff) onSuccess(log *slog.Logger) {
	a.immediate, a.delay = 0, 0
	if a.logged {
		log.Info("accepting client connections recovered", "failures", a.failures, "after", time.Since(a.since).Round(time.Millisecond))
		a.failures, a.logged = 0, false
	}
}
