// Package listfile is a pool's list of destinations in a file that is watched.
package listfile

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"kitewood/balance"
	"kitewood/internal/filewatch"
	"kitewood/internal/routing"
	"kitewood/internal/yamlfile"
)

// list is the form of the file.
type list struct {
	Destinations []Endpoint `yaml:"destinations"`
}

// Destination is an entry. What is left out of the list is gone.
type Endpoint struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	State   string  `yaml:"state,omitempty"`   // ready or draining, ready if left out
	Zone    string  `yaml:"zone,omitempty"`    // of the pool's zones
	Kind    string  `yaml:"kind,omitempty"`    // of the pool's kinds
	Group   int     `yaml:"group,omitempty"`   // destinations that drop each other's repeats
	Weight  float64 `yaml:"weight,omitempty"`  // its size against others', 1 if left out
	Started string  `yaml:"started,omitempty"` // RFC 3339; long ago if left out
}

// Write replaces the file of a path by a list, whole.
func Write(path string, all []Endpoint) error {
	text, err := yaml.Marshal(list{all})
	if err != nil {
		return err
	}
	return filewatch.Replace(path, text)
}

var states = map[string]balance.State{"": balance.Ready, "ready": balance.Ready, "draining": balance.Draining}

// Read reads a list. Its errors are yamlfile.Problems.
func Read(path string, text []byte) ([]routing.Member, error) {
	var l list
	f, err := yamlfile.Read(path, text, &l)
	if err != nil {
		return nil, err
	}
	wrong := f.NewProblemList()
	var out []routing.Member
	seen := map[string]bool{}
	for i, d := range l.Destinations {
		at := fmt.Sprintf("destinations[%d].", i)
		m := routing.Member{Name: d.Name, Address: d.Address, Zone: d.Zone, Kind: d.Kind, Cell: d.Group, Weight: d.Weight}
		if d.Name == "" || seen[d.Name] {
			wrong.Add(at+"name", "a destination has a name of its own, not %q", d.Name)
		}
		seen[d.Name] = true
		if _, err := netip.ParseAddrPort(d.Address); err != nil {
			wrong.Add(at+"address", "an IP and a port are wanted, not %q", d.Address)
		}
		known := false
		if m.State, known = states[d.State]; !known {
			wrong.Add(at+"state", "ready or draining, not %q", d.State)
		}
		if m.Weight == 0 {
			m.Weight = 1
		}
		if !(m.Weight > 0) {
			wrong.Add(at+"weight", "must be above 0, not %g", d.Weight)
		}
		if d.Started != "" {
			t, err := time.Parse(time.RFC3339, d.Started)
			if err != nil {
				wrong.Add(at+"started", "a time like 2026-12-01T10:00:00Z is wanted, not %q", d.Started)
			}
			m.StartedAt = time.Duration(t.UnixNano())
		}
		out = append(out, m)
	}
	return out, wrong.Err()
}

// Source feeds a Loop from a file. It implements routing.Directory.
type Source struct {
	path string
	loop routing.EndpointListReceiver
	log  *slog.Logger

	mu      sync.Mutex
	version int64
	last    string
}

var _ routing.Discovery = (*Source)(nil)

// Open reads a list file and watches it until the context ends. The Loop has the list before Open returns; a file that
// cannot be read is an error. Later a bad file is logged, and the last good list stays.
func Open(ctx context.Context, w *filewatch.Watcher, path string, loop routing.EndpointListReceiver, log *slog.Logger) (*Source, error) {
	s := &Source{path: filepath.Clean(path), loop: loop, log: log}
	return s, w.Watch(ctx, s.path, s.load, s.read)
}

// Follow has nothing to do: what changes is told by itself. It implements routing.Directory.
func (s *Source) Watch(int64) {}

// read takes the file's list if it has changed and is good.
func (s *Source) read() {
	if err := s.load(); err != nil {
		s.log.Error("the list of destinations is not taken, the old one stays", "error", yamlfile.OneLine(err))
	}
}

func (s *Source) load() error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version > 0 && string(text) == s.last {
		return nil
	}
	members, err := Read(s.path, text)
	if err != nil {
		return err
	}
	s.last = string(text)
	s.version++
	s.loop.UpdateEndpoints(balance.Full, s.version, members)
	s.log.Info("list of destinations read", "file", s.path, "destinations", len(members))
	return nil
}
