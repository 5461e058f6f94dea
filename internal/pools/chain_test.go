package pools

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"kitewood/internal/chain"
)

// downstreamStub is a service that records the chain headers it receives, by path, and declines, fails or serves requests.
type downstreamStub struct {
	mu           sync.Mutex
	chainHeaders map[string][]string
}

func (d *downstreamStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.chainHeaders[r.URL.Path] = append(d.chainHeaders[r.URL.Path], r.Header.Get("X-Chain"))
	d.mu.Unlock()
	switch r.URL.Path {
	case "/declined":
		w.Header().Set("X-Chain", "declined")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(503)
	case "/error":
		w.WriteHeader(500)
	}
}

func (d *downstreamStub) headersFor(path string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chainHeaders[path]
}

// Each attempt carries the request's chain header. A request that has looped, has no time left or has an unreadable header is
// not sent on, a response that a downstream service declined is passed up, and retries stop at the header's limit.
func TestChain(t *testing.T) {
	stub := &downstreamStub{chainHeaders: map[string][]string{}}
	server := httptest.NewServer(stub)
	defer server.Close()
	p := startProcess(t, map[string]*stubService{"web": {address: server.Listener.Addr().String()}}, `pools:
  - name: web
    members: {file: web.yaml}
    classes: [{name: any, effect: safe, aim: 5s, deadline: 9s, worth: 3}]
    chain: {header: x-chain, service: a, hops: 3, repeats: 3}
    attempts: 9
    retries: {share: 1, burst: 50}
    origin: X-Customer
routes: [{path: /, pool: web}]
`)
	get := func(path, header string) *http.Response {
		t.Helper()
		q, err := http.NewRequest("GET", "http://"+p.address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Customer", "7")
		if header != "" {
			q.Header.Set("X-Chain", header)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r
	}
	defer http.DefaultClient.CloseIdleConnections()
	for n := range 20 { // each first attempt adds to the retry budget
		if r := get(fmt.Sprintf("/ok%d", n), ""); r.StatusCode != 200 || r.Header.Get("X-Chain") != "" {
			t.Fatalf("response to a plain request: %+v", r)
		}
	}
	if h, err := chain.Parse(stub.headersFor("/ok0")[0]); err != nil || h.Retries != 1 || h.Utility != 3 || strings.Join(h.Via, ",") != "a" || h.TimeLeft <= 0 {
		t.Errorf("header of a new request: %+v, %v", h, err)
	}
	for _, c := range []struct {
		path, header string
		status       int
		retryAfter   string
		declined     bool
		attempts     int
	}{
		{"/further", "left=5000;repeats=1;worth=2;token=x;via=b,c", 200, "", false, 1},
		{"/circle", "left=5000;repeats=1;worth=2;token=x;via=b,a", 508, "", true, 0},
		{"/far", "left=5000;repeats=1;worth=2;token=x;via=b,c,d", 508, "", true, 0},
		{"/late", "left=0;repeats=1;worth=2;token=x;via=b", 503, "", true, 0},
		{"/bad", "left=x", 400, "", false, 0},
		{"/declined", "", 503, "7", true, 1},
		{"/error", "", 503, "2", true, 3}, // two of the three retries are made by this sidecar
		{"/error", "left=5000;repeats=0;worth=2;token=y;via=b", 503, "2", true, 4},
	} {
		r := get(c.path, c.header)
		if got := stub.headersFor(c.path); r.StatusCode != c.status || r.Header.Get("Retry-After") != c.retryAfter || (r.Header.Get("X-Chain") == "declined") != c.declined ||
			len(got) != c.attempts {
			t.Errorf("%s %q: %d %v, %d attempts, want %+v", c.path, c.header, r.StatusCode, r.Header, len(got), c)
		}
	}
	if h, err := chain.Parse(stub.headersFor("/further")[0]); err != nil || h.Utility != 2 || strings.Join(h.Via, ",") != "b,c,a" {
		t.Errorf("header of a forwarded request: %+v, %v", h, err)
	}
}
