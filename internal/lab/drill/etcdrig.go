package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"kitewood/internal/control"
	"kitewood/internal/lab/child"
	"kitewood/internal/lab/etcd"
	"kitewood/internal/lab/proxy"
)

// etcdPrefix is the prefix of the drills' keys in etcd.
const etcdPrefix = "/web/"

// etcdInstance is an instance that is listed in etcd and records the requests that reach it.
type etcdInstance struct {
	name, address string
	server        *http.Server
	removedAt     time.Time // from etcd; zero while it is listed

	mu       sync.Mutex
	requests []request
}

// request is a request that an instance received.
type request struct {
	at     time.Time
	sender string
}

// newEtcdInstance starts an HTTP server on a free port. The path of a request names its sender.
func newEtcdInstance(name string) (*etcdInstance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &etcdInstance{name: name, address: ln.Addr().String()}
	i.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.requests = append(i.requests, request{time.Now(), strings.Trim(r.URL.Path, "/")})
	})}
	go i.server.Serve(ln)
	return i, nil
}

// etcdValue returns the JSON value of the instance's key in etcd.
func (i *etcdInstance) etcdValue(state string, started time.Time) string {
	v := map[string]string{"address": i.address, "state": state}
	if !started.IsZero() {
		v["started"] = started.UTC().Format(time.RFC3339Nano)
	}
	text, _ := json.Marshal(v)
	return string(text)
}

// lastRequests returns, by sender, how long after the given time its last request came. Senders without one are left out.
func (i *etcdInstance) lastRequests(from time.Time) map[string]time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := map[string]time.Duration{}
	for _, q := range i.requests {
		if d := q.at.Sub(from); d > 0 {
			out[q.sender] = max(out[q.sender], d)
		}
	}
	return out
}

// lateSenders counts the senders whose last request came more than drainGrace after the given time.
func (i *etcdInstance) lateSenders(from time.Time) (n int) {
	for _, d := range i.lastRequests(from) {
		if d > drainGrace {
			n++
		}
	}
	return n
}

// etcdRig is an emulated etcd cluster, a control service that watches it, and proxies and sidecars that send to the instances
// it lists.
type etcdRig struct {
	cluster          *etcd.Cluster
	service          *child.ControlProcess
	admin            string
	listAddress      string // where the control service serves the merged list
	sidecars         []*child.Child
	sidecarAddresses []string // of the sidecars' listeners
	reserved         []*child.Address
	tables           []*proxy.Table
	wg               sync.WaitGroup
	cancel           context.CancelFunc

	mu        sync.Mutex
	firstSeen map[string]map[string]time.Time // by observer and event, which is "NAME STATE", "ADDRESS in" or "ADDRESS out"
	onChange  func(control.MemberChange)      // gets each member change that the control service reports; may be nil
}

// startEtcdRig starts all parts of a rig. memberOptions is appended to the YAML of the pool's members.
func startEtcdRig(ctx context.Context, o Options, dir, memberOptions string, sidecars, proxies int, onChange func(control.MemberChange)) (r *etcdRig, err error) {
	r = &etcdRig{firstSeen: map[string]map[string]time.Time{}, onChange: onChange, admin: filepath.Join(dir, "admin.sock")}
	ctx, r.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			r.stop()
		}
	}()
	if r.cluster, err = etcd.New(etcd.Options{Members: 3}); err != nil {
		return r, err
	}
	if r.listAddress, err = r.reserve(); err != nil {
		return r, err
	}
	endpoints, _ := json.Marshal(r.cluster.Addresses())
	rest := fmt.Sprintf("admin: %s\npools:\n  - {name: web, members: {etcd: {endpoints: %s, prefix: %s}, serve: %q%s}, "+
		"classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes: [{hosts: [web.test], pool: web}]\n", r.admin, endpoints, etcdPrefix, r.listAddress, memberOptions)
	if r.service, err = child.StartControl(o.ControlBinary, dir, "control", rest, "GOMAXPROCS=4"); err != nil {
		return r, err
	}
	if err := r.waitUntil(ctx, "the service answers the query of its members", func() bool { _, err := control.QueryMembers(r.admin); return err == nil }); err != nil {
		return r, err
	}
	if onChange == nil && sidecars+proxies == 0 { // no event is needed, and a watch of the members makes the service scan all of them
		return r, nil
	}
	r.wg.Go(func() {
		control.FollowMembers(ctx, r.admin, func(c control.MemberChange) error {
			r.record("service", c.Now.Name+" "+c.Now.State)
			if r.onChange != nil {
				r.onChange(c)
			}
			return nil
		})
	})
	for n := range proxies {
		table, observer := proxy.NewTable(), fmt.Sprintf("proxy-%d", n)
		previous := map[string]bool{}
		table.OnEndpointsChanged = func(_ string, addresses []string) {
			current := map[string]bool{}
			for _, a := range addresses {
				if current[a] = true; !previous[a] {
					r.record(observer, a+" in")
				}
			}
			for a := range previous {
				if !current[a] {
					r.record(observer, a+" out")
				}
			}
			previous = current
		}
		client := &proxy.Client{NodeID: observer, Servers: []string{r.service.Address}, Delta: n%2 == 1, Table: table, Log: slog.New(slog.DiscardHandler)}
		r.wg.Go(func() { client.Run(ctx) })
		r.tables = append(r.tables, table)
	}
	for n := range sidecars {
		address, err := r.reserve()
		if err != nil {
			return r, err
		}
		path := filepath.Join(dir, fmt.Sprintf("sidecar-%d.yaml", n))
		text := fmt.Sprintf("name: sidecar-%d\nlisteners: [{address: %q}]\npools:\n  - {name: web, members: {discovery: %q}, sidecars: {me: %d, of: %d}, "+
			"classes: [{name: any, effect: safe, aim: 1s, deadline: 3s}]}\nroutes: [{pool: web}]\n", n, address, r.listAddress, n, sidecars)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return r, err
		}
		s, err := child.Start(filepath.Join(dir, fmt.Sprintf("sidecar-%d.log", n)), nil, o.Binary, "serve", "--config", path)
		if err != nil {
			return r, err
		}
		r.sidecars, r.sidecarAddresses = append(r.sidecars, s), append(r.sidecarAddresses, address)
	}
	return r, nil
}

// reserve reserves an address for a process of the rig until the rig stops.
func (r *etcdRig) reserve() (string, error) {
	a, err := child.Reserve()
	if err != nil {
		return "", err
	}
	r.reserved = append(r.reserved, a)
	return a.String(), nil
}

// record stores the time of an event, the first time that the observer sees it.
func (r *etcdRig) record(observer, event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstSeen[observer] == nil {
		r.firstSeen[observer] = map[string]time.Time{}
	}
	if r.firstSeen[observer][event].IsZero() {
		r.firstSeen[observer][event] = time.Now()
	}
}

// seenAt returns when the observer first saw an event, and whether it has.
func (r *etcdRig) seenAt(observer, event string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.firstSeen[observer][event]
	return t, !t.IsZero()
}

// fetchList returns the merged list as the control service serves it to sidecars.
func (r *etcdRig) fetchList() (string, error) {
	resp, err := http.Get("http://" + r.listAddress + "/registry/instances")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// waitUntil polls until the condition holds, see waitUntil of the package.
func (r *etcdRig) waitUntil(ctx context.Context, condition string, met func() bool) error {
	return waitUntil(ctx, r.service, condition, met)
}

// startLoad sends from all proxies and sidecars until the context ends or the returned function is called. That function waits for
// the senders and checks that no request has failed and that no proxy's list was ever emptied.
func (r *etcdRig) startLoad(ctx context.Context) func(*Outcome) {
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	var mu sync.Mutex
	requests, failures, lastFailure := 0, 0, ""
	fail := func(sender string, cause any) bool {
		mu.Lock()
		defer mu.Unlock()
		lastFailure = fmt.Sprintf("%s: %v", sender, cause)
		return false
	}
	run := func(sender string, pickAddress func() (string, error)) {
		wait.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			sent, failed := sendSteadily(ctx, func() bool {
				address, err := pickAddress()
				if err != nil {
					return fail(sender, err)
				}
				resp, err := client.Get("http://" + address + "/" + sender)
				if err != nil {
					return fail(sender, err)
				}
				if resp.Body.Close(); resp.StatusCode != http.StatusOK {
					return fail(sender, resp.Status)
				}
				return true
			})
			mu.Lock()
			defer mu.Unlock()
			requests, failures = requests+sent, failures+failed
		})
	}
	for n, t := range r.tables {
		run(fmt.Sprintf("proxy-%d", n), func() (string, error) { return t.Pick("web.test", "/", func(string) string { return "" }) })
	}
	for n, address := range r.sidecarAddresses {
		run(fmt.Sprintf("sidecar-%d", n), func() (string, error) { return address, nil })
	}
	return func(out *Outcome) {
		stop()
		wait.Wait()
		out.Report("requests", float64(requests))
		out.Check("failed", float64(failures), "0", failures == 0)
		if lastFailure != "" {
			out.Notes = append(out.Notes, "last failure: "+lastFailure)
		}
		for n, t := range r.tables {
			out.Check(fmt.Sprintf("proxy-%d: lists emptied", n), float64(t.EmptiedCount()), "0", t.EmptiedCount() == 0)
		}
	}
}

// waitReady waits until all proxies and sidecars can send.
func (r *etcdRig) waitReady(ctx context.Context) error {
	return r.waitUntil(ctx, "all can send", func() bool {
		if !allReady(r.tables) {
			return false
		}
		for _, address := range r.sidecarAddresses {
			resp, err := http.Get("http://" + address + "/first") // a sidecar that reports readiness may still have an empty list
			if err != nil {
				return false
			}
			if resp.Body.Close(); resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// stop ends all processes and goroutines of the rig.
func (r *etcdRig) stop() {
	if r.cancel != nil {
		r.cancel()
	}
	for _, s := range r.sidecars {
		s.Kill()
	}
	if r.service != nil {
		r.service.Kill()
	}
	r.wg.Wait()
	if r.cluster != nil {
		r.cluster.Stop()
	}
	for _, a := range r.reserved {
		a.Release()
	}
	http.DefaultClient.CloseIdleConnections()
}

// reportPercentiles reports the 50th, 99th and 100th percentile of durations in milliseconds. It sorts them.
func reportPercentiles(out *Outcome, name string, durations []time.Duration) {
	if slices.Sort(durations); len(durations) == 0 {
		return
	}
	for _, p := range []float64{50, 99, 100} {
		out.Report(fmt.Sprintf("%s, ms, p%g", name, p), float64(Percentile(durations, p).Microseconds())/1000)
	}
}
