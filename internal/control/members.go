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

// The sources, by precedence where their words are equal in rank: what an operator writes, then what is quickest.
const (
	fromFile      = "file"
	fromEtcd      = "etcd"
	fromDiscovery = "discovery"
)

// burst is how long changes are gathered after one was told. The first is told at once.
const burst = 10 * time.Millisecond

// Between two watches of discovery, so that services which lost it together do not ask together.
const (
	leastAgain = 300 * time.Millisecond
	mostAgain  = 1900 * time.Millisecond
)

// members merges a pool's sources and tells its Loop, and sidecars where the configuration says so.
type members struct {
	ctx    context.Context
	conf   *config.Pool
	clock  routing.Clock
	loop   *routing.Loop
	log    *slog.Logger
	server *directory.Server // nil if the list is not served
	rng    *rand.Rand

	mu      sync.Mutex
	merger  *membership.Merger
	version int64         // of what the Loop was told
	told    time.Duration // when the Loop was last told
	alarm   *time.Timer
	changed chan struct{} // closed at the next change
}

var _ routing.Discovery = (*members)(nil)

// Follow has nothing to do: sources are followed by themselves. It implements routing.Directory.
func (m *members) Watch(int64) {}

func newMembers(ctx context.Context, conf *config.Pool, seed uint64, clock routing.Clock, loop *routing.Loop, log *slog.Logger) *members {
	var names []string
	for _, s := range []struct {
		name string
		is   bool
	}{{fromFile, conf.Members.File != ""}, {fromEtcd, conf.Members.Etcd != nil}, {fromDiscovery, conf.Members.Discovery != ""}} {
		if s.is {
			names = append(names, s.name)
		}
	}
	c := membership.Defaults(names...)
	if x := conf.Members.Merge; x != nil {
		c.StaleAfter, c.QuarantineBelow, c.QuarantineFor, c.FlapThreshold, c.FlapSuppression = x.StaleAfter.D(), x.HoldBelow, x.HoldFor.D(), x.FlapMax, x.FlapHold.D()
	}
	m := &members{ctx: ctx, conf: conf, clock: clock, loop: loop, log: log, rng: rand.New(rand.NewPCG(seed, 2)), merger: membership.New(c),
		changed: make(chan struct{})}
	if conf.Members.Serve != "" { // a run of the service is known by the moment of its start
		m.server = directory.NewServer(uint64(clock.Now())^seed, log)
	}
	return m
}

// open starts the sources. A file that cannot be read is an error; the others are tried until they answer.
func (m *members) open(watcher *filewatch.Watcher) error {
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
				m.log.Error("etcd cannot be followed", "error", err)
			}
		}()
	}
	if at := m.conf.Members.Discovery; at != "" {
		f := &feed{m: m, name: fromDiscovery, history: at}
		f.again = transport.NewDiscoveryClient(m.ctx, at, f, m.log)
		f.again.Watch(0)
	}
	if path := m.conf.Members.File; path != "" {
		if _, err := listfile.Open(m.ctx, watcher, path, &feed{m: m, name: fromFile, history: path}, m.log); err != nil {
			return err
		}
	}
	return nil
}

// etcdOptions reads what the configuration names.
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
			return o, errors.New("etcd: " + e.CA + " holds no certificate")
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

// do lets a source say something and tells what follows from it.
func (m *members) do(say func(now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	say(now)
	m.tell(now)
}

// tell tells what has changed, and comes again when something is due. The lock is held.
func (m *members) tell(now time.Duration) {
	if m.ctx.Err() != nil || !m.merger.Initialized() {
		return
	}
	if wait := m.told + burst - now; wait > 0 { // more may come: telling the Loop costs a look at the whole list
		m.wake(wait)
		return
	}
	changed := m.merger.Merge(now)
	if m.version == 0 || len(changed) > 0 {
		m.version++
		m.told = now
		kind := balance.Delta
		if m.version == 1 {
			kind, changed = balance.Full, m.merger.List()
		}
		if m.server != nil {
			m.server.Publish(time.Now(), destinations(changed))
		}
		close(m.changed)
		m.changed = make(chan struct{})
		m.loop.UpdateEndpoints(kind, m.version, changed)
	}
	if at, any := m.merger.NextDue(now); any {
		m.wake(max(at-now, time.Millisecond))
	}
}

// wake has tell called again after a time. The lock is held.
func (m *members) wake(after time.Duration) {
	if m.alarm != nil {
		m.alarm.Stop()
	}
	m.alarm = time.AfterFunc(after, func() { m.do(func(time.Duration) {}) })
}

// view is what is known, and a channel that closes at the next change.
func (m *members) view() ([]membership.EntryView, []membership.SourceView, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, sources := m.merger.View(m.clock.Now())
	return entries, sources, m.changed
}

var states = map[balance.State]protocol.State{balance.Ready: protocol.Ready, balance.Draining: protocol.Draining, balance.Gone: protocol.Gone}

// destinations are members in discovery's words.
func destinations(all []routing.Member) []protocol.Endpoint {
	out := make([]protocol.Endpoint, 0, len(all))
	for _, d := range all {
		out = append(out, protocol.Endpoint{Name: d.Name, Address: d.Address, Zone: d.Zone, Kind: d.Kind, Group: d.Cell, State: states[d.State],
			Weight: d.Weight, SinceMS: d.StartedAt.Milliseconds()})
	}
	return out
}

// feed is a source that tells endpoint lists with versions of its own. It implements routing.Lists.
type feed struct {
	m       *members
	name    string
	history string
	again   *transport.DiscoveryClient // asked again where it is lost; nil for a source that is not lost

	// Of the members' lock.
	spoken bool
	last   int64
	fallen int // times that its version fell back: each is another history
}

// Pool takes an endpoint list.
func (f *feed) UpdateEndpoints(kind balance.ListKind, index int64, list []routing.Member) {
	f.m.do(func(now time.Duration) {
		if kind != balance.Delta && f.spoken && index < f.last {
			f.fallen++
		}
		at := membership.Position{History: fmt.Sprintf("%s#%d", f.history, f.fallen), Revision: index}
		if kind == balance.Delta {
			if !f.m.merger.ApplyChanges(now, f.name, at, list) {
				f.m.merger.SourceAlive(now, f.name) // nothing has changed since its version
				return
			}
		} else {
			f.m.merger.ApplyList(now, f.name, at, list)
		}
		f.spoken, f.last = true, index
	})
}

// Lost has the source asked again.
func (f *feed) SourceLost() {
	f.m.do(func(now time.Duration) {
		f.m.merger.SourceLost(now, f.name)
		if f.again != nil && f.m.ctx.Err() == nil {
			last := f.last
			time.AfterFunc(leastAgain+time.Duration(f.m.rng.Int64N(int64(mostAgain-leastAgain))), func() { f.again.Watch(last) })
		}
	})
}

// etcdFeed hands on what etcd says. It implements etcdsource.Taker.
type etcdFeed struct{ m *members }

// Whole takes a whole list.
func (f *etcdFeed) ApplyList(at membership.Position, list []routing.Member, written map[string]int64) (taken bool) {
	f.m.do(func(now time.Duration) { taken = f.m.merger.ApplyListWithRevisions(now, fromEtcd, at, list, written) })
	return taken
}

// Changed takes changes.
func (f *etcdFeed) ApplyChanges(at membership.Position, changes []routing.Member) (taken bool) {
	f.m.do(func(now time.Duration) { taken = f.m.merger.ApplyChanges(now, fromEtcd, at, changes) })
	return taken
}

// Alive notes that the watch answers.
func (f *etcdFeed) SourceAlive() {
	f.m.do(func(now time.Duration) { f.m.merger.SourceAlive(now, fromEtcd) })
}

// Lost notes that it does not.
func (f *etcdFeed) SourceLost() {
	f.m.do(func(now time.Duration) { f.m.merger.SourceLost(now, fromEtcd) })
}
