package model

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func plain() Config {
	return Config{Cores: 1, Speed: 1, Slots: 4, QueueLimit: 2, ThrashThreshold: 100, LoadReports: LoadReports{Period: 100 * time.Millisecond}}
}

// drive lets an instance run until nothing is left or the end, and gives the time and outcome of each answer.
func drive(i *Instance, end time.Duration) (at map[uint64]time.Duration, how map[uint64]Outcome, calls []uint64) {
	at, how = map[uint64]time.Duration{}, map[uint64]Outcome{}
	for {
		for _, a := range i.TakeActions() {
			if a.Call {
				calls = append(calls, a.AttemptID)
				continue
			}
			at[a.AttemptID], how[a.AttemptID] = i.now, a.Outcome
		}
		next, any := i.NextEvent()
		if !any || next > end {
			return
		}
		i.Advance(next)
	}
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -2*time.Millisecond || d > 2*time.Millisecond {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

// Two requests share a core evenly: what is alone runs at full speed.
func TestCoresAreShared(t *testing.T) {
	i := NewInstance(plain(), NewRand(1, 1), 0, false)
	far := time.Hour
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, Deadline: far})
	i.Arrive(50*time.Millisecond, Request{AttemptID: 2, Work: 0.1, Deadline: far})
	at, _, _ := drive(i, time.Minute)
	near(t, "first", at[1], 150*time.Millisecond)
	near(t, "second", at[2], 200*time.Millisecond)
}

// The same work takes as the troubles say: slow, paused, cold, handshakes beside it.
func TestTroublesTakeTime(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		cold   bool
		meet   func(*Instance)
		want   time.Duration
	}{
		"none":      {want: 100 * time.Millisecond},
		"fast":      {change: func(c *Config) { c.Speed = 2 }, want: 50 * time.Millisecond},
		"slow":      {meet: func(i *Instance) { i.SetSlowdown(0, 4) }, want: 400 * time.Millisecond},
		"paused":    {meet: func(i *Instance) { i.Pause(0, 300*time.Millisecond) }, want: 400 * time.Millisecond},
		"handshake": {change: func(c *Config) { c.Connections = ConnectionCosts{HandshakeWork: 20 * time.Millisecond} }, meet: func(i *Instance) { i.ConnectionOpened(0) }, want: 120 * time.Millisecond},
		"thrash":    {change: func(c *Config) { c.ThrashFactor, c.ThrashThreshold = 1, 0 }, want: 200 * time.Millisecond},
		// Capacity 0.5 + 0.5*t: 0.1 = 0.5t + 0.25t², t = 0.1832 s.
		"cold": {change: func(c *Config) {
			c.ColdStart = ColdStart{InitialShare: 0.5, Duration: time.Second, LoadFactor: 100, Window: time.Second, MeanWork: 0.1}
		}, cold: true, want: 183 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			config := plain()
			if c.change != nil {
				c.change(&config)
			}
			i := NewInstance(config, NewRand(1, 1), 0, c.cold)
			if c.meet != nil {
				c.meet(i)
			}
			i.Arrive(0, Request{AttemptID: 1, Work: 0.1, Deadline: time.Hour})
			at, _, _ := drive(i, time.Minute)
			near(t, "answer", at[1], c.want)
		})
	}
}

// A request keeps its slot while it waits for the tier below; what finds no slot waits, what finds no room is turned
// away, and so is what is over or comes while the instance drains.
func TestSlotsRoomAndCalls(t *testing.T) {
	config := plain()
	config.Slots, config.QueueLimit = 1, 1
	i := NewInstance(config, NewRand(1, 1), 0, false)
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, DownstreamCalls: 2, Deadline: time.Hour})
	i.Arrive(0, Request{AttemptID: 2, Work: 0.1, Deadline: time.Hour})
	i.Arrive(0, Request{AttemptID: 3, Work: 0.1, Deadline: time.Hour})
	at, how, calls := drive(i, time.Minute)
	if len(calls) != 1 || how[3] != Rejected || i.InFlight() != 2 {
		t.Fatalf("calls %v, outcomes %v, held %d", calls, how, i.InFlight())
	}
	i.CallEnded(time.Second, 1, true)
	if _, _, calls = drive(i, time.Minute); len(calls) != 1 {
		t.Fatalf("second call: %v", calls)
	}
	i.CallEnded(2*time.Second, 1, true)
	at, how, _ = drive(i, time.Minute)
	near(t, "first", at[1], 2050*time.Millisecond)
	near(t, "waited", at[2], 2150*time.Millisecond)
	i.Arrive(3*time.Second, Request{AttemptID: 4, Work: 0.1, Deadline: 3 * time.Second})
	i.Drain(3 * time.Second)
	i.Arrive(3*time.Second, Request{AttemptID: 5, Work: 0.1, Deadline: time.Hour})
	if _, how, _ = drive(i, time.Minute); how[4] != Rejected || how[5] != Rejected {
		t.Errorf("over and draining: %v", how)
	}
	i = NewInstance(config, NewRand(1, 1), 0, false)
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, DownstreamCalls: 1, Deadline: time.Hour})
	drive(i, time.Minute)
	i.CallEnded(time.Second, 1, false)
	if _, how, _ = drive(i, time.Minute); how[1] != Failed {
		t.Errorf("a failed call: %v", how)
	}
}

// An instance chokes after waiting for long enough and recovers after its rest.
func TestChoke(t *testing.T) {
	config := plain()
	config.Slots = 50
	config.Overload = Overload{QueuedPerCore: 3, TriggerAfter: time.Second, Slowdown: 4, RecoverBelow: 0.5, RecoverAfter: 2 * time.Second, MaxDuration: time.Minute}
	i := NewInstance(config, NewRand(1, 1), 0, false)
	for n := range uint64(12) {
		i.Arrive(0, Request{AttemptID: n + 1, Work: 0.2, Deadline: time.Hour})
	}
	i.Advance(900 * time.Millisecond)
	if i.Overloaded() {
		t.Error("choked too early")
	}
	i.Advance(1100 * time.Millisecond)
	if !i.Overloaded() {
		t.Error("not choked")
	}
	drive(i, time.Minute)
	idle := i.now
	i.Advance(idle + 1900*time.Millisecond)
	if !i.Overloaded() {
		t.Error("recovered too early")
	}
	if i.Advance(idle + 2100*time.Millisecond); i.Overloaded() {
		t.Error("not recovered")
	}
}

// A cold instance bears its budget and falls over beyond it, turned away or not; a warm one does not. What a request turns out
// to cost does not count: with one of ten times the mean among few, two sidecars that kept to the budget broke the rule.
func TestColdFalls(t *testing.T) {
	for _, c := range []struct {
		cold  bool
		share float64 // of the budget
		odd   float64 // the drawn work, in means
		falls bool
	}{{true, 0.9, 1, false}, {true, 1.1, 1, true}, {true, 0.9, 10, false}, {true, 1.1, 0.1, true}, {false, 3, 1, false}} {
		config := plain()
		config.ColdStart = ColdStart{InitialShare: 0.2, Duration: 100 * time.Second, LoadFactor: 2.5, Window: 1500 * time.Millisecond, MeanWork: 0.01}
		i := NewInstance(config, NewRand(1, 1), 0, c.cold)
		budget := config.ColdStart.Budget(0.2)
		for n := range 50 {
			mean := budget * c.share / 50
			i.Arrive(time.Duration(n)*20*time.Millisecond, Request{AttemptID: uint64(n + 1), Work: c.odd * mean, MeanWork: mean, Deadline: time.Hour})
		}
		// 75 calls of 10 ms, and 2 x root of 75 + 2 by chance.
		if math.Abs(budget-0.9432) > 1e-4 {
			t.Errorf("the budget is %g", budget)
		}
		if i.Crashed() != c.falls {
			t.Errorf("cold %v, %.1f of the budget: fallen %v", c.cold, c.share, i.Crashed())
		}
	}
}

// Whatever comes in whatever order: each request gets one answer, no slot leaks, no more work is done than the cores can do.
func TestInstanceKeepsItsBooks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: 1, Slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			QueueLimit: rapid.IntRange(0, 4).Draw(t, "queue"), ErrorShare: 0.1, ThrashThreshold: 3, ThrashFactor: 0.1,
			LoadReports: LoadReports{Period: 50 * time.Millisecond, Delay: 20 * time.Millisecond},
			Overload:    Overload{QueuedPerCore: 2, TriggerAfter: 200 * time.Millisecond, Slowdown: 2, RecoverBelow: 0.3, RecoverAfter: 300 * time.Millisecond, MaxDuration: time.Second}}
		i := NewInstance(config, NewRand(rapid.Uint64().Draw(t, "seed"), 1), 0, false)
		now, answers, calling, work, n := time.Duration(0), map[uint64]int{}, map[uint64]bool{}, 0.0, uint64(0)
		take := func() {
			for _, a := range i.TakeActions() {
				if a.Call {
					calling[a.AttemptID] = true
				} else if answers[a.AttemptID]++; answers[a.AttemptID] > 1 {
					t.Fatalf("request %d is answered twice", a.AttemptID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				n++
				w := rapid.Float64Range(0.001, 0.3).Draw(t, "work")
				work += w
				i.Arrive(now, Request{AttemptID: n, Work: w, DownstreamCalls: rapid.IntRange(0, 2).Draw(t, "calls"), Deadline: now + time.Hour})
			case 2:
				for c := range calling {
					delete(calling, c)
					i.CallEnded(now, c, rapid.Bool().Draw(t, "ok"))
					break
				}
			case 3:
				i.Pause(now, time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*time.Millisecond)
			case 4:
				i.SetSlowdown(now, rapid.Float64Range(1, 5).Draw(t, "slow"))
			}
			take()
			if i.slots > config.Slots || len(i.queue) > config.QueueLimit || i.slots < 0 {
				t.Fatalf("%d slots, %d waiting", i.slots, len(i.queue))
			}
		}
		for range 10000 {
			for c := range calling {
				delete(calling, c)
				i.CallEnded(i.now, c, true)
			}
			next, any := i.NextEvent()
			if !any {
				if take(); len(calling) == 0 {
					break
				}
				continue
			}
			i.Advance(next)
			take()
		}
		if uint64(len(answers)) != n || i.InFlight() != 0 {
			t.Fatalf("%d of %d answered, %d held", len(answers), n, i.InFlight())
		}
		if max := i.now.Seconds() * float64(config.Cores); i.done > 0 && work > 0 && i.done > max+1e-6 {
			t.Fatalf("%.3f core-seconds for each job within %.3f", i.done, max)
		}
	})
}

// Three thousand instances play a virtual minute at 60% load in one goroutine: the model needs no clock of its own, and
// the same seed gives the same run.
func TestThousandsInVirtualTime(t *testing.T) {
	const count, work = 3000, 0.05
	play := func() (answered int, last time.Duration, mean float64) {
		rng := NewRand(7, 7)
		wait := time.Duration(0)
		for k := range count {
			i := NewInstance(plain(), NewRand(7, uint64(k)), 0, false)
			asked := map[uint64]time.Duration{}
			now := time.Duration(0)
			for n := uint64(1); ; n++ {
				now += time.Duration(rng.ExpFloat64() * work / 0.6 * 1e9)
				if now > 3*time.Second {
					break
				}
				asked[n] = now
				for next, any := i.NextEvent(); any && next < now; next, any = i.NextEvent() {
					i.Advance(next)
					for _, a := range i.TakeActions() {
						answered++
						wait += i.now - asked[a.AttemptID]
						last = max(last, i.now)
					}
				}
				i.Arrive(now, Request{AttemptID: n, Work: work, Deadline: time.Hour})
			}
		}
		return answered, last, (wait / time.Duration(max(answered, 1))).Seconds()
	}
	a, last, mean := play()
	if b, again, same := play(); a != b || last != again || mean != same {
		t.Error("the same seed gives another run")
	}
	// Processor sharing holds a request for work/(1-load) on average, less what finds no room.
	if a < count*30 || mean < work || math.Abs(mean-work/0.4) > 0.4*work/0.4 {
		t.Errorf("%d answered, held for %.3f s on average", a, mean)
	}
}

// Reports show what was, late.
func TestReports(t *testing.T) {
	config := plain()
	config.LoadReports = LoadReports{Period: 100 * time.Millisecond, Delay: 300 * time.Millisecond}
	i := NewInstance(config, NewRand(1, 1), 0, false)
	for n := range uint64(3) {
		i.Arrive(0, Request{AttemptID: n + 1, Work: 1, Deadline: time.Hour})
	}
	if _, any := i.Report(250 * time.Millisecond); any {
		t.Error("a report shows before its delay")
	}
	load, any := i.Report(time.Second)
	if !any || load.Inflight != 3 || load.Util < 0.9 {
		t.Errorf("%+v %v", load, any)
	}
	i.SetReportDelay(time.Second, 5*time.Second)
	i.Advance(10 * time.Second)
	if i.Report(10 * time.Second); len(i.reports.coming) < 45 {
		t.Errorf("%d reports on the way", len(i.reports.coming))
	}
}

func TestDiscovery(t *testing.T) {
	ready := func(name string, since time.Duration) Member {
		return Member{Name: name, Status: Ready, StartedAt: since}
	}
	d := NewDiscovery(DiscoveryConfig{Period: time.Second, CallsPerSecond: 2, Timeout: time.Second, KeptVersions: 2}, []Member{ready("a", 0), ready("b", 0)})
	d.ScheduleChange(5*time.Second, Member{Name: "a", Status: Gone})
	d.ScheduleChange(3*time.Second, ready("a", 2*time.Second)) // it is back before discovery saw it gone
	d.ScheduleChange(3200*time.Millisecond, Member{Name: "b", Status: Gone})
	if _, any := d.Advance(2 * time.Second); any {
		t.Error("published before it was seen")
	}
	u, _ := d.Advance(3 * time.Second)
	if u.Index != 2 || len(u.Members) != 1 || u.Members[0] != ready("a", 2*time.Second) {
		t.Errorf("%+v", u)
	}
	if _, any := d.Advance(3900 * time.Millisecond); any {
		t.Error("two versions within a period")
	}
	if u, _ = d.Advance(4 * time.Second); len(u.Members) != 1 || u.Members[0].Status != Gone {
		t.Errorf("%+v", u)
	}
	if next, any := d.NextPublish(); any {
		t.Errorf("more at %s", next)
	}
	if u = d.ChangesSince(1); u.Full || len(u.Members) != 2 {
		t.Errorf("since 1: %+v", u)
	}
	for _, index := range []int64{0, -1, 99} {
		if u = d.ChangesSince(index); !u.Full || len(u.Members) != 1 || u.Index != 3 {
			t.Errorf("since %d: %+v", index, u)
		}
	}
	first, ok := d.Call(0)
	second, ok2 := d.Call(0)
	d.Call(0)
	if fails, ok4 := d.Call(0); !ok || !ok2 || ok4 || first != 500*time.Millisecond || second != time.Second || fails != time.Second {
		t.Errorf("calls: %s %s %s", first, second, fails)
	}
}

// A client repeats only what its class and the answer allow, and never past its time.
func TestClients(t *testing.T) {
	classes := []Class{{Name: "c", Share: 1, Work: time.Second, TotalTimeout: 6 * time.Second}}
	habits := ClientBehavior{MaxRetries: 2, AttemptTimeoutShare: 0.5, Backoff: time.Second}
	for _, c := range []struct {
		safe  bool
		end   AttemptResult
		again bool
	}{{false, AttemptServed, false}, {true, AttemptServed, false}, {false, AttemptRejected, true}, {false, AttemptNotConnected, true}, {false, AttemptFailed, false},
		{false, AttemptTimedOut, false}, {true, AttemptFailed, true}, {true, AttemptTimedOut, true}} {
		classes[0].Safe = c.safe
		k := NewClient(NewRand(1, 1), classes, habits, 10*time.Second)
		first := k.FirstAttempt()
		if first.At != 10*time.Second || first.Deadline != 13*time.Second || first.Retry {
			t.Errorf("%+v", first)
		}
		next, again := k.NextAttempt(11*time.Second, c.end, 0)
		if again != c.again || again && (next.At != 12*time.Second || next.Deadline != 15*time.Second || !next.Retry) {
			t.Errorf("%+v: %+v %v", c, next, again)
		}
		if again {
			if _, again = k.NextAttempt(15500*time.Millisecond, c.end, 0); again {
				t.Error("a try past the client's time")
			}
			if _, again = k.NextAttempt(12*time.Second, c.end, 0); !again {
				t.Error("no third try")
			}
			if _, again = k.NextAttempt(12*time.Second, c.end, 0); again {
				t.Error("more tries than allowed")
			}
		}
	}
	habits.HonorRetryAfter = 1
	k := NewClient(NewRand(1, 1), classes, habits, 0)
	k.FirstAttempt()
	if next, _ := k.NextAttempt(0, AttemptRejected, 2*time.Second); next.At != 2*time.Second {
		t.Errorf("Retry-After is not heeded: %+v", next)
	}
}

func TestFront(t *testing.T) {
	f := FrontendBalancer{}
	if f.Pick(0) != "" {
		t.Error("picked from nothing")
	}
	f.AddSidecar("a", 1)
	f.AddSidecar("b", 1)
	f.MarkDead(time.Second, "a")
	count := func(at time.Duration) map[string]int {
		n := map[string]int{}
		for range 100 {
			n[f.Pick(at)]++
		}
		return n
	}
	if n := count(500 * time.Millisecond); n["a"] != 50 {
		t.Errorf("before the notice: %v", n)
	}
	if n := count(time.Second); n["b"] != 100 {
		t.Errorf("after the notice: %v", n)
	}
	f.AddSidecar("a", 1)
	if n := count(2 * time.Second); n["a"] != 50 {
		t.Errorf("admitted again: %v", n)
	}
	f.AddSidecar("c", 3)
	if n := count(2 * time.Second); n["a"] != 20 || n["c"] != 60 {
		t.Errorf("with three times the share: %v", n)
	}
}
