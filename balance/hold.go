package balance

import (
	"fmt"
	"time"
)

// sendPause is a stretch of time in which nothing is sent: the list of servers is older than a change of it
// may be and still not count as told. What comes then waits in the queue for as long as any request may.
type sendPause struct {
	from, to time.Duration
	noted    bool // the people on call know that it has begun,
	expired  bool // and that it was given up
}

// Hold takes between which times nothing is sent unless the list is renewed; it replaces the last such word.
func (b *Balancer) Hold(now, from, to time.Duration) {
	was := b.pause
	b.pause = sendPause{from: from, to: to, noted: was.noted, expired: was.expired && now >= to}
	if !was.noted || now >= from {
		return
	}
	b.pause.noted, b.pause.expired = false, false
	b.host.Log(fmt.Sprintf("the list of servers is renewed %v after requests were held back for it",
		(now - was.from).Round(time.Millisecond)))
	b.unpark(now)
}

// paused tells whether nothing is sent now.
func (b *Balancer) paused(now time.Duration) bool {
	if now < b.pause.from || b.pause.to == 0 {
		return false
	}
	if now >= b.pause.to {
		if !b.pause.expired {
			b.pause.expired = true
			b.host.Log("requests are sent by an old list of servers: it was not renewed for too long")
		}
		return false
	}
	if !b.pause.noted {
		b.pause.noted = true
		b.host.Log("requests are held back: the list of servers is too old")
	}
	return true
}
