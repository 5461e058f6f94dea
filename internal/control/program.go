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

// File is the configuration of kitewood-control: the common configuration of pools and routes, whose listeners are the addresses
// that proxies connect to, and how proxies connect.
type File struct {
	config.File `yaml:",inline"`
	// Plaintext has proxies connect without TLS. It has to be set where TLS is not, and is allowed on loopback only.
	Plaintext bool `yaml:"plaintext,omitempty"`
	// TLS configures TLS for proxies; required unless Plaintext is set.
	TLS *TLS `yaml:"tls,omitempty"`
}

// Load reads a configuration file, fills in defaults and validates it. Invalid settings are reported as *yamlfile.Problem
// errors, joined if there are several.
func Load(path string) (*File, error) { return yamlfile.Load(path, Read) }

// Read parses the text of a configuration file as Load does.
func Read(path string, text []byte) (*File, error) {
	var f File
	tree, err := yamlfile.Read(path, text, &f)
	if err != nil {
		return nil, err
	}
	problems := tree.NewProblemList()
	f.File.Complete(path, problems.Add)
	switch {
	case f.Plaintext && f.TLS != nil:
		problems.Add("plaintext", "cannot be combined with tls")
	case !f.Plaintext && f.TLS == nil:
		problems.Add("tls", "is missing: to let proxies connect without TLS, on loopback only, set plaintext: true")
	case f.TLS != nil:
		var names []string
		for i := range f.Pools {
			names = append(names, f.Pools[i].Name)
		}
		f.TLS.validate(filepath.Dir(path), names, problems.Add)
	}
	for i, l := range f.Listeners {
		if at, err := netip.ParseAddrPort(l.Address); err == nil && f.Plaintext && !at.Addr().IsLoopback() {
			problems.Add(fmt.Sprintf("listeners[%d].address", i), "plaintext is allowed on loopback addresses only")
		}
	}
	for i, r := range f.Routes {
		for j, h := range r.Hosts {
			if strings.Contains(h, ":") {
				problems.Add(fmt.Sprintf("routes[%d].hosts[%d]", i, j), "a host with a port cannot be served to proxies: %q", h)
			}
		}
		if r.DefaultClass != "" {
			problems.Add(fmt.Sprintf("routes[%d].as", i), "proxies do not support classes")
		}
	}
	for i := range f.Pools {
		if p := &f.Pools[i]; p.Chain != nil || p.Origin != "" || p.Retries != (config.Retries{}) {
			problems.Add(fmt.Sprintf("pools[%d]", i), "chain, origin and retries apply to sidecars only: they are not served to proxies")
		}
		completeReports(&f.Pools[i].Reports)
		completeMembers(filepath.Dir(path), fmt.Sprintf("pools[%d].members.", i), &f.Pools[i].Members, problems.Add)
		if f.Pools[i].Reports.Interval < 0 {
			problems.Add(fmt.Sprintf("pools[%d].reports.every", i), "must not be negative")
		}
		if f.Pools[i].Name == RouteName {
			problems.Add(fmt.Sprintf("pools[%d].name", i), "%q is reserved for the common listener", RouteName)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// Limits of a proxy's connection.
const (
	maxRequestBytes   = 4 << 20          // maximum size of a request
	maxStreamsPerConn = 100              // concurrent streams on one connection
	keepaliveIdle     = 10 * time.Second // idle time before a keepalive ping
	keepaliveTimeout  = 5 * time.Second
)

// Serve runs the control service until the context ends.
func Serve(ctx context.Context, f *File, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Every response is garbage once it is written: at 100% the collector took a fifth of the CPU time with 1,000 proxies.
	debug.SetGCPercent(400)
	clock := routing.NewClock()
	hub := xdsserver.NewHub(clock.Now)
	watcher, err := filewatch.New(ctx, log)
	if err != nil {
		return err
	}
	creds, identify := insecure.NewCredentials(), xdsserver.Authorize(xdsserver.AllowAll)
	if f.TLS != nil {
		certificates, err := watchCertificates(ctx, watcher, f.TLS, log)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		creds, identify = certificates.credentials(), f.TLS.identify
	}
	server := grpc.NewServer(grpc.Creds(creds), grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveIdle, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}))
	var listeners []net.Listener
	for _, l := range f.Listeners {
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			return err
		}
		defer ln.Close()
		listeners = append(listeners, ln)
	}
	service, err := Start(ctx, f, watcher, hub, clock, log)
	if err != nil {
		return err
	}
	xdsserver.Register(server, hub, service.Reports(), identify, log)
	if f.Admin != "" {
		if err := serveAdmin(ctx, f.Admin, service, log); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	serveErr := make(chan error, len(listeners))
	for _, ln := range listeners {
		go func() { serveErr <- server.Serve(ln) }()
	}
	log.Info("serving", "name", f.Name, "listeners", len(listeners), "pools", len(f.Pools), "routes", len(f.Routes))
	select {
	case <-ctx.Done():
	case err = <-serveErr:
	}
	// Streams never end on their own, so there is no graceful stop: proxies keep their resources and connect to another control
	// service.
	server.Stop()
	if errors.Is(err, grpc.ErrServerStopped) {
		err = nil
	}
	log.Info("stopped")
	return err
}
