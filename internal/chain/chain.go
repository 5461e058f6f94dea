package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits are what a service's sidecars hold operations to.
type Limits struct {
	Service    string // the name that operations carry from here on
	MaxHops    int    // services that an operation may pass at the most
	MaxRetries int    // that one operation may cause in all tiers, where it comes without a word
}

// Refusal is why an operation goes no further: it has been here, or has passed as many services as it may. The route is
// wrong, and trying again helps nobody.
type Rejection struct {
	Reason string
}

// Book is one sidecar's account of the chains that pass it. It is not safe for concurrent use.
//
// Repeats are never made, only passed on: what an operation came with is either kept here for its own repeats, given to the
// attempt that is sent, or back in the pot of its token when the operation ends and has not used it. So all attempts that
// one client operation causes in all tiers are at most 1 + Repeats times those that it causes where nothing is repeated.
type Tracker struct {
	limits         Limits
	rng            *rand.Rand
	budgets        map[string]*retryBudget
	creationOrder  []string // of pots, those that end first at the front where deadlines are alike
	reportedRoutes map[string]bool
}

// pot is what is left for the calls of one token.
type retryBudget struct {
	retries   int
	expiresAt time.Duration
	active    int // operations that came with it
}

// mostPots bounds the memory for tokens. One beyond it has no repeats: that is safe.
const maxRecords = 4096

// New returns a Book. The seed draws its tokens, which no two sidecars may share.
func New(limits Limits, seed uint64) *Tracker {
	return &Tracker{limits: limits, rng: rand.New(rand.NewPCG(seed, 0x636861696e)), budgets: map[string]*retryBudget{}, reportedRoutes: map[string]bool{}}
}

// Visit is an operation while it is here.
type Entry struct {
	Deadline time.Duration // when nobody waits any more
	Utility  float64       // that it came with; the one given here where it came without a word
	Retries  int           // that it may make itself

	tracker     *Tracker
	header      Header
	budget      *retryBudget
	nextRetries int // for the attempt that goes out next
	sent        bool
}

// Enter takes an operation with the text of its word, empty if it has none, whose client waits until a deadline. A text that
// cannot be read is an error; the Refusal says that a word forbids to go on. first tells whether this route is refused for the
// first time.
func (b *Tracker) Enter(now time.Duration, text string, deadline time.Duration, worth float64) (v *Entry, no *Rejection, first bool, err error) {
	v = &Entry{tracker: b, Deadline: deadline, Utility: worth, header: Header{Retries: b.limits.MaxRetries}}
	if text != "" {
		if v.header, err = Parse(text); err != nil {
			return nil, nil, false, err
		}
		if no := b.checkRoute(v.header.Via); no != nil {
			route := strings.Join(v.header.Via, ">")
			first := !b.reportedRoutes[route] && len(b.reportedRoutes) < maxRecords
			if first {
				b.reportedRoutes[route] = true
			}
			return nil, no, first, nil
		}
		v.Deadline = min(deadline, now+v.header.TimeLeft)
		v.Utility = v.header.Utility
		v.budget = b.acquireBudget(now, v)
	}
	repeats := v.header.Retries
	if v.budget != nil {
		repeats, v.budget.retries = v.budget.retries, 0
	}
	// Half stays here, the larger one: a repeat here makes up for all that is below.
	v.Retries = (repeats + 1) / 2
	v.nextRetries = repeats - v.Retries
	return v, nil, false, nil
}

func (b *Tracker) checkRoute(via []string) *Rejection {
	switch {
	case slices.Contains(via, b.limits.Service):
		return &Rejection{Reason: fmt.Sprintf("%s calls itself, by way of %s", b.limits.Service, strings.Join(via, ", "))}
	case len(via) >= b.limits.MaxHops:
		return &Rejection{Reason: fmt.Sprintf("it has passed %d services, which is the most", len(via))}
	}
	return nil
}

// take finds or opens the pot of a word's token.
func (b *Tracker) acquireBudget(now time.Duration, v *Entry) *retryBudget {
	for len(b.creationOrder) > 0 {
		p := b.budgets[b.creationOrder[0]]
		if p != nil && (p.active > 0 || p.expiresAt > now) {
			break
		}
		delete(b.budgets, b.creationOrder[0])
		b.creationOrder = b.creationOrder[1:]
	}
	p := b.budgets[v.header.Token]
	if p == nil {
		p = &retryBudget{retries: v.header.Retries, expiresAt: v.Deadline}
		if len(b.budgets) >= maxRecords {
			p.retries = 0
			return p
		}
		b.budgets[v.header.Token] = p
		b.creationOrder = append(b.creationOrder, v.header.Token)
	}
	p.active++
	return p
}

// Send is the word of the attempt that goes out now. The first takes what is given on; a repeat takes half of what is left
// here once it is paid for, and where it cannot be paid for it must not go out: ok is false.
func (v *Entry) NextAttempt(now time.Duration) (text string, ok bool) {
	if v.sent {
		if v.Retries == 0 {
			return "", false
		}
		v.Retries--
		v.nextRetries, v.Retries = v.Retries/2, v.Retries-v.Retries/2
	}
	w := Header{TimeLeft: v.Deadline - now, Retries: v.nextRetries, Utility: v.Utility, Token: strconv.FormatUint(v.tracker.rng.Uint64(), 36),
		Via: append(slices.Clone(v.header.Via), v.tracker.limits.Service)}
	v.sent, v.nextRetries = true, 0
	return w.String(), true
}

// End gives back what the operation has not used. It is called once.
func (v *Entry) Release() {
	if v.budget != nil {
		v.budget.retries += v.Retries + v.nextRetries
		v.budget.active--
	}
}
