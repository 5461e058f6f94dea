package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

// The tests in this file force a particular order of two concurrent events that otherwise comes about only by chance: each test
// triggers the second event right after the first, over real sockets.

// hookedConn is a connection that calls hooks around its operations.
type hookedConn struct {
	*net.TCPConn
	onRead                func()          // bytes have been read
	beforeSetReadDeadline func()          // the read deadline is about to be set
	onCloseWrite          func()          // the write side has been closed
	onSetReadDeadline     func(time.Time) // the read deadline has been set
}

func (h *hookedConn) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	if n > 0 && h.onRead != nil {
		h.onRead()
	}
	return n, err
}

func (h *hookedConn) CloseWrite() error {
	err := h.TCPConn.CloseWrite()
	if h.onCloseWrite != nil {
		h.onCloseWrite()
	}
	return err
}

func (h *hookedConn) SetReadDeadline(t time.Time) error {
	if h.beforeSetReadDeadline != nil {
		h.beforeSetReadDeadline()
	}
	err := h.TCPConn.SetReadDeadline(t)
	if h.onSetReadDeadline != nil {
		h.onSetReadDeadline(t)
	}
	return err
}

// serveHookedConn makes a server serve one connection with hooks, and returns the client's end.
func serveHookedConn(t *testing.T, srv *Server, h *hookedConn) (net.Conn, *bufio.Reader) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, r := dial(t, ln)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h.TCPConn = conn.(*net.TCPConn)
	go srv.register(h).serve()
	return client, r
}

// requestOneClose asks one connection to close, as is done to free a descriptor.
func requestOneClose(srv *Server) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.requestClose()
}

// startCountingServer starts an endpoint that answers each request with 200. The text of each request is sent to the channel.
func startCountingServer(t *testing.T) (string, chan string) {
	requests := make(chan string, 99)
	return startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			requests <- text
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}), requests
}

// A connection is asked to close just after a request has been read from it: the request is sent on once and answered, and then
// the connection closes. If another goroutine closed it, a request that has been read would get no response.
func TestCloseRequestedAfterARequestIsRead(t *testing.T) {
	address, requests := startCountingServer(t)
	srv, _ := startSidecar(t, 4, address)
	var once sync.Once
	var closeRequested atomic.Bool
	c, r := serveHookedConn(t, srv, &hookedConn{onRead: func() { once.Do(func() { closeRequested.Store(requestOneClose(srv)) }) }})
	io.WriteString(c, lookRequest)
	text, err := io.ReadAll(r)
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 200 ") || !strings.Contains(string(text), "Connection: close") {
		t.Errorf("response %q, %v; want status 200 and Connection: close", text, err)
	}
	if !closeRequested.Load() || len(requests) != 1 {
		t.Errorf("close requested: %v, want true; request sent on %d times, want 1", closeRequested.Load(), len(requests))
	}
	testkit.WaitUntil(t, "all connections are released", func() bool { srv.mu.Lock(); defer srv.mu.Unlock(); return srv.openConns == 0 && len(srv.conns) == 0 })
}

// A connection is asked to close just after the first part of a request has been read from it: the rest gets a short grace period
// to arrive, and the request is answered, not rejected with 408.
func TestCloseRequestedAfterAPartialRequestIsRead(t *testing.T) {
	address, requests := startCountingServer(t)
	srv, _ := startSidecar(t, 4, address)
	sendPartial := func() (net.Conn, *bufio.Reader) {
		var once sync.Once
		requested := make(chan bool, 1)
		c, r := serveHookedConn(t, srv, &hookedConn{onRead: func() { once.Do(func() { requested <- requestOneClose(srv) }) }})
		io.WriteString(c, lookRequest[:20])
		if !<-requested {
			t.Fatal("no connection could be asked to close")
		}
		return c, r
	}
	c, r := sendPartial()
	time.Sleep(30 * time.Millisecond)
	io.WriteString(c, lookRequest[20:])
	if text, err := io.ReadAll(r); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 200 ") || len(requests) != 1 {
		t.Errorf("response %q, %v, want status 200; request sent on %d times, want 1", text, err, len(requests))
	}
	// A request that is never completed holds its descriptor no longer than the grace period.
	began := time.Now()
	_, r = sendPartial()
	if text, _ := io.ReadAll(r); !strings.HasPrefix(string(text), "HTTP/1.1 408 ") || time.Since(began) > time.Second {
		t.Errorf("partial request: response %q after %v, want status 408 within a second", text, time.Since(began))
	}
}

// newUnservedSidecar returns a sidecar that serves no listener, and a listener that the test makes it serve as needed.
func newUnservedSidecar(t *testing.T) (*Server, net.Listener) {
	t.Helper()
	srv, unused, run := prepareSidecar(t, 4, startTestServer(t, serveOK), testSettings(), "")
	run()
	unused.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return srv, ln
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (w *wrappingListener) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err == nil {
		c = w.wrap(c)
	}
	return c, err
}

// A connection is asked to close before it has set its first read deadline: either it cannot be asked yet, or it closes at once.
// Otherwise it sets that deadline over the wake-up and stays open for 2.5 s, while no other client is accepted.
func TestCloseRequestedBeforeTheFirstRead(t *testing.T) {
	srv, ln := newUnservedSidecar(t)
	var requested atomic.Bool
	go srv.Serve(&wrappingListener{ln, func(c net.Conn) net.Conn {
		return &hookedConn{TCPConn: c.(*net.TCPConn), beforeSetReadDeadline: func() {
			if requested.CompareAndSwap(false, true) { // a close request sets the deadline, too
				requestOneClose(srv)
			}
		}}
	}})
	_, r := dial(t, ln)
	began := time.Now()
	testkit.WaitUntil(t, "the connection is asked to close", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.conns) > 0 && srv.openConns == 0 || srv.requestClose()
	})
	if _, err := r.ReadByte(); err != io.EOF || time.Since(began) > time.Second {
		t.Errorf("closed %v after the request, with %v; want EOF within a second", time.Since(began), err)
	}
}

// A client sends its next requests before it has the response to the first. The time left of a request counts from when it was
// received, not from when its turn came, both for the value that the attempt reports and for when the request is answered.
func TestDeadlineOfAPipelinedRequest(t *testing.T) {
	const serviceTime, timeLeft = 400 * time.Millisecond, 1500
	reported := make(chan int, 9)
	_, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			_, rest, _ := strings.Cut(text, "X-Time-Left-Ms: ")
			ms, _ := strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, "\r\n", 2)[0]))
			reported <- ms
			time.Sleep(serviceTime)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	c, r := dial(t, ln)
	for _, id := range []string{"1", "2", "3"} {
		io.WriteString(c, strings.Replace(lookRequest, "Id: 1", fmt.Sprintf("Id: %s\r\nX-Time-Left-Ms: %d", id, timeLeft), 1))
	}
	for i := range 3 {
		if status, _ := readResponse(t, r); status != "200" {
			t.Fatalf("request %d: response status %s, want 200", i, status)
		}
		if ms, maxMS := <-reported, timeLeft-i*int(serviceTime/time.Millisecond)+20; ms > maxMS || ms < maxMS-300 {
			t.Errorf("request %d reported %d ms left, want about %d ms", i, ms, maxMS-20)
		}
	}
}

// A client lists the request ID and the idempotency key in the Connection header. Both still reach the endpoint on every attempt,
// as it identifies the request by the first and discards duplicates by the second. Other listed fields are not forwarded.
func TestIDAndKeyAreForwardedDespiteConnectionHeader(t *testing.T) {
	address, requests := startCountingServer(t)
	set := testSettings()
	set.Classes[0].Effect, set.Classes[0].DedupWindow = balance.Keyed, time.Second
	_, ln, run := prepareSidecar(t, 4, address, set, "")
	run()
	c, r := dial(t, ln)
	io.WriteString(c, strings.Replace(lookRequest, "Host", "Connection: x-correlation-id, Idempotency-Key, X-Mine\r\nX-Mine: 1\r\nIdempotency-Key: k1\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("response status %s, want 200", status)
	}
	text := <-requests
	for field, forwarded := range map[string]bool{"X-Correlation-Id: 1\r\n": true, "Idempotency-Key: k1\r\n": true, "X-Mine": false} {
		if strings.Contains(text, field) != forwarded {
			t.Errorf("the endpoint received %q", text)
		}
	}
}

// A request that crosses the close of its connection on the wire is not processed: the client sees the close, not a reset.
func TestRequestCrossesTheClose(t *testing.T) {
	address, requests := startCountingServer(t)
	srv, _ := startSidecar(t, 4, address)
	var client net.Conn
	ready := make(chan bool)
	c, r := serveHookedConn(t, srv, &hookedConn{onCloseWrite: func() { <-ready; io.WriteString(client, lookRequest) }})
	client = c
	close(ready)
	io.WriteString(c, strings.Replace(lookRequest, "Id: 1", "Id: 0", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("first request: response status %s, want 200", status)
	}
	testkit.WaitUntil(t, "the idle connection is asked to close", func() bool { return requestOneClose(srv) })
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("the client read %q, %v, want nothing", rest, err)
	}
	if len(requests) != 1 {
		t.Errorf("%d requests were sent on, want 1", len(requests))
	}
}

// The wake-up of an answer arrives while the connection lingers for its client to read the response. It must not end the
// lingering: what the client still sends would be answered with a reset, and the response lost.
func TestLateWakeUpDuringLingeringClose(t *testing.T) {
	srv, _ := startSidecar(t, 4, startTestServer(t, serveOK))
	var lingering atomic.Bool
	h := &hookedConn{onCloseWrite: func() { lingering.Store(true) }}
	h.onSetReadDeadline = func(time.Time) {
		if lingering.CompareAndSwap(true, false) {
			h.TCPConn.SetReadDeadline(pastDeadline())
		}
	}
	c, r := serveHookedConn(t, srv, h)
	io.WriteString(c, strings.Replace(lookRequest, "Host", "Connection: close\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("response status %s, want 200", status)
	}
	time.Sleep(20 * time.Millisecond) // the connection lingers, and its read has been woken up
	for range 3 {
		if _, err := io.WriteString(c, lookRequest); err != nil {
			t.Fatalf("the connection was closed while its client was sending: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("the client read %q, %v, want nothing", rest, err)
	}
}

// delayedListener accepts nothing until its deadline is set or it is closed.
type delayedListener struct {
	*net.TCPListener
	deadlineSet chan struct{}
	once        sync.Once
}

func (l *delayedListener) Accept() (net.Conn, error) { <-l.deadlineSet; return l.TCPListener.Accept() }

func (l *delayedListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	l.once.Do(func() { close(l.deadlineSet) })
	return err
}

func (l *delayedListener) Close() error {
	err := l.TCPListener.Close()
	l.once.Do(func() { close(l.deadlineSet) })
	return err
}

// A client whose connection is in the kernel's accept queue when the sidecar stops has sent its request, and is answered. Closing
// the listener right away would reset such connections.
func TestStopServesTheAcceptQueue(t *testing.T) {
	srv, ln := newUnservedSidecar(t)
	delayed := &delayedListener{TCPListener: ln.(*net.TCPListener), deadlineSet: make(chan struct{})}
	go srv.Serve(delayed)
	var waiting []*bufio.Reader
	for i := range 9 { // more than are served at a time: they are accepted one by one as others close
		c, r := dial(t, ln)
		io.WriteString(c, strings.Replace(lookRequest, "Id: 1", fmt.Sprint("Id: ", i), 1))
		waiting = append(waiting, r)
	}
	stopped := make(chan struct{})
	go func() { srv.Stop(context.Background(), stopWithin(600*time.Millisecond), delayed); close(stopped) }()
	for i, r := range waiting {
		if status, _ := readResponse(t, r); status != "200" && status != "503" || i < 4 && status != "200" {
			t.Errorf("client %d: response status %s", i, status)
		}
	}
	<-stopped
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// startSlowAcceptServer starts an endpoint to which connections are established only once accept is called: until then its accept
// queue is full. The text of each request is sent to the channel.
func startSlowAcceptServer(t *testing.T) (address string, accept func(), requests chan string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp", address) // fills the queue, which has one place
	if err != nil {
		t.Fatal(err)
	}
	requests = make(chan string, 9)
	accept = func() {
		go func() {
			for {
				connFD, _, err := syscall.Accept(fd)
				if err != nil {
					return
				}
				go func() {
					defer syscall.Close(connFD)
					buf := make([]byte, 4<<10)
					if n, _ := syscall.Read(connFD, buf); n > 0 {
						requests <- string(buf[:n])
						syscall.Write(connFD, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}()
			}
		}()
	}
	t.Cleanup(func() { filler.Close(); syscall.Shutdown(fd, syscall.SHUT_RDWR); syscall.Close(fd) })
	return address, accept, requests
}

// attemptSent runs one attempt of a request against an endpoint whose connection is established late, calls meanwhile before that,
// and reports whether the request was sent. If ran is true, it is the second attempt, and the first may have run.
func attemptSent(t *testing.T, class balance.Class, limits balance.Limits, req *routing.Request, ran bool, meanwhile func(*routing.Loop)) bool {
	t.Helper()
	address, accept, requests := startSlowAcceptServer(t)
	clock := routing.NewClock()
	set := testSettings()
	set.Classes, set.Limits = []balance.Class{class}, limits
	loop, err := routing.New(set, routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool := NewConnectionPool(ConnectionPoolOptions{Clock: clock, ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, ConnectionLimiter: NewConnLimiter(4), Log: discardLog})
	members := []routing.Member{{Name: "s", Address: address, State: balance.Ready}}
	firstReceived, closeFirst := make(chan struct{}), make(chan struct{})
	if ran { // the first attempt went to another endpoint, which is draining by the second
		members[0].Address = startTestServer(t, func(conn net.Conn) { readRequest(conn); close(firstReceived); <-closeFirst; conn.Close() })
	}
	loop.UpdateEndpoints(balance.Cached, 1, members)
	go loop.Run(ctx, pool, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
	req.Deadline, req.Done = loop.Now()+6*time.Second, func(routing.Answer) {}
	req.Payload = &protocol.Message{StartLine: [3]string{"GET", "/look"}}
	loop.Submit(req)
	if ran {
		<-firstReceived
		loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: members[0].Address, State: balance.Draining},
			{Name: "t", Address: address, State: balance.Ready}})
		loop.View(time.Second) // waits until the loop has handled the update
		close(closeFirst)
	}
	time.Sleep(50 * time.Millisecond) // the connection attempt has started
	meanwhile(loop)
	accept()
	select {
	case text := <-requests:
		return text != ""
	case <-time.After(3500 * time.Millisecond): // the kernel repeats a lost SYN after 1 s and after 3 s
		return false
	}
}

// A client disconnects while the connection for its attempt is being established: the attempt is not sent, even if the settings
// do not allow attempts to be canceled.
func TestClientDisconnectsWhileConnecting(t *testing.T) {
	t.Parallel()
	class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 6 * time.Second, Utility: 1}
	req := &routing.Request{}
	if attemptSent(t, class, balance.Limits{MaxAttempts: 1}, req, false, func(l *routing.Loop) { l.Abandon(req) }) {
		t.Error("the request was sent on after its client had disconnected")
	}
	if !attemptSent(t, class, balance.Limits{MaxAttempts: 1}, &routing.Request{}, false, func(*routing.Loop) {}) {
		t.Error("the request of a client that stayed connected was not sent on")
	}
}

// gatedLimiter is a ConnLimiter whose Acquire blocks while it is closed, until it is opened.
type gatedLimiter struct {
	ConnLimiter
	closed          atomic.Bool
	waiting, opened chan struct{}
}

func (g *gatedLimiter) Acquire() bool {
	if g.closed.Load() {
		g.waiting <- struct{}{}
		<-g.opened
	}
	return g.ConnLimiter.Acquire()
}

// An endpoint begins to drain between the decision to probe it and the first byte of the probe: the probe is not sent.
func TestDrainBeforeAProbeIsSent(t *testing.T) {
	for draining, sent := range map[bool]bool{true: false, false: true} {
		address, requests := startCountingServer(t)
		clock, set := routing.NewClock(), testSettings()
		set.Report.Source, set.Limits.Probes = balance.OnProbes, true
		loop, err := routing.New(set, routing.Names{}, clock, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		limiter := &gatedLimiter{ConnLimiter: NewConnLimiter(9), waiting: make(chan struct{}, 9), opened: make(chan struct{})}
		loop.UpdateEndpoints(balance.Cached, 1, []routing.Member{{Name: "s", Address: address, State: balance.Ready}})
		pool := NewConnectionPool(ConnectionPoolOptions{Clock: clock, ConnectTimeout: time.Second, IdleTimeout: time.Minute, ConnectionLimiter: limiter, ProbePath: "/stats", Log: discardLog})
		go loop.Run(ctx, pool, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
		done := make(chan routing.Answer, 9)
		for n := range 3 { // there is one probe for three requests: it is sent with the third, and both need a connection
			if n == 2 {
				limiter.closed.Store(true)
				for pool.EvictOldestIdle() {
				}
			}
			m := &protocol.Message{StartLine: [3]string{"GET", "/look"}}
			loop.Submit(&routing.Request{Deadline: loop.Now() + time.Second, Done: func(a routing.Answer) { done <- a }, Payload: m})
			if n < 2 {
				<-done
				<-requests
			}
		}
		<-limiter.waiting
		<-limiter.waiting
		if draining {
			loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: address, State: balance.Draining}})
			loop.View(time.Second) // waits until the loop has handled the update
		}
		close(limiter.opened)
		probed, timeout := false, time.After(300*time.Millisecond)
		for wait := true; wait; {
			select {
			case text := <-requests:
				if probed = probed || strings.HasPrefix(text, "GET /stats "); draining {
					t.Errorf("a draining endpoint received %q", text)
				}
			case <-timeout:
				wait = false
			}
		}
		if probed != sent {
			t.Errorf("draining: %v; probed: %v", draining, probed)
		}
	}
}

// A client disconnects while its request is queued for an endpoint that accepts requests: the request is not sent once there is
// one.
func TestClientDisconnectsWhileQueued(t *testing.T) {
	address, requests := startCountingServer(t)
	srv, ln := startSidecar(t, 4, address)
	loop := loopOf(t, srv)
	setState := func(s balance.State) {
		loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: address, State: s}})
		loop.View(time.Second) // waits until the loop has handled the update
	}
	setState(balance.Draining)
	leaving, _ := dial(t, ln)
	io.WriteString(leaving, lookRequest)
	staying, r := dial(t, ln)
	io.WriteString(staying, strings.Replace(lookRequest, "Id: 1", "Id: 2", 1))
	testkit.WaitUntil(t, "both requests are queued", func() bool { return loop.PendingRequests() == 2 })
	disconnected := time.Now()
	leaving.Close()
	testkit.WaitUntil(t, "one request is removed", func() bool { return loop.PendingRequests() == 1 })
	if took := time.Since(disconnected); took > 100*time.Millisecond {
		t.Errorf("the disconnect was noticed after %v, want at most 100ms", took)
	}
	setState(balance.Ready)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("the other request: response status %s, want 200", status)
	}
	if len(requests) != 1 || !strings.Contains(<-requests, "Id: 2\r\n") {
		t.Errorf("%d requests were sent on, or the wrong one", len(requests)+1)
	}
}

// A keyed request that may have run is retried within its idempotency window. If the window ends while the connection for the retry
// is being established, the retry is not sent, as the endpoint would no longer discard it as a duplicate.
func TestIdempotencyWindowEndsWhileConnecting(t *testing.T) {
	t.Parallel()
	for window, sent := range map[time.Duration]bool{400 * time.Millisecond: false, 5 * time.Second: true} {
		t.Run(window.String(), func(t *testing.T) {
			t.Parallel()
			class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 6 * time.Second, Utility: 1, Effect: balance.Keyed, DedupWindow: window}
			limits := balance.Limits{MaxAttempts: 2, RetryShare: 1, RetryBurst: 8}
			if got := attemptSent(t, class, limits, &routing.Request{}, true, func(*routing.Loop) {}); got != sent {
				t.Errorf("window %v: retry sent: %v", window, got)
			}
		})
	}
}

// A client sends many requests ahead of its responses and disconnects: its request in flight is canceled, and those sent ahead are
// not started. The disconnect must be noticed even while more than some kilobytes wait to be read.
func TestClientFloodsAndDisconnects(t *testing.T) {
	requests, ended := make(chan string, 99), make(chan struct{}, 9)
	srv, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		requests <- readRequest(conn)
		conn.Read(make([]byte, 1))
		ended <- struct{}{}
	}))
	c, _ := dial(t, ln)
	io.WriteString(c, lookRequest)
	<-requests
	io.WriteString(c, strings.Repeat(strings.Replace(lookRequest, "Id: 1", "Id: 2", 1), 4000))
	c.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the attempt was not canceled within a second of the disconnect")
	}
	testkit.WaitUntil(t, "no request is pending", func() bool { return loopOf(t, srv).PendingRequests() == 0 })
	if len(requests) > 0 {
		t.Errorf("started for a client that had disconnected: %q", <-requests)
	}
}

// A connection is established only after its attempt has timed out: the attempt was not sent and ends in time, and the connection
// is kept idle for the next attempt, which would have to wait as long for a new one.
func TestLateConnectionIsReused(t *testing.T) {
	t.Parallel()
	address, accept, requests := startSlowAcceptServer(t)
	pool := NewConnectionPool(ConnectionPoolOptions{Clock: routing.NewClock(), ConnectTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute,
		ConnectionLimiter: NewConnLimiter(1), Log: discardLog})
	endpoint := &routing.Endpoint{Address: address}
	began := time.Now()
	if s := runProbe(pool, endpoint); s != balance.ConnectFailed || time.Since(began) > time.Second {
		t.Errorf("first attempt: status %v after %v", s, time.Since(began))
	}
	accept()
	testkit.WaitUntil(t, "the connection is idle", func() bool { pool.mu.Lock(); defer pool.mu.Unlock(); return len(pool.idle[endpoint]) == 1 })
	if len(requests) > 0 {
		t.Errorf("something was sent over it: %q", <-requests)
	}
	time.Sleep(2 * minIdleTime)
	if s := runProbe(pool, endpoint); s != balance.OK { // the limit is one connection, so it is the same one
		t.Errorf("next attempt: status %v, want OK", s)
	}
	testkit.WaitUntil(t, "the descriptor is released", func() bool { pool.Close(); ok := pool.ConnectionLimiter.Acquire(); return ok })
}

// An endpoint sends a second copy of a response a few milliseconds after the first: the next request does not use that connection,
// and gets its own response.
func TestDelayedDuplicateResponse(t *testing.T) {
	address := startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%c", text[strings.Index(text, "Id: ")+4])
			io.WriteString(conn, response)
			time.Sleep(12 * time.Millisecond)
			io.WriteString(conn, response)
		}
	})
	_, ln := startSidecar(t, 4, address)
	c, r := dial(t, ln)
	for i, id := range []string{"1", "2", "3"} {
		io.WriteString(c, strings.Replace(lookRequest, "Id: 1", "Id: "+id, 1))
		if status, body := readResponse(t, r); status != "200" || body != id {
			t.Errorf("request %s: response %s %q", id, status, body)
		}
		time.Sleep(time.Duration(5+2*i) * time.Millisecond)
	}
}

// Requests that were received while another was in flight when the sidecar stops are all answered before the connection closes,
// as no other process can answer what was read here.
func TestPipelinedRequestsAreAnsweredOnStop(t *testing.T) {
	respond := make(chan bool)
	received := make(chan bool, 9)
	srv, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			received <- true
			<-respond
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	c, r := dial(t, ln)
	const requests = 3
	for i := range requests {
		io.WriteString(c, strings.Replace(lookRequest, "Id: 1", fmt.Sprint("Id: ", i), 1))
	}
	<-received
	time.Sleep(20 * time.Millisecond) // the others have been read
	srv.draining.Store(true)
	srv.drainDeadline.Store(int64(srv.clock.Now() + 2*time.Second))
	srv.closing.Store(true)
	close(respond)
	for i := range requests {
		if status, _ := readResponse(t, r); status != "200" {
			t.Errorf("request %d: response status %s, want 200", i, status)
		}
	}
	if n, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the last response: read %q, %v, want EOF", n, err)
	}
}
