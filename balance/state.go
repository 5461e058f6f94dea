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

// What the decision files keep, and plain tools without a decision in them.

// Balancer decides for one sidecar. See the package comment for what it expects of its owner.
type Balancer struct {
	set  Settings
	host Host
	rng  *rand.Rand

	requests map[RequestID]*request
	parked   []*request // requests that no server could take when they came
	looks    bool       // a timer has been asked for at which they look again
	classes  []classStat

	trend
	guard
	pause sendPause
}

// request is one request from its arrival to the outcome of its last attempt.
type request struct {
	Request
	arrived  time.Duration
	attempts []*attempt
	out      int           // attempts without an outcome
	mayRun   *server       // server of the first attempt that may have run, where one has
	mayRunAt time.Duration // when it was sent
	ended    bool          // a final answer was given or is known
	parked   bool
	waited   bool // it has been parked, and the time after which it is ended was asked for
	late     bool // an attempt was overdue
}

// attempt is one send.
type attempt struct {
	server *server
	sent   time.Duration
	due    time.Duration // from when on it counts as overdue
	slow   time.Duration // from when on its server is passed over
	over   bool
	judged bool // counted as a failure when it was overdue
}

// server is a listed server as this balancer sees it.
type server struct {
	Endpoint
	reading
	out      []*attempt // own attempts that have no outcome, oldest first
	spot     uint64     // its place in the ring: a hash of its id
	listed   bool       // in the list as last known
	wanted   bool       // in the subset
	tracked  bool
	served   time.Duration // of the last answer
	failed   float64       // smoothed share of failures among outcomes
	outUntil time.Duration // ejected or held off until then
	hold     time.Duration // how long the next ejection lasts
	trial    bool          // readmitted, not yet trusted: one attempt at a time
	coldNext time.Duration // while cold: no send before
	can      float64       // requests a second once it is warm, by its reports; 0 for not known
	probed   time.Duration
	probing  bool
}

// reading is the part of a server that the mechanism keeps.
type reading struct {
	avg      float64 // smoothed utilisation
	count    int
	at       time.Duration // of the last reading
	fresh    time.Duration // of the last new report
	reported bool          // there was one
	report   [8]float32    // the last report, to know an unchanged one
	avgs     [3]float64    // averages at the last three phases, newest first
	errs     [3]float64    // their distances from the mean
	kept     int           // how many of them are filled
	cs, step float64       // control signal and its step
	next     float64       // its turn in the rotation
	index    int           // its place there, -1 if out
}

// trend is what the mechanism keeps beside its servers.
type trend struct {
	rotation rotation      // servers in the weighted round robin, by their next turn
	turn     float64       // turn of the last one picked
	gap      time.Duration // smoothed time between fresh readings of one server
	length   time.Duration // length of a phase
	phaseAt  time.Duration // when the last phase ended
	meanAim  time.Duration // mean aim of the classes: the time scale of the work
	horizon  time.Duration // how long an answer is worth waiting for
}

// guard is what the exceptions keep.
type guard struct {
	servers   map[EndpointID]*server
	ring      []*server // ready servers by spot
	away      []*server // those of other zones
	width     int       // servers of a ring that are tracked
	meanUnits float64
	groups    map[int][]*server
	tracked   []*server
	turned    float64 // share of attempts turned away unseen
	shed      bool    // something was refused in this phase
	spill     float64 // part of a local server's weight that one of another zone gets

	arrivals int
	rate     float64 // own requests a second
	failed   float64 // share of failures over all servers

	out      int // attempts out
	open     int // requests without a final answer
	doneAll  int
	doneRate rate

	burstAt   time.Duration // when requests open became enough to be believed
	burstDone int           // and how many are done since
	meanLat   float64
	tenants   []rate
	level     int // as last told, in quarters
	start     time.Duration

	below           admission.Throttle // of what lies below the servers
	retries, probes float64            // budgets
	probeAt         int
	asked           int // failed calls to discovery in a row
	watching        bool
}

// classStat is what is known of a class.
type classStat struct {
	rate
	lat       float64 // smoothed latency of answers in seconds
	high      float64 // multiple of the mean latency of all that one answer in five exceeds
	n         int
	tries     bounds // what clients gave first tries of late
	protected bool   // worth more per work than an even share of the goal: shed last
}

// rate is a decaying count of events a second.
type rate struct {
	v  float64
	at time.Duration
}

func (r *rate) get(now, span time.Duration) float64 {
	if now > r.at {
		r.v *= math.Exp(-float64(now-r.at) / float64(span))
		r.at = now
	}
	return r.v
}

func (r *rate) add(now, span time.Duration) { r.v = r.get(now, span) + 1/span.Seconds() }

// bounds are the least and the most of the last 512 to 1,024 values: what one client gives that is absurd counts only
// for a while.
type bounds struct {
	least, most [2]time.Duration // of the values now gathered, and of those before
	n           int
}

const gathered = 512

func (v *bounds) add(x time.Duration) {
	switch {
	case v.n == 0:
		v.least, v.most = [2]time.Duration{x, x}, [2]time.Duration{x, x}
	case v.n%gathered == 0:
		v.least, v.most = [2]time.Duration{x, v.least[0]}, [2]time.Duration{x, v.most[0]}
	}
	v.least[0], v.most[0] = min(v.least[0], x), max(v.most[0], x)
	v.n++
}

// outside tells whether a value lies clearly outside, which none does before there are any.
func (v *bounds) outside(x, slack time.Duration) bool {
	return v.n > 0 && (x < min(v.least[0], v.least[1])-slack || x > max(v.most[0], v.most[1])+slack)
}

// rotation is a smooth weighted round robin: a server's turns are 1/weight apart and the earliest goes first, so a
// pick costs the logarithm of the tracked servers and no scan.
type rotation []*server

func (q rotation) Len() int           { return len(q) }
func (q rotation) Less(i, j int) bool { return q[i].next < q[j].next }
func (q rotation) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *rotation) Push(x any) {
	s := x.(*server)
	s.index = len(*q)
	*q = append(*q, s)
}

func (q *rotation) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	s.index = -1
	*q = (*q)[:last]
	return s
}

// mix hashes an id, so that the ring does not depend on how ids were given out.
func mix(x uint64) uint64 {
	x = (x ^ x>>31 ^ 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// mean is the mean latency of a class; before any answer, a guess of the aim's order.
func (c *classStat) mean(set *Class) time.Duration {
	if c.n == 0 {
		return set.LatencyTarget / 4
	}
	return time.Duration(c.lat * float64(time.Second))
}

// rank moves high by one latency: a balance of small steps down and, a fifth as often, large ones up.
func (c *classStat) rank(lat float64) {
	switch {
	case c.high == 0:
		c.high = 1
	case lat > c.high:
		c.high *= 1 + 4*quantileStep
	default:
		c.high *= 1 - quantileStep
	}
}

// spread is a random part of d.
func (b *Balancer) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.rng.Float64())
}

// lookAgain is the moment after which what waits looks for a server by itself.
func (b *Balancer) lookAgain() time.Duration { return max(b.set.Tick, b.meanAim/16) }

// opens counts a request that has no final answer yet.
func (b *Balancer) opens(now time.Duration) {
	if b.open++; b.open == matureCount/2 {
		b.burstAt, b.burstDone = now, 0
	}
}

// doing is how many requests are done a second, over a mean aim; in the first part of a burst what is done in it, if that is
// more: beside a burst the rest before it looks as if next to nothing were served.
func (b *Balancer) doing(now time.Duration) float64 {
	rate := b.doneRate.get(now, b.meanAim) / (1 - math.Exp(-float64(now-b.start+1)/float64(b.meanAim)))
	if since := now - b.burstAt; since < b.meanAim/2 {
		rate = max(rate, float64(b.burstDone+1)/max(since, b.set.Tick, time.Millisecond).Seconds())
	}
	return rate
}

// lastWorthy is the place of the youngest that waits and is of a protected class, of the youngest if none is.
func (b *Balancer) lastWorthy() int {
	for i := len(b.parked) - 1; i >= 0; i-- {
		if b.classes[b.parked[i].Class].protected {
			return i
		}
	}
	return len(b.parked) - 1
}

// Level tells how much is refused here because answers are foretold late: 0 nothing, 1 all that is not worth much for its
// work, 2 everything; and the share that is refused because what lies below declines it. Repeats go a step before.
func (b *Balancer) AdmissionLevel(now time.Duration) (level, below float64) {
	if b.set.Tier != 0 {
		return 0, 0
	}
	return 2 * chance(b.pressure(now), shedFrom, 2*(shedTo-shedFrom)), b.below.Level(now, b.meanAim/2)
}

// tellLevel notes a change of the level by a quarter for the people on call.
func (b *Balancer) tellLevel(now time.Duration) {
	level, below := b.AdmissionLevel(now)
	if step := int(4*level) + 100*int(4*below); step != b.level {
		b.level = step
		b.host.Log(fmt.Sprintf("admission level %.2f of 2: answers foretold at %.2f of the aim, %.2f refused as declined below", level,
			b.pressure(now), below))
	}
}

// measure takes this balancer's own rate at the end of a phase.
func (b *Balancer) measure(now time.Duration) {
	b.tellLevel(now)
	took := (now - b.phaseAt).Seconds()
	if took <= 0 {
		return
	}
	seen := float64(b.arrivals) / took
	if b.rate == 0 {
		b.rate = seen
	}
	b.rate += (seen - b.rate) / 4
	b.arrivals = 0
}

// gauge learns from a report with a share of use what a server can do once it is warm, in requests a second. Where little
// is in use the quotient tells nothing.
func (b *Balancer) gauge(s *server, used float64, now time.Duration) {
	qps := b.said(s, QPS)
	if used < gaugeFrom || qps <= 0 {
		return
	}
	can := qps / used / b.ramp(s, now)
	if s.can == 0 {
		s.can = can
	}
	s.can += (can - s.can) / 4
}

const gaugeFrom = 0.25

// able is what a server can do once it is warm, in requests a second: by its own reports, or as the others do; 0 where
// no report tells.
func (b *Balancer) able(s *server) float64 {
	if s.can > 0 {
		return s.can
	}
	sum, n := 0.0, 0
	for _, t := range b.tracked {
		if t.can > 0 {
			sum += t.can
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// lot decides who is refused at a level, in 0..1. What comes from one origin draws the same at all balancers, for a minute
// of the common clock: a repeat does not win by asking elsewhere, and nobody is the one refused for good.
func (b *Balancer) lot(r *request, now time.Duration) float64 {
	if r.Origin == 0 {
		return b.rng.Float64()
	}
	return float64(mix(r.Origin^mix(uint64(now/lotFor)))>>11) / (1 << 53)
}

const lotFor = time.Minute

// tried tells whether r was sent to s.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// arrived takes an attempt with an outcome off its server.
func (s *server) arrived(a *attempt) {
	if i := slices.Index(s.out, a); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
}

// sharers is how many balancers track a server, going by this one.
func (b *Balancer) sharers() float64 {
	return max(float64(b.set.Balancers*len(b.tracked))/float64(max(len(b.ring), 1)), 1)
}

// said is a value of a server's last report, 0 where reports do not hold it.
func (b *Balancer) said(s *server, f Field) float64 {
	if i := slices.Index(b.set.Report.Fields, f); i >= 0 && i < len(s.report) {
		return float64(s.report[i])
	}
	return 0
}

// utilReported tells whether reports hold utilisation.
func (b *Balancer) utilReported() bool {
	return b.set.Report.Source != NoReports && slices.Contains(b.set.Report.Fields, Util)
}

// New returns a Balancer, or an error that says which setting is not valid.
func New(set Settings, host Host, now time.Duration) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	if host == nil {
		return nil, errors.New("balance: no host")
	}
	if !set.Limits.RetryAfter {
		set.Limits.MaxRetryAfter = 0
	}
	b := &Balancer{set: set, host: host, requests: map[RequestID]*request{}}
	b.rng = rand.New(rand.NewPCG(set.Seed, 0x77696e67776865))
	b.classes = make([]classStat, len(set.Classes))
	b.startGuard(now)
	b.startTrend(now)
	return b, nil
}

// Peer takes a message of another balancer. This version sends none and passes over what comes.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) {}

// meanAim is the mean aim of the classes.
func (s *Settings) meanAim() (mean time.Duration) {
	for _, c := range s.Classes {
		mean += c.LatencyTarget / time.Duration(len(s.Classes))
	}
	return mean
}

// horizon is how long an answer is worth waiting for: the mean aim, longer by as much as it pays to wait beyond it for the class
// for which that pays least, as all classes share the servers. Waiting pays by the part of its worth that a late answer earns.
func (s *Settings) horizon() time.Duration {
	longer := math.Inf(1)
	for _, c := range s.Classes {
		longer = min(longer, 1+c.LateUtility*max(float64(c.Deadline)/float64(c.LatencyTarget)-1, 0))
	}
	return time.Duration(longer * float64(s.meanAim()))
}

// check tells which setting is not valid.
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
		return errors.New("balance: Balancers must be at least 1 and Me at least 0")
	case s.Rules.DrainGrace < 0 || s.Rules.SlowStartTime < 0 || s.Rules.OverloadWindow < 0 || s.Rules.DiscoveryInterval < 0 || s.Tick < 0:
		return errors.New("balance: times must not be negative")
	case !positive(s.Rules.SlowStartShare) || s.Rules.SlowStartShare > 1 || !positive(s.Rules.OverloadMultiple):
		return errors.New("balance: Rules.ColdShare must lie in 0..1 and Rules.FallMultiple must not be negative")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.LatencyTarget <= 0 || !positive(c.Utility) || c.Effect > Unsafe || c.DedupScope > ScopeCell {
			return fmt.Errorf("balance: class %d is not valid: Aim and Deadline must be positive, Worth at least 0", i)
		}
	}
	for i, t := range s.Tenants {
		if !positive(t.Share) || !positive(t.Quota) {
			return fmt.Errorf("balance: tenant %d is not valid: Share and Quota must be at least 0", i)
		}
	}
	return nil
}
