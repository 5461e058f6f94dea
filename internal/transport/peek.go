package transport

import (
	"net"
	"syscall"
)

// sight is what waits on a connection, as peek tells.
type sight uint8

const (
	peekNothing sight = iota // nothing: it stands
	peekData                 // bytes that were not read
	peekClosed               // its end, or an error
)

// peek tells what waits on a connection without reading it. The peer's end or bytes can be there before the goroutine
// that reads the connection has run.
func peek(conn net.Conn) sight {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return peekClosed
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return peekClosed
	}
	seen := peekClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case e == syscall.EAGAIN || e == syscall.EINTR:
			seen = peekNothing
		case e == nil && n > 0:
			seen = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return seen
}
