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

// Options say what is followed.
type Options struct {
	Endpoints []string // host:port or URL
	Prefix    string
	Form      string // Plain or Naming
	User      string
	Password  string
	TLS       *tls.Config
	Seed      uint64 // of the spread of its attempts
	Log       *slog.Logger
}

// Taker takes what a source says; Whole and Changed tell whether it was taken, as membership.Merger does.
type Receiver interface {
	// Whole takes a list, with the revision at which each name was last written.
	ApplyList(at membership.Position, list []routing.Member, written map[string]int64) bool
	ApplyChanges(at membership.Position, changes []routing.Member) bool
	SourceAlive()
	SourceLost()
}

const (
	quiet   = time.Second     // without a response, after which a watch is asked for its progress
	dead    = time.Second     // without an answer to that, after which it is dead
	reading = 2 * time.Second // for a list, and for a watch to begin
	least   = 50 * time.Millisecond
	longest = 500 * time.Millisecond // between two attempts, half of it to half more: services that follow a cluster are few
	maxList = 256 << 20              // bytes of a list
)

// source is a prefix that is followed.
type source struct {
	o       Options
	take    Receiver
	history string
	last    int64                     // newest revision that was taken
	known   map[string]routing.Member // by name; what has become unreadable keeps its last word
	fallen  int                       // times that the revision fell back: each is another history
}

// Follow follows a prefix until the context ends. It returns an error only if the options are unusable.
func Watch(ctx context.Context, o Options, take Receiver) error {
	// One client for each endpoint: which one answers is decided here, where the others' revisions are known.
	var clients []*clientv3.Client
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for _, endpoint := range o.Endpoints {
		c, err := clientv3.New(clientv3.Config{Endpoints: []string{endpoint}, Username: o.User, Password: o.Password, TLS: o.TLS,
			DialTimeout: reading, DialKeepAliveTime: 10 * time.Second, DialKeepAliveTimeout: 3 * time.Second, Context: ctx, Logger: zap.NewNop(),
			MaxCallRecvMsgSize: maxList, DialOptions: []grpc.DialOption{grpc.WithDisableServiceConfig()}})
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("etcd at %s: %w", endpoint, err)
		}
		clients = append(clients, c)
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	s := &source{o: o, take: take, known: map[string]routing.Member{}}
	for n, pause := rng.IntN(len(clients)), least; ; {
		began := time.Now()
		err := s.follow(ctx, clients[n])
		if ctx.Err() != nil {
			return nil
		}
		take.SourceLost()
		o.Log.Warn("the watch of etcd has ended", "endpoint", o.Endpoints[n], "revision", s.last, "error", err)
		if time.Since(began) > quiet+dead { // it had a watch
			pause = least
		}
		if !errors.Is(err, rpctypes.ErrCompacted) { // that is no fault of the member: the list is read there at once
			n = (n + 1) % len(clients)
			select {
			case <-time.After(pause/2 + time.Duration(rng.Int64N(int64(pause)))):
			case <-ctx.Done():
				return nil
			}
			pause = min(2*pause, longest)
		}
	}
}

// within calls with a bound on its time.
func within(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, reading)
	defer cancel()
	return call(ctx)
}

// follow reads the list at one member and watches from there to the watch's end.
func (s *source) follow(ctx context.Context, c *clientv3.Client) error {
	var list *clientv3.GetResponse
	if err := within(ctx, func(ctx context.Context) (err error) {
		list, err = c.Get(ctx, s.o.Prefix, clientv3.WithPrefix())
		return err
	}); err != nil {
		return err
	}
	if err := s.list(list); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx = clientv3.WithRequireLeader(ctx)
	// Watch returns only once the member has said that the watch has begun, whatever time that takes: a member that stops
	// answering between the list and that word would hold all that follows here.
	opened := make(chan clientv3.WatchChan, 1)
	go func() {
		opened <- c.Watch(ctx, s.o.Prefix, clientv3.WithPrefix(), clientv3.WithRev(list.Header.Revision+1), clientv3.WithProgressNotify(),
			clientv3.WithCreatedNotify(), clientv3.WithFragment())
	}()
	var events clientv3.WatchChan
	alarm := time.NewTimer(reading)
	defer alarm.Stop()
	for asked := true; ; { // its beginning is waited for as an answer is
		select {
		case events = <-opened:
		case r, open := <-events:
			switch {
			case !open:
				return errors.New("the watch was closed")
			case r.Err() != nil:
				return r.Err()
			case r.Canceled:
				return errors.New("the watch was cancelled")
			}
			if err := s.heard(list.Header.ClusterId, r); err != nil {
				return err
			}
			asked = false
			alarm.Reset(quiet)
		case <-alarm.C:
			if asked {
				return errors.New("the watch is silent")
			}
			// A quiet watch and a dead one look alike; so does that of a cluster that was restored to before its revision.
			// The read is linearizable: a member that lags behind the cluster, and would for long, cannot answer it.
			asked = true
			alarm.Reset(dead)
			go func() {
				ask, cancel := context.WithTimeout(ctx, dead)
				defer cancel()
				if _, err := c.Get(ask, s.o.Prefix, clientv3.WithCountOnly()); err == nil {
					c.RequestProgress(ctx)
				}
			}()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// list takes a whole list.
func (s *source) list(r *clientv3.GetResponse) error {
	history := fmt.Sprintf("%x", r.Header.ClusterId)
	if s.fallen > 0 {
		history += fmt.Sprintf("-%d", s.fallen)
	}
	if history == s.history && r.Header.Revision < s.last {
		// The read is linearizable, so no member that lags answered it: the cluster was restored in place, under its old id.
		s.fallen++
		history = fmt.Sprintf("%x-%d", r.Header.ClusterId, s.fallen)
	}
	now, written := map[string]routing.Member{}, map[string]int64{}
	for _, kv := range r.Kvs {
		if m, ok := s.put(now, kv); ok {
			written[m.Name] = kv.ModRevision
		}
	}
	all := make([]routing.Member, 0, len(now))
	for _, m := range now {
		all = append(all, m)
	}
	if !s.take.ApplyList(membership.Position{History: history, Revision: r.Header.Revision}, all, written) {
		return fmt.Errorf("the list of revision %d was not taken", r.Header.Revision)
	}
	s.history, s.last, s.known = history, r.Header.Revision, now
	s.o.Log.Info("list of destinations read from etcd", "prefix", s.o.Prefix, "destinations", len(all), "history", history, "revision", s.last)
	return nil
}

// name is a key's name.
func (s *source) name(key []byte) string { return strings.TrimPrefix(string(key), s.o.Prefix) }

// put reads a key into a list. What cannot be read keeps its last word: nobody said that it is gone.
func (s *source) put(list map[string]routing.Member, kv *mvccpb.KeyValue) (routing.Member, bool) {
	name := s.name(kv.Key)
	m, err := Decode(s.o.Form, name, kv.Value)
	if err != nil {
		s.o.Log.Error("a destination in etcd is not taken", "key", string(kv.Key), "revision", kv.ModRevision, "error", err)
		old, there := s.known[name]
		if there {
			list[name] = old
		}
		return old, false
	}
	list[name] = m
	return m, true
}

// heard takes a response of the watch.
func (s *source) heard(cluster uint64, r clientv3.WatchResponse) error {
	if r.Header.ClusterId != cluster {
		return fmt.Errorf("the cluster is another: %x instead of %x", r.Header.ClusterId, cluster)
	}
	if len(r.Events) == 0 {
		if r.Header.Revision < s.last {
			return fmt.Errorf("the member is at revision %d, behind %d", r.Header.Revision, s.last)
		}
		s.take.SourceAlive()
		return nil
	}
	for i := 0; i < len(r.Events); { // revision by revision: one transaction is one change
		revision := r.Events[i].Kv.ModRevision
		changed := map[string]routing.Member{}
		for ; i < len(r.Events) && r.Events[i].Kv.ModRevision == revision; i++ {
			e := r.Events[i]
			if e.Type == clientv3.EventTypeDelete {
				name := s.name(e.Kv.Key)
				changed[name] = routing.Member{Name: name, State: balance.Gone}
				delete(s.known, name)
			} else if m, ok := s.put(s.known, e.Kv); ok {
				changed[m.Name] = m
			}
		}
		if revision <= s.last {
			continue
		}
		all := make([]routing.Member, 0, len(changed))
		for _, m := range changed {
			all = append(all, m)
		}
		if !s.take.ApplyChanges(membership.Position{History: s.history, Revision: revision}, all) {
			return fmt.Errorf("the changes of revision %d were not taken", revision)
		}
		s.last = revision
	}
	return nil
}
