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

// etcdScaleDrill measures how soon a change in etcd reaches the watchers of the served list.
var etcdScaleDrill = Drill{
	Name:         "etcd-scale",
	Description:  "time from a change in etcd, with 10 to 20,000 keys, until 1 to 1,000 watchers of the served list receive it",
	NeedsControl: true,
	Run:          runEtcdScale,
}

// maxPropagation is the bound of the long form. A drain has 500 ms in all; the sidecar needs the rest.
const maxPropagation = 250 * time.Millisecond

// listWatcher watches the served list and records when names arrive.
type listWatcher struct {
	conn   net.Conn
	mu     sync.Mutex
	seenAt map[string]time.Time
}

// watchList opens a watch of the served list and waits for its first line. names extracts the names to record from each later
// line.
func watchList(address string, names func(line string) []string) (*listWatcher, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &listWatcher{conn: conn, seenAt: map[string]time.Time{}}
	if _, err := fmt.Fprint(conn, "GET /registry/instances?follow=1 HTTP/1.1\r\nHost: drill\r\n\r\n"); err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(conn, 64<<10)
	first := make(chan error, 1)
	go func() {
		for initialized := false; ; {
			line, err := in.ReadString('\n')
			if err != nil {
				first <- err
				return
			}
			if !strings.HasPrefix(line, "{") {
				continue
			}
			if !initialized {
				initialized = true
				first <- nil
				continue
			}
			w.mu.Lock()
			for _, name := range names(line) {
				w.seenAt[name] = time.Now()
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

// runEtcdScale measures the propagation with several numbers of keys.
func runEtcdScale(ctx context.Context, o Options) (*Outcome, error) {
	keyCounts, watchers, changes := []int{10, 1000, 20000}, []int{1, 100, 1000}, 20
	if o.Short {
		keyCounts, watchers, changes = []int{100}, []int{20}, 5
	}
	out := &Outcome{}
	for _, keys := range keyCounts {
		if err := measureEtcdScale(ctx, o, out, keys, watchers, min(changes, keys/3)); err != nil {
			return nil, fmt.Errorf("%d keys: %w", keys, err)
		}
	}
	return out, nil
}

// measureEtcdScale measures the propagation with keys keys in etcd, for each number of watchers.
func measureEtcdScale(ctx context.Context, o Options, out *Outcome, keys int, watchers []int, changes int) error {
	dir, err := makeDir(o, fmt.Sprintf("etcd-scale-%d", keys))
	if err != nil {
		return err
	}
	r, err := startEtcdRig(ctx, o, dir, "", 0, 0, nil)
	if err != nil {
		return err
	}
	defer r.stop()
	keyName := func(i int) string { return fmt.Sprintf("k%05d", i) }
	instanceAt := func(i int) *etcdInstance { return &etcdInstance{address: fmt.Sprintf("127.%d.%d.1:1", 1+i>>8, i&255)} }
	for i := range keys {
		r.cluster.Put(etcdPrefix+keyName(i), instanceAt(i).etcdValue("ready", time.Time{}))
	}
	next := 0
	var watches []*listWatcher
	defer func() {
		for _, w := range watches {
			w.conn.Close()
		}
	}()
	var sought atomic.Value // the name that the watchers look for
	sought.Store("none")
	if err := r.waitUntil(ctx, "the service lists all keys", func() bool {
		list, err := r.fetchList()
		return err == nil && strings.Count(list, `"name"`) == keys
	}); err != nil {
		return err
	}
	for _, count := range watchers {
		for len(watches) < count {
			w, err := watchList(r.listAddress, func(line string) []string {
				if name := sought.Load().(string); strings.Contains(line, name) {
					return []string{name}
				}
				return nil
			})
			if err != nil {
				return err
			}
			watches = append(watches, w)
		}
		cpu := r.service.CPU()
		start := time.Now()
		var delays []time.Duration
		for range max(1, changes/len(watchers)) {
			name := keyName(next)
			sought.Store(name)
			changed := time.Now()
			r.cluster.Put(etcdPrefix+name, instanceAt(next).etcdValue("draining", time.Time{}))
			next++
			for _, w := range watches {
				if err := r.waitUntil(ctx, "all watchers have received "+name, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.seenAt[name].IsZero() }); err != nil {
					return err
				}
				delays = append(delays, w.seenAt[name].Sub(changed))
			}
		}
		prefix := fmt.Sprintf("%d keys, %d watchers: ", keys, count)
		slices.Sort(delays)
		for _, p := range []float64{50, 99} {
			out.Report(fmt.Sprintf("%sms, p%g", prefix, p), float64(Percentile(delays, p).Microseconds())/1000)
		}
		longest := delays[len(delays)-1]
		if o.Short { // a shared machine guarantees no more
			out.Check(prefix+"longest, s", longest.Seconds(), "under 10", longest < 10*time.Second)
		} else {
			out.Check(prefix+"longest, ms", float64(longest.Microseconds())/1000, fmt.Sprintf("at most %d", maxPropagation.Milliseconds()), longest <= maxPropagation)
		}
		out.Report(prefix+"cores", (r.service.CPU()-cpu).Seconds()/time.Since(start).Seconds())
		out.Report(prefix+"memory, MB", float64(r.service.Memory("VmRSS")>>20))
	}
	return nil
}
