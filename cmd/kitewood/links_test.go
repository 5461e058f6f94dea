package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The sidecar lives in 32 MB: it links none of what the control service and the lab need.
func TestLinksNothingHeavy(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := string(out)
	if !strings.Contains(deps, "kitewood/internal/routing\n") {
		t.Fatal("these are not the sidecar's imports")
	}
	for _, heavy := range []string{"google.golang.org/grpc", "google.golang.org/protobuf", "github.com/envoyproxy/", "go.etcd.io/etcd", "gonum.org/",
		"github.com/prometheus/", "kitewood/internal/lab"} {
		if strings.Contains(deps, heavy) {
			t.Errorf("it links %s", heavy)
		}
	}
}
