package directory

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"kitewood/balance"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
	"kitewood/internal/transport"
)

func TestMain(m *testing.M) {
	testkit.FixSeed()
	goleak.VerifyTestMain(m)
}

func entry(name string, state protocol.State) protocol.Endpoint {
	return protocol.Endpoint{Name: name, Address: "10.0.0.1:1", State: state, Weight: 1, SinceMS: 5}
}

// Whoever comes back with a version gets to the same list by what he is told, whether or not the version is known; versions
// only grow, also where the clock falls back, and over a restart with a later clock.
func TestHistoryLeadsToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory(rapid.Uint64().Draw(t, "tag"))
		now, last := int64(1e12), int64(0)
		type copied struct {
			index int64
			list  map[string]protocol.State
		}
		clone := func() map[string]protocol.State {
			out := map[string]protocol.State{}
			for name, d := range h.members {
				out[name] = d.State
			}
			return out
		}
		copies := []copied{{0, nil}, {12345, map[string]protocol.State{"stray": protocol.Ready}}}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now += rapid.Int64Range(-5, 5).Draw(t, "clock")
			var changed []protocol.Endpoint
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				changed = append(changed, entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
					rapid.SampledFrom([]protocol.State{protocol.Ready, protocol.Draining, protocol.Gone}).Draw(t, "state")))
			}
			if err := h.Publish(now, changed); err != nil {
				t.Fatal(err)
			}
			if h.Index() <= last || h.Index() >= 1<<53 {
				t.Fatalf("version %d after %d", h.Index(), last)
			}
			last = h.Index()
			copies = append(copies, copied{last, clone()})
		}
		want := fmt.Sprint(clone())
		for _, c := range copies {
			lines, err := h.Since(c.index)
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range lines {
				list, err := protocol.ReadEndpointList(line)
				if err != nil {
					t.Fatal(err)
				}
				if list.Snapshot || c.list == nil {
					c.list = map[string]protocol.State{}
				}
				for _, d := range list.Endpoints {
					if c.list[d.Name] = d.State; d.State == protocol.Gone {
						delete(c.list, d.Name)
					}
				}
				c.index = list.Index
			}
			if fmt.Sprint(c.list) != want || c.index != last {
				t.Fatalf("%v at %d, want %v at %d", c.list, c.index, want, last)
			}
		}
	})
	h := NewHistory(7)
	h.Publish(1000, nil)
	for i := range kept + 5 {
		h.Publish(1000+int64(i), []protocol.Endpoint{entry(fmt.Sprint(i), protocol.Ready)})
	}
	if lines, _ := h.Since(1000<<tagBits | 7); len(lines) != 1 {
		t.Errorf("%d lines after more than are kept", len(lines))
	}
	if lines, _ := h.Since(h.first); len(lines) != kept {
		t.Errorf("%d lines from the first that is kept", len(lines))
	}
}

func serve(t *testing.T) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(1, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		<-done
		testkit.WaitUntil(t, "connections end", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == 0 })
	})
	return s, ln.Addr().String()
}

// What is not the protocol's gets an answer that says so, and a connection may ask again.
func TestCalls(t *testing.T) {
	s, at := serve(t)
	ask := func(text string) string {
		t.Helper()
		conn, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Minute))
		fmt.Fprint(conn, text)
		out, _ := io.ReadAll(conn)
		return string(out)
	}
	get := func(target string) string {
		return ask("GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	}
	if out := get(path); !strings.HasPrefix(out, "HTTP/1.1 503 ") || !strings.Contains(out, "Retry-After: 1\r\n") {
		t.Errorf("before a list is known: %q", out)
	}
	s.Publish(time.Now(), []protocol.Endpoint{entry("a", protocol.Ready)})
	for _, c := range []struct{ text, want string }{
		{"GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 404 "},
		{"POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405 "},
		{"GET " + path + "?since=x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 400 "},
		{"\x16\x03\x01 noise\r\n\r\n", "HTTP/1.1 400 "},
		{"GET " + path + "?since=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", `"name":"a"`},
		{"GET " + path + "?since=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 404 "},
	} {
		if out := ask(c.text); !strings.Contains(out, c.want) {
			t.Errorf("%q: %q", c.text, out)
		}
	}
}

// list is a Loop's part for a watch that is looked at.
type list struct {
	mu    sync.Mutex
	state map[string]balance.State
	whole int
	lost  int
}

func (l *list) UpdateEndpoints(kind balance.ListKind, _ int64, members []routing.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == balance.Full {
		l.whole++
		l.state = map[string]balance.State{}
	}
	for _, m := range members {
		l.state[m.Name] = m.State
	}
}

func (l *list) SourceLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost++
}

func (l *list) is(name string, state balance.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state[name] == state
}

// The sidecar's own watch follows the server, and goes on from its version after a break; one that reads nothing holds it up not.
func TestSidecarsWatchFollows(t *testing.T) {
	s, at := serve(t)
	all := []protocol.Endpoint{entry("x", protocol.Ready)}
	for i := range 2000 {
		all = append(all, entry(fmt.Sprintf("filler-%04d-%s", i, strings.Repeat("f", 200)), protocol.Ready))
	}
	s.Publish(time.Now(), all)
	slow, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	fmt.Fprintf(slow, "GET %s?follow=1 HTTP/1.1\r\nHost: x\r\n\r\n", path)
	bufio.NewReaderSize(slow, 16).ReadString('\n')
	ctx, cancel := context.WithCancel(context.Background())
	l := &list{}
	d := transport.NewDiscoveryClient(ctx, at, l, slog.New(slog.DiscardHandler))
	d.Watch(0)
	testkit.WaitUntil(t, "the list", func() bool { return l.is("x", balance.Ready) })
	for i := range 50 {
		state, told := protocol.Draining, balance.Draining
		if i%2 > 0 {
			state, told = protocol.Ready, balance.Ready
		}
		s.Publish(time.Now(), []protocol.Endpoint{entry("x", state)})
		testkit.WaitUntil(t, "the change", func() bool { return l.is("x", told) })
	}
	if l.whole != 1 || s.Watches() != 2 {
		t.Errorf("%d whole lists, %d watches", l.whole, s.Watches())
	}
	cancel()
	testkit.WaitUntil(t, "the watch ends", func() bool { return s.Watches() == 1 })
}
