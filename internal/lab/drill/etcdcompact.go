package drill

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"kitewood/internal/control"
)

// etcdCompactDrill compacts etcd's history while no watch is possible.
var etcdCompactDrill = Drill{
	Name:         "etcd-compact",
	Description:  "the watch breaks, instances are removed and added, history is compacted: every change is reported, other instances are unaffected",
	NeedsControl: true,
	Run:          runEtcdCompact,
}

// sortByName sorts instances by name.
func sortByName(instances []*etcdInstance) {
	slices.SortFunc(instances, func(a, b *etcdInstance) int { return cmp.Compare(a.name, b.name) })
}

// runEtcdCompact stops etcd, changes and compacts it, starts it again, and checks that the control service detects every removal
// and addition in the gap and reports no change of the other instances.
func runEtcdCompact(ctx context.Context, o Options) (*Outcome, error) {
	repeats := o.repeats(20, 2)
	var mu sync.Mutex
	changes := map[string]int{} // of each name, since the start of a repeat
	p, err := startEtcdPool(ctx, o, "etcd-compact", 40, 1, func(c control.MemberChange) {
		mu.Lock()
		defer mu.Unlock()
		changes[c.Now.Name]++
	})
	if err != nil {
		return nil, err
	}
	defer p.stop()
	rig := p.rig
	stopLoad := rig.startLoad(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 4))
	out := &Outcome{}
	var delays []time.Duration
	early, late, affected := 0, 0, 0
	for range repeats {
		for _, i := range p.instances {
			if err := rig.waitUntil(ctx, "the service lists "+i.name, func() bool { _, ok := rig.seenAt("service", i.name+" ready"); return ok }); err != nil {
				return nil, err
			}
		}
		mu.Lock()
		clear(changes)
		mu.Unlock()
		for _, m := range rig.cluster.Members {
			m.Stop()
		}
		removed := p.sample(rng, 15)
		for _, i := range removed {
			p.remove(i)
		}
		var added []*etcdInstance
		for range 15 {
			i, err := p.add(time.Now())
			if err != nil {
				return nil, err
			}
			added = append(added, i)
		}
		if err := rig.cluster.Compact(rig.cluster.Revision()); err != nil {
			return nil, err
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		restarted := time.Now()
		for _, m := range rig.cluster.Members {
			if err := m.Start(); err != nil {
				return nil, err
			}
		}
		reportedAt := map[*etcdInstance]time.Time{}
		for _, i := range removed {
			if err := rig.waitUntil(ctx, "the removal of "+i.name+" is reported", func() (ok bool) { reportedAt[i], ok = rig.seenAt("service", i.name+" gone"); return ok }); err != nil {
				return nil, err
			}
			delays = append(delays, reportedAt[i].Sub(restarted))
		}
		for _, i := range added {
			if err := rig.waitUntil(ctx, i.name+" is reported", func() bool { _, ok := rig.seenAt("service", i.name+" ready"); return ok }); err != nil {
				return nil, err
			}
		}
		select {
		case <-time.After(2 * drainGrace):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		for _, i := range removed {
			if reportedAt[i].Before(i.removedAt) {
				early++
			}
			late += i.lateSenders(reportedAt[i])
			i.server.Close()
		}
		mu.Lock()
		for name := range changes {
			if p.instances[name] != nil && !slices.ContainsFunc(added, func(i *etcdInstance) bool { return i.name == name }) {
				affected++
			}
		}
		mu.Unlock()
	}
	stopLoad(out)
	out.Report("removals in gaps that were compacted", float64(repeats*15))
	reportPercentiles(out, "return of etcd to removal seen", delays)
	out.Check("removals reported before they were made", float64(early), "0", early == 0)
	out.Check("senders at removed ones 500 ms after the word", float64(late), "0", late == 0)
	out.Check("survivors of which something changed", float64(affected), "0", affected == 0)
	return out, nil
}
