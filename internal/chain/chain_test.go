package chain

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWord(t *testing.T) {
	w := Header{TimeLeft: 1200 * time.Millisecond, Retries: 2, Utility: 1.5, Token: "x1", Via: []string{"a", "b"}}
	if got, err := Parse(w.String() + ";later=1"); err != nil || got.String() != w.String() {
		t.Errorf("%v %v", got, err)
	}
	good := w.String()
	for _, text := range []string{"", "left=1", strings.Replace(good, "left=1200", "left=-1", 1), strings.Replace(good, "repeats=2", "repeats=x", 1),
		strings.Replace(good, "repeats=2", "repeats=-1", 1), strings.Replace(good, "worth=1.5", "worth=NaN", 1), strings.Replace(good, "token=x1", "token=", 1),
		good + ";left=3", strings.Replace(good, "via=a,b", "via=a,,b", 1), good + strings.Repeat("x", maxText)} {
		if _, err := Parse(text); !errors.Is(err, errWord) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if got, err := Parse(strings.Replace(good, "1200", "99999999999999", 1)); err != nil || got.TimeLeft != maxLeft {
		t.Errorf("an absurd time: %v %v", got.TimeLeft, err)
	}
}

// A service that is called by itself, and a chain that is too long, are refused, and told once for each route.
func TestLoops(t *testing.T) {
	b := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	word := func(via ...string) string {
		return Header{TimeLeft: time.Second, Token: "t", Via: via}.String()
	}
	for _, c := range []struct {
		text  string
		loop  bool
		first bool
	}{{"", false, false}, {word("a", "b"), false, false}, {word("a", "c", "b"), true, true}, {word("a", "c", "b"), true, false},
		{word("a", "b", "d"), true, true}} {
		v, no, first, err := b.Enter(0, c.text, time.Second, 1)
		if err != nil || (no != nil) != c.loop || first != c.first || (v != nil) == c.loop {
			t.Errorf("%q: %v %v %t %v", c.text, v, no, first, err)
		}
	}
	if _, _, _, err := b.Enter(0, "nonsense", time.Second, 1); !errors.Is(err, errWord) {
		t.Error(err)
	}
}

// The time is the shorter of the two, and counts down with what is sent.
func TestTime(t *testing.T) {
	b := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	v, _, _, _ := b.Enter(time.Second, Header{TimeLeft: 300 * time.Millisecond, Utility: 3, Token: "t", Via: []string{"a"}}.String(), 9*time.Second, 1)
	if v.Deadline != 1300*time.Millisecond || v.Utility != 3 {
		t.Errorf("%+v", v)
	}
	text, _ := v.NextAttempt(1100 * time.Millisecond)
	w, err := Parse(text)
	if err != nil || w.TimeLeft != 200*time.Millisecond || w.Utility != 3 || strings.Join(w.Via, " ") != "a c" {
		t.Errorf("%+v %v", w, err)
	}
}

// Whatever fails in whatever tier, with services that make several calls for a request: the repeats that one operation
// causes in all tiers together stay within what it came with, and a first attempt is never kept back.
func TestRepeatsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeats := rapid.IntRange(0, 9).Draw(t, "repeats")
		calls := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(t, "calls") // of a request at each tier
		tiers := []string{"a", "b", "c", "d"}[:len(calls)]
		made, first := 0, 0
		var visit func(tier int, books []*Tracker, text string)
		// Each attempt has the sidecars of one instance in each tier below to itself, as beside an instance.
		visit = func(tier int, books []*Tracker, text string) {
			v, no, _, err := books[tier].Enter(0, text, time.Minute, 1)
			if err != nil || no != nil {
				t.Fatalf("%v %v", err, no)
			}
			for n := 0; ; n++ {
				word, ok := v.NextAttempt(0)
				if !ok {
					if n == 0 {
						t.Fatal("a first attempt is kept back")
					}
					break
				}
				if n == 0 {
					first++
				} else {
					made++
				}
				if tier+1 < len(tiers) {
					below := []*Tracker{}
					for i, name := range tiers {
						below = append(below, New(Limits{Service: name, MaxHops: 9, MaxRetries: repeats}, uint64(made*100+first*10+i)))
					}
					for range calls[tier] {
						visit(tier+1, below, word)
					}
				}
				if !rapid.Bool().Draw(t, "fails") {
					break
				}
			}
			v.Release()
		}
		visit(0, []*Tracker{New(Limits{Service: "a", MaxHops: 9, MaxRetries: repeats}, 7)}, "")
		if made > repeats {
			t.Fatalf("%d repeats, %d are allowed", made, repeats)
		}
	})
}

// Tokens are forgotten when their time is over, and those beyond the bound have no repeats.
func TestMemory(t *testing.T) {
	b := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	enter := func(now time.Duration, n int) *Entry {
		w := Header{TimeLeft: time.Second, Retries: 4, Token: string(rune('0'+n%10)) + strings.Repeat("x", n/10), Via: []string{"a"}}
		v, _, _, err := b.Enter(now, w.String(), now+time.Second, 1)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	for n := range mostPots + 10 {
		v := enter(0, n)
		if beyond := n >= mostPots; beyond != (v.Retries == 0) {
			t.Fatalf("%d: %d repeats", n, v.Retries)
		}
		v.Release()
	}
	if enter(2*time.Second, 5); len(b.pots) != 1 {
		t.Errorf("%d are kept", len(b.pots))
	}
}
