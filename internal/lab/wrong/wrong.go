// Package wrong is a little sidecar that breaks one rule on purpose, so that it can be shown that each check of the lab can
// fail. It speaks the platform's protocol and knows nothing of balancing.
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

// Variable is the environment variable that names the mode to a process that is to be a wrong sidecar.
const ModeVariable = "KITEWOOD_LAB_WRONG"

// Honest is the mode without a fault.
const ModeHonest = "honest"

// Rules are the rules that the modes break, by mode.
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

// Modes are the names of Rules, sorted.
func Modes() []string {
	var out []string
	for mode := range RulesByMode {
		out = append(out, mode)
	}
	slices.Sort(out)
	return out
}

// endpoint is an entry of an endpoint list, and endpointList the list.
type endpoint struct {
	Name, Address, Status string
}

type endpointList struct {
	Endpoints []endpoint
}

// wrong is a little proxy that spreads operations over a list as it was at the start, and is wrong in one way.
type faultyProxy struct {
	mode     string
	mu       sync.Mutex
	initial  []endpoint // as first known
	latest   []endpoint // as discovery told last
	client   http.Client
	requests atomic.Int64
}

// Serve runs a sidecar of a mode by the configuration that the environment names, until it fails.
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
	w := &faultyProxy{mode: mode, initial: c.Known.Endpoints, latest: c.Known.Endpoints}
	w.client.Transport = &http.Transport{MaxIdleConnsPerHost: 100}
	go w.watch(c.Discovery)
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
	return (&http.Server{Handler: http.HandlerFunc(w.serve)}).Serve(ln)
}

// watch learns of what starts; what drains stays on the list.
func (w *faultyProxy) watch(discovery string) {
	r, err := http.Get("http://" + discovery + "/registry/instances?follow=1&since=1")
	if err != nil {
		return
	}
	for in := bufio.NewScanner(r.Body); in.Scan(); {
		var list endpointList
		if json.Unmarshal(in.Bytes(), &list) != nil {
			continue
		}
		w.mu.Lock()
		for _, e := range list.Endpoints {
			if e.Status == "Ready" {
				w.latest = append([]endpoint{e}, w.latest...)
			}
		}
		w.mu.Unlock()
	}
}

// try sends a request to the n-th destination and gives its answer; nil if there was none.
func (w *faultyProxy) forward(r *http.Request, body []byte, n int64) (*http.Response, []byte) {
	w.mu.Lock()
	to := w.initial[int(n)%len(w.initial)]
	if w.mode == "cold" {
		to = w.latest[0]
	}
	w.mu.Unlock()
	q, err := http.NewRequest(r.Method, "http://"+to.Address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, nil
	}
	for _, name := range []string{"X-Correlation-Id", "X-Time-Left-Ms", "X-Service-Class"} {
		q.Header.Set(name, r.Header.Get(name))
	}
	if left, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms")); err == nil && w.mode == "more-time" {
		q.Header.Set("X-Time-Left-Ms", strconv.Itoa(left+1000))
	}
	a, err := w.client.Do(q)
	if err != nil {
		return nil, nil
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a, text
}

func (w *faultyProxy) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	n := w.requests.Add(1)
	now := n%7 == 3 // wrong now and then, as faults are
	if now {
		switch w.mode {
		case "never":
			<-r.Context().Done()
			return
		case "gone": // it notices that its client has left, and sends the request all the same
			<-r.Context().Done()
			time.Sleep(400 * time.Millisecond)
			w.forward(r, body, n)
			return
		case "invents":
			fmt.Fprintf(out, "%s", body)
			return
		case "copies":
			go w.forward(r, body, n+1)
			time.Sleep(5 * time.Millisecond)
		}
	}
	a, text := w.forward(r, body, n)
	for k := n + 1; a != nil && a.StatusCode == 503 && k < n+4; k++ { // turned away: it never ran
		a, text = w.forward(r, body, k)
	}
	if a == nil {
		out.WriteHeader(502)
		return
	}
	if now && w.mode == "twice" {
		a, text = w.forward(r, body, n+1)
	}
	if now && w.mode == "refuses" {
		out.WriteHeader(503)
		return
	}
	if now && w.mode == "answers-twice" {
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
	out.WriteHeader(a.StatusCode)
	out.Write(text)
}
