package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that keeps every action as text and those that tests ask about as data.
type recorder struct {
	log     []string
	sends   []send
	timers  []timer
	final   map[RequestID]string
	probes  []EndpointID
	watches int
	cancels []send
}

type send struct {
	id      RequestID
	server  EndpointID
	attempt int
	timeout time.Duration
}

type timer struct {
	delay time.Duration
	token uint64
}

func (h *recorder) note(format string, a ...any) { h.log = append(h.log, fmt.Sprintf(format, a...)) }

func (h *recorder) Send(id RequestID, s EndpointID, d time.Duration) {
	h.note("send %d %d %v", id, s, d)
	n := 0
	for _, x := range h.sends {
		if x.id == id {
			n++
		}
	}
	h.sends = append(h.sends, send{id, s, n, d})
}

func (h *recorder) end(id RequestID, how string) {
	h.note("%s %d", how, id)
	if h.final == nil {
		h.final = map[RequestID]string{}
	}
	h.final[id] += how
}
func (h *recorder) Reject(id RequestID, d time.Duration, _ Reason) { h.end(id, "refuse") }
func (h *recorder) Fail(id RequestID, _ Reason)                    { h.end(id, "fail") }
func (h *recorder) Cancel(id RequestID, n int) {
	h.note("cancel %d %d", id, n)
	h.cancels = append(h.cancels, send{id: id, attempt: n})
}
func (h *recorder) Probe(s EndpointID)               { h.note("probe %d", s); h.probes = append(h.probes, s) }
func (h *recorder) CloseIdle(s EndpointID)           { h.note("close %d", s) }
func (h *recorder) Watch()                           { h.note("watch"); h.watches++ }
func (h *recorder) SendToPeer(peer int, data []byte) { h.note("tell %d %x", peer, data) }
func (h *recorder) StartTimer(d time.Duration, t uint64) {
	h.note("timer %v %d", d, t)
	h.timers = append(h.timers, timer{d, t})
}
func (h *recorder) Log(text string) { h.note("log %s", text) }

func settings() Settings {
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

func fleet(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(100 + i), State: Ready, Cell: i % 3, Units: 1})
	}
	return list
}

func start(t *testing.T, set Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(set, h, 0)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(0, Cached, list)
	return b, h
}

// end reports how the last send of a request ended.
func (h *recorder) outcome(b *Balancer, now time.Duration, id RequestID, status Status) {
	for i := len(h.sends) - 1; i >= 0; i-- {
		if x := h.sends[i]; x.id == id {
			b.AttemptDone(now, Outcome{ID: id, Final: status == OK, Attempt: x.attempt, Endpoint: x.server, Status: status,
				Latency: 10 * ms})
			return
		}
	}
}

func TestUnsafeIsNeitherRepeatedNorRefusedOnceItMayHaveRun(t *testing.T) {
	for status, want := range map[Status]string{Error: "fail", Reset: "fail", Timeout: "fail"} {
		b, h := start(t, settings(), fleet(5))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
		h.outcome(b, 100*ms, 1, status)
		if len(h.sends) != 1 || h.final[1] != want {
			t.Errorf("status %d: %d sends and answer %q, want 1 and %q", status, len(h.sends), h.final[1], want)
		}
	}
}

func TestWhatNeverRanGoesOutAgain(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		b, h := start(t, settings(), fleet(5))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
		h.outcome(b, 10*ms, 1, status)
		if len(h.sends) != 2 || h.sends[0].server == h.sends[1].server {
			t.Errorf("status %d: sends %v, want a second one elsewhere", status, h.sends)
		}
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	list := fleet(9)
	cell := func(id EndpointID) int { return list[id-100].Cell }
	b, h := start(t, settings(), list)
	b.retries = 2 // as after enough sends
	b.RequestArrived(0, Request{ID: 1, Class: 2, Deadline: 5 * time.Second})
	h.outcome(b, 100*ms, 1, Error)
	if len(h.sends) != 2 || cell(h.sends[0].server) != cell(h.sends[1].server) {
		t.Fatalf("sends %v, want a second one in the cell of the first", h.sends)
	}
	h.outcome(b, 2100*ms, 1, Error) // the window of two seconds is over
	if len(h.sends) != 2 || h.final[1] != "fail" {
		t.Errorf("after the window: sends %v, answer %q, want no send and a failure", h.sends, h.final[1])
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	b, h := start(t, settings(), fleet(3))
	b.UpdateEndpoints(0, Delta, []Endpoint{{ID: 100, State: Draining}, {ID: 101, State: Gone}})
	for id := range RequestID(20) {
		b.RequestArrived(ms, Request{ID: id + 1, Deadline: time.Second})
	}
	for _, s := range h.sends {
		if s.server != 102 {
			t.Fatalf("sent to server %d, which drains or is gone", s.server)
		}
	}
	if len(h.sends) == 0 {
		t.Fatal("nothing sent")
	}
}

func TestNoServersMeansHoldThenRefuseInTime(t *testing.T) {
	b, h := start(t, settings(), nil)
	b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: 2 * time.Second})
	b.RequestArrived(0, Request{ID: 2, Class: 1, Deadline: 2 * time.Second})
	if len(h.final) != 0 {
		t.Fatalf("answered at once: %v", h.final)
	}
	var expire time.Duration
	for _, x := range h.timers {
		if x.token == timerExpire|1 {
			expire = x.delay
		}
	}
	b.TimerFired(expire, timerExpire|1)
	if h.final[1] != "refuse" || expire >= time.Second { // later a refusal leaves its client no time for another try
		t.Errorf("answer %q at %v, want a refusal before half of the time", h.final[1], expire)
	}
	b.UpdateEndpoints(ms, Delta, fleet(1)) // request 2 goes out as soon as a server is there
	if len(h.sends) != 1 || h.sends[0].id != 2 {
		t.Errorf("sends %v, want request 2", h.sends)
	}
}

func TestColdServerGetsNoBurst(t *testing.T) {
	set := settings()
	set.Rules.SlowStartShare = 0.2
	list := fleet(10)
	b, h := start(t, set, list)
	now := time.Duration(0)
	id := RequestID(0)
	feed := func(until time.Duration) {
		for ; now < until; now += 5 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Deadline: now + time.Second})
			h.outcome(b, now, id, OK)
		}
	}
	feed(2 * time.Second)
	b.UpdateEndpoints(now, Delta, []Endpoint{{ID: 100, State: Ready, ReadyAt: now, Units: 1}})
	h.sends = nil
	from := now
	feed(now + set.Rules.OverloadWindow)
	cold := 0
	for _, s := range h.sends {
		if s.server == 100 {
			cold++
		}
	}
	// An even part is 20 requests a second, of which it can do a fifth or little more.
	if most := 20 * 0.3 * set.Rules.OverloadMultiple; float64(cold) > most || cold == 0 {
		t.Errorf("%d sends to the cold server in %v, want some and at most %.0f", cold, now-from, most)
	}
}

func TestUnknownThingsAreIgnored(t *testing.T) {
	b, h := start(t, settings(), fleet(2))
	n := len(h.log)
	b.AttemptDone(0, Outcome{ID: 9, Status: OK})
	b.ClientGone(0, 9)
	b.StreamStarted(0, 9, 100, 0, 0)
	b.ProbeDone(0, 999, 0, OK, nil)
	b.TimerFired(0, timerOverdue|9)
	b.TimerFired(0, timerExpire|9)
	b.TimerFired(0, 1<<63)
	b.PeerMessage(0, 3, []byte{1, 2})
	if len(h.log) != n {
		t.Errorf("actions %v", h.log[n:])
	}
	b.RequestArrived(0, Request{ID: 1, Class: 77, Deadline: time.Second})
	if h.final[1] != "refuse" {
		t.Errorf("a request of no known class got %q, want a refusal", h.final[1])
	}
	b.RequestArrived(time.Second, Request{ID: 2, Deadline: 500 * ms})
	if h.final[2] == "" || len(h.sends) != 0 {
		t.Errorf("a request past its deadline got %q and sends %v", h.final[2], h.sends)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":    func(s *Settings) { s.Classes = nil },
		"no attempts":   func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"no aim":        func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
		"negative time": func(s *Settings) { s.Rules.SlowStartTime = -1 },
		"cold share":    func(s *Settings) { s.Rules.SlowStartShare = 2 },
		"tenant":        func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
		"number":        func(s *Settings) { s.Index = -1 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, &recorder{}, 0); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(settings(), nil, 0); err == nil {
		t.Error("no host: no error")
	}
}

// checker judges the actions of a Balancer by the rules alone, from the events it was given.
type checker struct {
	recorder
	t     *testing.T
	set   Settings
	now   time.Duration
	open  map[RequestID]*held
	told  map[EndpointID]time.Duration // when a server was told to drain or be gone
	where map[EndpointID]Endpoint
	due   []due
}

type held struct {
	Request
	sends   []tried
	ended   bool
	overNow bool
}

type tried struct {
	server Endpoint
	at     time.Duration
	status Status // 0 while out
}

type due struct {
	at    time.Duration
	token uint64
}

func mayHaveRun(s Status) bool { return s != Rejected && s != ConnectFailed && s != NotSent }

func (c *checker) StartTimer(d time.Duration, token uint64) {
	c.recorder.StartTimer(d, token)
	c.due = append(c.due, due{c.now + max(d, ms), token})
}

func (c *checker) Send(id RequestID, s EndpointID, d time.Duration) {
	c.recorder.Send(id, s, d)
	q := c.open[id]
	if q == nil || q.ended {
		c.t.Fatalf("%v: send of request %d, which is over", c.now, id)
	}
	server, known := c.where[s]
	if told, drains := c.told[s]; !known || drains && c.now > told+c.set.Rules.DrainGrace {
		c.t.Fatalf("%v: send to server %d, which is not listed or was told to drain", c.now, s)
	}
	class := c.set.Classes[q.Class]
	for _, a := range q.sends {
		if a.status == 0 && !c.set.Limits.Hedging {
			c.t.Fatalf("%v: two attempts of request %d out", c.now, id)
		}
		if a.status != 0 && !mayHaveRun(a.status) || class.Effect == Safe {
			continue
		}
		same := class.DedupScope == ScopeAll || class.DedupScope == ScopeZone && a.server.Zone == server.Zone ||
			class.DedupScope == ScopeCell && a.server.Cell == server.Cell
		if class.Effect == Unsafe || !same || c.now > a.at+class.DedupWindow {
			c.t.Fatalf("%v: request %d may have run at %d and goes out again to %d", c.now, id, a.server.ID, s)
		}
	}
	if len(q.sends) >= c.set.Limits.MaxAttempts {
		c.t.Fatalf("%v: request %d has too many attempts", c.now, id)
	}
	q.sends = append(q.sends, tried{server: server, at: c.now})
}

func (c *checker) final(id RequestID, refused bool) {
	q := c.open[id]
	if q == nil || q.ended {
		if q == nil || !q.overNow {
			c.t.Fatalf("%v: a second final answer for request %d", c.now, id)
		}
		return
	}
	class := c.set.Classes[q.Class]
	for _, a := range q.sends {
		ran := a.status == 0 || mayHaveRun(a.status)
		if refused && ran && (class.Effect == Unsafe || class.Effect == Keyed && class.DedupScope != ScopeAll) {
			c.t.Fatalf("%v: request %d refused though it may have run", c.now, id)
		}
	}
	q.ended = true
}

func (c *checker) Reject(id RequestID, d time.Duration, why Reason) {
	c.recorder.Reject(id, d, why)
	c.final(id, true)
}
func (c *checker) Fail(id RequestID, why Reason) { c.recorder.Fail(id, why); c.final(id, false) }
func (c *checker) Cancel(id RequestID, n int) {
	c.recorder.Cancel(id, n)
	if q := c.open[id]; q == nil || n >= len(q.sends) || !c.set.Limits.Cancel {
		c.t.Fatalf("%v: cancel of attempt %d of request %d, which was not made or is not allowed", c.now, n, id)
	}
}
func (c *checker) Probe(s EndpointID) {
	c.recorder.Probe(s)
	if _, known := c.where[s]; !known || !c.set.Limits.Probes {
		c.t.Fatalf("%v: probe of %d", c.now, s)
	}
}

// TestRulesUnderRandomEvents plays seeded random days and judges every action by the rules.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		first := randomDay(t, seed)
		if second := randomDay(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: equal events gave other actions", seed)
		}
	}
}

func randomDay(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := settings()
	set.Seed, set.Tier, set.PollDiscovery = seed, rng.IntN(2), rng.IntN(2) == 0
	set.Classes[2].DedupScope = DedupScope(rng.IntN(3))
	set.Limits.Hedging, set.Limits.Cancel, set.Limits.Probes = rng.IntN(2) == 0, rng.IntN(3) > 0, rng.IntN(2) == 0
	set.Report.Source = ReportSource(rng.IntN(3))
	set.Tenants = []Tenant{{Share: 0.5, Quota: 20}, {Share: 0.5}}[:rng.IntN(3)]
	c := &checker{t: t, set: set, open: map[RequestID]*held{}, told: map[EndpointID]time.Duration{},
		where: map[EndpointID]Endpoint{}}
	b, err := New(set, c, 0)
	if err != nil {
		t.Fatal(err)
	}
	news := func(kind ListKind, list []Endpoint) {
		for _, s := range list {
			c.where[s.ID] = s
			if delete(c.told, s.ID); s.State != Ready {
				c.told[s.ID] = c.now
			}
		}
		if kind == Full || kind == Cached {
			for id := range c.where {
				listed := false
				for _, s := range list {
					listed = listed || s.ID == id
				}
				if _, told := c.told[id]; !listed && !told {
					c.told[id] = c.now
				}
			}
		}
		b.UpdateEndpoints(c.now, kind, list)
	}
	list := fleet(12)
	for i := range list {
		list[i].Zone = i % 2
	}
	news(Cached, list)
	next := RequestID(1)
	var out []send
	answer := func(i int, status Status) {
		x := out[i]
		out = append(out[:i], out[i+1:]...)
		q := c.open[x.id]
		closed := q.ended || status == OK
		q.sends[x.attempt].status = status
		if status == OK {
			q.ended = true
		}
		var load []float32
		if rng.IntN(2) == 0 {
			load = []float32{float32(rng.NormFloat64()), float32(rng.NormFloat64())}
		}
		b.AttemptDone(c.now, Outcome{ID: x.id, Final: closed, Attempt: x.attempt, Endpoint: x.server, Status: status,
			Latency: c.now - q.sends[x.attempt].at, Load: load})
	}
	taken := func() {
		out = append(out, c.sends...)
		for i := range out {
			if q := c.open[out[i].id]; out[i].attempt == 0 {
				for n, a := range q.sends {
					if a.server.ID == out[i].server && a.status == 0 {
						out[i].attempt = n
					}
				}
			}
		}
		c.sends = nil
	}
	bad := rng.Float64() * 0.6
	for c.now < 12*time.Second {
		c.now += time.Duration(rng.IntN(20)) * ms / 2
		for i := 0; i < len(c.due); i++ {
			if d := c.due[i]; d.at <= c.now {
				c.due = append(c.due[:i], c.due[i+1:]...)
				b.TimerFired(c.now, d.token)
				i--
			}
		}
		taken()
		for _, q := range c.open {
			if !q.ended && c.now > q.Deadline+10*ms {
				for _, a := range q.sends {
					if a.status == 0 {
						goto outstanding // its time-out comes below
					}
				}
				t.Fatalf("seed %d, %v: request %d has no answer %v after its deadline", seed, c.now, q.ID, c.now-q.Deadline)
			}
		outstanding:
		}
		for i := 0; i < len(out); i++ {
			if q := c.open[out[i].id]; c.now >= q.Deadline || c.now >= q.sends[out[i].attempt].at+out[i].timeout {
				answer(i, Timeout)
				taken()
				i--
			}
		}
		switch rng.IntN(12) {
		case 0:
			s := list[rng.IntN(len(list))]
			s.State = State(rng.IntN(3))
			if rng.IntN(2) == 0 {
				s.ReadyAt = c.now
			}
			news(Delta, []Endpoint{s})
		case 1:
			if rng.IntN(10) == 0 {
				news(Full, list[:rng.IntN(len(list)+1)])
			} else if set.PollDiscovery {
				b.UpdateEndpoints(c.now, Failed, nil)
			}
		case 2:
			b.ProbeDone(c.now, list[rng.IntN(len(list))].ID, ms, Status(1+rng.IntN(8)), []float32{1, float32(rng.Float64())})
		case 3:
			if id := RequestID(1 + rng.IntN(int(next))); c.open[id] != nil && rng.IntN(10) == 0 {
				if !c.open[id].ended {
					c.open[id].ended = true
				}
				b.ClientGone(c.now, id)
			}
		case 4, 5, 6, 7:
			q := Request{ID: next, Class: rng.IntN(len(set.Classes)), Tenant: rng.IntN(3),
				Deadline: c.now + time.Duration(rng.IntN(3000)-10)*ms, ClientRetry: rng.IntN(4) == 0}
			next++
			c.open[q.ID] = &held{Request: q}
			b.RequestArrived(c.now, q)
		default:
			if len(out) > 0 {
				status := OK
				if rng.Float64() < bad {
					status = Status(2 + rng.IntN(7))
				}
				answer(rng.IntN(len(out)), status)
			}
		}
		taken()
	}
	return c.log
}

// The share that others are to refuse follows the latency that is foretold, and is none behind the clients' tier.
func TestRefusalForOthers(t *testing.T) {
	set := settings()
	for _, c := range []struct {
		tier         int
		open, served float64
		least, most  float64
	}{
		{0, 100, 300, 0, 0}, // half a second, of an aim of one
		{0, 5, 0, 0, 0},     // too few open to tell
		{0, 300, 320, 0.1, 0.9},
		{0, 1000, 100, 1, 1},
		{0, 1000, 0, 1, 1},
		{1, 1000, 100, 0, 0},
	} {
		set.Tier = c.tier
		if got := set.RejectShare(c.open, c.served); got < c.least || got > c.most {
			t.Errorf("%+v: %g", c, got)
		}
	}
}
