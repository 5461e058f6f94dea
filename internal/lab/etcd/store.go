// Package etcd is a stand-in of an etcd cluster for tests and drills: the published gRPC API over a store by revision, with
// faults on command. It does what etcd's documentation says and nothing that etcd would not do: events are never lost,
// repeated or out of order on a watch, whatever else goes wrong.
package etcd

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/protobuf/proto"
)

// event is a write at its revision.
type event struct {
	*mvccpb.Event // its Kv.ModRevision is the revision
	prev          *mvccpb.KeyValue
}

// store is the keys by revision, as every member would have them. It knows no socket and no clock, and is not safe for
// concurrent use. Key values in it are never changed, so that they can be handed out.
type store struct {
	revision  int64 // of the last write; 1 in an empty store, as etcd has it
	compacted int64
	keys      map[string][]*mvccpb.KeyValue // versions by revision; Version 0 marks a deletion
	log       []event                       // from the compacted revision on
	leases    map[int64]map[string]bool     // keys by lease
	ttl       map[int64]int64               // seconds, by lease
}

func newStore() *store {
	return &store{revision: 1, keys: map[string][]*mvccpb.KeyValue{}, leases: map[int64]map[string]bool{}, ttl: map[int64]int64{}}
}

// clone is a copy that later writes do not change.
func (s *store) clone() *store {
	c := &store{revision: s.revision, compacted: s.compacted, keys: map[string][]*mvccpb.KeyValue{}, log: slices.Clone(s.log),
		leases: map[int64]map[string]bool{}, ttl: maps.Clone(s.ttl)}
	for k, v := range s.keys {
		c.keys[k] = slices.Clone(v)
	}
	for id, keys := range s.leases {
		c.leases[id] = maps.Clone(keys)
	}
	return c
}

// at is a key's value at a revision, nil if it has none.
func (s *store) at(key string, revision int64) *mvccpb.KeyValue {
	versions := s.keys[key]
	i, found := slices.BinarySearchFunc(versions, revision, func(kv *mvccpb.KeyValue, r int64) int { return cmp.Compare(kv.ModRevision, r) })
	if !found {
		i--
	}
	if i < 0 || versions[i].Version == 0 {
		return nil
	}
	return versions[i]
}

// within tells whether a key is in a range as the API has it: one key, all from a key on (end is a zero byte), or up to an end.
func within(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// in are the values of a range at a revision, by key.
func (s *store) in(from, end []byte, revision int64) (out []*mvccpb.KeyValue) {
	if len(end) == 0 {
		if kv := s.at(string(from), revision); kv != nil {
			out = append(out, kv)
		}
		return out
	}
	for key := range s.keys {
		if within([]byte(key), from, end) {
			if kv := s.at(key, revision); kv != nil {
				out = append(out, kv)
			}
		}
	}
	slices.SortFunc(out, func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return out
}

// read answers a Range at the newest revision that a member has applied.
func (s *store) read(q *etcdserverpb.RangeRequest, applied int64) (*etcdserverpb.RangeResponse, error) {
	if len(q.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	at := applied
	if q.Revision > 0 {
		at = q.Revision
	}
	if at > applied {
		return nil, rpctypes.ErrGRPCFutureRev
	}
	if at < s.compacted {
		return nil, rpctypes.ErrGRPCCompacted
	}
	kvs := s.in(q.Key, q.RangeEnd, at)
	kvs = slices.DeleteFunc(kvs, func(kv *mvccpb.KeyValue) bool {
		return q.MinModRevision > 0 && kv.ModRevision < q.MinModRevision || q.MaxModRevision > 0 && kv.ModRevision > q.MaxModRevision ||
			q.MinCreateRevision > 0 && kv.CreateRevision < q.MinCreateRevision || q.MaxCreateRevision > 0 && kv.CreateRevision > q.MaxCreateRevision
	})
	by := map[etcdserverpb.RangeRequest_SortTarget]func(a, b *mvccpb.KeyValue) int{
		etcdserverpb.RangeRequest_KEY:     func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) },
		etcdserverpb.RangeRequest_VERSION: func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.Version, b.Version) },
		etcdserverpb.RangeRequest_CREATE:  func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.CreateRevision, b.CreateRevision) },
		etcdserverpb.RangeRequest_MOD:     func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.ModRevision, b.ModRevision) },
		etcdserverpb.RangeRequest_VALUE:   func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Value, b.Value) },
	}[q.SortTarget]
	if q.SortOrder != etcdserverpb.RangeRequest_NONE || q.SortTarget != etcdserverpb.RangeRequest_KEY {
		slices.SortStableFunc(kvs, by)
	}
	if q.SortOrder == etcdserverpb.RangeRequest_DESCEND {
		slices.Reverse(kvs)
	}
	out := &etcdserverpb.RangeResponse{Count: int64(len(kvs))}
	if q.CountOnly {
		return out, nil
	}
	if q.Limit > 0 && int64(len(kvs)) > q.Limit {
		kvs, out.More = kvs[:q.Limit], true
	}
	for _, kv := range kvs {
		if q.KeysOnly {
			kv = proto.CloneOf(kv)
			kv.Value = nil
		}
		out.Kvs = append(out.Kvs, kv)
	}
	return out, nil
}

// write is a transaction's writes, all at one revision.
type write struct {
	s      *store
	events []event
}

// begin begins writes at the next revision.
func (s *store) begin() *write { return &write{s: s} }

// set writes one version of a key.
func (w *write) set(kv *mvccpb.KeyValue, kind mvccpb.Event_EventType) {
	s := w.s
	key := string(kv.Key)
	prev := s.at(key, s.revision+1)
	if prev != nil && prev.Lease != 0 {
		delete(s.leases[prev.Lease], key)
	}
	if kv.Lease != 0 {
		s.leases[kv.Lease][key] = true
	}
	s.keys[key] = append(s.keys[key], kv)
	told := kv
	if kind == mvccpb.Event_DELETE {
		told = &mvccpb.KeyValue{Key: kv.Key, ModRevision: kv.ModRevision}
	}
	w.events = append(w.events, event{&mvccpb.Event{Type: kind, Kv: told}, prev})
}

// end makes the writes visible.
func (w *write) end() {
	if len(w.events) > 0 {
		w.s.revision++
		w.s.log = append(w.s.log, w.events...)
	}
}

// put answers a Put within writes.
func (w *write) put(q *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	s := w.s
	if len(q.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	if slices.ContainsFunc(w.events, func(e event) bool { return bytes.Equal(e.Kv.Key, q.Key) }) {
		return nil, rpctypes.ErrGRPCDuplicateKey
	}
	prev := s.at(string(q.Key), s.revision+1)
	if (q.IgnoreValue || q.IgnoreLease) && prev == nil {
		return nil, rpctypes.ErrGRPCKeyNotFound
	}
	kv := &mvccpb.KeyValue{Key: q.Key, Value: q.Value, Lease: q.Lease, ModRevision: s.revision + 1, CreateRevision: s.revision + 1, Version: 1}
	if prev != nil {
		kv.CreateRevision, kv.Version = prev.CreateRevision, prev.Version+1
		if q.IgnoreValue {
			kv.Value = prev.Value
		}
		if q.IgnoreLease {
			kv.Lease = prev.Lease
		}
	}
	if kv.Lease != 0 && s.leases[kv.Lease] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	w.set(kv, mvccpb.Event_PUT)
	out := &etcdserverpb.PutResponse{}
	if q.PrevKv {
		out.PrevKv = prev
	}
	return out, nil
}

// deleteRange answers a DeleteRange within writes.
func (w *write) deleteRange(q *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	if len(q.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	out := &etcdserverpb.DeleteRangeResponse{}
	for _, kv := range w.s.in(q.Key, q.RangeEnd, w.s.revision+1) {
		w.set(&mvccpb.KeyValue{Key: kv.Key, ModRevision: w.s.revision + 1}, mvccpb.Event_DELETE)
		out.Deleted++
		if q.PrevKv {
			out.PrevKvs = append(out.PrevKvs, kv)
		}
	}
	return out, nil
}

// holds tells whether a comparison of a transaction holds.
func (s *store) holds(c *etcdserverpb.Compare) bool {
	kvs := s.in(c.Key, c.RangeEnd, s.revision)
	if len(kvs) == 0 {
		if len(c.RangeEnd) > 0 {
			return true
		}
		if c.Target == etcdserverpb.Compare_VALUE { // there is none to compare
			return false
		}
		kvs = []*mvccpb.KeyValue{{}}
	}
	for _, kv := range kvs {
		n := 0
		switch c.Target {
		case etcdserverpb.Compare_VERSION:
			n = cmp.Compare(kv.Version, c.GetVersion())
		case etcdserverpb.Compare_CREATE:
			n = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
		case etcdserverpb.Compare_MOD:
			n = cmp.Compare(kv.ModRevision, c.GetModRevision())
		case etcdserverpb.Compare_LEASE:
			n = cmp.Compare(kv.Lease, c.GetLease())
		default:
			n = bytes.Compare(kv.Value, c.GetValue())
		}
		ok := map[etcdserverpb.Compare_CompareResult]bool{etcdserverpb.Compare_EQUAL: n == 0, etcdserverpb.Compare_NOT_EQUAL: n != 0,
			etcdserverpb.Compare_GREATER: n > 0, etcdserverpb.Compare_LESS: n < 0}[c.Result]
		if !ok {
			return false
		}
	}
	return true
}

// txn answers a Txn. One that fails changes nothing.
func (s *store) txn(q *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	before := s.clone()
	w := s.begin()
	out, err := w.branch(q)
	if err != nil {
		*s = *before
		return nil, err
	}
	w.end()
	return out, nil
}

func (w *write) branch(q *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	out := &etcdserverpb.TxnResponse{Succeeded: true}
	for _, c := range q.Compare {
		out.Succeeded = out.Succeeded && w.s.holds(c)
	}
	ops := q.Success
	if !out.Succeeded {
		ops = q.Failure
	}
	for _, op := range ops {
		r := &etcdserverpb.ResponseOp{}
		switch x := op.Request.(type) {
		case *etcdserverpb.RequestOp_RequestRange:
			got, err := w.s.read(x.RequestRange, w.s.revision+1)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: got}
		case *etcdserverpb.RequestOp_RequestPut:
			got, err := w.put(x.RequestPut)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: got}
		case *etcdserverpb.RequestOp_RequestDeleteRange:
			got, err := w.deleteRange(x.RequestDeleteRange)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: got}
		case *etcdserverpb.RequestOp_RequestTxn:
			got, err := w.branch(x.RequestTxn)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseTxn{ResponseTxn: got}
		}
		out.Responses = append(out.Responses, r)
	}
	return out, nil
}

// compact forgets what is older than a revision: versions that were no longer a key's value then, and the log before it.
func (s *store) compact(revision int64) error {
	if revision <= s.compacted {
		return rpctypes.ErrGRPCCompacted
	}
	if revision > s.revision {
		return rpctypes.ErrGRPCFutureRev
	}
	s.compacted = revision
	for key, versions := range s.keys {
		i, found := slices.BinarySearchFunc(versions, revision, func(kv *mvccpb.KeyValue, r int64) int { return cmp.Compare(kv.ModRevision, r) })
		if !found {
			i--
		}
		if i >= 0 && versions[i].Version == 0 {
			i++
		}
		if i > 0 {
			versions = slices.Clone(versions[i:])
		}
		if s.keys[key] = versions; len(versions) == 0 {
			delete(s.keys, key)
		}
	}
	i, _ := slices.BinarySearchFunc(s.log, revision, func(e event, r int64) int { return cmp.Compare(e.Kv.ModRevision, r) })
	s.log = slices.Clone(s.log[i:])
	return nil
}

// since are the events of a range from one revision up to another, both included. They begin at the compacted revision at the
// earliest.
func (s *store) since(from, to int64, key, end []byte) (out []event) {
	i, _ := slices.BinarySearchFunc(s.log, from, func(e event, r int64) int { return cmp.Compare(e.Kv.ModRevision, r) })
	for _, e := range s.log[i:] {
		if e.Kv.ModRevision > to {
			break
		}
		if within(e.Kv.Key, key, end) {
			out = append(out, e)
		}
	}
	return out
}
