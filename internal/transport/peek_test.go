package transport

import (
	"syscall"
	"testing"
)

// A client counts as gone when its connection has ended, not when this machine could not look at it for a moment: its request would
// be dropped without an answer.
func TestPeekResult(t *testing.T) {
	for err, want := range map[error]peekResult{syscall.EAGAIN: peekNothing, syscall.EINTR: peekNothing, syscall.ENOMEM: peekNothing,
		syscall.ENOBUFS: peekNothing, syscall.ECONNRESET: peekClosed, syscall.ETIMEDOUT: peekClosed, syscall.EHOSTUNREACH: peekClosed,
		syscall.EPIPE: peekClosed, syscall.EBADF: peekClosed, nil: peekClosed} {
		if got := peekResultOf(-1, err); got != want {
			t.Errorf("%v: result %d, want %d", err, got, want)
		}
	}
	if peekResultOf(0, nil) != peekClosed || peekResultOf(1, nil) != peekData {
		t.Error("an end of the input or a byte is not recognized")
	}
}
