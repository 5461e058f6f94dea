package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// slowStartBound is the number of requests that an endpoint in slow start may get within an overload window,
// where n is the number at which it fails from overload: chance may exceed n by two standard deviations, and
// by three where n is small.
func slowStartBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstSlowStartWindow returns the window in which the sends to one restarted endpoint come nearest to the
// bound or exceed it most: the number of sends and the number at which the endpoint fails.
func worstSlowStartWindow(
	times []time.Duration, capacity float64, rules Rules) (sends int, overload float64) {
	worst := math.Inf(-1)
	for i, from := range times {
		n := 0
		for n < len(times)-i && times[i+n] < from+rules.OverloadWindow {
			n++
		}
		age := float64(from-restartTime) / float64(rules.SlowStartTime)
		factor := rules.SlowStartShare + (1-rules.SlowStartShare)*age
		budget := rules.OverloadMultiple * capacity * min(factor, 1) * rules.OverloadWindow.Seconds()
		if excess := float64(n) - slowStartBound(budget); excess > worst {
			worst, sends, overload = excess, n, budget
		}
	}
	return sends, overload
}

// What all balancers of a fleet of any size send to an endpoint in slow start within an overload window stays
// within its bound, where the endpoint fails at few requests and where it fails at many: all endpoints and half
// of the balancers restart while the load rises to 1.4 times the capacity.
func TestSlowStartLimitByFleetSize(t *testing.T) {
	for _, c := range []struct {
		balancers int
		capacity  float64
	}{{4, 4}, {12, 4}, {30, 20}, {300, 4}} {
		t.Run(fmt.Sprintf("%d balancers, capacity %v", c.balancers, c.capacity), func(t *testing.T) {
			t.Parallel()
			scenario := slowStartScenario{balancers: c.balancers, endpoints: 10, restarted: 10, load: 0.7, burst: 2,
				restartBalancers: true, fields: []Field{QPS, Util}, capacity: c.capacity, rules: Rules{SlowStartShare: 0.2,
					SlowStartTime: 6 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 1500 * ms}}
			checkSlowStartBound(t, scenario, 1)
		})
	}
}

// At twice the capacity the bound holds as well, for a large fleet whose balancers get uneven traffic and half of which
// restart with all endpoints.
func TestSlowStartLimitAtTwiceTheCapacity(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			checkSlowStartBound(t, slowStartScenario{balancers: 300, endpoints: 10, restarted: 10, load: 0.7, burst: 3,
				uneven: true, restartBalancers: true, fields: []Field{QPS, Util}, capacity: 4, rules: Rules{
					SlowStartShare: 0.2, SlowStartTime: 6 * time.Second, OverloadMultiple: 2.5, OverloadWindow: 1500 * ms}}, seed)
		})
	}
}

// checkSlowStartBound simulates a scenario and checks what each restarted endpoint gets.
func checkSlowStartBound(t *testing.T, scenario slowStartScenario, seed uint64) {
	t.Helper()
	sends, capacity, rules := scenario.simulate(t, seed)
	for id, times := range sends {
		n, overload := worstSlowStartWindow(times, capacity, rules)
		bound := slowStartBound(overload)
		t.Logf("endpoint %d: %d sends in its worst window, it fails at %.1f, bound %.1f", id, n, overload, bound)
		if float64(n) > bound {
			t.Errorf("endpoint %d: %d sends within %v, bound %.1f", id, n, rules.OverloadWindow, bound)
		}
	}
	if 2*len(sends) < scenario.restarted {
		t.Errorf("%d of %d endpoints in slow start got requests", len(sends), scenario.restarted)
	}
}
