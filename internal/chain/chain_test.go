package chain

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A header parses back to the one that was written, unknown keys are ignored, and malformed headers are rejected.
func TestHeader(t *testing.T) {
	h := Header{TimeLeft: 1200 * time.Millisecond, Retries: 2, Utility: 1.5, Token: "x1", Via: []string{"a", "b"}}
	if got, err := Parse(h.String() + ";later=1"); err != nil || got.String() != h.String() {
		t.Errorf("got %v, error %v", got, err)
	}
	good := h.String()
	for _, text := range []string{"", "left=1", strings.Replace(good, "left=1200", "left=-1", 1), strings.Replace(good, "repeats=2", "repeats=x", 1),
		strings.Replace(good, "repeats=2", "repeats=-1", 1), strings.Replace(good, "worth=1.5", "worth=NaN", 1), strings.Replace(good, "token=x1", "token=", 1),
		good + ";left=3", strings.Replace(good, "via=a,b", "via=a,,b", 1), good + strings.Repeat("x", maxHeaderBytes)} {
		if _, err := Parse(text); !errors.Is(err, errMalformed) {
			t.Errorf("%q: got error %v, want errMalformed", text, err)
		}
	}
	if got, err := Parse(strings.Replace(good, "1200", "99999999999999", 1)); err != nil || got.TimeLeft != maxTimeLeft {
		t.Errorf("time above the maximum: got %v, error %v", got.TimeLeft, err)
	}
}

// Loops and chains that are too long are rejected, and each such route is reported as new only once.
func TestRejections(t *testing.T) {
	tracker := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	header := func(via ...string) string {
		return Header{TimeLeft: time.Second, Token: "t", Via: via}.String()
	}
	for _, c := range []struct {
		text     string
		rejected bool
		first    bool
	}{{"", false, false}, {header("a", "b"), false, false}, {header("a", "c", "b"), true, true}, {header("a", "c", "b"), true, false},
		{header("a", "b", "d"), true, true}} {
		e, rejection, first, err := tracker.Enter(0, c.text, time.Second, 1)
		if err != nil || (rejection != nil) != c.rejected || first != c.first || (e != nil) == c.rejected {
			t.Errorf("%q: entry %v, rejection %v, first %t, error %v", c.text, e, rejection, first, err)
		}
	}
	if _, _, _, err := tracker.Enter(0, "nonsense", time.Second, 1); !errors.Is(err, errMalformed) {
		t.Error(err)
	}
}

// The deadline is the earlier of the client's and the header's, and the time left is reduced before the header is sent on.
func TestTimeLeft(t *testing.T) {
	tracker := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	e, _, _, _ := tracker.Enter(time.Second, Header{TimeLeft: 300 * time.Millisecond, Utility: 3, Token: "t", Via: []string{"a"}}.String(), 9*time.Second, 1)
	if e.Deadline != 1300*time.Millisecond || e.Utility != 3 {
		t.Errorf("got %+v", e)
	}
	text, _ := e.NextAttempt(1100 * time.Millisecond)
	h, err := Parse(text)
	if err != nil || h.TimeLeft != 200*time.Millisecond || h.Utility != 3 || strings.Join(h.Via, " ") != "a c" {
		t.Errorf("next header %+v, error %v", h, err)
	}
}

// Whichever attempts fail at whichever tier, with services that make several calls per request: the retries that one request
// causes over all tiers stay within its budget, and a first attempt is always allowed.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries := rapid.IntRange(0, 9).Draw(t, "repeats")
		calls := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(t, "calls") // made by each tier for one request
		tiers := []string{"a", "b", "c", "d"}[:len(calls)]
		madeRetries, firstAttempts := 0, 0
		var handle func(tier int, trackers []*Tracker, text string)
		// Each attempt gets trackers of its own for the tiers below, as if it reached endpoints that serve nothing else.
		handle = func(tier int, trackers []*Tracker, text string) {
			e, rejection, _, err := trackers[tier].Enter(0, text, time.Minute, 1)
			if err != nil || rejection != nil {
				t.Fatalf("error %v, rejection %v", err, rejection)
			}
			for n := 0; ; n++ {
				header, ok := e.NextAttempt(0)
				if !ok {
					if n == 0 {
						t.Fatal("first attempt is not allowed")
					}
					break
				}
				if n == 0 {
					firstAttempts++
				} else {
					madeRetries++
				}
				if tier+1 < len(tiers) {
					below := []*Tracker{}
					for i, name := range tiers {
						below = append(below, New(Limits{Service: name, MaxHops: 9, MaxRetries: retries}, uint64(madeRetries*100+firstAttempts*10+i)))
					}
					for range calls[tier] {
						handle(tier+1, below, header)
					}
				}
				if !rapid.Bool().Draw(t, "fails") {
					break
				}
			}
			e.Release()
		}
		handle(0, []*Tracker{New(Limits{Service: "a", MaxHops: 9, MaxRetries: retries}, 7)}, "")
		if madeRetries > retries {
			t.Fatalf("%d retries, at most %d are allowed", madeRetries, retries)
		}
	})
}

// Budgets are removed after they expire, and tokens beyond maxBudgets get no retries.
func TestRecordsAreBounded(t *testing.T) {
	tracker := New(Limits{Service: "c", MaxHops: 3, MaxRetries: 4}, 1)
	enter := func(now time.Duration, n int) *Entry {
		h := Header{TimeLeft: time.Second, Retries: 4, Token: string(rune('0'+n%10)) + strings.Repeat("x", n/10), Via: []string{"a"}}
		e, _, _, err := tracker.Enter(now, h.String(), now+time.Second, 1)
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	for n := range maxBudgets + 10 {
		e := enter(0, n)
		if excess := n >= maxBudgets; excess != (e.Retries == 0) {
			t.Fatalf("request %d has %d retries", n, e.Retries)
		}
		e.Release()
	}
	if enter(2*time.Second, 5); len(tracker.budgets) != 1 {
		t.Errorf("%d budgets are kept, want 1", len(tracker.budgets))
	}
}

// Clients that name ever new routes leave little behind. Guards against a report for each route.
func TestReportedRoutesAreBounded(t *testing.T) {
	tracker := New(Limits{Service: "edge", MaxHops: 4, MaxRetries: 4}, 1)
	reported := 0
	for n := range 2 * maxBudgets {
		_, rejection, first, err := tracker.Enter(0, fmt.Sprintf("left=1000;repeats=2;worth=1;token=t;via=edge,%s%d", strings.Repeat("v", 900), n), time.Second, 1)
		if err != nil || rejection == nil {
			t.Fatalf("loop %d: rejection %v, error %v", n, rejection, err)
		}
		if first {
			reported++
		}
	}
	if reported != maxReportedRoutes {
		t.Errorf("%d of %d rejected routes were reported, want %d", reported, 2*maxBudgets, maxReportedRoutes)
	}
}
