package routing

import (
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"kitewood/balance"
)

// Member is one entry of an endpoint list.
type Member struct {
	Name, Address, Zone, Kind string
	Cell                      int
	State                     balance.State
	Weight                    float64
	StartedAt                 time.Duration // Unix time of its last start; 0 for long ago
}

// endpointTable holds the endpoints of the endpoint list.
type endpointTable struct {
	index  int64
	byName map[string]*Endpoint
	byID   map[balance.EndpointID]*Endpoint
}

func newEndpointTable() endpointTable {
	return endpointTable{byName: map[string]*Endpoint{}, byID: map[balance.EndpointID]*Endpoint{}}
}

// UpdateEndpoints handles an endpoint list, from any goroutine. It implements EndpointListReceiver.
func (l *Loop) UpdateEndpoints(kind balance.ListKind, index int64, members []Member) {
	l.post(func() { l.applyEndpoints(kind, index, members) })
}

// SetLeaseExpiry sets the time on the Loop's clock at which the lease of the endpoint list expires. Once it has expired
// nothing may be sent, as the list is too old. The lease covers the lists that were passed to UpdateEndpoints before this
// call. Any goroutine may call it; it does not wait for the Loop, as the caller may have other work to do.
func (l *Loop) SetLeaseExpiry(expiry time.Duration) {
	seq := l.expiryUpdates.Add(1)
	l.postAsync(func() {
		if seq < l.lastExpiryUpdate { // a later update was applied first
			return
		}
		l.lastExpiryUpdate = seq
		if expiry > time.Duration(l.lease.at.Load()) {
			l.confirmedAt = l.Now()
		}
		l.lease.at.Store(int64(expiry))
		l.balancer.SetLeaseExpiry(l.Now(), expiry)
	})
}

// lease is the lease of the endpoint list: the time from which nothing may be sent; 0 for never. Only the Loop sets it.
type lease struct{ at atomic.Int64 }

// expired reports whether the lease has expired, so that nothing may be sent.
func (l *lease) expired(now time.Duration) bool {
	at := l.at.Load()
	return at > 0 && int64(now) >= at
}

// leaseSlack is how long after the expiry an attempt may still begin without counting as a violation: the process may be
// delayed that long between the last check and the first byte, and the duration of the lease allows for it.
const leaseSlack = 150 * time.Millisecond

// violated reports whether an attempt that begins now violates the lease.
func (l *lease) violated(t time.Duration) bool { return l.expired(t) && l.expired(t-leaseSlack) }

// SourceLost reports, from any goroutine, that a watch has ended. It implements EndpointListReceiver.
func (l *Loop) SourceLost() {
	l.post(func() {
		l.metrics.SourcesLost++
		l.balancer.UpdateEndpoints(l.Now(), balance.Failed, nil)
	})
}

// applyEndpoints applies an endpoint list to the table and passes it to the Balancer.
func (l *Loop) applyEndpoints(kind balance.ListKind, index int64, members []Member) {
	l.endpoints.index = index
	var closed []string
	l.metrics.EndpointLists++
	// IDs are assigned in the order of names, so that all sidecars resolve a hash collision alike.
	slices.SortStableFunc(members, func(x, y Member) int {
		if x.Name < y.Name {
			return -1
		} else if x.Name > y.Name {
			return 1
		}
		return 0
	})
	endpoints := make([]balance.Endpoint, 0, len(members))
	listed, readyAddresses := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		ep := l.endpoints.findOrAdd(m.Name)
		listed[m.Name] = true
		readyAddresses[m.Address] = readyAddresses[m.Address] || m.State == balance.Ready
		if ep.isReplacedBy(m) { // use a new value, as attempts in flight refer to the old process
			l.transport.CloseIdle(ep)
			ep = l.endpoints.replace(ep, l.Now())
		}
		if m.Address != "" && m.Address != ep.Address { // of a new value: others read the address of one that is in use
			ep.Address = m.Address
		}
		ep.startedAt, ep.Zone, ep.member = l.startTime(ep, m), m.Zone, m
		if l.setClosed(ep, m.State != balance.Ready) {
			closed = append(closed, ep.Name)
		}
		endpoints = append(endpoints, balance.Endpoint{ID: ep.ID, Zone: indexOrLen(l.names.Zones, m.Zone),
			Kind: indexOrLen(l.names.Kinds, m.Kind), Cell: m.Cell, State: m.State, Units: m.Weight, ReadyAt: ep.startedAt})
		if m.State == balance.Gone {
			l.endpoints.remove(ep)
		}
	}
	for name, ep := range l.endpoints.byName {
		switch {
		case listed[name]:
		case kind != balance.Delta: // a full list omits endpoints that are gone
			if l.setClosed(ep, true) {
				closed = append(closed, name)
			}
			l.endpoints.remove(ep)
		// Another endpoint has the address now, so this one is gone: kept under both names, the address would get twice its share.
		case readyAddresses[ep.Address]:
			if l.setClosed(ep, true) {
				closed = append(closed, name)
			}
			l.endpoints.remove(ep)
			endpoints = append(endpoints, balance.Endpoint{ID: ep.ID, State: balance.Gone})
		}
	}
	l.listReceived = l.listReceived || kind != balance.Cached
	l.logEndpointList(kind, index, members, closed)
	l.balancer.UpdateEndpoints(l.Now(), kind, endpoints)
}

// maxStartReportLag is the longest delay after which a start is reported while the endpoint list's lease is valid.
const maxStartReportLag = 30 * time.Second

// maxClockSkew is by how much the clocks of two machines that are set by the same source may differ. A start that lies further in
// the future shows that a clock is wrong.
const maxClockSkew = 2 * time.Second

// startTime returns when an endpoint started, on this process's clock. The list has the time on discovery's wall clock, from
// which this machine's clock may differ by any amount. A start that is newly reported is therefore taken to be no earlier than
// the last renewal of the lease minus maxStartReportLag, and never to lie in the future. If a list was received from discovery
// before, an earlier time shows that the clocks differ, as that list did not have the start: it was about the last renewal then.
func (l *Loop) startTime(ep *Endpoint, m Member) time.Duration {
	switch m.StartedAt {
	case 0:
		return 0
	case ep.member.StartedAt:
		return ep.startedAt
	}
	startedAt := l.Now() - max(l.ageOf(m.StartedAt), 0)
	if l.confirmedAt == 0 || startedAt >= l.confirmedAt-maxStartReportLag {
		return startedAt
	}
	if l.listReceived {
		return l.confirmedAt
	}
	return l.confirmedAt - maxStartReportLag
}

// ageOf returns the time since a start by the wall clock, which can be stepped while the process runs. Discovery's clock may be
// stepped with it or not, so the age is taken by the clock as it is now and as it was when the process started: the smaller of the
// two, or the one that is possible.
func (l *Loop) ageOf(startedAt time.Duration) time.Duration {
	steady, current := l.Now()-startedAt, l.wallClock()-startedAt
	if steady < -maxClockSkew || current >= -maxClockSkew && current < steady {
		return current
	}
	return steady
}

// setClosed sets whether an endpoint accepts no new requests, and reports whether it was just closed. Attempts that are
// decided but not yet sent check the flag, so that nothing is sent to a draining endpoint.
func (l *Loop) setClosed(ep *Endpoint, closed bool) bool {
	if ep.closed.Swap(closed) == closed {
		return false
	}
	ep.closedAt = 0
	if !closed {
		return false
	}
	ep.closedAt = l.Now()
	l.transport.CloseIdle(ep)
	return true
}

// isReplacedBy reports whether a list entry names another process than the endpoint: one at another address, or one that started
// later. The connections of the old one may be open and silent, as after the loss of its machine.
func (ep *Endpoint) isReplacedBy(m Member) bool {
	return ep.Address != "" && (m.Address != "" && m.Address != ep.Address || m.StartedAt > ep.member.StartedAt)
}

// idsByAddress returns the IDs of all endpoints by address.
func (t *endpointTable) idsByAddress() map[string]balance.EndpointID {
	ids := make(map[string]balance.EndpointID, len(t.byName))
	for _, ep := range t.byName {
		ids[ep.Address] = ep.ID
	}
	return ids
}

// findOrAdd returns the endpoint with a name, and adds it if it is missing. Its ID is a hash of the name, so that all sidecars
// use the same ID; on a collision the endpoint that is added later gets the next free ID.
func (t *endpointTable) findOrAdd(name string) *Endpoint {
	if ep := t.byName[name]; ep != nil {
		return ep
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := balance.EndpointID(hash.Sum32())
	for t.byID[id] != nil {
		id++
	}
	ep := &Endpoint{ID: id, Name: name}
	t.byName[name], t.byID[id] = ep, ep
	return ep
}

// replace closes an endpoint and puts a new value with the same ID, name and state in its place. An endpoint that was closed
// before stays closed since then, under both values.
func (t *endpointTable) replace(old *Endpoint, now time.Duration) *Endpoint {
	ep := &Endpoint{ID: old.ID, Name: old.Name, Address: old.Address, closedAt: old.closedAt}
	if old.closed.Swap(true) {
		ep.closed.Store(true)
	} else {
		old.closedAt = now
	}
	t.byName[ep.Name], t.byID[ep.ID] = ep, ep
	return ep
}

// remove deletes an endpoint from the table.
func (t *endpointTable) remove(ep *Endpoint) {
	delete(t.byName, ep.Name)
	delete(t.byID, ep.ID)
}

// indexOrLen returns the index of a name in a list of the settings, or the length of the list if it is not in it.
func indexOrLen(list []string, name string) int {
	if index := slices.Index(list, name); index >= 0 {
		return index
	}
	return len(list)
}
