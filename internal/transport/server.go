package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitewood/internal/guard"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/shutdown"
)

// Server accepts client connections on its listeners and serves the requests that come on them. It is ready as soon as it serves
// a listener: the event loop handles requests only after the endpoint list that the sidecar started with.
type Server struct {
	clock  routing.Clock
	router atomic.Pointer[Router]
	log    *slog.Logger
	budget Budget // guarded by mu

	input            *inputQueue
	closeCounts      closeCounters
	guard            *guard.Guard
	serving          atomic.Bool  // Serve has been called
	draining         atomic.Bool  // the sidecar stops and is no longer ready
	closing          atomic.Bool  // each connection closes after its next response
	expired          atomic.Bool  // open requests are answered as failed without further waiting
	descriptorWanted atomic.Bool  // an accept loop waits for a descriptor
	drainDeadline    atomic.Int64 // while draining: when the requests received since must be answered, on the event loop's clock
	stopRequestedAt  atomic.Int64 // when Stop was called, on the event loop's clock; 0 if it was not
	readAheadBytes   atomic.Int64 // that all client connections buffer
	// Connections that buffer more than a usual request read no more while these many bytes are buffered.
	maxReadAheadBytes atomic.Int64

	mu           sync.Mutex // guards the fields below
	conns        map[*clientConn]struct{}
	openConns    int        // of conns, those not asked to close
	notClosable  int        // of conns, those that cannot be asked to close yet
	openRequests int        // submitted, and their answers not written
	acceptLoops  int        // running calls of Serve
	changed      *sync.Cond // a connection was closed or changed its state, the budget changed, or an accept loop ended
}

// Backend is a pool of endpoints as the server sees it: where a request goes, and under which conditions.
type Backend struct {
	Loop       *routing.Loop
	Admission  AdmissionController // nil admits every request
	RetryAfter time.Duration       // advice to the clients of a pool that is overloaded or stuck; 0 gives none
	Chain      *Chain              // nil if requests carry no chain header
	Utilities  []float64           // by class, for the chain header
	Origin     string              // header field that identifies the origin of a request; empty for none
}

// utility returns the utility of a class, 0 if it has none.
func (b *Backend) utility(class int) float64 {
	if class < len(b.Utilities) {
		return b.Utilities[class]
	}
	return 0
}

// originHash returns a hash of the request's origin, 0 if the origin is not known.
func (b *Backend) originHash(m *protocol.Message) uint64 {
	if v := m.Header[b.Origin]; b.Origin != "" && len(v) == 1 && v[0] != "" {
		return max(xxhash.Sum64String(v[0]), 1)
	}
	return 0
}

// AdmissionController admits requests to a pool within its share of the process's limits. It is safe for concurrent use.
type AdmissionController interface {
	// Admit reserves capacity for a request with a body of the given number of bytes; ok is false if there is none free.
	Admit(body int) (admission Admission, ok bool)
}

// Admission is the capacity that a request holds in its pool.
type Admission interface {
	Sent()    // the request no longer waits in the queue for an endpoint
	Release() // the request has been answered
}

// Router returns the backend of a request and the metadata that the request carries. An error is a *protocol.Error.
type Router func(*protocol.Message) (*Backend, protocol.RequestMeta, error)

// SinglePoolRouter returns a Router that sends all requests to one backend and reads the metadata of the platform's protocol.
func SinglePoolRouter(b *Backend, classes []protocol.Class) Router {
	return func(m *protocol.Message) (*Backend, protocol.RequestMeta, error) {
		meta, err := protocol.ReadRequestMeta(m, classes)
		return b, meta, err
	}
}

// NewServer returns a Server that keeps its client connections within a budget.
func NewServer(clock routing.Clock, router Router, budget Budget, log *slog.Logger) *Server {
	s := &Server{clock: clock, budget: budget, log: log, input: newInputQueue(), guard: guard.New(log), conns: map[*clientConn]struct{}{}}
	s.changed = sync.NewCond(&s.mu)
	s.maxReadAheadBytes.Store(budget.ReadAheadBytes)
	s.SetRoutes(router)
	return s
}

// UseGuard sets the guard that checks the process's invariants. It must be called before Serve.
func (s *Server) UseGuard(g *guard.Guard) { s.guard = g }

// SetRoutes replaces the router for the requests received from now on.
func (s *Server) SetRoutes(router Router) { s.router.Store(&router) }

// SetBudget replaces the budget. Connections above it are closed as they become idle.
func (s *Server) SetBudget(budget Budget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = budget
	s.maxReadAheadBytes.Store(budget.ReadAheadBytes)
	for s.openConns > s.budget.ClientConns && s.requestClose() {
	}
	s.changed.Broadcast()
}

// Serve accepts connections until the listener is closed or, while the Server stops, until no further client connects. Several
// listeners may be served at the same time.
func (s *Server) Serve(ln net.Listener) {
	s.mu.Lock()
	s.acceptLoops++
	s.serving.Store(true)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.acceptLoops--
		s.changed.Broadcast()
		s.mu.Unlock()
	}()
	var backoff acceptBackoff
	for {
		s.awaitDescriptor()
		if s.closing.Load() {
			limitAccept(ln)
		}
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || s.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // out of descriptors, for example: open connections are served on
			backoff.onError(err, s.log)
			continue
		}
		backoff.onSuccess(s.log)
		go s.register(conn).serve()
	}
}

// register adds a connection to the Server. It can be asked to close only from its first read on. Before that it has not set its
// read deadline, and setting it would undo the wake-up: the connection would stay open until its timeout, and whoever waits for its
// descriptor would wait as long.
func (s *Server) register(conn net.Conn) *clientConn {
	c := &clientConn{server: s, conn: conn, state: clientActive, since: time.Now(), wake: make(chan struct{}, 1)}
	c.credit.refill()
	s.mu.Lock()
	defer s.mu.Unlock()
	// New connections are the first to close, but cannot be asked to yet. Without this wait an idle client connection is closed in
	// their place.
	for s.openConns >= s.budget.ClientConns && s.notClosable > 0 {
		s.changed.Wait()
	}
	c.overBudget = s.openConns >= s.budget.ClientConns && !s.requestClose()
	s.conns[c] = struct{}{}
	s.openConns++
	s.notClosable++
	return c
}

// awaitDescriptor waits until there is a descriptor for one more connection.
func (s *Server) awaitDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.descriptorWanted.Store(false)
	for len(s.conns) >= s.budget.ClientConns+s.budget.OverflowConns {
		s.descriptorWanted.Store(true)
		// One at a time: while one connection that was asked to close still holds its descriptor, no second client must lose its own.
		if s.openConns == len(s.conns) && !s.requestClose() { // a partial request may be past its grace period soon
			time.AfterFunc(partialRequestGrace, s.changed.Broadcast)
		}
		s.changed.Wait()
	}
}

// partialRequestGrace is how long a request may take to arrive before its connection may be asked to close.
const partialRequestGrace = 100 * time.Millisecond

// requestClose asks one connection without a request in flight to close, and reports whether there was one. The connection's own
// goroutine closes it, as it alone knows what has been read: from here a connection could be closed just after a request was
// read from it. Connections that have never sent a request go first, then those with a partial request: a mass of either must
// not push out clients that reuse their connections. s.mu is held.
func (s *Server) requestClose() bool {
	for {
		var candidate *clientConn
		for c := range s.conns {
			inGrace := time.Since(c.since) < partialRequestGrace && (c.state == clientReading || c.state == clientNew && s.closing.Load())
			switch {
			case c.closeRequested || c.state == clientActive || inGrace:
			case candidate == nil || c.state < candidate.state || c.state == candidate.state && c.since.Before(candidate.since):
				candidate = c
			}
		}
		if candidate == nil {
			return false
		}
		if (candidate.state == clientNew || candidate.state == clientIdle) && peek(candidate.conn) == peekData {
			candidate.state = clientActive // a request has arrived, and the goroutine has not run yet
			continue
		}
		candidate.closeRequested = true
		s.openConns--
		candidate.conn.SetReadDeadline(pastDeadline()) // wakes up its read
		candidate.wakeUp()
		return true
	}
}

// pastDeadline returns a read deadline in the past, which wakes up a blocked read.
func pastDeadline() time.Time { return time.Unix(1, 0) }

// Stop drains the Server. For two thirds of the time that later requests have, requests are served as before: clients keep their
// connections, as there may be no other sidecar for them and a successor starts no sooner if this process ends early. Then it accepts
// the connections that still wait in the accept queue, closes idle ones and waits until every request has its answer. Requests
// received since the call are answered within limits.LaterRequests. Those received before keep their deadlines, and are answered as
// failed after limits.EarlierRequests. Once the context is done, all open requests are.
func (s *Server) Stop(ctx context.Context, limits shutdown.Limits, lns ...net.Listener) {
	within := limits.LaterRequests
	ctx, cancelEarlier := context.WithTimeout(ctx, limits.EarlierRequests)
	defer cancelEarlier()
	s.drainDeadline.Store(int64(s.clock.Now() + within - deadlineGrace))
	s.draining.Store(true)
	s.stopRequestedAt.Store(int64(s.clock.Now())) // after draining is set: a request received later than this has seen it
	// A connection answers its client itself once the deadline has passed; the listeners must not close before that.
	acceptCtx, cancel := context.WithTimeout(ctx, within+4*deadlineGrace)
	defer cancel()
	select {
	case <-time.After(within * 2 / 3):
	case <-ctx.Done():
	}
	s.closing.Store(true)
	// A client in the kernel's accept queue is connected and may have sent its request, which closing the listener would lose. The
	// queue counts as empty once no connection has arrived for finalAcceptWindow.
	for _, ln := range lns {
		limitAccept(ln)
	}
	defer context.AfterFunc(acceptCtx, s.changed.Broadcast)()
	defer context.AfterFunc(ctx, s.failOpenRequests)()
	s.awaitClosedConnections(ctx, acceptCtx, lns)
	closeListeners(lns)
}

// awaitClosedConnections waits until the accept loops have ended and no connection is left. Once acceptCtx is done it closes the
// listeners and waits only for open requests, and once ctx is done for nothing but the writing of their answers.
func (s *Server) awaitClosedConnections(ctx, acceptCtx context.Context, lns []net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	logged := false
	lastOpen := time.Now() // when there was an open request
	for s.acceptLoops+len(s.conns) > 0 {
		for s.requestClose() {
		}
		if s.openRequests > 0 && ctx.Err() == nil {
			lastOpen = time.Now()
		}
		if s.acceptLoops == 0 || acceptCtx.Err() != nil {
			closeListeners(lns)
		}
		if acceptCtx.Err() != nil {
			if time.Since(lastOpen) > finalWriteTimeout {
				return
			}
			if !logged {
				logged = true
				s.log.Info("still draining: requests received before the stop have time left", "requests", s.openRequests, "connections", len(s.conns))
			}
		}
		time.AfterFunc(partialRequestGrace, s.changed.Broadcast) // a partial request may be past its grace period soon
		s.changed.Wait()
	}
}

// finalWriteTimeout is how long a stopping Server waits for answers to be written and for clients to close their side, once no request
// is open.
const finalWriteTimeout = 100 * time.Millisecond

// addOpenRequests changes the number of open requests.
func (s *Server) addOpenRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests += n
	if n < 0 && s.draining.Load() {
		s.changed.Broadcast()
	}
}

// failOpenRequests makes each connection with a request in flight answer it at once.
func (s *Server) failOpenRequests() {
	s.expired.Store(true) // before the wake-ups: a connection that sets its read deadline later looks at it again
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.conn.SetReadDeadline(pastDeadline())
		c.wakeUp()
	}
}

// drainOverdue reports whether the Server stops and the time for requests received since then is over.
func (s *Server) drainOverdue() bool {
	return s.draining.Load() && s.clock.Now() > time.Duration(s.drainDeadline.Load())
}

// stoppedBefore reports whether the Server had been asked to stop before the given time.
func (s *Server) stoppedBefore(t time.Time) bool {
	stopRequestedAt := time.Duration(s.stopRequestedAt.Load())
	return stopRequestedAt > 0 && s.clock.At(stopRequestedAt).Before(t)
}

// checkReady records an invariant violation if a readiness check received at the given time was answered "ready" although the
// Server had no listener yet or had been asked to stop before.
func (s *Server) checkReady(receivedAt time.Duration) {
	stopRequested := time.Duration(s.stopRequestedAt.Load())
	if !s.serving.Load() || stopRequested > 0 && receivedAt > stopRequested {
		s.guard.RecordViolation(guard.Start, "came", receivedAt, "stops_since", stopRequested, "serving", s.serving.Load())
	}
}

func closeListeners(lns []net.Listener) {
	for _, ln := range lns {
		ln.Close() // closing twice is harmless
	}
}

// limitAccept makes a listener accept connections for finalAcceptWindow longer. A listener without deadlines is closed.
func limitAccept(ln net.Listener) {
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(finalAcceptWindow)) != nil {
		ln.Close()
	}
}

// finalAcceptWindow is how long no client has connected when a stopping Server no longer accepts.
const finalAcceptWindow = 50 * time.Millisecond
