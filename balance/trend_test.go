package balance

import (
	"math"
	"testing"
	"time"
)

// Each case sets one endpoint's average utilisation at the end of each phase, against a fixed mean, and lists the step expected after
// each phase.
func TestStepFollowsErrorTrend(t *testing.T) {
	const s0 = minSignal
	for name, c := range map[string]struct{ utilisations, steps []float64 }{
		"rising":      {[]float64{0.6, 0.7, 0.8, 0.9, 1.0}, []float64{s0, s0, 2 * s0, 4 * s0, 8 * s0}},
		"falling":     {[]float64{1.0, 0.9, 0.8, 0.7}, []float64{s0, s0, s0 / 2, s0 / 4}},
		"bounded":     {[]float64{1.0, 0.9, 0.8, 0.7, 0.6}, []float64{s0, s0, s0 / 2, s0 / 4, s0 / 4}},
		"alternating": {[]float64{0.6, 0.8, 0.6, 0.8}, []float64{s0, s0, s0 / 2, s0 / 4}},
		"level":       {[]float64{0.7, 0.7, 0.7, 0.7}, []float64{s0, s0, s0, s0}},
		"below":       {[]float64{0.4, 0.3, 0.2, 0.1}, []float64{s0, s0, 2 * s0, 4 * s0}},
	} {
		s := &endpointState{utilisationState: utilisationState{signal: 1, step: minSignal, readings: 1}}
		want := 1.0
		for i, utilisation := range c.utilisations {
			s.utilisation = utilisation
			s.updateSignal(0.5)
			if utilisation > 0.5 {
				want -= c.steps[i]
			} else {
				want += c.steps[i]
			}
			want = min(max(want, minSignal), maxSignal)
			if s.step != c.steps[i] || math.Abs(s.signal-want) > 1e-12 {
				t.Errorf("%s, phase %d: step %v and signal %v, want %v and %v", name, i, s.step, s.signal, c.steps[i], want)
			}
		}
	}
}

func TestStepAndSignalRange(t *testing.T) {
	s := &endpointState{utilisationState: utilisationState{signal: 1, step: minSignal, readings: 1}}
	for i := range 40 {
		s.utilisation = float64(i) / 20
		s.updateSignal(0)
	}
	if s.step != maxSignal || s.signal != minSignal {
		t.Errorf("step %v and signal %v, want %v and %v", s.step, s.signal, maxSignal, minSignal)
	}
}

func TestAverage(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), endpointList(2))
	s := b.tracked[0]
	gap := lookbackPhases * b.phaseLength / 5 // five readings in the window, so n = 5 and alpha = 1/3
	for i, c := range []struct{ utilisation, want float64 }{
		{0.6, 0.6}, // the mean so far
		{0.2, 0.4}, // still the mean: two readings
		{0.4, 0.4}, // three
		{1.0, 0.6}, // from here on alpha: 0.4 + 0.6/3
		{0.0, 0.4}, // 0.6 - 0.6/3
	} {
		b.addReading(s, c.utilisation, time.Duration(i)*gap)
		if math.Abs(s.utilisation-c.want) > 1e-3 {
			t.Errorf("after reading %d: average %v, want %v", i, s.utilisation, c.want)
		}
	}
	// Dense readings: n is the paper's 60.
	b, _ = startBalancer(t, testSettings(), endpointList(2))
	s = b.tracked[0]
	for i := range 1000 {
		b.addReading(s, 0.5, time.Duration(i)*ms)
	}
	b.addReading(s, 1, 1000*ms)
	if want := 0.5 + 0.5*2/61; math.Abs(s.utilisation-want) > 1e-9 {
		t.Errorf("average of dense readings %v, want %v", s.utilisation, want)
	}
}

func TestUnchangedReportIsIgnored(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), endpointList(2))
	s := b.tracked[0]
	for i := range 10 {
		b.readReport(s, []float32{12, 0.75}, time.Duration(i)*ms)
	}
	if s.readings != 1 || s.utilisation != 0.75 {
		t.Errorf("%d readings, average %v, want 1 and 0.75", s.readings, s.utilisation)
	}
	b.readReport(s, []float32{13, 0.75}, 20*ms)
	if s.readings != 2 {
		t.Errorf("%d readings after a new report, want 2", s.readings)
	}
	for _, invalid := range [][]float32{nil, {1}, {1, float32(math.NaN())}, {1, float32(math.Inf(1))}, make([]float32, 99)} {
		b.readReport(s, invalid, 30*ms)
	}
	if s.readings != 2 {
		t.Errorf("%d readings after invalid reports, want 2", s.readings)
	}
	b.readReport(s, []float32{14, 7}, 40*ms)
	if s.utilisation > 1 {
		t.Errorf("average %v after a report of more than full utilisation, want at most 1", s.utilisation)
	}
}

// Failures count as readings of full utilisation in the utilisation-trend algorithm itself, not only in the exceptions.
func TestFailuresReadAsFullUtilisation(t *testing.T) {
	for _, status := range []Status{Error, Timeout, ConnectFailed, Reset} {
		b, h := startBalancer(t, testSettings(), endpointList(2))
		b.RequestArrived(0, Request{ID: 1, Class: 1, Deadline: time.Second})
		s := b.endpoints[h.sends[0].endpoint]
		h.reportOutcome(b, ms, 1, status)
		if s.utilisation != 1 || s.readings != 1 {
			t.Errorf("status %d: average %v of %d readings, want 1 of 1", status, s.utilisation, s.readings)
		}
	}
}

func TestRotationIsProportionalAndSmooth(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), endpointList(4))
	weights := []float64{2, 1, 0.5, 0.5}
	for i, s := range b.tracked {
		s.signal = weights[i]
	}
	got := map[*endpointState]int{}
	var order []*endpointState
	for range 4000 {
		s := b.nextEndpoint(0, func(*endpointState) bool { return true })
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
				t.Fatalf("turns %d and %d both go to the endpoint with the smallest weight", j, i)
			}
		}
	}
}

// Faster endpoints report less utilisation for the same work: their signals must rise until utilisation is even.
func TestSignalsFollowSpeed(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), endpointList(8))
	now := time.Duration(0)
	speed := func(s *endpointState) float64 { return 0.5 + float64(s.ID%4)/3 }
	for range 60 {
		sum := 0.0
		for _, s := range b.tracked {
			sum += s.signal
		}
		for range 5 {
			now += b.phaseLength / 5
			for _, s := range b.tracked {
				b.addReading(s, min(1, 0.5*s.signal*8/sum/speed(s)), now)
			}
		}
		b.endPhase(now)
	}
	low, high := 1.0, 0.0
	for _, s := range b.tracked {
		low, high = min(low, s.utilisation), max(high, s.utilisation)
	}
	if high-low > 0.15 {
		t.Errorf("utilisation still between %.2f and %.2f", low, high)
	}
}

func TestEndpointWithOverdueAttemptIsSkipped(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(8))
	id := RequestID(0)
	send := func(now time.Duration) EndpointID {
		id++
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + 10*time.Second})
		return h.sends[len(h.sends)-1].endpoint
	}
	now := time.Duration(0)
	for range 40 { // the mean latency of the class becomes 10 ms
		send(now)
		h.reportOutcome(b, now, id, OK)
	}
	hanging := send(now) // never answered
	now += 400 * ms
	for range 40 {
		if s := send(now); s == hanging {
			t.Fatalf("sent to endpoint %d while an attempt there is overdue", s)
		}
		h.reportOutcome(b, now, id, OK)
	}
}

// A slow endpoint answers, but too late: its overdue attempts must count although none has failed yet, and while it is on probation it
// must not get unsafe requests.
func TestSlowEndpointIsEjectedAndProbedWithSafeRequests(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(8))
	now, id := time.Duration(0), RequestID(0)
	send := func(class int) EndpointID {
		id++
		b.RequestArrived(now, Request{ID: id, Class: class, Deadline: now + 10*time.Second})
		return h.sends[len(h.sends)-1].endpoint
	}
	const slow = EndpointID(103)
	for range 400 {
		now += 10 * ms
		s := send(1)
		if s != slow {
			h.reportOutcome(b, now, id, OK)
			continue
		}
		now += 500 * ms // far above the mean latency of the class
		b.TimerFired(now, timerOverdue|uint64(id))
		h.reportOutcome(b, now, id, OK)
	}
	s := b.endpoints[slow]
	if !s.probation {
		t.Fatalf("not ejected: failure ratio %.2f", s.failureRatio)
	}
	now = s.ejectedUntil // on probation from here on
	for range 40 {
		if send(1) == slow {
			t.Fatal("an unsafe request was sent to an endpoint on probation")
		}
		h.reportOutcome(b, now, id, OK)
	}
	got := false
	for range 40 {
		got = got || send(0) == slow
		h.reportOutcome(b, now, id, OK)
	}
	if !got {
		t.Error("no safe request was sent to the endpoint on probation")
	}
}

func TestFailingEndpointIsEjectedAndReadmitted(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(8))
	now, id := time.Duration(0), RequestID(0)
	failingID := EndpointID(103)
	count := func(span time.Duration, stillFailing bool) int {
		n := 0
		for until := now + span; now < until; now += 10 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + time.Second})
			s := h.sends[len(h.sends)-1].endpoint
			if s == failingID {
				n++
			}
			if s == failingID && stillFailing {
				h.reportOutcome(b, now, id, Error)
			} else {
				h.reportOutcome(b, now, id, OK)
			}
		}
		return n
	}
	if n := count(2*time.Second, true); n > 6 || n == 0 {
		t.Errorf("%d of 200 requests to an endpoint that fails all of them, want 1 to 6", n)
	}
	if n := count(20*time.Second, false); n < 60 {
		t.Errorf("%d of 2000 requests once it answers again, want at least 60", n)
	}
}

func TestEjectionIsBounded(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(9))
	now, id := time.Duration(0), RequestID(0)
	failing := func(s EndpointID) bool { return s%2 == 0 }
	for range 600 {
		now += ms
		id++
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + time.Second})
		if failing(h.sends[len(h.sends)-1].endpoint) {
			h.reportOutcome(b, now, id, Error)
		} else {
			h.reportOutcome(b, now, id, OK)
		}
		ejected := 0
		for _, s := range b.tracked {
			if now < s.ejectedUntil || s.probation {
				ejected++
			}
		}
		if ejected*maxEjectedDivisor > len(b.tracked) {
			t.Fatalf("%d of %d endpoints ejected", ejected, len(b.tracked))
		}
	}
}

// All balancers together must cover all endpoints about evenly, also where the balancers and endpoints are in several zones.
func TestSubsetsCoverEvenly(t *testing.T) {
	for name, zones := range map[string]int{"one zone": 1, "three zones": 3} {
		const balancers, endpoints = 60, 240
		list := endpointList(endpoints)
		for i := range list {
			list[i].Zone = i % zones
		}
		trackers := map[EndpointID]int{}
		for index := range balancers {
			set := testSettings()
			set.Index, set.Balancers, set.Zone = index, balancers, index%zones
			b, _ := startBalancer(t, set, list)
			for _, s := range b.tracked {
				if s.Zone == set.Zone {
					trackers[s.ID]++
				}
			}
			if len(b.tracked) >= endpoints/2 {
				t.Fatalf("%s: balancer %d tracks %d of %d endpoints", name, index, len(b.tracked), endpoints)
			}
		}
		for _, e := range list {
			if n := trackers[e.ID]; n < targetTrackers/2 || n > 2*targetTrackers {
				t.Errorf("%s: endpoint %d is tracked by %d balancers, want about %d", name, e.ID, n, targetTrackers)
			}
		}
	}
}

// Cancelling an overdue attempt and sending it again runs the work twice where the first would have been answered, so it is done only
// for endpoints on probation.
func TestOverdueAttemptCancelledOnlyOnProbation(t *testing.T) {
	for _, probation := range []bool{false, true} {
		b, h := startBalancer(t, testSettings(), endpointList(8))
		b.retryTokens = 1 // as after 8 sends
		b.RequestArrived(0, Request{ID: 1, Deadline: 10 * time.Second})
		b.endpoints[h.sends[0].endpoint].probation = probation
		b.TimerFired(500*ms, timerOverdue|1)
		if cancelled := len(h.cancels) == 1; cancelled != probation || len(h.sends) != 1 {
			t.Errorf("on probation %v: cancelled %v, sends %v", probation, cancelled, h.sends)
		}
		if probation {
			h.reportOutcome(b, 501*ms, 1, Cancelled)
			if len(h.sends) != 2 || h.sends[1].endpoint == h.sends[0].endpoint {
				t.Errorf("sends %v, want a second one to another endpoint", h.sends)
			}
		}
	}
}

// Endpoints at their limit reject attempts at once, and the latency of the few that are answered looks good: rejections must cause
// shedding by themselves.
func TestRejectedAttemptsCauseShedding(t *testing.T) {
	b, h := startBalancer(t, testSettings(), endpointList(8))
	now, rejected := time.Duration(0), 0
	for id := RequestID(1); id <= 600; id++ {
		now += 5 * ms
		b.RequestArrived(now, Request{ID: id, Deadline: now + time.Second})
		for range 4 {
			if h.final[id] == "" && id%4 != 0 {
				h.reportOutcome(b, now, id, Rejected)
			}
		}
		if id > 100 && id%4 == 0 {
			h.reportOutcome(b, now, id-100, OK)
		}
		if id > 300 && len(h.sends) > 0 && h.sends[len(h.sends)-1].id != id {
			rejected++
		}
	}
	if rejected < 30 {
		t.Errorf("%d of 300 requests rejected at once while endpoints reject three in four, want at least 30", rejected)
	}
}

// With one endpoint left of many, requests must not all be sent to it: it gets what it can answer in time, and the rest is queued for
// a short time, then rejected.
func TestLastEndpointIsNotOverloaded(t *testing.T) {
	set := testSettings()
	set.Tier = 1 // there is no shedding below the tier that clients reach
	b, h := startBalancer(t, set, endpointList(1))
	now := time.Duration(0)
	for id := range RequestID(2 * minSamples) {
		b.RequestArrived(now, Request{ID: id, Class: 1, Deadline: now + 2*time.Second})
		now += 100 * ms
		h.reportOutcome(b, now, id, OK)
	}
	done := len(h.sends)
	for id := range RequestID(200) {
		b.RequestArrived(now, Request{ID: 1000 + id, Class: 1, Deadline: now + 2*time.Second})
	}
	if inFlight, limit := len(h.sends)-done, int(b.meanTarget/(100*ms)); inFlight < 4 || inFlight > limit+1 {
		t.Errorf("%d attempts in flight at the last endpoint, want at least 4 and at most one more than %d", inFlight, limit)
	}
}

// Clients retry rejected requests. If their retries counted, shedding would put every tenant over its share, and the order in which
// tenants are shed would be lost.
func TestClientRetriesDoNotCountTowardsTenantShare(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Share: 1, Quota: 100}}
	b, _ := startBalancer(t, set, endpointList(8))
	for i := range 400 {
		now := time.Duration(i) * 10 * ms
		b.RequestArrived(now, Request{ID: RequestID(i + 1), Deadline: now + time.Second, ClientRetry: i%2 == 1})
	}
	if v := b.tenantRates[0].valueAt(4*time.Second, 4*b.meanTarget); v > 60 {
		t.Errorf("usage %.0f a second, want at most 60, as 50 are first attempts", v)
	}
}
