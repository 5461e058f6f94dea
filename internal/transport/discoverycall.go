package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"kitewood/internal/errnoclass"
	"kitewood/internal/protocol"
	"kitewood/internal/subscription"
)

const (
	heartbeatInterval        = 2 * time.Second                     // discovery sends an empty line this often while nothing changes
	heartbeatTimeout         = heartbeatInterval + 3*time.Second/4 // a watch without a line for so long has missed a heartbeat
	discoveryResponseTimeout = 3200 * time.Millisecond             // from the call to the start of the response; discovery gives a call 3 s

	silentWatchTimeout = 30 * time.Second // after this long without a line a silent watch is closed
)

// errWatchEnded is the error of a watch whose response is complete.
var errWatchEnded = errors.New("discovery has ended the watch")

// statusError is a response of discovery with a status other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("discovery answered with status %d", int(e)) }

// runCall makes one call for a subscription, runs the watch that it opens until that ends, and returns how it ended.
func (d *DiscoveryClient) runCall(s *openSubscription, ask subscription.Call) (end subscription.CallEnded) {
	startedAt := time.Now()
	end = subscription.CallEnded{Generation: s.generation, StartedAt: d.Clock.Now()}
	w := &discoveryWatch{client: d, subscription: s, ctx: s.ctx, callNumber: ask.Number}
	defer func() {
		if p := recover(); p != nil {
			end.Outcome, end.Err = subscription.Unreadable, fmt.Errorf("panic: %v", p)
		}
		end.Duration = time.Since(startedAt)
	}()
	d.Log.Info("discovery is asked", "call", ask.Number, "address", ask.Address, "since", ask.Version, "generation", ask.Generation)
	err := w.run(ask.Version)
	end.Outcome, end.Err = w.outcomeOf(err, time.Since(startedAt)), err
	return end
}

// discoveryWatch is one call on its own connection.
type discoveryWatch struct {
	client       *DiscoveryClient
	subscription *openSubscription
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
	dialer := net.Dialer{Timeout: subscription.ConnectTimeout, KeepAlive: -1}
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
	w.client.keepSilentWatch(w, cancel)
	conn := w.conn
	go func() {
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		defer cancel(subscription.OtherCallAnswered)
		defer func() {
			if p := recover(); p != nil {
				w.client.Log.Error("panic in a silent discovery watch", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			}
		}()
		err := w.read(silentWatchTimeout)
		w.client.endSilentWatch(w)
		w.client.Log.Info("silent discovery watch closed", "call", w.callNumber, "address", w.subscription.address, "error", err, "cause", context.Cause(ctx))
	}()
}

// keepSilentWatch tells the core of a silent watch that is still read, and how to end it.
func (d *DiscoveryClient) keepSilentWatch(w *discoveryWatch, cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := w.subscription
	if s.ctx.Err() == nil {
		d.handle(subscription.WatchSilent{Generation: s.generation, Call: w.callNumber}) // ends an earlier one
	}
	s.cancelSilent = cancel
}

// endSilentWatch tells the core that a silent watch is no longer read.
func (d *DiscoveryClient) endSilentWatch(w *discoveryWatch) {
	d.handleFor(w.subscription, subscription.SilentWatchEnded{Generation: w.subscription.generation, Call: w.callNumber})
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
		w.client.recordWait(waited)
	}
	w.client.Log.Info("discovery has responded", "call", w.callNumber, "status", status, "waited", waited.Round(time.Millisecond))
}

// recordWait tells the core how long a call has waited for its watch.
func (d *DiscoveryClient) recordWait(waited time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(subscription.ResponseBegun{Waited: waited})
}

// outcomeOf classifies the error that ended the call after some time.
func (w *discoveryWatch) outcomeOf(err error, duration time.Duration) subscription.Outcome {
	var status statusError
	timedOut := isTimeout(err)
	switch {
	case w.conn == nil && errnoclass.Of(errnoclass.Connect, err) == errnoclass.LocalFailure:
		return subscription.LocalFailure
	case w.conn == nil:
		return subscription.Unreachable
	case errors.As(err, &status) && duration >= subscription.MaxRefusalDelay:
		return subscription.Failed
	case errors.As(err, &status):
		return subscription.Refused
	case !w.responded && timedOut:
		return subscription.Unanswered
	case !w.responded && isConnectionEnd(err):
		return subscription.Failed
	case timedOut:
		return subscription.Silent
	case errors.Is(err, errWatchEnded):
		return subscription.Ended
	case errors.Is(err, io.EOF):
		return subscription.Truncated
	case isConnectionEnd(err):
		return subscription.Broken
	}
	return subscription.Unreadable
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
