package share

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// newLimit returns a Limit, and fails the test on an error.
func newLimit(t *testing.T, total int, shares map[string]Share) *Limit {
	t.Helper()
	l, err := New(total, shares)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// acquireAll acquires units one by one until it fails, and returns their number.
func acquireAll(l *Limit, name string) (n int) {
	for l.Acquire(0, name, 1) {
		n++
	}
	return n
}

// Units that a pool has borrowed go back to the pool that claims them within its guaranteed share, before any borrower.
func TestBorrowedUnitsReturnToGuaranteedPool(t *testing.T) {
	l := newLimit(t, 16, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 8}, "c": {Guaranteed: 4, Max: 5}})
	if n := acquireAll(l, "c"); n != 5 {
		t.Errorf("c acquired %d units, want its maximum of 5", n)
	}
	if n := acquireAll(l, "a"); n != 9 {
		t.Errorf("a acquired %d of the 11 units left, want all but the spare 2", n)
	}
	if n := acquireAll(l, "b"); n != 2 {
		t.Errorf("b acquired %d units, want the spare 2", n)
	}
	l.Release("a", 1)
	if l.Acquire(0, "a", 1) {
		t.Error("a borrower acquired a unit that b has claimed")
	}
	if !l.Acquire(0, "b", 1) {
		t.Error("b did not get the next unit released")
	}
	l.Acquire(0, "b", 1)
	l.Release("a", 3)
	if l.Acquire(claimDuration-1, "a", 2) {
		t.Error("a borrower acquired units reserved for b")
	}
	if u := l.Usage()["a"]; u.Used != 5 || u.Borrowed != 1 {
		t.Errorf("usage of a is %+v, want 5 used and 1 borrowed", u)
	}
	// b's clients do not retry: its claim expires, and only the spare units stay free.
	if !l.Acquire(claimDuration, "a", 1) || l.Acquire(claimDuration, "a", 1) {
		t.Error("an expired claim still reserves units, or the spare unit was acquired")
	}
}

// A claim larger than the units that borrowers leave free is reserved completely.
func TestClaimLargerThanSpare(t *testing.T) {
	l := newLimit(t, 16, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 8}, "c": {Guaranteed: 4}})
	acquireAll(l, "a")
	if l.Acquire(0, "b", 8) {
		t.Fatal("b acquired 8 units while a borrows them")
	}
	l.Release("a", 4)
	if l.Acquire(0, "a", 1) || l.Acquire(0, "c", 1) {
		t.Error("another pool acquired units reserved for b")
	}
	l.Release("a", 2)
	if !l.Acquire(0, "b", 8) || !l.Acquire(0, "c", 0) {
		t.Error("b did not get its guaranteed share, or c failed to acquire 0 units")
	}
}

// Resize leaves the units that pools hold with them, and changes nothing on an error.
func TestResizeKeepsHeldUnits(t *testing.T) {
	l := newLimit(t, 8, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 4}})
	acquireAll(l, "a")
	acquireAll(l, "b")
	if err := l.Resize(6, map[string]Share{"b": {Guaranteed: 2}, "c": {Guaranteed: 2}}); err != nil {
		t.Fatal(err)
	}
	if l.Acquire(0, "a", 1) || l.Acquire(0, "c", 1) {
		t.Error("a unit was acquired while 8 of 6 are held")
	}
	held := l.Usage()["a"].Used
	l.Release("a", held)
	if _, there := l.Usage()["a"]; there {
		t.Error("a is no longer listed and holds nothing, but was not deleted")
	}
	if !l.Acquire(0, "c", 1) {
		t.Error("c did not get its guaranteed share")
	}
	for want, shares := range map[string]map[string]Share{
		"add up to 7 of 6": {"a": {Guaranteed: 3}, "b": {Guaranteed: 4}},
		"at least 1":       {"a": {}},
		"less than":        {"a": {Guaranteed: 3, Max: 2}},
	} {
		if err := l.Resize(6, shares); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want error with %q, got %v", want, err)
		}
	}
	if u := l.Usage()["c"]; u.Guaranteed != 2 || u.Used != 1 {
		t.Errorf("a failed Resize changed the usage of c: %+v", u)
	}
}

// For random events, the total is never exceeded, no unit leaks, and the pool with the earliest claim gets its units with the
// next ones that are released.
func TestSharingProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares, sum := map[string]Share{}, 0
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			g := rapid.IntRange(1, 6).Draw(t, "guaranteed")
			shares[fmt.Sprint(i)] = Share{Guaranteed: g}
			sum += g
		}
		runRandomEvents(t, sum+rapid.IntRange(0, 6).Draw(t, "more"), shares, 300, func(n int, what string) int {
			return rapid.IntRange(0, n-1).Draw(t, what)
		})
	})
}

// The same properties hold over a long sequence of events with fixed shares.
func TestMillionRandomEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	runRandomEvents(t, 40, map[string]Share{"0": {Guaranteed: 1}, "1": {Guaranteed: 10}, "2": {Guaranteed: 5, Max: 12}, "3": {Guaranteed: 20}},
		1_000_000, func(n int, _ string) int { return r.IntN(n) })
}

// fatalReporter is implemented by *testing.T and *rapid.T.
type fatalReporter interface{ Fatalf(string, ...any) }

// runRandomEvents applies random events to a Limit and checks its properties after each.
func runRandomEvents(t fatalReporter, total int, shares map[string]Share, events int, draw func(int, string) int) {
	l, err := New(total, shares)
	if err != nil {
		t.Fatalf("%v", err)
	}
	held, all := map[string]int{}, 0
	first, claimed := "", 0 // pool with the earliest claim, and its units; "" for none
	now := time.Duration(0)
	for range events {
		name := fmt.Sprint(draw(len(shares), "pool"))
		share := shares[name]
		switch {
		case draw(2, "give") == 0 && held[name] > 0:
			n := 1 + draw(held[name], "back")
			l.Release(name, n)
			held[name] -= n
			all -= n
			if first != "" && claimed <= total-all {
				// Another pool that acquires first must not get units of the claim.
				if other := fmt.Sprint(draw(len(shares), "quick")); other != first && l.Acquire(now, other, 1) {
					held[other]++
					all++
				}
				if !l.Acquire(now, first, claimed) {
					t.Fatalf("pool %s has the earliest claim, for %d units, and does not get them with %d of %d free", first, claimed, total-all, total)
				}
				held[first] += claimed
				all += claimed
				first = ""
				now += claimDuration // the other claims expire, so that the next claim is the earliest
			}
		default:
			n := 1 + draw(2, "units")
			free := total - all
			if l.Acquire(now, name, n) {
				held[name] += n
				all += n
				if first == name {
					first = ""
					now += claimDuration
				}
			} else if held[name]+n <= share.Guaranteed && first == "" {
				if n <= free {
					t.Fatalf("pool %s holds %d of its guaranteed %d and failed to acquire %d with %d free", name, held[name], share.Guaranteed, n, free)
				}
				first, claimed = name, n
			} else if first == name && held[name]+n <= share.Guaranteed {
				claimed = max(claimed, n)
			}
			if first != "" && held[first]+claimed > shares[first].Guaranteed {
				t.Fatalf("error in the test: claim beyond the guaranteed share")
			}
		}
		if maximum := share.Max; all > total || maximum > 0 && held[name] > maximum {
			t.Fatalf("%d of %d units are held, %d of them by pool %s", all, total, held[name], name)
		}
	}
	for name, n := range held {
		if l.Usage()[name].Used != n {
			t.Fatalf("pool %s holds %d units, but its usage is %+v", name, n, l.Usage()[name])
		}
		l.Release(name, n)
	}
	if _, used := l.Total(); used != 0 {
		t.Fatalf("%d units leaked", used)
	}
	for name, share := range shares {
		if !l.Acquire(now+2*claimDuration, name, share.Guaranteed) {
			t.Fatalf("pool %s does not get its guaranteed share of an idle limit", name)
		}
	}
}

// BenchmarkAcquire shows that the cost of Acquire does not grow with the number of pools.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{1, 1000} {
		shares := map[string]Share{}
		for i := range n {
			shares[fmt.Sprint(i)] = Share{Guaranteed: 2}
		}
		l, err := New(4*n, shares)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				l.Acquire(0, "0", 1)
				l.Release("0", 1)
			}
		})
	}
}
