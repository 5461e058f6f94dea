package transport

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// faults draws failing system calls. Which fault a connection gets follows from the seed and the connection's number, so a seed
// gives the same faults in each run, although the order of the connections may differ.
type faults struct {
	seed  uint64
	conns atomic.Uint64

	mu     sync.Mutex
	trace  []string        // the faults that took effect
	broken map[string]bool // remote addresses of the connections that a fault broke
}

// draw returns the random numbers of the next connection or call.
func (f *faults) draw() (uint64, *rand.Rand) {
	n := f.conns.Add(1)
	return n, rand.New(rand.NewPCG(f.seed, n))
}

// record notes a fault that has taken effect on a connection.
func (f *faults) record(remote, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, fmt.Sprintf(format, args...))
	if f.broken == nil {
		f.broken = map[string]bool{}
	}
	f.broken[remote] = true
}

// hasBroken reports whether a fault broke the connection to a remote address.
func (f *faults) hasBroken(remote string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken[remote]
}

// wrap returns a connection whose reads are short, and of which some fail at a drawn byte of what is read or written.
func (f *faults) wrap(conn net.Conn, probability float64, maxBytes int) net.Conn {
	n, random := f.draw()
	c := &faultyConn{Conn: conn, faults: f, number: n, readsLeft: -1, writesLeft: -1, callsLeft: -1, random: random}
	if random.Float64() < probability {
		errnos := []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
		c.errno = errnos[random.IntN(len(errnos))]
		switch random.IntN(3) {
		case 0:
			c.readsLeft = random.IntN(maxBytes)
		case 1:
			c.writesLeft = random.IntN(maxBytes)
		case 2:
			c.callsLeft = random.IntN(10)
		}
	}
	return c
}

// faultyConn is a connection with drawn faults. Once a call has failed, all further reads and writes fail, as on a broken socket.
type faultyConn struct {
	net.Conn // not *net.TCPConn, whose writes of several parts would pass by Write
	faults   *faults
	number   uint64
	errno    syscall.Errno

	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	readsLeft  int // bytes until a read fails, -1 for never
	writesLeft int // bytes until a write fails, -1 for never
	callsLeft  int // writes until the read of what they bring fails, -1 for never
	failed     bool
}

// limit returns how many of n bytes a call may transfer, or the error with which it fails.
func (c *faultyConn) limit(op string, left *int, n int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *left == 0 && !c.failed {
		c.failed = true
		c.faults.record(c.RemoteAddr().String(), "connection %d: %s fails with %v", c.number, op, c.errno)
	}
	if c.failed {
		return 0, &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, c.errno)}
	}
	if op == "read" && n > 1 {
		n = 1 + c.random.IntN(n)
	}
	if *left > 0 {
		n = min(n, *left)
	}
	return n, nil
}

// count records the bytes transferred by a call.
func (c *faultyConn) count(left *int, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left == &c.writesLeft && c.callsLeft >= 0 && n > 0 {
		if c.callsLeft--; c.callsLeft < 0 {
			c.readsLeft = 0
		}
	}
	if *left > 0 {
		*left -= n
	}
}

// Read fails only once there is something to read: a connection that breaks while its peer is at work does so then.
func (c *faultyConn) Read(p []byte) (int, error) {
	if c.readFailsNext() {
		if n, err := c.Conn.Read(p); n == 0 {
			return 0, err
		}
	}
	n, err := c.limit("read", &c.readsLeft, min(len(p), 200))
	if err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p[:n])
	c.count(&c.readsLeft, n)
	return n, err
}

// readFailsNext reports whether the next read is the one to fail.
func (c *faultyConn) readFailsNext() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsLeft == 0 && !c.failed
}

func (c *faultyConn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.limit("write", &c.writesLeft, len(p)-written)
		if err != nil {
			return written, err
		}
		n, err = c.Conn.Write(p[written : written+n])
		written += n
		c.count(&c.writesLeft, n)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *faultyConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}
func (c *faultyConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// faultyListener fails some accepts and wraps the connections of the others.
type faultyListener struct {
	net.Listener
	faults *faults
}

func (l *faultyListener) Accept() (net.Conn, error) {
	errnos := []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EINTR}
	if n, random := l.faults.draw(); random.IntN(3) == 0 {
		errno := errnos[random.IntN(len(errnos))]
		l.faults.record("", "call %d: accept fails with %v", n, errno)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.faults.wrap(conn, 0.9, 4000), nil
}

// connect is the dialFunc of a pool with faults.
func (f *faults) connect(address string, timeout time.Duration) (net.Conn, error) {
	errnos := append(localDialErrnos(), remoteDialErrnos()...)
	if n, random := f.draw(); random.IntN(5) == 0 {
		errno := errnos[random.IntN(len(errnos))]
		f.record("", "call %d: connect fails with %v", n, errno)
		return nil, dialError(errno)
	}
	conn, err := dialTCP(address, timeout)
	if err != nil {
		return nil, err
	}
	return f.wrap(conn, 0.7, 4000), nil
}

// runCounter counts by ID the requests that arrived whole at an endpoint.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// serve answers each request of a connection with a body that repeats its ID.
func (r *runCounter) serve(conn net.Conn) {
	defer conn.Close()
	in, parser := bufio.NewReader(conn), protocol.Parser{}
	for {
		b, err := in.ReadByte()
		if err != nil {
			return
		}
		_, msg, err := parser.Feed([]byte{b})
		if err != nil {
			return
		}
		if msg == nil {
			continue
		}
		id := msg.Header.Get("X-Correlation-Id")
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		body := faultBody(id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// of returns how often a request has run.
func (r *runCounter) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// faultBody returns the body of the response to a request.
func faultBody(id string) string { return strings.Repeat(id+" ", 30) }

// faultClient sends requests over one connection after another and checks the responses.
type faultClient struct {
	t        *testing.T
	address  string
	name     string
	faults   *faults
	runs     *runCounter
	random   *rand.Rand
	statuses map[string]int
}

// run sends n groups of up to three requests each.
func (c *faultClient) run(n int) {
	var conn net.Conn
	var in *bufio.Reader
	for i := range n {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.address); err != nil {
				c.t.Error(err)
				return
			}
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			in = bufio.NewReader(conn)
		}
		if !c.sendGroup(conn, in, i) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.(*net.TCPConn).CloseWrite()
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			c.t.Errorf("%s: the client read %q after its last response", c.name, rest)
		}
		conn.Close()
	}
}

// sendGroup sends up to three requests at once and reads their responses. It reports whether the connection stays open.
func (c *faultClient) sendGroup(conn net.Conn, in *bufio.Reader, group int) bool {
	var ids []string
	text := ""
	for j := range 1 + c.random.IntN(3) {
		id := fmt.Sprintf("%s-%d-%d", c.name, group, j)
		ids = append(ids, id)
		if c.random.IntN(2) == 0 {
			body := strings.Repeat("b", c.random.IntN(300))
			text += fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id+"-unsafe", len(body), body)
			ids[j] += "-unsafe"
		} else {
			text += fmt.Sprintf("GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\n\r\n", id)
		}
	}
	io.WriteString(conn, text)
	for _, id := range ids {
		msg, err := readMessage(in)
		if err != nil {
			if !c.faults.hasBroken(conn.LocalAddr().String()) {
				c.t.Errorf("%s: no response, %v, on a connection without a fault", id, err)
			}
			c.statuses["none"]++
			return false
		}
		c.check(id, msg)
		if msg.Close {
			return false
		}
	}
	return true
}

// check checks a final answer against what the endpoints have seen.
func (c *faultClient) check(id string, msg *protocol.Message) {
	status, runs := msg.StartLine[1], c.runs.of(id)
	c.statuses[status]++
	switch {
	case status == "200" && (runs == 0 || string(msg.Body) != faultBody(id)):
		c.t.Errorf("%s: ran %d times, response 200 %q", id, runs, msg.Body)
	case status == "503" && runs != 0 && strings.HasSuffix(id, "-unsafe"): // a safe request may be repeated
		c.t.Errorf("%s: ran %d times, but the response says that it was not processed", id, runs)
	case status != "200" && status != "503" && status != "502":
		c.t.Errorf("%s: response %s %q", id, status, msg.Body)
	}
}

// readMessage reads one response.
func readMessage(in *bufio.Reader) (*protocol.Message, error) {
	parser := protocol.Parser{Responses: true}
	for {
		b, err := in.ReadByte()
		if err != nil {
			return nil, err
		}
		if _, msg, err := parser.Feed([]byte{b}); err != nil || msg != nil {
			return msg, err
		}
	}
}

// System calls fail as drawn from a seed, on both sides of the sidecar. Each request that was read gets one final answer, whole and
// its own, or the end of its connection where that connection was the one that broke. Nothing unsafe runs twice, and
// nothing unsafe that is answered as not processed has run.
func TestFailingSystemCalls(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, seed)
		})
	}
}

func runWithFaults(t *testing.T, seed uint64) {
	const clients, groups = 8, 40
	f, runs := &faults{seed: seed}, &runCounter{runs: map[string]int{}}
	var endpoints []string
	for range 3 {
		endpoints = append(endpoints, startTestServer(t, runs.serve))
	}
	pool := newTestPool(routing.NewClock())
	pool.ConnectionLimiter, pool.connect = NewConnLimiter(32), f.connect
	srv, unused, start := prepareSidecarWithPool(t, 2*clients, endpoints, testSettings(), "", pool)
	unused.Close()
	start()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go srv.Serve(&faultyListener{ln, f})
	var wg sync.WaitGroup
	statuses := make([]map[string]int, clients)
	for i := range clients {
		statuses[i] = map[string]int{}
		c := &faultClient{t: t, address: ln.Addr().String(), name: fmt.Sprint("c", i), faults: f, runs: runs,
			random: rand.New(rand.NewPCG(seed, uint64(1000+i))), statuses: statuses[i]}
		wg.Go(func() { c.run(groups) })
	}
	wg.Wait()
	checkRuns(t, seed, srv, f, runs, statuses)
}

// checkRuns checks what holds for all requests together, and that the run had faults and requests that were served.
func checkRuns(t *testing.T, seed uint64, srv *Server, f *faults, runs *runCounter, statuses []map[string]int) {
	for id, n := range runs.runs {
		if max := map[bool]int{true: 1, false: testSettings().Limits.MaxAttempts}[strings.HasSuffix(id, "-unsafe")]; n > max {
			t.Errorf("%s ran %d times, want at most %d", id, n, max)
		}
	}
	total := map[string]int{}
	for _, s := range statuses {
		for status, n := range s {
			total[status] += n
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := srv.guard.Violations(); len(v) > 0 {
		t.Errorf("the server's guard recorded violations: %v", v)
	}
	if total["200"] < 100 || total["none"] < 5 || len(f.trace) < 50 {
		t.Errorf("%v and %d faults: the run shows too little", total, len(f.trace))
	}
	t.Logf("seed %d: answers %v, %d faults", seed, total, len(f.trace))
	if t.Failed() {
		t.Logf("seed %d, faults in order: %s", seed, strings.Join(f.trace, "; "))
	}
}
