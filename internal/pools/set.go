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
	"kitewood/internal/transport"
)

// Set is the pools of a process, behind its listeners.
type Set struct {
	log    *slog.Logger
	ctx    context.Context
	clock  routing.Clock
	limits *limits
	guard  *guard.Guard

	mu        sync.Mutex // held by Apply, and by those who look
	file      *config.File
	front     *transport.Server
	listeners map[string]net.Listener
	watcher   *filewatch.Watcher // nil until a pool needs it
	pools     map[string]*pool
	retired   map[*pool]bool
	last      map[string]*pool // the last one of a name that was retired, while it runs
}

// New returns a Set without pools. The context ends all of it at once.
func New(ctx context.Context, log *slog.Logger) *Set {
	s := &Set{log: log, ctx: ctx, clock: routing.NewClock(), guard: guard.New(log), listeners: map[string]net.Listener{}, pools: map[string]*pool{},
		retired: map[*pool]bool{}, last: map[string]*pool{}}
	s.limits = newLimits(s.clock.Now, s.evict)
	return s
}

// Apply takes a configuration, the first or another one, while it serves. Pools that are no longer named, or named with
// other settings, take nothing new and end what is open in them by the rules. On an error nothing is changed.
func (s *Set) Apply(f *config.File) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	table, err := f.Table()
	if err != nil {
		return err
	}
	var started []func()
	undo := func(err error) error {
		for _, end := range started {
			end()
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
		if old := s.pools[conf.Name]; old != nil && old.same(conf) {
			pools[conf.Name] = old
			continue
		}
		p, err := s.prepare(f, conf)
		if err != nil {
			return undo(fmt.Errorf("pool %q: %w", conf.Name, err))
		}
		started = append(started, p.cancel)
		pools[conf.Name] = p
	}
	if err := s.limits.set(f); err != nil {
		return undo(err)
	}
	// From here on nothing fails.
	for _, p := range pools {
		if old := s.pools[p.name]; old != p {
			if old == nil {
				old = s.last[p.name]
			}
			if old != nil {
				p.succeed(old)
			}
			p.run()
		}
	}
	for i := range f.Pools {
		pools[f.Pools[i].Name].adopt(&f.Pools[i])
	}
	find := directions(f, table, pools)
	if s.front == nil {
		s.front = transport.NewServer(s.clock, find, f.Budget(), s.log)
		s.front.UseGuard(s.guard)
	} else {
		s.front.SetRoutes(find)
		s.front.SetBudget(f.Budget())
	}
	for address, ln := range s.listeners {
		if listeners[address] == nil {
			ln.Close()
		}
	}
	for address, ln := range listeners {
		if s.listeners[address] == nil {
			go s.front.Serve(ln)
		}
	}
	for name, old := range s.pools {
		if pools[name] != old {
			s.retire(old)
		}
	}
	if s.file != nil && s.file.Admin != f.Admin {
		s.log.Warn("the admin socket moves at the next start only", "admin", s.file.Admin)
	}
	s.file, s.listeners, s.pools = f, listeners, pools
	FitRuntime(f.Limits.Cores, f.Limits.MemoryMB)
	return nil
}

// directions lead requests by a table to the pools of a configuration.
func directions(f *config.File, table *route.Table, pools map[string]*pool) transport.Router {
	type way struct {
		to      *transport.Backend
		classes []protocol.Class
		as      string
	}
	ways := make([]way, len(f.Routes))
	for i, r := range f.Routes {
		p := pools[r.Pool]
		ways[i] = way{&p.service, p.classes, r.DefaultClass}
	}
	return func(m *protocol.Message) (*transport.Backend, protocol.RequestMeta, error) {
		i, bad := table.Match(route.Request{Target: m.StartLine[1], Header: m.Header, Class: m.StatedClass()})
		if bad != nil {
			return nil, protocol.RequestMeta{}, &protocol.Error{Status: bad.Status, Reason: bad.Reason}
		}
		m.ToOriginForm()
		op, err := protocol.ReadRoutedRequestMeta(m, ways[i].classes, ways[i].as)
		return ways[i].to, op, err
	}
}

// retire lets a pool that takes nothing new end what is open in it. Each operation has its answer by its deadline.
func (s *Set) retire(p *pool) {
	s.retired[p], s.last[p.name] = true, p
	p.destinations.Close()
	time.AfterFunc(p.longest()+endMargin, func() {
		p.cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.retired, p)
		if s.last[p.name] == p {
			delete(s.last, p.name)
		}
	})
}

// endMargin is how long after the longest deadline a pool's last answers may come.
const endMargin = time.Second

// evict closes an idle connection of a pool, for another that has lent it.
func (s *Set) evict(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	return p != nil && p.destinations.EvictOldestIdle()
}

// Owed tells how many operations have no answer yet.
func (s *Set) Owed() (n int) {
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

// Stop ends the listeners as transport.Front.Stop does, within the longest deadline of a class and a margin.
func (s *Set) Stop(ctx context.Context) {
	s.mu.Lock()
	longest := time.Duration(0)
	for _, p := range s.pools {
		longest = max(longest, p.longest())
	}
	var lns []net.Listener
	for _, ln := range s.listeners {
		lns = append(lns, ln)
	}
	front := s.front
	s.mu.Unlock()
	front.Stop(ctx, longest+endMargin/2, lns...)
}

// FitRuntime fits the runtime to the machine's part that the process may use.
func FitRuntime(cores float64, memoryMB int) {
	runtime.GOMAXPROCS(max(1, int(cores+0.5)))
	// Next to nothing lives long here. At 400% the heap grew for minutes towards its first collection, like a leak.
	debug.SetGCPercent(50)
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 4)
}

// same tells whether a pool can go on under another configuration: its shares and the address of its discovery may change.
func (p *pool) same(conf *config.Pool) bool {
	a, b := p.conf, *conf
	a.Shares, b.Shares = config.Shares{}, config.Shares{}
	if a.Members.Discovery != "" && b.Members.Discovery != "" {
		a.Members.Discovery = b.Members.Discovery
	}
	return reflect.DeepEqual(a, b)
}
