package ledger

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var rules = Rules{RetrySafe: []bool{true, false}, Slack: 50 * ms, DrainGrace: 500 * ms, NotifiedWithin: 6 * time.Second,
	SlowStart: []SlowStart{{InitialShare: 0.2, Duration: 200 * time.Second, Window: 1500 * ms, WorkBudget: func(c float64) float64 { return 2.5 * 1.5 * c }}}}

// stamp converts the times of entries from numbers of milliseconds, and sets the request ID, class, deadline and sidecar
// where the kind has them. The outcome "all" stands for a change that is published but not sent to a sidecar.
func stamp(class int, entries ...Entry) []Entry {
	for i := range entries {
		e := &entries[i]
		e.At *= ms
		if e.Kind != Notified && e.Kind != InstanceStarted && e.Kind != SidecarEnded && e.Kind != SidecarStarted && e.Kind != SidecarCrashed {
			e.ID, e.Class, e.Deadline = "x", class, 3*time.Second
		}
		if e.Sidecar == "" && e.Kind != InstanceStarted && e.Outcome != "all" {
			e.Sidecar = "s"
		}
		if e.Outcome == "all" {
			e.Outcome = "Gone"
		}
		if e.Kind == Answered && e.Status == 0 {
			e.Status, e.Note = 200, "t"
		}
		if e.Kind == AttemptEnded && e.Outcome == "served" {
			e.Note = "t"
		}
	}
	return entries
}

// violatedRules lists the rules that entries violate, in order of time.
func violatedRules(entries []Entry) string {
	var out []string
	for _, v := range FindViolations(entries, rules) {
		out = append(out, v.Rule)
	}
	return strings.Join(out, " ")
}

// Which sequences of entries satisfy each rule and which violate it.
func TestFindViolations(t *testing.T) {
	served := []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 50, Kind: AttemptEnded, AttemptID: 1, Outcome: "served"}, {At: 51, Kind: Answered}}
	for _, c := range []struct {
		name    string
		class   int
		entries []Entry
		want    string
	}{
		{"served", 1, served, ""},
		{"answered within the slack", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 3040, Kind: Answered, Status: 502}}, ""},
		{"answered after it", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 3060, Kind: Answered, Status: 502}}, RuleOneAnswer},
		{"never answered", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 3050, Kind: TimedOut}}, RuleOneAnswer},
		{"connection broken", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 30, Kind: ConnectionBroken}}, RuleOneAnswer},
		{"its sidecar ended", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 29, Kind: SidecarEnded}, {At: 30, Kind: ConnectionBroken}}, ""},
		{"another sidecar ended", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 29, Kind: SidecarEnded, Sidecar: "o"}, {At: 30, Kind: ConnectionBroken}}, RuleOneAnswer},
		{"its caller disappeared", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 30, Kind: CallerGone}}, ""},
		{"no instance made the answer", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 51, Kind: Answered}}, RuleOneAnswer},
		{"answered twice", 0, append(served[:4:4], Entry{At: 60, Kind: ExtraBytes}), RuleOneAnswer},
		{"rejected before it reached an instance", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: Answered, Status: 503}}, ""},
		{"rejected after the instance rejected it", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1},
			{At: 3, Kind: AttemptEnded, AttemptID: 1, Outcome: "turned"}, {At: 4, Kind: Answered, Status: 503}}, ""},
		{"rejected though it may have run", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 9, Kind: AttemptClosed, AttemptID: 1},
			{At: 10, Kind: Answered, Status: 503}}, RuleNoUnsafeRetry},
		{"the same, safe to retry", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 9, Kind: AttemptClosed, AttemptID: 1},
			{At: 10, Kind: Answered, Status: 503}}, ""},
		{"retried after the instance rejected it", 1, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptEnded, AttemptID: 1, Outcome: "turned"}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, ""},
		{"retried though it may have run", 1, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptClosed, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, RuleNoUnsafeRetry},
		{"the same, safe to retry, closed first", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptClosed, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, ""},
		{"close of the first attempt seen within the slack", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 44, Kind: AttemptClosed, AttemptID: 1}}, ""},
		{"close of the first attempt seen after the slack", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 60, Kind: AttemptClosed, AttemptID: 1}}, RuleNoConcurrentAttempts},
		{"first attempt still running", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 30, Kind: AttemptEnded, AttemptID: 1, Outcome: "served"}}, RuleNoConcurrentAttempts},
		{"first attempt never closed", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, RuleNoConcurrentAttempts},
		{"begun within the grace period", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"}, {At: 640, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"begun after the grace period", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"}, {At: 660, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"notification of its end does not restart the grace period", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"},
			{At: 500, Kind: Notified, Instance: "i", Outcome: "Gone"}, {At: 660, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"notified of its next start", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Gone"},
			{At: 500, Kind: Notified, Instance: "i", Outcome: "Ready", Since: 400 * ms}, {At: 900, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"another sidecar was notified", 0, []Entry{{At: 100, Kind: Notified, Sidecar: "o", Instance: "i", Outcome: "Gone"}, {At: 900, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"published, not yet counted as delivered", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"}, {At: 6600, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"published, counted as delivered", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"}, {At: 6700, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"published, then notified of its next start", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"},
			{At: 5000, Kind: Notified, Instance: "i", Outcome: "Ready", Since: 4 * time.Second}, {At: 6700, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"crash", 0, []Entry{{At: 5, Kind: SidecarCrashed}}, RuleNoCrash},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := violatedRules(stamp(c.class, append([]Entry{}, c.entries...)...)); got != c.want {
				t.Errorf("violated rules %q, want %q", got, c.want)
			}
		})
	}
}

// The work budget of an instance in slow start applies to every window, and only to work from sidecars that were notified
// of its start.
func TestSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		name     string
		note     string
		notified bool
		gap      time.Duration
		work     float64
		total    int
		want     string
	}{
		// Budget: 2.5 x 0.2 x 1.5 s, slightly more as slow start proceeds.
		{"within the budget", "cold", true, 100 * ms, 0.045, 15, ""},
		{"beyond the budget", "cold", true, 100 * ms, 0.07, 15, RuleSlowStart},
		{"beyond the budget, spread over time", "cold", true, 300 * ms, 0.07, 15, ""},
		{"beyond the budget, from a sidecar that was not notified", "cold", false, 100 * ms, 0.07, 15, ""},
		{"past slow start", "warm", true, 100 * ms, 0.07, 15, ""},
	} {
		entries := []Entry{{At: 1, Kind: InstanceStarted, Instance: "i", Since: 1, Note: c.note, Capacity: 1}}
		if c.notified {
			entries = append(entries, Entry{At: 2, Kind: Notified, Sidecar: "s", Instance: "i", Outcome: "Ready", Since: 1})
		}
		for n := range c.total {
			entries = append(entries, Entry{At: time.Second + time.Duration(n)*c.gap, Kind: AttemptArrived, Sidecar: "s", Instance: "i", Work: 10 * c.work, MeanWork: c.work})
		}
		if got := violatedRules(entries); got != c.want {
			t.Errorf("%s: violated rules %q, want %q", c.name, got, c.want)
		}
	}
}

// The service score counts utility by the intended time, with the worst class and window, and subtracts the penalties.
func TestMeasureService(t *testing.T) {
	objective := Objective{WholeRun: 0.75, WorstWindow: 0.05, WorstClass: 0.2, LateFailure: 0.1, Waste: 0.1, Connection: 0.1, Window: 10 * time.Second, UtilityPerWork: true,
		Classes: []ClassObjective{{"look", 1, time.Second}, {"pay", 3, time.Second}}}
	var entries []Entry
	add := func(client, class int, intended, ended time.Duration, status int) {
		id := string(rune('a' + client))
		entries = append(entries, Entry{At: intended + ms, Kind: RequestSent, ID: id, ClientRequest: client, Class: class, Work: 1, Since: intended},
			Entry{At: ended - 2*ms, Kind: AttemptArrived, ID: id, AttemptID: uint64(client), Work: 1},
			Entry{At: ended - ms, Kind: AttemptEnded, ID: id, AttemptID: uint64(client), Work: 1, Outcome: "served"},
			Entry{At: ended, Kind: Answered, ID: id, ClientRequest: client, Class: class, Status: status})
	}
	add(1, 0, time.Second, 1500*ms, 200)
	add(2, 0, 2*time.Second, 3500*ms, 200) // late
	add(3, 1, 11*time.Second, 11500*ms, 200)
	add(4, 1, 12*time.Second, 12500*ms, 200)
	add(5, 0, 13*time.Second, 13100*ms, 503)
	entries = append(entries, Entry{At: 1, Kind: ConnectionOpened})
	s := MeasureService(entries, objective)
	// Utility of all requests: three of class look with 1 and two of class pay with 3 are 9; served in time: 7. Windows: 1 of 2, and 6 of 7.
	want := map[string][2]float64{"whole": {s.WholeRun, 7. / 9}, "window": {s.WorstWindow, 0.5}, "class": {s.WorstClass, 1. / 3},
		"late": {s.Penalties["late"], 0.1 / 9}, "connections": {s.Penalties["connections"], 0.1 / 5}, "waste": {s.Penalties["waste"], 0.1 / 5},
		"service": {s.Service, 0.75*7/9 + 0.05*0.5 + 0.2/3 - 0.1/9 - 0.1/5 - 0.1/5}}
	for name, v := range want {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s: %.4f, want %.4f", name, v[0], v[1])
		}
	}
	if s.ClientRequests != 5 || s.InTime != 3 || s.Late != 1 || s.Rejected != 1 || s.Attempts != 5 {
		t.Errorf("service %+v, want 5 client requests, 3 in time, 1 late, 1 rejected, 5 attempts", s)
	}
}

func TestWriteAndRead(t *testing.T) {
	entries := stamp(1, Entry{At: 1, Kind: RequestSent, ClientRequest: 3, Work: 0.25, Retry: true}, Entry{At: 2, Kind: AttemptEnded, AttemptID: 7, Outcome: "served"})
	var b bytes.Buffer
	if err := Write(&b, entries); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(&b); err != nil || !reflect.DeepEqual(got, entries) {
		t.Errorf("read %v, error %v, want the entries as written", got, err)
	}
	if _, err := Read(strings.NewReader("{\"at\":")); err == nil {
		t.Error("a truncated line was read without an error")
	}
}

// What a paused sidecar could not do, and what did not reach it over a broken path, is no violation; what it does afterwards
// is.
func TestPausedOrDisconnectedSidecarIsExcused(t *testing.T) {

	notified := []Entry{{At: 1, Kind: SidecarStarted, Sidecar: "s"}, {At: 100 * ms, Kind: Notified, Sidecar: "s", Instance: "i", Outcome: "Terminating", Since: 1}}
	begun := func(at time.Duration) Entry {
		return Entry{At: at, Kind: AttemptBegun, ID: "x", Sidecar: "s", Instance: "i"}
	}
	sent := Entry{At: 100 * ms, Kind: RequestSent, ID: "x", Sidecar: "s", Deadline: 300 * ms}
	timedOut := Entry{At: 350 * ms, Kind: TimedOut, ID: "x", Sidecar: "s"}
	during := func(from, to Kind) []Entry {
		return []Entry{{At: 50 * ms, Kind: from, Sidecar: "s"}, {At: 5000 * ms, Kind: to, Sidecar: "s"}}
	}
	for name, c := range map[string]struct {
		entries []Entry
		rule    string
	}{
		"no answer":                          {[]Entry{sent, timedOut}, RuleOneAnswer},
		"no answer while it was paused":      {append(during(SidecarPaused, SidecarResumed), sent, timedOut), ""},
		"no answer while its path was cut":   {append(during(DiscoveryPathCut, DiscoveryPathRestored), sent, timedOut), RuleOneAnswer},
		"drain":                              {append(notified, begun(800*ms)), RuleDrain},
		"drain while its path was cut":       {append(append(during(DiscoveryPathCut, DiscoveryPathRestored), notified...), begun(800*ms)), ""},
		"drain notified while it was paused": {append(append(during(SidecarPaused, SidecarResumed), notified...), begun(5300*ms)), ""},
		"drain long after it resumed":        {append(append(during(SidecarPaused, SidecarResumed), notified...), begun(5700*ms)), RuleDrain},
	} {
		t.Run(name, func(t *testing.T) {
			slices.SortStableFunc(c.entries, func(a, b Entry) int { return int(a.At - b.At) })
			out := FindViolations(c.entries, Rules{Slack: 50 * ms, DrainGrace: 500 * ms, RetrySafe: []bool{true}})
			if got := len(out) > 0; got != (c.rule != "") || got && out[0].Rule != c.rule {
				t.Errorf("violations %v, want rule %q", out, c.rule)
			}
		})
	}
}
