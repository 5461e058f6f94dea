package httpc

import (
	"net"
	"strconv"
	"syscall"
)

func itoa(n int) string { return strconv.Itoa(n) }

// pending looks, without waiting, whether bytes or the end have come on a connection that owes nothing. What TLS has
// buffered cannot be seen so; such a connection counts as quiet.
func peek(c net.Conn) (bytes, ended bool) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false, true
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			bytes = true
		case err != syscall.EAGAIN && err != syscall.EINTR:
			ended = true
		}
	})
	return bytes, ended || err != nil
}
