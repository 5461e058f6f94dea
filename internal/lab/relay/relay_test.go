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

// echo answers each byte with itself, until the test ends.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	open.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				io.Copy(c, c)
				c.Close()
			})
		}
	})
	t.Cleanup(func() { ln.Close(); open.Wait() })
	return ln.Addr().String()
}

func tcp(t *testing.T) (*Relay, func() (net.Conn, error)) {
	r, err := ListenTCP("127.0.0.1:0", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, func() (net.Conn, error) { return net.DialTimeout("tcp", r.address, 150*time.Millisecond) }
}

// say writes a byte and waits for it.
func say(c net.Conn, within time.Duration) (time.Duration, error) {
	began := time.Now()
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	c.SetReadDeadline(began.Add(within))
	_, err := c.Read(make([]byte, 1))
	return time.Since(began), err
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A way that is cut keeps what is sent on it, in order, and gives it when it is let go; new connections never come up.
func TestCuts(t *testing.T) {
	for name, s := range map[string]State{"out": {BlockForward: true}, "back": {BlockReverse: true}, "both": {BlockForward: true, BlockReverse: true}} {
		t.Run(name, func(t *testing.T) {
			r, dial := tcp(t)
			c, err := dial()
			must(t, err)
			defer c.Close()
			if _, err := say(c, time.Minute); err != nil {
				t.Fatal(err)
			}
			must(t, r.SetState(s))
			if _, err := say(c, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("over a cut path: %v", err)
			}
			time.Sleep(100 * time.Millisecond) // the queue of connections fills up
			if c, err := dial(); err == nil {
				t.Error("a connection came up")
				c.Close()
			}
			must(t, r.SetState(State{}))
			c.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Errorf("what was kept did not come: %v", err)
			}
			d, err := dial()
			must(t, err)
			defer d.Close()
			if _, err := say(d, time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
}

// A delay is that of each way; what TCP loses comes later by as much as the system waits; a reset ends what stands.
func TestDelayLossReset(t *testing.T) {
	r, dial := tcp(t)
	c, err := dial()
	must(t, err)
	defer c.Close()
	must(t, r.SetState(State{Delay: 30 * time.Millisecond}))
	if took, err := say(c, time.Minute); err != nil || took < 60*time.Millisecond {
		t.Errorf("%s %v, both ways take 60 ms", took, err)
	}
	must(t, r.SetState(State{Loss: 1}))
	if took, err := say(c, time.Minute); err != nil || took < 2*again {
		t.Errorf("%s %v, lost on both ways", took, err)
	}
	r.Reset()
	if _, err := say(c, time.Minute); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after a reset: %v", err)
	}
}

// The end of one side reaches the other; what is not there is not reached.
func TestEnds(t *testing.T) {
	_, dial := tcp(t)
	c, err := dial()
	must(t, err)
	defer c.Close()
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("%v, an end is wanted", err)
	}
	r, err := ListenTCP("127.0.0.1:0", "127.0.0.1:1", 1)
	must(t, err)
	defer r.Close()
	d, err := net.Dial("tcp", r.address)
	must(t, err)
	defer d.Close()
	d.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := d.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a path to nobody: %v", err)
	}
}

// A path shows what stands at its end; the end of who connected is told whatever the path lets through, and so is when it
// began to ask.
func TestTargetAndWord(t *testing.T) {
	r, dial := tcp(t)
	ended := make(chan string, 1)
	r.OnClientClose(func(half string) { ended <- half })
	must(t, r.SetTargetState(Refusing))
	if _, err := dial(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("nobody there: %v", err)
	}
	must(t, r.SetTargetState(Accepting))
	c, err := dial()
	must(t, err)
	if _, err := say(c, time.Minute); err != nil {
		t.Fatal(err)
	}
	must(t, r.SetState(State{BlockForward: true}))
	before := time.Now()
	c.Write([]byte{1})
	c.Close()
	half := <-ended
	if at, ok := r.PendingSince(half); !ok || at.Before(before) || time.Since(at) > time.Minute {
		t.Errorf("asked at %v %v", at, ok)
	}
	must(t, r.SetTargetState(Unreachable))
	must(t, r.SetState(State{}))
	time.Sleep(100 * time.Millisecond)
	if c, err := dial(); err == nil {
		t.Error("a connection to a silent machine came up")
		c.Close()
	}
}

// Datagrams pass both ways, are lost by their share, and by a cut for good.
func TestDatagrams(t *testing.T) {
	far, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	var open sync.WaitGroup
	open.Go(func() {
		buf := make([]byte, 10)
		for {
			n, from, err := far.ReadFromUDP(buf)
			if err != nil {
				return
			}
			far.WriteToUDP(buf[:n], from)
		}
	})
	defer func() { far.Close(); open.Wait() }()
	r, err := ListenUDP("127.0.0.1:0", far.LocalAddr().String(), 1)
	must(t, err)
	defer r.Close()
	c, err := net.Dial("udp", r.packets.LocalAddr().String())
	must(t, err)
	defer c.Close()
	count := func(n int) (came int) {
		for range n {
			if _, err := say(c, 50*time.Millisecond); err == nil {
				came++
			}
		}
		return came
	}
	if n := count(10); n < 9 {
		t.Errorf("%d of 10 came back", n)
	}
	must(t, r.SetState(State{Loss: 0.5}))
	if n := count(40); n < 3 || n > 20 {
		t.Errorf("%d of 40 came back, a quarter is left after half is lost each way", n)
	}
	for _, s := range []State{{BlockForward: true}, {BlockReverse: true}} {
		must(t, r.SetState(s))
		if n := count(3); n > 0 {
			t.Errorf("%d came over %+v", n, s)
		}
	}
	must(t, r.SetState(State{}))
	if n := count(10); n < 9 {
		t.Errorf("%d of 10 came back after it was let go", n)
	}
}
