package transport

import (
	"errors"
	"log/slog"
	"syscall"
	"time"
)

// The delay after a failed accept starts at minAcceptDelay and doubles with each further failure up to maxAcceptDelay. New
// clients wait in the kernel's accept queue meanwhile.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 50 * time.Millisecond
)

// acceptBackoff delays and logs a run of consecutive accept failures. Only the first failure and the recovery are logged.
type acceptBackoff struct {
	failures int
	since    time.Time
	delay    time.Duration
}

// onError records a failed accept and sleeps for the current delay. A client that disconnected before it was accepted, or an
// interrupted call, does not count as a failure.
func (a *acceptBackoff) onError(err error, log *slog.Logger) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return
	}
	if a.failures++; a.failures == 1 {
		a.since, a.delay = time.Now(), minAcceptDelay
		log.Error("accepting client connections failed; retrying with backoff", "error", err)
	}
	time.Sleep(a.delay)
	a.delay = min(2*a.delay, maxAcceptDelay)
}

// onSuccess records an accepted connection and ends a run of failures.
func (a *acceptBackoff) onSuccess(log *slog.Logger) {
	if a.failures > 0 {
		log.Info("accepting client connections recovered", "failures", a.failures, "after", time.Since(a.since).Round(time.Millisecond))
		a.failures = 0
	}
}
