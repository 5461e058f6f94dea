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

// behind is a stand-in that notes the words it is sent, by path, and declines, fails or serves.
type behind struct {
	mu    sync.Mutex
	words map[string][]string
}

func (b *behind) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.words[r.URL.Path] = append(b.words[r.URL.Path], r.Header.Get("X-Chain"))
	b.mu.Unlock()
	switch r.URL.Path {
	case "/declined":
		w.Header().Set("X-Chain", "declined")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(503)
	case "/error":
		w.WriteHeader(500)
	}
}

func (b *behind) came(path string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.words[path]
}

// An operation's word goes on with each attempt; one that has come back, has no time left or cannot be read goes no further;
// what a service below has declined is the answer; repeats end with what the word allows.
func TestChain(t *testing.T) {
	b := &behind{words: map[string][]string{}}
	server := httptest.NewServer(b)
	defer server.Close()
	p := start(t, map[string]*service{"web": {address: server.Listener.Addr().String()}}, `pools:
  - name: web
    members: {file: web.yaml}
    classes: [{name: any, effect: safe, aim: 5s, deadline: 9s, worth: 3}]
    chain: {header: x-chain, service: a, hops: 3, repeats: 3}
    attempts: 9
    retries: {share: 1, burst: 50}
    origin: X-Customer
routes: [{path: /, pool: web}]
`)
	ask := func(path, word string) *http.Response {
		t.Helper()
		q, err := http.NewRequest("GET", "http://"+p.address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Customer", "7")
		if word != "" {
			q.Header.Set("X-Chain", word)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r
	}
	defer http.DefaultClient.CloseIdleConnections()
	for n := range 20 { // it earns repeats by sending
		if r := ask(fmt.Sprintf("/ok%d", n), ""); r.StatusCode != 200 || r.Header.Get("X-Chain") != "" {
			t.Fatalf("%+v", r)
		}
	}
	if w, err := chain.Parse(b.came("/ok0")[0]); err != nil || w.Retries != 1 || w.Utility != 3 || strings.Join(w.Via, ",") != "a" || w.TimeLeft <= 0 {
		t.Errorf("%+v %v", w, err)
	}
	for _, c := range []struct {
		path, word string
		status     int
		after      string
		declined   bool
		attempts   int
	}{
		{"/further", "left=5000;repeats=1;worth=2;token=x;via=b,c", 200, "", false, 1},
		{"/circle", "left=5000;repeats=1;worth=2;token=x;via=b,a", 508, "", true, 0},
		{"/far", "left=5000;repeats=1;worth=2;token=x;via=b,c,d", 508, "", true, 0},
		{"/late", "left=0;repeats=1;worth=2;token=x;via=b", 503, "", true, 0},
		{"/bad", "left=x", 400, "", false, 0},
		{"/declined", "", 503, "7", true, 1},
		{"/error", "", 503, "2", true, 3}, // two of three repeats stay here
		{"/error", "left=5000;repeats=0;worth=2;token=y;via=b", 503, "2", true, 4},
	} {
		r := ask(c.path, c.word)
		if got := b.came(c.path); r.StatusCode != c.status || r.Header.Get("Retry-After") != c.after || (r.Header.Get("X-Chain") == "declined") != c.declined ||
			len(got) != c.attempts {
			t.Errorf("%s %q: %d %v, %d attempts, want %+v", c.path, c.word, r.StatusCode, r.Header, len(got), c)
		}
	}
	if w, err := chain.Parse(b.came("/further")[0]); err != nil || w.Utility != 2 || strings.Join(w.Via, ",") != "b,c,a" {
		t.Errorf("%+v %v", w, err)
	}
}
