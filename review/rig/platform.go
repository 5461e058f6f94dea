package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is a stand-in for one instance of the tier. It answers 200 with a body that names the request and itself.
type Instance struct {
	Name, Address string
	hung          atomic.Bool
	ledger        *Ledger
	site          *Site
	ln            net.Listener
	BodyBytes     int // length that its answers are filled up to
}

// Ledger notes which requests have arrived at instances.
type Ledger struct {
	Record *Record
	mu     sync.Mutex
	runs   map[string][]string // instances at which a request arrived, by its id
}

// NewLedger returns an empty ledger.
func NewLedger(r *Record) *Ledger { return &Ledger{Record: r, runs: map[string][]string{}} }

// Runs returns the instances at which a request arrived whole.
func (l *Ledger) Runs(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// StartInstances starts instances on loopback addresses.
func StartInstances(n int, site *Site, ledger *Ledger) []*Instance {
	var out []*Instance
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			Skip("instance: %v", err)
		}
		in := &Instance{Name: fmt.Sprintf("s-%02d", i), Address: ln.Addr().String(), ledger: ledger, site: site, ln: ln}
		go in.serve()
		out = append(out, in)
	}
	return out
}

// Hang has the instance stand still: what it has and what comes is not answered any more.
func (in *Instance) Hang(hung bool) { in.hung.Store(hung) }

func (in *Instance) serve() {
	for {
		conn, err := in.ln.Accept()
		if err != nil {
			return
		}
		go in.serveConn(conn)
	}
}

func (in *Instance) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id, class := req.Header.Get("X-Correlation-Id"), req.Header.Get("X-Service-Class")
		if id == "" {
			switch {
			case req.URL.Path == "/health/live" || req.URL.Path == "/stats":
				in.reply(conn, 200, in.site.ReportsInAnswers)
			default:
				in.reply(conn, 404, "")
			}
			continue
		}
		in.ledger.mu.Lock()
		in.ledger.runs[id] = append(in.ledger.runs[id], in.Name)
		in.ledger.mu.Unlock()
		in.ledger.Record.Line("run      id=%s instance=%s class=%s time_left_ms=%s body=%d", id, in.Name, class, req.Header.Get("X-Time-Left-Ms"), len(body))
		time.Sleep(in.work(class))
		for in.hung.Load() { // it stands still, and its connections stay open and silent
			time.Sleep(20 * time.Millisecond)
		}
		text := fmt.Sprintf("answer to %s from %s\n", id, in.Name)
		for len(text) < in.BodyBytes {
			text += "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n"
		}
		if in.reply(conn, 200, text) != nil {
			return
		}
	}
}

// work returns how long a request of a class takes.
func (in *Instance) work(class string) time.Duration {
	for _, c := range in.site.Classes {
		if c.Name == class {
			return time.Duration(c.WorkLowMS+rand.IntN(max(c.WorkHighMS-c.WorkLowMS, 1))) * time.Millisecond
		}
	}
	return 0
}

func (in *Instance) reply(conn net.Conn, status int, body string) error {
	load := ""
	if in.site.ReportsInAnswers != "" && in.site.ReportVia == "inline" {
		load = "X-Backend-Load: " + in.site.ReportsInAnswers + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), load, len(body), body)
	return err
}

// Discovery is a stand-in for discovery. Its list does not change.
type Discovery struct {
	Address   string
	instances []*Instance
	server    *http.Server
}

// StartDiscovery starts discovery with the given instances.
func StartDiscovery(instances []*Instance) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Skip("discovery: %v", err)
	}
	d := &Discovery{Address: ln.Addr().String(), instances: instances}
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go d.server.Serve(ln)
	return d
}

func (d *Discovery) list() Object {
	entries := []Object{}
	for _, in := range d.instances {
		entries = append(entries, Object{"name": in.Name, "address": in.Address, "zone": in.site.Zones[0], "type": "std", "group": 0, "status": "Ready", "weight": 1.0, "since_ms": 0})
	}
	return Object{"index": 41, "snapshot": true, "endpoints": entries}
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	text, _ := json.Marshal(d.list())
	if r.FormValue("follow") == "" {
		w.Write(text)
		return
	}
	if since, _ := strconv.Atoi(r.FormValue("since")); since == 41 {
		text, _ = json.Marshal(Object{"index": 41, "snapshot": false, "endpoints": []Object{}})
	}
	w.Write(append(text, '\n'))
	w.(http.Flusher).Flush()
	for {
		select {
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}
