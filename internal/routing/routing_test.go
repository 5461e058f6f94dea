package routing

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/balance"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

var noLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// fakeNet is a Transport and a Discovery that records the calls it receives.
type fakeNet struct {
	sent       chan *Attempt
	done       chan func(Result)
	watches    chan int64
	closedIdle chan *Endpoint
}

func (f *fakeNet) Send(a *Attempt, done func(Result))   { f.done <- done; f.sent <- a }
func (f *fakeNet) Probe(_ *Endpoint, done func(Result)) { done(Result{Status: balance.OK}) }
func (f *fakeNet) CloseIdle(ep *Endpoint)               { f.closedIdle <- ep }
func (f *fakeNet) Watch(since int64)                    { f.watches <- since }

// start runs a Loop on a fakeNet, with one unsafe class and two endpoints.
func start(t testing.TB, lim balance.Limits) (*Loop, *fakeNet) { return startLogged(t, lim, noLog) }

// startLogged is start with a logger.
func startLogged(t testing.TB, limits balance.Limits, log *slog.Logger) (*Loop, *fakeNet) {
	class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 5 * time.Second, Utility: 1, Effect: balance.Unsafe}
	l, err := New(balance.Settings{Balancers: 1, Classes: []balance.Class{class}, Limits: limits, PollDiscovery: true,
		Rules: balance.Rules{DrainGrace: time.Second / 2, DiscoveryInterval: 80 * time.Millisecond}}, Names{}, NewClock(), log)
	if err != nil {
		t.Fatal(err)
	}
	network := &fakeNet{make(chan *Attempt, 99), make(chan func(Result), 99), make(chan int64, 99), make(chan *Endpoint, 99)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx, network, network)
	l.UpdateEndpoints(balance.Cached, 4, []Member{{Name: "b", Address: "b:1", State: balance.Ready}, {Name: "a", Address: "a:1",
		State: balance.Ready}})
	return l, network
}

// submit submits a request that has this long until its deadline.
func submit(l *Loop, timeout time.Duration) (*Request, chan Answer) {
	answers := make(chan Answer, 9)
	req := &Request{Deadline: l.Now() + timeout, Done: func(a Answer) { answers <- a }}
	l.Submit(req)
	return req, answers
}

// waitForEvents waits until the Loop has handled all events posted before.
func waitForEvents(l *Loop) {
	done := make(chan struct{})
	l.post(func() { close(done) })
	<-done
}

var limits = balance.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second}

// A request that did not run is retried at another endpoint, after its first attempt has ended. A request of an unsafe class that
// may have run is not retried.
func TestRetriesOnlyWhatNeverRan(t *testing.T) {
	notSent := &AttemptError{Connecting, errors.New("refused")}
	possiblyRan := &AttemptError{FullyWritten, errors.New("reset")}
	l, network := start(t, limits)
	_, answers := submit(l, time.Minute)
	first := <-network.sent
	(<-network.done)(Result{Err: notSent})
	second := <-network.sent
	if first.Endpoint == second.Endpoint || first.Context.Err() == nil {
		t.Error("second attempt went to the first attempt's endpoint, or the first attempt's context is not done")
	}
	(<-network.done)(Result{Err: possiblyRan})
	if a := <-answers; a.Verdict != Failed {
		t.Errorf("got verdict %d after a reset, want Failed", a.Verdict)
	}
	_, answers = submit(l, time.Minute)
	<-network.sent
	done := <-network.done
	done(Result{Status: balance.OK, Payload: 1})
	done(Result{Status: balance.OK, Payload: 2}) // the second result of an attempt is ignored
	if a := <-answers; a.Verdict != Served || a.Payload != 1 {
		t.Errorf("answered %+v", a)
	}
	waitForEvents(l)
	if len(network.sent) > 0 || len(answers) > 0 || l.PendingRequests() != 0 || len(l.requests) != 0 {
		t.Errorf("after the last answer: %d attempts, %d answers, %d pending requests, %d requests kept, want none",
			len(network.sent), len(answers), l.PendingRequests(), len(l.requests))
	}
}

// A request that the Balancer rejects is answered immediately, with its retry delay.
func TestRejectedWithRetryAfter(t *testing.T) {
	l, network := start(t, limits)
	_, answers := submit(l, time.Hour)
	for range limits.MaxAttempts {
		<-network.sent
		(<-network.done)(Result{Status: balance.Rejected})
	}
	if a := <-answers; a.Verdict != Rejected || a.RetryAfter != time.Second {
		t.Errorf("answered %+v", a)
	}
}

// An attempt that was decided before its endpoint began to drain must not be sent after that, nor one whose client has
// disconnected.
func TestStaleAttempt(t *testing.T) {
	l, network := start(t, limits)
	req, _ := submit(l, time.Minute)
	a := <-network.sent
	if a.Stale() {
		t.Error("new attempt is stale")
	}
	l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: a.Endpoint.Name, Address: a.Endpoint.Address, State: balance.Draining}})
	if ep := <-network.closedIdle; ep != a.Endpoint || !a.Stale() {
		t.Error("attempt to a draining endpoint is not stale")
	}
	(<-network.done)(Result{Err: &AttemptError{NotSent, errNotSent}})
	b := <-network.sent
	if b.Endpoint == a.Endpoint || b.Stale() {
		t.Error("draining endpoint was chosen again, or the new attempt is stale")
	}
	l.Abandon(req)
	<-b.Context.Done()
	if !b.Stale() {
		t.Error("attempt of an abandoned request is not stale")
	}
	(<-network.done)(Result{Err: &AttemptError{FullyWritten, context.Canceled}})
	waitForEvents(l)
	if l.PendingRequests() != 0 || len(l.requests) != 0 {
		t.Error("abandoned request is pending or kept")
	}
}

// Endpoints would treat two open requests with the same key as copies of one, so the second is answered as a duplicate. If the
// first one's client has disconnected, the second waits until the first one's attempt has ended. Then it is sent if that attempt
// never ran; if it may have run, a request that must not run twice is not sent, now or later. No state of either is kept but the key.
func TestDuplicateKeys(t *testing.T) {
	for name, c := range map[string]struct {
		first Result
		sent  bool
	}{
		"the first may have run": {Result{Err: &AttemptError{FullyWritten, context.Canceled}}, false},
		"the first never ran":    {Result{Err: &AttemptError{NotSent, context.Canceled}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, network := start(t, limits)
			clientGone := false
			submitKey := func() (*Request, chan Answer) {
				answers := make(chan Answer, 9)
				req := &Request{Deadline: l.Now() + time.Minute, Key: "k", ClientGone: func() bool { return clientGone },
					Done: func(a Answer) { answers <- a }}
				l.Submit(req)
				return req, answers
			}
			_, answers := submitKey()
			a := <-network.sent
			_, duplicate := submitKey()
			if a := <-duplicate; a.Verdict != Duplicate || len(answers) > 0 {
				t.Errorf("second request was answered %+v, want only a Duplicate", a)
			}
			l.post(func() { clientGone = true })
			retry, answers := submitKey()
			<-a.Context.Done()
			if waitForEvents(l); len(network.sent) > 0 {
				t.Fatal("two attempts are in flight")
			}
			(<-network.done)(c.first)
			if c.sent {
				if a := <-network.sent; a.Request != retry {
					t.Error("an attempt of another request was sent")
				}
				(<-network.done)(Result{Status: balance.OK})
				if a := <-answers; a.Verdict != Served {
					t.Errorf("answered %+v", a)
				}
			} else {
				if a := <-answers; a.Verdict != Failed || len(network.sent) > 0 {
					t.Errorf("answered %+v, %d attempts, want Failed and none", a, len(network.sent))
				}
				_, later := submitKey()
				if a := <-later; a.Verdict != Failed || len(network.sent) > 0 {
					t.Errorf("a later one was answered %+v, %d attempts, want Failed and none", a, len(network.sent))
				}
			}
			if waitForEvents(l); len(l.requestsByKey) != 0 || len(l.requests) != 0 || l.PendingRequests() != 0 {
				t.Errorf("after the last answer: %d keys, %d requests, %d pending requests, want none",
					len(l.requestsByKey), len(l.requests), l.PendingRequests())
			}
		})
	}
}

// A panic in an event ends only that event, and the request concerned is answered.
func TestPanicInEvent(t *testing.T) {
	l, network := start(t, limits)
	_, answers := submit(l, time.Minute)
	<-network.sent
	l.post(func() { l.balancer = nil })
	(<-network.done)(Result{Status: balance.Error})
	if a := <-answers; a.Verdict != Failed {
		t.Errorf("answered %+v", a)
	}
	waitForEvents(l)
}

// The watch starts at the version of the known list, and after it is lost, again at the version of the latest list.
func TestWatch(t *testing.T) {
	l, network := start(t, limits)
	if since := <-network.watches; since != 4 {
		t.Errorf("watch started at version %d, want 4", since)
	}
	l.UpdateEndpoints(balance.Full, 9, []Member{{Name: "a", Address: "a:1", State: balance.Ready}})
	l.SourceLost()
	if since := <-network.watches; since != 9 {
		t.Errorf("second watch started at version %d, want 9", since)
	}
	if ep := <-network.closedIdle; ep.Name != "b" || !ep.Closed() {
		t.Errorf("idle connections of endpoint %s were closed, want those of b, which the full list omits, and b closed", ep.Name)
	}
}

// Two names at one address are two processes, one after the other: once the second is listed, the first is gone, and the state
// kept per endpoint does not grow with the number of names.
func TestEndpointReplacedAtSameAddress(t *testing.T) {
	l, network := start(t, limits)
	for i := range 50 {
		l.UpdateEndpoints(balance.Delta, int64(5+i), []Member{{Name: fmt.Sprint("c", i), Address: "a:1", State: balance.Ready}})
		if waitForEvents(l); len(network.closedIdle) != 1 {
			t.Fatalf("%d endpoints were closed, want 1", len(network.closedIdle))
		}
		if ep := <-network.closedIdle; ep.Address != "a:1" || !ep.Closed() {
			t.Fatalf("endpoint %s at %s was closed, want the one at a:1", ep.Name, ep.Address)
		}
	}
	if waitForEvents(l); len(l.endpoints.byName) != 2 || len(l.endpoints.byID) != 2 {
		t.Errorf("%d names and %d IDs are kept, want 2", len(l.endpoints.byName), len(l.endpoints.byID))
	}
}

// Endpoint IDs are a hash of the name: independent of the order of names and unique.
func TestEndpointIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.String(), 1, 30, rapid.ID[string]).Draw(t, "names")
		p, q := newEndpointTable(), newEndpointTable()
		for i := range names {
			p.findOrAdd(names[i])
			q.findOrAdd(names[len(names)-1-i])
		}
		for _, n := range names {
			if p.findOrAdd(n).ID != q.findOrAdd(n).ID || p.byID[p.findOrAdd(n).ID].Name != n {
				t.Fatalf("%q has the IDs %d and %d", n, p.findOrAdd(n).ID, q.findOrAdd(n).ID)
			}
		}
	})
	p := newEndpointTable() // two names with the same hash
	if x, y := p.findOrAdd("costarring"), p.findOrAdd("liquid"); x.ID == y.ID || p.byID[x.ID] != x || p.byID[y.ID] != y {
		t.Error("endpoints with the same hash share an ID")
	}
}

// The clock returns Unix time, and At converts it back.
func TestClock(t *testing.T) {
	c := NewClock()
	if now := time.Duration(time.Now().UnixNano()); c.Now() > now+time.Minute || c.Now() < now-time.Minute {
		t.Errorf("Now returned %v, which is not the Unix time", c.Now())
	}
	if at := c.At(c.Now()); time.Until(at) > time.Minute || time.Since(at) > time.Minute {
		t.Errorf("At returned %v for the present time", at)
	}
}

// Attempts and answers are logged at debug level only.
func TestTraceOnlyAtDebugLevel(t *testing.T) {
	for level, want := range map[slog.Level]int{slog.LevelDebug: 1, slog.LevelInfo: 0} {
		var text bytes.Buffer
		l, network := start(t, balance.Limits{MaxAttempts: 4})
		l.post(func() { l.log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: level})) })
		waitForEvents(l)
		_, answers := submit(l, time.Second)
		a := <-network.sent
		a.ConnectionOpened()
		(<-network.done)(Result{Status: balance.OK})
		<-answers
		waitForEvents(l)
		for _, line := range []string{"msg=attempt", "msg=answer"} {
			if n := strings.Count(text.String(), line); n != want {
				t.Errorf("at %v: %d lines of %q, want %d:\n%s", level, n, line, want, &text)
			}
		}
		if want > 0 && !strings.Contains(text.String(), "status=ok") || strings.Contains(text.String(), "opened=false") {
			t.Errorf("trace lacks the attempt's status or connection:\n%s", &text)
		}
	}
}

// A Loop that is stuck in an event logs its stack once, and no request waits for it beyond its deadline.
func TestStuckLoop(t *testing.T) {
	var text bytes.Buffer // written by this goroutine only, which calls Stuck
	l, _ := startLogged(t, limits, slog.New(slog.NewTextHandler(&text, nil)))
	release, started := make(chan struct{}), make(chan struct{})
	l.post(func() { close(started); <-release })
	<-started
	if l.Stuck() {
		t.Error("Loop is stuck as soon as the event begins")
	}
	time.Sleep(stuckAfter + 50*time.Millisecond)
	if !l.Stuck() || !l.Stuck() || strings.Count(text.String(), "TestStuckLoop") != 1 {
		t.Errorf("Loop is not stuck, or did not log the stack of this test once: %s", text.String())
	}
	for range cap(l.events) {
		l.post(func() {})
	}
	late := &Request{Deadline: l.Now() + 50*time.Millisecond}
	if l.Submit(late) || l.PendingRequests() != 0 {
		t.Error("a request was accepted after its deadline, or is pending")
	}
	l.Abandon(late) // must not block
	close(release)
	if waitForEvents(l); l.Stuck() {
		t.Error("Loop is stuck after the event has ended")
	}
}

// A successor rejects a request whose key is open in a predecessor as a duplicate, and accepts it once that has been answered.
func TestSuccessorRejectsOpenKeys(t *testing.T) {
	previous, network := start(t, limits)
	next, nextNetwork := start(t, limits)
	next.TakeOver(previous)
	answers := make(chan Answer, 9)
	newRequest := func() *Request {
		return &Request{Key: "k", Deadline: previous.Now() + time.Minute, Done: func(a Answer) { answers <- a }}
	}
	previous.Submit(newRequest())
	<-network.sent
	third, thirdNetwork := start(t, limits)
	third.TakeOver(next)
	third.Submit(newRequest())
	if a := <-answers; a.Verdict != Duplicate || len(thirdNetwork.sent) > 0 || third.PendingRequests() != 0 {
		t.Errorf("second successor answered %+v, want only a Duplicate", a)
	}
	next.Submit(newRequest())
	if a := <-answers; a.Verdict != Duplicate || len(nextNetwork.sent) > 0 || next.PendingRequests() != 0 {
		t.Errorf("successor answered %+v with %d attempts and %d pending requests, want only a Duplicate", a, len(nextNetwork.sent),
			next.PendingRequests())
	}
	(<-network.done)(Result{Status: balance.OK})
	<-answers
	waitForEvents(previous)
	next.Submit(newRequest())
	<-nextNetwork.sent
	(<-nextNetwork.done)(Result{Status: balance.OK})
	if a := <-answers; a.Verdict != Served {
		t.Errorf("answered %+v after the predecessor's request had ended", a)
	}
}

// While a predecessor does not respond, a copy of a request may be running in it. Its successors answer a request with a key that
// may be open there as one that may have run, at once or by its deadline, and send it nowhere. One without a key is sent.
func TestKeyMayBeOpenInStuckPredecessor(t *testing.T) {
	previous, network := start(t, limits)
	next, nextNetwork := start(t, limits)
	next.TakeOver(previous)
	third, thirdNetwork := start(t, limits)
	third.TakeOver(next)
	submitKey := func(l *Loop, key string, timeout time.Duration) (bool, chan Answer) {
		answers := make(chan Answer, 9)
		return l.Submit(&Request{Key: key, Deadline: l.Now() + timeout, Done: func(a Answer) { answers <- a }}), answers
	}
	submitKey(previous, "k", time.Minute)
	<-network.sent
	release, started := make(chan struct{}), make(chan struct{})
	previous.post(func() { close(started); <-release })
	<-started
	expectFailed := func(state string, timeout time.Duration) {
		for name, l := range map[string]*Loop{"successor": next, "second successor": third} {
			accepted, answers := submitKey(l, "k", timeout)
			if !accepted {
				t.Errorf("%s, %s: not accepted, which states that the request did not run", state, name)
				continue
			}
			if a := <-answers; a.Verdict != Failed || l.PendingRequests() != 0 {
				t.Errorf("%s, %s: answered %+v with %d pending requests, want Failed", state, name, a, l.PendingRequests())
			}
		}
	}
	for range cap(previous.events) {
		previous.post(func() {})
	}
	expectFailed("queue full", 50*time.Millisecond)
	time.Sleep(stuckAfter + 50*time.Millisecond)
	expectFailed("stuck", time.Minute)
	if len(nextNetwork.sent)+len(thirdNetwork.sent) > 0 {
		t.Error("a copy of the request was sent")
	}
	if accepted, _ := submitKey(third, "", time.Minute); !accepted || (<-thirdNetwork.sent).Request.Key != "" {
		t.Error("a request without a key was not sent")
	}
	close(release)
	waitForEvents(previous)
	if accepted, answers := submitKey(third, "k", time.Minute); !accepted || (<-answers).Verdict != Duplicate {
		t.Error("once the predecessor responds, its open key is not a duplicate")
	}
}

// The guard checks the records of attempts: one that a faulty Transport begins although it is stale counts as a violation of the
// invariant concerned.
func TestGuardCountsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		between func(l *Loop, req *Request)
		want    string
	}{
		"in time": {func(*Loop, *Request) {}, ""},
		"after drain": {func(l *Loop, _ *Request) {
			l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}})
		}, "drain"},
		"client left": {func(l *Loop, req *Request) { l.Abandon(req) }, "client gone"},
		"old list":    {func(l *Loop, _ *Request) { l.SetLeaseExpiry(l.Now()) }, "stale list"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, network := start(t, balance.Limits{MaxAttempts: 1})
			req, _ := submit(l, 5*time.Second)
			a, done := <-network.sent, <-network.done
			c.between(l, req)
			waitForEvents(l)
			if c.want != "" {
				time.Sleep(600 * time.Millisecond)
			}
			if denied := a.Stale(); denied != (c.want != "") {
				t.Errorf("attempt may begin: %v", !denied)
			}
			a.Begin()
			done(Result{Status: balance.OK})
			waitForEvents(l)
			v := l.guard.Violations()
			if c.want == "" && len(v) > 0 || c.want != "" && (len(v) != 1 || v[c.want] != 1) {
				t.Errorf("counted the violations %v, want %q", v, c.want)
			}
		})
	}
}

// An endpoint that changes its address while it drains has drained since the first report: it is still sent nothing, and an attempt
// that a faulty Transport begins after the grace period of that report counts as a violation.
func TestAddressChangeWhileDraining(t *testing.T) {
	l, network := start(t, balance.Limits{MaxAttempts: 1})
	submit(l, 5*time.Second)
	a, done := <-network.sent, <-network.done
	name := a.Endpoint.Name
	list := func(index int64, address string, state balance.State) (closedAt time.Duration, closed bool) {
		l.UpdateEndpoints(balance.Delta, index, []Member{{Name: name, Address: address, State: state}})
		waitForEvents(l)
		return l.endpoints.byName[name].closedAt, l.endpoints.byName[name].Closed()
	}
	reported, _ := list(5, a.Endpoint.Address, balance.Draining)
	time.Sleep(300 * time.Millisecond)
	if closedAt, closed := list(6, "c:1", balance.Draining); !closed || closedAt != reported || a.Endpoint.closedAt != reported {
		t.Errorf("after the change of address: closed %v since %v at the new address and %v at the old one, want closed since %v",
			closed, closedAt, a.Endpoint.closedAt, reported)
	}
	time.Sleep(300 * time.Millisecond) // longer than the grace period since the report, but not since the change of address
	for range 20 {
		submit(l, 5*time.Second)
		if next := <-network.sent; next.Endpoint.Name == name || next.Endpoint.Address == "c:1" {
			t.Error("the draining endpoint was sent a request at its new address")
		}
		(<-network.done)(Result{Status: balance.OK})
	}
	a.Begin()
	done(Result{Status: balance.OK})
	waitForEvents(l)
	if v := l.guard.Violations(); len(v) != 1 || v["drain"] != 1 {
		t.Errorf("counted the violations %v, want one of drain", v)
	}
	if closedAt, closed := list(7, "d:1", balance.Ready); closed || closedAt != 0 {
		t.Errorf("ready at a third address: closed %v since %v, want accepting requests", closed, closedAt)
	}
	former := l.endpoints.byName[name]
	if closedAt, closed := list(8, "e:1", balance.Ready); closed || closedAt != 0 || !former.Closed() || former.closedAt == 0 {
		t.Errorf("change of address while ready: closed %v since %v at the new address, and %v since %v at the old one, "+
			"want only the old one closed", closed, closedAt, former.Closed(), former.closedAt)
	}
}

// The machine's wall clock can be an hour off when the process starts. An endpoint whose start is newly reported counts as started
// at about the time of the report, whatever its age by that clock; a start in the future counts as now.
func TestStartTimesWithWrongWallClock(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} {
		l, _ := start(t, balance.Limits{MaxAttempts: 1})
		listTime := l.Now() - off // on the clock of the lists
		reportStart := func(name string, startedAt time.Duration) time.Duration {
			l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: name, Address: name + ":1", State: balance.Ready, StartedAt: startedAt}})
			waitForEvents(l)
			return l.Now() - l.endpoints.byName[name].startedAt
		}
		l.SetLeaseExpiry(l.Now() + time.Hour) // renews the lease
		if age := reportStart("new", listTime-2*time.Second); age < 0 || age > maxStartReportLag+time.Second {
			t.Errorf("clock off by %v: an endpoint that started 2 s ago has the age %v", off, age)
		}
		first := l.endpoints.byName["new"].startedAt
		if reportStart("new", listTime-2*time.Second); l.endpoints.byName["new"].startedAt != first {
			t.Errorf("clock off by %v: the same start reported again changed the start time", off)
		}
		if reportStart("old", 0); l.endpoints.byName["old"].startedAt != 0 {
			t.Errorf("clock off by %v: an endpoint that started long ago counts as new", off)
		}
	}
}

// The wall clock is stepped while the process runs, and discovery's clock with it or not, or the machine's clock is an hour off
// from the start. An endpoint that has just started never counts as older than it is, beyond what its report may be late. One that
// started a while ago does not count as new because of a step by an hour.
func TestStartTimesAfterClockStep(t *testing.T) {
	const slack = time.Second
	for _, c := range []struct{ step, list time.Duration }{ // of this process's clock while it runs, of discovery's from the start on
		{0, 0}, {time.Hour, 0}, {-time.Hour, 0}, {time.Hour, time.Hour}, {-time.Hour, -time.Hour}, {5 * time.Second, 0},
		{-5 * time.Second, 0}, {5 * time.Second, 5 * time.Second}, {-5 * time.Second, -5 * time.Second}, {0, time.Hour}, {0, -time.Hour},
	} {
		l, _ := start(t, balance.Limits{MaxAttempts: 1})
		l.post(func() { l.wallClock = func() time.Duration { return l.Now() + c.step } })
		ageOf := func(name string, age time.Duration) time.Duration {
			l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: name, Address: name + ":1", State: balance.Ready, StartedAt: l.Now() + c.list - age}})
			waitForEvents(l)
			return l.Now() - l.endpoints.byName[name].startedAt
		}
		l.UpdateEndpoints(balance.Full, 5, nil)
		l.SetLeaseExpiry(l.Now() + time.Hour) // renews the lease
		if age := ageOf("new", time.Second); age < 0 || age > time.Second+slack {
			t.Errorf("step %v, discovery's clock %v off: an endpoint that started 1 s ago has the age %v", c.step, c.list, age)
		}
		if c.step == 0 && c.list != 0 { // nothing tells how old it is
			continue
		}
		if age := ageOf("older", 20*time.Second); age < 14*time.Second || age > 20*time.Second+slack {
			t.Errorf("step %v, discovery's clock %v off: an endpoint that started 20 s ago has the age %v", c.step, c.list, age)
		}
	}
}

// Each attempt of a request, the first, a retry or a hedge, is given at most the time that the client has left when it begins, however
// late its connection comes up.
func TestTimeLeftOfRetriesAndHedges(t *testing.T) {
	class := balance.Class{LatencyTarget: 2 * time.Second, Deadline: 3 * time.Second, Utility: 1, LateUtility: 0.5}
	l, err := New(balance.Settings{Balancers: 1, Classes: []balance.Class{class}, Limits: balance.Limits{MaxAttempts: 3, Hedging: true, Cancel: true,
		RetryShare: 1, RetryBurst: 8}, Rules: balance.Rules{DrainGrace: time.Second / 2}}, Names{}, NewClock(), noLog)
	if err != nil {
		t.Fatal(err)
	}
	network := &fakeNet{make(chan *Attempt, 99), make(chan func(Result), 99), make(chan int64, 99), make(chan *Endpoint, 99)}
	go l.Run(t.Context(), network, network)
	l.UpdateEndpoints(balance.Cached, 4, []Member{{Name: "b", Address: "b:1", State: balance.Ready}, {Name: "a", Address: "a:1", State: balance.Ready},
		{Name: "c", Address: "c:1", State: balance.Ready}})
	for range 40 { // answers teach the class's latency, after which a hedge follows
		_, answers := submit(l, 3*time.Second)
		<-network.sent
		time.Sleep(2 * time.Millisecond)
		(<-network.done)(Result{Status: balance.OK})
		<-answers
	}
	req, _ := submit(l, 3*time.Second)
	for i, kind := range []string{"first", "retry", "hedge"} {
		var a *Attempt
		select {
		case a = <-network.sent:
		case <-time.After(2 * time.Second):
			t.Fatalf("no %s attempt", kind)
		}
		time.Sleep(30 * time.Millisecond)
		now := l.Now()
		if left := a.Begin(); left > req.Deadline-now || left < req.Deadline-now-time.Second {
			t.Errorf("%s attempt: given %v, the client has %v left", kind, left, req.Deadline-now)
		}
		if done := <-network.done; i == 0 {
			done(Result{Err: &AttemptError{Connecting, errors.New("refused")}})
		}
	}
	if v := l.guard.Violations(); len(v) > 0 {
		t.Errorf("counted the violations %v, want none", v)
	}
}
