package balance

import (
	"math"
	"testing"
	"time"
)

// settingsWithLateUtility returns settings in which an answer after the latency target of 1 s, and up to 3 s, still earns a part of
// its utility.
func settingsWithLateUtility(part float64) Settings {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].LateUtility = part
	}
	return set
}

// The in-flight limit of an endpoint follows from how long an answer is worth waiting for: at half of the utility, 2 s more are worth
// 1 s. A fixed limit for answers that must not be late would queue requests where late answers have a utility.
func TestLateUtilityRaisesInFlightLimit(t *testing.T) {
	for part, wait := range map[float64]float64{0: 1, 0.25: 1.5, 0.5: 2} {
		b, h := startWarmedUp(t, settingsWithLateUtility(part), 8, 10*ms)
		before := len(h.sends)
		for i := range RequestID(200) {
			b.RequestArrived(time.Second, Request{ID: 1000 + i, Deadline: 4 * time.Second})
		}
		inFlight := map[EndpointID]int{}
		for _, s := range h.sends[before:] {
			inFlight[s.endpoint]++
		}
		want := baseSlots * wait
		for id, n := range inFlight {
			if float64(n) > math.Ceil(want) {
				t.Errorf("late utility %g: endpoint %d has %d attempts in flight, want at most %g", part, id, n, want)
			}
		}
		if all := float64(len(h.sends) - before); all > 8*want+1 || all < 8*want*3/4 {
			t.Errorf("late utility %g: %g attempts in flight at 8 endpoints, want about %g each", part, all, want)
		}
	}
	s := settingsWithLateUtility(0.5)
	if s.Classes[1].LateUtility = 0; s.usefulWait().Round(ms) != time.Second { // all classes share the endpoints
		t.Errorf("a class with no late utility: answers are worth waiting for %v, want 1s", s.usefulWait())
	}
}

// Probes are a share of the requests, and cost at most a given part of the objective where the settings penalise them; there are
// none where they are not allowed.
func TestProbeRateFollowsPenalty(t *testing.T) {
	for _, c := range []struct {
		penalty float64
		allowed bool
		want    float64 // probes per request
	}{{0, true, probeRatio}, {0.01, true, probeRatio}, {0.05, true, 0.08}, {0.5, true, 0.008}, {0.05, false, 0}} {
		set := testSettings()
		set.Report.Source, set.Limits.Probes, set.Penalties.Probe = OnProbes, c.allowed, c.penalty
		b, h := startBalancer(t, set, endpointList(8))
		const requests = 3000
		for i := range RequestID(requests) {
			now := time.Duration(i) * 100 * ms
			b.RequestArrived(now, Request{ID: 1 + i, Deadline: now + 3*time.Second})
			for _, id := range h.probes[max(len(h.probes)-1, 0):] {
				b.ProbeDone(now, id, ms, OK, []float32{1, 0.5})
			}
			attempt := h.sends[len(h.sends)-1]
			b.AttemptDone(now+10*ms, Outcome{ID: attempt.id, Final: true, Endpoint: attempt.endpoint, Status: OK, Latency: 10 * ms})
		}
		if got := float64(len(h.probes)) / requests; got > c.want*1.02+0.001 || got < c.want*0.9-0.001 {
			t.Errorf("penalty %g, allowed %v: %.4f probes a request, want %.4f", c.penalty, c.allowed, got, c.want)
		}
	}
}
