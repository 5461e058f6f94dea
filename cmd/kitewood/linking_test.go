package main

import (
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// checkLinking returns an error unless a program is started by the C library's loader, so that preloaded libraries can
// intercept its calls.
func checkLinking(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if f.Section(".interp") == nil {
		return fmt.Errorf("the program names no interpreter")
	}
	if libs, err := f.ImportedLibraries(); err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("the program imports %v, without the C library (%v)", libs, err)
	}
	// Go's internal linker also names the C library if a package uses cgo, but the program does not start through it.
	symbols, err := f.ImportedSymbols()
	if err != nil || !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }) {
		return fmt.Errorf("the program does not start through the C library (%v)", err)
	}
	return nil
}

// The deployment platform requires a sidecar that is dynamically linked against the C library. The test checks the build command
// of deploy/balancer.toml, that README.md names the same one, and that other builds fail the check.
func TestDynamicallyLinkedWithLibc(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.*) -o bin/ \./cmd/\.\.\."`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no build line in the expected format")
	}
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(readme), string(line[1])+" -o bin/ ./cmd/...") {
		t.Errorf("README.md does not contain the build command %q", line[1])
	}
	for _, c := range []struct {
		build string
		valid bool
	}{{string(line[1]), true}, {"go build", false}, {"CGO_ENABLED=0 go build", false}} {
		binary := filepath.Join(t.TempDir(), "kitewood")
		if out, err := exec.Command("sh", "-c", c.build+" -o "+binary+" .").CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", c.build, err, out)
		}
		if err := checkLinking(binary); (err == nil) != c.valid {
			t.Errorf("%s: unexpected result of checkLinking: %v", c.build, err)
		}
	}
}
