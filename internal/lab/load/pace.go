package load

import (
	"context"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// pacer waits for points in time. Go's own timers are waited for in whole milliseconds while nothing else runs, which
// would make every other send late by half of one; the last stretch is waited for on a timer of the system instead, whose
// end shows like that of any other read.
type pacer struct {
	timer *os.File // nil where the system has none
}

// fine is the stretch before a point in time that is not left to Go's timers.
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

// until waits for a time; false if ctx ended first.
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
	var ends [8]byte
	_, err = p.timer.Read(ends[:])
	return err == nil
}
