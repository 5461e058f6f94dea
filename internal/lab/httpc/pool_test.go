package httpc

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveScripts starts a server. Each connection follows one script, which lists the response to each request in turn; "close"
// closes the connection, "silent" reads a request without a response.
func serveScripts(t *testing.T, scripts ...[]string) (address string, requests *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests = &atomic.Int32{}
	go func() {
		for _, script := range scripts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for _, response := range script {
					if response == "close" {
						return
					}
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					r.Body.Close()
					requests.Add(1)
					if response == "silent" {
						in.Peek(1)
						return
					}
					c.Write([]byte(response))
				}
				in.Peek(1)
			}()
		}
	}()
	return ln.Addr().String(), requests
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// doGET sends a GET request with a timeout of 500 ms.
func doGET(p *Pool, id string) Result {
	return p.Do(id, "GET", FormatRequest("GET", "/", "h", nil), time.Now().Add(500*time.Millisecond))
}

func TestConnectionsAreReused(t *testing.T) {
	address, _ := serveScripts(t, []string{ok, "HTTP/1.1 102 Wait\r\n\r\n" + ok, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, []string{ok})
	p := NewPool(Options{Address: address})
	defer p.Close()
	for n, want := range []struct {
		status int
		fresh  bool
	}{{200, true}, {200, false}, {503, false}, {200, true}} {
		if r := doGET(p, "x"); r.Status != want.status || r.NewConnection != want.fresh || r.Progress != ResponseReceived || r.WrittenAt.IsZero() {
			t.Errorf("%d: %+v", n, r)
		}
	}
}

// A request is retried if the server closes a reused connection at the same moment, but not if it closes a new one.
func TestRetryAfterCloseOfReusedConnection(t *testing.T) {
	address, requests := serveScripts(t, []string{ok, "close"}, []string{ok}, []string{"close"})
	p := NewPool(Options{Address: address})
	defer p.Close()
	doGET(p, "a")
	if r := doGET(p, "b"); r.Status != 200 {
		t.Errorf("%+v", r)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("server received %d requests, want 2", n)
	}
	q := NewPool(Options{Address: address})
	defer q.Close()
	if r := doGET(q, "c"); r.Err == nil || r.Status != 0 || r.Retried {
		t.Errorf("%+v", r)
	}
}

// Data after a response is reported with the id of that response's request, and the connection is not reused.
func TestUnsolicitedDataIsReported(t *testing.T) {
	address, _ := serveScripts(t, []string{ok + ok}, []string{ok})
	var reported []string
	p := NewPool(Options{Address: address, OnUnsolicited: func(id string) { reported = append(reported, id) }})
	defer p.Close()
	doGET(p, "first")
	if r := doGET(p, "second"); !r.NewConnection || r.Status != 200 {
		t.Errorf("%+v", r)
	}
	if len(reported) != 1 || reported[0] != "first" {
		t.Errorf("reported ids: %q", reported)
	}
}

func TestProgressIsReported(t *testing.T) {
	address, _ := serveScripts(t, []string{"silent"}, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"})
	p := NewPool(Options{Address: address})
	defer p.Close()
	if r := doGET(p, "x"); !r.TimedOut || r.Progress != RequestWritten || r.EndedAt.Sub(r.WrittenAt) < 300*time.Millisecond {
		t.Errorf("no response: %+v", r)
	}
	if r := doGET(p, "x"); r.Progress != RequestWritten || r.Err == nil {
		t.Errorf("incomplete response: %+v", r)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := ln.Addr().String()
	ln.Close()
	q := NewPool(Options{Address: unused})
	if r := doGET(q, "x"); r.Progress != NotConnected || r.Err == nil || !r.WrittenAt.IsZero() {
		t.Errorf("connection refused: %+v", r)
	}
}
