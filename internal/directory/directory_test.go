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

// newEndpoint returns an endpoint with the given name and state.
func newEndpoint(name string, state protocol.State) protocol.Endpoint {
	return protocol.Endpoint{Name: name, Address: "10.0.0.1:1", State: state, Weight: 1, SinceMS: 5}
}

// TestHistoryLeadsToCurrentList checks that the lines from any version, known or unknown, lead to the current list, and that
// versions only grow, even when the clock moves back.
func TestHistoryLeadsToCurrentList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory(rapid.Uint64().Draw(t, "tag"))
		now, last := int64(1e12), int64(0)
		type savedList struct {
			index int64
			list  map[string]protocol.State
		}
		clone := func() map[string]protocol.State {
			out := map[string]protocol.State{}
			for name, endpoint := range h.members {
				out[name] = endpoint.State
			}
			return out
		}
		saved := []savedList{{0, nil}, {12345, map[string]protocol.State{"stray": protocol.Ready}}}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now += rapid.Int64Range(-5, 5).Draw(t, "clock")
			var changed []protocol.Endpoint
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				changed = append(changed, newEndpoint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
					rapid.SampledFrom([]protocol.State{protocol.Ready, protocol.Draining, protocol.Gone}).Draw(t, "state")))
			}
			if err := h.Publish(now, changed); err != nil {
				t.Fatal(err)
			}
			if h.Index() <= last || h.Index() >= 1<<53 {
				t.Fatalf("version %d published after %d", h.Index(), last)
			}
			last = h.Index()
			saved = append(saved, savedList{last, clone()})
		}
		want := fmt.Sprint(clone())
		for _, c := range saved {
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
				for _, endpoint := range list.Endpoints {
					if c.list[endpoint.Name] = endpoint.State; endpoint.State == protocol.Gone {
						delete(c.list, endpoint.Name)
					}
				}
				c.index = list.Index
			}
			if fmt.Sprint(c.list) != want || c.index != last {
				t.Fatalf("list %v at version %d, want %v at version %d", c.list, c.index, want, last)
			}
		}
	})
	h := NewHistory(7)
	h.Publish(1000, nil)
	for i := range maxChanges + 5 {
		h.Publish(1000+int64(i), []protocol.Endpoint{newEndpoint(fmt.Sprint(i), protocol.Ready)})
	}
	if lines, _ := h.Since(1000<<tagBits | 7); len(lines) != 1 {
		t.Errorf("%d lines from a version before the oldest kept change, want a snapshot", len(lines))
	}
	if lines, _ := h.Since(h.firstIndex); len(lines) != maxChanges {
		t.Errorf("%d lines from the oldest version whose changes are kept, want all changes", len(lines))
	}
}

// startTestServer starts a server without a list and returns its address.
func startTestServer(t *testing.T) (*Server, string) {
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
		testkit.WaitUntil(t, "all connections are closed", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns == 0 })
	})
	return s, ln.Addr().String()
}

// TestRequests checks the replies to invalid requests, and that a connection may carry several requests.
func TestRequests(t *testing.T) {
	s, address := startTestServer(t)
	send := func(text string) string {
		t.Helper()
		conn, err := net.Dial("tcp", address)
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
		return send("GET " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	}
	if out := get(listPath); !strings.HasPrefix(out, "HTTP/1.1 503 ") || !strings.Contains(out, "Retry-After: 1\r\n") {
		t.Errorf("reply before the first publication: %q", out)
	}
	s.Publish(time.Now(), []protocol.Endpoint{newEndpoint("a", protocol.Ready)})
	for _, c := range []struct{ text, want string }{
		{"GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 404 "},
		{"POST " + listPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405 "},
		{"GET " + listPath + "?since=x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 400 "},
		{"\x16\x03\x01 noise\r\n\r\n", "HTTP/1.1 400 "},
		{"GET " + listPath + "?since=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", `"name":"a"`},
		{"GET " + listPath + "?since=1 HTTP/1.1\r\nHost: x\r\n\r\nGET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "HTTP/1.1 404 "},
	} {
		if out := send(c.text); !strings.Contains(out, c.want) {
			t.Errorf("reply to %q: %q", c.text, out)
		}
	}
}

// testReceiver records the endpoint lists that a discovery client receives.
type testReceiver struct {
	mu        sync.Mutex
	state     map[string]balance.State
	snapshots int
	lost      int
}

func (r *testReceiver) UpdateEndpoints(kind balance.ListKind, _ int64, members []routing.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind == balance.Full {
		r.snapshots++
		r.state = map[string]balance.State{}
	}
	for _, m := range members {
		r.state[m.Name] = m.State
	}
}

func (r *testReceiver) SourceLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
}

func (r *testReceiver) hasState(name string, state balance.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state[name] == state
}

// TestSidecarWatchFollowsServer checks that the sidecar's discovery client receives each change after one snapshot, and that a
// watch that does not read does not delay it.
func TestSidecarWatchFollowsServer(t *testing.T) {
	s, address := startTestServer(t)
	endpoints := []protocol.Endpoint{newEndpoint("x", protocol.Ready)}
	for i := range 2000 {
		endpoints = append(endpoints, newEndpoint(fmt.Sprintf("filler-%04d-%s", i, strings.Repeat("f", 200)), protocol.Ready))
	}
	s.Publish(time.Now(), endpoints)
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	fmt.Fprintf(slow, "GET %s?follow=1 HTTP/1.1\r\nHost: x\r\n\r\n", listPath)
	bufio.NewReaderSize(slow, 16).ReadString('\n')
	ctx, cancel := context.WithCancel(context.Background())
	r := &testReceiver{}
	client := transport.NewDiscoveryClient(ctx, address, r, slog.New(slog.DiscardHandler))
	client.Watch(0)
	testkit.WaitUntil(t, "the first list is received", func() bool { return r.hasState("x", balance.Ready) })
	for i := range 50 {
		state, want := protocol.Draining, balance.Draining
		if i%2 > 0 {
			state, want = protocol.Ready, balance.Ready
		}
		s.Publish(time.Now(), []protocol.Endpoint{newEndpoint("x", state)})
		testkit.WaitUntil(t, "the change is received", func() bool { return r.hasState("x", want) })
	}
	if r.snapshots != 1 || s.Watches() != 2 {
		t.Errorf("%d snapshots and %d watches, want 1 and 2", r.snapshots, s.Watches())
	}
	cancel()
	testkit.WaitUntil(t, "the watch ends", func() bool { return s.Watches() == 1 })
}
