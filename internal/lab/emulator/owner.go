package emulator

import (
	"sync"
	"time"
)

// owner is a goroutine that owns a state: what is posted runs on it, in order, and wake runs when the state asks for it.
type owner struct {
	events chan func()
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
}

// newOwner starts a goroutine; wake handles what is due and tells when to run again (a negative wait: only after an
// event).
func newOwner(wake func() time.Duration) *owner {
	o := &owner{events: make(chan func(), 256), quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		timer := time.NewTimer(time.Hour)
		defer timer.Stop()
		for {
			if wait := wake(); wait >= 0 {
				timer.Reset(wait)
			} else {
				timer.Reset(time.Hour)
			}
			select {
			case f := <-o.events:
				f()
			case <-timer.C:
			case <-o.quit:
				return
			}
		}
	}()
	return o
}

// post hands f to the owner; false if it has stopped.
func (o *owner) post(f func()) bool {
	select {
	case o.events <- f:
		return true
	case <-o.done:
		return false
	}
}

// do runs f on the owner and waits for it; false if it has stopped.
func (o *owner) do(f func()) bool {
	ran := make(chan struct{})
	if !o.post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-o.done:
		return false
	}
}

func (o *owner) stop() {
	o.once.Do(func() { close(o.quit) })
	<-o.done
}
