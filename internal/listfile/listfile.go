// Package listfile reads a pool's endpoint list from a file and watches the file for changes.
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

// fileFormat is the format of the file.
type fileFormat struct {
	Endpoints []Endpoint `yaml:"destinations"`
}

// Endpoint is an entry of the list. An endpoint that is removed from the list is gone.
type Endpoint struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	State   string  `yaml:"state,omitempty"`   // ready or draining; defaults to ready
	Zone    string  `yaml:"zone,omitempty"`    // one of the pool's zones
	Kind    string  `yaml:"kind,omitempty"`    // one of the pool's kinds
	Group   int     `yaml:"group,omitempty"`   // endpoints of one group deduplicate retries among them
	Weight  float64 `yaml:"weight,omitempty"`  // capacity relative to other endpoints; defaults to 1
	Started string  `yaml:"started,omitempty"` // RFC 3339; defaults to long ago
}

// Write atomically replaces the list file at path.
func Write(path string, endpoints []Endpoint) error {
	text, err := yaml.Marshal(fileFormat{endpoints})
	if err != nil {
		return err
	}
	return filewatch.Replace(path, text)
}

var statesByName = map[string]balance.State{"": balance.Ready, "ready": balance.Ready, "draining": balance.Draining}

// Read parses a list. Invalid entries are reported as *yamlfile.Problem errors, joined if there are several.
func Read(path string, text []byte) ([]routing.Member, error) {
	var list fileFormat
	f, err := yamlfile.Read(path, text, &list)
	if err != nil {
		return nil, err
	}
	problems := f.NewProblemList()
	var out []routing.Member
	seen := map[string]bool{}
	for i, e := range list.Endpoints {
		prefix := fmt.Sprintf("destinations[%d].", i)
		m := routing.Member{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Group, Weight: e.Weight}
		if e.Name == "" || seen[e.Name] {
			problems.Add(prefix+"name", "must be non-empty and unique, not %q", e.Name)
		}
		seen[e.Name] = true
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			problems.Add(prefix+"address", "must be an IP address and a port, not %q", e.Address)
		}
		known := false
		if m.State, known = statesByName[e.State]; !known {
			problems.Add(prefix+"state", "must be ready or draining, not %q", e.State)
		}
		if m.Weight == 0 {
			m.Weight = 1
		}
		if !(m.Weight > 0) {
			problems.Add(prefix+"weight", "must be above 0, not %g", e.Weight)
		}
		if e.Started != "" {
			t, err := time.Parse(time.RFC3339, e.Started)
			if err != nil {
				problems.Add(prefix+"started", "must be a time like 2026-12-01T10:00:00Z, not %q", e.Started)
			}
			m.StartedAt = time.Duration(t.UnixNano())
		}
		out = append(out, m)
	}
	return out, problems.Err()
}

// Source delivers the endpoint list of a file to a routing.EndpointListReceiver. It implements routing.Discovery.
type Source struct {
	path     string
	receiver routing.EndpointListReceiver
	log      *slog.Logger

	mu        sync.Mutex
	version   int64
	lastText  string
	lastError string // why the file was rejected last, empty once it is valid
}

var _ routing.Discovery = (*Source)(nil)

// Open reads a list file and watches it until the context ends. The receiver has the list before Open returns; a file that
// cannot be read is an error. When the file becomes invalid later, that is logged and the last valid list stays in force.
func Open(ctx context.Context, w *filewatch.Watcher, path string, receiver routing.EndpointListReceiver, log *slog.Logger) (*Source, error) {
	s := &Source{path: filepath.Clean(path), receiver: receiver, log: log}
	return s, w.Watch(ctx, s.path, s.load, s.reload)
}

// Watch does nothing, as changes are delivered without a request. It implements routing.Discovery.
func (s *Source) Watch(int64) {}

// settleTime is how long a changed file must stay the same before it is read. A file that is overwritten in place can be a valid,
// shorter list while it is being written.
const settleTime = 100 * time.Millisecond

// reload loads the file once it no longer changes, and logs once why it could not.
func (s *Source) reload() {
	before, errBefore := os.ReadFile(s.path)
	time.Sleep(settleTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read under the lock: of two reloads at the same time the later one must not deliver the older text.
	text, err := os.ReadFile(s.path)
	if string(text) != string(before) || (err == nil) != (errBefore == nil) {
		return // another reload follows, as this change is reported, too
	}
	if err == nil {
		err = s.deliver(text)
	}
	if err == nil {
		s.lastError = ""
	} else if reason := yamlfile.OneLine(err); reason != s.lastError {
		s.lastError = reason
		s.log.Error("endpoint list rejected, the previous list stays in force", "error", reason)
	}
}

// load delivers the list of the file.
func (s *Source) load() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	return s.deliver(text)
}

// deliver delivers a list if it has changed and is valid. s.mu is held.
func (s *Source) deliver(text []byte) error {
	if s.version > 0 && string(text) == s.lastText {
		return nil
	}
	if err := yamlfile.CheckEndMark(s.path, []byte(s.lastText), text); err != nil {
		return err
	}
	members, err := Read(s.path, text)
	if err != nil {
		return err
	}
	s.lastText = string(text)
	s.version++
	s.receiver.UpdateEndpoints(balance.Full, s.version, members)
	s.log.Info("endpoint list read", "file", s.path, "destinations", len(members))
	return nil
}
