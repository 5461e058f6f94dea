package balance

import (
	"math"
	"testing"
	"time"
)

// lateEarning is settings in which an answer after its aim of 1 s still earns a part of its worth, up to 3 s.
func lateEarning(part float64) Settings {
	set := settings()
	for i := range set.Classes {
		set.Classes[i].LateUtility = part
	}
	return set
}

// How many attempts a server may hold follows from how long an answer is worth waiting for: half of the worth for 2 s more is
// worth 1 s. A figure for answers that must not be late held requests back where late ones earn.
func TestLateWorthLetsServersHoldMore(t *testing.T) {
	for part, horizon := range map[float64]float64{0: 1, 0.25: 1.5, 0.5: 2} {
		b, h := learned(t, lateEarning(part), 8, 10*ms)
		before := len(h.sends)
		for i := range RequestID(200) {
			b.RequestArrived(time.Second, Request{ID: 1000 + i, Deadline: 4 * time.Second})
		}
		held := map[EndpointID]int{}
		for _, s := range h.sends[before:] {
			held[s.server]++
		}
		want := fleetHold * horizon
		for id, n := range held {
			if float64(n) > math.Ceil(want) {
				t.Errorf("late worth %g: server %d holds %d, want at most %g", part, id, n, want)
			}
		}
		if all := float64(len(h.sends) - before); all > 8*want+1 || all < 8*want*3/4 {
			t.Errorf("late worth %g: %g out at 8 servers, want about %g each", part, all, want)
		}
	}
	s := lateEarning(0.5)
	if s.Classes[1].LateUtility = 0; s.horizon().Round(ms) != time.Second { // all classes share the servers
		t.Errorf("a class whose late answers earn nothing, and a horizon of %v", s.horizon())
	}
}

// Probes are a share of the requests, and cost no more than a stated part of the result where the settings price them; none
// goes out where they are not allowed.
func TestProbesFollowTheirPrice(t *testing.T) {
	for _, c := range []struct {
		price   float64
		allowed bool
		want    float64 // for each request
	}{{0, true, probeShare}, {0.01, true, probeShare}, {0.05, true, 0.08}, {0.5, true, 0.008}, {0.05, false, 0}} {
		set := settings()
		set.Report.Source, set.Limits.Probes, set.Penalties.Probe = OnProbes, c.allowed, c.price
		b, h := start(t, set, fleet(8))
		const requests = 3000
		for i := range RequestID(requests) {
			now := time.Duration(i) * 100 * ms
			b.RequestArrived(now, Request{ID: 1 + i, Deadline: now + 3*time.Second})
			for _, id := range h.probes[max(len(h.probes)-1, 0):] {
				b.ProbeDone(now, id, ms, OK, []float32{1, 0.5})
			}
			x := h.sends[len(h.sends)-1]
			b.AttemptDone(now+10*ms, Outcome{ID: x.id, Final: true, Endpoint: x.server, Status: OK, Latency: 10 * ms})
		}
		if got := float64(len(h.probes)) / requests; got > c.want*1.02+0.001 || got < c.want*0.9-0.001 {
			t.Errorf("price %g, allowed %v: %.4f probes a request, want %.4f", c.price, c.allowed, got, c.want)
		}
	}
}
