// Package etcd emulates an etcd cluster for tests and drills. It serves etcd's published gRPC API over an in-memory
// multi-version store and injects faults on request. It keeps the guarantees of etcd's documentation under every fault: a
// watch never loses, repeats or reorders events.
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

// event is one write, with the key's previous value.
type event struct {
	*mvccpb.Event // Kv.ModRevision is the revision of the write
	prev          *mvccpb.KeyValue
}

// store holds the versions of all keys by revision, as every member replicates them. It uses no sockets and no clock and is
// not safe for concurrent use. Stored key values are never modified, so they can be returned without a copy.
type store struct {
	revision  int64                         // of the last write; 1 in an empty store, as in etcd
	compacted int64                         // history before this revision has been discarded
	keys      map[string][]*mvccpb.KeyValue // versions of each key by revision; Version 0 marks a deletion
	log       []event                       // events from the compacted revision on
	leaseKeys map[int64]map[string]bool     // keys by lease
	leaseTTLs map[int64]int64               // seconds, by lease
}

func newStore() *store {
	return &store{revision: 1, keys: map[string][]*mvccpb.KeyValue{}, leaseKeys: map[int64]map[string]bool{}, leaseTTLs: map[int64]int64{}}
}

// clone returns a copy that later writes do not change.
func (s *store) clone() *store {
	c := &store{revision: s.revision, compacted: s.compacted, keys: map[string][]*mvccpb.KeyValue{}, log: slices.Clone(s.log),
		leaseKeys: map[int64]map[string]bool{}, leaseTTLs: maps.Clone(s.leaseTTLs)}
	for k, v := range s.keys {
		c.keys[k] = slices.Clone(v)
	}
	for id, keys := range s.leaseKeys {
		c.leaseKeys[id] = maps.Clone(keys)
	}
	return c
}

// valueAt returns a key's value at a revision, nil if it has none.
func (s *store) valueAt(key string, revision int64) *mvccpb.KeyValue {
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

// inRange reports whether a key is in a range as the API defines it: only the key from if end is empty, all keys >= from if end
// is a zero byte, otherwise the keys >= from and < end.
func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// rangeAt returns the values of the keys in a range at a revision, sorted by key.
func (s *store) rangeAt(from, end []byte, revision int64) (out []*mvccpb.KeyValue) {
	if len(end) == 0 {
		if kv := s.valueAt(string(from), revision); kv != nil {
			out = append(out, kv)
		}
		return out
	}
	for key := range s.keys {
		if inRange([]byte(key), from, end) {
			if kv := s.valueAt(key, revision); kv != nil {
				out = append(out, kv)
			}
		}
	}
	slices.SortFunc(out, func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	return out
}

// read answers a Range request. Without a revision in the request it reads at applied, the newest that the member has.
func (s *store) read(req *etcdserverpb.RangeRequest, applied int64) (*etcdserverpb.RangeResponse, error) {
	if len(req.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	revision := applied
	if req.Revision > 0 {
		revision = req.Revision
	}
	if revision > applied {
		return nil, rpctypes.ErrGRPCFutureRev
	}
	if revision < s.compacted {
		return nil, rpctypes.ErrGRPCCompacted
	}
	kvs := s.rangeAt(req.Key, req.RangeEnd, revision)
	kvs = slices.DeleteFunc(kvs, func(kv *mvccpb.KeyValue) bool {
		return req.MinModRevision > 0 && kv.ModRevision < req.MinModRevision || req.MaxModRevision > 0 && kv.ModRevision > req.MaxModRevision ||
			req.MinCreateRevision > 0 && kv.CreateRevision < req.MinCreateRevision || req.MaxCreateRevision > 0 && kv.CreateRevision > req.MaxCreateRevision
	})
	compare := map[etcdserverpb.RangeRequest_SortTarget]func(a, b *mvccpb.KeyValue) int{
		etcdserverpb.RangeRequest_KEY:     func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) },
		etcdserverpb.RangeRequest_VERSION: func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.Version, b.Version) },
		etcdserverpb.RangeRequest_CREATE:  func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.CreateRevision, b.CreateRevision) },
		etcdserverpb.RangeRequest_MOD:     func(a, b *mvccpb.KeyValue) int { return cmp.Compare(a.ModRevision, b.ModRevision) },
		etcdserverpb.RangeRequest_VALUE:   func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Value, b.Value) },
	}[req.SortTarget]
	if req.SortOrder != etcdserverpb.RangeRequest_NONE || req.SortTarget != etcdserverpb.RangeRequest_KEY {
		slices.SortStableFunc(kvs, compare)
	}
	if req.SortOrder == etcdserverpb.RangeRequest_DESCEND {
		slices.Reverse(kvs)
	}
	out := &etcdserverpb.RangeResponse{Count: int64(len(kvs))}
	if req.CountOnly {
		return out, nil
	}
	if req.Limit > 0 && int64(len(kvs)) > req.Limit {
		kvs, out.More = kvs[:req.Limit], true
	}
	for _, kv := range kvs {
		if req.KeysOnly {
			kv = proto.CloneOf(kv)
			kv.Value = nil
		}
		out.Kvs = append(out.Kvs, kv)
	}
	return out, nil
}

// writeBatch collects the writes of a request, all at one revision.
type writeBatch struct {
	store  *store
	events []event
}

// newBatch starts a batch of writes at the next revision.
func (s *store) newBatch() *writeBatch { return &writeBatch{store: s} }

// addVersion writes one version of a key and records its event.
func (b *writeBatch) addVersion(kv *mvccpb.KeyValue, kind mvccpb.Event_EventType) {
	s := b.store
	key := string(kv.Key)
	prev := s.valueAt(key, s.revision+1)
	if prev != nil && prev.Lease != 0 {
		delete(s.leaseKeys[prev.Lease], key)
	}
	if kv.Lease != 0 {
		s.leaseKeys[kv.Lease][key] = true
	}
	s.keys[key] = append(s.keys[key], kv)
	eventKV := kv
	if kind == mvccpb.Event_DELETE {
		eventKV = &mvccpb.KeyValue{Key: kv.Key, ModRevision: kv.ModRevision}
	}
	b.events = append(b.events, event{&mvccpb.Event{Type: kind, Kv: eventKV}, prev})
}

// commit makes the writes of the batch visible.
func (b *writeBatch) commit() {
	if len(b.events) > 0 {
		b.store.revision++
		b.store.log = append(b.store.log, b.events...)
	}
}

// put answers a Put request within the batch.
func (b *writeBatch) put(req *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	s := b.store
	if len(req.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	if slices.ContainsFunc(b.events, func(e event) bool { return bytes.Equal(e.Kv.Key, req.Key) }) {
		return nil, rpctypes.ErrGRPCDuplicateKey
	}
	prev := s.valueAt(string(req.Key), s.revision+1)
	if (req.IgnoreValue || req.IgnoreLease) && prev == nil {
		return nil, rpctypes.ErrGRPCKeyNotFound
	}
	kv := &mvccpb.KeyValue{Key: req.Key, Value: req.Value, Lease: req.Lease, ModRevision: s.revision + 1, CreateRevision: s.revision + 1, Version: 1}
	if prev != nil {
		kv.CreateRevision, kv.Version = prev.CreateRevision, prev.Version+1
		if req.IgnoreValue {
			kv.Value = prev.Value
		}
		if req.IgnoreLease {
			kv.Lease = prev.Lease
		}
	}
	if kv.Lease != 0 && s.leaseKeys[kv.Lease] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	b.addVersion(kv, mvccpb.Event_PUT)
	out := &etcdserverpb.PutResponse{}
	if req.PrevKv {
		out.PrevKv = prev
	}
	return out, nil
}

// deleteRange answers a DeleteRange request within the batch.
func (b *writeBatch) deleteRange(req *etcdserverpb.DeleteRangeRequest) (*etcdserverpb.DeleteRangeResponse, error) {
	if len(req.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	out := &etcdserverpb.DeleteRangeResponse{}
	for _, kv := range b.store.rangeAt(req.Key, req.RangeEnd, b.store.revision+1) {
		b.addVersion(&mvccpb.KeyValue{Key: kv.Key, ModRevision: b.store.revision + 1}, mvccpb.Event_DELETE)
		out.Deleted++
		if req.PrevKv {
			out.PrevKvs = append(out.PrevKvs, kv)
		}
	}
	return out, nil
}

// evaluate reports whether a comparison of a transaction is true.
func (s *store) evaluate(c *etcdserverpb.Compare) bool {
	kvs := s.rangeAt(c.Key, c.RangeEnd, s.revision)
	if len(kvs) == 0 {
		if len(c.RangeEnd) > 0 {
			return true
		}
		if c.Target == etcdserverpb.Compare_VALUE { // a missing key has no value to compare
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

// txn answers a Txn request. One that fails changes nothing.
func (s *store) txn(req *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	backup := s.clone()
	b := s.newBatch()
	out, err := b.runTxn(req)
	if err != nil {
		*s = *backup
		return nil, err
	}
	b.commit()
	return out, nil
}

// runTxn evaluates the comparisons of a transaction and runs the selected branch within the batch.
func (b *writeBatch) runTxn(req *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	out := &etcdserverpb.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		out.Succeeded = out.Succeeded && b.store.evaluate(c)
	}
	ops := req.Success
	if !out.Succeeded {
		ops = req.Failure
	}
	for _, op := range ops {
		r := &etcdserverpb.ResponseOp{}
		switch x := op.Request.(type) {
		case *etcdserverpb.RequestOp_RequestRange:
			got, err := b.store.read(x.RequestRange, b.store.revision+1)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: got}
		case *etcdserverpb.RequestOp_RequestPut:
			got, err := b.put(x.RequestPut)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: got}
		case *etcdserverpb.RequestOp_RequestDeleteRange:
			got, err := b.deleteRange(x.RequestDeleteRange)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: got}
		case *etcdserverpb.RequestOp_RequestTxn:
			got, err := b.runTxn(x.RequestTxn)
			if err != nil {
				return nil, err
			}
			r.Response = &etcdserverpb.ResponseOp_ResponseTxn{ResponseTxn: got}
		}
		out.Responses = append(out.Responses, r)
	}
	return out, nil
}

// compact discards the history before a revision: versions that had been replaced by then, and the events before it.
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

// eventsBetween returns the events of a key range from one revision up to another, both included. Events before the
// compacted revision are no longer available.
func (s *store) eventsBetween(from, to int64, key, end []byte) (out []event) {
	i, _ := slices.BinarySearchFunc(s.log, from, func(e event, r int64) int { return cmp.Compare(e.Kv.ModRevision, r) })
	for _, e := range s.log[i:] {
		if e.Kv.ModRevision > to {
			break
		}
		if inRange(e.Kv.Key, key, end) {
			out = append(out, e)
		}
	}
	return out
}
