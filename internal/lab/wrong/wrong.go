// Package wrong is a small sidecar that deliberately violates one rule, to show that each check of the lab can fail. It speaks the
// platform's protocol and does no load balancing.
package wrong

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kitewood/internal/lab/ledger"
)

// ModeVariable is the environment variable with the mode; a process that has it serves as a faulty sidecar.
const ModeVariable = "KITEWOOD_LAB_WRONG"

// ModeHonest is the mode without a defect.
const ModeHonest = "honest"

// RulesByMode maps each mode with a defect to the rule that it violates.
var RulesByMode = map[string]string{
	"twice":         ledger.RuleNoUnsafeRetry,
	"refuses":       ledger.RuleNoUnsafeRetry,
	"copies":        ledger.RuleNoConcurrentAttempts,
	"never":         ledger.RuleOneAnswer,
	"answers-twice": ledger.RuleOneAnswer,
	"invents":       ledger.RuleOneAnswer,
	"drained":       ledger.RuleDrain,
	"cold":          ledger.RuleSlowStart,
	"crash":         ledger.RuleNoCrash,
	"gone":          ledger.RuleClientGone,
	"more-time":     ledger.RuleTimeLeft,
	"own":           ledger.RuleOwnCheck,
}

// Modes returns the modes of RulesByMode, sorted.
func Modes() []string {
	var out []string
	for mode := range RulesByMode {
		out = append(out, mode)
	}
	slices.Sort(out)
	return out
}

// endpoint is an entry of an endpoint list.
type endpoint struct {
	Name, Address, Status string
}

// endpointList is an endpoint list, or the changes to one, in the encoding of discovery.
type endpointList struct {
	Endpoints []endpoint
}

// faultyProxy is a proxy that distributes requests round-robin over the initial endpoint list, with the defect of its mode.
type faultyProxy struct {
	mode     string
	mu       sync.Mutex
	initial  []endpoint // at the start
	latest   []endpoint // with endpoints that became ready since, latest first
	client   http.Client
	requests atomic.Int64
}

// Serve runs a sidecar of a mode with the configuration file that the environment names, until it fails.
func Serve(mode string) error {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var c struct {
		Listen, Discovery string
		Known             endpointList
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	p := &faultyProxy{mode: mode, initial: c.Known.Endpoints, latest: c.Known.Endpoints}
	p.client.Transport = &http.Transport{MaxIdleConnsPerHost: 100}
	go p.watch(c.Discovery)
	switch mode {
	case "crash":
		time.AfterFunc(1200*time.Millisecond, func() { os.Exit(3) })
	case "own":
		time.AfterFunc(time.Second, func() {
			fmt.Fprintln(os.Stderr, `level=ERROR msg="invariant violated" invariant=drain count=1 id=wrong`)
		})
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return (&http.Server{Handler: http.HandlerFunc(p.serve)}).Serve(ln)
}

// watch adds endpoints that become ready. Draining endpoints stay in the list.
func (p *faultyProxy) watch(discovery string) {
	r, err := http.Get("http://" + discovery + "/registry/instances?follow=1&since=1")
	if err != nil {
		return
	}
	for in := bufio.NewScanner(r.Body); in.Scan(); {
		var list endpointList
		if json.Unmarshal(in.Bytes(), &list) != nil {
			continue
		}
		p.mu.Lock()
		for _, e := range list.Endpoints {
			if e.Status == "Ready" {
				p.latest = append([]endpoint{e}, p.latest...)
			}
		}
		p.mu.Unlock()
	}
}

// forward sends a request to the n-th endpoint, modulo the length of the list, and returns the response; nil if there was none.
func (p *faultyProxy) forward(r *http.Request, body []byte, n int64) (*http.Response, []byte) {
	p.mu.Lock()
	to := p.initial[int(n)%len(p.initial)]
	if p.mode == "cold" {
		to = p.latest[0]
	}
	p.mu.Unlock()
	q, err := http.NewRequest(r.Method, "http://"+to.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, nil
	}
	for _, name := range []string{"X-Correlation-Id", "X-Time-Left-Ms", "X-Service-Class"} {
		q.Header.Set(name, r.Header.Get(name))
	}
	if left, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms")); err == nil && p.mode == "more-time" {
		q.Header.Set("X-Time-Left-Ms", strconv.Itoa(left+1000))
	}
	resp, err := p.client.Do(q)
	if err != nil {
		return nil, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp, text
}

// serve handles a client request.
func (p *faultyProxy) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	n := p.requests.Add(1)
	faulty := n%7 == 3 // the defect shows in some requests only, as real ones do
	if faulty {
		switch p.mode {
		case "never":
			<-r.Context().Done()
			return
		case "gone": // sends the request although the client has disconnected
			<-r.Context().Done()
			time.Sleep(400 * time.Millisecond)
			p.forward(r, body, n)
			return
		case "invents":
			fmt.Fprintf(out, "%s", body)
			return
		case "copies":
			go p.forward(r, body, n+1)
			time.Sleep(5 * time.Millisecond)
		}
	}
	resp, text := p.forward(r, body, n)
	for k := n + 1; resp != nil && resp.StatusCode == 503 && k < n+4; k++ { // rejected without being processed, so a retry is safe
		resp, text = p.forward(r, body, k)
	}
	if resp == nil {
		out.WriteHeader(502)
		return
	}
	if faulty && p.mode == "twice" {
		resp, text = p.forward(r, body, n+1)
	}
	if faulty && p.mode == "refuses" {
		out.WriteHeader(503)
		return
	}
	if faulty && p.mode == "answers-twice" {
		conn, buf, err := out.(http.Hijacker).Hijack()
		if err == nil {
			for range 2 {
				fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n%s", strconv.Itoa(len(text)), text)
				buf.Flush()
			}
			time.AfterFunc(time.Second, func() { conn.Close() })
		}
		return
	}
	out.WriteHeader(resp.StatusCode)
	out.Write(text)
}
