package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

// The status of a response and the reuse of its connection, for valid and invalid responses.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       balance.Status
		reused       bool
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balance.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balance.OK, true},
		{"connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", balance.OK, false},
		{"extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", balance.OK, false},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"rejected unprocessed", "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		{"503 that may have run", "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"no such page", "HTTP/1.1 404 N\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"garbage", "SMTP ready\r\n\r\n", balance.Reset, false},
		{"garbage without an end", "SMTP", balance.Reset, false},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balance.Reset, false},
		{"body too large", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", balance.Reset, false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balance.Reset, false},
		{"interim responses first", "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balance.OK, true},
		{"too many interim responses", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 9), balance.Reset, false},
		{"unreadable load report", "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"\r\nContent-Length: 0\r\n\r\n", balance.OK, true},
		{"duplicate response", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), balance.OK, false},
		{"no response", "", balance.Reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			at := startTestServer(t, func(conn net.Conn) {
				conns.Add(1)
				for readRequest(conn) != "" {
					if conn.Write([]byte(c.answer)); c.answer == "" {
						conn.Close()
					}
				}
			})
			p, d := newTestPool(routing.NewClock()), &routing.Endpoint{Address: at}
			first := runProbe(p, d)
			time.Sleep(2 * minIdleTime) // a connection is reused only after minIdleTime
			second := runProbe(p, d)
			if first != c.status || second != c.status {
				t.Errorf("got status %d, then %d; want %d", first, second, c.status)
			}
			if reused := conns.Load() == 1; reused != c.reused {
				t.Errorf("connection reused: %v, which is not expected", reused)
			}
		})
	}
}

// The rest of an earlier response arrives on a connection that has just been assigned to the next request. It must not be taken
// for that request's response. The request may have run if its last byte was written, otherwise it has not.
func TestLeftoverResponse(t *testing.T) {
	for progress, want := range map[routing.Progress]balance.Status{routing.FullyWritten: balance.Reset,
		routing.PartlyWritten: balance.ConnectFailed} {
		local, remote := net.Pipe()
		ended := make(chan routing.Result, 1)
		next := &exchange{done: func(r routing.Result) { ended <- r }, deadline: time.Now().Add(time.Minute)}
		uc := &upstreamConn{pool: newTestPool(routing.NewClock()), endpoint: &routing.Endpoint{}, conn: local, hasResponded: true, exchange: next,
			parser: protocol.Parser{Responses: true}}
		next.beginWrite()
		go uc.readLoop()
		go io.WriteString(remote, "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		remote.SetReadDeadline(time.Now().Add(30 * time.Second))
		if _, err := remote.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection is not closed: %v", err)
		}
		if progress == routing.FullyWritten {
			uc.finishWrite(next, nil)
		} else {
			uc.finishWrite(next, net.ErrClosed)
		}
		if r := <-ended; r.Err == nil || r.Err.Status() != want {
			t.Errorf("got result %+v, want status %d", r, want)
		}
	}
}

// No request is written to a connection that its peer has closed while idle, and a refused connection does not count as reset.
func TestClosedAndRefusedConnections(t *testing.T) {
	closed := make(chan struct{})
	at := startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		conn.Close()
		closed <- struct{}{}
	})
	p, d := newTestPool(routing.NewClock()), &routing.Endpoint{Address: at}
	for range 20 {
		if s := runProbe(p, d); s != balance.OK {
			t.Fatalf("got status %d", s)
		}
		<-closed
	}
	if s := runProbe(p, &routing.Endpoint{Address: "127.0.0.1:1"}); s != balance.ConnectFailed {
		t.Errorf("a refused connection gave status %d", s)
	}
}

// A cancellation during a write is reported when the write has returned. Until then it is not known whether the request may have
// run, and a request reported as never run could be retried although it runs.
func TestCancelDuringWrite(t *testing.T) {
	local, remote := net.Pipe() // a write returns when the other side has read
	defer remote.Close()
	p := newTestPool(routing.NewClock())
	uc := &upstreamConn{pool: p, endpoint: &routing.Endpoint{}, conn: local}
	ended := make(chan routing.Result, 1)
	e := &exchange{done: func(r routing.Result) { ended <- r }}
	uc.exchange = e
	e.beginWrite()
	uc.abort(e, context.Canceled)
	select {
	case r := <-ended:
		t.Fatalf("reported with status %d during the write", r.Err.Status())
	default:
	}
	uc.finishWrite(e, nil)
	if r := <-ended; r.Err.Status() != balance.Cancelled {
		t.Errorf("got error %v, want cancelled", r.Err)
	}
	for _, c := range []struct {
		err  routing.AttemptError
		want balance.Status
	}{
		{routing.AttemptError{Progress: routing.PartlyWritten, Err: context.Canceled}, balance.NotSent},
		{routing.AttemptError{Progress: routing.PartlyWritten, Err: errors.New("broken")}, balance.ConnectFailed},
		{routing.AttemptError{Progress: routing.FullyWritten, Err: errors.New("broken")}, balance.Reset},
	} {
		if got := c.err.Status(); got != c.want {
			t.Errorf("%v has status %d, want %d", &c.err, got, c.want)
		}
	}
}

// A fast response can be read before the end of the write is recorded. Its handling waits for that, so it does not count as early.
func TestResponseBeforeWriteReturns(t *testing.T) {
	e := &exchange{}
	e.beginWrite()
	go e.endWrite(nil)
	e.awaitWrite()
	if e.noteResponse() {
		t.Error("a fast response counts as early")
	}
}

// At the connection limit the connection that has been idle longest is closed for a new one. If none is idle, nothing is sent.
func TestConnectionLimit(t *testing.T) {
	release, accepted := make(chan struct{}), make(chan struct{}, 4)
	defer close(release)
	slow := startTestServer(t, func(conn net.Conn) { readRequest(conn); accepted <- struct{}{}; <-release; conn.Close() })
	p := newTestPool(routing.NewClock())
	for range 6 {
		at := startTestServer(t, func(conn net.Conn) {
			for readRequest(conn) != "" {
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		if s := runProbe(p, &routing.Endpoint{Address: at}); s != balance.OK {
			t.Fatalf("got status %d", s)
		}
	}
	for range 4 {
		p.Probe(&routing.Endpoint{Address: slow}, func(routing.Result) {})
		<-accepted
	}
	if s := runProbe(p, &routing.Endpoint{Address: slow}); s != balance.NotSent {
		t.Errorf("beyond the limit got status %d", s)
	}
}

// For any number of descriptors the parts of the budget stay within the whole, and the larger parts are for serving requests.
func TestNewBudget(t *testing.T) {
	for sockets := MinSockets; sockets < 3000; sockets++ {
		b := NewBudget(sockets, 1<<30)
		if b.ClientConns+b.OverflowConns+b.UpstreamConns+reservedDescriptors > sockets || b.UpstreamConns < b.ClientConns || b.ClientConns < (sockets-reservedDescriptors)/3 {
			t.Fatalf("%d descriptors are divided as %+v", sockets, b)
		}
	}
	if b := NewBudget(1024, 32<<20); b.ClientConns*maxClientConnBytes > 32<<20 {
		t.Errorf("%+v can take more than 32 MB", b)
	}
}

// After a process was suspended, connections can have exceeded the idle timeout before their read loops have run. No request may
// be written to them: the endpoint's host may respond with a reset, and the request would count as one that may have run.
func TestExpiredIdleConnectionIsNotUsed(t *testing.T) {
	var accepted atomic.Int32
	at := startTestServer(t, func(conn net.Conn) { accepted.Add(1); serveOK(conn) })
	p := newTestPool(routing.NewClock())
	d := &routing.Endpoint{Address: at}
	if s := runProbe(p, d); s != balance.OK {
		t.Fatal(s)
	}
	testkit.WaitUntil(t, "the connection becomes idle", func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.idle[d]) == 1 })
	uc := p.idle[d][0]
	uc.mu.Lock()
	uc.idleSince = time.Now().Add(-p.IdleTimeout - time.Millisecond)
	uc.mu.Unlock()
	if s := runProbe(p, d); s != balance.OK {
		t.Error(s)
	}
	if n := accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// failingWriteConn reports an error from the write of an empty part, after all others have been written.
type failingWriteConn struct{ net.Conn }

func (c failingWriteConn) Write(p []byte) (int, error) {
	if len(p) > 0 {
		return c.Conn.Write(p)
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.EPIPE)}
}

// A write that fails once the last byte of the request is on its way does not make the request one that never ran: it would be sent
// a second time.
func TestWriteFailsAfterTheLastByte(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	go io.Copy(io.Discard, remote)
	ended := make(chan routing.Result, 1)
	e := &exchange{done: func(r routing.Result) { ended <- r }, deadline: time.Now().Add(time.Minute)}
	uc := &upstreamConn{pool: newTestPool(routing.NewClock()), endpoint: &routing.Endpoint{}, conn: failingWriteConn{local}, exchange: e}
	uc.write(e, net.Buffers{[]byte("POST / HTTP/1.1\r\n\r\n"), nil})
	if r := <-ended; r.Err == nil || r.Err.Status() != balance.Reset {
		t.Errorf("got result %+v, want a reset", r)
	}
}
