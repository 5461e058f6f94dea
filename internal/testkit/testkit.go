// Package testkit is what the tests of several packages share: fixed seeds, built programs, logs, waiting.
package testkit

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"kitewood/internal/lab/child"
)

// Seed has property tests draw the same cases on every machine. It goes before the tests run.
func FixSeed() { flag.Set("rapid.seed", "20261201") }

// Main runs a package's tests with fixed seeds.
func Main(m *testing.M) {
	FixSeed()
	os.Exit(m.Run())
}

// WithPrograms runs a package's tests beside built programs of this repository, as an operator has them. built gets their
// folder before the tests run.
func MainWithPrograms(m *testing.M, built func(dir string), names ...string) {
	dir, err := os.MkdirTemp("", "kitewood-programs")
	if err == nil {
		args := []string{"build", "-o", dir + "/"}
		for _, name := range names {
			args = append(args, "kitewood/cmd/"+name)
		}
		var out []byte
		if out, err = exec.Command("go", args...).CombinedOutput(); err != nil {
			fmt.Printf("%s", out)
		}
	}
	code := 1
	if err == nil {
		built(dir)
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// Run runs a program in a folder of its own and gives what it wrote.
func RunProgram(t *testing.T, program string, args ...string) (stdout, stderr string, ok bool) {
	t.Helper()
	var out, err bytes.Buffer
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = t.TempDir(), &out, &err
	ok = cmd.Run() == nil
	return out.String(), err.String(), ok
}

// Address is one of loopback that stays free for a process of the test until its end.
func ReserveAddress(t *testing.T) string {
	t.Helper()
	a, err := child.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Release)
	return a.String()
}

// patience is how long Until waits: a shared machine may be slow, and one that fails is rare.
const patience = time.Minute

// Until waits until something is so, and fails the test where it never is.
func WaitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// Log is a log that goroutines write while a test reads it.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write adds to the log.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String is all of it.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Count tells how often it holds a text.
func (l *LogBuffer) Count(text string) int { return strings.Count(l.String(), text) }
