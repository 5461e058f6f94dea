package transport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/subscription"
)

// dialError returns the error of package net for a system call that failed while connecting.
func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// The errors of socket and connect, by whether they say something about the endpoint.
func localDialErrnos() []syscall.Errno {
	return []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR}
}

func remoteDialErrnos() []syscall.Errno {
	return []syscall.Errno{syscall.ECONNREFUSED, syscall.ETIMEDOUT, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPERM, syscall.EPROTO,
		syscall.ECONNRESET, syscall.ECONNABORTED}
}

// startDialingSidecar is startSidecar for one endpoint, which the sidecar reaches with connect.
func startDialingSidecar(t *testing.T, endpoint string, connect dialFunc) (*Server, net.Listener) {
	t.Helper()
	pool := newTestPool(routing.NewClock())
	pool.connect = connect
	srv, ln, run := prepareSidecarWithPool(t, 4, []string{endpoint}, testSettings(), "", pool)
	run()
	return srv, ln
}

// A connection that could not be opened for a lack of something on this machine is not held against the endpoint: the attempt and
// the probe count as not sent. All other failures to connect count as such.
func TestDialFailureStatus(t *testing.T) {
	for status, errnos := range map[balance.Status][]syscall.Errno{balance.NotSent: localDialErrnos(), balance.ConnectFailed: remoteDialErrnos()} {
		for _, errno := range errnos {
			p := newTestPool(routing.NewClock())
			p.connect = func(string, time.Duration) (net.Conn, error) { return nil, dialError(errno) }
			for range 5 { // more than the limit: a failure gives its place back
				if got := runProbe(p, &routing.Endpoint{Address: "127.0.0.1:1"}); got != status {
					t.Errorf("%v: status %v, want %v", errno, got, status)
				}
			}
		}
	}
}

// While no connection can be opened for a lack of something on this machine, requests are answered as not processed. The endpoint
// is neither ejected nor counted as failing, so it is used as soon as connections can be opened again.
func TestLocalDialFailuresDoNotPenalizeTheEndpoint(t *testing.T) {
	var failing atomic.Int64
	srv, ln := startDialingSidecar(t, startTestServer(t, serveOK), func(address string, timeout time.Duration) (net.Conn, error) {
		if n := failing.Load(); n >= 0 {
			failing.Add(1)
			return nil, dialError(localDialErrnos()[int(n)%len(localDialErrnos())])
		}
		return dialTCP(address, timeout)
	})
	c, r := dial(t, ln)
	for i := range 30 {
		fmt.Fprint(c, payRequest(fmt.Sprint(i)))
		if status, _ := readResponse(t, r); status != "503" {
			t.Fatalf("request %d: status %s, want 503", i, status)
		}
	}
	v, ok := loopOf(t, srv).View(10 * time.Second)
	if !ok || len(v.Endpoints) != 1 || v.Endpoints[0].FailureRatio != 0 || v.Endpoints[0].EjectedFor != 0 || v.Endpoints[0].Utilisation != 0 {
		t.Errorf("after %d local failures the endpoint has %+v", failing.Load(), v.Endpoints)
	}
	failing.Store(-1 << 40)
	fmt.Fprint(c, payRequest("last"))
	if status, _ := readResponse(t, r); status != "200" {
		t.Errorf("status %s once connections can be opened, want 200", status)
	}
}

// A request whose first connection could not be opened, for whatever cause, has certainly not reached the endpoint: it is retried,
// also if it must not run twice, and runs once.
func TestRequestIsRetriedAfterADialFailure(t *testing.T) {
	for _, errno := range append(localDialErrnos(), remoteDialErrnos()...) {
		address, requests := startCountingServer(t)
		var dials atomic.Int64
		_, ln := startDialingSidecar(t, address, func(address string, timeout time.Duration) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return nil, dialError(errno)
			}
			return dialTCP(address, timeout)
		})
		c, r := dial(t, ln)
		fmt.Fprint(c, payRequest("1"))
		if status, _ := readResponse(t, r); status != "200" || dials.Load() != 2 || len(requests) != 1 {
			t.Errorf("%v: status %s after %d dials and %d requests sent on, want 200 after 2 and 1", errno, status, dials.Load(), len(requests))
		}
	}
}

// A call to discovery that fails for want of a local resource proves nothing about discovery, so it must not renew the lease as an
// unreachable discovery does.
func TestLocalDialFailureIsNoProofOfAnOutage(t *testing.T) {
	for errno, want := range map[syscall.Errno]subscription.Outcome{syscall.EMFILE: subscription.LocalFailure, syscall.ENFILE: subscription.LocalFailure,
		syscall.ENOBUFS: subscription.LocalFailure, syscall.ENOMEM: subscription.LocalFailure, syscall.EADDRNOTAVAIL: subscription.LocalFailure,
		syscall.EAGAIN: subscription.LocalFailure, syscall.ENOSPC: subscription.LocalFailure, syscall.EINTR: subscription.LocalFailure,
		syscall.ECONNREFUSED: subscription.Unreachable, syscall.EHOSTUNREACH: subscription.Unreachable, syscall.ETIMEDOUT: subscription.Unreachable} {
		if got := new(discoveryWatch).outcomeOf(dialError(errno), time.Second); got != want {
			t.Errorf("%v: outcome %v, want %v", errno, got, want)
		}
	}
}
