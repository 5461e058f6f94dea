package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/balance"
	"kitewood/internal/routing"
	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const s = time.Second

// said is a destination as a source says it.
func said(name string, state balance.State, since time.Duration) routing.Member {
	return routing.Member{Name: name, Address: "10.0.0.1:1", State: state, StartedAt: since, Weight: 1}
}

// shows is the list in short: r ready, d draining.
func shows(m *Merger) string {
	out := ""
	for _, d := range m.List() {
		out += d.Name + map[balance.State]string{balance.Ready: "", balance.Draining: "-"}[d.State] + " "
	}
	return out
}

// The stories of two sources that disagree.
func TestDisagreement(t *testing.T) {
	at := func(rev int64) Position { return Position{"h", rev} }
	ready, drains, gone := balance.Ready, balance.Draining, balance.Gone
	type step struct {
		from   string
		at     Position
		whole  bool
		list   []routing.Member
		want   string
		wanted bool // that it is taken
	}
	whole := func(from string, rev int64, want string, list ...routing.Member) step {
		return step{from, at(rev), true, list, want, true}
	}
	change := func(from string, rev int64, want string, list ...routing.Member) step {
		return step{from, at(rev), false, list, want, true}
	}
	refused := func(x step) step { x.wanted = false; return x }
	later := func(x step) step { x.at.History = "other"; return x }
	for name, story := range map[string][]step{
		"a bad word wins at once, and the same start does not take it back": {
			whole("a", 1, "x ", said("x", ready, 5*s)), whole("b", 1, "x ", said("x", ready, 5*s)),
			change("a", 2, "x- ", said("x", drains, 5*s)), whole("b", 2, "x- ", said("x", ready, 5*s)),
			change("a", 3, "", said("x", gone, 5*s)), whole("b", 3, "", said("x", ready, 5*s)),
			whole("b", 4, "x ", said("x", ready, 6*s))},
		"a source takes back its own word": {
			whole("a", 1, "x- ", said("x", drains, 5*s)), change("a", 2, "x ", said("x", ready, 5*s))},
		"a bad word without a start is about all starts before it": {
			whole("a", 1, "x ", said("x", ready, 0)), whole("b", 1, "x ", said("x", ready, 50*s)),
			change("a", 2, "", said("x", gone, 0)), whole("b", 2, "", said("x", ready, 99*s)),
			whole("b", 3, "x ", said("x", ready, 101*s))},
		"what is left out is gone": {
			whole("a", 1, "x y ", said("x", ready, 0), said("y", ready, 0)), whole("a", 2, "y ", said("y", ready, 0)),
			whole("b", 1, "y ", said("x", ready, 0))},
		"an older revision is not believed": {
			whole("a", 5, "x- ", said("x", drains, 0)), refused(whole("a", 4, "x- ", said("x", ready, 0))),
			refused(change("a", 5, "x- ", said("x", ready, 0))), change("a", 6, "x ", said("x", ready, 0))},
		"another history does not undo a drain or a removal, a write in it does": {
			whole("a", 9, "x- y z ", said("x", drains, 5*s), said("y", ready, 5*s), said("z", ready, 5*s)), change("a", 10, "x- z ", said("y", gone, 0)),
			refused(later(change("a", 11, "x- z ", said("x", ready, 5*s)))),
			later(whole("a", 2, "x- z ", said("x", ready, 5*s), said("y", ready, 5*s), said("z", ready, 5*s))),
			later(change("a", 3, "x z ", said("x", ready, 5*s))), later(change("a", 4, "x y z ", said("y", ready, 5*s)))},
		"changes before a whole list are not taken": {
			refused(change("a", 1, "", said("x", ready, 0)))},
		"a source that is not configured is not heard": {
			refused(whole("c", 1, "", said("x", ready, 0)))},
	} {
		m := New(Config{Sources: []string{"a", "b"}, Retention: time.Hour})
		for i, x := range story {
			taken := false
			if x.whole {
				taken = m.ApplyList(100*s, x.from, x.at, x.list)
			} else {
				taken = m.ApplyChanges(100*s, x.from, x.at, x.list)
			}
			m.Merge(100 * s)
			if got := shows(m); got != x.want || taken != x.wanted {
				t.Errorf("%s, step %d: %q, want %q; taken %v", name, i, got, x.want, taken)
				break
			}
		}
	}
}

// all is a list of n ready destinations.
func all(n int) (out []routing.Member) {
	for i := range n {
		out = append(out, said(fmt.Sprintf("d%02d", i), balance.Ready, 0))
	}
	return out
}

// A list that suddenly names few is held, drains in it are not, and it counts after its time or not at all.
func TestSuspiciousLists(t *testing.T) {
	for _, back := range []bool{false, true} {
		m := New(Config{Sources: []string{"a"}, QuarantineBelow: 0.3, QuarantineFor: 10 * s})
		m.ApplyList(0, "a", Position{"h", 1}, all(10))
		m.Merge(0)
		m.ApplyList(1*s, "a", Position{"h", 2}, []routing.Member{said("d00", balance.Draining, 0)})
		if out := m.Merge(1 * s); len(out) != 1 || out[0].State != balance.Draining || len(m.List()) != 10 {
			t.Fatalf("at once: %v of %d", out, len(m.List()))
		}
		m.ApplyChanges(2*s, "a", Position{"h", 3}, []routing.Member{said("d01", balance.Gone, 0)})
		if m.Merge(2 * s); len(m.List()) != 9 {
			t.Fatalf("what is told one by one is not believed: %d", len(m.List()))
		}
		if _, v := m.View(2 * s); v[0].Suspicious == "" {
			t.Error("it is not shown")
		}
		m.ApplyList(3*s, "a", Position{"h", 4}, nil)
		if at, any := m.NextDue(3 * s); !any || at != 11*s {
			t.Fatalf("its time is %s", at)
		}
		want := 0
		if back {
			m.ApplyList(5*s, "a", Position{"h", 5}, all(4))
			m.Merge(5 * s)
			want = 4
		}
		if m.Merge(10 * s); !back && len(m.List()) != 9 {
			t.Errorf("%d before its time", len(m.List()))
		}
		if m.Merge(11 * s); len(m.List()) != want {
			t.Errorf("back %v: %d after its time, want %d", back, len(m.List()), want)
		}
	}
	m := New(Config{Sources: []string{"a"}, QuarantineBelow: 0.3, QuarantineFor: 10 * s})
	m.ApplyList(0, "a", Position{"h", 1}, all(10))
	m.ApplyList(1*s, "a", Position{"h", 2}, all(3))
	if m.Merge(1 * s); len(m.List()) != 3 {
		t.Errorf("a smaller list is held: %d", len(m.List()))
	}
}

// A lost source's list counts while nobody else is heard, then only its bad words; it counts again when it is back.
func TestLostSource(t *testing.T) {
	m := New(Config{Sources: []string{"a", "b"}, StaleAfter: 30 * s, Retention: time.Hour})
	m.ApplyList(0, "a", Position{"h", 1}, []routing.Member{said("x", balance.Ready, 0), said("y", balance.Draining, 0)})
	if m.Initialized() {
		t.Error("known before all are heard")
	}
	m.SourceLost(0, "b")
	if !m.Initialized() {
		t.Error("not known though the other is lost")
	}
	m.SourceLost(1*s, "a")
	if m.Merge(100 * s); shows(m) != "x y- " {
		t.Errorf("nobody is heard: %q", shows(m))
	}
	m.ApplyList(100*s, "b", Position{"h", 1}, []routing.Member{said("y", balance.Ready, 0), said("z", balance.Ready, 0)})
	if m.Merge(100 * s); shows(m) != "y- z " {
		t.Errorf("another is heard: %q", shows(m))
	}
	m.SourceAlive(101*s, "a")
	if m.Merge(101 * s); shows(m) != "x y- z " {
		t.Errorf("it is back: %q", shows(m))
	}
}

// What returns again and again is held back; word that it is gone is not.
func TestFlaps(t *testing.T) {
	m := New(Config{Sources: []string{"a"}, FlapThreshold: 2, FlapWindow: 60 * s, FlapSuppression: 5 * s, Retention: time.Hour})
	rev, now := int64(1), time.Duration(0)
	m.ApplyList(0, "a", Position{"h", rev}, []routing.Member{said("x", balance.Ready, 0)})
	m.Merge(0)
	tell := func(state balance.State, want string) {
		t.Helper()
		rev, now = rev+1, now+s
		m.ApplyChanges(now, "a", Position{"h", rev}, []routing.Member{said("x", state, 0)})
		if m.Merge(now); shows(m) != want {
			t.Errorf("at %s: %q, want %q", now, shows(m), want)
		}
	}
	tell(balance.Draining, "x- ")
	tell(balance.Ready, "x ")
	tell(balance.Gone, "")
	tell(balance.Ready, "")
	tell(balance.Gone, "")
	tell(balance.Ready, "")
	at, any := m.NextDue(now)
	if !any || at != 9*s {
		t.Fatalf("until %s", at)
	}
	if m.Merge(at); shows(m) != "x " {
		t.Errorf("it is not let back: %q", shows(m))
	}
	now = at
	tell(balance.Draining, "x- ")
}

// Words that nobody contradicts are forgotten in the end, others never.
func TestForgetting(t *testing.T) {
	m := New(Config{Sources: []string{"a", "b"}, Retention: 10 * s})
	m.ApplyList(0, "a", Position{"h", 1}, all(3))
	m.ApplyList(0, "b", Position{"h", 1}, all(1))
	m.Merge(0)
	m.ApplyList(1*s, "a", Position{"h", 2}, nil)
	m.Merge(1 * s)
	m.Merge(20 * s)
	if e, _ := m.View(20 * s); len(e) != 1 || e[0].State != "gone" || len(m.List()) != 0 {
		t.Errorf("%+v", e)
	}
}

// The order in which sources are heard changes nothing in the end, and a bad word is never undone but by a newer start or by
// its own source: the merge is compared with the rule written down plainly.
func TestOrderOfSources(t *testing.T) {
	states := []balance.State{balance.Ready, balance.Ready, balance.Draining, balance.Gone}
	rapid.Check(t, func(t *rapid.T) {
		from := []string{"a", "b", "c"}
		type op struct {
			whole bool
			at    Position
			list  []routing.Member
		}
		scripts := map[string][]op{}
		for _, name := range from {
			rev, history := int64(1), 0
			for i := range rapid.IntRange(1, 5).Draw(t, "ops") {
				rev++
				x := op{whole: i == 0 || rapid.Bool().Draw(t, "whole")}
				if i > 0 && x.whole && rapid.IntRange(0, 3).Draw(t, "restored") == 0 {
					history, rev = history+1, 1
				}
				x.at = Position{fmt.Sprint(history), rev}
				seen := map[string]bool{}
				for range rapid.IntRange(0, 4).Draw(t, "words") {
					d := said(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), rapid.SampledFrom(states).Draw(t, "state"),
						time.Duration(rapid.IntRange(1, 3).Draw(t, "since"))*s)
					d.Address = "10.0.0.1:" + name // whose word counts shows
					if !seen[d.Name] {
						x.list = append(x.list, d)
					}
					seen[d.Name] = true
				}
				scripts[name] = append(scripts[name], x)
			}
		}
		play := func(order []string) []routing.Member {
			m := New(Config{Sources: from})
			next := map[string]int{}
			for _, name := range order {
				x := scripts[name][next[name]]
				next[name]++
				if x.whole {
					m.ApplyList(100*s, name, x.at, x.list)
				} else {
					m.ApplyChanges(100*s, name, x.at, x.list)
				}
				m.Merge(100 * s)
			}
			return m.List()
		}
		var order []string
		for _, name := range from {
			for range scripts[name] {
				order = append(order, name)
			}
		}
		first := play(order)
		shuffled := rapid.Permutation(order).Draw(t, "order")
		if second := play(shuffled); !slices.Equal(first, second) {
			t.Fatalf("%v in order, %v in %v", first, second, shuffled)
		}
		for _, d := range first {
			for _, name := range from { // the last word of each source: none about this start or a newer one is worse
				last := said("", balance.Ready, 0)
				for _, x := range scripts[name] {
					named := false
					for _, w := range x.list {
						if w.Name == d.Name && !(x.whole && w.State == balance.Gone) {
							last, named = w, true
						}
					}
					if x.whole && !named && last.Name != "" {
						last.State = balance.Gone
					}
				}
				if last.Name != "" && (last.StartedAt > d.StartedAt && last.State == balance.Ready || last.StartedAt >= d.StartedAt && worse[last.State] > worse[d.State]) {
					t.Fatalf("%v is shown, though %s says %v", d, name, last)
				}
			}
		}
	})
}
