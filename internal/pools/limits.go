// Package pools runs the services of one process: each has a Loop, connections and a list of destinations of its own, and
// a share of the process's limits. It takes a new configuration while it serves.
package pools

import (
	"sync"
	"sync/atomic"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/share"
	"kitewood/internal/transport"
)

// limits hold what the pools share. They are the driver of the share package's core.
type sharedLimits struct {
	mu    sync.Mutex
	now   func() time.Duration
	byKey map[string]*share.Limit // by the key in shares

	evictIdle func(pool string) bool // closes an idle connection of a pool
}

func newSharedLimits(now func() time.Duration, evict func(string) bool) *sharedLimits {
	return &sharedLimits{now: now, byKey: map[string]*share.Limit{}, evictIdle: evict}
}

// set divides the limits as a configuration has it.
func (l *sharedLimits) update(f *config.File) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range f.SharedLimits() {
		var err error
		if limit := l.byKey[w.Key]; limit != nil {
			err = limit.Resize(w.Units, w.PoolShares(f))
		} else {
			l.byKey[w.Key], err = share.New(w.Units, w.PoolShares(f))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// uses is what each pool holds of a limit.
func (l *sharedLimits) usage(key string) (whole, used int, pools map[string]share.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, used = l.byKey[key].Total()
	return whole, used, l.byKey[key].Usage()
}

// gate is a pool's share of operations, of those parked, and of memory. It implements transport.Gate.
type admissionController struct {
	*sharedLimits
	pool string
}

var _ transport.AdmissionController = admissionController{}

// Enter takes an operation's room, all of it or none.
func (g admissionController) Admit(body int) (transport.Admission, bool) {
	kb := (body + 1023) >> 10
	units := [...]struct {
		key string
		n   int
	}{{"operations", 1}, {"parked", 1}, {"memory_kb", kb}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, u := range units {
		if g.byKey[u.key].Acquire(g.now(), g.pool, u.n) {
			continue
		}
		for _, taken := range units[:i] {
			g.byKey[taken.key].Release(g.pool, taken.n)
		}
		return nil, false
	}
	return &admission{admissionController: g, bodyKB: kb}, true
}

// pass implements transport.Pass.
type admission struct {
	admissionController
	bodyKB   int
	dequeued atomic.Bool // given back
}

// Sent gives back the operation's place among the parked.
func (p *admission) Sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseQueued()
}

func (p *admission) releaseQueued() {
	if !p.dequeued.Swap(true) {
		p.byKey["parked"].Release(p.pool, 1)
	}
}

// Leave gives back all.
func (p *admission) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseQueued()
	p.byKey["operations"].Release(p.pool, 1)
	p.byKey["memory_kb"].Release(p.pool, p.bodyKB)
}

// room is a pool's share of connections. It implements transport.Room.
type connLimiter struct {
	*sharedLimits
	pool string
}

var _ transport.ConnLimiter = connLimiter{}

// Take takes one. Where others have borrowed what is the pool's own, one that stands idle is closed for it.
func (r connLimiter) Acquire() bool {
	if r.tryAcquire() {
		return true
	}
	_, _, uses := r.usage("connections")
	if own := uses[r.pool]; own.Used >= own.Guaranteed {
		return false
	}
	for name, u := range uses {
		if name != r.pool && u.Borrowed > 0 && r.evictIdle(name) {
			return r.tryAcquire()
		}
	}
	return false
}

func (r connLimiter) tryAcquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey["connections"].Acquire(r.now(), r.pool, 1)
}

// Give gives one back.
func (r connLimiter) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey["connections"].Release(r.pool, 1)
}
