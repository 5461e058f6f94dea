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

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	testkit.MainWithPrograms(m, func(dir string) { binary = filepath.Join(dir, "kitewood-control") }, "kitewood-control")
}

// With an invalid configuration every command fails with one line that names the position of the fault. With a valid one the
// service starts, shows its status and members, and stops on SIGTERM.
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
		out, errText, ok := testkit.RunProgram(t, binary, command, "--config", path)
		if ok || out != "" || strings.Count(errText, "\n") != 1 || !strings.Contains(errText, "c.yaml:6:70: pools[0].classes[0].effect") {
			t.Errorf("%s: %v, %q, %q", command, ok, out, errText)
		}
	}
	write("c.yaml", text)
	if _, errText, ok := testkit.RunProgram(t, binary, "serve", "--config", path); ok || strings.Count(errText, "\n") != 1 || !strings.Contains(errText, "a.yaml") {
		t.Errorf("serve without a list file: %v, %q", ok, errText)
	}
	if _, errText, ok := testkit.RunProgram(t, binary, "status", "--config", path); ok || !strings.Contains(errText, "admin:") {
		t.Errorf("status without a running process: %v, %q", ok, errText)
	}
	write("a.yaml", "destinations: [{name: x, address: \"127.0.0.1:1\"}]\n")
	if out, errText, ok := testkit.RunProgram(t, binary, "check-config", "--config", path); !ok || !strings.Contains(out, "attempts: 3") {
		t.Errorf("check-config: %v, %q, %q", ok, out, errText)
	}
	var log bytes.Buffer
	cmd := exec.Command(binary, "serve", "--config", path)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var out string
	testkit.WaitUntil(t, "the process answers with its status", func() (ok bool) {
		out, _, ok = testkit.RunProgram(t, binary, "status", "--config", path, "--json")
		return ok
	})
	if !strings.Contains(out, `"proxies": []`) {
		t.Errorf("status: %q", out)
	}
	if out, errText, ok := testkit.RunProgram(t, binary, "members", "--config", path); !ok || !strings.Contains(out, "x            127.0.0.1:1  ready  file: ready") {
		t.Errorf("members: %q, %q", out, errText)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), "stopped") {
		t.Errorf("serve ended with %v, log: %s", err, log.String())
	}
}
