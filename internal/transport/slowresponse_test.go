package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A response that comes in pieces, or behind an interim one, is served however long it takes, as long as there is time; one that stops
// short fails soon. Guards against a bound on the whole of a response.
func TestResponsesInPieces(t *testing.T) {
	const post = "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 1\r\n\r\nx"
	piece := func(d time.Duration, text string) func(net.Conn) {
		return func(conn net.Conn) {
			time.Sleep(d)
			io.WriteString(conn, text)
		}
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct {
		pieces     []func(net.Conn)
		wantStatus string
		within     time.Duration
	}{
		"pieces each 0.4 s": {[]func(net.Conn){piece(0, head+"a"), piece(400*time.Millisecond, "b"), piece(400*time.Millisecond, "c"),
			piece(400*time.Millisecond, "d")}, "200", 2 * time.Second},
		"interim response, the final one 1 s later": {[]func(net.Conn){piece(0, "HTTP/1.1 102 Processing\r\n\r\n"), piece(time.Second, head+"abcd")},
			"200", 2 * time.Second},
		"stops short": {[]func(net.Conn){piece(0, head+"a")}, "502", 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
				if readRequest(conn) == "" {
					return
				}
				for _, send := range c.pieces {
					send(conn)
				}
				io.Copy(io.Discard, conn)
			}))
			conn, r := dial(t, ln)
			sent := time.Now()
			io.WriteString(conn, post)
			status, body := readResponse(t, r)
			if took := time.Since(sent); status != c.wantStatus || took > c.within || status == "200" && !strings.HasSuffix(body, "abcd") {
				t.Errorf("status %s, %q after %v; want %s within %v", status, body, took, c.wantStatus, c.within)
			}
		})
	}
}
