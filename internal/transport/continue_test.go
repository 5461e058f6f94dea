package transport

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// tornWriteConn fails its first write after three bytes.
type tornWriteConn struct {
	net.Conn
	failed bool
}

func (c *tornWriteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}
func (c *tornWriteConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

func (c *tornWriteConn) Write(p []byte) (int, error) {
	if c.failed {
		return c.Conn.Write(p)
	}
	c.failed = true
	n, _ := c.Conn.Write(p[:3])
	return n, os.ErrDeadlineExceeded
}

// A "100 Continue" could not be written whole, as when the client does not read: the connection ends there. Otherwise the response
// follows a torn line, and the client cannot tell what it belongs to, while its request has run.
func TestTornContinueEndsTheConnection(t *testing.T) {
	address, requests := startCountingServer(t)
	srv, unused := startSidecar(t, 4, address)
	unused.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go srv.Serve(&wrappingListener{ln, func(c net.Conn) net.Conn { return &tornWriteConn{Conn: c} }})
	c, r := dial(t, ln)
	text := strings.Replace(payRequest("1"), "Host", "Expect: 100-continue\r\nContent-Length: 2\r\nHost", 1)
	io.WriteString(c, text)
	torn := make([]byte, 3)
	if _, err := io.ReadFull(r, torn); err != nil || string(torn) != "HTT" {
		t.Fatalf("the client read %q, %v", torn, err)
	}
	io.WriteString(c, "ok")
	if rest, err := io.ReadAll(r); len(rest) > 0 { // the error may be a reset
		t.Errorf("the client read %q, %v after the torn line, want nothing", rest, err)
	}
	if len(requests) != 0 {
		t.Errorf("%d requests were sent on, want none", len(requests))
	}
}
