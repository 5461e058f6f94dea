package transport

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"kitewood/internal/testkit"
)

// failingListener fails to accept until a given time, with each of the errors that the operating system returns.
type failingListener struct {
	net.Listener
	until    time.Time
	attempts atomic.Int64 // atomic: the test reads it while the listener is served
}

func (l *failingListener) Accept() (net.Conn, error) {
	errnos := []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	if time.Now().Before(l.until) {
		attempt := int(l.attempts.Add(1))
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: errnos[attempt%len(errnos)]}
	}
	return l.Listener.Accept()
}

// Accept fails for a while: the accept loop must neither spin nor fill the log, and must serve waiting clients soon after accept
// works again.
func TestAcceptFailures(t *testing.T) {
	srv, ln := newUnservedSidecar(t)
	log := &testkit.LogBuffer{}
	srv.log = slog.New(slog.NewTextHandler(log, nil))
	const outage = 700 * time.Millisecond
	failing := &failingListener{Listener: ln, until: time.Now().Add(outage)}
	c, r := dial(t, ln)
	io.WriteString(c, lookRequest)
	began := time.Now()
	go srv.Serve(failing)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("response status %s, want 200", status)
	}
	if took := time.Since(began); took > outage+300*time.Millisecond {
		t.Errorf("responded %v after accept worked again, want at most 300ms", took-outage)
	}
	if attempts := failing.attempts.Load(); attempts > 60 {
		t.Errorf("%d accept calls in %v, want at most 60", attempts, outage)
	}
	if n := strings.Count(log.String(), "\n"); n != 2 {
		t.Errorf("%d log lines, want 2, for the first failure and the recovery: %s", n, log)
	}
}

// Accept fails for ten seconds, each time with the same error: it is called a few hundred times at most and logged once, whatever
// the error, also one that concerns a single client.
func TestAcceptFailsForTenSeconds(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EBADF, syscall.ECONNABORTED,
		syscall.EINTR, syscall.EPROTO, syscall.EPERM, syscall.ENETUNREACH} {
		synctest.Test(t, func(t *testing.T) {
			var logged testkit.LogBuffer
			log := slog.New(slog.NewTextHandler(&logged, nil))
			var backoff acceptBackoff
			calls := 0
			for began := time.Now(); time.Since(began) < 10*time.Second && calls < 1000; calls++ {
				backoff.onError(&net.OpError{Op: "accept", Net: "tcp", Err: errno}, log)
			}
			if n := logged.Count("\n"); calls > 300 || n != 1 {
				t.Errorf("%v: %d calls and %d log lines in 10 s, want at most 300 and 1", errno, calls, n)
			}
			if backoff.onSuccess(log); logged.Count("\n") != 2 {
				t.Errorf("%v: the recovery is not logged: %s", errno, &logged)
			}
		})
	}
}

// At the limit of descriptors accept fails after each client that it lets in. That is logged every ten seconds, not for each client;
// a client that is gone before it is accepted is not logged at all.
func TestAcceptFailsNowAndThen(t *testing.T) {
	for errno, maxLines := range map[syscall.Errno]int{syscall.EMFILE: 6, syscall.ECONNABORTED: 0} {
		synctest.Test(t, func(t *testing.T) {
			var logged testkit.LogBuffer
			log := slog.New(slog.NewTextHandler(&logged, nil))
			var backoff acceptBackoff
			for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(time.Millisecond) {
				backoff.onError(&net.OpError{Op: "accept", Net: "tcp", Err: errno}, log)
				backoff.onSuccess(log)
			}
			if n := logged.Count("\n"); n > maxLines || n == 0 && maxLines > 0 {
				t.Errorf("%v: %d log lines in 25 s, want at most %d", errno, n, maxLines)
			}
		})
	}
}
