package account

import (
	"fmt"
	"testing"
	"time"

	"kitewood/internal/lab/ledger"
)

const ms = time.Millisecond

var objective = ledger.Objective{Classes: []ledger.ClassObjective{{Name: "look", Utility: 2, LatencyTarget: time.Second}}}

// retriedRequest returns the entries of a client request whose first attempt fails two tiers down and whose retry is served.
// It is small enough to check the sums by hand.
func retriedRequest() []ledger.Entry {
	sent := func(at time.Duration, id string, tier int, client int, parent uint64, retry bool) ledger.Entry {
		return ledger.Entry{At: at, Kind: ledger.RequestSent, ID: id, Tier: tier, ClientRequest: client, ParentAttempt: parent, Retry: retry,
			Sidecar: fmt.Sprintf("s%d", tier), Work: 1}
	}
	arrived := func(at time.Duration, id string, tier int, n uint64, work float64) ledger.Entry {
		return ledger.Entry{At: at, Kind: ledger.AttemptArrived, ID: id, Tier: tier, AttemptID: n, Work: work, Instance: fmt.Sprintf("i%d", tier)}
	}
	ended := func(at time.Duration, id string, tier int, n uint64, outcome string) ledger.Entry {
		return ledger.Entry{At: at, Kind: ledger.AttemptEnded, ID: id, Tier: tier, AttemptID: n, Outcome: outcome, Instance: fmt.Sprintf("i%d", tier)}
	}
	answered := func(at time.Duration, id string, tier, client, status int, note string) ledger.Entry {
		return ledger.Entry{At: at, Kind: ledger.Answered, ID: id, Tier: tier, ClientRequest: client, Status: status, Note: note,
			Sidecar: fmt.Sprintf("s%d", tier)}
	}
	return []ledger.Entry{
		sent(0, "a", 0, 1, 0, false), arrived(1*ms, "a", 0, 1, 3),
		sent(2*ms, "b", 1, 0, 1, false), arrived(3*ms, "b", 1, 2, 4), ended(4*ms, "b", 1, 2, "turned"),
		arrived(5*ms, "b", 1, 3, 4), ended(6*ms, "b", 1, 3, "failed"),
		answered(7*ms, "b", 1, 0, 503, ""), ended(8*ms, "a", 0, 1, "failed"), answered(9*ms, "a", 0, 1, 502, ""),
		sent(10*ms, "c", 0, 1, 0, true), arrived(11*ms, "c", 0, 4, 3),
		sent(12*ms, "d", 1, 0, 4, false), arrived(13*ms, "d", 1, 5, 2), ended(14*ms, "d", 1, 5, "served"),
		answered(15*ms, "d", 1, 0, 200, "i1/5"), ended(16*ms, "c", 0, 4, "served"), answered(17*ms, "c", 0, 1, 200, "i0/4"),
		{At: 20 * ms, Kind: ledger.ConnectionOpened, Instance: "i1", Tier: 1}, {At: 21 * ms, Kind: ledger.ConnectionOpened, Instance: "i1", Tier: 1},
		{At: 1100 * ms, Kind: ledger.ConnectionOpened, Instance: "i1", Tier: 1}, {At: 30 * ms, Kind: ledger.DiscoveryCalled, Sidecar: "s1", Tier: 1},
	}
}

func TestAccount(t *testing.T) {
	a := Summarize(retriedRequest(), objective)
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"client requests", float64(a.ClientRequests), 1}, {"client attempts", float64(a.ClientAttempts), 2}, {"attempts", float64(a.Attempts), 5}, {"maximum of attempts", float64(a.MaxAttempts), 5},
		{"attempts per request", a.AttemptsPerRequest, 5}, {"extra attempts", a.ExtraAttempts, 1.0 / 5}, // one of four requests had two attempts
		{"work", a.Work, 3 + 4 + 3 + 2}, {"lost work", a.LostWork, 7.0 / 12}, // the rejected attempt counts as no work
		{"lost work in tier 1", a.Tiers[1].LostWork, 4.0 / 6}, {"rejected attempts", float64(a.Tiers[1].RejectedAttempts), 1},
		{"rejected in tier 1", float64(a.Tiers[1].Rejected), 1}, {"failed in tier 0", float64(a.Tiers[0].Failed), 1},
		{"connections", float64(a.Instances[1].Connections.Count), 3}, {"connections, maximum in a second", float64(a.Instances[1].Connections.MaxPerSecond), 2},
		{"attempts after failure", float64(a.Instances[1].AttemptsAfterFailure.Count), 2}, // after the rejected attempt and after the failed one
		{"discovery", float64(a.Discovery.Count), 1}, {"client retries", float64(a.Seconds[0].ClientRetries), 1},
		{"utility", a.Seconds[0].Utility, 2}, {"in time", a.Seconds[0].InTime, 2},
	} {
		if diff := c.got - c.want; diff > 1e-9 || diff < -1e-9 {
			t.Errorf("%s: %g, want %g", c.name, c.got, c.want)
		}
	}
	if share, ok := a.ServedShare(0, 0, time.Second); !ok || share != 1 {
		t.Errorf("served share %g, ok %t, want 1, true", share, ok)
	}
	if _, ok := a.ServedShare(AllClasses, time.Second, 2*time.Second); ok {
		t.Error("a served share is given for a second without requests")
	}
}

// Only sidecars with similar traffic are compared.
func TestRejectionSpread(t *testing.T) {
	all := []Sidecar{{"a", 0, 100, 10}, {"b", 0, 110, 33}, {"c", 0, 90, 9}, {"quiet", 0, 10, 10}, {"busy", 0, 900, 0}, {"other", 1, 100, 90}}
	if s := rejectionSpread(all, 0); s < 0.199 || s > 0.201 {
		t.Errorf("rejection spread %g, want 0.3 less 0.1", s)
	}
	if s := rejectionSpread(all, 2); s != 0 {
		t.Errorf("rejection spread %g of a tier without sidecars, want 0", s)
	}
}

// A retry counts if the first tier rejected an earlier attempt of its client at once, and not if that attempt had waited or
// reached an instance.
func TestRetriesAfterRejection(t *testing.T) {
	at := func(ms int, kind ledger.Kind, id string, client, status int) ledger.Entry {
		return ledger.Entry{At: time.Duration(ms) * time.Millisecond, Kind: kind, ID: id, ClientRequest: client, Status: status}
	}
	entries := []ledger.Entry{
		at(100, ledger.RequestSent, "a", 1, 0), at(105, ledger.Answered, "a", 1, 503), // at once
		at(100, ledger.RequestSent, "b", 2, 0), at(900, ledger.Answered, "b", 2, 503), // after a wait
		at(901, ledger.RequestSent, "c", 3, 0), at(902, ledger.AttemptArrived, "c", 0, 0), at(905, ledger.Answered, "c", 3, 503), // after it reached an instance
		at(910, ledger.RequestSent, "a2", 1, 0), at(911, ledger.Answered, "a2", 1, 503), // rejected again
		at(920, ledger.RequestSent, "a3", 1, 0), at(921, ledger.AttemptArrived, "a3", 0, 0), // admitted
		at(930, ledger.RequestSent, "b2", 2, 0), at(931, ledger.AttemptArrived, "b2", 0, 0), at(932, ledger.RequestSent, "c2", 3, 0),
		at(2000, ledger.RequestSent, "a4", 1, 0), at(2001, ledger.AttemptArrived, "a4", 0, 0), // too late to count
	}
	if retries, admitted := RetriesAfterRejection(entries, 0, 1500*time.Millisecond); retries != 2 || admitted != 1 {
		t.Errorf("%d retries, %d admitted, want 2 and 1", retries, admitted)
	}
}
