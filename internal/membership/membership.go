// Package membership merges the endpoint lists that several sources report for one pool into a single versioned list. It does
// no I/O, reads no clock and starts no goroutines; callers pass in times as Unix times.
//
// A ready report allows new requests to an endpoint. A negative report says that the endpoint is draining or gone.
//
// The rules:
//
//   - The report about the most recent start of an endpoint is effective. Among reports about the same start the most severe
//     one is: gone before draining before ready. A negative report therefore takes effect at once, whichever source sends it,
//     and a ready report overrides it only by naming a newer start. The result does not depend on the order in which sources
//     report.
//   - A negative report without a start time covers every start up to the moment it was received.
//   - Within one source and one history a later report replaces the earlier one, by revision. Input of an older revision is
//     rejected, whichever member of the source delivers it.
//   - When the history of a source changes (a cluster restored from a backup, another discovery service), its negative reports
//     from the previous history remain until a report written since then replaces them. The entries of the first list of the
//     new history never replace them.
//   - An endpoint missing from a full list is gone. A list that is empty, or smaller than a set share of what the source listed
//     before, is quarantined: the endpoints missing from it stay for a time, unless a later list or an individual report
//     about them says otherwise. Changes reported individually are never quarantined.
//   - The last reports of a lost source stay in force. After a time its ready reports expire if another source is reachable;
//     its negative reports do not.
//   - An endpoint that returns to ready repeatedly is suppressed for longer each time. Its negative reports are not delayed.
//
// A negative report is kept for as long as any source still lists the endpoint, and for Config.Retention after that.
package membership

import (
	"cmp"
	"slices"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
)

// Config holds the settings of a Merger. A zero duration disables its rule.
type Config struct {
	Sources         []string      // in order of precedence: among equally ranked reports the first source's details are used
	StaleAfter      time.Duration // how long the ready reports of a lost source remain in force
	QuarantineBelow float64       // a full list is quarantined below this share of the endpoints its source listed before
	QuarantineFor   time.Duration // how long a list is quarantined
	FlapThreshold   int           // number of returns within FlapWindow from which an endpoint is suppressed
	FlapWindow      time.Duration
	FlapSuppression time.Duration // first suppression; doubles with each further return, up to FlapWindow
	Retention       time.Duration // how long negative reports are kept that no source contradicts
}

// Defaults returns the default settings, which docs/membership.md explains.
func Defaults(sources ...string) Config {
	return Config{Sources: sources, StaleAfter: 30 * time.Second, QuarantineBelow: 0.3, QuarantineFor: 10 * time.Second, FlapThreshold: 4,
		FlapWindow: time.Minute, FlapSuppression: 5 * time.Second, Retention: 10 * time.Minute}
}

// Position is a point in the history of a source.
type Position struct {
	History  string // revisions of different histories are not comparable
	Revision int64  // increases within a history
}

// report is the state of an endpoint as one source reports it.
type report struct {
	routing.Member
	receivedAt time.Duration
}

// negative reports whether r forbids new requests.
func (r *report) negative() bool { return r.State != balance.Ready }

// quarantine describes a full list whose omissions are not applied yet.
type quarantine struct {
	since, until  time.Duration
	previousCount int             // endpoints that the source listed before
	listedCount   int             // endpoints in the quarantined list
	missing       map[string]bool // endpoints that the list omits
}

// source holds the reports of one source.
type source struct {
	name            string
	rank            int
	reported        bool
	position        Position
	firstRevision   int64 // revision of the first list of the current history
	reports         map[string]*report
	earlierNegative map[string]*report // negative reports from earlier histories
	lost            bool
	lostAt          time.Duration
	lastContact     time.Duration
	quarantine      *quarantine
	outdated        int // lists and changes rejected for their older revision
}

// flap tracks how often an endpoint returns to ready.
type flap struct {
	returns         []time.Duration // the most recent ones
	suppressedUntil time.Duration   // 0 if the endpoint is not suppressed
	released        bool            // a suppression has ended: the next return is not counted
}

// Merger merges the sources of one pool. It is not safe for concurrent use.
type Merger struct {
	config      Config
	sources     map[string]*source
	dirty       map[string]bool    // names that the next Merge evaluates
	published   map[string]*report // the list as Merge last returned it, without endpoints that are gone
	wasReady    map[string]bool    // names that have been ready before
	flaps       map[string]*flap
	removedAt   map[string]time.Duration // when a name left the published list, or was evaluated but not listed, for Config.Retention
	initialized bool
}

// New returns a Merger without reports.
func New(c Config) *Merger {
	m := &Merger{config: c, sources: map[string]*source{}, dirty: map[string]bool{}, published: map[string]*report{}, wasReady: map[string]bool{},
		flaps: map[string]*flap{}, removedAt: map[string]time.Duration{}}
	for rank, name := range c.Sources {
		m.sources[name] = &source{name: name, rank: rank, reports: map[string]*report{}, earlierNegative: map[string]*report{}}
	}
	return m
}

// newReport builds a report from a member and the previous report of the same source. It fills in the start time of a negative
// report that has none.
func newReport(now time.Duration, old *report, member routing.Member) *report {
	if member.State != balance.Ready && member.StartedAt == 0 {
		member.StartedAt = now
		if old != nil && old.State == member.State { // the same report repeated
			member.StartedAt = old.StartedAt
		}
	}
	if member.State == balance.Gone && old != nil {
		member.StartedAt = max(member.StartedAt, old.StartedAt)
	}
	return &report{member, now}
}

// ApplyList applies the full list of a source. It reports whether the list was accepted: an older revision of the same history
// is rejected.
func (m *Merger) ApplyList(now time.Duration, from string, pos Position, list []routing.Member) bool {
	return m.ApplyListWithRevisions(now, from, pos, list, nil)
}

// ApplyListWithRevisions is ApplyList for a source that knows at which revision each entry of its list was last written, by
// name.
func (m *Merger) ApplyListWithRevisions(now time.Duration, from string, pos Position, list []routing.Member, revisions map[string]int64) bool {
	s := m.sources[from]
	if s == nil {
		return false
	}
	if s.reported && s.position.History == pos.History && pos.Revision < s.position.Revision {
		s.outdated++
		return false
	}
	if s.reported && s.position.History != pos.History {
		for name, r := range s.reports {
			if r.negative() {
				s.keepNegative(name, r)
			}
		}
	}
	if !s.reported || s.position.History != pos.History {
		s.firstRevision = pos.Revision
	}
	previous := s.countNamed()
	if s.quarantine != nil {
		previous = s.quarantine.previousCount
	}
	s.position, s.reported, s.lost, s.lastContact = pos, true, false, now
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		if member.State == balance.Gone {
			continue
		}
		listed[member.Name] = true
		if revisions[member.Name] > s.firstRevision { // written after the first list of this history: newer than any earlier report
			delete(s.earlierNegative, member.Name)
		}
		s.reports[member.Name] = newReport(now, s.reports[member.Name], member)
		m.dirty[member.Name] = true
	}
	missing := map[string]bool{}
	for name, r := range s.reports {
		if r.State != balance.Gone && !listed[name] {
			missing[name] = true
		}
	}
	suspicious := m.config.QuarantineFor > 0 && previous > 0 && len(missing) > 0 && (len(listed) == 0 || float64(len(listed)) < m.config.QuarantineBelow*float64(previous))
	if !suspicious {
		s.quarantine = nil
		m.markGone(now, s, missing)
		return true
	}
	if s.quarantine == nil {
		s.quarantine = &quarantine{since: now, until: now + m.config.QuarantineFor, previousCount: previous}
	}
	s.quarantine.missing, s.quarantine.listedCount = missing, len(listed)
	return true
}

// keepNegative keeps the most severe negative report of earlier histories.
func (s *source) keepNegative(name string, r *report) {
	if old := s.earlierNegative[name]; old == nil || compareReports(r, old) > 0 {
		s.earlierNegative[name] = r
	}
}

// countNamed counts the endpoints that the source reports and that are not gone.
func (s *source) countNamed() int {
	n := 0
	for _, r := range s.reports {
		if r.State != balance.Gone {
			n++
		}
	}
	return n
}

// markGone marks the endpoints that a list omits as gone.
func (m *Merger) markGone(now time.Duration, s *source, missing map[string]bool) {
	for name := range missing {
		member := s.reports[name].Member
		member.State = balance.Gone
		s.reports[name] = newReport(now, s.reports[name], member)
		m.dirty[name] = true
	}
}

// ApplyChanges applies what has changed at a source since its previous report. It reports whether the changes were accepted.
// Changes of another history, or before a full list, are rejected, and the source has to send its full list; those of an older
// revision are superseded and need no resend.
func (m *Merger) ApplyChanges(now time.Duration, from string, pos Position, changes []routing.Member) bool {
	s := m.sources[from]
	if s == nil || !s.reported || s.position.History != pos.History {
		return false
	}
	if pos.Revision <= s.position.Revision {
		s.outdated++
		return false
	}
	if s.lost { // its ready reports may be in force again
		m.markAllDirty()
	}
	s.position, s.lost, s.lastContact = pos, false, now
	for _, member := range changes {
		s.reports[member.Name] = newReport(now, s.reports[member.Name], member)
		delete(s.earlierNegative, member.Name) // written in this history, after its first list
		if s.quarantine != nil {
			delete(s.quarantine.missing, member.Name)
		}
		m.dirty[member.Name] = true
	}
	if s.quarantine != nil && len(s.quarantine.missing) == 0 {
		s.quarantine = nil
	}
	return true
}

// SourceAlive records contact with a source that has nothing new to report.
func (m *Merger) SourceAlive(now time.Duration, from string) {
	if s := m.sources[from]; s != nil {
		s.lastContact = now
		if s.lost && s.reported {
			s.lost = false
			m.markAllDirty()
		}
	}
}

// SourceLost records that a source is unreachable.
func (m *Merger) SourceLost(now time.Duration, from string) {
	if s := m.sources[from]; s != nil && !s.lost {
		s.lost, s.lostAt = true, now
	}
}

// markAllDirty has the next Merge evaluate every name.
func (m *Merger) markAllDirty() {
	for _, s := range m.sources {
		for name := range s.reports {
			m.dirty[name] = true
		}
	}
}

// Initialized reports whether at least one source has reported, and every other one has reported or been lost, since the
// start. Until then the merged list may lack a negative report.
func (m *Merger) Initialized() bool {
	m.initialized = m.initialized || m.allReported()
	return m.initialized
}

func (m *Merger) allReported() bool {
	any := false
	for _, s := range m.sources {
		if !s.reported && !s.lost {
			return false
		}
		any = any || s.reported
	}
	return any
}

// severity ranks states.
var severity = map[balance.State]int{balance.Ready: 0, balance.Draining: 1, balance.Gone: 2}

// compareReports orders reports by start time, then by severity.
func compareReports(a, b *report) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(severity[a.State], severity[b.State]))
}

// readyReportsExpired reports whether the ready reports of a source are no longer in force.
func (m *Merger) readyReportsExpired(now time.Duration, s *source) bool {
	if !s.lost || m.config.StaleAfter == 0 || now-s.lostAt < m.config.StaleAfter {
		return false
	}
	for _, other := range m.sources {
		if other != s && other.reported && !other.lost {
			return true
		}
	}
	return false
}

// effectiveReport returns the report that determines the state of a name, nil if there is none.
func (m *Merger) effectiveReport(now time.Duration, name string) *report {
	var best *report
	consider := func(r *report) {
		if best == nil || compareReports(r, best) > 0 {
			best = r
		}
	}
	for _, from := range m.config.Sources { // in order of precedence: the first of equals is kept
		s := m.sources[from]
		if r := s.reports[name]; r != nil && (r.negative() || !m.readyReportsExpired(now, s)) {
			consider(r)
		}
		if r := s.earlierNegative[name]; r != nil {
			consider(r)
		}
	}
	return best
}

// Merge applies the timeouts that are due and returns what has changed since the previous call, sorted by name. Endpoints that
// have been removed are returned with the state Gone.
func (m *Merger) Merge(now time.Duration) []routing.Member {
	m.applyDue(now)
	var out []routing.Member
	for name := range m.dirty {
		r, old := m.effectiveReport(now, name), m.published[name]
		if r != nil && r.State == balance.Ready {
			r = m.dampFlap(now, name, old, r)
		}
		if r == nil || r.State == balance.Gone {
			if old != nil {
				member := old.Member
				member.State = balance.Gone
				if r != nil {
					member.StartedAt = r.StartedAt
				}
				out = append(out, member)
				delete(m.published, name)
			}
			if _, noted := m.removedAt[name]; !noted || old != nil {
				m.removedAt[name] = now
			}
			continue
		}
		if old == nil || old.Member != r.Member {
			out = append(out, r.Member)
		}
		m.published[name] = r
		m.wasReady[name] = m.wasReady[name] || r.State == balance.Ready
	}
	clear(m.dirty)
	slices.SortFunc(out, func(a, b routing.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// dampFlap returns a ready report, or while the endpoint is suppressed the published report in its place.
func (m *Merger) dampFlap(now time.Duration, name string, old, r *report) *report {
	if m.config.FlapThreshold == 0 || !m.wasReady[name] || old != nil && old.State == balance.Ready {
		return r
	}
	f := m.flaps[name]
	if f == nil {
		f = &flap{}
		m.flaps[name] = f
	}
	switch {
	case f.suppressedUntil > now:
		return old
	case f.released:
		f.released = false
		return r
	}
	f.returns = slices.DeleteFunc(append(f.returns, now), func(t time.Duration) bool { return now-t > m.config.FlapWindow })
	if excess := len(f.returns) - m.config.FlapThreshold; excess >= 0 {
		f.suppressedUntil = now + min(m.config.FlapSuppression<<min(excess, 16), m.config.FlapWindow)
		return old
	}
	return r
}

// applyDue applies the timeouts that are due.
func (m *Merger) applyDue(now time.Duration) {
	for _, s := range m.sources {
		if s.quarantine != nil && s.quarantine.until <= now {
			m.markGone(now, s, s.quarantine.missing)
			s.quarantine = nil
		}
		if m.config.StaleAfter > 0 && s.lost && now-s.lostAt >= m.config.StaleAfter {
			for name, r := range s.reports {
				if !r.negative() {
					m.dirty[name] = true
				}
			}
		}
	}
	for name, f := range m.flaps {
		if f.suppressedUntil > 0 && f.suppressedUntil <= now {
			f.suppressedUntil, f.released = 0, true
			m.dirty[name] = true
		}
		if f.suppressedUntil == 0 && now-f.returns[len(f.returns)-1] > m.config.FlapWindow {
			delete(m.flaps, name)
		}
	}
	for name, removed := range m.removedAt {
		if m.published[name] != nil {
			delete(m.removedAt, name)
		} else if now-removed > m.config.Retention && m.forget(name) {
			delete(m.removedAt, name)
		}
	}
}

// forget drops a name that every source either reports as gone or does not report. It reports whether it did.
func (m *Merger) forget(name string) bool {
	for _, s := range m.sources {
		if r := s.reports[name]; r != nil && r.State != balance.Gone {
			return false
		}
	}
	for _, s := range m.sources {
		delete(s.reports, name)
		delete(s.earlierNegative, name)
	}
	delete(m.wasReady, name)
	delete(m.flaps, name)
	return true
}

// NextDue returns when the next timeout is due for Merge to apply, and whether there is one.
func (m *Merger) NextDue(now time.Duration) (time.Duration, bool) {
	next := time.Duration(0)
	consider := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, s := range m.sources {
		if s.quarantine != nil {
			consider(s.quarantine.until)
		}
		if expiry := s.lostAt + m.config.StaleAfter; s.lost && m.config.StaleAfter > 0 && expiry > now {
			consider(expiry)
		}
	}
	for _, f := range m.flaps {
		if f.suppressedUntil > 0 {
			consider(f.suppressedUntil)
		}
	}
	return next, next > 0
}

// List returns the merged list as of the last Merge, sorted by name.
func (m *Merger) List() []routing.Member {
	out := make([]routing.Member, 0, len(m.published))
	for _, r := range m.published {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b routing.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
