package etcd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.etcd.io/etcd/client/v3/naming/endpoints"
	"go.uber.org/zap"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// start starts a cluster and a client of etcd's own library.
func start(t *testing.T, o Options) (*Cluster, *clientv3.Client) {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c, client(t, c, "")
}

func client(t *testing.T, c *Cluster, password string) *clientv3.Client {
	t.Helper()
	k, err := clientv3.New(clientv3.Config{Endpoints: c.Addresses(), DialTimeout: 10 * time.Second, Username: c.o.User, Password: password, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return k
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return c
}

// The client library's calls have the answers that etcd's documentation promises.
func TestAPI(t *testing.T) {
	c, k := start(t, Options{})
	x := ctx(t)
	for i := range 5 {
		if _, err := k.Put(x, fmt.Sprintf("a/%d", i), fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	all, err := k.Get(x, "a/", clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByKey, clientv3.SortDescend), clientv3.WithLimit(2))
	if err != nil || len(all.Kvs) != 2 || string(all.Kvs[0].Key) != "a/4" || !all.More || all.Count != 5 || all.Header.Revision != 6 {
		t.Errorf("a range: %v, %v", all, err)
	}
	k.Put(x, "a/0", "again")
	if old, err := k.Get(x, "a/0", clientv3.WithRev(2)); err != nil || string(old.Kvs[0].Value) != "0" || old.Kvs[0].Version != 1 {
		t.Errorf("an old revision: %v, %v", old, err)
	}
	if now, _ := k.Get(x, "a/0"); now.Kvs[0].Version != 2 || now.Kvs[0].CreateRevision != 2 || now.Kvs[0].ModRevision != 7 {
		t.Errorf("a second version: %v", now)
	}
	if _, err := k.Get(x, "a/0", clientv3.WithRev(99)); !errors.Is(err, rpctypes.ErrFutureRev) {
		t.Errorf("a revision to come: %v", err)
	}
	won, err := k.Txn(x).If(clientv3.Compare(clientv3.Version("a/0"), "=", 2), clientv3.Compare(clientv3.CreateRevision("none"), "=", 0)).
		Then(clientv3.OpPut("b", "1"), clientv3.OpDelete("a/1", clientv3.WithPrevKV()), clientv3.OpGet("b")).Else(clientv3.OpPut("b", "2")).Commit()
	if err != nil || !won.Succeeded || won.Header.Revision != 8 || string(won.Responses[2].GetResponseRange().Kvs[0].Value) != "1" {
		t.Errorf("a transaction: %v, %v", won, err)
	}
	if _, err := k.Txn(x).Then(clientv3.OpPut("c", "1"), clientv3.OpPut("c", "2")).Commit(); err == nil || c.Revision() != 8 {
		t.Errorf("a key written twice: %v", err)
	}
	if d, err := k.Delete(x, "a/", clientv3.WithPrefix(), clientv3.WithPrevKV()); err != nil || d.Deleted != 4 || len(d.PrevKvs) != 4 {
		t.Errorf("deletion: %v, %v", d, err)
	}
	if _, err := k.Compact(x, 8); err != nil {
		t.Error(err)
	}
	if _, err := k.Get(x, "a/0", clientv3.WithRev(7)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("a compacted revision: %v", err)
	}
	if at, err := k.Get(x, "a/2", clientv3.WithRev(8)); err != nil || len(at.Kvs) != 1 {
		t.Errorf("the compacted revision itself: %v, %v", at, err)
	}
	w := <-k.Watch(x, "a/", clientv3.WithPrefix(), clientv3.WithRev(3))
	if !errors.Is(w.Err(), rpctypes.ErrCompacted) || w.CompactRevision != 8 {
		t.Errorf("a watch of what is compacted: %v", w)
	}
	w = <-k.Watch(x, "a/", clientv3.WithPrefix(), clientv3.WithRev(9), clientv3.WithPrevKV(), clientv3.WithFilterPut())
	if len(w.Events) != 4 || w.Events[0].PrevKv == nil || w.Events[0].Type != clientv3.EventTypeDelete {
		t.Errorf("a watch: %v", w)
	}
	if s, err := k.Status(x, c.Members[0].Address); err != nil || s.Header.Revision != 9 {
		t.Errorf("status: %v, %v", s, err)
	}
}

// What gRPC's resolver reads is written and read by the library's own manager of endpoints.
func TestEndpointsManager(t *testing.T) {
	_, k := start(t, Options{})
	m, err := endpoints.NewManager(k, "svc")
	if err != nil {
		t.Fatal(err)
	}
	if err := m.AddEndpoint(ctx(t), "svc/a", endpoints.Endpoint{Addr: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	if all, err := m.List(ctx(t)); err != nil || all["svc/a"].Addr != "127.0.0.1:1" {
		t.Errorf("%v, %v", all, err)
	}
}

// A lease's keys live as long as it is kept alive, and go together.
func TestLeases(t *testing.T) {
	_, k := start(t, Options{})
	x := ctx(t)
	l, err := k.Grant(x, 1)
	if err != nil {
		t.Fatal(err)
	}
	events := k.Watch(x, "l/", clientv3.WithPrefix())
	alive, cancel := context.WithCancel(x)
	kept, err := k.KeepAlive(alive, l.ID)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"l/a", "l/b"} {
		if _, err := k.Put(x, key, "", clientv3.WithLease(l.ID)); err != nil {
			t.Fatal(err)
		}
		if r := <-events; len(r.Events) != 1 {
			t.Fatal(r)
		}
	}
	for range 3 {
		if r := <-kept; r == nil || r.TTL != 1 {
			t.Fatalf("keeping alive: %v", r)
		}
	}
	if ttl, err := k.TimeToLive(x, l.ID, clientv3.WithAttachedKeys()); err != nil || len(ttl.Keys) != 2 {
		t.Errorf("%v, %v", ttl, err)
	}
	cancel()
	if r := <-events; len(r.Events) != 2 || r.Events[0].Type != clientv3.EventTypeDelete || r.Events[0].Kv.ModRevision != r.Events[1].Kv.ModRevision {
		t.Errorf("the end of a lease: %v", r)
	}
	if _, err := k.Put(x, "l/c", "", clientv3.WithLease(l.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("a lease that has ended: %v", err)
	}
	l, _ = k.Grant(x, 60)
	k.Put(x, "l/d", "", clientv3.WithLease(l.ID))
	<-events
	if _, err := k.Revoke(x, l.ID); err != nil {
		t.Error(err)
	}
	if r := <-events; len(r.Events) != 1 {
		t.Errorf("the end of a revoked one: %v", r)
	}
}

// A member that lags shows what was, and lets linearizable reads wait; one that is frozen answers nothing; a restored cluster is
// another with an older revision; without the right password nobody is served.
func TestFaults(t *testing.T) {
	c, k := start(t, Options{Members: 2})
	x := ctx(t)
	k.Put(x, "a", "1")
	backup := c.Backup()
	behind, err := clientv3.New(clientv3.Config{Endpoints: []string{c.Members[1].Address}, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	defer behind.Close()
	c.Members[1].PauseApply()
	if _, err := behind.Put(x, "a", "2"); err != nil {
		t.Fatal(err)
	}
	if r, err := behind.Get(x, "a", clientv3.WithSerializable()); err != nil || string(r.Kvs[0].Value) != "1" {
		t.Errorf("a serializable read: %v, %v", r, err)
	}
	short, cancel := context.WithTimeout(x, 50*time.Millisecond)
	if _, err := behind.Get(short, "a"); err == nil {
		t.Error("a linearizable read does not wait")
	}
	cancel()
	c.Members[1].ResumeApply()
	if r, err := behind.Get(x, "a"); err != nil || string(r.Kvs[0].Value) != "2" {
		t.Errorf("caught up: %v, %v", r, err)
	}
	c.Members[1].Pause()
	short, cancel = context.WithTimeout(x, 50*time.Millisecond)
	if _, err := behind.Get(short, "a", clientv3.WithSerializable()); err == nil {
		t.Error("a frozen member answers")
	}
	cancel()
	c.Members[1].Resume()
	before, err := behind.Get(x, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Restore(backup); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the restored cluster serves", func() bool {
		r, err := behind.Get(x, "a")
		return err == nil && string(r.Kvs[0].Value) == "1" && r.Header.ClusterId != before.Header.ClusterId && r.Header.Revision < before.Header.Revision
	})
	closed, err := New(Options{User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer closed.Stop()
	if _, err := client(t, closed, "p").Put(x, "a", "1"); err != nil {
		t.Errorf("with the password: %v", err)
	}
	wrong, err := clientv3.New(clientv3.Config{Endpoints: closed.Addresses(), Username: "u", Password: "other", DialTimeout: 10 * time.Second, Logger: zap.NewNop()})
	if err == nil {
		defer wrong.Close()
		if _, err = wrong.Get(x, "a"); err == nil {
			t.Error("a wrong password is taken")
		}
	}
}

// Reads and writes of several clients at two members, of which one lags now and then, are linearizable.
func TestLinearizable(t *testing.T) {
	c, _ := start(t, Options{Members: 2})
	type in struct {
		op, value string
		old       string
	}
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			x, out := input.(in), output.(string)
			switch x.op {
			case "put":
				return true, x.value
			case "cas":
				if (state == x.old) != (out == "true") {
					return false, state
				}
				if state == x.old {
					return true, x.value
				}
				return true, state
			}
			return out == state, state
		},
		Equal: func(a, b any) bool { return a == b },
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var wait sync.WaitGroup
	for n := range 4 {
		k, err := clientv3.New(clientv3.Config{Endpoints: []string{c.Members[n%2].Address}, Logger: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			seen := ""
			for i := range 60 {
				x := in{op: []string{"get", "put", "cas"}[rng.IntN(3)], value: fmt.Sprintf("%d.%d", n, i), old: seen}
				out, call := "", time.Since(began)
				switch x.op {
				case "get":
					r, err := k.Get(t.Context(), "k")
					if err != nil {
						t.Error(err)
						return
					}
					if len(r.Kvs) > 0 {
						out = string(r.Kvs[0].Value)
					}
					seen = out
				case "put":
					if _, err := k.Put(t.Context(), "k", x.value); err != nil {
						t.Error(err)
						return
					}
				case "cas":
					holds := clientv3.Compare(clientv3.Value("k"), "=", x.old)
					if x.old == "" {
						holds = clientv3.Compare(clientv3.Version("k"), "=", 0)
					}
					r, err := k.Txn(t.Context()).If(holds).Then(clientv3.OpPut("k", x.value)).Commit()
					if err != nil {
						t.Error(err)
						return
					}
					out = strconv.FormatBool(r.Succeeded)
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: n, Input: x, Output: out, Call: int64(call), Return: int64(time.Since(began))})
				mu.Unlock()
				if n == 0 && i%10 == 5 {
					c.Members[1].PauseApply()
					time.AfterFunc(5*time.Millisecond, c.Members[1].ResumeApply)
				}
			}
		})
	}
	wait.Wait()
	if !porcupine.CheckOperations(model, history) {
		t.Error("not linearizable")
	}
}

// Every watch sees each write of its range once, in order, none missing, while members break, freeze, lag and compact what
// all watches have seen.
func TestWatchesSeeAllOnce(t *testing.T) {
	c, k := start(t, Options{Members: 2})
	const writes = 300
	type seen struct{ list []string }
	var all [3]seen
	var wait sync.WaitGroup
	ranges := [3][]clientv3.OpOption{{clientv3.WithPrefix()}, {clientv3.WithPrefix(), clientv3.WithFragment()}, nil}
	keys := [3]string{"", "a", "a1"}
	for n := range all {
		watcher := client(t, c, "")
		events := watcher.Watch(t.Context(), keys[n], append(ranges[n], clientv3.WithRev(2))...)
		wait.Go(func() {
			for r := range events {
				if r.Err() != nil {
					t.Errorf("watch %d: %v", n, r.Err())
					return
				}
				for _, e := range r.Events {
					all[n].list = append(all[n].list, fmt.Sprintf("%d %s %s", e.Kv.ModRevision, e.Type, e.Kv.Key))
					if string(e.Kv.Key) == "a1" && string(e.Kv.Value) == "end" {
						return
					}
				}
			}
		})
	}
	var want [3][]string
	rng := rand.New(rand.NewPCG(5, 5))
	note := func(revision int64, kind, key string) {
		for n := range want {
			if key == keys[n] || len(ranges[n]) > 0 && len(key) >= len(keys[n]) && key[:len(keys[n])] == keys[n] {
				want[n] = append(want[n], fmt.Sprintf("%d %s %s", revision, kind, key))
			}
		}
	}
	present := map[string]bool{}
	for i := range writes {
		key := []string{"a1", "a2", "b1"}[rng.IntN(3)]
		if present[key] && rng.IntN(3) == 0 {
			r, err := k.Delete(ctx(t), key)
			if err != nil {
				t.Fatal(err)
			}
			present[key] = false
			note(r.Header.Revision, "DELETE", key)
		} else {
			r, err := k.Put(ctx(t), key, fmt.Sprint(i))
			if err != nil {
				t.Fatal(err)
			}
			present[key] = true
			note(r.Header.Revision, "PUT", key)
		}
		m := c.Members[rng.IntN(2)]
		switch rng.IntN(40) {
		case 0:
			m.Pause()
			time.AfterFunc(10*time.Millisecond, m.Resume)
		case 1:
			m.PauseApply()
			time.AfterFunc(10*time.Millisecond, m.ResumeApply)
		case 2: // writes must not be repeated by the client: a break goes where none is out
			if err := m.Restart(); err != nil {
				t.Fatal(err)
			}
			testkit.WaitUntil(t, "it serves again", func() bool { _, err := k.Get(ctx(t), "x"); return err == nil })
		}
	}
	r, err := k.Put(ctx(t), "a1", "end")
	if err != nil {
		t.Fatal(err)
	}
	note(r.Header.Revision, "PUT", "a1")
	for _, m := range c.Members {
		m.ResumeApply()
		m.Resume()
	}
	wait.Wait()
	for n := range all {
		if !slices.Equal(all[n].list, want[n]) {
			t.Errorf("watch %d saw %d events, want %d", n, len(all[n].list), len(want[n]))
		}
	}
}

// Progress is told on request, and to quiet watches that ask for it, with the newest revision.
func TestProgress(t *testing.T) {
	c, k := start(t, Options{ProgressInterval: 20 * time.Millisecond})
	events := k.Watch(ctx(t), "a", clientv3.WithProgressNotify())
	if r := <-events; !r.IsProgressNotify() || r.Header.Revision != 1 {
		t.Errorf("%v", r)
	}
	k.Put(ctx(t), "b", "")
	if err := k.RequestProgress(ctx(t)); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the newest revision", func() bool { r := <-events; return r.IsProgressNotify() && r.Header.Revision == c.Revision() })
}
