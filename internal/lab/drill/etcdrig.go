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

// etcdPrefix is that of the drills' keys.
const etcdPrefix = "/web/"

// listed is an instance that is listed in etcd and notes who sent to it.
type listed struct {
	name, address string
	server        *http.Server
	word          time.Time // when it was removed; zero while it is listed

	mu   sync.Mutex
	came []arrival
}

// arrival is a request.
type arrival struct {
	at  time.Time
	who string
}

func newListed(name string) (*listed, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &listed{name: name, address: ln.Addr().String()}
	i.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.came = append(i.came, arrival{time.Now(), strings.Trim(r.URL.Path, "/")})
	})}
	go i.server.Serve(ln)
	return i, nil
}

// value is what etcd holds of it.
func (i *listed) value(state string, started time.Time) string {
	v := map[string]string{"address": i.address, "state": state}
	if !started.IsZero() {
		v["started"] = started.UTC().Format(time.RFC3339Nano)
	}
	text, _ := json.Marshal(v)
	return string(text)
}

// last is, by sender, how long after a moment the last request came, of those that came after it.
func (i *listed) last(from time.Time) map[string]time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := map[string]time.Duration{}
	for _, a := range i.came {
		if d := a.at.Sub(from); d > 0 {
			out[a.who] = max(out[a.who], d)
		}
	}
	return out
}

// etcdRig is a stand-in etcd, a control service that follows it, and proxies and sidecars that send to what it lists.
type etcdRig struct {
	cluster  *etcd.Cluster
	service  *child.ControlProcess
	admin    string
	served   string // where the merged list is offered
	sidecars []*child.Child
	fronts   []string // of the sidecars
	kept     []*child.Address
	tables   []*proxy.Table
	wait     sync.WaitGroup
	cancel   context.CancelFunc

	mu   sync.Mutex
	seen map[string]map[string]time.Time // by who, by "name state" or address: when it was first so
	told func(control.MemberChange)      // set before start; may be nil
}

// startEtcdRig starts all of it. more are further lines of the pool's members.
func startEtcdRig(ctx context.Context, o Options, dir, more string, sidecars, proxies int, told func(control.MemberChange)) (r *etcdRig, err error) {
	r = &etcdRig{seen: map[string]map[string]time.Time{}, told: told, admin: filepath.Join(dir, "admin.sock")}
	ctx, r.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			r.stop()
		}
	}()
	if r.cluster, err = etcd.New(etcd.Options{Members: 3}); err != nil {
		return r, err
	}
	if r.served, err = r.reserve(); err != nil {
		return r, err
	}
	endpoints, _ := json.Marshal(r.cluster.Addresses())
	rest := fmt.Sprintf("admin: %s\npools:\n  - {name: web, members: {etcd: {endpoints: %s, prefix: %s}, serve: %q%s}, "+
		"classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}\nroutes: [{hosts: [web.test], pool: web}]\n", r.admin, endpoints, etcdPrefix, r.served, more)
	if r.service, err = child.StartControl(o.ControlBinary, dir, "control", rest, "GOMAXPROCS=4"); err != nil {
		return r, err
	}
	if err := r.until(ctx, "the service shows its members", func() bool { _, err := control.QueryMembers(r.admin); return err == nil }); err != nil {
		return r, err
	}
	if told == nil && sidecars+proxies == 0 { // nobody asks what was seen when, and following costs the service a look at all
		return r, nil
	}
	r.wait.Go(func() {
		control.FollowMembers(ctx, r.admin, func(c control.MemberChange) error {
			r.note("service", c.Now.Name+" "+c.Now.State)
			if r.told != nil {
				r.told(c)
			}
			return nil
		})
	})
	for n := range proxies {
		table, who := proxy.NewTable(), fmt.Sprintf("proxy-%d", n)
		was := map[string]bool{}
		table.OnEndpointsChanged = func(_ string, addresses []string) {
			now := map[string]bool{}
			for _, a := range addresses {
				if now[a] = true; !was[a] {
					r.note(who, a+" in")
				}
			}
			for a := range was {
				if !now[a] {
					r.note(who, a+" out")
				}
			}
			was = now
		}
		client := &proxy.Client{NodeID: who, Servers: []string{r.service.Address}, Delta: n%2 == 1, Table: table, Log: slog.New(slog.DiscardHandler)}
		r.wait.Go(func() { client.Run(ctx) })
		r.tables = append(r.tables, table)
	}
	for n := range sidecars {
		front, err := r.reserve()
		if err != nil {
			return r, err
		}
		path := filepath.Join(dir, fmt.Sprintf("sidecar-%d.yaml", n))
		text := fmt.Sprintf("name: sidecar-%d\nlisteners: [{address: %q}]\npools:\n  - {name: web, members: {discovery: %q}, sidecars: {me: %d, of: %d}, "+
			"classes: [{name: any, effect: safe, aim: 1s, deadline: 3s}]}\nroutes: [{pool: web}]\n", n, front, r.served, n, sidecars)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return r, err
		}
		s, err := child.Start(filepath.Join(dir, fmt.Sprintf("sidecar-%d.log", n)), nil, o.Binary, "serve", "--config", path)
		if err != nil {
			return r, err
		}
		r.sidecars, r.fronts = append(r.sidecars, s), append(r.fronts, front)
	}
	return r, nil
}

// reserve finds an address for a process of the rig, until its end.
func (r *etcdRig) reserve() (string, error) {
	a, err := child.Reserve()
	if err != nil {
		return "", err
	}
	r.kept = append(r.kept, a)
	return a.String(), nil
}

func (r *etcdRig) note(who, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[who] == nil {
		r.seen[who] = map[string]time.Time{}
	}
	if r.seen[who][what].IsZero() {
		r.seen[who][what] = time.Now()
	}
}

// when is when somebody first saw something, and whether he has.
func (r *etcdRig) when(who, what string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.seen[who][what]
	return t, !t.IsZero()
}

// list is the merged list as sidecars get it.
func (r *etcdRig) list() (string, error) {
	a, err := http.Get("http://" + r.served + "/registry/instances")
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

// until waits until something is so.
func (r *etcdRig) until(ctx context.Context, what string, is func() bool) error {
	return until(ctx, r.service, what, is)
}

// load sends from all proxies and sidecars until the context ends or the function that it returns is called, which waits for
// the end and tells how it went: no request may have failed, and no list have been emptied.
func (r *etcdRig) load(ctx context.Context) func(*Outcome) {
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	var mu sync.Mutex
	all, bad, note := 0, 0, ""
	fault := func(who string, why any) bool {
		mu.Lock()
		defer mu.Unlock()
		note = fmt.Sprintf("%s: %v", who, why)
		return false
	}
	run := func(who string, where func() (string, error)) {
		wait.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			n, f := steadily(ctx, func() bool {
				address, err := where()
				if err != nil {
					return fault(who, err)
				}
				a, err := client.Get("http://" + address + "/" + who)
				if err != nil {
					return fault(who, err)
				}
				if a.Body.Close(); a.StatusCode != http.StatusOK {
					return fault(who, a.Status)
				}
				return true
			})
			mu.Lock()
			defer mu.Unlock()
			all, bad = all+n, bad+f
		})
	}
	for n, t := range r.tables {
		run(fmt.Sprintf("proxy-%d", n), func() (string, error) { return t.Pick("web.test", "/", func(string) string { return "" }) })
	}
	for n, front := range r.fronts {
		run(fmt.Sprintf("sidecar-%d", n), func() (string, error) { return front, nil })
	}
	return func(out *Outcome) {
		stop()
		wait.Wait()
		out.Tell("requests", float64(all))
		out.Hold("failed", float64(bad), "0", bad == 0)
		if note != "" {
			out.Notes = append(out.Notes, "the last failure: "+note)
		}
		for n, t := range r.tables {
			out.Hold(fmt.Sprintf("proxy-%d: lists emptied", n), float64(t.EmptiedCount()), "0", t.EmptiedCount() == 0)
		}
	}
}

// ready waits until all proxies and sidecars can send.
func (r *etcdRig) ready(ctx context.Context) error {
	return r.until(ctx, "all can send", func() bool {
		if !allReady(r.tables) {
			return false
		}
		for _, front := range r.fronts {
			a, err := http.Get("http://" + front + "/first") // what is told as ready may have an empty list yet
			if err != nil {
				return false
			}
			if a.Body.Close(); a.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// stop ends all of it.
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
	r.wait.Wait()
	if r.cluster != nil {
		r.cluster.Stop()
	}
	for _, a := range r.kept {
		a.Release()
	}
	http.DefaultClient.CloseIdleConnections()
}

// spread tells percentiles of some times, in milliseconds.
func spread(out *Outcome, what string, all []time.Duration) {
	if slices.Sort(all); len(all) == 0 {
		return
	}
	for _, p := range []float64{50, 99, 100} {
		out.Tell(fmt.Sprintf("%s, ms, p%g", what, p), float64(Percentile(all, p).Microseconds())/1000)
	}
}
