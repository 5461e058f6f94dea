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

// failingListener fails to accept for some time, in all the ways in which the system does.
type failingListener struct {
	net.Listener
	until time.Time
	tries atomic.Int64 // the test reads it while the listener is served
}

func (l *failingListener) Accept() (net.Conn, error) {
	errnos := []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	if time.Now().Before(l.until) {
		try := int(l.tries.Add(1))
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: errnos[try%len(errnos)]}
	}
	return l.Listener.Accept()
}

// Accept fails for a while: that neither spins nor fills the log, and who waits is served as soon as it works again.
func TestAcceptFails(t *testing.T) {
	f, ln := unserved(t)
	log := &testkit.LogBuffer{}
	f.log = slog.New(slog.NewTextHandler(log, nil))
	const fails = 700 * time.Millisecond
	failing := &failingListener{Listener: ln, until: time.Now().Add(fails)}
	c, r := dial(t, ln)
	io.WriteString(c, look)
	began := time.Now()
	go f.Serve(failing)
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("answered %s", status)
	}
	if took := time.Since(began); took > fails+300*time.Millisecond {
		t.Errorf("answered %v after accept worked again", took-fails)
	}
	if tries := failing.tries.Load(); tries > 60 {
		t.Errorf("%d tries in %v", tries, fails)
	}
	if n := strings.Count(log.String(), "\n"); n != 2 {
		t.Errorf("%d lines, want the first failure and the end: %s", n, log)
	}
}
