// Package testkit holds helpers that the tests of several packages share: fixed seeds, built programs, log buffers and polling.
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

// FixSeed sets the seed of property tests, so that they draw the same cases on every machine. Call it before the tests run.
func FixSeed() { flag.Set("rapid.seed", "20261201") }

// Main runs a package's tests with fixed seeds.
func Main(m *testing.M) {
	FixSeed()
	os.Exit(m.Run())
}

// MainWithPrograms builds the named programs of this repository and runs a package's tests. setDir is called with the directory
// of the programs before the tests run.
func MainWithPrograms(m *testing.M, setDir func(dir string), names ...string) {
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
		setDir(dir)
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// RunProgram runs a program in a temporary directory and returns its output; ok reports whether it exited with status 0.
func RunProgram(t *testing.T, program string, args ...string) (stdout, stderr string, ok bool) {
	t.Helper()
	var outBuf, errBuf bytes.Buffer
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = t.TempDir(), &outBuf, &errBuf
	ok = cmd.Run() == nil
	return outBuf.String(), errBuf.String(), ok
}

// ReserveAddress reserves a loopback address on which a process of the test can listen until the test ends.
func ReserveAddress(t *testing.T) string {
	t.Helper()
	addr, err := child.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(addr.Release)
	return addr.String()
}

// waitTimeout limits WaitUntil. It is generous because a shared machine may be slow; only a failing test waits for all of it.
const waitTimeout = time.Minute

// WaitUntil polls a condition until it holds, and fails the test if it does not within waitTimeout.
func WaitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
	}
}

// LogBuffer collects log output. Goroutines may write to it while a test reads it.
type LogBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String returns everything written so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Count returns how often a text occurs in the log.
func (l *LogBuffer) Count(text string) int { return strings.Count(l.String(), text) }
