package count

import (
	"cmp"
	"slices"
	"time"
)

// Window is what all sidecars of one tier did in one stretch of time. Operations and attempts count where they began.
type Window struct {
	Tier                         int
	From                         time.Duration
	Requests                     int
	ClientRetries                int            // operations that clients marked as repeats
	Verdicts                     map[string]int // final answers
	Attempts, Retries            int            // attempts, and those that were not an operation's first
	Statuses                     map[string]int // how attempts ended
	ConnectionsOpened            int            // connections opened
	DiscoveryCalls, WatchesEnded int            // calls to discovery, and watches that ended
}

// Windows adds up a fleet's doings in stretches of a length, by tier and time.
func (f *Fleet) Windows(length time.Duration) []*Window {
	type place struct{ tier, n int }
	all := map[place]*Window{}
	at := func(tier int, t time.Duration) *Window {
		p := place{tier, int(max(t, 0) / length)}
		if all[p] == nil {
			all[p] = &Window{Tier: tier, From: time.Duration(p.n) * length, Verdicts: map[string]int{}, Statuses: map[string]int{}}
		}
		return all[p]
	}
	for _, a := range f.Answers {
		w := at(a.Tier, a.ReceivedAt)
		w.Requests++
		w.Verdicts[a.Verdict]++
		if a.ClientRetry {
			w.ClientRetries++
		}
	}
	for _, a := range f.Attempts {
		w := at(a.Tier, a.SentAt)
		w.Attempts++
		w.Statuses[a.Status]++
		if a.Number > 0 {
			w.Retries++
		}
		if a.OpenedConnection {
			w.ConnectionsOpened++
		}
	}
	for _, c := range f.DiscoveryEvents {
		if c.WatchEnded {
			at(c.Tier, c.At).WatchesEnded++
		} else {
			at(c.Tier, c.At).DiscoveryCalls++
		}
	}
	out := make([]*Window, 0, len(all))
	for _, w := range all {
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y *Window) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.From, y.From))
	})
	return out
}

// Ages are the bounds of the bands of age that sends to a destination are counted by; the last band has none.
var AgeBounds = [...]time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second}

// Destination is what one destination got from all sidecars together.
type Endpoint struct {
	Tier               int
	Name               string
	Sent, OK           int
	MaxInFlight        int                 // attempts out at once
	ByAge              [len(AgeBounds)]int // sends by its age, none where it is old or its start is not known
	LongestFailureRun  int                 // the most attempts in a row, by when they were sent, that were not served
	FailureRunDuration time.Duration       // from the first of these sends to the last
	FirstSentAt        time.Duration
}

// Destinations adds up what each destination got, by tier and by when it first got something.
func (f *Fleet) Endpoints() []*Endpoint {
	all := map[string]*Endpoint{}
	ends := map[string][]time.Duration{} // of attempts out, by destination
	type run struct {
		n    int
		from time.Duration
	}
	runs := map[string]run{}
	var out []*Endpoint
	for _, a := range f.Attempts { // in the order they were sent
		d := all[a.Endpoint]
		if d == nil {
			d = &Endpoint{Tier: a.Tier, Name: a.Endpoint, FirstSentAt: a.SentAt}
			all[a.Endpoint] = d
			out = append(out, d)
		}
		d.Sent++
		if a.Age > 0 {
			if band := slices.IndexFunc(AgeBounds[:], func(most time.Duration) bool { return a.Age < most }); band >= 0 {
				d.ByAge[band]++
			}
		}
		still := append(slices.DeleteFunc(ends[d.Name], func(t time.Duration) bool { return t <= a.SentAt }), a.EndedAt)
		ends[d.Name], d.MaxInFlight = still, max(d.MaxInFlight, len(still))
		if a.Status == "ok" {
			d.OK++
			delete(runs, d.Name)
			continue
		}
		r := runs[d.Name]
		if r.n == 0 {
			r.from = a.SentAt
		}
		r.n++
		runs[d.Name] = r
		if r.n > d.LongestFailureRun {
			d.LongestFailureRun, d.FailureRunDuration = r.n, a.SentAt-r.from
		}
	}
	slices.SortStableFunc(out, func(x, y *Endpoint) int { return cmp.Compare(x.Tier, y.Tier) })
	return out
}

// Opens tells why a tier's connections were opened.
type ConnectionOpens struct {
	Tier, Attempts int
	First          int // a sidecar's first to the destination
	Concurrent     int // another attempt of the sidecar was out there
	Reopened       int // it had one before, and none was in use: it was closed, or had been too short a time at rest
}

// Opens adds up the connections that were opened, by tier.
func (f *Fleet) ConnectionOpens() []ConnectionOpens {
	type pair struct {
		sidecar     int
		destination string
	}
	met, until := map[pair]bool{}, map[pair]time.Duration{}
	all := map[int]*ConnectionOpens{}
	for _, a := range f.Attempts {
		o := all[a.Tier]
		if o == nil {
			o = &ConnectionOpens{Tier: a.Tier}
			all[a.Tier] = o
		}
		o.Attempts++
		p := pair{a.Sidecar, a.Endpoint}
		switch {
		case !a.OpenedConnection:
		case !met[p]:
			o.First++
		case until[p] > a.SentAt:
			o.Concurrent++
		default:
			o.Reopened++
		}
		met[p], until[p] = met[p] || a.OpenedConnection, max(until[p], a.EndedAt)
	}
	var out []ConnectionOpens
	for _, o := range all {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(x, y ConnectionOpens) int { return cmp.Compare(x.Tier, y.Tier) })
	return out
}

// SlowShare is the share of a tier's served attempts that took over so many times the mean of their class: what a sidecar
// that doubts a server from there on doubts for nothing.
func (f *Fleet) SlowShare(tier int, times float64) float64 {
	sum, n := map[int]time.Duration{}, map[int]int{}
	served := func(yield func(Attempt)) {
		for _, a := range f.Attempts {
			if a.Tier == tier && a.Status == "ok" {
				yield(a)
			}
		}
	}
	served(func(a Attempt) { sum[a.Class] += a.EndedAt - a.SentAt; n[a.Class]++ })
	slow, all := 0, 0
	served(func(a Attempt) {
		all++
		if float64(a.EndedAt-a.SentAt) > times*float64(sum[a.Class])/float64(n[a.Class]) {
			slow++
		}
	})
	return float64(slow) / float64(max(all, 1))
}
