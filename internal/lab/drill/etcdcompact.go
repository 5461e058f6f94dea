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

// etcdCompactDrill has etcd's history compacted while nobody can watch.
var etcdCompactDrill = Drill{
	Name:         "etcd-compact",
	Description:  "the watch breaks, instances leave and come, history is compacted: all of it is told, survivors are left alone",
	NeedsControl: true,
	Run:          runEtcdCompact,
}

func sortListed(all []*listed) {
	slices.SortFunc(all, func(a, b *listed) int { return cmp.Compare(a.name, b.name) })
}

func runEtcdCompact(ctx context.Context, o Options) (*Outcome, error) {
	repeats := o.times(20, 2)
	var mu sync.Mutex
	changes := map[string]int{} // by name
	b, err := startBystanders(ctx, o, "etcd-compact", 40, 1, func(c control.MemberChange) {
		mu.Lock()
		defer mu.Unlock()
		changes[c.Now.Name]++
	})
	if err != nil {
		return nil, err
	}
	defer b.stop()
	r := b.rig
	ended := r.load(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 4))
	out := &Outcome{}
	var back []time.Duration
	late, touched := 0, 0
	for range repeats {
		for _, i := range b.all {
			if err := r.until(ctx, "the service knows "+i.name, func() bool { _, is := r.when("service", i.name+" ready"); return is }); err != nil {
				return nil, err
			}
		}
		mu.Lock()
		clear(changes)
		mu.Unlock()
		for _, m := range r.cluster.Members {
			m.Stop()
		}
		removed := b.some(rng, 15)
		for _, i := range removed {
			b.remove(i)
		}
		var added []*listed
		for range 15 {
			i, err := b.add(time.Now())
			if err != nil {
				return nil, err
			}
			added = append(added, i)
		}
		if err := r.cluster.Compact(r.cluster.Revision()); err != nil {
			return nil, err
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		returned := time.Now()
		for _, m := range r.cluster.Members {
			if err := m.Start(); err != nil {
				return nil, err
			}
		}
		word := map[*listed]time.Time{}
		for _, i := range removed {
			if err := r.until(ctx, "the removal of "+i.name+" is seen", func() (is bool) { word[i], is = r.when("service", i.name+" gone"); return is }); err != nil {
				return nil, err
			}
			back = append(back, word[i].Sub(returned))
		}
		for _, i := range added {
			if err := r.until(ctx, i.name+" is seen", func() bool { _, is := r.when("service", i.name+" ready"); return is }); err != nil {
				return nil, err
			}
		}
		select {
		case <-time.After(2 * drainGrace):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		for _, i := range removed {
			for _, d := range i.last(word[i]) {
				if d > drainGrace {
					late++
				}
			}
			i.server.Close()
		}
		mu.Lock()
		for name := range changes {
			if b.all[name] != nil && !slices.ContainsFunc(added, func(i *listed) bool { return i.name == name }) {
				touched++
			}
		}
		mu.Unlock()
	}
	ended(out)
	out.Tell("removals in gaps that were compacted", float64(repeats*15))
	spread(out, "return of etcd to removal seen", back)
	out.Hold("senders at removed ones 500 ms after the word", float64(late), "0", late == 0)
	out.Hold("survivors of which something changed", float64(touched), "0", touched == 0)
	return out, nil
}
