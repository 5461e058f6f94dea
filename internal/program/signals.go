package program

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"time"

	"kitewood/internal/yamlfile"
)

// untilSecondSignal returns a context for the drain that is done at a second signal to stop.
func untilSecondSignal(ctx context.Context, signals <-chan os.Signal, log *slog.Logger) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				if s == syscall.SIGHUP {
					continue
				}
				log.Info("second signal: open requests are answered as failed", "signal", s.String())
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// A configuration that is invalid at SIGHUP may be only partly written. It is read again with exponential backoff until it is
// valid.
const (
	initialReloadDelay = 100 * time.Millisecond // doubled after each retry
	maxReloadDelay     = time.Second            // upper bound of the delay
	maxReloadRetries   = 12                     // about 9 s in total
)

// waitForStop waits for a signal to stop or the end of the context. It calls reload on each SIGHUP, and again while that fails.
func waitForStop(ctx context.Context, signals chan os.Signal, log *slog.Logger, pending func() int, reload func() error) {
	retryTimer := time.NewTimer(time.Hour)
	defer retryTimer.Stop()
	delay, retriesLeft, lastError := initialReloadDelay, 0, ""
	tryReload := func() {
		err := reload()
		if err == nil {
			retriesLeft = 0
			return
		}
		// A partly written or invalid file must not end a sidecar that serves.
		if text := yamlfile.OneLine(err); text != lastError {
			lastError = text
			log.Error("the configuration is not taken, the old one stays", "error", text, "reread", retriesLeft > 0)
		}
		if retriesLeft > 0 {
			retryTimer.Reset(delay)
			delay = min(2*delay, maxReloadDelay)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("stopping", "signal", s.String(), "owed", pending())
				return
			}
			delay, retriesLeft, lastError = initialReloadDelay, maxReloadRetries, ""
			retryTimer.Stop()
			tryReload()
		case <-retryTimer.C:
			if retriesLeft > 0 {
				retriesLeft--
				tryReload()
			}
		}
	}
}
