package count

import (
	"cmp"
	"slices"
	"time"
)

// Window is what all sidecars of one tier did in one stretch of time. Operations and attempts count where they began.
type Window struct {
	Tier              int
	From              time.Duration
	Operations        int
	ClientRepeats     int            // operations that clients marked as repeats
	Verdicts          map[string]int // final answers
	Attempts, Repeats int            // attempts, and those that were not an operation's first
	Statuses          map[string]int // how attempts ended
	Opened            int            // connections opened
	Asked, Lost       int            // calls to discovery, and watches that ended
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
		w := at(a.Tier, a.Came)
		w.Operations++
		w.Verdicts[a.Verdict]++
		if a.Repeat {
			w.ClientRepeats++
		}
	}
	for _, a := range f.Attempts {
		w := at(a.Tier, a.Sent)
		w.Attempts++
		w.Statuses[a.Status]++
		if a.Number > 0 {
			w.Repeats++
		}
		if a.Opened {
			w.Opened++
		}
	}
	for _, c := range f.Calls {
		if c.Lost {
			at(c.Tier, c.At).Lost++
		} else {
			at(c.Tier, c.At).Asked++
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
var Ages = [...]time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second}

// Destination is what one destination got from all sidecars together.
type Destination struct {
	Tier        int
	Name        string
	Sent, OK    int
	MostOut     int            // attempts out at once
	ByAge       [len(Ages)]int // sends by its age, none where it is old or its start is not known
	Unanswered  int            // the most attempts in a row, by when they were sent, that were not served
	Unserved    time.Duration  // from the first of these sends to the last
	FirstSentAt time.Duration
}

// Destinations adds up what each destination got, by tier and by when it first got something.
func (f *Fleet) Destinations() []*Destination {
	all := map[string]*Destination{}
	ends := map[string][]time.Duration{} // of attempts out, by destination
	type run struct {
		n    int
		from time.Duration
	}
	runs := map[string]run{}
	var out []*Destination
	for _, a := range f.Attempts { // in the order they were sent
		d := all[a.Destination]
		if d == nil {
			d = &Destination{Tier: a.Tier, Name: a.Destination, FirstSentAt: a.Sent}
			all[a.Destination] = d
			out = append(out, d)
		}
		d.Sent++
		if a.Age > 0 {
			if band := slices.IndexFunc(Ages[:], func(most time.Duration) bool { return a.Age < most }); band >= 0 {
				d.ByAge[band]++
			}
		}
		still := append(slices.DeleteFunc(ends[d.Name], func(t time.Duration) bool { return t <= a.Sent }), a.Ended)
		ends[d.Name], d.MostOut = still, max(d.MostOut, len(still))
		if a.Status == "ok" {
			d.OK++
			delete(runs, d.Name)
			continue
		}
		r := runs[d.Name]
		if r.n == 0 {
			r.from = a.Sent
		}
		r.n++
		runs[d.Name] = r
		if r.n > d.Unanswered {
			d.Unanswered, d.Unserved = r.n, a.Sent-r.from
		}
	}
	slices.SortStableFunc(out, func(x, y *Destination) int { return cmp.Compare(x.Tier, y.Tier) })
	return out
}

// Opens tells why a tier's connections were opened.
type Opens struct {
	Tier, Attempts int
	First          int // a sidecar's first to the destination
	Beside         int // another attempt of the sidecar was out there
	Again          int // it had one before, and none was in use: it was closed, or had been too short a time at rest
}

// Opens adds up the connections that were opened, by tier.
func (f *Fleet) Opens() []Opens {
	type pair struct {
		sidecar     int
		destination string
	}
	met, until := map[pair]bool{}, map[pair]time.Duration{}
	all := map[int]*Opens{}
	for _, a := range f.Attempts {
		o := all[a.Tier]
		if o == nil {
			o = &Opens{Tier: a.Tier}
			all[a.Tier] = o
		}
		o.Attempts++
		p := pair{a.Sidecar, a.Destination}
		switch {
		case !a.Opened:
		case !met[p]:
			o.First++
		case until[p] > a.Sent:
			o.Beside++
		default:
			o.Again++
		}
		met[p], until[p] = met[p] || a.Opened, max(until[p], a.Ended)
	}
	var out []Opens
	for _, o := range all {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(x, y Opens) int { return cmp.Compare(x.Tier, y.Tier) })
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
	served(func(a Attempt) { sum[a.Class] += a.Ended - a.Sent; n[a.Class]++ })
	slow, all := 0, 0
	served(func(a Attempt) {
		all++
		if float64(a.Ended-a.Sent) > times*float64(sum[a.Class])/float64(n[a.Class]) {
			slow++
		}
	})
	return float64(slow) / float64(max(all, 1))
}
