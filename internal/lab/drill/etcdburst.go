package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"kitewood/internal/control"
	"kitewood/internal/lab/model"
)

// etcdBurstDrill replaces much of a pool within a second, by way of etcd.
var etcdBurstDrill = Drill{
	Name:         "etcd-burst",
	Description:  "40 instances leave etcd and 30 come within a second, under load by proxies and sidecars: nothing at those that left 500 ms after",
	NeedsControl: true,
	Run:          runEtcdBurst,
}

const (
	burstSize    = 80
	burstRemoved = 40
	burstAdded   = 30
	burstWithin  = 900 * time.Millisecond
)

// bystanders are instances that are listed.
type bystanders struct {
	rig  *etcdRig
	next int
	all  map[string]*listed // by name
}

// startBystanders starts a rig with instances that are listed and have long been up, two proxies and some sidecars, and waits until
// all can send.
func startBystanders(ctx context.Context, o Options, name string, n, sidecars int, told func(control.MemberChange)) (*bystanders, error) {
	dir, err := scratch(o, name)
	if err != nil {
		return nil, err
	}
	r, err := startEtcdRig(ctx, o, dir, "", sidecars, 2, told)
	if err != nil {
		return nil, err
	}
	b := &bystanders{rig: r, all: map[string]*listed{}}
	for range n {
		if _, err = b.add(time.Time{}); err != nil {
			break
		}
	}
	if err == nil {
		err = r.ready(ctx)
	}
	if err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

// add starts an instance and lists it.
func (b *bystanders) add(started time.Time) (*listed, error) {
	i, err := newListed(fmt.Sprintf("i%04d", b.next))
	if err != nil {
		return nil, err
	}
	b.next++
	b.all[i.name] = i
	b.rig.cluster.Put(etcdPrefix+i.name, i.value("ready", started))
	return i, nil
}

// remove takes an instance from the list. It runs on, so that it sees who sends to it still.
func (b *bystanders) remove(i *listed) {
	i.word = time.Now()
	b.rig.cluster.Delete(etcdPrefix + i.name)
	delete(b.all, i.name)
}

// some are instances drawn at random.
func (b *bystanders) some(rng *rand.Rand, n int) (out []*listed) {
	for _, i := range b.all { // the order of a map is random, but not by the seed
		out = append(out, i)
	}
	sortListed(out)
	rng.Shuffle(len(out), func(x, y int) { out[x], out[y] = out[y], out[x] })
	return out[:min(n, len(out))]
}

func (b *bystanders) stop() {
	b.rig.stop()
	for _, i := range b.all {
		i.server.Close()
	}
}

// platformTells are how long after each removal the platform's discovery tells of it, by the lab's model of it with its usual
// figures: what it is told it sees later, and publishes together with what else has changed meanwhile. Calls and watches come
// on top.
func platformTells(rng *rand.Rand, removals []time.Duration) ([]time.Duration, error) {
	s, err := find("calm")
	if err != nil {
		return nil, err
	}
	d := model.NewDiscovery(model.DiscoveryConfig{Period: s.Discovery.PublishPeriod.D()}, nil)
	left := map[string]time.Duration{}
	for n, at := range removals {
		name := fmt.Sprint(n)
		left[name] = at
		d.ScheduleChange(at+model.Jitter(rng, s.Discovery.DetectionDelay.D()/2), model.Member{Name: name, Status: model.Terminating})
	}
	var out []time.Duration
	for {
		now, any := d.NextPublish()
		if !any {
			return out, nil
		}
		u, _ := d.Advance(now)
		for _, m := range u.Members {
			out = append(out, now-left[m.Name])
		}
	}
}

func runEtcdBurst(ctx context.Context, o Options) (*Outcome, error) {
	repeats := o.times(50, 5)
	b, err := startBystanders(ctx, o, "etcd-burst", burstSize, 2, nil)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	r := b.rig
	ended := r.load(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	out := &Outcome{}
	seen, last := map[string][]time.Duration{}, map[string][]time.Duration{}
	unseen, late, before := 0, 0, 0
	began := time.Now()
	var removals []time.Duration
	for range repeats {
		removed := b.some(rng, burstRemoved)
		var added []*listed
		came := map[*listed]time.Time{}
		gap := burstWithin / (burstRemoved + burstAdded)
		for n, i := range removed {
			time.Sleep(gap)
			before += len(i.last(time.Now().Add(-drainGrace)))
			b.remove(i)
			removals = append(removals, i.word.Sub(began))
			if n < burstAdded {
				time.Sleep(gap)
				now := time.Now()
				x, err := b.add(now)
				if err != nil {
					return nil, err
				}
				came[x] = now
				added = append(added, x)
			}
		}
		select {
		case <-time.After(2 * drainGrace):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		note := func(who, what string, from time.Time) {
			if t, is := r.when(who, what); is {
				seen[who] = append(seen[who], t.Sub(from))
			} else {
				unseen++
			}
		}
		for _, i := range removed {
			note("service", i.name+" gone", i.word)
			for n := range r.tables {
				note(fmt.Sprintf("proxy-%d", n), i.address+" out", i.word)
			}
			for who, d := range i.last(i.word) {
				last[who[:len(who)-2]] = append(last[who[:len(who)-2]], d)
				if d > drainGrace {
					late++
				}
			}
			i.server.Close()
		}
		for _, i := range added {
			note("service", i.name+" ready", came[i])
			for n := range r.tables {
				note(fmt.Sprintf("proxy-%d", n), i.address+" in", came[i])
			}
		}
		for range burstRemoved - burstAdded {
			if _, err := b.add(time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	platform, err := platformTells(rng, removals)
	if err != nil {
		return nil, err
	}
	spread(out, "the same removals told by the platform's discovery, as the lab models it", platform)
	ended(out)
	out.Hold("changes that somebody has not seen", float64(unseen), "0", unseen == 0)
	out.Hold("senders at those that left, in the 500 ms before", float64(before), "above 0", before > 0)
	out.Hold("senders at them after 500 ms", float64(late), "0", late == 0)
	for _, who := range []string{"service", "proxy-0", "proxy-1"} {
		spread(out, "change to seen, "+who, seen[who])
	}
	spread(out, "removal to the last request, proxies", last["proxy"])
	spread(out, "removal to the last request, sidecars", last["sidecar"])
	return out, nil
}
