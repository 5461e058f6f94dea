package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// AcceptBlocker makes a listener behave like one on an unreachable host. It sets the listener's accept queue to the minimum
// length and fills it with connections, so that the kernel silently drops further connection attempts.
type AcceptBlocker struct {
	mu       sync.Mutex
	queued   []net.Conn // connections that fill the accept queue
	released bool
}

// NewAcceptBlocker blocks a listener, which accepts no connections from then on. The goroutine that it starts is added to tasks.
func NewAcceptBlocker(ln *net.TCPListener, tasks *sync.WaitGroup) *AcceptBlocker {
	b := &AcceptBlocker{}
	ln.SetDeadline(time.Unix(1, 0)) // ends a blocked Accept; later connections stay in the queue
	if raw, err := ln.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	tasks.Go(func() {
		for range 64 {
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
			cancel()
			if err != nil {
				return
			}
			b.mu.Lock()
			if b.queued = append(b.queued, c); b.released {
				c.Close()
			}
			b.mu.Unlock()
		}
	})
	return b
}

// Release closes the connections that fill the queue. The owner closes the listener, which resets everything still queued.
func (b *AcceptBlocker) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	for _, c := range b.queued {
		c.Close()
	}
}
