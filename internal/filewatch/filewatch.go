// Package filewatch reports changes of files, including files that are replaced by a rename, without polling.
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

// Replace replaces a file atomically, so that no reader sees a partly written file.
func Replace(path string, text []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Watcher watches files. A process needs only one; the operating system limits their number.
type Watcher struct {
	log      *slog.Logger
	notifier *fsnotify.Watcher

	mu            sync.Mutex
	subscriptions map[string]map[*subscription]bool // by file
	dirRefs       map[string]int                    // number of watches on files in a directory
}

// subscription is one call of Watch.
type subscription struct{ onChange func() }

// New starts a Watcher that stops when the context ends.
func New(ctx context.Context, log *slog.Logger) (*Watcher, error) {
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	w := &Watcher{log: log, notifier: notifier, subscriptions: map[string]map[*subscription]bool{}, dirRefs: map[string]int{}}
	context.AfterFunc(ctx, func() { notifier.Close() })
	go w.run()
	return w, nil
}

// run dispatches events until the notifier is closed.
func (w *Watcher) run() {
	for {
		select {
		case event, open := <-w.notifier.Events:
			if !open {
				return
			}
			w.notify(filepath.Clean(event.Name))
		case err, open := <-w.notifier.Errors:
			if !open {
				return
			}
			// Events may have been lost, so every file is treated as changed.
			w.log.Error("file watch failed, treating every file as changed", "error", err)
			w.mu.Lock()
			var paths []string
			for path := range w.subscriptions {
				paths = append(paths, path)
			}
			w.mu.Unlock()
			for _, path := range paths {
				w.notify(path)
			}
		}
	}
}

// notify calls the subscribers of a file.
func (w *Watcher) notify(path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for sub := range w.subscriptions[path] {
		go sub.onChange() // a slow callback must not delay the others
	}
}

// Watch calls onChange, on a goroutine of its own, after each change of a file until the context ends. It calls initial once
// before it returns, with the watch already in place, so that no change in between is missed; an error of initial ends the watch
// and is returned.
func (w *Watcher) Watch(ctx context.Context, path string, initial func() error, onChange func()) error {
	path = filepath.Clean(path)
	dir := filepath.Dir(path)
	w.mu.Lock()
	defer w.mu.Unlock()
	// The directory is watched, not the file, as editors and deployments replace files by a rename.
	if w.dirRefs[dir] == 0 {
		if err := w.notifier.Add(dir); err != nil {
			return fmt.Errorf("watch directory %s: %w", dir, err)
		}
	}
	if err := initial(); err != nil {
		if w.dirRefs[dir] == 0 {
			w.notifier.Remove(dir)
		}
		return err
	}
	w.dirRefs[dir]++
	if w.subscriptions[path] == nil {
		w.subscriptions[path] = map[*subscription]bool{}
	}
	sub := &subscription{onChange}
	w.subscriptions[path][sub] = true
	context.AfterFunc(ctx, func() { w.unsubscribe(path, dir, sub) })
	return nil
}

// unsubscribe removes a subscription, and the watch of its directory with the last one there.
func (w *Watcher) unsubscribe(path, dir string, sub *subscription) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.subscriptions[path], sub)
	if len(w.subscriptions[path]) == 0 {
		delete(w.subscriptions, path)
	}
	if w.dirRefs[dir]--; w.dirRefs[dir] == 0 {
		delete(w.dirRefs, dir)
		w.notifier.Remove(dir)
	}
}

// WatchedFiles returns the number of files that are watched.
func (w *Watcher) WatchedFiles() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.subscriptions)
}
