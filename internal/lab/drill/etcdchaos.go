package drill

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kitewood/internal/control"
	"kitewood/internal/lab/etcd"
	"kitewood/internal/membership"
)

// etcdChaosDrill injects every fault that the emulated etcd cluster supports.
var etcdChaosDrill = Drill{
	Name:         "etcd-chaos",
	Description:  "etcd breaks, freezes, lags, compacts, restarts and is restored to old states: the list is correct within 2 s, no drain is undone",
	NeedsControl: true,
	Run:          runEtcdChaos,
}

// chaosOracle computes the expected list: what was written, and draining or gone states that a restored older state of etcd must
// not undo.
type chaosOracle struct {
	written   map[string]string // state in etcd, by name
	overrides map[string]string // draining or gone, by name: recorded before etcd was restored, with no write since
}

// stateRank orders the states: a higher one overrides a lower one after a restore.
var stateRank = map[string]int{"": 0, "ready": 1, "draining": 2, "gone": 3}

// expected returns the state that the list should show for a name.
func (o *chaosOracle) expected(name string) string {
	state := o.written[name]
	if state == "" {
		state = "gone"
	}
	if override := o.overrides[name]; stateRank[override] > stateRank[state] {
		return override
	}
	return state
}

// recordWrite records a write of a state; an empty state is a deletion.
func (o *chaosOracle) recordWrite(name, state string) {
	delete(o.overrides, name)
	if o.written[name] = state; state == "" {
		delete(o.written, name)
	}
}

// recordRestore records that etcd was restored to an older state.
func (o *chaosOracle) recordRestore(restored map[string]string, names []string) {
	for _, name := range names {
		if state := o.expected(name); state != "ready" && (o.written[name] != "" || o.overrides[name] != "" || restored[name] != "") {
			o.overrides[name] = state
		}
	}
	o.written = maps.Clone(restored)
}

// runEtcdChaos injects faults at random, and after each round checks that the list converges to the expected states in time and
// that no draining or removed instance becomes ready again from outdated data.
func runEtcdChaos(ctx context.Context, o Options) (*Outcome, error) {
	duration := 5 * time.Minute
	if o.Short {
		duration = 20 * time.Second
	}
	dir, err := makeDir(o, "etcd-chaos")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	notReady := map[string]bool{} // names observed as draining or gone, with no ready state written since
	undone := 0
	r, err := startEtcdRig(ctx, o, dir, ", merge: {flap_most: 1000000, hold_below: 0.01}", 0, 0, func(c control.MemberChange) {
		mu.Lock()
		defer mu.Unlock()
		if c.Now.State == "ready" && notReady[c.Now.Name] {
			undone++
		}
	})
	if err != nil {
		return nil, err
	}
	defer r.stop()
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	oracle := &chaosOracle{written: map[string]string{}, overrides: map[string]string{}}
	var names []string
	for n := range 30 {
		names = append(names, fmt.Sprintf("n%02d", n))
	}
	started := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	write := func(name, state string) {
		if state == "ready" {
			mu.Lock()
			delete(notReady, name)
			mu.Unlock()
		}
		oracle.recordWrite(name, state)
		if state == "" {
			r.cluster.Delete(etcdPrefix + name)
			return
		}
		r.cluster.Put(etcdPrefix+name, (&etcdInstance{address: "127.0.0.1:1"}).etcdValue(state, started))
	}
	for _, name := range names {
		write(name, "ready")
	}
	// waitConverged waits until the list matches the oracle and returns how long that took.
	waitConverged := func() (time.Duration, error) {
		start := time.Now()
		mismatch := ""
		err := r.waitUntil(ctx, "the list is correct", func() bool {
			all, err := control.QueryMembers(r.admin)
			if err != nil || len(all) != 1 {
				return false
			}
			got := map[string]string{}
			for _, e := range all[0].Entries {
				got[e.Name] = e.State
			}
			for _, name := range names {
				if state, want := got[name], oracle.expected(name); state != want && (state != "" || want != "gone") {
					mismatch = fmt.Sprintf("%s is %q, want %q", name, state, want)
					return false
				}
			}
			return true
		})
		if err != nil {
			err = fmt.Errorf("%w: %s", err, mismatch)
		}
		took := time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			if oracle.expected(name) != "ready" {
				notReady[name] = true
			}
		}
		return took, err
	}
	if _, err := waitConverged(); err != nil {
		return nil, err
	}
	// sourceView returns the control service's view of its etcd source.
	sourceView := func() (out membership.SourceView) {
		if all, err := control.QueryMembers(r.admin); err == nil && len(all) == 1 {
			out = all[0].Sources[0]
		}
		return out
	}
	type backup struct {
		data    etcd.Snapshot
		written map[string]string
	}
	var backups []backup
	var convergence []time.Duration
	counts := map[string]int{}
	for limit := time.Now().Add(duration); time.Now().Before(limit); {
		for range 2 + rng.IntN(4) {
			for range rng.IntN(4) {
				write(names[rng.IntN(len(names))], []string{"ready", "ready", "draining", ""}[rng.IntN(4)])
			}
			m := r.cluster.Members[rng.IntN(len(r.cluster.Members))]
			fault := []string{"break", "freeze", "lag", "compact", "stop"}[rng.IntN(5)]
			counts[fault]++
			switch fault {
			case "break":
				if err := m.Restart(); err != nil {
					return nil, err
				}
			case "freeze":
				m.Pause()
			case "lag":
				m.PauseApply()
			case "compact":
				r.cluster.Compact(r.cluster.Revision()) // an error that this revision is already compacted is harmless
			case "stop":
				m.Stop()
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				if err := m.Start(); err != nil {
					return nil, err
				}
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		for _, m := range r.cluster.Members {
			m.Resume()
			m.ResumeApply()
		}
		took, err := waitConverged()
		if err != nil {
			return nil, err
		}
		convergence = append(convergence, took)
		if len(backups) > 0 && rng.IntN(3) == 0 {
			b := backups[rng.IntN(len(backups))]
			kind, restore := "restore", r.cluster.Restore
			// A backup of an earlier history may have a higher revision; restored in place, it would look like the same
			// cluster that has moved on.
			if rng.IntN(2) == 0 && b.data.Revision() < r.cluster.Revision() {
				kind, restore = "restore in place", r.cluster.RestoreInPlace
			}
			counts[kind]++
			// The list may be correct before the service has read the last writes, if those change nothing.
			if err := r.waitUntil(ctx, "all writes are read", func() bool { return sourceView().Revision >= r.cluster.Revision() }); err != nil {
				return nil, err
			}
			before := sourceView().History
			oracle.recordRestore(b.written, names)
			if err := restore(b.data); err != nil {
				return nil, err
			}
			if took, err = waitConverged(); err != nil {
				return nil, err
			}
			convergence = append(convergence, took)
			// Only writes after the service has read the restored list are known to be new.
			if err := r.waitUntil(ctx, "the restored list is read", func() bool {
				now := sourceView().History
				return now != "" && now != before
			}); err != nil {
				return nil, err
			}
		} else if len(backups) < 5 {
			backups = append(backups, backup{r.cluster.Backup(), maps.Clone(oracle.written)})
		}
	}
	out := &Outcome{}
	for _, fault := range slices.Sorted(maps.Keys(counts)) {
		out.Report(fault, float64(counts[fault]))
	}
	reportPercentiles(out, "last fault to the truth", convergence)
	slices.Sort(convergence)
	out.Check("longest, s", convergence[len(convergence)-1].Seconds(), "at most 2", convergence[len(convergence)-1] <= 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	out.Check("drains and removals undone by old news", float64(undone), "0", undone == 0)
	return out, nil
}
