// Package services plays days of one kitewood process that fronts several pools: real destinations and clients on
// loopback, a trouble for one pool at a time, and a ledger of what reached the destinations.
package services

import (
	"fmt"
	"strings"
	"time"

	"kitewood/internal/yamlfile"
)

// Duration is a span written as 500ms or 1m30s.
type Duration = yamlfile.Duration

// Scenario is a day. docs/lab.md documents it key by key.
type Scenario struct {
	Name        string   `yaml:"name"`
	Description string   `yaml:"about"`
	Duration    Duration `yaml:"duration"`
	Sockets     int      `yaml:"sockets"` // of the process, 0 for its default
	Pools       []Pool   `yaml:"pools"`
	Faults      []Fault  `yaml:"troubles"`
}

// Pool is a service with its destinations and its clients.
type Pool struct {
	Name               string   `yaml:"name"`
	Endpoints          int      `yaml:"destinations"`
	ResponseDelay      Duration `yaml:"delay"` // of an answer
	Rate               float64  `yaml:"rate"`  // requests a second, as a Poisson process
	Effect             string   `yaml:"effect"`
	Deadline           Duration `yaml:"deadline"`
	GuaranteedRequests int      `yaml:"guaranteed"` // operations, 0 for the default
	MaxRequests        int      `yaml:"most"`
}

// Trouble is what happens to a pool.
type Fault struct {
	Kind        string   `yaml:"kind"` // freeze, errors, come-and-go, crowd
	Pool        string   `yaml:"pool"` // crowd has none
	At          Duration `yaml:"at"`
	Duration    Duration `yaml:"for"`
	Connections int      `yaml:"size"` // crowd: connections that say nothing
}

// kinds of troubles, and whether they have a pool.
var faultKinds = map[string]bool{"freeze": true, "errors": true, "come-and-go": true, "crowd": false}

// Read reads the text of a scenario file, fills in what it leaves out and checks it. Its errors are yamlfile.Problems.
func Read(file string, text []byte) (*Scenario, error) {
	var s Scenario
	f, err := yamlfile.Read(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.SetDefaults()
	wrong := f.NewProblemList()
	s.validate(wrong.Add)
	if err := wrong.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Fill puts in what a scenario leaves out.
func (s *Scenario) SetDefaults() {
	yamlfile.Default(&s.Duration, Duration(20*time.Second))
	for i := range s.Pools {
		p := &s.Pools[i]
		yamlfile.Default(&p.Endpoints, 3)
		yamlfile.Default(&p.ResponseDelay, Duration(5*time.Millisecond))
		yamlfile.Default(&p.Rate, 60)
		yamlfile.Default(&p.Effect, "unsafe")
		yamlfile.Default(&p.Deadline, Duration(2500*time.Millisecond))
	}
}

func (s *Scenario) validate(bad func(key, format string, args ...any)) {
	if s.Name == "" {
		bad("name", "is missing")
	}
	if s.Duration <= 0 {
		bad("duration", "must be above 0, not %s", s.Duration.D())
	}
	if len(s.Pools) == 0 {
		bad("pools", "at least one is needed")
	}
	seen := map[string]bool{}
	for i, p := range s.Pools {
		at := fmt.Sprintf("pools[%d].", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " /\t") || seen[p.Name] {
			bad(at+"name", "a pool has a name of its own without spaces and slashes, not %q", p.Name)
		}
		seen[p.Name] = true
		if p.Endpoints < 1 || p.Endpoints > 50 {
			bad(at+"destinations", "between 1 and 50, not %d", p.Endpoints)
		}
		if !(p.Rate > 0 && p.Rate <= 5000) {
			bad(at+"rate", "above 0 and up to 5000 a second, not %g", p.Rate)
		}
		if p.Effect != "safe" && p.Effect != "unsafe" {
			bad(at+"effect", "safe or unsafe, not %q", p.Effect)
		}
		if p.Deadline < Duration(100*time.Millisecond) || p.ResponseDelay < 0 {
			bad(at+"deadline", "at least 100ms, and a delay that is not negative, are wanted")
		}
		if p.GuaranteedRequests < 0 || p.MaxRequests < 0 || p.MaxRequests > 0 && p.MaxRequests < p.GuaranteedRequests {
			bad(at+"most", "at least the guaranteed %d, not %d", p.GuaranteedRequests, p.MaxRequests)
		}
	}
	for i, t := range s.Faults {
		at := fmt.Sprintf("troubles[%d].", i)
		hasPool, known := faultKinds[t.Kind]
		switch {
		case !known:
			bad(at+"kind", "freeze, errors, come-and-go or crowd, not %q", t.Kind)
		case hasPool && !seen[t.Pool]:
			bad(at+"pool", "there is no pool %q", t.Pool)
		case !hasPool && t.Pool != "":
			bad(at+"pool", "%s has none", t.Kind)
		}
		if t.At < 0 || t.Duration <= 0 || t.At+t.Duration > s.Duration {
			bad(at+"at", "a trouble of some length within the run of %s is wanted", s.Duration.D())
		}
		if t.Kind == "crowd" && (t.Connections < 1 || t.Connections > 2000) {
			bad(at+"size", "between 1 and 2000 connections, not %d", t.Connections)
		}
	}
}
