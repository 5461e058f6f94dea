package balance

import (
	"testing"
	"time"
)

// Fourteen balancers with few requests each that detect ten restarted endpoints at the same time must not, together, overload any
// of them.
func TestSuccessorsAreNotOverloadedByAllBalancers(t *testing.T) {
	const balancers, endpoints, restarted, gap, load = 14, 16, 10, 100 * ms, 0.7
	type dueTimer struct {
		at    time.Duration
		token uint64
	}
	restartTime := 20 * time.Second
	sends := map[EndpointID][]time.Duration{}
	for index := range balancers {
		set := settingsOf(index, balancers)
		b, h := startBalancer(t, set, endpointList(endpoints))
		var timers []dueTimer
		var id RequestID
		for now := time.Duration(0); now < restartTime+set.Rules.SlowStartTime; now += 10 * ms {
			if now == restartTime {
				list := endpointList(endpoints)
				for i := range restarted {
					list[i].ID, list[i].ReadyAt = EndpointID(200+i), restartTime
				}
				b.UpdateEndpoints(now, Full, list)
			}
			for _, timer := range h.timers {
				timers = append(timers, dueTimer{now + timer.delay, timer.token})
			}
			h.timers = nil
			pending := timers[:0:0]
			for _, timer := range timers {
				if timer.at <= now {
					b.TimerFired(now, timer.token)
				} else {
					pending = append(pending, timer)
				}
			}
			timers = pending
			if (now+time.Duration(index)*gap/balancers/(10*ms)*(10*ms))%gap == 0 {
				id++
				b.RequestArrived(now, Request{ID: id, Deadline: now + 3*time.Second})
			}
			for _, attempt := range h.sends {
				sends[attempt.endpoint] = append(sends[attempt.endpoint], now)
				b.AttemptDone(now, Outcome{ID: attempt.id, Final: true, Attempt: attempt.attempt, Endpoint: attempt.endpoint, Status: OK, Latency: 50 * ms,
					Load: []float32{50, 0.5}})
			}
			h.sends = nil
		}
	}
	rules := testSettings().Rules
	window := rules.OverloadWindow
	capacity := balancers / gap.Seconds() / endpoints / load // requests a second of an endpoint past slow start
	reached, worst := 0, 0.0
	for id, times := range sends {
		if id < 200 {
			continue
		}
		reached++
		for from := restartTime; from < restartTime+rules.SlowStartTime-window; from += 50 * ms {
			n := 0
			for _, at := range times {
				if at >= from && at < from+window {
					n++
				}
			}
			age := float64(from-restartTime) / float64(rules.SlowStartTime)
			worst = max(worst, float64(n)/(capacity*window.Seconds()*(rules.SlowStartShare+(1-rules.SlowStartShare)*age)))
		}
	}
	t.Logf("largest load of an endpoint in slow start: %.2f times what it can handle", worst)
	if reached != restarted || worst > rules.OverloadMultiple {
		t.Errorf("%d of %d endpoints in slow start got requests, at most %.2f times what they can handle; want all, at most %v", reached, restarted, worst, rules.OverloadMultiple)
	}
}
