package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
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
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
	"kitewood/internal/transport"
	"kitewood/internal/xdsserver"
)

// A file, etcd and discovery name one pool together: a bad word of any of them counts for proxies and sidecars, a newer start takes
// it back, and whoever asks is shown who said what.
func TestSourcesTogether(t *testing.T) {
	cluster, err := etcd.New(etcd.Options{User: "u", Password: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	quiet := slog.New(slog.DiscardHandler)
	platform := directory.NewServer(1, quiet)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go platform.Serve(ctx, ln)
	at := func(name string) string { return fmt.Sprintf("10.0.0.%d:1", name[0]) } // two names at one address would be one destination
	said := func(name string, state protocol.State, since int64) protocol.Endpoint {
		return protocol.Endpoint{Name: name, Address: at(name), State: state, SinceMS: since, Weight: 1}
	}
	put := func(name, state, started string) {
		text, _ := json.Marshal(map[string]string{"address": at(name), "state": state, "started": started})
		cluster.Put("/a/"+name, string(text))
	}
	dir := t.TempDir()
	list := func(names ...string) {
		t.Helper()
		text := "destinations:\n"
		for _, name := range names {
			text += fmt.Sprintf("  - {name: %s, address: %q, started: \"1970-01-01T00:00:05Z\"}\n", name, at(name))
		}
		if err := filewatch.Replace(filepath.Join(dir, "a.yaml"), []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	platform.Publish(time.Now(), []protocol.Endpoint{said("x", protocol.Ready, 5000), said("p", protocol.Ready, 0)})
	put("x", "ready", "1970-01-01T00:00:05Z")
	put("e", "", "")
	list("x", "f")
	if err := filewatch.Replace(filepath.Join(dir, "secret"), []byte("p\n")); err != nil {
		t.Fatal(err)
	}
	served, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served.Close()
	text := strings.Replace(good, "members: {file: a.yaml}", fmt.Sprintf("members: {file: a.yaml, discovery: %q, serve: %q, etcd: {endpoints: [%q], prefix: /a/, user: u, password_file: secret}}",
		ln.Addr(), served.Addr(), cluster.Members[0].Address), 1)
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	clock := routing.NewClock()
	service, err := Start(ctx, f, watch(t), xdsserver.NewHub(clock.Now), clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	socket := filepath.Join(dir, "s")
	if err := admin(ctx, socket, service, quiet); err != nil {
		t.Fatal(err)
	}
	set := service.pools["a"].set
	set.PollDiscovery = true // as a sidecar with a discovery does, whose first call comes before the list is known
	sidecar, err := routing.New(set, routing.Names{}, clock, quiet)
	if err != nil {
		t.Fatal(err)
	}
	follower := transport.NewDiscoveryClient(ctx, f.Pools[0].Members.Serve, sidecar, quiet)
	follower.Watch(0)
	go sidecar.Run(ctx, transport.NewConnectionPool(transport.ConnectionPoolOptions{Clock: clock, ConnectionLimiter: transport.NewConnLimiter(1), Log: quiet}), follower)
	shows := func(l *routing.Loop) string {
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
			testkit.WaitUntil(t, who+" has "+want, func() bool { return shows(l) == want })
		}
	}
	until("e f p x")
	put("x", "draining", "1970-01-01T00:00:05Z")
	until("e f p x-")
	platform.Publish(time.Now(), []protocol.Endpoint{said("x", protocol.Ready, 5000), said("p", protocol.Gone, 0)})
	until("e f x-")
	all, err := QueryMembers(socket)
	if err != nil || len(all) != 1 || len(all[0].Sources) != 3 || all[0].Watches != 1 {
		t.Fatalf("%+v, %v", all, err)
	}
	for _, e := range all[0].Entries {
		if e.Name == "x" && (e.State != "draining" || len(e.Reports) != 3) {
			t.Errorf("%+v", e)
		}
	}
	seen := make(chan string, 100)
	go FollowMembers(ctx, socket, func(c MemberChange) error { seen <- c.Now.Name + " " + c.Now.State; return nil })
	platform.Publish(time.Now(), []protocol.Endpoint{said("x", protocol.Ready, 6000)})
	until("e f x")
	list("x")
	until("e x")
	cluster.Delete("/a/e")
	until("x")
	testkit.WaitUntil(t, "the end of e is followed", func() bool { return <-seen == "e gone" })
}

// Over TLS a service with a certificate of the right authority follows etcd, and one without gets nothing.
func TestEtcdOverTLS(t *testing.T) {
	ca, stranger := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	cert, key := ca.named("localhost")
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
	for who, own := range map[string]*authority{"known": ca, "stranger": stranger} {
		cert, key := own.named("service")
		for name, text := range map[string][]byte{"ca.pem": ca.pem, "cert.pem": cert, "key.pem": key} {
			if err := filewatch.Replace(filepath.Join(dir, name), text); err != nil {
				t.Fatal(err)
			}
		}
		f, err := Read(filepath.Join(dir, "c.yaml"), []byte(strings.Replace(good, "file: a.yaml", fmt.Sprintf(
			"etcd: {endpoints: [%q], prefix: /a/, ca: ca.pem, certificate: cert.pem, key: key.pem}", strings.Replace(cluster.Members[0].Address, "127.0.0.1", "localhost", 1)), 1)))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		clock := routing.NewClock()
		service, err := Start(ctx, f, watch(t), xdsserver.NewHub(clock.Now), clock, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		if who == "known" {
			testkit.WaitUntil(t, "the list comes", func() bool { return service.Members()[0].Sources[0].Named == 1 })
		} else {
			testkit.WaitUntil(t, "the source is lost", func() bool { return service.Members()[0].Sources[0].Lost })
			if s := service.Members()[0].Sources[0]; s.Named != 0 {
				t.Errorf("a stranger is told %d destinations", s.Named)
			}
		}
		cancel()
	}
}
