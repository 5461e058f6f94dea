package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"kitewood/balance"
	"kitewood/internal/config"
	"kitewood/internal/directory"
	"kitewood/internal/etcdsource"
	"kitewood/internal/filewatch"
	"kitewood/internal/listfile"
	"kitewood/internal/membership"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
	"kitewood/internal/transport"
)

// Names of membership sources, in the order of precedence between reports of equal rank: first the file an operator writes,
// then the fastest source.
const (
	sourceFile      = "file"
	sourceEtcd      = "etcd"
	sourceDiscovery = "discovery"
)

// batchInterval is the minimum time between two published updates: changes in between are batched. The first change after a
// pause is published at once.
const batchInterval = 10 * time.Millisecond

// Bounds of the random delay before a lost discovery watch is reopened. The jitter keeps control services that lost discovery
// at the same time from reconnecting at the same time.
const (
	minRewatchDelay = 300 * time.Millisecond
	maxRewatchDelay = 1900 * time.Millisecond
)

// members merges a pool's membership sources and publishes the result to the pool's event loop and, if configured, to sidecars
// over the discovery protocol.
type members struct {
	ctx    context.Context
	conf   *config.Pool
	clock  routing.Clock
	loop   *routing.Loop
	log    *slog.Logger
	server *directory.Server // nil if the list is not served
	rng    *rand.Rand

	mu          sync.Mutex
	merger      *membership.Merger
	version     int64         // of the last update sent to the event loop
	publishedAt time.Duration // when the event loop was last updated
	timer       *time.Timer
	changed     chan struct{} // closed and replaced at each change
}

var _ routing.Discovery = (*members)(nil)

// Watch does nothing, as start has begun to watch the sources. It implements routing.Discovery.
func (m *members) Watch(int64) {}

// newMembers returns the members of a pool; start starts its sources.
func newMembers(ctx context.Context, conf *config.Pool, seed uint64, clock routing.Clock, loop *routing.Loop, log *slog.Logger) *members {
	var names []string
	for _, s := range []struct {
		name string
		set  bool
	}{{sourceFile, conf.Members.File != ""}, {sourceEtcd, conf.Members.Etcd != nil}, {sourceDiscovery, conf.Members.Discovery != ""}} {
		if s.set {
			names = append(names, s.name)
		}
	}
	mergeConf := membership.Defaults(names...)
	if x := conf.Members.Merge; x != nil {
		mergeConf.StaleAfter, mergeConf.QuarantineBelow, mergeConf.QuarantineFor, mergeConf.FlapThreshold, mergeConf.FlapSuppression = x.StaleAfter.D(), x.HoldBelow, x.HoldFor.D(), x.FlapMax, x.FlapHold.D()
	}
	m := &members{ctx: ctx, conf: conf, clock: clock, loop: loop, log: log, rng: rand.New(rand.NewPCG(seed, 2)), merger: membership.New(mergeConf),
		changed: make(chan struct{})}
	if conf.Members.Serve != "" { // the start time distinguishes runs of the service
		m.server = directory.NewServer(uint64(clock.Now())^seed, log)
	}
	return m
}

// start starts the configured sources. A file that cannot be read is an error; the other sources are retried until they answer.
func (m *members) start(watcher *filewatch.Watcher) error {
	if m.server != nil {
		ln, err := net.Listen("tcp", m.conf.Members.Serve)
		if err != nil {
			return err
		}
		go m.server.Serve(m.ctx, ln)
	}
	if e := m.conf.Members.Etcd; e != nil {
		o, err := etcdOptions(e)
		if err != nil {
			return err
		}
		o.Seed, o.Log = m.rng.Uint64(), m.log
		go func() {
			if err := etcdsource.Watch(m.ctx, o, &etcdFeed{m}); err != nil {
				m.log.Error("cannot watch etcd", "error", err)
			}
		}()
	}
	if at := m.conf.Members.Discovery; at != "" {
		f := &feed{m: m, name: sourceDiscovery, history: at}
		f.discovery = transport.NewDiscoveryClient(m.ctx, at, f, m.log)
		f.discovery.Watch(0)
	}
	if path := m.conf.Members.File; path != "" {
		if _, err := listfile.Open(m.ctx, watcher, path, &feed{m: m, name: sourceFile, history: path}, m.log); err != nil {
			return err
		}
	}
	return nil
}

// etcdOptions returns the options of the etcd source. It reads the password and certificate files that the configuration names.
func etcdOptions(e *config.Etcd) (etcdsource.Options, error) {
	o := etcdsource.Options{Endpoints: e.Endpoints, Prefix: e.Prefix, Form: e.Form, User: e.User}
	if e.PasswordFile != "" {
		text, err := os.ReadFile(e.PasswordFile)
		if err != nil {
			return o, fmt.Errorf("etcd: %w", err)
		}
		o.Password = strings.TrimSpace(string(text))
	}
	if e.CA != "" {
		text, err := os.ReadFile(e.CA)
		if err != nil {
			return o, fmt.Errorf("etcd: %w", err)
		}
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
		if !o.TLS.RootCAs.AppendCertsFromPEM(text) {
			return o, errors.New("etcd: " + e.CA + " contains no certificate")
		}
	}
	if e.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(e.Certificate, e.Key)
		if err != nil {
			return o, fmt.Errorf("etcd: %w", err)
		}
		o.TLS.Certificates = []tls.Certificate{pair}
	}
	return o, nil
}

// update applies a change from a source to the merger and publishes what follows from it.
func (m *members) update(apply func(now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	apply(now)
	m.publish(now)
}

// publish sends merged changes to the event loop and the discovery server, and schedules the next run when one is due.
// The caller holds m.mu.
func (m *members) publish(now time.Duration) {
	if m.ctx.Err() != nil || !m.merger.Initialized() {
		return
	}
	if wait := m.publishedAt + batchInterval - now; wait > 0 { // more may follow: each update has the event loop go through the whole list
		m.schedule(wait)
		return
	}
	changed := m.merger.Merge(now)
	if m.version == 0 || len(changed) > 0 {
		m.version++
		m.publishedAt = now
		kind := balance.Delta
		if m.version == 1 {
			kind, changed = balance.Full, m.merger.List()
		}
		if m.server != nil {
			m.server.Publish(time.Now(), protocolEndpoints(changed))
		}
		close(m.changed)
		m.changed = make(chan struct{})
		m.loop.UpdateEndpoints(kind, m.version, changed)
	}
	if at, any := m.merger.NextDue(now); any {
		m.schedule(max(at-now, time.Millisecond))
	}
}

// schedule calls publish after a delay, replacing an earlier schedule. The caller holds m.mu.
func (m *members) schedule(after time.Duration) {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(after, func() { m.update(func(time.Duration) {}) })
}

// view returns the merged entries, the state of the sources and a channel that is closed at the next change.
func (m *members) view() ([]membership.EntryView, []membership.SourceView, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, sources := m.merger.View(m.clock.Now())
	return entries, sources, m.changed
}

// protocolStates maps states of the decision module to states of the discovery protocol.
var protocolStates = map[balance.State]protocol.State{balance.Ready: protocol.Ready, balance.Draining: protocol.Draining, balance.Gone: protocol.Gone}

// protocolEndpoints converts members to endpoints of the discovery protocol.
func protocolEndpoints(list []routing.Member) []protocol.Endpoint {
	out := make([]protocol.Endpoint, 0, len(list))
	for _, m := range list {
		out = append(out, protocol.Endpoint{Name: m.Name, Address: m.Address, Zone: m.Zone, Kind: m.Kind, Group: m.Cell, State: protocolStates[m.State],
			Weight: m.Weight, SinceMS: m.StartedAt.Milliseconds()})
	}
	return out
}

// feed passes endpoint lists of a source that has versions of its own to the merger. It implements
// routing.EndpointListReceiver.
type feed struct {
	m         *members
	name      string
	history   string
	discovery *transport.DiscoveryClient // watched again after a loss; nil for a source that cannot be lost

	// Guarded by m.mu.
	hasList   bool
	lastIndex int64
	resets    int // times its version went backwards: each starts another history
}

// UpdateEndpoints passes an endpoint list or a delta to the merger.
func (f *feed) UpdateEndpoints(kind balance.ListKind, index int64, list []routing.Member) {
	f.m.update(func(now time.Duration) {
		if kind != balance.Delta && f.hasList && index < f.lastIndex {
			f.resets++
		}
		at := membership.Position{History: fmt.Sprintf("%s#%d", f.history, f.resets), Revision: index}
		if kind == balance.Delta {
			if !f.m.merger.ApplyChanges(now, f.name, at, list) {
				f.m.merger.SourceAlive(now, f.name) // nothing has changed since that version
				return
			}
		} else {
			f.m.merger.ApplyList(now, f.name, at, list)
		}
		f.hasList, f.lastIndex = true, index
	})
}

// SourceLost marks the source as lost and schedules another watch.
func (f *feed) SourceLost() {
	f.m.update(func(now time.Duration) {
		f.m.merger.SourceLost(now, f.name)
		if f.discovery != nil && f.m.ctx.Err() == nil {
			last := f.lastIndex
			time.AfterFunc(minRewatchDelay+time.Duration(f.m.rng.Int64N(int64(maxRewatchDelay-minRewatchDelay))), func() { f.discovery.Watch(last) })
		}
	})
}

// etcdFeed passes lists and changes from etcd to the merger. It implements etcdsource.Receiver.
type etcdFeed struct{ m *members }

// ApplyList passes a full list to the merger and reports whether it was accepted.
func (f *etcdFeed) ApplyList(at membership.Position, list []routing.Member, written map[string]int64) (accepted bool) {
	f.m.update(func(now time.Duration) {
		accepted = f.m.merger.ApplyListWithRevisions(now, sourceEtcd, at, list, written)
	})
	return accepted
}

// ApplyChanges passes changes to the merger and reports whether they were accepted.
func (f *etcdFeed) ApplyChanges(at membership.Position, changes []routing.Member) (accepted bool) {
	f.m.update(func(now time.Duration) { accepted = f.m.merger.ApplyChanges(now, sourceEtcd, at, changes) })
	return accepted
}

// SourceAlive records that the watch is alive.
func (f *etcdFeed) SourceAlive() {
	f.m.update(func(now time.Duration) { f.m.merger.SourceAlive(now, sourceEtcd) })
}

// SourceLost records that the watch is lost.
func (f *etcdFeed) SourceLost() {
	f.m.update(func(now time.Duration) { f.m.merger.SourceLost(now, sourceEtcd) })
}
