// Package errnoclass states what the error of a system call on a socket means for the request and for the remote side. Errors are
// told apart by their errno, never by their text.
package errnoclass

import (
	"errors"
	"net"
	"syscall"
)

// Operation is the kind of call that failed: the same errno means different things for different calls.
type Operation uint8

const (
	Accept   Operation = iota // accept, and the set-up of the accepted socket
	Connect                   // socket, bind and connect: nothing has been written yet
	Transfer                  // read or write on an established connection
)

// Class is what an error means.
type Class uint8

const (
	// TryAgain: the call was interrupted, or concerned one client that is gone. It may be repeated at once.
	TryAgain Class = iota
	// LocalFailure: this machine lacks a resource. The call may succeed later; nothing was sent, and it says nothing about the
	// remote side.
	LocalFailure
	// NeverSent: there is no connection to the remote side, so a request has certainly not reached it. This counts against it.
	NeverSent
	// MayHaveRun: the connection broke. A request whose last byte had been written may have run.
	MayHaveRun
	// GiveUp: the socket was closed on this side. The call must not be repeated.
	GiveUp
)

func (c Class) String() string {
	return [...]string{"try again", "local failure", "never sent", "may have run", "give up"}[c]
}

// Of returns the class of the error of an operation.
func Of(operation Operation, err error) Class {
	if errors.Is(err, net.ErrClosed) {
		return GiveUp
	}
	var errno syscall.Errno
	errors.As(err, &errno)
	switch operation {
	case Accept:
		return ofAccept(errno)
	case Connect:
		return ofConnect(errno)
	}
	return ofTransfer(errno)
}

// ofAccept follows accept(2): Linux passes pending errors of the new connection on to accept, which should then be repeated. What
// is unknown is treated as a lack of resources, so that the caller waits before it repeats the call.
func ofAccept(errno syscall.Errno) Class {
	switch errno {
	case syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT:
		return TryAgain
	}
	return LocalFailure
}

// ofConnect treats as local what runs out on this machine: descriptors, memory, ports, and places in the poller. A missing route
// (ENETUNREACH, EHOSTUNREACH) and a rule of the local firewall (EPERM, EACCES) concern single destinations, so another endpoint is
// the better choice, as after a refused connection.
func ofConnect(errno syscall.Errno) Class {
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR:
		return LocalFailure
	}
	return NeverSent
}

// ofTransfer treats every error but an interruption and a momentary lack of memory as the end of the connection. Linux reports a
// broken connection as ECONNRESET or EPIPE, and as ETIMEDOUT, EHOSTUNREACH or ENETUNREACH if the peer stopped responding.
func ofTransfer(errno syscall.Errno) Class {
	switch errno {
	case syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS:
		return TryAgain
	}
	return MayHaveRun
}
