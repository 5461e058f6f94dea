// Package account aggregates the activity of a whole fleet from the ledger of a run alone: the attempts that each client
// request caused in all tiers, the work whose result reached no client, rejections by sidecar, and the load on instances and
// discovery from all sidecars together.
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

// Account holds the totals of a run. Shares lie in 0..1; a share of nothing is 0.
type Account struct {
	ClientRequests     int     `json:"operations"` // of clients, each with its retries
	ClientAttempts     int     `json:"tries"`      // including retries
	Attempts           int     `json:"attempts"`   // that reached instances, all tiers
	AttemptsPerRequest float64 `json:"attempts_per_operation"`
	MaxAttempts        int     `json:"most_attempts"`  // that one client request caused
	ExtraAttempts      float64 `json:"extra_attempts"` // share of attempts beyond the first of each request at a sidecar
	Work               float64 `json:"work"`           // core-seconds that instances began
	LostWork           float64 `json:"lost_work"`      // share of Work whose answer reached no client

	Tiers     []Tier     `json:"tiers"`
	Sidecars  []Sidecar  `json:"sidecars"`
	Instances []Instance `json:"instances"`
	Discovery Rate       `json:"discovery"` // calls
	Seconds   []Second   `json:"seconds"`
}

// Rate is a count and its maximum in one second.
type Rate struct {
	Count        int `json:"count"`
	MaxPerSecond int `json:"most_a_second"`
}

// Tier holds the totals of a tier's sidecars and instances.
type Tier struct {
	Requests         int     `json:"calls"`    // that its sidecars received
	Attempts         int     `json:"attempts"` // that reached its instances
	Rejected         int     `json:"refused"`  // by its sidecars
	Failed           int     `json:"failed"`
	RejectedAttempts int     `json:"turned"` // by its instances, unprocessed
	Work             float64 `json:"work"`
	LostWork         float64 `json:"lost_work"`
	RejectionSpread  float64 `json:"refusals_spread"` // see rejectionSpread
}

// Sidecar holds the totals of one sidecar.
type Sidecar struct {
	Name     string `json:"name"`
	Tier     int    `json:"tier"`
	Requests int    `json:"calls"`
	Rejected int    `json:"refused"`
}

// Instance is the load on one instance from all sidecars together.
type Instance struct {
	Name                 string `json:"name"`
	Tier                 int    `json:"tier"`
	Probes               Rate   `json:"probes"`
	Connections          Rate   `json:"connections"`
	AttemptsAfterFailure Rate   `json:"trials"` // attempts after one that was not served, until the next that is served
	Attempts             Rate   `json:"attempts"`
}

// Second holds the totals of one second of a run.
type Second struct {
	ClientRequests    int     `json:"asked"`   // intended in this second
	Utility           float64 `json:"worth"`   // of these requests
	InTime            float64 `json:"in_time"` // utility of those served within their latency target
	Classes           []Class `json:"classes"`
	ClientRetries     int     `json:"repeats"` // attempts of clients after the first
	Attempts          []int   `json:"attempts"`
	Rejected          []int   `json:"refused"` // by sidecars, by tier
	Probes            int     `json:"probes"`
	ConnectionsOpened int     `json:"opened"`
	Discovery         int     `json:"discovery"`
}

// Class holds one class's part of a Second.
type Class struct {
	Utility float64 `json:"worth"`
	InTime  float64 `json:"in_time"`
}

// Summarize aggregates the entries of a run, which are in order of time.
func Summarize(entries []ledger.Entry, objective ledger.Objective) *Account {
	b := &builder{account: &Account{}, requests: map[string]*request{}, attempts: map[uint64]*attempt{}, childRequests: map[uint64][]string{},
		clientAttempts: map[int][]string{}, instances: map[string]*instance{}, sidecars: map[string]*Sidecar{}}
	for i := range entries {
		b.add(&entries[i])
	}
	b.addUtility(entries, objective)
	return b.finish()
}

// request is one request at a sidecar, from a client or from an instance.
type request struct {
	tier     int
	attempts []uint64
	servedBy uint64 // the attempt whose answer the caller got; 0 for none
}

// attempt is an attempt that reached an instance.
type attempt struct {
	tier     int
	work     float64
	excluded bool // counts as no work: the instance rejected it, or its machine was off the network
	useful   bool // its answer contributed to an answer that a client got
}

// instance is an Instance under construction.
type instance struct {
	Instance
	lastUnserved bool           // the last attempt was not served
	perSecond    map[[2]int]int // by counter and second
}

// builder holds the state of Summarize.
type builder struct {
	account        *Account
	requests       map[string]*request
	attempts       map[uint64]*attempt
	childRequests  map[uint64][]string // by the attempt that they were made for
	clientAttempts map[int][]string    // by client request
	instances      map[string]*instance
	sidecars       map[string]*Sidecar
}

// Counters of an instance that are kept by the second.
const (
	probeCount = iota
	connectionCount
	afterFailureCount
	attemptCount
)

func (b *builder) tier(n int) *Tier {
	for len(b.account.Tiers) <= n {
		b.account.Tiers = append(b.account.Tiers, Tier{})
	}
	return &b.account.Tiers[n]
}

func (b *builder) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(b.account.Seconds) <= n {
		b.account.Seconds = append(b.account.Seconds, Second{})
	}
	return &b.account.Seconds[n]
}

// increment adds one to the element of a tier, and extends the list if needed.
func increment(list *[]int, tier int) {
	for len(*list) <= tier {
		*list = append(*list, 0)
	}
	(*list)[tier]++
}

func (b *builder) instance(e *ledger.Entry) *instance {
	i := b.instances[e.Instance]
	if i == nil {
		i = &instance{Instance: Instance{Name: e.Instance, Tier: e.Tier}, perSecond: map[[2]int]int{}}
		b.instances[e.Instance] = i
	}
	return i
}

// count adds one to a rate and updates its maximum per second. The counter is one of the constants above.
func (i *instance) count(r *Rate, counter int, at time.Duration) {
	key := [2]int{counter, int(at / time.Second)}
	i.perSecond[key]++
	r.Count++
	r.MaxPerSecond = max(r.MaxPerSecond, i.perSecond[key])
}

func (b *builder) sidecar(e *ledger.Entry) *Sidecar {
	s := b.sidecars[e.Sidecar]
	if s == nil {
		s = &Sidecar{Name: e.Sidecar, Tier: e.Tier}
		b.sidecars[e.Sidecar] = s
	}
	return s
}

func (b *builder) add(e *ledger.Entry) {
	switch e.Kind {
	case ledger.RequestSent, ledger.RequestUnsent:
		b.addRequest(e)
	case ledger.AttemptArrived:
		b.addArrival(e)
	case ledger.AttemptEnded:
		b.addEnd(e)
	case ledger.Answered:
		b.addAnswer(e)
	case ledger.ConnectionOpened:
		i := b.instance(e)
		i.count(&i.Connections, connectionCount, e.At)
		b.second(e.At).ConnectionsOpened++
	case ledger.Probed:
		i := b.instance(e)
		i.count(&i.Probes, probeCount, e.At)
		b.second(e.At).Probes++
	case ledger.DiscoveryCalled:
		s := b.second(e.At)
		s.Discovery++
		b.account.Discovery.Count++
		b.account.Discovery.MaxPerSecond = max(b.account.Discovery.MaxPerSecond, s.Discovery)
	}
}

func (b *builder) addRequest(e *ledger.Entry) {
	if e.ClientRequest > 0 {
		b.clientAttempts[e.ClientRequest] = append(b.clientAttempts[e.ClientRequest], e.ID)
		b.account.ClientAttempts++
		if e.Retry {
			b.second(e.At).ClientRetries++
		}
	}
	if e.Kind == ledger.RequestUnsent {
		return
	}
	b.requests[e.ID] = &request{tier: e.Tier}
	b.tier(e.Tier).Requests++
	b.sidecar(e).Requests++
	if e.ParentAttempt != 0 {
		b.childRequests[e.ParentAttempt] = append(b.childRequests[e.ParentAttempt], e.ID)
	}
}

func (b *builder) addArrival(e *ledger.Entry) {
	t, i := b.tier(e.Tier), b.instance(e)
	t.Attempts++
	increment(&b.second(e.At).Attempts, e.Tier)
	i.count(&i.Attempts, attemptCount, e.At)
	if i.lastUnserved {
		i.count(&i.AttemptsAfterFailure, afterFailureCount, e.At)
	}
	silent := e.Note == "silent"
	b.attempts[e.AttemptID] = &attempt{tier: e.Tier, work: e.Work, excluded: silent}
	r := b.requests[e.ID]
	if r == nil { // its caller was gone before the request was recorded as sent
		r = &request{tier: e.Tier}
		b.requests[e.ID] = r
	}
	r.attempts = append(r.attempts, e.AttemptID)
	i.lastUnserved = i.lastUnserved || silent
}

func (b *builder) addEnd(e *ledger.Entry) {
	i := b.instance(e)
	i.lastUnserved = e.Outcome != "served"
	if a := b.attempts[e.AttemptID]; a != nil && e.Outcome == "turned" {
		a.excluded = true
		b.tier(e.Tier).RejectedAttempts++
	}
}

func (b *builder) addAnswer(e *ledger.Entry) {
	switch {
	case e.Status == 200:
		if r := b.requests[e.ID]; r != nil {
			for _, id := range r.attempts {
				if attemptFromNote(e.Note) == id {
					r.servedBy = id
				}
			}
		}
	case e.Status == 503 || e.Status == 429:
		b.tier(e.Tier).Rejected++
		b.sidecar(e).Rejected++
		increment(&b.second(e.At).Rejected, e.Tier)
	default:
		b.tier(e.Tier).Failed++
	}
}

// attemptFromNote returns the ID of the attempt that an answer's note names; 0 for none.
func attemptFromNote(note string) uint64 {
	n, _ := strconv.ParseUint(note[strings.LastIndexByte(note, '/')+1:], 10, 64)
	return n
}

// addUtility adds the utility of all client requests and of those served in time, by the second of their intended time.
func (b *builder) addUtility(entries []ledger.Entry, objective ledger.Objective) {
	for _, c := range ledger.ClientRequests(entries) {
		if c.Attempts == 0 || c.Class >= len(objective.Classes) {
			continue
		}
		b.account.ClientRequests++
		s, utility := b.second(c.IntendedAt), objective.Classes[c.Class].Utility
		if objective.UtilityPerWork {
			utility *= c.Work
		}
		if s.Classes == nil {
			s.Classes = make([]Class, len(objective.Classes))
		}
		s.ClientRequests++
		s.Utility += utility
		s.Classes[c.Class].Utility += utility
		if c.ServedAt != 0 && c.ServedAt <= c.IntendedAt+objective.Classes[c.Class].LatencyTarget {
			s.InTime += utility
			s.Classes[c.Class].InTime += utility
		}
	}
}

// countAttempts returns how many attempts a request caused in all tiers. If useful is set, it marks those that contributed to
// the answer.
func (b *builder) countAttempts(id string, useful bool) int {
	r := b.requests[id]
	if r == nil {
		return 0
	}
	n := len(r.attempts)
	for _, copy := range r.attempts {
		contributes := useful && copy == r.servedBy
		if contributes {
			b.attempts[copy].useful = true
		}
		for _, child := range b.childRequests[copy] {
			n += b.countAttempts(child, contributes)
		}
	}
	return n
}

func (b *builder) finish() *Account {
	a := b.account
	for _, ids := range b.clientAttempts {
		n := 0
		for _, id := range ids {
			n += b.countAttempts(id, true)
		}
		a.MaxAttempts = max(a.MaxAttempts, n)
	}
	lost := make([]float64, len(a.Tiers))
	for _, x := range b.attempts {
		if x.excluded {
			continue
		}
		a.Tiers[x.tier].Work += x.work
		if !x.useful {
			lost[x.tier] += x.work
		}
	}
	totalLost, reached := 0.0, 0
	for t := range a.Tiers {
		a.Attempts += a.Tiers[t].Attempts
		a.Work += a.Tiers[t].Work
		totalLost += lost[t]
		a.Tiers[t].LostWork = ratio(lost[t], a.Tiers[t].Work)
	}
	a.LostWork = ratio(totalLost, a.Work)
	for _, r := range b.requests {
		if len(r.attempts) > 0 {
			reached++
		}
	}
	a.AttemptsPerRequest, a.ExtraAttempts = ratio(float64(a.Attempts), float64(a.ClientRequests)), ratio(float64(a.Attempts-reached), float64(a.Attempts))
	for _, s := range b.sidecars {
		a.Sidecars = append(a.Sidecars, *s)
	}
	slices.SortFunc(a.Sidecars, func(x, y Sidecar) int { return cmp.Or(x.Tier-y.Tier, cmp.Compare(x.Name, y.Name)) })
	for t := range a.Tiers {
		a.Tiers[t].RejectionSpread = rejectionSpread(a.Sidecars, t)
	}
	for _, i := range b.instances {
		a.Instances = append(a.Instances, i.Instance)
	}
	slices.SortFunc(a.Instances, func(x, y Instance) int { return cmp.Or(x.Tier-y.Tier, cmp.Compare(x.Name, y.Name)) })
	return a
}

// rejectionSpread returns the difference between the highest and the lowest share of rejections among a tier's sidecars that
// received between 3/4 and 4/3 of the median sidecar's requests.
func rejectionSpread(all []Sidecar, tier int) float64 {
	var inTier []Sidecar
	for _, s := range all {
		if s.Tier == tier && s.Requests > 0 {
			inTier = append(inTier, s)
		}
	}
	if len(inTier) == 0 {
		return 0
	}
	slices.SortFunc(inTier, func(x, y Sidecar) int { return x.Requests - y.Requests })
	median := float64(inTier[len(inTier)/2].Requests)
	low, high := 1.0, 0.0
	for _, s := range inTier {
		if n := float64(s.Requests); n >= 0.75*median && n <= 4*median/3 {
			share := float64(s.Rejected) / n
			low, high = math.Min(low, share), math.Max(high, share)
		}
	}
	return math.Max(high-low, 0)
}

// ratio returns part/whole, or 0 if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// AllClasses stands for every class.
const AllClasses = -1

// ServedShare returns the share of the utility of the requests intended between two times that was served in time, for one
// class or AllClasses; ok is false if there were no requests.
func (a *Account) ServedShare(class int, from, to time.Duration) (share float64, ok bool) {
	offered, achieved := a.sumUtility(class, from, to)
	return ratio(achieved, offered), offered > 0
}

// UtilityRate returns the utility per second that was served in time, for requests intended between two times.
func (a *Account) UtilityRate(from, to time.Duration) float64 {
	_, achieved := a.sumUtility(AllClasses, from, to)
	return ratio(achieved, (to - from).Seconds())
}

func (a *Account) sumUtility(class int, from, to time.Duration) (offered, achieved float64) {
	for n, s := range a.Seconds {
		if at := time.Duration(n) * time.Second; at < from || at >= to {
			continue
		}
		switch {
		case class == AllClasses:
			offered, achieved = offered+s.Utility, achieved+s.InTime
		case class < len(s.Classes):
			offered, achieved = offered+s.Classes[class].Utility, achieved+s.Classes[class].InTime
		}
	}
	return offered, achieved
}
