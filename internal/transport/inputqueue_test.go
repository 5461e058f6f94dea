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

// granted reports whether a wait has come to its turn.
func granted(w *turnWaiter) bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// One turn lasts at a time, first come, first served, connections with their first request before the others; a cancelled wait or
// turn goes on to the next.
func TestInputQueueOrder(t *testing.T) {
	q := newInputQueue()
	first, second, third := q.enqueue(turnContinue), q.enqueue(turnContinue), q.enqueue(turnContinue)
	fresh := q.enqueue(turnBegin)
	if !granted(first) || granted(second) || granted(fresh) {
		t.Fatal("want the turn of the first only")
	}
	q.cancel(second) // while it waits
	q.cancel(first)  // while it has the turn
	if !granted(fresh) || granted(third) {
		t.Error("want the turn of the connection with its first request")
	}
	began := time.Now()
	q.release(began)
	if granted(third) {
		t.Error("the next turn began without a pause")
	}
	<-third.granted
	if paused := time.Since(began); paused < minTurnPause || granted(second) {
		t.Errorf("the next turn began after %v, want at least %v; cancelled wait granted: %v", paused, minTurnPause, granted(second))
	}
}

// Only so many new connections begin without a turn, and later ones again.
func TestNewConnectionsAreLimited(t *testing.T) {
	q := newInputQueue()
	began, admitted := time.Now(), 0
	for q.admitNew() {
		admitted++
	}
	if most := newConnectionBurst + int(time.Since(began)/newConnectionInterval); admitted < newConnectionBurst || admitted > most {
		t.Errorf("%d new connections began without a turn, want %d to %d", admitted, newConnectionBurst, most)
	}
	testkit.WaitUntil(t, "a new connection may begin again", q.admitNew)
}

// A valid body in chunks of one byte is served, and so are its client's next requests.
func TestBodyInSmallChunksIsServed(t *testing.T) {
	var bodies atomic.Int64
	_, ln := startSidecar(t, 10, startTestServer(t, func(conn net.Conn) {
		for {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			size, _ := io.Copy(io.Discard, request.Body)
			bodies.Add(size)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}))
	const size = 60000
	conn, r := dial(t, ln)
	for n := range 3 {
		fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", n, strings.Repeat("1\r\nx\r\n", size))
		if status, _ := readResponse(t, r); status != "200" {
			t.Fatalf("request %d: status %s, want 200", n, status)
		}
	}
	if got := bodies.Load(); got != 3*size {
		t.Errorf("the endpoint got bodies of %d bytes, want %d", got, 3*size)
	}
}

// A client that sends without end and never completes a request is answered or closed on within the time that bad clients are owed,
// also while others wait for turns.
func TestEndlessInputIsEnded(t *testing.T) {
	_, ln := startSidecar(t, 50, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
	ended := make(chan time.Duration)
	const clients = 10
	for n := range clients {
		go func() {
			conn, _ := dial(t, ln)
			began := time.Now()
			go func() {
				fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n", n)
				for {
					if _, err := io.WriteString(conn, strings.Repeat("1\r\nx\r\n", 1000)); err != nil {
						return
					}
				}
			}()
			conn.Read(make([]byte, 1))
			ended <- time.Since(began)
			conn.Close()
		}()
	}
	for range clients {
		if took := <-ended; took > 3*time.Second {
			t.Errorf("a client got neither an answer nor a close for %v, want at most 3 s", took)
		}
	}
}

// A stop does not wait for clients that send without end.
func TestStopEndsEndlessInput(t *testing.T) {
	for name, text := range map[string]string{"chunks": "1\r\nx\r\n", "requests": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			srv, ln := startSidecar(t, 50, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
			for n := range 10 {
				conn, _ := dial(t, ln)
				go func() {
					if name == "chunks" {
						fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n", n)
					}
					for {
						if _, err := io.WriteString(conn, strings.Repeat(text, 1000)); err != nil {
							return
						}
					}
				}()
				go io.Copy(io.Discard, conn)
			}
			time.Sleep(100 * time.Millisecond)
			const within = 600 * time.Millisecond
			began := time.Now()
			srv.Stop(t.Context(), stopWithin(within), ln)
			if took := time.Since(began); took > within+500*time.Millisecond {
				t.Errorf("the stop took %v, want at most %v", took, within+500*time.Millisecond)
			}
		})
	}
}
