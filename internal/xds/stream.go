package xds

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Limits on the requests of a stream. The stream of a proxy that exceeds them is ended, so that a faulty proxy does not affect
// others.
const (
	MaxNames        = 20_000 // resources of one type
	MaxNameBytes    = 1024   // length of a resource name
	MaxNodeIDBytes  = 256    // length of a node ID
	maxUnknownTypes = 16     // unsupported type URLs, which are ignored
	maxTextBytes    = 512    // bytes kept of a NACK's error message or of an unsupported type URL
)

// minWeightInterval is the minimum time between two endpoint responses that contain only new weights.
const minWeightInterval = 100 * time.Millisecond

// Request is a discovery request of either protocol variant, state of the world or delta.
type Request struct {
	NodeID     string // required only in the first request of a stream
	TypeURL    string
	Nonce      string // of the response that this request acknowledges, "" for none
	NackReason string // error message for that response, "" if it was accepted

	// State of the world: all subscribed names, and the version that the proxy has.
	Names   []string
	Version string
	// Delta: changes of the subscription, and the versions of the resources that the proxy has from an earlier stream.
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string
}

// Response is a discovery response of either protocol variant.
type Response struct {
	TypeURL   string
	Version   string
	Nonce     string
	Resources []*Resource
	Removed   []string // delta only
	Urgent    bool     // the set of endpoints that accept new requests has changed
}

// Stream is the protocol state of one stream of a proxy. It is not safe for concurrent use.
type Stream struct {
	delta    bool
	onlyType string // type URL of a stream that is not aggregated, "" for all types

	NodeID        string
	UnknownTypes  []string // unsupported type URLs that the proxy requested
	snapshot      *Snapshot
	subscriptions map[string]*subscription
	lastNonce     uint64
}

// subscription is the state of a stream for one resource type.
type subscription struct {
	wildcard        bool
	names           map[string]bool      // subscribed by name
	sent            map[string]*Resource // last version sent of each resource, nil if sent as removed
	initialVersions map[string]string    // versions that the proxy has from an earlier stream, until they are compared
	version         string               // state of the world: version of the last response, or the initial version of the proxy
	responseDue     bool                 // names were added since the last response: a response is due even without a change
	nonce           string               // of the last response
	lastNames       []string             // resources that the last response contained or removed
	rejected        map[string]bool      // resources whose last change was rejected, so that the proxy may have an older version
	awaitingAck     bool                 // the last response has neither ACK nor NACK
	sentAt          time.Duration        // when the last response was sent
	urgentSince     time.Duration        // when the first unacknowledged urgent response was sent, 0 for none
	nackReason      string               // error message of the NACK of the last response, "" if there was none
	ackedVersion    string               // version of the last accepted response
	drainAcks       []time.Duration      // times from urgent response to ACK
}

// NewStream returns a stream of the delta or state-of-the-world variant. It serves only type onlyType, or all supported types
// if onlyType is "".
func NewStream(delta bool, onlyType string) *Stream {
	return &Stream{delta: delta, onlyType: onlyType, subscriptions: map[string]*subscription{}}
}

// ProtocolError reports a request that violates the protocol or exceeds its limits. It ends the stream.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

// errorf returns a ProtocolError with a formatted reason.
func errorf(format string, args ...any) error { return &ProtocolError{fmt.Sprintf(format, args...)} }

// SetSnapshot replaces the snapshot. Next returns the resulting responses.
func (s *Stream) SetSnapshot(snapshot *Snapshot) { s.snapshot = snapshot }

// HandleRequest processes a request. An error is a *ProtocolError and ends the stream.
func (s *Stream) HandleRequest(now time.Duration, r *Request) error {
	if len(r.NodeID) > MaxNodeIDBytes {
		return errorf("the node id is over %d bytes", MaxNodeIDBytes)
	}
	if s.NodeID == "" {
		s.NodeID = r.NodeID
	}
	typeURL := r.TypeURL
	if s.onlyType != "" {
		if typeURL == "" {
			typeURL = s.onlyType
		}
		if typeURL != s.onlyType {
			return errorf("this service has no %q", truncate(typeURL))
		}
	}
	if !slices.Contains(updateOrder, typeURL) {
		// The proxy may support newer resource types; requests for them must not end the stream.
		if typeURL = truncate(typeURL); !slices.Contains(s.UnknownTypes, typeURL) {
			if len(s.UnknownTypes) >= maxUnknownTypes {
				return errorf("over %d types that are not served", maxUnknownTypes)
			}
			s.UnknownTypes = append(s.UnknownTypes, typeURL)
		}
		return nil
	}
	for _, list := range [][]string{r.Names, r.Subscribe, r.Unsubscribe} {
		if len(list) > MaxNames {
			return errorf("over %d names", MaxNames)
		}
		for _, name := range list {
			if len(name) > MaxNameBytes {
				return errorf("a name is over %d bytes", MaxNameBytes)
			}
		}
	}
	if len(r.InitialVersions) > MaxNames {
		return errorf("over %d initial versions", MaxNames)
	}
	sub := s.subscriptions[typeURL]
	first := sub == nil
	if first {
		sub = &subscription{names: map[string]bool{}, sent: map[string]*Resource{}, initialVersions: map[string]string{},
			rejected: map[string]bool{}}
		s.subscriptions[typeURL] = sub
	}
	if !first && r.Nonce != "" && r.Nonce != sub.nonce {
		// A stale nonce: this acknowledges an earlier response. In state of the world, the ACK of the last response repeats the
		// names.
		if s.delta {
			return s.changeNames(sub, r, false)
		}
		return nil
	}
	if !first && r.Nonce != "" {
		sub.recordAck(now, r)
	}
	if s.delta {
		return s.changeNames(sub, r, first)
	}
	s.setNames(sub, r, first)
	return nil
}

// recordAck processes an ACK or a NACK of the last response.
func (s *subscription) recordAck(now time.Duration, r *Request) {
	if !s.awaitingAck {
		return
	}
	s.awaitingAck = false
	for _, name := range s.lastNames {
		delete(s.rejected, name)
		if r.NackReason != "" {
			s.rejected[name] = true
		}
	}
	if r.NackReason != "" {
		// The resources count as sent: a rejected resource is not sent again before it changes.
		s.nackReason = truncate(r.NackReason)
		return
	}
	s.nackReason, s.ackedVersion = "", s.version
	if s.urgentSince != 0 {
		s.drainAcks = append(s.drainAcks, now-s.urgentSince)
		s.urgentSince = 0
	}
}

// setNames replaces the subscribed names with those of a state-of-the-world request.
func (s *Stream) setNames(sub *subscription, r *Request, first bool) {
	names := map[string]bool{}
	for _, name := range r.Names {
		names[name] = true
	}
	// A request without names subscribes to all resources, unless names were given before: then it subscribes to none.
	wildcard := names["*"] || len(names) == 0 && (first || sub.wildcard && len(sub.names) == 0)
	if r.TypeURL != TypeListener && r.TypeURL != TypeCluster && len(names) == 0 {
		wildcard = false // other types are subscribed to by name only
	}
	delete(names, "*")
	for name := range names {
		if !sub.names[name] {
			sub.responseDue = true
		}
	}
	if wildcard != sub.wildcard || first {
		sub.responseDue = true
	}
	if first && r.Version != "" {
		sub.version, sub.ackedVersion = r.Version, r.Version // from an earlier stream: an unchanged version is not sent again
	}
	for name := range sub.sent {
		if !wildcard && !names[name] {
			sub.forget(name)
		}
	}
	sub.names, sub.wildcard = names, wildcard
}

// changeNames applies the names that a delta request adds and removes.
func (s *Stream) changeNames(sub *subscription, r *Request, first bool) error {
	for name, version := range r.InitialVersions {
		if first && len(name) <= MaxNameBytes {
			sub.initialVersions[name] = version
		}
	}
	if first && len(r.Subscribe) == 0 && (r.TypeURL == TypeListener || r.TypeURL == TypeCluster) {
		sub.wildcard = true
	}
	for _, name := range r.Subscribe {
		if name == "*" {
			sub.wildcard = true
			continue
		}
		sub.names[name] = true
		sub.forget(name) // subscribed again: sent again, as the proxy may have dropped it
	}
	for _, name := range r.Unsubscribe {
		if name == "*" {
			sub.wildcard = false
			continue
		}
		delete(sub.names, name)
		if !sub.wildcard {
			sub.forget(name)
		}
	}
	if len(sub.names) > MaxNames {
		return errorf("over %d names", MaxNames)
	}
	return nil
}

// forget discards what the proxy was sent and has rejected of a resource.
func (s *subscription) forget(name string) {
	delete(s.sent, name)
	delete(s.rejected, name)
}

// Next returns the next response that is due, or nil, and the time after which a delayed response may be due, 0 for none. It is
// to be called when a response can be written, so that a proxy that reads slowly receives the newest state without the states
// in between.
func (s *Stream) Next(now time.Duration) (r *Response, wait time.Duration) {
	if s.snapshot == nil {
		return nil, 0
	}
	// An urgent endpoint update, such as a drain, is sent before all other types and does not wait for an ACK.
	var endpoints *Response
	if sub := s.subscriptions[TypeEndpoint]; sub != nil {
		if endpoints = s.pendingResponse(TypeEndpoint, sub); endpoints != nil && endpoints.Urgent {
			return s.recordSent(now, sub, endpoints), 0
		}
	}
	for _, typeURL := range updateOrder {
		sub := s.subscriptions[typeURL]
		if sub == nil || sub.awaitingAck {
			continue // at most one unacknowledged response per type; later changes are batched
		}
		r := endpoints
		if typeURL != TypeEndpoint {
			r = s.pendingResponse(typeURL, sub)
		}
		if r == nil {
			continue
		}
		if typeURL == TypeEndpoint && !sub.responseDue && len(sub.sent) > 0 {
			if due := sub.sentAt + minWeightInterval; now < due {
				if wait == 0 || due-now < wait {
					wait = due - now
				}
				continue
			}
		}
		return s.recordSent(now, sub, r), 0
	}
	return nil, wait
}

// subscribed returns the resources that a subscription covers, by name; nil stands for a resource that does not exist.
func (s *Stream) subscribed(typeURL string, sub *subscription) map[string]*Resource {
	resources := map[string]*Resource{}
	if sub.wildcard {
		maps.Copy(resources, s.snapshot.byType[typeURL])
	}
	for name := range sub.names {
		resources[name] = s.snapshot.byType[typeURL][name]
	}
	return resources
}

// pendingResponse returns the response that brings a subscription up to date, or nil if it is.
func (s *Stream) pendingResponse(typeURL string, sub *subscription) *Response {
	subscribed := s.subscribed(typeURL, sub)
	s.retainRoutedClusters(typeURL, sub, subscribed)
	changed, urgent := []*Resource{}, false
	for name, r := range subscribed {
		old, wasSent := sub.sent[name]
		if r == nil || wasSent && old != nil && old.Version == r.Version {
			continue
		}
		if wasSent && old != nil && old.UrgentHash != r.UrgentHash {
			urgent = true
		}
		changed = append(changed, r)
	}
	if s.delta {
		return s.pendingDelta(typeURL, sub, subscribed, changed, urgent)
	}
	existing := []*Resource{}
	for _, r := range subscribed {
		if r != nil {
			existing = append(existing, r)
		}
	}
	sortByName(existing)
	version := combinedVersion(existing)
	removed := false // a listener or cluster that was sent no longer exists; removal of other types cannot be expressed
	for name := range sub.sent {
		removed = removed || subscribed[name] == nil && (typeURL == TypeListener || typeURL == TypeCluster)
	}
	// A proxy that reconnects with the version that it would be sent is up to date.
	if len(changed) > 0 && len(sub.sent) == 0 && sub.nonce == "" && sub.version == version {
		for _, r := range existing {
			sub.sent[r.Name] = r
		}
		sub.responseDue = false
		return nil
	}
	complete := typeURL == TypeListener || typeURL == TypeCluster
	switch {
	case len(changed) == 0 && !removed && !sub.responseDue:
		return nil
	case len(existing) == 0 && !complete: // no subscribed resource exists: the protocol sends no response then
		return nil
	case len(changed) == 0 && !removed && sub.nonce != "" && len(existing) == len(sub.sent):
		sub.responseDue = false
		return nil
	}
	resources := existing
	if !complete && !sub.responseDue { // for these types, unchanged resources may be left out
		resources = changed
		sortByName(resources)
	}
	return &Response{TypeURL: typeURL, Version: version, Resources: resources, Urgent: urgent}
}

// pendingDelta returns the delta response with the changed and removed resources, or nil if there are none.
func (s *Stream) pendingDelta(typeURL string, sub *subscription, subscribed map[string]*Resource, changed []*Resource,
	urgent bool) *Response {
	r := &Response{TypeURL: typeURL, Urgent: urgent}
	for _, x := range changed {
		if sub.initialVersions[x.Name] == x.Version { // the proxy has this version from an earlier stream
			sub.sent[x.Name] = x
			delete(sub.initialVersions, x.Name)
			continue
		}
		r.Resources = append(r.Resources, x)
	}
	for name, x := range subscribed {
		if old, wasSent := sub.sent[name]; x == nil && (!wasSent || old != nil) {
			r.Removed = append(r.Removed, name)
		}
	}
	for name, old := range sub.sent {
		if _, still := subscribed[name]; !still && old != nil {
			r.Removed = append(r.Removed, name)
		}
	}
	for name := range sub.initialVersions { // sent on an earlier stream, and removed since
		if _, still := subscribed[name]; !still {
			r.Removed = append(r.Removed, name)
		}
	}
	if len(r.Resources) == 0 && len(r.Removed) == 0 {
		return nil
	}
	sortByName(r.Resources)
	slices.Sort(r.Removed)
	r.Removed = slices.Compact(r.Removed)
	r.Version = combinedVersion(r.Resources)
	return r
}

// retainRoutedClusters adds removed clusters to subscribed for as long as the proxy may have routes to them, that is, until it
// has accepted the routes of this snapshot. While it has rejected them, it uses the ones that it accepted before.
func (s *Stream) retainRoutedClusters(typeURL string, sub *subscription, subscribed map[string]*Resource) {
	routes := s.subscriptions[TypeRoute]
	if typeURL != TypeCluster || routes == nil {
		return
	}
	if !routes.awaitingAck && s.acceptedCurrentRoutes(routes) {
		return
	}
	for name, old := range sub.sent {
		if old != nil && subscribed[name] == nil {
			subscribed[name] = old
		}
	}
}

// acceptedCurrentRoutes reports whether the proxy was sent the routes of the snapshot, and has rejected none of them. A route
// that is gone counts as current once its removal was sent, or the proxy no longer subscribes to it.
func (s *Stream) acceptedCurrentRoutes(sub *subscription) bool {
	for name, r := range s.subscribed(TypeRoute, sub) {
		old := sub.sent[name]
		if sub.rejected[name] || (old == nil) != (r == nil) || r != nil && old.Version != r.Version {
			return false
		}
	}
	return true
}

// recordSent assigns the nonce of a response and records it as sent.
func (s *Stream) recordSent(now time.Duration, sub *subscription, r *Response) *Response {
	s.lastNonce++
	r.Nonce = strconv.FormatUint(s.lastNonce, 36)
	sub.nonce, sub.version, sub.awaitingAck, sub.sentAt, sub.responseDue, sub.nackReason = r.Nonce, r.Version, true, now, false, ""
	if r.Urgent && sub.urgentSince == 0 {
		sub.urgentSince = now
	}
	if !s.delta && (r.TypeURL == TypeListener || r.TypeURL == TypeCluster) {
		clear(sub.sent) // state of the world: a resource that is left out is removed
	}
	sub.lastNames = slices.Clone(r.Removed)
	for _, x := range r.Resources {
		sub.sent[x.Name] = x
		sub.lastNames = append(sub.lastNames, x.Name)
	}
	for _, name := range r.Removed {
		delete(sub.initialVersions, name)
		if sub.names[name] {
			sub.sent[name] = nil
		} else {
			delete(sub.sent, name)
		}
	}
	return r
}

func sortByName(list []*Resource) {
	slices.SortFunc(list, func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// truncate limits the length of a text received from a proxy.
func truncate(s string) string { return s[:min(len(s), maxTextBytes)] }

// TypeState is the status of a stream for one resource type.
type TypeState struct {
	TypeURL      string
	Names        int // number of subscribed names; -1 for all
	SentVersion  string
	AckedVersion string
	AckPending   time.Duration // time since the last response was sent if it has neither ACK nor NACK, else 0
	NackReason   string        // error message of the NACK of the last response, "" if there was none
}

// State returns the status of each subscribed type, in the order of updates.
func (s *Stream) State(now time.Duration) []TypeState {
	var states []TypeState
	for _, typeURL := range updateOrder {
		sub := s.subscriptions[typeURL]
		if sub == nil {
			continue
		}
		state := TypeState{TypeURL: typeURL, Names: len(sub.names), SentVersion: sub.version, AckedVersion: sub.ackedVersion,
			NackReason: sub.nackReason}
		if sub.wildcard {
			state.Names = -1
		}
		if sub.awaitingAck {
			state.AckPending = now - sub.sentAt
		}
		states = append(states, state)
	}
	return states
}

// TakeDrainAcks returns the times from the first unacknowledged urgent response to the ACK that followed, for the ACKs since the
// last call.
func (s *Stream) TakeDrainAcks() []time.Duration {
	sub := s.subscriptions[TypeEndpoint]
	if sub == nil {
		return nil
	}
	acks := sub.drainAcks
	sub.drainAcks = nil
	return acks
}

// DrainAckPending returns how long an urgent response has been without an ACK, 0 if there is none.
func (s *Stream) DrainAckPending(now time.Duration) time.Duration {
	if sub := s.subscriptions[TypeEndpoint]; sub != nil && sub.urgentSince != 0 {
		return now - sub.urgentSince
	}
	return 0
}
