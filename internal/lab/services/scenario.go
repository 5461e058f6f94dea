// Package services runs scenarios with one kitewood process that serves several pools: real endpoints and clients on loopback,
// faults of single pools, and a record of what reached the endpoints.
package services

import (
	"fmt"
	"strings"
	"time"

	"kitewood/internal/yamlfile"
)

// Duration is a duration written as 500ms or 1m30s.
type Duration = yamlfile.Duration

// Scenario describes a run. docs/lab.md documents its keys.
type Scenario struct {
	Name        string   `yaml:"name"`
	Description string   `yaml:"about"`
	Duration    Duration `yaml:"duration"`
	Sockets     int      `yaml:"sockets"` // limit of the process, 0 for its default
	Pools       []Pool   `yaml:"pools"`
	Faults      []Fault  `yaml:"troubles"`
}

// Pool is a service with its endpoints and its clients.
type Pool struct {
	Name               string   `yaml:"name"`
	Endpoints          int      `yaml:"destinations"`
	ResponseDelay      Duration `yaml:"delay"` // of a response
	Rate               float64  `yaml:"rate"`  // requests per second, as a Poisson process
	Effect             string   `yaml:"effect"`
	Deadline           Duration `yaml:"deadline"`
	GuaranteedRequests int      `yaml:"guaranteed"` // concurrent requests guaranteed to the pool, 0 for the default
	MaxRequests        int      `yaml:"most"`       // concurrent requests at most, 0 for the default
}

// Fault is a fault of a pool, or of the whole process.
type Fault struct {
	Kind        string   `yaml:"kind"` // freeze, errors, come-and-go, crowd
	Pool        string   `yaml:"pool"` // empty for crowd
	At          Duration `yaml:"at"`
	Duration    Duration `yaml:"for"`
	Connections int      `yaml:"size"` // crowd: number of idle connections
}

// faultKinds are the kinds of faults, and whether they have a pool.
var faultKinds = map[string]bool{"freeze": true, "errors": true, "come-and-go": true, "crowd": false}

// Read parses the text of a scenario file, sets defaults and checks the result. Its errors are yamlfile.Problems.
func Read(file string, text []byte) (*Scenario, error) {
	var s Scenario
	f, err := yamlfile.Read(file, text, &s)
	if err != nil {
		return nil, err
	}
	s.SetDefaults()
	problems := f.NewProblemList()
	s.validate(problems.Add)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// SetDefaults fills in the values that a scenario leaves out.
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

// validate checks all values and reports each invalid one with its key.
func (s *Scenario) validate(report func(key, format string, args ...any)) {
	if s.Name == "" {
		report("name", "is missing")
	}
	if s.Duration <= 0 {
		report("duration", "must be above 0, not %s", s.Duration.D())
	}
	if len(s.Pools) == 0 {
		report("pools", "at least one is needed")
	}
	seen := map[string]bool{}
	for i, p := range s.Pools {
		prefix := fmt.Sprintf("pools[%d].", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " /\t") || seen[p.Name] {
			report(prefix+"name", "a pool has a unique name without spaces and slashes, not %q", p.Name)
		}
		seen[p.Name] = true
		if p.Endpoints < 1 || p.Endpoints > 50 {
			report(prefix+"destinations", "between 1 and 50, not %d", p.Endpoints)
		}
		if !(p.Rate > 0 && p.Rate <= 5000) {
			report(prefix+"rate", "above 0 and up to 5000 a second, not %g", p.Rate)
		}
		if p.Effect != "safe" && p.Effect != "unsafe" {
			report(prefix+"effect", "safe or unsafe, not %q", p.Effect)
		}
		if p.Deadline < Duration(100*time.Millisecond) || p.ResponseDelay < 0 {
			report(prefix+"deadline", "must be at least 100ms, and delay must not be negative")
		}
		if p.GuaranteedRequests < 0 || p.MaxRequests < 0 || p.MaxRequests > 0 && p.MaxRequests < p.GuaranteedRequests {
			report(prefix+"most", "at least the guaranteed %d, not %d", p.GuaranteedRequests, p.MaxRequests)
		}
	}
	for i, f := range s.Faults {
		prefix := fmt.Sprintf("troubles[%d].", i)
		hasPool, known := faultKinds[f.Kind]
		switch {
		case !known:
			report(prefix+"kind", "freeze, errors, come-and-go or crowd, not %q", f.Kind)
		case hasPool && !seen[f.Pool]:
			report(prefix+"pool", "there is no pool %q", f.Pool)
		case !hasPool && f.Pool != "":
			report(prefix+"pool", "a fault of kind %s has no pool", f.Kind)
		}
		if f.At < 0 || f.Duration <= 0 || f.At+f.Duration > s.Duration {
			report(prefix+"at", "a fault must have a duration and lie within the run of %s", s.Duration.D())
		}
		if f.Kind == "crowd" && (f.Connections < 1 || f.Connections > 2000) {
			report(prefix+"size", "between 1 and 2000 connections, not %d", f.Connections)
		}
	}
}
