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

// Loop owns a Balancer. Its methods run on its one goroutine, except Run and those that say otherwise.
type Loop struct {
	Clock

	settings  balance.Settings
	names     Names
	transport Transport
	discovery Discovery
	log       *slog.Logger
	balancer  *balance.Balancer

	events           chan func() // events from other goroutines
	followUps        []func()    // events that the Loop raises itself, as a Host may not call back into the Balancer
	done             chan struct{}
	pendingRequests  atomic.Int64 // requests without a final answer
	eventBegunAt     atomic.Int64 // start of the current event on the Loop's clock; 0 between events
	previous         atomic.Pointer[Loop]
	onChange         func()       // called after each event that may have changed something; may be nil
	readOnly         bool         // the current event changed nothing
	loggedStuckEvent atomic.Int64 // eventBegunAt of the event that was last logged as stuck

	metrics Metrics
	guard   *guard.Guard

	lastID           balance.RequestID
	requests         map[balance.RequestID]*Request
	requestsByKey    map[string]*Request // those of requests that have a key
	undelivered      *undeliveredKeys    // shared with the Loops before and after this one
	endpoints        endpointTable
	lease            lease
	expiryUpdates    atomic.Uint64 // lease expiry updates issued so far
	lastExpiryUpdate uint64        // number of the last one that was applied
	confirmedAt      time.Duration // when the endpoint list's lease was last renewed; 0 for never
	timers           timers
	timersRequested  uint64               // timers requested so far
	wallClock        func() time.Duration // the system's Unix time, which can be stepped; for times from other processes only
	listReceived     bool                 // a list was received from discovery
}

// Names holds discovery's names of zones and kinds, in the order of the lists in the settings.
type Names struct{ Zones, Kinds []string }

// New returns a Loop that is not running yet, or an error if package balance rejects the settings.
func New(settings balance.Settings, names Names, clock Clock, log *slog.Logger) (*Loop, error) {
	l := &Loop{Clock: clock, guard: guard.New(log), settings: settings, names: names, log: log, events: make(chan func(), 256),
		done: make(chan struct{}), requests: map[balance.RequestID]*Request{}, requestsByKey: map[string]*Request{}, undelivered: newUndeliveredKeys(),
		endpoints: newEndpointTable(), wallClock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	var err error
	l.balancer, err = balance.New(settings, host{l}, l.Now())
	return l, err
}

// UseGuard sets the guard of the process, which the Loop consults and reports to. It must be called before Run.
func (l *Loop) UseGuard(g *guard.Guard) { l.guard = g }

// OnChange sets a function that is called on the Loop's goroutine after each event that may have changed something. The
// function must not block, and must be set before Run.
func (l *Loop) OnChange(onChange func()) { l.onChange = onChange }

// Run handles events until the context is done.
func (l *Loop) Run(ctx context.Context, transport Transport, discovery Discovery) {
	defer close(l.done)
	l.transport, l.discovery = transport, discovery
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// Due timers run before new events, as package balance expects events in order of time.
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

// handle runs one event and the events that it raises.
func (l *Loop) handle(event func()) {
	l.eventBegunAt.Store(int64(l.Now()))
	defer l.eventBegunAt.Store(0)
	l.runRecovered(event)
	for len(l.followUps) > 0 {
		next := l.followUps[0]
		l.followUps = l.followUps[1:]
		l.runRecovered(next)
	}
	if l.onChange != nil && !l.readOnly {
		l.onChange()
	}
	l.readOnly = false
}

// runRecovered runs an event and recovers from a panic, which would otherwise end the sidecar and every other request.
func (l *Loop) runRecovered(event func()) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in event handler", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	event()
}

// post enqueues an event. Any goroutine may call it; it blocks while the queue is full.
func (l *Loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// postUntil enqueues an event as post does, and reports whether that succeeded by a deadline on the Loop's clock.
func (l *Loop) postUntil(event func(), deadline time.Duration) bool {
	select {
	case l.events <- event:
		return true
	default:
	}
	timeout := time.NewTimer(deadline - l.Now())
	defer timeout.Stop()
	select {
	case l.events <- event:
		return true
	case <-timeout.C:
	case <-l.done:
	}
	return false
}

// PendingRequests returns the number of requests without a final answer. Any goroutine may call it.
func (l *Loop) PendingRequests() int { return int(l.pendingRequests.Load()) }

// timer is a timer that the Balancer requested.
type timer struct {
	at    time.Duration
	seq   uint64
	token uint64
}

// timers is a heap ordered by time, then by order of request.
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
