package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"kitewood/internal/filewatch"
	"kitewood/internal/xdsserver"
)

// TLS configures mutual TLS for connections of proxies, TLS 1.3 or later.
type TLS struct {
	// Certificate and Key are PEM files of this service. Relative paths start at the configuration's folder. The files are
	// reloaded when they change.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// ClientCA is a PEM file of the authorities that sign proxies' certificates.
	ClientCA string `yaml:"client_ca"`
	// Proxies are the proxies that may connect.
	Proxies []ProxyAccess `yaml:"proxies"`
}

// ProxyAccess is what a proxy has access to.
type ProxyAccess struct {
	// Name is a DNS or URI name in the proxy's certificate.
	Name string `yaml:"name"`
	// Pools are the pools served to the proxy; all if empty.
	Pools []string `yaml:"pools,omitempty"`
}

// validate reports configuration problems and makes paths absolute relative to folder.
func (t *TLS) validate(folder string, pools []string, report func(key, format string, args ...any)) {
	for key, path := range map[string]*string{"certificate": &t.Certificate, "key": &t.Key, "client_ca": &t.ClientCA} {
		if *path == "" {
			report("tls."+key, "is missing")
		} else if !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	if len(t.Proxies) == 0 {
		report("tls.proxies", "at least one is needed: only listed proxies may connect")
	}
	seen := map[string]bool{}
	for i, r := range t.Proxies {
		at := fmt.Sprintf("tls.proxies[%d].", i)
		if r.Name == "" || seen[r.Name] {
			report(at+"name", "must be set and unique, not %q", r.Name)
		}
		seen[r.Name] = true
		for j, p := range r.Pools {
			if !slices.Contains(pools, p) {
				report(fmt.Sprintf("%spools[%d]", at, j), "unknown pool %q", p)
			}
		}
	}
}

// certificates holds the certificates of a TLS configuration as last loaded.
type certificates struct {
	conf    *TLS
	log     *slog.Logger
	current atomic.Pointer[tls.Config]
}

// watchCertificates loads the files and watches them until the context ends. If a later version cannot be loaded, that is logged
// and the certificates loaded before stay in use.
func watchCertificates(ctx context.Context, w *filewatch.Watcher, conf *TLS, log *slog.Logger) (*certificates, error) {
	c := &certificates{conf: conf, log: log}
	for _, path := range []string{conf.Certificate, conf.Key, conf.ClientCA} {
		if err := w.Watch(ctx, path, c.load, c.reload); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// load reads the files and replaces the current TLS configuration.
func (c *certificates) load() error {
	pair, err := tls.LoadX509KeyPair(c.conf.Certificate, c.conf.Key)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.conf.ClientCA)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s contains no certificate", c.conf.ClientCA)
	}
	c.current.Store(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"}})
	return nil
}

// reload loads the files after a change and logs the result.
func (c *certificates) reload() {
	if err := c.load(); err != nil {
		// The certificate and its key are two files: between the changes of the two they do not match.
		c.log.Error("cannot load certificates, keeping the current ones", "error", err)
		return
	}
	c.log.Info("certificates reloaded")
}

// credentials returns transport credentials for a gRPC server. Failed handshakes are logged, once for each host and reason.
func (c *certificates) credentials() credentials.TransportCredentials {
	config := &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.current.Load(), nil }}
	return &loggingCredentials{TransportCredentials: credentials.NewTLS(config), log: c.log, logged: map[string]bool{}}
}

// loggingCredentials are transport credentials that log failed handshakes.
type loggingCredentials struct {
	credentials.TransportCredentials
	log    *slog.Logger
	mu     sync.Mutex
	logged map[string]bool
}

// maxLoggedFailures is the number of remembered pairs of host and reason. Beyond it all are forgotten and may be logged again.
const maxLoggedFailures = 1000

// ServerHandshake performs the TLS handshake and logs its failure.
func (l *loggingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	out, info, err := l.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		l.logFailure(conn.RemoteAddr(), err)
	}
	return out, info, err
}

// logFailure logs a failed handshake unless the same host has failed for the same reason before.
func (l *loggingCredentials) logFailure(from net.Addr, err error) {
	host, _, _ := net.SplitHostPort(from.String())
	key := host + " " + err.Error()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[key] {
		return
	}
	if len(l.logged) >= maxLoggedFailures {
		clear(l.logged)
	}
	l.logged[key] = true
	l.log.Warn("a proxy is not let in", "peer", from.String(), "error", err)
}

// identify returns the rights of a proxy by the certificate of its connection. It implements xdsserver.Authorize.
func (t *TLS) identify(ctx context.Context) (*xdsserver.Rights, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errors.New("no peer information for the connection")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil, errors.New("no verified client certificate")
	}
	leaf := info.State.VerifiedChains[0][0]
	names := slices.Clone(leaf.DNSNames)
	for _, u := range leaf.URIs {
		names = append(names, u.String())
	}
	for _, r := range t.Proxies {
		if slices.Contains(names, r.Name) {
			return r.rights(), nil
		}
	}
	return nil, fmt.Errorf("none of the certificate's names %q is allowed to connect", names)
}

// rights converts the access to rights of package xdsserver. Proxies with access to the same pools get the same snapshot.
func (a *ProxyAccess) rights() *xdsserver.Rights {
	if len(a.Pools) == 0 {
		return &xdsserver.Rights{}
	}
	pools := slices.Sorted(slices.Values(a.Pools))
	return &xdsserver.Rights{View: strings.Join(slices.Compact(pools), " "), Pools: pools}
}
