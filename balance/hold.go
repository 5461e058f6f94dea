package balance

import (
	"fmt"
	"time"
)

// sendPause says from when on nothing is sent: the list of servers is older then than a change of it
// may be and still not count as told. What comes then waits in the queue for as long as any request may.
type sendPause struct {
	from  time.Duration // 0 for never
	noted bool          // the people on call know that it has begun
}

// Hold takes from when on nothing is sent unless the list is renewed; it replaces the last such word.
func (b *Balancer) SetLeaseExpiry(now, from time.Duration) {
	was := b.pause
	b.pause = sendPause{from: from, noted: was.noted}
	if !was.noted || now >= from {
		return
	}
	b.pause.noted = false
	b.host.Log(fmt.Sprintf("the list of servers is renewed %v after requests were held back for it",
		(now - was.from).Round(time.Millisecond)))
	b.unpark(now)
}

// paused tells whether nothing is sent now.
func (b *Balancer) paused(now time.Duration) bool {
	if now < b.pause.from || b.pause.from == 0 {
		return false
	}
	if !b.pause.noted {
		b.pause.noted = true
		b.host.Log("requests are held back: the list of servers is too old")
	}
	return true
}
