// Package dataplane is a conventional proxy that the lab runs in place of kitewood sidecars for comparison. It speaks the
// platform's protocol, retries only requests that were not processed, and selects endpoints by a policy given at its start.
package dataplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Endpoint selection policies.
const (
	RoundRobin   = "round-robin"
	LeastRequest = "least-request" // of two chosen at random, the one with fewer own requests in flight, like Envoy's default
	Weighted     = "weighted"      // by the weights that a control service sends over xDS
)

// Policies lists all policies.
var Policies = []string{RoundRobin, LeastRequest, Weighted}

// Options configure endpoint selection.
type Options struct {
	Policy  string
	Control string // Weighted: address of the control service
	Pool    string // Weighted: name of the pool
	Log     *slog.Logger
}

// config has the keys that a proxy reads from a sidecar's configuration file.
type config struct {
	Name, Listen, Discovery string
	Seed                    string
	Known                   endpointList
}

// endpointList is an endpoint list, or the changes to one, in the encoding of discovery.
type endpointList struct {
	Index     int64
	Snapshot  bool
	Endpoints []endpoint
}

// endpoint is an entry of an endpoint list.
type endpoint struct{ Name, Address, Status string }

// Serve runs a proxy with the configuration file of a sidecar until the context ends.
func Serve(ctx context.Context, file string, o Options) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var seed uint64
	if _, err := fmt.Sscanf(c.Seed, "%x", &seed); err != nil {
		return fmt.Errorf("%s: seed: %w", file, err)
	}
	var p picker
	switch o.Policy {
	case RoundRobin, LeastRequest:
		d := newDiscoveryPicker(c.Known, o.Policy, rand.New(rand.NewPCG(seed, 7)))
		go d.run(ctx, c.Discovery, o.Log)
		p = d
	case Weighted:
		if p, err = newXDSPicker(ctx, c, o); err != nil {
			return err
		}
	default:
		return fmt.Errorf("no policy %q: there are %s", o.Policy, strings.Join(Policies, ", "))
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: newForwarder(p), ReadHeaderTimeout: 3 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
