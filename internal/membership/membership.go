// Package membership merges what several sources say of a pool's destinations into one list that has a version. It is a core:
// it knows no socket, no clock and no goroutine; times are handed in, as Unix times.
//
// The rules:
//
//   - The word about the newest start of a destination counts. Of words about one start the worst does: gone before draining
//     before ready. So a bad word wins at once, whichever source has it, and a good one needs a start that proves it newer;
//     the order in which sources are heard changes nothing.
//   - A bad word that names no start is about every start up to the moment it came.
//   - Within one source and one history its own later word replaces the earlier, by revision. What is of an older revision is
//     not taken, whoever brings it.
//   - A source whose history is another (a cluster restored from a backup, another discovery) keeps the bad words of the one
//     before, until a word that was written since takes their place; what stands in its first list never does.
//   - What a source's whole list leaves out is gone. A list that names nobody, or under a share of what the source named
//     before, is held: what it leaves out stays for a time, unless a later list or a word of its own says otherwise. What is
//     told one by one is always believed.
//   - A source that is lost keeps its last words. After a time its good ones count no longer if another source is heard; its
//     bad ones count on.
//   - A destination that returns again and again is held back longer each time. Its bad words never are.
//
// A bad word is kept for as long as any source still names the destination otherwise, and for Config.Keep beyond.
package membership

import (
	"cmp"
	"slices"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
)

// Config is how a Merger judges. A span that is 0 switches its rule off.
type Config struct {
	Sources         []string      // by precedence: where words are equal in rank the first one's details count
	StaleAfter      time.Duration // after which a lost source's good words count no longer
	QuarantineBelow float64       // a whole list under this share of what its source named before is held
	QuarantineFor   time.Duration // for so long
	FlapThreshold   int           // returns within FlapWindow from which on a destination is held back
	FlapWindow      time.Duration
	FlapSuppression time.Duration // doubles with each further return, up to FlapWindow
	Retention       time.Duration // bad words that nobody contradicts
}

// Defaults are the figures that docs/membership.md explains.
func Defaults(sources ...string) Config {
	return Config{Sources: sources, StaleAfter: 30 * time.Second, QuarantineBelow: 0.3, QuarantineFor: 10 * time.Second, FlapThreshold: 4,
		FlapWindow: time.Minute, FlapSuppression: 5 * time.Second, Retention: 10 * time.Minute}
}

// At is a place in a source's own history.
type Position struct {
	History  string // what other histories cannot be compared with
	Revision int64  // grows within it
}

// word is what a source says of a destination.
type word struct {
	routing.Member
	came time.Duration
}

// bad tells whether it forbids new requests.
func (w *word) bad() bool { return w.State != balance.Ready }

// hold is a whole list that is not believed yet.
type hold struct {
	since, until time.Duration
	before       int             // destinations that the source named
	named        int             // that the list names
	missing      map[string]bool // what it leaves out
}

// source is what one source has said.
type source struct {
	name   string
	rank   int
	spoken bool
	at     Position
	first  int64 // revision of its history's first list
	words  map[string]*word
	before map[string]*word // bad words of earlier histories
	lost   bool
	lostAt time.Duration
	heard  time.Duration
	hold   *hold
	old    int // lists and changes of an older revision that were not taken
}

// flap are a destination's returns.
type flap struct {
	returns []time.Duration // the last ones
	until   time.Duration   // held back so long; 0 if it is not
	served  bool            // it has been held back: the next return is not counted
}

// Merger merges the sources of one pool. It is not safe for concurrent use.
type Merger struct {
	c       Config
	sources map[string]*source
	dirty   map[string]bool
	shown   map[string]*word // what Merge last told, gone ones left out
	was     map[string]bool  // names that were ready once
	flaps   map[string]*flap
	gone    map[string]time.Duration // since when a name is not shown, for Config.Keep
	known   bool
}

// New returns a Merger that has heard nothing.
func New(c Config) *Merger {
	m := &Merger{c: c, sources: map[string]*source{}, dirty: map[string]bool{}, shown: map[string]*word{}, was: map[string]bool{},
		flaps: map[string]*flap{}, gone: map[string]time.Duration{}}
	for rank, name := range c.Sources {
		m.sources[name] = &source{name: name, rank: rank, words: map[string]*word{}, before: map[string]*word{}}
	}
	return m
}

// take makes a word of what a source says.
func take(now time.Duration, old *word, d routing.Member) *word {
	if d.State != balance.Ready && d.StartedAt == 0 {
		d.StartedAt = now
		if old != nil && old.State == d.State { // said again
			d.StartedAt = old.StartedAt
		}
	}
	if d.State == balance.Gone && old != nil {
		d.StartedAt = max(d.StartedAt, old.StartedAt)
	}
	return &word{d, now}
}

// Whole takes a source's whole list. It tells whether the list was taken: one of an older revision of the same history is not.
func (m *Merger) ApplyList(now time.Duration, from string, at Position, list []routing.Member) bool {
	return m.ApplyListWithRevisions(now, from, at, list, nil)
}

// WholeWritten is Whole for a source that knows at which revision it was last written what stands in its list, by name.
func (m *Merger) ApplyListWithRevisions(now time.Duration, from string, at Position, list []routing.Member, written map[string]int64) bool {
	s := m.sources[from]
	if s == nil {
		return false
	}
	if s.spoken && s.at.History == at.History && at.Revision < s.at.Revision {
		s.old++
		return false
	}
	if s.spoken && s.at.History != at.History {
		for name, w := range s.words {
			if w.bad() {
				s.keepBefore(name, w)
			}
		}
	}
	if !s.spoken || s.at.History != at.History {
		s.first = at.Revision
	}
	before := s.named()
	if s.hold != nil {
		before = s.hold.before
	}
	s.at, s.spoken, s.lost, s.heard = at, true, false, now
	listed := make(map[string]bool, len(list))
	for _, d := range list {
		if d.State == balance.Gone {
			continue
		}
		listed[d.Name] = true
		if written[d.Name] > s.first { // in this history, since its first list: newer than all that was said before
			delete(s.before, d.Name)
		}
		s.words[d.Name] = take(now, s.words[d.Name], d)
		m.dirty[d.Name] = true
	}
	missing := map[string]bool{}
	for name, w := range s.words {
		if w.State != balance.Gone && !listed[name] {
			missing[name] = true
		}
	}
	suspicious := m.c.QuarantineFor > 0 && before > 0 && len(missing) > 0 && (len(listed) == 0 || float64(len(listed)) < m.c.QuarantineBelow*float64(before))
	if !suspicious {
		s.hold = nil
		m.leave(now, s, missing)
		return true
	}
	if s.hold == nil {
		s.hold = &hold{since: now, until: now + m.c.QuarantineFor, before: before}
	}
	s.hold.missing, s.hold.named = missing, len(listed)
	return true
}

// keepBefore keeps the worst bad word of earlier histories.
func (s *source) keepBefore(name string, w *word) {
	if old := s.before[name]; old == nil || order(w, old) > 0 {
		s.before[name] = w
	}
}

// named counts what the source names and has not called gone.
func (s *source) named() int {
	n := 0
	for _, w := range s.words {
		if w.State != balance.Gone {
			n++
		}
	}
	return n
}

// leave marks what a list leaves out as gone.
func (m *Merger) leave(now time.Duration, s *source, missing map[string]bool) {
	for name := range missing {
		d := s.words[name].Member
		d.State = balance.Gone
		s.words[name] = take(now, s.words[name], d)
		m.dirty[name] = true
	}
}

// Changed takes what has changed at a source since what it said last. It tells whether that was taken: of another history, or
// before a whole list, it is not, and the source has to tell its whole list; of an older revision it is not needed.
func (m *Merger) ApplyChanges(now time.Duration, from string, at Position, changes []routing.Member) bool {
	s := m.sources[from]
	if s == nil || !s.spoken || s.at.History != at.History {
		return false
	}
	if at.Revision <= s.at.Revision {
		s.old++
		return false
	}
	if s.lost { // its good words may count again
		m.all()
	}
	s.at, s.lost, s.heard = at, false, now
	for _, d := range changes {
		s.words[d.Name] = take(now, s.words[d.Name], d)
		delete(s.before, d.Name) // it was written in this history, since its first list
		if s.hold != nil {
			delete(s.hold.missing, d.Name)
		}
		m.dirty[d.Name] = true
	}
	if s.hold != nil && len(s.hold.missing) == 0 {
		s.hold = nil
	}
	return true
}

// Alive notes that a source has been heard and has nothing new.
func (m *Merger) SourceAlive(now time.Duration, from string) {
	if s := m.sources[from]; s != nil {
		s.heard = now
		if s.lost && s.spoken {
			s.lost = false
			m.all()
		}
	}
}

// Lost notes that a source is not heard any more.
func (m *Merger) SourceLost(now time.Duration, from string) {
	if s := m.sources[from]; s != nil && !s.lost {
		s.lost, s.lostAt = true, now
	}
}

// all marks every name as to be looked at.
func (m *Merger) all() {
	for _, s := range m.sources {
		for name := range s.words {
			m.dirty[name] = true
		}
	}
}

// Known tells whether every source has been heard, or been lost, since the start: what is merged before may lack a bad word.
func (m *Merger) Initialized() bool {
	m.known = m.known || m.heardAll()
	return m.known
}

func (m *Merger) heardAll() bool {
	any := false
	for _, s := range m.sources {
		if !s.spoken && !s.lost {
			return false
		}
		any = any || s.spoken
	}
	return any
}

// worse ranks states.
var worse = map[balance.State]int{balance.Ready: 0, balance.Draining: 1, balance.Gone: 2}

// order compares words: about the newer start, then the worse.
func order(a, b *word) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(worse[a.State], worse[b.State]))
}

// void tells whether a source's good words count no longer.
func (m *Merger) void(now time.Duration, s *source) bool {
	if !s.lost || m.c.StaleAfter == 0 || now-s.lostAt < m.c.StaleAfter {
		return false
	}
	for _, o := range m.sources {
		if o != s && o.spoken && !o.lost {
			return true
		}
	}
	return false
}

// verdict is the word that counts for a name, nil if nobody has one.
func (m *Merger) verdict(now time.Duration, name string) *word {
	var best *word
	take := func(w *word) {
		if best == nil || order(w, best) > 0 {
			best = w
		}
	}
	for _, from := range m.c.Sources { // by precedence: the first of equals stays
		s := m.sources[from]
		if w := s.words[name]; w != nil && (w.bad() || !m.void(now, s)) {
			take(w)
		}
		if w := s.before[name]; w != nil {
			take(w)
		}
	}
	return best
}

// Merge gives what has changed since it was last asked, by name; what is gone is told with that state. Times that are due pass.
func (m *Merger) Merge(now time.Duration) []routing.Member {
	m.pass(now)
	var out []routing.Member
	for name := range m.dirty {
		w, old := m.verdict(now, name), m.shown[name]
		if w != nil && w.State == balance.Ready {
			w = m.damped(now, name, old, w)
		}
		if w == nil || w.State == balance.Gone {
			if old != nil {
				d := old.Member
				d.State = balance.Gone
				if w != nil {
					d.StartedAt = w.StartedAt
				}
				out = append(out, d)
				delete(m.shown, name)
			}
			if _, noted := m.gone[name]; !noted || old != nil {
				m.gone[name] = now
			}
			continue
		}
		if old == nil || old.Member != w.Member {
			out = append(out, w.Member)
		}
		m.shown[name] = w
		m.was[name] = m.was[name] || w.State == balance.Ready
	}
	clear(m.dirty)
	slices.SortFunc(out, func(a, b routing.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// damped is a good word, or what stands in its place while the destination is held back.
func (m *Merger) damped(now time.Duration, name string, old, w *word) *word {
	if m.c.FlapThreshold == 0 || !m.was[name] || old != nil && old.State == balance.Ready {
		return w
	}
	f := m.flaps[name]
	if f == nil {
		f = &flap{}
		m.flaps[name] = f
	}
	switch {
	case f.until > now: // still held back
		return old
	case f.served:
		f.served = false
		return w
	}
	f.returns = slices.DeleteFunc(append(f.returns, now), func(t time.Duration) bool { return now-t > m.c.FlapWindow })
	if more := len(f.returns) - m.c.FlapThreshold; more >= 0 {
		f.until = now + min(m.c.FlapSuppression<<min(more, 16), m.c.FlapWindow)
		return old
	}
	return w
}

// pass lets times that are due take effect.
func (m *Merger) pass(now time.Duration) {
	for _, s := range m.sources {
		if s.hold != nil && s.hold.until <= now {
			m.leave(now, s, s.hold.missing)
			s.hold = nil
		}
		if m.c.StaleAfter > 0 && s.lost && now-s.lostAt >= m.c.StaleAfter {
			for name, w := range s.words {
				if !w.bad() {
					m.dirty[name] = true
				}
			}
		}
	}
	for name, f := range m.flaps {
		if f.until > 0 && f.until <= now {
			f.until, f.served = 0, true
			m.dirty[name] = true
		}
		if f.until == 0 && now-f.returns[len(f.returns)-1] > m.c.FlapWindow {
			delete(m.flaps, name)
		}
	}
	for name, at := range m.gone {
		if m.shown[name] != nil {
			delete(m.gone, name)
		} else if now-at > m.c.Retention && m.forget(name) {
			delete(m.gone, name)
		}
	}
}

// forget drops a name of which nobody says anything but that it is gone.
func (m *Merger) forget(name string) bool {
	for _, s := range m.sources {
		if w := s.words[name]; w != nil && w.State != balance.Gone {
			return false
		}
	}
	for _, s := range m.sources {
		delete(s.words, name)
		delete(s.before, name)
	}
	delete(m.was, name)
	delete(m.flaps, name)
	return true
}

// Next is when Merge has something to let pass, and whether there is such a time.
func (m *Merger) NextDue(now time.Duration) (time.Duration, bool) {
	next := time.Duration(0)
	sooner := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, s := range m.sources {
		if s.hold != nil {
			sooner(s.hold.until)
		}
		if at := s.lostAt + m.c.StaleAfter; s.lost && m.c.StaleAfter > 0 && at > now {
			sooner(at)
		}
	}
	for _, f := range m.flaps {
		if f.until > 0 {
			sooner(f.until)
		}
	}
	return next, next > 0
}

// List is what Merge has told in all, by name.
func (m *Merger) List() []routing.Member {
	out := make([]routing.Member, 0, len(m.shown))
	for _, w := range m.shown {
		out = append(out, w.Member)
	}
	slices.SortFunc(out, func(a, b routing.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
