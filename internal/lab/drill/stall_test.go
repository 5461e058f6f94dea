package drill

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Checks the computed latencies of a small script against values computed by hand: 10 requests/s for 1 s, responses after
// 100 ms, none between 0.35 s and 0.85 s.
func TestExpectedLatencies(t *testing.T) {
	s := Stall{Rate: 10, Freeze: 500 * time.Millisecond, ServiceTime: 100 * time.Millisecond, FreezeAt: 350 * time.Millisecond, Duration: time.Second}
	// Due at 0 to 0.2: 100 ms. At 0.3 to 0.7: 550, 450, 350, 250, 150. At 0.8 and 0.9: 100 ms.
	want := []int{100, 100, 100, 100, 100, 150, 250, 350, 450, 550}
	got := s.Expected()
	if len(got) != len(want) {
		t.Fatalf("unexpected number of latencies: %v", got)
	}
	for n, ms := range want {
		if got[n] != time.Duration(ms)*time.Millisecond {
			t.Errorf("latency %d: %s, want %d ms", n, got[n], ms)
		}
	}
	for p, ms := range map[float64]int{50: 100, 60: 150, 90: 450, 99: 550, 100: 550} {
		if got := Percentile(got, p); got != time.Duration(ms)*time.Millisecond {
			t.Errorf("p%g: %s, want %d ms", p, got, ms)
		}
	}
}

// A server freezes under constant load, at two rates and two lengths of the freeze. Open-loop measurement has to keep each
// percentile from the median to the maximum within 1% of the computed one. A closed loop with enough callers omits requests, and
// does not even show the long freeze at the 90th percentile.
func TestOpenLoopMeasuresStall(t *testing.T) {
	for _, s := range Stalls() {
		t.Run(fmt.Sprintf("%g_%s", s.Rate, s.Freeze), func(t *testing.T) {
			m, err := s.MeasureOpenLoop(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if n := len(s.Expected()); m.Intended != n || m.OK != n {
				t.Errorf("%d requests intended and %d answered, want %d", m.Intended, m.OK, n)
			}
			if worst, name := s.WorstError(m); worst > maxRelativeError {
				t.Errorf("%s deviates by %.2f%%: %+v", name, worst*100, m.Latency)
			}
			if s.Freeze < 2*time.Second {
				return
			}
			closed, err := s.Measure(context.Background(), int(s.Rate*s.ServiceTime.Seconds()*1.2))
			if err != nil {
				t.Fatal(err)
			}
			if omitted := m.Intended - closed.Intended; float64(omitted) < s.Rate*(s.Freeze-s.ServiceTime).Seconds()/2 {
				t.Errorf("closed loop omitted only %d requests", omitted)
			}
			if closed.Latency.P90 > m.Latency.P90/2 {
				t.Errorf("p90: %.0f ms closed-loop, %.0f ms open-loop", closed.Latency.P90, m.Latency.P90)
			}
		})
	}
}
