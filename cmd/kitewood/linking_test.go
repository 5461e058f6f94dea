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

// linked tells what is wrong with how a program is linked: it has to be started by the C library's loader, so that
// libraries loaded before it see its calls.
func linked(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if f.Section(".interp") == nil {
		return fmt.Errorf("it names no interpreter")
	}
	if libs, err := f.ImportedLibraries(); err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("it needs %v, not the C library (%v)", libs, err)
	}
	// Go's own linker names the C library, too, where a package uses cgo, but starts the program without it.
	symbols, err := f.ImportedSymbols()
	if err != nil || !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }) {
		return fmt.Errorf("it does not start through the C library (%v)", err)
	}
	return nil
}

// The fleet's platform needs a sidecar that is linked dynamically against the C library.
func TestDeployedSidecarIsLinkedAgainstTheCLibrary(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.*) -o bin/ \./cmd/\.\.\."`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no build line of the known form")
	}
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(readme), string(line[1])+" -o bin/ ./cmd/...") {
		t.Errorf("README.md does not name the build %q", line[1])
	}
	for _, c := range []struct {
		build string
		fits  bool
	}{{string(line[1]), true}, {"go build", false}, {"CGO_ENABLED=0 go build", false}} {
		binary := filepath.Join(t.TempDir(), "kitewood")
		if out, err := exec.Command("sh", "-c", c.build+" -o "+binary+" .").CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", c.build, err, out)
		}
		if err := linked(binary); (err == nil) != c.fits {
			t.Errorf("%s: %v", c.build, err)
		}
	}
}
