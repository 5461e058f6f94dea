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

// Two things that meet between two lines of the code are forced to here: each test puts the second where the first has
// just happened, over real sockets.

// hooked is a connection that tells when something has been done on it.
type hooked struct {
	*net.TCPConn
	read   func()          // some bytes were read
	timing func()          // the time of its read is about to be set
	closed func()          // its own side was closed
	timed  func(time.Time) // the time of its read was set
}

func (h *hooked) Read(p []byte) (int, error) {
	n, err := h.TCPConn.Read(p)
	if n > 0 && h.read != nil {
		h.read()
	}
	return n, err
}

func (h *hooked) CloseWrite() error {
	err := h.TCPConn.CloseWrite()
	if h.closed != nil {
		h.closed()
	}
	return err
}

func (h *hooked) SetReadDeadline(t time.Time) error {
	if h.timing != nil {
		h.timing()
	}
	err := h.TCPConn.SetReadDeadline(t)
	if h.timed != nil {
		h.timed(t)
	}
	return err
}

// serveHooked has a Front serve one connection with hooks, and returns the client's end.
func serveHooked(t *testing.T, f *Server, h *hooked) (net.Conn, *bufio.Reader) {
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
	go f.enter(h).serve()
	return client, r
}

// ask asks one connection to end, as making room does.
func ask(f *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.askOne()
}

// counted is a destination that answers, and counts what comes to it.
func counted(t *testing.T) (string, chan string) {
	came := make(chan string, 99)
	return startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			came <- text
			conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}), came
}

// A connection is asked to end when its request has just been read: the request is answered whole, and once, and then the
// connection ends. Closed by whoever asked, it ended with no answer to what had been read.
func TestAskedToEndOverARequest(t *testing.T) {
	at, came := counted(t)
	f, _ := sidecar(t, 4, at)
	var once sync.Once
	var asked atomic.Bool
	c, r := serveHooked(t, f, &hooked{read: func() { once.Do(func() { asked.Store(ask(f)) }) }})
	io.WriteString(c, look)
	text, err := io.ReadAll(r)
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 200 ") || !strings.Contains(string(text), "Connection: close") {
		t.Errorf("answered %q, %v", text, err)
	}
	if !asked.Load() || len(came) != 1 {
		t.Errorf("asked: %v; it was sent on %d times", asked.Load(), len(came))
	}
	testkit.WaitUntil(t, "nothing is held", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.live == 0 && len(f.conns) == 0 })
}

// A connection is asked to end as the first part of its request is read: the rest has a moment to come, and the request is
// answered whole. It was told that it had taken too long.
func TestAskedToEndOverHalfARequest(t *testing.T) {
	at, came := counted(t)
	f, _ := sidecar(t, 4, at)
	half := func() (net.Conn, *bufio.Reader) {
		var once sync.Once
		asked := make(chan bool, 1)
		c, r := serveHooked(t, f, &hooked{read: func() { once.Do(func() { asked <- ask(f) }) }})
		io.WriteString(c, look[:20])
		if !<-asked {
			t.Fatal("it was not asked to end")
		}
		return c, r
	}
	c, r := half()
	time.Sleep(30 * time.Millisecond)
	io.WriteString(c, look[20:])
	if text, err := io.ReadAll(r); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 200 ") || len(came) != 1 {
		t.Errorf("answered %q, %v; it was sent on %d times", text, err, len(came))
	}
	// One that never comes whole does not hold its descriptor for longer than that.
	began := time.Now()
	_, r = half()
	if text, _ := io.ReadAll(r); !strings.HasPrefix(string(text), "HTTP/1.1 408 ") || time.Since(began) > time.Second {
		t.Errorf("half a request was answered %q after %v", text, time.Since(began))
	}
}

// unserved is a sidecar without a listener, and one that the test has it serve as it likes.
func unserved(t *testing.T) (*Server, net.Listener) {
	t.Helper()
	f, plain, run := prepareSidecar(t, 4, startTestServer(t, serveOK), testSettings(), "")
	run()
	plain.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return f, ln
}

// wrapping is a listener whose connections are wrapped.
type wrapping struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (w *wrapping) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err == nil {
		c = w.wrap(c)
	}
	return c, err
}

// A connection is asked to end before it has first set the time of its read: either it is not yet one that can be asked, or it
// ends at once. It set that time over the wake-up and stood for 2.5 s, while no other client was accepted.
func TestAskedToEndBeforeItsFirstRead(t *testing.T) {
	f, ln := unserved(t)
	var asked atomic.Bool
	go f.Serve(&wrapping{ln, func(c net.Conn) net.Conn {
		return &hooked{TCPConn: c.(*net.TCPConn), timing: func() {
			if asked.CompareAndSwap(false, true) { // to ask sets the time, too
				ask(f)
			}
		}}
	}})
	_, r := dial(t, ln)
	began := time.Now()
	testkit.WaitUntil(t, "it is asked to end", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.conns) > 0 && f.live == 0 || f.askOne() })
	if _, err := r.ReadByte(); err != io.EOF || time.Since(began) > time.Second {
		t.Errorf("it ended %v after it was asked to: %v", time.Since(began), err)
	}
}

// A client sends its next request before it has the answer to the last one: its time counts from when it came, not from when
// its turn did, for what its attempt tells and for when it is answered.
func TestTimeOfARequestSentAhead(t *testing.T) {
	const wait, given = 400 * time.Millisecond, 1500
	told := make(chan int, 9)
	_, ln := sidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			_, left, _ := strings.Cut(text, "X-Time-Left-Ms: ")
			ms, _ := strconv.Atoi(strings.TrimSpace(strings.SplitN(left, "\r\n", 2)[0]))
			told <- ms
			time.Sleep(wait)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	c, r := dial(t, ln)
	for _, id := range []string{"1", "2", "3"} {
		io.WriteString(c, strings.Replace(look, "Id: 1", fmt.Sprintf("Id: %s\r\nX-Time-Left-Ms: %d", id, given), 1))
	}
	for i := range 3 {
		if status, _ := readResponse(t, r); status != "200" {
			t.Fatalf("request %d was answered %s", i, status)
		}
		if ms, most := <-told, given-i*int(wait/time.Millisecond)+20; ms > most || ms < most-300 {
			t.Errorf("request %d told %d ms, %d were left", i, ms, most-20)
		}
	}
}

// A client names the id and the key of its request as fields for one hop. They reach the destination all the same, on every attempt:
// it knows the request by the one and drops repeats by the other. Another field that it names so ends here.
func TestIDAndKeyPassThoughConnectionNamesThem(t *testing.T) {
	at, came := counted(t)
	set := testSettings()
	set.Classes[0].Effect, set.Classes[0].DedupWindow = balance.Keyed, time.Second
	_, ln, run := prepareSidecar(t, 4, at, set, "")
	run()
	c, r := dial(t, ln)
	io.WriteString(c, strings.Replace(look, "Host", "Connection: x-correlation-id, Idempotency-Key, X-Mine\r\nX-Mine: 1\r\nIdempotency-Key: k1\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("answered %s", status)
	}
	text := <-came
	for field, passes := range map[string]bool{"X-Correlation-Id: 1\r\n": true, "Idempotency-Key: k1\r\n": true, "X-Mine": false} {
		if strings.Contains(text, field) != passes {
			t.Errorf("the destination got %q", text)
		}
	}
}

// A request that crosses the end of its connection is not taken: its client sees the end, no reset, and nothing runs.
func TestRequestCrossesTheEnd(t *testing.T) {
	at, came := counted(t)
	f, _ := sidecar(t, 4, at)
	var client net.Conn
	ready := make(chan bool)
	c, r := serveHooked(t, f, &hooked{closed: func() { <-ready; io.WriteString(client, look) }})
	client = c
	close(ready)
	io.WriteString(c, strings.Replace(look, "Id: 1", "Id: 0", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("the first request got %s", status)
	}
	testkit.WaitUntil(t, "it rests and is asked to end", func() bool { return ask(f) })
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("the client read %q, %v", rest, err)
	}
	if len(came) != 1 {
		t.Errorf("%d requests were sent on", len(came))
	}
}

// The wake-up of an answer comes when the connection already lets its client read that answer: it must not end that, or
// what the client still sends is reset, and the answer with it.
func TestLateWakeUpWhileTheClientReads(t *testing.T) {
	f, _ := sidecar(t, 4, startTestServer(t, serveOK))
	var ending atomic.Bool
	h := &hooked{closed: func() { ending.Store(true) }}
	h.timed = func(time.Time) {
		if ending.CompareAndSwap(true, false) {
			h.TCPConn.SetReadDeadline(longAgo())
		}
	}
	c, r := serveHooked(t, f, h)
	io.WriteString(c, strings.Replace(look, "Host", "Connection: close\r\nHost", 1))
	if status, _ := readResponse(t, r); status != "200" {
		t.Fatalf("answered %s", status)
	}
	time.Sleep(20 * time.Millisecond) // it lingers, and has been woken
	for range 3 {
		if _, err := io.WriteString(c, look); err != nil {
			t.Fatalf("the connection is closed under its client: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("the client read %q, %v", rest, err)
	}
}

// queued is a listener from which nothing is accepted before it gets a time limit.
type queued struct {
	*net.TCPListener
	limited chan struct{}
	once    sync.Once
}

func (q *queued) Accept() (net.Conn, error) { <-q.limited; return q.TCPListener.Accept() }

func (q *queued) SetDeadline(t time.Time) error {
	err := q.TCPListener.SetDeadline(t)
	q.once.Do(func() { close(q.limited) })
	return err
}

func (q *queued) Close() error {
	err := q.TCPListener.Close()
	q.once.Do(func() { close(q.limited) })
	return err
}

// A client whose connection waits in the system's queue when the sidecar stops accepting has sent its request, and gets its
// answer. Closing the listener over it reset it.
func TestStopAnswersWhoeverWaitsToBeAccepted(t *testing.T) {
	f, ln := unserved(t)
	q := &queued{TCPListener: ln.(*net.TCPListener), limited: make(chan struct{})}
	go f.Serve(q)
	var waiting []*bufio.Reader
	for i := range 9 { // more than are served at a time: they are accepted one by one as others end
		c, r := dial(t, ln)
		io.WriteString(c, strings.Replace(look, "Id: 1", fmt.Sprint("Id: ", i), 1))
		waiting = append(waiting, r)
	}
	ended := make(chan struct{})
	go func() { f.Stop(context.Background(), 600*time.Millisecond, q); close(ended) }()
	for i, r := range waiting {
		if status, _ := readResponse(t, r); status != "200" && status != "503" || i < 4 && status != "200" {
			t.Errorf("the one at place %d was answered %s", i, status)
		}
	}
	<-ended
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// late is a destination whose connections come up only when it is let: its system's queue is full until then. What is sent
// to it comes on a channel.
func startSlowAcceptServer(t *testing.T) (address string, let func(), came chan string) {
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
	filler, err := net.Dial("tcp", address) // fills the queue of one
	if err != nil {
		t.Fatal(err)
	}
	came = make(chan string, 9)
	let = func() {
		go func() {
			for {
				nfd, _, err := syscall.Accept(fd)
				if err != nil {
					return
				}
				go func() {
					defer syscall.Close(nfd)
					buf := make([]byte, 4<<10)
					if n, _ := syscall.Read(nfd, buf); n > 0 {
						came <- string(buf[:n])
						syscall.Write(nfd, []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					}
				}()
			}
		}()
	}
	t.Cleanup(func() { filler.Close(); syscall.Shutdown(fd, syscall.SHUT_RDWR); syscall.Close(fd) })
	return address, let, came
}

// carried runs one attempt of an operation against a destination whose connection comes up late, with something done
// meanwhile, and tells whether the request was sent.
func carried(t *testing.T, class balance.Class, limits balance.Limits, op *routing.Request, ran bool, meanwhile func(*routing.Loop)) bool {
	t.Helper()
	at, let, came := startSlowAcceptServer(t)
	clock := routing.NewClock()
	set := testSettings()
	set.Classes, set.Limits = []balance.Class{class}, limits
	loop, err := routing.New(set, routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	u := NewConnectionPool(ConnectionPoolOptions{Clock: clock, ConnectTimeout: 5 * time.Second, IdleTimeout: time.Minute, ConnectionLimiter: NewConnLimiter(4), Log: discardLog})
	members := []routing.Member{{Name: "s", Address: at, State: balance.Ready}}
	first, cut := make(chan struct{}), make(chan struct{})
	if ran { // the operation's first attempt may have run, at another destination, which drains by then
		members[0].Address = startTestServer(t, func(conn net.Conn) { readRequest(conn); close(first); <-cut; conn.Close() })
	}
	loop.UpdateEndpoints(balance.Cached, 1, members)
	go loop.Run(ctx, u, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
	op.Deadline, op.Done = loop.Now()+6*time.Second, func(routing.Answer) {}
	op.Payload = &protocol.Message{StartLine: [3]string{"GET", "/look"}}
	loop.Submit(op)
	if ran {
		<-first
		loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: members[0].Address, State: balance.Draining},
			{Name: "t", Address: at, State: balance.Ready}})
		loop.View(time.Second) // it has taken that
		close(cut)
	}
	time.Sleep(50 * time.Millisecond) // its connection is asked for
	meanwhile(loop)
	let()
	select {
	case text := <-came:
		return text != ""
	case <-time.After(3500 * time.Millisecond): // the system tries again after 1 s and after 3 s
		return false
	}
}

// A client leaves while its attempt's connection is still coming up: the attempt does not begin, also where the settings
// do not allow that attempts are called off.
func TestClientLeavesBeforeTheConnectionIsUp(t *testing.T) {
	t.Parallel()
	class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 6 * time.Second, Utility: 1}
	op := &routing.Request{}
	if carried(t, class, balance.Limits{MaxAttempts: 1}, op, false, func(l *routing.Loop) { l.Abandon(op) }) {
		t.Error("the request was sent on after its client had left")
	}
	if !carried(t, class, balance.Limits{MaxAttempts: 1}, &routing.Request{}, false, func(*routing.Loop) {}) {
		t.Error("the request of a client that stays was not sent on")
	}
}

// gated is a Room in which whoever asks once it is shut waits until it is opened.
type gated struct {
	ConnLimiter
	shut          atomic.Bool
	waits, opened chan struct{}
}

func (g *gated) Acquire() bool {
	if g.shut.Load() {
		g.waits <- struct{}{}
		<-g.opened
	}
	return g.ConnLimiter.Acquire()
}

// A destination begins to drain between the decision to probe it and the probe's first byte: the probe does not begin.
func TestDrainBeforeAProbeBegins(t *testing.T) {
	for drains, sent := range map[bool]bool{true: false, false: true} {
		at, came := counted(t)
		clock, set := routing.NewClock(), testSettings()
		set.Report.Source, set.Limits.Probes = balance.OnProbes, true
		loop, err := routing.New(set, routing.Names{}, clock, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		room := &gated{ConnLimiter: NewConnLimiter(9), waits: make(chan struct{}, 9), opened: make(chan struct{})}
		loop.UpdateEndpoints(balance.Cached, 1, []routing.Member{{Name: "s", Address: at, State: balance.Ready}})
		u := NewConnectionPool(ConnectionPoolOptions{Clock: clock, ConnectTimeout: time.Second, IdleTimeout: time.Minute, ConnectionLimiter: room, ProbePath: "/stats", Log: discardLog})
		go loop.Run(ctx, u, NewDiscoveryClient(ctx, "127.0.0.1:1", loop, discardLog))
		done := make(chan routing.Answer, 9)
		for n := range 3 { // one probe for three requests: it comes with the third, and both need a connection
			if n == 2 {
				room.shut.Store(true)
				for u.EvictOldestIdle() {
				}
			}
			m := &protocol.Message{StartLine: [3]string{"GET", "/look"}}
			loop.Submit(&routing.Request{Deadline: loop.Now() + time.Second, Done: func(a routing.Answer) { done <- a }, Payload: m})
			if n < 2 {
				<-done
				<-came
			}
		}
		<-room.waits
		<-room.waits
		if drains {
			loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: at, State: balance.Draining}})
			loop.View(time.Second) // it has taken that
		}
		close(room.opened)
		probed, until := false, time.After(300*time.Millisecond)
		for wait := true; wait; {
			select {
			case text := <-came:
				if probed = probed || strings.HasPrefix(text, "GET /stats "); drains {
					t.Errorf("a destination that drains got %q", text)
				}
			case <-until:
				wait = false
			}
		}
		if probed != sent {
			t.Errorf("drains: %v; it was probed: %v", drains, probed)
		}
	}
}

// A client leaves while its request waits for a destination that can take it: when one can, the request is not sent on.
func TestClientLeavesWhileItsRequestIsQueued(t *testing.T) {
	at, came := counted(t)
	f, ln := sidecar(t, 4, at)
	loop := leads(t, f)
	state := func(s balance.State) {
		loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: at, State: s}})
		loop.View(time.Second) // it has taken that
	}
	state(balance.Draining)
	leaver, _ := dial(t, ln)
	io.WriteString(leaver, look)
	stayer, r := dial(t, ln)
	io.WriteString(stayer, strings.Replace(look, "Id: 1", "Id: 2", 1))
	testkit.WaitUntil(t, "both wait", func() bool { return loop.PendingRequests() == 2 })
	left := time.Now()
	leaver.Close()
	testkit.WaitUntil(t, "one has gone", func() bool { return loop.PendingRequests() == 1 })
	if took := time.Since(left); took > 100*time.Millisecond {
		t.Errorf("its leaving was known after %v", took)
	}
	state(balance.Ready)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("the other was answered %s", status)
	}
	if len(came) != 1 || !strings.Contains(<-came, "Id: 2\r\n") {
		t.Errorf("%d requests were sent on, or the wrong one", len(came)+1)
	}
}

// A keyed request that may have run is sent again while its window lasts. The window ends while the repeat's connection is
// coming up: the repeat does not begin, as nobody would drop it any more.
func TestWindowEndsBeforeTheConnectionIsUp(t *testing.T) {
	t.Parallel()
	for window, sent := range map[time.Duration]bool{400 * time.Millisecond: false, 5 * time.Second: true} {
		t.Run(window.String(), func(t *testing.T) {
			t.Parallel()
			class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 6 * time.Second, Utility: 1, Effect: balance.Keyed, DedupWindow: window}
			limits := balance.Limits{MaxAttempts: 2, RetryShare: 1, RetryBurst: 8}
			if got := carried(t, class, limits, &routing.Request{}, true, func(*routing.Loop) {}); got != sent {
				t.Errorf("with a window of %v the repeat was sent: %v", window, got)
			}
		})
	}
}

// A client that sends far ahead of its answers and goes has gone: what it had out is called off, and what it sent ahead is
// not begun. Its leaving was not seen while more than some kilobytes of it waited.
func TestFloodAndGo(t *testing.T) {
	came, ended := make(chan string, 99), make(chan struct{}, 9)
	f, ln := sidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		came <- readRequest(conn)
		conn.Read(make([]byte, 1))
		ended <- struct{}{}
	}))
	c, _ := dial(t, ln)
	io.WriteString(c, look)
	<-came
	io.WriteString(c, strings.Repeat(strings.Replace(look, "Id: 1", "Id: 2", 1), 4000))
	c.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the attempt goes on a second after its client went")
	}
	testkit.WaitUntil(t, "nothing is owed", func() bool { return leads(t, f).PendingRequests() == 0 })
	if len(came) > 0 {
		t.Errorf("begun for a client that had gone: %q", <-came)
	}
}

// A connection comes up later than its attempt waits: the attempt never ran and ends in time, and the connection rests for
// the next one, which would have to wait as long for another.
func TestLateConnectionServesTheNext(t *testing.T) {
	t.Parallel()
	at, let, came := startSlowAcceptServer(t)
	u := NewConnectionPool(ConnectionPoolOptions{Clock: routing.NewClock(), ConnectTimeout: 200 * time.Millisecond, IdleTimeout: time.Minute,
		ConnectionLimiter: NewConnLimiter(1), Log: discardLog})
	d := &routing.Endpoint{Address: at}
	began := time.Now()
	if s := runProbe(u, d); s != balance.ConnectFailed || time.Since(began) > time.Second {
		t.Errorf("the first ended %v after %v", s, time.Since(began))
	}
	let()
	testkit.WaitUntil(t, "the connection rests", func() bool { u.mu.Lock(); defer u.mu.Unlock(); return len(u.idle[d]) == 1 })
	if len(came) > 0 {
		t.Errorf("something was sent over it: %q", <-came)
	}
	time.Sleep(2 * minIdleTime)
	if s := runProbe(u, d); s != balance.OK { // there is room for one: it is that one
		t.Errorf("the next ended %v", s)
	}
	testkit.WaitUntil(t, "the room is given back", func() bool { u.Close(); ok := u.ConnectionLimiter.Acquire(); return ok })
}

// A second copy of an answer comes some milliseconds behind it: the next request does not travel on that connection, and gets
// its own answer.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	at := startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%c", text[strings.Index(text, "Id: ")+4])
			io.WriteString(conn, own)
			time.Sleep(12 * time.Millisecond)
			io.WriteString(conn, own)
		}
	})
	_, ln := sidecar(t, 4, at)
	c, r := dial(t, ln)
	for i, id := range []string{"1", "2", "3"} {
		io.WriteString(c, strings.Replace(look, "Id: 1", "Id: "+id, 1))
		if status, body := readResponse(t, r); status != "200" || body != id {
			t.Errorf("request %s was answered %s %q", id, status, body)
		}
		time.Sleep(time.Duration(5+2*i) * time.Millisecond)
	}
}

// A client has sent further requests when the sidecar stops, and they have been read: all of them are answered before the
// connection ends, as nobody else can answer what was read here.
func TestRequestsReadAheadAreAnsweredAtTheEnd(t *testing.T) {
	let := make(chan bool)
	came := make(chan bool, 9)
	f, ln := sidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			came <- true
			<-let
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	c, r := dial(t, ln)
	const requests = 3
	for i := range requests {
		io.WriteString(c, strings.Replace(look, "Id: 1", fmt.Sprint("Id: ", i), 1))
	}
	<-came
	time.Sleep(20 * time.Millisecond) // the others are read
	f.draining.Store(true)
	f.until.Store(int64(f.clock.Now() + 2*time.Second))
	f.closing.Store(true)
	close(let)
	for i := range requests {
		if status, _ := readResponse(t, r); status != "200" {
			t.Errorf("request %d was answered %s", i, status)
		}
	}
	if n, err := r.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer came %q, %v", n, err)
	}
}
