package transport

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// server listens on loopback and hands each connection to a function.
func startTestServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// head reads one request without a body and returns its text.
func readRequest(c net.Conn) string {
	var text []byte
	for b := make([]byte, 1); !strings.HasSuffix(string(text), "\r\n\r\n"); text = append(text, b[0]) {
		if _, err := c.Read(b); err != nil {
			return ""
		}
	}
	return string(text)
}

func newTestPool(clock routing.Clock) *ConnectionPool {
	return NewConnectionPool(ConnectionPoolOptions{Clock: clock, ConnectTimeout: time.Second, IdleTimeout: time.Minute, ConnectionLimiter: NewConnLimiter(4), Log: discardLog})
}

// probe runs one exchange and returns how it ended.
func runProbe(u *ConnectionPool, d *routing.Endpoint) balance.Status {
	ended := make(chan routing.Result, 1)
	u.Probe(d, func(r routing.Result) { ended <- r })
	r := <-ended
	if r.Err != nil {
		return r.Err.Status()
	}
	return r.Status
}
