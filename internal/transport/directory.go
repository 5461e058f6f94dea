package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// Directory watches discovery. It implements routing.Directory.
type Directory struct {
	Address string
	Loop    *routing.Loop
	Log     *slog.Logger
	Context context.Context // ends all watches
}

const (
	beat    = 2 * time.Second // discovery sends an empty line this often while nothing changes
	silence = 9 * beat / 4    // after this long without a line a watch is dead: two beats are missing
	maxList = 4 << 20         // bytes of one pool config
)

var _ routing.Directory = (*Directory)(nil)

// Follow opens a watch. It implements routing.Directory.
func (d *Directory) Follow(since int64) {
	go func() {
		err := d.watch(since)
		if d.Context.Err() == nil {
			d.Log.Warn("the watch of discovery has ended", "since", since, "error", err)
		}
		d.Loop.Lost()
	}()
}

// watch runs one watch to its end.
func (d *Directory) watch(since int64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	dialer := net.Dialer{Timeout: silence, KeepAlive: -1}
	conn, err := dialer.DialContext(d.Context, "tcp", d.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(d.Context, func() { conn.Close() })()
	target := fmt.Sprintf("/registry/instances?follow=1&since=%d", since)
	conn.SetDeadline(time.Now().Add(silence))
	if _, err := conn.Write(protocol.GetText(d.Address, target)); err != nil {
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
