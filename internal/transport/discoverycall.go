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

// callOutcome says how a call to discovery, or the watch that it opened, has ended.
type callOutcome uint8

// The outcomes.
const (
	callUnreachable  callOutcome = iota // no connection was established
	callFailed                          // the connection broke before a response, or an error came after a wait: discovery is down or overloaded
	callUnanswered                      // connected, but no response within the time that discovery gives a call
	callRefused                         // discovery is up and accepts no more calls
	callUnreadable                      // the response is not a valid endpoint list
	callSilent                          // the watch missed its heartbeats
	callBroken                          // the connection of the watch broke
	callEnded                           // discovery ended the watch with a complete response
	callTruncated                       // discovery closed the connection in the middle of the response
	callLocalFailure                    // this machine lacks the resources to make the call
	callOutcomes
)

func (o callOutcome) String() string {
	return [...]string{"unreachable", "failed", "unanswered", "refused", "unreadable", "silent", "broken", "ended in order", "cut", "local failure"}[o]
}

// callResult is the result of a call.
type callResult struct {
	outcome   callOutcome
	err       error
	startedAt time.Time
	duration  time.Duration // to the end of the call or its watch
}

const (
	heartbeatInterval        = 2 * time.Second                     // discovery sends an empty line this often while nothing changes
	heartbeatTimeout         = heartbeatInterval + 3*time.Second/4 // a watch without a line for so long has missed a heartbeat
	discoveryConnectTimeout  = 1200 * time.Millisecond             // for a connection to discovery
	discoveryResponseTimeout = 3200 * time.Millisecond             // from the call to the start of the response; discovery gives a call 3 s

	silentWatchTimeout = 30 * time.Second // after this long without a line a silent watch is closed

	// maxRefusalDelay separates refusals from failures. A call that is refused at once has met a full queue. A call that
	// fails later has waited for all the time that discovery gives it, 2 s or 3 s: discovery is down, or its queue is too
	// long.
	maxRefusalDelay = 500 * time.Millisecond
)

// errWatchEnded is the error of a watch whose response is complete.
var errWatchEnded = errors.New("discovery has ended the watch")

// statusError is a response of discovery with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("discovery answered with status %d", int(e)) }

// call makes one call for a subscription and runs the watch that it opens until that ends.
func (d *DiscoveryClient) call(s *subscription) (result callResult) {
	startedAt := time.Now()
	w := &discoveryWatch{client: d, subscription: s, ctx: s.ctx}
	defer func() {
		if p := recover(); p != nil {
			result.outcome, result.err = callUnreadable, fmt.Errorf("panic: %v", p)
		}
		result.startedAt, result.duration = startedAt, time.Since(startedAt)
	}()
	d.mu.Lock()
	d.calls++
	w.callNumber = d.calls
	s.awaitingResponse = true
	since := s.version
	d.mu.Unlock()
	d.Log.Info("discovery is asked", "call", w.callNumber, "address", s.address, "since", since, "generation", s.generation)
	err := w.run(since)
	return callResult{outcome: w.outcomeOf(err, time.Since(startedAt)), err: err}
}

// discoveryWatch is one call on its own connection.
type discoveryWatch struct {
	client       *DiscoveryClient
	subscription *subscription
	ctx          context.Context // ends the watch when done
	callNumber   int
	startedAt    time.Time
	conn         net.Conn
	parser       protocol.Parser
	listReader   protocol.ListReader
	responded    bool // the head of the response has been received
	established  bool // its status is 200
	delivered    bool // at least one list has been accepted
	lingering    bool // silent, but still read while another call is made; see linger
}

// run calls discovery, reads until the watch ends and returns the error that ended it. A watch that falls silent lingers.
func (w *discoveryWatch) run(since int64) error {
	w.startedAt = time.Now()
	dialer := net.Dialer{Timeout: discoveryConnectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(w.ctx, "tcp", w.subscription.address)
	if err != nil {
		return err
	}
	w.conn = conn
	stop := context.AfterFunc(w.ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(w.startedAt.Add(discoveryResponseTimeout))
	target := fmt.Sprintf("/registry/instances?follow=1&since=%d", since)
	if _, err := conn.Write(protocol.GetRequest(w.subscription.address, target)); err != nil {
		conn.Close()
		return err
	}
	w.listReader.OnList = func(text []byte) error { return w.client.handleList(w, text) }
	w.parser = protocol.Parser{Responses: true, OnBody: w.listReader.Feed}
	if err = w.read(heartbeatTimeout); isTimeout(err) && w.established {
		w.linger()
		return err
	}
	conn.Close()
	return err
}

// linger goes on reading a silent watch until another call is answered: a network path that recovers may deliver buffered
// lists earlier than the other call leaves discovery's queue.
func (w *discoveryWatch) linger() {
	ctx, cancel := context.WithCancelCause(w.subscription.ctx)
	w.ctx, w.lingering = ctx, true
	w.client.mu.Lock()
	if w.subscription.cancelLingering != nil {
		w.subscription.cancelLingering(errOtherCallAnswered)
	}
	w.subscription.cancelLingering = cancel
	w.client.mu.Unlock()
	conn := w.conn
	go func() {
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		defer cancel(errOtherCallAnswered)
		defer func() {
			if p := recover(); p != nil {
				w.client.Log.Error("panic in a silent discovery watch", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			}
		}()
		err := w.read(silentWatchTimeout)
		w.client.Log.Info("silent discovery watch closed", "call", w.callNumber, "address", w.subscription.address, "error", err, "cause", context.Cause(ctx))
	}()
}

// read reads the response until it ends, or until nothing arrives for the idle timeout.
func (w *discoveryWatch) read(idleTimeout time.Duration) error {
	buf := make([]byte, 16<<10)
	for {
		if w.established {
			w.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		n, err := w.conn.Read(buf)
		if n == 0 && w.established && isTimeout(err) && peek(w.conn) == peekData {
			continue // the process was suspended beyond the deadline, and unread data has arrived meanwhile
		}
		if err := w.handleRead(buf[:n], err); err != nil {
			return err
		}
	}
}

// handleRead handles the bytes and the error of one read. It returns the error that ends the watch, nil if it goes on.
func (w *discoveryWatch) handleRead(p []byte, err error) error {
	used, msg, malformed := w.parser.Feed(p)
	head := w.parser.Head()
	if head == nil {
		head = msg
	}
	if head != nil && !w.responded {
		w.noteResponse(head.Status(), time.Since(w.startedAt))
	}
	switch {
	case head != nil && head.Status() != 200:
		return statusError(head.Status())
	case malformed != nil:
		return malformed
	case w.listReader.Err != nil:
		return w.listReader.Err
	case msg != nil || used < len(p):
		return errWatchEnded
	case err != nil:
		return err
	}
	// The start of a response or a partial list does not renew the lease: the rest may bring a change.
	if w.delivered && !w.listReader.Partial() {
		w.client.confirmLease(w.subscription)
	}
	return nil
}

// noteResponse records that the head of the response has arrived.
func (w *discoveryWatch) noteResponse(status int, waited time.Duration) {
	w.responded, w.established = true, status == 200
	if w.established {
		w.client.mu.Lock()
		w.client.longestWait = max(w.client.longestWait, waited)
		w.client.mu.Unlock()
	}
	w.client.Log.Info("discovery has responded", "call", w.callNumber, "status", status, "waited", waited.Round(time.Millisecond))
}

// outcomeOf classifies the error that ended the call after some time.
func (w *discoveryWatch) outcomeOf(err error, duration time.Duration) callOutcome {
	var status statusError
	timedOut := isTimeout(err)
	switch {
	case w.conn == nil && isLocalFailure(err):
		return callLocalFailure
	case w.conn == nil:
		return callUnreachable
	case errors.As(err, &status) && duration >= maxRefusalDelay:
		return callFailed
	case errors.As(err, &status):
		return callRefused
	case !w.responded && timedOut:
		return callUnanswered
	case !w.responded && isConnectionEnd(err):
		return callFailed
	case timedOut:
		return callSilent
	case errors.Is(err, errWatchEnded):
		return callEnded
	case errors.Is(err, io.EOF):
		return callTruncated
	case isConnectionEnd(err):
		return callBroken
	}
	return callUnreadable
}

// isTimeout reports whether an error is a timeout of a connection.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// isConnectionEnd reports whether an error means that the connection has ended: EOF or any error of the network operation.
func isConnectionEnd(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, io.EOF) || errors.As(err, &opErr)
}

// isLocalFailure reports whether a connection could not be opened because this machine lacks a resource, which says nothing
// about the remote side.
func isLocalFailure(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
