package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/errnoclass"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// ConnectionPoolOptions are the settings of a ConnectionPool.
type ConnectionPoolOptions struct {
	Clock               routing.Clock
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration // a connection that has been idle this long is closed
	ConnectionLimiter   ConnLimiter   // bounds the number of open connections
	ForwardClientErrors bool          // forward responses of every status under 500 to the client; otherwise only those with 200
	LoadFields          []string      // fields to read from load reports, as named in the settings
	ProbePath           string
	ChainHeader         string // name of the header field of package chain; empty for none
	ForwardDeclined     bool   // forward to the client what a service downstream has declined; otherwise such a request counts as rejected unprocessed
	Log                 *slog.Logger
}

// dialFunc opens a TCP connection to an address within a timeout.
type dialFunc func(address string, timeout time.Duration) (net.Conn, error)

// dialTCP is the dialFunc of every pool outside of tests.
func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp", address)
}

// ConnectionPool sends attempts over pooled connections to the endpoints. It implements routing.Transport.
type ConnectionPool struct {
	ConnectionPoolOptions
	connect dialFunc // replaced in tests only

	mu     sync.Mutex
	closed bool
	idle   map[*routing.Endpoint][]*upstreamConn // newest last
}

// NewConnectionPool returns a ConnectionPool without connections.
func NewConnectionPool(o ConnectionPoolOptions) *ConnectionPool {
	return &ConnectionPool{ConnectionPoolOptions: o, connect: dialTCP, idle: map[*routing.Endpoint][]*upstreamConn{}}
}

// probeTimeout bounds a probe, from its start to its response.
const probeTimeout = time.Second

var _ routing.Transport = (*ConnectionPool)(nil)

// Send starts an attempt and returns at once. It implements routing.Transport.
func (p *ConnectionPool) Send(a *routing.Attempt, done func(routing.Result)) {
	go func() {
		e := &exchange{done: done, deadline: p.Clock.At(a.Deadline), onConnect: a.ConnectionOpened}
		defer p.recoverPanic(e)
		chainField := protocol.Field{Name: p.ChainHeader}
		stale := func() bool {
			ok := !a.Stale()
			if ok && a.Request.Header != nil {
				chainField.Value, ok = a.Request.Header()
			}
			return !ok
		}
		p.send(a.Context, a.Endpoint, e, stale, func() net.Buffers {
			m := a.Request.Payload.(*protocol.Message)
			return net.Buffers{protocol.RequestHead(m, a.Begin(), chainField), m.Body}
		})
	}()
}

// Probe asks an endpoint for its health and load. It implements routing.Transport.
func (p *ConnectionPool) Probe(d *routing.Endpoint, done func(routing.Result)) {
	go func() {
		e := &exchange{done: done, deadline: time.Now().Add(probeTimeout), probe: true, onConnect: func() {}}
		defer p.recoverPanic(e)
		p.send(context.Background(), d, e, d.Closed, func() net.Buffers { // a draining endpoint must not get a probe either
			return net.Buffers{protocol.GetRequest(d.Address, p.ProbePath)}
		})
	}()
}

// recoverPanic confines a panic to its exchange, which fails according to its progress.
func (p *ConnectionPool) recoverPanic(e *exchange) {
	if r := recover(); r != nil {
		p.Log.Error("panic while sending to an endpoint", "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
		e.fail(errPanic)
	}
}

var (
	errPanic           = errors.New("panic")
	errStale           = errors.New("sending is no longer allowed")
	errInvalidResponse = errors.New("invalid response") // unreadable, or not of this request, which may have run
	errConnectTimeout  = errors.New("connect timeout")
	errConnectionLimit = errors.New("connection limit reached")
)

// send acquires a connection for an exchange and writes the request; the connection's read loop finishes the exchange.
func (p *ConnectionPool) send(ctx context.Context, d *routing.Endpoint, e *exchange, stale func() bool, text func() net.Buffers) {
	uc, err := p.acquire(ctx, d, e)
	if err != nil {
		e.fail(err)
		return
	}
	// Sending may have become invalid since the decision, so this is checked again before the first byte.
	if stale() {
		uc.release(e)
		e.fail(errStale)
		return
	}
	e.onFinish(context.AfterFunc(ctx, func() { uc.abort(e, ctx.Err()) }))
	uc.write(e, text())
}

// acquire assigns a connection to an exchange: the most recently used idle one that is still open, or a new one.
func (p *ConnectionPool) acquire(ctx context.Context, d *routing.Endpoint, e *exchange) (*upstreamConn, error) {
	for {
		uc := p.popNewestIdle(d)
		if uc == nil {
			break
		}
		if uc.assign(e) {
			return uc, nil
		}
	}
	for !p.ConnectionLimiter.Acquire() {
		if !p.EvictOldestIdle() {
			return nil, errConnectionLimit
		}
	}
	e.progress = routing.Connecting
	e.onConnect()
	until := time.Now().Add(p.ConnectTimeout)
	if e.deadline.Before(until) {
		until = e.deadline
	}
	conn, err := p.dial(ctx, d, until)
	if err != nil {
		if errnoclass.Of(errnoclass.Connect, err) == errnoclass.LocalFailure {
			e.progress = routing.NotSent // must not count against the endpoint
		}
		return nil, err
	}
	uc := p.newUpstreamConn(d, conn)
	e.progress = routing.NotSent
	uc.assign(e)
	go uc.readLoop()
	return uc, nil
}

// newUpstreamConn wraps a connection to an endpoint. Its read loop is not started.
func (p *ConnectionPool) newUpstreamConn(d *routing.Endpoint, conn net.Conn) *upstreamConn {
	return &upstreamConn{pool: p, endpoint: d, conn: conn, parser: protocol.Parser{Responses: true}}
}

// dial opens a connection, which the caller has reserved with ConnectionLimiter. A connection that is not established in
// time fails the attempt, but dialing goes on in the background: the connection then becomes idle for the next attempt,
// which would otherwise have to wait as long for a new one.
func (p *ConnectionPool) dial(ctx context.Context, d *routing.Endpoint, until time.Time) (net.Conn, error) {
	type dialed struct {
		conn net.Conn
		err  error
	}
	dialDone := make(chan dialed, 1)
	go func() {
		conn, err := p.connect(d.Address, max(time.Until(until), minDialTimeout))
		if err != nil {
			p.ConnectionLimiter.Release()
		}
		dialDone <- dialed{conn, err}
	}()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	err := errConnectTimeout
	select {
	case c := <-dialDone:
		return c.conn, c.err
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		if c := <-dialDone; c.err == nil {
			uc := p.newUpstreamConn(d, c.conn)
			uc.mu.Lock()
			uc.markIdle()
			uc.mu.Unlock()
			go uc.readLoop()
			p.putIdle(uc)
		}
	}()
	return nil, err
}

// minDialTimeout is the minimum time that dialing may take, with what goes on in the background after the attempt has failed.
const minDialTimeout = 2 * time.Second

// popNewestIdle removes and returns the most recently used idle connection to an endpoint, nil if there is none.
func (p *ConnectionPool) popNewestIdle(d *routing.Endpoint) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[d]
	// Bytes after a response, for example a duplicate of it, are detected while the connection is idle. If it were reused
	// at once, they would be taken for the next response.
	minIdle := time.Now().Add(-minIdleTime)
	// A connection that has exceeded the idle timeout is left to its read loop, which closes it. It can still be listed when
	// the process was suspended.
	oldest := time.Now().Add(-p.IdleTimeout)
	for i := len(list) - 1; i >= 0; i-- {
		if uc := list[i]; uc.idleSince.Before(minIdle) && uc.idleSince.After(oldest) {
			p.setIdle(d, slices.Delete(list, i, i+1))
			return uc
		}
	}
	return nil
}

// minIdleTime is how long a connection is idle before it is reused: a duplicate response may arrive some milliseconds late.
const minIdleTime = 20 * time.Millisecond

// setIdle replaces the list of idle connections to an endpoint. p.mu is held.
func (p *ConnectionPool) setIdle(d *routing.Endpoint, list []*upstreamConn) {
	if len(list) == 0 {
		delete(p.idle, d)
	} else {
		p.idle[d] = list
	}
}

// putIdle adds an idle connection to the pool, or closes it if its endpoint accepts no new requests or the pool is closed.
func (p *ConnectionPool) putIdle(uc *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	uc.mu.Lock()
	defer uc.mu.Unlock()
	switch {
	case uc.closed: // it was closed before it was added
	case uc.endpoint.Closed() || p.closed:
		uc.close()
	default:
		p.idle[uc.endpoint] = append(p.idle[uc.endpoint], uc)
	}
}

// removeIdle removes a connection from the pool if it is there.
func (p *ConnectionPool) removeIdle(uc *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[uc.endpoint]
	if i := slices.Index(list, uc); i >= 0 {
		p.setIdle(uc.endpoint, slices.Delete(list, i, i+1))
	}
}

// CloseIdle closes the idle connections to an endpoint. It implements routing.Transport.
func (p *ConnectionPool) CloseIdle(d *routing.Endpoint) {
	p.mu.Lock()
	list := p.idle[d]
	delete(p.idle, d)
	p.mu.Unlock()
	for _, uc := range list {
		uc.conn.Close()
	}
}

// Close closes all idle connections. Connections in use are closed when their attempts end.
func (p *ConnectionPool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for p.EvictOldestIdle() {
	}
}

// EvictOldestIdle closes the connection that has been idle longest, to free its descriptor, and reports whether there was one.
func (p *ConnectionPool) EvictOldestIdle() bool {
	p.mu.Lock()
	var oldest *upstreamConn
	for _, list := range p.idle {
		if uc := list[0]; oldest == nil || uc.idleSince.Before(oldest.idleSince) {
			oldest = uc
		}
	}
	if oldest != nil {
		p.setIdle(oldest.endpoint, p.idle[oldest.endpoint][1:])
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	oldest.close()
	return true
}

// result maps an endpoint's response to the result of its attempt or probe.
func (p *ConnectionPool) result(m *protocol.Message, probe bool) routing.Result {
	r := routing.Result{Load: m.LoadReport(p.LoadFields)}
	if probe && r.Load == nil {
		r.Load = protocol.ParseLoadReport(string(m.Body), p.LoadFields)
	}
	switch {
	case m.Status() == 200 || p.ForwardClientErrors && m.Status() < 500:
		r.Status, r.Payload = balance.OK, m
	case m.IsDeclined(p.ChainHeader) && p.ForwardDeclined:
		r.Status, r.Payload = balance.Declined, m
	case m.Unprocessed(), m.IsDeclined(p.ChainHeader):
		r.Status = balance.Rejected
	default:
		r.Status = balance.Error
	}
	return r
}
