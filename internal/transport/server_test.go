package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/subscription"
	"kitewood/internal/testkit"
)

// testSettings returns the decision module's settings with one safe class and one unsafe class.
func testSettings() balance.Settings {
	class := balance.Class{LatencyTarget: 2 * time.Second, Deadline: 2 * time.Second, Utility: 1}
	unsafe := class
	unsafe.Effect = balance.Unsafe
	return balance.Settings{Seed: 1, Balancers: 1, Classes: []balance.Class{class, unsafe}, Objective: balance.Objective{Overall: 1},
		Limits: balance.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 2, MaxRetryAfter: time.Second},
		Rules:  balance.Rules{DrainGrace: time.Second / 2, DiscoveryInterval: 10 * time.Second}}
}

// startSidecar serves a listener in front of one endpoint with up to maxConns client connections.
func startSidecar(t *testing.T, maxConns int, endpoint string) (*Server, net.Listener) {
	t.Helper()
	srv, ln, run := prepareSidecar(t, maxConns, endpoint, testSettings(), "")
	run()
	return srv, ln
}

// prepareSidecar is startSidecar with settings and discovery. The event loop and the discovery watch begin when the returned
// function is called.
func prepareSidecar(t *testing.T, maxConns int, endpoint string, set balance.Settings, discovery string) (*Server, net.Listener, func()) {
	t.Helper()
	return prepareSidecarWithPool(t, maxConns, []string{endpoint}, set, discovery, newTestPool(routing.NewClock()))
}

// prepareSidecarWithPool is prepareSidecar with several endpoints, named s, ss and so on, and a connection pool.
func prepareSidecarWithPool(t *testing.T, maxConns int, endpoints []string, set balance.Settings, discovery string, pool *ConnectionPool) (*Server, net.Listener, func()) {
	t.Helper()
	clock := pool.Clock
	loop, err := routing.New(set, routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var members []routing.Member
	for i, address := range endpoints {
		members = append(members, routing.Member{Name: strings.Repeat("s", i+1), Address: address, State: balance.Ready})
	}
	loop.UpdateEndpoints(balance.Cached, 1, members)
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second, Keyed: set.Classes[0].Effect == balance.Keyed},
		{Name: "pay", Methods: []string{"POST"}, Deadline: 2 * time.Second}}
	srv := NewServer(clock, SinglePoolRouter(&Backend{Loop: loop}, classes), Budget{ClientConns: maxConns, OverflowConns: 2, ReadAheadBytes: 8 << 20}, discardLog)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go srv.Serve(ln)
	return srv, ln, func() { go loop.Run(ctx, pool, NewDiscoveryClient(ctx, discovery, loop, discardLog)) }
}

// loopOf returns the event loop that a server sends requests to.
func loopOf(t *testing.T, srv *Server) *routing.Loop {
	t.Helper()
	backend, _, err := (*srv.router.Load())(&protocol.Message{StartLine: [3]string{"GET", "/look"}, Header: textproto.MIMEHeader{"X-Correlation-Id": {"1"}}})
	if err != nil {
		t.Fatal(err)
	}
	return backend.Loop
}

// dial connects a client to a listener.
func dial(t *testing.T, ln net.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c, bufio.NewReader(c)
}

// lookRequest is a request of the safe class.
const lookRequest = "GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\n\r\n"

// payRequest returns a request of the unsafe class.
func payRequest(id string) string {
	return "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id + "\r\n\r\n"
}

// readResponse reads one response and returns its status and its body.
func readResponse(t *testing.T, r *bufio.Reader) (string, string) {
	t.Helper()
	m := protocol.Parser{Responses: true}
	for {
		b, err := r.ReadByte()
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if _, msg, err := m.Feed([]byte{b}); err != nil {
			t.Fatal(err)
		} else if msg != nil {
			return msg.StartLine[1], string(msg.Body)
		}
	}
}

// serveOK answers each request of a connection with 200 and the body "ok".
func serveOK(conn net.Conn) {
	for text := readRequest(conn); text != ""; text = readRequest(conn) {
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// Clients may send the next requests before they have a response. The wake-up that an answer causes must not end a later read,
// or idle connections are closed with status 408.
func TestPipelinedRequests(t *testing.T) {
	_, ln := startSidecar(t, 4, startTestServer(t, serveOK))
	c, r := dial(t, ln)
	for range 100 {
		io.WriteString(c, lookRequest+lookRequest+lookRequest)
		for range 3 {
			if status, body := readResponse(t, r); status != "200" || body != "ok" {
				t.Fatalf("response %s %q, want 200 \"ok\"", status, body)
			}
		}
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v after the last response, want nothing", rest, err)
	}
}

// A wake-up that comes late, after its answer was already seen, must end neither an idle connection nor a request.
func TestLateWakeUp(t *testing.T) {
	respond := make(chan struct{})
	srv, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		<-respond
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}))
	c, r := dial(t, ln)
	wake := func() {
		time.Sleep(20 * time.Millisecond)
		srv.mu.Lock()
		for conn := range srv.conns {
			conn.conn.SetReadDeadline(time.Unix(1, 0))
		}
		srv.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	wake()
	io.WriteString(c, lookRequest)
	wake()
	close(respond)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("response status %s, want 200", status)
	}
}

// A request whose deadline has passed is answered even if the event loop has not handled it. The loop's later answer must not
// reach the next request of the connection.
func TestLateAnswerDoesNotReachTheNextRequest(t *testing.T) {
	_, ln, run := prepareSidecar(t, 4, startTestServer(t, serveOK), testSettings(), "")
	c, r := dial(t, ln)
	io.WriteString(c, strings.Replace(lookRequest, "Host", "X-Time-Left-Ms: 1\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "502" {
		t.Errorf("request past its deadline: response status %s, want 502", status)
	}
	io.WriteString(c, lookRequest)
	time.Sleep(50 * time.Millisecond) // it is queued for the loop
	run()
	if status, body := readResponse(t, r); status != "200" || body != "ok" {
		t.Errorf("next request: response %s %q, want 200 \"ok\"", status, body)
	}
}

// A client that sends no request, or only a part of one, is answered or disconnected soon. One that keeps its connection after
// a request is disconnected, too.
func TestSlowClients(t *testing.T) {
	for _, c := range []struct{ text, want string }{{"", ""}, {"GET /look HTTP/1.1\r\nHost: h", "408"}, {lookRequest, "200"},
		{"GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nContent-Length: 2\r\n\r\nok", "400"},
		{"GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nA: \x01\r\n\r\n", "400"}} {
		t.Run(c.want, func(t *testing.T) {
			t.Parallel()
			_, ln := startSidecar(t, 4, startTestServer(t, serveOK))
			conn, r := dial(t, ln)
			io.WriteString(conn, c.text)
			if text, err := io.ReadAll(r); err != nil || len(text) > 0 != (c.want != "") || !strings.Contains(string(text), c.want) {
				t.Errorf("request %q: response %q, %v", c.text, text, err)
			}
		})
	}
}

// Many connections without a request must leave descriptors for one another and for a client that connects later. The
// connection of a client that has sent requests before stays open.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	_, ln := startSidecar(t, 4, startTestServer(t, serveOK))
	regular, r := dial(t, ln)
	for range 3 {
		io.WriteString(regular, lookRequest)
		if status, _ := readResponse(t, r); status != "200" {
			t.Fatalf("regular client: response status %s, want 200", status)
		}
		for range 20 {
			dial(t, ln)
		}
		late, lateReader := dial(t, ln)
		io.WriteString(late, strings.Replace(lookRequest, "Id: 1", "Id: 2", 1))
		if status, _ := readResponse(t, lateReader); status != "200" {
			t.Errorf("late client: response status %s, want 200", status)
		}
	}
}

// At the connection limit an idle connection is closed for a new one. If all have a request in flight, the next client is
// answered "busy".
func TestClientConnectionBudget(t *testing.T) {
	release := make(chan struct{})
	inFlight := make(chan struct{}, 2)
	_, ln := startSidecar(t, 2, startTestServer(t, func(conn net.Conn) { readRequest(conn); inFlight <- struct{}{}; <-release; conn.Close() }))
	idle, idleReader := dial(t, ln)
	io.WriteString(idle, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := readResponse(t, idleReader); status != "200" {
		t.Fatalf("readiness check: response status %s, want 200", status)
	}
	for i := range 2 {
		c, _ := dial(t, ln)
		io.WriteString(c, payRequest(fmt.Sprint("p", i)))
		<-inFlight
	}
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: read ended with %v, want EOF", err)
	}
	c, r := dial(t, ln)
	io.WriteString(c, lookRequest)
	if status, _ := readResponse(t, r); status != "503" {
		t.Errorf("beyond the limit: response status %s, want 503", status)
	}
	close(release)
}

// When a client disconnects, its attempt is canceled by closing the upstream connection.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	received, ended := make(chan struct{}), make(chan error, 1)
	_, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		close(received)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}))
	c, _ := dial(t, ln)
	io.WriteString(c, lookRequest)
	<-received
	c.Close()
	if err := <-ended; err == nil {
		t.Error("the attempt was not canceled")
	}
}

// An invalid response or invalid data ends a discovery watch, and no part of it is used.
func TestWatchRejectsBadResponses(t *testing.T) {
	for response, want := range map[string]subscription.Outcome{"HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n": subscription.Refused, "": subscription.Failed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{x}\n\r\n": subscription.Unreadable} {
		address := startTestServer(t, func(conn net.Conn) { readRequest(conn); io.WriteString(conn, response); conn.Close() })
		d := NewDiscoveryClient(context.Background(), address, nil, discardLog)
		d.initLease()
		s := d.open(subscription.Open{Address: address})
		if end := d.runCall(s, subscription.Call{Number: 1, Address: address}); end.Err == nil || end.Outcome != want {
			t.Errorf("response %q: watch ended as %v with %v, want %v", response, end.Outcome, end.Err, want)
		}
	}
}

// A panic is contained where it happens: its request is answered, its connection is closed, and the rest continues.
func TestPanicIsContained(t *testing.T) {
	srv, _ := startSidecar(t, 4, startTestServer(t, serveOK))
	answers := make(chan routing.Answer, 1)
	loop := loopOf(t, srv)
	loop.Submit(&routing.Request{Deadline: loop.Now() + time.Minute, Payload: "no message",
		Done: func(a routing.Answer) { answers <- a }})
	if a := <-answers; a.Verdict == routing.Served {
		t.Errorf("answer %+v, want a failure", a)
	}
	srv, ln := startSidecar(t, 4, startTestServer(t, serveOK))
	srv.SetRoutes(func(*protocol.Message) (*Backend, protocol.RequestMeta, error) { panic("odd") })
	for _, c := range []struct{ text, want string }{{lookRequest, "500"}, {"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", "200"}} {
		conn, r := dial(t, ln)
		io.WriteString(conn, c.text)
		if status, _ := readResponse(t, r); status != c.want {
			t.Errorf("request %.12q: response status %s", c.text, status)
		}
	}
}

// A request that arrives just as the connection's read timeout expires is served, not answered with 408.
func TestRequestArrivesAtTheReadTimeout(t *testing.T) {
	srv, _ := startSidecar(t, 4, startTestServer(t, serveOK))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, r := dial(t, ln)
	io.WriteString(client, lookRequest)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		if peek(conn) == peekData {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c := &clientConn{server: srv, conn: conn, since: time.Now().Add(-time.Hour)}
	srv.mu.Lock()
	srv.conns[c] = struct{}{}
	srv.openConns++
	srv.mu.Unlock()
	go c.serve()
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("response status %s, want 200", status)
	}
}

// stuckTransport blocks in the first attempt until it is released.
type stuckTransport struct {
	*ConnectionPool
	entered, release chan struct{}
}

func (c stuckTransport) Send(*routing.Attempt, func(routing.Result)) {
	close(c.entered)
	<-c.release
}

// Requests to a pool whose event loop is stuck are answered "busy" at once, with Retry-After. A request that the loop had already
// accepted is answered once, by its deadline.
func TestStuckLoopIsAnsweredBusy(t *testing.T) {
	clock := routing.NewClock()
	loop, err := routing.New(testSettings(), routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.UpdateEndpoints(balance.Cached, 1, []routing.Member{{Name: "s", Address: "127.0.0.1:1", State: balance.Ready}})
	transport := stuckTransport{newTestPool(clock), make(chan struct{}), make(chan struct{})}
	defer close(transport.release)
	go loop.Run(ctx, transport, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second}}
	srv := NewServer(clock, SinglePoolRouter(&Backend{Loop: loop, RetryAfter: time.Second}, classes), Budget{ClientConns: 4, OverflowConns: 2}, discardLog)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go srv.Serve(ln)
	first, firstReader := dial(t, ln)
	io.WriteString(first, lookRequest)
	<-transport.entered
	testkit.WaitUntil(t, "the loop is stuck", loop.Stuck)
	second, secondReader := dial(t, ln)
	began := time.Now()
	io.WriteString(second, strings.Replace(lookRequest, "Id: 1", "Id: 2", 1))
	reader := textproto.NewReader(secondReader)
	line, _ := reader.ReadLine()
	fields, err := reader.ReadMIMEHeader()
	if !strings.HasPrefix(line, "HTTP/1.1 503 ") || fields.Get("Retry-After") != "1" || time.Since(began) > time.Second {
		t.Errorf("response %q after %s: %v, %v; want 503 with Retry-After: 1 within a second", line, time.Since(began), fields, err)
	}
	if status, _ := readResponse(t, firstReader); status != "502" {
		t.Errorf("request in the stuck loop: response status %s, want 502", status)
	}
}

// Reporting ready before the sidecar serves a listener, or after it was asked to stop, counts as an invariant violation.
func TestFalseReadinessIsAViolation(t *testing.T) {
	srv, _ := startSidecar(t, 4, startTestServer(t, serveOK))
	receivedAt := srv.clock.Now()
	for i, c := range []struct {
		serving    bool
		stopsSince time.Duration
		violations uint64
	}{{true, 0, 0}, {true, receivedAt + time.Second, 0}, {true, receivedAt - time.Second, 1}, {false, 0, 2}} {
		srv.serving.Store(c.serving)
		srv.stopRequestedAt.Store(int64(c.stopsSince))
		srv.checkReady(receivedAt)
		if n := srv.guard.Violations()[guard.Start.String()]; n != c.violations {
			t.Errorf("case %d: %d violations, want %d", i, n, c.violations)
		}
	}
	srv.serving.Store(true)
	srv.stopRequestedAt.Store(0)
}
