package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"kitewood/internal/protocol"
)

// callKind tells how a call to discovery, or the watch that it became, has ended.
type callOutcome uint8

// The kinds.
const (
	callUnreachable callOutcome = iota // no connection came up
	callFailed                         // it broke before an answer, or the call failed after a wait: in an outage and in a crowd
	callUnanswered                     // taken, and not answered within the time that discovery gives a call
	callRefused                        // discovery is there, and takes no more calls
	callUnreadable                     // what came is no endpoint list
	callSilent                         // the watch missed its beats
	callBroken                         // the watch broke
	callEnded                          // the watch was ended by discovery, in order
	callCut                            // discovery closed the watch's connection in the middle of its answer
	callLocal                          // this machine could not make the call
	callKinds
)

func (k callOutcome) String() string {
	return [...]string{"unreachable", "failed", "unanswered", "refused", "unreadable", "silent", "broken", "ended in order", "cut", "local failure"}[k]
}

// callEnd is the end of a call.
type callEnd struct {
	outcome callOutcome
	err     error
	began   time.Time
	stood   time.Duration // from its begin to its end
}

const (
	beat     = 2 * time.Second         // discovery sends an empty line this often while nothing changes
	silence  = beat + 3*time.Second/4  // after this long without a line a watch is dead: a beat is missing
	comingUp = 1200 * time.Millisecond // a connection that has not come up by then will not
	opening  = 3200 * time.Millisecond // a watch that has not begun by then will not: discovery gives a call 3 s

	lingerFor = 30 * time.Second // a watch that has been silent for longer is dead for good

	// A call that fails after it has waited has had all the time that discovery gives it, be that 2 s or 3: so do those that
	// meet a discovery which is down, and those that wait too long in a crowd. One that is refused at once has met a queue
	// that is full.
	waitedOut = 500 * time.Millisecond
)

// errWatchOver is the end of an answer that is complete.
var errWatchOver = errors.New("discovery has ended the watch")

// statusError is an answer of discovery that is no watch.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("discovery answered with status %d", int(e)) }

// call makes one call for a subscription and runs the watch that it becomes to its end.
func (d *DiscoveryClient) call(s *subscription) (end callEnd) {
	began := time.Now()
	w := &discoveryWatch{d: d, s: s, ctx: s.ctx}
	defer func() {
		if p := recover(); p != nil {
			end.outcome, end.err = callUnreadable, fmt.Errorf("panic: %v", p)
		}
		end.began, end.stood = began, time.Since(began)
	}()
	d.mu.Lock()
	d.calls++
	w.number = d.calls
	s.waiting = true
	since := s.since
	d.mu.Unlock()
	d.Log.Info("discovery is asked", "call", w.number, "address", s.address, "since", since, "generation", s.generation)
	err := w.run(since)
	return callEnd{outcome: w.kindOf(err, time.Since(began)), err: err}
}

// discoveryWatch is one call on its connection.
type discoveryWatch struct {
	d        *DiscoveryClient
	s        *subscription
	ctx      context.Context // ends it
	number   int
	began    time.Time
	conn     net.Conn
	machine  protocol.Parser
	lists    protocol.ListReader
	answered bool // discovery has begun to answer
	watching bool // with 200
	told     bool // it has brought a list
	lingers  bool // it has fallen silent, and is read on while another call is made
}

// run calls discovery and reads until the end, which it returns. A watch that falls silent lingers.
func (w *discoveryWatch) run(since int64) error {
	w.began = time.Now()
	dialer := net.Dialer{Timeout: comingUp, KeepAlive: -1}
	conn, err := dialer.DialContext(w.ctx, "tcp", w.s.address)
	if err != nil {
		return err
	}
	w.conn = conn
	stop := context.AfterFunc(w.ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(w.began.Add(opening))
	target := fmt.Sprintf("/registry/instances?follow=1&since=%d", since)
	if _, err := conn.Write(protocol.GetRequest(w.s.address, target)); err != nil {
		conn.Close()
		return err
	}
	w.lists.OnList = func(text []byte) error { return w.d.line(w, text) }
	w.machine = protocol.Parser{Responses: true, OnBody: w.lists.Feed}
	if err = w.read(silence); isTimeout(err) && w.watching {
		w.linger()
		return err
	}
	conn.Close()
	return err
}

// linger reads a silent watch on until another call is answered: a path that was broken may deliver what it has held, and
// that is sooner than the other call's turn.
func (w *discoveryWatch) linger() {
	ctx, cancel := context.WithCancelCause(w.s.ctx)
	w.ctx, w.lingers = ctx, true
	w.d.mu.Lock()
	if w.s.lingering != nil {
		w.s.lingering(errSucceeded)
	}
	w.s.lingering = cancel
	w.d.mu.Unlock()
	conn := w.conn
	go func() {
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		defer cancel(errSucceeded)
		defer func() {
			if p := recover(); p != nil {
				w.d.Log.Error("panic at a silent watch of discovery", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			}
		}()
		err := w.read(lingerFor)
		w.d.Log.Info("a silent watch of discovery is over", "call", w.number, "address", w.s.address, "error", err, "cause", context.Cause(ctx))
	}()
}

// read reads the watch until its end, or until nothing comes for some time.
func (w *discoveryWatch) read(patience time.Duration) error {
	buf := make([]byte, 16<<10)
	for {
		if w.watching {
			w.conn.SetReadDeadline(time.Now().Add(patience))
		}
		n, err := w.conn.Read(buf)
		if n == 0 && w.watching && isTimeout(err) && peek(w.conn) == peekData {
			continue // the process stood still over the watch's time: what it was told meanwhile has not been read
		}
		if err := w.took(buf[:n], err); err != nil {
			return err
		}
	}
}

// took takes what one read brought, and returns what ends the watch.
func (w *discoveryWatch) took(p []byte, err error) error {
	used, msg, malformed := w.machine.Feed(p)
	head := w.machine.Head()
	if head == nil {
		head = msg
	}
	if head != nil && !w.answered {
		w.noteAnswer(head.Status(), time.Since(w.began))
	}
	switch {
	case head != nil && head.Status() != 200:
		return statusError(head.Status())
	case malformed != nil:
		return malformed
	case w.lists.Err != nil:
		return w.lists.Err
	case msg != nil || used < len(p):
		return errWatchOver
	case err != nil:
		return err
	}
	// An answer that has begun and half a list confirm nothing: what they are going to say is not known yet.
	if w.told && !w.lists.Partial() {
		w.d.heard(w.s)
	}
	return nil
}

// noteAnswer takes the head of the answer.
func (w *discoveryWatch) noteAnswer(status int, waited time.Duration) {
	w.answered, w.watching = true, status == 200
	if w.watching {
		w.d.mu.Lock()
		w.d.longestWait = max(w.d.longestWait, waited)
		w.d.mu.Unlock()
	}
	w.d.Log.Info("discovery answers", "call", w.number, "status", status, "waited", waited.Round(time.Millisecond))
}

// kindOf tells what an error that ended the call after some time means.
func (w *discoveryWatch) kindOf(err error, took time.Duration) callOutcome {
	var status statusError
	timedOut := isTimeout(err)
	switch {
	case w.conn == nil && localFailure(err):
		return callLocal
	case w.conn == nil:
		return callUnreachable
	case errors.As(err, &status) && took >= waitedOut:
		return callFailed
	case errors.As(err, &status):
		return callRefused
	case !w.answered && timedOut:
		return callUnanswered
	case !w.answered && isConnectionEnd(err):
		return callFailed
	case timedOut:
		return callSilent
	case errors.Is(err, errWatchOver):
		return callEnded
	case errors.Is(err, io.EOF):
		return callCut
	case isConnectionEnd(err):
		return callBroken
	}
	return callUnreadable
}

// isTimeout tells whether an error is the end of the time that a connection was given.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// isConnectionEnd tells whether an error is the end of the connection, in whatever way the system reports it.
func isConnectionEnd(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &op)
}

// localFailure tells whether a connection could not be asked for because this machine lacks something: that says nothing
// of whom it was for.
func localFailure(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
