package transport

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
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
