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
	"kitewood/internal/testkit"
)

// settings are the module's for one class that is safe and one that is not.
func testSettings() balance.Settings {
	class := balance.Class{LatencyTarget: 2 * time.Second, Deadline: 2 * time.Second, Utility: 1}
	unsafe := class
	unsafe.Effect = balance.Unsafe
	return balance.Settings{Seed: 1, Balancers: 1, Classes: []balance.Class{class, unsafe}, Objective: balance.Objective{Overall: 1},
		Limits: balance.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 2, MaxRetryAfter: time.Second},
		Rules:  balance.Rules{DrainGrace: time.Second / 2, DiscoveryInterval: 10 * time.Second}}
}

// sidecar serves a listener in front of one destination.
func sidecar(t *testing.T, most int, destination string) (*Server, net.Listener) {
	t.Helper()
	f, ln, run := prepareSidecar(t, most, destination, testSettings(), "")
	run()
	return f, ln
}

// stopped is a sidecar whose loop waits for the word to run and to watch discovery.
func prepareSidecar(t *testing.T, most int, destination string, set balance.Settings, discovery string) (*Server, net.Listener, func()) {
	t.Helper()
	clock := routing.NewClock()
	loop, err := routing.New(set, routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop.UpdateEndpoints(balance.Cached, 1, []routing.Member{{Name: "s", Address: destination, State: balance.Ready}})
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second, Keyed: set.Classes[0].Effect == balance.Keyed},
		{Name: "pay", Methods: []string{"POST"}, Deadline: 2 * time.Second}}
	f := NewServer(clock, SinglePoolRouter(&Backend{Loop: loop}, classes), Budget{ClientConns: most, OverflowConns: 2}, discardLog)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return f, ln, func() { go loop.Run(ctx, newTestPool(clock), NewDiscoveryClient(ctx, discovery, loop, discardLog)) }
}

// leads is the Loop that a listener takes operations to.
func leads(t *testing.T, f *Server) *routing.Loop {
	t.Helper()
	to, _, err := (*f.find.Load())(&protocol.Message{StartLine: [3]string{"GET", "/look"}, Header: textproto.MIMEHeader{"X-Correlation-Id": {"1"}}})
	if err != nil {
		t.Fatal(err)
	}
	return to.Loop
}

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

const look = "GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\n\r\n"

func payRequest(id string) string {
	return "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id + "\r\n\r\n"
}

// answer reads one answer: its start line and its body.
func readResponse(t *testing.T, r *bufio.Reader) (string, string) {
	t.Helper()
	m := protocol.Parser{Responses: true}
	for {
		b, err := r.ReadByte()
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if _, msg, err := m.Feed([]byte{b}); err != nil {
			t.Fatal(err)
		} else if msg != nil {
			return msg.StartLine[1], string(msg.Body)
		}
	}
}

func serveOK(conn net.Conn) {
	for text := readRequest(conn); text != ""; text = readRequest(conn) {
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// The next request may come before the answer. The wake-up that an answer sends must not end a later read: seen as
// connections closed with 408 while they were idle.
func TestManyRequestsAhead(t *testing.T) {
	_, ln := sidecar(t, 4, startTestServer(t, serveOK))
	c, r := dial(t, ln)
	for range 100 {
		io.WriteString(c, look+look+look)
		for range 3 {
			if status, body := readResponse(t, r); status != "200" || body != "ok" {
				t.Fatalf("%s %q", status, body)
			}
		}
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v after the last answer", rest, err)
	}
}

// A wake-up that comes late, after its answer was seen otherwise, ends neither an idle connection nor an operation.
func TestLateWakeUp(t *testing.T) {
	slow := make(chan struct{})
	f, ln := sidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		<-slow
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}))
	c, r := dial(t, ln)
	wake := func() {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		for conn := range f.conns {
			conn.conn.SetReadDeadline(time.Unix(1, 0))
		}
		f.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	wake()
	io.WriteString(c, look)
	wake()
	close(slow)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("answered %s", status)
	}
}

// An operation whose time is up is answered even if the loop does not come to it; what the loop then says of it must
// not reach the next operation of the connection.
func TestLateAnswer(t *testing.T) {
	_, ln, run := prepareSidecar(t, 4, startTestServer(t, serveOK), testSettings(), "")
	c, r := dial(t, ln)
	io.WriteString(c, strings.Replace(look, "Host", "X-Time-Left-Ms: 1\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "502" {
		t.Errorf("out of time answered %s", status)
	}
	io.WriteString(c, look)
	time.Sleep(50 * time.Millisecond) // it is on its way to the loop
	run()
	if status, body := readResponse(t, r); status != "200" || body != "ok" {
		t.Errorf("the next one answered %s %q", status, body)
	}
}

// Whoever sends no request, or only a part of one, is told or closed soon; who has asked before is not in the crowd's way.
func TestSlowClients(t *testing.T) {
	for _, c := range []struct{ text, want string }{{"", ""}, {"GET /look HTTP/1.1\r\nHost: h", "408"}, {look, "200"},
		{"GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nContent-Length: 2\r\n\r\nok", "400"},
		{"GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nA: \x01\r\n\r\n", "400"}} {
		t.Run(c.want, func(t *testing.T) {
			t.Parallel()
			_, ln := sidecar(t, 4, startTestServer(t, serveOK))
			conn, r := dial(t, ln)
			io.WriteString(conn, c.text)
			if text, err := io.ReadAll(r); err != nil || len(text) > 0 != (c.want != "") || !strings.Contains(string(text), c.want) {
				t.Errorf("%q got %q, %v", c.text, text, err)
			}
		})
	}
}

// A crowd that says nothing makes room for itself, and for a client that comes later; one that has asked before stays.
func TestSilentCrowd(t *testing.T) {
	_, ln := sidecar(t, 4, startTestServer(t, serveOK))
	usual, r := dial(t, ln)
	for range 3 {
		io.WriteString(usual, look)
		if status, _ := readResponse(t, r); status != "200" {
			t.Fatalf("the usual client got %s", status)
		}
		for range 20 {
			dial(t, ln)
		}
		late, rl := dial(t, ln)
		io.WriteString(late, strings.Replace(look, "Id: 1", "Id: 2", 1))
		if status, _ := readResponse(t, rl); status != "200" {
			t.Errorf("the late client got %s", status)
		}
	}
}

// At the cap an idle connection makes room; where all are at work the next is told that the sidecar is busy.
func TestFrontBudget(t *testing.T) {
	hold := make(chan struct{})
	held := make(chan struct{}, 2)
	_, ln := sidecar(t, 2, startTestServer(t, func(conn net.Conn) { readRequest(conn); held <- struct{}{}; <-hold; conn.Close() }))
	idle, ri := dial(t, ln)
	io.WriteString(idle, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := readResponse(t, ri); status != "200" {
		t.Fatalf("ready answered %s", status)
	}
	for i := range 2 {
		c, _ := dial(t, ln)
		io.WriteString(c, payRequest(fmt.Sprint("p", i)))
		<-held
	}
	if _, err := ri.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	c, r := dial(t, ln)
	io.WriteString(c, look)
	if status, _ := readResponse(t, r); status != "503" {
		t.Errorf("beyond the cap answered %s", status)
	}
	close(hold)
}

// A client that leaves takes its operation along: the attempt is called off by closing its connection.
func TestClientLeaves(t *testing.T) {
	came, ended := make(chan struct{}), make(chan error, 1)
	_, ln := sidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		readRequest(conn)
		close(came)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}))
	c, _ := dial(t, ln)
	io.WriteString(c, look)
	<-came
	c.Close()
	if err := <-ended; err == nil {
		t.Error("the attempt went on")
	}
}

// Bad answers and bad data end a watch, and are not half believed.
func TestWatch(t *testing.T) {
	for answer, want := range map[string]callOutcome{"HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n": callRefused, "": callFailed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{x}\n\r\n": callUnreadable} {
		at := startTestServer(t, func(conn net.Conn) { readRequest(conn); io.WriteString(conn, answer); conn.Close() })
		d := NewDiscoveryClient(context.Background(), at, nil, discardLog)
		d.initLease()
		if end := d.call(d.latest()); end.err == nil || end.outcome != want {
			t.Errorf("%q ended as %v with %v, want %v", answer, end.outcome, end.err, want)
		}
	}
}

// A panic stops where it happens: its operation has an answer, its connection an end, and the rest goes on.
func TestPanics(t *testing.T) {
	f, _ := sidecar(t, 4, startTestServer(t, serveOK))
	answers := make(chan routing.Answer, 1)
	loop := leads(t, f)
	loop.Submit(&routing.Request{Deadline: loop.Now() + time.Minute, Payload: "no message",
		Done: func(a routing.Answer) { answers <- a }})
	if a := <-answers; a.Verdict == routing.Served {
		t.Errorf("answered %+v", a)
	}
	f, ln := sidecar(t, 4, startTestServer(t, serveOK))
	f.SetRoutes(func(*protocol.Message) (*Backend, protocol.RequestMeta, error) { panic("odd") })
	for _, c := range []struct{ text, want string }{{look, "500"}, {"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", "200"}} {
		conn, r := dial(t, ln)
		io.WriteString(conn, c.text)
		if status, _ := readResponse(t, r); status != c.want {
			t.Errorf("%.12q answered %s", c.text, status)
		}
	}
}

// A request that came as the connection's time ran out is served, not told that it was slow.
func TestRequestAtTheLastMoment(t *testing.T) {
	f, _ := sidecar(t, 4, startTestServer(t, serveOK))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, r := dial(t, ln)
	io.WriteString(client, look)
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
	c := &frontConn{front: f, conn: conn, since: time.Now().Add(-time.Hour)}
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.live++
	f.mu.Unlock()
	go c.serve()
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("answered %s", status)
	}
}

// stuckCarrier never comes back from an attempt.
type stuckCarrier struct {
	*ConnectionPool
	held, free chan struct{}
}

func (c stuckCarrier) Send(*routing.Attempt, func(routing.Result)) {
	close(c.held)
	<-c.free
}

// A pool whose loop is stuck is answered busy at once, with advice; what it held has its one answer by its time.
func TestStuckPoolIsBusy(t *testing.T) {
	clock := routing.NewClock()
	loop, err := routing.New(testSettings(), routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.UpdateEndpoints(balance.Cached, 1, []routing.Member{{Name: "s", Address: "127.0.0.1:1", State: balance.Ready}})
	carrier := stuckCarrier{newTestPool(clock), make(chan struct{}), make(chan struct{})}
	defer close(carrier.free)
	go loop.Run(ctx, carrier, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second}}
	f := NewServer(clock, SinglePoolRouter(&Backend{Loop: loop, RetryAfter: time.Second}, classes), Budget{ClientConns: 4, OverflowConns: 2}, discardLog)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go f.Serve(ln)
	first, firstAnswer := dial(t, ln)
	io.WriteString(first, look)
	<-carrier.held
	testkit.WaitUntil(t, "the loop is stuck", loop.Stuck)
	second, secondAnswer := dial(t, ln)
	began := time.Now()
	io.WriteString(second, strings.Replace(look, "Id: 1", "Id: 2", 1))
	in := textproto.NewReader(secondAnswer)
	line, _ := in.ReadLine()
	fields, err := in.ReadMIMEHeader()
	if !strings.HasPrefix(line, "HTTP/1.1 503 ") || fields.Get("Retry-After") != "1" || time.Since(began) > time.Second {
		t.Errorf("answered %q after %s: %v, %v", line, time.Since(began), fields, err)
	}
	if status, _ := readResponse(t, firstAnswer); status != "502" {
		t.Errorf("what the stuck loop held was answered %s", status)
	}
}

// A process that says it is ready before it serves, or after it was told to stop, counts a violation.
func TestReadyIsChecked(t *testing.T) {
	f, _ := sidecar(t, 4, startTestServer(t, serveOK))
	came := f.clock.Now()
	for i, c := range []struct {
		serving    bool
		stopsSince time.Duration
		violations uint64
	}{{true, 0, 0}, {true, came + time.Second, 0}, {true, came - time.Second, 1}, {false, 0, 2}} {
		f.serving.Store(c.serving)
		f.stopsSince.Store(int64(c.stopsSince))
		f.checkReady(came)
		if n := f.guard.Violations()[guard.Start.String()]; n != c.violations {
			t.Errorf("case %d: %d violations are counted, want %d", i, n, c.violations)
		}
	}
	f.serving.Store(true)
	f.stopsSince.Store(0)
}
