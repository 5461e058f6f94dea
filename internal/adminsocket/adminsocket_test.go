package adminsocket

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"kitewood/internal/testkit"
)

// A command yields one value, or a stream until the client disconnects. An unknown command is rejected by name. A second process
// cannot listen on the socket. Clients that send no command block others only until their timeout.
func TestCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var streams atomic.Int32
	handlers := map[string]Handler{StateCommand: SingleValue(func() any { return 7 }), "count": func(ctx context.Context, send func(any) error) error {
		streams.Add(1)
		defer streams.Add(-1)
		for n := 0; ; n++ {
			if err := send(n); err != nil {
				return err
			}
			if n == 2 {
				<-ctx.Done()
				return ctx.Err()
			}
		}
	}}
	log := slog.New(slog.DiscardHandler)
	if err := Serve(t.Context(), path, log, handlers); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), path, log, handlers); err == nil {
		t.Error("a second process can listen")
	}
	var state int
	if err := Query(path, StateCommand, &state); err != nil || state != 7 {
		t.Errorf("state %d, %v; want 7", state, err)
	}
	if err := Query(path, "other", &state); err == nil || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("unknown command: error %v", err)
	}
	errDone := errors.New("enough")
	var got []string
	if err := Stream(t.Context(), path, "count", func(text json.RawMessage) error {
		if got = append(got, string(text)); len(got) == 3 {
			return errDone
		}
		return nil
	}); err != errDone || strings.Join(got, "") != "012" {
		t.Errorf("values %v, error %v", got, err)
	}
	testkit.WaitUntil(t, "the stream has ended", func() bool { return streams.Load() == 0 })
	for range 3 * maxClients {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	testkit.WaitUntil(t, "silent clients have timed out", func() bool { return Query(path, StateCommand, &state) == nil })
}

// failingListener fails to accept until it is closed.
type failingListener struct {
	net.Listener
	closed   atomic.Bool
	attempts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.attempts.Add(1)
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Net: "unix", Err: syscall.EMFILE}
}

// While accept fails for ten seconds it is called a few times and logged once.
func TestAcceptFailsForTenSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged testkit.LogBuffer
		ctx, cancel := context.WithCancel(t.Context())
		ln := &failingListener{}
		go acceptClients(ctx, ln, slog.New(slog.NewTextHandler(&logged, nil)), nil)
		time.Sleep(10 * time.Second)
		if n := ln.attempts.Load(); n > 20 || logged.Count("\n") != 1 {
			t.Errorf("%d calls and %d log lines, want at most 20 and 1", n, logged.Count("\n"))
		}
		ln.closed.Store(true)
		cancel()
	})
}
