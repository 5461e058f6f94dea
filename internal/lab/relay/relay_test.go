package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a server that echoes each byte until the test ends, and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				io.Copy(c, c)
				c.Close()
			})
		}
	})
	t.Cleanup(func() { ln.Close(); tasks.Wait() })
	return ln.Addr().String()
}

// newTCPRelay starts a relay to an echo server and returns it with a function that connects through it.
func newTCPRelay(t *testing.T) (*Relay, func() (net.Conn, error)) {
	r, err := ListenTCP("127.0.0.1:0", startEchoServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, func() (net.Conn, error) { return net.DialTimeout("tcp", r.listenAddress, 150*time.Millisecond) }
}

// roundTrip writes a byte, waits for the echo and returns how long it took.
func roundTrip(c net.Conn, within time.Duration) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	c.SetReadDeadline(start.Add(within))
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A blocked direction keeps what is sent on it and delivers it in order once it is unblocked. New connections are not
// established while one direction is blocked.
func TestBlockedDirections(t *testing.T) {
	for name, s := range map[string]State{"out": {BlockForward: true}, "back": {BlockReverse: true}, "both": {BlockForward: true, BlockReverse: true}} {
		t.Run(name, func(t *testing.T) {
			r, dial := newTCPRelay(t)
			c, err := dial()
			noError(t, err)
			defer c.Close()
			if _, err := roundTrip(c, time.Minute); err != nil {
				t.Fatal(err)
			}
			noError(t, r.SetState(s))
			if _, err := roundTrip(c, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("round trip over a blocked path: %v, want a timeout", err)
			}
			time.Sleep(100 * time.Millisecond) // until the accept queue is full
			if c, err := dial(); err == nil {
				t.Error("a connection was established over a blocked path")
				c.Close()
			}
			noError(t, r.SetState(State{}))
			c.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Errorf("the byte sent during the block was not delivered: %v", err)
			}
			d, err := dial()
			noError(t, err)
			defer d.Close()
			if _, err := roundTrip(d, time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
}

// A delay applies to each direction, a lost chunk arrives later by the retransmission timeout, and a reset ends established
// connections.
func TestDelayLossReset(t *testing.T) {
	r, dial := newTCPRelay(t)
	c, err := dial()
	noError(t, err)
	defer c.Close()
	noError(t, r.SetState(State{Delay: 30 * time.Millisecond}))
	if took, err := roundTrip(c, time.Minute); err != nil || took < 60*time.Millisecond {
		t.Errorf("round trip with 30 ms of delay each way: %s, %v; want at least 60 ms", took, err)
	}
	noError(t, r.SetState(State{Loss: 1}))
	if took, err := roundTrip(c, time.Minute); err != nil || took < 2*retransmitTimeout {
		t.Errorf("round trip with a loss in each direction: %s, %v; want at least two retransmission timeouts", took, err)
	}
	r.Reset()
	if _, err := roundTrip(c, time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("round trip after a reset: %v, want a connection error", err)
	}
}

// A half-close is forwarded to the other side, and a client is disconnected if the target cannot be reached.
func TestCloseAndUnreachableTarget(t *testing.T) {
	_, dial := newTCPRelay(t)
	c, err := dial()
	noError(t, err)
	defer c.Close()
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the half-close: %v, want EOF", err)
	}
	r, err := ListenTCP("127.0.0.1:0", "127.0.0.1:1", 1)
	noError(t, err)
	defer r.Close()
	d, err := net.Dial("tcp", r.listenAddress)
	if errors.Is(err, syscall.ECONNRESET) { // the relay has accepted and reset the connection before the dial returned
		return
	}
	noError(t, err)
	defer d.Close()
	d.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := d.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on a path without a target: %v, want a connection error", err)
	}
}

// Clients see the state of the target. While the path is blocked, a client's close is still reported, and so is the time since
// which its request is pending.
func TestTargetStateAndClientClose(t *testing.T) {
	r, dial := newTCPRelay(t)
	closed := make(chan string, 1)
	r.OnClientClose(func(address string) { closed <- address })
	noError(t, r.SetTargetState(Refusing))
	if _, err := dial(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connect to a refusing target: %v, want ECONNREFUSED", err)
	}
	noError(t, r.SetTargetState(Accepting))
	c, err := dial()
	noError(t, err)
	if _, err := roundTrip(c, time.Minute); err != nil {
		t.Fatal(err)
	}
	noError(t, r.SetState(State{BlockForward: true}))
	before := time.Now()
	c.Write([]byte{1})
	c.Close()
	address := <-closed
	if at, ok := r.PendingSince(address); !ok || at.Before(before) || time.Since(at) > time.Minute {
		t.Errorf("pending since %v, %v", at, ok)
	}
	noError(t, r.SetTargetState(Unreachable))
	noError(t, r.SetState(State{}))
	time.Sleep(100 * time.Millisecond)
	if c, err := dial(); err == nil {
		t.Error("a connection to an unreachable target was established")
		c.Close()
	}
}

// Datagrams pass in both directions, are lost at the configured rate, and are dropped for good while a direction is blocked.
func TestDatagrams(t *testing.T) {
	target, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	noError(t, err)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		buf := make([]byte, 10)
		for {
			n, from, err := target.ReadFromUDP(buf)
			if err != nil {
				return
			}
			target.WriteToUDP(buf[:n], from)
		}
	})
	defer func() { target.Close(); tasks.Wait() }()
	r, err := ListenUDP("127.0.0.1:0", target.LocalAddr().String(), 1)
	noError(t, err)
	defer r.Close()
	c, err := net.Dial("udp", r.udpConn.LocalAddr().String())
	noError(t, err)
	defer c.Close()
	count := func(n int) (received int) {
		for range n {
			if _, err := roundTrip(c, 50*time.Millisecond); err == nil {
				received++
			}
		}
		return received
	}
	if n := count(10); n < 9 {
		t.Errorf("%d of 10 datagrams came back, want at least 9", n)
	}
	noError(t, r.SetState(State{Loss: 0.5}))
	if n := count(40); n < 3 || n > 20 {
		t.Errorf("%d of 40 datagrams came back; want about a quarter, as half are lost in each direction", n)
	}
	for _, s := range []State{{BlockForward: true}, {BlockReverse: true}} {
		noError(t, r.SetState(s))
		if n := count(3); n > 0 {
			t.Errorf("%d datagrams came back over a path with %+v", n, s)
		}
	}
	noError(t, r.SetState(State{}))
	if n := count(10); n < 9 {
		t.Errorf("%d of 10 datagrams came back after the path was unblocked, want at least 9", n)
	}
}
