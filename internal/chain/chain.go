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
	limits Limits
	rng    *rand.Rand
	pots   map[string]*pot
	order  []string // of pots, those that end first at the front where deadlines are alike
	routes map[string]bool
}

// pot is what is left for the calls of one token.
type pot struct {
	repeats int
	until   time.Duration
	open    int // operations that came with it
}

// mostPots bounds the memory for tokens. One beyond it has no repeats: that is safe.
const mostPots = 4096

// New returns a Book. The seed draws its tokens, which no two sidecars may share.
func New(limits Limits, seed uint64) *Tracker {
	return &Tracker{limits: limits, rng: rand.New(rand.NewPCG(seed, 0x636861696e)), pots: map[string]*pot{}, routes: map[string]bool{}}
}

// Visit is an operation while it is here.
type Entry struct {
	Deadline time.Duration // when nobody waits any more
	Utility  float64       // that it came with; the one given here where it came without a word
	Retries  int           // that it may make itself

	book *Tracker
	word Header
	pot  *pot
	give int // for the attempt that goes out next
	sent bool
}

// Enter takes an operation with the text of its word, empty if it has none, whose client waits until a deadline. A text that
// cannot be read is an error; the Refusal says that a word forbids to go on. first tells whether this route is refused for the
// first time.
func (b *Tracker) Enter(now time.Duration, text string, deadline time.Duration, worth float64) (v *Entry, no *Rejection, first bool, err error) {
	v = &Entry{book: b, Deadline: deadline, Utility: worth, word: Header{Retries: b.limits.MaxRetries}}
	if text != "" {
		if v.word, err = Parse(text); err != nil {
			return nil, nil, false, err
		}
		if no := b.refuse(v.word.Via); no != nil {
			route := strings.Join(v.word.Via, ">")
			first := !b.routes[route] && len(b.routes) < mostPots
			if first {
				b.routes[route] = true
			}
			return nil, no, first, nil
		}
		v.Deadline = min(deadline, now+v.word.TimeLeft)
		v.Utility = v.word.Utility
		v.pot = b.take(now, v)
	}
	repeats := v.word.Retries
	if v.pot != nil {
		repeats, v.pot.repeats = v.pot.repeats, 0
	}
	// Half stays here, the larger one: a repeat here makes up for all that is below.
	v.Retries = (repeats + 1) / 2
	v.give = repeats - v.Retries
	return v, nil, false, nil
}

func (b *Tracker) refuse(via []string) *Rejection {
	switch {
	case slices.Contains(via, b.limits.Service):
		return &Rejection{Reason: fmt.Sprintf("%s calls itself, by way of %s", b.limits.Service, strings.Join(via, ", "))}
	case len(via) >= b.limits.MaxHops:
		return &Rejection{Reason: fmt.Sprintf("it has passed %d services, which is the most", len(via))}
	}
	return nil
}

// take finds or opens the pot of a word's token.
func (b *Tracker) take(now time.Duration, v *Entry) *pot {
	for len(b.order) > 0 {
		p := b.pots[b.order[0]]
		if p != nil && (p.open > 0 || p.until > now) {
			break
		}
		delete(b.pots, b.order[0])
		b.order = b.order[1:]
	}
	p := b.pots[v.word.Token]
	if p == nil {
		p = &pot{repeats: v.word.Retries, until: v.Deadline}
		if len(b.pots) >= mostPots {
			p.repeats = 0
			return p
		}
		b.pots[v.word.Token] = p
		b.order = append(b.order, v.word.Token)
	}
	p.open++
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
		v.give, v.Retries = v.Retries/2, v.Retries-v.Retries/2
	}
	w := Header{TimeLeft: v.Deadline - now, Retries: v.give, Utility: v.Utility, Token: strconv.FormatUint(v.book.rng.Uint64(), 36),
		Via: append(slices.Clone(v.word.Via), v.book.limits.Service)}
	v.sent, v.give = true, 0
	return w.String(), true
}

// End gives back what the operation has not used. It is called once.
func (v *Entry) Release() {
	if v.pot != nil {
		v.pot.repeats += v.Retries + v.give
		v.pot.open--
	}
}
