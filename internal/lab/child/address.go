package child

import (
	"fmt"
	"syscall"
)

// Address is one of loopback that is kept for a process which is told of it. The socket that keeps it never listens: the system gives
// its port to nobody who asks for any, and to the process, which names it. Between a listener's end and the start of the process
// another stand-in took the port, and what was sent to the process went there.
type Address struct {
	hostPort string
	fd       int
}

// Reserve finds an address that nobody uses and keeps it until Free.
func Reserve() (*Address, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	a := &Address{fd: fd}
	// With this on both sides a second socket may have the port if it names it, as long as this one does not listen. Listeners of
	// package net have it.
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err != nil {
		a.Release()
		return nil, err
	}
	a.hostPort = fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	return a, nil
}

// String is the address as host:port.
func (a *Address) String() string { return a.hostPort }

// Free gives it up. It goes when the last process that was told of it has ended; nil has none.
func (a *Address) Release() {
	if a != nil {
		syscall.Close(a.fd)
	}
}
