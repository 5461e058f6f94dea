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

// Options are the options of a run.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Binary   string   // path of kitewood
	Proxies  *Proxies // run in place of kitewood sidecars; nil for none
	Env      []string // environment of the sidecars, added to that of this process
	Debug    bool     // the sidecars log at debug level
	Dir      string   // for configuration files and logs of sidecars; created if missing
	Log      *slog.Logger
	Progress func(Progress)           // called every second; nil for none
	Ready    func(addresses []string) // called with the first-tier sidecars' addresses once everything has started; nil for none
	Idle     bool                     // no clients: keep everything running until the context ends
}

// Progress is the progress of a run.
type Progress struct {
	Elapsed, Total time.Duration
	Rate           float64 // requests of clients in the last second, client retries not counted
	InTime         float64 // share of the requests so far that were answered in time
	Errors         int64
}

// Result is the result of a run.
type Result struct {
	Entries   []ledger.Entry
	Plan      *scenario.Plan
	Processes []Process
	Samples   []Sample
	CutShort  bool // ended before the scenario's duration was over
	Duration  time.Duration
}

// Sample is the load of an instance at one moment.
type Sample struct {
	At       time.Duration `json:"at"`
	Instance string        `json:"instance"`
	Tier     int           `json:"tier"`
	InFlight int           `json:"held"`
	Conns    int           `json:"conns"`
}

// tasks counts the goroutines of a run, so that its end can wait for all of them.
type tasks struct{ sync.WaitGroup }

// World is a run: the emulated components and the sidecars.
type World struct {
	scenario       *scenario.Scenario
	seed           uint64
	plan           *scenario.Plan
	binary         string
	proxies        *Proxies
	controlService *controlService
	env            []string
	debug          bool
	dir            string
	log            *slog.Logger
	ledger         *ledger.Recorder
	addresses      *addressBlock
	registry       *registry
	starter        *child.Starter
	tasks          *tasks
	caller         *caller
	lastAttempt    atomic.Uint64

	firstTierSidecars []*sidecar // the sidecars of the first tier, which clients use
	balancerMu        sync.Mutex
	balancer          model.FrontendBalancer
	stoppingSidecars  map[*sidecar]bool // first-tier sidecars that have been asked to stop and still run
	picks             int               // number of sidecars picked for clients

	mu        sync.Mutex
	instances map[string]*instance
	sidecars  []*sidecar
	nextIndex []int // next sidecar index by tier
	processes []Process
	samples   []Sample
	err       error
	cancel    context.CancelFunc
	ctx       context.Context // done when the run is to end
	done      <-chan struct{}
	paths     *pathSet // nil if the plan breaks none

	requests, inTime, failures atomic.Int64
}

// Run plays a scenario to its end, or until ctx ends. Either way it leaves no process, listener or goroutine behind.
func Run(ctx context.Context, o Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &World{scenario: o.Scenario, seed: o.Seed, plan: o.Scenario.Plan(o.Seed), binary: o.Binary,
		proxies: o.Proxies, env: o.Env, debug: o.Debug, dir: o.Dir, log: o.Log, tasks: &tasks{}, instances: map[string]*instance{}, nextIndex: make([]int, len(o.Scenario.Tiers)),
		cancel: cancel, ctx: ctx, done: ctx.Done(), starter: child.NewStarter()}
	defer w.starter.Close()
	if w.proxies != nil {
		if err := w.proxies.check(w.scenario, w.plan); err != nil {
			return nil, err
		}
	}
	if w.plan.NeedsRelays() {
		w.paths = newPathSet(w)
	}
	w.caller = &caller{w: w, idPrefix: rand.Uint64()}
	w.ledger = ledger.NewRecorder()
	if err := os.MkdirAll(filepath.Join(w.dir, "sidecars"), 0o755); err != nil {
		return nil, err
	}
	var err error
	if w.addresses, err = newAddressBlock(); err != nil {
		return nil, err
	}
	defer w.addresses.release()
	defer w.stopAll()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	// The run's clock starts when everything has started.
	w.resetClock()
	if o.Ready != nil {
		var addresses []string
		for _, s := range w.firstTierSidecars {
			addresses = append(addresses, s.listen)
		}
		o.Ready(addresses)
	}
	until := w.scenario.Duration.D()
	if o.Idle {
		until = time.Duration(1<<63 - 1)
	}
	var background tasks
	timedCtx, stopTimed := context.WithCancel(ctx)
	background.Go(func() { w.runTimeline(timedCtx) })
	background.Go(func() { w.sampleLoad(timedCtx) })
	if o.Progress != nil {
		background.Go(func() { w.reportProgress(timedCtx, o.Progress) })
	}
	if o.Idle {
		<-ctx.Done()
	} else {
		w.runClients(ctx, until)
	}
	took := w.ledger.Now()
	stopTimed()
	background.Wait()
	interrupted := ctx.Err() != nil
	w.stopAll()
	// Entries made by the teardown are dropped, except for bytes after an answer and for sidecars that ended by themselves.
	entries := slices.DeleteFunc(w.ledger.Entries(), func(e ledger.Entry) bool {
		return e.At > took && e.Kind != ledger.ExtraBytes && e.Kind != ledger.SidecarCrashed
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return &Result{Entries: entries, Plan: w.plan, Processes: w.processes, Samples: w.samples, CutShort: interrupted, Duration: took}, w.err
}

// resetClock makes the present the start of the run, as the time to start dozens of processes differs from machine to machine.
// Earlier entries move to the very start of the run, and the models are reset.
func (w *World) resetClock() {
	w.ledger.ResetStart()
	for _, i := range w.instances {
		i.do(i.resetModel)
	}
	w.registry.do(w.registry.resetLists)
}

// startAll starts everything that exists from the start of the run, the last tier first.
func (w *World) startAll() error {
	w.registry = newRegistry(w)
	if w.proxies != nil && w.proxies.Policy == dataplane.Weighted {
		if err := w.startControl(); err != nil {
			return err
		}
	}
	byTier := make([][]scenario.Machine, len(w.scenario.Tiers))
	for _, m := range w.plan.Machines {
		byTier[m.Tier] = append(byTier[m.Tier], m)
	}
	for t := len(w.scenario.Tiers) - 1; t >= 0; t-- {
		errs := make(chan error, len(byTier[t]))
		// Few processes start at a time, so that none waits long for a core.
		slots := make(chan bool, runtime.NumCPU()*2)
		for n, m := range byTier[t] {
			var localSidecar *sidecar
			if t+1 < len(w.scenario.Tiers) {
				localSidecar = w.newSidecar(w.scenario.Tiers[t+1].Name+"@"+m.Name, t+1, n, len(byTier[t]))
			}
			w.addInstance(newInstance(w, m, false, localSidecar))
			go func() {
				slots <- true
				defer func() { <-slots }()
				if localSidecar == nil {
					errs <- nil
					return
				}
				errs <- w.startSidecar(localSidecar)
			}()
		}
		var firstErr error
		for range byTier[t] { // wait for all: none may still be starting when the run is stopped
			if err := <-errs; firstErr == nil {
				firstErr = err
			}
		}
		if firstErr != nil {
			return firstErr
		}
	}
	for n := range w.scenario.Tiers[0].Sidecars {
		s := w.newSidecar(fmt.Sprintf("front-%d", n), 0, n, w.scenario.Tiers[0].Sidecars)
		w.firstTierSidecars = append(w.firstTierSidecars, s)
		if err := w.startSidecar(s); err != nil {
			return err
		}
		w.balancer.AddSidecar(s.name, w.clientWeight(s))
	}
	return w.failure()
}

// startSidecar opens the addresses that a sidecar connects to, then starts it.
func (w *World) startSidecar(s *sidecar) error {
	if err := w.registry.addSidecar(s); err != nil {
		return err
	}
	instances, _ := w.members()
	for _, i := range instances {
		if i.machine.Tier == s.tier {
			i.do(func() { i.addSidecar(s) })
		}
	}
	return s.start()
}

// newSidecar adds a sidecar without a process. peerIndex and peerCount give its position among the sidecars that share its role.
func (w *World) newSidecar(name string, tier, peerIndex, peerCount int) *sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &sidecar{w: w, name: name, tier: tier, index: w.nextIndex[tier], peerIndex: peerIndex, peerCount: peerCount}
	w.nextIndex[tier]++
	s.listen = w.addresses.sidecarAddress(tier, s.index)
	w.sidecars = append(w.sidecars, s)
	return s
}

func (w *World) addInstance(i *instance) {
	w.mu.Lock()
	w.instances[i.machine.Name] = i
	w.mu.Unlock()
}

// members returns the instances and sidecars of the run so far.
func (w *World) members() ([]*instance, []*sidecar) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.instances)), w.sidecars
}

func (w *World) instance(name string) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[name]
}

// isDown reports whether an instance is off the network or has ended; false if the name is empty or unknown.
func (w *World) isDown(name string) bool {
	i := w.instance(name)
	if i == nil {
		return false
	}
	down := true
	i.do(func() { down = i.silent || i.stopped })
	return down
}

// fail ends the run with an error of the emulator itself.
func (w *World) fail(err error) {
	w.mu.Lock()
	w.err = errors.Join(w.err, err)
	w.mu.Unlock()
	w.cancel()
}

func (w *World) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

func (w *World) addProcess(p Process) {
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
}

// recordExtraBytes records that bytes came after the answer to a request.
func (w *World) recordExtraBytes(id string) {
	w.ledger.Add(ledger.Entry{Kind: ledger.ExtraBytes, ID: id})
}

// stopAll ends all processes, listeners and goroutines of the run, and waits for them. It may be called twice.
func (w *World) stopAll() {
	w.mu.Lock()
	sidecars, instances := w.sidecars, w.instances
	w.sidecars, w.instances = nil, map[string]*instance{}
	w.mu.Unlock()
	for _, s := range sidecars {
		if pool := s.clientPool(); pool != nil {
			pool.Close()
		}
		s.signal(syscall.SIGTERM, true)
	}
	var exits tasks
	for _, s := range sidecars {
		exits.Go(func() {
			if p := s.signal(0, true); p != nil {
				select {
				case <-p.ended:
				case <-time.After(stopTimeout):
					s.signal(syscall.SIGKILL, true)
					<-p.ended
				}
			}
		})
	}
	for _, i := range instances {
		i.do(i.terminate)
	}
	exits.Wait()
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

// stopTimeout is how long a sidecar may take to stop at the end of a run, when it has no requests any more.
const stopTimeout = time.Second

// sampleLoad samples the load of all instances twice a second.
func (w *World) sampleLoad(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		instances, sidecars := w.members()
		for _, s := range sidecars {
			s.samplePeakMemory()
		}
		for _, i := range instances {
			s := Sample{At: w.ledger.Now(), Instance: i.machine.Name, Tier: i.machine.Tier}
			i.do(func() { s.InFlight, s.Conns = len(i.attempts), len(i.conns) })
			w.mu.Lock()
			w.samples = append(w.samples, s)
			w.mu.Unlock()
		}
	}
}

// reportProgress calls report with the progress of the run every second.
func (w *World) reportProgress(ctx context.Context, report func(Progress)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := w.requests.Load()
		p := Progress{Elapsed: w.ledger.Now(), Total: w.scenario.Duration.D(), Rate: float64(n - last), Errors: w.failures.Load()}
		if n > 0 {
			p.InTime = float64(w.inTime.Load()) / float64(n)
		}
		last = n
		report(p)
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
