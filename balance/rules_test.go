package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that keeps every action as text, and those that tests check as data.
type recorder struct {
	log     []string
	sends   []sentAttempt
	timers  []timer
	final   map[RequestID]string
	probes  []EndpointID
	watches int
	cancels []sentAttempt
}

// sentAttempt is one call of Send, or of Cancel.
type sentAttempt struct {
	id       RequestID
	endpoint EndpointID
	attempt  int
	timeout  time.Duration
}

type timer struct {
	delay time.Duration
	token uint64
}

func (h *recorder) record(format string, a ...any) { h.log = append(h.log, fmt.Sprintf(format, a...)) }

func (h *recorder) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	h.record("send %d %d %v", id, endpoint, timeout)
	attempt := 0
	for _, sent := range h.sends {
		if sent.id == id {
			attempt++
		}
	}
	h.sends = append(h.sends, sentAttempt{id, endpoint, attempt, timeout})
}

func (h *recorder) recordFinal(id RequestID, answer string) {
	h.record("%s %d", answer, id)
	if h.final == nil {
		h.final = map[RequestID]string{}
	}
	h.final[id] += answer
}
func (h *recorder) Reject(id RequestID, d time.Duration, _ Reason) { h.recordFinal(id, "refuse") }
func (h *recorder) Fail(id RequestID, _ Reason)                    { h.recordFinal(id, "fail") }
func (h *recorder) Cancel(id RequestID, n int) {
	h.record("cancel %d %d", id, n)
	h.cancels = append(h.cancels, sentAttempt{id: id, attempt: n})
}
func (h *recorder) Probe(id EndpointID)              { h.record("probe %d", id); h.probes = append(h.probes, id) }
func (h *recorder) CloseIdle(endpoint EndpointID)    { h.record("close %d", endpoint) }
func (h *recorder) Watch()                           { h.record("watch"); h.watches++ }
func (h *recorder) SendToPeer(peer int, data []byte) { h.record("tell %d %x", peer, data) }
func (h *recorder) StartTimer(delay time.Duration, token uint64) {
	h.record("timer %v %d", delay, token)
	h.timers = append(h.timers, timer{delay, token})
}
func (h *recorder) Log(text string) { h.record("log %s", text) }

// testSettings returns the settings on which the tests are based: a safe, an unsafe and a keyed class.
func testSettings() Settings {
	return Settings{
		Seed: 7, Balancers: 1, Tick: ms,
		Classes: []Class{
			{LatencyTarget: time.Second, Deadline: 3 * time.Second, Utility: 1},
			{LatencyTarget: time.Second, Deadline: 3 * time.Second, Utility: 9, Effect: Unsafe},
			{LatencyTarget: time.Second, Deadline: 3 * time.Second, Utility: 9, Effect: Keyed, DedupScope: ScopeCell, DedupWindow: 2 * time.Second,
				LateUtility: 0.5},
		},
		Objective: Objective{Overall: 1},
		Report:    Report{Source: OnResponses, Fields: []Field{LatencyMS, Util}},
		Limits:    Limits{Cancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: time.Second},
		Rules: Rules{DrainGrace: 250 * ms, DiscoveryInterval: 10 * time.Second, SlowStartShare: 0.3, SlowStartTime: 8 * time.Second,
			OverloadMultiple: 3, OverloadWindow: time.Second},
	}
}

// endpointList returns a list of n ready endpoints in three cells, with IDs from 100.
func endpointList(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(100 + i), State: Ready, Cell: i % 3, Units: 1})
	}
	return list
}

// startBalancer starts a balancer with a list of endpoints.
func startBalancer(t *testing.T, set Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(set, h, 0)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, Cached, list)
	return b, h
}

// reportOutcome reports an outcome of the last attempt of a request.
func (h *recorder) reportOutcome(b *Balancer, now time.Duration, id RequestID, status Status) {
	for i := len(h.sends) - 1; i >= 0; i-- {
		if sent := h.sends[i]; sent.id == id {
			b.AttemptDone(now, Outcome{ID: id, Final: status == OK, Attempt: sent.attempt, Endpoint: sent.endpoint, Status: status,
				Latency: 10 * ms})
			return
		}
	}
}

func TestUnsafeNotRetriedOnceItMayHaveRun(t *testing.T) {
	for status, want := range map[Status]string{Error: "fail", Reset: "fail", Timeout: "fail"} {
		b, h := startBalancer(t, testSettings(), endpointList(5))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
		h.reportOutcome(b, 100*ms, 1, status)
		if len(h.sends) != 1 || h.final[1] != want {
			t.Errorf("status %d: %d sends and answer %q, want 1 and %q", status, len(h.sends), h.final[1], want)
		}
	}
}

func TestUnprocessedAttemptIsRetried(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		b, h := startBalancer(t, testSettings(), endpointList(5))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
		h.reportOutcome(b, 10*ms, 1, status)
		if len(h.sends) != 2 || h.sends[0].endpoint == h.sends[1].endpoint {
			t.Errorf("status %d: sends %v, want a second one to another endpoint", status, h.sends)
		}
	}
}

func TestKeyedRetryStaysInScopeAndWindow(t *testing.T) {
	list := endpointList(9)
	cell := func(id EndpointID) int { return list[id-100].Cell }
	b, h := startBalancer(t, testSettings(), list)
	b.retryTokens = 2 // as after 16 sends
	b.RequestArrived(0, Request{ID: 1, Class: 2, Deadline: 5 * time.Second})
	h.reportOutcome(b, 100*ms, 1, Error)
	if len(h.sends) != 2 || cell(h.sends[0].endpoint) != cell(h.sends[1].endpoint) {
		t.Fatalf("sends %v, want a second one in the cell of the first", h.sends)
	}
	h.reportOutcome(b, 2100*ms, 1, Error) // the deduplication window of two seconds is over
	if len(h.sends) != 2 || h.final[1] != "fail" {
		t.Errorf("after the window: sends %v, answer %q, want no send and a failure", h.sends, h.final[1])
	}
}

func TestDrainingEndpointGetsNothing(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(3))
	b.UpdateEndpoints(0, Delta, []Endpoint{{ID: 100, State: Draining}, {ID: 101, State: Gone}})
	for id := range RequestID(20) {
		b.RequestArrived(ms, Request{ID: id + 1, Deadline: time.Second})
	}
	for _, s := range h.sends {
		if s.endpoint != 102 {
			t.Fatalf("sent to endpoint %d, which drains or is gone", s.endpoint)
		}
	}
	if len(h.sends) == 0 {
		t.Fatal("nothing sent")
	}
}

func TestQueueWithoutEndpointsThenReject(t *testing.T) {
	b, h := startBalancer(t, testSettings(), nil)
	b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
	b.RequestArrived(0, Request{ID: 2, Class: 1, Deadline: 2 * time.Second})
	if len(h.final) != 0 {
		t.Fatalf("answered at once: %v", h.final)
	}
	var queueTimeout time.Duration
	for _, x := range h.timers {
		if x.token == timerQueueTimeout|1 {
			queueTimeout = x.delay
		}
	}
	b.TimerFired(queueTimeout, timerQueueTimeout|1)
	if h.final[1] != "refuse" || queueTimeout >= time.Second { // a later rejection would leave the client no time for a retry
		t.Errorf("answer %q at %v, want a rejection before half of the time", h.final[1], queueTimeout)
	}
	b.UpdateEndpoints(ms, Delta, endpointList(1)) // request 2 is sent as soon as there is an endpoint
	if len(h.sends) != 1 || h.sends[0].id != 2 {
		t.Errorf("sends %v, want request 2", h.sends)
	}
}

func TestSlowStartLimitsSends(t *testing.T) {
	set := testSettings()
	set.Rules.SlowStartShare = 0.2
	list := endpointList(10)
	b, h := startBalancer(t, set, list)
	now := time.Duration(0)
	id := RequestID(0)
	sendUntil := func(until time.Duration) {
		for ; now < until; now += 5 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Deadline: now + time.Second})
			h.reportOutcome(b, now, id, OK)
		}
	}
	sendUntil(2 * time.Second)
	b.UpdateEndpoints(now, Delta, []Endpoint{{ID: 100, State: Ready, ReadyAt: now, Units: 1}})
	h.sends = nil
	from := now
	sendUntil(now + set.Rules.OverloadWindow)
	sent := 0
	for _, s := range h.sends {
		if s.endpoint == 100 {
			sent++
		}
	}
	// An even share is 20 requests a second, of which the endpoint can handle a fifth or slightly more.
	if maxSends := 20 * 0.3 * set.Rules.OverloadMultiple; float64(sent) > maxSends || sent == 0 {
		t.Errorf("%d sends to the endpoint in slow start in %v, want some and at most %.0f", sent, now-from, maxSends)
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(2))
	n := len(h.log)
	b.AttemptDone(0, Outcome{ID: 9, Status: OK})
	b.ClientGone(0, 9)
	b.StreamStarted(0, 9, 100, 0, 0)
	b.ProbeDone(0, 999, 0, OK, nil)
	b.TimerFired(0, timerOverdue|9)
	b.TimerFired(0, timerQueueTimeout|9)
	b.TimerFired(0, 1<<63)
	b.PeerMessage(0, 3, []byte{1, 2})
	if len(h.log) != n {
		t.Errorf("actions %v, want none", h.log[n:])
	}
	b.RequestArrived(0, Request{ID: 1, Class: 77, Deadline: time.Second})
	if h.final[1] != "refuse" {
		t.Errorf("a request of an unknown class got %q, want a rejection", h.final[1])
	}
	b.RequestArrived(time.Second, Request{ID: 2, Deadline: 500 * ms})
	if h.final[2] == "" || len(h.sends) != 0 {
		t.Errorf("a request past its deadline got %q and sends %v, want an answer and no sends", h.final[2], h.sends)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no classes":    func(s *Settings) { s.Classes = nil },
		"no attempts":   func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"no target":     func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
		"negative time": func(s *Settings) { s.Rules.SlowStartTime = -1 },
		"start share":   func(s *Settings) { s.Rules.SlowStartShare = 2 },
		"tenant":        func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
		"index":         func(s *Settings) { s.Index = -1 },
	} {
		set := testSettings()
		invalidate(&set)
		if _, err := New(set, &recorder{}, 0); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(testSettings(), nil, 0); err == nil {
		t.Error("no host: no error")
	}
}

// checker checks the actions of a Balancer against the invariants, using only the events that it was given.
type checker struct {
	recorder
	t           *testing.T
	set         Settings
	now         time.Duration
	requests    map[RequestID]*checkedRequest
	withdrawnAt map[EndpointID]time.Duration // when an endpoint was reported to drain or to be gone
	listed      map[EndpointID]Endpoint
	timersDue   []dueTimer
}

// checkedRequest is a request with its attempts so far.
type checkedRequest struct {
	Request
	sends    []checkedAttempt
	ended    bool
	endedNow bool
}

// checkedAttempt is an attempt with the endpoint as it was listed.
type checkedAttempt struct {
	endpoint Endpoint
	sentAt   time.Duration
	status   Status // 0 while in flight
}

// dueTimer is a timer and when it fires.
type dueTimer struct {
	at    time.Duration
	token uint64
}

// mayHaveRun reports whether an attempt with this outcome may have run.
func mayHaveRun(s Status) bool { return s != Rejected && s != ConnectFailed && s != NotSent }

func (c *checker) StartTimer(delay time.Duration, token uint64) {
	c.recorder.StartTimer(delay, token)
	c.timersDue = append(c.timersDue, dueTimer{c.now + max(delay, ms), token})
}

func (c *checker) Send(id RequestID, endpointID EndpointID, timeout time.Duration) {
	c.recorder.Send(id, endpointID, timeout)
	q := c.requests[id]
	if q == nil || q.ended {
		c.t.Fatalf("%v: send of request %d, which is over", c.now, id)
	}
	endpoint, known := c.listed[endpointID]
	if withdrawn, drains := c.withdrawnAt[endpointID]; !known || drains && c.now > withdrawn+c.set.Rules.DrainGrace {
		c.t.Fatalf("%v: send to endpoint %d, which is not listed, drains or is gone", c.now, endpointID)
	}
	class := c.set.Classes[q.Class]
	for _, a := range q.sends {
		if a.status == 0 && !c.set.Limits.Hedging {
			c.t.Fatalf("%v: two attempts of request %d in flight, without hedging", c.now, id)
		}
		if a.status != 0 && !mayHaveRun(a.status) || class.Effect == Safe {
			continue
		}
		inScope := class.DedupScope == ScopeAll || class.DedupScope == ScopeZone && a.endpoint.Zone == endpoint.Zone ||
			class.DedupScope == ScopeCell && a.endpoint.Cell == endpoint.Cell
		if class.Effect == Unsafe || !inScope || c.now > a.sentAt+class.DedupWindow {
			c.t.Fatalf("%v: request %d may have run at %d and is sent again, to %d", c.now, id, a.endpoint.ID, endpointID)
		}
	}
	if len(q.sends) >= c.set.Limits.MaxAttempts {
		c.t.Fatalf("%v: request %d has more than the maximum of attempts", c.now, id)
	}
	q.sends = append(q.sends, checkedAttempt{endpoint: endpoint, sentAt: c.now})
}

// checkFinal checks that a request gets one final answer, and is rejected only if a retry is safe.
func (c *checker) checkFinal(id RequestID, rejected bool) {
	q := c.requests[id]
	if q == nil || q.ended {
		if q == nil || !q.endedNow {
			c.t.Fatalf("%v: a second final answer for request %d", c.now, id)
		}
		return
	}
	class := c.set.Classes[q.Class]
	for _, a := range q.sends {
		ran := a.status == 0 || mayHaveRun(a.status)
		if rejected && ran && (class.Effect == Unsafe || class.Effect == Keyed && class.DedupScope != ScopeAll) {
			c.t.Fatalf("%v: request %d rejected though it may have run", c.now, id)
		}
	}
	q.ended = true
}

func (c *checker) Reject(id RequestID, retryAfter time.Duration, reason Reason) {
	c.recorder.Reject(id, retryAfter, reason)
	c.checkFinal(id, true)
}
func (c *checker) Fail(id RequestID, r Reason) { c.recorder.Fail(id, r); c.checkFinal(id, false) }
func (c *checker) Cancel(id RequestID, n int) {
	c.recorder.Cancel(id, n)
	if q := c.requests[id]; q == nil || n >= len(q.sends) || !c.set.Limits.Cancel {
		c.t.Fatalf("%v: cancel of attempt %d of request %d, which was not made or is not allowed", c.now, n, id)
	}
}
func (c *checker) Probe(endpoint EndpointID) {
	c.recorder.Probe(endpoint)
	if _, known := c.listed[endpoint]; !known || !c.set.Limits.Probes {
		c.t.Fatalf("%v: probe of endpoint %d, which is not listed, or probes are not allowed", c.now, endpoint)
	}
}

// TestRulesUnderRandomEvents runs seeded random events and checks every action against the invariants.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		first := randomRun(t, seed)
		if second := randomRun(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: equal events gave different actions", seed)
		}
	}
}

// randomRun gives a Balancer 12 s of random events, and returns its actions.
func randomRun(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.Seed, set.Tier, set.PollDiscovery = seed, rng.IntN(2), rng.IntN(2) == 0
	set.Classes[2].DedupScope = DedupScope(rng.IntN(3))
	set.Limits.Hedging, set.Limits.Cancel, set.Limits.Probes = rng.IntN(2) == 0, rng.IntN(3) > 0, rng.IntN(2) == 0
	set.Report.Source = ReportSource(rng.IntN(3))
	set.Tenants = []Tenant{{Share: 0.5, Quota: 20}, {Share: 0.5}}[:rng.IntN(3)]
	c := &checker{t: t, set: set, requests: map[RequestID]*checkedRequest{}, withdrawnAt: map[EndpointID]time.Duration{},
		listed: map[EndpointID]Endpoint{}}
	b, err := New(set, c, 0)
	if err != nil {
		t.Fatal(err)
	}
	update := func(kind ListKind, list []Endpoint) {
		for _, endpoint := range list {
			c.listed[endpoint.ID] = endpoint
			if delete(c.withdrawnAt, endpoint.ID); endpoint.State != Ready {
				c.withdrawnAt[endpoint.ID] = c.now
			}
		}
		if kind == Full || kind == Cached {
			for id := range c.listed {
				listed := false
				for _, endpoint := range list {
					listed = listed || endpoint.ID == id
				}
				if _, withdrawn := c.withdrawnAt[id]; !listed && !withdrawn {
					c.withdrawnAt[id] = c.now
				}
			}
		}
		b.UpdateEndpoints(c.now, kind, list)
	}
	list := endpointList(12)
	for i := range list {
		list[i].Zone = i % 2
	}
	update(Cached, list)
	next := RequestID(1)
	var inFlight []sentAttempt
	report := func(i int, status Status) {
		sent := inFlight[i]
		inFlight = append(inFlight[:i], inFlight[i+1:]...)
		q := c.requests[sent.id]
		final := q.ended || status == OK
		q.sends[sent.attempt].status = status
		if status == OK {
			q.ended = true
		}
		var load []float32
		if rng.IntN(2) == 0 {
			load = []float32{float32(rng.NormFloat64()), float32(rng.NormFloat64())}
		}
		b.AttemptDone(c.now, Outcome{ID: sent.id, Final: final, Attempt: sent.attempt, Endpoint: sent.endpoint, Status: status,
			Latency: c.now - q.sends[sent.attempt].sentAt, Load: load})
	}
	collectSends := func() {
		inFlight = append(inFlight, c.sends...)
		for i := range inFlight {
			if q := c.requests[inFlight[i].id]; inFlight[i].attempt == 0 {
				for n, a := range q.sends {
					if a.endpoint.ID == inFlight[i].endpoint && a.status == 0 {
						inFlight[i].attempt = n
					}
				}
			}
		}
		c.sends = nil
	}
	errorRate := rng.Float64() * 0.6
	for c.now < 12*time.Second {
		c.now += time.Duration(rng.IntN(20)) * ms / 2
		for i := 0; i < len(c.timersDue); i++ {
			if d := c.timersDue[i]; d.at <= c.now {
				c.timersDue = append(c.timersDue[:i], c.timersDue[i+1:]...)
				b.TimerFired(c.now, d.token)
				i--
			}
		}
		collectSends()
		for _, q := range c.requests {
			if !q.ended && c.now > q.Deadline+10*ms {
				for _, a := range q.sends {
					if a.status == 0 {
						goto outstanding // its time-out is reported below
					}
				}
				t.Fatalf("seed %d, %v: request %d has no answer %v after its deadline", seed, c.now, q.ID, c.now-q.Deadline)
			}
		outstanding:
		}
		for i := 0; i < len(inFlight); i++ {
			if q := c.requests[inFlight[i].id]; c.now >= q.Deadline || c.now >= q.sends[inFlight[i].attempt].sentAt+inFlight[i].timeout {
				report(i, Timeout)
				collectSends()
				i--
			}
		}
		switch rng.IntN(12) {
		case 0:
			endpoint := list[rng.IntN(len(list))]
			endpoint.State = State(rng.IntN(3))
			if rng.IntN(2) == 0 {
				endpoint.ReadyAt = c.now
			}
			update(Delta, []Endpoint{endpoint})
		case 1:
			if rng.IntN(10) == 0 {
				update(Full, list[:rng.IntN(len(list)+1)])
			} else if set.PollDiscovery {
				b.UpdateEndpoints(c.now, Failed, nil)
			}
		case 2:
			b.ProbeDone(c.now, list[rng.IntN(len(list))].ID, ms, Status(1+rng.IntN(8)), []float32{1, float32(rng.Float64())})
		case 3:
			if id := RequestID(1 + rng.IntN(int(next))); c.requests[id] != nil && rng.IntN(10) == 0 {
				if !c.requests[id].ended {
					c.requests[id].ended = true
				}
				b.ClientGone(c.now, id)
			}
		case 4, 5, 6, 7:
			q := Request{ID: next, Class: rng.IntN(len(set.Classes)), Tenant: rng.IntN(3),
				Deadline: c.now + time.Duration(rng.IntN(3000)-10)*ms, ClientRetry: rng.IntN(4) == 0}
			next++
			c.requests[q.ID] = &checkedRequest{Request: q}
			b.RequestArrived(c.now, q)
		default:
			if len(inFlight) > 0 {
				status := OK
				if rng.Float64() < errorRate {
					status = Status(2 + rng.IntN(7))
				}
				report(rng.IntN(len(inFlight)), status)
			}
		}
		collectSends()
	}
	return c.log
}

// The share to reject for another data plane follows the predicted latency, and is 0 below the tier that clients reach.
func TestRejectShare(t *testing.T) {
	set := testSettings()
	for _, c := range []struct {
		tier            int
		open, served    float64
		atLeast, atMost float64
	}{
		{0, 100, 300, 0, 0}, // predicted latency of half the target
		{0, 5, 0, 0, 0},     // too few open requests
		{0, 300, 320, 0.1, 0.9},
		{0, 1000, 100, 1, 1},
		{0, 1000, 0, 1, 1},
		{1, 1000, 100, 0, 0},
	} {
		set.Tier = c.tier
		if got := set.RejectShare(c.open, c.served); got < c.atLeast || got > c.atMost {
			t.Errorf("%+v: %g", c, got)
		}
	}
}
