package xdsserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"kitewood/internal/xds"
)

// ackWithin is how long a proxy may take to answer a response that says that endpoints take nothing new, before it is
// logged: what it goes on sending there comes too late.
const ackWithin = 400 * time.Millisecond

// stream is a stream of a proxy on its way through gRPC.
type stream struct {
	hub   *Hub
	log   *slog.Logger
	peer  string
	view  string
	delta bool
	began time.Duration
	wake  chan struct{} // there is another snapshot

	mu   sync.Mutex // guards core for those who look
	core *xds.Stream
	last time.Duration // from word to answer of the last drain

	late   bool // a drain that has no answer in time was logged
	refuse map[string]string
}

// serve runs a stream to its end.
func (h *Hub) serve(ctx context.Context, log *slog.Logger, view string, delta bool, only string, recv func() (*xds.Request, error),
	send func(*xds.Response) error) (err error) {
	x := &stream{hub: h, log: log, view: view, delta: delta, began: h.now(), wake: make(chan struct{}, 1), core: xds.NewStream(delta, only),
		peer: peerOf(ctx), refuse: map[string]string{}}
	defer func() {
		if p := recover(); p != nil { // it stops here; the proxy comes again
			log.Error("panic at a stream", "peer", x.peer, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.join(x)
	defer h.leave(x)

	requests, ended := make(chan *xds.Request), make(chan error, 2)
	go func() {
		for {
			q, err := recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case requests <- q:
			case <-ctx.Done():
				return
			}
		}
	}()
	out, written := make(chan *xds.Response), make(chan struct{})
	go func() {
		for {
			select {
			case r := <-out:
				if err := send(r); err != nil {
					ended <- err
					return
				}
				select {
				case written <- struct{}{}:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return x.run(ctx, requests, ended, out, written)
}

// run owns the core. One response is written at a time; what changes meanwhile is gathered in the next.
func (x *stream) run(ctx context.Context, requests <-chan *xds.Request, ended <-chan error, out chan<- *xds.Response,
	written <-chan struct{}) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var seen uint64
	writing := false
	for {
		if s, version := x.hub.newest(x.view); version != seen {
			seen = version
			x.mu.Lock()
			x.core.Update(s)
			x.mu.Unlock()
		}
		var r *xds.Response
		wait := time.Duration(0)
		x.mu.Lock()
		now := x.hub.now()
		if !writing {
			r, wait = x.core.Next(now)
		}
		if open := x.core.Undrained(now); open > 0 && open < ackWithin && (wait == 0 || ackWithin-open < wait) {
			wait = ackWithin - open
		}
		x.mu.Unlock()
		if r != nil {
			select {
			case out <- r:
				writing = true
			case err := <-ended:
				return end(err)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if wait > 0 {
			timer.Reset(wait)
		}
		select {
		case q := <-requests:
			if err := x.take(q); err != nil {
				return err
			}
		case <-x.wake:
		case <-written:
			writing = false
		case <-timer.C:
			x.lateDrain()
		case err := <-ended:
			return end(err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// end is how a stream ends whose proxy has closed it.
func end(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (x *stream) take(q *xds.Request) error {
	x.mu.Lock()
	first := x.core.Node == "" && q.Node != ""
	err := x.core.Take(x.hub.now(), q)
	drains := x.core.Drains()
	if len(drains) > 0 {
		x.last = drains[len(drains)-1]
	}
	x.mu.Unlock()
	if err != nil {
		x.log.Warn("a stream is ended: its proxy breaks the protocol", "peer", x.peer, "node", x.node(), "error", err)
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if first {
		x.log.Info("proxy connected", "node", q.Node, "peer", x.peer, "delta", x.delta)
	}
	if len(drains) > 0 {
		x.hub.drained(drains)
		x.late = false
	}
	// One line for each text: a proxy that refuses everything must not fill the log.
	if q.Refused != "" && x.refuse[q.TypeURL] != q.Refused {
		x.refuse[q.TypeURL] = q.Refused
		x.log.Warn("a proxy refuses resources", "node", x.node(), "type", q.TypeURL, "why", q.Refused[:min(len(q.Refused), 512)])
	}
	return nil
}

// lateDrain logs a proxy that has not answered in time that endpoints take nothing new, once.
func (x *stream) lateDrain() {
	x.mu.Lock()
	late := x.core.Undrained(x.hub.now())
	x.mu.Unlock()
	if late >= ackWithin && !x.late {
		x.late = true
		x.log.Warn("a proxy has not taken word of a drain", "node", x.node(), "peer", x.peer, "for", late.Round(time.Millisecond))
	}
}

func (x *stream) node() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.core.Node
}

func (x *stream) poke() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *stream) status() ProxyStatus {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.hub.now()
	return ProxyStatus{Node: x.core.Node, Peer: x.peer, Delta: x.delta, ConnectedFor: now - x.began, UnknownTypes: x.core.Unknown, Types: x.core.State(now),
		LastDrainAck: x.last, DrainAckPending: x.core.Undrained(now)}
}
