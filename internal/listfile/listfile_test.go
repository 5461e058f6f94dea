package listfile

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/filewatch"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

func TestRead(t *testing.T) {
	text := "destinations:\n  - {name: a, address: \"127.0.0.1:1\", started: 2026-12-01T10:00:00Z}\n  - {name: b, address: \"[::1]:2\", state: draining, weight: 2}\n"
	got, err := Read("l.yaml", []byte(text))
	if err != nil || len(got) != 2 || got[0].State != balance.Ready || got[0].Weight != 1 || got[1].State != balance.Draining ||
		got[0].StartedAt != time.Duration(time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC).UnixNano()) {
		t.Errorf("%+v, %v", got, err)
	}
	for from, c := range map[string][2]string{
		"name: b":              {"name: a", "l.yaml:3:12: destinations[1].name"},
		`"127.0.0.1:1"`:        {"here", "l.yaml:2:24: destinations[0].address"},
		"state: draining":      {"state: tired", "destinations[1].state: ready or draining"},
		"weight: 2":            {"weight: -2", "destinations[1].weight: must be above 0"},
		"2026-12-01T10:00:00Z": {"noon", "destinations[0].started: a time like"},
		"started":              {"strated", "strated: unknown field"},
	} {
		if _, err := Read("l.yaml", []byte(strings.Replace(text, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}

// A list that is replaced whole or written over is taken; a bad one, or none, leaves the old one in force.
func TestFileIsWatched(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "l.yaml")
	write := func(text string) {
		t.Helper()
		if err := filewatch.Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	var out testkit.LogBuffer
	has := func(text string) {
		t.Helper()
		testkit.WaitUntil(t, "the log tells "+text, func() bool { return out.Count(text) > 0 })
	}
	log := slog.New(slog.NewTextHandler(&out, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := filewatch.New(ctx, log)
	if err != nil {
		t.Fatal(err)
	}
	set := balance.Settings{Balancers: 1, Classes: []balance.Class{{LatencyTarget: time.Second, Deadline: time.Second, Utility: 1}}, Limits: balance.Limits{MaxAttempts: 1}}
	loop, err := routing.New(set, routing.Names{}, routing.NewClock(), log)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(ctx, w, path, loop, log); err == nil {
		t.Fatal("a list that is not there was read")
	}
	write("destinations: []\n")
	source, cut := context.WithCancel(ctx)
	if _, err := Open(source, w, path, loop, log); err != nil {
		t.Fatal(err)
	}
	has("destinations=0")
	write("destinations: [{name: a, address: \"127.0.0.1:1\"}]\n")
	has("destinations=1")
	write("destinations: [{name: a}]\n")
	has("the old one stays")
	if err := os.WriteFile(path, []byte("destinations: [{name: a, address: \"127.0.0.1:1\"}, {name: b, address: \"127.0.0.1:2\"}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	has("destinations=2")
	os.Remove(path)
	has("no such file")
	cut()
	testkit.WaitUntil(t, "nothing is watched any more", func() bool { return w.Watched() == 0 })
}
