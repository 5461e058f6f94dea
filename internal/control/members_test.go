package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"kitewood/balance"
	"kitewood/internal/directory"
	"kitewood/internal/filewatch"
	"kitewood/internal/lab/etcd"
	"kitewood/internal/membership"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
	"kitewood/internal/transport"
	"kitewood/internal/xdsserver"
)

// A file, etcd and discovery together list the endpoints of a pool. A report of draining or gone by any source takes effect for
// proxies and sidecars, a report of a newer start overrides it, and the admin socket shows which source reported what.
func TestMergedSources(t *testing.T) {
	cluster, err := etcd.New(etcd.Options{User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	discardLog := slog.New(slog.DiscardHandler)
	discovery := directory.NewServer(1, discardLog)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go discovery.Serve(ctx, ln)
	address := func(name string) string { return fmt.Sprintf("10.0.0.%d:1", name[0]) } // two names at one address would be one endpoint
	entry := func(name string, state protocol.State, startMS int64) protocol.Endpoint {
		return protocol.Endpoint{Name: name, Address: address(name), State: state, SinceMS: startMS, Weight: 1}
	}
	put := func(name, state, started string) {
		text, _ := json.Marshal(map[string]string{"address": address(name), "state": state, "started": started})
		cluster.Put("/a/"+name, string(text))
	}
	dir := t.TempDir()
	list := func(names ...string) {
		t.Helper()
		text := "destinations:\n"
		for _, name := range names {
			text += fmt.Sprintf("  - {name: %s, address: %q, started: \"1970-01-01T00:00:05Z\"}\n", name, address(name))
		}
		if err := filewatch.Replace(filepath.Join(dir, "a.yaml"), []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	discovery.Publish(time.Now(), []protocol.Endpoint{entry("x", protocol.Ready, 5000), entry("p", protocol.Ready, 0)})
	put("x", "ready", "1970-01-01T00:00:05Z")
	put("e", "", "")
	list("x", "f")
	if err := filewatch.Replace(filepath.Join(dir, "secret"), []byte("p\n")); err != nil {
		t.Fatal(err)
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused.Close()
	text := strings.Replace(validConfig, "members: {file: a.yaml}", fmt.Sprintf("members: {file: a.yaml, discovery: %q, serve: %q, etcd: {endpoints: [%q], prefix: /a/, user: u, password_file: secret}}",
		ln.Addr(), unused.Addr(), cluster.Members[0].Address), 1)
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	clock := routing.NewClock()
	service, err := Start(ctx, f, newWatcher(t), xdsserver.NewHub(clock.Now), clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	socket := filepath.Join(dir, "s")
	if err := serveAdmin(ctx, socket, service, discardLog); err != nil {
		t.Fatal(err)
	}
	set := service.pools["a"].settings
	set.PollDiscovery = true // as in a sidecar with discovery, whose first call comes before the list is known
	sidecar, err := routing.New(set, routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	client := transport.NewDiscoveryClient(ctx, f.Pools[0].Members.Serve, sidecar, discardLog)
	client.Watch(0)
	go sidecar.Run(ctx, transport.NewConnectionPool(transport.ConnectionPoolOptions{Clock: clock, ConnectionLimiter: transport.NewConnLimiter(1), Log: discardLog}), client)
	endpointsOf := func(l *routing.Loop) string {
		v, ok := l.View(time.Second)
		if !ok {
			return "no answer"
		}
		var out []string
		for _, d := range v.Endpoints {
			out = append(out, d.Name+map[bool]string{true: "-"}[d.State == balance.Draining])
		}
		return strings.Join(out, " ")
	}
	until := func(want string) {
		t.Helper()
		for who, l := range map[string]*routing.Loop{"the service": service.pools["a"].loop, "a sidecar": sidecar} {
			testkit.WaitUntil(t, who+" has endpoints "+want, func() bool { return endpointsOf(l) == want })
		}
	}
	until("e f p x")
	put("x", "draining", "1970-01-01T00:00:05Z")
	until("e f p x-")
	discovery.Publish(time.Now(), []protocol.Endpoint{entry("x", protocol.Ready, 5000), entry("p", protocol.Gone, 0)})
	until("e f x-")
	all, err := QueryMembers(socket)
	if err != nil || len(all) != 1 || len(all[0].Sources) != 3 || all[0].Watches != 1 {
		t.Fatalf("members: %+v, %v; want one pool with 3 sources and a watch", all, err)
	}
	for _, e := range all[0].Entries {
		if e.Name == "x" && (e.State != "draining" || len(e.Reports) != 3) {
			t.Errorf("entry %+v: want it draining, with reports of 3 sources", e)
		}
	}
	changes := make(chan string, 100)
	go FollowMembers(ctx, socket, func(c MemberChange) error { changes <- c.Now.Name + " " + c.Now.State; return nil })
	discovery.Publish(time.Now(), []protocol.Endpoint{entry("x", protocol.Ready, 6000)})
	until("e f x")
	list("x")
	until("e x")
	cluster.Delete("/a/e")
	until("x")
	testkit.WaitUntil(t, "the removal of e is reported", func() bool { return <-changes == "e gone" })
}

// Endpoints that are listed faster than the batches are published are never reported as gone: the followed view agrees with what the
// service has published.
func TestFollowersSeeNoRemovalOfNewEndpoints(t *testing.T) {
	text := strings.Replace(validConfig, "file: a.yaml", "etcd: {endpoints: [\"127.0.0.1:1\"], prefix: /a/}", 1)
	f, err := Read("c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock, discardLog := routing.NewClock(), slog.New(slog.DiscardHandler)
	loop, err := routing.New(balancerSettings(&f.File, &f.Pools[0]), routing.Names{}, clock, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	m := newMembers(ctx, &f.Pools[0], 1, clock, loop, discardLog)
	go loop.Run(ctx, transport.NewConnectionPool(transport.ConnectionPoolOptions{Clock: clock, ConnectionLimiter: transport.NewConnLimiter(1), Log: discardLog}), m)
	service := &Service{pools: map[string]*pool{"a": {members: m}}}
	etcd := &etcdFeed{m}
	position := func(revision int) membership.Position {
		return membership.Position{History: "h", Revision: int64(revision)}
	}
	etcd.ApplyList(position(0), nil, nil)
	const endpoints = 200
	ready := 0
	followed := make(chan error, 1)
	go func() {
		followed <- service.followMembers(ctx, func(v any) error {
			c := v.(MemberChange)
			if c.Now.State != "ready" {
				return fmt.Errorf("%s is reported as %s", c.Now.Name, c.Now.State)
			}
			if ready++; ready == endpoints {
				return io.EOF
			}
			return nil
		})
	}()
	for n := range endpoints {
		name := fmt.Sprintf("i%03d", n)
		etcd.ApplyChanges(position(n+1), []routing.Member{{Name: name, Address: fmt.Sprintf("10.0.0.%d:1", n), State: balance.Ready, Weight: 1}})
		time.Sleep(batchInterval / 20)
	}
	select {
	case err := <-followed:
		if err != io.EOF {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("not all endpoints are reported")
	}
}

// Over TLS a service whose certificate is signed by the authority that etcd trusts receives the list; one with another certificate
// receives nothing.
func TestEtcdOverTLS(t *testing.T) {
	ca, untrusted := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	cert, key := ca.issue("localhost")
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(ca.cert)
	cluster, err := etcd.New(etcd.Options{ServerOptions: []grpc.ServerOption{grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair},
		ClientCAs: trusted, ClientAuth: tls.RequireAndVerifyClientCert}))}})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	cluster.Put("/a/x", `{"address":"10.0.0.1:1"}`)
	for who, signer := range map[string]*authority{"known": ca, "stranger": untrusted} {
		cert, key := signer.issue("service")
		for name, text := range map[string][]byte{"ca.pem": ca.pem, "cert.pem": cert, "key.pem": key} {
			if err := filewatch.Replace(filepath.Join(dir, name), text); err != nil {
				t.Fatal(err)
			}
		}
		f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(validConfig, "file: a.yaml", fmt.Sprintf(
			"etcd: {endpoints: [%q], prefix: /a/, ca: ca.pem, certificate: cert.pem, key: key.pem}", strings.Replace(cluster.Members[0].Address, "127.0.0.1", "localhost", 1)), 1)))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		clock := routing.NewClock()
		service, err := Start(ctx, f, newWatcher(t), xdsserver.NewHub(clock.Now), clock, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if who == "known" {
			testkit.WaitUntil(t, "the list is received", func() bool { return service.Members()[0].Sources[0].Named == 1 })
		} else {
			testkit.WaitUntil(t, "the source is lost", func() bool { return service.Members()[0].Sources[0].Lost })
			if s := service.Members()[0].Sources[0]; s.Named != 0 {
				t.Errorf("received %d endpoints with a certificate that etcd does not trust", s.Named)
			}
		}
		cancel()
	}
}
