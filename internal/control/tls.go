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

// TLS is how proxies connect: with certificates on both sides, TLS 1.3 at the least.
type TLS struct {
	// Certificate and Key of this service, PEM; relative paths start at the configuration's folder. They are read again when
	// they change.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// ClientCA are the authorities of proxies' certificates, PEM.
	ClientCA string `yaml:"client_ca"`
	// Proxies that may connect.
	Proxies []Right `yaml:"proxies"`
}

// Right is what a proxy may have.
type Right struct {
	// Name is a DNS or URI name of the proxy's certificate.
	Name string `yaml:"name"`
	// Pools it is told of; all if left out.
	Pools []string `yaml:"pools,omitempty"`
}

// check names what is wrong, with paths made whole.
func (t *TLS) check(folder string, pools []string, bad func(key, format string, args ...any)) {
	for key, path := range map[string]*string{"certificate": &t.Certificate, "key": &t.Key, "client_ca": &t.ClientCA} {
		if *path == "" {
			bad("tls."+key, "is missing")
		} else if !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	if len(t.Proxies) == 0 {
		bad("tls.proxies", "at least one is needed: others are not let in")
	}
	seen := map[string]bool{}
	for i, r := range t.Proxies {
		at := fmt.Sprintf("tls.proxies[%d].", i)
		if r.Name == "" || seen[r.Name] {
			bad(at+"name", "a proxy has a name of its own, not %q", r.Name)
		}
		seen[r.Name] = true
		for j, p := range r.Pools {
			if !slices.Contains(pools, p) {
				bad(fmt.Sprintf("%spools[%d]", at, j), "there is no pool %q", p)
			}
		}
	}
}

// certificates are the files of a TLS as last read.
type certificates struct {
	conf *TLS
	log  *slog.Logger
	now  atomic.Pointer[tls.Config]
}

// watchCertificates reads the files and watches them until the context ends. Later bad ones are logged, and the old stay.
func watchCertificates(ctx context.Context, w *filewatch.Watcher, conf *TLS, log *slog.Logger) (*certificates, error) {
	c := &certificates{conf: conf, log: log}
	for _, path := range []string{conf.Certificate, conf.Key, conf.ClientCA} {
		if err := w.Watch(ctx, path, c.read, c.again); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *certificates) read() error {
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
		return fmt.Errorf("%s holds no certificate", c.conf.ClientCA)
	}
	c.now.Store(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"}})
	return nil
}

func (c *certificates) again() {
	if err := c.read(); err != nil {
		// The certificate and its key are two files: between their changes they do not fit.
		c.log.Error("the certificates are not taken, the old ones stay", "error", err)
		return
	}
	c.log.Info("certificates read again")
}

// credentials are those of a gRPC server. A handshake that fails is logged, once for each host and reason.
func (c *certificates) credentials() credentials.TransportCredentials {
	config := &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.now.Load(), nil }}
	return &loggedCredentials{TransportCredentials: credentials.NewTLS(config), log: c.log, seen: map[string]bool{}}
}

// loggedCredentials log handshakes that fail.
type loggedCredentials struct {
	credentials.TransportCredentials
	log  *slog.Logger
	mu   sync.Mutex
	seen map[string]bool
}

// maxSeen bounds the hosts whose failures are remembered; beyond it they are forgotten and logged anew.
const maxSeen = 1000

// ServerHandshake is that of TLS.
func (l *loggedCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	out, info, err := l.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		l.note(conn.RemoteAddr(), err)
	}
	return out, info, err
}

func (l *loggedCredentials) note(from net.Addr, err error) {
	host, _, _ := net.SplitHostPort(from.String())
	key := host + " " + err.Error()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[key] {
		return
	}
	if len(l.seen) >= maxSeen {
		clear(l.seen)
	}
	l.seen[key] = true
	l.log.Warn("a proxy is not let in", "peer", from.String(), "error", err)
}

// identify finds what a proxy may have by the certificate of its connection.
func (t *TLS) identify(ctx context.Context) (*xdsserver.Rights, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil, errors.New("no connection")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil, errors.New("no certificate")
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
	return nil, fmt.Errorf("the certificate names %q, none of which may connect", names)
}

// rights are the right's pools, in the words of the server. Proxies that have the same get the same snapshot.
func (r *Right) rights() *xdsserver.Rights {
	if len(r.Pools) == 0 {
		return &xdsserver.Rights{}
	}
	pools := slices.Sorted(slices.Values(r.Pools))
	return &xdsserver.Rights{View: strings.Join(slices.Compact(pools), " "), Pools: pools}
}
