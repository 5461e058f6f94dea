package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/subscription"
	"kitewood/internal/testkit"
)

// chunkedHead is the start of a watch response with these lines; the response does not end.
func chunkedHead(lines ...string) string {
	text := strings.Join(lines, "\n") + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// Whatever response discovery sends, a client's request meanwhile gets its response, and a discovery that ends its watches
// is called again until a watch stays open.
func TestDiscoveryMisbehaves(t *testing.T) {
	t.Parallel()
	endpoint := startTestServer(t, serveOK)
	entry := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1}`, name, endpoint, status)
	}
	list := func(index int, snapshot bool, entries ...string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
	}
	var manyEntries []string
	for i := range 4000 {
		manyEntries = append(manyEntries, entry(fmt.Sprint("s", i), "Ready"))
	}
	valid := chunkedHead(list(9, true, entry("s", "Ready")))
	for _, c := range []struct {
		name   string
		answer string
		closes bool   // discovery closes the connection after it, and is called again
		want   string // status of the client's request
	}{
		{"accepts and sends nothing", "", false, "200"},
		{"answers 503", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true, "200"},
		{"ends before its head", "HTTP/1.1 2", true, "200"},
		{"ends in the middle of a line", strings.TrimSuffix(valid, "]}\n\r\n"), true, "200"},
		{"sends an unknown state", chunkedHead(list(2, true, entry("s", "Asleep"))), true, "200"},
		{"sends no JSON", chunkedHead("<html>"), true, "200"},
		{"goes back in its versions", chunkedHead(list(8, true, entry("s", "Ready")), list(3, false, entry("s", "Ready"))), false, "200"},
		{"lists thousands of endpoints", chunkedHead(list(2, true, manyEntries...)), false, "200"},
		{"lists no endpoint", chunkedHead(list(2, true)), false, "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			called, established := make(chan bool, 99), make(chan bool, 99)
			var calls atomic.Int32
			discovery := startTestServer(t, func(conn net.Conn) {
				defer conn.Close()
				readRequest(conn)
				misbehave := calls.Add(1) <= 2
				if !misbehave {
					io.WriteString(conn, valid)
					established <- true
					io.Copy(io.Discard, conn)
					return
				}
				io.WriteString(conn, c.answer)
				called <- true
				if !c.closes {
					io.Copy(io.Discard, conn)
				}
			})
			set := testSettings()
			set.PollDiscovery, set.Rules.DiscoveryInterval = true, 640*time.Millisecond
			_, ln, start := prepareSidecar(t, 4, endpoint, set, discovery)
			start()
			<-called
			time.Sleep(20 * time.Millisecond) // its response has been handled, or the watch has ended
			conn, r := dial(t, ln)
			io.WriteString(conn, payRequest("a"))
			if status, _ := readResponse(t, r); !strings.Contains(status, c.want) {
				t.Errorf("request: got response %q, want %s", status, c.want)
			}
			if !c.closes {
				return
			}
			select {
			case <-established:
			case <-time.After(20 * time.Second):
				t.Fatal("discovery was not called again")
			}
		})
	}
}

// listLine is an endpoint list with one endpoint.
func listLine(index int, name, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":"127.0.0.1:1","zone":"z","type":"k","status":%q,"weight":1}]}`,
		index, name, status)
}

// startWatching runs a Loop that watches discovery, with settings under which package balance calls as seldom as possible. It
// returns the Loop and its DiscoveryClient.
func startWatching(t *testing.T, address string, poll bool) (*routing.Loop, *DiscoveryClient) {
	t.Helper()
	set := testSettings()
	set.PollDiscovery, set.Rules.DiscoveryInterval = poll, 100*time.Second
	loop, err := routing.New(set, routing.Names{}, routing.NewClock(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := NewDiscoveryClient(ctx, address, loop, discardLog)
	d.Pushed = !poll
	go loop.Run(ctx, newTestPool(routing.NewClock()), d)
	loop.UpdateEndpoints(balance.Cached, 1, nil)
	if d.Pushed {
		d.Watch(1)
	}
	return loop, d
}

// hasEndpoint reports whether the Loop has exactly one endpoint, with this name.
func hasEndpoint(l *routing.Loop, name string) bool {
	v, ok := l.View(time.Second)
	return ok && len(v.Endpoints) == 1 && v.Endpoints[0].Name == name
}

// Whatever the previous calls met, a change arrives within 6 s after discovery has it and can be reached: from then on it
// counts as delivered. The settings allow 100 s between the calls of package balance.
func TestChangeArrivesWithinSixSeconds(t *testing.T) {
	valid := chunkedHead(listLine(9, "new", "Ready"))
	idle := func(c net.Conn) { io.Copy(io.Discard, c) }
	for name, failCall := range map[string]func(c net.Conn){
		"503 response":       func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n") },
		"reset":              func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		"truncated head":     func(c net.Conn) { io.WriteString(c, "HTTP/1.1 20") },
		"no response":        idle,
		"silent after head":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); idle(c) },
		"silent within list": func(c net.Conn) { io.WriteString(c, valid[:len(valid)-9]); idle(c) },
		"silent after list":  func(c net.Conn) { io.WriteString(c, chunkedHead(listLine(2, "old", "Ready"))); idle(c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var available atomic.Bool
			calls := make(chan bool, 999)
			at := startTestServer(t, func(c net.Conn) {
				defer c.Close()
				readRequest(c)
				if calls <- true; !available.Load() {
					failCall(c)
					return
				}
				io.WriteString(c, valid)
				idle(c)
			})
			loop, _ := startWatching(t, at, true)
			for range 3 { // the backoff of package balance has reached its maximum
				<-calls
			}
			available.Store(true) // just after a call has started, which fails still
			from := time.Now()
			testkit.WaitUntil(t, "the change has arrived", func() bool { return hasEndpoint(loop, "new") })
			if elapsed := time.Since(from); elapsed > 6*time.Second {
				t.Errorf("the change arrived after %v, want at most 6 s", elapsed)
			}
		})
	}
	t.Run("no connection", func(t *testing.T) {
		t.Parallel()
		at, accept, accepted := startSlowAcceptServer(t)
		_, _ = startWatching(t, at, true)
		time.Sleep(2 * time.Second)
		accept()
		select {
		case <-accepted:
		case <-time.After(4 * time.Second):
			t.Error("no call within 4 s after connections can be established")
		}
	})
}

// Discovery may end an open watch instead of delivering a change: the next call follows at once, as calls may be queued for
// long. After a watch that ends right away the client backs off, or it would call in a busy loop.
func TestCallAfterWatchEnded(t *testing.T) {
	for lifetime, want := range map[time.Duration][2]time.Duration{1100 * time.Millisecond: {0, 200 * time.Millisecond},
		0: {250 * time.Millisecond, 2 * time.Second}} {
		t.Run(lifetime.String(), func(t *testing.T) {
			t.Parallel()
			calls := make(chan time.Time, 99)
			ended := make(chan time.Time, 99)
			at := startTestServer(t, func(c net.Conn) {
				defer c.Close()
				readRequest(c)
				if calls <- time.Now(); len(ended) < 1 {
					text := chunkedHead(listLine(2, "old", "Ready"))
					io.WriteString(c, text)
					time.Sleep(lifetime)
					ended <- time.Now()
					io.WriteString(c, "0\r\n\r\n")
					return
				}
				io.WriteString(c, chunkedHead(listLine(9, "new", "Ready")))
				io.Copy(io.Discard, c)
			})
			loop, _ := startWatching(t, at, true)
			<-calls
			next := <-calls
			if elapsed := next.Sub(<-ended); elapsed < want[0] || elapsed > want[1] {
				t.Errorf("next call %v after the end of the watch, want %v to %v", elapsed, want[0], want[1])
			}
			testkit.WaitUntil(t, "the change has arrived", func() bool { return hasEndpoint(loop, "new") })
		})
	}
}

// Pushed lists count as delivered at once: the client watches from the start without a request of package balance, and reopens
// an ended watch before its lease expires.
func TestPushedLists(t *testing.T) {
	end := make(chan bool)
	calls := 0
	at := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		readRequest(c)
		calls++
		io.WriteString(c, chunkedHead(listLine(calls, fmt.Sprint("s", calls), "Ready")))
		<-end
	})
	loop, _ := startWatching(t, at, false)
	for n := 1; n < 5; n++ {
		from := time.Now()
		testkit.WaitUntil(t, "the list has arrived", func() bool { return hasEndpoint(loop, fmt.Sprint("s", n)) })
		if elapsed := time.Since(from); elapsed > 450*time.Millisecond {
			t.Errorf("list %d arrived after %v, want at most 450 ms", n, elapsed)
		}
		end <- true
	}
	close(end)
}

// Lists that are indented over many lines, and arrive in several chunks, are accepted like lists on one line.
func TestIndentedLists(t *testing.T) {
	at := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i, name := range []string{"a", "b"} {
			var b bytes.Buffer
			json.Indent(&b, []byte(listLine(2+i, name, "Ready")), "", "  ")
			for _, piece := range strings.SplitAfter(b.String()+"\n\n", "\n") {
				if piece != "" {
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
		io.Copy(io.Discard, c)
	})
	loop, _ := startWatching(t, at, true)
	for _, name := range []string{"a", "b"} {
		testkit.WaitUntil(t, "the list has arrived", func() bool { return hasEndpoint(loop, name) })
	}
}

// receiverFuncs is an EndpointListReceiver that calls a function for each list and each loss of the source.
type receiverFuncs struct {
	onUpdate func(index int64)
	onLost   func()
}

func (r receiverFuncs) UpdateEndpoints(_ balance.ListKind, index int64, _ []routing.Member) {
	r.onUpdate(index)
}
func (r receiverFuncs) SourceLost() { r.onLost() }

// The address of discovery changes while a list from the old one is being delivered, and the first call to the new one fails.
// Whatever version package balance then asks from, the new discovery is asked for its whole list.
func TestSwitchAddressDuringUpdate(t *testing.T) {
	requests := make(chan string, 99)
	var ready atomic.Bool
	next := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		requests <- readRequest(c)
		if ready.Load() {
			io.WriteString(c, chunkedHead(listLine(3, "a", "Ready")))
			io.Copy(io.Discard, c)
		}
	})
	old := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, chunkedHead(listLine(77, "a", "Ready")))
		io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := NewDiscoveryClient(ctx, old, nil, discardLog)
	var once sync.Once
	d.Receiver = receiverFuncs{onUpdate: func(int64) {
		once.Do(func() {
			d.SwitchAddress(next)
		})
	}, onLost: func() { ready.Store(true); d.Watch(77) }} // as package balance does, from the last version that it has
	d.Watch(1)
	for range 2 {
		select {
		case text := <-requests:
			if !strings.Contains(text, "since=0 ") {
				t.Errorf("request to the new discovery %.60q, want since=0", text)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no call to the new discovery")
		}
	}
}

// A watch falls silent, for example when its network path fails in one direction, and delivers a buffered list while the next
// call is still queued at discovery: the list is accepted at once. When the next call is answered the old connection closes.
func TestSilentWatchIsStillRead(t *testing.T) {
	t.Parallel()
	const deliveredAt, answeredAt = 4 * time.Second, 5500 * time.Millisecond
	var calls atomic.Int32
	startedAt := time.Now()
	closed := make(chan time.Duration, 9)
	at := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		readRequest(c)
		if calls.Add(1) > 1 {
			time.Sleep(time.Until(startedAt.Add(answeredAt)))
			io.WriteString(c, chunkedHead(listLine(4, "last", "Ready")))
			io.Copy(io.Discard, c)
			return
		}
		io.WriteString(c, chunkedHead(listLine(2, "old", "Ready")))
		time.Sleep(time.Until(startedAt.Add(deliveredAt)))
		text := listLine(3, "new", "Ready") + "\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		io.Copy(io.Discard, c)
		closed <- time.Since(startedAt)
	})
	loop, _ := startWatching(t, at, true)
	testkit.WaitUntil(t, "the buffered list has arrived", func() bool { return hasEndpoint(loop, "new") })
	if elapsed := time.Since(startedAt); elapsed > deliveredAt+300*time.Millisecond {
		t.Errorf("the buffered list arrived %v after it was sent, want at most 300 ms", elapsed-deliveredAt)
	}
	testkit.WaitUntil(t, "the list of the next call has arrived", func() bool { return hasEndpoint(loop, "last") })
	select {
	case at := <-closed:
		if at < answeredAt-50*time.Millisecond {
			t.Errorf("the silent connection closed after %v, before the next call was answered", at)
		}
	case <-time.After(2 * time.Second):
		t.Error("the silent connection is still open 2 s after the next call was answered")
	}
}

// Several reloads in quick succession while a watch is open: the addresses in between are not called, and the old watch goes
// on delivering lists until the last address has delivered one.
func TestReloadsAreDebounced(t *testing.T) {
	t.Parallel()
	deliver := make(chan bool)
	old := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, chunkedHead(listLine(2, "old", "Ready")))
		<-deliver
		text := listLine(3, "new", "Ready") + "\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		io.Copy(io.Discard, c)
	})
	var skipped, last atomic.Int32
	loop, d := startWatching(t, old, true)
	testkit.WaitUntil(t, "the first list has arrived", func() bool { return hasEndpoint(loop, "old") })
	for range 4 {
		d.SwitchAddress(startTestServer(t, func(c net.Conn) { skipped.Add(1); io.Copy(io.Discard, c) }))
		time.Sleep(50 * time.Millisecond)
	}
	d.SwitchAddress(startTestServer(t, func(c net.Conn) { last.Add(1); readRequest(c); io.Copy(io.Discard, c) }))
	testkit.WaitUntil(t, "the last address is called", func() bool { return last.Load() > 0 })
	close(deliver)
	testkit.WaitUntil(t, "the old watch delivers another list", func() bool { return hasEndpoint(loop, "new") })
	if n := skipped.Load(); n > 0 {
		t.Errorf("%d calls to addresses that were replaced at once, want none", n)
	}
}

// Without an open watch each reload is followed by a call at once, and the calls of earlier reloads stay queued, but the number
// of connections to discovery is bounded.
func TestReloadsWithoutAWatch(t *testing.T) {
	t.Parallel()
	var open, maxOpen, called atomic.Int32
	silent := func(c net.Conn) {
		called.Add(1)
		maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		io.Copy(io.Discard, c)
		open.Add(-1)
	}
	_, d := startWatching(t, "127.0.0.1:1", true)
	const reloads = 6
	for range reloads {
		d.SwitchAddress(startTestServer(t, silent))
		time.Sleep(100 * time.Millisecond)
	}
	testkit.WaitUntil(t, "each address was called", func() bool { return called.Load() >= reloads })
	if n := maxOpen.Load(); n > subscription.MaxSubscriptions+1 { // one may be closing
		t.Errorf("too many concurrent connections: %d", n)
	}
	if n := open.Load(); n < subscription.MaxSubscriptions {
		t.Errorf("%d calls are pending, want %d", n, subscription.MaxSubscriptions)
	}
}

// A pool that takes over from another one starts with the true age of the list, however many pools follow one another and
// whatever calls fail meanwhile.
func TestTakeOverKeepsListAge(t *testing.T) {
	listTime := time.Now().Add(-time.Minute)
	d := &DiscoveryClient{Context: t.Context(), Log: discardLog, Clock: routing.NewClock(), address: "127.0.0.1:1", initialListTime: listTime}
	d.initLease()
	for range 9 {
		d.lease.RecordFailedCall()
		next := &DiscoveryClient{Context: t.Context(), Log: discardLog, Clock: routing.NewClock(), address: "127.0.0.1:1", initialListTime: time.Now()}
		next.TakeOver(d)
		next.initLease()
		d = next
	}
	if left := d.lease.ExpiresAt() - d.Clock.Now(); left > -40*time.Second {
		t.Errorf("a list confirmed a minute ago may be used for %v more", left)
	}
}

// A pool that takes over from another one at a reload which moves discovery requests the whole list, as the new discovery counts its
// own versions, and uses the old list no longer than after any such reload. Guards against the version of another discovery.
func TestTakeOverFromAnotherDiscovery(t *testing.T) {
	for name, c := range map[string]struct {
		address     string
		wantVersion int64
		wantLease   time.Duration
	}{
		"same address":  {"127.0.0.1:1", 41, 6 * time.Second},
		"other address": {"127.0.0.1:2", 0, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			old := NewDiscoveryClient(t.Context(), "127.0.0.1:1", nil, discardLog)
			old.initLease()
			old.listAddress = "127.0.0.1:1"
			next := NewDiscoveryClient(t.Context(), c.address, nil, discardLog)
			next.TakeOver(old)
			next.initLease()
			if left := next.lease.ExpiresAt() - next.Clock.Now(); left > c.wantLease || left < c.wantLease-time.Second {
				t.Errorf("the list may be used for %v more, want %v", left, c.wantLease)
			}
			if got := next.initialVersion(41); got != c.wantVersion {
				t.Errorf("changes since version %d are requested, want %d", got, c.wantVersion)
			}
		})
	}
}
