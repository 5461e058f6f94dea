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
	"kitewood/internal/testkit"
)

// chunked is the start of a watch with these lines, and no end.
func chunked(lines ...string) string {
	text := strings.Join(lines, "\n") + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
}

// Whatever discovery does, an operation that comes meanwhile has its answer, and a discovery that ends its watches is
// asked again until one stands.
func TestDiscoveryMisbehaves(t *testing.T) {
	t.Parallel()
	echoes := startTestServer(t, serveOK)
	entry := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1}`, name, echoes, status)
	}
	list := func(index int, whole bool, entries ...string) string {
		return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
	}
	var many []string
	for i := range 4000 {
		many = append(many, entry(fmt.Sprint("s", i), "Ready"))
	}
	good := chunked(list(9, true, entry("s", "Ready")))
	for _, c := range []struct {
		name   string
		answer string
		closes bool   // the connection ends behind it, and is opened again
		want   string // of an operation
	}{
		{"accepts and says nothing", "", false, "200"},
		{"answers 503", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true, "200"},
		{"ends before its head", "HTTP/1.1 2", true, "200"},
		{"ends in the middle of a line", strings.TrimSuffix(good, "]}\n\r\n"), true, "200"},
		{"names an unknown state", chunked(list(2, true, entry("s", "Asleep"))), true, "200"},
		{"sends no JSON", chunked("<html>"), true, "200"},
		{"goes back in its versions", chunked(list(8, true, entry("s", "Ready")), list(3, false, entry("s", "Ready"))), false, "200"},
		{"names thousands", chunked(list(2, true, many...)), false, "200"},
		{"names nobody", chunked(list(2, true)), false, "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			asked, stands := make(chan bool, 99), make(chan bool, 99)
			var calls atomic.Int32
			discovery := startTestServer(t, func(conn net.Conn) {
				defer conn.Close()
				readRequest(conn)
				first := calls.Add(1) <= 2
				if !first {
					io.WriteString(conn, good)
					stands <- true
					io.Copy(io.Discard, conn)
					return
				}
				io.WriteString(conn, c.answer)
				asked <- true
				if !c.closes {
					io.Copy(io.Discard, conn)
				}
			})
			set := testSettings()
			set.PollDiscovery, set.Rules.DiscoveryInterval = true, 640*time.Millisecond
			_, ln, run := prepareSidecar(t, 4, echoes, set, discovery)
			run()
			<-asked
			time.Sleep(20 * time.Millisecond) // what it said is taken, or the watch ends
			conn, r := dial(t, ln)
			io.WriteString(conn, payRequest("a"))
			if status, _ := readResponse(t, r); !strings.Contains(status, c.want) {
				t.Errorf("an operation was answered %q, want %s", status, c.want)
			}
			if !c.closes {
				return
			}
			select {
			case <-stands:
			case <-time.After(20 * time.Second):
				t.Fatal("discovery was not asked again")
			}
		})
	}
}

// line is an endpoint list that names one destination.
func line(index int, name, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":"127.0.0.1:1","zone":"z","type":"k","status":%q,"weight":1}]}`,
		index, name, status)
}

// follows runs a Loop that follows a discovery, whose settings let it ask as seldom as can be, and returns its Directory.
func follows(t *testing.T, discovery string, ask bool) (*routing.Loop, *DiscoveryClient) {
	t.Helper()
	set := testSettings()
	set.PollDiscovery, set.Rules.DiscoveryInterval = ask, 100*time.Second
	loop, err := routing.New(set, routing.Names{}, routing.NewClock(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := NewDiscoveryClient(ctx, discovery, loop, discardLog)
	d.Pushed = !ask
	go loop.Run(ctx, newTestPool(routing.NewClock()), d)
	loop.UpdateEndpoints(balance.Cached, 1, nil)
	if d.Pushed {
		d.Watch(1)
	}
	return loop, d
}

// knows tells whether a Loop has heard of a destination.
func knows(l *routing.Loop, name string) bool {
	v, ok := l.View(time.Second)
	return ok && len(v.Endpoints) == 1 && v.Endpoints[0].Name == name
}

// Whatever the calls before met, a change is there within 6 s of the moment at which discovery had it and could be reached:
// from then on it counts as told. The settings allow 100 s between calls.
func TestToldWithinSixSeconds(t *testing.T) {
	good := chunked(line(9, "new", "Ready"))
	hold := func(c net.Conn) { io.Copy(io.Discard, c) }
	for name, bad := range map[string]func(c net.Conn){
		"refused in words":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n") },
		"reset":               func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		"ended in its head":   func(c net.Conn) { io.WriteString(c, "HTTP/1.1 20") },
		"given up":            hold,
		"silent behind heads": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); hold(c) },
		"silent in a list":    func(c net.Conn) { io.WriteString(c, good[:len(good)-9]); hold(c) },
		"silent behind one":   func(c net.Conn) { io.WriteString(c, chunked(line(2, "old", "Ready"))); hold(c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reached atomic.Bool
			calls := make(chan bool, 999)
			at := startTestServer(t, func(c net.Conn) {
				defer c.Close()
				readRequest(c)
				if calls <- true; !reached.Load() {
					bad(c)
					return
				}
				io.WriteString(c, good)
				hold(c)
			})
			loop, _ := follows(t, at, true)
			for range 3 { // the module's back-off is at its longest
				<-calls
			}
			reached.Store(true) // right behind the start of a call, which it is too late for
			from := time.Now()
			testkit.WaitUntil(t, "the change is there", func() bool { return knows(loop, "new") })
			if took := time.Since(from); took > 6*time.Second {
				t.Errorf("the change was there after %v", took)
			}
		})
	}
	t.Run("never up", func(t *testing.T) {
		t.Parallel()
		at, let, came := startSlowAcceptServer(t)
		_, _ = follows(t, at, true)
		time.Sleep(2 * time.Second)
		let()
		select {
		case <-came:
		case <-time.After(4 * time.Second):
			t.Error("no call came within 4 s of the moment at which connections come up")
		}
	})
}

// Discovery ends a watch that stood instead of telling a change: the next call follows at once, as calls may wait long for
// their turn. One that it ends right away is followed by the back-off, or it would be called without an end.
func TestWatchEndedInsteadOfTelling(t *testing.T) {
	for lasts, want := range map[time.Duration][2]time.Duration{1100 * time.Millisecond: {0, 200 * time.Millisecond},
		0: {250 * time.Millisecond, 2 * time.Second}} {
		t.Run(lasts.String(), func(t *testing.T) {
			t.Parallel()
			calls := make(chan time.Time, 99)
			ended := make(chan time.Time, 99)
			at := startTestServer(t, func(c net.Conn) {
				defer c.Close()
				readRequest(c)
				if calls <- time.Now(); len(ended) < 1 {
					text := chunked(line(2, "old", "Ready"))
					io.WriteString(c, text)
					time.Sleep(lasts)
					ended <- time.Now()
					io.WriteString(c, "0\r\n\r\n")
					return
				}
				io.WriteString(c, chunked(line(9, "new", "Ready")))
				io.Copy(io.Discard, c)
			})
			loop, _ := follows(t, at, true)
			<-calls
			next := <-calls
			if took := next.Sub(<-ended); took < want[0] || took > want[1] {
				t.Errorf("the next call came %v after the end, want %v to %v", took, want[0], want[1])
			}
			testkit.WaitUntil(t, "the change is there", func() bool { return knows(loop, "new") })
		})
	}
}

// A list that is pushed counts as told at once: the sidecar watches by itself from the start, and opens a watch that has
// ended within the time that it may go on sending.
func TestPushed(t *testing.T) {
	ends := make(chan bool)
	calls := 0
	at := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		readRequest(c)
		calls++
		io.WriteString(c, chunked(line(calls, fmt.Sprint("s", calls), "Ready")))
		<-ends
	})
	loop, _ := follows(t, at, false)
	for n := 1; n < 5; n++ {
		from := time.Now()
		testkit.WaitUntil(t, "the list is there", func() bool { return knows(loop, fmt.Sprint("s", n)) })
		if took := time.Since(from); took > 450*time.Millisecond {
			t.Errorf("list %d was there after %v", n, took)
		}
		ends <- true
	}
	close(ends)
}

// Lists that come indented, over many lines and in pieces, are taken as those on one line.
func TestIndentedLists(t *testing.T) {
	at := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i, name := range []string{"a", "b"} {
			var b bytes.Buffer
			json.Indent(&b, []byte(line(2+i, name, "Ready")), "", "  ")
			for _, piece := range strings.SplitAfter(b.String()+"\n\n", "\n") {
				if piece != "" {
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
		io.Copy(io.Discard, c)
	})
	loop, _ := follows(t, at, true)
	for _, name := range []string{"a", "b"} {
		testkit.WaitUntil(t, "the list is there", func() bool { return knows(loop, name) })
	}
}

// told is a Lists that does something with each list, and each time the source is lost.
type told struct {
	pool func(index int64)
	lost func()
}

func (t told) UpdateEndpoints(_ balance.ListKind, index int64, _ []routing.Member) { t.pool(index) }
func (t told) SourceLost()                                                         { t.lost() }

// The discovery moves while a list of the old one is being told, and the new one fails for longer than the Directory tries
// by itself: whatever version the module then asks from, the new one is asked for its whole list.
func TestMoveWhileAListIsTold(t *testing.T) {
	asked := make(chan string, 99)
	var ready atomic.Bool
	next := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		asked <- readRequest(c)
		if ready.Load() {
			io.WriteString(c, chunked(line(3, "a", "Ready")))
			io.Copy(io.Discard, c)
		}
	})
	old := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, chunked(line(77, "a", "Ready")))
		io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := NewDiscoveryClient(ctx, old, nil, discardLog)
	var once sync.Once
	d.Loop = told{pool: func(int64) {
		once.Do(func() {
			d.SwitchAddress(next)
		})
	}, lost: func() { ready.Store(true); d.Watch(77) }} // as the module does, from the last version that it knows
	d.Watch(1)
	for range 2 {
		select {
		case text := <-asked:
			if !strings.Contains(text, "since=0 ") {
				t.Errorf("the new discovery is asked with %.60q", text)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the new discovery is not asked")
		}
	}
}

// A watch falls silent, as where its path is cut one way, and delivers what was held while the next call still waits for its
// turn: it is taken at once. When the next call is answered the old connection ends.
func TestSilentWatchIsReadOn(t *testing.T) {
	t.Parallel()
	const held, turn = 4 * time.Second, 5500 * time.Millisecond
	var calls atomic.Int32
	began := time.Now()
	ended := make(chan time.Duration, 9)
	at := startTestServer(t, func(c net.Conn) {
		defer c.Close()
		readRequest(c)
		if calls.Add(1) > 1 {
			time.Sleep(time.Until(began.Add(turn)))
			io.WriteString(c, chunked(line(4, "last", "Ready")))
			io.Copy(io.Discard, c)
			return
		}
		io.WriteString(c, chunked(line(2, "old", "Ready")))
		time.Sleep(time.Until(began.Add(held)))
		text := line(3, "new", "Ready") + "\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		io.Copy(io.Discard, c)
		ended <- time.Since(began)
	})
	loop, _ := follows(t, at, true)
	testkit.WaitUntil(t, "what was held is there", func() bool { return knows(loop, "new") })
	if took := time.Since(began); took > held+300*time.Millisecond {
		t.Errorf("what was held was there %v after it came", took-held)
	}
	testkit.WaitUntil(t, "the next call's list is there", func() bool { return knows(loop, "last") })
	select {
	case at := <-ended:
		if at < turn-50*time.Millisecond {
			t.Errorf("the silent connection ended after %v, before the next call's turn", at)
		}
	case <-time.After(2 * time.Second):
		t.Error("the silent connection stands on")
	}
}

// Reloads in a row: while a watch stands the addresses between are not called at all, and the old watch tells on until the
// last one has.
func TestReloadsInARowAreGathered(t *testing.T) {
	t.Parallel()
	tell := make(chan bool)
	old := startTestServer(t, func(c net.Conn) {
		readRequest(c)
		io.WriteString(c, chunked(line(2, "old", "Ready")))
		<-tell
		text := line(3, "new", "Ready") + "\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		io.Copy(io.Discard, c)
	})
	var between, last atomic.Int32
	loop, d := follows(t, old, true)
	testkit.WaitUntil(t, "the first list is there", func() bool { return knows(loop, "old") })
	for range 4 {
		d.SwitchAddress(startTestServer(t, func(c net.Conn) { between.Add(1); io.Copy(io.Discard, c) }))
		time.Sleep(50 * time.Millisecond)
	}
	d.SwitchAddress(startTestServer(t, func(c net.Conn) { last.Add(1); readRequest(c); io.Copy(io.Discard, c) }))
	testkit.WaitUntil(t, "the last one is asked", func() bool { return last.Load() > 0 })
	close(tell)
	testkit.WaitUntil(t, "the old watch tells on", func() bool { return knows(loop, "new") })
	if n := between.Load(); n > 0 {
		t.Errorf("discoveries that were named for a moment got %d calls", n)
	}
}

// Without a watch each reload is followed at once, and those that wait keep their place; but there are never more than a few
// connections to discovery.
func TestReloadsWithoutAWatch(t *testing.T) {
	t.Parallel()
	var open, most, called atomic.Int32
	silent := func(c net.Conn) {
		called.Add(1)
		most.Store(max(most.Load(), open.Add(1)))
		io.Copy(io.Discard, c)
		open.Add(-1)
	}
	_, d := follows(t, "127.0.0.1:1", true)
	const moves = 6
	for range moves {
		d.SwitchAddress(startTestServer(t, silent))
		time.Sleep(100 * time.Millisecond)
	}
	testkit.WaitUntil(t, "each was called", func() bool { return called.Load() >= moves })
	if n := most.Load(); n > mostSubscriptions+1 { // one may be ending
		t.Errorf("%d connections at a time", n)
	}
	if n := open.Load(); n < mostSubscriptions {
		t.Errorf("%d calls wait on, want %d", n, mostSubscriptions)
	}
}

// A pool that takes the place of another begins with the list's true age: an outage that its predecessor has only presumed is not
// presumed anew, however many pools follow one another.
func TestSuccessorPresumesNoOutageOnTopOfAnother(t *testing.T) {
	heard := time.Now().Add(-time.Minute)
	d := &DiscoveryClient{Context: t.Context(), Log: discardLog, Clock: routing.NewClock(), listAt: heard}
	d.add(0, "127.0.0.1:1")
	d.initLease()
	for range 9 {
		d.lease.RecordFailedCall(d.Clock.Now())
		next := &DiscoveryClient{Context: t.Context(), Log: discardLog, Clock: routing.NewClock(), listAt: time.Now()}
		next.add(0, "127.0.0.1:1")
		next.TakeOver(d)
		next.initLease()
		d = next
	}
	if left := d.lease.ExpiresAt() - d.Clock.Now(); left > -40*time.Second {
		t.Errorf("a list that was heard of a minute ago may be used for %v more", left)
	}
}
