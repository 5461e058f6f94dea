package subscription

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"kitewood/internal/lease"
)

// middleSource is a source of random numbers whose every draw from a spread is the middle of it.
type middleSource struct{}

func (middleSource) Uint64() uint64 { return 1 << 52 }

// step is one event of a story, and what follows from it.
type step struct {
	at     float64 // seconds
	event  Event
	want   string // the actions, as describe writes them
	states string // of all subscriptions then, as describeStates writes them
}

// story is a sequence of events of one process. Its first subscription is at address a.
type story struct {
	name     string
	settings Settings      // with CreatedAt counted from time 0
	listAge  time.Duration // age of the list at time 0
	steps    []step
}

// run plays the story.
func (s story) run(t *testing.T) {
	rules := lease.PullRules(500 * time.Millisecond)
	if s.settings.Pushed {
		rules = lease.PushRules(500 * time.Millisecond)
	}
	s.settings.CreatedAt += epoch
	c := New(s.settings, lease.New(rules, epoch-s.listAge), rand.New(middleSource{}), "a")
	for i, step := range s.steps {
		var got []string
		for _, action := range c.Handle(epoch+seconds(step.at), step.event) {
			got = append(got, describe(action))
		}
		if text := strings.Join(got, "; "); text != step.want {
			t.Errorf("event %d, %T at %v s: actions\n%s, want\n%s", i, step.event, step.at, text, step.want)
		}
		if states := describeStates(c); states != step.states {
			t.Errorf("event %d, %T at %v s: states %q, want %q", i, step.event, step.at, states, step.states)
		}
	}
}

// epoch is time 0 of a story: the times of a clock are far from zero, which stands for never in package lease.
const epoch = 100 * time.Hour

func seconds(s float64) time.Duration { return time.Duration(s*1e6) * time.Microsecond }

// describe returns an action in words. Subscriptions are named by their generation.
func describe(action Action) string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	switch a := action.(type) {
	case Open:
		return fmt.Sprintf("open %d at %s", a.Generation, a.Address)
	case Wait:
		return fmt.Sprintf("%d waits %v", a.Generation, round(a.For))
	case Call:
		return fmt.Sprintf("call %d of %d at %s since %d", a.Number, a.Generation, a.Address, a.Version)
	case Deliver:
		return "deliver"
	case Close:
		return fmt.Sprintf("close %d: %v", a.Generation, a.Cause)
	case CloseSilentWatch:
		return fmt.Sprintf("close the silent watch of %d", a.Generation)
	case SetLeaseExpiry:
		return fmt.Sprintf("lease until %v", round(a.At-epoch))
	case SourceLost:
		return "source lost"
	case ReportCallEnd:
		text := fmt.Sprintf("%d %v since %d: %v, next %v", a.End.Generation, a.End.Outcome, a.Version, a.State.Evidence, round(a.Pause))
		if a.Superseded {
			text += ", superseded"
		}
		return text
	}
	return fmt.Sprintf("unknown action %T", action)
}

// describeStates returns the states of all subscriptions in words.
func describeStates(c *Core) string {
	var out []string
	for _, s := range c.subscriptions {
		text := fmt.Sprint(s.generation, " ", s.state)
		if s.superseded {
			text += " superseded"
		}
		if s.silentCall != 0 {
			text += " silent"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// ended is the event of the end of a call of a subscription at some time, some seconds after its start.
func ended(generation int, outcome Outcome, at, after float64) CallEnded {
	return CallEnded{Generation: generation, Outcome: outcome, StartedAt: epoch + seconds(at) - seconds(after), Duration: seconds(after)}
}

// called is the beginning of a story whose first call starts at 1.6 s.
func called(steps ...step) []step {
	return append([]step{
		{0, Started{7}, "open 0 at a; 0 waits 1.6s", "0 initial delay"},
		{1.6, TimerFired{0}, "call 1 of 0 at a since 7", "0 calling"},
	}, steps...)
}

// watching is the beginning of a story that has a watch since 2 s, with version 8, and its last heartbeat at 4 s.
func watching(steps ...step) []step {
	return append(called(
		step{2, ResponseBegun{400 * time.Millisecond}, "", "0 calling"},
		step{2, ListReceived{0, 1, 8}, "deliver", "0 watching"},
		step{2, Reported{0}, "lease until 8.33s", "0 watching"},
		step{4, Reported{0}, "lease until 10.33s", "0 watching"},
	), steps...)
}

// TestStories plays sequences of events and checks the actions, the times at which the lease expires and the states.
func TestStories(t *testing.T) {
	for _, stories := range [][]story{watchStories(), callStories(), reloadStories(), repeatedReloadStories(), startStories()} {
		for _, s := range stories {
			t.Run(s.name, s.run)
		}
	}
}

// The failures of an open watch.
func watchStories() []story {
	return []story{
		{name: "a watch breaks, and the call after it fails: neither renews the lease", steps: watching(
			step{5, ended(0, Broken, 5, 3.4), "lease until 10.33s; 0 broken since 8: inconclusive, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
			step{6.6, TimerFired{0}, "call 2 of 0 at a since 8", "0 calling"},
			step{8.6, ended(0, Failed, 8.6, 2), "lease until 10.33s; 0 failed since 8: inconclusive, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
			step{10.2, TimerFired{0}, "call 3 of 0 at a since 8", "0 calling"},
			step{10.3, ListReceived{0, 3, 9}, "deliver", "0 watching"},
			step{10.3, Reported{0}, "lease until 16.63s", "0 watching"},
		)},
		{name: "a silent watch delivers a list, and is closed when the next call is answered", steps: watching(
			step{6.75, WatchSilent{0, 1}, "", "0 watching silent"},
			step{6.75, ended(0, Silent, 6.75, 5.15), "lease until 10.33s; 0 silent since 8: up, next 1s; source lost; 0 waits 1s", "0 pausing silent"},
			step{7, ListReceived{0, 1, 9}, "deliver", "0 pausing silent"},
			step{7, Reported{0}, "lease until 13.33s", "0 pausing silent"},
			step{7.75, TimerFired{0}, "call 2 of 0 at a since 9", "0 calling silent"},
			step{8, ListReceived{0, 1, 10}, "deliver", "0 calling silent"},
			step{9, ListReceived{0, 2, 10}, "close the silent watch of 0; deliver", "0 watching"},
			step{9, ListReceived{0, 1, 11}, "", "0 watching"},
			step{9, SilentWatchEnded{0, 1}, "", "0 watching"},
		)},
		{name: "a watch falls silent while an earlier one is still read", steps: watching(
			step{6.75, WatchSilent{0, 1}, "", "0 watching silent"},
			step{6.75, ended(0, Silent, 6.75, 5.15), "lease until 10.33s; 0 silent since 8: up, next 1s; source lost; 0 waits 1s", "0 pausing silent"},
			step{7.75, TimerFired{0}, "call 2 of 0 at a since 8", "0 calling silent"},
			step{10.5, WatchSilent{0, 2}, "close the silent watch of 0", "0 calling silent"}, // its response has begun, without a list
			step{10.5, ended(0, Silent, 10.5, 2.75), "lease until 10.33s; 0 silent since 8: up, next 1s; source lost; 0 waits 1s", "0 pausing silent"},
			step{10.6, ListReceived{0, 1, 9}, "", "0 pausing silent"},
			step{10.7, ListReceived{0, 2, 9}, "deliver", "0 pausing silent"},
			step{11, SilentWatchEnded{0, 2}, "", "0 pausing"},
		)},
		{name: "a watch ends in order: the next call follows at once, and one that is refused clears the end", steps: watching(
			step{5, ended(0, Ended, 5, 3.4), "lease until 7.33s; 0 ended in order since 8: up, next 50ms; source lost; 0 waits 50ms", "0 pausing"},
			step{5.05, TimerFired{0}, "call 2 of 0 at a since 8", "0 calling"},
			step{5.06, ended(0, Refused, 5.06, 0.01), "lease until 10.33s; 0 refused since 8: crowded, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
		)},
		{name: "a watch that ends in order right after its start is not called again at once", steps: watching(
			step{4.1, ended(0, Ended, 4.1, 0.9), "lease until 6.43s; 0 ended in order since 8: up, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
		)},
		{name: "a truncated watch is both an end and perhaps an outage", steps: watching(
			step{5, ended(0, Truncated, 5, 3.4), "lease until 7.33s; 0 cut since 8: inconclusive, next 50ms; source lost; 0 waits 50ms", "0 pausing"},
			step{5.05, TimerFired{0}, "call 2 of 0 at a since 8", "0 calling"},
			step{7.05, ended(0, Failed, 7.05, 2), "lease until 7.33s; 0 failed since 8: inconclusive, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
		)},
		{name: "a list that cannot be read shows nothing about discovery", steps: watching(
			step{5, ended(0, Unreadable, 5, 3.4), "lease until 10.33s; 0 unreadable since 8: up, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
		)},
	}
}

// The failures of a call.
func callStories() []story {
	return []story{
		{name: "calls are refused at once", steps: called(
			step{1.61, ended(0, Refused, 1.61, 0.01), "lease until 6.33s; 0 refused since 7: crowded, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
			step{2.235, TimerFired{0}, "call 2 of 0 at a since 7", "0 calling"},
			step{2.245, ended(0, Refused, 2.245, 0.01), "lease until 6.33s; 0 refused since 7: crowded, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
		)},
		{name: "calls fail after their wait: the lease is not renewed, and the pauses grow", steps: called(
			step{3.6, ended(0, Failed, 3.6, 2), "lease until 6.33s; 0 failed since 7: inconclusive, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
			step{5.2, TimerFired{0}, "call 2 of 0 at a since 7", "0 calling"},
			step{7.2, ended(0, Failed, 7.2, 2), "lease until 6.33s; 0 failed since 7: inconclusive, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
			step{8.8, TimerFired{0}, "call 3 of 0 at a since 7", "0 calling"},
			step{12, ended(0, Unanswered, 12, 3.2), "lease until 6.33s; 0 unanswered since 7: inconclusive, next 1.3s; source lost; 0 waits 1.3s", "0 pausing"},
			step{13.3, TimerFired{0}, "call 4 of 0 at a since 7", "0 calling"},
			step{15.3, ended(0, Failed, 15.3, 2), "lease until 6.33s; 0 failed since 7: inconclusive, next 3.2s; source lost; 0 waits 3.2s", "0 pausing"},
			step{18.5, TimerFired{0}, "call 5 of 0 at a since 7", "0 calling"},
			step{20.5, ended(0, Failed, 20.5, 2), "lease until 6.33s; 0 failed since 7: inconclusive, next 6.4s; source lost; 0 waits 6.4s", "0 pausing"},
		)},
		{name: "discovery is unreachable: each call renews the lease from its start", steps: called(
			step{2.8, ended(0, Unreachable, 2.8, 1.2), "lease until 7.93s; 0 unreachable since 7: unreachable, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
			step{4.4, TimerFired{0}, "call 2 of 0 at a since 7", "0 calling"},
			step{5.6, ended(0, Unreachable, 5.6, 1.2), "lease until 10.73s; 0 unreachable since 7: unreachable, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
		)},
		{name: "a response breaks before its first list: no watch was open, so nothing is presumed", steps: called(
			step{1.8, ResponseBegun{200 * time.Millisecond}, "", "0 calling"},
			step{2, ended(0, Broken, 2, 0.4), "lease until 6.33s; 0 broken since 7: unknown, next 1.6s; source lost; 0 waits 1.6s", "0 pausing"},
		)},
		{name: "a failure of this machine shows nothing about discovery", steps: called(
			step{1.6, ended(0, LocalFailure, 1.6, 0), "lease until 6.33s; 0 local failure since 7: unknown, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
		)},
		{name: "the process stops during a call", steps: called(
			step{2, CallCancelled{0}, "", "0 calling"},
		)},
	}
}

const elsewhere = "superseded by a subscription at another address"

// reloaded is the beginning of a story in which a reload at 5 s names address b while a watch is open.
func reloaded(steps ...step) []step {
	return watching(append([]step{
		{5, AddressChanged{"b"}, "lease until 9.33s; open 1 at b; 1 waits 50ms", "0 watching superseded, 1 debouncing"},
		{5.05, TimerFired{1}, "1 waits 50ms", "0 watching superseded, 1 debouncing"},
	}, steps...)...)
}

// Reloads with another address.
func reloadStories() []story {
	return []story{
		{name: "the old watch goes on until the new address has delivered a list", steps: reloaded(
			step{6.58, TimerFired{1}, "1 waits 20ms", "0 watching superseded, 1 debouncing"},
			step{6.6, TimerFired{1}, "call 2 of 1 at b since 0", "0 watching superseded, 1 calling"},
			step{7, ListReceived{0, 1, 9}, "deliver", "0 watching superseded, 1 calling"},
			step{7, Reported{0}, "lease until 9.33s", "0 watching superseded, 1 calling"}, // no longer than 4 s after the reload
			step{8, ListReceived{1, 2, 3}, "close 0: " + elsewhere + "; deliver", "1 watching"},
			step{8, Reported{1}, "lease until 14.33s", "1 watching"},
			step{8.1, Reported{0}, "", "1 watching"},
			step{8.1, ListReceived{0, 1, 10}, "", "1 watching"},
			step{8.1, CallCancelled{0}, "", "1 watching"},
			step{20, AddressChanged{"c"}, "lease until 14.33s; open 2 at c; 2 waits 50ms", "1 watching superseded, 2 debouncing"},
			step{21.59, TimerFired{2}, "2 waits 10ms", "1 watching superseded, 2 debouncing"},
		)},
		{name: "the old watch breaks while further reloads are awaited: the call follows at once", steps: reloaded(
			step{5.1, ended(0, Broken, 5.1, 3.5), "lease until 9.33s; 0 broken since 8: up, next 1.6s, superseded; source lost; close 0: " + elsewhere, "1 debouncing"},
			step{5.1, TimerFired{1}, "call 2 of 1 at b since 0", "1 calling"},
			step{5.11, ended(1, Unreachable, 5.11, 0.01), "lease until 9.43s; 1 unreachable since 0: unreachable, next 100ms; source lost; 1 waits 100ms", "1 pausing"},
			step{5.21, TimerFired{1}, "call 3 of 1 at b since 0", "1 calling"},
			step{5.22, ended(1, Unreachable, 5.22, 0.01), "lease until 9.54s; 1 unreachable since 0: unreachable, next 200ms; source lost; 1 waits 200ms", "1 pausing"},
			step{9.11, TimerFired{1}, "call 4 of 1 at b since 0", "1 calling"}, // over 4 s after its first call
			step{9.12, ended(1, Unreachable, 9.12, 0.01), "lease until 13.44s; 1 unreachable since 0: unreachable, next 1.6s; source lost; 1 waits 1.6s", "1 pausing"},
		)},
		{name: "the old watch ends in order after the new call has failed", steps: reloaded(
			step{6.6, TimerFired{1}, "call 2 of 1 at b since 0", "0 watching superseded, 1 calling"},
			step{8.6, ended(1, Failed, 8.6, 2), "lease until 9.33s; 1 failed since 0: inconclusive, next 1.6s; 1 waits 1.6s", "0 watching superseded, 1 pausing"},
			step{8.7, ended(0, Ended, 8.7, 7.1), "lease until 9.33s; 0 ended in order since 8: inconclusive, next 50ms, superseded; source lost; close 0: " + elsewhere, "1 pausing"},
		)},
	}
}

// Several reloads with other addresses, in a row or at odd moments.
func repeatedReloadStories() []story {
	return []story{
		{name: "several reloads in a row: the addresses in between are not called, and the last waits for 2 s after the first at most", steps: reloaded(
			step{5.5, AddressChanged{"c"}, "close 1: " + elsewhere + "; lease until 9.33s; open 2 at c; 2 waits 50ms", "0 watching superseded, 2 debouncing"},
			step{6.9, AddressChanged{"d"}, "close 2: " + elsewhere + "; lease until 9.33s; open 3 at d; 3 waits 50ms", "0 watching superseded, 3 debouncing"},
			step{7, TimerFired{1}, "", "0 watching superseded, 3 debouncing"},
			step{7.57, TimerFired{3}, "3 waits 30ms", "0 watching superseded, 3 debouncing"},
			step{7.6, TimerFired{3}, "call 2 of 3 at d since 0", "0 watching superseded, 3 calling"},
			step{7.7, ListReceived{3, 2, 1}, "close 0: " + elsewhere + "; deliver", "3 watching"},
		)},
		{name: "reloads without a watch are called at once, and the oldest pending call gives way", steps: []step{
			{0, Started{7}, "open 0 at a; 0 waits 1.6s", "0 initial delay"},
			{0.5, AddressChanged{"b"}, "close 0: " + elsewhere + "; lease until 4.83s; open 1 at b; 1 waits 0s", "1 debouncing"},
			{0.5, TimerFired{1}, "call 1 of 1 at b since 0", "1 calling"},
			{0.6, AddressChanged{"c"}, "lease until 4.83s; open 2 at c; 2 waits 0s", "1 calling superseded, 2 debouncing"},
			{0.6, TimerFired{2}, "call 2 of 2 at c since 0", "1 calling superseded, 2 calling"},
			{0.7, AddressChanged{"d"}, "lease until 4.83s; open 3 at d; 3 waits 0s", "1 calling superseded, 2 calling superseded, 3 debouncing"},
			{0.7, TimerFired{3}, "call 3 of 3 at d since 0", "1 calling superseded, 2 calling superseded, 3 calling"},
			{0.8, AddressChanged{"e"}, "close 1: too many subscriptions pending after reloads; lease until 4.83s; open 4 at e; 4 waits 0s",
				"2 calling superseded, 3 calling superseded, 4 debouncing"},
			{0.8, TimerFired{4}, "call 4 of 4 at e since 0", "2 calling superseded, 3 calling superseded, 4 calling"},
			{2.6, ended(2, Failed, 2.6, 2), "lease until 4.83s; 2 failed since 0: unknown, next 1.6s, superseded; source lost; close 2: " + elsewhere,
				"3 calling superseded, 4 calling"},
			{2.7, ListReceived{3, 3, 5}, "deliver", "3 watching superseded, 4 calling"},
			{2.8, CallCancelled{3}, "close 3: " + elsewhere, "4 calling"},
		}},
		{name: "the watch of an older address outlives the calls of later ones", steps: reloaded(
			step{6.6, TimerFired{1}, "call 2 of 1 at b since 0", "0 watching superseded, 1 calling"},
			step{6.7, AddressChanged{"c"}, "lease until 9.33s; open 2 at c; 2 waits 50ms", "0 watching superseded, 1 calling superseded, 2 debouncing"},
			step{7, AddressChanged{"d"}, "close 2: too many subscriptions pending after reloads; lease until 9.33s; open 3 at d; 3 waits 50ms",
				"0 watching superseded, 1 calling superseded, 3 debouncing"},
			step{7.6, TimerFired{3}, "call 3 of 3 at d since 0", "0 watching superseded, 1 calling superseded, 3 calling"},
			step{7.7, AddressChanged{"e"}, "close 1: too many subscriptions pending after reloads; lease until 9.33s; open 4 at e; 4 waits 0s",
				"0 watching superseded, 3 calling superseded, 4 debouncing"},
		)},
		{name: "a reload during a pause with a silent watch", steps: watching(
			step{6.75, WatchSilent{0, 1}, "", "0 watching silent"},
			step{6.75, ended(0, Silent, 6.75, 5.15), "lease until 10.33s; 0 silent since 8: up, next 1s; source lost; 0 waits 1s", "0 pausing silent"},
			step{7, AddressChanged{"b"}, "close 0: " + elsewhere + "; lease until 10.33s; open 1 at b; 1 waits 0s", "1 debouncing"},
			step{7, ListReceived{0, 1, 9}, "", "1 debouncing"},
			step{7, SilentWatchEnded{0, 1}, "", "1 debouncing"},
		)},
		{name: "a reload before the start", steps: []step{
			{1, AddressChanged{"b"}, "lease until 5.33s; open 1 at b; 1 waits 0s", "1 debouncing"},
			{1, Started{7}, "", "1 debouncing"},
			{1, TimerFired{1}, "call 1 of 1 at b since 0", "1 calling"},
		}},
	}
}

// Starts with lists of other origins, and lists that are pushed.
func startStories() []story {
	return []story{
		{name: "a list that is taken over keeps its age", settings: Settings{NoInitialDelay: true}, listAge: 4 * time.Second, steps: []step{
			{0, Started{0}, "open 0 at a; 0 waits 0s", "0 initial delay"},
			{0, TimerFired{0}, "call 1 of 0 at a since 0", "0 calling"},
			{0.01, ended(0, Refused, 0.01, 0.01), "lease until 2.33s; 0 refused since 0: crowded, next 625ms; source lost; 0 waits 625ms", "0 pausing"},
		}},
		{name: "a failed call does not renew a list that is taken over", settings: Settings{NoInitialDelay: true}, listAge: 4 * time.Second, steps: []step{
			{0, Started{0}, "open 0 at a; 0 waits 0s", "0 initial delay"},
			{0, TimerFired{0}, "call 1 of 0 at a since 0", "0 calling"},
			{3, ended(0, Failed, 3, 3), "lease until 2.33s; 0 failed since 0: inconclusive, next 1.4s; source lost; 0 waits 1.4s", "0 pausing"},
		}},
		{name: "the initial delay counts from the creation of the process", settings: Settings{CreatedAt: -time.Second}, steps: []step{
			{0.2, Started{7}, "open 0 at a; 0 waits 400ms", "0 initial delay"},
			{0.2, Started{9}, "", "0 initial delay"},
		}},
		{name: "pushed lists: short pauses, and an end counts at once", settings: Settings{Pushed: true}, steps: []step{
			{0, Started{7}, "open 0 at a; 0 waits 0s", "0 initial delay"},
			{0, TimerFired{0}, "call 1 of 0 at a since 7", "0 calling"},
			{1, ListReceived{0, 1, 8}, "deliver", "0 watching"},
			{1, Reported{0}, "lease until 7.33s", "0 watching"},
			{2, ended(0, Ended, 2, 2), "lease until 2.33s; 0 ended in order since 8: up, next 100ms; source lost; 0 waits 100ms", "0 pausing"},
			{2.1, TimerFired{0}, "call 2 of 0 at a since 8", "0 calling"},
			{2.2, ListReceived{0, 2, 8}, "deliver", "0 watching"},
			{2.2, Reported{0}, "lease until 8.53s", "0 watching"},
			{3, AddressChanged{"b"}, "lease until 7.33s; open 1 at b; 1 waits 50ms", "0 watching superseded, 1 debouncing"},
			{3.15, TimerFired{1}, "call 3 of 1 at b since 0", "0 watching superseded, 1 calling"},
		}},
	}
}

// A list that is taken over from process to process, while calls fail, keeps the age that was last proven.
func TestTakenOverListKeepsAge(t *testing.T) {
	age := time.Minute
	for range 9 {
		l := lease.New(lease.PullRules(500*time.Millisecond), epoch-age)
		c := New(Settings{NoInitialDelay: true}, l, rand.New(middleSource{}), "a")
		c.Handle(epoch, Started{})
		c.Handle(epoch, TimerFired{0})
		c.Handle(epoch+seconds(2), ended(0, Failed, 2, 2))
		if got := c.Snapshot(epoch + seconds(2)).LeaseLeft; got > -40*time.Second {
			t.Errorf("a list that was proven %v ago may be used for %v more", age+seconds(2), got)
		}
		age = epoch + seconds(2) - l.LastProven()
	}
}

// The snapshot tells what discovery has shown, and counts calls by how they ended.
func TestSnapshot(t *testing.T) {
	c := New(Settings{CreatedAt: epoch}, lease.New(lease.PullRules(500*time.Millisecond), epoch), rand.New(middleSource{}), "a")
	for _, s := range watching(step{at: 5, event: ended(0, Broken, 5, 3.4)}, step{at: 6.6, event: TimerFired{0}}, step{at: 6.61, event: ended(0, Refused, 6.61, 0.01)}) {
		c.Handle(epoch+seconds(s.at), s.event)
	}
	got := c.Snapshot(epoch + seconds(7))
	if len(got.CallEnds) != 2 || got.CallEnds[Broken] != 1 || got.CallEnds[Refused] != 1 {
		t.Errorf("ends of calls %v, want one broken and one refused", got.CallEnds)
	}
	got.CallEnds = nil
	want := Snapshot{Address: "a", Evidence: lease.Overloaded, ListAge: 3 * time.Second, LeaseLeft: 3330 * time.Millisecond, Calls: 2, LongestWait: 400 * time.Millisecond}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("snapshot %+v, want %+v", got, want)
	}
}
