package balance

import (
	"math"
	"testing"
	"time"
)

// Each case feeds one server's averages at the ends of phases against a fixed mean and states by hand what the step
// and the signal must be after each.
func TestStepFollowsTheTrendOfTheError(t *testing.T) {
	const s0 = lowest
	for name, c := range map[string]struct{ avgs, steps []float64 }{
		"rising":      {[]float64{0.6, 0.7, 0.8, 0.9, 1.0}, []float64{s0, s0, 2 * s0, 4 * s0, 8 * s0}},
		"falling":     {[]float64{1.0, 0.9, 0.8, 0.7}, []float64{s0, s0, s0 / 2, s0 / 4}},
		"bounded":     {[]float64{1.0, 0.9, 0.8, 0.7, 0.6}, []float64{s0, s0, s0 / 2, s0 / 4, s0 / 4}},
		"alternating": {[]float64{0.6, 0.8, 0.6, 0.8}, []float64{s0, s0, s0 / 2, s0 / 4}},
		"level":       {[]float64{0.7, 0.7, 0.7, 0.7}, []float64{s0, s0, s0, s0}},
		"below":       {[]float64{0.4, 0.3, 0.2, 0.1}, []float64{s0, s0, 2 * s0, 4 * s0}},
	} {
		s := &server{reading: reading{cs: 1, step: lowest, count: 1}}
		want := 1.0
		for i, avg := range c.avgs {
			s.avg = avg
			s.control(0.5)
			if avg > 0.5 {
				want -= c.steps[i]
			} else {
				want += c.steps[i]
			}
			want = min(max(want, lowest), highest)
			if s.step != c.steps[i] || math.Abs(s.cs-want) > 1e-12 {
				t.Errorf("%s, phase %d: step %v and signal %v, want %v and %v", name, i, s.step, s.cs, c.steps[i], want)
			}
		}
	}
}

func TestStepAndSignalStayInTheirRange(t *testing.T) {
	s := &server{reading: reading{cs: 1, step: lowest, count: 1}}
	for i := range 40 {
		s.avg = float64(i) / 20
		s.control(0)
	}
	if s.step != highest || s.cs != lowest {
		t.Errorf("step %v and signal %v, want %v and %v", s.step, s.cs, highest, lowest)
	}
}

func TestAverage(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	s := b.tracked[0]
	gap := phases * b.length / 5 // five readings in the window, so n = 5 and alpha = 1/3
	for i, c := range []struct{ u, want float64 }{
		{0.6, 0.6}, // the mean so far
		{0.2, 0.4}, // still the mean: two readings
		{0.4, 0.4}, // three
		{1.0, 0.6}, // from here on alpha: 0.4 + 0.6/3
		{0.0, 0.4}, // 0.6 - 0.6/3
	} {
		b.read(s, c.u, time.Duration(i)*gap)
		if math.Abs(s.avg-c.want) > 1e-3 {
			t.Errorf("after reading %d: %v, want %v", i, s.avg, c.want)
		}
	}
	// Dense readings: n is the paper's 60.
	b, _ = start(t, settings(), fleet(2))
	s = b.tracked[0]
	for i := range 1000 {
		b.read(s, 0.5, time.Duration(i)*ms)
	}
	b.read(s, 1, 1000*ms)
	if want := 0.5 + 0.5*2/61; math.Abs(s.avg-want) > 1e-9 {
		t.Errorf("dense average %v, want %v", s.avg, want)
	}
}

func TestUnchangedReportIsNoNews(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	s := b.tracked[0]
	for i := range 10 {
		b.readReport(s, []float32{12, 0.75}, time.Duration(i)*ms)
	}
	if s.count != 1 || s.avg != 0.75 {
		t.Errorf("%d readings, average %v, want 1 and 0.75", s.count, s.avg)
	}
	b.readReport(s, []float32{13, 0.75}, 20*ms)
	if s.count != 2 {
		t.Errorf("%d readings after a new report, want 2", s.count)
	}
	for _, odd := range [][]float32{nil, {1}, {1, float32(math.NaN())}, {1, float32(math.Inf(1))}, make([]float32, 99)} {
		b.readReport(s, odd, 30*ms)
	}
	if s.count != 2 {
		t.Errorf("%d readings after reports without a value, want 2", s.count)
	}
	b.readReport(s, []float32{14, 7}, 40*ms)
	if s.avg > 1 {
		t.Errorf("average %v after an impossible report", s.avg)
	}
}

// Failures are readings of full utilisation, in the mechanism itself and not only in the exceptions.
func TestFailuresReadAsFullUtilisation(t *testing.T) {
	for _, status := range []Status{Error, Timeout, ConnectFailed, Reset} {
		b, h := start(t, settings(), fleet(2))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: time.Second})
		s := b.servers[h.sends[0].server]
		h.outcome(b, ms, 1, status)
		if s.avg != 1 || s.count != 1 {
			t.Errorf("status %d: average %v of %d readings, want 1 of 1", status, s.avg, s.count)
		}
	}
}

func TestRotationKeepsProportionsAndIsSmooth(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	weights := []float64{2, 1, 0.5, 0.5}
	for i, s := range b.tracked {
		s.cs = weights[i]
	}
	got := map[*server]int{}
	var order []*server
	for range 4000 {
		s := b.spin(0, func(*server) bool { return true })
		got[s]++
		order = append(order, s)
	}
	for i, s := range b.tracked {
		if want := 1000 * weights[i]; math.Abs(float64(got[s])-want) > 4 {
			t.Errorf("weight %v: %d turns, want %v", weights[i], got[s], want)
		}
	}
	for i := 8; i < len(order); i++ { // smooth: the lightest is never picked twice within half of its interval
		for j := i - 3; j < i; j++ {
			if order[i] == order[j] && order[i] == b.tracked[3] {
				t.Fatalf("turns %d and %d both go to the lightest server", j, i)
			}
		}
	}
}

// Faster servers report less utilisation for the same work: their signals must rise until utilisation is even.
func TestSignalsFollowSpeed(t *testing.T) {
	b, _ := start(t, settings(), fleet(8))
	now := time.Duration(0)
	speed := func(s *server) float64 { return 0.5 + float64(s.ID%4)/3 }
	for range 60 {
		sum := 0.0
		for _, s := range b.tracked {
			sum += s.cs
		}
		for range 5 {
			now += b.length / 5
			for _, s := range b.tracked {
				b.read(s, min(1, 0.5*s.cs*8/sum/speed(s)), now)
			}
		}
		b.phase(now)
	}
	low, high := 1.0, 0.0
	for _, s := range b.tracked {
		low, high = min(low, s.avg), max(high, s.avg)
	}
	if high-low > 0.15 {
		t.Errorf("utilisation still between %.2f and %.2f", low, high)
	}
}

func TestOverdueServerIsPassedOver(t *testing.T) {
	b, h := start(t, settings(), fleet(8))
	id := RequestID(0)
	ask := func(now time.Duration) EndpointID {
		id++
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + 10*time.Second})
		return h.sends[len(h.sends)-1].server
	}
	now := time.Duration(0)
	for range 40 { // the class learns its latency: 10 ms
		ask(now)
		h.outcome(b, now, id, OK)
	}
	hung := ask(now) // never answered
	now += 400 * ms
	for range 40 {
		if s := ask(now); s == hung {
			t.Fatalf("sent to server %d while an attempt there is overdue", s)
		}
		h.outcome(b, now, id, OK)
	}
}

// A crawling server answers, only too late: what falls due there must count although nothing has failed yet, and
// while it is on trial it must not get what cannot be repeated.
func TestCrawlingServerIsEjectedAndTriedWithSafeRequests(t *testing.T) {
	b, h := start(t, settings(), fleet(8))
	now, id := time.Duration(0), RequestID(0)
	ask := func(class int) EndpointID {
		id++
		b.RequestArrived(now, Request{ID: id, Class: class, Deadline: now + 10*time.Second})
		return h.sends[len(h.sends)-1].server
	}
	const slow = EndpointID(103)
	for range 400 {
		now += 10 * ms
		s := ask(1)
		if s != slow {
			h.outcome(b, now, id, OK)
			continue
		}
		now += 500 * ms // far more than its class takes
		b.TimerFired(now, timerOverdue|uint64(id))
		h.outcome(b, now, id, OK)
	}
	s := b.servers[slow]
	if !s.trial {
		t.Fatalf("not ejected: share of failures %.2f", s.failed)
	}
	now = s.outUntil // on trial from here
	for range 40 {
		if ask(1) == slow {
			t.Fatal("an unsafe request went to a server on trial")
		}
		h.outcome(b, now, id, OK)
	}
	got := false
	for range 40 {
		got = got || ask(0) == slow
		h.outcome(b, now, id, OK)
	}
	if !got {
		t.Error("no safe request went to the server on trial")
	}
}

func TestFastFailingServerIsEjectedAndTriedAgain(t *testing.T) {
	b, h := start(t, settings(), fleet(8))
	now, id := time.Duration(0), RequestID(0)
	bad := EndpointID(103)
	count := func(span time.Duration, failing bool) int {
		n := 0
		for until := now + span; now < until; now += 10 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + time.Second})
			s := h.sends[len(h.sends)-1].server
			if s == bad {
				n++
			}
			if s == bad && failing {
				h.outcome(b, now, id, Error)
			} else {
				h.outcome(b, now, id, OK)
			}
		}
		return n
	}
	if n := count(2*time.Second, true); n > 6 || n == 0 {
		t.Errorf("%d of 200 requests to a server that fails all, want a few at most", n)
	}
	if n := count(20*time.Second, false); n < 60 {
		t.Errorf("%d of 2000 requests once it answers again, want it back in the rotation", n)
	}
}

func TestEjectionNeverTakesMoreThanItsShare(t *testing.T) {
	b, h := start(t, settings(), fleet(9))
	now, id := time.Duration(0), RequestID(0)
	bad := func(s EndpointID) bool { return s%2 == 0 }
	for range 600 {
		now += ms
		id++
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + time.Second})
		if bad(h.sends[len(h.sends)-1].server) {
			h.outcome(b, now, id, Error)
		} else {
			h.outcome(b, now, id, OK)
		}
		out := 0
		for _, s := range b.tracked {
			if now < s.outUntil || s.trial {
				out++
			}
		}
		if out*ejectShare > len(b.tracked) {
			t.Fatalf("%d of %d servers ejected", out, len(b.tracked))
		}
	}
}

// All balancers together must cover all servers about evenly, also those of one of several zones.
func TestSubsetsCoverEvenly(t *testing.T) {
	for name, zones := range map[string]int{"one zone": 1, "three zones": 3} {
		const balancers, servers = 60, 240
		list := fleet(servers)
		for i := range list {
			list[i].Zone = i % zones
		}
		seen := map[EndpointID]int{}
		for me := range balancers {
			set := settings()
			set.Index, set.Balancers, set.Zone = me, balancers, me%zones
			b, _ := start(t, set, list)
			for _, s := range b.tracked {
				if s.Zone == set.Zone {
					seen[s.ID]++
				}
			}
			if len(b.tracked) >= servers/2 {
				t.Fatalf("%s: balancer %d tracks %d of %d", name, me, len(b.tracked), servers)
			}
		}
		for _, e := range list {
			if n := seen[e.ID]; n < trackersWanted/2 || n > 2*trackersWanted {
				t.Errorf("%s: server %d is tracked by %d balancers, want about %d", name, e.ID, n, trackersWanted)
			}
		}
	}
}

// Withdrawing an overdue attempt and sending again runs the work twice where the first would have been answered:
// it is for servers that are on trial only.
func TestOverdueAttemptIsWithdrawnOnlyFromAServerOnTrial(t *testing.T) {
	for _, trial := range []bool{false, true} {
		b, h := start(t, settings(), fleet(8))
		b.retries = 1 // as after enough sends
		b.RequestArrived(0, Request{ID: 1, Deadline: 10 * time.Second})
		b.servers[h.sends[0].server].trial = trial
		b.TimerFired(500*ms, timerOverdue|1)
		if got := len(h.cancels) == 1; got != trial || len(h.sends) != 1 {
			t.Errorf("on trial %v: withdrawn %v, sends %v", trial, got, h.sends)
		}
		if trial {
			h.outcome(b, 501*ms, 1, Cancelled)
			if len(h.sends) != 2 || h.sends[1].server == h.sends[0].server {
				t.Errorf("sends %v, want a second one elsewhere", h.sends)
			}
		}
	}
}

// Where every place is taken attempts are turned away at once, and the latency of the few that are served looks fair:
// being turned away must shed by itself.
func TestTurnedAwayAttemptsShed(t *testing.T) {
	b, h := start(t, settings(), fleet(8))
	now, refused := time.Duration(0), 0
	for id := RequestID(1); id <= 600; id++ {
		now += 5 * ms
		b.RequestArrived(now, Request{ID: id, Deadline: now + time.Second})
		for range 4 {
			if h.final[id] == "" && id%4 != 0 {
				h.outcome(b, now, id, Rejected)
			}
		}
		if id > 100 && id%4 == 0 {
			h.outcome(b, now, id-100, OK)
		}
		if id > 300 && len(h.sends) > 0 && h.sends[len(h.sends)-1].id != id {
			refused++
		}
	}
	if refused < 30 {
		t.Errorf("%d of 300 requests refused at once while three in four are turned away", refused)
	}
}

// Clients retry what is refused. Were their repeats counted, shedding would put every tenant over its share, and the
// order in which tenants are shed would be lost.
// With one server left of many, all that comes must not be queued there: it is answered by what it can do in time, and
// the rest is held for a moment, then refused.
func TestLastServerIsNotBuried(t *testing.T) {
	set := settings()
	set.Tier = 1 // below the clients' tier nothing is shed
	b, h := start(t, set, fleet(1))
	now := time.Duration(0)
	for id := range RequestID(2 * matureCount) {
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + 2*time.Second})
		now += 100 * ms
		h.outcome(b, now, id, OK)
	}
	done := len(h.sends)
	for id := range RequestID(200) {
		b.RequestArrived(now, Request{ID: 1000 + id, Class: 1, Deadline: now + 2*time.Second})
	}
	if out, most := len(h.sends)-done, int(b.meanAim/(100*ms)); out < 4 || out > most+1 {
		t.Errorf("%d attempts are out at the last server, want up to %d", out, most)
	}
}

func TestRepeatsDoNotCountTowardsATenantsShare(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 1, Quota: 100}}
	b, _ := start(t, set, fleet(8))
	for i := range 400 {
		now := time.Duration(i) * 10 * ms
		b.RequestArrived(now, Request{ID: RequestID(i + 1), Deadline: now + time.Second, ClientRetry: i%2 == 1})
	}
	if v := b.tenants[0].get(4*time.Second, 4*b.meanAim); v > 60 {
		t.Errorf("usage %.0f a second, want at most the 50 first tries", v)
	}
}
