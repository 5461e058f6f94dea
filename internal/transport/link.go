package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// task is one request on its way over a connection.
type task struct {
	done     func(routing.Result)
	deadline time.Time
	probe    bool
	written  atomic.Bool // its last byte is out: from here on it may have run

	mu    sync.Mutex
	over  bool
	after func() bool
}

// finish reports the end of the task, once.
func (t *task) finish(r routing.Result) {
	t.mu.Lock()
	over, after := t.over, t.after
	t.over = true
	t.mu.Unlock()
	if over {
		return
	}
	if after != nil {
		after()
	}
	t.done(r)
}

// onDone runs f when the task ends, or now if it has.
func (t *task) onDone(f func() bool) {
	t.mu.Lock()
	over := t.over
	t.after = f
	t.mu.Unlock()
	if over {
		f()
	}
}

// link is one connection to a destination. Its reader runs for as long as it stands, so the end of an idle
// connection is seen when it comes.
type link struct {
	home  *Destinations
	to    *routing.Destination
	conn  net.Conn
	since time.Time // idle since then

	mu      sync.Mutex
	machine protocol.Machine
	task    *task
	begun   bool // part of an answer has come
	dead    bool
	once    sync.Once
}

// begin gives an idle connection a task, if it still stands.
func (k *link) begin(t *task) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || k.task != nil || k.broken() {
		k.dead = true
		k.close()
		return false
	}
	k.task, k.begun = t, false
	k.conn.SetReadDeadline(t.deadline)
	return true
}

// broken guards against an idle connection that its peer has closed while the reader has not run yet: a request
// written to it would count as one that may have run.
func (k *link) broken() bool {
	raw, err := k.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		if n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n >= 0 && e == nil ||
			e != syscall.EAGAIN && e != syscall.EINTR {
			k.dead = true
		}
	})
	return k.dead || err != nil
}

// release gives back a connection that was not used.
func (k *link) release(t *task) {
	k.mu.Lock()
	mine := k.task == t
	if mine {
		k.rest()
	}
	k.mu.Unlock()
	if mine {
		k.home.put(k)
	}
}

func (k *link) rest() {
	k.task = nil
	k.since = time.Now()
	k.conn.SetReadDeadline(k.since.Add(k.home.IdleFor))
}

// close ends the connection; whoever waits for it hears of it from the reader or from end.
func (k *link) close() {
	k.once.Do(func() {
		k.conn.Close()
		k.home.meter.give()
	})
}

// end ends a task without an answer, and the connection with it.
func (k *link) end(t *task, err error) {
	k.mu.Lock()
	progress := routing.PartlyWritten
	if t.written.Load() {
		progress = routing.WhollyWritten
	}
	if k.begun && k.task == t {
		progress = routing.Answering
	}
	if k.task == t {
		k.task, k.dead = nil, true
		k.close()
	}
	k.mu.Unlock()
	t.finish(routing.Result{Err: &routing.AttemptError{Progress: progress, Err: err}})
}

// read takes all that comes over the connection until it ends.
func (k *link) read() {
	defer k.close()
	defer k.home.remove(k)
	buf := make([]byte, 4<<10)
	for {
		n, err := k.conn.Read(buf)
		if !k.took(buf[:n], err) {
			return
		}
	}
}

// took handles what one read brought and tells whether the connection stays.
func (k *link) took(p []byte, err error) bool {
	k.mu.Lock()
	t := k.task
	if t == nil { // idle: bytes that nobody asked for, its end, or its time
		k.dead = true
		k.mu.Unlock()
		return false
	}
	defer k.home.caught(t)
	var msg *protocol.Message
	used := 0
	var broken error
	if len(p) > 0 {
		k.begun = true
		used, msg, broken = k.machine.Feed(p)
	}
	if msg == nil && broken == nil && err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(t.deadline) {
			k.mu.Unlock() // the time of the rest before: the task has set its own
			return true
		}
		if broken = err; errors.Is(err, io.EOF) {
			if m, e := k.machine.End(); e == nil {
				msg, broken = m, nil
			}
		}
	}
	if msg == nil && broken == nil {
		k.mu.Unlock()
		return true
	}
	if broken != nil {
		k.mu.Unlock()
		k.end(t, broken)
		return false
	}
	// An answer before the request's end, bytes after the answer: the two sides may no longer agree where one
	// message ends.
	stays := err == nil && used == len(p) && !msg.Close && t.written.Load()
	if stays {
		k.rest()
	} else {
		k.task, k.dead = nil, true
		k.close()
	}
	k.mu.Unlock()
	if stays {
		k.home.put(k)
	}
	t.finish(k.home.result(msg, t.probe))
	return stays
}
