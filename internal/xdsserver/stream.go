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

// drainAckTimeout is how long a proxy may take to acknowledge an urgent endpoint update, such as a drain, before this is logged:
// requests that it still sends to the draining endpoints then arrive too late.
const drainAckTimeout = 400 * time.Millisecond

// stream connects the protocol state of a stream with its gRPC stream.
type stream struct {
	hub         *Hub
	log         *slog.Logger
	peer        string
	view        string
	delta       bool
	connectedAt time.Duration
	wake        chan struct{} // signals a new snapshot

	mu           sync.Mutex // guards state and lastDrainAck, which Status reads
	state        *xds.Stream
	lastDrainAck time.Duration // time until the last drain was acknowledged

	lateDrainLogged bool              // the current drain without a timely ACK was logged
	loggedNacks     map[string]string // last logged NACK reason by type URL
}

// serveStream runs a stream until it ends.
func (h *Hub) serveStream(ctx context.Context, log *slog.Logger, view string, delta bool, onlyType string,
	recv func() (*xds.Request, error), send func(*xds.Response) error) (err error) {
	s := &stream{hub: h, log: log, view: view, delta: delta, connectedAt: h.now(),
		wake: make(chan struct{}, 1), state: xds.NewStream(delta, onlyType),
		peer: peerAddress(ctx), loggedNacks: map[string]string{}}
	defer func() {
		if p := recover(); p != nil { // ends this stream only; the proxy reconnects
			log.Error("panic in xDS stream", "peer", s.peer, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.addStream(s)
	defer h.removeStream(s)

	requests, ended := make(chan *xds.Request), make(chan error, 2)
	go func() {
		for {
			r, err := recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	responses, written := make(chan *xds.Response), make(chan struct{})
	go func() {
		for {
			select {
			case r := <-responses:
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
	return s.run(ctx, requests, ended, responses, written)
}

// run is the goroutine that owns the protocol state. One response is written at a time; changes in the meantime are combined in
// the next.
func (s *stream) run(ctx context.Context, requests <-chan *xds.Request, ended <-chan error, responses chan<- *xds.Response,
	written <-chan struct{}) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var current uint64
	writing := false
	for {
		if snapshot, version := s.hub.latest(s.view); version != current {
			current = version
			s.mu.Lock()
			s.state.SetSnapshot(snapshot)
			s.mu.Unlock()
		}
		var r *xds.Response
		wait := time.Duration(0)
		s.mu.Lock()
		now := s.hub.now()
		if !writing {
			r, wait = s.state.Next(now)
		}
		if pending := s.state.DrainAckPending(now); pending > 0 && pending < drainAckTimeout && (wait == 0 || drainAckTimeout-pending < wait) {
			wait = drainAckTimeout - pending
		}
		s.mu.Unlock()
		if r != nil {
			select {
			case responses <- r:
				writing = true
			case err := <-ended:
				return streamError(err)
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if wait > 0 {
			timer.Reset(wait)
		}
		select {
		case request := <-requests:
			if err := s.handleRequest(request); err != nil {
				return err
			}
		case <-s.wake:
		case <-written:
			writing = false
		case <-timer.C:
			s.logLateDrain()
		case err := <-ended:
			return streamError(err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// streamError returns the error with which a stream ends: nil if the proxy closed it.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// handleRequest passes a request to the protocol state and logs what operators need to know of it.
func (s *stream) handleRequest(r *xds.Request) error {
	s.mu.Lock()
	first := s.state.NodeID == "" && r.NodeID != ""
	err := s.state.HandleRequest(s.hub.now(), r)
	drains := s.state.TakeDrainAcks()
	if len(drains) > 0 {
		s.lastDrainAck = drains[len(drains)-1]
	}
	s.mu.Unlock()
	if err != nil {
		s.log.Warn("closing xDS stream after protocol error", "peer", s.peer, "node", s.nodeID(), "error", err)
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if first {
		s.log.Info("proxy connected", "node", r.NodeID, "peer", s.peer, "delta", s.delta)
	}
	if len(drains) > 0 {
		s.hub.recordDrainAcks(drains)
		s.lateDrainLogged = false
	}
	// One line per error message, so that a proxy that rejects every response does not fill the log.
	if r.NackReason != "" && s.loggedNacks[r.TypeURL] != r.NackReason {
		s.loggedNacks[r.TypeURL] = r.NackReason
		s.log.Warn("proxy rejected resources", "node", s.nodeID(), "type", r.TypeURL, "why", r.NackReason[:min(len(r.NackReason), 512)])
	}
	return nil
}

// logLateDrain logs, once for each drain, that the proxy has not acknowledged it within drainAckTimeout.
func (s *stream) logLateDrain() {
	s.mu.Lock()
	pending := s.state.DrainAckPending(s.hub.now())
	s.mu.Unlock()
	if pending >= drainAckTimeout && !s.lateDrainLogged {
		s.lateDrainLogged = true
		s.log.Warn("proxy has not acknowledged a drain in time", "node", s.nodeID(), "peer", s.peer, "for", pending.Round(time.Millisecond))
	}
}

func (s *stream) nodeID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.NodeID
}

// notify signals a new snapshot without blocking.
func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) status() ProxyStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.hub.now()
	return ProxyStatus{Node: s.state.NodeID, Peer: s.peer, Delta: s.delta, ConnectedFor: now - s.connectedAt,
		UnknownTypes: s.state.UnknownTypes, Types: s.state.State(now),
		LastDrainAck: s.lastDrainAck, DrainAckPending: s.state.DrainAckPending(now)}
}
