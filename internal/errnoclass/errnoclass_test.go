package errnoclass

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// Each errno that Linux documents for accept, connect, read and write has one class for each operation.
func TestOf(t *testing.T) {
	for _, c := range []struct {
		err                       error
		accept, connect, transfer Class
	}{
		{syscall.EINTR, TryAgain, LocalFailure, TryAgain},
		{syscall.EAGAIN, TryAgain, LocalFailure, TryAgain},
		{syscall.ECONNABORTED, TryAgain, NeverSent, MayHaveRun},
		{syscall.ECONNRESET, TryAgain, NeverSent, MayHaveRun},
		{syscall.EPROTO, TryAgain, NeverSent, MayHaveRun},
		{syscall.EPERM, TryAgain, NeverSent, MayHaveRun},
		{syscall.ENETDOWN, TryAgain, NeverSent, MayHaveRun},
		{syscall.ENOPROTOOPT, TryAgain, NeverSent, MayHaveRun},
		{syscall.EHOSTDOWN, TryAgain, NeverSent, MayHaveRun},
		{syscall.ENONET, TryAgain, NeverSent, MayHaveRun},
		{syscall.EOPNOTSUPP, TryAgain, NeverSent, MayHaveRun},
		{syscall.ENETUNREACH, TryAgain, NeverSent, MayHaveRun},
		{syscall.EHOSTUNREACH, TryAgain, NeverSent, MayHaveRun},
		{syscall.ETIMEDOUT, TryAgain, NeverSent, MayHaveRun},
		{syscall.ECONNREFUSED, LocalFailure, NeverSent, MayHaveRun},
		{syscall.EACCES, LocalFailure, NeverSent, MayHaveRun},
		{syscall.EPIPE, LocalFailure, NeverSent, MayHaveRun},
		{syscall.EIO, LocalFailure, NeverSent, MayHaveRun},
		{syscall.EMFILE, LocalFailure, LocalFailure, MayHaveRun},
		{syscall.ENFILE, LocalFailure, LocalFailure, MayHaveRun},
		{syscall.ENOBUFS, LocalFailure, LocalFailure, TryAgain},
		{syscall.ENOMEM, LocalFailure, LocalFailure, TryAgain},
		{syscall.ENOSPC, LocalFailure, LocalFailure, MayHaveRun},
		{syscall.EADDRNOTAVAIL, LocalFailure, LocalFailure, MayHaveRun},
		{net.ErrClosed, GiveUp, GiveUp, GiveUp},
		{io.EOF, LocalFailure, NeverSent, MayHaveRun},
		{errors.New("too many open files"), LocalFailure, NeverSent, MayHaveRun}, // the text does not matter
	} {
		for operation, want := range map[Operation]Class{Accept: c.accept, Connect: c.connect, Transfer: c.transfer} {
			wrapped := fmt.Errorf("call: %w", &net.OpError{Op: "op", Net: "tcp", Err: os.NewSyscallError("call", c.err)})
			for _, err := range []error{c.err, wrapped} {
				if got := Of(operation, err); got != want {
					t.Errorf("operation %d, %v: %v, want %v", operation, err, got, want)
				}
			}
		}
	}
}
