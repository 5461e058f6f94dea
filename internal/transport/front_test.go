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
func settings() balance.Settings {
	class := balance.Class{Aim: 2 * time.Second, Deadline: 2 * time.Second, Worth: 1}
	unsafe := class
	unsafe.Effect = balance.Unsafe
	return balance.Settings{Seed: 1, Balancers: 1, Classes: []balance.Class{class, unsafe}, Goal: balance.Goal{Whole: 1},
		Limits: balance.Limits{Cancel: true, RetryAfter: true, MaxAttempts: 2, MaxRetryAfter: time.Second},
		Rules:  balance.Rules{DrainGrace: time.Second / 2, AskWithin: 10 * time.Second}}
}

// sidecar serves a listener in front of one destination.
func sidecar(t *testing.T, most int, destination string) (*Front, net.Listener) {
	t.Helper()
	f, ln, run := stopped(t, most, destination, settings(), "")
	run()
	return f, ln
}

// stopped is a sidecar whose loop waits for the word to run and to watch discovery.
func stopped(t *testing.T, most int, destination string, set balance.Settings, discovery string) (*Front, net.Listener, func()) {
	t.Helper()
	clock := routing.NewClock()
	loop, err := routing.New(set, routing.Names{}, clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	loop.Pool(balance.Cached, 1, []routing.Member{{Name: "s", Address: destination, State: balance.Ready}})
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second, Keyed: set.Classes[0].Effect == balance.Keyed},
		{Name: "pay", Methods: []string{"POST"}, Deadline: 2 * time.Second}}
	f := NewFront(clock, OnePool(&Service{Loop: loop}, classes), Budget{Front: most, Overflow: 2}, quiet)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return f, ln, func() { go loop.Run(ctx, destinations(clock), NewDirectory(ctx, discovery, loop, quiet)) }
}

// leads is the Loop that a listener takes operations to.
func leads(t *testing.T, f *Front) *routing.Loop {
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

func pay(id string) string {
	return "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id + "\r\n\r\n"
}

// answer reads one answer: its start line and its body.
func answer(t *testing.T, r *bufio.Reader) (string, string) {
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

func echo(conn net.Conn) {
	for text := head(conn); text != ""; text = head(conn) {
		conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// The next request may come before the answer. The wake-up that an answer sends must not end a later read: seen as
// connections closed with 408 while they were idle.
func TestManyRequestsAhead(t *testing.T) {
	_, ln := sidecar(t, 4, server(t, echo))
	c, r := dial(t, ln)
	for range 100 {
		io.WriteString(c, look+look+look)
		for range 3 {
			if status, body := answer(t, r); status != "200" || body != "ok" {
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
	f, ln := sidecar(t, 4, server(t, func(conn net.Conn) {
		head(conn)
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
	if status, _ := answer(t, r); status != "200" {
		t.Errorf("answered %s", status)
	}
}

// An operation whose time is up is answered even if the loop does not come to it; what the loop then says of it must
// not reach the next operation of the connection.
func TestLateAnswer(t *testing.T) {
	_, ln, run := stopped(t, 4, server(t, echo), settings(), "")
	c, r := dial(t, ln)
	io.WriteString(c, strings.Replace(look, "Host", "X-Time-Left-Ms: 1\r\nHost", 1))
	if status, _ := answer(t, r); status != "502" {
		t.Errorf("out of time answered %s", status)
	}
	io.WriteString(c, look)
	time.Sleep(50 * time.Millisecond) // it is on its way to the loop
	run()
	if status, body := answer(t, r); status != "200" || body != "ok" {
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
			_, ln := sidecar(t, 4, server(t, echo))
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
	_, ln := sidecar(t, 4, server(t, echo))
	usual, r := dial(t, ln)
	for range 3 {
		io.WriteString(usual, look)
		if status, _ := answer(t, r); status != "200" {
			t.Fatalf("the usual client got %s", status)
		}
		for range 20 {
			dial(t, ln)
		}
		late, rl := dial(t, ln)
		io.WriteString(late, strings.Replace(look, "Id: 1", "Id: 2", 1))
		if status, _ := answer(t, rl); status != "200" {
			t.Errorf("the late client got %s", status)
		}
	}
}

// At the cap an idle connection makes room; where all are at work the next is told that the sidecar is busy.
func TestFrontBudget(t *testing.T) {
	hold := make(chan struct{})
	held := make(chan struct{}, 2)
	_, ln := sidecar(t, 2, server(t, func(conn net.Conn) { head(conn); held <- struct{}{}; <-hold; conn.Close() }))
	idle, ri := dial(t, ln)
	io.WriteString(idle, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := answer(t, ri); status != "200" {
		t.Fatalf("ready answered %s", status)
	}
	for i := range 2 {
		c, _ := dial(t, ln)
		io.WriteString(c, pay(fmt.Sprint("p", i)))
		<-held
	}
	if _, err := ri.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	c, r := dial(t, ln)
	io.WriteString(c, look)
	if status, _ := answer(t, r); status != "503" {
		t.Errorf("beyond the cap answered %s", status)
	}
	close(hold)
}

// A client that leaves takes its operation along: the attempt is called off by closing its connection.
func TestClientLeaves(t *testing.T) {
	came, ended := make(chan struct{}), make(chan error, 1)
	_, ln := sidecar(t, 4, server(t, func(conn net.Conn) {
		head(conn)
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
	for answer, want := range map[string]callKind{"HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n": callRefused, "": callFailed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{x}\n\r\n": callUnreadable} {
		at := server(t, func(conn net.Conn) { head(conn); io.WriteString(conn, answer); conn.Close() })
		d := NewDirectory(context.Background(), at, nil, quiet)
		d.prepare()
		if end := d.call(d.latest()); end.err == nil || end.kind != want {
			t.Errorf("%q ended as %v with %v, want %v", answer, end.kind, end.err, want)
		}
	}
}

// A panic stops where it happens: its operation has an answer, its connection an end, and the rest goes on.
func TestPanics(t *testing.T) {
	f, _ := sidecar(t, 4, server(t, echo))
	answers := make(chan routing.Answer, 1)
	loop := leads(t, f)
	loop.Submit(&routing.Operation{Deadline: loop.Now() + time.Minute, Payload: "no message",
		Done: func(a routing.Answer) { answers <- a }})
	if a := <-answers; a.Verdict == routing.Served {
		t.Errorf("answered %+v", a)
	}
	f, ln := sidecar(t, 4, server(t, echo))
	f.Lead(func(*protocol.Message) (*Service, protocol.RequestMeta, error) { panic("odd") })
	for _, c := range []struct{ text, want string }{{look, "500"}, {"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", "200"}} {
		conn, r := dial(t, ln)
		io.WriteString(conn, c.text)
		if status, _ := answer(t, r); status != c.want {
			t.Errorf("%.12q answered %s", c.text, status)
		}
	}
}

// A request that came as the connection's time ran out is served, not told that it was slow.
func TestRequestAtTheLastMoment(t *testing.T) {
	f, _ := sidecar(t, 4, server(t, echo))
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
		if peek(conn) == waits {
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
	if status, _ := answer(t, r); status != "200" {
		t.Errorf("answered %s", status)
	}
}

// stuckCarrier never comes back from an attempt.
type stuckCarrier struct {
	*Destinations
	held, free chan struct{}
}

func (c stuckCarrier) Carry(*routing.Attempt, func(routing.Result)) {
	close(c.held)
	<-c.free
}

// A pool whose loop is stuck is answered busy at once, with advice; what it held has its one answer by its time.
func TestStuckPoolIsBusy(t *testing.T) {
	clock := routing.NewClock()
	loop, err := routing.New(settings(), routing.Names{}, clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Pool(balance.Cached, 1, []routing.Member{{Name: "s", Address: "127.0.0.1:1", State: balance.Ready}})
	carrier := stuckCarrier{destinations(clock), make(chan struct{}), make(chan struct{})}
	defer close(carrier.free)
	go loop.Run(ctx, carrier, NewDirectory(ctx, "127.0.0.1:1", loop, quiet))
	classes := []protocol.Class{{Name: "look", Methods: []string{"GET"}, Deadline: 2 * time.Second}}
	f := NewFront(clock, OnePool(&Service{Loop: loop, Advice: time.Second}, classes), Budget{Front: 4, Overflow: 2}, quiet)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go f.Serve(ln)
	first, firstAnswer := dial(t, ln)
	io.WriteString(first, look)
	<-carrier.held
	testkit.Until(t, "the loop is stuck", loop.Stuck)
	second, secondAnswer := dial(t, ln)
	began := time.Now()
	io.WriteString(second, strings.Replace(look, "Id: 1", "Id: 2", 1))
	in := textproto.NewReader(secondAnswer)
	line, _ := in.ReadLine()
	fields, err := in.ReadMIMEHeader()
	if !strings.HasPrefix(line, "HTTP/1.1 503 ") || fields.Get("Retry-After") != "1" || time.Since(began) > time.Second {
		t.Errorf("answered %q after %s: %v, %v", line, time.Since(began), fields, err)
	}
	if status, _ := answer(t, firstAnswer); status != "502" {
		t.Errorf("what the stuck loop held was answered %s", status)
	}
}

// A process that says it is ready before it serves, or after it was told to stop, counts a violation.
func TestReadyIsChecked(t *testing.T) {
	f, _ := sidecar(t, 4, server(t, echo))
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
