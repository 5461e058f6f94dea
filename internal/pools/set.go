package pools

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/filewatch"
	"kitewood/internal/guard"
	"kitewood/internal/protocol"
	"kitewood/internal/route"
	"kitewood/internal/routing"
	"kitewood/internal/shutdown"
	"kitewood/internal/transport"
)

// Set is the set of pools of a process, with the listeners in front of them.
type Set struct {
	log    *slog.Logger
	ctx    context.Context
	clock  routing.Clock
	limits *sharedLimits
	guard  *guard.Guard

	mu          sync.Mutex // held by Apply and by readers
	file        *config.File
	server      *transport.Server
	listeners   map[string]net.Listener
	watcher     *filewatch.Watcher // nil until a pool has a list file
	pools       map[string]*pool
	retired     map[*pool]bool
	lastRetired map[string]*pool // by name, the pool that was retired last, while it still runs
}

// New returns a Set without pools. Cancelling the context ends all of its pools at once, without draining.
func New(ctx context.Context, log *slog.Logger) *Set {
	s := &Set{log: log, ctx: ctx, clock: routing.NewClock(), guard: guard.New(log), listeners: map[string]net.Listener{}, pools: map[string]*pool{},
		retired: map[*pool]bool{}, lastRetired: map[string]*pool{}}
	s.limits = newSharedLimits(s.clock.Now, s.evictIdle)
	return s
}

// Apply applies a configuration: the first one, or another one while the Set serves. Pools that the configuration removes or
// changes accept no new requests and finish those in flight within their deadlines. On an error nothing changes.
func (s *Set) Apply(f *config.File) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	table, err := f.Table()
	if err != nil {
		return err
	}
	var started []func()
	undo := func(err error) error {
		for _, stop := range started {
			stop()
		}
		return err
	}
	listeners := map[string]net.Listener{}
	for _, l := range f.Listeners {
		if ln := s.listeners[l.Address]; ln != nil {
			listeners[l.Address] = ln
			continue
		}
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			return undo(err)
		}
		started = append(started, func() { ln.Close() })
		listeners[l.Address] = ln
	}
	pools := map[string]*pool{}
	for i := range f.Pools {
		conf := &f.Pools[i]
		if old := s.pools[conf.Name]; old != nil && old.canKeep(conf) {
			pools[conf.Name] = old
			continue
		}
		p, err := s.newPool(f, conf)
		if err != nil {
			return undo(fmt.Errorf("pool %q: %w", conf.Name, err))
		}
		started = append(started, p.cancel)
		pools[conf.Name] = p
	}
	if err := s.limits.update(f); err != nil {
		return undo(err)
	}
	// Nothing below can fail.
	for _, p := range pools {
		if old := s.pools[p.name]; old != p {
			if old == nil {
				old = s.lastRetired[p.name]
			}
			if old != nil {
				p.takeOver(old)
			}
			p.run()
		}
	}
	for i := range f.Pools {
		pools[f.Pools[i].Name].updateConfig(&f.Pools[i])
	}
	router := newRouter(f, table, pools)
	if s.server == nil {
		s.server = transport.NewServer(s.clock, router, f.Budget(), s.log)
		s.server.UseGuard(s.guard)
	} else {
		s.server.SetRoutes(router)
		s.server.SetBudget(f.Budget())
	}
	for address, ln := range s.listeners {
		if listeners[address] == nil {
			ln.Close()
		}
	}
	for address, ln := range listeners {
		if s.listeners[address] == nil {
			go s.server.Serve(ln)
		}
	}
	for name, old := range s.pools {
		if pools[name] != old {
			s.retire(old)
		}
	}
	if s.file != nil && s.file.Admin != f.Admin {
		s.log.Warn("the admin socket path changes only after a restart", "admin", s.file.Admin)
	}
	s.file, s.listeners, s.pools = f, listeners, pools
	ConfigureRuntime(f.Limits.Cores, f.Limits.MemoryMB)
	return nil
}

// newRouter returns a router that sends requests to the pools of a configuration as the table says.
func newRouter(f *config.File, table *route.Table, pools map[string]*pool) transport.Router {
	type target struct {
		backend      *transport.Backend
		classes      []protocol.Class
		defaultClass string
	}
	targets := make([]target, len(f.Routes))
	for i, r := range f.Routes {
		p := pools[r.Pool]
		targets[i] = target{&p.backend, p.classes, r.DefaultClass}
	}
	return func(m *protocol.Message) (*transport.Backend, protocol.RequestMeta, error) {
		i, rejection := table.Match(route.Request{Target: m.StartLine[1], Header: m.Header, Class: m.StatedClass()})
		if rejection != nil {
			return nil, protocol.RequestMeta{}, &protocol.Error{Status: rejection.Status, Reason: rejection.Reason}
		}
		m.ToOriginForm()
		meta, err := protocol.ReadRoutedRequestMeta(m, targets[i].classes, targets[i].defaultClass)
		return targets[i].backend, meta, err
	}
}

// retire lets a pool that receives no new requests finish those in flight, and then ends it. Each request is answered by its
// deadline.
func (s *Set) retire(p *pool) {
	s.retired[p], s.lastRetired[p.name] = true, p
	p.connections.Close()
	time.AfterFunc(p.maxDeadline()+retireMargin, func() { s.endRetired(p) })
}

// endRetired ends a retired pool once it has no request in flight. A request may state more time than its class has.
func (s *Set) endRetired(p *pool) {
	if p.loop.PendingRequests() > 0 && p.ctx.Err() == nil {
		time.AfterFunc(retireMargin, func() { s.endRetired(p) })
		return
	}
	p.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retired, p)
	if s.lastRetired[p.name] == p {
		delete(s.lastRetired, p.name)
	}
}

// retireMargin is how long after the longest deadline the last responses of a pool may arrive, and how often a retired pool is
// looked at from then on.
const retireMargin = time.Second

// evictIdle closes an idle connection of a pool so that its lender can have it back.
func (s *Set) evictIdle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p != nil && p.connections.EvictOldestIdle()
}

// PendingRequests returns the number of requests that have no answer yet, those of retired pools included.
func (s *Set) PendingRequests() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		n += p.loop.PendingRequests()
	}
	for p := range s.retired {
		n += p.loop.PendingRequests()
	}
	return n
}

// Stop stops the listeners like transport.Server.Stop, within the limits for the longest deadline of a class. The classes of
// retired pools count, too.
func (s *Set) Stop(ctx context.Context) {
	s.mu.Lock()
	maxDeadline := time.Duration(0)
	for _, p := range s.pools {
		maxDeadline = max(maxDeadline, p.maxDeadline())
	}
	for p := range s.retired {
		maxDeadline = max(maxDeadline, p.maxDeadline())
	}
	var lns []net.Listener
	for _, ln := range s.listeners {
		lns = append(lns, ln)
	}
	server := s.server
	s.mu.Unlock()
	server.Stop(ctx, shutdown.LimitsFor(maxDeadline), lns...)
}

// ConfigureRuntime sets the runtime's processor count, garbage collection and memory limit for the given resources.
func ConfigureRuntime(cores float64, memoryMB int) {
	runtime.GOMAXPROCS(max(1, int(cores+0.5)))
	// Few objects live long here. At 400% the heap grew for minutes before its first collection, which looked like a leak.
	debug.SetGCPercent(50)
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 4)
}

// canKeep reports whether the pool can continue with another configuration: only its shares and the address of its discovery
// may differ.
func (p *pool) canKeep(conf *config.Pool) bool {
	a, b := p.conf, *conf
	a.Shares, b.Shares = config.Shares{}, config.Shares{}
	if a.Members.Discovery != "" && b.Members.Discovery != "" {
		a.Members.Discovery = b.Members.Discovery
	}
	return reflect.DeepEqual(a, b)
}
