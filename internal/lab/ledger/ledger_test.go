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

// at stamps entries with times in milliseconds, and gives those of an operation its id, class and sidecar.
func at(class int, entries ...Entry) []Entry {
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

func broken(entries []Entry) string {
	var out []string
	for _, b := range FindViolations(entries, rules) {
		out = append(out, b.Rule)
	}
	return strings.Join(out, " ")
}

// What keeps the rules and what breaks them, by the ledger alone.
func TestJudge(t *testing.T) {
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
		{"its sidecar was killed", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 29, Kind: SidecarEnded}, {At: 30, Kind: ConnectionBroken}}, ""},
		{"another sidecar was killed", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 29, Kind: SidecarEnded, Sidecar: "o"}, {At: 30, Kind: ConnectionBroken}}, RuleOneAnswer},
		{"its caller left", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 30, Kind: CallerGone}}, ""},
		{"nobody made the answer", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 51, Kind: Answered}}, RuleOneAnswer},
		{"answered twice", 0, append(served[:4:4], Entry{At: 60, Kind: ExtraBytes}), RuleOneAnswer},
		{"refused unseen", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: Answered, Status: 503}}, ""},
		{"refused after it was turned away", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1},
			{At: 3, Kind: AttemptEnded, AttemptID: 1, Outcome: "turned"}, {At: 4, Kind: Answered, Status: 503}}, ""},
		{"refused though it may have run", 1, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 9, Kind: AttemptClosed, AttemptID: 1},
			{At: 10, Kind: Answered, Status: 503}}, RuleNoUnsafeRetry},
		{"the same, safe", 0, []Entry{{At: 1, Kind: RequestSent}, {At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 9, Kind: AttemptClosed, AttemptID: 1},
			{At: 10, Kind: Answered, Status: 503}}, ""},
		{"repeated after it was turned away", 1, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptEnded, AttemptID: 1, Outcome: "turned"}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, ""},
		{"repeated though it may have run", 1, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptClosed, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, RuleNoUnsafeRetry},
		{"the same, safe, closed first", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 3, Kind: AttemptClosed, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, ""},
		{"its close seen a little late", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 44, Kind: AttemptClosed, AttemptID: 1}}, ""},
		{"its close too late", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 60, Kind: AttemptClosed, AttemptID: 1}}, RuleNoConcurrentAttempts},
		{"still in work", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}, {At: 30, Kind: AttemptEnded, AttemptID: 1, Outcome: "served"}}, RuleNoConcurrentAttempts},
		{"never closed", 0, []Entry{{At: 2, Kind: AttemptArrived, AttemptID: 1}, {At: 4, Kind: AttemptArrived, AttemptID: 2}}, RuleNoConcurrentAttempts},
		{"begun within the grace", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"}, {At: 640, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"begun after it", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"}, {At: 660, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"word of its end does not begin the grace anew", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Terminating"},
			{At: 500, Kind: Notified, Instance: "i", Outcome: "Gone"}, {At: 660, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"told of its next start", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "Gone"},
			{At: 500, Kind: Notified, Instance: "i", Outcome: "Ready", Since: 400 * ms}, {At: 900, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"another sidecar was told", 0, []Entry{{At: 100, Kind: Notified, Sidecar: "o", Instance: "i", Outcome: "Gone"}, {At: 900, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"published, and not yet counting", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"}, {At: 6600, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"published for long enough", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"}, {At: 6700, Kind: AttemptBegun, Instance: "i"}}, RuleDrain},
		{"published, and told of its next start since", 0, []Entry{{At: 100, Kind: Notified, Instance: "i", Outcome: "all"},
			{At: 5000, Kind: Notified, Instance: "i", Outcome: "Ready", Since: 4 * time.Second}, {At: 6700, Kind: AttemptBegun, Instance: "i"}}, ""},
		{"crash", 0, []Entry{{At: 5, Kind: SidecarCrashed}}, RuleNoCrash},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := broken(at(c.class, append([]Entry{}, c.entries...)...)); got != c.want {
				t.Errorf("broken: %q, want %q", got, c.want)
			}
		})
	}
}

// A cold instance's budget is counted over every window, and only against those who knew of its start.
func TestJudgeCold(t *testing.T) {
	for _, c := range []struct {
		name  string
		note  string
		told  bool
		gap   time.Duration
		work  float64
		total int
		want  string
	}{
		// Budget: 2.5 x 0.2 x 1.5 s, a little more as it warms.
		{"within", "cold", true, 100 * ms, 0.045, 15, ""},
		{"beyond", "cold", true, 100 * ms, 0.07, 15, RuleSlowStart},
		{"beyond, spread over time", "cold", true, 300 * ms, 0.07, 15, ""},
		{"beyond, by those who were not told", "cold", false, 100 * ms, 0.07, 15, ""},
		{"warm", "warm", true, 100 * ms, 0.07, 15, ""},
	} {
		entries := []Entry{{At: 1, Kind: InstanceStarted, Instance: "i", Since: 1, Note: c.note, Capacity: 1}}
		if c.told {
			entries = append(entries, Entry{At: 2, Kind: Notified, Sidecar: "s", Instance: "i", Outcome: "Ready", Since: 1})
		}
		for n := range c.total {
			entries = append(entries, Entry{At: time.Second + time.Duration(n)*c.gap, Kind: AttemptArrived, Sidecar: "s", Instance: "i", Work: 10 * c.work, MeanWork: c.work})
		}
		if got := broken(entries); got != c.want {
			t.Errorf("%s: broken %q, want %q", c.name, got, c.want)
		}
	}
}

// Service counts worth by the intended time, with the worst class and window, and its penalties.
func TestServe(t *testing.T) {
	goal := Objective{WholeRun: 0.75, WorstWindow: 0.05, WorstClass: 0.2, LateFailure: 0.1, Waste: 0.1, Connection: 0.1, Window: 10 * time.Second, UtilityPerWork: true,
		Classes: []ClassObjective{{"look", 1, time.Second}, {"pay", 3, time.Second}}}
	var entries []Entry
	ask := func(client, class int, asked, ended time.Duration, status int) {
		id := string(rune('a' + client))
		entries = append(entries, Entry{At: asked + ms, Kind: RequestSent, ID: id, ClientRequest: client, Class: class, Work: 1, Since: asked},
			Entry{At: ended - 2*ms, Kind: AttemptArrived, ID: id, AttemptID: uint64(client), Work: 1},
			Entry{At: ended - ms, Kind: AttemptEnded, ID: id, AttemptID: uint64(client), Work: 1, Outcome: "served"},
			Entry{At: ended, Kind: Answered, ID: id, ClientRequest: client, Class: class, Status: status})
	}
	ask(1, 0, time.Second, 1500*ms, 200)
	ask(2, 0, 2*time.Second, 3500*ms, 200) // late
	ask(3, 1, 11*time.Second, 11500*ms, 200)
	ask(4, 1, 12*time.Second, 12500*ms, 200)
	ask(5, 0, 13*time.Second, 13100*ms, 503)
	entries = append(entries, Entry{At: 1, Kind: ConnectionOpened})
	s := MeasureService(entries, goal)
	// Worth asked: 3 looks and two payments of 3: 9; served in time: 7. Windows: 1 of 2, and 6 of 7.
	want := map[string][2]float64{"whole": {s.WholeRun, 7. / 9}, "window": {s.WorstWindow, 0.5}, "class": {s.WorstClass, 1. / 3},
		"late": {s.Penalties["late"], 0.1 / 9}, "connections": {s.Penalties["connections"], 0.1 / 5}, "waste": {s.Penalties["waste"], 0.1 / 5},
		"service": {s.Service, 0.75*7/9 + 0.05*0.5 + 0.2/3 - 0.1/9 - 0.1/5 - 0.1/5}}
	for name, v := range want {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s: %.4f, want %.4f", name, v[0], v[1])
		}
	}
	if s.ClientRequests != 5 || s.InTime != 3 || s.Late != 1 || s.Rejected != 1 || s.Attempts != 5 {
		t.Errorf("%+v", s)
	}
}

func TestWriteAndRead(t *testing.T) {
	entries := at(1, Entry{At: 1, Kind: RequestSent, ClientRequest: 3, Work: 0.25, Retry: true}, Entry{At: 2, Kind: AttemptEnded, AttemptID: 7, Outcome: "served"})
	var b bytes.Buffer
	if err := Write(&b, entries); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(&b); err != nil || !reflect.DeepEqual(got, entries) {
		t.Errorf("%v %v", got, err)
	}
	if _, err := Read(strings.NewReader("{\"at\":")); err == nil {
		t.Error("half a line is read")
	}
}

// What a process that stood still could not do, and what did not reach it over a broken path, is not held against it; what
// it does afterwards is.
func TestAwayIsExcused(t *testing.T) {

	told := []Entry{{At: 1, Kind: SidecarStarted, Sidecar: "s"}, {At: 100 * ms, Kind: Notified, Sidecar: "s", Instance: "i", Outcome: "Terminating", Since: 1}}
	begun := func(at time.Duration) Entry {
		return Entry{At: at, Kind: AttemptBegun, ID: "x", Sidecar: "s", Instance: "i"}
	}
	asked := Entry{At: 100 * ms, Kind: RequestSent, ID: "x", Sidecar: "s", Deadline: 300 * ms}
	gave := Entry{At: 350 * ms, Kind: TimedOut, ID: "x", Sidecar: "s"}
	away := func(from, to Kind) []Entry {
		return []Entry{{At: 50 * ms, Kind: from, Sidecar: "s"}, {At: 5000 * ms, Kind: to, Sidecar: "s"}}
	}
	for name, c := range map[string]struct {
		entries []Entry
		rule    string
	}{
		"no answer":                   {[]Entry{asked, gave}, RuleOneAnswer},
		"no answer while it stood":    {append(away(SidecarPaused, SidecarResumed), asked, gave), ""},
		"no answer over a deaf path":  {append(away(DiscoveryPathCut, DiscoveryPathRestored), asked, gave), RuleOneAnswer},
		"drain":                       {append(told, begun(800*ms)), RuleDrain},
		"drain over a deaf path":      {append(append(away(DiscoveryPathCut, DiscoveryPathRestored), told...), begun(800*ms)), ""},
		"drain told when it stood":    {append(append(away(SidecarPaused, SidecarResumed), told...), begun(5300*ms)), ""},
		"drain long after it went on": {append(append(away(SidecarPaused, SidecarResumed), told...), begun(5700*ms)), RuleDrain},
	} {
		t.Run(name, func(t *testing.T) {
			slices.SortStableFunc(c.entries, func(a, b Entry) int { return int(a.At - b.At) })
			out := FindViolations(c.entries, Rules{Slack: 50 * ms, DrainGrace: 500 * ms, RetrySafe: []bool{true}})
			if got := len(out) > 0; got != (c.rule != "") || got && out[0].Rule != c.rule {
				t.Errorf("%v, want %q", out, c.rule)
			}
		})
	}
}
