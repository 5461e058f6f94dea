package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"kitewood/internal/testkit"
)

// program is the built program, as an operator has it.
var program string

func TestMain(m *testing.M) {
	testkit.MainWithPrograms(m, func(dir string) { program = filepath.Join(dir, "kitewood-control") }, "kitewood-control")
}

// A bad configuration ends every command with one line that names the place, and a status that is not 0; a good one is served,
// shown and stopped.
func TestProgram(t *testing.T) {
	address, dir := testkit.ReserveAddress(t), t.TempDir()
	path := filepath.Join(dir, "c.yaml")
	text := fmt.Sprintf("name: c\nplaintext: true\nadmin: %s/admin.sock\nlisteners: [{address: %q}]\npools:\n"+
		"  - {name: a, members: {file: a.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes: [{pool: a}]\n", dir, address)
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("c.yaml", strings.Replace(text, "effect: unsafe", "effect: odd", 1))
	for _, command := range []string{"serve", "check-config", "status"} {
		out, bad, ok := testkit.RunProgram(t, program, command, "--config", path)
		if ok || out != "" || strings.Count(bad, "\n") != 1 || !strings.Contains(bad, "c.yaml:6:70: pools[0].classes[0].effect") {
			t.Errorf("%s: %v, %q, %q", command, ok, out, bad)
		}
	}
	write("c.yaml", text)
	if _, bad, ok := testkit.RunProgram(t, program, "serve", "--config", path); ok || strings.Count(bad, "\n") != 1 || !strings.Contains(bad, "a.yaml") {
		t.Errorf("without its list: %v, %q", ok, bad)
	}
	if _, bad, ok := testkit.RunProgram(t, program, "status", "--config", path); ok || !strings.Contains(bad, "admin:") {
		t.Errorf("status of nothing: %v, %q", ok, bad)
	}
	write("a.yaml", "destinations: [{name: x, address: \"127.0.0.1:1\"}]\n")
	if out, bad, ok := testkit.RunProgram(t, program, "check-config", "--config", path); !ok || !strings.Contains(out, "attempts: 3") {
		t.Errorf("%v, %q, %q", ok, out, bad)
	}
	var log bytes.Buffer
	cmd := exec.Command(program, "serve", "--config", path)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var out string
	testkit.WaitUntil(t, "it shows its status", func() (ok bool) {
		out, _, ok = testkit.RunProgram(t, program, "status", "--config", path, "--json")
		return ok
	})
	if !strings.Contains(out, `"proxies": []`) {
		t.Errorf("status: %q", out)
	}
	if out, bad, ok := testkit.RunProgram(t, program, "members", "--config", path); !ok || !strings.Contains(out, "x            127.0.0.1:1  ready  file: ready") {
		t.Errorf("members: %q, %q", out, bad)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), "stopped") {
		t.Errorf("%v: %s", err, log.String())
	}
}
