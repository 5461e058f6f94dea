package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peekResult is what peek found on a connection.
type peekResult uint8

const (
	peekNothing peekResult = iota // open, with nothing to read
	peekData                      // unread bytes
	peekClosed                    // closed by the peer, or an error
)

// peek reports what can be read from a connection without consuming it. Bytes or the peer's close can have arrived before the
// goroutine that reads the connection has run.
func peek(conn net.Conn) peekResult {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return peekClosed
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case e == syscall.EAGAIN || e == syscall.EINTR:
			result = peekNothing
		case e == nil && n > 0:
			result = peekData
		}
	})
	if err != nil {
		return peekClosed
	}
	return result
}

// clientGone reports whether the client has closed its side of a connection, also where bytes that it sent before are still unread.
func clientGone(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0
	})
	return err != nil || closed
}
