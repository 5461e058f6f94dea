// Package filewatch tells of changes of files, also of those that are replaced whole, without polling.
package filewatch

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"github.com/fsnotify/fsnotify"
)

// Replace writes a file whole, so that who watches or reads it never meets a part.
func Replace(path string, text []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Watcher watches files. One serves a whole process, as the system counts watchers.
type Watcher struct {
	log   *slog.Logger
	watch *fsnotify.Watcher

	mu     sync.Mutex
	tell   map[string]map[*watched]bool // by file
	folder map[string]int               // files watched in it
}

type watched struct{ changed func() }

// New starts a Watcher that ends with the context.
func New(ctx context.Context, log *slog.Logger) (*Watcher, error) {
	watch, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	w := &Watcher{log: log, watch: watch, tell: map[string]map[*watched]bool{}, folder: map[string]int{}}
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
			// Events may have been lost: every file counts as changed.
			w.log.Error("the watch of files", "error", err)
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
	defer w.mu.Unlock()
	for x := range w.tell[path] {
		go x.changed() // one that is slow must not keep the others back
	}
}

// Watch calls a function, on a goroutine of its own, after each change of a file until the context ends. first is called
// before Watch returns, when the watch already stands, so that no change is missed between; its error is Watch's.
func (w *Watcher) Watch(ctx context.Context, path string, first func() error, changed func()) error {
	path = filepath.Clean(path)
	folder := filepath.Dir(path)
	w.mu.Lock()
	defer w.mu.Unlock()
	// The folder is watched, not the file: editors and deployments replace files whole.
	if w.folder[folder] == 0 {
		if err := w.watch.Add(folder); err != nil {
			return fmt.Errorf("%s: %w", folder, err)
		}
	}
	if err := first(); err != nil {
		if w.folder[folder] == 0 {
			w.watch.Remove(folder)
		}
		return err
	}
	w.folder[folder]++
	if w.tell[path] == nil {
		w.tell[path] = map[*watched]bool{}
	}
	x := &watched{changed}
	w.tell[path][x] = true
	context.AfterFunc(ctx, func() { w.end(path, folder, x) })
	return nil
}

func (w *Watcher) end(path, folder string, x *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tell[path], x)
	if len(w.tell[path]) == 0 {
		delete(w.tell, path)
	}
	if w.folder[folder]--; w.folder[folder] == 0 {
		delete(w.folder, folder)
		w.watch.Remove(folder)
	}
}

// Watched tells how many files are watched.
func (w *Watcher) Watched() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tell)
}
