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

// Each way of spoiling is what its name says to a client that reads the answer by the book.
func TestSpoiltAnswers(t *testing.T) {
	for spoil, c := range map[model.Corruption]struct {
		good   bool // an answer with its own body comes out
		behind bool // something is left behind it
	}{
		model.Intact: {true, false}, model.Garbage: {}, model.MalformedHead: {}, model.EndlessHead: {}, model.OverlongLength: {}, model.HugeLength: {},
		model.DuplicateResponse: {true, true}, model.TrailingGarbage: {true, true}, model.MalformedReport: {true, false}, model.InterimResponse: {true, false},
	} {
		a := answer{outcome: model.Served, spoil: spoil, status: 200, body: body("id", token("i", 7)), load: "queue=1"}
		in := bufio.NewReader(bytes.NewReader(a.text()))
		r, err := http.ReadResponse(in, nil)
		if err == nil && r.StatusCode == 102 {
			r, err = http.ReadResponse(in, nil)
		}
		var text []byte
		if err == nil {
			text, err = io.ReadAll(r.Body)
		}
		good := err == nil && tokenOf(text, "id") == "i/7"
		_, end := in.Peek(1)
		if good != c.good || good && (end == nil) != c.behind {
			t.Errorf("spoil %d: good %v, behind %v (%v)", spoil, good, end == nil, err)
		}
		if tokenOf(text, "other") != "" {
			t.Error("a body counts for another operation")
		}
	}
}

// A machine that is cut off: connections stay open and silent, and new ones never come up.
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
	all := &tasks{}
	b := relay.NewAcceptBlocker(ln, &all.WaitGroup)
	all.Wait() // it is up
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection came up")
	} else if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, context.DeadlineExceeded) {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("it did not stay silent: %v", err)
		}
	}
	open.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the open connection is not silent: %v", err)
	}
	b.Release()
	ln.Close()
	if c, err := net.DialTimeout("tcp", ln.Addr().String(), 3*time.Second); err == nil {
		c.Close()
		t.Error("a closed listener accepts")
	}
}
