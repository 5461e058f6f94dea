package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"kitewood/internal/errnoclass"
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
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		result = peekResultOf(n, e)
	})
	if err != nil {
		return peekClosed
	}
	return result
}

// peekResultOf interprets the result of a recvfrom that does not wait. An interruption or a momentary lack of memory does not show
// that the peer is gone.
func peekResultOf(n int, err error) peekResult {
	switch {
	case err == nil && n > 0:
		return peekData
	case err != nil && errnoclass.Of(errnoclass.Transfer, err) == errnoclass.TryAgain:
		return peekNothing
	}
	return peekClosed
}

// clientGone reports whether the client has closed its side of a connection, also where bytes that it sent before are still unread.
func clientGone(conn net.Conn) bool {
	switch peek(conn) {
	case peekClosed:
		return true
	case peekData:
		return closedBehindUnreadBytes(conn)
	}
	return false
}

// closedBehindUnreadBytes reports whether the peer has closed its side of a connection that has unread bytes. Where the system does
// not tell, it has not.
func closedBehindUnreadBytes(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed
}
