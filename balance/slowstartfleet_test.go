package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartScenario is a fleet of balancers and endpoints, in virtual time, in which some endpoints restart at the same time.
type slowStartScenario struct {
	balancers, endpoints, restarted int
	load                            float64 // as a share of the capacity of all endpoints
	burst                           float64 // factor on the load from restartTime on; 0 for 1
	uneven                          bool    // some balancers get a multiple of the mean
	restartBalancers                bool    // half of the balancers restart with the endpoints
	failing                         bool    // the endpoints that did not restart answer with errors from then on
	zones                           []int   // number of balancers by zone
	endpointZones                   []int   // number of endpoints by zone
	fields                          []Field // of load reports
	capacity                        float64 // requests a second of an endpoint past slow start; 0 for 10
	rules                           Rules   // the default where SlowStartShare is 0
}

// restartTime is when the endpoints restart.
const restartTime = 20 * time.Second

// simulate runs a scenario. It returns the times of the sends to each restarted endpoint, an endpoint's capacity, and the rules.
func (c slowStartScenario) simulate(t *testing.T, seed uint64) (sends map[EndpointID][]time.Duration, capacity float64, rules Rules) {
	const step = 10 * ms
	rng := rand.New(rand.NewPCG(seed, 5))
	set := testSettings()
	set.Seed, set.Balancers = seed, c.balancers
	set.Classes = set.Classes[:1]
	set.Report.Fields = c.fields
	set.Rules = Rules{DrainGrace: 500 * ms, DiscoveryInterval: 10 * time.Second, SlowStartShare: 0.2, SlowStartTime: 12 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: 1500 * ms}
	if len(c.fields) == 0 {
		set.Report.Source = NoReports
	}
	if c.rules.SlowStartShare > 0 {
		set.Rules.SlowStartShare, set.Rules.SlowStartTime = c.rules.SlowStartShare, c.rules.SlowStartTime
		set.Rules.OverloadMultiple, set.Rules.OverloadWindow = c.rules.OverloadMultiple, c.rules.OverloadWindow
	}
	rules = set.Rules
	capacity = cmp.Or(c.capacity, 10)
	type task struct {
		at  time.Duration
		run func()
	}
	sends = map[EndpointID][]time.Duration{}
	type simulatedBalancer struct {
		b      *Balancer
		h      *recorder
		timers []task
		ends   []task
		weight float64
		id     RequestID
	}
	list := endpointList(c.endpoints)
	zoneOf := func(i int, zones []int) int {
		for zone, n := range zones {
			if i -= n; i < 0 {
				return zone
			}
		}
		return 0
	}
	for i := range list {
		list[i].Zone = zoneOf(i, c.endpointZones)
	}
	updated := slices.Clone(list)
	for i := range c.restarted {
		index := i * c.endpoints / c.restarted
		updated[index].ID, updated[index].ReadyAt = EndpointID(200+i), restartTime
	}
	all, totalWeight := make([]*simulatedBalancer, c.balancers), 0.0
	start := func(index int, list []Endpoint, now time.Duration) {
		own := set
		own.Index, own.Seed, own.Zone = index, seed*1000+uint64(index)+uint64(now), zoneOf(index, c.zones)
		h := &recorder{}
		b, err := New(own, h, now)
		if err != nil {
			t.Fatal(err)
		}
		b.UpdateEndpoints(now, Cached, list)
		weight := 1.0
		if old := all[index]; old != nil {
			weight = old.weight
		} else {
			if c.uneven && index%5 == 0 {
				weight = 6
			}
			totalWeight += weight
		}
		all[index] = &simulatedBalancer{b: b, h: h, weight: weight}
	}
	for index := range all {
		start(index, list, 0)
	}
	idleAt := map[EndpointID]time.Duration{}    // when an endpoint will have finished its requests
	answers := map[EndpointID][]time.Duration{} // recent answers, for reports
	clock := time.Duration(0)
	for now := time.Duration(0); now < restartTime+rules.SlowStartTime; now += step {
		clock = now
		rate := c.load * capacity * float64(c.endpoints)
		if now >= restartTime && c.burst > 0 {
			rate *= c.burst
		}
		for index, balancer := range all {
			if now == restartTime {
				if c.restartBalancers && index%2 == 0 {
					start(index, list, now)
					balancer = all[index]
				}
				balancer.b.UpdateEndpoints(now, Full, updated)
			}
			runDue := func(tasks []task) []task {
				var ready, rest []task
				for _, d := range tasks {
					if d.at <= now {
						ready = append(ready, d)
					} else {
						rest = append(rest, d)
					}
				}
				for _, d := range ready {
					d.run()
				}
				return rest
			}
			balancer.ends = runDue(balancer.ends)
			balancer.timers = runDue(balancer.timers)
			for n := rate * balancer.weight / totalWeight * step.Seconds(); n > 0; n-- {
				if n >= 1 || rng.Float64() < n {
					balancer.id++
					balancer.b.RequestArrived(now, Request{ID: balancer.id, Deadline: now + 3*time.Second})
				}
			}
			for _, timer := range balancer.h.timers {
				balancer.timers = append(balancer.timers, task{now + timer.delay, func() { balancer.b.TimerFired(clock, timer.token) }})
			}
			balancer.h.timers = nil
			for _, attempt := range balancer.h.sends {
				if attempt.endpoint >= 200 {
					sends[attempt.endpoint] = append(sends[attempt.endpoint], now)
				}
				// An endpoint handles one request after the other, at its current speed, and rejects with a long queue.
				speed := capacity
				if attempt.endpoint >= 200 {
					speed *= min(rules.SlowStartShare+(1-rules.SlowStartShare)*float64(now-restartTime)/float64(rules.SlowStartTime), 1)
				}
				status, took := OK, 10*ms
				if wait := idleAt[attempt.endpoint] - now; wait > 2*time.Second {
					status = Rejected
				} else {
					work := time.Duration(rng.ExpFloat64() / speed * float64(time.Second))
					idleAt[attempt.endpoint] = now + max(wait, 0) + work
					took += max(wait, 0) + work
				}
				if c.failing && now >= restartTime && attempt.endpoint < 200 {
					status = Error
				}
				if took > attempt.timeout {
					status, took = Timeout, attempt.timeout
				}
				balancer.ends = append(balancer.ends, task{now + took, func() {
					recentAnswers := answers[attempt.endpoint]
					if status == OK {
						recentAnswers = append(recentAnswers, clock)
					}
					for len(recentAnswers) > 0 && recentAnswers[0] < clock-time.Second {
						recentAnswers = recentAnswers[1:]
					}
					answers[attempt.endpoint] = recentAnswers
					var load []float32
					for _, f := range c.fields {
						switch f {
						case QPS:
							load = append(load, float32(len(recentAnswers)))
						case Util:
							load = append(load, float32(min(float64(len(recentAnswers))/speed, 1)))
						default:
							load = append(load, 1)
						}
					}
					balancer.b.AttemptDone(clock, Outcome{ID: attempt.id, Final: status == OK, Attempt: attempt.attempt, Endpoint: attempt.endpoint, Status: status,
						Latency: took, Load: load})
				}})
			}
			balancer.h.sends, balancer.h.log = nil, nil
		}
	}
	return sends, capacity, rules
}

// slowStartExcess compares the sends to one restarted endpoint with N, the number at which it fails from overload in an overload
// window. over is the most by which a window exceeds N + 2 root N + 2, and part the most sends as a part of N.
func slowStartExcess(times []time.Duration, capacity float64, rules Rules) (over, part float64) {
	over = math.Inf(-1)
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+rules.OverloadWindow {
				n++
			}
		}
		factor := min(rules.SlowStartShare+(1-rules.SlowStartShare)*float64(from-restartTime)/float64(rules.SlowStartTime), 1)
		budget := rules.OverloadMultiple * capacity * factor * rules.OverloadWindow.Seconds()
		over, part = max(over, float64(n)-budget-2*math.Sqrt(budget)-2), max(part, float64(n)/budget)
	}
	return over, part
}

// What 20, 30 or 60 balancers send together stays within what an endpoint in slow start can handle, under various conditions; it is
// exceeded by chance at most.
func TestSlowStartLimitAcrossBalancers(t *testing.T) {
	short := Rules{SlowStartShare: 0.2, SlowStartTime: 8 * time.Second, OverloadMultiple: 2, OverloadWindow: 1500 * ms}
	tight := Rules{SlowStartShare: 0.12, SlowStartTime: 8 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}
	reports, utilisation := []Field{QPS, Util}, []Field{Util}
	for name, scenario := range map[string]slowStartScenario{
		"one of sixteen":        {endpoints: 16, restarted: 1, load: 0.7, fields: reports},
		"six in ten":            {endpoints: 16, restarted: 10, load: 0.7},
		"all":                   {endpoints: 16, restarted: 16, load: 0.7, fields: utilisation},
		"all of few":            {endpoints: 8, restarted: 8, load: 0.7, fields: reports, capacity: 30, rules: short},
		"8 of 10, 60 balancers": {balancers: 60, endpoints: 10, restarted: 8, load: 0.9, fields: reports},
		"most, in two zones":    {balancers: 60, endpoints: 25, restarted: 15, load: 0.7, burst: 1.5, restartBalancers: true, fields: utilisation, capacity: 3, rules: tight, zones: []int{22, 38}, endpointZones: []int{3, 22}},
		"all, in a burst":       {balancers: 60, endpoints: 10, restarted: 10, load: 0.9, burst: 3, restartBalancers: true, uneven: true, fields: utilisation, zones: []int{40, 20}, endpointZones: []int{5, 5}},
		"uneven balancers":      {endpoints: 16, restarted: 4, load: 0.7, uneven: true, fields: utilisation},
		"balancers restart":     {endpoints: 16, restarted: 4, load: 0.7, restartBalancers: true},
		"a burst":               {endpoints: 16, restarted: 4, load: 0.7, burst: 3, fields: reports},
		"the others fail":       {endpoints: 16, restarted: 2, load: 0.7, failing: true, fields: utilisation},
		"few endpoints":         {endpoints: 4, restarted: 1, load: 0.7},
		"low load":              {endpoints: 16, restarted: 4, load: 0.1, fields: reports},
		"restart in a burst":    {endpoints: 16, restarted: 8, load: 0.7, restartBalancers: true, burst: 1.5, uneven: true, fields: utilisation},
	} {
		for _, balancers := range []int{20, 30} {
			if scenario.balancers > 30 && balancers == 30 {
				continue
			}
			simulation := scenario
			simulation.balancers = max(scenario.balancers, balancers)
			t.Run(fmt.Sprintf("%s, %d balancers", name, simulation.balancers), func(t *testing.T) {
				t.Parallel()
				sends, capacity, rules := simulation.simulate(t, 1)
				maxOver, maxPart := math.Inf(-1), 0.0
				for _, times := range sends {
					over, part := slowStartExcess(times, capacity, rules)
					maxOver, maxPart = max(maxOver, over), max(maxPart, part)
				}
				t.Logf("%d of %d endpoints got requests; at most %.2f of N; %.1f sends beyond what chance allows", len(sends), simulation.restarted, maxPart, maxOver)
				if maxOver > 0 {
					t.Errorf("%.1f sends beyond N + 2 root N + 2", maxOver)
				}
				if simulation.load > 0.5 && 2*len(sends) < simulation.restarted { // at a lower load the other endpoints suffice
					t.Errorf("only %d of %d endpoints in slow start got requests", len(sends), simulation.restarted)
				}
			})
		}
	}
}
