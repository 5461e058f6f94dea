package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Each fact that forbids an action denies it with its own invariant, and nothing else is denied.
func TestDenials(t *testing.T) {
	sending := func(change func(*SendFacts)) *Denial {
		s := SendFacts{Now: time.Second, Deadline: 2 * time.Second}
		change(&s)
		return MaySend(s)
	}
	for name, c := range map[string]struct {
		got  *Denial
		want Invariant
		none bool
	}{
		"send":                     {sending(func(*SendFacts) {}), 0, true},
		"closed endpoint":          {sending(func(s *SendFacts) { s.EndpointClosed = true }), Drain, false},
		"old list":                 {sending(func(s *SendFacts) { s.LeaseExpired = true }), StaleList, false},
		"answered":                 {sending(func(s *SendFacts) { s.Answered = true }), ClientGone, false},
		"cancelled":                {sending(func(s *SendFacts) { s.Cancelled = true }), ClientGone, false},
		"client gone":              {sending(func(s *SendFacts) { s.ClientGone = true }), ClientGone, false},
		"deadline passed":          {sending(func(s *SendFacts) { s.Deadline = time.Second }), TimeLeft, false},
		"retry window over":        {sending(func(s *SendFacts) { s.RetryWindowEnd = time.Second }), Retry, false},
		"retry window open":        {sending(func(s *SendFacts) { s.RetryWindowEnd = 2 * time.Second }), 0, true},
		"first attempt":            {MayRetry(RetryFacts{Unsafe: true}), 0, true},
		"unsafe that did not run":  {MayRetry(RetryFacts{Attempts: 1, Unsafe: true}), 0, true},
		"unsafe that may have run": {MayRetry(RetryFacts{Attempts: 1, MayHaveRun: true, Unsafe: true}), Retry, false},
		"unsafe in flight":         {MayRetry(RetryFacts{Attempts: 1, InFlight: 1, Unsafe: true, HedgingAllowed: true}), Retry, false},
		"safe that may have run":   {MayRetry(RetryFacts{Attempts: 1, MayHaveRun: true}), 0, true},
		"hedge":                    {MayRetry(RetryFacts{Attempts: 1, InFlight: 1}), Hedge, false},
		"hedge allowed":            {MayRetry(RetryFacts{Attempts: 1, InFlight: 1, HedgingAllowed: true}), 0, true},
		"close between requests":   {MayClose(CloseFacts{}), 0, true},
		"close with open request":  {MayClose(CloseFacts{Unanswered: true}), FinalAnswer, false},
		"close after client left":  {MayClose(CloseFacts{Unanswered: true, ClientGone: true}), 0, true},
		"start":                    {MayStart(StartFacts{Serving: true}), 0, true},
		"start without a list":     {MayStart(StartFacts{}), Start, false},
		"start while stopping":     {MayStart(StartFacts{Serving: true, Stopping: true}), Start, false},
	} {
		if c.none != (c.got == nil) || c.got != nil && c.got.Invariant != c.want {
			t.Errorf("%s: got denial %v", name, c.got)
		}
	}
}

// The check relies on the record only: each violated invariant is counted once and logged with the request's ID.
func TestViolations(t *testing.T) {
	valid := AttemptRecord{RequestID: "r", BegunAt: 10 * time.Second, Deadline: 12 * time.Second, TimeoutSent: 2 * time.Second, DrainGrace: time.Second / 2}
	for _, c := range []struct {
		i       Invariant
		violate func(*AttemptRecord)
	}{
		{Drain, func(r *AttemptRecord) { r.ClosedAt = r.BegunAt - r.DrainGrace - time.Millisecond }},
		{StaleList, func(r *AttemptRecord) { r.LeaseExpired = true }},
		{Retry, func(r *AttemptRecord) { r.Unsafe, r.EarlierMayRun = true, true }},
		{Retry, func(r *AttemptRecord) { r.RetryWindowEnd, r.EarlierMayRun = r.BegunAt-time.Millisecond, true }},
		{Hedge, func(r *AttemptRecord) { r.EarlierInFlight = true }},
		{ClientGone, func(r *AttemptRecord) { r.RequestEndedAt = r.BegunAt - clientGoneGrace - time.Millisecond }},
		{TimeLeft, func(r *AttemptRecord) { r.TimeoutSent += timeLeftSlack + time.Millisecond }},
		{Start, func(r *AttemptRecord) { r.NoEndpointList = true }},
	} {
		i, violate := c.i, c.violate
		var log bytes.Buffer
		g := New(slog.New(slog.NewTextHandler(&log, nil)))
		g.Check(valid)
		if n := len(g.Violations()); n > 0 {
			t.Fatalf("valid attempt counts as %d violations", n)
		}
		record := valid
		violate(&record)
		g.Check(record)
		if v := g.Violations(); len(v) != 1 || v[i.String()] != 1 || !strings.Contains(log.String(), "id=r") {
			t.Errorf("%v: counted %v and logged %q, want one violation with id=r", i, v, log.String())
		}
	}
	within := valid // every value just within its limit
	within.RetryWindowEnd, within.EarlierMayRun = within.BegunAt, true
	within.ClosedAt, within.RequestEndedAt, within.TimeoutSent = within.BegunAt-within.DrainGrace, within.BegunAt-clientGoneGrace, 2*time.Second+timeLeftSlack
	if v := within.violations(); len(v) > 0 {
		t.Errorf("attempt within all limits: violations %v", v)
	}
}
