package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// A client sends many large requests at once. All are answered, in order and given no more time than was left to the client, whether
// or not the process has memory to read them ahead. Guards against a connection that closes with requests unanswered.
func TestLargeRequestsSentAtOnce(t *testing.T) {
	const requests, size, timeLeft, serviceTime = 24, 40000, 1500 * time.Millisecond, 20 * time.Millisecond
	for name, readAhead := range map[string]int64{"read ahead": 8 << 20, "left unread": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var began atomic.Pointer[time.Time]
			srv, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
				r := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					time.Sleep(serviceTime)
					var told int
					fmt.Sscan(request.Header.Get("X-Time-Left-Ms"), &told)
					if left := timeLeft - time.Since(*began.Load()); time.Duration(told)*time.Millisecond > left+150*time.Millisecond {
						t.Errorf("request %s was given %d ms, its client has %v left", request.Header.Get("X-Correlation-Id"), told, left)
					}
					id := request.Header.Get("X-Correlation-Id")
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
				}
			}))
			srv.SetBudget(Budget{ClientConns: 4, OverflowConns: 2, ReadAheadBytes: readAhead})
			conn, _ := dial(t, ln)
			now := time.Now()
			began.Store(&now)
			go func() {
				for n := range requests {
					fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nX-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", n,
						timeLeft.Milliseconds(), size, strings.Repeat("x", size))
				}
			}()
			r := bufio.NewReader(conn)
			for n := range requests {
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("response %d: %v", n, err)
				}
				body, _ := io.ReadAll(response.Body)
				if response.StatusCode != 200 || string(body) != fmt.Sprint(n) {
					t.Errorf("response %d: status %d, %q", n, response.StatusCode, body)
				}
			}
			testkit.WaitUntil(t, "nothing is buffered", func() bool { return srv.readAheadBytes.Load() == 0 })
		})
	}
}

// Input that comes in many small reads after a pause counts as sent at the pause until the client has been idle. Guards against a time
// told to a server that is longer than its client has left.
func TestInputAfterAPauseCountsFromThePause(t *testing.T) {
	pause := time.Now().Add(-time.Second)
	c := &clientConn{unreadSince: pause}
	for range 15 { // over more than idleAfterPause
		if at := c.arrivalTime(); !at.Equal(pause) {
			t.Fatalf("input in steady reads counts as sent %v after the pause, want at the pause", at.Sub(pause))
		}
		c.noteRead(1, 2)
		time.Sleep(idleAfterPause / 10)
	}
	time.Sleep(2 * idleAfterPause)
	if at := c.arrivalTime(); time.Since(at) > time.Second/2 {
		t.Errorf("input after the client was idle counts as sent %v ago", time.Since(at))
	}
}
