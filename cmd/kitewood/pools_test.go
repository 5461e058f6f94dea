package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"kitewood/internal/testkit"
)

// A configuration of pools is checked, served, shown, read again and stopped, as an operator does; a bad one is one line.
func TestPoolsProgram(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "here "+r.URL.Path) }))
	defer server.Close()
	address, dir := testkit.ReserveAddress(t), t.TempDir()
	path := filepath.Join(dir, "c.yaml")
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text := fmt.Sprintf("name: edge\nadmin: %s/admin.sock\nlisteners: [{address: %q}]\npools:\n  - {name: a, members: {file: a.yaml}, classes: [{name: look, effect: safe, aim: 500ms, deadline: 1s}]}\n"+
		"routes: [{path: /a, pool: a}]\n", dir, address)
	write("a.yaml", fmt.Sprintf("destinations: [{name: x, address: %q}]\n", server.Listener.Addr()))
	write("c.yaml", strings.Replace(text, "pool: a}]", "pool: z}]", 1))
	for _, command := range []string{"serve", "check-config", "pools"} {
		if _, bad, ok := testkit.RunProgram(t, binary, command, "--config", path); ok || strings.Count(bad, "\n") != 1 || !strings.Contains(bad, `c.yaml:6:27: routes[0].pool: there is no pool "z"`) {
			t.Errorf("%s: %v, %q", command, ok, bad)
		}
	}
	write("c.yaml", text)
	if out, bad, ok := testkit.RunProgram(t, binary, "check-config", "--config", path); !ok || !strings.Contains(out, "attempts: 3") {
		t.Errorf("%v, %q, %q", ok, out, bad)
	}
	cmd := exec.Command(binary, "serve", "--config", path)
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + address + path)
		if err != nil {
			return 0, err.Error()
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(body)
	}
	testkit.WaitUntil(t, "it serves", func() bool { status, _ := get("/health/ready"); return status == 200 })
	if status, body := get("/a/1"); status != 200 || body != "here /a/1" {
		t.Errorf("%d %q", status, body)
	}
	if status, _ := get("/b"); status != 404 {
		t.Errorf("a path without a route: %d", status)
	}
	if out, bad, ok := testkit.RunProgram(t, binary, "pools", "--config", path); !ok || !strings.Contains(out, "serving") || !strings.Contains(out, "ready") {
		t.Errorf("%v, %q, %q", ok, out, bad)
	}
	if out, bad, ok := testkit.RunProgram(t, binary, "pools", "--json", "--config", path); !ok || !strings.Contains(out, `"state": "ready"`) {
		t.Errorf("%v, %q, %q", ok, out, bad)
	}
	write("c.yaml", "name: [")
	cmd.Process.Signal(syscall.SIGHUP)
	said := func(what string) bool {
		text, _ := os.ReadFile(log.Name())
		return strings.Contains(string(text), what)
	}
	testkit.WaitUntil(t, "a bad file is named", func() bool { return said("the old one stays") })
	write("c.yaml", strings.Replace(text, "path: /a", "path: /b", 1))
	cmd.Process.Signal(syscall.SIGHUP)
	testkit.WaitUntil(t, "the new route holds", func() bool { status, _ := get("/b"); return status == 200 })
	if status, _ := get("/a/1"); status != 404 {
		t.Errorf("the old route: %d", status)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
