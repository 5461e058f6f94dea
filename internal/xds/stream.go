package xds

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// The bounds of what a stream may ask for. A proxy that asks for more is cut off: it is broken, and others are unhurt.
const (
	MaxNames   = 20_000 // resources of one type
	MaxName    = 1024   // bytes of a name
	MaxNode    = 256    // bytes of a node id
	maxUnknown = 16     // type URLs that are not served, passed over
	maxText    = 512    // bytes kept of why a proxy refused
)

// gather is the least time between two responses of a type that hold no more than new weights.
const gather = 100 * time.Millisecond

// Request is what a proxy sends, of either variant.
type Request struct {
	Node    string // its id; only the first request of a stream needs it
	TypeURL string
	Nonce   string // of the response that this answers, "" for none
	Refused string // why that response was refused, "" if it was accepted

	// State of the world: all names that are subscribed to, and the version that the proxy has.
	Names   []string
	Version string
	// Delta: what changes, and the versions of the resources that the proxy has from an earlier stream.
	Subscribe, Unsubscribe []string
	Initial                map[string]string
}

// Response is what goes to a proxy.
type Response struct {
	TypeURL   string
	Version   string
	Nonce     string
	Resources []*Resource
	Removed   []string // delta only
	Urgent    bool     // it says that endpoints take nothing new
}

// Stream is one stream of a proxy. It is not safe for concurrent use.
type Stream struct {
	delta bool
	only  string // the type of a stream that is not aggregated, "" for all

	Node     string
	Unknown  []string // type URLs that it asked for and that are not served
	snapshot *Snapshot
	subs     map[string]*subscription
	nonces   uint64
}

// subscription is what a stream has of one type.
type subscription struct {
	wildcard bool
	names    map[string]bool      // asked for by name
	sent     map[string]*Resource // what the proxy was sent last, nil for told that it is not there
	has      map[string]string    // versions that it has from an earlier stream, until they are compared
	version  string               // state of the world: of the last response, or that it came with
	asked    bool                 // names were added since the last response: an answer is owed, also without a change
	nonce    string               // of the last response
	waiting  bool                 // for its ACK
	at       time.Duration        // when it went out
	urgent   time.Duration        // when the first urgent response went out that has no ACK; 0 for none
	refused  string               // why the last response was, "" if it was not
	acked    string               // version of the last response that was accepted
	drains   []time.Duration
}

// NewStream returns a stream: delta or state of the world, for one type or, with "", for all that are served.
func NewStream(delta bool, only string) *Stream {
	return &Stream{delta: delta, only: only, subs: map[string]*subscription{}}
}

// ProtocolError ends a stream: what came is none of the protocol, or beyond its bounds.
type ProtocolError struct{ Why string }

func (e *ProtocolError) Error() string { return e.Why }

func broken(format string, args ...any) error { return &ProtocolError{fmt.Sprintf(format, args...)} }

// Update gives the stream another snapshot. What it holds goes out by Next.
func (s *Stream) Update(snapshot *Snapshot) { s.snapshot = snapshot }

// Take takes a request. An error is a *ProtocolError and ends the stream.
func (s *Stream) Take(now time.Duration, q *Request) error {
	if len(q.Node) > MaxNode {
		return broken("the node id is over %d bytes", MaxNode)
	}
	if s.Node == "" {
		s.Node = q.Node
	}
	t := q.TypeURL
	if s.only != "" {
		if t == "" {
			t = s.only
		}
		if t != s.only {
			return broken("this service has no %q", clip(t))
		}
	}
	if !slices.Contains(order, t) {
		// A proxy may know types that came later; it must not lose the others over them.
		if t = clip(t); !slices.Contains(s.Unknown, t) {
			if len(s.Unknown) >= maxUnknown {
				return broken("over %d types that are not served", maxUnknown)
			}
			s.Unknown = append(s.Unknown, t)
		}
		return nil
	}
	for _, list := range [][]string{q.Names, q.Subscribe, q.Unsubscribe} {
		if len(list) > MaxNames {
			return broken("over %d names", MaxNames)
		}
		for _, name := range list {
			if len(name) > MaxName {
				return broken("a name is over %d bytes", MaxName)
			}
		}
	}
	if len(q.Initial) > MaxNames {
		return broken("over %d initial versions", MaxNames)
	}
	sub := s.subs[t]
	first := sub == nil
	if first {
		sub = &subscription{names: map[string]bool{}, sent: map[string]*Resource{}, has: map[string]string{}}
		s.subs[t] = sub
	}
	if !first && q.Nonce != "" && q.Nonce != sub.nonce {
		// The answer to an earlier response. State of the world has the names again with the answer to the last one.
		if s.delta {
			return s.change(sub, q, false)
		}
		return nil
	}
	if !first && q.Nonce != "" {
		sub.answered(now, q)
	}
	if s.delta {
		return s.change(sub, q, first)
	}
	s.replace(sub, q, first)
	return nil
}

// answered takes an ACK or a NACK of the last response.
func (sub *subscription) answered(now time.Duration, q *Request) {
	if !sub.waiting {
		return
	}
	sub.waiting = false
	if q.Refused != "" {
		// It counts as sent: what was refused is not sent again before it changes.
		sub.refused = clip(q.Refused)
		return
	}
	sub.refused, sub.acked = "", sub.version
	if sub.urgent != 0 {
		sub.drains = append(sub.drains, now-sub.urgent)
		sub.urgent = 0
	}
}

// replace takes the names of a state-of-the-world request.
func (s *Stream) replace(sub *subscription, q *Request, first bool) {
	names := map[string]bool{}
	for _, name := range q.Names {
		names[name] = true
	}
	// Without names all are meant, unless some were named before: then none is.
	wildcard := names["*"] || len(names) == 0 && (first || sub.wildcard && len(sub.names) == 0)
	if q.TypeURL != TypeListener && q.TypeURL != TypeCluster && len(names) == 0 {
		wildcard = false // the others are asked for by name
	}
	delete(names, "*")
	for name := range names {
		if !sub.names[name] {
			sub.asked = true
		}
	}
	if wildcard != sub.wildcard || first {
		sub.asked = true
	}
	if first && q.Version != "" {
		sub.version, sub.acked = q.Version, q.Version // from an earlier stream: what is the same is not sent again
	}
	for name := range sub.sent {
		if !wildcard && !names[name] {
			delete(sub.sent, name)
		}
	}
	sub.names, sub.wildcard = names, wildcard
}

// change takes the names of a delta request.
func (s *Stream) change(sub *subscription, q *Request, first bool) error {
	for name, version := range q.Initial {
		if first && len(name) <= MaxName {
			sub.has[name] = version
		}
	}
	if first && len(q.Subscribe) == 0 && (q.TypeURL == TypeListener || q.TypeURL == TypeCluster) {
		sub.wildcard = true
	}
	for _, name := range q.Subscribe {
		if name == "*" {
			sub.wildcard = true
			continue
		}
		sub.names[name] = true
		delete(sub.sent, name) // asked for again: it is sent again, as the proxy may have dropped it
	}
	for _, name := range q.Unsubscribe {
		if name == "*" {
			sub.wildcard = false
			continue
		}
		delete(sub.names, name)
		if !sub.wildcard {
			delete(sub.sent, name)
		}
	}
	if len(sub.names) > MaxNames {
		return broken("over %d names", MaxNames)
	}
	return nil
}

// Next makes the next response that is due, if there is one; wait tells when one may be due that is held back, 0 for
// never. It is called when a response can be written: a proxy that is slow to read gets the newest state, not all between.
func (s *Stream) Next(now time.Duration) (r *Response, wait time.Duration) {
	if s.snapshot == nil {
		return nil, 0
	}
	// Word that endpoints take nothing new goes before everything, and does not wait for the answer to anything.
	var endpoints *Response
	if sub := s.subs[TypeEndpoint]; sub != nil {
		if endpoints = s.response(TypeEndpoint, sub); endpoints != nil && endpoints.Urgent {
			return s.send(now, sub, endpoints), 0
		}
	}
	for _, t := range order {
		sub := s.subs[t]
		if sub == nil || sub.waiting {
			continue // one response of a type at a time: changes meanwhile are gathered
		}
		r := endpoints
		if t != TypeEndpoint {
			r = s.response(t, sub)
		}
		if r == nil {
			continue
		}
		if t == TypeEndpoint && !sub.asked && len(sub.sent) > 0 {
			if due := sub.at + gather; now < due {
				if wait == 0 || due-now < wait {
					wait = due - now
				}
				continue
			}
		}
		return s.send(now, sub, r), 0
	}
	return nil, wait
}

// wanted are the resources that a subscription covers, by name; nil for one that is not there.
func (s *Stream) wanted(t string, sub *subscription) map[string]*Resource {
	out := map[string]*Resource{}
	if sub.wildcard {
		maps.Copy(out, s.snapshot.types[t])
	}
	for name := range sub.names {
		out[name] = s.snapshot.types[t][name]
	}
	return out
}

// response is what a subscription lacks, nil if that is nothing.
func (s *Stream) response(t string, sub *subscription) *Response {
	wanted := s.wanted(t, sub)
	s.keep(t, sub, wanted)
	changed, safety := []*Resource{}, false
	for name, r := range wanted {
		old, known := sub.sent[name]
		if r == nil || known && old != nil && old.Version == r.Version {
			continue
		}
		if known && old != nil && old.UrgentHash != r.UrgentHash {
			safety = true
		}
		changed = append(changed, r)
	}
	if s.delta {
		return s.deltaOf(t, sub, wanted, changed, safety)
	}
	all := []*Resource{}
	for _, r := range wanted {
		if r != nil {
			all = append(all, r)
		}
	}
	byName(all)
	version := versionOf(all)
	gone := false // a listener or cluster that was sent is no longer there; of the others that cannot be told
	for name := range sub.sent {
		gone = gone || wanted[name] == nil && (t == TypeListener || t == TypeCluster)
	}
	// A proxy that comes with the version it would be sent has all of it.
	if len(changed) > 0 && len(sub.sent) == 0 && sub.nonce == "" && sub.version == version {
		for _, r := range all {
			sub.sent[r.Name] = r
		}
		sub.asked = false
		return nil
	}
	full := t == TypeListener || t == TypeCluster
	switch {
	case len(changed) == 0 && !gone && !sub.asked:
		return nil
	case len(all) == 0 && !full: // nothing of what was asked for is there: silence is the protocol's word for it
		return nil
	case len(changed) == 0 && !gone && sub.nonce != "" && len(all) == len(sub.sent):
		sub.asked = false
		return nil
	}
	out := all
	if !full && !sub.asked { // these may be sent without those that have not changed
		out = changed
		byName(out)
	}
	return &Response{TypeURL: t, Version: version, Resources: out, Urgent: safety}
}

// deltaOf is the delta response for what has changed and is gone.
func (s *Stream) deltaOf(t string, sub *subscription, wanted map[string]*Resource, changed []*Resource, safety bool) *Response {
	r := &Response{TypeURL: t, Urgent: safety}
	for _, x := range changed {
		if sub.has[x.Name] == x.Version { // it has this one from an earlier stream
			sub.sent[x.Name] = x
			delete(sub.has, x.Name)
			continue
		}
		r.Resources = append(r.Resources, x)
	}
	for name, x := range wanted {
		if old, known := sub.sent[name]; x == nil && (!known || old != nil) {
			r.Removed = append(r.Removed, name)
		}
	}
	for name, old := range sub.sent {
		if _, still := wanted[name]; !still && old != nil {
			r.Removed = append(r.Removed, name)
		}
	}
	for name := range sub.has { // from an earlier stream, and gone since
		if _, still := wanted[name]; !still {
			r.Removed = append(r.Removed, name)
		}
	}
	if len(r.Resources) == 0 && len(r.Removed) == 0 {
		return nil
	}
	byName(r.Resources)
	slices.Sort(r.Removed)
	r.Removed = slices.Compact(r.Removed)
	r.Version = versionOf(r.Resources)
	return r
}

// keep has clusters and endpoints that are gone stay on a proxy for as long as it may have routes to them: until it has
// accepted the routes of this snapshot.
func (s *Stream) keep(t string, sub *subscription, wanted map[string]*Resource) {
	routes := s.subs[TypeRoute]
	if t != TypeCluster || routes == nil {
		return
	}
	if !routes.waiting && s.current(routes) {
		return
	}
	for name, old := range sub.sent {
		if old != nil && wanted[name] == nil {
			wanted[name] = old
		}
	}
}

// current tells whether a proxy has the routes of the snapshot.
func (s *Stream) current(sub *subscription) bool {
	for name, r := range s.wanted(TypeRoute, sub) {
		if old := sub.sent[name]; r != nil && (old == nil || old.Version != r.Version) {
			return false
		}
	}
	return true
}

// send notes that a response goes out.
func (s *Stream) send(now time.Duration, sub *subscription, r *Response) *Response {
	s.nonces++
	r.Nonce = strconv.FormatUint(s.nonces, 36)
	sub.nonce, sub.version, sub.waiting, sub.at, sub.asked, sub.refused = r.Nonce, r.Version, true, now, false, ""
	if r.Urgent && sub.urgent == 0 {
		sub.urgent = now
	}
	if !s.delta && (r.TypeURL == TypeListener || r.TypeURL == TypeCluster) {
		clear(sub.sent) // state of the world: what is left out is gone
	}
	for _, x := range r.Resources {
		sub.sent[x.Name] = x
	}
	for _, name := range r.Removed {
		delete(sub.has, name)
		if sub.names[name] {
			sub.sent[name] = nil
		} else {
			delete(sub.sent, name)
		}
	}
	return r
}

func byName(list []*Resource) {
	slices.SortFunc(list, func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// clip bounds a text that a proxy has sent.
func clip(s string) string { return s[:min(len(s), maxText)] }

// TypeState is how a stream stands with a type.
type TypeState struct {
	TypeURL      string
	Names        int // asked for; -1 for all
	SentVersion  string
	AckedVersion string
	AckPending   time.Duration // how long the last response has waited for its answer, 0 if it has it
	NackReason   string        // why the last response was not accepted, "" if it was
}

// State tells how the stream stands, in the order of updates.
func (s *Stream) State(now time.Duration) []TypeState {
	var out []TypeState
	for _, t := range order {
		sub := s.subs[t]
		if sub == nil {
			continue
		}
		x := TypeState{TypeURL: t, Names: len(sub.names), SentVersion: sub.version, AckedVersion: sub.acked, NackReason: sub.refused}
		if sub.wildcard {
			x.Names = -1
		}
		if sub.waiting {
			x.AckPending = now - sub.at
		}
		out = append(out, x)
	}
	return out
}

// Drains takes the times from the first urgent response to the answer that followed it, since the last call.
func (s *Stream) Drains() []time.Duration {
	sub := s.subs[TypeEndpoint]
	if sub == nil {
		return nil
	}
	out := sub.drains
	sub.drains = nil
	return out
}

// Undrained tells for how long the proxy has not answered that endpoints take nothing new; 0 if nothing is open.
func (s *Stream) Undrained(now time.Duration) time.Duration {
	if sub := s.subs[TypeEndpoint]; sub != nil && sub.urgent != 0 {
		return now - sub.urgent
	}
	return 0
}
