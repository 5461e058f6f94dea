package control

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	routes "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"kitewood/internal/testkit"
	"kitewood/internal/xds"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert, a.key, a.pem, _ = a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign makes a certificate, by itself where the authority has none yet.
func (a *authority) sign(c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, []byte, []byte) {
	a.t.Helper()
	must := func(err error) {
		if err != nil {
			a.t.Fatal(err)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	c.SerialNumber, c.Subject = big.NewInt(time.Now().UnixNano()), pkix.Name{CommonName: "test"}
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := c, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	must(err)
	out, err := x509.ParseCertificate(der)
	must(err)
	text, err := x509.MarshalPKCS8PrivateKey(key)
	must(err)
	return out, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: text})
}

// named makes a certificate for a name, for both sides of a connection.
func (a *authority) named(name string) (cert, key []byte) {
	_, _, cert, key = a.sign(&x509.Certificate{DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	return
}

// Only a proxy whose certificate is signed and named gets anything, and then what it may have; certificates that are
// replaced are taken while the service runs.
func TestOnlyNamedProxiesAreLetIn(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, text []byte) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ca, stranger := newAuthority(t), newAuthority(t)
	cert, key := ca.named("control")
	write("ca.pem", ca.pem)
	write("cert.pem", cert)
	write("key.pem", key)
	for _, pool := range []string{"a", "b"} {
		write(pool+".yaml", []byte("destinations: [{name: x, address: \"127.0.0.1:1\"}]\n"))
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	const class = "classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]"
	text := fmt.Sprintf(`name: c
listeners: [{address: %q}]
tls:
  certificate: cert.pem
  key: key.pem
  client_ca: ca.pem
  proxies: [{name: one, pools: [a]}, {name: all}]
pools:
  - {name: a, members: {file: a.yaml}, %s}
  - {name: b, members: {file: b.yaml}, %s}
routes: [{path: /a, pool: a}, {pool: b}]
`, address, class, class)
	f, err := Read(filepath.Join(dir, "c.yaml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var log testkit.LogBuffer
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, f, slog.New(slog.NewTextHandler(&log, nil))) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()

	// ask connects with a certificate and gives the names of the clusters, and the server's certificate.
	ask := func(by *authority, name string, most uint16) (clusters []string, own []byte, err error) {
		config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "control", MaxVersion: most}
		config.RootCAs.AppendCertsFromPEM(ca.pem)
		config.VerifyConnection = func(s tls.ConnectionState) error { own = s.PeerCertificates[0].Raw; return nil }
		if by != nil {
			pair, err := tls.X509KeyPair(by.named(name))
			if err != nil {
				t.Fatal(err)
			}
			config.Certificates = []tls.Certificate{pair}
		}
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(credentials.NewTLS(config)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		call, stop := context.WithTimeout(ctx, 20*time.Second)
		defer stop()
		s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(call)
		if err != nil {
			return nil, own, err
		}
		s.Send(&discovery.DiscoveryRequest{TypeUrl: xds.TypeCluster})
		r, err := s.Recv()
		if err != nil {
			return nil, own, err
		}
		for _, x := range r.Resources {
			clusters = append(clusters, string(x.Value))
		}
		s.Send(&discovery.DiscoveryRequest{TypeUrl: xds.TypeRoute, ResourceNames: []string{RouteName}})
		if r, err = s.Recv(); err != nil {
			return nil, own, err
		}
		var told routes.RouteConfiguration
		if err := r.Resources[0].UnmarshalTo(&told); err != nil {
			t.Fatal(err)
		}
		for _, x := range told.VirtualHosts[0].Routes {
			if c := x.GetRoute().GetCluster(); c == "b" && len(clusters) == 1 {
				t.Error("a route leads to a pool that the proxy may not have")
			}
		}
		return clusters, own, nil
	}
	testkit.WaitUntil(t, "it listens", func() bool { c, err := net.Dial("tcp", address); return err == nil && c.Close() == nil })
	clusters, own, err := ask(ca, "one", 0)
	if err != nil || len(clusters) != 1 || !strings.Contains(clusters[0], "a") {
		t.Errorf("one is told of %q, %v", clusters, err)
	}
	if clusters, _, err := ask(ca, "all", 0); err != nil || len(clusters) != 2 {
		t.Errorf("all is told of %q, %v", clusters, err)
	}
	if _, _, err := ask(ca, "other", 0); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a name that is not listed: %v", err)
	}
	for what, by := range map[string]*authority{"of another authority": stranger, "none": nil} {
		if _, _, err := ask(by, "one", 0); status.Code(err) != codes.Unavailable {
			t.Errorf("a certificate %s: %v", what, err)
		}
	}
	if _, _, err := ask(ca, "one", tls.VersionTLS12); status.Code(err) != codes.Unavailable {
		t.Errorf("TLS 1.2: %v", err)
	}
	testkit.WaitUntil(t, "those that are not let in are logged", func() bool { return log.Count("a proxy is not let in") >= 4 })

	cert, key = ca.named("control")
	write("cert.pem", cert) // does not fit the key for a moment
	write("key.pem", key)
	testkit.WaitUntil(t, "the new certificate is served", func() bool { _, now, err := ask(ca, "one", 0); return err == nil && !bytes.Equal(now, own) })
}

func TestTLSConfiguration(t *testing.T) {
	text := strings.Replace(good, "plaintext: true", "tls: {certificate: c, key: k, client_ca: a, proxies: [{name: p, pools: [a]}]}", 1)
	if f, err := Read("/etc/c.yaml", []byte(text)); err != nil || f.TLS.Key != "/etc/k" {
		t.Fatal(f, err)
	}
	for from, c := range map[string][2]string{
		"certificate: c, ":        {"", "c.yaml:2:6: tls.certificate: is missing"},
		"pools: [a]":              {"pools: [z]", `tls.proxies[0].pools[0]: there is no pool "z"`},
		"{name: p,":               {"{name: p}, {name: p,", "tls.proxies[1].name: a proxy has a name of its own"},
		"[{name: p, pools: [a]}]": {"[]", "tls.proxies: at least one is needed"},
		"tls:":                    {"plaintext: true\ntls:", "plaintext: tls is given, too"},
	} {
		if _, err := Read("c.yaml", []byte(strings.Replace(text, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}
