package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

// Whatever an answer says, the outcome and the fate of its connection follow.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       balance.Status
		reused       bool
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", balance.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balance.OK, true},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", balance.OK, false},
		{"extra bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", balance.OK, false},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"turned away", "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		{"503 that may have run", "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"no such page", "HTTP/1.1 404 N\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balance.Error, true},
		{"garbage", "SMTP ready\r\n\r\n", balance.Reset, false},
		{"noise without an end", "SMTP", balance.Reset, false},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balance.Reset, false},
		{"endless", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", balance.Reset, false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", balance.Reset, false},
		{"interim first", "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", balance.OK, true},
		{"interim for ever", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 9), balance.Reset, false},
		{"unreadable report", "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"\r\nContent-Length: 0\r\n\r\n", balance.OK, true},
		{"a copy behind", strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), balance.OK, false},
		{"cut", "", balance.Reset, false},
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
			u, d := newTestPool(routing.NewClock()), &routing.Endpoint{Address: at}
			first := runProbe(u, d)
			time.Sleep(2 * minIdleTime) // it is used again when it has rested
			second := runProbe(u, d)
			if first != c.status || second != c.status {
				t.Errorf("ended %d, then %d; want %d", first, second, c.status)
			}
			if reused := conns.Load() == 1; reused != c.reused {
				t.Errorf("connection reused: %v", reused)
			}
		})
	}
}

// What is left of an answer comes over a connection that the next request has just been given: it is not that request's,
// which may have run if its last byte went out, and has not if that was kept back.
func TestLeftover(t *testing.T) {
	for progress, want := range map[routing.Progress]balance.Status{routing.FullyWritten: balance.Reset,
		routing.PartlyWritten: balance.ConnectFailed} {
		here, there := net.Pipe()
		ended := make(chan routing.Result, 1)
		late := &task{done: func(r routing.Result) { ended <- r }, deadline: time.Now().Add(time.Minute)}
		k := &link{home: newTestPool(routing.NewClock()), to: &routing.Endpoint{}, conn: here, used: true, task: late,
			machine: protocol.Parser{Responses: true}}
		late.startWriting()
		go k.read()
		go io.WriteString(there, "HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		there.SetReadDeadline(time.Now().Add(30 * time.Second))
		if _, err := there.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the connection stays: %v", err)
		}
		if progress == routing.FullyWritten {
			k.wrote(late, nil)
		} else {
			k.wrote(late, net.ErrClosed)
		}
		if r := <-ended; r.Err == nil || r.Err.Status() != want {
			t.Errorf("ended %+v, want %d", r, want)
		}
	}
}

// A connection that its peer closed while idle is not written to, and one refused is no reset.
func TestStaleAndRefused(t *testing.T) {
	closed := make(chan struct{})
	at := startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		conn.Close()
		closed <- struct{}{}
	})
	u, d := newTestPool(routing.NewClock()), &routing.Endpoint{Address: at}
	for range 20 {
		if s := runProbe(u, d); s != balance.OK {
			t.Fatalf("ended %d", s)
		}
		<-closed
	}
	if s := runProbe(u, &routing.Endpoint{Address: "127.0.0.1:1"}); s != balance.ConnectFailed {
		t.Errorf("a refused connection ended %d", s)
	}
}

// A call-off that meets a write must wait for its end: before that nobody knows whether the request may have run, and
// one told as never run could go out a second time.
func TestCancelDuringWrite(t *testing.T) {
	here, there := net.Pipe() // a write to it ends when the other side has read
	defer there.Close()
	u := newTestPool(routing.NewClock())
	k := &link{home: u, to: &routing.Endpoint{}, conn: here}
	ended := make(chan routing.Result, 1)
	task := &task{done: func(r routing.Result) { ended <- r }}
	k.task = task
	task.startWriting()
	k.end(task, context.Canceled)
	select {
	case r := <-ended:
		t.Fatalf("reported as %d while the write was on", r.Err.Status())
	default:
	}
	k.wrote(task, nil)
	if r := <-ended; r.Err.Status() != balance.Cancelled {
		t.Errorf("ended %v", r.Err)
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
			t.Errorf("%v is %d, want %d", &c.err, got, c.want)
		}
	}
}

// A prompt answer can be read before the write's end is noted; it waits for that, and is no early one.
func TestPromptAnswer(t *testing.T) {
	task := &task{}
	task.startWriting()
	go task.wasWritten(nil)
	task.settle()
	if early, _ := task.answered(); early {
		t.Error("a prompt answer counts as early")
	}
}

// At the cap the connection that has been idle longest makes room; where none is idle nothing is sent.
func TestBudget(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 4)
	defer close(hold)
	slow := startTestServer(t, func(conn net.Conn) { readRequest(conn); held <- struct{}{}; <-hold; conn.Close() })
	u := newTestPool(routing.NewClock())
	for range 6 {
		at := startTestServer(t, func(conn net.Conn) {
			for readRequest(conn) != "" {
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		if s := runProbe(u, &routing.Endpoint{Address: at}); s != balance.OK {
			t.Fatalf("ended %d", s)
		}
	}
	for range 4 {
		u.Probe(&routing.Endpoint{Address: slow}, func(routing.Result) {})
		<-held
	}
	if s := runProbe(u, &routing.Endpoint{Address: slow}); s != balance.NotSent {
		t.Errorf("beyond the budget ended %d", s)
	}
}

// However few the descriptors are, most of them serve, and the parts keep to the whole.
func TestNewBudget(t *testing.T) {
	for sockets := MinSockets; sockets < 3000; sockets++ {
		b := NewBudget(sockets, 1<<30)
		if b.ClientConns+b.OverflowConns+b.UpstreamConns+reservedDescriptors > sockets || b.UpstreamConns < b.ClientConns || b.ClientConns < (sockets-reservedDescriptors)/3 {
			t.Fatalf("%d are shared out as %+v", sockets, b)
		}
	}
	if b := NewBudget(1024, 32<<20); b.ClientConns*maxClientConnBytes > 32<<20 {
		t.Errorf("%+v takes more than 32 MB", b)
	}
}

// A process that stood still wakes with connections that have been idle for longer than they may be, before their readers
// run: none of them gets a request, which the endpoint's machine may answer with a reset, as one that may have run.
func TestIdleForTooLongIsNotUsed(t *testing.T) {
	var connections atomic.Int32
	at := startTestServer(t, func(conn net.Conn) { connections.Add(1); serveOK(conn) })
	u := newTestPool(routing.NewClock())
	d := &routing.Endpoint{Address: at}
	if s := runProbe(u, d); s != balance.OK {
		t.Fatal(s)
	}
	testkit.WaitUntil(t, "the connection rests", func() bool { u.mu.Lock(); defer u.mu.Unlock(); return len(u.idle[d]) == 1 })
	k := u.idle[d][0]
	k.mu.Lock()
	k.since = time.Now().Add(-u.IdleTimeout - time.Millisecond)
	k.mu.Unlock()
	if s := runProbe(u, d); s != balance.OK {
		t.Error(s)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections, want a new one", n)
	}
}
