package count

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const timePrefix = "time=2026-12-01T12:00:0"

// sidecarLogs are the logs of two sidecars of one tier. The second contains a line that slog did not write, as in the stack
// trace of a panic.
var sidecarLogs = []string{
	timePrefix + "0.000Z level=INFO msg=serving tier=0\n" +
		timePrefix + "0.100Z level=DEBUG msg=\"discovery is asked\" since=0\n" +
		timePrefix + "1.500Z level=DEBUG msg=attempt class=0 attempt=0 destination=a age=3s status=\"timed out\" took=1s opened=true\n" +
		timePrefix + "2.000Z level=DEBUG msg=attempt class=0 attempt=1 destination=a age=3.5s status=ok took=400ms opened=true\n" +
		timePrefix + "2.000Z level=DEBUG msg=answer repeat=true verdict=served took=1.5s\n",
	timePrefix + "0.000Z level=INFO msg=serving tier=0\ngoroutine 1 [running]:\n" +
		timePrefix + "1.000Z level=DEBUG msg=attempt class=0 attempt=0 destination=a age=0s status=reset took=300ms opened=true\n" +
		timePrefix + "1.100Z level=DEBUG msg=attempt class=0 attempt=0 destination=a age=0s status=ok took=200ms opened=true\n" +
		timePrefix + "1.200Z level=WARN msg=\"the watch of discovery has ended\" error=EOF\n",
}

// writeLogs writes each text as the log of one sidecar into a new folder, which it returns.
func writeLogs(t *testing.T, texts ...string) string {
	dir := t.TempDir()
	for i, text := range texts {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// The totals of two sidecars by window, by endpoint and by reason of a new connection.
func TestFleetTotals(t *testing.T) {
	f, err := Read(writeLogs(t, sidecarLogs...))
	if err != nil {
		t.Fatal(err)
	}
	w := f.Windows(time.Second)
	if len(w) != 2 || w[0].Attempts != 3 || w[0].ConnectionsOpened != 3 || w[0].DiscoveryCalls != 1 || w[0].Statuses["timed out"] != 1 ||
		w[0].ClientRetries != 1 || w[0].Verdicts["served"] != 1 || w[1].Retries != 1 || w[1].WatchesEnded != 1 || f.Sidecars[0] != 2 {
		t.Errorf("windows %+v %+v, sidecars %v", *w[0], *w[len(w)-1], f.Sidecars)
	}
	want := Endpoint{Name: "a", FirstSentAt: 500 * time.Millisecond, Sent: 4, OK: 2, MaxInFlight: 3, ByAge: [4]int{0, 2}, LongestFailureRun: 2,
		FailureRunDuration: 200 * time.Millisecond}
	if eps := f.Endpoints(); len(eps) != 1 || *eps[0] != want {
		t.Errorf("endpoints %+v, want %+v", *eps[0], want)
	}
	if opens := f.ConnectionOpens(); len(opens) != 1 || opens[0] != (ConnectionOpens{Attempts: 4, First: 2, Concurrent: 1, Reopened: 1}) {
		t.Errorf("connections opened %+v, want 2 first, 1 concurrent, 1 reopened of 4 attempts", opens)
	}
	if got := f.SlowShare(0, 1.2); got != 0.5 {
		t.Errorf("slow share %v of the served attempts, want 0.5", got)
	}
}

// Logs that cannot be parsed, or that are not of debug level, are errors.
func TestBadLogs(t *testing.T) {
	for text, want := range map[string]string{
		"":                  "debug",
		sidecarLogs[0][:47]: "debug",
		"msg=attempt\n":     "line 1: took",
		strings.Replace(sidecarLogs[0], "took=1s", "took=soon", 1): "line 3: took",
		strings.Replace(sidecarLogs[0], "1.500Z", "x", 1):          "line 3: time",
	} {
		if _, err := Read(writeLogs(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("log %q: error %v, want one with %q", text, err, want)
		}
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Error("an empty folder was read without an error")
	}
}
