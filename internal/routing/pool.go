package routing

import (
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"kitewood/balance"
)

// Member is an entry of an endpoint list.
type Member struct {
	Name, Address, Zone, Kind string
	Cell                      int
	State                     balance.State
	Weight                    float64
	StartedAt                 time.Duration // Unix time of its last start; 0 for long ago
}

// pool holds the destinations that the endpoint list has named.
type pool struct {
	index  int64
	byName map[string]*Endpoint
	byID   map[balance.EndpointID]*Endpoint
}

func newPool() pool {
	return pool{byName: map[string]*Endpoint{}, byID: map[balance.EndpointID]*Endpoint{}}
}

// Pool takes an endpoint list, from any goroutine.
func (l *Loop) UpdateEndpoints(kind balance.ListKind, index int64, members []Member) {
	l.post(func() { l.applyPool(kind, index, members) })
}

// Hold takes from which time of its clock on nothing may be sent, as the endpoint list is too old then, from any goroutine. It
// goes by the lists that were handed over before. It does not wait for the Loop: whoever calls may be asked for other things.
func (l *Loop) SetLeaseExpiry(from time.Duration) {
	order := l.holds.Add(1)
	l.hand(func() {
		if order < l.lastHold { // a later word has overtaken it
			return
		}
		l.lastHold = order
		if from > time.Duration(l.hold.from.Load()) {
			l.confirmedAt = l.Now()
		}
		l.hold.from.Store(int64(from))
		l.balancer.SetLeaseExpiry(l.Now(), from)
	})
}

// sendHold says from when on nothing may be sent; 0 for never. The Loop alone sets it.
type sendHold struct{ from atomic.Int64 }

// holds tells whether nothing may be sent now.
func (h *sendHold) holds(now time.Duration) bool {
	from := h.from.Load()
	return from > 0 && int64(now) >= from
}

// holdSlack is how long after its begin a pause counts against what has begun: the process may be held up for so long between
// its last look and its first byte, and the lease leaves room for that.
const holdSlack = 150 * time.Millisecond

// broken tells whether what begins now breaks the pause.
func (h *sendHold) broken(now time.Duration) bool { return h.holds(now) && h.holds(now-holdSlack) }

// Lost says that a watch has ended, from any goroutine.
func (l *Loop) SourceLost() {
	l.post(func() {
		l.metrics.SourcesLost++
		l.balancer.UpdateEndpoints(l.Now(), balance.Failed, nil)
	})
}

func (l *Loop) applyPool(kind balance.ListKind, index int64, members []Member) {
	l.pool.index = index
	var closed []string
	l.metrics.EndpointLists++
	// Ids are given in the order of names, so that a collision falls out alike at every sidecar.
	slices.SortStableFunc(members, func(x, y Member) int {
		if x.Name < y.Name {
			return -1
		} else if x.Name > y.Name {
			return 1
		}
		return 0
	})
	servers := make([]balance.Endpoint, 0, len(members))
	named, at := map[string]bool{}, map[string]bool{}
	for _, m := range members {
		d := l.pool.name(m.Name)
		named[m.Name] = true
		at[m.Address] = at[m.Address] || m.State == balance.Ready
		if m.Address != d.Address && m.Address != "" {
			if d.Address != "" { // it has moved: a new value, for attempts that are out hold the old one
				l.carrier.CloseIdle(d)
				d.closedAt = l.Now()
				d = l.pool.replace(d)
			}
			d.Address = m.Address
		}
		d.since, d.Zone, d.member = l.startOf(d, m), m.Zone, m
		if l.closeTo(d, m.State != balance.Ready) {
			closed = append(closed, d.Name)
		}
		servers = append(servers, balance.Endpoint{ID: d.ID, Zone: place(l.names.Zones, m.Zone),
			Kind: place(l.names.Kinds, m.Kind), Cell: m.Cell, State: m.State, Units: m.Weight, ReadyAt: d.since})
		if m.State == balance.Gone {
			l.pool.drop(d)
		}
	}
	for name, d := range l.pool.byName {
		switch {
		case named[name]:
		case kind != balance.Delta: // a whole list leaves out what is gone
			if l.closeTo(d, true) {
				closed = append(closed, name)
			}
			l.pool.drop(d)
		case at[d.Address]: // another is there now, so this one is gone: sent to by both names, it would get twice its share
			if l.closeTo(d, true) {
				closed = append(closed, name)
			}
			l.pool.drop(d)
			servers = append(servers, balance.Endpoint{ID: d.ID, State: balance.Gone})
		}
	}
	l.logPool(kind, index, members, closed)
	l.balancer.UpdateEndpoints(l.Now(), kind, servers)
}

// newsLag is how late the news of a start may come while the endpoint list is confirmed.
const newsLag = 30 * time.Second

// startOf is when a destination started, on this process's clock. The list tells it by discovery's wall clock, and this
// machine's can be off by any amount; but a start that is news is no older than the last time the list was confirmed, less the
// lag of the news, and none lies in the future.
func (l *Loop) startOf(d *Endpoint, m Member) time.Duration {
	switch m.StartedAt {
	case 0:
		return 0
	case d.member.StartedAt:
		return d.since
	}
	since := min(m.StartedAt, l.Now())
	if l.confirmedAt > 0 {
		since = max(since, l.confirmedAt-newsLag)
	}
	return since
}

// closeTo guards the drain rule: attempts that are decided but not yet on their way look at the flag. It tells whether the
// destination has just been closed.
func (l *Loop) closeTo(d *Endpoint, closed bool) bool {
	if d.closed.Swap(closed) == closed {
		return false
	}
	d.closedAt = 0
	if !closed {
		return false
	}
	d.closedAt = l.Now()
	l.carrier.CloseIdle(d)
	return true
}

// byAddress are the ids of all destinations.
func (p *pool) byAddress() map[string]balance.EndpointID {
	out := make(map[string]balance.EndpointID, len(p.byName))
	for _, d := range p.byName {
		out[d.Address] = d.ID
	}
	return out
}

// name finds or makes the destination of a name. Its id is a hash of the name, for every sidecar must know it by the
// same; where two names share one, the later takes the next that is free.
func (p *pool) name(name string) *Endpoint {
	if d := p.byName[name]; d != nil {
		return d
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := balance.EndpointID(h.Sum32())
	for p.byID[id] != nil {
		id++
	}
	d := &Endpoint{ID: id, Name: name}
	p.byName[name], p.byID[id] = d, d
	return d
}

func (p *pool) replace(old *Endpoint) *Endpoint {
	d := &Endpoint{ID: old.ID, Name: old.Name}
	d.closed.Store(old.closed.Load())
	old.closed.Store(true)
	p.byName[d.Name], p.byID[d.ID] = d, d
	return d
}

func (p *pool) drop(d *Endpoint) {
	delete(p.byName, d.Name)
	delete(p.byID, d.ID)
}

// place is a name's place in a list of the settings; one that is not in it comes after all.
func place(list []string, name string) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return len(list)
}
