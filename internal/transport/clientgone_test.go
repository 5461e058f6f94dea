package transport

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

// A client that has sent more than its request and closes is gone, though its bytes are still unread: the process may have been
// held up since they arrived.
func TestClientGoneBehindUnreadBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, leave := range map[string]func(net.Conn){
		"closed":      func(c net.Conn) { c.Close() },
		"half closed": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"reset":       func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		client, _ := dial(t, ln)
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if clientGone(conn) {
			t.Errorf("%s: a client that has sent nothing counts as gone", name)
		}
		io.WriteString(client, lookRequest)
		testkit.WaitUntil(t, "the request has arrived", func() bool { return peek(conn) == peekData })
		if clientGone(conn) {
			t.Errorf("%s: a client whose request is unread counts as gone", name)
		}
		leave(client)
		for end := time.Now().Add(time.Second); !clientGone(conn); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%s: the client does not count as gone", name)
				break
			}
		}
	}
}

// attemptAfterHoldUp has a client send a request and, while the goroutine of its connection is held up, more bytes, and leave if
// leaves is true. The request is then sent to an endpoint. It returns the number of requests that the endpoint got.
func attemptAfterHoldUp(t *testing.T, leaves bool) int {
	t.Helper()
	address, requests := startCountingServer(t)
	srv, ln := startSidecar(t, 4, address)
	loop := loopOf(t, srv)
	setState := func(s balance.State) {
		loop.UpdateEndpoints(balance.Full, 2, []routing.Member{{Name: "s", Address: address, State: s}})
		loop.View(time.Second) // waits until the loop has handled the update
	}
	setState(balance.Draining) // so that the request is queued
	var reads atomic.Int32
	held, release := make(chan struct{}), make(chan struct{})
	client, _ := serveHookedConn(t, srv, &hookedConn{beforeSetReadDeadline: func() {
		if reads.Add(1) == 2 { // the first read was for the request, the second waits for its answer
			close(held)
			<-release
		}
	}})
	defer close(release)
	io.WriteString(client, lookRequest)
	<-held
	testkit.WaitUntil(t, "the request is queued", func() bool { return loop.PendingRequests() == 1 })
	io.WriteString(client, lookRequest)
	if leaves {
		client.Close()
	}
	time.Sleep(150 * time.Millisecond)
	setState(balance.Ready)
	second, r := dial(t, ln)
	io.WriteString(second, strings.Replace(lookRequest, "Id: 1", "Id: 2", 1))
	if status, _ := readResponse(t, r); status != "200" { // the queued request comes before it
		t.Errorf("the other client's request: response status %s, want 200", status)
	}
	testkit.WaitUntil(t, "the queued request has ended", func() bool { return len(requests) == 2 || loop.PendingRequests() <= 1 })
	time.Sleep(50 * time.Millisecond)
	return len(requests) - 1
}

// A client leaves while the process is held up for 0.15 s, and bytes that it sent before are unread: no attempt begins for it.
func TestClientLeavesWhileProcessIsHeldUp(t *testing.T) {
	for leaves, want := range map[bool]int{true: 0, false: 1} {
		if got := attemptAfterHoldUp(t, leaves); got != want {
			t.Errorf("leaves: %v; its request was sent on %d times, want %d", leaves, got, want)
		}
	}
}

// The process is held up while the connection for a retry is being established, and the client leaves: the event loop is told of it
// only later, and the retry does not begin all the same.
func TestClientLeavesWhileRetryIsConnecting(t *testing.T) {
	t.Parallel()
	class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 6 * time.Second, Utility: 1}
	limits := balance.Limits{MaxAttempts: 2, RetryShare: 1, RetryBurst: 8}
	var gone atomic.Bool
	req := &routing.Request{ClientGone: gone.Load}
	if attemptSent(t, class, limits, req, true, func(*routing.Loop) { gone.Store(true) }) {
		t.Error("the retry was sent after its client had left")
	}
}

// A client leaves while its request waits behind another one with the same ID, whose client has left before: it is forgotten, and
// is not sent when the attempt of that one ends.
func TestClientDisconnectsWhileParked(t *testing.T) {
	requests, respond := make(chan string, 9), make(chan struct{})
	srv, ln, run := prepareSidecar(t, 4, startTestServer(t, func(conn net.Conn) {
		for text := readRequest(conn); text != ""; text = readRequest(conn) {
			requests <- text
			<-respond
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}), uncancellable(), "")
	run()
	loop := loopOf(t, srv)
	first, _ := dial(t, ln)
	io.WriteString(first, payRequest("1"))
	<-requests
	first.Close()
	testkit.WaitUntil(t, "the first client's leaving is known", func() bool { return loop.PendingRequests() == 0 })
	parked, _ := dial(t, ln)
	io.WriteString(parked, payRequest("1"))
	testkit.WaitUntil(t, "the second request waits", func() bool { return loop.PendingRequests() == 1 })
	left := time.Now()
	parked.Close()
	testkit.WaitUntil(t, "the second client's leaving is known", func() bool { return loop.PendingRequests() == 0 })
	if took := time.Since(left); took > 100*time.Millisecond {
		t.Errorf("the disconnect was noticed after %v, want at most 100ms", took)
	}
	close(respond)
	time.Sleep(50 * time.Millisecond)
	if len(requests) > 0 {
		t.Errorf("sent on for a client that had left: %q", <-requests)
	}
}

// uncancellable returns testSettings without permission to cancel attempts.
func uncancellable() balance.Settings {
	set := testSettings()
	set.Limits.Cancel = false
	return set
}
