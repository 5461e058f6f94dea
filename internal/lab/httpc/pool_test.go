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

// serve answers each connection by a script: what is written for each request on it, in turn; "close" ends it.
func serve(t *testing.T, scripts ...[]string) (address string, requests *atomic.Int32) {
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
				for _, answer := range script {
					if answer == "close" {
						return
					}
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					r.Body.Close()
					requests.Add(1)
					if answer == "silent" {
						in.Peek(1)
						return
					}
					c.Write([]byte(answer))
				}
				in.Peek(1)
			}()
		}
	}()
	return ln.Addr().String(), requests
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func do(p *Pool, id string) Result {
	return p.Do(id, "GET", FormatRequest("GET", "/", "h", nil), time.Now().Add(500*time.Millisecond))
}

func TestConnectionsAreKept(t *testing.T) {
	address, _ := serve(t, []string{ok, "HTTP/1.1 102 Wait\r\n\r\n" + ok, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"}, []string{ok})
	p := NewPool(Options{Address: address})
	defer p.Close()
	for n, want := range []struct {
		status int
		fresh  bool
	}{{200, true}, {200, false}, {503, false}, {200, true}} {
		if r := do(p, "x"); r.Status != want.status || r.NewConnection != want.fresh || r.Progress != ResponseReceived || r.WrittenAt.IsZero() {
			t.Errorf("%d: %+v", n, r)
		}
	}
}

// A request that crosses the close of a resting connection goes out once more; one on a new connection does not.
func TestCrossedCloseIsSentOnceMore(t *testing.T) {
	address, requests := serve(t, []string{ok, "close"}, []string{ok}, []string{"close"})
	p := NewPool(Options{Address: address})
	defer p.Close()
	do(p, "a")
	if r := do(p, "b"); r.Status != 200 {
		t.Errorf("%+v", r)
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests came", n)
	}
	q := NewPool(Options{Address: address})
	defer q.Close()
	if r := do(q, "c"); r.Err == nil || r.Status != 0 || r.Retried {
		t.Errorf("%+v", r)
	}
}

// What comes behind an answer is told with the id of that answer's request, and the connection is given up.
func TestExtraBytesAreTold(t *testing.T) {
	address, _ := serve(t, []string{ok + ok}, []string{ok})
	var extra []string
	p := NewPool(Options{Address: address, OnUnsolicited: func(id string) { extra = append(extra, id) }})
	defer p.Close()
	do(p, "first")
	if r := do(p, "second"); !r.NewConnection || r.Status != 200 {
		t.Errorf("%+v", r)
	}
	if len(extra) != 1 || extra[0] != "first" {
		t.Errorf("told: %q", extra)
	}
}

func TestProgressIsTold(t *testing.T) {
	address, _ := serve(t, []string{"silent"}, []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"})
	p := NewPool(Options{Address: address})
	defer p.Close()
	if r := do(p, "x"); !r.TimedOut || r.Progress != RequestWritten || r.EndedAt.Sub(r.WrittenAt) < 300*time.Millisecond {
		t.Errorf("silent: %+v", r)
	}
	if r := do(p, "x"); r.Progress != RequestWritten || r.Err == nil {
		t.Errorf("half an answer: %+v", r)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := ln.Addr().String()
	ln.Close()
	q := NewPool(Options{Address: nobody})
	if r := do(q, "x"); r.Progress != NotConnected || r.Err == nil || !r.WrittenAt.IsZero() {
		t.Errorf("refused: %+v", r)
	}
}
