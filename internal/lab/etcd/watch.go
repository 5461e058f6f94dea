package etcd

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/protobuf/proto"
)

// fragmentSize is the maximum size in bytes of the events in one response to a watch that accepts fragments. It is etcd's
// limit for a request.
const fragmentSize = 1536 << 10

// watchServer implements etcd's Watch service.
type watchServer struct {
	etcdserverpb.UnimplementedWatchServer
	member *Member
}

// watcher is one watch on a stream.
type watcher struct {
	*etcdserverpb.WatchCreateRequest
	id           int64
	nextRevision int64                           // first revision whose events have not been sent
	filtered     map[mvccpb.Event_EventType]bool // event types that the client excluded
	lastSent     time.Time                       // when the last response with events or progress was sent
}

// watchStream is a client's stream with its watches.
type watchStream struct {
	member *Member
	stream etcdserverpb.Watch_WatchServer

	mu              sync.Mutex
	watchers        []*watcher
	nextWatchID     int64
	pendingProgress int                           // progress requests not yet answered
	queue           []*etcdserverpb.WatchResponse // responses to requests, not yet sent
	wake            chan struct{}
}

// Watch serves a stream. A separate goroutine reads the requests; the calling one sends the responses.
func (s *watchServer) Watch(stream etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	w := &watchStream{member: s.member, stream: stream, wake: make(chan struct{}, 1)}
	go func() {
		for {
			req, err := stream.Recv()
			if err != nil {
				cancel(err)
				return
			}
			w.handleRequest(req)
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}()
	interval := s.member.cluster.opts.ProgressInterval
	if interval == 0 {
		interval = 10 * time.Minute
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := s.member.waitWhilePaused(ctx); err != nil {
			return err
		}
		s.member.cluster.mu.Lock()
		responses, changed := w.collectResponses(time.Now().Add(-interval)), s.member.cluster.changed
		s.member.cluster.mu.Unlock()
		for _, r := range responses {
			if err := s.member.waitWhilePaused(ctx); err != nil {
				return err
			}
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
			if context.Cause(ctx) == io.EOF {
				return nil
			}
			return context.Cause(ctx)
		}
	}
}

// handleRequest creates or cancels a watch, or records a progress request.
func (w *watchStream) handleRequest(req *etcdserverpb.WatchRequest) {
	w.member.cluster.mu.Lock()
	defer w.member.cluster.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch x := req.RequestUnion.(type) {
	case *etcdserverpb.WatchRequest_CreateRequest:
		c := x.CreateRequest
		id := c.WatchId
		if id == 0 {
			for slices.ContainsFunc(w.watchers, func(o *watcher) bool { return o.id == w.nextWatchID }) {
				w.nextWatchID++
			}
			id = w.nextWatchID
			w.nextWatchID++
		} else if slices.ContainsFunc(w.watchers, func(o *watcher) bool { return o.id == id }) {
			w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: -1, Created: true, Canceled: true,
				CancelReason: "mvcc: duplicate watch ID provided on the WatchStream"})
			return
		}
		n := &watcher{WatchCreateRequest: c, id: id, nextRevision: c.StartRevision, filtered: map[mvccpb.Event_EventType]bool{}, lastSent: time.Now()}
		if n.nextRevision == 0 {
			n.nextRevision = w.member.applied() + 1
		}
		for _, f := range c.Filters {
			n.filtered[map[etcdserverpb.WatchCreateRequest_FilterType]mvccpb.Event_EventType{etcdserverpb.WatchCreateRequest_NOPUT: mvccpb.Event_PUT,
				etcdserverpb.WatchCreateRequest_NODELETE: mvccpb.Event_DELETE}[f]] = true
		}
		w.watchers = append(w.watchers, n)
		w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: id, Created: true})
	case *etcdserverpb.WatchRequest_CancelRequest:
		id := x.CancelRequest.WatchId
		before := len(w.watchers)
		w.watchers = slices.DeleteFunc(w.watchers, func(o *watcher) bool { return o.id == id })
		if len(w.watchers) < before {
			w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: id, Canceled: true})
		}
	case *etcdserverpb.WatchRequest_ProgressRequest:
		w.pendingProgress++
	}
}

// collectResponses returns the responses that are due. Watches to which nothing was sent since idleSince get a progress
// notification if they requested them. The caller holds the cluster's lock.
func (w *watchStream) collectResponses(idleSince time.Time) []*etcdserverpb.WatchResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.queue
	w.queue = nil
	store, applied := w.member.cluster.store, w.member.applied()
	w.watchers = slices.DeleteFunc(w.watchers, func(x *watcher) bool {
		if x.nextRevision < store.compacted {
			out = append(out, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: x.id, Canceled: true, CompactRevision: store.compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted"})
			return true
		}
		var events []*mvccpb.Event
		for _, e := range store.eventsBetween(x.nextRevision, applied, x.Key, x.RangeEnd) {
			if x.filtered[e.Type] {
				continue
			}
			ev := e.Event
			if x.PrevKv && e.prev != nil {
				ev = proto.CloneOf(ev)
				ev.PrevKv = e.prev
			}
			events = append(events, ev)
		}
		x.nextRevision = max(x.nextRevision, applied+1)
		if len(events) > 0 {
			x.lastSent = time.Now()
			out = append(out, w.fragments(x, events)...)
		} else if x.ProgressNotify && x.lastSent.Before(idleSince) && x.nextRevision == applied+1 {
			x.lastSent = time.Now()
			out = append(out, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: x.id})
		}
		return false
	})
	for ; w.pendingProgress > 0; w.pendingProgress-- {
		out = append(out, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: -1})
	}
	return out
}

// fragments returns the responses that carry the events: one, or several if the watch accepts fragments and the events exceed
// fragmentSize.
func (w *watchStream) fragments(x *watcher, events []*mvccpb.Event) (out []*etcdserverpb.WatchResponse) {
	for len(events) > 0 {
		n, size := 0, 0
		for n < len(events) && (!x.Fragment || n == 0 || size+proto.Size(events[n]) <= fragmentSize) {
			size += proto.Size(events[n])
			n++
		}
		out = append(out, &etcdserverpb.WatchResponse{Header: w.member.header(), WatchId: x.id, Events: events[:n], Fragment: n < len(events)})
		events = events[n:]
	}
	return out
}
