package transport

import (
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
//
// One clock opens each watch anew, whatever ended the last one: what discovery has counts as told 6 s after it could be
// reached, and so a call that is given up or a watch that has fallen silent is followed by the next one at once, and so is
// a watch that stood and was ended in order: discovery may end one instead of telling. Only one that was refused or broke
// waits longer, by the module's own back-off.
type Directory struct {
	Loop    routing.Lists
	Log     *slog.Logger
	Context context.Context // ends all watches
	Pushed  bool            // lists come by themselves and count as told at once: the watch is never given up
	Seed    uint64          // of the pauses

	mu        sync.Mutex
	address   string
	since     int64                   // the version of the last list that this address told, 0 for none
	moved     time.Time               // when the address was last replaced
	following bool                    // a watch is open or tried for
	turn      context.CancelCauseFunc // ends the watch that is open, or the pause before it
	rng       *rand.Rand              // of the goroutine that follows
	calls     int                     // to discovery so far
}

// NewDirectory returns a Directory that watches discovery at an address.
func NewDirectory(ctx context.Context, address string, loop routing.Lists, log *slog.Logger) *Directory {
	return &Directory{Context: ctx, address: address, Loop: loop, Log: log}
}

const (
	beat     = 2 * time.Second         // discovery sends an empty line this often while nothing changes
	silence  = beat + 3*time.Second/4  // after this long without a line a watch is dead: a beat is missing
	comingUp = 1200 * time.Millisecond // a connection that has not come up by then will not
	opening  = 3200 * time.Millisecond // a watch that has not begun by then will not: discovery gives a call 3 s

	settling   = 4 * time.Second        // after a move the Directory itself tries again, for this long,
	leastPause = 100 * time.Millisecond // with pauses from this
	mostPause  = 800 * time.Millisecond // to this
	atOnce     = 600 * time.Millisecond // within this after silence: all sidecars meet it together
	stood      = time.Second            // a watch that lasted this long was no refusal
)

var _ routing.Directory = (*Directory)(nil)

// Follow opens a watch unless one is open or tried for. It implements routing.Directory. The version is that of the list
// that the sidecar started with; what this address has told since goes before it.
func (d *Directory) Follow(since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved.IsZero() && d.since == 0 {
		d.since = since
	}
	d.start()
}

// start has a goroutine follow, if none does. d.mu is held.
func (d *Directory) start() {
	if !d.following {
		d.following = true
		go d.follow()
	}
}

// Move goes on with discovery at another address, at once: the old one may end its watches, or have ended them, and
// what the new one tells counts as told soon, whether or not it was asked. Another discovery counts its versions for
// itself, so its list is asked for whole.
func (d *Directory) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.address {
		return
	}
	d.address, d.since, d.moved = address, 0, time.Now()
	if d.turn != nil {
		d.turn(errMoved)
	}
	d.start()
}

// follow runs watches until one ends in a way that the module answers.
func (d *Directory) follow() {
	last := ""
	for pause := leastPause; ; {
		d.mu.Lock()
		ctx, cancel := context.WithCancelCause(d.Context)
		d.turn = cancel
		address, since, moved := d.address, d.since, d.moved
		if d.rng == nil {
			d.rng = rand.New(rand.NewPCG(d.Seed, 0x6469726563746f72))
		}
		d.mu.Unlock()
		if last != address {
			last, pause = address, leastPause
		}

		began, most := time.Now(), mostPause
		if d.Pushed { // by an agent beside the sidecar, whom nobody else asks
			most = 2 * leastPause
		}
		err := d.watch(ctx, address, since)
		again := d.Pushed || time.Since(moved) < settling
		ended := ctx.Err() == nil // by itself
		if ended {
			wait := time.Duration(-1)
			switch {
			case timedOut(err): // it was waited for long enough
				again, wait = true, d.part(atOnce)
			case errors.Is(err, io.EOF) && time.Since(began) > stood:
				again, wait = true, d.part(leastPause)
			case again:
				if time.Since(began) > settling { // it stood
					pause = leastPause
				}
				wait = pause/2 + d.part(pause) // spread: all sidecars may have met this together
				pause = min(2*pause, most)
			}
			next := "by the module's back-off"
			if wait >= 0 {
				next = wait.Round(time.Millisecond).String()
			}
			d.Log.Warn("the watch of discovery has ended", "address", address, "since", since, "error", err,
				"stood", time.Since(began).Round(time.Millisecond), "next", next)
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		} else {
			d.Log.Info("the watch of discovery is given up", "address", address, "since", since, "cause", context.Cause(ctx),
				"stood", time.Since(began).Round(time.Millisecond))
		}
		cancel(nil)

		d.mu.Lock()
		again = d.Context.Err() == nil && (again || d.address != address)
		d.turn, d.following = nil, again
		d.mu.Unlock()
		if ended || !again {
			d.Loop.Lost() // it may ask for the next watch, which is open then
		}
		if !again {
			return
		}
	}
}

// timedOut tells whether a watch ended because nothing came: no connection, no answer, no line.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// part is a random part of a time.
func (d *Directory) part(of time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(of))
}

// watch runs one watch to its end.
func (d *Directory) watch(ctx context.Context, address string, since int64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	d.calls++
	call, asked := d.calls, time.Now()
	d.Log.Info("discovery is asked", "call", call, "address", address, "since", since)
	dialer := net.Dialer{Timeout: comingUp, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	until := time.Now().Add(opening)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	target := fmt.Sprintf("/registry/instances?follow=1&since=%d", since)
	conn.SetDeadline(until)
	if _, err := conn.Write(protocol.GetText(address, target)); err != nil {
		return err
	}
	lists := protocol.ListReader{Take: func(text []byte) error { return d.line(address, text) }}
	machine := protocol.Machine{Answers: true, OnBody: lists.Add}
	buf := make([]byte, 16<<10)
	answered := false
	for {
		n, err := conn.Read(buf)
		used, msg, broken := machine.Feed(buf[:n])
		if head := machine.Head(); !answered && (head != nil || msg != nil) {
			if head == nil {
				head = msg
			}
			answered = true
			d.Log.Info("discovery answers", "call", call, "status", head.Status(), "waited", time.Since(asked).Round(time.Millisecond))
		}
		if head := machine.Head(); head != nil && head.Status() != 200 || msg != nil && msg.Status() != 200 {
			return errors.New("discovery answered with an error")
		}
		switch {
		case broken != nil:
			return broken
		case lists.Err != nil:
			return lists.Err
		case msg != nil || used < n:
			return io.EOF
		case err != nil:
			return err
		}
		conn.SetReadDeadline(time.Now().Add(silence))
	}
}

// line takes one list of a watch. Bad data are the watch's end: the last list is kept, and the next watch asks again
// from there.
func (d *Directory) line(address string, text []byte) error {
	list, err := protocol.ReadEndpointList(text)
	if err != nil {
		return err
	}
	kind := balance.Delta
	if list.Whole {
		kind = balance.Full
	}
	d.mu.Lock()
	moved := d.address != address
	if !moved {
		d.since = list.Index
	}
	d.mu.Unlock()
	if moved { // while this came: the new address is asked from its own beginning
		return errMoved
	}
	d.Loop.Pool(kind, list.Index, Members(list))
	return nil
}

var errMoved = errors.New("discovery is watched elsewhere")

// Members turns an endpoint list into routing's words.
func Members(list protocol.EndpointList) []routing.Member {
	states := map[protocol.State]balance.State{protocol.Ready: balance.Ready, protocol.Draining: balance.Draining,
		protocol.Gone: balance.Gone}
	out := make([]routing.Member, 0, len(list.Destinations))
	for _, e := range list.Destinations {
		out = append(out, routing.Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Group: e.Group,
			State: states[e.State], Weight: e.Weight, Since: time.Duration(e.SinceMS) * time.Millisecond})
	}
	return out
}
