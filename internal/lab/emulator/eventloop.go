package emulator

import (
	"sync"
	"time"
)

// eventLoop is a goroutine that owns a state: posted functions run on it in order, and the state's wake function runs after
// each of them and when its timer expires.
type eventLoop struct {
	events chan func()
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
}

// newEventLoop starts an event loop. wake handles what is due and returns the delay until it has to run again; a negative
// delay means only after the next event.
func newEventLoop(wake func() time.Duration) *eventLoop {
	l := &eventLoop{events: make(chan func(), 256), quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		timer := time.NewTimer(time.Hour)
		defer timer.Stop()
		for {
			if wait := wake(); wait >= 0 {
				timer.Reset(wait)
			} else {
				timer.Reset(time.Hour)
			}
			select {
			case f := <-l.events:
				f()
			case <-timer.C:
			case <-l.quit:
				return
			}
		}
	}()
	return l
}

// post queues f on the event loop; it returns false if the loop has stopped.
func (l *eventLoop) post(f func()) bool {
	select {
	case l.events <- f:
		return true
	case <-l.done:
		return false
	}
}

// do runs f on the event loop and waits for it; it returns false if the loop has stopped.
func (l *eventLoop) do(f func()) bool {
	ran := make(chan struct{})
	if !l.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

func (l *eventLoop) stop() {
	l.once.Do(func() { close(l.quit) })
	<-l.done
}
