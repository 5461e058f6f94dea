package emulator

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"kitewood/internal/lab/model"
	"kitewood/internal/lab/relay"
)

// Checks the effect of each response fault on a client that parses responses strictly.
func TestCorruptedResponses(t *testing.T) {
	for fault, c := range map[model.Corruption]struct {
		valid    bool // a response with the right body is parsed
		trailing bool // further bytes follow it
	}{
		model.Intact: {true, false}, model.Garbage: {}, model.MalformedHead: {}, model.EndlessHead: {}, model.OverlongLength: {}, model.HugeLength: {},
		model.DuplicateResponse: {true, true}, model.TrailingGarbage: {true, true}, model.MalformedReport: {true, false}, model.InterimResponse: {true, false},
	} {
		resp := response{outcome: model.Served, fault: fault, status: 200, body: answerBody("id", answerToken("i", 7)), loadReport: "queue=1"}
		in := bufio.NewReader(bytes.NewReader(resp.encode()))
		r, err := http.ReadResponse(in, nil)
		if err == nil && r.StatusCode == 102 {
			r, err = http.ReadResponse(in, nil)
		}
		var text []byte
		if err == nil {
			text, err = io.ReadAll(r.Body)
		}
		valid := err == nil && parseAnswerBody(text, "id") == "i/7"
		_, end := in.Peek(1)
		if valid != c.valid || valid && (end == nil) != c.trailing {
			t.Errorf("fault %d: valid response %v, further bytes %v (%v)", fault, valid, end == nil, err)
		}
		if parseAnswerBody(text, "other") != "" {
			t.Error("a body is accepted for another request")
		}
	}
}

// Checks that a listener under a blockade looks like a machine off the network: open connections stay open and silent, and new
// ones are never established.
func TestBlockade(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := l.(*net.TCPListener)
	open, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	fillers := &tasks{}
	b := relay.NewAcceptBlocker(ln, &fillers.WaitGroup)
	fillers.Wait() // the blockade is complete
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was established")
	} else if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, context.DeadlineExceeded) {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("connecting failed with %v, want a timeout", err)
		}
	}
	open.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("reading from the open connection: %v, want a timeout", err)
	}
	b.Release()
	ln.Close()
	if c, err := net.DialTimeout("tcp", ln.Addr().String(), 3*time.Second); err == nil {
		c.Close()
		t.Error("a closed listener accepts connections")
	}
}
