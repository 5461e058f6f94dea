package transport

import (
	"net"
	"syscall"

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
