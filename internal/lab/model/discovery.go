package model

import (
	"slices"
	"sort"
	"time"
)

// Status is what discovery says of an instance.
type Status string

// The statuses of the platform's discovery.
const (
	Ready       Status = "Ready"
	Terminating Status = "Terminating"
	Gone        Status = "Gone"
)

// Member is an entry of discovery's list.
type Member struct {
	Name      string
	Kind      string
	Group     int
	Status    Status
	StartedAt time.Duration // of its last start; 0 for long ago
}

// DiscoveryConfig says how slow and coarse discovery is.
type DiscoveryConfig struct {
	Period         time.Duration // changes are published together, once in each
	CallsPerSecond float64       // calls a second, served in turn
	Timeout        time.Duration // a call that waits longer fails
	KeptVersions   int           // published versions that a watch may resume from
	// RefuseFull has a call that would wait too long fail at once, which costs a tenth of a turn; otherwise it fails after its
	// time-out.
	RejectWhenFull bool
	// WorksOffFailed has a call that fails after its time-out take its turn all the same, as whoever serves calls does not know
	// that nobody waits any more.
	ServeTimedOut bool
}

// Update is what a call or a watch is told.
type Update struct {
	Index   int64
	Full    bool
	Members []Member
}

// Discovery is the service that tells sidecars of instances. It sees changes late and publishes them in versions.
type Discovery struct {
	config  DiscoveryConfig
	index   int64
	now     map[string]Member
	log     []Update // versions published, oldest first
	pending []due
	next    time.Duration
	free    time.Duration // when the calls taken so far are served
	slower  float64       // than its capacity says; 0 for not
}

type due struct {
	at     time.Duration
	member Member
}

// NewDiscovery starts with a list known to all, as version 1.
func NewDiscovery(config DiscoveryConfig, members []Member) *Discovery {
	d := &Discovery{config: config, index: 1, now: map[string]Member{}}
	for _, m := range members {
		d.now[m.Name] = m
	}
	return d
}

// Change tells of a member that discovery will see at a time. What it would have seen later of the same member is older
// news and falls away.
func (d *Discovery) ScheduleChange(at time.Duration, m Member) {
	d.pending = slices.DeleteFunc(d.pending, func(p due) bool { return p.member.Name == m.Name && p.at >= at })
	d.pending = append(d.pending, due{at, m})
	slices.SortStableFunc(d.pending, func(a, b due) int { return int(a.at - b.at) })
}

// Next tells when a version may be published.
func (d *Discovery) NextPublish() (time.Duration, bool) {
	if len(d.pending) == 0 {
		return 0, false
	}
	return max(d.pending[0].at, d.next), true
}

// Advance publishes what has been seen by now; the update is empty if there is nothing.
func (d *Discovery) Advance(now time.Duration) (Update, bool) {
	if t, any := d.NextPublish(); !any || now < t {
		return Update{}, false
	}
	changed := map[string]Member{}
	for len(d.pending) > 0 && d.pending[0].at <= now {
		m := d.pending[0].member
		d.pending = d.pending[1:]
		changed[m.Name] = m
		if m.Status == Gone {
			delete(d.now, m.Name)
		} else {
			d.now[m.Name] = m
		}
	}
	d.index++
	u := Update{Index: d.index, Members: sorted(changed)}
	d.log = append(d.log, u)
	if len(d.log) > max(d.config.KeptVersions, 1) {
		d.log = d.log[1:]
	}
	d.next = now + d.config.Period
	return u, true
}

// Since is what changed after a version, or the whole list where that is too long ago.
func (d *Discovery) ChangesSince(index int64) Update {
	u := Update{Index: d.index}
	if index > d.index || index < d.index-int64(len(d.log)) {
		u.Full, u.Members = true, sorted(d.now)
		return u
	}
	changed := map[string]Member{}
	for _, v := range d.log {
		if v.Index > index {
			for _, m := range v.Members {
				changed[m.Name] = m
			}
		}
	}
	u.Members = sorted(changed)
	return u
}

// Call takes a call in turn: when it is served, or false with when it fails because it waited too long.
func (d *Discovery) Call(now time.Duration) (time.Duration, bool) {
	begin := max(now, d.free)
	turn := time.Duration(float64(time.Second) / d.config.CallsPerSecond * max(d.slower, 1))
	switch {
	case begin-now <= d.config.Timeout:
		d.free = begin + turn
		return d.free, true
	case d.config.RejectWhenFull:
		d.free = begin + turn/refusalShare
		return now, false
	}
	if d.config.ServeTimedOut {
		d.free = begin + turn
	}
	return now + d.config.Timeout, false
}

// refusalShare is the part of a call's turn that a refusal takes.
const refusalShare = 10

// Slow has calls take so many times their turn.
func (d *Discovery) SetSlowdown(factor float64) { d.slower = factor }

func sorted(members map[string]Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
