package child

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// portRange is IP_LOCAL_PORT_RANGE: a socket draws its port from there alone.
const portRange = 51

// The crossing: between the finding of an address and the start of the process that gets it, somebody asks for any port. The
// system has that one alone to give.
func TestReservedAddressIsNotDrawn(t *testing.T) {
	a, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(a.String(), ":")
	port, _ := strconv.Atoi(text)
	draw := func() error {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer syscall.Close(fd)
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		if err := syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, portRange, port|port<<16); err != nil {
			t.Skipf("this system does not let a socket choose where it draws from: %v", err)
		}
		return syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err := draw(); err != syscall.EADDRINUSE {
		t.Errorf("drawn while it is kept: %v", err)
	}
	ln, err := net.Listen("tcp", a.String())
	if err != nil {
		t.Fatalf("the process that names it: %v", err)
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
	if err := draw(); err != nil {
		t.Errorf("the draw cannot find it at all: %v", err)
	}
}
