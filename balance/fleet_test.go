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

// startWarmedUp starts a balancer that has seen enough answers to use its latency statistics.
func startWarmedUp(t *testing.T, set Settings, endpoints int, latency time.Duration) (*Balancer, *recorder) {
	b, h := startBalancer(t, set, endpointList(endpoints))
	for i := range RequestID(2 * minSamples) {
		now := time.Duration(i) * 2 * latency
		b.RequestArrived(now, Request{ID: 1 + i, Deadline: now + 3*time.Second})
		x := h.sends[len(h.sends)-1]
		b.AttemptDone(now+latency, Outcome{ID: x.id, Final: true, Endpoint: x.endpoint, Status: OK, Latency: latency})
	}
	return b, h
}

// settingsOf returns the settings of one of several balancers.
func settingsOf(me, balancers int) Settings {
	set := testSettings()
	set.Seed, set.Index, set.Balancers = uint64(me), me, balancers
	return set
}

// When answers stop, a dozen balancers must not leave four attempts each at every endpoint: together they keep within the in-flight
// limit of the endpoints, not one attempt of each at every endpoint.
func TestInFlightLimitIsSharedAmongBalancers(t *testing.T) {
	for _, c := range []struct{ balancers, endpoints, maxEach, maxAll int }{
		{balancers: 1, endpoints: 8, maxEach: 7, maxAll: 56},
		{balancers: 12, endpoints: 8, maxEach: 12, maxAll: 64},
		{balancers: 14, endpoints: 16, maxEach: 14, maxAll: 128},
		{balancers: 40, endpoints: 8, maxEach: 40, maxAll: 320}, // each balancer may have at least one
	} {
		inFlight, all := map[EndpointID]int{}, 0
		for index := range c.balancers {
			b, h := startWarmedUp(t, settingsOf(index, c.balancers), c.endpoints, 10*ms)
			before := len(h.sends)
			for i := range RequestID(60) {
				b.RequestArrived(time.Second, Request{ID: 1000 + i, Deadline: 4 * time.Second})
			}
			for _, s := range h.sends[before:] {
				inFlight[s.endpoint]++
			}
		}
		if len(inFlight) != c.endpoints {
			t.Errorf("%d balancers: %d endpoints have attempts in flight, want all %d", c.balancers, len(inFlight), c.endpoints)
		}
		for id, n := range inFlight {
			if n > c.maxEach {
				t.Errorf("%d balancers: endpoint %d has %d attempts in flight, want at most %d", c.balancers, id, n, c.maxEach)
			}
			all += n
		}
		if all > c.maxAll || all < c.endpoints*baseSlots*3/4 {
			t.Errorf("%d balancers: %d attempts in flight at %d endpoints, want about %v each", c.balancers, all, c.endpoints, baseSlots)
		}
	}
}

// An endpoint is skipped while an attempt there takes 2.5 times the mean latency, before it is overdue at four times the mean. Twice
// the mean is not enough: with heavy-tailed work that is one request in ten, and healthy endpoints were skipped for it.
func TestSlowAttemptExcludesItsEndpoint(t *testing.T) {
	for after, skipped := range map[time.Duration]bool{440 * ms: false, 520 * ms: true} {
		b, h := startWarmedUp(t, testSettings(), 4, 200*ms)
		now := 15 * time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		slow, got := h.sends[len(h.sends)-1].endpoint, 0
		now += after
		for i := range RequestID(12) {
			b.RequestArrived(now, Request{ID: 1000 + i, Deadline: now + 3*time.Second})
			if h.sends[len(h.sends)-1].endpoint == slow {
				got++
			}
			h.reportOutcome(b, now+ms, 1000+i, OK)
		}
		if skipped != (got == 0) {
			t.Errorf("an attempt in flight for %v, at a mean latency of 200 ms: its endpoint got %d of 12 requests", after, got)
		}
	}
}

// Traffic spills over to another zone while the local zone is loaded and the other is less so, even by a little: crossing zones costs
// milliseconds, queueing hundreds of them.
func TestLocalitySpillover(t *testing.T) {
	for _, c := range []struct {
		local, remote float64
		spills        bool
	}{{0.9, 0.82, true}, {0.9, 0.88, false}, {0.7, 0.5, false}} {
		list := endpointList(8)
		for i := range list {
			list[i].Zone = i % 2
		}
		b, _ := startBalancer(t, testSettings(), list)
		for _, s := range b.tracked {
			s.readings, s.utilisation = 99, []float64{c.local, c.remote}[s.Zone]
		}
		for n := range 6 {
			b.updateAfterPhase(time.Duration(n+1) * time.Second)
		}
		if spills := b.spillover > 0.5; spills != c.spills {
			t.Errorf("%+v: an endpoint of the other zone gets %.2f of its weight", c, b.spillover)
		}
	}
}

// With less time left than half of the class's mean latency, a retry is work whose answer comes too late.
func TestNoRetryWithoutTimeLeft(t *testing.T) {
	for left, retries := range map[time.Duration]bool{20 * ms: false, 400 * ms: true} {
		b, h := startWarmedUp(t, testSettings(), 4, 200*ms)
		now := 15 * time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		before := len(h.sends)
		h.reportOutcome(b, now+b.set.Classes[0].LatencyTarget-left, 900, Error)
		if retried := len(h.sends) > before; retried != retries {
			t.Errorf("with %v left: retried %v, want %v", left, retried, retries)
		}
		if !retries && h.final[900] != "refuse" {
			t.Errorf("with %v left: answer %q, want a rejection at once", left, h.final[900])
		}
	}
}

// Sidecars that lose discovery together retry at different times, and soon enough that drains are delivered in time.
func TestDiscoveryRetriesAreSpread(t *testing.T) {
	var waits []time.Duration
	for seed := range uint64(60) {
		set := testSettings()
		set.Seed, set.PollDiscovery = seed, true
		b, h := startBalancer(t, set, endpointList(4))
		for range 5 {
			before := len(h.timers)
			b.UpdateEndpoints(0, Failed, nil)
			wait := h.timers[before].delay
			if wait <= 0 || wait > set.Rules.DiscoveryInterval/5 {
				t.Fatalf("seed %d: discovery is called again after %v", seed, wait)
			}
			waits = append(waits, wait)
		}
	}
	first := waits[0]
	for i := 0; i < len(waits); i += 5 {
		if i > 0 && waits[i] == first {
			t.Errorf("two sidecars wait the same time, %v", first)
		}
	}
}

// An endpoint that reports more requests than it can answer in time gets nothing until the report is old.
func TestOverloadedEndpointGetsNothing(t *testing.T) {
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
		set := testSettings()
		set.Report.Fields = []Field{Inflight, QPS, Util}
		b, h := startWarmedUp(t, set, 3, 10*ms)
		now := time.Second
		b.RequestArrived(now, Request{ID: 900, Deadline: now + 3*time.Second})
		sent := h.sends[len(h.sends)-1]
		b.AttemptDone(now+ms, Outcome{ID: 900, Final: true, Endpoint: sent.endpoint, Status: OK, Latency: ms,
			Load: []float32{c.inflight, c.qps, 0.5}})
		gets := false
		for i := range RequestID(9) {
			at := now + 2*ms + c.age
			b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
			gets = gets || h.sends[len(h.sends)-1].endpoint == sent.endpoint
			h.reportOutcome(b, at+ms, 1000+i, OK)
		}
		if gets != c.gets {
			t.Errorf("%+v: the endpoint gets requests: %v", c, gets)
		}
	}
}

// The capacity that an answer frees goes to the youngest queued request, at once, and to no other.
func TestFreedCapacityGoesToYoungestQueued(t *testing.T) {
	b, h := startWarmedUp(t, testSettings(), 2, 10*ms)
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	b.burstStart = -time.Hour
	sent := len(h.sends)
	h.reportOutcome(b, 1005*ms, 1000, OK)
	if len(h.sends) != sent+1 || h.sends[sent].id != 1039 {
		t.Errorf("sends after an answer: %v, want request 1039 alone", h.sends[sent:])
	}
}

// Where the queue is served quickly, the capacity goes to the oldest request, so that none starves behind younger ones. A request for
// which there is no endpoint keeps its place.
func TestFreedCapacityGoesToOldestInAShortQueue(t *testing.T) {
	b, h := startWarmedUp(t, testSettings(), 2, 10*ms)
	b.completionRate.value = 5000
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	sent, queue := len(h.sends), slices.Clone(b.queue)
	if len(queue) < 20 {
		t.Fatalf("%d requests are queued, want at least 20", len(queue))
	}
	for n := range 3 {
		h.reportOutcome(b, 1005*ms+time.Duration(n)*ms, 1000+RequestID(n), OK)
		if len(h.sends) != sent+n+1 || h.sends[sent+n].id != queue[n].ID {
			t.Errorf("sends after answer %d: %v, want request %d alone", n, h.sends[sent:], queue[n].ID)
		}
	}
}

// A burst after idle time is judged by its own completion rate, and not shed because of the low rate before it.
func TestBurstAfterIdleIsNotShed(t *testing.T) {
	b, h := startWarmedUp(t, testSettings(), 8, 10*ms)
	now := 30 * time.Second
	for i := range RequestID(2000) { // fifty at a time, each answered after 10 ms
		at := now + time.Duration(i/50)*10*ms
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
		if i >= 50 {
			h.reportOutcome(b, at, 1000+i-50, OK)
		}
	}
	for id, answer := range h.final {
		if strings.HasPrefix(answer, "refuse") {
			t.Fatalf("request %d: %s", id, answer)
		}
	}
}

// Where they cannot all be in time, a protected class goes first, its youngest request before the others.
func TestFreedCapacityGoesToProtectedClass(t *testing.T) {
	b, h := startWarmedUp(t, testSettings(), 2, 10*ms)
	for i := range RequestID(40) {
		at := time.Second + time.Duration(i)*ms/10
		b.RequestArrived(at, Request{ID: 1000 + i, Deadline: at + 3*time.Second})
	}
	b.classes[1].protected = true
	b.queue[5].Class, b.queue[9].Class, b.burstStart = 1, 1, -time.Hour
	sent, want := len(h.sends), []RequestID{b.queue[9].ID, b.queue[5].ID, b.queue[len(b.queue)-1].ID}
	for n, id := range want {
		h.reportOutcome(b, 1005*ms+time.Duration(n)*ms, 1000+RequestID(n), OK)
		if len(h.sends) != sent+n+1 || h.sends[sent+n].id != id {
			t.Errorf("sends after answer %d: %v, want request %d alone", n, h.sends[sent:], id)
		}
	}
}

// A request from another service with less time left than half of the mean latency is rejected before work on it starts. A client's
// first attempt is not, as its answer may still be fast enough.
func TestLateRequestRejectedBelowClientTier(t *testing.T) {
	for tier, sent := range []int{1, 0} {
		set := testSettings()
		set.Tier = tier
		b, h := startWarmedUp(t, set, 5, 100*ms)
		before := len(h.sends)
		b.RequestArrived(20*time.Second, Request{ID: 1000, Deadline: 20*time.Second + 40*ms})
		if got := len(h.sends) - before; got != sent || sent == 0 && !strings.HasPrefix(h.final[1000], "refuse") {
			t.Errorf("tier %d: %d sends, answer %q", tier, got, h.final[1000])
		}
	}
}

// The retry tokens that all balancers of a fleet can accumulate are bounded, however many balancers there are, and a new one has none.
func TestRetryBurstIsBoundedAcrossBalancers(t *testing.T) {
	for _, balancers := range []int{1, 8, 50, 300} {
		set := testSettings()
		set.Balancers = balancers
		b, h := startBalancer(t, set, endpointList(9))
		if b.retryTokens != 0 {
			t.Errorf("%d balancers: a new one has %g retry tokens", balancers, b.retryTokens)
		}
		for i := range RequestID(400) {
			at := time.Duration(i) * ms
			b.RequestArrived(at, Request{ID: i + 1, Deadline: at + 3*time.Second})
			h.reportOutcome(b, at, i+1, OK)
		}
		if maxAll := max(defaultRetryBurst, float64(balancers)); b.retryTokens < 1 || b.retryTokens*float64(balancers) > maxAll {
			t.Errorf("%d balancers have %g retry tokens each, want at least 1 and all together at most %g", balancers, b.retryTokens, maxAll)
		}
	}
}

// At one level two balancers reject the same origins, as many as the level says, and other origins a minute later.
func TestAdmissionDrawIsTheSameAtAllBalancers(t *testing.T) {
	set := testSettings()
	a, _ := startBalancer(t, set, endpointList(9))
	set.Seed, set.Index = 99, 3
	b, _ := startBalancer(t, set, endpointList(9))
	same, later, rejected := 0, 0, 0
	for i := range uint64(2000) {
		r := &request{Request: Request{Origin: hash(i)}}
		if a.admissionDraw(r, time.Hour) == b.admissionDraw(r, time.Hour+20*time.Second) {
			same++
		}
		if first := a.admissionDraw(r, time.Hour) < 0.3; first {
			rejected++
			if a.admissionDraw(r, time.Hour+drawPeriod) < 0.3 {
				later++
			}
		}
	}
	if same != 2000 || rejected < 500 || rejected > 700 || later > rejected/2 {
		t.Errorf("%d of 2,000 origins drew the same, want all; %d are rejected at 0.3, want 500 to 700; %d of them also a minute later, want at most half", same, rejected, later)
	}
}

// At any pressure, a protected class is not rejected where the others are admitted with the same draw.
func TestSheddingKeepsProtectedClass(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, _ := startWarmedUp(t, testSettings(), 5, 100*ms)
		now := 30 * time.Second
		b.openRequests, b.burstStart = rapid.IntRange(0, 400).Draw(r, "open"), -time.Hour
		b.completionRate = eventRate{rapid.Float64Range(1, 100).Draw(r, "rate"), now}
		b.classes[1].protected = true
		rejects := func(class int, clientRetry bool, origin uint64) bool {
			_, rejected := b.shouldShed(&request{Request: Request{Class: class, ClientRetry: clientRetry, Origin: origin}}, now)
			return rejected
		}
		clientRetry, origin := rapid.Bool().Draw(r, "repeat"), rapid.Uint64Min(1).Draw(r, "origin")
		if rejects(1, clientRetry, origin) && !rejects(0, clientRetry, origin) {
			r.Fatalf("at pressure %g only the protected class is rejected", b.pressure(now))
		}
	})
}

// Declined by a service further down is a final answer: there is no other attempt, and it does not count against the endpoint.
func TestDeclinedEndsRequest(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(5))
	b.retryTokens = 8
	b.RequestArrived(0, Request{ID: 1, Deadline: 2 * time.Second})
	b.AttemptDone(10*ms, Outcome{ID: 1, Final: true, Endpoint: h.sends[0].endpoint, Status: Declined})
	if s := b.endpoints[h.sends[0].endpoint]; len(h.sends) != 1 || len(h.final) != 0 || s.failureRatio != 0 || s.ejectedUntil != 0 || b.completed != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, answers %v, %+v, %d done, %d kept", h.sends, h.final, s, b.completed, len(b.requests))
	}
}

// A client retry is rejected at once when the latency target of its first attempt has passed. Otherwise it is sent, with a timeout up
// to that target at most.
func TestClientRetryAfterFirstAttemptsTarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   time.Duration // timeout of clients' first attempts, with a deadline of 3 s; the target is 1 s
		left    time.Duration // timeout of this retry
		sent    bool
		timeout time.Duration
	}{
		{"timeout equal to the deadline, 400 ms ago", 3 * time.Second, 2600 * ms, true, 600 * ms},
		{"timeout equal to the deadline, 1.2 s ago", 3 * time.Second, 1800 * ms, false, 0},
		{"shorter timeouts, the rest of the deadline", 1300 * ms, 900 * ms, false, 0},
		{"shorter timeouts, a longer one for the last attempt", 1300 * ms, 2500 * ms, true, 500 * ms},
		{"shorter timeouts, of unknown age", 1300 * ms, 1300 * ms, true, time.Second},
		{"an absurd timeout among shorter ones", 0, 1300 * ms, true, time.Second},
	} {
		b, h := startBalancer(t, testSettings(), endpointList(4))
		if c.first == 0 {
			c.first = 1300 * ms
			b.RequestArrived(0, Request{ID: 3, Deadline: 24 * time.Hour})
			h.reportOutcome(b, 10*ms, 3, OK)
		}
		h.sends = nil
		b.RequestArrived(0, Request{ID: 1, Deadline: c.first})
		h.reportOutcome(b, 10*ms, 1, OK)
		now := 5 * time.Second
		b.RequestArrived(now, Request{ID: 2, Deadline: now + c.left, ClientRetry: true})
		sent := len(h.sends) == 2
		if sent != c.sent || !sent && h.final[2] != "refuse" || sent && h.sends[1].timeout != c.timeout {
			t.Errorf("%s: sends %v, answer %q; want it sent: %v, with timeout %v", c.name, h.sends[1:], h.final[2], c.sent, c.timeout)
		}
	}
}

// Unusual but valid settings give a balancer that sends and answers its requests.
func TestUnusualSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one balancer":         func(s *Settings) { s.Balancers = 1 },
		"a million balancers":  func(s *Settings) { s.Index, s.Balancers = 999_999, 1_000_000 },
		"a zone of its own":    func(s *Settings) { s.Zone = 77 },
		"absurd penalties":     func(s *Settings) { s.Penalties = Penalties{1e12, 1e12, 1e12, 1e12, 1e12} },
		"no slow start":        func(s *Settings) { s.Rules.SlowStartTime, s.Rules.SlowStartShare, s.Rules.OverloadMultiple = 0, 0, 0 },
		"no reports":           func(s *Settings) { s.Report = Report{} },
		"reports of one value": func(s *Settings) { s.Report.Fields = []Field{Inflight} },
	} {
		set := testSettings()
		change(&set)
		_, h := startWarmedUp(t, set, 5, 10*ms)
		for i := range RequestID(2 * minSamples) {
			if h.final[1+i] != "" {
				t.Errorf("%s: request %d was answered %q without an attempt", name, 1+i, h.final[1+i])
			}
		}
		if len(h.sends) != 2*minSamples {
			t.Errorf("%s: %d sends for %d requests", name, len(h.sends), 2*minSamples)
		}
	}
}

// An outlier of one client is forgotten after two windows of other values.
func TestRecentRangeForgets(t *testing.T) {
	var v recentRange
	if v.outside(5, 0) {
		t.Error("before any value, 5 counts as outside")
	}
	v.add(24 * time.Hour)
	for i := range 2 * rangeWindow {
		v.add(time.Second)
		if v.outside(2*time.Second, ms) != (i == 2*rangeWindow-1) {
			t.Fatalf("after %d more values: 2 s counts as outside: %v", i+1, v.outside(2*time.Second, ms))
		}
	}
}

// One time-out ejects an endpoint for two latency targets, unless it has answered since that attempt was sent.
func TestTimeoutEjectsEndpoint(t *testing.T) {
	for _, c := range []struct {
		answers bool
		after   time.Duration
		gets    bool
	}{{false, 1900 * ms, false}, {false, 2100 * ms, true}, {true, 0, true}} {
		b, h := startWarmedUp(t, testSettings(), 3, 10*ms)
		now := 2 * time.Second
		send := func(id RequestID) sentAttempt {
			b.RequestArrived(now, Request{ID: id, Deadline: now + 3*time.Second})
			return h.sends[len(h.sends)-1]
		}
		timedOut := send(900)
		for id := RequestID(901); c.answers && id < 920; id++ { // until the endpoint answers another request
			sent := send(id)
			h.reportOutcome(b, now, id, OK)
			if now += ms; sent.endpoint == timedOut.endpoint {
				break
			}
		}
		b.AttemptDone(now, Outcome{ID: 900, Endpoint: timedOut.endpoint, Status: Timeout, Latency: now})
		now += c.after
		gets := false
		for id := range RequestID(12) {
			gets = gets || send(2000+id).endpoint == timedOut.endpoint
			h.reportOutcome(b, now, 2000+id, OK)
		}
		if gets != c.gets {
			t.Errorf("%+v: the endpoint gets requests: %v", c, gets)
		}
	}
}

// A request was queued and then sent, and its queue timer fired while the attempt was in flight. The attempt never ran and there is no
// other endpoint: the request is rejected then, not when the queue is next retried, after its deadline.
func TestQueueTimeoutWhileAttemptInFlight(t *testing.T) {
	list := endpointList(1)
	list[0].State = Draining
	b, h := startBalancer(t, testSettings(), list)
	b.RequestArrived(0, Request{ID: 1, Class: 2, Deadline: 3 * time.Second})
	expire := h.timers[len(h.timers)-2] // the last timer is the one that retries the queue
	list[0].State = Ready
	b.UpdateEndpoints(ms, Delta, list)
	if len(h.sends) != 1 {
		t.Fatalf("%d sends", len(h.sends))
	}
	b.TimerFired(expire.delay, expire.token)
	if len(h.final) > 0 {
		t.Fatalf("answered while its attempt was in flight: %v", h.final)
	}
	list[0].State = Draining
	b.UpdateEndpoints(2*time.Second, Delta, list)
	h.reportOutcome(b, 2*time.Second, 1, NotSent)
	if h.final[1] != "refuse" {
		t.Errorf("answer %q, want a rejection at once", h.final[1])
	}
}
