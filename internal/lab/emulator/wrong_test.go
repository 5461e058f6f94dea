package emulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// wrongMode makes the test program a sidecar that breaks one rule on purpose.
const wrongMode = "KITEWOOD_LAB_WRONG"

func TestMain(m *testing.M) {
	if mode := os.Getenv(wrongMode); mode != "" && len(os.Args) > 1 && os.Args[1] == "serve" {
		if err := wrongProxy(mode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// wrong is a little proxy that spreads operations over a list as it was at the start, and is wrong in one way.
type wrong struct {
	mode    string
	mu      sync.Mutex
	list    []endpoint // as first known
	latest  []endpoint // as discovery told last
	client  http.Client
	counter atomic.Int64
}

func wrongProxy(mode string) error {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var c struct {
		Listen, Discovery string
		Known             poolList
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	w := &wrong{mode: mode, list: c.Known.Endpoints, latest: c.Known.Endpoints}
	w.client.Transport = &http.Transport{MaxIdleConnsPerHost: 100}
	go w.watch(c.Discovery)
	if mode == "crash" {
		time.AfterFunc(1200*time.Millisecond, func() { os.Exit(3) })
	}
	return (&http.Server{Addr: c.Listen, Handler: http.HandlerFunc(w.serve)}).ListenAndServe()
}

// watch learns of what starts; what drains stays on the list.
func (w *wrong) watch(discovery string) {
	r, err := http.Get("http://" + discovery + "/registry/instances?follow=1&since=1")
	if err != nil {
		return
	}
	for in := bufio.NewScanner(r.Body); in.Scan(); {
		var list poolList
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
func (w *wrong) try(r *http.Request, body []byte, n int64) (*http.Response, []byte) {
	w.mu.Lock()
	to := w.list[int(n)%len(w.list)]
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
	a, err := w.client.Do(q)
	if err != nil {
		return nil, nil
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a, text
}

func (w *wrong) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	n := w.counter.Add(1)
	now := n%7 == 3 // wrong now and then, as faults are
	if now {
		switch w.mode {
		case "never":
			<-r.Context().Done()
			return
		case "invents":
			fmt.Fprintf(out, "%s", body)
			return
		case "copies":
			go w.try(r, body, n+1)
			time.Sleep(5 * time.Millisecond)
		}
	}
	a, text := w.try(r, body, n)
	for k := n + 1; a != nil && a.StatusCode == 503 && k < n+4; k++ { // turned away: it never ran
		a, text = w.try(r, body, k)
	}
	if a == nil {
		out.WriteHeader(502)
		return
	}
	if now && w.mode == "twice" {
		a, text = w.try(r, body, n+1)
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
