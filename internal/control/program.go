package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"kitewood/internal/config"
	"kitewood/internal/filewatch"
	"kitewood/internal/routing"
	"kitewood/internal/xdsserver"
	"kitewood/internal/yamlfile"
)

// File is the configuration of kitewood-control: that of pools, whose listeners are the ports that proxies connect to.
type File struct {
	config.File `yaml:",inline"`
	// Plaintext says that proxies connect without TLS. It is needed, and allowed on loopback only.
	Plaintext bool `yaml:"plaintext,omitempty"`
	// TLS for all others.
	TLS *TLS `yaml:"tls,omitempty"`
}

// Load reads a configuration file, fills in what it leaves out and checks it. Its errors are yamlfile.Problems.
func Load(path string) (*File, error) { return yamlfile.Load(path, Read) }

// Read reads the text of a configuration file as Load does.
func Read(path string, text []byte) (*File, error) {
	var f File
	tree, err := yamlfile.Read(path, text, &f)
	if err != nil {
		return nil, err
	}
	wrong := tree.NewProblemList()
	f.File.Complete(path, wrong.Add)
	switch {
	case f.Plaintext && f.TLS != nil:
		wrong.Add("plaintext", "tls is given, too: one of them is enough")
	case !f.Plaintext && f.TLS == nil:
		wrong.Add("tls", "is missing: without it proxies connect in plain text, which plaintext: true allows on loopback")
	case f.TLS != nil:
		var names []string
		for i := range f.Pools {
			names = append(names, f.Pools[i].Name)
		}
		f.TLS.check(filepath.Dir(path), names, wrong.Add)
	}
	for i, l := range f.Listeners {
		if at, err := netip.ParseAddrPort(l.Address); err == nil && f.Plaintext && !at.Addr().IsLoopback() {
			wrong.Add(fmt.Sprintf("listeners[%d].address", i), "plain text is for loopback only")
		}
	}
	for i, r := range f.Routes {
		for j, h := range r.Hosts {
			if strings.Contains(h, ":") {
				wrong.Add(fmt.Sprintf("routes[%d].hosts[%d]", i, j), "a host with a port cannot be told to proxies, not %q", h)
			}
		}
		if r.DefaultClass != "" {
			wrong.Add(fmt.Sprintf("routes[%d].as", i), "proxies know no classes")
		}
	}
	for i := range f.Pools {
		if p := &f.Pools[i]; p.Chain != nil || p.Origin != "" || p.Retries != (config.Retries{}) {
			wrong.Add(fmt.Sprintf("pools[%d]", i), "chain, origin and retries are a sidecar's: proxies are not told of them")
		}
		fillReports(&f.Pools[i].Reports)
		fillMembers(filepath.Dir(path), fmt.Sprintf("pools[%d].members.", i), &f.Pools[i].Members, wrong.Add)
		if f.Pools[i].Reports.Interval < 0 {
			wrong.Add(fmt.Sprintf("pools[%d].reports.every", i), "is negative")
		}
		if f.Pools[i].Name == RouteName {
			wrong.Add(fmt.Sprintf("pools[%d].name", i), "%q is the name of the common listener", RouteName)
		}
	}
	if err := wrong.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// The bounds of a connection of a proxy.
const (
	maxRequest  = 4 << 20          // bytes of a request
	maxStreams  = 100              // of one connection
	pingAfter   = 10 * time.Second // without a word of the proxy
	pingTimeout = 5 * time.Second
)

// Serve runs the control service until the context ends.
func Serve(ctx context.Context, f *File, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Every response is garbage once it is written. At 100% the collector took a fifth of the time before 1,000 proxies.
	debug.SetGCPercent(400)
	clock := routing.NewClock()
	hub := xdsserver.NewHub(clock.Now)
	watcher, err := filewatch.New(ctx, log)
	if err != nil {
		return err
	}
	transport, identify := insecure.NewCredentials(), xdsserver.Authorize(xdsserver.AllowAll)
	if f.TLS != nil {
		certificates, err := watchCertificates(ctx, watcher, f.TLS, log)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		transport, identify = certificates.credentials(), f.TLS.identify
	}
	g := grpc.NewServer(grpc.Creds(transport), grpc.MaxRecvMsgSize(maxRequest), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	var lns []net.Listener
	for _, l := range f.Listeners {
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			return err
		}
		defer ln.Close()
		lns = append(lns, ln)
	}
	service, err := Start(ctx, f, watcher, hub, clock, log)
	if err != nil {
		return err
	}
	xdsserver.Register(g, hub, service.Reports(), identify, log)
	if f.Admin != "" {
		if err := admin(ctx, f.Admin, service, log); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	ended := make(chan error, len(lns))
	for _, ln := range lns {
		go func() { ended <- g.Serve(ln) }()
	}
	log.Info("serving", "name", f.Name, "listeners", len(lns), "pools", len(f.Pools), "routes", len(f.Routes))
	select {
	case <-ctx.Done():
	case err = <-ended:
	}
	// Streams never end by themselves: proxies keep what they have and go to another service.
	g.Stop()
	if errors.Is(err, grpc.ErrServerStopped) {
		err = nil
	}
	log.Info("stopped")
	return err
}
