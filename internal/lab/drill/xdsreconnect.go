package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"kitewood/internal/lab/proxy"
	"kitewood/internal/listfile"
)

// xdsReconnectDrill replaces nearly a whole pool while the proxies' streams break.
var xdsReconnectDrill = Drill{
	Name: "xds-reconnect",
	Description: "98% of the instances are replaced while proxies are cut off at random and one control service of two is killed: " +
		"nothing sent to what is gone, no list emptied, no cold instance pushed over",
	NeedsControl: true,
	Run:          runXDSReconnect,
}

// The cold start of the drill's instances, as the configuration has it by default, and how far they are used when warm.
const (
	coldShare    = 0.2
	coldTime     = 20 * time.Second
	coldMultiple = 2.5
	coldWindow   = 1500 * time.Millisecond
	warmUse      = 0.7
)

func runXDSReconnect(ctx context.Context, o Options) (*Outcome, error) {
	instances, proxies, within, settle := 40, 6, 25*time.Second, 3*time.Second
	if o.Short {
		instances, proxies, within, settle = 10, 3, 5*time.Second, time.Second
	}
	dir, err := scratch(o, "xds-reconnect")
	if err != nil {
		return nil, err
	}
	f, err := newFleet(dir, "web", false, instances)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := listfile.Write(filepath.Join(dir, "rpc.yaml"), nil); err != nil {
		return nil, err
	}
	services := make([]*controlService, 2)
	for n := range services {
		if services[n], err = startControl(o, dir, fmt.Sprintf("control-%d", n)); err != nil {
			return nil, err
		}
		defer services[n].stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	tables, clients := make([]*proxy.Table, proxies), make([]*proxy.Client, proxies)
	for n := range proxies {
		servers := []string{services[0].Address, services[1].Address}
		if n%2 == 1 {
			slices.Reverse(servers)
		}
		tables[n] = proxy.NewTable()
		clients[n] = &proxy.Client{NodeID: fmt.Sprintf("lab-%d", n), Servers: servers, Delta: n%2 == 0, Table: tables[n], Log: o.Log}
		wait.Go(func() { clients[n].Run(ctx) })
	}
	if err := until(ctx, services[0].ControlProcess, "the proxies have endpoints", func() bool { return allReady(tables) }); err != nil {
		return nil, err
	}

	sent, failed := make([]int, proxies), make([]int, proxies)
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	for n, table := range tables {
		wait.Go(func() { sent[n], failed[n] = sendWeb(loaded, table) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	wait.Go(func() { // streams break at random
		rng := rand.New(rand.NewPCG(o.Seed, 3))
		for {
			select {
			case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
				clients[rng.IntN(proxies)].Disconnect()
			case <-loaded.Done():
				return
			}
		}
	})
	began := time.Now()
	replaced := instances * 98 / 100
	for k, n := range rng.Perm(instances)[:replaced] {
		select {
		case <-time.After(time.Until(began.Add(within * time.Duration(k) / time.Duration(replaced)))):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		if k == replaced/2 { // without a word: as a machine that is lost
			services[0].Kill()
		}
		if err := f.add(time.Now()); err != nil {
			return nil, err
		}
		f.all[n].drains = time.Now()
		for _, g := range f.all { // those that have drained for long enough are gone
			if !g.drains.IsZero() && !g.gone && time.Since(g.drains) > drainGrace+200*time.Millisecond {
				g.gone = true
				g.stop()
			}
		}
		if err := f.write(); err != nil {
			return nil, err
		}
	}
	took := time.Since(began)
	time.Sleep(settle)
	stop()
	cancel()
	wait.Wait()

	out := &Outcome{}
	late, last, cold := 0, time.Duration(0), 0.0
	total, requests, broke, emptied, cuts := 0, 0, 0, 0, 0
	for n := range proxies {
		requests, broke = requests+sent[n], broke+failed[n]
		emptied, cuts = emptied+tables[n].EmptiedCount(), cuts+clients[n].Disconnects()
	}
	able := float64(requests) / time.Since(began).Seconds() / float64(instances) / warmUse // of a warm instance, a second
	for _, g := range f.all {
		if !g.drains.IsZero() {
			total++
			for _, d := range g.since(g.drains, time.Now()) {
				last = max(last, d)
				if d > drainGrace {
					late++
				}
			}
		}
		if !g.started.IsZero() {
			cold = max(cold, g.coldest(able))
		}
	}
	out.Tell("instances replaced", float64(total))
	out.Tell("replaced within, s", took.Seconds())
	out.Hold("times that a proxy was cut off", float64(cuts), "above 0", cuts > 0)
	out.Hold("requests", float64(requests), "above 0", requests > 0)
	out.Hold("requests after 500 ms", float64(late), "0", late == 0)
	out.Tell("word to last request, ms", float64(last.Microseconds())/1000)
	out.Hold("failed requests", float64(broke), "0", broke == 0)
	out.Hold("lists emptied", float64(emptied), "0", emptied == 0)
	out.Hold("most that a cold instance was sent, times what it can do", cold, fmt.Sprintf("at most %g", coldMultiple), cold <= coldMultiple)
	clean := services[1].stop()
	out.Hold("the other service ended by itself, with status 0", b2f(clean), "1", clean)
	return out, nil
}

// coldest is the most that the instance was sent in any window of its cold start, in multiples of what it can do at that age,
// where a warm one can do able requests a second. A request at a time is never too much.
func (g *member) coldest(able float64) float64 {
	times := g.since(g.started, time.Now())
	worst := 0.0
	for i, from := range times {
		n := 0
		for _, t := range times[i:] {
			if t < from+coldWindow {
				n++
			}
		}
		can := able * coldWindow.Seconds() * (coldShare + (1-coldShare)*min(float64(from)/float64(coldTime), 1))
		if n > 1 {
			worst = max(worst, float64(n)/can)
		}
	}
	return worst
}
