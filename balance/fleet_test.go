package balance

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// learned starts a balancer that has seen enough answers that it believes what it knows of latencies.
func learned(t *testing.T, set Settings, servers int, latency time.Duration) (*Balancer, *recorder) {
	b, h := start(t, set, fleet(servers))
	for i := range RequestID(2 * matureCount) {
		now := time.Duration(i) * 2 * latency
		b.RequestArrived(now, Request{ID: 1 + i, Deadline: now + 3*time.Second})
		x := h.sends[len(h.sends)-1]
		b.AttemptDone(now+latency, Outcome{ID: x.id, Final: true, Endpoint: x.server, Status: OK, Latency: latency})
	}
	return b, h
}

// member is the settings of one of several balancers.
func member(me, balancers int) Settings {
	set := settings()
	set.Seed, set.Index, set.Balancers = uint64(me), me, balancers
	return set
}

// A dozen balancers whose answers stop must not leave four attempts each at every server, and together they hold no more
// than what the servers may hold, not one attempt each everywhere.
func TestManyBalancersHoldTheirPartOfAServer(t *testing.T) {
	for _, c := range []struct{ balancers, servers, most, all int }{
		{balancers: 1, servers: 8, most: 7, all: 56},
		{balancers: 12, servers: 8, most: 12, all: 64},
		{balancers: 14, servers: 16, most: 14, all: 128},
		{balancers: 40, servers: 8, most: 40, all: 320}, // one each, at the least
	} {
		held, all := map[EndpointID]int{}, 0
		for me := range c.balancers {
			b, h := learned(t, member(me, c.balancers), c.servers, 10*ms)
			before := len(h.sends)
			for i := range RequestID(60) {
				b.RequestArrived(time.Second, Request{ID: 1000 + i, Deadline: 4 * time.Second})
			}
			for _, s := range h.sends[before:] {
				held[s.server]++
			}
		}
		if len(held) != c.servers {
			t.Errorf("%d balancers: %d servers hold attempts, want all %d", c.balancers, len(held), c.servers)
		}
		for id, n := range held {
			if n > c.most {
				t.Errorf("%d balancers: server %d holds %d attempts, want at most %d", c.balancers, id, n, c.most)
			}
			all += n
		}
		if all > c.all || all < c.servers*fleetHold*3/4 {
			t.Errorf("%d balancers: %d attempts out at %d servers, want about %v each", c.balancers, all, c.servers, fleetHold)
		}
	}
}

// One attempt that takes longer than most, though not yet four times as long as the mean, is enough to go elsewhere; one that takes
// twice the mean is not: where work is heavy-tailed that is one in ten, and servers that were well were passed over for it.
func TestSlowAttemptPassesItsServerOver(t *testing.T) {
	for after, passed := range map[time.Duration]bool{440 * ms: false, 520 * ms: true} {
		b, h := learned(t, settings(), 4, 200*ms)
		now := 15 * time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		slow, got := h.sends[len(h.sends)-1].server, 0
		now += after
		for i := range RequestID(12) {
			b.RequestArrived(now, Request{ID: 1000 + i, Deadline: now + 3*time.Second})
			if h.sends[len(h.sends)-1].server == slow {
				got++
			}
			h.outcome(b, now+ms, 1000+i, OK)
		}
		if passed != (got == 0) {
			t.Errorf("%v after an attempt of 200 ms in the mean was sent its server got %d of 12 requests", after, got)
		}
	}
}

// Another zone helps while the own one is busy and theirs is less so, also by a little: where a crossing costs milliseconds and a
// queue hundreds, waiting at home is the dearer.
func TestOtherZoneHelpsABusyOne(t *testing.T) {
	for _, c := range []struct {
		here, there float64
		helps       bool
	}{{0.9, 0.82, true}, {0.9, 0.88, false}, {0.7, 0.5, false}} {
		list := fleet(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		b, _ := start(t, settings(), list)
		for _, s := range b.tracked {
			s.count, s.avg = 99, []float64{c.here, c.there}[s.Zone]
		}
		for n := range 6 {
			b.endPhase(time.Duration(n+1) * time.Second)
		}
		if helps := b.spill > 0.5; helps != c.helps {
			t.Errorf("%+v: a server of the other zone gets %.2f of its weight", c, b.spill)
		}
	}
}

// With less left than half of what its class takes, a repeat is work whose answer nobody waits for.
func TestNoRepeatWithoutTimeLeft(t *testing.T) {
	for left, repeats := range map[time.Duration]bool{20 * ms: false, 400 * ms: true} {
		b, h := learned(t, settings(), 4, 200*ms)
		now := 15 * time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		before := len(h.sends)
		h.outcome(b, now+b.set.Classes[0].LatencyTarget-left, 900, Error)
		if again := len(h.sends) > before; again != repeats {
			t.Errorf("with %v left: sent again %v, want %v", left, again, repeats)
		}
		if !repeats && h.final[900] != "refuse" {
			t.Errorf("with %v left: answer %q, want a refusal at once", left, h.final[900])
		}
	}
}

// Sidecars that lose discovery together ask again spread out, and each so soon that drains are told in time.
func TestDiscoveryIsAskedAgainSoonAndSpread(t *testing.T) {
	var waits []time.Duration
	for seed := range uint64(60) {
		set := settings()
		set.Seed, set.PollDiscovery = seed, true
		b, h := start(t, set, fleet(4))
		for range 5 {
			before := len(h.timers)
			b.UpdateEndpoints(0, Failed, nil)
			wait := h.timers[before].delay
			if wait <= 0 || wait > set.Rules.DiscoveryInterval/5 {
				t.Fatalf("seed %d: asked again after %v", seed, wait)
			}
			waits = append(waits, wait)
		}
	}
	first := waits[0]
	for i := 0; i < len(waits); i += 5 {
		if i > 0 && waits[i] == first {
			t.Errorf("two of the sidecars wait the same %v", first)
		}
	}
}

// A server that reports more than it can answer in time gets nothing until the report is old.
func TestJammedServerGetsNothing(t *testing.T) {
	for _, c := range []struct {
		inflight, qps float32
		age           time.Duration
		gets          bool
	}{
		{inflight: 12, qps: 2, gets: false},
		{inflight: 12, qps: 2, age: 700 * ms, gets: true},
		{inflight: 12, qps: 40, gets: true},
		{inflight: 3, qps: 1, gets: true},
	} {
		set := settings()
		set.Report.Fields = []Field{Inflight, QPS, Util}
		b, h := learned(t, set, 3, 10*ms)
		now := time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		x := h.sends[len(h.sends)-1]
		b.AttemptDone(now+ms, Outcome{ID: 900, Final: true, Endpoint: x.server, Status: OK, Latency: ms,
			Load: []float32{c.inflight, c.qps, 0.5}})
		gets := false
		for i := range RequestID(9) {
			at := now + 2*ms + c.age
			b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
			gets = gets || h.sends[len(h.sends)-1].server == x.server
			h.outcome(b, at+ms, 1000+i, OK)
		}
		if gets != c.gets {
			t.Errorf("%+v: it gets requests %v", c, gets)
		}
	}
}

// The room that an answer leaves goes to the youngest that waits, at once, and to no other.
func TestAnswersRoomGoesToTheYoungest(t *testing.T) {
	b, h := learned(t, settings(), 2, 10*ms)
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	b.burstAt = -time.Hour
	sent := len(h.sends)
	h.outcome(b, 1005*ms, 1000, OK)
	if len(h.sends) != sent+1 || h.sends[sent].id != 1039 {
		t.Errorf("sends on an answer: %v, want request 1039 alone", h.sends[sent:])
	}
}

// Where all that wait are served in a moment, the room goes to the one that has waited longest: none starves behind those
// that come after it. Who is tried in vain keeps its place.
func TestAnswersRoomGoesToTheOldestWhereAllAreServedSoon(t *testing.T) {
	b, h := learned(t, settings(), 2, 10*ms)
	b.doneRate.v = 5000
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	sent, waits := len(h.sends), slices.Clone(b.parked)
	if len(waits) < 20 {
		t.Fatalf("%d wait", len(waits))
	}
	for n := range 3 {
		h.outcome(b, 1005*ms+time.Duration(n)*ms, 1000+RequestID(n), OK)
		if len(h.sends) != sent+n+1 || h.sends[sent+n].id != waits[n].ID {
			t.Errorf("sends on answer %d: %v, want request %d alone", n, h.sends[sent:], waits[n].ID)
		}
	}
}

// A burst after a rest is served at the rate that it is served at, and not refused as if the rest went on.
func TestBurstAfterARestIsNotPressure(t *testing.T) {
	b, h := learned(t, settings(), 8, 10*ms)
	now := 30 * time.Second
	for i := range RequestID(2000) { // fifty at a time, each answered after 10 ms
		at := now + time.Duration(i/50)*10*ms
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
		if i >= 50 {
			h.outcome(b, at, 1000+i-50, OK)
		}
	}
	for id, how := range h.final {
		if strings.HasPrefix(how, "refuse") {
			t.Fatalf("request %d: %s", id, how)
		}
	}
}

// Where they cannot all be in time, what is worth more for its work goes first, the youngest of it.
func TestAnswersRoomGoesToTheWorthiest(t *testing.T) {
	b, h := learned(t, settings(), 2, 10*ms)
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	b.classes[1].protected = true
	b.parked[5].Class, b.parked[9].Class, b.burstAt = 1, 1, -time.Hour
	sent, want := len(h.sends), []RequestID{b.parked[9].ID, b.parked[5].ID, b.parked[len(b.parked)-1].ID}
	for n, id := range want {
		h.outcome(b, 1005*ms+time.Duration(n)*ms, 1000+RequestID(n), OK)
		if len(h.sends) != sent+n+1 || h.sends[sent+n].id != id {
			t.Errorf("sends on answer %d: %v, want request %d alone", n, h.sends[sent:], id)
		}
	}
}

// What a service asks for with too little time left for half of a mean answer is refused before work on it starts; a client's
// first try is not, as its answer may come as quickly as the quickest.
func TestAServicesLateCallIsRefused(t *testing.T) {
	for tier, sent := range []int{1, 0} {
		set := settings()
		set.Tier = tier
		b, h := learned(t, set, 5, 100*ms)
		before := len(h.sends)
		b.RequestArrived(20*time.Second, Request{ID: 1000, Deadline: 20*time.Second + 40*ms})
		if got := len(h.sends) - before; got != sent || sent == 0 && !strings.HasPrefix(h.final[1000], "refuse") {
			t.Errorf("tier %d: %d sends, answer %q", tier, got, h.final[1000])
		}
	}
}

// What all balancers of a fleet can save up in repeats is bounded, however many there are, and a new one has none.
func TestRetriesOfAFleetAddUp(t *testing.T) {
	for _, of := range []int{1, 8, 50, 300} {
		set := settings()
		set.Balancers = of
		b, h := start(t, set, fleet(9))
		if b.retries != 0 {
			t.Errorf("%d balancers: a new one has %g repeats", of, b.retries)
		}
		for i := range RequestID(400) {
			at := time.Duration(i) * ms
			b.RequestArrived(at, Request{ID: i + 1, Deadline: at + 3*time.Second})
			h.outcome(b, at, i+1, OK)
		}
		if most := max(retryBurst, float64(of)); b.retries < 1 || b.retries*float64(of) > most {
			t.Errorf("%d balancers have %g repeats each, all may have %g", of, b.retries, most)
		}
	}
}

// At one level two balancers refuse the same origins, as many as the level says, and other ones a minute later.
func TestOneLevelRefusesTheSameOrigins(t *testing.T) {
	set := settings()
	a, _ := start(t, set, fleet(9))
	set.Seed, set.Index = 99, 3
	b, _ := start(t, set, fleet(9))
	same, later, refused := 0, 0, 0
	for i := range uint64(2000) {
		r := &request{Request: Request{Origin: mix(i)}}
		if a.lot(r, time.Hour) == b.lot(r, time.Hour+20*time.Second) {
			same++
		}
		if first := a.lot(r, time.Hour) < 0.3; first {
			refused++
			if a.lot(r, time.Hour+lotFor) < 0.3 {
				later++
			}
		}
	}
	if same != 2000 || refused < 500 || refused > 700 || later > refused/2 {
		t.Errorf("%d of 2,000 drew alike, %d are refused at 0.3, %d of them a minute later, too", same, refused, later)
	}
}

// At any pressure, what is worth much for its work is not refused where the rest that draws the same lot is let in.
func TestALevelRefusesTheLeastWorthFirst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, _ := learned(t, settings(), 5, 100*ms)
		now := 30 * time.Second
		b.open, b.burstAt = rapid.IntRange(0, 400).Draw(r, "open"), -time.Hour
		b.doneRate = rate{rapid.Float64Range(1, 100).Draw(r, "rate"), now}
		b.classes[1].protected = true
		ask := func(class int, repeat bool, origin uint64) bool {
			_, no := b.shedding(&request{Request: Request{Class: class, ClientRetry: repeat, Origin: origin}}, now)
			return no
		}
		repeat, origin := rapid.Bool().Draw(r, "repeat"), rapid.Uint64Min(1).Draw(r, "origin")
		if ask(1, repeat, origin) && !ask(0, repeat, origin) {
			r.Fatalf("at pressure %g the worthier is refused alone", b.pressure(now))
		}
	})
}

// What lies below has declined is the answer: no other attempt, no word against the server.
func TestDeclinedEndsARequest(t *testing.T) {
	b, h := start(t, settings(), fleet(5))
	b.retries = 8
	b.RequestArrived(0, Request{ID: 1, Deadline: 2 * time.Second})
	b.AttemptDone(10*ms, Outcome{ID: 1, Final: true, Endpoint: h.sends[0].server, Status: Declined})
	if s := b.servers[h.sends[0].server]; len(h.sends) != 1 || len(h.final) != 0 || s.failed != 0 || s.outUntil != 0 || b.doneAll != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, answers %v, %+v, %d done, %d kept", h.sends, h.final, s, b.doneAll, len(b.requests))
	}
}

// A repeat whose first try's aim has passed is refused at once; one in time may go out, but no longer than that aim.
func TestRepeatIsWorthNothingAfterItsFirstTrysAim(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      time.Duration // what clients give a first try, of a deadline of 3 s; the aim is 1 s
		left       time.Duration // what this repeat has
		out        bool
		sentWithin time.Duration
	}{
		{"whole deadlines, 400 ms ago", 3 * time.Second, 2600 * ms, true, 600 * ms},
		{"whole deadlines, 1.2 s ago", 3 * time.Second, 1800 * ms, false, 0},
		{"cut tries, the rest of the deadline", 1300 * ms, 900 * ms, false, 0},
		{"cut tries, a last one that is not cut", 1300 * ms, 2500 * ms, true, 500 * ms},
		{"cut tries, of unknown age", 1300 * ms, 1300 * ms, true, time.Second},
		{"an absurd try among cut ones", 0, 1300 * ms, true, time.Second},
	} {
		b, h := start(t, settings(), fleet(4))
		if c.first == 0 {
			c.first = 1300 * ms
			b.RequestArrived(0, Request{ID: 3, Deadline: 24 * time.Hour})
			h.outcome(b, 10*ms, 3, OK)
		}
		h.sends = nil
		b.RequestArrived(0, Request{ID: 1, Deadline: c.first})
		h.outcome(b, 10*ms, 1, OK)
		now := 5 * time.Second
		b.RequestArrived(now, Request{ID: 2, Deadline: now + c.left, ClientRetry: true})
		out := len(h.sends) == 2
		if out != c.out || !out && h.final[2] != "refuse" || out && h.sends[1].timeout != c.sentWithin {
			t.Errorf("%s: sends %v, answer %q; want it out: %v, within %v", c.name, h.sends[1:], h.final[2], c.out, c.sentWithin)
		}
	}
}

// Settings that are odd, and valid, leave a balancer that sends and ends what it takes.
func TestOddSettingsAreSurvived(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one balancer":         func(s *Settings) { s.Balancers = 1 },
		"a million balancers":  func(s *Settings) { s.Index, s.Balancers = 999_999, 1_000_000 },
		"a zone of its own":    func(s *Settings) { s.Zone = 77 },
		"absurd prices":        func(s *Settings) { s.Penalties = Penalties{1e12, 1e12, 1e12, 1e12, 1e12} },
		"no cold start":        func(s *Settings) { s.Rules.SlowStartTime, s.Rules.SlowStartShare, s.Rules.OverloadMultiple = 0, 0, 0 },
		"no reports":           func(s *Settings) { s.Report = Report{} },
		"reports of one value": func(s *Settings) { s.Report.Fields = []Field{Inflight} },
	} {
		set := settings()
		change(&set)
		_, h := learned(t, set, 5, 10*ms)
		for i := range RequestID(2 * matureCount) {
			if h.final[1+i] != "" {
				t.Errorf("%s: request %d was answered %q without an attempt", name, 1+i, h.final[1+i])
			}
		}
		if len(h.sends) != 2*matureCount {
			t.Errorf("%s: %d sends for %d requests", name, len(h.sends), 2*matureCount)
		}
	}
}

// What one client gave is forgotten after as many others.
func TestBoundsForget(t *testing.T) {
	var v bounds
	if v.outside(5, 0) {
		t.Error("before any value 5 lies outside")
	}
	v.add(24 * time.Hour)
	for i := range 2 * gathered {
		v.add(time.Second)
		if v.outside(2*time.Second, ms) != (i == 2*gathered-1) {
			t.Fatalf("after %d more: 2 s lies outside %v", i+1, v.outside(2*time.Second, ms))
		}
	}
}

// One time-out holds a server off for two aims, unless it has answered since that attempt was sent.
func TestSilentServerIsHeldOff(t *testing.T) {
	for _, c := range []struct {
		answers bool
		after   time.Duration
		gets    bool
	}{{false, 1900 * ms, false}, {false, 2100 * ms, true}, {true, 0, true}} {
		b, h := learned(t, settings(), 3, 10*ms)
		now := 2 * time.Second
		send := func(id RequestID) send {
			b.RequestArrived(now, Request{ID: id, Deadline: now + 3*time.Second})
			return h.sends[len(h.sends)-1]
		}
		silent := send(900)
		for id := RequestID(901); c.answers && id < 920; id++ { // within its doubt
			x := send(id)
			h.outcome(b, now, id, OK)
			if now += ms; x.server == silent.server {
				break
			}
		}
		b.AttemptDone(now, Outcome{ID: 900, Endpoint: silent.server, Status: Timeout, Latency: now})
		now += c.after
		gets := false
		for id := range RequestID(12) {
			gets = gets || send(2000+id).server == silent.server
			h.outcome(b, now, 2000+id, OK)
		}
		if gets != c.gets {
			t.Errorf("%+v: it gets requests %v", c, gets)
		}
	}
}

// A request has waited, was sent, and its time for waiting ran out while it was out. Its attempt never ran and nobody can take
// it: it is answered then, not when it happens to be looked at again, behind its deadline.
func TestWaitingEndsWhileAnAttemptIsOut(t *testing.T) {
	list := fleet(1)
	list[0].State = Draining
	b, h := start(t, settings(), list)
	b.RequestArrived(0, Request{ID: 1, Class: 2, Deadline: 3 * time.Second})
	expire := h.timers[len(h.timers)-2] // behind it, the one at which what waits looks again
	list[0].State = Ready
	b.UpdateEndpoints(ms, Delta, list)
	if len(h.sends) != 1 {
		t.Fatalf("%d sends", len(h.sends))
	}
	b.TimerFired(expire.delay, expire.token)
	if len(h.final) > 0 {
		t.Fatalf("answered while its attempt was out: %v", h.final)
	}
	list[0].State = Draining
	b.UpdateEndpoints(2*time.Second, Delta, list)
	h.outcome(b, 2*time.Second, 1, NotSent)
	if h.final[1] != "refuse" {
		t.Errorf("the answer is %q; it is looked at again only later", h.final[1])
	}
}
