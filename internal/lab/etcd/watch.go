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

// fragmentSize is how many bytes of events a response holds where the watcher takes fragments: etcd's limit of a request.
const fragmentSize = 1536 << 10

type watchServer struct {
	etcdserverpb.UnimplementedWatchServer
	m *Member
}

// watcher is one watch of a stream.
type watcher struct {
	*etcdserverpb.WatchCreateRequest
	id     int64
	next   int64 // revision from which on it has not been told
	filter map[mvccpb.Event_EventType]bool
	told   time.Time
}

// watchStream is a stream with its watches.
type watchStream struct {
	m   *Member
	out etcdserverpb.Watch_WatchServer

	mu       sync.Mutex
	watchers []*watcher
	nextID   int64
	asked    int                           // progress requests without an answer
	queue    []*etcdserverpb.WatchResponse // answers to requests
	wake     chan struct{}
}

// Watch serves a stream: one goroutine reads requests, this one writes.
func (s *watchServer) Watch(out etcdserverpb.Watch_WatchServer) error {
	ctx, cancel := context.WithCancelCause(out.Context())
	defer cancel(nil)
	w := &watchStream{m: s.m, out: out, wake: make(chan struct{}, 1)}
	go func() {
		for {
			q, err := out.Recv()
			if err != nil {
				cancel(err)
				return
			}
			w.request(q)
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}()
	progress := s.m.c.o.ProgressInterval
	if progress == 0 {
		progress = 10 * time.Minute
	}
	tick := time.NewTicker(progress)
	defer tick.Stop()
	for {
		if err := s.m.awake(ctx); err != nil {
			return err
		}
		s.m.c.mu.Lock()
		responses, changed := w.collect(time.Now().Add(-progress)), s.m.c.changed
		s.m.c.mu.Unlock()
		for _, r := range responses {
			if err := s.m.awake(ctx); err != nil {
				return err
			}
			if err := out.Send(r); err != nil {
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

// request takes a request.
func (w *watchStream) request(q *etcdserverpb.WatchRequest) {
	w.m.c.mu.Lock()
	defer w.m.c.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch x := q.RequestUnion.(type) {
	case *etcdserverpb.WatchRequest_CreateRequest:
		c := x.CreateRequest
		id := c.WatchId
		if id == 0 {
			for slices.ContainsFunc(w.watchers, func(o *watcher) bool { return o.id == w.nextID }) {
				w.nextID++
			}
			id = w.nextID
			w.nextID++
		} else if slices.ContainsFunc(w.watchers, func(o *watcher) bool { return o.id == id }) {
			w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: -1, Created: true, Canceled: true,
				CancelReason: "mvcc: duplicate watch ID provided on the WatchStream"})
			return
		}
		n := &watcher{WatchCreateRequest: c, id: id, next: c.StartRevision, filter: map[mvccpb.Event_EventType]bool{}, told: time.Now()}
		if n.next == 0 {
			n.next = w.m.applied() + 1
		}
		for _, f := range c.Filters {
			n.filter[map[etcdserverpb.WatchCreateRequest_FilterType]mvccpb.Event_EventType{etcdserverpb.WatchCreateRequest_NOPUT: mvccpb.Event_PUT,
				etcdserverpb.WatchCreateRequest_NODELETE: mvccpb.Event_DELETE}[f]] = true
		}
		w.watchers = append(w.watchers, n)
		w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: id, Created: true})
	case *etcdserverpb.WatchRequest_CancelRequest:
		id := x.CancelRequest.WatchId
		before := len(w.watchers)
		w.watchers = slices.DeleteFunc(w.watchers, func(o *watcher) bool { return o.id == id })
		if len(w.watchers) < before {
			w.queue = append(w.queue, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: id, Canceled: true})
		}
	case *etcdserverpb.WatchRequest_ProgressRequest:
		w.asked++
	}
}

// collect are the responses that are due. Watches that have been told nothing since a time get a notification of progress if
// they asked for such. The cluster's lock is held.
func (w *watchStream) collect(quiet time.Time) []*etcdserverpb.WatchResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.queue
	w.queue = nil
	store, applied := w.m.c.store, w.m.applied()
	w.watchers = slices.DeleteFunc(w.watchers, func(x *watcher) bool {
		if x.next < store.compacted {
			out = append(out, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: x.id, Canceled: true, CompactRevision: store.compacted,
				CancelReason: "etcdserver: mvcc: required revision has been compacted"})
			return true
		}
		var events []*mvccpb.Event
		for _, e := range store.since(x.next, applied, x.Key, x.RangeEnd) {
			if x.filter[e.Type] {
				continue
			}
			told := e.Event
			if x.PrevKv && e.prev != nil {
				told = proto.CloneOf(told)
				told.PrevKv = e.prev
			}
			events = append(events, told)
		}
		x.next = max(x.next, applied+1)
		if len(events) > 0 {
			x.told = time.Now()
			out = append(out, w.fragments(x, events)...)
		} else if x.ProgressNotify && x.told.Before(quiet) && x.next == applied+1 {
			x.told = time.Now()
			out = append(out, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: x.id})
		}
		return false
	})
	for ; w.asked > 0; w.asked-- {
		out = append(out, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: -1})
	}
	return out
}

// fragments are the responses for events: one, unless the watch takes fragments and they are many.
func (w *watchStream) fragments(x *watcher, events []*mvccpb.Event) (out []*etcdserverpb.WatchResponse) {
	for len(events) > 0 {
		n, size := 0, 0
		for n < len(events) && (!x.Fragment || n == 0 || size+proto.Size(events[n]) <= fragmentSize) {
			size += proto.Size(events[n])
			n++
		}
		out = append(out, &etcdserverpb.WatchResponse{Header: w.m.header(), WatchId: x.id, Events: events[:n], Fragment: n < len(events)})
		events = events[n:]
	}
	return out
}
