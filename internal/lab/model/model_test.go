package model

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainConfig returns a machine with one core, four slots and a queue of two.
func plainConfig() Config {
	return Config{Cores: 1, Speed: 1, Slots: 4, QueueLimit: 2, ThrashThreshold: 100, LoadReports: LoadReports{Period: 100 * time.Millisecond}}
}

// runUntil advances an instance until it is idle or the end is reached, and returns the time and outcome of each response and
// the calls to the tier below.
func runUntil(i *Instance, end time.Duration) (at map[uint64]time.Duration, outcomes map[uint64]Outcome, calls []uint64) {
	at, outcomes = map[uint64]time.Duration{}, map[uint64]Outcome{}
	for {
		for _, a := range i.TakeActions() {
			if a.Call {
				calls = append(calls, a.AttemptID)
				continue
			}
			at[a.AttemptID], outcomes[a.AttemptID] = i.now, a.Outcome
		}
		next, any := i.NextEvent()
		if !any || next > end {
			return
		}
		i.Advance(next)
	}
}

// assertNear checks that got is within 2 ms of want.
func assertNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := got - want; d < -2*time.Millisecond || d > 2*time.Millisecond {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

// Two running requests share a core evenly; a single one gets all of it.
func TestCoresAreShared(t *testing.T) {
	i := NewInstance(plainConfig(), NewRand(1, 1), 0, false)
	far := time.Hour
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, Deadline: far})
	i.Arrive(50*time.Millisecond, Request{AttemptID: 2, Work: 0.1, Deadline: far})
	at, _, _ := runUntil(i, time.Minute)
	assertNear(t, "first", at[1], 150*time.Millisecond)
	assertNear(t, "second", at[2], 200*time.Millisecond)
}

// The time for the same work depends on speed, slowdown, pause, cold start, thrashing and concurrent handshakes.
func TestConditionsChangeServiceTime(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		cold   bool
		setup  func(*Instance)
		want   time.Duration
	}{
		"none":      {want: 100 * time.Millisecond},
		"fast":      {change: func(c *Config) { c.Speed = 2 }, want: 50 * time.Millisecond},
		"slow":      {setup: func(i *Instance) { i.SetSlowdown(0, 4) }, want: 400 * time.Millisecond},
		"paused":    {setup: func(i *Instance) { i.Pause(0, 300*time.Millisecond) }, want: 400 * time.Millisecond},
		"handshake": {change: func(c *Config) { c.Connections = ConnectionCosts{HandshakeWork: 20 * time.Millisecond} }, setup: func(i *Instance) { i.ConnectionOpened(0) }, want: 120 * time.Millisecond},
		"thrash":    {change: func(c *Config) { c.ThrashFactor, c.ThrashThreshold = 1, 0 }, want: 200 * time.Millisecond},
		// Capacity 0.5 + 0.5*t: 0.1 = 0.5t + 0.25t², t = 0.1832 s.
		"cold": {change: func(c *Config) {
			c.ColdStart = ColdStart{InitialShare: 0.5, Duration: time.Second, LoadFactor: 100, Window: time.Second, MeanWork: 0.1}
		}, cold: true, want: 183 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			config := plainConfig()
			if c.change != nil {
				c.change(&config)
			}
			i := NewInstance(config, NewRand(1, 1), 0, c.cold)
			if c.setup != nil {
				c.setup(i)
			}
			i.Arrive(0, Request{AttemptID: 1, Work: 0.1, Deadline: time.Hour})
			at, _, _ := runUntil(i, time.Minute)
			assertNear(t, "response", at[1], c.want)
		})
	}
}

// A request keeps its slot while it waits for the tier below. A request without a free slot is queued. It is rejected if the
// queue is full, its deadline has passed or the instance is draining.
func TestSlotsQueueAndCalls(t *testing.T) {
	config := plainConfig()
	config.Slots, config.QueueLimit = 1, 1
	i := NewInstance(config, NewRand(1, 1), 0, false)
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, DownstreamCalls: 2, Deadline: time.Hour})
	i.Arrive(0, Request{AttemptID: 2, Work: 0.1, Deadline: time.Hour})
	i.Arrive(0, Request{AttemptID: 3, Work: 0.1, Deadline: time.Hour})
	at, outcomes, calls := runUntil(i, time.Minute)
	if len(calls) != 1 || outcomes[3] != Rejected || i.InFlight() != 2 {
		t.Fatalf("calls %v, outcomes %v, in flight %d", calls, outcomes, i.InFlight())
	}
	i.CallEnded(time.Second, 1, true)
	if _, _, calls = runUntil(i, time.Minute); len(calls) != 1 {
		t.Fatalf("got calls %v, want the second call", calls)
	}
	i.CallEnded(2*time.Second, 1, true)
	at, outcomes, _ = runUntil(i, time.Minute)
	assertNear(t, "first", at[1], 2050*time.Millisecond)
	assertNear(t, "queued", at[2], 2150*time.Millisecond)
	i.Arrive(3*time.Second, Request{AttemptID: 4, Work: 0.1, Deadline: 3 * time.Second})
	i.Drain(3 * time.Second)
	i.Arrive(3*time.Second, Request{AttemptID: 5, Work: 0.1, Deadline: time.Hour})
	if _, outcomes, _ = runUntil(i, time.Minute); outcomes[4] != Rejected || outcomes[5] != Rejected {
		t.Errorf("past the deadline and while draining: outcomes %v, want both rejected", outcomes)
	}
	i = NewInstance(config, NewRand(1, 1), 0, false)
	i.Arrive(0, Request{AttemptID: 1, Work: 0.1, DownstreamCalls: 1, Deadline: time.Hour})
	runUntil(i, time.Minute)
	i.CallEnded(time.Second, 1, false)
	if _, outcomes, _ = runUntil(i, time.Minute); outcomes[1] != Failed {
		t.Errorf("after a failed call: outcomes %v, want failed", outcomes)
	}
}

// An instance is overloaded after TriggerAfter of queueing and recovers after RecoverAfter of low utilization.
func TestOverload(t *testing.T) {
	config := plainConfig()
	config.Slots = 50
	config.Overload = Overload{QueuedPerCore: 3, TriggerAfter: time.Second, Slowdown: 4, RecoverBelow: 0.5, RecoverAfter: 2 * time.Second, MaxDuration: time.Minute}
	i := NewInstance(config, NewRand(1, 1), 0, false)
	for n := range uint64(12) {
		i.Arrive(0, Request{AttemptID: n + 1, Work: 0.2, Deadline: time.Hour})
	}
	i.Advance(900 * time.Millisecond)
	if i.Overloaded() {
		t.Error("overloaded too early")
	}
	i.Advance(1100 * time.Millisecond)
	if !i.Overloaded() {
		t.Error("not overloaded after TriggerAfter")
	}
	runUntil(i, time.Minute)
	idle := i.now
	i.Advance(idle + 1900*time.Millisecond)
	if !i.Overloaded() {
		t.Error("recovered too early")
	}
	if i.Advance(idle + 2100*time.Millisecond); i.Overloaded() {
		t.Error("not recovered after RecoverAfter")
	}
}

// An instance in its cold start tolerates its budget and crashes beyond it, whether or not requests are rejected; a warmed-up
// instance does not crash. The actual cost of a request must not count: a single request of ten times the mean among a few made
// two sidecars fail that had kept within the budget.
func TestColdStartCrash(t *testing.T) {
	for _, c := range []struct {
		cold    bool
		share   float64 // of the budget
		factor  float64 // actual work as a multiple of the mean
		crashes bool
	}{{true, 0.9, 1, false}, {true, 1.1, 1, true}, {true, 0.9, 10, false}, {true, 1.1, 0.1, true}, {false, 3, 1, false}} {
		config := plainConfig()
		config.ColdStart = ColdStart{InitialShare: 0.2, Duration: 100 * time.Second, LoadFactor: 2.5, Window: 1500 * time.Millisecond, MeanWork: 0.01}
		i := NewInstance(config, NewRand(1, 1), 0, c.cold)
		budget := config.ColdStart.Budget(0.2)
		for n := range 50 {
			mean := budget * c.share / 50
			i.Arrive(time.Duration(n)*20*time.Millisecond, Request{AttemptID: uint64(n + 1), Work: c.factor * mean, MeanWork: mean, Deadline: time.Hour})
		}
		// n = 75 requests of 10 ms, plus 2*sqrt(75) + 2 for random variation.
		if math.Abs(budget-0.9432) > 1e-4 {
			t.Errorf("budget is %g, want 0.9432", budget)
		}
		if i.Crashed() != c.crashes {
			t.Errorf("cold start %v, %.1f of the budget: crashed %v", c.cold, c.share, i.Crashed())
		}
	}
}

// For any sequence of events, each request gets exactly one response, no slot leaks, and no more work is done than the cores
// can do.
func TestInstanceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: 1, Slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			QueueLimit: rapid.IntRange(0, 4).Draw(t, "queue"), ErrorShare: 0.1, ThrashThreshold: 3, ThrashFactor: 0.1,
			LoadReports: LoadReports{Period: 50 * time.Millisecond, Delay: 20 * time.Millisecond},
			Overload:    Overload{QueuedPerCore: 2, TriggerAfter: 200 * time.Millisecond, Slowdown: 2, RecoverBelow: 0.3, RecoverAfter: 300 * time.Millisecond, MaxDuration: time.Second}}
		i := NewInstance(config, NewRand(rapid.Uint64().Draw(t, "seed"), 1), 0, false)
		now, responses, calling, work, n := time.Duration(0), map[uint64]int{}, map[uint64]bool{}, 0.0, uint64(0)
		collect := func() {
			for _, a := range i.TakeActions() {
				if a.Call {
					calling[a.AttemptID] = true
				} else if responses[a.AttemptID]++; responses[a.AttemptID] > 1 {
					t.Fatalf("request %d got two responses", a.AttemptID)
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
			collect()
			if i.usedSlots > config.Slots || len(i.queue) > config.QueueLimit || i.usedSlots < 0 {
				t.Fatalf("%d slots used, %d requests queued", i.usedSlots, len(i.queue))
			}
		}
		for range 10000 {
			for c := range calling {
				delete(calling, c)
				i.CallEnded(i.now, c, true)
			}
			next, any := i.NextEvent()
			if !any {
				if collect(); len(calling) == 0 {
					break
				}
				continue
			}
			i.Advance(next)
			collect()
		}
		if uint64(len(responses)) != n || i.InFlight() != 0 {
			t.Fatalf("%d of %d requests got a response, %d in flight", len(responses), n, i.InFlight())
		}
		if max := i.now.Seconds() * float64(config.Cores); i.workPerJob > 0 && work > 0 && i.workPerJob > max+1e-6 {
			t.Fatalf("%.3f core-seconds per job, but only %.3f were available", i.workPerJob, max)
		}
	})
}

// Simulates 3000 instances at 60% load in virtual time in one goroutine: the model needs no clock of its own, and the same
// seed gives the same run.
func TestThousandsInVirtualTime(t *testing.T) {
	const count, work = 3000, 0.05
	simulate := func() (responses int, last time.Duration, mean float64) {
		rng := NewRand(7, 7)
		total := time.Duration(0)
		for k := range count {
			i := NewInstance(plainConfig(), NewRand(7, uint64(k)), 0, false)
			sentAt := map[uint64]time.Duration{}
			now := time.Duration(0)
			for n := uint64(1); ; n++ {
				now += time.Duration(rng.ExpFloat64() * work / 0.6 * 1e9)
				if now > 3*time.Second {
					break
				}
				sentAt[n] = now
				for next, any := i.NextEvent(); any && next < now; next, any = i.NextEvent() {
					i.Advance(next)
					for _, a := range i.TakeActions() {
						responses++
						total += i.now - sentAt[a.AttemptID]
						last = max(last, i.now)
					}
				}
				i.Arrive(now, Request{AttemptID: n, Work: work, Deadline: time.Hour})
			}
		}
		return responses, last, (total / time.Duration(max(responses, 1))).Seconds()
	}
	responses, last, mean := simulate()
	if responses2, last2, mean2 := simulate(); responses != responses2 || last != last2 || mean != mean2 {
		t.Error("the same seed gives a different run")
	}
	// Under processor sharing a request takes work/(1-load) on average, or less because some requests are rejected.
	if responses < count*30 || mean < work || math.Abs(mean-work/0.4) > 0.4*work/0.4 {
		t.Errorf("%d responses, %.3f s on average", responses, mean)
	}
}

// Load reports show the load with a delay.
func TestReports(t *testing.T) {
	config := plainConfig()
	config.LoadReports = LoadReports{Period: 100 * time.Millisecond, Delay: 300 * time.Millisecond}
	i := NewInstance(config, NewRand(1, 1), 0, false)
	for n := range uint64(3) {
		i.Arrive(0, Request{AttemptID: n + 1, Work: 1, Deadline: time.Hour})
	}
	if _, any := i.Report(250 * time.Millisecond); any {
		t.Error("a report is visible before its delay")
	}
	load, any := i.Report(time.Second)
	if !any || load.Inflight != 3 || load.Util < 0.9 {
		t.Errorf("%+v %v", load, any)
	}
	i.SetReportDelay(time.Second, 5*time.Second)
	i.Advance(10 * time.Second)
	if i.Report(10 * time.Second); len(i.reports.pending) < 45 {
		t.Errorf("%d delayed reports, want 45 or more", len(i.reports.pending))
	}
}

func TestDiscovery(t *testing.T) {
	ready := func(name string, at time.Duration) Member { return Member{Name: name, Status: Ready, StartedAt: at} }
	d := NewDiscovery(DiscoveryConfig{Period: time.Second, CallsPerSecond: 2, Timeout: time.Second, KeptVersions: 2}, []Member{ready("a", 0), ready("b", 0)})
	d.ScheduleChange(5*time.Second, Member{Name: "a", Status: Gone})
	d.ScheduleChange(3*time.Second, ready("a", 2*time.Second)) // restarted before discovery saw it gone
	d.ScheduleChange(3200*time.Millisecond, Member{Name: "b", Status: Gone})
	if _, any := d.Advance(2 * time.Second); any {
		t.Error("a change is published before discovery sees it")
	}
	u, _ := d.Advance(3 * time.Second)
	if u.Index != 2 || len(u.Members) != 1 || u.Members[0] != ready("a", 2*time.Second) {
		t.Errorf("%+v", u)
	}
	if _, any := d.Advance(3900 * time.Millisecond); any {
		t.Error("two versions are published within one period")
	}
	if u, _ = d.Advance(4 * time.Second); len(u.Members) != 1 || u.Members[0].Status != Gone {
		t.Errorf("%+v", u)
	}
	if next, any := d.NextPublish(); any {
		t.Errorf("unexpected pending version at %s", next)
	}
	if u = d.ChangesSince(1); u.Full || len(u.Members) != 2 {
		t.Errorf("changes since 1: %+v", u)
	}
	for _, index := range []int64{0, -1, 99} {
		if u = d.ChangesSince(index); !u.Full || len(u.Members) != 1 || u.Index != 3 {
			t.Errorf("changes since %d: %+v", index, u)
		}
	}
	first, ok := d.Call(0)
	second, ok2 := d.Call(0)
	d.Call(0)
	if failsAt, ok4 := d.Call(0); !ok || !ok2 || ok4 || first != 500*time.Millisecond || second != time.Second || failsAt != time.Second {
		t.Errorf("calls end at %s, %s and %s", first, second, failsAt)
	}
}

// A client retries only if its class and the result allow it, and never after its total timeout.
func TestClientRetries(t *testing.T) {
	classes := []Class{{Name: "c", Share: 1, Work: time.Second, TotalTimeout: 6 * time.Second}}
	behavior := ClientBehavior{MaxRetries: 2, AttemptTimeoutShare: 0.5, Backoff: time.Second}
	for _, c := range []struct {
		safe   bool
		result AttemptResult
		retry  bool
	}{{false, AttemptServed, false}, {true, AttemptServed, false}, {false, AttemptRejected, true}, {false, AttemptNotConnected, true}, {false, AttemptFailed, false},
		{false, AttemptTimedOut, false}, {true, AttemptFailed, true}, {true, AttemptTimedOut, true}} {
		classes[0].Safe = c.safe
		client := NewClient(NewRand(1, 1), classes, behavior, 10*time.Second)
		first := client.FirstAttempt()
		if first.At != 10*time.Second || first.Deadline != 13*time.Second || first.Retry {
			t.Errorf("%+v", first)
		}
		next, retry := client.NextAttempt(11*time.Second, c.result, 0)
		if retry != c.retry || retry && (next.At != 12*time.Second || next.Deadline != 15*time.Second || !next.Retry) {
			t.Errorf("%+v: %+v %v", c, next, retry)
		}
		if retry {
			if _, retry = client.NextAttempt(15500*time.Millisecond, c.result, 0); retry {
				t.Error("an attempt after the total timeout")
			}
			if _, retry = client.NextAttempt(12*time.Second, c.result, 0); !retry {
				t.Error("no third attempt")
			}
			if _, retry = client.NextAttempt(12*time.Second, c.result, 0); retry {
				t.Error("more attempts than allowed")
			}
		}
	}
	behavior.HonorRetryAfter = 1
	client := NewClient(NewRand(1, 1), classes, behavior, 0)
	client.FirstAttempt()
	if next, _ := client.NextAttempt(0, AttemptRejected, 2*time.Second); next.At != 2*time.Second {
		t.Errorf("Retry-After is not honored: %+v", next)
	}
}

func TestFrontendBalancer(t *testing.T) {
	b := FrontendBalancer{}
	if b.Pick(0) != "" {
		t.Error("picked a sidecar from an empty balancer")
	}
	b.AddSidecar("a", 1)
	b.AddSidecar("b", 1)
	b.MarkDead(time.Second, "a")
	count := func(at time.Duration) map[string]int {
		n := map[string]int{}
		for range 100 {
			n[b.Pick(at)]++
		}
		return n
	}
	if n := count(500 * time.Millisecond); n["a"] != 50 {
		t.Errorf("before the death is detected: %v", n)
	}
	if n := count(time.Second); n["b"] != 100 {
		t.Errorf("after the death is detected: %v", n)
	}
	b.AddSidecar("a", 1)
	if n := count(2 * time.Second); n["a"] != 50 {
		t.Errorf("after adding it again: %v", n)
	}
	b.AddSidecar("c", 3)
	if n := count(2 * time.Second); n["a"] != 20 || n["c"] != 60 {
		t.Errorf("with three times the weight: %v", n)
	}
}
