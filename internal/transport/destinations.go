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
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// Options are what the connections to destinations are held by.
type ConnectionPoolOptions struct {
	Clock               routing.Clock
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration // a connection that has stood idle this long is closed
	ConnectionLimiter   ConnLimiter   // connections at a time
	ForwardClientErrors bool          // answers of every status under 500 are the client's; otherwise those of 200 alone
	LoadFields          []string      // of load reports, in the settings' words
	ProbePath           string
	ChainHeader         string // the field of the chain's word; empty for none
	ForwardDeclined     bool   // what a service below has declined is the client's answer; otherwise it is one that never ran
	Log                 *slog.Logger
}

// Destinations carries attempts over pooled connections. It implements routing.Carrier.
type ConnectionPool struct {
	ConnectionPoolOptions
	mu     sync.Mutex
	closed bool
	idle   map[*routing.Endpoint][]*link // newest last
}

// NewDestinations returns a Destinations without connections.
func NewConnectionPool(o ConnectionPoolOptions) *ConnectionPool {
	return &ConnectionPool{ConnectionPoolOptions: o, idle: map[*routing.Endpoint][]*link{}}
}

// probeTimeout is how long the answer to a probe is waited for.
const probeTimeout = time.Second

var _ routing.Transport = (*ConnectionPool)(nil)

// Carry starts an attempt. It implements routing.Carrier.
func (u *ConnectionPool) Send(a *routing.Attempt, done func(routing.Result)) {
	go func() {
		t := &task{done: done, deadline: u.Clock.At(a.Deadline), opened: a.ConnectionOpened}
		defer u.caught(t)
		word := protocol.Field{Name: u.ChainHeader}
		stale := func() bool {
			ok := !a.Stale()
			if ok && a.Request.Header != nil {
				word.Value, ok = a.Request.Header()
			}
			return !ok
		}
		u.run(a.Context, a.Endpoint, t, stale, func() net.Buffers {
			m := a.Request.Payload.(*protocol.Message)
			return net.Buffers{protocol.RequestHead(m, a.Begin(), word), m.Body}
		})
	}()
}

// Probe asks a destination for its health and load. It implements routing.Carrier.
func (u *ConnectionPool) Probe(d *routing.Endpoint, done func(routing.Result)) {
	go func() {
		t := &task{done: done, deadline: time.Now().Add(probeTimeout), probe: true, opened: func() {}}
		defer u.caught(t)
		u.run(context.Background(), d, t, d.Closed, func() net.Buffers { // a probe, too, is nothing for who drains
			return net.Buffers{protocol.GetRequest(d.Address, u.ProbePath)}
		})
	}()
}

// caught keeps a panic at its attempt, which ends by how far it had come.
func (u *ConnectionPool) caught(t *task) {
	if p := recover(); p != nil {
		u.Log.Error("panic at a destination", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		t.fail(errPanic)
	}
}

var (
	errPanic  = errors.New("panic")
	errStale  = errors.New("it may no longer be sent")
	errSpoilt = errors.New("spoilt answer") // it cannot be read, or is not this request's; that may have run
	errNotUp  = errors.New("the connection has not come up in time")
	errNoRoom = errors.New("the budget of descriptors is spent")
)

// run takes a task through a connection up to the last byte written; the connection's reader ends it.
func (u *ConnectionPool) run(ctx context.Context, d *routing.Endpoint, t *task, stale func() bool, text func() net.Buffers) {
	k, err := u.connect(ctx, d, t)
	if err != nil {
		t.fail(err)
		return
	}
	// What has come since the decision may forbid the send: the last look is here, before the first byte.
	if stale() {
		k.release(t)
		t.fail(errStale)
		return
	}
	t.onEnd(context.AfterFunc(ctx, func() { k.end(t, ctx.Err()) }))
	k.write(t, text())
}

// connect gives a task a connection: the newest idle one that still stands, or a new one.
func (u *ConnectionPool) connect(ctx context.Context, d *routing.Endpoint, t *task) (*link, error) {
	for {
		k := u.newest(d)
		if k == nil {
			break
		}
		if k.begin(t) {
			return k, nil
		}
	}
	for !u.ConnectionLimiter.Acquire() {
		if !u.EvictOldestIdle() {
			return nil, errNoRoom
		}
	}
	t.progress = routing.Connecting
	t.opened()
	until := time.Now().Add(u.ConnectTimeout)
	if t.deadline.Before(until) {
		until = t.deadline
	}
	conn, err := u.dial(ctx, d, until)
	if err != nil {
		return nil, err
	}
	k := u.link(d, conn)
	t.progress = routing.NotSent
	k.begin(t)
	go k.read()
	return k, nil
}

func (u *ConnectionPool) link(d *routing.Endpoint, conn net.Conn) *link {
	return &link{home: u, to: d, conn: conn, machine: protocol.Parser{Responses: true}}
}

// dial opens a connection for which there is room. One that is not up in time is waited for without the attempt: it comes
// to rest for the next one, which would have to wait as long for a new one.
func (u *ConnectionPool) dial(ctx context.Context, d *routing.Endpoint, until time.Time) (net.Conn, error) {
	type dialed struct {
		conn net.Conn
		err  error
	}
	came := make(chan dialed, 1)
	go func() {
		dialer := net.Dialer{Timeout: max(time.Until(until), latestUp), KeepAlive: -1}
		conn, err := dialer.Dial("tcp", d.Address)
		if err != nil {
			u.ConnectionLimiter.Release()
		}
		came <- dialed{conn, err}
	}()
	enough := time.NewTimer(time.Until(until))
	defer enough.Stop()
	err := errNotUp
	select {
	case c := <-came:
		return c.conn, c.err
	case <-enough.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		if c := <-came; c.err == nil {
			k := u.link(d, c.conn)
			k.mu.Lock()
			k.rest()
			k.mu.Unlock()
			go k.read()
			u.put(k)
		}
	}()
	return nil, err
}

// latestUp is how long a connection may take to come up.
const latestUp = 2 * time.Second

func (u *ConnectionPool) newest(d *routing.Endpoint) *link {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[d]
	// What comes behind an answer, a second copy of it say, is seen while the connection rests; one that works again at
	// once would take it for its next answer.
	rested := time.Now().Add(-minIdleTime)
	// One that has been idle for too long is left to its reader, which ends it when it runs: the process may have stood still.
	oldest := time.Now().Add(-u.IdleTimeout)
	for i := len(list) - 1; i >= 0; i-- {
		if k := list[i]; k.since.Before(rested) && k.since.After(oldest) {
			u.keep(d, slices.Delete(list, i, i+1))
			return k
		}
	}
	return nil
}

// leastRest is how long a connection is idle at the least: a copy may come some milliseconds late.
const minIdleTime = 20 * time.Millisecond

func (u *ConnectionPool) keep(d *routing.Endpoint, list []*link) {
	if len(list) == 0 {
		delete(u.idle, d)
	} else {
		u.idle[d] = list
	}
}

// put keeps an idle connection, unless its destination takes nothing new.
func (u *ConnectionPool) put(k *link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.dead: // it ended before it came here
	case k.to.Closed() || u.closed:
		k.close()
	default:
		u.idle[k.to] = append(u.idle[k.to], k)
	}
}

func (u *ConnectionPool) remove(k *link) {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[k.to]
	if i := slices.Index(list, k); i >= 0 {
		u.keep(k.to, slices.Delete(list, i, i+1))
	}
}

// CloseIdle closes the idle connections to a destination. It implements routing.Carrier.
func (u *ConnectionPool) CloseIdle(d *routing.Endpoint) {
	u.mu.Lock()
	list := u.idle[d]
	delete(u.idle, d)
	u.mu.Unlock()
	for _, k := range list {
		k.conn.Close()
	}
}

// Close closes all idle connections. Others are closed when their attempts end.
func (u *ConnectionPool) Close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	for u.EvictOldestIdle() {
	}
}

// Evict closes the connection that has been idle longest, to make room, and tells whether there was one.
func (u *ConnectionPool) EvictOldestIdle() bool {
	u.mu.Lock()
	var oldest *link
	for _, list := range u.idle {
		if k := list[0]; oldest == nil || k.since.Before(oldest.since) {
			oldest = k
		}
	}
	if oldest != nil {
		u.keep(oldest.to, u.idle[oldest.to][1:])
	}
	u.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	oldest.close()
	return true
}

// result turns a destination's answer into what it means.
func (u *ConnectionPool) result(m *protocol.Message, probe bool) routing.Result {
	r := routing.Result{Load: m.LoadReport(u.LoadFields)}
	if probe && r.Load == nil {
		r.Load = protocol.ParseLoadReport(string(m.Body), u.LoadFields)
	}
	switch {
	case m.Status() == 200 || u.ForwardClientErrors && m.Status() < 500:
		r.Status, r.Payload = balance.OK, m
	case m.IsDeclined(u.ChainHeader) && u.ForwardDeclined:
		r.Status, r.Payload = balance.Declined, m
	case m.Unprocessed(), m.IsDeclined(u.ChainHeader):
		r.Status = balance.Rejected
	default:
		r.Status = balance.Error
	}
	return r
}
