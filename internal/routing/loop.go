package routing

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"kitewood/balance"
	"kitewood/internal/guard"
)

// Loop owns the Balancer. All its methods but New, Run and those that say so run on its one goroutine.
type Loop struct {
	Clock

	set       balance.Settings
	names     Names
	carrier   Transport
	directory Discovery
	log       *slog.Logger
	balancer  *balance.Balancer

	events  chan func() // what others report
	pending []func()    // what the Loop reports to itself: a Host may not call back
	done    chan struct{}
	owed    atomic.Int64 // operations without a final answer
	began   atomic.Int64 // when the event began that runs, on the Loop's clock; 0 between events
	before  atomic.Pointer[Loop]
	changed func()       // told after each event; nil if nobody asks
	looked  bool         // the event only looked
	named   atomic.Int64 // began of the event that was last logged as stuck

	metrics Metrics
	guard   *guard.Guard

	lastID      balance.RequestID
	ops         map[balance.RequestID]*Request
	keys        map[string]*Request // those of ops that have a key
	pool        pool
	hold        sendHold
	holds       atomic.Uint64 // words on the hold so far
	lastHold    uint64        // the last one that was taken
	confirmedAt time.Duration // the endpoint list was last renewed then; 0 for never
	timers      timers
	asked       uint64 // timers asked for so far
}

// Names are the words of discovery in the order of the settings' lists.
type Names struct{ Zones, Kinds []string }

// New returns a Loop that does not run yet, or an error if the module does not take its settings.
func New(set balance.Settings, names Names, clock Clock, log *slog.Logger) (*Loop, error) {
	l := &Loop{Clock: clock, guard: guard.New(log), set: set, names: names, log: log, events: make(chan func(), 256),
		done: make(chan struct{}), ops: map[balance.RequestID]*Request{}, keys: map[string]*Request{}, pool: newPool()}
	var err error
	l.balancer, err = balance.New(set, host{l}, l.Now())
	return l, err
}

// UseGuard has the Loop ask and tell the guard of its process. It is called before Run.
func (l *Loop) UseGuard(g *guard.Guard) { l.guard = g }

// Notify has a function called after each event that may have changed something, on the Loop's goroutine; it must not block. It is set before Run.
func (l *Loop) OnChange(changed func()) { l.changed = changed }

// Run serves events until the context ends.
func (l *Loop) Run(ctx context.Context, carrier Transport, directory Discovery) {
	defer close(l.done)
	l.carrier, l.directory = carrier, directory
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// What is due comes before what is new, as in the module's own order of time.
		for l.timers.Len() > 0 && l.timers[0].at <= l.Now() {
			t := heap.Pop(&l.timers).(timer)
			l.handle(func() { l.balancer.TimerFired(l.Now(), t.token) })
		}
		if l.timers.Len() > 0 {
			alarm.Reset(l.timers[0].at - l.Now())
		}
		select {
		case event := <-l.events:
			l.handle(event)
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
	}
}

// handle runs one event and what it makes the Loop tell itself.
func (l *Loop) handle(event func()) {
	l.began.Store(int64(l.Now()))
	defer l.began.Store(0)
	l.guarded(event)
	for len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.guarded(next)
	}
	if l.changed != nil && !l.looked {
		l.changed()
	}
	l.looked = false
}

// guarded keeps a panic in one event from taking the sidecar, and every other operation, down with it.
func (l *Loop) guarded(event func()) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in an event", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	event()
}

// post hands the Loop an event, from any goroutine.
func (l *Loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// postUntil hands the Loop an event as post does, and tells whether the Loop took it by a time of its clock.
func (l *Loop) postUntil(event func(), until time.Duration) bool {
	select {
	case l.events <- event:
		return true
	default:
	}
	left := time.NewTimer(until - l.Now())
	defer left.Stop()
	select {
	case l.events <- event:
		return true
	case <-left.C:
	case <-l.done:
	}
	return false
}

// Owed tells how many operations have no final answer yet. Any goroutine may ask.
func (l *Loop) PendingRequests() int { return int(l.owed.Load()) }

// timer is a Timer that the module asked for.
type timer struct {
	at    time.Duration
	seq   uint64
	token uint64
}

// timers is a heap by time, and by order of asking where that is equal.
type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
