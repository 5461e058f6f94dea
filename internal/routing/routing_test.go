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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// fake is a Carrier and a Directory that note what they are asked for.
type fake struct {
	carried chan *Attempt
	done    chan func(Result)
	watched chan int64
	closed  chan *Endpoint
}

func (f *fake) Send(a *Attempt, done func(Result))   { f.done <- done; f.carried <- a }
func (f *fake) Probe(_ *Endpoint, done func(Result)) { done(Result{Status: balance.OK}) }
func (f *fake) CloseIdle(d *Endpoint)                { f.closed <- d }
func (f *fake) Watch(since int64)                    { f.watched <- since }

// start runs a Loop over a fake, with one class that is unsafe, and two destinations.
func start(t testing.TB, limits balance.Limits) (*Loop, *fake) { return startLogged(t, limits, quiet) }

func startLogged(t testing.TB, limits balance.Limits, log *slog.Logger) (*Loop, *fake) {
	class := balance.Class{LatencyTarget: 5 * time.Second, Deadline: 5 * time.Second, Utility: 1, Effect: balance.Unsafe}
	l, err := New(balance.Settings{Balancers: 1, Classes: []balance.Class{class}, Limits: limits, PollDiscovery: true,
		Rules: balance.Rules{DrainGrace: time.Second / 2, DiscoveryInterval: 80 * time.Millisecond}}, Names{}, NewClock(), log)
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{make(chan *Attempt, 99), make(chan func(Result), 99), make(chan int64, 99), make(chan *Endpoint, 99)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx, f, f)
	l.UpdateEndpoints(balance.Cached, 4, []Member{{Name: "b", Address: "b:1", State: balance.Ready}, {Name: "a", Address: "a:1",
		State: balance.Ready}})
	return l, f
}

func submit(l *Loop, left time.Duration) (*Request, chan Answer) {
	answers := make(chan Answer, 9)
	op := &Request{Deadline: l.Now() + left, Done: func(a Answer) { answers <- a }}
	l.Submit(op)
	return op, answers
}

// sync waits until the Loop has handled all that was reported before.
func sync(l *Loop) {
	done := make(chan struct{})
	l.post(func() { close(done) })
	<-done
}

var limits = balance.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second}

// What never ran goes out again, elsewhere, and only when the first is over; what may have run does not.
func TestOutcomes(t *testing.T) {
	never := &AttemptError{Connecting, errors.New("refused")}
	maybe := &AttemptError{FullyWritten, errors.New("reset")}
	l, f := start(t, limits)
	_, answers := submit(l, time.Minute)
	first := <-f.carried
	(<-f.done)(Result{Err: never})
	second := <-f.carried
	if first.Endpoint == second.Endpoint || first.Context.Err() == nil {
		t.Error("the second attempt goes to the first's destination, or the first is not over")
	}
	(<-f.done)(Result{Err: maybe})
	if a := <-answers; a.Verdict != Failed {
		t.Errorf("answered %d after a reset", a.Verdict)
	}
	_, answers = submit(l, time.Minute)
	<-f.carried
	done := <-f.done
	done(Result{Status: balance.OK, Payload: 1})
	done(Result{Status: balance.OK, Payload: 2}) // a carrier that says it twice is not believed
	if a := <-answers; a.Verdict != Served || a.Payload != 1 {
		t.Errorf("answered %+v", a)
	}
	sync(l)
	if len(f.carried) > 0 || len(answers) > 0 || l.PendingRequests() != 0 || len(l.ops) != 0 {
		t.Errorf("left over: %d attempts, %d answers, %d owed, %d kept", len(f.carried), len(answers), l.PendingRequests(), len(l.ops))
	}
}

// What the module gives up is answered at once, with its advice when to come back.
func TestBusyAtOnce(t *testing.T) {
	l, f := start(t, limits)
	_, answers := submit(l, time.Hour)
	for range limits.MaxAttempts {
		<-f.carried
		(<-f.done)(Result{Status: balance.Rejected})
	}
	if a := <-answers; a.Verdict != Rejected || a.RetryAfter != time.Second {
		t.Errorf("answered %+v", a)
	}
}

// An attempt that was decided before the news of a drain must not start after it; nor one whose client has left.
func TestStale(t *testing.T) {
	l, f := start(t, limits)
	op, _ := submit(l, time.Minute)
	a := <-f.carried
	if a.Stale() {
		t.Error("a fresh attempt is stale")
	}
	l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: a.Endpoint.Name, Address: a.Endpoint.Address, State: balance.Draining}})
	if d := <-f.closed; d != a.Endpoint || !a.Stale() {
		t.Error("an attempt to a draining destination may start")
	}
	(<-f.done)(Result{Err: &AttemptError{NotSent, errNotSent}})
	b := <-f.carried
	if b.Endpoint == a.Endpoint || b.Stale() {
		t.Error("the draining destination was chosen again")
	}
	l.Abandon(op)
	<-b.Context.Done()
	if !b.Stale() {
		t.Error("an attempt for nobody may start")
	}
	(<-f.done)(Result{Err: &AttemptError{FullyWritten, context.Canceled}})
	sync(l)
	if l.PendingRequests() != 0 || len(l.ops) != 0 {
		t.Error("an operation that its client left is kept")
	}
}

// Two open operations with one key would be copies at a destination: the second reaches none. When the first's client
// has left, the second goes out as soon as the first's attempt is over, and nothing of either is kept.
func TestKeys(t *testing.T) {
	l, f := start(t, limits)
	left := false
	take := func() (*Request, chan Answer) {
		answers := make(chan Answer, 9)
		op := &Request{Deadline: l.Now() + time.Minute, Key: "k", ClientGone: func() bool { return left },
			Done: func(a Answer) { answers <- a }}
		l.Submit(op)
		return op, answers
	}
	_, answers := take()
	a := <-f.carried
	_, doubled := take()
	if a := <-doubled; a.Verdict != Duplicate || len(answers) > 0 {
		t.Errorf("the second was answered %+v", a)
	}
	l.post(func() { left = true })
	again, answers := take()
	<-a.Context.Done()
	if sync(l); len(f.carried) > 0 {
		t.Fatal("two attempts are out")
	}
	(<-f.done)(Result{Err: &AttemptError{FullyWritten, context.Canceled}})
	if a := <-f.carried; a.Request != again {
		t.Error("another operation went out")
	}
	(<-f.done)(Result{Status: balance.OK})
	if a := <-answers; a.Verdict != Served {
		t.Errorf("answered %+v", a)
	}
	if sync(l); len(l.keys) != 0 || len(l.ops) != 0 || l.PendingRequests() != 0 {
		t.Errorf("kept: %d keys, %d operations, %d owed", len(l.keys), len(l.ops), l.PendingRequests())
	}
}

// A panic in an event is the end of that event alone, and the operation that it met has its answer.
func TestPanic(t *testing.T) {
	l, f := start(t, limits)
	_, answers := submit(l, time.Minute)
	<-f.carried
	l.post(func() { l.balancer = nil })
	(<-f.done)(Result{Status: balance.Error})
	if a := <-answers; a.Verdict != Failed {
		t.Errorf("answered %+v", a)
	}
	sync(l)
}

// The watch opens from the list that is known, and again, from the last one told, after it is lost.
func TestWatch(t *testing.T) {
	l, f := start(t, limits)
	if since := <-f.watched; since != 4 {
		t.Errorf("watched from %d", since)
	}
	l.UpdateEndpoints(balance.Full, 9, []Member{{Name: "a", Address: "a:1", State: balance.Ready}})
	l.SourceLost()
	if since := <-f.watched; since != 9 {
		t.Errorf("watched again from %d", since)
	}
	if d := <-f.closed; d.Name != "b" || !d.Closed() {
		t.Errorf("%s is closed to, not the one that the whole list left out", d.Name)
	}
}

// Two names at one address are two processes, one after the other: once the second is told of, the first is gone, and
// nothing that is kept by destination grows with the number of names.
func TestAddressTakenOver(t *testing.T) {
	l, f := start(t, limits)
	for i := range 50 {
		l.UpdateEndpoints(balance.Delta, int64(5+i), []Member{{Name: fmt.Sprint("c", i), Address: "a:1", State: balance.Ready}})
		if sync(l); len(f.closed) != 1 {
			t.Fatalf("%d destinations are closed to", len(f.closed))
		}
		if d := <-f.closed; d.Address != "a:1" || !d.Closed() {
			t.Fatalf("%s at %s is closed to", d.Name, d.Address)
		}
	}
	if sync(l); len(l.pool.byName) != 2 || len(l.pool.byID) != 2 {
		t.Errorf("%d names and %d ids are kept", len(l.pool.byName), len(l.pool.byID))
	}
}

// Ids are a hash of the name: the same whatever order the names come in, and never shared.
func TestIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.String(), 1, 30, rapid.ID[string]).Draw(t, "names")
		p, q := newPool(), newPool()
		for i := range names {
			p.name(names[i])
			q.name(names[len(names)-1-i])
		}
		for _, n := range names {
			if p.name(n).ID != q.name(n).ID || p.byID[p.name(n).ID].Name != n {
				t.Fatalf("%q has the ids %d and %d", n, p.name(n).ID, q.name(n).ID)
			}
		}
	})
	p := newPool() // two names with one hash
	if x, y := p.name("costarring"), p.name("liquid"); x.ID == y.ID || p.byID[x.ID] != x || p.byID[y.ID] != y {
		t.Error("a collision shares an id")
	}
}

// The clock is Unix time and runs with time.
func TestClock(t *testing.T) {
	c := NewClock()
	if now := time.Duration(time.Now().UnixNano()); c.Now() > now+time.Minute || c.Now() < now-time.Minute {
		t.Errorf("%v is not Unix time", c.Now())
	}
	if at := c.At(c.Now()); time.Until(at) > time.Minute || time.Since(at) > time.Minute {
		t.Errorf("%v is not now", at)
	}
}

func TestTraceOnlyAtDebugLevel(t *testing.T) {
	for level, want := range map[slog.Level]int{slog.LevelDebug: 1, slog.LevelInfo: 0} {
		var text bytes.Buffer
		l, f := start(t, balance.Limits{MaxAttempts: 4})
		l.post(func() { l.log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: level})) })
		sync(l)
		_, answers := submit(l, time.Second)
		a := <-f.carried
		a.ConnectionOpened()
		(<-f.done)(Result{Status: balance.OK})
		<-answers
		sync(l)
		for _, line := range []string{"msg=attempt", "msg=answer"} {
			if n := strings.Count(text.String(), line); n != want {
				t.Errorf("at %v: %d lines of %q, want %d:\n%s", level, n, line, want, &text)
			}
		}
		if want > 0 && !strings.Contains(text.String(), "status=ok") || strings.Contains(text.String(), "opened=false") {
			t.Errorf("the trace does not say how the attempt went:\n%s", &text)
		}
	}
}

// A Loop that is stuck in an event says where, once, and nothing waits behind it for longer than its deadline.
func TestStuckLoop(t *testing.T) {
	var text bytes.Buffer // written by this goroutine alone, which asks whether the Loop is stuck
	l, _ := startLogged(t, limits, slog.New(slog.NewTextHandler(&text, nil)))
	hold, held := make(chan struct{}), make(chan struct{})
	l.post(func() { close(held); <-hold })
	<-held
	if l.Stuck() {
		t.Error("stuck at once")
	}
	time.Sleep(stuckAfter + 50*time.Millisecond)
	if !l.Stuck() || !l.Stuck() || strings.Count(text.String(), "TestStuckLoop") != 1 {
		t.Errorf("what it says of where it stands: %s", text.String())
	}
	for range cap(l.events) {
		l.post(func() {})
	}
	late := &Request{Deadline: l.Now() + 50*time.Millisecond}
	if l.Submit(late) || l.PendingRequests() != 0 {
		t.Error("an operation was taken after its time")
	}
	l.Abandon(late) // does not wait
	close(hold)
	if sync(l); l.Stuck() {
		t.Error("stuck for ever")
	}
}

// An operation that is open in a Loop is not taken a second time by its successor, until it is over there.
func TestSuccessorKnowsOpenKeys(t *testing.T) {
	old, f := start(t, limits)
	next, g := start(t, limits)
	next.TakeOver(old)
	answers := make(chan Answer, 9)
	op := func() *Request {
		return &Request{Key: "k", Deadline: old.Now() + time.Minute, Done: func(a Answer) { answers <- a }}
	}
	old.Submit(op())
	<-f.carried
	third, h := start(t, limits)
	third.TakeOver(next)
	third.Submit(op())
	if a := <-answers; a.Verdict != Duplicate || len(h.carried) > 0 || third.PendingRequests() != 0 {
		t.Errorf("%+v at the successor's successor", a)
	}
	next.Submit(op())
	if a := <-answers; a.Verdict != Duplicate || len(g.carried) > 0 || next.PendingRequests() != 0 {
		t.Errorf("%+v, %d attempts at the successor, %d owed", a, len(g.carried), next.PendingRequests())
	}
	(<-f.done)(Result{Status: balance.OK})
	<-answers
	sync(old)
	next.Submit(op())
	<-g.carried
	(<-g.done)(Result{Status: balance.OK})
	if a := <-answers; a.Verdict != Served {
		t.Errorf("%+v", a)
	}
}

// The guard's check goes by the attempts' notes: what a faulty Carrier begins although it may not is counted by its invariant.
func TestGuardCountsWhatWasBegun(t *testing.T) {
	for name, c := range map[string]struct {
		between func(l *Loop, op *Request)
		want    string
	}{
		"in time": {func(*Loop, *Request) {}, ""},
		"after drain": {func(l *Loop, _ *Request) {
			l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}})
		}, "drain"},
		"client left": {func(l *Loop, op *Request) { l.Abandon(op) }, "client gone"},
		"old list":    {func(l *Loop, _ *Request) { l.SetLeaseExpiry(l.Now()) }, "stale list"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, f := start(t, balance.Limits{MaxAttempts: 1})
			op, _ := submit(l, 5*time.Second)
			a, done := <-f.carried, <-f.done
			c.between(l, op)
			sync(l)
			if c.want != "" {
				time.Sleep(600 * time.Millisecond)
			}
			if denied := a.Stale(); denied != (c.want != "") {
				t.Errorf("it may begin: %v", !denied)
			}
			a.Begin()
			done(Result{Status: balance.OK})
			sync(l)
			v := l.guard.Violations()
			if c.want == "" && len(v) > 0 || c.want != "" && (len(v) != 1 || v[c.want] != 1) {
				t.Errorf("counted %v, want %q", v, c.want)
			}
		})
	}
}

// The wall clock of the machine can be an hour off when the process starts. A server whose start is news is cold from about
// when that was heard, whatever the clock says of its age; one in the future has just started.
func TestStartsOnAMachineWhoseClockIsOff(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} {
		l, _ := start(t, balance.Limits{MaxAttempts: 1})
		truth := l.Now() - off // the lists' clock
		told := func(name string, since time.Duration) time.Duration {
			l.UpdateEndpoints(balance.Delta, 5, []Member{{Name: name, Address: name + ":1", State: balance.Ready, StartedAt: since}})
			sync(l)
			return l.Now() - l.pool.byName[name].since
		}
		l.SetLeaseExpiry(l.Now() + time.Hour) // the list is confirmed
		if age := told("new", truth-2*time.Second); age < 0 || age > newsLag+time.Second {
			t.Errorf("clock off by %v: a server that started 2 s ago is taken for one of %v", off, age)
		}
		first := l.pool.byName["new"].since
		if told("new", truth-2*time.Second); l.pool.byName["new"].since != first {
			t.Errorf("clock off by %v: the same start is taken for another", off)
		}
		if told("old", 0); l.pool.byName["old"].since != 0 {
			t.Errorf("clock off by %v: one of long ago is taken for new", off)
		}
	}
}
