// Package account adds up what the processes of a fleet did together, from the ledger of a run alone: what each client's
// operation caused in all tiers, what was worked for nobody, who refused what, and what instances and discovery had to
// bear from all sidecars.
package account

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"kitewood/internal/lab/ledger"
)

// Account is the whole of it. Shares lie in 0..1; a share of nothing is 0.
type Account struct {
	ClientRequests     int     `json:"operations"` // clients' pieces of business
	ClientAttempts     int     `json:"tries"`      // of clients
	Attempts           int     `json:"attempts"`   // that reached instances, all tiers
	AttemptsPerRequest float64 `json:"attempts_per_operation"`
	MaxAttempts        int     `json:"most_attempts"`  // that one operation caused
	ExtraAttempts      float64 `json:"extra_attempts"` // share of attempts beyond the first of each call
	Work               float64 `json:"work"`           // core-seconds that instances began
	LostWork           float64 `json:"lost_work"`      // share of it whose answer reached no client

	Tiers     []Tier     `json:"tiers"`
	Sidecars  []Sidecar  `json:"sidecars"`
	Instances []Instance `json:"instances"`
	Discovery Rate       `json:"discovery"` // calls
	Seconds   []Second   `json:"seconds"`
}

// Rate is a count and the most of it in one second.
type Rate struct {
	Count        int `json:"count"`
	MaxPerSecond int `json:"most_a_second"`
}

// Tier is what happened in front of a tier and at its instances.
type Tier struct {
	Requests         int     `json:"calls"`    // operations that its sidecars took
	Attempts         int     `json:"attempts"` // that reached its instances
	Rejected         int     `json:"refused"`  // answered busy by its sidecars
	Failed           int     `json:"failed"`
	RejectedAttempts int     `json:"turned"` // attempts that instances turned away
	Work             float64 `json:"work"`
	LostWork         float64 `json:"lost_work"`
	RejectionSpread  float64 `json:"refusals_spread"` // between its sidecars' shares of refusals, of those with like traffic
}

// Sidecar is one sidecar beside the others of its tier.
type Sidecar struct {
	Name     string `json:"name"`
	Tier     int    `json:"tier"`
	Requests int    `json:"calls"`
	Rejected int    `json:"refused"`
}

// Instance is what all sidecars together did to an instance.
type Instance struct {
	Name                 string `json:"name"`
	Tier                 int    `json:"tier"`
	Probes               Rate   `json:"probes"`
	Connections          Rate   `json:"connections"`
	AttemptsAfterFailure Rate   `json:"trials"` // attempts after one that was not served, up to the next that is
	Attempts             Rate   `json:"attempts"`
}

// Second is one second of a run.
type Second struct {
	ClientRequests    int     `json:"asked"`   // pieces of business that came
	Utility           float64 `json:"worth"`   // asked for
	InTime            float64 `json:"in_time"` // of that worth, served by the aim
	Classes           []Class `json:"classes"`
	ClientRetries     int     `json:"repeats"` // tries of clients after the first
	Attempts          []int   `json:"attempts"`
	Rejected          []int   `json:"refused"` // by sidecars, by tier
	Probes            int     `json:"probes"`
	ConnectionsOpened int     `json:"opened"`
	Discovery         int     `json:"discovery"`
}

// Class is one class's part of a second.
type Class struct {
	Utility float64 `json:"worth"`
	InTime  float64 `json:"in_time"`
}

// Of adds up the entries of a run, which are in order of time.
func Summarize(entries []ledger.Entry, goal ledger.Objective) *Account {
	b := &book{a: &Account{}, calls: map[string]*call{}, copies: map[uint64]*attempt{}, under: map[uint64][]string{},
		tries: map[int][]string{}, instances: map[string]*instance{}, sidecars: map[string]*Sidecar{}}
	for i := range entries {
		b.take(&entries[i])
	}
	b.worths(entries, goal)
	return b.finish()
}

// call is one operation at a sidecar: a client's try, or an instance's call.
type call struct {
	tier   int
	copies []uint64
	served uint64 // the attempt whose answer the caller got; 0 for none
}

// attempt is one that reached an instance.
type attempt struct {
	tier   int
	work   float64
	void   bool // no work: it was turned away, or the machine was off the network
	useful bool
}

type instance struct {
	Instance
	unserved bool
	seconds  map[[2]int]int // by what and second
}

type book struct {
	a         *Account
	calls     map[string]*call
	copies    map[uint64]*attempt
	under     map[uint64][]string // calls that were made for an attempt
	tries     map[int][]string    // of clients
	instances map[string]*instance
	sidecars  map[string]*Sidecar
}

// What is counted by the second at an instance.
const (
	probes = iota
	opened
	trials
	attempts
)

func (b *book) tier(n int) *Tier {
	for len(b.a.Tiers) <= n {
		b.a.Tiers = append(b.a.Tiers, Tier{})
	}
	return &b.a.Tiers[n]
}

func (b *book) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(b.a.Seconds) <= n {
		b.a.Seconds = append(b.a.Seconds, Second{})
	}
	return &b.a.Seconds[n]
}

// at counts one in a tier's place.
func at(list *[]int, tier int) {
	for len(*list) <= tier {
		*list = append(*list, 0)
	}
	(*list)[tier]++
}

func (b *book) instance(e *ledger.Entry) *instance {
	i := b.instances[e.Instance]
	if i == nil {
		i = &instance{Instance: Instance{Name: e.Instance, Tier: e.Tier}, seconds: map[[2]int]int{}}
		b.instances[e.Instance] = i
	}
	return i
}

func (i *instance) count(r *Rate, what int, at time.Duration) {
	key := [2]int{what, int(at / time.Second)}
	i.seconds[key]++
	r.Count++
	r.MaxPerSecond = max(r.MaxPerSecond, i.seconds[key])
}

func (b *book) sidecar(e *ledger.Entry) *Sidecar {
	s := b.sidecars[e.Sidecar]
	if s == nil {
		s = &Sidecar{Name: e.Sidecar, Tier: e.Tier}
		b.sidecars[e.Sidecar] = s
	}
	return s
}

func (b *book) take(e *ledger.Entry) {
	switch e.Kind {
	case ledger.RequestSent, ledger.RequestUnsent:
		b.ask(e)
	case ledger.AttemptArrived:
		b.arrive(e)
	case ledger.AttemptEnded:
		b.ended(e)
	case ledger.Answered:
		b.answered(e)
	case ledger.ConnectionOpened:
		i := b.instance(e)
		i.count(&i.Connections, opened, e.At)
		b.second(e.At).ConnectionsOpened++
	case ledger.Probed:
		i := b.instance(e)
		i.count(&i.Probes, probes, e.At)
		b.second(e.At).Probes++
	case ledger.DiscoveryCalled:
		s := b.second(e.At)
		s.Discovery++
		b.a.Discovery.Count++
		b.a.Discovery.MaxPerSecond = max(b.a.Discovery.MaxPerSecond, s.Discovery)
	}
}

func (b *book) ask(e *ledger.Entry) {
	if e.ClientRequest > 0 {
		b.tries[e.ClientRequest] = append(b.tries[e.ClientRequest], e.ID)
		b.a.ClientAttempts++
		if e.Retry {
			b.second(e.At).ClientRetries++
		}
	}
	if e.Kind == ledger.RequestUnsent {
		return
	}
	b.calls[e.ID] = &call{tier: e.Tier}
	b.tier(e.Tier).Requests++
	b.sidecar(e).Requests++
	if e.ParentAttempt != 0 {
		b.under[e.ParentAttempt] = append(b.under[e.ParentAttempt], e.ID)
	}
}

func (b *book) arrive(e *ledger.Entry) {
	t, i := b.tier(e.Tier), b.instance(e)
	t.Attempts++
	at(&b.second(e.At).Attempts, e.Tier)
	i.count(&i.Attempts, attempts, e.At)
	if i.unserved {
		i.count(&i.AttemptsAfterFailure, trials, e.At)
	}
	silent := e.Note == "silent"
	b.copies[e.AttemptID] = &attempt{tier: e.Tier, work: e.Work, void: silent}
	c := b.calls[e.ID]
	if c == nil { // its caller was gone before its word of the request was entered
		c = &call{tier: e.Tier}
		b.calls[e.ID] = c
	}
	c.copies = append(c.copies, e.AttemptID)
	i.unserved = i.unserved || silent
}

func (b *book) ended(e *ledger.Entry) {
	i := b.instance(e)
	i.unserved = e.Outcome != "served"
	if x := b.copies[e.AttemptID]; x != nil && e.Outcome == "turned" {
		x.void = true
		b.tier(e.Tier).RejectedAttempts++
	}
}

func (b *book) answered(e *ledger.Entry) {
	switch {
	case e.Status == 200:
		if c := b.calls[e.ID]; c != nil {
			for _, n := range c.copies {
				if tokenOf(e.Note) == n {
					c.served = n
				}
			}
		}
	case e.Status == 503 || e.Status == 429:
		b.tier(e.Tier).Rejected++
		b.sidecar(e).Rejected++
		at(&b.second(e.At).Rejected, e.Tier)
	default:
		b.tier(e.Tier).Failed++
	}
}

// tokenOf is the attempt that an answer's note names; 0 for none.
func tokenOf(note string) uint64 {
	n, _ := strconv.ParseUint(note[strings.LastIndexByte(note, '/')+1:], 10, 64)
	return n
}

// worths counts what clients asked for and got, by the second in which they asked.
func (b *book) worths(entries []ledger.Entry, goal ledger.Objective) {
	for _, c := range ledger.ClientRequests(entries) {
		if c.Attempts == 0 || c.Class >= len(goal.Classes) {
			continue
		}
		b.a.ClientRequests++
		s, worth := b.second(c.IntendedAt), goal.Classes[c.Class].Utility
		if goal.UtilityPerWork {
			worth *= c.Work
		}
		if s.Classes == nil {
			s.Classes = make([]Class, len(goal.Classes))
		}
		s.ClientRequests++
		s.Utility += worth
		s.Classes[c.Class].Utility += worth
		if c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+goal.Classes[c.Class].LatencyTarget {
			s.InTime += worth
			s.Classes[c.Class].InTime += worth
		}
	}
}

// caused is how many attempts a call has led to, in all tiers; useful marks those that its answer rests on.
func (b *book) caused(id string, useful bool) int {
	c := b.calls[id]
	if c == nil {
		return 0
	}
	n := len(c.copies)
	for _, copy := range c.copies {
		mine := useful && copy == c.served
		if mine {
			b.copies[copy].useful = true
		}
		for _, below := range b.under[copy] {
			n += b.caused(below, mine)
		}
	}
	return n
}

func (b *book) finish() *Account {
	a := b.a
	for _, ids := range b.tries {
		n := 0
		for _, id := range ids {
			n += b.caused(id, true)
		}
		a.MaxAttempts = max(a.MaxAttempts, n)
	}
	lost := make([]float64, len(a.Tiers))
	for _, x := range b.copies {
		if x.void {
			continue
		}
		a.Tiers[x.tier].Work += x.work
		if !x.useful {
			lost[x.tier] += x.work
		}
	}
	sum, firsts := 0.0, 0
	for t := range a.Tiers {
		a.Attempts += a.Tiers[t].Attempts
		a.Work += a.Tiers[t].Work
		sum += lost[t]
		a.Tiers[t].LostWork = part(lost[t], a.Tiers[t].Work)
	}
	a.LostWork = part(sum, a.Work)
	for _, c := range b.calls {
		if len(c.copies) > 0 {
			firsts++
		}
	}
	a.AttemptsPerRequest, a.ExtraAttempts = part(float64(a.Attempts), float64(a.ClientRequests)), part(float64(a.Attempts-firsts), float64(a.Attempts))
	for _, s := range b.sidecars {
		a.Sidecars = append(a.Sidecars, *s)
	}
	slices.SortFunc(a.Sidecars, func(x, y Sidecar) int { return cmp.Or(x.Tier-y.Tier, cmp.Compare(x.Name, y.Name)) })
	for t := range a.Tiers {
		a.Tiers[t].RejectionSpread = spread(a.Sidecars, t)
	}
	for _, i := range b.instances {
		a.Instances = append(a.Instances, i.Instance)
	}
	slices.SortFunc(a.Instances, func(x, y Instance) int { return cmp.Or(x.Tier-y.Tier, cmp.Compare(x.Name, y.Name)) })
	return a
}

// spread is between the highest and the lowest share of refusals among a tier's sidecars that took at least three quarters
// of what the middle one did, and no more than a third more.
func spread(all []Sidecar, tier int) float64 {
	var of []Sidecar
	for _, s := range all {
		if s.Tier == tier && s.Requests > 0 {
			of = append(of, s)
		}
	}
	if len(of) == 0 {
		return 0
	}
	slices.SortFunc(of, func(x, y Sidecar) int { return x.Requests - y.Requests })
	middle := float64(of[len(of)/2].Requests)
	low, high := 1.0, 0.0
	for _, s := range of {
		if n := float64(s.Requests); n >= 0.75*middle && n <= 4*middle/3 {
			share := float64(s.Rejected) / n
			low, high = math.Min(low, share), math.Max(high, share)
		}
	}
	return math.Max(high-low, 0)
}

func part(x, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return x / of
}

// All is every class.
const AllClasses = -1

// Served is the share of the worth asked for from one time to another that was served in time, of one class or of All; ok
// is false where nothing was asked for.
func (a *Account) ServedShare(class int, from, to time.Duration) (share float64, ok bool) {
	worth, got := a.sum(class, from, to)
	return part(got, worth), worth > 0
}

// Worth is what was served in time from one time to another, a second.
func (a *Account) UtilityRate(from, to time.Duration) float64 {
	_, got := a.sum(AllClasses, from, to)
	return part(got, (to - from).Seconds())
}

func (a *Account) sum(class int, from, to time.Duration) (worth, got float64) {
	for n, s := range a.Seconds {
		if at := time.Duration(n) * time.Second; at < from || at >= to {
			continue
		}
		switch {
		case class == AllClasses:
			worth, got = worth+s.Utility, got+s.InTime
		case class < len(s.Classes):
			worth, got = worth+s.Classes[class].Utility, got+s.Classes[class].InTime
		}
	}
	return worth, got
}
