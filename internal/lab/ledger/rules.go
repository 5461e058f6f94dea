package ledger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Rules are the parameters of the checks on a ledger.
type Rules struct {
	RetrySafe      []bool        // by class: requests that may have run may be retried
	Slack          time.Duration // added to every time limit
	DrainGrace     time.Duration // for attempts that begin after the sidecar was notified that the instance drains or is gone
	NotifiedWithin time.Duration // a published change counts as delivered to all sidecars after this; 0 for never
	SlowStart      []SlowStart   // by tier
}

// SlowStart limits the work that an instance in slow start gets from all sidecars together within Window. Each request
// counts with the mean work of its class.
type SlowStart struct {
	InitialShare     float64 // of its capacity, at the start; grows linearly to 1 over Duration
	Duration, Window time.Duration
	WorkBudget       func(capacity float64) float64 // in core-seconds; nil for no limit
}

// The names of the rules.
const (
	RuleOneAnswer            = "one-answer"  // each request gets exactly one final answer in time
	RuleNoUnsafeRetry        = "no-repeat"   // a request that may have run is neither retried nor rejected unless its class is safe to retry
	RuleNoConcurrentAttempts = "no-copies"   // a request never has two attempts in flight at once
	RuleDrain                = "drain"       // no new attempt at an instance that drains or is gone
	RuleSlowStart            = "cold"        // no instance in slow start gets more work than its budget
	RuleNoCrash              = "no-crash"    // no sidecar exits on its own
	RuleClientGone           = "gone-client" // no attempt begins for a client that has gone
	RuleTimeLeft             = "time-left"   // no instance is given more time than the caller has left
	RuleOwnCheck             = "own-check"   // no sidecar reports a violation of its own invariants
	MaxDetailedViolations    = 5             // violations of each rule that are reported with their entries
)

// RuleNames lists all rules in the order of the tables.
var RuleNames = []string{RuleOneAnswer, RuleNoUnsafeRetry, RuleNoConcurrentAttempts, RuleDrain, RuleSlowStart, RuleNoCrash,
	RuleClientGone, RuleTimeLeft, RuleOwnCheck}

// Violation is one violation of a rule. Entries holds the entries that show it, for the first MaxDetailedViolations of a
// rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	ID      string        `json:"id,omitempty"`
	Message string        `json:"what"`
	Entries []Entry       `json:"story,omitempty"`
}

func (v Violation) String() string {
	s := fmt.Sprintf("%s at %s: %s %s", v.Rule, roundMS(v.At), v.Message, v.ID)
	for _, e := range v.Entries {
		s += "\n    " + e.String()
	}
	return s
}

// String formats an entry as one line.
func (e Entry) String() string {
	s := fmt.Sprintf("%9.3fs %-8s", e.At.Seconds(), e.Kind)
	for _, part := range []struct{ name, value string }{{"id", e.ID}, {"sidecar", e.Sidecar}, {"instance", e.Instance},
		{"outcome", e.Outcome}, {"note", e.Note}} {
		if part.value != "" {
			s += " " + part.name + "=" + part.value
		}
	}
	if e.AttemptID != 0 {
		s += fmt.Sprintf(" copy=%d", e.AttemptID)
	}
	if e.Status != 0 {
		s += fmt.Sprintf(" status=%d", e.Status)
	}
	if e.Deadline != 0 {
		s += fmt.Sprintf(" deadline=%.3fs", e.Deadline.Seconds())
	}
	return s
}

func roundMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// FindViolations checks entries, which are in order of time, against the rules.
func FindViolations(entries []Entry, rules Rules) []Violation {
	c := &checker{rules: rules, requests: map[string]*requestHistory{}, notified: map[[2]string][]Entry{}, effective: map[[2]string][]Entry{},
		startedAt: map[string]time.Duration{}, counts: map[string]int{}, endedAt: map[string][]time.Duration{},
		paused: map[string][]span{}, pathCut: map[string][]span{}}
	for i := range entries {
		c.add(&entries[i])
	}
	for _, id := range c.order {
		c.checkAnswers(c.requests[id])
		c.checkRetries(c.requests[id])
		c.checkBegins(c.requests[id])
	}
	c.checkDrains()
	c.checkSlowStart(entries)
	sort.SliceStable(c.violations, func(i, k int) bool { return c.violations[i].At < c.violations[k].At })
	return c.violations
}

// requestHistory holds the entries of one request.
type requestHistory struct {
	id      string
	entries []Entry
}

// span is an interval of time; one that has not ended lasts forever.
type span struct{ from, to time.Duration }

// DelayedNote is the note of an attempt that arrived after its sidecar had ended it, delayed by a broken network path.
const DelayedNote = "behind"

// openSpan opens a span of the entry's sidecar.
func openSpan(m map[string][]span, e *Entry) {
	m[e.Sidecar] = append(m[e.Sidecar], span{e.At, math.MaxInt64})
}

// closeSpan closes the last span of the entry's sidecar.
func closeSpan(m map[string][]span, e *Entry) {
	if all := m[e.Sidecar]; len(all) > 0 {
		all[len(all)-1].to = e.At
	}
}

// checker holds the state of FindViolations.
type checker struct {
	rules      Rules
	requests   map[string]*requestHistory
	order      []string
	notified   map[[2]string][]Entry    // by sidecar and instance; an empty sidecar stands for published changes
	effective  map[[2]string][]Entry    // cache of notifications
	startedAt  map[string]time.Duration // last start, by sidecar
	begun      []Entry
	endedAt    map[string][]time.Duration
	paused     map[string][]span // when a sidecar was paused
	pathCut    map[string][]span // when a sidecar's path to discovery was cut
	offline    []span            // when discovery was offline
	counts     map[string]int    // violations by rule
	violations []Violation
}

func (c *checker) add(e *Entry) {
	switch e.Kind {
	case Notified:
		key := [2]string{e.Sidecar, e.Instance}
		c.notified[key] = append(c.notified[key], *e)
	case SidecarStarted:
		c.startedAt[e.Sidecar] = e.At
	case SidecarEnded:
		c.endedAt[e.Sidecar] = append(c.endedAt[e.Sidecar], e.At)
	case SidecarCrashed:
		c.endedAt[e.Sidecar] = append(c.endedAt[e.Sidecar], e.At)
		c.report(RuleNoCrash, e.At, "", "sidecar "+e.Sidecar+" ended by itself: "+e.Note, nil)
	case AttemptBegun:
		c.begun = append(c.begun, *e)
	case SidecarPaused:
		openSpan(c.paused, e)
	case SidecarResumed:
		closeSpan(c.paused, e)
	case DiscoveryPathCut:
		openSpan(c.pathCut, e)
	case DiscoveryPathRestored:
		closeSpan(c.pathCut, e)
	case DiscoveryOffline:
		c.offline = append(c.offline, span{e.At, math.MaxInt64})
	case DiscoveryOnline:
		if len(c.offline) > 0 {
			c.offline[len(c.offline)-1].to = e.At
		}
	case OwnCheckFailed:
		c.report(RuleOwnCheck, e.At, e.ID, "sidecar "+e.Sidecar+" counts a violation: "+e.Note, nil)
	}
	if e.ID == "" {
		return
	}
	h := c.requests[e.ID]
	if h == nil {
		h = &requestHistory{id: e.ID}
		c.requests[e.ID] = h
		c.order = append(c.order, e.ID)
	}
	h.entries = append(h.entries, *e)
}

func (c *checker) report(rule string, at time.Duration, id, message string, entries []Entry) {
	if c.counts[rule]++; c.counts[rule] > MaxDetailedViolations {
		entries = nil
	}
	c.violations = append(c.violations, Violation{Rule: rule, At: at, ID: id, Message: message, Entries: entries})
}

func (c *checker) retrySafe(class int) bool {
	return class < len(c.rules.RetrySafe) && c.rules.RetrySafe[class]
}

// checkAnswers checks that a request that a sidecar received got exactly one final answer in time, and that a successful
// answer was made by an instance.
func (c *checker) checkAnswers(h *requestHistory) {
	var sent *Entry
	answers, served := 0, map[string]bool{}
	for i := range h.entries {
		e := &h.entries[i]
		switch e.Kind {
		case RequestSent:
			sent = e
		case AttemptEnded:
			if e.Outcome == "served" {
				served[e.Note] = true
			}
		case Answered:
			answers++
			if e.Status == 200 && !served[e.Note] {
				c.report(RuleOneAnswer, e.At, h.id, "served with what no instance made for it:", h.entries)
			}
			if sent != nil && e.At > sent.Deadline+c.rules.Slack && !c.wasPaused(sent.Sidecar, sent.At, e.At) {
				c.report(RuleOneAnswer, e.At, h.id, "answered after the client gave up:", h.entries)
			}
		case ExtraBytes:
			c.report(RuleOneAnswer, e.At, h.id, "more than one answer:", h.entries)
		}
	}
	if answers > 1 {
		c.report(RuleOneAnswer, h.entries[len(h.entries)-1].At, h.id, "more than one answer:", h.entries)
	}
	if sent == nil || answers > 0 {
		return
	}
	for _, e := range h.entries {
		lost := e.Kind == TimedOut || e.Kind == ConnectionBroken
		if lost && !c.wasEnded(sent.Sidecar, sent.At, e.At) && !c.wasPaused(sent.Sidecar, sent.At, e.At) {
			c.report(RuleOneAnswer, e.At, h.id, "no final answer:", h.entries)
		}
	}
}

// Tolerances of the platform's protocol, in addition to Rules.Slack.
const (
	clientGoneGrace = 100 * time.Millisecond // an attempt may begin this long after its client has gone
	timeLeftSlack   = 150 * time.Millisecond // an instance may be given this much more time than the client has left
)

// checkBegins checks that no attempt begins for a client that has gone, and that none carries more time than is left.
func (c *checker) checkBegins(h *requestHistory) {
	var sent, callerGone *Entry
	for i := range h.entries {
		switch e := &h.entries[i]; e.Kind {
		case RequestSent:
			sent = e
		case CallerClosed, TimedOut:
			callerGone = e
		}
	}
	for _, e := range h.entries {
		if e.Kind != AttemptBegun {
			continue
		}
		if callerGone != nil && e.At > callerGone.At+clientGoneGrace+c.rules.Slack && !c.wasPaused(e.Sidecar, callerGone.At, e.At) {
			c.report(RuleClientGone, e.At, h.id, fmt.Sprintf("an attempt began %s after its client had left:", roundMS(e.At-callerGone.At)), h.entries)
		}
		if sent == nil {
			continue
		}
		// A paused sidecar cannot know how long a request has waited to be read. The caller may already have sent it earlier
		// on a connection that ended.
		from := sent.At
		if sent.Since > 0 {
			from = min(from, sent.Since)
		}
		if e.Deadline > sent.Deadline+timeLeftSlack+c.rules.Slack && !c.wasPaused(e.Sidecar, from, e.At) {
			c.report(RuleTimeLeft, e.At, h.id, fmt.Sprintf("an instance was told %s more than its caller had left:",
				roundMS(e.Deadline-sent.Deadline)), h.entries)
		}
	}
}

// wasEnded reports whether a sidecar ended or crashed within a second of the interval in which it had a request.
func (c *checker) wasEnded(sidecar string, from, to time.Duration) bool {
	for _, at := range c.endedAt[sidecar] {
		if at >= from-time.Second && at <= to+time.Second {
			return true
		}
	}
	return false
}

// wasPaused reports whether a sidecar was paused while it had a request.
func (c *checker) wasPaused(sidecar string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.paused[sidecar], func(s span) bool { return s.from < to && s.to > from })
}

// deliveredAt returns when a message that discovery wrote at a given time reaches a sidecar: nothing is delivered while
// discovery is offline, the path is cut or the sidecar is paused.
func (c *checker) deliveredAt(sidecar string, at time.Duration) time.Duration {
	for _, all := range [][]span{c.offline, c.pathCut[sidecar], c.paused[sidecar]} {
		for _, s := range all {
			if s.from <= at && at < s.to {
				at = s.to
			}
		}
	}
	return at
}

// connectionSkew is by how much the times of two entries of different connections may be out of order. It applies to an
// attempt that the instance itself ended; the end of a connection is seen only when its reader gets to run, within
// Rules.Slack.
const connectionSkew = 10 * time.Millisecond

// checkRetries checks that a request that may have run is neither retried nor rejected unless its class is safe to retry,
// and that no two attempts are in flight at once.
func (c *checker) checkRetries(h *requestHistory) {
	type attempt struct {
		arrived, ended time.Duration
		done, rejected bool
		endSkew        time.Duration // how late its end may have been endSkew
	}
	var order []uint64
	all := map[uint64]*attempt{}
	for i := range h.entries {
		e := &h.entries[i]
		a := all[e.AttemptID]
		switch e.Kind {
		case AttemptArrived:
			if e.Note == DelayedNote {
				continue // its sidecar had already ended it: the network path delayed it
			}
			all[e.AttemptID] = &attempt{arrived: e.At}
			order = append(order, e.AttemptID)
		case AttemptEnded, AttemptClosed:
			if a != nil && !a.done {
				a.done, a.ended, a.endSkew = true, e.At, connectionSkew
				if e.Kind == AttemptClosed {
					a.endSkew = c.rules.Slack
				}
			}
			if a != nil && (e.Outcome == "turned" || e.Outcome == "declined") {
				a.rejected = true
			}
		case Answered:
			if (e.Status == 503 || e.Status == 429) && !c.retrySafe(e.Class) {
				for _, a := range all {
					if !a.rejected {
						c.report(RuleNoUnsafeRetry, e.At, h.id, "refused though it may have run:", h.entries)
						break
					}
				}
			}
		}
	}
	class := h.entries[0].Class
	for n, copy := range order {
		for _, earlier := range order[:n] {
			a, b := all[earlier], all[copy]
			if !a.rejected && !c.retrySafe(class) {
				c.report(RuleNoUnsafeRetry, b.arrived, h.id, "sent again though it may have run:", h.entries)
			}
			if !a.done || a.ended > b.arrived+a.endSkew {
				c.report(RuleNoConcurrentAttempts, b.arrived, h.id, "two attempts out at once:", h.entries)
			}
		}
	}
}

// checkDrains checks that no attempt begins at an instance after its sidecar was notified that it drains or is gone.
func (c *checker) checkDrains() {
	for _, e := range c.begun {
		var last *Entry
		list := c.notifications(e.Sidecar, e.Instance)
		for i := range list {
			if list[i].At > e.At {
				break
			}
			if last == nil || list[i].Since > last.Since || last.Outcome == "Ready" || list[i].Outcome == "Ready" {
				last = &list[i]
			}
		}
		if last == nil || last.Outcome == "Ready" {
			continue
		}
		if late := e.At - last.At - c.rules.DrainGrace - c.rules.Slack; late > 0 {
			c.report(RuleDrain, e.At, e.ID, fmt.Sprintf("begun at %s %s after the sidecar was told %s:", e.Instance,
				roundMS(e.At-last.At), last.Outcome), []Entry{*last, e})
		}
	}
}

// notifications returns what a sidecar was notified of about an instance, with the times of delivery. It includes changes
// that discovery published but is not known to have sent: those count as delivered NotifiedWithin after their publication
// or the sidecar's start, whichever is later.
func (c *checker) notifications(sidecar, instance string) []Entry {
	key := [2]string{sidecar, instance}
	if list, ok := c.effective[key]; ok {
		return list
	}
	list := slices.Clone(c.notified[key])
	for i := range list {
		list[i].At = c.deliveredAt(sidecar, list[i].At)
	}
	if c.rules.NotifiedWithin > 0 {
		for _, e := range c.notified[[2]string{"", instance}] {
			// A sidecar that was notified about the instance later has the earlier published changes, too.
			if !slices.ContainsFunc(c.notified[key], func(t Entry) bool { return t.At >= e.At }) {
				e.At = c.deliveredAt(sidecar, max(e.At, c.startedAt[sidecar])) + c.rules.NotifiedWithin
				list = append(list, e)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Entry) int { return cmp.Or(int(a.At-b.At), int(a.Since-b.Since)) })
	c.effective[key] = list
	return list
}

// checkSlowStart checks that no instance in slow start gets more work within a window than its budget. Only cases where at
// least two thirds of the work came from sidecars that had been notified of its start count.
func (c *checker) checkSlowStart(entries []Entry) {
	type instanceStart struct {
		Entry
		window   []Entry // attempts that arrived within the last window
		violated bool
	}
	starts := map[string]*instanceStart{}
	for i := range entries {
		e := entries[i]
		switch e.Kind {
		case InstanceStarted:
			starts[e.Instance] = &instanceStart{Entry: e}
		case AttemptArrived:
			st := starts[e.Instance]
			if st == nil || st.violated || st.Note != "cold" || e.Tier >= len(c.rules.SlowStart) {
				continue
			}
			limit := c.rules.SlowStart[e.Tier]
			if limit.WorkBudget == nil || e.At >= st.At+limit.Duration {
				continue
			}
			st.window = append(st.window, e)
			for st.window[0].At <= e.At-limit.Window {
				st.window = st.window[1:]
			}
			sum, informed := 0.0, 0.0
			for _, a := range st.window {
				sum += a.MeanWork
				if c.wasNotified(a.Sidecar, a.Instance, st.Since, a.At) {
					informed += a.MeanWork
				}
			}
			capacity := st.Capacity * (limit.InitialShare + (1-limit.InitialShare)*float64(e.At-st.At)/float64(limit.Duration))
			if budget := limit.WorkBudget(capacity); sum > budget && informed >= sum*2/3 {
				st.violated = true
				c.report(RuleSlowStart, e.At, "", fmt.Sprintf("%s, up %s, got %.2f core-seconds within %s, %.2f are its budget",
					e.Instance, roundMS(e.At-st.At), sum, limit.Window, budget), st.window)
			}
		}
	}
}

// wasNotified reports whether a sidecar had been notified by a given time that an instance is ready, of this start of the
// instance or a later one.
func (c *checker) wasNotified(sidecar, instance string, since, at time.Duration) bool {
	for _, t := range c.notified[[2]string{sidecar, instance}] {
		if t.At <= at && t.Outcome == "Ready" && t.Since >= since {
			return true
		}
	}
	return false
}
