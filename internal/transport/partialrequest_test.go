package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A client that stops half way in a request and stays gets its error within 3 s, on a new connection, after an answer, and where the
// first half came while an earlier request was in flight.
func TestClientStopsHalfWay(t *testing.T) {
	t.Parallel()
	const serviceTime = 1200 * time.Millisecond
	slow := strings.Replace(lookRequest, "GET /look", "GET /look/slow", 1)
	body := "POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 2\r\nContent-Length: 10\r\n\r\nhalf"
	for name, c := range map[string]struct {
		before, half string
		together     bool
	}{
		"in the start line":      {"", lookRequest[:9], true},
		"in the body":            {"", body, true},
		"after an answer":        {lookRequest, lookRequest[:30], false},
		"behind a slow request":  {slow, body, true},
		"while a request waits":  {slow, lookRequest[:30], false},
		"in the expected upload": {"", strings.Replace(body, "\r\n\r\nhalf", "\r\nExpect: 100-continue\r\n\r\nha", 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, ln := startSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
				for text := readRequest(conn); text != ""; text = readRequest(conn) {
					if strings.Contains(text, "/slow") {
						time.Sleep(serviceTime)
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}))
			conn, r := dial(t, ln)
			if c.together {
				io.WriteString(conn, c.before+c.half)
			} else {
				io.WriteString(conn, c.before)
				time.Sleep(100 * time.Millisecond)
				io.WriteString(conn, c.half)
			}
			stopped := time.Now()
			if c.before != "" {
				if status, _ := readResponse(t, r); status != "200" {
					t.Errorf("the request before: response status %s, want 200", status)
				}
			}
			text, err := io.ReadAll(r)
			if took := time.Since(stopped); err != nil || !strings.Contains(string(text), "HTTP/1.1 408 ") || took > 3*time.Second {
				t.Errorf("the client stopped and got %q, %v after %v; want status 408 within 3 s", text, err, took)
			}
		})
	}
}
