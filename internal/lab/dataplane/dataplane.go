// Package dataplane is a proxy as other installations have them, in place of a kitewood sidecar of the lab: it stands on the
// platform's protocol, tries again only what never ran, and chooses its destinations by a policy that it is started
// with. The lab compares kitewood with it.
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

// The policies.
const (
	RoundRobin   = "round-robin"
	LeastRequest = "least-request" // of two drawn at random, the one with fewer own requests out, as Envoy's default has it
	Weighted     = "weighted"      // what a control service says over xDS
)

// Policies are all of them.
var Policies = []string{RoundRobin, LeastRequest, Weighted}

// Options say how a proxy chooses.
type Options struct {
	Policy  string
	Control string // Weighted: address of the control service
	Pool    string // Weighted: name of the pool
	Log     *slog.Logger
}

// config is what a proxy reads of the sidecar's configuration file.
type config struct {
	Name, Listen, Discovery string
	Seed                    string
	Known                   endpointList
}

// list is an endpoint list as discovery writes it.
type endpointList struct {
	Index     int64
	Snapshot  bool
	Endpoints []endpoint
}

// member is an entry of it.
type endpoint struct{ Name, Address, Status string }

// Serve runs a proxy by the configuration file of a sidecar until the context ends.
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
		m := newDiscoveryPicker(c.Known, o.Policy, rand.New(rand.NewPCG(seed, 7)))
		go m.run(ctx, c.Discovery, o.Log)
		p = m
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
