package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kitewood/balance/admission"
)

// state.go: the state of a Balancer, and helpers that make no decisions.

// Balancer makes the decisions of one sidecar. See the package comment for the rules of its use.
type Balancer struct {
	set  Settings
	host Host
	rng  *rand.Rand

	requests      map[RequestID]*request
	queue         []*request // requests for which there was no endpoint, oldest first
	queueTimerSet bool       // a timer is set at which the queue is retried
	classes       []classState

	trendState
	guardState
	expiry leaseExpiry
}

// request is one request from its arrival to the outcome of its last attempt.
type request struct {
	Request
	arrivedAt       time.Duration
	attempts        []*attempt
	inFlight        int            // attempts without an outcome
	mayHaveRunOn    *endpointState // endpoint of the first attempt that may have run; nil if none may have
	mayHaveRunAt    time.Duration  // when that attempt was sent
	ended           bool           // a final answer was given or is known
	queued          bool
	queueTimeoutSet bool // it has been queued, and its queue timer is set
	overdue         bool // an attempt was overdue
}

// attempt is one send.
type attempt struct {
	endpoint       *endpointState
	sentAt         time.Duration
	overdueAt      time.Duration // from when on it counts as overdue
	slowAt         time.Duration // from when on its endpoint is skipped
	done           bool
	failureCounted bool // counted as a failure when it was overdue
}

// endpointState is a listed endpoint as this balancer sees it.
type endpointState struct {
	Endpoint
	utilisationState
	inFlight          []*attempt // own attempts without an outcome, oldest first
	ringHash          uint64     // position in the ring: a hash of its ID
	listed            bool       // in the list as last known
	inSubset          bool       // selected for tracking by updateSubset
	tracked           bool
	lastSuccess       time.Duration // time of the last answer
	failureRatio      float64       // smoothed share of failures among outcomes
	ejectedUntil      time.Duration // no sends until then, after an ejection or a backoff
	ejectionTime      time.Duration // how long the next ejection lasts
	probation         bool          // readmitted, not yet trusted: one attempt at a time
	nextSlowStartSend time.Duration // in slow start: no send before
	capacity          float64       // requests a second past slow start, by its reports; 0 for unknown
	probedAt          time.Duration
	probePending      bool
}

// utilisationState is the part of an endpoint's state that the utilisation-trend algorithm keeps.
type utilisationState struct {
	utilisation       float64 // smoothed utilisation
	readings          int
	lastReading       time.Duration // time of the last reading
	reportedAt        time.Duration // time of the last new report
	hasReport         bool          // there was a report
	lastReport        [8]float32    // the last report, to recognise an unchanged one
	phaseUtilisations [3]float64    // utilisation at the last three phases, newest first
	phaseErrors       [3]float64    // their distances from the mean
	phasesKept        int           // how many of them are filled
	signal, step      float64       // control signal and its step
	nextTurn          float64       // next turn in the rotation
	heapIndex         int           // index in the rotation's heap, -1 if not in it
}

// trendState is what the utilisation-trend algorithm keeps beside its endpoints.
type trendState struct {
	rotation       rotation      // weighted round robin over the tracked endpoints, by their next turn
	lastTurn       float64       // turn of the last endpoint picked
	reportInterval time.Duration // smoothed time between new readings of one endpoint
	phaseLength    time.Duration // length of a phase
	phaseEndedAt   time.Duration // when the last phase ended
	meanTarget     time.Duration // mean latency target of the classes: the time scale of the work
	usefulWait     time.Duration // how long an answer is worth waiting for
}

// guardState is what the exceptions to the utilisation-trend algorithm keep.
type guardState struct {
	endpoints     map[EndpointID]*endpointState
	ring          []*endpointState // ready endpoints by ringHash
	remote        []*endpointState // ready endpoints of other zones
	subsetSize    int              // number of endpoints of a ring that are tracked
	meanUnits     float64
	byScope       map[int][]*endpointState // ready endpoints by cell (even keys) and zone (odd keys)
	tracked       []*endpointState
	rejectedRatio float64 // smoothed share of attempts that were rejected or got no connection
	shedInPhase   bool    // load shedding rejected a request in this phase
	spillover     float64 // part of a local endpoint's weight that an endpoint of another zone gets

	arrivals         int
	requestRate      float64 // own requests a second
	meanFailureRatio float64 // smoothed share of failures over all endpoints

	inFlight       int // attempts in flight
	openRequests   int // requests without a final answer
	completed      int
	completionRate eventRate

	burstStart     time.Duration // when there were enough open requests to compute pressure
	burstCompleted int           // completed requests since then
	meanLatency    float64
	tenantRates    []eventRate
	loggedLevel    int // admission level as last logged, in quarters
	startedAt      time.Duration

	downstream               admission.Throttle // limits requests that services further down decline
	retryTokens, probeTokens float64            // budgets of retries and probes
	probeIndex               int
	discoveryFailures        int // failed calls to discovery in a row
	watching                 bool
}

// classState is what is known about a class.
type classState struct {
	eventRate
	latency        float64 // smoothed latency of answers in seconds
	p80Ratio       float64 // 80th percentile of latency, as a multiple of the mean latency of all requests
	answers        int
	clientTimeouts recentRange // timeouts that clients set recently on first attempts
	protected      bool        // more utility per work than an even share of the objective: shed last
}

// eventRate is an exponentially decaying count of events a second.
type eventRate struct {
	value     float64
	updatedAt time.Duration
}

// valueAt decays the count to now and returns it.
func (r *eventRate) valueAt(now, span time.Duration) float64 {
	if now > r.updatedAt {
		r.value *= math.Exp(-float64(now-r.updatedAt) / float64(span))
		r.updatedAt = now
	}
	return r.value
}

// add counts one event.
func (r *eventRate) add(now, span time.Duration) { r.value = r.valueAt(now, span) + 1/span.Seconds() }

// recentRange is the minimum and maximum of the last 512 to 1,024 values, so that an absurd value from one client counts only
// for a while.
type recentRange struct {
	smallest, largest [2]time.Duration // of the current window, and of the one before
	count             int
}

// rangeWindow is the number of values in a window of recentRange.
const rangeWindow = 512

// add adds a value.
func (v *recentRange) add(x time.Duration) {
	switch {
	case v.count == 0:
		v.smallest, v.largest = [2]time.Duration{x, x}, [2]time.Duration{x, x}
	case v.count%rangeWindow == 0:
		v.smallest, v.largest = [2]time.Duration{x, v.smallest[0]}, [2]time.Duration{x, v.largest[0]}
	}
	v.smallest[0], v.largest[0] = min(v.smallest[0], x), max(v.largest[0], x)
	v.count++
}

// outside reports whether a value lies outside the range by more than slack. Before any value, none does.
func (v *recentRange) outside(x, slack time.Duration) bool {
	return v.count > 0 && (x < min(v.smallest[0], v.smallest[1])-slack || x > max(v.largest[0], v.largest[1])+slack)
}

// rotation is a smooth weighted round robin: an endpoint's turns are 1/weight apart and the earliest turn is next, so a pick
// takes logarithmic time in the number of tracked endpoints.
type rotation []*endpointState

func (q rotation) Len() int           { return len(q) }
func (q rotation) Less(i, j int) bool { return q[i].nextTurn < q[j].nextTurn }
func (q rotation) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

func (q *rotation) Push(x any) {
	s := x.(*endpointState)
	s.heapIndex = len(*q)
	*q = append(*q, s)
}

func (q *rotation) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	s.heapIndex = -1
	*q = (*q)[:last]
	return s
}

// hash mixes the bits of an ID, so that positions in the ring do not depend on how IDs were assigned.
func hash(x uint64) uint64 {
	x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// expectedLatency is the mean latency of a class; before any answer, a quarter of the latency target.
func (c *classState) expectedLatency(set *Class) time.Duration {
	if c.answers == 0 {
		return set.LatencyTarget / 4
	}
	return time.Duration(c.latency * float64(time.Second))
}

// updateP80 moves p80Ratio by one latency: small steps down and, a fifth as often in balance, four times larger ones up.
func (c *classState) updateP80(latency float64) {
	switch {
	case c.p80Ratio == 0:
		c.p80Ratio = 1
	case latency > c.p80Ratio:
		c.p80Ratio *= 1 + 4*quantileStep
	default:
		c.p80Ratio *= 1 - quantileStep
	}
}

// randomPart is a random duration below d.
func (b *Balancer) randomPart(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.rng.Float64())
}

// queueInterval is the time after which the queue is retried.
func (b *Balancer) queueInterval() time.Duration { return max(b.set.Tick, b.meanTarget/16) }

// addOpen counts a request that has no final answer yet.
func (b *Balancer) addOpen(now time.Duration) {
	if b.openRequests++; b.openRequests == minSamples/2 {
		b.burstStart, b.burstCompleted = now, 0
	}
}

// completionsPerSecond is the rate of completed requests over a mean latency target. In the first part of a burst it is the rate
// since the burst began, if that is larger: the idle time before the burst would make the rate look far too low.
func (b *Balancer) completionsPerSecond(now time.Duration) float64 {
	rate := b.completionRate.valueAt(now, b.meanTarget) / (1 - math.Exp(-float64(now-b.startedAt+1)/float64(b.meanTarget)))
	if since := now - b.burstStart; since < b.meanTarget/2 {
		rate = max(rate, float64(b.burstCompleted+1)/max(since, b.set.Tick, time.Millisecond).Seconds())
	}
	return rate
}

// youngestProtected is the queue index of the youngest request of a protected class, or of the youngest of all if there is none.
func (b *Balancer) youngestProtected() int {
	for i := len(b.queue) - 1; i >= 0; i-- {
		if b.classes[b.queue[i].Class].protected {
			return i
		}
	}
	return len(b.queue) - 1
}

// AdmissionLevel tells how much is rejected. level is due to predicted latency: 0 nothing, 1 everything with little utility per
// work, 2 everything; client retries are rejected one level earlier. below is the share rejected because services further down
// decline requests.
func (b *Balancer) AdmissionLevel(now time.Duration) (level, below float64) {
	if b.set.Tier != 0 {
		return 0, 0
	}
	return 2 * rejectProbability(b.pressure(now), shedStart, 2*(shedAll-shedStart)), b.downstream.Level(now, b.meanTarget/2)
}

// logAdmissionLevel logs changes of the admission level by a quarter.
func (b *Balancer) logAdmissionLevel(now time.Duration) {
	level, below := b.AdmissionLevel(now)
	if step := int(4*level) + 100*int(4*below); step != b.loggedLevel {
		b.loggedLevel = step
		b.host.Log(fmt.Sprintf("admission level %.2f of 2: predicted latency %.2f of the target, share %.2f rejected as declined downstream", level,
			b.pressure(now), below))
	}
}

// updateRequestRate updates this balancer's request rate at the end of a phase.
func (b *Balancer) updateRequestRate(now time.Duration) {
	b.logAdmissionLevel(now)
	elapsed := (now - b.phaseEndedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := float64(b.arrivals) / elapsed
	if b.requestRate == 0 {
		b.requestRate = rate
	}
	b.requestRate += (rate - b.requestRate) / 4
	b.arrivals = 0
}

// updateCapacity estimates an endpoint's capacity past slow start, in requests a second, from a report with utilisation. At low
// utilisation the quotient is meaningless.
func (b *Balancer) updateCapacity(s *endpointState, utilisation float64, now time.Duration) {
	qps := b.reportedValue(s, QPS)
	if utilisation < minCapacityUtilisation || qps <= 0 {
		return
	}
	capacity := qps / utilisation / b.slowStartFactor(s, now)
	if s.capacity == 0 {
		s.capacity = capacity
	}
	s.capacity += (capacity - s.capacity) / 4
}

// minCapacityUtilisation is the utilisation below which reports do not update the capacity.
const minCapacityUtilisation = 0.25

// expectedCapacity is an endpoint's capacity past slow start, in requests a second: by its own reports, or the mean of the
// others; 0 where there are no reports.
func (b *Balancer) expectedCapacity(s *endpointState) float64 {
	if s.capacity > 0 {
		return s.capacity
	}
	sum, n := 0.0, 0
	for _, t := range b.tracked {
		if t.capacity > 0 {
			sum += t.capacity
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// admissionDraw is a number in 0..1; at a level, requests with a lower draw are rejected. Requests of one origin draw the same
// at all balancers for a minute of the common clock: a retry gains nothing at another balancer, and no origin is rejected for
// good.
func (b *Balancer) admissionDraw(r *request, now time.Duration) float64 {
	if r.Origin == 0 {
		return b.rng.Float64()
	}
	return float64(hash(r.Origin^hash(uint64(now/drawPeriod)))>>11) / (1 << 53)
}

// drawPeriod is how long an origin keeps its draw.
const drawPeriod = time.Minute

// triedOn reports whether r was sent to s.
func (r *request) triedOn(s *endpointState) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == s })
}

// removeAttempt removes an attempt that has an outcome.
func (s *endpointState) removeAttempt(a *attempt) {
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}

// balancersPerEndpoint estimates how many balancers track an endpoint, from the part of the ring that this one tracks.
func (b *Balancer) balancersPerEndpoint() float64 {
	return max(float64(b.set.Balancers*len(b.tracked))/float64(max(len(b.ring), 1)), 1)
}

// reportedValue is a value of an endpoint's last report, 0 where reports do not contain it.
func (b *Balancer) reportedValue(s *endpointState, f Field) float64 {
	if i := slices.Index(b.set.Report.Fields, f); i >= 0 && i < len(s.lastReport) {
		return float64(s.lastReport[i])
	}
	return 0
}

// reportsUtilisation reports whether reports contain utilisation.
func (b *Balancer) reportsUtilisation() bool {
	return b.set.Report.Source != NoReports && slices.Contains(b.set.Report.Fields, Util)
}

// New returns a Balancer, or an error that says which setting is invalid.
func New(set Settings, host Host, now time.Duration) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	if host == nil {
		return nil, errors.New("balance: host is nil")
	}
	if !set.Limits.RetryAfter {
		set.Limits.MaxRetryAfter = 0
	}
	b := &Balancer{set: set, host: host, requests: map[RequestID]*request{}}
	b.rng = rand.New(rand.NewPCG(set.Seed, 0x77696e67776865))
	b.classes = make([]classState, len(set.Classes))
	b.initGuards(now)
	b.initTrend(now)
	return b, nil
}

// PeerMessage handles a message from another balancer. This version sends no messages and ignores those it gets.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) {}

// meanTarget is the mean latency target of the classes.
func (s *Settings) meanTarget() (mean time.Duration) {
	for _, c := range s.Classes {
		mean += c.LatencyTarget / time.Duration(len(s.Classes))
	}
	return mean
}

// usefulWait is how long an answer is worth waiting for: the mean latency target, extended for the utility of late answers. As
// all classes share the endpoints, the extension is that of the class for which late answers have the least utility.
func (s *Settings) usefulWait() time.Duration {
	factor := math.Inf(1)
	for _, c := range s.Classes {
		factor = min(factor, 1+c.LateUtility*max(float64(c.Deadline)/float64(c.LatencyTarget)-1, 0))
	}
	return time.Duration(factor * float64(s.meanTarget()))
}

// check returns an error that says which setting is invalid.
func (s *Settings) check() error {
	positive := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	switch {
	case len(s.Classes) == 0:
		return errors.New("balance: settings name no classes")
	case s.Limits.MaxAttempts < 1:
		return errors.New("balance: Limits.MaxAttempts must be at least 1")
	case !positive(s.Limits.RetryShare) || !positive(s.Limits.RetryBurst):
		return errors.New("balance: Limits.RetryShare and RetryBurst must not be negative")
	case s.Balancers < 1 || s.Index < 0:
		return errors.New("balance: Balancers must be at least 1 and Index at least 0")
	case s.Rules.DrainGrace < 0 || s.Rules.SlowStartTime < 0 || s.Rules.OverloadWindow < 0 || s.Rules.DiscoveryInterval < 0 || s.Tick < 0:
		return errors.New("balance: times must not be negative")
	case !positive(s.Rules.SlowStartShare) || s.Rules.SlowStartShare > 1 || !positive(s.Rules.OverloadMultiple):
		return errors.New("balance: Rules.SlowStartShare must lie in 0..1 and Rules.OverloadMultiple must not be negative")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.LatencyTarget <= 0 || !positive(c.Utility) || c.Effect > Unsafe || c.DedupScope > ScopeCell {
			return fmt.Errorf("balance: class %d is not valid: LatencyTarget and Deadline must be positive, Utility at least 0", i)
		}
	}
	for i, t := range s.Tenants {
		if !positive(t.Share) || !positive(t.Quota) {
			return fmt.Errorf("balance: tenant %d is not valid: Share and Quota must be at least 0", i)
		}
	}
	return nil
}
