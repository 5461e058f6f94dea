package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// program is the built program, as an operator has it.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "kitewood-control")
	if err == nil {
		program = filepath.Join(dir, "kitewood-control")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			fmt.Printf("%s", out)
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// A bad configuration ends every command with one line that names the place, and a status that is not 0; a good one is served,
// shown and stopped.
func TestProgram(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	dir := t.TempDir()
	path := filepath.Join(dir, "c.yaml")
	text := fmt.Sprintf("name: c\nplaintext: true\nadmin: %s/admin.sock\nlisteners: [{address: %q}]\npools:\n"+
		"  - {name: a, members: {file: a.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes: [{pool: a}]\n", dir, free.Addr())
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, string, error) {
		var out, bad bytes.Buffer
		cmd := exec.Command(program, args...)
		cmd.Stdout, cmd.Stderr = &out, &bad
		err := cmd.Run()
		return out.String(), bad.String(), err
	}
	write("c.yaml", strings.Replace(text, "effect: unsafe", "effect: odd", 1))
	for _, command := range []string{"serve", "check-config", "status"} {
		out, bad, err := run(command, "--config", path)
		if err == nil || out != "" || strings.Count(bad, "\n") != 1 || !strings.Contains(bad, "c.yaml:6:70: pools[0].classes[0].effect") {
			t.Errorf("%s: %v, %q, %q", command, err, out, bad)
		}
	}
	write("c.yaml", text)
	if _, bad, err := run("serve", "--config", path); err == nil || strings.Count(bad, "\n") != 1 || !strings.Contains(bad, "a.yaml") {
		t.Errorf("without its list: %v, %q", err, bad)
	}
	if _, bad, err := run("status", "--config", path); err == nil || !strings.Contains(bad, "admin:") {
		t.Errorf("status of nothing: %v, %q", err, bad)
	}
	write("a.yaml", "destinations: [{name: x, address: \"127.0.0.1:1\"}]\n")
	if out, bad, err := run("check-config", "--config", path); err != nil || !strings.Contains(out, "attempts: 3") {
		t.Errorf("%v, %q, %q", err, out, bad)
	}
	var log bytes.Buffer
	cmd := exec.Command(program, "serve", "--config", path)
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var out string
	for until := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if out, _, err = run("status", "--config", path, "--json"); err == nil || time.Now().After(until) {
			break
		}
	}
	if err != nil || !strings.Contains(out, `"proxies": []`) {
		t.Errorf("status: %v, %q", err, out)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !strings.Contains(log.String(), "stopped") {
		t.Errorf("%v: %s", err, log.String())
	}
}
