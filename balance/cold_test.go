package balance

import (
	"testing"
	"time"
)

// Fourteen quiet balancers that meet ten successors at once must not, together, send any of them over what it can do.
func TestColdServersAreNotTippedByAllTogether(t *testing.T) {
	const balancers, servers, cold, gap, load = 14, 16, 10, 100 * ms, 0.7
	type due struct {
		at    time.Duration
		token uint64
	}
	born := 20 * time.Second
	sends := map[EndpointID][]time.Duration{}
	for me := range balancers {
		set := member(me, balancers)
		b, h := start(t, set, fleet(servers))
		var timers []due
		var id RequestID
		for now := time.Duration(0); now < born+set.Rules.SlowStartTime; now += 10 * ms {
			if now == born {
				list := fleet(servers)
				for i := range cold {
					list[i].ID, list[i].ReadyAt = EndpointID(200+i), born
				}
				b.UpdateEndpoints(now, Full, list)
			}
			for _, x := range h.timers {
				timers = append(timers, due{now + x.delay, x.token})
			}
			h.timers = nil
			later := timers[:0:0]
			for _, x := range timers {
				if x.at <= now {
					b.TimerFired(now, x.token)
				} else {
					later = append(later, x)
				}
			}
			timers = later
			if (now+time.Duration(me)*gap/balancers/(10*ms)*(10*ms))%gap == 0 {
				id++
				b.RequestArrived(now, Request{ID: id, Deadline: now + 3*time.Second})
			}
			for _, s := range h.sends {
				sends[s.server] = append(sends[s.server], now)
				b.AttemptDone(now, Outcome{ID: s.id, Final: true, Attempt: s.attempt, Endpoint: s.server, Status: OK, Latency: 50 * ms,
					Load: []float32{50, 0.5}})
			}
			h.sends = nil
		}
	}
	rules := settings().Rules
	window := rules.OverloadWindow
	able := balancers / gap.Seconds() / servers / load // of a warm server, a second
	met, worst := 0, 0.0
	for id, at := range sends {
		if id < 200 {
			continue
		}
		met++
		for from := born; from < born+rules.SlowStartTime-window; from += 50 * ms {
			n := 0
			for _, x := range at {
				if x >= from && x < from+window {
					n++
				}
			}
			age := float64(from-born) / float64(rules.SlowStartTime)
			worst = max(worst, float64(n)/(able*window.Seconds()*(rules.SlowStartShare+(1-rules.SlowStartShare)*age)))
		}
	}
	t.Logf("the most that a cold server was sent: %.2f times what it can do", worst)
	if met != cold || worst > rules.OverloadMultiple {
		t.Errorf("%d of %d cold servers were sent to, at most %.2f times what they can do; want all, under %v", met, cold, worst, rules.OverloadMultiple)
	}
}
