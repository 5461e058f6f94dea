package httpc

import (
	"net"
	"strconv"
	"syscall"
)

func itoa(n int) string { return strconv.Itoa(n) }

// peek checks without blocking whether an idle connection has received data or has been closed by the peer. This is not
// possible for TLS, whose connections count as open and without data.
func peek(c net.Conn) (data, closed bool) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false, true
	}
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			data = true
		case err != syscall.EAGAIN && err != syscall.EINTR:
			closed = true
		}
	})
	return data, closed || err != nil
}
