package etcdsource

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"kitewood/balance"
	"kitewood/internal/membership"
	"kitewood/internal/routing"
)

// Options configure a watch.
type Options struct {
	Endpoints []string // host:port or URL
	Prefix    string
	Form      string // FormPlain or FormNaming
	User      string
	Password  string
	TLS       *tls.Config
	Seed      uint64 // of the jitter between attempts
	Log       *slog.Logger
}

// Receiver receives the updates of a source. ApplyList and ApplyChanges return whether the update was accepted, as those of
// membership.Merger do.
type Receiver interface {
	// ApplyList receives a full list, with the revision at which each name was last written.
	ApplyList(at membership.Position, list []routing.Member, written map[string]int64) bool
	// ApplyChanges receives the changes of one revision.
	ApplyChanges(at membership.Position, changes []routing.Member) bool
	// SourceAlive reports that the watch has responded without a change.
	SourceAlive()
	// SourceLost reports that the watch has ended.
	SourceLost()
}

const (
	idleTimeout     = time.Second     // without a response, after which progress of the watch is requested
	progressTimeout = time.Second     // without a response to that request, after which the watch counts as dead
	requestTimeout  = 2 * time.Second // for a list, and for the creation of a watch
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond // with a jitter of 50 % either way; short, as few services watch a cluster
	maxListBytes    = 256 << 20              // response size of a list
)

// source is the state of the watch of a prefix.
type source struct {
	opts      Options
	receiver  Receiver
	history   string
	revision  int64                     // newest revision that was accepted
	members   map[string]routing.Member // by name; a key whose value has become invalid keeps its last valid one
	rollbacks int                       // how often the revision went backwards; each time starts a new history
}

// Watch watches a prefix until the context ends and passes the updates to a receiver. It returns an error only if the options
// are invalid.
func Watch(ctx context.Context, o Options, receiver Receiver) error {
	// One client for each etcd member: the choice of the member is made here, where the revisions of the others are known.
	var clients []*clientv3.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for _, endpoint := range o.Endpoints {
		c, err := clientv3.New(clientv3.Config{Endpoints: []string{endpoint}, Username: o.User, Password: o.Password, TLS: o.TLS,
			DialTimeout: requestTimeout, DialKeepAliveTime: 10 * time.Second, DialKeepAliveTimeout: 3 * time.Second, Context: ctx, Logger: zap.NewNop(),
			MaxCallRecvMsgSize: maxListBytes, DialOptions: []grpc.DialOption{grpc.WithDisableServiceConfig()}})
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("etcd at %s: %w", endpoint, err)
		}
		clients = append(clients, c)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	s := &source{opts: o, receiver: receiver, members: map[string]routing.Member{}}
	for n, backoff := rng.IntN(len(clients)), minBackoff; ; {
		start := time.Now()
		err := s.listAndWatch(ctx, clients[n])
		if ctx.Err() != nil {
			return nil
		}
		receiver.SourceLost()
		o.Log.Warn("etcd watch ended", "endpoint", o.Endpoints[n], "revision", s.revision, "error", err)
		if time.Since(start) > idleTimeout+progressTimeout { // the watch had been established
			backoff = minBackoff
		}
		if !errors.Is(err, rpctypes.ErrCompacted) { // after a compaction the list is read again at once from the same member, which is healthy
			n = (n + 1) % len(clients)
			select {
			case <-time.After(backoff/2 + time.Duration(rng.Int64N(int64(backoff)))):
			case <-ctx.Done():
				return nil
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// withTimeout calls a function with a context that ends after requestTimeout.
func withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return call(ctx)
}

// listAndWatch reads the list from one member and watches from its revision on. It returns when the watch ends.
func (s *source) listAndWatch(ctx context.Context, c *clientv3.Client) error {
	var list *clientv3.GetResponse
	if err := withTimeout(ctx, func(ctx context.Context) (err error) {
		list, err = c.Get(ctx, s.opts.Prefix, clientv3.WithPrefix())
		return err
	}); err != nil {
		return err
	}
	if err := s.applyList(list); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx = clientv3.WithRequireLeader(ctx)
	// clientv3's Watch blocks without a time limit until the member confirms the creation of the watch. It runs in a goroutine,
	// as a member that stops responding after the list would otherwise block this loop.
	opened := make(chan clientv3.WatchChan, 1)
	go func() {
		opened <- c.Watch(ctx, s.opts.Prefix, clientv3.WithPrefix(), clientv3.WithRev(list.Header.Revision+1), clientv3.WithProgressNotify(),
			clientv3.WithCreatedNotify(), clientv3.WithFragment())
	}()
	var events clientv3.WatchChan
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	for awaiting := true; ; { // the creation of the watch is awaited like the response to a progress request
		select {
		case events = <-opened:
		case r, open := <-events:
			switch {
			case !open:
				return errors.New("watch closed")
			case r.Err() != nil:
				return r.Err()
			case r.Canceled:
				return errors.New("watch cancelled")
			}
			if err := s.handleResponse(list.Header.ClusterId, r); err != nil {
				return err
			}
			awaiting = false
			timer.Reset(idleTimeout)
		case <-timer.C:
			if awaiting {
				return errors.New("watch did not respond in time")
			}
			// An idle watch cannot be told from a dead one, or from the watch of a cluster that was restored to an earlier
			// revision. The read is linearizable, so a member that lags behind the cluster, possibly for long,
			// cannot respond to it.
			awaiting = true
			timer.Reset(progressTimeout)
			go func() {
				readCtx, cancel := context.WithTimeout(ctx, progressTimeout)
				defer cancel()
				if _, err := c.Get(readCtx, s.opts.Prefix, clientv3.WithCountOnly()); err == nil {
					c.RequestProgress(ctx)
				}
			}()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// applyList passes a full list to the receiver.
func (s *source) applyList(r *clientv3.GetResponse) error {
	history := fmt.Sprintf("%x", r.Header.ClusterId)
	if s.rollbacks > 0 {
		history += fmt.Sprintf("-%d", s.rollbacks)
	}
	if history == s.history && r.Header.Revision < s.revision {
		// The read is linearizable, so this is not the response of a member that lags: the cluster was restored in place, under
		// its old ID.
		s.rollbacks++
		history = fmt.Sprintf("%x-%d", r.Header.ClusterId, s.rollbacks)
	}
	members, written := map[string]routing.Member{}, map[string]int64{}
	for _, kv := range r.Kvs {
		if m, ok := s.decodeInto(members, kv); ok {
			written[m.Name] = kv.ModRevision
		}
	}
	all := make([]routing.Member, 0, len(members))
	for _, m := range members {
		all = append(all, m)
	}
	if !s.receiver.ApplyList(membership.Position{History: history, Revision: r.Header.Revision}, all, written) {
		return fmt.Errorf("list of revision %d was not accepted", r.Header.Revision)
	}
	s.history, s.revision, s.members = history, r.Header.Revision, members
	s.opts.Log.Info("endpoint list read from etcd", "prefix", s.opts.Prefix, "destinations", len(all), "history", history, "revision", s.revision)
	return nil
}

// memberName is the part of a key after the prefix.
func (s *source) memberName(key []byte) string { return strings.TrimPrefix(string(key), s.opts.Prefix) }

// decodeInto decodes a key into a list. A key whose value is invalid keeps its last valid value, as it has not been deleted.
func (s *source) decodeInto(list map[string]routing.Member, kv *mvccpb.KeyValue) (routing.Member, bool) {
	name := s.memberName(kv.Key)
	m, err := Decode(s.opts.Form, name, kv.Value)
	if err != nil {
		s.opts.Log.Error("ignoring an invalid endpoint in etcd", "key", string(kv.Key), "revision", kv.ModRevision, "error", err)
		old, ok := s.members[name]
		if ok {
			list[name] = old
		}
		return old, false
	}
	list[name] = m
	return m, true
}

// handleResponse passes the changes in a response of the watch to the receiver.
func (s *source) handleResponse(cluster uint64, r clientv3.WatchResponse) error {
	if r.Header.ClusterId != cluster {
		return fmt.Errorf("cluster ID changed: got %x, want %x", r.Header.ClusterId, cluster)
	}
	if len(r.Events) == 0 {
		if r.Header.Revision < s.revision {
			return fmt.Errorf("member is at revision %d, behind %d", r.Header.Revision, s.revision)
		}
		s.receiver.SourceAlive()
		return nil
	}
	for i := 0; i < len(r.Events); { // one update for each revision, so that a transaction is applied as a whole
		revision := r.Events[i].Kv.ModRevision
		changed := map[string]routing.Member{}
		for ; i < len(r.Events) && r.Events[i].Kv.ModRevision == revision; i++ {
			e := r.Events[i]
			if e.Type == clientv3.EventTypeDelete {
				name := s.memberName(e.Kv.Key)
				changed[name] = routing.Member{Name: name, State: balance.Gone}
				delete(s.members, name)
			} else if m, ok := s.decodeInto(s.members, e.Kv); ok {
				changed[m.Name] = m
			}
		}
		if revision <= s.revision {
			continue
		}
		all := make([]routing.Member, 0, len(changed))
		for _, m := range changed {
			all = append(all, m)
		}
		if !s.receiver.ApplyChanges(membership.Position{History: s.history, Revision: revision}, all) {
			return fmt.Errorf("changes of revision %d were not accepted", revision)
		}
		s.revision = revision
	}
	return nil
}
