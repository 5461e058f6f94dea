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

// mergingReceiver is a Receiver that passes updates to a membership.Merger and counts them.
type mergingReceiver struct {
	mu      sync.Mutex
	merger  *membership.Merger
	lists   int
	lost    int
	changes int
	onList  func() // called for each full list, if set
}

func newMergingReceiver() *mergingReceiver {
	return &mergingReceiver{merger: membership.New(membership.Config{Sources: []string{"etcd"}, Retention: time.Hour})}
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

func (r *mergingReceiver) ApplyList(at membership.Position, list []routing.Member, written map[string]int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	if r.onList != nil {
		r.onList()
	}
	return r.merger.ApplyListWithRevisions(now(), "etcd", at, list, written)
}

func (r *mergingReceiver) ApplyChanges(at membership.Position, list []routing.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	return r.merger.ApplyChanges(now(), "etcd", at, list)
}

func (r *mergingReceiver) SourceAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merger.SourceAlive(now(), "etcd")
}

func (r *mergingReceiver) SourceLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
	r.merger.SourceLost(now(), "etcd")
}

// summary returns the names of the merged list; a draining endpoint has a dash after its name.
func (r *mergingReceiver) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merger.Merge(now())
	var out []string
	for _, d := range r.merger.List() {
		out = append(out, d.Name+map[balance.State]string{balance.Draining: "-"}[d.State])
	}
	return strings.Join(out, " ")
}

func (r *mergingReceiver) listCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

// value is the JSON of an endpoint, which started long ago.
func value(address, state string) string {
	text, _ := json.Marshal(map[string]any{"address": address, "state": state, "started": "2026-01-01T00:00:00Z"})
	return string(text)
}

// startWatch starts a cluster, a client that writes to it and a watch that ends with the test.
func startWatch(t *testing.T, members int, form string) (*etcd.Cluster, *clientv3.Client, *mergingReceiver) {
	t.Helper()
	c, err := etcd.New(etcd.Options{Members: members})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	client, err := clientv3.New(clientv3.Config{Endpoints: c.Addresses(), Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	r := newMergingReceiver()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- Watch(ctx, Options{Endpoints: c.Addresses(), Prefix: "/d/", Form: form, Seed: 1, Log: slog.New(slog.DiscardHandler)}, r)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, client, r
}

func waitForSummary(t *testing.T, r *mergingReceiver, want string) {
	t.Helper()
	testkit.WaitUntil(t, "the list is "+want, func() bool { return r.summary() == want })
}

// The list follows writes, drains, deletions and the expiry of an etcd lease. A key whose value becomes invalid keeps its last
// valid value.
func TestWatch(t *testing.T) {
	_, client, r := startWatch(t, 1, FormPlain)
	put := func(name, text string, o ...clientv3.OpOption) {
		t.Helper()
		if _, err := client.Put(t.Context(), "/d/"+name, text, o...); err != nil {
			t.Fatal(err)
		}
	}
	put("a", value("10.0.0.1:1", ""))
	waitForSummary(t, r, "a")
	lease, err := client.Grant(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	put("b", value("10.0.0.2:1", "ready"), clientv3.WithLease(lease.ID))
	waitForSummary(t, r, "a b")
	put("a", value("10.0.0.1:1", "draining"))
	waitForSummary(t, r, "a- b")
	put("a", "{spoilt")
	put("new", value("no address", ""))
	put("c", value("10.0.0.3:1", ""))
	testkit.WaitUntil(t, "the lease has expired", func() bool { return r.summary() == "a- c" })
	client.Txn(t.Context()).Then(clientv3.OpDelete("/d/a"), clientv3.OpPut("/d/e", value("10.0.0.5:1", ""))).Commit()
	waitForSummary(t, r, "c e")
	if r.listCount() != 1 {
		t.Errorf("%d full lists were read, want 1", r.listCount())
	}
}

// The format of gRPC's resolver is supported: endpoints that etcd's own naming manager writes are in the list.
func TestNamingForm(t *testing.T) {
	_, client, r := startWatch(t, 1, FormNaming)
	m, err := endpoints.NewManager(client, "/d")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b"} {
		if err := m.AddEndpoint(t.Context(), "/d/"+name, endpoints.Endpoint{Addr: "127.0.0.1:1", Metadata: map[string]int{"any": 1}}); err != nil {
			t.Fatal(err)
		}
	}
	waitForSummary(t, r, "a b")
	if err := m.DeleteEndpoint(t.Context(), "/d/a"); err != nil {
		t.Fatal(err)
	}
	waitForSummary(t, r, "b")
}

// A watch that breaks before the revisions it has not seen are compacted misses nothing: an endpoint that was removed meanwhile
// is gone.
func TestCompactedGap(t *testing.T) {
	c, client, r := startWatch(t, 1, FormPlain)
	for _, name := range []string{"a", "b", "c"} {
		client.Put(t.Context(), "/d/"+name, value("10.0.0.1:1", ""))
	}
	waitForSummary(t, r, "a b c")
	c.Members[0].PauseApply()
	client.Delete(t.Context(), "/d/b")
	client.Put(t.Context(), "/d/d", value("10.0.0.4:1", ""))
	client.Put(t.Context(), "/d/a", value("10.0.0.1:1", "draining"))
	if err := c.Compact(c.Revision()); err != nil {
		t.Fatal(err)
	}
	c.Members[0].ResumeApply()
	waitForSummary(t, r, "a- c d")
	if r.listCount() != 2 {
		t.Errorf("%d full lists were read, want 2: the watch met no compaction", r.listCount())
	}
}

// The watch moves to another member when its member is frozen, lags or has stopped. An older revision is never applied.
func TestFailover(t *testing.T) {
	c, _, r := startWatch(t, 2, FormPlain)
	c.Put("/d/a", value("10.0.0.1:1", ""))
	waitForSummary(t, r, "a")
	for n, fault := range []func(*etcd.Member){(*etcd.Member).Pause, (*etcd.Member).PauseApply, (*etcd.Member).Stop} {
		for _, m := range c.Members { // one of them serves the watch
			fault(m)
			c.Put("/d/a", value("10.0.0.1:1", []string{"draining", "ready"}[n%2]))
			waitForSummary(t, r, []string{"a-", "a"}[n%2])
			c.Put("/d/a", value("10.0.0.1:1", []string{"ready", "draining"}[n%2]))
			waitForSummary(t, r, []string{"a", "a-"}[n%2])
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

// The watch moves to another member when its member stops responding between the list and the creation of the watch.
func TestFreezeBetweenListAndWatch(t *testing.T) {
	c, _, r := startWatch(t, 2, FormPlain)
	c.Put("/d/a", value("10.0.0.1:1", ""))
	waitForSummary(t, r, "a")
	r.mu.Lock()
	before := r.lost
	r.onList = func() {
		for _, m := range c.Members {
			m.Pause()
		}
	}
	r.mu.Unlock()
	for _, m := range c.Members { // so that the watch meets a compaction, and the list is read again
		m.PauseApply()
	}
	c.Put("/d/a", value("10.0.0.1:1", "draining"))
	if err := c.Compact(c.Put("/d/a", value("10.0.0.1:1", ""))); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.Members {
		m.ResumeApply()
	}
	testkit.WaitUntil(t, "the watch without a response has ended", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.lists > 1 && r.lost > before+1 // lost once at the compaction, and once without a response
	})
	r.mu.Lock()
	r.onList = nil
	r.mu.Unlock()
	c.Put("/d/b", value("10.0.0.2:1", ""))
	for _, m := range c.Members {
		m.Resume()
	}
	waitForSummary(t, r, "a b")
}

// A cluster that is restored from a backup reverts neither a drain nor a removal. Values written after the restore apply.
func TestRestoreFromBackup(t *testing.T) {
	for name, restore := range map[string]func(*etcd.Cluster, etcd.Snapshot) error{"another id": (*etcd.Cluster).Restore, "the same id": (*etcd.Cluster).RestoreInPlace} {
		t.Run(name, func(t *testing.T) { testRestored(t, restore) })
	}
}

func testRestored(t *testing.T, restore func(*etcd.Cluster, etcd.Snapshot) error) {
	c, client, r := startWatch(t, 1, FormPlain)
	for _, name := range []string{"a", "b", "c"} {
		client.Put(t.Context(), "/d/"+name, value("10.0.0.1:1", ""))
	}
	waitForSummary(t, r, "a b c")
	backup := c.Backup()
	client.Put(t.Context(), "/d/a", value("10.0.0.1:1", "draining"))
	client.Delete(t.Context(), "/d/b")
	waitForSummary(t, r, "a- c")
	if err := restore(c, backup); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the restored list has been read", func() bool { return r.listCount() == 2 })
	if got := r.summary(); got != "a- c" {
		t.Errorf("after the restore: list %q", got)
	}
	testkit.WaitUntil(t, "the cluster accepts writes", func() bool {
		_, err := client.Put(t.Context(), "/d/b", value("10.0.0.1:1", ""))
		return err == nil
	})
	waitForSummary(t, r, "a- b c")
	// A write that is seen only in a full list is recognised as new by its revision.
	c.Members[0].PauseApply()
	c.Put("/d/a", value("10.0.0.1:1", ""))
	c.Compact(c.Revision())
	c.Members[0].ResumeApply()
	waitForSummary(t, r, "a b c")
}

// Under random faults of the members the list converges to the state of the cluster.
func TestRandomFaults(t *testing.T) {
	c, _, r := startWatch(t, 2, FormPlain)
	rng := rand.New(rand.NewPCG(3, 3))
	want := map[string]string{}
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
		if want[name] != "" && rng.IntN(2) == 0 {
			c.Delete("/d/" + name)
			delete(want, name)
			continue
		}
		state := []string{"", "-"}[i%2]
		c.Put("/d/"+name, value("10.0.0.1:1", map[string]string{"-": "draining"}[state]))
		want[name] = name + state
	}
	for _, m := range c.Members {
		m.Resume()
		m.ResumeApply()
	}
	waitForSummary(t, r, strings.Join(slices.Sorted(maps.Values(want)), " "))
}

// A value that is not in a documented format gives an error that names the reason.
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
