// Package listfile is a pool's list of destinations in a file that is watched.
package listfile

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/yamlfile"
)

// list is the form of the file.
type list struct {
	Destinations []destination `yaml:"destinations"`
}

// destination is an entry. What is left out of the list is gone.
type destination struct {
	Name    string  `yaml:"name"`
	Address string  `yaml:"address"`
	State   string  `yaml:"state"`  // ready or draining, ready if left out
	Zone    string  `yaml:"zone"`   // of the pool's zones
	Kind    string  `yaml:"kind"`   // of the pool's kinds
	Group   int     `yaml:"group"`  // destinations that drop each other's repeats
	Weight  float64 `yaml:"weight"` // its size against others', 1 if left out
	Started string  `yaml:"started"`
}

var states = map[string]balance.State{"": balance.Ready, "ready": balance.Ready, "draining": balance.Draining}

// Read reads a list. Its errors are yamlfile.Problems.
func Read(path string, text []byte) ([]routing.Member, error) {
	var l list
	f, err := yamlfile.Read(path, text, &l)
	if err != nil {
		return nil, err
	}
	wrong := f.Wrong()
	var out []routing.Member
	seen := map[string]bool{}
	for i, d := range l.Destinations {
		at := fmt.Sprintf("destinations[%d].", i)
		m := routing.Member{Name: d.Name, Address: d.Address, Zone: d.Zone, Kind: d.Kind, Group: d.Group, Weight: d.Weight}
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
			m.Since = time.Duration(t.UnixNano())
		}
		out = append(out, m)
	}
	return out, wrong.Err()
}

// Watcher tells of changes of files. One serves all pools, as the system counts watchers.
type Watcher struct {
	log   *slog.Logger
	watch *fsnotify.Watcher

	mu     sync.Mutex
	tell   map[string]map[*Source]bool // by file
	folder map[string]int              // files watched in it
}

// NewWatcher starts a Watcher that ends with the context.
func NewWatcher(ctx context.Context, log *slog.Logger) (*Watcher, error) {
	watch, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	w := &Watcher{log: log, watch: watch, tell: map[string]map[*Source]bool{}, folder: map[string]int{}}
	context.AfterFunc(ctx, func() { watch.Close() })
	go w.run()
	return w, nil
}

// run ends when the watch is closed.
func (w *Watcher) run() {
	for {
		select {
		case e, open := <-w.watch.Events:
			if !open {
				return
			}
			w.changed(filepath.Clean(e.Name))
		case err, open := <-w.watch.Errors:
			if !open {
				return
			}
			// Events may have been lost: every file is read again.
			w.log.Error("the watch of the list files", "error", err)
			w.mu.Lock()
			var all []string
			for path := range w.tell {
				all = append(all, path)
			}
			w.mu.Unlock()
			for _, path := range all {
				w.changed(path)
			}
		}
	}
}

func (w *Watcher) changed(path string) {
	w.mu.Lock()
	var sources []*Source
	for s := range w.tell[path] {
		sources = append(sources, s)
	}
	w.mu.Unlock()
	for _, s := range sources {
		go s.read() // one Loop that is behind must not keep the others' lists back
	}
}

// Source feeds a Loop from a file. It implements routing.Directory.
type Source struct {
	path    string
	loop    *routing.Loop
	log     *slog.Logger
	watcher *Watcher

	mu      sync.Mutex
	version int64
	last    string
}

var _ routing.Directory = (*Source)(nil)

// Source reads a list file and watches it until the context ends. The Loop has the list before Source returns; a file
// that cannot be read is an error. Later a bad file is logged, and the last good list stays.
func (w *Watcher) Source(ctx context.Context, path string, loop *routing.Loop, log *slog.Logger) (*Source, error) {
	s := &Source{path: filepath.Clean(path), loop: loop, log: log, watcher: w}
	folder := filepath.Dir(s.path)
	w.mu.Lock()
	defer w.mu.Unlock()
	// The folder is watched, not the file: editors and deployments replace files whole. First the watch, then the
	// first reading, or a change between the two would be missed.
	if w.folder[folder] == 0 {
		if err := w.watch.Add(folder); err != nil {
			return nil, fmt.Errorf("%s: %w", folder, err)
		}
	}
	if err := s.load(); err != nil {
		if w.folder[folder] == 0 {
			w.watch.Remove(folder)
		}
		return nil, err
	}
	w.folder[folder]++
	if w.tell[s.path] == nil {
		w.tell[s.path] = map[*Source]bool{}
	}
	w.tell[s.path][s] = true
	context.AfterFunc(ctx, func() { w.end(s, folder) })
	return s, nil
}

func (w *Watcher) end(s *Source, folder string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tell[s.path], s)
	if len(w.tell[s.path]) == 0 {
		delete(w.tell, s.path)
	}
	if w.folder[folder]--; w.folder[folder] == 0 {
		delete(w.folder, folder)
		w.watch.Remove(folder)
	}
}

// Follow has nothing to do: what changes is told by itself. It implements routing.Directory.
func (s *Source) Follow(int64) {}

// read takes the file's list if it has changed and is good.
func (s *Source) read() {
	if err := s.load(); err != nil {
		s.log.Error("the list of destinations is not taken, the old one stays", "error", strings.ReplaceAll(err.Error(), "\n", "; "))
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
	s.loop.Pool(balance.Full, s.version, members)
	s.log.Info("list of destinations read", "file", s.path, "destinations", len(members))
	return nil
}
