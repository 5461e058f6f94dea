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

// etcdChaosDrill breaks a cluster in all ways that the stand-in knows.
var etcdChaosDrill = Drill{
	Name:         "etcd-chaos",
	Description:  "etcd breaks, freezes, lags, compacts, restarts and is restored to old states: the list is the truth within 2 s, no drain is undone",
	NeedsControl: true,
	Run:          runEtcdChaos,
}

// chaosOracle knows what the list has to be: what was written, and bad words that a restored state does not take back.
type chaosOracle struct {
	truth map[string]string // state by name, as etcd has it
	ban   map[string]string // draining or gone: said before etcd was restored, and not taken back since
}

var chaosRank = map[string]int{"": 0, "ready": 1, "draining": 2, "gone": 3}

// want is the state of a name.
func (c *chaosOracle) want(name string) string {
	state := c.truth[name]
	if state == "" {
		state = "gone"
	}
	if ban := c.ban[name]; chaosRank[ban] > chaosRank[state] {
		return ban
	}
	return state
}

// write notes a write, "" for a deletion.
func (c *chaosOracle) write(name, state string) {
	delete(c.ban, name)
	if c.truth[name] = state; state == "" {
		delete(c.truth, name)
	}
}

// restore notes that etcd has an older state again.
func (c *chaosOracle) restore(old map[string]string, all []string) {
	for _, name := range all {
		if was := c.want(name); was != "ready" && (c.truth[name] != "" || c.ban[name] != "" || old[name] != "") {
			c.ban[name] = was
		}
	}
	c.truth = maps.Clone(old)
}

func runEtcdChaos(ctx context.Context, o Options) (*Outcome, error) {
	d := 5 * time.Minute
	if o.Short {
		d = 20 * time.Second
	}
	dir, err := scratch(o, "etcd-chaos")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sure := map[string]bool{} // names that are surely bad: nothing good was written since that was seen
	undone := 0
	r, err := startEtcdRig(ctx, o, dir, ", merge: {flap_most: 1000000, hold_below: 0.01}", 0, 0, func(c control.MemberChange) {
		mu.Lock()
		defer mu.Unlock()
		if c.Now.State == "ready" && sure[c.Now.Name] {
			undone++
		}
	})
	if err != nil {
		return nil, err
	}
	defer r.stop()
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	oracle := &chaosOracle{truth: map[string]string{}, ban: map[string]string{}}
	var names []string
	for n := range 30 {
		names = append(names, fmt.Sprintf("n%02d", n))
	}
	started := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	write := func(name, state string) {
		if state == "ready" {
			mu.Lock()
			delete(sure, name)
			mu.Unlock()
		}
		oracle.write(name, state)
		if state == "" {
			r.cluster.Delete(etcdPrefix + name)
			return
		}
		r.cluster.Put(etcdPrefix+name, (&listed{address: "127.0.0.1:1"}).value(state, started))
	}
	for _, name := range names {
		write(name, "ready")
	}
	// settled waits until the list is the truth and tells how long that took.
	settled := func() (time.Duration, error) {
		began := time.Now()
		wrong := ""
		err := r.until(ctx, "the list is the truth", func() bool {
			all, err := control.QueryMembers(r.admin)
			if err != nil || len(all) != 1 {
				return false
			}
			got := map[string]string{}
			for _, e := range all[0].Entries {
				got[e.Name] = e.State
			}
			for _, name := range names {
				if state, want := got[name], oracle.want(name); state != want && (state != "" || want != "gone") {
					wrong = fmt.Sprintf("%s is %q, want %q", name, state, want)
					return false
				}
			}
			return true
		})
		if err != nil {
			err = fmt.Errorf("%w: %s", err, wrong)
		}
		took := time.Since(began)
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names {
			if oracle.want(name) != "ready" {
				sure[name] = true
			}
		}
		return took, err
	}
	if _, err := settled(); err != nil {
		return nil, err
	}
	// read is what the service has read of etcd.
	read := func() (out membership.SourceView) {
		if all, err := control.QueryMembers(r.admin); err == nil && len(all) == 1 {
			out = all[0].Sources[0]
		}
		return out
	}
	type kept struct {
		data  etcd.Snapshot
		truth map[string]string
	}
	var backups []kept
	var times []time.Duration
	counts := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
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
				r.cluster.Compact(r.cluster.Revision()) // that it was compacted so far already is no fault
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
		took, err := settled()
		if err != nil {
			return nil, err
		}
		times = append(times, took)
		if len(backups) > 0 && rng.IntN(3) == 0 {
			b := backups[rng.IntN(len(backups))]
			kind, restore := "restore", r.cluster.Restore
			// One of an earlier history may be of a later revision: in place it would be that of a cluster that went on.
			if rng.IntN(2) == 0 && b.data.Revision() < r.cluster.Revision() {
				kind, restore = "restore in place", r.cluster.RestoreInPlace
			}
			counts[kind]++
			// The list may be the truth before the last writes, which change nothing, are read.
			if err := r.until(ctx, "all that was written is read", func() bool { return read().Revision >= r.cluster.Revision() }); err != nil {
				return nil, err
			}
			before := read().History
			oracle.restore(b.truth, names)
			if err := restore(b.data); err != nil {
				return nil, err
			}
			if took, err = settled(); err != nil {
				return nil, err
			}
			times = append(times, took)
			// Only what is written after the service has read the restored list is known to be new.
			if err := r.until(ctx, "the restored list is read", func() bool {
				now := read().History
				return now != "" && now != before
			}); err != nil {
				return nil, err
			}
		} else if len(backups) < 5 {
			backups = append(backups, kept{r.cluster.Backup(), maps.Clone(oracle.truth)})
		}
	}
	out := &Outcome{}
	for _, fault := range slices.Sorted(maps.Keys(counts)) {
		out.Tell(fault, float64(counts[fault]))
	}
	spread(out, "last fault to the truth", times)
	slices.Sort(times)
	out.Hold("longest, s", times[len(times)-1].Seconds(), "at most 2", times[len(times)-1] <= 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	out.Hold("drains and removals undone by old news", float64(undone), "0", undone == 0)
	return out, nil
}
