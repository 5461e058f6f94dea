package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
)

// Without a length a response ends with its connection: one that is reset is none, and one that comes whole is passed on.
func TestResponseWithoutLength(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		parts []string
		reset bool
		want  balance.Status
	}{
		"whole":               {[]string{"HTTP/1.1 200 OK\r\n\r\nall of it"}, false, balance.OK},
		"whole, without body": {[]string{"HTTP/1.1 200 OK\r\n\r\n"}, false, balance.OK},
		"whole, in parts":     {[]string{"HTTP/1.1 200 OK\r\n\r\nall", " of", " it"}, false, balance.OK},
		"reset at once":       {[]string{"HTTP/1.1 200 OK\r\n\r\nall of it"}, true, balance.Reset},
		"reset after parts":   {[]string{"HTTP/1.1 200 OK\r\n\r\nall", " of it"}, true, balance.Reset},
		"ends in the head":    {[]string{"HTTP/1.1 200 OK\r\nA: b\r\n"}, false, balance.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startTestServer(t, func(conn net.Conn) {
				readRequest(conn)
				for i, part := range c.parts {
					if i > 0 {
						time.Sleep(20 * time.Millisecond)
					}
					io.WriteString(conn, part)
				}
				if c.reset {
					time.Sleep(20 * time.Millisecond) // a reset overtakes what has not been read
					conn.(*net.TCPConn).SetLinger(0)
				}
				conn.Close()
			})
			pool := newTestPool(routing.NewClock())
			for range 5 {
				if status := runProbe(pool, &routing.Endpoint{Address: address}); status != c.want {
					t.Errorf("status %v, want %v", status, c.want)
				}
			}
		})
	}
}
