package subscription

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kitewood/internal/lab/model"
	"kitewood/internal/lease"
)

// caller is one sidecar without a list. It calls discovery, with a backoff between its calls, until it is served.
type caller struct {
	nextEvent time.Duration // time of its next call, or of the end of the call in flight
	result    *CallEnded    // of the call in flight; nil for none, and for one that will be served
	inFlight  bool
	backoff   backoff
	rng       *rand.Rand
	servedAt  time.Duration // 0 while not served
}

// callers is a heap ordered by the time of the next event.
type callers []*caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].nextEvent < c[j].nextEvent }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(*caller)) }
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// balancerSpread is the spread with which package balance delays the first calls.
const balancerSpread = 1250 * time.Millisecond

// minCapacity is the minimum capacity of discovery in calls per second, as a handful of callers has it.
const minCapacity = 3.3

// fleetCase is a fleet whose sidecars all call discovery together, simulated in virtual time.
type fleetCase struct {
	callers       int
	queueSeconds  float64 // time in which discovery can serve each caller once
	timeout       time.Duration
	startTogether bool          // all start together, instead of losing their watch
	refuseAtOnce  bool          // discovery refuses excess calls at once, instead of failing them after the timeout
	outage        time.Duration // duration of an outage that starts when all lose their watch
	duration      time.Duration // of the simulation after the outage
}

// simulate returns when each caller was served, counted from the end of the outage. Callers that were not served have the end
// of the simulation.
func (c fleetCase) simulate(seed uint64) []time.Duration {
	capacity := max(float64(c.callers)/c.queueSeconds, minCapacity)
	discovery := model.NewDiscovery(model.DiscoveryConfig{CallsPerSecond: capacity, Timeout: c.timeout, RejectWhenFull: c.refuseAtOnce,
		ServeTimedOut: true}, nil)
	var all, waiting callers
	for i := range c.callers {
		one := &caller{rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		one.nextEvent = one.backoff.next(CallEnded{Outcome: Broken, Duration: time.Minute}, 0, one.rng)
		if c.startTogether {
			one.nextEvent = time.Duration(max(one.rng.Float64()*float64(balancerSpread), one.rng.Float64()*float64(initialSpread)))
		}
		all, waiting = append(all, one), append(waiting, one)
	}
	heap.Init(&waiting)
	for len(waiting) > 0 && waiting[0].nextEvent < c.outage+c.duration {
		c.step(discovery, &waiting)
	}
	out := make([]time.Duration, 0, len(all))
	for _, one := range all {
		if one.servedAt == 0 {
			one.servedAt = c.outage + c.duration
		}
		out = append(out, max(one.servedAt-c.outage, 0))
	}
	return out
}

// step simulates the next event: the start or the end of a call.
func (c fleetCase) step(discovery *model.Discovery, waiting *callers) {
	one := (*waiting)[0]
	switch {
	case one.inFlight && one.result == nil:
		one.servedAt = one.nextEvent
		heap.Pop(waiting)
		return
	case one.inFlight:
		one.inFlight, one.nextEvent = false, one.nextEvent+one.backoff.next(*one.result, one.nextEvent, one.rng)
	case one.nextEvent < c.outage:
		one.failAfter(Failed, c.timeout)
	default:
		at, served := discovery.Call(one.nextEvent)
		elapsed := at - one.nextEvent
		switch {
		case served:
			one.inFlight, one.result, one.nextEvent = true, nil, at
		case elapsed < MaxRefusalDelay:
			one.failAfter(Refused, elapsed)
		default:
			one.failAfter(Failed, elapsed)
		}
	}
	heap.Fix(waiting, 0)
}

// failAfter records a call that will fail after some time.
func (c *caller) failAfter(outcome Outcome, after time.Duration) {
	c.inFlight, c.result = true, &CallEnded{Outcome: outcome, Duration: after}
	c.nextEvent += after
}

// If discovery needs 5 s to serve each caller once, callers get their lists before a change counts as delivered, whatever their
// number. A longer queue is served in time too, without retries that keep it full.
func TestBackoffOfManyCallers(t *testing.T) {
	const deliveryTime = 6500 * time.Millisecond
	for _, n := range []int{4, 14, 40, 300, 900} {
		for _, c := range []struct {
			name   string
			fleet  fleetCase
			within time.Duration
			late   float64 // allowed fraction of callers served later
		}{
			{"all lose their watch", fleetCase{queueSeconds: 5, timeout: 2 * time.Second}, deliveryTime, 0.02},
			{"all lose their watch, calls wait for 3 s", fleetCase{queueSeconds: 5, timeout: 3 * time.Second}, deliveryTime, 0.01},
			{"all start", fleetCase{queueSeconds: 5, timeout: 2 * time.Second, startTogether: true}, deliveryTime, 0.06},
			{"all start, calls wait for 3 s", fleetCase{queueSeconds: 5, timeout: 3 * time.Second, startTogether: true}, deliveryTime, 0.01},
			{"refused at once", fleetCase{queueSeconds: 5, timeout: 2 * time.Second, refuseAtOnce: true}, deliveryTime, 0.01},
			{"outage of 3 s", fleetCase{queueSeconds: 5, timeout: 2 * time.Second, outage: 3 * time.Second}, deliveryTime, 0.03},
			{"outage of 8 s", fleetCase{queueSeconds: 5, timeout: 2 * time.Second, outage: 8 * time.Second}, deliveryTime, 0.03},
			{"outage of 21 s", fleetCase{queueSeconds: 5, timeout: 2 * time.Second, outage: 21 * time.Second}, 40 * time.Second, 0.03},
			{"a queue of 15 s", fleetCase{queueSeconds: 15, timeout: 2 * time.Second}, 3 * time.Minute, 0.1},
			{"a queue of 15 s, refused at once", fleetCase{queueSeconds: 15, timeout: 2 * time.Second, refuseAtOnce: true}, time.Minute, 0.1},
		} {
			t.Run(fmt.Sprintf("%d callers, %s", n, c.name), func(t *testing.T) {
				t.Parallel()
				c.fleet.callers, c.fleet.duration = n, 5*time.Minute
				const seeds = 20
				late, total := 0, time.Duration(0)
				for seed := range uint64(seeds) {
					for _, served := range c.fleet.simulate(seed) {
						total += served
						if served > c.within {
							late++
						}
					}
				}
				fraction := float64(late) / float64(seeds*n)
				t.Logf("mean time until served %v; %.3f of the callers were served after %v", (total / time.Duration(seeds*n)).Round(10*time.Millisecond), fraction, c.within)
				if fraction > c.late {
					t.Errorf("%.3f of the callers were served after %v, at most %.3f are allowed", fraction, c.within, c.late)
				}
			})
		}
	}
}

// An outage in which no connection to discovery can be established proves that nobody is notified, so its calls renew the lease.
// The pauses between them must not let it expire, however long the outage is and however quickly a connection fails. Calls
// that failed before the outage do not make them longer.
func TestBackoffKeepsLeaseWhileUnreachable(t *testing.T) {
	const outage = 10 * time.Minute
	for _, failedBefore := range []int{0, 3, 9} {
		for _, connectTime := range []time.Duration{0, ConnectTimeout} {
			t.Run(fmt.Sprintf("%d failed calls before, connections fail after %v", failedBefore, connectTime), func(t *testing.T) {
				for seed := range uint64(100) {
					rng := rand.New(rand.NewPCG(seed, 1))
					var delays backoff
					for range failedBefore {
						delays.next(CallEnded{Outcome: Failed, Duration: 2 * time.Second}, 0, rng)
					}
					l := lease.New(lease.PullRules(500*time.Millisecond), 0)
					for now := time.Duration(0); now < outage; {
						began := now
						now += connectTime
						if expired := now - l.ExpiresAt(); expired > 0 {
							t.Fatalf("seed %d: at %v the lease has been expired for %v", seed, now, expired)
						}
						l.RecordUnreachable(began)
						now += delays.next(CallEnded{Outcome: Unreachable, Duration: connectTime}, 0, rng)
					}
				}
			})
		}
	}
}

// Calls that find discovery unreachable say nothing about how many callers it has, so they do not make later pauses longer: a
// process calls a discovery that is back within the time of a first failure.
func TestUnreachableDiscoveryIsCalledSoonAfterReturn(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var delays backoff
		for range 20 {
			if pause := delays.next(CallEnded{Outcome: Unreachable}, 0, rng); pause > initialSpread {
				t.Fatalf("seed %d: pause of %v after an unreachable discovery, at most %v", seed, pause, initialSpread)
			}
		}
		if pause := delays.next(CallEnded{Outcome: Failed, Duration: 2 * time.Second}, 0, rng); pause > initialSpread {
			t.Fatalf("seed %d: pause of %v after the first failed call, at most %v", seed, pause, initialSpread)
		}
	}
}
