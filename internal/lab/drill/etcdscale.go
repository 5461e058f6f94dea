package drill

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// etcdScaleDrill measures how soon a change in etcd reaches those who watch the served list.
var etcdScaleDrill = Drill{
	Name:         "etcd-scale",
	Description:  "a change in etcd among 10 to 20,000 keys until 1 to 1,000 watchers of the served list have it",
	NeedsControl: true,
	Run:          runEtcdScale,
}

// scaleMost is the bound of the long form: what a drain may take in all, so that the sidecar has the rest of 500 ms.
const scaleMost = 250 * time.Millisecond

// listWatcher is a watch of the served list that notes when names come.
type listWatcher struct {
	conn net.Conn
	mu   sync.Mutex
	came map[string]time.Time
}

// watchList opens a watch and waits for its first line.
func watchList(address string, names func(line string) []string) (*listWatcher, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &listWatcher{conn: conn, came: map[string]time.Time{}}
	if _, err := fmt.Fprint(conn, "GET /registry/instances?follow=1 HTTP/1.1\r\nHost: drill\r\n\r\n"); err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(conn, 64<<10)
	first := make(chan error, 1)
	go func() {
		for told := false; ; {
			line, err := in.ReadString('\n')
			if err != nil {
				first <- err
				return
			}
			if !strings.HasPrefix(line, "{") {
				continue
			}
			if !told {
				told = true
				first <- nil
				continue
			}
			w.mu.Lock()
			for _, name := range names(line) {
				w.came[name] = time.Now()
			}
			w.mu.Unlock()
		}
	}()
	if err := <-first; err != nil {
		conn.Close()
		return nil, err
	}
	return w, nil
}

func runEtcdScale(ctx context.Context, o Options) (*Outcome, error) {
	keys, watchers, changes := []int{10, 1000, 20000}, []int{1, 100, 1000}, 20
	if o.Short {
		keys, watchers, changes = []int{100}, []int{20}, 5
	}
	out := &Outcome{}
	for _, n := range keys {
		if err := scaleOf(ctx, o, out, n, watchers, min(changes, n/3)); err != nil {
			return nil, fmt.Errorf("%d keys: %w", n, err)
		}
	}
	return out, nil
}

// scaleOf measures with one number of keys.
func scaleOf(ctx context.Context, o Options, out *Outcome, n int, watchers []int, changes int) error {
	dir, err := scratch(o, fmt.Sprintf("etcd-scale-%d", n))
	if err != nil {
		return err
	}
	r, err := startEtcdRig(ctx, o, dir, "", 0, 0, nil)
	if err != nil {
		return err
	}
	defer r.stop()
	name := func(i int) string { return fmt.Sprintf("k%05d", i) }
	instance := func(i int) *listed { return &listed{address: fmt.Sprintf("127.%d.%d.1:1", 1+i>>8, i&255)} }
	for i := range n {
		r.cluster.Put(etcdPrefix+name(i), instance(i).value("ready", time.Time{}))
	}
	next := 0
	var open []*listWatcher
	defer func() {
		for _, w := range open {
			w.conn.Close()
		}
	}()
	var sought atomic.Value // the name that is waited for
	sought.Store("none")
	if err := r.until(ctx, "the service has all keys", func() bool {
		text, err := r.list()
		return err == nil && strings.Count(text, `"name"`) == n
	}); err != nil {
		return err
	}
	for _, count := range watchers {
		for len(open) < count {
			w, err := watchList(r.served, func(line string) []string {
				if x := sought.Load().(string); strings.Contains(line, x) {
					return []string{x}
				}
				return nil
			})
			if err != nil {
				return err
			}
			open = append(open, w)
		}
		cpu := r.service.CPU()
		began := time.Now()
		var all []time.Duration
		for range max(1, changes/len(watchers)) {
			x := name(next)
			sought.Store(x)
			from := time.Now()
			r.cluster.Put(etcdPrefix+x, instance(next).value("draining", time.Time{}))
			next++
			for _, w := range open {
				if err := r.until(ctx, "all have "+x, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.came[x].IsZero() }); err != nil {
					return err
				}
				all = append(all, w.came[x].Sub(from))
			}
		}
		at := fmt.Sprintf("%d keys, %d watchers: ", n, count)
		slices.Sort(all)
		for _, p := range []float64{50, 99} {
			out.Tell(fmt.Sprintf("%sms, p%g", at, p), float64(Percentile(all, p).Microseconds())/1000)
		}
		longest := all[len(all)-1]
		if o.Short { // a shared machine promises no more
			out.Hold(at+"longest, s", longest.Seconds(), "under 10", longest < 10*time.Second)
		} else {
			out.Hold(at+"longest, ms", float64(longest.Microseconds())/1000, fmt.Sprintf("at most %d", scaleMost.Milliseconds()), longest <= scaleMost)
		}
		out.Tell(at+"cores", (r.service.CPU()-cpu).Seconds()/time.Since(began).Seconds())
		out.Tell(at+"memory, MB", float64(r.service.Memory("VmRSS")>>20))
	}
	return nil
}
