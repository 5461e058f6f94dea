package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/internal/protocol"
	"kitewood/internal/shutdown"
)

// stopWithin returns the limits of a stop that later requests delay for at most d, and earlier ones for much longer.
func stopWithin(d time.Duration) shutdown.Limits {
	return shutdown.Limits{LaterRequests: d, EarlierRequests: time.Minute}
}

// The sidecar stops while its only endpoint never answers, and clients send on every open connection until it is closed: each
// request that was taken gets its answer, and the last one comes before the process may be killed.
func TestStopAnswersAllConnections(t *testing.T) {
	const clients, within = 12, 900 * time.Millisecond
	srv, ln := startSidecar(t, 2*clients, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
	loop := loopOf(t, srv)
	var answers atomic.Uint64
	var running sync.WaitGroup
	for n := range clients {
		conn, _ := dial(t, ln)
		running.Go(func() {
			timeLeft := []int{40, 150, 800}[n%3]
			for i := 0; ; i++ {
				id := fmt.Sprintf("Id: %d-%d\r\nX-Time-Left-Ms: %d", n, i, timeLeft)
				if _, err := io.WriteString(conn, strings.Replace(lookRequest, "Id: 1", id, 1)); err != nil {
					return
				}
				parser, buf := protocol.Parser{Responses: true}, make([]byte, 1<<10)
				for answered := false; !answered; {
					size, err := conn.Read(buf)
					if _, msg, _ := parser.Feed(buf[:size]); msg != nil {
						answers.Add(1)
						answered = true
					} else if err != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	srv.Stop(t.Context(), stopWithin(within), ln)
	running.Wait()
	if took := time.Since(began); took > within+200*time.Millisecond {
		t.Errorf("the last answer came after %v, want at most %v", took, within+200*time.Millisecond)
	}
	v, _ := loop.View(time.Second)
	if taken := v.Metrics.Requests; answers.Load() < taken || taken < 2*clients {
		t.Errorf("%d requests were taken and %d answered, want at least %d and all", taken, answers.Load(), 2*clients)
	}
}

// A request that came before the stop and has more time left than the stop takes is answered: by its endpoint if that responds, else
// as failed at its deadline. Guards against a stopping sidecar that exits while it has open requests.
func TestStopAwaitsEarlierRequests(t *testing.T) {
	const within, late = 600 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		endpoint   func(net.Conn) // serves one connection
		wantStatus string
		wantAfter  time.Duration // since the request
	}{
		"endpoint responds late": {func(conn net.Conn) {
			io.ReadFull(conn, make([]byte, 1))
			time.Sleep(late)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			io.Copy(io.Discard, conn)
		}, "200", late},
		"endpoint hangs": {func(conn net.Conn) { io.Copy(io.Discard, conn) }, "502", earlierTimeLeft},
	} {
		t.Run(name, func(t *testing.T) {
			srv, ln := startSidecar(t, 10, startTestServer(t, c.endpoint))
			conn, r := dial(t, ln)
			sent := time.Now()
			io.WriteString(conn, earlierRequest)
			time.Sleep(100 * time.Millisecond)
			stopped := make(chan time.Time, 1)
			go func() { srv.Stop(context.Background(), stopWithin(within), ln); stopped <- time.Now() }()
			status, _ := readResponse(t, r)
			answered := time.Now()
			if took := answered.Sub(sent); status != c.wantStatus || took < c.wantAfter || took > c.wantAfter+500*time.Millisecond {
				t.Errorf("status %s after %v, want %s after %v", status, took, c.wantStatus, c.wantAfter)
			}
			conn.Close()
			if after := (<-stopped).Sub(answered); after < 0 || after > 700*time.Millisecond {
				t.Errorf("the stop ended %v after the answer, want 0 to 700 ms", after)
			}
		})
	}
}

// earlierRequest is a request with earlierTimeLeft to go, which is longer than a stop in these tests takes.
const (
	earlierTimeLeft = 1900 * time.Millisecond
	earlierRequest  = "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: e\r\nX-Time-Left-Ms: 1900\r\n\r\n"
)

// A request that comes after the stop, behind an open one with more time left, is answered before the process may be killed, and so
// the open one is, too.
func TestStopAnswersRequestsBehindEarlierOne(t *testing.T) {
	const within = 600 * time.Millisecond
	srv, ln := startSidecar(t, 10, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
	conn, r := dial(t, ln)
	io.WriteString(conn, earlierRequest)
	time.Sleep(100 * time.Millisecond)
	stopRequested := time.Now()
	go srv.Stop(context.Background(), stopWithin(within), ln)
	time.Sleep(50 * time.Millisecond)
	io.WriteString(conn, strings.Replace(earlierRequest, "Id: e", "Id: f", 1))
	for n := range 2 {
		status, _ := readResponse(t, r)
		if took := time.Since(stopRequested); took > within+200*time.Millisecond || status == "200" {
			t.Errorf("response %d: status %s %v after the stop, want an error within %v", n, status, took, within+200*time.Millisecond)
		}
	}
}

// The end of the context answers open requests as failed and ends the stop.
func TestEndOfContextFailsOpenRequests(t *testing.T) {
	srv, ln := startSidecar(t, 10, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
	conn, r := dial(t, ln)
	io.WriteString(conn, earlierRequest)
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { srv.Stop(ctx, stopWithin(time.Minute), ln); close(stopped) }()
	time.Sleep(50 * time.Millisecond)
	cancelled := time.Now()
	cancel()
	if status, _ := readResponse(t, r); status != "502" || time.Since(cancelled) > 500*time.Millisecond {
		t.Errorf("status %s after %v, want 502 at once", status, time.Since(cancelled))
	}
	conn.Close()
	<-stopped
	if took := time.Since(cancelled); took > time.Second {
		t.Errorf("the stop ended %v after its context", took)
	}
}
