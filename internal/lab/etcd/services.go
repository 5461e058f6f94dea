package etcd

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

type kvServer struct {
	etcdserverpb.UnimplementedKVServer
	m *Member
}

// Range reads. A linearizable read waits until the member has all that was written before.
func (s *kvServer) Range(ctx context.Context, q *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for !q.Serializable && s.m.applied() < c.store.revision {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
			c.mu.Lock()
		case <-ctx.Done():
			c.mu.Lock()
			return nil, ctx.Err()
		}
	}
	out, err := c.store.read(q, s.m.applied())
	if err != nil {
		return nil, err
	}
	out.Header = s.m.header()
	return out, nil
}

// atLeader makes a change at the leader, whichever member it came to, and gives the answer with its header.
func atLeader[R any](s *kvServer, change func(*store) (R, error), head func(R, *etcdserverpb.ResponseHeader)) (R, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := change(c.store)
	if err != nil {
		return out, err
	}
	c.notify()
	h := s.m.header()
	h.Revision = c.store.revision
	head(out, h)
	return out, nil
}

// Put writes a key.
func (s *kvServer) Put(_ context.Context, q *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	return atLeader(s, func(st *store) (*etcdserverpb.PutResponse, error) {
		w := st.begin()
		defer w.end()
		return w.put(q)
	}, func(r *etcdserverpb.PutResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// DeleteRange deletes keys.
func (s *kvServer) DeleteRange(_ context.Context, q *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	return atLeader(s, func(st *store) (*etcdserverpb.DeleteRangeResponse, error) {
		w := st.begin()
		defer w.end()
		return w.deleteRange(q)
	}, func(r *etcdserverpb.DeleteRangeResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// Txn does one of two lists of operations.
func (s *kvServer) Txn(_ context.Context, q *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	return atLeader(s, func(st *store) (*etcdserverpb.TxnResponse, error) { return st.txn(q) },
		func(r *etcdserverpb.TxnResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// Compact forgets history.
func (s *kvServer) Compact(_ context.Context, q *etcdserverpb.CompactionRequest) (*etcdserverpb.CompactionResponse, error) {
	if err := s.m.c.Compact(q.Revision); err != nil {
		return nil, err
	}
	s.m.c.mu.Lock()
	defer s.m.c.mu.Unlock()
	return &etcdserverpb.CompactionResponse{Header: s.m.header()}, nil
}

// lease is one with its end.
type lease struct {
	ttl   int64
	ends  time.Time
	timer *time.Timer
}

type leaseServer struct {
	etcdserverpb.UnimplementedLeaseServer
	m *Member
}

// LeaseGrant grants a lease.
func (s *leaseServer) LeaseGrant(_ context.Context, q *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	id := q.ID
	for id == 0 || q.ID == 0 && c.store.leases[id] != nil {
		id = c.nextID
		c.nextID++
	}
	switch {
	case q.TTL > 9_000_000_000:
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	case c.store.leases[id] != nil:
		return nil, rpctypes.ErrGRPCLeaseExist
	}
	c.store.leases[id], c.store.ttl[id] = map[string]bool{}, max(q.TTL, 1)
	c.arm(id)
	return &etcdserverpb.LeaseGrantResponse{Header: s.m.header(), ID: id, TTL: c.store.ttl[id]}, nil
}

// arm has a lease end after its whole time from now. The lock is held.
func (c *Cluster) arm(id int64) {
	l := &lease{ttl: c.store.ttl[id]}
	l.ends = time.Now().Add(time.Duration(l.ttl) * time.Second)
	l.timer = time.AfterFunc(time.Until(l.ends), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.expiry[id] == l && !time.Now().Before(l.ends) {
			c.revoke(id)
		}
	})
	c.expiry[id] = l
}

// revoke ends a lease and deletes its keys, all at one revision. The lock is held.
func (c *Cluster) revoke(id int64) bool {
	keys, there := c.store.leases[id]
	if !there {
		return false
	}
	w := c.store.begin()
	for _, key := range sorted(keys) {
		w.deleteRange(&etcdserverpb.DeleteRangeRequest{Key: []byte(key)})
	}
	w.end()
	delete(c.store.leases, id)
	delete(c.store.ttl, id)
	if l := c.expiry[id]; l != nil {
		l.timer.Stop()
		delete(c.expiry, id)
	}
	c.notify()
	return true
}

func sorted(keys map[string]bool) []string {
	out := make([]string, 0, len(keys))
	for k := range keys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// LeaseRevoke ends a lease.
func (s *leaseServer) LeaseRevoke(_ context.Context, q *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.revoke(q.ID) {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	return &etcdserverpb.LeaseRevokeResponse{Header: s.m.header()}, nil
}

// LeaseKeepAlive renews leases; one that is gone is told with a TTL of 0.
func (s *leaseServer) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	c := s.m.c
	for {
		q, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = s.m.awake(stream.Context())
		}
		if err != nil {
			return err
		}
		c.mu.Lock()
		out := &etcdserverpb.LeaseKeepAliveResponse{Header: s.m.header(), ID: q.ID}
		if l := c.expiry[q.ID]; l != nil {
			out.TTL = l.ttl
			l.ends = time.Now().Add(time.Duration(l.ttl) * time.Second)
			l.timer.Reset(time.Until(l.ends))
		}
		c.mu.Unlock()
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// LeaseTimeToLive tells how long a lease has left.
func (s *leaseServer) LeaseTimeToLive(_ context.Context, q *etcdserverpb.LeaseTimeToLiveRequest) (*etcdserverpb.LeaseTimeToLiveResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &etcdserverpb.LeaseTimeToLiveResponse{Header: s.m.header(), ID: q.ID, TTL: -1}
	if l := c.expiry[q.ID]; l != nil {
		out.TTL, out.GrantedTTL = int64(time.Until(l.ends).Seconds()), l.ttl
		if q.Keys {
			for _, k := range sorted(c.store.leases[q.ID]) {
				out.Keys = append(out.Keys, []byte(k))
			}
		}
	}
	return out, nil
}

// LeaseLeases lists all leases.
func (s *leaseServer) LeaseLeases(context.Context, *etcdserverpb.LeaseLeasesRequest) (*etcdserverpb.LeaseLeasesResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &etcdserverpb.LeaseLeasesResponse{Header: s.m.header()}
	for id := range c.store.leases {
		out.Leases = append(out.Leases, &etcdserverpb.LeaseStatus{ID: id})
	}
	slices.SortFunc(out.Leases, func(a, b *etcdserverpb.LeaseStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

type maintenanceServer struct {
	etcdserverpb.UnimplementedMaintenanceServer
	m *Member
}

// Status tells how a member stands.
func (s *maintenanceServer) Status(context.Context, *etcdserverpb.StatusRequest) (*etcdserverpb.StatusResponse, error) {
	c := s.m.c
	c.mu.Lock()
	defer c.mu.Unlock()
	return &etcdserverpb.StatusResponse{Header: s.m.header(), Version: "3.6.0", Leader: 1, RaftIndex: uint64(c.store.revision),
		RaftAppliedIndex: uint64(s.m.applied()), RaftTerm: 1}, nil
}

type authServer struct {
	etcdserverpb.UnimplementedAuthServer
	m *Member
}

// Authenticate gives a token for the right name and password.
func (s *authServer) Authenticate(_ context.Context, q *etcdserverpb.AuthenticateRequest) (*etcdserverpb.AuthenticateResponse, error) {
	switch o := s.m.c.o; {
	case o.Password == "":
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	case q.Name != o.User || q.Password != o.Password:
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	return &etcdserverpb.AuthenticateResponse{Token: token}, nil
}
