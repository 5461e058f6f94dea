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

func divide(t *testing.T, whole int, parts map[string]Share) *Limit {
	t.Helper()
	l, err := New(whole, parts)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// take takes units one by one until one is refused.
func take(l *Limit, name string) (n int) {
	for l.Acquire(0, name, 1) {
		n++
	}
	return n
}

func TestBorrowedUnitsGoBackToTheirOwner(t *testing.T) {
	l := divide(t, 16, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 8}, "c": {Guaranteed: 4, Max: 5}})
	if n := take(l, "c"); n != 5 {
		t.Errorf("c took %d, want its most", n)
	}
	if n := take(l, "a"); n != 9 {
		t.Errorf("a took %d of the 11 left, want all but the spare 2", n)
	}
	if n := take(l, "b"); n != 2 {
		t.Errorf("b took %d, want the spare 2", n)
	}
	l.Release("a", 1)
	if l.Acquire(0, "a", 1) {
		t.Error("a borrower took what b had asked for")
	}
	if !l.Acquire(0, "b", 1) {
		t.Error("b did not get the next unit")
	}
	l.Acquire(0, "b", 1)
	l.Release("a", 3)
	if l.Acquire(claimFor-1, "a", 2) {
		t.Error("a borrower took what is kept for b")
	}
	if u := l.Usage()["a"]; u.Used != 5 || u.Borrowed != 1 {
		t.Errorf("a holds %+v", u)
	}
	// b's clients do not come back: its claim ends, and the spare alone is kept.
	if !l.Acquire(claimFor, "a", 1) || l.Acquire(claimFor, "a", 1) {
		t.Error("an old claim still keeps room")
	}
}

// A claim may be larger than what borrowers leave free anyway.
func TestClaimIsKeptWhole(t *testing.T) {
	l := divide(t, 16, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 8}, "c": {Guaranteed: 4}})
	take(l, "a")
	if l.Acquire(0, "b", 8) {
		t.Fatal("a left 8 free")
	}
	l.Release("a", 4)
	if l.Acquire(0, "a", 1) || l.Acquire(0, "c", 1) {
		t.Error("another took what is kept for b")
	}
	l.Release("a", 2)
	if !l.Acquire(0, "b", 8) || !l.Acquire(0, "c", 0) {
		t.Error("b did not get its part")
	}
}

func TestSetKeepsWhatIsHeld(t *testing.T) {
	l := divide(t, 8, map[string]Share{"a": {Guaranteed: 4}, "b": {Guaranteed: 4}})
	take(l, "a")
	take(l, "b")
	if err := l.Resize(6, map[string]Share{"b": {Guaranteed: 2}, "c": {Guaranteed: 2}}); err != nil {
		t.Fatal(err)
	}
	if l.Acquire(0, "a", 1) || l.Acquire(0, "c", 1) {
		t.Error("8 of 6 are held, and more was taken")
	}
	held := l.Usage()["a"].Used
	l.Release("a", held)
	if _, there := l.Usage()["a"]; there {
		t.Error("a is gone, has given all back, and is remembered")
	}
	if !l.Acquire(0, "c", 1) {
		t.Error("c does not get its part")
	}
	for want, parts := range map[string]map[string]Share{
		"add up to 7 of 6": {"a": {Guaranteed: 3}, "b": {Guaranteed: 4}},
		"at least 1":       {"a": {}},
		"less than":        {"a": {Guaranteed: 3, Max: 2}},
	} {
		if err := l.Resize(6, parts); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if u := l.Usage()["c"]; u.Guaranteed != 2 || u.Used != 1 {
		t.Errorf("a refused division changed c: %+v", u)
	}
}

// Over random events the whole is never exceeded, nothing leaks, and the pool that asked first for its own gets it with
// the next units that are given back.
func TestPropertiesOfSharing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts, sum := map[string]Share{}, 0
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			g := rapid.IntRange(1, 6).Draw(t, "guaranteed")
			parts[fmt.Sprint(i)] = Share{Guaranteed: g}
			sum += g
		}
		walk(t, sum+rapid.IntRange(0, 6).Draw(t, "more"), parts, 300, func(n int, what string) int {
			return rapid.IntRange(0, n-1).Draw(t, what)
		})
	})
}

func TestAMillionRandomEvents(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	walk(t, 40, map[string]Share{"0": {Guaranteed: 1}, "1": {Guaranteed: 10}, "2": {Guaranteed: 5, Max: 12}, "3": {Guaranteed: 20}},
		1_000_000, func(n int, _ string) int { return r.IntN(n) })
}

type failer interface{ Fatalf(string, ...any) }

func walk(t failer, whole int, parts map[string]Share, events int, draw func(int, string) int) {
	l, err := New(whole, parts)
	if err != nil {
		t.Fatalf("%v", err)
	}
	held, all := map[string]int{}, 0
	first, wants := "", 0 // asked first of those that wait, and for what
	now := time.Duration(0)
	for range events {
		name := fmt.Sprint(draw(len(parts), "pool"))
		part := parts[name]
		switch {
		case draw(2, "give") == 0 && held[name] > 0:
			n := 1 + draw(held[name], "back")
			l.Release(name, n)
			held[name] -= n
			all -= n
			if first != "" && wants <= whole-all {
				// Whoever is quicker takes none of it away.
				if quick := fmt.Sprint(draw(len(parts), "quick")); quick != first && l.Acquire(now, quick, 1) {
					held[quick]++
					all++
				}
				if !l.Acquire(now, first, wants) {
					t.Fatalf("%s asked first for %d of its own and does not get them with %d of %d free", first, wants, whole-all, whole)
				}
				held[first] += wants
				all += wants
				first = ""
				now += claimFor // the others' claims end, so that the next to ask is the first
			}
		default:
			n := 1 + draw(2, "units")
			free := whole - all
			if l.Acquire(now, name, n) {
				held[name] += n
				all += n
				if first == name {
					first = ""
					now += claimFor
				}
			} else if held[name]+n <= part.Guaranteed && first == "" {
				if n <= free {
					t.Fatalf("%s holds %d of its %d and was refused %d with %d free", name, held[name], part.Guaranteed, n, free)
				}
				first, wants = name, n
			} else if first == name && held[name]+n <= part.Guaranteed {
				wants = max(wants, n)
			}
			if first != "" && held[first]+wants > parts[first].Guaranteed {
				t.Fatalf("the walk is wrong")
			}
		}
		if most := part.Max; all > whole || most > 0 && held[name] > most {
			t.Fatalf("%d of %d are taken, %d by %s", all, whole, held[name], name)
		}
	}
	for name, n := range held {
		if l.Usage()[name].Used != n {
			t.Fatalf("%s holds %d, the limit says %+v", name, n, l.Usage()[name])
		}
		l.Release(name, n)
	}
	if _, used := l.Total(); used != 0 {
		t.Fatalf("%d units leaked", used)
	}
	for name, part := range parts {
		if !l.Acquire(now+2*claimFor, name, part.Guaranteed) {
			t.Fatalf("%s does not get its part of an idle whole", name)
		}
	}
}

// What a take costs does not grow with the pools.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{1, 1000} {
		parts := map[string]Share{}
		for i := range n {
			parts[fmt.Sprint(i)] = Share{Guaranteed: 2}
		}
		l, err := New(4*n, parts)
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
