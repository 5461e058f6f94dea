// Package relay forwards TCP connections and UDP datagrams between two processes and injects network faults: delay, loss,
// blocking of one or both directions, and connection resets. It is transparent to the processes.
//
// On TCP, blocking and loss have the effect that the peers' network stacks would produce: bytes arrive later and in order,
// established connections stay open without traffic, and new connections are never established. Lost datagrams never arrive.
package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// State is the set of faults on a path.
type State struct {
	Delay        time.Duration // one-way, in each direction
	Loss         float64       // fraction of datagrams that are lost; on TCP, of chunks that are retransmitted
	BlockForward bool          // nothing passes from the client to the target
	BlockReverse bool          // nothing passes from the target to the client
}

// TargetState is the state of the target, as a connecting client sees it.
type TargetState uint8

// The states of a target.
const (
	Accepting   TargetState = iota // connections are accepted
	Refusing                       // no listener: connections are refused
	Unreachable                    // host off the network: connections are never established
)

// retransmitTimeout is Linux's minimum TCP retransmission timeout (see RFC 6298).
const retransmitTimeout = 200 * time.Millisecond

// Relay is one path between clients and a target. It is safe for concurrent use.
type Relay struct {
	targetAddress string
	onClientClose func(address string)
	tasks         sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	state         State
	changed       chan struct{} // closed and replaced at each change of state
	closed        bool
	targetState   TargetState
	listenAddress string           // where ln listens
	ln            *net.TCPListener // nil while connections are refused
	blocker       *AcceptBlocker
	conns         map[*proxiedConn]bool
	udpConn       *net.UDPConn
	targetConns   map[string]*net.UDPConn // sockets to the target, by the sender's address
}

// ListenTCP opens a path for TCP connections. The seed determines which chunks are lost.
func ListenTCP(address, target string, seed uint64) (*Relay, error) {
	r := newRelay(target, seed)
	r.listenAddress = address
	r.mu.Lock()
	defer r.mu.Unlock()
	return r, r.updateListener()
}

// OnClientClose sets a function that is called when a client closes or resets its side of a connection, even while the path is
// blocked. Its argument is the address from which the relay connected to the target, as the target sees it. It must be set
// before the first client connects.
func (r *Relay) OnClientClose(f func(address string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onClientClose = f
}

// ListenUDP opens a path for datagrams. Replies of the target go back to the sender. The seed determines which datagrams are lost.
func ListenUDP(address, target string, seed uint64) (*Relay, error) {
	r := newRelay(target, seed)
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if r.udpConn, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	r.tasks.Go(r.forwardDatagrams)
	return r, nil
}

// Listen opens a listener at an address whose previous listener may just have been closed. It retries while the address is in
// use: a child process that is being started inherits the open sockets until it calls exec, so the address can stay in use
// for a moment.
func Listen(address string) (*net.TCPListener, error) {
	for n := 0; ; n++ {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if n == 100 || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func newRelay(target string, seed uint64) *Relay {
	return &Relay{targetAddress: target, rng: rand.New(rand.NewPCG(seed, 0x72656c6179)), changed: make(chan struct{}),
		conns: map[*proxiedConn]bool{}, targetConns: map[string]*net.UDPConn{}}
}

// SetState sets the faults on the path.
func (r *Relay) SetState(s State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
	return r.updateListener()
}

// SetTargetState sets the state of the target, which clients then see at the relay's own listener.
func (r *Relay) SetTargetState(t TargetState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetState = t
	return r.updateListener()
}

// updateListener opens, blocks or closes the listener according to the states of the path and the target. A TCP handshake
// needs both directions and a host that answers. The caller holds r.mu.
func (r *Relay) updateListener() error {
	if r.closed {
		return net.ErrClosed
	}
	if r.udpConn != nil {
		return nil
	}
	switch target := r.targetState; {
	case target == Refusing:
		r.closeListener()
	case target == Unreachable || r.state.BlockForward || r.state.BlockReverse:
		if r.ln != nil && r.blocker == nil {
			r.blocker = NewAcceptBlocker(r.ln, &r.tasks)
		}
	case r.ln == nil || r.blocker != nil:
		// A blocked listener is replaced, not reused: the connections in its queue are reset, as after a long outage.
		r.closeListener()
		ln, err := Listen(r.listenAddress)
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.ln, r.listenAddress = ln, ln.Addr().String()
		r.tasks.Go(func() { r.accept(ln) })
	}
	return nil
}

// closeListener closes the listener if it is open, and releases its blocker. The caller holds r.mu.
func (r *Relay) closeListener() {
	if r.blocker != nil {
		r.blocker.Release()
		r.blocker = nil
	}
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
}

// Reset resets all established connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.reset()
	}
}

// Close closes the listener and all connections and waits for the relay's goroutines to end.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
		r.closeListener()
		if r.udpConn != nil {
			r.udpConn.Close()
		}
		for _, c := range r.targetConns {
			c.Close()
		}
		for p := range r.conns {
			p.reset()
		}
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

// current returns the state and the channel that is closed when it changes. ok is false once the path is closed.
func (r *Relay) current() (s State, changed chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed, !r.closed
}

// drawLoss decides at random whether a chunk or a datagram is lost.
func (r *Relay) drawLoss() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Loss > 0 && r.rng.Float64() < r.state.Loss
}

func (r *Relay) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.serveConn(c.(*net.TCPConn)) })
	}
}

// serveConn connects to the target and forwards one client connection until it ends.
func (r *Relay) serveConn(client *net.TCPConn) {
	defer client.Close()
	target, err := net.DialTimeout("tcp", r.targetAddress, 5*time.Second)
	if err != nil {
		client.SetLinger(0) // the target refused it, so the client gets a reset
		return
	}
	defer target.Close()
	p := &proxiedConn{relay: r, client: client, target: target.(*net.TCPConn), closed: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.conns[p] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, p)
		r.mu.Unlock()
	}()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyChunks(p.client, p.target, func(s State) bool { return s.BlockForward }, p.recordSent) })
	directions.Go(func() { p.copyChunks(p.target, p.client, func(s State) bool { return s.BlockReverse }, p.recordReply) })
	directions.Wait()
}

// proxiedConn is one client connection with its connection to the target.
type proxiedConn struct {
	relay          *Relay
	client, target *net.TCPConn
	resetOnce      sync.Once
	closed         chan struct{} // closed by reset
	mu             sync.Mutex
	pendingSince   time.Time // when the client sent the first byte since the target's last reply; zero for none
}

// recordSent records a chunk that the client sent and reports the end of its side.
func (p *proxiedConn) recordSent(x chunk) {
	p.relay.mu.Lock()
	onClose := p.relay.onClientClose
	p.relay.mu.Unlock()
	if x.last && onClose != nil {
		onClose(p.target.LocalAddr().String())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingSince.IsZero() {
		p.pendingSince = time.Now()
	}
}

// recordReply records that the target replied.
func (p *proxiedConn) recordReply(chunk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince = time.Time{}
}

// PendingSince returns when the client sent the first byte of the request that is pending on a connection, even if the path
// delayed it. The connection is identified as for OnClientClose. ok is false if it is unknown or has nothing pending.
func (r *Relay) PendingSince(address string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if p.target.LocalAddr().String() == address {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.pendingSince, !p.pendingSince.IsZero()
		}
	}
	return time.Time{}, false
}

// reset resets both connections. Chunks in transit are discarded.
func (p *proxiedConn) reset() {
	p.resetOnce.Do(func() {
		close(p.closed)
		p.client.SetLinger(0)
		p.target.SetLinger(0)
		p.client.Close()
		p.target.Close()
	})
}

// chunk is the result of one read.
type chunk struct {
	due   time.Time // when it may be delivered
	data  []byte
	last  bool // nothing follows
	reset bool // the connection ended by a reset, not by a close
}

const (
	maxChunkSize    = 32 << 10 // bytes read at once
	maxQueuedChunks = 64       // chunks in transit in one direction; beyond that the sender blocks, as with a full TCP window
)

// copyChunks forwards the chunks of one direction, each when it is due and the direction is not blocked.
func (p *proxiedConn) copyChunks(from, to *net.TCPConn, blocked func(State) bool, record func(chunk)) {
	queue := make(chan chunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		buf := make([]byte, maxChunkSize)
		for {
			n, err := from.Read(buf)
			s, _, _ := p.relay.current()
			due := time.Now().Add(s.Delay)
			if n > 0 && p.relay.drawLoss() {
				due = due.Add(retransmitTimeout)
			}
			x := chunk{due: due, data: append([]byte(nil), buf[:n]...), last: err != nil, reset: err != nil && err != io.EOF}
			record(x)
			select {
			case queue <- x:
			case <-p.closed:
				return
			}
			if err != nil {
				return
			}
		}
	})
	defer reader.Wait()
	for x := range queue {
		if !p.waitToDeliver(x.due, blocked) {
			break
		}
		if len(x.data) > 0 {
			if _, err := to.Write(x.data); err != nil {
				p.reset()
				break
			}
		}
		switch {
		case x.reset:
			p.reset()
		case x.last:
			to.CloseWrite()
		}
	}
	for range queue { // drain the queue, so that the reader does not block on it
	}
}

// waitToDeliver waits until a chunk is due and its direction is not blocked. It returns false if the connection ends first.
func (p *proxiedConn) waitToDeliver(due time.Time, blocked func(State) bool) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.closed:
			return false
		}
	}
	for {
		s, changed, ok := p.relay.current()
		switch {
		case !ok:
			return false
		case !blocked(s):
			return true
		}
		select {
		case <-changed:
		case <-p.closed:
			return false
		}
	}
}

// forwardDatagrams forwards the clients' datagrams to the target.
func (r *Relay) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.udpConn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		to := r.targetConn(from)
		if to == nil {
			continue
		}
		r.deliverDatagram(func(s State) bool { return s.BlockForward }, func() { to.Write(data) })
	}
}

// deliverDatagram calls send after the path's delay, unless the datagram is lost or its direction is blocked.
func (r *Relay) deliverDatagram(blocked func(State) bool, send func()) {
	s, _, ok := r.current()
	if !ok || blocked(s) || r.drawLoss() {
		return
	}
	if s.Delay <= 0 {
		send()
		return
	}
	time.AfterFunc(s.Delay, send) // after Close the socket is closed and send has no effect
}

// targetConn returns the socket that forwards a sender's datagrams to the target. Replies received on it go back to that sender.
func (r *Relay) targetConn(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.targetConns[from.String()]; c != nil || r.closed {
		return c
	}
	at, err := net.ResolveUDPAddr("udp", r.targetAddress)
	if err != nil {
		return nil
	}
	c, err := net.DialUDP("udp", nil, at)
	if err != nil {
		return nil
	}
	r.targetConns[from.String()] = c
	r.tasks.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if err != nil {
				if _, _, ok := r.current(); !ok {
					return
				}
				time.Sleep(time.Millisecond) // the target refused a datagram; later ones may be delivered
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			r.deliverDatagram(func(s State) bool { return s.BlockReverse }, func() { r.udpConn.WriteToUDP(data, from) })
		}
	})
	return c
}
