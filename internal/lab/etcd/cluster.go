package etcd

import (
	"context"
	"net"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// Options say how a Cluster is offered.
type Options struct {
	Members          int // 1 if 0
	User             string
	Password         string              // if set, whoever has no token of it is refused
	ServerOptions    []grpc.ServerOption // TLS, say
	ProgressInterval time.Duration       // between progress notifications of quiet watches that ask for them; 10 minutes if 0, as etcd has it
}

// Cluster is a store with members that offer it, each at an address of loopback. Any goroutine may call it.
type Cluster struct {
	o       Options
	Members []*Member

	mu      sync.Mutex
	id      uint64
	store   *store
	changed chan struct{} // closed at the next change of the store or of what a member has applied
	expiry  map[int64]*lease
	nextID  int64
}

// Member is one of them.
type Member struct {
	Address string
	c       *Cluster
	id      uint64

	grpc   *grpc.Server
	ln     net.Listener
	frozen chan struct{} // closed when it goes on; nil while it does
	lag    int64         // it has applied no later revision; 0 if it has all
}

// New starts a Cluster.
func New(o Options) (*Cluster, error) {
	c := &Cluster{o: o, id: 1, store: newStore(), changed: make(chan struct{}), expiry: map[int64]*lease{}, nextID: 1}
	for n := range max(o.Members, 1) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.Stop()
			return nil, err
		}
		m := &Member{c: c, id: uint64(n + 1), Address: ln.Addr().String()}
		c.Members = append(c.Members, m)
		m.serve(ln)
	}
	return c, nil
}

// Addresses are those of all members.
func (c *Cluster) Addresses() (out []string) {
	for _, m := range c.Members {
		out = append(out, m.Address)
	}
	return out
}

// Stop ends all members.
func (c *Cluster) Stop() {
	for _, m := range c.Members {
		m.Stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.expiry {
		l.timer.Stop()
	}
}

// notify wakes whoever waits for a change. The lock is held.
func (c *Cluster) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// serve offers the services at a listener.
func (m *Member) serve(ln net.Listener) {
	g := grpc.NewServer(append([]grpc.ServerOption{grpc.MaxSendMsgSize(1 << 30), grpc.UnaryInterceptor(m.unary), grpc.StreamInterceptor(m.stream)},
		m.c.o.ServerOptions...)...)
	etcdserverpb.RegisterKVServer(g, &kvServer{m: m})
	etcdserverpb.RegisterWatchServer(g, &watchServer{m: m})
	etcdserverpb.RegisterLeaseServer(g, &leaseServer{m: m})
	etcdserverpb.RegisterMaintenanceServer(g, &maintenanceServer{m: m})
	etcdserverpb.RegisterAuthServer(g, &authServer{m: m})
	m.c.mu.Lock()
	m.grpc, m.ln = g, ln
	m.c.mu.Unlock()
	go g.Serve(ln)
}

// Stop ends a member and its connections.
func (m *Member) Stop() {
	m.Resume() // or its calls would never end
	m.c.mu.Lock()
	g := m.grpc
	m.grpc = nil
	m.c.mu.Unlock()
	if g != nil {
		m.ln.Close() // g knows it only once it serves
		g.Stop()
	}
}

// Start starts a member that was stopped, at its address.
func (m *Member) Start() error {
	ln, err := net.Listen("tcp", m.Address)
	if err != nil {
		return err
	}
	m.serve(ln)
	return nil
}

// Break ends a member's connections; it goes on at its address.
func (m *Member) Restart() error {
	m.Stop()
	return m.Start()
}

// Freeze has a member answer nothing, with its connections open, until Thaw.
func (m *Member) Pause() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.frozen == nil {
		m.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (m *Member) Resume() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.frozen != nil {
		close(m.frozen)
		m.frozen = nil
	}
}

// Lag has a member apply nothing new from now on: its watches and serializable reads stay behind and its linearizable reads
// wait, as etcd's do. CatchUp ends it.
func (m *Member) PauseApply() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.lag == 0 {
		m.lag = m.c.store.revision
	}
}

// CatchUp ends Lag.
func (m *Member) ResumeApply() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.lag = 0
	m.c.notify()
}

// applied is the revision that a member has. The lock is held.
func (m *Member) applied() int64 {
	if m.lag > 0 {
		return min(m.lag, m.c.store.revision)
	}
	return m.c.store.revision
}

// awake waits while a member is frozen.
func (m *Member) awake(ctx context.Context) error {
	m.c.mu.Lock()
	frozen := m.frozen
	m.c.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// token is what Authenticate gives out.
const token = "stand-in.token"

// known refuses calls without a token where one is needed.
func (m *Member) known(ctx context.Context, method string) error {
	if m.c.o.Password == "" || method == etcdserverpb.Auth_Authenticate_FullMethodName {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if got := md.Get(rpctypes.TokenFieldNameGRPC); len(got) == 0 || got[0] != token {
		return rpctypes.ErrGRPCInvalidAuthToken
	}
	return nil
}

func (m *Member) unary(ctx context.Context, q any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := m.awake(ctx); err != nil {
		return nil, err
	}
	if err := m.known(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	out, err := next(ctx, q)
	if frozen := m.awake(ctx); frozen != nil { // it froze meanwhile
		return nil, frozen
	}
	return out, err
}

func (m *Member) stream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := m.known(s.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, s)
}

// Snapshot is the cluster's data at a moment, as a backup has it.
type Snapshot struct{ store *store }

// Revision is that of its last write.
func (s Snapshot) Revision() int64 { return s.store.revision }

// Backup takes a Snapshot.
func (c *Cluster) Backup() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Snapshot{c.store.clone()}
}

// Restore makes a cluster of a backup, as etcd's tool does: its data and revision, another cluster id. Members are started anew
// at their addresses.
func (c *Cluster) Restore(s Snapshot) error { return c.restore(s, 1) }

// RestoreInPlace is Restore under the old cluster id, which follows from the members' addresses and the token: where an operator
// gives the same ones, it is the same.
func (c *Cluster) RestoreInPlace(s Snapshot) error { return c.restore(s, 0) }

func (c *Cluster) restore(s Snapshot, id uint64) error {
	for _, m := range c.Members {
		m.Stop()
	}
	c.mu.Lock()
	c.id += id
	c.store = s.store.clone()
	for _, l := range c.expiry {
		l.timer.Stop()
	}
	clear(c.expiry)
	for id := range c.store.leases { // a new leader gives each its whole time
		c.arm(id)
	}
	for _, m := range c.Members {
		m.lag = 0
	}
	c.notify()
	c.mu.Unlock()
	for _, m := range c.Members {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Revision is that of the last write.
func (c *Cluster) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.revision
}

// Compact forgets the history before a revision.
func (c *Cluster) Compact(revision int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.notify()
	return c.store.compact(revision)
}

// header is that of an answer. The lock is held.
func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: m.c.id, MemberId: m.id, Revision: m.applied(), RaftTerm: 1}
}

// Put writes a key, whatever state the members are in, and gives the revision.
func (c *Cluster) Put(key, value string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.store.begin()
	w.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value)})
	w.end()
	c.notify()
	return c.store.revision
}

// Delete deletes a key likewise.
func (c *Cluster) Delete(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.store.begin()
	w.deleteRange(&etcdserverpb.DeleteRangeRequest{Key: []byte(key)})
	w.end()
	c.notify()
	return c.store.revision
}
