package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// Directory watches discovery. It implements routing.Directory.
type Directory struct {
	Loop    routing.Lists
	Log     *slog.Logger
	Context context.Context // ends all watches

	mu        sync.Mutex
	address   string
	moved     time.Time          // when the address was last replaced
	following bool               // a watch is open or tried for
	turn      context.CancelFunc // ends the watch that is open
}

// NewDirectory returns a Directory that watches discovery at an address.
func NewDirectory(ctx context.Context, address string, loop routing.Lists, log *slog.Logger) *Directory {
	return &Directory{Context: ctx, address: address, Loop: loop, Log: log}
}

const (
	beat    = 2 * time.Second         // discovery sends an empty line this often while nothing changes
	silence = beat + 3*time.Second/4  // after this long without a line a watch is dead: a beat is missing
	opening = 3200 * time.Millisecond // a watch that has not begun by then will not: discovery gives a call 3 s
	maxList = 4 << 20                 // bytes of one pool config

	settling   = 4 * time.Second        // after a move the Directory itself tries again, for this long,
	leastPause = 100 * time.Millisecond // with pauses from this
	mostPause  = 800 * time.Millisecond // to this
)

var _ routing.Directory = (*Directory)(nil)

// Follow opens a watch unless a move has opened one already. It implements routing.Directory.
func (d *Directory) Follow(since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.following {
		d.following = true
		go d.follow(since)
	}
}

// Move goes on with discovery at another address, at once: the old one may end its watches, or have ended them, and
// what the new one tells counts as told soon, whether or not it was asked.
func (d *Directory) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.address, d.moved = address, time.Now()
	switch {
	case d.turn != nil:
		d.turn()
	case !d.following: // the module waits to ask again; the new address knows nothing of why
		d.following = true
		go d.follow(0)
	}
}

// follow runs watches until one ends that no move explains.
func (d *Directory) follow(since int64) {
	for pause := leastPause; ; {
		d.mu.Lock()
		ctx, cancel := context.WithCancel(d.Context)
		d.turn = cancel
		address, moved := d.address, d.moved
		d.mu.Unlock()

		err := d.watch(ctx, address, since)
		settles := time.Since(moved) < settling
		if ctx.Err() == nil {
			d.Log.Warn("the watch of discovery has ended", "address", address, "since", since, "error", err)
			if settles {
				select {
				case <-ctx.Done():
				case <-time.After(pause/2 + rand.N(pause)): // spread: all sidecars may have been moved together
				}
				pause = min(2*pause, mostPause)
			}
		}
		cancel()

		d.mu.Lock()
		again := d.Context.Err() == nil && (settles || d.address != address)
		if d.address != address {
			// Another discovery counts its versions for itself: its list is asked for whole.
			since, pause = 0, leastPause
		}
		d.turn, d.following = nil, again
		d.mu.Unlock()
		if !again {
			d.Loop.Lost()
			return
		}
	}
}

// watch runs one watch to its end.
func (d *Directory) watch(ctx context.Context, address string, since int64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	d.Log.Debug("discovery is asked", "address", address, "since", since)
	until := time.Now().Add(opening)
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	target := fmt.Sprintf("/registry/instances?follow=1&since=%d", since)
	conn.SetDeadline(until)
	if _, err := conn.Write(protocol.GetText(address, target)); err != nil {
		return err
	}
	lines := lineReader{take: d.line}
	machine := protocol.Machine{Answers: true, OnBody: lines.add}
	buf := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buf)
		used, msg, broken := machine.Feed(buf[:n])
		if head := machine.Head(); head != nil && head.Status() != 200 || msg != nil && msg.Status() != 200 {
			return errors.New("discovery answered with an error")
		}
		switch {
		case broken != nil:
			return broken
		case lines.err != nil:
			return lines.err
		case msg != nil || used < n:
			return io.EOF
		case err != nil:
			return err
		}
		conn.SetReadDeadline(time.Now().Add(silence))
	}
}

// line takes one line of a watch. Bad data are the watch's end: the last list is kept, and the next watch asks again
// from there.
func (d *Directory) line(text []byte) error {
	list, err := protocol.ReadPoolConfig(text)
	if err != nil {
		return err
	}
	kind := balance.Delta
	if list.Whole {
		kind = balance.Full
	}
	d.Loop.Pool(kind, list.Index, Members(list))
	return nil
}

// Members turns a pool config into routing's words.
func Members(list protocol.PoolConfig) []routing.Member {
	states := map[protocol.State]balance.State{protocol.Ready: balance.Ready, protocol.Draining: balance.Draining,
		protocol.Gone: balance.Gone}
	out := make([]routing.Member, 0, len(list.Destinations))
	for _, e := range list.Destinations {
		out = append(out, routing.Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Group: e.Group,
			State: states[e.State], Weight: e.Weight, Since: time.Duration(e.SinceMS) * time.Millisecond})
	}
	return out
}

// lineReader cuts a body into lines, whatever pieces it comes in. Empty lines are passed over.
type lineReader struct {
	take func([]byte) error
	buf  []byte
	err  error
}

func (r *lineReader) add(p []byte) {
	for len(p) > 0 && r.err == nil {
		at := bytes.IndexByte(p, '\n')
		if at < 0 {
			if r.buf = append(r.buf, p...); len(r.buf) > maxList {
				r.err = fmt.Errorf("a pool config is over %d bytes", maxList)
			}
			return
		}
		r.buf = append(r.buf, p[:at]...)
		p = p[at+1:]
		if line := bytes.TrimSpace(r.buf); len(line) > 0 {
			r.err = r.take(line)
		}
		r.buf = r.buf[:0]
	}
}
