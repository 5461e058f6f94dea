package etcdsource

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.etcd.io/etcd/client/v3/naming/endpoints"
	"go.uber.org/zap"

	"kitewood/balance"
	"kitewood/internal/lab/etcd"
	"kitewood/internal/membership"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// merged is a Taker over the core that it is written for.
type merged struct {
	mu     sync.Mutex
	m      *membership.Merger
	wholes int
	lost   int
	change int
	listed func() // called with each whole list, if set
}

func newMerged() *merged {
	return &merged{m: membership.New(membership.Config{Sources: []string{"etcd"}, Retention: time.Hour})}
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (x *merged) ApplyList(at membership.Position, list []routing.Member, written map[string]int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wholes++
	if x.listed != nil {
		x.listed()
	}
	return x.m.ApplyListWithRevisions(now(), "etcd", at, list, written)
}

func (x *merged) ApplyChanges(at membership.Position, list []routing.Member) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.change++
	return x.m.ApplyChanges(now(), "etcd", at, list)
}

func (x *merged) SourceAlive() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.m.SourceAlive(now(), "etcd")
}

func (x *merged) SourceLost() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lost++
	x.m.SourceLost(now(), "etcd")
}

// shows is the list: names, with a dash behind those that drain.
func (x *merged) shows() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.m.Merge(now())
	var out []string
	for _, d := range x.m.List() {
		out = append(out, d.Name+map[balance.State]string{balance.Draining: "-"}[d.State])
	}
	return strings.Join(out, " ")
}

func (x *merged) lists() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.wholes
}

func value(address, state string) string {
	text, _ := json.Marshal(map[string]any{"address": address, "state": state, "started": "2026-01-01T00:00:00Z"})
	return string(text)
}

// follow starts a cluster, a client that writes and a source that follows.
func follow(t *testing.T, members int, form string) (*etcd.Cluster, *clientv3.Client, *merged) {
	t.Helper()
	c, err := etcd.New(etcd.Options{Members: members})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	k, err := clientv3.New(clientv3.Config{Endpoints: c.Addresses(), Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	x := newMerged()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- Watch(ctx, Options{Endpoints: c.Addresses(), Prefix: "/d/", Form: form, Seed: 1, Log: slog.New(slog.DiscardHandler)}, x)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, k, x
}

func until(t *testing.T, x *merged, want string) {
	t.Helper()
	testkit.WaitUntil(t, "the list is "+want, func() bool { return x.shows() == want })
}

// Writes, drains, deletions and the end of a lease are seen as they come; a value that cannot be read keeps the last word.
func TestFollow(t *testing.T) {
	_, k, x := follow(t, 1, FormPlain)
	put := func(name, text string, o ...clientv3.OpOption) {
		t.Helper()
		if _, err := k.Put(t.Context(), "/d/"+name, text, o...); err != nil {
			t.Fatal(err)
		}
	}
	put("a", value("10.0.0.1:1", ""))
	until(t, x, "a")
	lease, err := k.Grant(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	put("b", value("10.0.0.2:1", "ready"), clientv3.WithLease(lease.ID))
	until(t, x, "a b")
	put("a", value("10.0.0.1:1", "draining"))
	until(t, x, "a- b")
	put("a", "{spoilt")
	put("new", value("no address", ""))
	put("c", value("10.0.0.3:1", ""))
	testkit.WaitUntil(t, "the lease ends", func() bool { return x.shows() == "a- c" })
	k.Txn(t.Context()).Then(clientv3.OpDelete("/d/a"), clientv3.OpPut("/d/e", value("10.0.0.5:1", ""))).Commit()
	until(t, x, "c e")
	if x.lists() != 1 {
		t.Errorf("%d whole lists were read", x.lists())
	}
}

// What gRPC's resolver would read is followed, too, written by the library's own manager.
func TestNamingForm(t *testing.T) {
	_, k, x := follow(t, 1, FormNaming)
	m, err := endpoints.NewManager(k, "/d")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b"} {
		if err := m.AddEndpoint(t.Context(), "/d/"+name, endpoints.Endpoint{Addr: "127.0.0.1:1", Metadata: map[string]int{"any": 1}}); err != nil {
			t.Fatal(err)
		}
	}
	until(t, x, "a b")
	if err := m.DeleteEndpoint(t.Context(), "/d/a"); err != nil {
		t.Fatal(err)
	}
	until(t, x, "b")
}

// A watch that breaks while history is compacted misses nothing: what was removed in the gap is gone.
func TestCompactedGap(t *testing.T) {
	c, k, x := follow(t, 1, FormPlain)
	for _, name := range []string{"a", "b", "c"} {
		k.Put(t.Context(), "/d/"+name, value("10.0.0.1:1", ""))
	}
	until(t, x, "a b c")
	c.Members[0].PauseApply()
	k.Delete(t.Context(), "/d/b")
	k.Put(t.Context(), "/d/d", value("10.0.0.4:1", ""))
	k.Put(t.Context(), "/d/a", value("10.0.0.1:1", "draining"))
	if err := c.Compact(c.Revision()); err != nil {
		t.Fatal(err)
	}
	c.Members[0].ResumeApply()
	until(t, x, "a- c d")
	if x.lists() != 2 {
		t.Errorf("%d whole lists: the gap was not met", x.lists())
	}
}

// A member that is silent, broken or behind is left for another; an older revision never counts.
func TestFailover(t *testing.T) {
	c, _, x := follow(t, 2, FormPlain)
	c.Put("/d/a", value("10.0.0.1:1", ""))
	until(t, x, "a")
	for n, fault := range []func(*etcd.Member){(*etcd.Member).Pause, (*etcd.Member).PauseApply, (*etcd.Member).Stop} {
		for _, m := range c.Members { // whichever it is at
			fault(m)
			c.Put("/d/a", value("10.0.0.1:1", []string{"draining", "ready"}[n%2]))
			until(t, x, []string{"a-", "a"}[n%2])
			c.Put("/d/a", value("10.0.0.1:1", []string{"ready", "draining"}[n%2]))
			until(t, x, []string{"a", "a-"}[n%2])
			m.Resume()
			m.ResumeApply()
			if n == 2 {
				if err := m.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// A member that stops answering between its list and the beginning of its watch is left as any that is silent.
func TestFrozenBeforeTheWatch(t *testing.T) {
	c, _, x := follow(t, 2, FormPlain)
	c.Put("/d/a", value("10.0.0.1:1", ""))
	until(t, x, "a")
	x.mu.Lock()
	before := x.lost
	x.listed = func() {
		for _, m := range c.Members {
			m.Pause()
		}
	}
	x.mu.Unlock()
	for _, m := range c.Members { // the watch meets a gap, and the list is read again
		m.PauseApply()
	}
	c.Put("/d/a", value("10.0.0.1:1", "draining"))
	if err := c.Compact(c.Put("/d/a", value("10.0.0.1:1", ""))); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Members {
		m.ResumeApply()
	}
	testkit.WaitUntil(t, "the silent watch is given up", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.wholes > 1 && x.lost > before+1 // the gap, and the silence
	})
	x.mu.Lock()
	x.listed = nil
	x.mu.Unlock()
	c.Put("/d/b", value("10.0.0.2:1", ""))
	for _, m := range c.Members {
		m.Resume()
	}
	until(t, x, "a b")
}

// A cluster that is restored to an older state undoes no drain and no removal; what is written in it then counts.
func TestRestored(t *testing.T) {
	for name, restore := range map[string]func(*etcd.Cluster, etcd.Snapshot) error{"another id": (*etcd.Cluster).Restore, "the same id": (*etcd.Cluster).RestoreInPlace} {
		t.Run(name, func(t *testing.T) { restored(t, restore) })
	}
}

func restored(t *testing.T, restore func(*etcd.Cluster, etcd.Snapshot) error) {
	c, k, x := follow(t, 1, FormPlain)
	for _, name := range []string{"a", "b", "c"} {
		k.Put(t.Context(), "/d/"+name, value("10.0.0.1:1", ""))
	}
	until(t, x, "a b c")
	backup := c.Backup()
	k.Put(t.Context(), "/d/a", value("10.0.0.1:1", "draining"))
	k.Delete(t.Context(), "/d/b")
	until(t, x, "a- c")
	if err := restore(c, backup); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the restored list is read", func() bool { return x.lists() == 2 })
	if got := x.shows(); got != "a- c" {
		t.Errorf("restored: %q", got)
	}
	testkit.WaitUntil(t, "it takes writes", func() bool {
		_, err := k.Put(t.Context(), "/d/b", value("10.0.0.1:1", ""))
		return err == nil
	})
	until(t, x, "a- b c")
	// A write that is seen in a list only is known to be new by its revision.
	c.Members[0].PauseApply()
	c.Put("/d/a", value("10.0.0.1:1", ""))
	c.Compact(c.Revision())
	c.Members[0].ResumeApply()
	until(t, x, "a b c")
}

// Whatever members do, the list comes to what the cluster says, and what it says is never older than what was seen.
func TestChaos(t *testing.T) {
	c, _, x := follow(t, 2, FormPlain)
	rng := rand.New(rand.NewPCG(3, 3))
	truth := map[string]string{}
	for i := range 60 {
		name := fmt.Sprintf("n%d", rng.IntN(8))
		m := c.Members[rng.IntN(2)]
		switch rng.IntN(6) {
		case 0:
			m.Pause()
			time.AfterFunc(20*time.Millisecond, m.Resume)
		case 1:
			m.PauseApply()
			time.AfterFunc(20*time.Millisecond, m.ResumeApply)
		case 2:
			if err := m.Restart(); err != nil {
				t.Fatal(err)
			}
		case 3:
			c.Compact(c.Revision())
		}
		if truth[name] != "" && rng.IntN(2) == 0 {
			c.Delete("/d/" + name)
			delete(truth, name)
			continue
		}
		state := []string{"", "-"}[i%2]
		c.Put("/d/"+name, value("10.0.0.1:1", map[string]string{"-": "draining"}[state]))
		truth[name] = name + state
	}
	for _, m := range c.Members {
		m.Resume()
		m.ResumeApply()
	}
	until(t, x, strings.Join(slices.Sorted(maps.Values(truth)), " "))
}

// Values that are not in the documented forms are errors that say why.
func TestDecode(t *testing.T) {
	for _, c := range []struct{ form, name, text, want string }{
		{FormPlain, "a", `{"address":"10.0.0.1:1","weight":2,"zone":"z","kind":"k","group":3,"started":"1970-01-01T00:00:01Z"}`, ""},
		{FormPlain, "", `{"address":"10.0.0.1:1"}`, "without a name"},
		{FormPlain, "a", `{"address":"host:1"}`, "address"},
		{FormPlain, "a", `{"address":"10.0.0.1:1","state":"odd"}`, "state"},
		{FormPlain, "a", `{"address":"10.0.0.1:1","weight":-1}`, "weight"},
		{FormPlain, "a", `{"address":"10.0.0.1:1","started":"yesterday"}`, "started"},
		{FormPlain, "a", `{"address":"10.0.0.1:1","more":1}`, "more"},
		{FormPlain, "a", `[]`, "json"},
		{FormNaming, "a", `{"Op":0,"Addr":"10.0.0.1:1","Metadata":null}`, ""},
		{FormNaming, "a", `{"Op":0}`, "address"},
		{FormNaming, "a", `1`, "json"},
	} {
		m, err := Decode(c.form, c.name, []byte(c.text))
		if c.want == "" && (err != nil || m.Address != "10.0.0.1:1" || m.State != balance.Ready) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %+v, %v", c.text, m, err)
		}
	}
	if m, _ := Decode(FormPlain, "a", []byte(`{"address":"10.0.0.1:1","weight":2,"started":"1970-01-01T00:00:01Z"}`)); m.Weight != 2 || m.StartedAt != time.Second {
		t.Errorf("%+v", m)
	}
}
