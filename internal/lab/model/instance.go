package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Config describes a machine and the server process on it. Work is measured in core-seconds of the reference machine.
type Config struct {
	Cores           int
	Speed           float64 // of each core, relative to the reference machine
	Slots           int     // requests processed concurrently; a request keeps its slot while it waits for the tier below
	QueueLimit      int     // requests queued for a slot; requests beyond it are rejected unprocessed
	ThrashFactor    float64 // efficiency is 1/(1+ThrashFactor*x), x being the requests in flight per core above ThrashThreshold
	ThrashThreshold float64
	ErrorShare      float64 // fraction of requests that fail in the instance itself
	CorruptShare    float64 // fraction of responses that are corrupted
	ColdStart       ColdStart
	Overload        Overload
	Connections     ConnectionCosts
	LoadReports     LoadReports
}

// ColdStart describes the warm-up of a started instance: its capacity rises linearly from InitialShare to the full capacity
// over Duration. If it receives more than its Budget within any Window during that time, it crashes and stays down.
type ColdStart struct {
	InitialShare float64
	Duration     time.Duration
	LoadFactor   float64 // tolerated load as a multiple of the current capacity, see Budget
	Window       time.Duration
	MeanWork     float64 // mean work of a request
}

// Overload makes an instance slower by the factor Slowdown once more than QueuedPerCore requests per core have been queued
// for TriggerAfter. It ends when the busy fraction of the cores has been less than RecoverBelow for RecoverAfter, or after
// MaxDuration.
type Overload struct {
	QueuedPerCore                           float64
	TriggerAfter, RecoverAfter, MaxDuration time.Duration
	Slowdown, RecoverBelow                  float64
}

// ConnectionCosts describes what connections cost an instance: work for each new connection, a delay for the first request
// on it, and capacity in proportion to how full the connection table is (FullTableLoss of it when full).
type ConnectionCosts struct {
	HandshakeWork, FirstRequestDelay time.Duration
	TableSize                        int
	FullTableLoss                    float64
	IdleTimeout                      time.Duration // after which an idle connection is closed
}

// LoadReports describes how often the reported load is sampled, how late a sample becomes visible, and its relative error.
type LoadReports struct {
	Period, Delay time.Duration
	Noise         float64
}

// Request is one attempt as received by an instance.
type Request struct {
	AttemptID       uint64 // unique
	Work            float64
	MeanWork        float64 // of the requests of its class
	DownstreamCalls int     // sequential calls to the tier below
	Deadline        time.Duration
}

// Outcome is how an instance ends a request.
type Outcome uint8

// The outcomes of a request at an instance.
const (
	Served   Outcome = iota + 1
	Failed           // status 500, from the instance itself or from a tier below
	Rejected         // rejected unprocessed
	Declined         // its first call to the tier below was declined before any side effect, and the response says so
)

// Corruption is how a response is corrupted, or what is sent in addition to a valid one.
type Corruption uint8

// The kinds of corruption. From DuplicateResponse on, the response itself is valid.
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
	corruptionKinds
)

// Action is what an instance asks its driver to do: send a response or call the tier below.
type Action struct {
	AttemptID  uint64
	Call       bool // call the tier below instead of responding
	Outcome    Outcome
	Corruption Corruption
	Load       Load // load report sent with the response
	HasLoad    bool
}

// Load is a load report.
type Load struct {
	Queue, Inflight int
	QPS, Util       float64
}

// job is a request or a handshake that occupies a core. It ends when Instance.workPerJob reaches finishWork.
type job struct {
	request    Request
	finishWork float64
	callsLeft  int  // remaining calls to the tier below
	handshake  bool // work for a connection instead of a request
	heapIndex  int  // position in the heap
}

// jobHeap is a min-heap of jobs by finishWork.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishWork < h[j].finishWork }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Instance is one server process on one machine. Its cores are shared evenly by the running jobs (processor sharing).
type Instance struct {
	config    Config
	rng       *rand.Rand
	startedAt time.Duration
	coldStart bool

	now          time.Duration
	workPerJob   float64 // core-seconds received so far by a job that has run since the start
	running      jobHeap
	awaitingCall map[uint64]*job
	queue        []Request
	usedSlots    int
	conns        int
	actions      []Action

	draining, crashed bool
	rejecting         bool // rejects every request
	pausedUntil       time.Duration
	slowdown          float64
	reportDelay       time.Duration

	overload   overloadState
	recentWork workWindow
	reports    reportState
}

// coldStartStep is the longest step over which the capacity during a cold start is taken as constant.
const coldStartStep = 20 * time.Millisecond

// NewInstance returns an instance started at the given time, in its cold start or fully warmed up.
func NewInstance(config Config, rng *rand.Rand, start time.Duration, cold bool) *Instance {
	i := &Instance{config: config, rng: rng, startedAt: start, now: start, coldStart: cold, slowdown: 1, awaitingCall: map[uint64]*job{}}
	i.reports.nextSample = start + time.Duration(rng.Float64()*float64(config.LoadReports.Period))
	i.reports.lastSample = start
	return i
}

// CapacityShare returns the fraction of its full capacity that an instance started at start has at now.
func (c ColdStart) CapacityShare(start, now time.Duration) float64 {
	if c.Duration <= 0 || now >= start+c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(now-start)/float64(c.Duration)
}

// Capacity returns the capacity of the instance, in core-seconds of the reference machine per second.
func (i *Instance) Capacity(now time.Duration) float64 {
	c := float64(i.config.Cores) * i.config.Speed / i.slowdown
	if i.coldStart {
		c *= i.config.ColdStart.CapacityShare(i.startedAt, now)
	}
	return c
}

// rate returns the work done per second for each running job.
func (i *Instance) rate() float64 {
	if i.now < i.pausedUntil || i.crashed || len(i.running) == 0 {
		return 0
	}
	c := &i.config
	r := i.Capacity(i.now) / math.Max(float64(c.Cores), float64(len(i.running)))
	if excess := float64(i.usedSlots+len(i.queue))/float64(c.Cores) - c.ThrashThreshold; excess > 0 {
		r /= 1 + c.ThrashFactor*excess
	}
	if c.Connections.TableSize > 0 {
		r *= 1 - c.Connections.FullTableLoss*math.Min(1, float64(i.conns)/float64(c.Connections.TableSize))
	}
	if i.overload.active {
		r /= c.Overload.Slowdown
	}
	return r
}

// nextChange returns the next time at which a job ends or the rate may change.
func (i *Instance) nextChange() (time.Duration, bool) {
	at, any := time.Duration(math.MaxInt64), false
	consider := func(t time.Duration) {
		if t > i.now {
			at, any = min(at, t), true
		}
	}
	if i.now < i.pausedUntil {
		consider(i.pausedUntil)
		return at, true
	}
	if r := i.rate(); r > 0 {
		consider(i.now + 1 + time.Duration(math.Max(0, i.running[0].finishWork-i.workPerJob)/r*1e9))
		if i.coldStart && i.now < i.startedAt+i.config.ColdStart.Duration {
			consider(i.now + coldStartStep)
		}
	}
	if t, ok := i.overload.nextChange(i.config.Overload); ok {
		consider(t)
	}
	return at, any
}

// NextEvent returns when the instance has to be advanced if no event comes before, or false if no job is running.
func (i *Instance) NextEvent() (time.Duration, bool) {
	if i.crashed || len(i.running) == 0 {
		return 0, false
	}
	return i.nextChange()
}

// Advance simulates the time until now. Actions that result are returned by TakeActions.
func (i *Instance) Advance(now time.Duration) {
	for i.now < now && !i.crashed {
		to := now
		if t, any := i.nextChange(); any {
			to = min(to, t)
		}
		to = min(to, max(i.reports.nextSample, i.now+1))
		i.workPerJob += i.rate() * (to - i.now).Seconds()
		i.reports.busyWork += float64(min(len(i.running), i.config.Cores)) * (to - i.now).Seconds()
		i.now = to
		for len(i.running) > 0 && i.running[0].finishWork <= i.workPerJob+1e-12 && i.now >= i.pausedUntil {
			i.jobFinished(heap.Pop(&i.running).(*job))
		}
		if i.now >= i.reports.nextSample {
			i.sampleLoad()
		}
		i.updateOverload()
	}
}

// updateOverload checks whether the instance becomes overloaded or has recovered.
func (i *Instance) updateOverload() {
	queuedPerCore := float64(len(i.running)-i.config.Cores+len(i.queue)) / float64(i.config.Cores)
	utilization := math.Min(1, float64(len(i.running))/float64(i.config.Cores))
	i.overload.observe(i.now, i.config.Overload, queuedPerCore, utilization)
}

// jobFinished handles a job that has left its core: it calls the tier below or completes the request.
func (i *Instance) jobFinished(j *job) {
	switch {
	case j.handshake:
	case j.callsLeft > 0:
		j.callsLeft--
		i.awaitingCall[j.request.AttemptID] = j
		i.actions = append(i.actions, Action{AttemptID: j.request.AttemptID, Call: true})
	case i.rng.Float64() < i.config.ErrorShare:
		i.complete(j.request, Failed)
	default:
		i.complete(j.request, Served)
	}
}

// complete ends a request that holds a slot and starts queued requests.
func (i *Instance) complete(r Request, o Outcome) {
	i.usedSlots--
	i.reports.served++
	i.respond(r.AttemptID, o)
	for len(i.queue) > 0 && i.usedSlots < i.config.Slots {
		next := i.queue[0]
		i.queue = i.queue[1:]
		i.startRequest(next)
	}
}

// respond adds the action that sends a response.
func (i *Instance) respond(id uint64, o Outcome) {
	a := Action{AttemptID: id, Outcome: o}
	a.Load, a.HasLoad = i.visibleReport()
	if o == Served && i.rng.Float64() < i.config.CorruptShare {
		a.Corruption = Garbage + Corruption(i.rng.IntN(int(corruptionKinds-Garbage)))
	}
	i.actions = append(i.actions, a)
}

// startRequest gives a request a slot. If it calls the tier below, half of its work comes before the calls and half after.
func (i *Instance) startRequest(r Request) {
	i.usedSlots++
	work := r.Work
	if r.DownstreamCalls > 0 {
		work /= 2
	}
	heap.Push(&i.running, &job{request: r, finishWork: i.workPerJob + work, callsLeft: r.DownstreamCalls})
}

// Arrive handles a request that has been received completely.
func (i *Instance) Arrive(now time.Duration, r Request) {
	i.Advance(now)
	if i.crashed {
		return
	}
	if i.coldStart && i.recentWork.add(now, r.MeanWork, i.config.ColdStart, i.startedAt, i.Capacity(now)) {
		i.crashed = true
		return
	}
	switch {
	case i.draining, i.rejecting, now >= r.Deadline, i.usedSlots >= i.config.Slots && len(i.queue) >= i.config.QueueLimit:
		i.respond(r.AttemptID, Rejected)
	case i.usedSlots < i.config.Slots:
		i.startRequest(r)
	default:
		i.queue = append(i.queue, r)
	}
	i.updateOverload()
}

// CallDeclined handles a declined call to the tier below. If it was the first call, there have been no side effects and the
// request is declined as well; otherwise the request fails.
func (i *Instance) CallDeclined(now time.Duration, id uint64) {
	if j := i.awaitingCall[id]; j != nil && j.callsLeft == j.request.DownstreamCalls-1 {
		i.Advance(now)
		if delete(i.awaitingCall, id); !i.crashed {
			i.complete(j.request, Declined)
			i.updateOverload()
		}
		return
	}
	i.CallEnded(now, id, false)
}

// CallEnded handles the end of a call to the tier below. The request fails if the call failed.
func (i *Instance) CallEnded(now time.Duration, id uint64, ok bool) {
	i.Advance(now)
	j := i.awaitingCall[id]
	if j == nil || i.crashed {
		return
	}
	switch {
	case !ok:
		delete(i.awaitingCall, id)
		i.complete(j.request, Failed)
	case j.callsLeft > 0:
		j.callsLeft--
		i.actions = append(i.actions, Action{AttemptID: id, Call: true})
	default:
		delete(i.awaitingCall, id)
		j.finishWork = i.workPerJob + j.request.Work/2
		heap.Push(&i.running, j)
	}
	i.updateOverload()
}

// ConnectionOpened handles a new connection. It returns false if the table is full and the connection has to be closed.
func (i *Instance) ConnectionOpened(now time.Duration) bool {
	i.Advance(now)
	if i.config.Connections.TableSize > 0 && i.conns >= i.config.Connections.TableSize {
		return false
	}
	i.conns++
	if work := i.config.Connections.HandshakeWork.Seconds(); work > 0 && !i.crashed {
		heap.Push(&i.running, &job{finishWork: i.workPerJob + work, handshake: true})
	}
	return true
}

// ConnectionClosed handles the end of an accepted connection.
func (i *Instance) ConnectionClosed(now time.Duration) {
	i.Advance(now)
	i.conns--
}

// Drain makes the instance finish its requests and reject new ones.
func (i *Instance) Drain(now time.Duration) { i.Advance(now); i.draining = true }

// SetRejecting makes the instance reject all requests, or accept them again.
func (i *Instance) SetRejecting(now time.Duration, on bool) { i.Advance(now); i.rejecting = on }

// Pause stops all progress of the instance for d.
func (i *Instance) Pause(now, d time.Duration) {
	i.Advance(now)
	i.pausedUntil = max(i.pausedUntil, now+d)
}

// PausedUntil returns when the latest pause ends.
func (i *Instance) PausedUntil() time.Duration { return i.pausedUntil }

// SetSlowdown divides the configured speed by a factor; 1 restores it.
func (i *Instance) SetSlowdown(now time.Duration, factor float64) {
	i.Advance(now)
	i.slowdown = math.Max(1, factor)
}

// SetReportDelay sets an additional delay of load reports; 0 removes it.
func (i *Instance) SetReportDelay(now, d time.Duration) { i.Advance(now); i.reportDelay = d }

// Corrupt sets the probability p that a response is corrupted.
func (i *Instance) Corrupt(now time.Duration, p float64) { i.Advance(now); i.config.CorruptShare = p }

// Crashed reports whether the instance exceeded its budget during its cold start. It never recovers.
func (i *Instance) Crashed() bool { return i.crashed }

// InFlight returns the number of requests in process or queued.
func (i *Instance) InFlight() int { return i.usedSlots + len(i.queue) }

// TakeActions returns the actions since the last call, in order.
func (i *Instance) TakeActions() []Action {
	out := i.actions
	i.actions = nil
	return out
}

// Overloaded reports whether the instance is slowed down by overload.
func (i *Instance) Overloaded() bool { return i.overload.active }
