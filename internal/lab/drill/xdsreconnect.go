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

// xdsReconnectDrill replaces almost a whole pool while the proxies' streams break.
var xdsReconnectDrill = Drill{
	Name: "xds-reconnect",
	Description: "98% of the instances are replaced while proxies are cut off at random and one control service of two is killed: " +
		"no request to a gone instance, no list emptied, no instance in slow start overloaded",
	NeedsControl: true,
	Run:          runXDSReconnect,
}

// Slow start of the drill's instances, as configured by default, and their utilization when fully warmed up.
const (
	slowStartShare   = 0.2
	slowStartTime    = 20 * time.Second
	maxSlowStartLoad = 2.5
	slowStartWindow  = 1500 * time.Millisecond
	fullLoad         = 0.7
)

// runXDSReconnect replaces instances one by one under load and disconnects streams at random, and checks where requests went.
func runXDSReconnect(ctx context.Context, o Options) (*Outcome, error) {
	instances, proxies, within, settle := 40, 6, 25*time.Second, 3*time.Second
	if o.Short {
		instances, proxies, within, settle = 10, 3, 5*time.Second, time.Second
	}
	dir, err := makeDir(o, "xds-reconnect")
	if err != nil {
		return nil, err
	}
	pool, err := newFilePool(dir, "web", false, instances)
	if err != nil {
		return nil, err
	}
	defer pool.stop()
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
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	tables, clients := make([]*proxy.Table, proxies), make([]*proxy.Client, proxies)
	for n := range proxies {
		servers := []string{services[0].Address, services[1].Address}
		if n%2 == 1 {
			slices.Reverse(servers)
		}
		tables[n] = proxy.NewTable()
		clients[n] = &proxy.Client{NodeID: fmt.Sprintf("lab-%d", n), Servers: servers, Delta: n%2 == 0, Table: tables[n], Log: o.Log}
		wg.Go(func() { clients[n].Run(ctx) })
	}
	if err := waitUntil(ctx, services[0].ControlProcess, "the proxies have endpoints", func() bool { return allReady(tables) }); err != nil {
		return nil, err
	}

	sent, failed := make([]int, proxies), make([]int, proxies)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for n, table := range tables {
		wg.Go(func() { sent[n], failed[n] = sendHTTP(loadCtx, table) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	wg.Go(func() { // break streams at random
		rng := rand.New(rand.NewPCG(o.Seed, 3))
		for {
			select {
			case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
				clients[rng.IntN(proxies)].Disconnect()
			case <-loadCtx.Done():
				return
			}
		}
	})
	start := time.Now()
	replaced := instances * 98 / 100
	for k, n := range rng.Perm(instances)[:replaced] {
		select {
		case <-time.After(time.Until(start.Add(within * time.Duration(k) / time.Duration(replaced)))):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		if k == replaced/2 { // killed without a drain, like the loss of a machine
			services[0].Kill()
		}
		if err := pool.add(time.Now()); err != nil {
			return nil, err
		}
		pool.members[n].drainingSince = time.Now()
		for _, m := range pool.members { // an instance is gone once it has drained past the grace
			if !m.drainingSince.IsZero() && !m.gone && time.Since(m.drainingSince) > drainGrace+200*time.Millisecond {
				m.gone = true
				m.stop()
			}
		}
		if err := pool.writeList(); err != nil {
			return nil, err
		}
	}
	took := time.Since(start)
	time.Sleep(settle)
	stop()
	cancel()
	wg.Wait()

	out := &Outcome{}
	late, last, slowStartLoad := 0, time.Duration(0), 0.0
	total, requests, failures, emptied, disconnects := 0, 0, 0, 0, 0
	for n := range proxies {
		requests, failures = requests+sent[n], failures+failed[n]
		emptied, disconnects = emptied+tables[n].EmptiedCount(), disconnects+clients[n].Disconnects()
	}
	capacity := float64(requests) / time.Since(start).Seconds() / float64(instances) / fullLoad // of a fully warmed up instance, in requests/s
	for _, m := range pool.members {
		if !m.drainingSince.IsZero() {
			total++
			for _, d := range m.requestsBetween(m.drainingSince, time.Now()) {
				last = max(last, d)
				if d > drainGrace {
					late++
				}
			}
		}
		if !m.started.IsZero() {
			slowStartLoad = max(slowStartLoad, m.peakSlowStartLoad(capacity))
		}
	}
	out.Report("instances replaced", float64(total))
	out.Report("replaced within, s", took.Seconds())
	out.Check("times that a proxy was cut off", float64(disconnects), "above 0", disconnects > 0)
	out.Check("requests", float64(requests), "above 0", requests > 0)
	out.Check("requests after 500 ms", float64(late), "0", late == 0)
	out.Report("word to last request, ms", float64(last.Microseconds())/1000)
	out.Check("failed requests", float64(failures), "0", failures == 0)
	out.Check("lists emptied", float64(emptied), "0", emptied == 0)
	out.Check("most that a cold instance was sent, times what it can do", slowStartLoad, fmt.Sprintf("at most %g", maxSlowStartLoad), slowStartLoad <= maxSlowStartLoad)
	clean := services[1].stop()
	out.Check("the other service ended by itself, with status 0", boolValue(clean), "1", clean)
	return out, nil
}

// peakSlowStartLoad returns the highest load of the instance in any window of its slow start, as a multiple of its capacity at that
// age. capacity is that of a fully warmed up instance in requests/s. A single request in a window is never too many.
func (m *member) peakSlowStartLoad(capacity float64) float64 {
	times := m.requestsBetween(m.started, time.Now())
	worst := 0.0
	for i, from := range times {
		n := 0
		for _, t := range times[i:] {
			if t < from+slowStartWindow {
				n++
			}
		}
		capacityInWindow := capacity * slowStartWindow.Seconds() * (slowStartShare + (1-slowStartShare)*min(float64(from)/float64(slowStartTime), 1))
		if n > 1 {
			worst = max(worst, float64(n)/capacityInWindow)
		}
	}
	return worst
}
