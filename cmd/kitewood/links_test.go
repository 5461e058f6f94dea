package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar has to run in 32 MB of memory, so it must not link the large dependencies of the control service and the lab.
func TestNoHeavyDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := string(out)
	if !strings.Contains(deps, "kitewood/internal/routing\n") {
		t.Fatal("the list lacks a known dependency of the sidecar")
	}
	for _, heavy := range []string{"google.golang.org/grpc", "google.golang.org/protobuf", "github.com/envoyproxy/", "go.etcd.io/etcd", "gonum.org/",
		"github.com/prometheus/", "kitewood/internal/lab"} {
		if strings.Contains(deps, heavy) {
			t.Errorf("the sidecar depends on %s", heavy)
		}
	}
}
