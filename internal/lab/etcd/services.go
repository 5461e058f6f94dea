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

// kvServer implements etcd's KV service.
type kvServer struct {
	etcdserverpb.UnimplementedKVServer
	member *Member
}

// Range reads keys. A linearizable read waits until the member has applied all previous writes.
func (s *kvServer) Range(ctx context.Context, req *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for !req.Serializable && s.member.applied() < c.store.revision {
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
	out, err := c.store.read(req, s.member.applied())
	if err != nil {
		return nil, err
	}
	out.Header = s.member.header()
	return out, nil
}

// applyAtLeader applies a change to the store, as the leader would whichever member received the request. It sets the
// header of the response through setHeader.
func applyAtLeader[R any](s *kvServer, change func(*store) (R, error), setHeader func(R, *etcdserverpb.ResponseHeader)) (R, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := change(c.store)
	if err != nil {
		return out, err
	}
	c.notify()
	h := s.member.header()
	h.Revision = c.store.revision
	setHeader(out, h)
	return out, nil
}

// Put writes a key.
func (s *kvServer) Put(_ context.Context, req *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	return applyAtLeader(s, func(st *store) (*etcdserverpb.PutResponse, error) {
		b := st.newBatch()
		defer b.commit()
		return b.put(req)
	}, func(r *etcdserverpb.PutResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// DeleteRange deletes keys.
func (s *kvServer) DeleteRange(_ context.Context, req *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	return applyAtLeader(s, func(st *store) (*etcdserverpb.DeleteRangeResponse, error) {
		b := st.newBatch()
		defer b.commit()
		return b.deleteRange(req)
	}, func(r *etcdserverpb.DeleteRangeResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// Txn runs the success or the failure branch of a transaction.
func (s *kvServer) Txn(_ context.Context, req *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	return applyAtLeader(s, func(st *store) (*etcdserverpb.TxnResponse, error) { return st.txn(req) },
		func(r *etcdserverpb.TxnResponse, h *etcdserverpb.ResponseHeader) { r.Header = h })
}

// Compact discards the history before a revision.
func (s *kvServer) Compact(_ context.Context, req *etcdserverpb.CompactionRequest) (*etcdserverpb.CompactionResponse, error) {
	if err := s.member.cluster.Compact(req.Revision); err != nil {
		return nil, err
	}
	s.member.cluster.mu.Lock()
	defer s.member.cluster.mu.Unlock()
	return &etcdserverpb.CompactionResponse{Header: s.member.header()}, nil
}

// lease is a granted lease with its expiry timer.
type lease struct {
	ttl       int64
	expiresAt time.Time
	timer     *time.Timer
}

// leaseServer implements etcd's Lease service.
type leaseServer struct {
	etcdserverpb.UnimplementedLeaseServer
	member *Member
}

// LeaseGrant grants a lease and starts its timer.
func (s *leaseServer) LeaseGrant(_ context.Context, req *etcdserverpb.LeaseGrantRequest) (*etcdserverpb.LeaseGrantResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	id := req.ID
	for id == 0 || req.ID == 0 && c.store.leaseKeys[id] != nil {
		id = c.nextLeaseID
		c.nextLeaseID++
	}
	switch {
	case req.TTL > 9_000_000_000:
		return nil, rpctypes.ErrGRPCLeaseTTLTooLarge
	case c.store.leaseKeys[id] != nil:
		return nil, rpctypes.ErrGRPCLeaseExist
	}
	c.store.leaseKeys[id], c.store.leaseTTLs[id] = map[string]bool{}, max(req.TTL, 1)
	c.startLeaseTimer(id)
	return &etcdserverpb.LeaseGrantResponse{Header: s.member.header(), ID: id, TTL: c.store.leaseTTLs[id]}, nil
}

// startLeaseTimer lets a lease expire after its full TTL, counted from now. The caller holds c.mu.
func (c *Cluster) startLeaseTimer(id int64) {
	l := &lease{ttl: c.store.leaseTTLs[id]}
	l.expiresAt = time.Now().Add(time.Duration(l.ttl) * time.Second)
	l.timer = time.AfterFunc(time.Until(l.expiresAt), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.activeLeases[id] == l && !time.Now().Before(l.expiresAt) {
			c.revoke(id)
		}
	})
	c.activeLeases[id] = l
}

// revoke ends a lease and deletes its keys, all at one revision. It reports whether the lease existed. The caller holds c.mu.
func (c *Cluster) revoke(id int64) bool {
	keys, ok := c.store.leaseKeys[id]
	if !ok {
		return false
	}
	b := c.store.newBatch()
	for _, key := range sortedKeys(keys) {
		b.deleteRange(&etcdserverpb.DeleteRangeRequest{Key: []byte(key)})
	}
	b.commit()
	delete(c.store.leaseKeys, id)
	delete(c.store.leaseTTLs, id)
	if l := c.activeLeases[id]; l != nil {
		l.timer.Stop()
		delete(c.activeLeases, id)
	}
	c.notify()
	return true
}

// sortedKeys returns the keys of a set in order.
func sortedKeys(keys map[string]bool) []string {
	out := make([]string, 0, len(keys))
	for k := range keys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// LeaseRevoke revokes a lease and deletes its keys.
func (s *leaseServer) LeaseRevoke(_ context.Context, req *etcdserverpb.LeaseRevokeRequest) (*etcdserverpb.LeaseRevokeResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.revoke(req.ID) {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	return &etcdserverpb.LeaseRevokeResponse{Header: s.member.header()}, nil
}

// LeaseKeepAlive renews leases. The reply for a lease that no longer exists has a TTL of 0.
func (s *leaseServer) LeaseKeepAlive(stream etcdserverpb.Lease_LeaseKeepAliveServer) error {
	c := s.member.cluster
	for {
		req, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = s.member.waitWhilePaused(stream.Context())
		}
		if err != nil {
			return err
		}
		c.mu.Lock()
		out := &etcdserverpb.LeaseKeepAliveResponse{Header: s.member.header(), ID: req.ID}
		if l := c.activeLeases[req.ID]; l != nil {
			out.TTL = l.ttl
			l.expiresAt = time.Now().Add(time.Duration(l.ttl) * time.Second)
			l.timer.Reset(time.Until(l.expiresAt))
		}
		c.mu.Unlock()
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// LeaseTimeToLive returns the remaining time of a lease, and its keys on request.
func (s *leaseServer) LeaseTimeToLive(_ context.Context, req *etcdserverpb.LeaseTimeToLiveRequest) (*etcdserverpb.LeaseTimeToLiveResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &etcdserverpb.LeaseTimeToLiveResponse{Header: s.member.header(), ID: req.ID, TTL: -1}
	if l := c.activeLeases[req.ID]; l != nil {
		out.TTL, out.GrantedTTL = int64(time.Until(l.expiresAt).Seconds()), l.ttl
		if req.Keys {
			for _, k := range sortedKeys(c.store.leaseKeys[req.ID]) {
				out.Keys = append(out.Keys, []byte(k))
			}
		}
	}
	return out, nil
}

// LeaseLeases lists all leases.
func (s *leaseServer) LeaseLeases(context.Context, *etcdserverpb.LeaseLeasesRequest) (*etcdserverpb.LeaseLeasesResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &etcdserverpb.LeaseLeasesResponse{Header: s.member.header()}
	for id := range c.store.leaseKeys {
		out.Leases = append(out.Leases, &etcdserverpb.LeaseStatus{ID: id})
	}
	slices.SortFunc(out.Leases, func(a, b *etcdserverpb.LeaseStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// maintenanceServer implements the status call of etcd's Maintenance service.
type maintenanceServer struct {
	etcdserverpb.UnimplementedMaintenanceServer
	member *Member
}

// Status returns the version, leader and revisions of a member.
func (s *maintenanceServer) Status(context.Context, *etcdserverpb.StatusRequest) (*etcdserverpb.StatusResponse, error) {
	c := s.member.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	return &etcdserverpb.StatusResponse{Header: s.member.header(), Version: "3.6.0", Leader: 1, RaftIndex: uint64(c.store.revision),
		RaftAppliedIndex: uint64(s.member.applied()), RaftTerm: 1}, nil
}

// authServer implements the authentication call of etcd's Auth service.
type authServer struct {
	etcdserverpb.UnimplementedAuthServer
	member *Member
}

// Authenticate returns a token for the correct user name and password.
func (s *authServer) Authenticate(_ context.Context, req *etcdserverpb.AuthenticateRequest) (*etcdserverpb.AuthenticateResponse, error) {
	switch o := s.member.cluster.opts; {
	case o.Password == "":
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	case req.Name != o.User || req.Password != o.Password:
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	return &etcdserverpb.AuthenticateResponse{Token: authToken}, nil
}
