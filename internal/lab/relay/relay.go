// Package relay stands on a path between two processes and breaks it on command: it delays, loses, cuts one way or both
// ways, resets, and lets go again. Who connects through it needs to know nothing of it.
//
// What a cut or a loss does to TCP is what the peers' systems would make of it: bytes are kept and come later, in order;
// connections that stand stay silent and open; new ones never come up. Datagrams that are lost never come.
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

// State is how a path is.
type State struct {
	Delay        time.Duration // of each way
	Loss         float64       // share of datagrams that are lost; on TCP, of pieces that are sent again
	BlockForward bool          // nothing passes from who connects
	BlockReverse bool          // nothing passes to who connects
}

// Target is what stands at the end of a path.
type TargetState uint8

// The targets.
const (
	Accepting   TargetState = iota
	Refusing                // nobody listens there: connections are refused
	Unreachable             // its machine is off the network: connections never come up
)

// again is how long the system waits at the least before it sends again what TCP has lost (RFC 6298 as Linux has it).
const again = 200 * time.Millisecond

// Relay is one path. It is safe for concurrent use.
type Relay struct {
	target string
	ended  func(half string)
	wait   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	state   State
	changed chan struct{} // closed at each change of state
	closed  bool
	at      TargetState
	address string           // to listen at
	ln      *net.TCPListener // nil while connections are refused
	block   *AcceptBlocker
	pairs   map[*pair]bool
	packets *net.UDPConn
	peers   map[string]*net.UDPConn // sockets to the target, by who sends
}

// ListenTCP opens a path for connections. The seed draws what is lost.
func ListenTCP(address, target string, seed uint64) (*Relay, error) {
	r := newRelay(target, seed)
	r.address = address
	r.mu.Lock()
	defer r.mu.Unlock()
	return r, r.fit()
}

// Ended has a function told when who connected has ended its side, or broken it, whatever the path lets through; the
// address is that of the connection's other half, as the target sees it. It is set before anybody connects.
func (r *Relay) OnClientClose(tell func(half string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = tell
}

// ListenUDP opens a path for datagrams. Answers of the target go back to who sent.
func ListenUDP(address, target string, seed uint64) (*Relay, error) {
	r := newRelay(target, seed)
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	if r.packets, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	r.wait.Go(r.forward)
	return r, nil
}

// Listen opens a listener where another may just have been closed: a process that is being started holds a copy of what
// was open until it has become another program, so the address may be in use for a moment.
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
	return &Relay{target: target, rng: rand.New(rand.NewPCG(seed, 0x72656c6179)), changed: make(chan struct{}),
		pairs: map[*pair]bool{}, peers: map[string]*net.UDPConn{}}
}

// Set changes the state of the path.
func (r *Relay) SetState(s State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
	return r.fit()
}

// Target tells what stands at the path's end, so that who connects sees the same here.
func (r *Relay) SetTargetState(t TargetState) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = t
	return r.fit()
}

// fit has the listener be as the path and its end are: a handshake needs both ways and somebody who answers.
func (r *Relay) fit() error {
	if r.closed {
		return net.ErrClosed
	}
	if r.packets != nil {
		return nil
	}
	switch want := r.at; {
	case want == Refusing:
		r.shut()
	case want == Unreachable || r.state.BlockForward || r.state.BlockReverse:
		if r.ln != nil && r.block == nil {
			r.block = NewAcceptBlocker(r.ln, &r.wait)
		}
	case r.ln == nil || r.block != nil:
		// A listener that was blocked is not opened again: what queued there is reset, as after a long silence.
		r.shut()
		ln, err := Listen(r.address)
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.ln, r.address = ln, ln.Addr().String()
		r.wait.Go(func() { r.accept(ln) })
	}
	return nil
}

// shut closes the listener, if it stands.
func (r *Relay) shut() {
	if r.block != nil {
		r.block.Release()
		r.block = nil
	}
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
}

// Reset breaks all connections that stand.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// Close ends the path and all that stands on it, and waits for it.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.changed)
		r.shut()
		if r.packets != nil {
			r.packets.Close()
		}
		for _, c := range r.peers {
			c.Close()
		}
		for p := range r.pairs {
			p.reset()
		}
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// now is the state, and what is closed when it changes; ok is false once the path is closed.
func (r *Relay) now() (s State, changed chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed, !r.closed
}

// lost draws whether a piece or a datagram is lost.
func (r *Relay) lost() bool {
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
		r.wait.Go(func() { r.join(c.(*net.TCPConn)) })
	}
}

// join carries one connection to its end.
func (r *Relay) join(near *net.TCPConn) {
	defer near.Close()
	far, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil {
		near.SetLinger(0) // refused there, so reset here
		return
	}
	defer far.Close()
	p := &pair{relay: r, near: near, far: far.(*net.TCPConn), gone: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.pairs[p] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pairs, p)
		r.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { p.carry(p.near, p.far, func(s State) bool { return s.BlockForward }, p.sent) })
	both.Go(func() { p.carry(p.far, p.near, func(s State) bool { return s.BlockReverse }, p.answered) })
	both.Wait()
}

// pair is one connection and its other half.
type pair struct {
	relay     *Relay
	near, far *net.TCPConn
	once      sync.Once
	gone      chan struct{}

	mu    sync.Mutex
	asked time.Time // the first byte since the last that came back; zero for none
}

// sent takes note of what who connected has sent.
func (p *pair) sent(x piece) {
	p.relay.mu.Lock()
	tell := p.relay.ended
	p.relay.mu.Unlock()
	if x.end && tell != nil {
		tell(p.far.LocalAddr().String())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked.IsZero() {
		p.asked = time.Now()
	}
}

// answered takes note of what has come back.
func (p *pair) answered(piece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = time.Time{}
}

// Asked tells when the first byte of what a connection asks now was sent, whenever it came through: the connection is named
// as to Ended. ok is false if nothing is known of it.
func (r *Relay) PendingSince(half string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if p.far.LocalAddr().String() == half {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.asked, !p.asked.IsZero()
		}
	}
	return time.Time{}, false
}

// reset breaks both halves without a word of what was on its way.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.gone)
		p.near.SetLinger(0)
		p.far.SetLinger(0)
		p.near.Close()
		p.far.Close()
	})
}

// piece is what was read at once; end says that nothing follows.
type piece struct {
	due  time.Time
	data []byte
	end  bool
	cut  bool // the end was a reset
}

const (
	most  = 32 << 10 // bytes of a piece
	ahead = 64       // pieces under way in one direction; beyond it the sender waits, as at a full window
)

// carry passes what comes from one half on to the other, each piece when it is due and the way is not cut.
func (p *pair) carry(from, to *net.TCPConn, cut func(State) bool, note func(piece)) {
	under := make(chan piece, ahead)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(under)
		buf := make([]byte, most)
		for {
			n, err := from.Read(buf)
			s, _, _ := p.relay.now()
			due := time.Now().Add(s.Delay)
			if n > 0 && p.relay.lost() {
				due = due.Add(again)
			}
			x := piece{due: due, data: append([]byte(nil), buf[:n]...), end: err != nil, cut: err != nil && err != io.EOF}
			note(x)
			select {
			case under <- x:
			case <-p.gone:
				return
			}
			if err != nil {
				return
			}
		}
	})
	defer reader.Wait()
	for x := range under {
		if !p.pass(x.due, cut) {
			break
		}
		if len(x.data) > 0 {
			if _, err := to.Write(x.data); err != nil {
				p.reset()
				break
			}
		}
		switch {
		case x.cut:
			p.reset()
		case x.end:
			to.CloseWrite()
		}
	}
	for range under { // the reader must not wait for a place
	}
}

// pass waits until a piece is due and its way is open; false if the connection has ended meanwhile.
func (p *pair) pass(due time.Time, cut func(State) bool) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.gone:
			return false
		}
	}
	for {
		s, changed, ok := p.relay.now()
		switch {
		case !ok:
			return false
		case !cut(s):
			return true
		}
		select {
		case <-changed:
		case <-p.gone:
			return false
		}
	}
}

// forward passes datagrams to the target.
func (r *Relay) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.packets.ReadFromUDP(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		to := r.peer(from)
		if to == nil {
			continue
		}
		r.later(func(s State) bool { return s.BlockForward }, func() { to.Write(data) })
	}
}

// later does something after the path's delay, unless the datagram is lost or its way is cut.
func (r *Relay) later(cut func(State) bool, do func()) {
	s, _, ok := r.now()
	if !ok || cut(s) || r.lost() {
		return
	}
	if s.Delay <= 0 {
		do()
		return
	}
	time.AfterFunc(s.Delay, do) // after Close the sockets are closed, and it does nothing
}

// peer is the socket by which what one sender sends goes to the target; what comes back on it goes to that sender.
func (r *Relay) peer(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.peers[from.String()]; c != nil || r.closed {
		return c
	}
	at, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return nil
	}
	c, err := net.DialUDP("udp", nil, at)
	if err != nil {
		return nil
	}
	r.peers[from.String()] = c
	r.wait.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if err != nil {
				if _, _, ok := r.now(); !ok {
					return
				}
				time.Sleep(time.Millisecond) // the target refused a datagram: others may come through
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			r.later(func(s State) bool { return s.BlockReverse }, func() { r.packets.WriteToUDP(data, from) })
		}
	})
	return c
}
