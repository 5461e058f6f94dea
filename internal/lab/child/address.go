package child

import (
	"fmt"
	"syscall"
)

// Address is a loopback address that is reserved for a child process by a bound socket that never listens. The system does not
// assign the port to sockets that ask for any port, but the process can bind it by number. Without the reservation another program
// of the lab could get the port before the process had started, and received the requests meant for it.
type Address struct {
	hostPort string
	fd       int
}

// Reserve reserves an unused address until Release.
func Reserve() (*Address, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	a := &Address{fd: fd}
	// With SO_REUSEADDR on both sockets a second socket can bind the port by number as long as this one does not listen. Listeners
	// of package net set it.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(fd)
	}
	if err != nil {
		a.Release()
		return nil, err
	}
	a.hostPort = fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	return a, nil
}

// String returns the address as host:port.
func (a *Address) String() string { return a.hostPort }

// Release ends the reservation. Call it when the last process that uses the address has ended. It does nothing on nil.
func (a *Address) Release() {
	if a != nil {
		syscall.Close(a.fd)
	}
}
