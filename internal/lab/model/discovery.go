package model

import (
	"slices"
	"sort"
	"time"
)

// Status is the status of an instance in discovery.
type Status string

// The statuses of the platform's discovery.
const (
	Ready       Status = "Ready"
	Terminating Status = "Terminating"
	Gone        Status = "Gone"
)

// Member is an entry in discovery's endpoint list.
type Member struct {
	Name      string
	Kind      string
	Group     int
	Status    Status
	StartedAt time.Duration // time of its last start; 0 if it started before the run
}

// DiscoveryConfig describes the delays and limits of discovery.
type DiscoveryConfig struct {
	Period         time.Duration // changes are batched and published at most once per period
	CallsPerSecond float64       // calls are served one after another
	Timeout        time.Duration // a call that waits longer in the queue fails
	KeptVersions   int           // number of published versions from which a watch may resume
	// RejectWhenFull makes a call that would wait too long fail immediately, at a tenth of a call's service time. Otherwise it
	// fails after its timeout.
	RejectWhenFull bool
	// ServeTimedOut makes a call that timed out consume its service time all the same, as a server does that cannot tell
	// that the caller has gone away.
	ServeTimedOut bool
}

// Update is the response to a call or a message on a watch.
type Update struct {
	Index   int64
	Full    bool
	Members []Member
}

// Discovery is the service that tells sidecars which instances exist. It sees changes with a delay and publishes them as
// numbered versions.
type Discovery struct {
	config      DiscoveryConfig
	index       int64
	members     map[string]Member
	versions    []Update // published versions, oldest first
	pending     []pendingChange
	nextPublish time.Duration
	busyUntil   time.Duration // when all calls accepted so far have been served
	slowdown    float64       // factor on the service time of calls; 0 for none
}

// pendingChange is a member change and the time at which discovery sees it.
type pendingChange struct {
	at     time.Duration
	member Member
}

// NewDiscovery returns a discovery whose version 1 is the given list.
func NewDiscovery(config DiscoveryConfig, members []Member) *Discovery {
	d := &Discovery{config: config, index: 1, members: map[string]Member{}}
	for _, m := range members {
		d.members[m.Name] = m
	}
	return d
}

// ScheduleChange schedules a member change that discovery sees at the given time. Changes of the same member that were
// scheduled for later are obsolete and are dropped.
func (d *Discovery) ScheduleChange(at time.Duration, m Member) {
	d.pending = slices.DeleteFunc(d.pending, func(p pendingChange) bool { return p.member.Name == m.Name && p.at >= at })
	d.pending = append(d.pending, pendingChange{at, m})
	slices.SortStableFunc(d.pending, func(a, b pendingChange) int { return int(a.at - b.at) })
}

// NextPublish returns the earliest time at which the next version may be published, or false if no change is pending.
func (d *Discovery) NextPublish() (time.Duration, bool) {
	if len(d.pending) == 0 {
		return 0, false
	}
	return max(d.pending[0].at, d.nextPublish), true
}

// Advance publishes the changes seen so far. It returns false if there are none or the period has not passed.
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
			delete(d.members, m.Name)
		} else {
			d.members[m.Name] = m
		}
	}
	d.index++
	u := Update{Index: d.index, Members: sortedByName(changed)}
	d.versions = append(d.versions, u)
	if len(d.versions) > max(d.config.KeptVersions, 1) {
		d.versions = d.versions[1:]
	}
	d.nextPublish = now + d.config.Period
	return u, true
}

// ChangesSince returns the changes after a version, or the full list if that version is no longer kept or is unknown.
func (d *Discovery) ChangesSince(index int64) Update {
	u := Update{Index: d.index}
	if index > d.index || index < d.index-int64(len(d.versions)) {
		u.Full, u.Members = true, sortedByName(d.members)
		return u
	}
	changed := map[string]Member{}
	for _, v := range d.versions {
		if v.Index > index {
			for _, m := range v.Members {
				changed[m.Name] = m
			}
		}
	}
	u.Members = sortedByName(changed)
	return u
}

// Call queues a call. It returns when the call is served, or false and when it fails because its wait exceeds the timeout.
func (d *Discovery) Call(now time.Duration) (time.Duration, bool) {
	start := max(now, d.busyUntil)
	serviceTime := time.Duration(float64(time.Second) / d.config.CallsPerSecond * max(d.slowdown, 1))
	switch {
	case start-now <= d.config.Timeout:
		d.busyUntil = start + serviceTime
		return d.busyUntil, true
	case d.config.RejectWhenFull:
		d.busyUntil = start + serviceTime/rejectionSpeedup
		return now, false
	}
	if d.config.ServeTimedOut {
		d.busyUntil = start + serviceTime
	}
	return now + d.config.Timeout, false
}

// rejectionSpeedup is how many times less service time a rejected call takes than a served one.
const rejectionSpeedup = 10

// SetSlowdown multiplies the service time of calls by a factor.
func (d *Discovery) SetSlowdown(factor float64) { d.slowdown = factor }

func sortedByName(members map[string]Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
