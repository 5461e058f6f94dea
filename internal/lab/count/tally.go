package count

import (
	"cmp"
	"slices"
	"time"
)

// Window holds the totals of all sidecars of one tier in one interval of time. Requests and attempts count in the interval in
// which they began.
type Window struct {
	Tier                         int
	From                         time.Duration
	Requests                     int
	ClientRetries                int            // requests that clients marked as retries
	Verdicts                     map[string]int // final answers, by verdict
	Attempts, Retries            int            // attempts, and those that were not the first of a request
	Statuses                     map[string]int // ends of attempts, by status
	ConnectionsOpened            int
	DiscoveryCalls, WatchesEnded int // calls to discovery, and watches of it that ended
}

// Windows returns the totals of a fleet in intervals of the given length, by tier and time.
func (f *Fleet) Windows(length time.Duration) []*Window {
	type key struct{ tier, n int }
	all := map[key]*Window{}
	at := func(tier int, t time.Duration) *Window {
		k := key{tier, int(max(t, 0) / length)}
		if all[k] == nil {
			all[k] = &Window{Tier: tier, From: time.Duration(k.n) * length, Verdicts: map[string]int{}, Statuses: map[string]int{}}
		}
		return all[k]
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
	for _, e := range f.DiscoveryEvents {
		if e.WatchEnded {
			at(e.Tier, e.At).WatchesEnded++
		} else {
			at(e.Tier, e.At).DiscoveryCalls++
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

// AgeBounds are the upper bounds of the age bands by which attempts at an endpoint are counted. Older attempts are not
// counted by age.
var AgeBounds = [...]time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second}

// Endpoint holds the totals of one endpoint over all sidecars.
type Endpoint struct {
	Tier               int
	Name               string
	Sent, OK           int
	MaxInFlight        int                 // maximum of attempts in flight at once
	ByAge              [len(AgeBounds)]int // attempts by the age of the endpoint, if it is known and within AgeBounds
	LongestFailureRun  int                 // maximum of consecutive attempts, by the time they were sent, that were not served
	FailureRunDuration time.Duration       // from the first of these attempts to the last, by the time they were sent
	FirstSentAt        time.Duration
}

// Endpoints returns the totals of each endpoint, by tier and by the time of its first attempt.
func (f *Fleet) Endpoints() []*Endpoint {
	all := map[string]*Endpoint{}
	ends := map[string][]time.Duration{} // ends of the attempts in flight, by endpoint
	type run struct {                    // of attempts that were not served
		n    int
		from time.Duration
	}
	runs := map[string]run{}
	var out []*Endpoint
	for _, a := range f.Attempts { // in the order they were sent
		ep := all[a.Endpoint]
		if ep == nil {
			ep = &Endpoint{Tier: a.Tier, Name: a.Endpoint, FirstSentAt: a.SentAt}
			all[a.Endpoint] = ep
			out = append(out, ep)
		}
		ep.Sent++
		if a.Age > 0 {
			if band := slices.IndexFunc(AgeBounds[:], func(bound time.Duration) bool { return a.Age < bound }); band >= 0 {
				ep.ByAge[band]++
			}
		}
		inFlight := append(slices.DeleteFunc(ends[ep.Name], func(t time.Duration) bool { return t <= a.SentAt }), a.EndedAt)
		ends[ep.Name], ep.MaxInFlight = inFlight, max(ep.MaxInFlight, len(inFlight))
		if a.Status == "ok" {
			ep.OK++
			delete(runs, ep.Name)
			continue
		}
		r := runs[ep.Name]
		if r.n == 0 {
			r.from = a.SentAt
		}
		r.n++
		runs[ep.Name] = r
		if r.n > ep.LongestFailureRun {
			ep.LongestFailureRun, ep.FailureRunDuration = r.n, a.SentAt-r.from
		}
	}
	slices.SortStableFunc(out, func(x, y *Endpoint) int { return cmp.Compare(x.Tier, y.Tier) })
	return out
}

// ConnectionOpens counts the connections that a tier's sidecars opened, by reason.
type ConnectionOpens struct {
	Tier, Attempts int
	First          int // the first of a sidecar to the endpoint
	Concurrent     int // another attempt of the sidecar was in flight there
	Reopened       int // the sidecar had opened one before, and none was in use: it was closed, or had not been idle for long enough
}

// ConnectionOpens returns the counts of opened connections by tier.
func (f *Fleet) ConnectionOpens() []ConnectionOpens {
	type pair struct {
		sidecar  int
		endpoint string
	}
	opened, busyUntil := map[pair]bool{}, map[pair]time.Duration{}
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
		case !opened[p]:
			o.First++
		case busyUntil[p] > a.SentAt:
			o.Concurrent++
		default:
			o.Reopened++
		}
		opened[p], busyUntil[p] = opened[p] || a.OpenedConnection, max(busyUntil[p], a.EndedAt)
	}
	var out []ConnectionOpens
	for _, o := range all {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(x, y ConnectionOpens) int { return cmp.Compare(x.Tier, y.Tier) })
	return out
}

// SlowShare returns the share of a tier's served attempts that took longer than a multiple of the mean of their class: the
// false alarms of a sidecar that suspects an endpoint from this multiple on.
func (f *Fleet) SlowShare(tier int, multiple float64) float64 {
	sum, n := map[int]time.Duration{}, map[int]int{}
	served := func(yield func(Attempt)) {
		for _, a := range f.Attempts {
			if a.Tier == tier && a.Status == "ok" {
				yield(a)
			}
		}
	}
	served(func(a Attempt) { sum[a.Class] += a.EndedAt - a.SentAt; n[a.Class]++ })
	slow, total := 0, 0
	served(func(a Attempt) {
		total++
		if float64(a.EndedAt-a.SentAt) > multiple*float64(sum[a.Class])/float64(n[a.Class]) {
			slow++
		}
	})
	return float64(slow) / float64(max(total, 1))
}
