package ledger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Rules are the figures by which a ledger is judged.
type Rules struct {
	RetrySafe      []bool        // by class: may be repeated
	Slack          time.Duration // every time limit is longer by this
	DrainGrace     time.Duration // after word that an instance drains or is gone nothing new goes there
	NotifiedWithin time.Duration // what discovery published counts as told after this; 0 for never
	SlowStart      []SlowStart   // by tier
}

// Cold is what a cold instance bears: work of all sidecars within Window, each request at the mean of its class.
type SlowStart struct {
	InitialShare     float64
	Duration, Window time.Duration
	WorkBudget       func(capacity float64) float64 // nil for no such rule
}

// The names of the rules.
const (
	RuleOneAnswer            = "one-answer"  // exactly one final answer in time
	RuleNoUnsafeRetry        = "no-repeat"   // nothing that may have run is sent again or refused unless its class allows it
	RuleNoConcurrentAttempts = "no-copies"   // never two attempts out at once
	RuleDrain                = "drain"       // nothing new to what drains or is gone
	RuleSlowStart            = "cold"        // no cold instance pushed over
	RuleNoCrash              = "no-crash"    // no sidecar ends by itself
	RuleClientGone           = "gone-client" // nothing begins for a client that has left
	RuleTimeLeft             = "time-left"   // no instance is told more time than the caller has left
	RuleOwnCheck             = "own-check"   // no sidecar counts a violation of its own invariants
	MaxDetailedViolations    = 5             // broken rules whose story is printed, of each rule
)

// RuleNames are all rules, in the order of the tables.
var RuleNames = []string{RuleOneAnswer, RuleNoUnsafeRetry, RuleNoConcurrentAttempts, RuleDrain, RuleSlowStart, RuleNoCrash, RuleClientGone, RuleTimeLeft, RuleOwnCheck}

// Breach is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at"`
	ID      string        `json:"id,omitempty"`
	Message string        `json:"what"`
	Entries []Entry       `json:"story,omitempty"`
}

func (b Violation) String() string {
	s := fmt.Sprintf("%s at %s: %s %s", b.Rule, round(b.At), b.Message, b.ID)
	for _, e := range b.Entries {
		s += "\n    " + e.String()
	}
	return s
}

// String tells an entry in a line.
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

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// Judge finds the broken rules. Entries are in order of time.
func FindViolations(entries []Entry, rules Rules) []Violation {
	j := &judge{rules: rules, ops: map[string]*op{}, told: map[[2]string][]Entry{}, merged: map[[2]string][]Entry{},
		up: map[string]time.Duration{}, broken: map[string]int{}, downs: map[string][]time.Duration{},
		stops: map[string][]span{}, deaf: map[string][]span{}}
	for i := range entries {
		j.take(&entries[i])
	}
	for _, id := range j.order {
		j.answers(j.ops[id])
		j.repeats(j.ops[id])
		j.begins(j.ops[id])
	}
	j.drains()
	j.colds(entries)
	sort.SliceStable(j.out, func(a, b int) bool { return j.out[a].At < j.out[b].At })
	return j.out
}

// op is the story of an operation.
type op struct {
	id      string
	entries []Entry
}

// span is a stretch of time; one that has not ended lasts for good.
type span struct{ from, to time.Duration }

// Behind is the note of an attempt that arrived after its sidecar had ended it: a broken path held it.
const DelayedNote = "behind"

// begin opens a span of a sidecar, and end closes the last one.
func begin(m map[string][]span, e *Entry) {
	m[e.Sidecar] = append(m[e.Sidecar], span{e.At, math.MaxInt64})
}
func end(m map[string][]span, e *Entry) {
	if all := m[e.Sidecar]; len(all) > 0 {
		all[len(all)-1].to = e.At
	}
}

type judge struct {
	rules  Rules
	ops    map[string]*op
	order  []string
	told   map[[2]string][]Entry // by sidecar and instance; no sidecar: published
	merged map[[2]string][]Entry
	up     map[string]time.Duration // the last start of a sidecar
	begun  []Entry
	downs  map[string][]time.Duration
	stops  map[string][]span // a sidecar stood still
	deaf   map[string][]span // its path to discovery was broken
	off    []span            // discovery was taken off
	broken map[string]int    // how often each rule was
	out    []Violation
}

func (j *judge) take(e *Entry) {
	switch e.Kind {
	case Notified:
		key := [2]string{e.Sidecar, e.Instance}
		j.told[key] = append(j.told[key], *e)
	case SidecarStarted:
		j.up[e.Sidecar] = e.At
	case SidecarEnded:
		j.downs[e.Sidecar] = append(j.downs[e.Sidecar], e.At)
	case SidecarCrashed:
		j.downs[e.Sidecar] = append(j.downs[e.Sidecar], e.At)
		j.breach(RuleNoCrash, e.At, "", "sidecar "+e.Sidecar+" ended by itself: "+e.Note, nil)
	case AttemptBegun:
		j.begun = append(j.begun, *e)
	case SidecarPaused:
		begin(j.stops, e)
	case SidecarResumed:
		end(j.stops, e)
	case DiscoveryPathCut:
		begin(j.deaf, e)
	case DiscoveryPathRestored:
		end(j.deaf, e)
	case DiscoveryOffline:
		j.off = append(j.off, span{e.At, math.MaxInt64})
	case DiscoveryOnline:
		if len(j.off) > 0 {
			j.off[len(j.off)-1].to = e.At
		}
	case OwnCheckFailed:
		j.breach(RuleOwnCheck, e.At, e.ID, "sidecar "+e.Sidecar+" counts a violation: "+e.Note, nil)
	}
	if e.ID == "" {
		return
	}
	o := j.ops[e.ID]
	if o == nil {
		o = &op{id: e.ID}
		j.ops[e.ID] = o
		j.order = append(j.order, e.ID)
	}
	o.entries = append(o.entries, *e)
}

func (j *judge) breach(rule string, at time.Duration, id, what string, story []Entry) {
	if j.broken[rule]++; j.broken[rule] > MaxDetailedViolations {
		story = nil
	}
	j.out = append(j.out, Violation{Rule: rule, At: at, ID: id, Message: what, Entries: story})
}

func (j *judge) safe(class int) bool {
	return class < len(j.rules.RetrySafe) && j.rules.RetrySafe[class]
}

// answers holds that an operation that was taken has exactly one final answer in time, and one that an instance made.
func (j *judge) answers(o *op) {
	var asked *Entry
	answers, served := 0, map[string]bool{}
	for i := range o.entries {
		e := &o.entries[i]
		switch e.Kind {
		case RequestSent:
			asked = e
		case AttemptEnded:
			if e.Outcome == "served" {
				served[e.Note] = true
			}
		case Answered:
			answers++
			if e.Status == 200 && !served[e.Note] {
				j.breach(RuleOneAnswer, e.At, o.id, "served with what no instance made for it:", o.entries)
			}
			if asked != nil && e.At > asked.Deadline+j.rules.Slack && !j.stood(asked.Sidecar, asked.At, e.At) {
				j.breach(RuleOneAnswer, e.At, o.id, "answered after the client gave up:", o.entries)
			}
		case ExtraBytes:
			j.breach(RuleOneAnswer, e.At, o.id, "more than one answer:", o.entries)
		}
	}
	if answers > 1 {
		j.breach(RuleOneAnswer, o.entries[len(o.entries)-1].At, o.id, "more than one answer:", o.entries)
	}
	if asked == nil || answers > 0 {
		return
	}
	for _, e := range o.entries {
		lost := e.Kind == TimedOut || e.Kind == ConnectionBroken
		if lost && !j.wasDown(asked.Sidecar, asked.At, e.At) && !j.stood(asked.Sidecar, asked.At, e.At) {
			j.breach(RuleOneAnswer, e.At, o.id, "no final answer:", o.entries)
		}
	}
}

// What the platform's protocol allows beside the slack on sockets.
const (
	goneGrace = 100 * time.Millisecond // an attempt may begin so long after its client has left
	timeSlack = 150 * time.Millisecond // an instance may be told so much more time than the client has left
)

// begins holds that no attempt begins for a client that has left, and that none tells more time than is left.
func (j *judge) begins(o *op) {
	var asked, gone *Entry
	for i := range o.entries {
		switch e := &o.entries[i]; e.Kind {
		case RequestSent:
			asked = e
		case CallerClosed, TimedOut:
			gone = e
		}
	}
	for _, e := range o.entries {
		if e.Kind != AttemptBegun {
			continue
		}
		if gone != nil && e.At > gone.At+goneGrace+j.rules.Slack && !j.stood(e.Sidecar, gone.At, e.At) {
			j.breach(RuleClientGone, e.At, o.id, fmt.Sprintf("an attempt began %s after its client had left:", round(e.At-gone.At)), o.entries)
		}
		if asked == nil {
			continue
		}
		// A sidecar that stands still cannot know how long a request has waited to be read. Its caller may have sent it before
		// on a connection that ended.
		from := asked.At
		if asked.Since > 0 {
			from = min(from, asked.Since)
		}
		if e.Deadline > asked.Deadline+timeSlack+j.rules.Slack && !j.stood(e.Sidecar, from, e.At) {
			j.breach(RuleTimeLeft, e.At, o.id, fmt.Sprintf("an instance was told %s more than its caller had left:",
				round(e.Deadline-asked.Deadline)), o.entries)
		}
	}
}

// wasDown tells whether the timeline ended a sidecar while it had an operation.
func (j *judge) wasDown(sidecar string, from, to time.Duration) bool {
	for _, at := range j.downs[sidecar] {
		if at >= from-time.Second && at <= to+time.Second {
			return true
		}
	}
	return false
}

// stood tells whether a sidecar stood still while it had an operation.
func (j *judge) stood(sidecar string, from, to time.Duration) bool {
	return slices.ContainsFunc(j.stops[sidecar], func(s span) bool { return s.from < to && s.to > from })
}

// reached is when what was written to a sidecar at a time has come to it: while it stands still or its path is broken
// nothing does.
func (j *judge) reached(sidecar string, at time.Duration) time.Duration {
	for _, all := range [][]span{j.off, j.deaf[sidecar], j.stops[sidecar]} {
		for _, s := range all {
			if s.from <= at && at < s.to {
				at = s.to
			}
		}
	}
	return at
}

// sharp is how far the order of two entries of different connections may be off. An end that the instance made itself is
// known as well as that; the end of a connection shows when its reader gets to run, within the slack.
const sharp = 10 * time.Millisecond

// repeats holds that what may have run is neither sent again nor refused unless its class is safe, and that no two
// attempts are out at once.
func (j *judge) repeats(o *op) {
	type attempt struct {
		arrived, ended time.Duration
		over, turned   bool
		seen           time.Duration // how late its end may have been seen
	}
	var order []uint64
	all := map[uint64]*attempt{}
	for i := range o.entries {
		e := &o.entries[i]
		a := all[e.AttemptID]
		switch e.Kind {
		case AttemptArrived:
			if e.Note == DelayedNote {
				continue // its sidecar had ended it before: the path held it
			}
			all[e.AttemptID] = &attempt{arrived: e.At}
			order = append(order, e.AttemptID)
		case AttemptEnded, AttemptClosed:
			if a != nil && !a.over {
				a.over, a.ended, a.seen = true, e.At, sharp
				if e.Kind == AttemptClosed {
					a.seen = j.rules.Slack
				}
			}
			if a != nil && (e.Outcome == "turned" || e.Outcome == "declined") {
				a.turned = true
			}
		case Answered:
			if (e.Status == 503 || e.Status == 429) && !j.safe(e.Class) {
				for _, a := range all {
					if !a.turned {
						j.breach(RuleNoUnsafeRetry, e.At, o.id, "refused though it may have run:", o.entries)
						break
					}
				}
			}
		}
	}
	class := o.entries[0].Class
	for n, copy := range order {
		for _, before := range order[:n] {
			a, b := all[before], all[copy]
			if !a.turned && !j.safe(class) {
				j.breach(RuleNoUnsafeRetry, b.arrived, o.id, "sent again though it may have run:", o.entries)
			}
			if !a.over || a.ended > b.arrived+a.seen {
				j.breach(RuleNoConcurrentAttempts, b.arrived, o.id, "two attempts out at once:", o.entries)
			}
		}
	}
}

// drains holds that nothing new goes to an instance after its sidecar was told that it drains or is gone.
func (j *judge) drains() {
	for _, e := range j.begun {
		var last *Entry
		told := j.news(e.Sidecar, e.Instance)
		for i := range told {
			if told[i].At > e.At {
				break
			}
			if last == nil || told[i].Since > last.Since || last.Outcome == "Ready" || told[i].Outcome == "Ready" {
				last = &told[i]
			}
		}
		if last == nil || last.Outcome == "Ready" {
			continue
		}
		if late := e.At - last.At - j.rules.DrainGrace - j.rules.Slack; late > 0 {
			j.breach(RuleDrain, e.At, e.ID, fmt.Sprintf("begun at %s %s after the sidecar was told %s:", e.Instance,
				round(e.At-last.At), last.Outcome), []Entry{*last, e})
		}
	}
}

// news is what a sidecar was told of an instance, or counts as told of: what discovery has published for longer than
// ToldWithin, counted from the sidecar's start for what is older.
func (j *judge) news(sidecar, instance string) []Entry {
	key := [2]string{sidecar, instance}
	if news, done := j.merged[key]; done {
		return news
	}
	news := slices.Clone(j.told[key])
	for i := range news {
		news[i].At = j.reached(sidecar, news[i].At)
	}
	if j.rules.NotifiedWithin > 0 {
		for _, e := range j.told[[2]string{"", instance}] {
			// A sidecar that was told anything of the instance since has what was published before, too.
			if !slices.ContainsFunc(j.told[key], func(t Entry) bool { return t.At >= e.At }) {
				e.At = j.reached(sidecar, max(e.At, j.up[sidecar])) + j.rules.NotifiedWithin
				news = append(news, e)
			}
		}
	}
	slices.SortStableFunc(news, func(a, b Entry) int { return cmp.Or(int(a.At-b.At), int(a.Since-b.Since)) })
	j.merged[key] = news
	return news
}

// colds holds that no cold instance gets more work within a window than it bears, if two thirds of that came from
// sidecars that had been told of its start.
func (j *judge) colds(entries []Entry) {
	type life struct {
		Entry
		at     []Entry
		broken bool
	}
	lives := map[string]*life{}
	for i := range entries {
		e := entries[i]
		switch e.Kind {
		case InstanceStarted:
			lives[e.Instance] = &life{Entry: e}
		case AttemptArrived:
			l := lives[e.Instance]
			if l == nil || l.broken || l.Note != "cold" || e.Tier >= len(j.rules.SlowStart) {
				continue
			}
			c := j.rules.SlowStart[e.Tier]
			if c.WorkBudget == nil || e.At >= l.At+c.Duration {
				continue
			}
			l.at = append(l.at, e)
			for l.at[0].At <= e.At-c.Window {
				l.at = l.at[1:]
			}
			sum, informed := 0.0, 0.0
			for _, a := range l.at {
				sum += a.MeanWork
				if j.knows(a.Sidecar, a.Instance, l.Since, a.At) {
					informed += a.MeanWork
				}
			}
			capacity := l.Capacity * (c.InitialShare + (1-c.InitialShare)*float64(e.At-l.At)/float64(c.Duration))
			if budget := c.WorkBudget(capacity); sum > budget && informed >= sum*2/3 {
				l.broken = true
				j.breach(RuleSlowStart, e.At, "", fmt.Sprintf("%s, up %s, got %.2f core-seconds within %s, %.2f are its budget",
					e.Instance, round(e.At-l.At), sum, c.Window, budget), l.at)
			}
		}
	}
}

func (j *judge) knows(sidecar, instance string, since, at time.Duration) bool {
	for _, t := range j.told[[2]string{sidecar, instance}] {
		if t.At <= at && t.Outcome == "Ready" && t.Since >= since {
			return true
		}
	}
	return false
}
