package drill

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The computed latencies of a script small enough to do by hand: 10 requests a second for 1 s, answers after 100 ms, nothing
// between 0.35 s and 0.85 s.
func TestExpectedLatencies(t *testing.T) {
	s := Stall{Rate: 10, Freeze: 500 * time.Millisecond, ServiceTime: 100 * time.Millisecond, FreezeAt: 350 * time.Millisecond, Duration: time.Second}
	// Due at 0 to 0.2: 100 ms. At 0.3 to 0.7: 550, 450, 350, 250, 150. At 0.8 and 0.9: 100 ms.
	want := []int{100, 100, 100, 100, 100, 150, 250, 350, 450, 550}
	got := s.Expected()
	if len(got) != len(want) {
		t.Fatalf("%v", got)
	}
	for n, ms := range want {
		if got[n] != time.Duration(ms)*time.Millisecond {
			t.Errorf("%d: %s, want %d ms", n, got[n], ms)
		}
	}
	for p, ms := range map[float64]int{50: 100, 60: 150, 90: 450, 99: 550, 100: 550} {
		if got := Percentile(got, p); got != time.Duration(ms)*time.Millisecond {
			t.Errorf("p%g: %s, want %d ms", p, got, ms)
		}
	}
}

// A server that freezes under constant load: each percentile from the median to the longest is within 1% of the computed
// one, at two rates and two lengths of the freeze. A closed loop of enough callers leaves requests out, and does not even
// show the long freeze at the 90th percentile.
func TestOpenLoopMeasuresStall(t *testing.T) {
	for _, s := range Stalls() {
		t.Run(fmt.Sprintf("%g_%s", s.Rate, s.Freeze), func(t *testing.T) {
			m, err := s.MeasureOpenLoop(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if n := len(s.Expected()); m.Intended != n || m.OK != n {
				t.Errorf("%d intended, %d answered, %d are due", m.Intended, m.OK, n)
			}
			if off, name := s.WorstError(m); off > maxRelativeError {
				t.Errorf("%s is off by %.2f%%: %+v", name, off*100, m.Latency)
			}
			if s.Freeze < 2*time.Second {
				return
			}
			c, err := s.Measure(context.Background(), int(s.Rate*s.ServiceTime.Seconds()*1.2))
			if err != nil {
				t.Fatal(err)
			}
			if left := m.Intended - c.Intended; float64(left) < s.Rate*(s.Freeze-s.ServiceTime).Seconds()/2 {
				t.Errorf("the closed loop left out %d requests", left)
			}
			if c.Latency.P90 > m.Latency.P90/2 {
				t.Errorf("p90: %.0f ms closed, %.0f ms open", c.Latency.P90, m.Latency.P90)
			}
		})
	}
}
