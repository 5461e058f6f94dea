package load

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// pacer waits for points in time. The Go runtime waits for its timers in whole milliseconds while nothing else runs, which
// would make every other send half a millisecond late. The last part of a wait therefore uses a timerfd, whose expiry
// arrives through the network poller like any other read.
type pacer struct {
	timer *os.File // a timerfd; nil if the system has none
}

// fineWait is the last part of a wait, for which Go's timers are too coarse.
const fineWait = 2 * time.Millisecond

func newPacer() *pacer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &pacer{}
	}
	return &pacer{os.NewFile(uintptr(fd), "timer")}
}

func (p *pacer) close() {
	if p.timer != nil {
		p.timer.Close()
	}
}

// waitUntil waits until at. It returns false if ctx ends first.
func (p *pacer) waitUntil(ctx context.Context, at time.Time) bool {
	for {
		wait := time.Until(at)
		switch {
		case ctx.Err() != nil:
			return false
		case wait <= 0:
			return true
		case wait > fineWait:
			timer := time.NewTimer(wait - fineWait*3/4)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
			}
		case !p.sleepOnTimerfd(wait):
			time.Sleep(wait)
		}
	}
}

// sleepOnTimerfd sleeps for d on the timerfd. It returns false if that is not possible.
func (p *pacer) sleepOnTimerfd(d time.Duration) bool {
	if p.timer == nil {
		return false
	}
	raw, err := p.timer.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		err = unix.TimerfdSettime(int(fd), 0, &unix.ItimerSpec{Value: unix.NsecToTimespec(max(int64(d), 1))}, nil)
	})
	if err != nil {
		return false
	}
	var expirations [8]byte
	_, err = p.timer.Read(expirations[:])
	return err == nil
}
