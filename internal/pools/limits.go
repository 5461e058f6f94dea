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
type limits struct {
	mu  sync.Mutex
	now func() time.Duration
	all map[string]*share.Limit // by the key in shares

	evict func(pool string) bool // closes an idle connection of a pool
}

func newLimits(now func() time.Duration, evict func(string) bool) *limits {
	return &limits{now: now, all: map[string]*share.Limit{}, evict: evict}
}

// set divides the limits as a configuration has it.
func (l *limits) set(f *config.File) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range f.Wholes() {
		var err error
		if limit := l.all[w.Key]; limit != nil {
			err = limit.Resize(w.Units, w.Parts(f))
		} else {
			l.all[w.Key], err = share.New(w.Units, w.Parts(f))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// uses is what each pool holds of a limit.
func (l *limits) uses(key string) (whole, used int, pools map[string]share.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, used = l.all[key].Total()
	return whole, used, l.all[key].Usage()
}

// gate is a pool's share of operations, of those parked, and of memory. It implements transport.Gate.
type gate struct {
	*limits
	pool string
}

var _ transport.AdmissionController = gate{}

// Enter takes an operation's room, all of it or none.
func (g gate) Admit(body int) (transport.Admission, bool) {
	kb := (body + 1023) >> 10
	units := [...]struct {
		key string
		n   int
	}{{"operations", 1}, {"parked", 1}, {"memory_kb", kb}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, u := range units {
		if g.all[u.key].Acquire(g.now(), g.pool, u.n) {
			continue
		}
		for _, taken := range units[:i] {
			g.all[taken.key].Release(g.pool, taken.n)
		}
		return nil, false
	}
	return &pass{gate: g, kb: kb}, true
}

// pass implements transport.Pass.
type pass struct {
	gate
	kb     int
	parked atomic.Bool // given back
}

// Sent gives back the operation's place among the parked.
func (p *pass) Sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpark()
}

func (p *pass) unpark() {
	if !p.parked.Swap(true) {
		p.all["parked"].Release(p.pool, 1)
	}
}

// Leave gives back all.
func (p *pass) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpark()
	p.all["operations"].Release(p.pool, 1)
	p.all["memory_kb"].Release(p.pool, p.kb)
}

// room is a pool's share of connections. It implements transport.Room.
type room struct {
	*limits
	pool string
}

var _ transport.ConnLimiter = room{}

// Take takes one. Where others have borrowed what is the pool's own, one that stands idle is closed for it.
func (r room) Acquire() bool {
	if r.take() {
		return true
	}
	_, _, uses := r.uses("connections")
	if own := uses[r.pool]; own.Used >= own.Guaranteed {
		return false
	}
	for name, u := range uses {
		if name != r.pool && u.Borrowed > 0 && r.evict(name) {
			return r.take()
		}
	}
	return false
}

func (r room) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all["connections"].Acquire(r.now(), r.pool, 1)
}

// Give gives one back.
func (r room) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all["connections"].Release(r.pool, 1)
}
