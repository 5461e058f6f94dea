package etcd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
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

// startCluster starts a cluster and connects etcd's client library to it.
func startCluster(t *testing.T, o Options) (*Cluster, *clientv3.Client) {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c, newClient(t, c, "")
}

// newClient connects a client to all members of a cluster.
func newClient(t *testing.T, c *Cluster, password string) *clientv3.Client {
	t.Helper()
	k, err := clientv3.New(clientv3.Config{Endpoints: c.Addresses(), DialTimeout: 10 * time.Second, Username: c.opts.User, Password: password, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close() })
	return k
}

// testContext returns a context that ends after a minute or with the test.
func testContext(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return c
}

// portRange is the socket option IP_LOCAL_PORT_RANGE, which limits the ports that the system assigns to a socket.
const portRange = 51

// While a member is stopped, the system assigns its port to no other socket, neither to one that connects nor to one that listens on any
// port, even if it is the only port that it could assign. So the member can start again at its address.
func TestStoppedMemberKeepsItsPort(t *testing.T) {
	c, err := New(Options{Members: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	m := c.Members[0]
	port := netip.MustParseAddrPort(m.Address).Port()
	onlyThatPort := func(_, _ string, raw syscall.RawConn) (err error) {
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, portRange, int(port)|int(port)<<16)
		})
		return err
	}
	m.Stop()
	if conn, err := (&net.Dialer{Control: onlyThatPort}).Dial("tcp", c.Members[1].Address); err == nil {
		t.Error("a connection got the port of the stopped member")
		defer conn.Close()
	} else if errors.Is(err, syscall.ENOPROTOOPT) {
		t.Skipf("this system does not support IP_LOCAL_PORT_RANGE: %v", err)
	} else if !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Errorf("connecting from any port while the only one is reserved: %v, want EADDRNOTAVAIL", err)
	}
	if ln, err := (&net.ListenConfig{Control: onlyThatPort}).Listen(t.Context(), "tcp", "127.0.0.1:0"); err == nil {
		t.Error("a listener got the port of the stopped member")
		defer ln.Close()
	} else if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listening on any port while the only one is reserved: %v, want EADDRINUSE", err)
	}
	if err := m.Start(); err != nil {
		t.Errorf("starting the member again: %v", err)
	}
}

// Calls of etcd's client library get the responses that etcd's documentation specifies.
func TestClientLibraryCalls(t *testing.T) {
	c, k := startCluster(t, Options{})
	ctx := testContext(t)
	for i := range 5 {
		if _, err := k.Put(ctx, fmt.Sprintf("a/%d", i), fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	all, err := k.Get(ctx, "a/", clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByKey, clientv3.SortDescend), clientv3.WithLimit(2))
	if err != nil || len(all.Kvs) != 2 || string(all.Kvs[0].Key) != "a/4" || !all.More || all.Count != 5 || all.Header.Revision != 6 {
		t.Errorf("range read with prefix, sort and limit: %v, %v", all, err)
	}
	k.Put(ctx, "a/0", "again")
	if old, err := k.Get(ctx, "a/0", clientv3.WithRev(2)); err != nil || string(old.Kvs[0].Value) != "0" || old.Kvs[0].Version != 1 {
		t.Errorf("read at an old revision: %v, %v", old, err)
	}
	if now, _ := k.Get(ctx, "a/0"); now.Kvs[0].Version != 2 || now.Kvs[0].CreateRevision != 2 || now.Kvs[0].ModRevision != 7 {
		t.Errorf("second version of a key: %v", now)
	}
	if _, err := k.Get(ctx, "a/0", clientv3.WithRev(99)); !errors.Is(err, rpctypes.ErrFutureRev) {
		t.Errorf("read at a future revision: %v, want ErrFutureRev", err)
	}
	txn, err := k.Txn(ctx).If(clientv3.Compare(clientv3.Version("a/0"), "=", 2), clientv3.Compare(clientv3.CreateRevision("none"), "=", 0)).
		Then(clientv3.OpPut("b", "1"), clientv3.OpDelete("a/1", clientv3.WithPrevKV()), clientv3.OpGet("b")).Else(clientv3.OpPut("b", "2")).Commit()
	if err != nil || !txn.Succeeded || txn.Header.Revision != 8 || string(txn.Responses[2].GetResponseRange().Kvs[0].Value) != "1" {
		t.Errorf("transaction: %v, %v", txn, err)
	}
	if _, err := k.Txn(ctx).Then(clientv3.OpPut("c", "1"), clientv3.OpPut("c", "2")).Commit(); err == nil || c.Revision() != 8 {
		t.Errorf("transaction that writes a key twice: %v", err)
	}
	if d, err := k.Delete(ctx, "a/", clientv3.WithPrefix(), clientv3.WithPrevKV()); err != nil || d.Deleted != 4 || len(d.PrevKvs) != 4 {
		t.Errorf("delete by prefix: %v, %v", d, err)
	}
	if _, err := k.Compact(ctx, 8); err != nil {
		t.Error(err)
	}
	if _, err := k.Get(ctx, "a/0", clientv3.WithRev(7)); !errors.Is(err, rpctypes.ErrCompacted) {
		t.Errorf("read at a compacted revision: %v, want ErrCompacted", err)
	}
	if got, err := k.Get(ctx, "a/2", clientv3.WithRev(8)); err != nil || len(got.Kvs) != 1 {
		t.Errorf("read at the compaction revision itself: %v, %v", got, err)
	}
	w := <-k.Watch(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(3))
	if !errors.Is(w.Err(), rpctypes.ErrCompacted) || w.CompactRevision != 8 {
		t.Errorf("watch from a compacted revision: %v", w)
	}
	w = <-k.Watch(ctx, "a/", clientv3.WithPrefix(), clientv3.WithRev(9), clientv3.WithPrevKV(), clientv3.WithFilterPut())
	if len(w.Events) != 4 || w.Events[0].PrevKv == nil || w.Events[0].Type != clientv3.EventTypeDelete {
		t.Errorf("watch: %v", w)
	}
	if s, err := k.Status(ctx, c.Members[0].Address); err != nil || s.Header.Revision != 9 {
		t.Errorf("status: %v, %v", s, err)
	}
}

// The client library's endpoint manager, whose entries gRPC's resolver reads, can add and list endpoints.
func TestEndpointsManager(t *testing.T) {
	_, k := startCluster(t, Options{})
	m, err := endpoints.NewManager(k, "svc")
	if err != nil {
		t.Fatal(err)
	}
	if err := m.AddEndpoint(testContext(t), "svc/a", endpoints.Endpoint{Addr: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	if all, err := m.List(testContext(t)); err != nil || all["svc/a"].Addr != "127.0.0.1:1" {
		t.Errorf("endpoint list: %v, %v", all, err)
	}
}

// The keys of a lease exist while it is kept alive and are deleted together when it ends.
func TestLeases(t *testing.T) {
	_, k := startCluster(t, Options{})
	ctx := testContext(t)
	l, err := k.Grant(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	events := k.Watch(ctx, "l/", clientv3.WithPrefix())
	keepAliveCtx, cancel := context.WithCancel(ctx)
	replies, err := k.KeepAlive(keepAliveCtx, l.ID)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"l/a", "l/b"} {
		if _, err := k.Put(ctx, key, "", clientv3.WithLease(l.ID)); err != nil {
			t.Fatal(err)
		}
		if r := <-events; len(r.Events) != 1 {
			t.Fatal(r)
		}
	}
	for range 3 {
		if r := <-replies; r == nil || r.TTL != 1 {
			t.Fatalf("keep-alive reply: %v", r)
		}
	}
	if ttl, err := k.TimeToLive(ctx, l.ID, clientv3.WithAttachedKeys()); err != nil || len(ttl.Keys) != 2 {
		t.Errorf("time to live with attached keys: %v, %v", ttl, err)
	}
	cancel()
	if r := <-events; len(r.Events) != 2 || r.Events[0].Type != clientv3.EventTypeDelete || r.Events[0].Kv.ModRevision != r.Events[1].Kv.ModRevision {
		t.Errorf("events at the expiry of a lease: %v", r)
	}
	if _, err := k.Put(ctx, "l/c", "", clientv3.WithLease(l.ID)); !errors.Is(err, rpctypes.ErrLeaseNotFound) {
		t.Errorf("put with an expired lease: %v, want ErrLeaseNotFound", err)
	}
	l, _ = k.Grant(ctx, 60)
	k.Put(ctx, "l/d", "", clientv3.WithLease(l.ID))
	<-events
	if _, err := k.Revoke(ctx, l.ID); err != nil {
		t.Error(err)
	}
	if r := <-events; len(r.Events) != 1 {
		t.Errorf("events at the revocation of a lease: %v", r)
	}
}

// A member that has stopped applying serves old data to serializable reads and delays linearizable ones; a paused member answers
// nothing; a restored cluster has another id and an older revision; a wrong password is rejected.
func TestFaults(t *testing.T) {
	c, k := startCluster(t, Options{Members: 2})
	ctx := testContext(t)
	k.Put(ctx, "a", "1")
	backup := c.Backup()
	lagging, err := clientv3.New(clientv3.Config{Endpoints: []string{c.Members[1].Address}, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	defer lagging.Close()
	c.Members[1].PauseApply()
	if _, err := lagging.Put(ctx, "a", "2"); err != nil {
		t.Fatal(err)
	}
	if r, err := lagging.Get(ctx, "a", clientv3.WithSerializable()); err != nil || string(r.Kvs[0].Value) != "1" {
		t.Errorf("serializable read at a member that has stopped applying: %v, %v", r, err)
	}
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	if _, err := lagging.Get(short, "a"); err == nil {
		t.Error("a linearizable read did not wait for the member to catch up")
	}
	cancel()
	c.Members[1].ResumeApply()
	if r, err := lagging.Get(ctx, "a"); err != nil || string(r.Kvs[0].Value) != "2" {
		t.Errorf("read after the member caught up: %v, %v", r, err)
	}
	c.Members[1].Pause()
	short, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
	if _, err := lagging.Get(short, "a", clientv3.WithSerializable()); err == nil {
		t.Error("a paused member answered")
	}
	cancel()
	c.Members[1].Resume()
	before, err := lagging.Get(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Restore(backup); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "the restored cluster serves the backup's data", func() bool {
		r, err := lagging.Get(ctx, "a")
		return err == nil && string(r.Kvs[0].Value) == "1" && r.Header.ClusterId != before.Header.ClusterId && r.Header.Revision < before.Header.Revision
	})
	secured, err := New(Options{User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer secured.Stop()
	if _, err := newClient(t, secured, "p").Put(ctx, "a", "1"); err != nil {
		t.Errorf("put with the correct password: %v", err)
	}
	wrong, err := clientv3.New(clientv3.Config{Endpoints: secured.Addresses(), Username: "u", Password: "other", DialTimeout: 10 * time.Second, Logger: zap.NewNop()})
	if err == nil {
		defer wrong.Close()
		if _, err = wrong.Get(ctx, "a"); err == nil {
			t.Error("a wrong password was accepted")
		}
	}
}

// Reads and writes of several clients at two members are linearizable while one member repeatedly stops applying.
func TestLinearizable(t *testing.T) {
	c, _ := startCluster(t, Options{Members: 2})
	type operation struct {
		kind, value string
		expected    string // value compared by a cas
	}
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			x, out := input.(operation), output.(string)
			switch x.kind {
			case "put":
				return true, x.value
			case "cas":
				if (state == x.expected) != (out == "true") {
					return false, state
				}
				if state == x.expected {
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
	start := time.Now()
	var tasks sync.WaitGroup
	for n := range 4 {
		k, err := clientv3.New(clientv3.Config{Endpoints: []string{c.Members[n%2].Address}, Logger: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		tasks.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			seen := ""
			for i := range 60 {
				x := operation{kind: []string{"get", "put", "cas"}[rng.IntN(3)], value: fmt.Sprintf("%d.%d", n, i), expected: seen}
				out, call := "", time.Since(start)
				switch x.kind {
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
					condition := clientv3.Compare(clientv3.Value("k"), "=", x.expected)
					if x.expected == "" {
						condition = clientv3.Compare(clientv3.Version("k"), "=", 0)
					}
					r, err := k.Txn(t.Context()).If(condition).Then(clientv3.OpPut("k", x.value)).Commit()
					if err != nil {
						t.Error(err)
						return
					}
					out = strconv.FormatBool(r.Succeeded)
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: n, Input: x, Output: out, Call: int64(call), Return: int64(time.Since(start))})
				mu.Unlock()
				if n == 0 && i%10 == 5 {
					c.Members[1].PauseApply()
					time.AfterFunc(5*time.Millisecond, c.Members[1].ResumeApply)
				}
			}
		})
	}
	tasks.Wait()
	if !porcupine.CheckOperations(model, history) {
		t.Error("the history is not linearizable")
	}
}

// Every watch delivers each write of its range once and in order, while members restart, pause and stop applying.
func TestWatchesDeliverEachWriteOnce(t *testing.T) {
	c, k := startCluster(t, Options{Members: 2})
	const writes = 300
	type delivered struct{ events []string }
	var all [3]delivered
	var tasks sync.WaitGroup
	ranges := [3][]clientv3.OpOption{{clientv3.WithPrefix()}, {clientv3.WithPrefix(), clientv3.WithFragment()}, nil}
	keys := [3]string{"", "a", "a1"}
	for n := range all {
		watcher := newClient(t, c, "")
		events := watcher.Watch(t.Context(), keys[n], append(ranges[n], clientv3.WithRev(2))...)
		tasks.Go(func() {
			for r := range events {
				if r.Err() != nil {
					t.Errorf("watch %d: %v", n, r.Err())
					return
				}
				for _, e := range r.Events {
					all[n].events = append(all[n].events, fmt.Sprintf("%d %s %s", e.Kv.ModRevision, e.Type, e.Kv.Key))
					if string(e.Kv.Key) == "a1" && string(e.Kv.Value) == "end" {
						return
					}
				}
			}
		})
	}
	var want [3][]string
	rng := rand.New(rand.NewPCG(5, 5))
	expect := func(revision int64, kind, key string) {
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
			r, err := k.Delete(testContext(t), key)
			if err != nil {
				t.Fatal(err)
			}
			present[key] = false
			expect(r.Header.Revision, "DELETE", key)
		} else {
			r, err := k.Put(testContext(t), key, fmt.Sprint(i))
			if err != nil {
				t.Fatal(err)
			}
			present[key] = true
			expect(r.Header.Revision, "PUT", key)
		}
		m := c.Members[rng.IntN(2)]
		switch rng.IntN(40) {
		case 0:
			m.Pause()
			time.AfterFunc(10*time.Millisecond, m.Resume)
		case 1:
			m.PauseApply()
			time.AfterFunc(10*time.Millisecond, m.ResumeApply)
		case 2: // restart only while no write is in flight, as the client must not retry one
			if err := m.Restart(); err != nil {
				t.Fatal(err)
			}
			testkit.WaitUntil(t, "the cluster serves again after a restart", func() bool { _, err := k.Get(testContext(t), "x"); return err == nil })
		}
	}
	r, err := k.Put(testContext(t), "a1", "end")
	if err != nil {
		t.Fatal(err)
	}
	expect(r.Header.Revision, "PUT", "a1")
	for _, m := range c.Members {
		m.ResumeApply()
		m.Resume()
	}
	tasks.Wait()
	for n := range all {
		if !slices.Equal(all[n].events, want[n]) {
			t.Errorf("watch %d saw %d events, want %d", n, len(all[n].events), len(want[n]))
		}
	}
}

// Progress notifications carry the newest revision. They are sent on request, and to idle watches created with the option.
func TestProgress(t *testing.T) {
	c, k := startCluster(t, Options{ProgressInterval: 20 * time.Millisecond})
	events := k.Watch(testContext(t), "a", clientv3.WithProgressNotify())
	if r := <-events; !r.IsProgressNotify() || r.Header.Revision != 1 {
		t.Errorf("progress notification of an idle watch: %v", r)
	}
	k.Put(testContext(t), "b", "")
	if err := k.RequestProgress(testContext(t)); err != nil {
		t.Fatal(err)
	}
	testkit.WaitUntil(t, "a progress notification with the newest revision", func() bool { r := <-events; return r.IsProgressNotify() && r.Header.Revision == c.Revision() })
}
