package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"kitewood/internal/control"
	"kitewood/internal/lab/model"
)

// etcdBurstDrill replaces a large part of a pool within a second through etcd.
var etcdBurstDrill = Drill{
	Name:         "etcd-burst",
	Description:  "40 instances are removed from etcd and 30 added within a second, under load from proxies and sidecars: no request reaches a removed one after 500 ms",
	NeedsControl: true,
	Run:          runEtcdBurst,
}

const (
	burstSize     = 80
	burstRemoved  = 40
	burstAdded    = 30
	burstDuration = 900 * time.Millisecond
)

// etcdPool is an etcdRig together with the instances that are listed in its etcd.
type etcdPool struct {
	rig       *etcdRig
	nextIndex int
	instances map[string]*etcdInstance // by name
}

// startEtcdPool starts a rig with n listed instances past slow start, two proxies and some sidecars, and waits until all of
// them can send. The callback gets each member change that the control service reports; it may be nil.
func startEtcdPool(ctx context.Context, o Options, name string, n, sidecars int, onChange func(control.MemberChange)) (*etcdPool, error) {
	dir, err := makeDir(o, name)
	if err != nil {
		return nil, err
	}
	r, err := startEtcdRig(ctx, o, dir, "", sidecars, 2, onChange)
	if err != nil {
		return nil, err
	}
	p := &etcdPool{rig: r, instances: map[string]*etcdInstance{}}
	for range n {
		if _, err = p.add(time.Time{}); err != nil {
			break
		}
	}
	if err == nil {
		err = r.waitReady(ctx)
	}
	if err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

// add starts an instance and lists it in etcd; a zero started means that it is past slow start.
func (p *etcdPool) add(started time.Time) (*etcdInstance, error) {
	i, err := newEtcdInstance(fmt.Sprintf("i%04d", p.nextIndex))
	if err != nil {
		return nil, err
	}
	p.nextIndex++
	p.instances[i.name] = i
	p.rig.cluster.Put(etcdPrefix+i.name, i.etcdValue("ready", started))
	return i, nil
}

// remove deletes an instance from etcd. Its server keeps running to record requests that still arrive.
func (p *etcdPool) remove(i *etcdInstance) {
	i.removedAt = time.Now()
	p.rig.cluster.Delete(etcdPrefix + i.name)
	delete(p.instances, i.name)
}

// sample returns up to n instances drawn at random.
func (p *etcdPool) sample(rng *rand.Rand, n int) (out []*etcdInstance) {
	for _, i := range p.instances { // map order does not depend on the seed, so sort before the shuffle
		out = append(out, i)
	}
	sortByName(out)
	rng.Shuffle(len(out), func(x, y int) { out[x], out[y] = out[y], out[x] })
	return out[:min(n, len(out))]
}

// stop ends the rig and the servers of all listed instances.
func (p *etcdPool) stop() {
	p.rig.stop()
	for _, i := range p.instances {
		i.server.Close()
	}
}

// platformDelays returns, for each removal, the delay until the platform's discovery publishes it, according to the lab's model
// of it with the usual parameters: discovery notices a change late and publishes it together with other changes of the same
// period. Delays of calls and watches come in addition.
func platformDelays(rng *rand.Rand, removals []time.Duration) ([]time.Duration, error) {
	s, err := findScenario("calm")
	if err != nil {
		return nil, err
	}
	d := model.NewDiscovery(model.DiscoveryConfig{Period: s.Discovery.PublishPeriod.D()}, nil)
	removedAt := map[string]time.Duration{}
	for n, at := range removals {
		name := fmt.Sprint(n)
		removedAt[name] = at
		d.ScheduleChange(at+model.Jitter(rng, s.Discovery.DetectionDelay.D()/2), model.Member{Name: name, Status: model.Terminating})
	}
	var out []time.Duration
	for {
		now, any := d.NextPublish()
		if !any {
			return out, nil
		}
		update, _ := d.Advance(now)
		for _, m := range update.Members {
			out = append(out, now-removedAt[m.Name])
		}
	}
}

// runEtcdBurst replaces instances in bursts under load, and checks that no request reaches a removed one after the drain grace.
func runEtcdBurst(ctx context.Context, o Options) (*Outcome, error) {
	repeats := o.repeats(50, 5)
	p, err := startEtcdPool(ctx, o, "etcd-burst", burstSize, 2, nil)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	rig := p.rig
	stopLoad := rig.startLoad(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	out := &Outcome{}
	delays, last := map[string][]time.Duration{}, map[string][]time.Duration{}
	unseen, early, late, before := 0, 0, 0, 0
	start := time.Now()
	var removals []time.Duration
	for range repeats {
		removed := p.sample(rng, burstRemoved)
		var added []*etcdInstance
		addedAt := map[*etcdInstance]time.Time{}
		gap := burstDuration / (burstRemoved + burstAdded)
		for n, i := range removed {
			time.Sleep(gap)
			before += len(i.lastRequests(time.Now().Add(-drainGrace)))
			p.remove(i)
			removals = append(removals, i.removedAt.Sub(start))
			if n < burstAdded {
				time.Sleep(gap)
				now := time.Now()
				replacement, err := p.add(now)
				if err != nil {
					return nil, err
				}
				addedAt[replacement] = now
				added = append(added, replacement)
			}
		}
		select {
		case <-time.After(2 * drainGrace):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		recordDelay := func(observer, event string, from time.Time) {
			if t, ok := rig.seenAt(observer, event); ok {
				delays[observer] = append(delays[observer], t.Sub(from))
			} else {
				unseen++
			}
		}
		for _, i := range removed {
			recordDelay("service", i.name+" gone", i.removedAt)
			if t, ok := rig.seenAt("service", i.name+" gone"); ok && t.Before(i.removedAt) {
				early++
			}
			for n := range rig.tables {
				recordDelay(fmt.Sprintf("proxy-%d", n), i.address+" out", i.removedAt)
			}
			for sender, d := range i.lastRequests(i.removedAt) {
				last[sender[:len(sender)-2]] = append(last[sender[:len(sender)-2]], d)
				if d > drainGrace {
					late++
				}
			}
			i.server.Close()
		}
		for _, i := range added {
			recordDelay("service", i.name+" ready", addedAt[i])
			for n := range rig.tables {
				recordDelay(fmt.Sprintf("proxy-%d", n), i.address+" in", addedAt[i])
			}
		}
		for range burstRemoved - burstAdded {
			if _, err := p.add(time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	platform, err := platformDelays(rng, removals)
	if err != nil {
		return nil, err
	}
	reportPercentiles(out, "the same removals told by the platform's discovery, as the lab models it", platform)
	stopLoad(out)
	out.Check("changes that somebody has not seen", float64(unseen), "0", unseen == 0)
	out.Check("removals reported before they were made", float64(early), "0", early == 0)
	out.Check("senders at those that left, in the 500 ms before", float64(before), "above 0", before > 0)
	out.Check("senders at them after 500 ms", float64(late), "0", late == 0)
	for _, observer := range []string{"service", "proxy-0", "proxy-1"} {
		reportPercentiles(out, "change to seen, "+observer, delays[observer])
	}
	reportPercentiles(out, "removal to the last request, proxies", last["proxy"])
	reportPercentiles(out, "removal to the last request, sidecars", last["sidecar"])
	return out, nil
}
