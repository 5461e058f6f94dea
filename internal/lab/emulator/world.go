package emulator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"kitewood/internal/lab/child"
	"kitewood/internal/lab/dataplane"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/scenario"
)

// Options say what to play and where to leave it.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Binary   string   // kitewood
	Proxies  *Proxies // in place of it; nil for none
	Env      []string // of the sidecars, beside this process's
	Debug    bool     // the sidecars log at debug level
	Dir      string   // for configuration files and logs of sidecars; it is made
	Log      *slog.Logger
	Progress func(Progress)           // every second; nil for none
	Ready    func(addresses []string) // once all is up; nil for none
	Idle     bool                     // no clients: stay up until the context ends
}

// Progress is how a run stands.
type Progress struct {
	Elapsed, Of time.Duration
	Rate        float64 // clients' requests in the last second
	InTime      float64 // share of the requests so far that were served in time
	Errors      int64
}

// Result is what a run left.
type Result struct {
	Entries   []ledger.Entry
	Plan      *scenario.Plan
	Processes []Process
	Samples   []Sample
	CutShort  bool // ended before its time
	Duration  time.Duration
}

// Sample is the load of an instance at a time.
type Sample struct {
	At       time.Duration `json:"at"`
	Instance string        `json:"instance"`
	Tier     int           `json:"tier"`
	InFlight int           `json:"held"`
	Conns    int           `json:"conns"`
}

// tasks are the goroutines of a run, so that its end can wait for all of them.
type tasks struct{ sync.WaitGroup }

// World is a run.
type World struct {
	s        *scenario.Scenario
	seed     uint64
	plan     *scenario.Plan
	binary   string
	proxies  *Proxies
	controls *controls
	env      []string
	debug    bool
	dir      string
	log      *slog.Logger
	book     *ledger.Recorder
	block    *block
	registry *registry
	starter  *child.Starter
	tasks    *tasks
	caller   *caller
	copies   atomic.Uint64

	first   []*sidecar // of the first tier
	frontMu sync.Mutex
	front   model.FrontendBalancer
	ending  map[*sidecar]bool // front sidecars that have been told to stop and still run
	picks   int               // of sidecars for clients

	mu        sync.Mutex
	instances map[string]*instance
	sidecars  []*sidecar
	indexes   []int // next index by tier
	processes []Process
	samples   []Sample
	failed    error
	cancel    context.CancelFunc
	ctx       context.Context // done when the run is to end
	over      <-chan struct{}
	paths     *paths // nil where the plan breaks none

	intended, inTime, errors atomic.Int64
}

// Run plays a scenario to its end, or until ctx ends. Nothing is left behind either way.
func Run(ctx context.Context, o Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &World{s: o.Scenario, seed: o.Seed, plan: o.Scenario.Plan(o.Seed), binary: o.Binary, proxies: o.Proxies, env: o.Env, debug: o.Debug, dir: o.Dir, log: o.Log,
		tasks: &tasks{}, instances: map[string]*instance{}, indexes: make([]int, len(o.Scenario.Tiers)),
		cancel: cancel, ctx: ctx, over: ctx.Done(), starter: child.NewStarter()}
	defer w.starter.Close()
	if w.proxies != nil {
		if err := w.proxies.check(w.s, w.plan); err != nil {
			return nil, err
		}
	}
	if w.plan.NeedsRelays() {
		w.paths = newPaths(w)
	}
	w.caller = &caller{w: w, prefix: rand.Uint64()}
	w.book = ledger.NewRecorder()
	if err := os.MkdirAll(filepath.Join(w.dir, "sidecars"), 0o755); err != nil {
		return nil, err
	}
	var err error
	if w.block, err = newBlock(); err != nil {
		return nil, err
	}
	defer w.block.free()
	defer w.down()
	if err := w.up(); err != nil {
		return nil, err
	}
	// The run's clock starts when all is up.
	w.rebase()
	if o.Ready != nil {
		var addresses []string
		for _, s := range w.first {
			addresses = append(addresses, s.listen)
		}
		o.Ready(addresses)
	}
	until := w.s.Duration.D()
	if o.Idle {
		until = time.Duration(1<<63 - 1)
	}
	var side tasks
	timed, stopTimed := context.WithCancel(ctx)
	side.Go(func() { w.timeline(timed) })
	side.Go(func() { w.sample(timed) })
	if o.Progress != nil {
		side.Go(func() { w.report(timed, o.Progress) })
	}
	if o.Idle {
		<-ctx.Done()
	} else {
		w.clients(ctx, until)
	}
	took := w.book.Now()
	stopTimed()
	side.Wait()
	cut := ctx.Err() != nil
	w.down()
	// What is ended now is no news, but for what came behind answers and for what ended by itself.
	entries := slices.DeleteFunc(w.book.Entries(), func(e ledger.Entry) bool {
		return e.At > took && e.Kind != ledger.ExtraBytes && e.Kind != ledger.SidecarCrashed
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return &Result{Entries: entries, Plan: w.plan, Processes: w.processes, Samples: w.samples, CutShort: cut, Duration: took}, w.failed
}

// rebase makes now the start of the run: starting dozens of processes takes a time that differs from machine to machine.
// What was entered before stands at its very beginning, and the models begin anew.
func (w *World) rebase() {
	w.book.ResetStart()
	for _, i := range w.instances {
		i.do(i.renew)
	}
	w.registry.do(w.registry.renew)
}

// up starts all that is there from the beginning: the last tier first.
func (w *World) up() error {
	w.registry = newRegistry(w)
	if w.proxies != nil && w.proxies.Policy == dataplane.Weighted {
		if err := w.startControl(); err != nil {
			return err
		}
	}
	byTier := make([][]scenario.Machine, len(w.s.Tiers))
	for _, m := range w.plan.Machines {
		byTier[m.Tier] = append(byTier[m.Tier], m)
	}
	for t := len(w.s.Tiers) - 1; t >= 0; t-- {
		errs := make(chan error, len(byTier[t]))
		// Processes start a few at a time, so that none waits for a core for long.
		places := make(chan bool, runtime.NumCPU()*2)
		for n, m := range byTier[t] {
			var beside *sidecar
			if t+1 < len(w.s.Tiers) {
				beside = w.newSidecar(w.s.Tiers[t+1].Name+"@"+m.Name, t+1, n, len(byTier[t]))
			}
			w.place(newInstance(w, m, false, beside))
			go func() {
				places <- true
				defer func() { <-places }()
				if beside == nil {
					errs <- nil
					return
				}
				errs <- w.enroll(beside)
			}()
		}
		var all error
		for range byTier[t] { // all of them: none may still be starting when the run is taken down
			if err := <-errs; all == nil {
				all = err
			}
		}
		if all != nil {
			return all
		}
	}
	for n := range w.s.Tiers[0].Sidecars {
		s := w.newSidecar(fmt.Sprintf("front-%d", n), 0, n, w.s.Tiers[0].Sidecars)
		w.first = append(w.first, s)
		if err := w.enroll(s); err != nil {
			return err
		}
		w.front.AddSidecar(s.name, w.shareOf(s))
	}
	return w.failure()
}

// enroll opens the addresses that a sidecar is to find and starts it.
func (w *World) enroll(s *sidecar) error {
	if err := w.registry.admit(s); err != nil {
		return err
	}
	instances, _ := w.here()
	for _, i := range instances {
		if i.machine.Tier == s.tier {
			i.do(func() { i.admit(s) })
		}
	}
	return s.start()
}

func (w *World) newSidecar(name string, tier, me, of int) *sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &sidecar{w: w, name: name, tier: tier, index: w.indexes[tier], me: me, of: of}
	w.indexes[tier]++
	s.listen = w.block.sidecar(tier, s.index)
	w.sidecars = append(w.sidecars, s)
	return s
}

func (w *World) place(i *instance) {
	w.mu.Lock()
	w.instances[i.machine.Name] = i
	w.mu.Unlock()
}

// here are the instances and sidecars of the run so far.
func (w *World) here() ([]*instance, []*sidecar) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.instances)), w.sidecars
}

func (w *World) instance(name string) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[name]
}

// frozen tells whether an instance that made a call was cut off or ended meanwhile.
func (w *World) frozen(name string) bool {
	i := w.instance(name)
	if i == nil {
		return false
	}
	off := true
	i.do(func() { off = i.silent || i.stopped })
	return off
}

// fail ends the run: the emulator itself could not do its part.
func (w *World) fail(err error) {
	w.mu.Lock()
	w.failed = errors.Join(w.failed, err)
	w.mu.Unlock()
	w.cancel()
}

func (w *World) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

func (w *World) addProcess(p Process) {
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
}

// extra takes word of bytes behind an answer.
func (w *World) extra(id string) { w.book.Add(ledger.Entry{Kind: ledger.ExtraBytes, ID: id}) }

// down ends all processes, listeners and goroutines of the run, and waits for them. It may be called twice.
func (w *World) down() {
	w.mu.Lock()
	sidecars, instances := w.sidecars, w.instances
	w.sidecars, w.instances = nil, map[string]*instance{}
	w.mu.Unlock()
	for _, s := range sidecars {
		if pool := s.client(); pool != nil {
			pool.Close()
		}
		s.signal(syscall.SIGTERM, true)
	}
	var ending tasks
	for _, s := range sidecars {
		ending.Go(func() {
			if p := s.signal(0, true); p != nil {
				select {
				case <-p.ended:
				case <-time.After(stopWithin):
					s.signal(syscall.SIGKILL, true)
					<-p.ended
				}
			}
		})
	}
	for _, i := range instances {
		i.do(i.down)
	}
	ending.Wait()
	if w.paths != nil {
		w.paths.close()
	}
	w.stopControl()
	if w.registry != nil {
		w.registry.close()
		w.registry = nil
	}
	for _, i := range instances {
		i.stop()
	}
	w.tasks.Wait()
}

// stopWithin is how long a sidecar gets to stop at the end of a run, when nothing is asked of it any more.
const stopWithin = time.Second

// sample takes the load of all instances twice a second.
func (w *World) sample(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		instances, sidecars := w.here()
		for _, s := range sidecars {
			s.measure()
		}
		for _, i := range instances {
			s := Sample{At: w.book.Now(), Instance: i.machine.Name, Tier: i.machine.Tier}
			i.do(func() { s.InFlight, s.Conns = len(i.copies), len(i.conns) })
			w.mu.Lock()
			w.samples = append(w.samples, s)
			w.mu.Unlock()
		}
	}
}

// report tells every second how the run stands.
func (w *World) report(ctx context.Context, tell func(Progress)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := w.intended.Load()
		p := Progress{Elapsed: w.book.Now(), Of: w.s.Duration.D(), Rate: float64(n - last), Errors: w.errors.Load()}
		if n > 0 {
			p.InTime = float64(w.inTime.Load()) / float64(n)
		}
		last = n
		tell(p)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
