package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Config describes a machine and the process on it. Work is in core-seconds of the yardstick machine.
type Config struct {
	Cores           int
	Speed           float64 // of each core, as a multiple of the yardstick
	Slots           int     // requests in work at once; one keeps its slot while it waits for the tier below
	QueueLimit      int     // waiting room; what comes beyond it is turned away unseen
	ThrashFactor    float64 // efficiency is 1/(1+Thrash*x) with x requests a core held beyond ThrashAt
	ThrashThreshold float64
	ErrorShare      float64 // share of requests that end as an error of the instance itself
	CorruptShare    float64 // share of answers that come spoilt
	ColdStart       ColdStart
	Overload        Overload
	Connections     ConnectionCosts
	LoadReports     LoadReports
}

// Cold says how an instance starts: at Share of its capacity, rising evenly to the whole over Time. Sent more than its
// Budget within any Window, it falls over and stays down.
type ColdStart struct {
	InitialShare float64
	Duration     time.Duration
	LoadFactor   float64
	Window       time.Duration
	MeanWork     float64 // work of a mean request
}

// Choke makes an instance Slower times slower once more than Waiting requests a core have waited for Over. It ends when
// less than Below of the cores was busy for Rest, or after Most.
type Overload struct {
	QueuedPerCore                           float64
	TriggerAfter, RecoverAfter, MaxDuration time.Duration
	Slowdown, RecoverBelow                  float64
}

// Conns is what connections cost: work for each new one, delay for the first request on it, and capacity as they fill
// the table (Tax of it when full).
type ConnectionCosts struct {
	HandshakeWork, FirstRequestDelay time.Duration
	TableSize                        int
	FullTableLoss                    float64
	IdleTimeout                      time.Duration // an idle one is closed after this
}

// Reports says when load reports are taken anew, how late they show and how far they are off.
type LoadReports struct {
	Period, Delay time.Duration
	Noise         float64
}

// Request is one attempt as an instance gets it.
type Request struct {
	AttemptID       uint64 // names the attempt; no two share it
	Work            float64
	MeanWork        float64 // of all requests of its class
	DownstreamCalls int     // calls to the tier below, one after another
	Deadline        time.Duration
}

// Outcome is what an instance does with a request.
type Outcome uint8

// The outcomes of a request at an instance.
const (
	Served   Outcome = iota + 1
	Failed           // a 500, of its own or of a tier below
	Rejected         // turned away unseen
	Declined         // what it needs from below was declined before anything was done; it says so
)

// Spoil says how an answer is spoilt, or what else comes with a good one.
type Corruption uint8

// The ways of spoiling. From SecondCopy on the answer itself is good.
const (
	Intact Corruption = iota
	Garbage
	MalformedHead
	EndlessHead
	OverlongLength
	HugeLength
	DuplicateResponse
	TrailingGarbage
	MalformedReport
	InterimResponse
	spoils
)

// Action is what an instance wants done: an answer, or a call to the tier below.
type Action struct {
	AttemptID  uint64
	Call       bool // a call; otherwise an answer
	Outcome    Outcome
	Corruption Corruption
	Load       Load // the report that goes with an answer
	HasLoad    bool
}

// Load is a load report.
type Load struct {
	Queue, Inflight int
	QPS, Util       float64
}

// job is a request or a handshake while it needs a core. It ends when the work done for each job has reached until.
type job struct {
	request   Request
	until     float64
	left      int  // calls still to make
	handshake bool // work for a connection, no request
	place     int  // in the heap
}

type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].until < h[j].until }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Instance is one process on one machine. Its cores are shared evenly by the requests that need one.
type Instance struct {
	config Config
	rng    *rand.Rand
	start  time.Duration
	cold   bool

	now     time.Duration
	done    float64 // core-seconds that each job in run has had since the start
	run     jobs
	calling map[uint64]*job
	queue   []Request
	slots   int // in use
	conns   int
	out     []Action

	draining, fallen bool
	busy             bool // turns away all that comes
	pausedUntil      time.Duration
	slow             float64
	lateReports      time.Duration

	choke   choke
	fall    window
	reports reports
}

// coldStep bounds how long the capacity of a cold instance is taken for constant.
const coldStep = 20 * time.Millisecond

// NewInstance starts an instance at a time, cold or as one that has long been up.
func NewInstance(config Config, rng *rand.Rand, start time.Duration, cold bool) *Instance {
	i := &Instance{config: config, rng: rng, start: start, now: start, cold: cold, slow: 1, calling: map[uint64]*job{}}
	i.reports.next = start + time.Duration(rng.Float64()*float64(config.LoadReports.Period))
	i.reports.since = start
	return i
}

// Warmth is the share of its capacity that an instance started at start has at now.
func (c ColdStart) CapacityShare(start, now time.Duration) float64 {
	if c.Duration <= 0 || now >= start+c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(now-start)/float64(c.Duration)
}

// Capacity is what the instance can do, in core-seconds of the yardstick a second.
func (i *Instance) Capacity(now time.Duration) float64 {
	c := float64(i.config.Cores) * i.config.Speed / i.slow
	if i.cold {
		c *= i.config.ColdStart.CapacityShare(i.start, now)
	}
	return c
}

// rate is how fast each job advances.
func (i *Instance) rate() float64 {
	if i.now < i.pausedUntil || i.fallen || len(i.run) == 0 {
		return 0
	}
	c := &i.config
	r := i.Capacity(i.now) / math.Max(float64(c.Cores), float64(len(i.run)))
	if held := float64(i.slots+len(i.queue))/float64(c.Cores) - c.ThrashThreshold; held > 0 {
		r /= 1 + c.ThrashFactor*held
	}
	if c.Connections.TableSize > 0 {
		r *= 1 - c.Connections.FullTableLoss*math.Min(1, float64(i.conns)/float64(c.Connections.TableSize))
	}
	if i.choke.on {
		r /= c.Overload.Slowdown
	}
	return r
}

// bound is the next time at which something ends or the rate may change.
func (i *Instance) bound() (time.Duration, bool) {
	at, any := time.Duration(math.MaxInt64), false
	take := func(t time.Duration) {
		if t > i.now {
			at, any = min(at, t), true
		}
	}
	if i.now < i.pausedUntil {
		take(i.pausedUntil)
		return at, true
	}
	if r := i.rate(); r > 0 {
		take(i.now + 1 + time.Duration(math.Max(0, i.run[0].until-i.done)/r*1e9))
		if i.cold && i.now < i.start+i.config.ColdStart.Duration {
			take(i.now + coldStep)
		}
	}
	if t, ok := i.choke.bound(i.config.Overload); ok {
		take(t)
	}
	return at, any
}

// Next tells when the instance wants to be advanced, if nothing comes before.
func (i *Instance) NextEvent() (time.Duration, bool) {
	if i.fallen || len(i.run) == 0 {
		return 0, false
	}
	return i.bound()
}

// Advance lets the time pass until now. What ends on the way is in Actions.
func (i *Instance) Advance(now time.Duration) {
	for i.now < now && !i.fallen {
		to := now
		if t, any := i.bound(); any {
			to = min(to, t)
		}
		to = min(to, max(i.reports.next, i.now+1))
		i.done += i.rate() * (to - i.now).Seconds()
		i.reports.busy += float64(min(len(i.run), i.config.Cores)) * (to - i.now).Seconds()
		i.now = to
		for len(i.run) > 0 && i.run[0].until <= i.done+1e-12 && i.now >= i.pausedUntil {
			i.ended(heap.Pop(&i.run).(*job))
		}
		if i.now >= i.reports.next {
			i.sample()
		}
		i.judge()
	}
}

// judge looks whether the instance chokes or has rested.
func (i *Instance) judge() {
	waiting := float64(len(i.run)-i.config.Cores+len(i.queue)) / float64(i.config.Cores)
	busy := math.Min(1, float64(len(i.run))/float64(i.config.Cores))
	i.choke.see(i.now, i.config.Overload, waiting, busy)
}

// ended handles a job that needs no core for now.
func (i *Instance) ended(j *job) {
	switch {
	case j.handshake:
	case j.left > 0:
		j.left--
		i.calling[j.request.AttemptID] = j
		i.out = append(i.out, Action{AttemptID: j.request.AttemptID, Call: true})
	case i.rng.Float64() < i.config.ErrorShare:
		i.answer(j.request, Failed)
	default:
		i.answer(j.request, Served)
	}
}

// answer ends a request that holds a slot.
func (i *Instance) answer(r Request, o Outcome) {
	i.slots--
	i.reports.served++
	i.say(r.AttemptID, o)
	for len(i.queue) > 0 && i.slots < i.config.Slots {
		next := i.queue[0]
		i.queue = i.queue[1:]
		i.begin(next)
	}
}

func (i *Instance) say(n uint64, o Outcome) {
	a := Action{AttemptID: n, Outcome: o}
	a.Load, a.HasLoad = i.report()
	if o == Served && i.rng.Float64() < i.config.CorruptShare {
		a.Corruption = Garbage + Corruption(i.rng.IntN(int(spoils-Garbage)))
	}
	i.out = append(i.out, a)
}

// begin gives a request a slot. Half of its work goes before its calls to the tier below, the rest after.
func (i *Instance) begin(r Request) {
	i.slots++
	work := r.Work
	if r.DownstreamCalls > 0 {
		work /= 2
	}
	heap.Push(&i.run, &job{request: r, until: i.done + work, left: r.DownstreamCalls})
}

// Arrive brings a request whose last byte has come.
func (i *Instance) Arrive(now time.Duration, r Request) {
	i.Advance(now)
	if i.fallen {
		return
	}
	if i.cold && i.fall.add(now, r.MeanWork, i.config.ColdStart, i.start, i.Capacity(now)) {
		i.fallen = true
		return
	}
	switch {
	case i.draining, i.busy, now >= r.Deadline, i.slots >= i.config.Slots && len(i.queue) >= i.config.QueueLimit:
		i.say(r.AttemptID, Rejected)
	case i.slots < i.config.Slots:
		i.begin(r)
	default:
		i.queue = append(i.queue, r)
	}
	i.judge()
}

// CallDeclined tells that a call to the tier below was declined. Where it was the first, nothing has been done, and the
// request is declined, too.
func (i *Instance) CallDeclined(now time.Duration, n uint64) {
	if j := i.calling[n]; j != nil && j.left == j.request.DownstreamCalls-1 {
		i.Advance(now)
		if delete(i.calling, n); !i.fallen {
			i.answer(j.request, Declined)
			i.judge()
		}
		return
	}
	i.CallEnded(now, n, false)
}

// CallEnded tells that a call to the tier below has ended. The request fails if it did.
func (i *Instance) CallEnded(now time.Duration, n uint64, ok bool) {
	i.Advance(now)
	j := i.calling[n]
	if j == nil || i.fallen {
		return
	}
	switch {
	case !ok:
		delete(i.calling, n)
		i.answer(j.request, Failed)
	case j.left > 0:
		j.left--
		i.out = append(i.out, Action{AttemptID: n, Call: true})
	default:
		delete(i.calling, n)
		j.until = i.done + j.request.Work/2
		heap.Push(&i.run, j)
	}
	i.judge()
}

// Opened brings a new connection; false if the table is full, and the connection is to be closed.
func (i *Instance) ConnectionOpened(now time.Duration) bool {
	i.Advance(now)
	if i.config.Connections.TableSize > 0 && i.conns >= i.config.Connections.TableSize {
		return false
	}
	i.conns++
	if work := i.config.Connections.HandshakeWork.Seconds(); work > 0 && !i.fallen {
		heap.Push(&i.run, &job{until: i.done + work, handshake: true})
	}
	return true
}

// Closed tells that a connection that was let in is gone.
func (i *Instance) ConnectionClosed(now time.Duration) {
	i.Advance(now)
	i.conns--
}

// Drain makes the instance finish what it holds and turn away the rest.
func (i *Instance) Drain(now time.Duration) { i.Advance(now); i.draining = true }

// Busy makes it turn away all that comes, or take requests again.
func (i *Instance) SetRejecting(now time.Duration, on bool) { i.Advance(now); i.busy = on }

// Pause makes it stand still for d.
func (i *Instance) Pause(now, d time.Duration) {
	i.Advance(now)
	i.pausedUntil = max(i.pausedUntil, now+d)
}

// Paused tells until when it stands still.
func (i *Instance) PausedUntil() time.Duration { return i.pausedUntil }

// Slow makes it factor times slower than it was built; 1 heals it.
func (i *Instance) SetSlowdown(now time.Duration, factor float64) {
	i.Advance(now)
	i.slow = math.Max(1, factor)
}

// LateReports makes its load reports show so much later; 0 heals it.
func (i *Instance) SetReportDelay(now, d time.Duration) { i.Advance(now); i.lateReports = d }

// Spoil sets the share of its answers that come spoilt.
func (i *Instance) Corrupt(now time.Duration, share float64) {
	i.Advance(now)
	i.config.CorruptShare = share
}

// Fallen tells whether the instance was pushed over while it was cold. It is down for good then.
func (i *Instance) Crashed() bool { return i.fallen }

// Held is how many requests the instance holds.
func (i *Instance) InFlight() int { return i.slots + len(i.queue) }

// Actions hands out what is to be done, in order, and forgets it.
func (i *Instance) TakeActions() []Action {
	out := i.out
	i.out = nil
	return out
}

// Choked tells whether the instance is slower because it was overdriven.
func (i *Instance) Overloaded() bool { return i.choke.on }
