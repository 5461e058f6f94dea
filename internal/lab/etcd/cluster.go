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

	"kitewood/internal/lab/child"
)

// Options configures a Cluster.
type Options struct {
	Members          int // number of members; 0 means 1
	User             string
	Password         string              // if set, calls without a token from Authenticate are rejected
	ServerOptions    []grpc.ServerOption // passed to each member's gRPC server, for example TLS credentials
	ProgressInterval time.Duration       // between progress notifications of idle watches that request them; 0 means 10 minutes, etcd's default
}

// Cluster is an emulated etcd cluster: one store, served by members that each listen on a loopback address. It is safe for
// concurrent use.
type Cluster struct {
	opts    Options
	Members []*Member

	mu           sync.Mutex
	id           uint64
	store        *store
	changed      chan struct{} // closed at the next change of the store or of a member's applied revision
	activeLeases map[int64]*lease
	nextLeaseID  int64
}

// Member is one server of a Cluster.
type Member struct {
	Address  string
	cluster  *Cluster
	id       uint64
	reserved *child.Address // keeps the port while the member is stopped; nil once the cluster has stopped

	server       *grpc.Server
	ln           net.Listener
	resumed      chan struct{} // closed by Resume; nil unless the member is paused
	appliedLimit int64         // newest revision that the member applies; 0 means no limit
}

// New starts a Cluster with all its members.
func New(o Options) (*Cluster, error) {
	c := &Cluster{opts: o, id: 1, store: newStore(), changed: make(chan struct{}), activeLeases: map[int64]*lease{}, nextLeaseID: 1}
	for n := range max(o.Members, 1) {
		reserved, err := child.Reserve()
		if err != nil {
			c.Stop()
			return nil, err
		}
		m := &Member{cluster: c, id: uint64(n + 1), Address: reserved.String(), reserved: reserved}
		c.Members = append(c.Members, m)
		if err := m.Start(); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// Addresses returns the addresses of all members.
func (c *Cluster) Addresses() (out []string) {
	for _, m := range c.Members {
		out = append(out, m.Address)
	}
	return out
}

// Stop stops all members and the lease timers, and releases the members' addresses.
func (c *Cluster) Stop() {
	for _, m := range c.Members {
		m.Stop()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.activeLeases {
		l.timer.Stop()
	}
	for _, m := range c.Members {
		m.reserved.Release()
		m.reserved = nil
	}
}

// notify wakes all goroutines that wait for a change. The caller holds c.mu.
func (c *Cluster) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// serve starts a gRPC server with etcd's services on a listener.
func (m *Member) serve(ln net.Listener) {
	g := grpc.NewServer(append([]grpc.ServerOption{grpc.MaxSendMsgSize(1 << 30), grpc.UnaryInterceptor(m.interceptUnary), grpc.StreamInterceptor(m.interceptStream)},
		m.cluster.opts.ServerOptions...)...)
	etcdserverpb.RegisterKVServer(g, &kvServer{member: m})
	etcdserverpb.RegisterWatchServer(g, &watchServer{member: m})
	etcdserverpb.RegisterLeaseServer(g, &leaseServer{member: m})
	etcdserverpb.RegisterMaintenanceServer(g, &maintenanceServer{member: m})
	etcdserverpb.RegisterAuthServer(g, &authServer{member: m})
	m.cluster.mu.Lock()
	m.server, m.ln = g, ln
	m.cluster.mu.Unlock()
	go g.Serve(ln)
}

// Stop stops a member and closes its connections. Its address stays reserved for Start.
func (m *Member) Stop() {
	m.Resume() // calls on a paused member would never end
	m.cluster.mu.Lock()
	g := m.server
	m.server = nil
	m.cluster.mu.Unlock()
	if g != nil {
		m.ln.Close() // g.Stop closes it only if g.Serve has already been called
		g.Stop()
	}
}

// Start starts a stopped member again at its previous address.
func (m *Member) Start() error {
	ln, err := net.Listen("tcp", m.Address)
	if err != nil {
		return err
	}
	m.serve(ln)
	return nil
}

// Restart stops a member, which closes its connections, and starts it again at the same address.
func (m *Member) Restart() error {
	m.Stop()
	return m.Start()
}

// Pause makes a member answer nothing until Resume is called. Its connections stay open.
func (m *Member) Pause() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.resumed == nil {
		m.resumed = make(chan struct{})
	}
}

// Resume ends Pause.
func (m *Member) Resume() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.resumed != nil {
		close(m.resumed)
		m.resumed = nil
	}
}

// PauseApply makes a member apply no further revision until ResumeApply is called. As in etcd, its watches and serializable
// reads then stay at an old revision and its linearizable reads wait.
func (m *Member) PauseApply() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.appliedLimit == 0 {
		m.appliedLimit = m.cluster.store.revision
	}
}

// ResumeApply ends PauseApply.
func (m *Member) ResumeApply() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.appliedLimit = 0
	m.cluster.notify()
}

// applied returns the newest revision that the member has applied. The caller holds the cluster's lock.
func (m *Member) applied() int64 {
	if m.appliedLimit > 0 {
		return min(m.appliedLimit, m.cluster.store.revision)
	}
	return m.cluster.store.revision
}

// waitWhilePaused blocks until the member is no longer paused or the context ends.
func (m *Member) waitWhilePaused(ctx context.Context) error {
	m.cluster.mu.Lock()
	resumed := m.resumed
	m.cluster.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// authToken is the token that Authenticate returns.
const authToken = "stand-in.token"

// checkToken rejects calls without a valid token if the cluster has a password. Authenticate itself needs none.
func (m *Member) checkToken(ctx context.Context, method string) error {
	if m.cluster.opts.Password == "" || method == etcdserverpb.Auth_Authenticate_FullMethodName {
		return nil
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if got := md.Get(rpctypes.TokenFieldNameGRPC); len(got) == 0 || got[0] != authToken {
		return rpctypes.ErrGRPCInvalidAuthToken
	}
	return nil
}

// interceptUnary checks the token and delays the request and the response while the member is paused.
func (m *Member) interceptUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := m.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	if err := m.checkToken(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	out, err := next(ctx, req)
	if pauseErr := m.waitWhilePaused(ctx); pauseErr != nil { // paused during the call
		return nil, pauseErr
	}
	return out, err
}

// interceptStream checks the token. Stream handlers themselves wait while the member is paused.
func (m *Member) interceptStream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := m.checkToken(s.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, s)
}

// Snapshot is a backup: a copy of the cluster's data at one revision.
type Snapshot struct{ store *store }

// Revision returns the revision of the last write in the snapshot.
func (s Snapshot) Revision() int64 { return s.store.revision }

// Backup returns a Snapshot of the current data.
func (c *Cluster) Backup() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Snapshot{c.store.clone()}
}

// Restore replaces the cluster's data and revision with those of a backup and changes the cluster id, as etcd's restore
// tool does. The members are restarted at their addresses.
func (c *Cluster) Restore(s Snapshot) error { return c.restore(s, 1) }

// RestoreInPlace is Restore with the cluster id unchanged. etcd derives the id from the members' addresses and the cluster
// token, so it stays the same if an operator restores with the same ones.
func (c *Cluster) RestoreInPlace(s Snapshot) error { return c.restore(s, 0) }

// restore replaces the data and restarts the members. idIncrement is added to the cluster id.
func (c *Cluster) restore(s Snapshot, idIncrement uint64) error {
	for _, m := range c.Members {
		m.Stop()
	}
	c.mu.Lock()
	c.id += idIncrement
	c.store = s.store.clone()
	for _, l := range c.activeLeases {
		l.timer.Stop()
	}
	clear(c.activeLeases)
	for id := range c.store.leaseKeys { // a new leader renews each lease for its full TTL
		c.startLeaseTimer(id)
	}
	for _, m := range c.Members {
		m.appliedLimit = 0
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

// Revision returns the revision of the last write.
func (c *Cluster) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.revision
}

// Compact discards the history before a revision.
func (c *Cluster) Compact(revision int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.notify()
	return c.store.compact(revision)
}

// header returns the header of a response. The caller holds the cluster's lock.
func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: m.cluster.id, MemberId: m.id, Revision: m.applied(), RaftTerm: 1}
}

// Put writes a key directly to the store, whatever state the members are in, and returns the new revision.
func (c *Cluster) Put(key, value string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.store.newBatch()
	b.put(&etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value)})
	b.commit()
	c.notify()
	return c.store.revision
}

// Delete deletes a key directly from the store, whatever state the members are in, and returns the new revision.
func (c *Cluster) Delete(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.store.newBatch()
	b.deleteRange(&etcdserverpb.DeleteRangeRequest{Key: []byte(key)})
	b.commit()
	c.notify()
	return c.store.revision
}
