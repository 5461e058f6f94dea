package services

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kitewood/scenarios"
)

// A service counts requests that arrive again, and requests with two attempts in flight at once. An attempt that was canceled before
// the next one arrived is not concurrent with it.
func TestServiceCountsRepeatedRequests(t *testing.T) {
	s, err := newService(Pool{Name: "a", Endpoints: 2, ResponseDelay: Duration(10 * overlapTolerance)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	send := func(endpoint int, id string, client *http.Client) {
		r, _ := http.NewRequest("GET", "http://"+s.addrs[endpoint]+"/x", nil)
		r.Header.Set("X-Correlation-Id", id)
		if response, err := client.Do(r); err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	want := func(retried, concurrent int) {
		t.Helper()
		if r, c := s.counts(); r != retried || c != concurrent {
			t.Errorf("%d requests arrived again, %d of them concurrently; want %d and %d", r, c, retried, concurrent)
		}
	}
	send(0, "1", http.DefaultClient)
	send(1, "2", http.DefaultClient)
	want(0, 0)
	send(1, "1", http.DefaultClient)
	want(1, 0)
	send(0, "3", &http.Client{Timeout: overlapTolerance, Transport: &http.Transport{}})
	send(1, "3", http.DefaultClient)
	want(2, 0)
	var both sync.WaitGroup
	for endpoint := range 2 {
		both.Go(func() { send(endpoint, "4", http.DefaultClient) })
	}
	both.Wait()
	want(3, 1)
	s.freeze(5 * overlapTolerance)
	start := time.Now()
	send(0, "5", http.DefaultClient)
	if took := time.Since(start); took < 15*overlapTolerance-time.Millisecond {
		t.Errorf("a frozen service answered after %s", took)
	}
}

// All scenarios that ship are valid, and an invalid one is rejected with the key of the invalid value.
func TestScenarios(t *testing.T) {
	for _, name := range scenarios.PoolNames() {
		file, text, err := scenarios.Find("pools/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if s, err := Read(file, text); err != nil || s.Name != name {
			t.Errorf("%s: %v", name, err)
		}
	}
	valid := "name: t\nduration: 5s\npools: [{name: a}]\ntroubles: [{kind: freeze, pool: a, at: 1s, for: 2s}]\n"
	for from, c := range map[string][2]string{
		"name: t\n":       {"", "name: is missing"},
		"5s":              {"5", "t.yaml:2:11: duration: a span"},
		"{name: a}":       {"{name: a}, {name: a}", "t.yaml:3:27: pools[1].name: a pool has a unique name"},
		"name: a}":        {"name: a, rate: -1}", "pools[0].rate: above 0"},
		"name: a}]":       {"name: a, effect: odd}]", "pools[0].effect: safe or unsafe"},
		"[{name: a}":      {"[{name: a, destinations: 99}", "pools[0].destinations: between 1 and 50"},
		"[{name: a}]":     {"[{name: a, guaranteed: 5, most: 2}]", "pools[0].most: at least the guaranteed 5"},
		"freeze":          {"frieze", `troubles[0].kind: freeze, errors, come-and-go or crowd, not "frieze"`},
		"pool: a":         {"pool: b", `troubles[0].pool: there is no pool "b"`},
		"for: 2s":         {"for: 9s", "troubles[0].at: a fault must have a duration"},
		"freeze, pool: a": {"crowd", "troubles[0].size: between 1 and 2000"},
	} {
		if _, err := Read("t.yaml", []byte(strings.Replace(valid, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("with %q: unexpected error %v", c[0], err)
		}
	}
}
