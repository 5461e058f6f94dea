package child

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// portRange is the socket option IP_LOCAL_PORT_RANGE, which limits the ports that the system assigns to a socket.
const portRange = 51

// Between the reservation of an address and the start of the process that uses it, another socket asks for any port. The reserved
// one is the only port that the system could assign, and it must not.
func TestReservedAddressIsNotAssigned(t *testing.T) {
	a, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(a.String(), ":")
	port, _ := strconv.Atoi(text)
	bindAnyPort := func() error {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer syscall.Close(fd)
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, portRange, port|port<<16); err != nil {
			t.Skipf("this system does not support IP_LOCAL_PORT_RANGE: %v", err)
		}
		return syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err := bindAnyPort(); err != syscall.EADDRINUSE {
		t.Errorf("binding any port while the only one is reserved: %v, want EADDRINUSE", err)
	}
	ln, err := net.Listen("tcp", a.String())
	if err != nil {
		t.Fatalf("listening on the reserved address: %v", err)
	}
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	ln.Close()
	if ln, err = net.Listen("tcp", a.String()); err != nil { // the next process
		t.Fatal(err)
	}
	ln.Close()
	a.Release()
	if err := bindAnyPort(); err != nil {
		t.Errorf("binding any port after the release: %v", err)
	}
}
