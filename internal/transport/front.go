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
)

// Front serves listeners, which clients connect to. It is ready as soon as it serves: whatever clients send then
// comes to the loop after the list that the sidecar started with.
type Server struct {
	clock  routing.Clock
	find   atomic.Pointer[Router]
	log    *slog.Logger
	budget Budget

	closings   closings
	guard      *guard.Guard
	serving    atomic.Bool  // it has been given a listener
	draining   atomic.Bool  // no longer ready
	closing    atomic.Bool  // connections end with their next answer
	crowded    atomic.Bool  // somebody waits for a descriptor
	until      atomic.Int64 // where draining: when all must be answered, on the loop's clock
	stopsSince atomic.Int64 // when it was told to stop, on the loop's clock; 0 for not
	mu         sync.Mutex
	conns      map[*frontConn]struct{}
	live       int        // of conns, those that were not asked to end
	fresh      int        // of conns, those without their first mark
	accepts    int        // listeners that are still accepted from
	changed    *sync.Cond // a connection has ended or become idle, or a listener is done with
}

// Service is a pool as the listener sees it.
type Backend struct {
	Loop       *routing.Loop
	Admission  AdmissionController // nil lets everything in
	RetryAfter time.Duration       // when to come back to a pool that is full or stuck, 0 for no advice
	Chain      *Chain              // nil where operations carry no word of a chain
	Utilities  []float64           // of the classes, for the chain
	Origin     string              // the field that names whom an operation comes from; empty for none
}

// worth is that of a class, for the chain's word.
func (s *Backend) worth(class int) float64 {
	if class < len(s.Utilities) {
		return s.Utilities[class]
	}
	return 0
}

// origin is a hash of whom a request comes from, 0 where that is not known.
func (s *Backend) origin(m *protocol.Message) uint64 {
	if v := m.Header[s.Origin]; s.Origin != "" && len(v) == 1 && v[0] != "" {
		return max(xxhash.Sum64String(v[0]), 1)
	}
	return 0
}

// Gate lets operations into a pool as far as its share of the process goes. Any goroutine may call it.
type AdmissionController interface {
	// Enter takes room for an operation with a body of some bytes; ok is false where there is none.
	Admit(body int) (pass Admission, ok bool)
}

// Pass is an operation's room in its pool.
type Admission interface {
	Sent()    // it waits for a destination no more
	Release() // it has its answer
}

// Directions find the service of a request and read its figures. An error is a *protocol.Error.
type Router func(*protocol.Message) (*Backend, protocol.RequestMeta, error)

// OnePool leads all requests to one pool, by the platform's protocol.
func SinglePoolRouter(s *Backend, classes []protocol.Class) Router {
	return func(m *protocol.Message) (*Backend, protocol.RequestMeta, error) {
		op, err := protocol.ReadRequestMeta(m, classes)
		return s, op, err
	}
}

// NewFront returns a Front that keeps to its part of a budget.
func NewServer(clock routing.Clock, find Router, budget Budget, log *slog.Logger) *Server {
	f := &Server{clock: clock, budget: budget, log: log, guard: guard.New(log), conns: map[*frontConn]struct{}{}}
	f.changed = sync.NewCond(&f.mu)
	f.SetRoutes(find)
	return f
}

// UseGuard has the Front ask and tell the guard of its process. It is called before Serve.
func (f *Server) UseGuard(g *guard.Guard) { f.guard = g }

// Lead has requests that come from now on go by other directions.
func (f *Server) SetRoutes(find Router) { f.find.Store(&find) }

// Keep has the Front keep to another part of a budget. Connections beyond it end as they become idle.
func (f *Server) SetBudget(budget Budget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget = budget
	for f.live > f.budget.ClientConns && f.askOne() {
	}
	f.changed.Broadcast()
}

// Serve accepts connections until the listener closes, or until nobody comes any more once the Front stops. Several
// listeners may be served at a time.
func (f *Server) Serve(ln net.Listener) {
	f.mu.Lock()
	f.accepts++
	f.serving.Store(true)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.accepts--
		f.changed.Broadcast()
		f.mu.Unlock()
	}()
	var failing acceptFailure
	for {
		f.room()
		if f.closing.Load() {
			limit(ln)
		}
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || f.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // a lack of descriptors, say: what is being served goes on
			failing.failed(err, f.log)
			continue
		}
		failing.over(f.log)
		go f.enter(conn).serve()
	}
}

// enter makes a connection one of the Front's. It may be asked to end from its first mark on: before, it has not set the time
// of its read, and would do so over the wake-up. It stood for its whole time then, and whoever waited for its descriptor with it.
func (f *Server) enter(conn net.Conn) *frontConn {
	c := &frontConn{front: f, conn: conn, stage: working, since: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Those that have just come cannot be asked yet, and are the first that should be: a client that rests was asked in their place.
	for f.live >= f.budget.ClientConns && f.fresh > 0 {
		f.changed.Wait()
	}
	c.beyond = f.live >= f.budget.ClientConns && !f.askOne()
	f.conns[c] = struct{}{}
	f.live++
	f.fresh++
	return c
}

// room waits until there is a descriptor for one more connection.
func (f *Server) room() {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.crowded.Store(false)
	for len(f.conns) >= f.budget.ClientConns+f.budget.OverflowConns {
		f.crowded.Store(true)
		// One at a time, or those that were just asked to end would cost others their connection.
		if f.live == len(f.conns) && !f.askOne() { // a request that is coming now may be late in a moment
			time.AfterFunc(tooSlow, f.changed.Broadcast)
		}
		f.changed.Wait()
	}
}

// tooSlow is how long a request may be coming before its connection may be asked to end.
const tooSlow = 100 * time.Millisecond

// askOne asks a connection that has no request out to end. Its own goroutine ends it, which alone knows what was read:
// closed from here a connection could be closed over a request that had just come. Those that have never sent one go
// first, then those that are slow to: crowds of them must not crowd out clients that ask again on the connection they
// have. f.mu is held.
func (f *Server) askOne() bool {
	for {
		var next *frontConn
		for c := range f.conns {
			early := time.Since(c.since) < tooSlow && (c.stage == coming || c.stage == silent && f.closing.Load())
			switch {
			case c.asked || c.stage == working || early:
			case next == nil || c.stage < next.stage || c.stage == next.stage && c.since.Before(next.since):
				next = c
			}
		}
		if next == nil {
			return false
		}
		if next.stage != coming && peek(next.conn) == peekData {
			next.stage = working // a request has come, and its goroutine has not run yet
			continue
		}
		next.asked = true
		f.live--
		next.conn.SetReadDeadline(longAgo()) // wakes its read
		return true
	}
}

// longAgo as the time of a read wakes that read.
func longAgo() time.Time { return time.Unix(1, 0) }

// Stop serves on for two thirds of its time: clients keep the connections that they have, there may be no other sidecar
// for them, and the next one starts no sooner for this one's end. Then it takes what still waits to be accepted, ends
// what is idle and waits until nothing is owed. What comes meanwhile has no more time than is left.
func (f *Server) Stop(ctx context.Context, within time.Duration, lns ...net.Listener) {
	f.until.Store(int64(f.clock.Now() + within - answerGrace))
	f.draining.Store(true)
	f.stopsSince.Store(int64(f.clock.Now())) // behind it: whoever comes after this time has seen that it stops
	// A connection answers by itself at the very end; the process must not end under that.
	ctx, cancel := context.WithTimeout(ctx, within+4*answerGrace)
	defer cancel()
	select {
	case <-time.After(within * 2 / 3):
	case <-ctx.Done():
	}
	f.closing.Store(true)
	// Whoever waits in the system's queue has been told that it is connected, and has sent its request: closing the
	// listener over it would lose that. A moment without anybody new ends the queue.
	for _, ln := range lns {
		limit(ln)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer context.AfterFunc(ctx, f.changed.Broadcast)()
	for ctx.Err() == nil && f.accepts+len(f.conns) > 0 {
		for f.askOne() {
		}
		if f.accepts == 0 {
			closeAll(lns)
		}
		time.AfterFunc(tooSlow, f.changed.Broadcast) // a request that is coming now may be late in a moment
		f.changed.Wait()
	}
	closeAll(lns)
}

// checkReady counts a violation where the answer to a question that came at some time was that the process is ready, and it was
// not: it had no listener of its own yet, or had been told to stop before.
func (f *Server) checkReady(came time.Duration) {
	since := time.Duration(f.stopsSince.Load())
	if !f.serving.Load() || since > 0 && came > since {
		f.guard.RecordViolation(guard.Start, "came", came, "stops_since", since, "serving", f.serving.Load())
	}
}

func closeAll(lns []net.Listener) {
	for _, ln := range lns {
		ln.Close() // again does no harm
	}
}

// limit has a listener accept connections for a moment more, from now; one that cannot be limited so is closed.
func limit(ln net.Listener) {
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Now().Add(lastAccept)) != nil {
		ln.Close()
	}
}

// lastAccept is how long nobody has come when a Front that stops accepts no more.
const lastAccept = 50 * time.Millisecond
