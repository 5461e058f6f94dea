package transport

import (
	"errors"
	"log/slog"
	"syscall"
	"time"
)

const (
	firstAcceptPause = 5 * time.Millisecond  // after accept has failed, doubled each time,
	mostAcceptPause  = 50 * time.Millisecond // up to this: clients wait in the system's queue meanwhile
)

// acceptFailure is a stretch in which a listener cannot be accepted from. Its first failure is logged, and its end.
type acceptFailure struct {
	count int
	since time.Time
	pause time.Duration
}

// failed takes a failure and waits. A client that has gone before it was accepted is none.
func (a *acceptFailure) failed(err error, log *slog.Logger) {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return
	}
	if a.count++; a.count == 1 {
		a.since, a.pause = time.Now(), firstAcceptPause
		log.Error("accept fails", "error", err)
	}
	time.Sleep(a.pause)
	a.pause = min(2*a.pause, mostAcceptPause)
}

// over takes a connection that was accepted.
func (a *acceptFailure) over(log *slog.Logger) {
	if a.count > 0 {
		log.Info("accept works again", "failures", a.count, "after", time.Since(a.since).Round(time.Millisecond))
		a.count = 0
	}
}
