// Package pools runs the pools of one process. Each pool has its own event loop, connections and endpoint list, and a share
// of the process limits. The configuration can be replaced while the process serves.
package pools

import (
	"sync"
	"sync/atomic"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/share"
	"kitewood/internal/transport"
)

// sharedLimits holds the limits that the pools share. It adds locking and a clock to package share.
type sharedLimits struct {
	mu    sync.Mutex
	now   func() time.Duration
	byKey map[string]*share.Limit // by the key in the shares setting

	evictIdle func(pool string) bool // closes an idle connection of the pool; false if it has none
}

func newSharedLimits(now func() time.Duration, evict func(string) bool) *sharedLimits {
	return &sharedLimits{now: now, byKey: map[string]*share.Limit{}, evictIdle: evict}
}

// update divides the limits among the pools of a configuration.
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

// usage returns the size of a limit, the units in use, and the usage of each pool.
func (l *sharedLimits) usage(key string) (total, used int, pools map[string]share.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, used = l.byKey[key].Total()
	return total, used, l.byKey[key].Usage()
}

// admissionController admits requests to a pool within its shares of requests, queued requests and memory. It implements
// transport.AdmissionController.
type admissionController struct {
	*sharedLimits
	pool string
}

var _ transport.AdmissionController = admissionController{}

// Admit acquires one request, one queued request and the memory for a body of the given bytes: all of them or none.
func (c admissionController) Admit(body int) (transport.Admission, bool) {
	kb := (body + 1023) >> 10
	units := [...]struct {
		key string
		n   int
	}{{"operations", 1}, {"parked", 1}, {"memory_kb", kb}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, u := range units {
		if c.byKey[u.key].Acquire(c.now(), c.pool, u.n) {
			continue
		}
		for _, acquired := range units[:i] {
			c.byKey[acquired.key].Release(c.pool, acquired.n)
		}
		return nil, false
	}
	return &admission{admissionController: c, bodyKB: kb}, true
}

// admission holds the units of one admitted request. It implements transport.Admission.
type admission struct {
	admissionController
	bodyKB   int
	dequeued atomic.Bool // the queued unit has been released
}

// Sent releases the request's queued unit.
func (a *admission) Sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseQueued()
}

// releaseQueued releases the queued unit at most once. The caller holds mu.
func (a *admission) releaseQueued() {
	if !a.dequeued.Swap(true) {
		a.byKey["parked"].Release(a.pool, 1)
	}
}

// Release releases all units of the request.
func (a *admission) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseQueued()
	a.byKey["operations"].Release(a.pool, 1)
	a.byKey["memory_kb"].Release(a.pool, a.bodyKB)
}

// connLimiter limits the connections of a pool to its share. It implements transport.ConnLimiter.
type connLimiter struct {
	*sharedLimits
	pool string
}

var _ transport.ConnLimiter = connLimiter{}

// Acquire acquires one connection. When other pools have borrowed part of this pool's guarantee, it closes one of their idle
// connections to get it.
func (c connLimiter) Acquire() bool {
	if c.tryAcquire() {
		return true
	}
	_, _, usage := c.usage("connections")
	if own := usage[c.pool]; own.Used >= own.Guaranteed {
		return false
	}
	for name, u := range usage {
		if name != c.pool && u.Borrowed > 0 && c.evictIdle(name) {
			return c.tryAcquire()
		}
	}
	return false
}

// tryAcquire acquires one connection if the limit allows it now.
func (c connLimiter) tryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKey["connections"].Acquire(c.now(), c.pool, 1)
}

// Release releases one connection.
func (c connLimiter) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKey["connections"].Release(c.pool, 1)
}
