package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an instance in discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// List is a list, whole or of changes.
type List struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// firstInLine is the header field of another caller of the rig, whose call stands before the crowd.
const firstInLine = "X-First-In-Line"

// Follow watches discovery as another caller, and records what it is told.
func (d *Discovery) Follow(ctx context.Context) {
	q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Address+"/registry/instances?follow=1&since=0", nil)
	q.Header.Set(firstInLine, "1")
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		d.rig.Log("another caller: %v", err)
		return
	}
	defer answer.Body.Close()
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if lines.Text() != "" {
			d.rig.Log("another caller is told: %s", lines.Text())
		}
	}
}

// Discovery stands in for one discovery service. It counts its versions itself.
type Discovery struct {
	Name, Address string

	rig    *Rig
	ln     net.Listener
	server *http.Server
	turn   sync.Mutex // calls are handled in turn
	conns  map[net.Conn]bool
	// Wait, if set, says for each call how long it takes and whether it then fails.
	Wait func(call int) (time.Duration, bool)

	mu      sync.Mutex
	index   int64
	oldest  int64 // changes after this version are known
	entries map[string]Entry
	changes []List
	changed chan struct{}
	calls   int
}

// NewDiscovery starts a discovery whose list has a version.
func (r *Rig) NewDiscovery(name string, index int64, entries ...Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Name: name, Address: ln.Addr().String(), rig: r, ln: ln, index: index, oldest: index, entries: map[string]Entry{}, changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.Name] = e
	}
	d.conns = map[net.Conn]bool{}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ConnState: func(c net.Conn, state http.ConnState) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.conns[c] = true; state == http.StateClosed {
			delete(d.conns, c)
		}
	}}
	go d.server.Serve(ln)
	return d, nil
}

// Change makes a change of one instance, as a version of its own.
func (d *Discovery) Change(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.changes = append(d.changes, List{Index: d.index, Endpoints: []Entry{e}})
	if d.entries[e.Name] = e; e.Status == "Gone" {
		delete(d.entries, e.Name)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.Log("%s has version %d: %s %s", d.Name, d.index, e.Name, e.Status)
}

// Leave has discovery move away: no new connection from now on, and the open ones close after 1.5 s.
func (d *Discovery) Leave() {
	d.rig.Log("%s accepts no new connection", d.Name)
	d.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.rig.Log("%s closes its connections", d.Name)
		d.server.Close()
	})
}

// Reset resets the open watches.
func (d *Discovery) Reset() {
	d.rig.Log("%s: all open watches are reset", d.Name)
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// snapshot returns the whole list. d.mu is held.
func (d *Discovery) snapshot() List {
	l := List{Index: d.index, Snapshot: true, Endpoints: []Entry{}}
	for _, e := range d.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// since returns what changed after a version, or the whole list if that version is not one that it has kept.
func (d *Discovery) since(version int64) List {
	if version < d.oldest || version > d.index || version == 0 {
		return d.snapshot()
	}
	l := List{Index: d.index, Endpoints: []Entry{}}
	latest := map[string]int{}
	for _, c := range d.changes {
		if c.Index <= version {
			continue
		}
		e := c.Endpoints[0]
		if at, ok := latest[e.Name]; ok {
			l.Endpoints[at] = e
			continue
		}
		latest[e.Name] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

func (d *Discovery) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	version, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	d.rig.Log("%s: call %d, since %d", d.Name, call, version)
	d.turn.Lock()
	if d.Wait != nil && req.Header.Get(firstInLine) == "" {
		wait, fail := d.Wait(call)
		time.Sleep(wait)
		if fail {
			d.turn.Unlock()
			d.rig.Log("%s: call %d fails", d.Name, call)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	d.turn.Unlock()
	d.watch(req.Context(), w, req.URL.Query().Get("follow") != "", version, call)
}

func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, follow bool, version int64, call int) {
	flush := http.NewResponseController(w).Flush
	for first := true; ; first = false {
		d.mu.Lock()
		list, changed := d.since(version), d.changed
		if !follow {
			list = d.snapshot()
		}
		d.mu.Unlock()
		if first || len(list.Endpoints) > 0 || list.Snapshot {
			text, _ := json.Marshal(list)
			w.Write(append(text, '\n'))
			if flush() != nil || !follow {
				return
			}
			d.rig.Log("%s: to call %d: %s", d.Name, call, text)
			version = list.Index
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
			if flush() != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
