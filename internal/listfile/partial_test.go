package listfile

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/filewatch"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

// recorder records the lengths of the lists that it receives.
type recorder struct {
	mu      sync.Mutex
	lengths []int
}

func (r *recorder) UpdateEndpoints(_ balance.ListKind, _ int64, members []routing.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lengths = append(r.lengths, len(members))
}

func (r *recorder) SourceLost() {}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.lengths)
}

// listText returns a list of n endpoints.
func listText(n int) string {
	text := "destinations:\n"
	for i := range n {
		text += fmt.Sprintf("  - name: e%d\n    address: 127.0.0.1:%d\n", i, 8000+i)
	}
	return text
}

// openRecorded opens a list file with a recorder and a log.
func openRecorded(t *testing.T, path string) (*Source, *recorder, *testkit.LogBuffer) {
	t.Helper()
	logged, received := &testkit.LogBuffer{}, &recorder{}
	log := slog.New(slog.NewTextHandler(logged, nil))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w, err := filewatch.New(ctx, log)
	if err != nil {
		t.Fatal(err)
	}
	source, err := Open(ctx, w, path, received, log)
	if err != nil {
		t.Fatal(err)
	}
	return source, received, logged
}

// A list is overwritten in place, one entry at a time. Each state on the way is a valid, shorter list. None of them takes effect
// and none is logged.
func TestListIsWrittenSlowly(t *testing.T) {
	for range 20 {
		received, logged, slowest := writeSlowly(t)
		if slowest > settleTime/2 {
			continue // this machine paused the writer for so long that the file had settled
		}
		if received != "[20 21]" || logged.Count("rejected") > 0 {
			t.Errorf("lists of %s endpoints took effect, want [20 21]; %s", received, logged)
		}
		return
	}
	t.Error("no list was written without a pause of its writer")
}

// writeSlowly overwrites a list of 20 endpoints with one of 21. It returns the lengths of the lists that took effect, the log and
// the longest time between two writes.
func writeSlowly(t *testing.T) (string, *testkit.LogBuffer, time.Duration) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "l.yaml")
	if err := filewatch.Replace(path, []byte(listText(20))); err != nil {
		t.Fatal(err)
	}
	_, received, logged := openRecorded(t, path)
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	began, slowest := time.Now(), time.Duration(0)
	for n, from := 1, 0; n <= 21; n++ {
		text := listText(n)
		if _, err := f.WriteString(text[from:]); err != nil {
			t.Fatal(err)
		}
		from = len(text)
		time.Sleep(5 * time.Millisecond)
		slowest, began = max(slowest, time.Since(began)), time.Now()
	}
	testkit.WaitUntil(t, "the whole list is in force", func() bool { return logged.Count("destinations=21") > 0 })
	return received.String(), logged, slowest
}

// A list with an end mark is replaced by each of its own beginnings, as a full disk leaves them. None takes effect, whether or not
// it is valid; the list in force stays, and the whole list takes effect when it is there again.
func TestCutOffListIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.yaml")
	if err := filewatch.Replace(path, []byte(listText(2)+"...\n")); err != nil {
		t.Fatal(err)
	}
	source, received, _ := openRecorded(t, path)
	whole := listText(4) + "..."
	source.mu.Lock()
	defer source.mu.Unlock()
	for n := range whole {
		if source.deliver([]byte(whole[:n])) == nil {
			t.Errorf("a list that ends after %q is taken", whole[:n])
		}
	}
	if err := source.deliver([]byte(whole)); err != nil || received.String() != "[2 4]" {
		t.Errorf("lists of %s endpoints took effect, %v; want [2 4]", received, err)
	}
}

// A file that cannot be read, whatever the cause, leaves the list in force, and is logged once for several changes.
func TestUnreadableListIsLoggedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.yaml")
	if err := filewatch.Replace(path, []byte(listText(2))); err != nil {
		t.Fatal(err)
	}
	source, received, logged := openRecorded(t, path)
	os.Remove(path)
	if err := os.Mkdir(path, 0o700); err != nil { // reads fail, as on a broken disk
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the rejection is logged", func() bool { return logged.Count("is a directory") > 0 })
	for range 3 {
		source.reload()
	}
	if logged.Count("is a directory") != 1 || received.String() != "[2]" {
		t.Errorf("lists of %s endpoints took effect, want [2]; log: %s", received, logged)
	}
	os.Remove(path)
	if err := filewatch.Replace(path, []byte(listText(3))); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the list is in force", func() bool { return received.String() == "[2 3]" })
}

// A list that cannot be written, as the disk is full, leaves the file as it was.
func TestWriteToAFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l.yaml")
	if err := Write(path, []Endpoint{{Name: "a", Address: "127.0.0.1:1"}}); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(path)
	if err := os.Symlink("/dev/full", path+".new"); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, nil); err == nil {
		t.Error("the write to a full disk has succeeded")
	}
	if after, err := os.ReadFile(path); err != nil || string(after) != string(before) {
		t.Errorf("the file holds %q, %v; want %q", after, err, before)
	}
}
