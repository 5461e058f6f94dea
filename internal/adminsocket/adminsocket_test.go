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
	"testing"

	"kitewood/internal/testkit"
)

// A word gets what it names, once or until whoever asked is gone; another word is refused by name; a second process is not
// let in; those who connect and say nothing hold up no more than their number.
func TestWords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	var following atomic.Int32
	answers := map[string]Handler{StateCommand: SingleValue(func() any { return 7 }), "count": func(ctx context.Context, send func(any) error) error {
		following.Add(1)
		defer following.Add(-1)
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
	quiet := slog.New(slog.DiscardHandler)
	if err := Serve(t.Context(), path, quiet, answers); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), path, quiet, answers); err == nil {
		t.Error("a second process listens")
	}
	var state int
	if err := Query(path, StateCommand, &state); err != nil || state != 7 {
		t.Errorf("%d, %v", state, err)
	}
	if err := Query(path, "other", &state); err == nil || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("another word: %v", err)
	}
	enough := errors.New("enough")
	var got []string
	if err := Stream(t.Context(), path, "count", func(text json.RawMessage) error {
		if got = append(got, string(text)); len(got) == 3 {
			return enough
		}
		return nil
	}); err != enough || strings.Join(got, "") != "012" {
		t.Errorf("%v, %v", got, err)
	}
	testkit.WaitUntil(t, "its end is seen", func() bool { return following.Load() == 0 })
	for range 3 * atOnce {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	testkit.WaitUntil(t, "silent ones have had their time", func() bool { return Query(path, StateCommand, &state) == nil })
}
