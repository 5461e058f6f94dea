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

// newAuthority returns an authority with a self-signed certificate.
func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert, a.key, a.pem, _ = a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign issues a certificate, self-signed if the authority has no certificate yet.
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

// issue creates a certificate for a DNS name, valid for servers and clients.
func (a *authority) issue(name string) (cert, key []byte) {
	_, _, cert, key = a.sign(&x509.Certificate{DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	return
}

// Only a proxy whose certificate is signed by the authority and whose name is listed gets resources, and only those of its pools.
// Replaced certificates are loaded while the service runs.
func TestProxyAuthorization(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, text []byte) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ca, untrusted := newAuthority(t), newAuthority(t)
	cert, key := ca.issue("control")
	write("ca.pem", ca.pem)
	write("cert.pem", cert)
	write("key.pem", key)
	for _, pool := range []string{"a", "b"} {
		write(pool+".yaml", []byte("destinations: [{name: x, address: \"127.0.0.1:1\"}]\n"))
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := unused.Addr().String()
	unused.Close()
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
	serveErr := make(chan error, 1)
	go func() { serveErr <- Serve(ctx, f, slog.New(slog.NewTextHandler(&log, nil))) }()
	defer func() {
		cancel()
		if err := <-serveErr; err != nil {
			t.Error(err)
		}
	}()

	// query connects with a certificate issued for name, or with none, and returns the clusters that it is served and the server's
	// certificate.
	query := func(signer *authority, name string, maxVersion uint16) (clusters []string, serverCert []byte, err error) {
		config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "control", MaxVersion: maxVersion}
		config.RootCAs.AppendCertsFromPEM(ca.pem)
		config.VerifyConnection = func(s tls.ConnectionState) error { serverCert = s.PeerCertificates[0].Raw; return nil }
		if signer != nil {
			pair, err := tls.X509KeyPair(signer.issue(name))
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
		callCtx, cancelCall := context.WithTimeout(ctx, 20*time.Second)
		defer cancelCall()
		stream, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(callCtx)
		if err != nil {
			return nil, serverCert, err
		}
		stream.Send(&discovery.DiscoveryRequest{TypeUrl: xds.TypeCluster})
		r, err := stream.Recv()
		if err != nil {
			return nil, serverCert, err
		}
		for _, x := range r.Resources {
			clusters = append(clusters, string(x.Value))
		}
		stream.Send(&discovery.DiscoveryRequest{TypeUrl: xds.TypeRoute, ResourceNames: []string{RouteName}})
		if r, err = stream.Recv(); err != nil {
			return nil, serverCert, err
		}
		var served routes.RouteConfiguration
		if err := r.Resources[0].UnmarshalTo(&served); err != nil {
			t.Fatal(err)
		}
		for _, x := range served.VirtualHosts[0].Routes {
			if c := x.GetRoute().GetCluster(); c == "b" && len(clusters) == 1 {
				t.Error("a route leads to a pool that the proxy has no access to")
			}
		}
		return clusters, serverCert, nil
	}
	testkit.WaitUntil(t, "the service listens", func() bool { c, err := net.Dial("tcp", address); return err == nil && c.Close() == nil })
	clusters, serverCert, err := query(ca, "one", 0)
	if err != nil || len(clusters) != 1 || !strings.Contains(clusters[0], "a") {
		t.Errorf("proxy one is served clusters %q, %v", clusters, err)
	}
	if clusters, _, err := query(ca, "all", 0); err != nil || len(clusters) != 2 {
		t.Errorf("proxy all is served clusters %q, %v", clusters, err)
	}
	if _, _, err := query(ca, "other", 0); status.Code(err) != codes.PermissionDenied {
		t.Errorf("certificate with a name that is not listed: %v", err)
	}
	for what, signer := range map[string]*authority{"of another authority": untrusted, "none": nil} {
		if _, _, err := query(signer, "one", 0); status.Code(err) != codes.Unavailable {
			t.Errorf("client certificate %s: %v", what, err)
		}
	}
	if _, _, err := query(ca, "one", tls.VersionTLS12); status.Code(err) != codes.Unavailable {
		t.Errorf("TLS 1.2: %v", err)
	}
	testkit.WaitUntil(t, "rejected proxies are logged", func() bool { return log.Count("a proxy is not let in") >= 4 })

	cert, key = ca.issue("control")
	write("cert.pem", cert) // does not match the key until the next write
	write("key.pem", key)
	testkit.WaitUntil(t, "the new certificate is served", func() bool { _, c, err := query(ca, "one", 0); return err == nil && !bytes.Equal(c, serverCert) })
}

func TestTLSConfiguration(t *testing.T) {
	text := strings.Replace(validConfig, "plaintext: true", "tls: {certificate: c, key: k, client_ca: a, proxies: [{name: p, pools: [a]}]}", 1)
	if f, err := Read("/etc/c.yaml", []byte(text)); err != nil || f.TLS.Key != "/etc/k" {
		t.Fatal(f, err)
	}
	for from, c := range map[string][2]string{
		"certificate: c, ":        {"", "c.yaml:2:6: tls.certificate: is missing"},
		"pools: [a]":              {"pools: [z]", `tls.proxies[0].pools[0]: unknown pool "z"`},
		"{name: p,":               {"{name: p}, {name: p,", "tls.proxies[1].name: must be set and unique"},
		"[{name: p, pools: [a]}]": {"[]", "tls.proxies: at least one is needed"},
		"tls:":                    {"plaintext: true\ntls:", "plaintext: cannot be combined with tls"},
	} {
		if _, err := Read("c.yaml", []byte(strings.Replace(text, from, c[0], 1))); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v", c[0], err)
		}
	}
}
