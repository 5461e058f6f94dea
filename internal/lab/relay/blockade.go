package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Blockade makes a listener look like a machine that is cut off: the queue of connections that nobody accepts is made
// as short as it goes and filled, so the system drops further attempts to connect without a word.
type AcceptBlocker struct {
	mu     sync.Mutex
	full   []net.Conn
	lifted bool
}

// NewBlockade blocks a listener, which takes no connection any more. What it starts is counted in tasks.
func NewAcceptBlocker(ln *net.TCPListener, tasks *sync.WaitGroup) *AcceptBlocker {
	b := &AcceptBlocker{}
	ln.SetDeadline(time.Unix(1, 0)) // ends its Accept; connections queue from here on
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
			if b.full = append(b.full, c); b.lifted {
				c.Close()
			}
			b.mu.Unlock()
		}
	})
	return b
}

// Lift lets the fillers go; the listener is closed by its owner, which resets whatever queued.
func (b *AcceptBlocker) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lifted = true
	for _, c := range b.full {
		c.Close()
	}
}
