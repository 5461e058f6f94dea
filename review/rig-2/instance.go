package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance stands in for an instance: it answers each request after its work, also while it drains.
type Instance struct {
	Name, Address string

	rig    *Rig
	work   time.Duration
	length int           // of a long answer; 0 for a short one
	giving time.Duration // for so long it gives a long answer, in pieces
	server *http.Server
	mu     sync.Mutex
	got    []*Got
	ended  bool
}

// Got is a request that an instance has received.
type Got struct {
	At  time.Duration // when its head was read
	ID  string
	Cut bool // it was in work when the instance ended
}

// NewInstance starts an instance.
func (r *Rig) NewInstance(name string, work time.Duration) (*Instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &Instance{Name: name, Address: ln.Addr().String(), rig: r, work: work}
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), IdleTimeout: 30 * time.Second}
	go i.server.Serve(ln)
	return i, nil
}

// Stop ends the instance, as at the end of its drain: what is in work is cut off, connections are closed, new ones are refused.
func (i *Instance) Stop() {
	i.mu.Lock()
	i.ended = true
	i.mu.Unlock()
	i.rig.Log("%s ends", i.Name)
	i.server.Close()
}

// Received returns the requests that the instance has got.
func (i *Instance) Received() []*Got {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.got)
}

func (i *Instance) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Correlation-Id")
	at := i.rig.Now()
	if id == "" {
		http.NotFound(w, req)
		return
	}
	io.Copy(io.Discard, req.Body)
	i.mu.Lock()
	got := &Got{At: at, ID: id}
	i.got = append(i.got, got)
	i.mu.Unlock()
	i.rig.LogAt(at, "%s runs %s", i.Name, id)
	time.Sleep(i.work)
	i.mu.Lock()
	got.Cut = i.ended
	i.mu.Unlock()
	if got.Cut {
		i.rig.Log("%s has ended with %s in work", i.Name, id)
		return
	}
	body := fmt.Sprintf("%s has run %s\n", i.Name, id)
	body += strings.Repeat(".", max(i.length-len(body), 0))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if i.giving == 0 {
		io.WriteString(w, body)
		return
	}
	const pieces = 16
	flush := http.NewResponseController(w).Flush
	for k := range pieces {
		io.WriteString(w, body[len(body)*k/pieces:len(body)*(k+1)/pieces])
		flush()
		select {
		case <-req.Context().Done():
			i.rig.Log("CUT OFF: %s, which gave the answer of %s", i.Name, id)
			return
		case <-time.After(i.giving / pieces):
		}
	}
	i.rig.Log("%s has given the answer of %s", i.Name, id)
}
