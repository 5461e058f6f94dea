package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the limits that the sidecars of one service enforce.
type Limits struct {
	Service    string // name of the service, added to the route of each request
	MaxHops    int    // maximum number of services that a request may pass, including this one
	MaxRetries int    // retries granted, over all tiers, to a request that arrives without a Header
}

// Rejection explains why a request is not forwarded: it forms a loop, or has passed the maximum number of services. The
// cause is a misconfigured route, so a retry would fail as well.
type Rejection struct {
	Reason string
}

// Tracker keeps the retry budgets of the requests that pass one sidecar. It is not safe for concurrent use.
//
// Retries are only distributed, never created: those that a request arrives with are kept here for its own retries, handed
// to the attempt that is sent, or returned to the budget of its token when the request ends without using them. So the
// attempts that one client request causes over all tiers are at most 1 + MaxRetries times those that it would cause without
// retries.
type Tracker struct {
	limits         Limits
	rng            *rand.Rand
	budgets        map[uint64]*retryBudget // by hash of the token, which may be long; two tokens that share one share its retries
	creationOrder  []uint64                // keys of budgets, oldest first; with similar deadlines the oldest expires first
	reportedRoutes map[uint64]bool         // hashes of routes that have been rejected before
}

// retryBudget holds the retries left for all calls with the same token.
type retryBudget struct {
	retries   int
	expiresAt time.Duration
	active    int // requests in progress with this token
}

const (
	// maxBudgets bounds the budgets kept in memory. A request whose token exceeds it gets no retries, which is safe.
	maxBudgets = 4096
	// maxReportedRoutes bounds the rejected routes that are reported, as a client can name ever new ones.
	maxReportedRoutes = 64
)

// New returns a Tracker. The seed determines its tokens; two sidecars must not use the same tokens, so seeds must differ.
func New(limits Limits, seed uint64) *Tracker {
	return &Tracker{limits: limits, rng: rand.New(rand.NewPCG(seed, 0x636861696e)), budgets: map[uint64]*retryBudget{}, reportedRoutes: map[uint64]bool{}}
}

// Entry is a request in progress at this sidecar.
type Entry struct {
	Deadline time.Duration // when the last caller stops waiting
	Utility  float64       // from the Header, or the one passed to Enter if there is none
	Retries  int           // that this sidecar may still make

	tracker     *Tracker
	header      Header
	budget      *retryBudget
	nextRetries int  // handed to the next attempt
	sent        bool // the first attempt has been sent
}

// Enter registers a request with the text of its Header, which may be empty, and the deadline of its client. A malformed
// header gives an error. If the route in the header does not permit the request, Enter returns a Rejection, and first
// reports whether this route is rejected for the first time.
func (t *Tracker) Enter(now time.Duration, text string, deadline time.Duration, utility float64) (e *Entry, rejection *Rejection, first bool, err error) {
	e = &Entry{tracker: t, Deadline: deadline, Utility: utility, header: Header{Retries: t.limits.MaxRetries}}
	if text != "" {
		if e.header, err = Parse(text); err != nil {
			return nil, nil, false, err
		}
		if rejection := t.checkRoute(e.header.Via); rejection != nil {
			route := xxhash.Sum64String(strings.Join(e.header.Via, ">"))
			first := !t.reportedRoutes[route] && len(t.reportedRoutes) < maxReportedRoutes
			if first {
				t.reportedRoutes[route] = true
			}
			return nil, rejection, first, nil
		}
		e.Deadline = min(deadline, now+e.header.TimeLeft)
		e.Utility = e.header.Utility
		e.budget = t.acquireBudget(now, e)
	}
	retries := e.header.Retries
	if e.budget != nil {
		retries, e.budget.retries = e.budget.retries, 0
	}
	// The larger half stays here: a retry at this tier compensates for a failure in any tier below.
	e.Retries = (retries + 1) / 2
	e.nextRetries = retries - e.Retries
	return e, nil, false, nil
}

// checkRoute returns a Rejection if a request that has passed the given services must not enter this one.
func (t *Tracker) checkRoute(via []string) *Rejection {
	switch {
	case slices.Contains(via, t.limits.Service):
		return &Rejection{Reason: fmt.Sprintf("%s calls itself, by way of %s", t.limits.Service, strings.Join(via, ", "))}
	case len(via) >= t.limits.MaxHops:
		return &Rejection{Reason: fmt.Sprintf("it has passed %d services, which is the most", len(via))}
	}
	return nil
}

// acquireBudget returns the budget for the token of an entry, creating it if needed, and removes expired budgets.
func (t *Tracker) acquireBudget(now time.Duration, e *Entry) *retryBudget {
	for len(t.creationOrder) > 0 {
		budget := t.budgets[t.creationOrder[0]]
		if budget != nil && (budget.active > 0 || budget.expiresAt > now) {
			break
		}
		delete(t.budgets, t.creationOrder[0])
		t.creationOrder = t.creationOrder[1:]
	}
	key := xxhash.Sum64String(e.header.Token)
	budget := t.budgets[key]
	if budget == nil {
		budget = &retryBudget{retries: e.header.Retries, expiresAt: e.Deadline}
		if len(t.budgets) >= maxBudgets {
			budget.retries = 0
			return budget
		}
		t.budgets[key] = budget
		t.creationOrder = append(t.creationOrder, key)
	}
	budget.active++
	return budget
}

// NextAttempt returns the text of the Header for the next attempt. The first attempt gets the retries set aside for it. A
// retry uses up one of the remaining retries and gets half of the others; if none remains, ok is false and the attempt must
// not be sent.
func (e *Entry) NextAttempt(now time.Duration) (text string, ok bool) {
	if e.sent {
		if e.Retries == 0 {
			return "", false
		}
		e.Retries--
		e.nextRetries, e.Retries = e.Retries/2, e.Retries-e.Retries/2
	}
	next := Header{TimeLeft: e.Deadline - now, Retries: e.nextRetries, Utility: e.Utility, Token: strconv.FormatUint(e.tracker.rng.Uint64(), 36),
		Via: append(slices.Clone(e.header.Via), e.tracker.limits.Service)}
	e.sent, e.nextRetries = true, 0
	return next.String(), true
}

// Release returns the unused retries to the budget of the token. It must be called exactly once.
func (e *Entry) Release() {
	if e.budget != nil {
		e.budget.retries += e.Retries + e.nextRetries
		e.budget.active--
	}
}
