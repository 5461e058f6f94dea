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

// member returns an endpoint as a source reports it.
func member(name string, state balance.State, startedAt time.Duration) routing.Member {
	return routing.Member{Name: name, Address: "10.0.0.1:1", State: state, StartedAt: startedAt, Weight: 1}
}

// summarize returns the names in the merged list, those that are draining with a trailing "-".
func summarize(m *Merger) string {
	out := ""
	for _, e := range m.List() {
		out += e.Name + map[balance.State]string{balance.Ready: "", balance.Draining: "-"}[e.State] + " "
	}
	return out
}

// Scripts of reports from two sources that disagree, with the merged list expected after each step.
func TestDisagreeingSources(t *testing.T) {
	pos := func(rev int64) Position { return Position{"h", rev} }
	ready, draining, gone := balance.Ready, balance.Draining, balance.Gone
	type step struct {
		from         string
		pos          Position
		full         bool
		list         []routing.Member
		want         string
		wantAccepted bool
	}
	full := func(from string, rev int64, want string, list ...routing.Member) step {
		return step{from, pos(rev), true, list, want, true}
	}
	change := func(from string, rev int64, want string, list ...routing.Member) step {
		return step{from, pos(rev), false, list, want, true}
	}
	rejected := func(st step) step { st.wantAccepted = false; return st }
	newHistory := func(st step) step { st.pos.History = "other"; return st }
	for name, script := range map[string][]step{
		"a negative report takes effect at once, and a ready report of the same start does not override it": {
			full("a", 1, "x ", member("x", ready, 5*s)), full("b", 1, "x ", member("x", ready, 5*s)),
			change("a", 2, "x- ", member("x", draining, 5*s)), full("b", 2, "x- ", member("x", ready, 5*s)),
			change("a", 3, "", member("x", gone, 5*s)), full("b", 3, "", member("x", ready, 5*s)),
			full("b", 4, "x ", member("x", ready, 6*s))},
		"a source replaces its own report": {
			full("a", 1, "x- ", member("x", draining, 5*s)), change("a", 2, "x ", member("x", ready, 5*s))},
		"a negative report without a start covers all starts before it": {
			full("a", 1, "x ", member("x", ready, 0)), full("b", 1, "x ", member("x", ready, 50*s)),
			change("a", 2, "", member("x", gone, 0)), full("b", 2, "", member("x", ready, 99*s)),
			full("b", 3, "x ", member("x", ready, 101*s))},
		"an endpoint missing from a full list is gone": {
			full("a", 1, "x y ", member("x", ready, 0), member("y", ready, 0)), full("a", 2, "y ", member("y", ready, 0)),
			full("b", 1, "y ", member("x", ready, 0))},
		"an older revision is rejected": {
			full("a", 5, "x- ", member("x", draining, 0)), rejected(full("a", 4, "x- ", member("x", ready, 0))),
			rejected(change("a", 5, "x- ", member("x", ready, 0))), change("a", 6, "x ", member("x", ready, 0))},
		"the first list of another history does not undo a drain or a removal, a later write does": {
			full("a", 9, "x- y z ", member("x", draining, 5*s), member("y", ready, 5*s), member("z", ready, 5*s)), change("a", 10, "x- z ", member("y", gone, 0)),
			rejected(newHistory(change("a", 11, "x- z ", member("x", ready, 5*s)))),
			newHistory(full("a", 2, "x- z ", member("x", ready, 5*s), member("y", ready, 5*s), member("z", ready, 5*s))),
			newHistory(change("a", 3, "x z ", member("x", ready, 5*s))), newHistory(change("a", 4, "x y z ", member("y", ready, 5*s)))},
		"changes before a full list are rejected": {
			rejected(change("a", 1, "", member("x", ready, 0)))},
		"a source that is not configured is ignored": {
			rejected(full("c", 1, "", member("x", ready, 0)))},
	} {
		m := New(Config{Sources: []string{"a", "b"}, Retention: time.Hour})
		for i, st := range script {
			accepted := false
			if st.full {
				accepted = m.ApplyList(100*s, st.from, st.pos, st.list)
			} else {
				accepted = m.ApplyChanges(100*s, st.from, st.pos, st.list)
			}
			m.Merge(100 * s)
			if got := summarize(m); got != st.want || accepted != st.wantAccepted {
				t.Errorf("%s, step %d: list %q, want %q; accepted %v", name, i, got, st.want, accepted)
				break
			}
		}
	}
}

// readyMembers returns n ready endpoints.
func readyMembers(n int) (out []routing.Member) {
	for i := range n {
		out = append(out, member(fmt.Sprintf("d%02d", i), balance.Ready, 0))
	}
	return out
}

// A full list that drops most endpoints is quarantined, but a drain in it applies at once. Its omissions apply when the
// quarantine ends, or not at all if a complete enough list arrives before.
func TestQuarantinedLists(t *testing.T) {
	for _, recovers := range []bool{false, true} {
		m := New(Config{Sources: []string{"a"}, QuarantineBelow: 0.3, QuarantineFor: 10 * s})
		m.ApplyList(0, "a", Position{"h", 1}, readyMembers(10))
		m.Merge(0)
		m.ApplyList(1*s, "a", Position{"h", 2}, []routing.Member{member("d00", balance.Draining, 0)})
		if out := m.Merge(1 * s); len(out) != 1 || out[0].State != balance.Draining || len(m.List()) != 10 {
			t.Fatalf("after the short list: changes %v, %d endpoints listed, want one drain and 10 endpoints", out, len(m.List()))
		}
		m.ApplyChanges(2*s, "a", Position{"h", 3}, []routing.Member{member("d01", balance.Gone, 0)})
		if m.Merge(2 * s); len(m.List()) != 9 {
			t.Fatalf("an individual change was not applied: %d endpoints listed, want 9", len(m.List()))
		}
		if _, v := m.View(2 * s); v[0].Suspicious == "" {
			t.Error("the quarantine is missing from the view")
		}
		m.ApplyList(3*s, "a", Position{"h", 4}, nil)
		if due, any := m.NextDue(3 * s); !any || due != 11*s {
			t.Fatalf("the quarantine ends at %s, want 11s", due)
		}
		want := 0
		if recovers {
			m.ApplyList(5*s, "a", Position{"h", 5}, readyMembers(4))
			m.Merge(5 * s)
			want = 4
		}
		if m.Merge(10 * s); !recovers && len(m.List()) != 9 {
			t.Errorf("%d endpoints listed before the quarantine ends, want 9", len(m.List()))
		}
		if m.Merge(11 * s); len(m.List()) != want {
			t.Errorf("recovers %v: %d endpoints listed after the quarantine, want %d", recovers, len(m.List()), want)
		}
	}
	m := New(Config{Sources: []string{"a"}, QuarantineBelow: 0.3, QuarantineFor: 10 * s})
	m.ApplyList(0, "a", Position{"h", 1}, readyMembers(10))
	m.ApplyList(1*s, "a", Position{"h", 2}, readyMembers(3))
	if m.Merge(1 * s); len(m.List()) != 3 {
		t.Errorf("a list at the threshold was quarantined: %d endpoints listed, want 3", len(m.List()))
	}
}

// The reports of a lost source stay in force while no other source is reachable. Once another one is, only its negative reports
// do. All are in force again when the source is back.
func TestLostSource(t *testing.T) {
	m := New(Config{Sources: []string{"a", "b"}, StaleAfter: 30 * s, Retention: time.Hour})
	m.ApplyList(0, "a", Position{"h", 1}, []routing.Member{member("x", balance.Ready, 0), member("y", balance.Draining, 0)})
	if m.Initialized() {
		t.Error("initialized before all sources have reported")
	}
	m.SourceLost(0, "b")
	if !m.Initialized() {
		t.Error("not initialized though the other source is lost")
	}
	m.SourceLost(1*s, "a")
	if m.Merge(100 * s); summarize(m) != "x y- " {
		t.Errorf("no source is reachable: %q", summarize(m))
	}
	m.ApplyList(100*s, "b", Position{"h", 1}, []routing.Member{member("y", balance.Ready, 0), member("z", balance.Ready, 0)})
	if m.Merge(100 * s); summarize(m) != "y- z " {
		t.Errorf("another source is reachable: %q", summarize(m))
	}
	m.SourceAlive(101*s, "a")
	if m.Merge(101 * s); summarize(m) != "x y- z " {
		t.Errorf("the source is back: %q", summarize(m))
	}
}

// An endpoint that returns repeatedly is suppressed; a report that it is gone or draining is not delayed.
func TestFlapDamping(t *testing.T) {
	m := New(Config{Sources: []string{"a"}, FlapThreshold: 2, FlapWindow: 60 * s, FlapSuppression: 5 * s, Retention: time.Hour})
	rev, now := int64(1), time.Duration(0)
	m.ApplyList(0, "a", Position{"h", rev}, []routing.Member{member("x", balance.Ready, 0)})
	m.Merge(0)
	report := func(state balance.State, want string) {
		t.Helper()
		rev, now = rev+1, now+s
		m.ApplyChanges(now, "a", Position{"h", rev}, []routing.Member{member("x", state, 0)})
		if m.Merge(now); summarize(m) != want {
			t.Errorf("at %s: %q, want %q", now, summarize(m), want)
		}
	}
	report(balance.Draining, "x- ")
	report(balance.Ready, "x ")
	report(balance.Gone, "")
	report(balance.Ready, "")
	report(balance.Gone, "")
	report(balance.Ready, "")
	due, any := m.NextDue(now)
	if !any || due != 9*s {
		t.Fatalf("suppressed until %s, want 9s", due)
	}
	if m.Merge(due); summarize(m) != "x " {
		t.Errorf("still suppressed after the suppression has ended: %q", summarize(m))
	}
	now = due
	report(balance.Draining, "x- ")
}

// The view has the states of the last Merge: an endpoint whose first report has not been merged yet is not shown, rather than shown as
// gone, and one whose removal or return has not been merged yet is shown as it was published.
func TestViewBeforeMerge(t *testing.T) {
	m := New(Config{Sources: []string{"a", "b"}, Retention: time.Hour})
	states := func() (out string) {
		entries, _ := m.View(0)
		for _, e := range entries {
			out += e.Name + " " + e.State + ", "
		}
		return out
	}
	check := func(want string) {
		t.Helper()
		if got := states(); got != want {
			t.Errorf("view %q, want %q", got, want)
		}
	}
	change := func(revision int64, state balance.State, name string) {
		t.Helper()
		if !m.ApplyChanges(0, "a", Position{"h", revision}, []routing.Member{member(name, state, time.Duration(revision))}) {
			t.Fatalf("the change of revision %d was rejected", revision)
		}
	}
	m.ApplyList(0, "a", Position{"h", 1}, []routing.Member{member("x", balance.Ready, 1)})
	check("")
	m.ApplyList(0, "b", Position{"h", 1}, nil)
	m.Merge(0)
	check("x ready, ")
	change(2, balance.Ready, "y")
	check("x ready, ")
	m.Merge(0)
	check("x ready, y ready, ")
	change(3, balance.Gone, "y")
	check("x ready, y ready, ")
	m.Merge(0)
	check("x ready, y gone, ")
	change(4, balance.Ready, "y")
	check("x ready, y gone, ")
	m.Merge(0)
	check("x ready, y ready, ")
	change(5, balance.Gone, "z") // the first report of a name is that it is gone
	check("x ready, y ready, ")
	m.Merge(0)
	check("x ready, y ready, z gone, ")
}

// Negative reports that no source contradicts are forgotten after Config.Retention; others are kept for good.
func TestRetention(t *testing.T) {
	m := New(Config{Sources: []string{"a", "b"}, Retention: 10 * s})
	m.ApplyList(0, "a", Position{"h", 1}, readyMembers(3))
	m.ApplyList(0, "b", Position{"h", 1}, readyMembers(1))
	m.Merge(0)
	m.ApplyList(1*s, "a", Position{"h", 2}, nil)
	m.Merge(1 * s)
	m.Merge(20 * s)
	if e, _ := m.View(20 * s); len(e) != 1 || e[0].State != "gone" || len(m.List()) != 0 {
		t.Errorf("entries %+v, want d00 alone, gone", e)
	}
}

// The merged list does not depend on the order in which sources report, and a negative report is undone only by a newer start
// or by its own source. The expected result is computed from the last report of each source.
func TestMergeIndependentOfSourceOrder(t *testing.T) {
	states := []balance.State{balance.Ready, balance.Ready, balance.Draining, balance.Gone}
	rapid.Check(t, func(t *rapid.T) {
		sources := []string{"a", "b", "c"}
		type update struct {
			full bool
			pos  Position
			list []routing.Member
		}
		scripts := map[string][]update{}
		for _, name := range sources {
			rev, history := int64(1), 0
			for i := range rapid.IntRange(1, 5).Draw(t, "ops") {
				rev++
				u := update{full: i == 0 || rapid.Bool().Draw(t, "whole")}
				if i > 0 && u.full && rapid.IntRange(0, 3).Draw(t, "restored") == 0 {
					history, rev = history+1, 1
				}
				u.pos = Position{fmt.Sprint(history), rev}
				seen := map[string]bool{}
				for range rapid.IntRange(0, 4).Draw(t, "words") {
					e := member(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), rapid.SampledFrom(states).Draw(t, "state"),
						time.Duration(rapid.IntRange(1, 3).Draw(t, "since"))*s)
					e.Address = "10.0.0.1:" + name // shows whose report is effective
					if !seen[e.Name] {
						u.list = append(u.list, e)
					}
					seen[e.Name] = true
				}
				scripts[name] = append(scripts[name], u)
			}
		}
		run := func(order []string) []routing.Member {
			m := New(Config{Sources: sources})
			next := map[string]int{}
			for _, name := range order {
				u := scripts[name][next[name]]
				next[name]++
				if u.full {
					m.ApplyList(100*s, name, u.pos, u.list)
				} else {
					m.ApplyChanges(100*s, name, u.pos, u.list)
				}
				m.Merge(100 * s)
			}
			return m.List()
		}
		var order []string
		for _, name := range sources {
			for range scripts[name] {
				order = append(order, name)
			}
		}
		first := run(order)
		shuffled := rapid.Permutation(order).Draw(t, "order")
		if second := run(shuffled); !slices.Equal(first, second) {
			t.Fatalf("merged list %v in the original order, %v in the order %v", first, second, shuffled)
		}
		for _, e := range first {
			for _, name := range sources { // no source's last report about this start or a newer one is more severe
				last := member("", balance.Ready, 0)
				for _, u := range scripts[name] {
					named := false
					for _, listed := range u.list {
						if listed.Name == e.Name && !(u.full && listed.State == balance.Gone) {
							last, named = listed, true
						}
					}
					if u.full && !named && last.Name != "" {
						last.State = balance.Gone
					}
				}
				if last.Name != "" && (last.StartedAt > e.StartedAt && last.State == balance.Ready || last.StartedAt >= e.StartedAt && severity[last.State] > severity[e.State]) {
					t.Fatalf("%v is listed, though source %s reports %v", e, name, last)
				}
			}
		}
	})
}
