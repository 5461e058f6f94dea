package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Each fact that forbids something does so by its own invariant, and nothing else is denied.
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
		"send":                    {sending(func(*SendFacts) {}), 0, true},
		"closed endpoint":         {sending(func(s *SendFacts) { s.EndpointClosed = true }), Drain, false},
		"old list":                {sending(func(s *SendFacts) { s.LeaseExpired = true }), StaleList, false},
		"answered":                {sending(func(s *SendFacts) { s.Answered = true }), ClientGone, false},
		"called off":              {sending(func(s *SendFacts) { s.Cancelled = true }), ClientGone, false},
		"client left":             {sending(func(s *SendFacts) { s.ClientGone = true }), ClientGone, false},
		"no time":                 {sending(func(s *SendFacts) { s.Deadline = time.Second }), TimeLeft, false},
		"window over":             {sending(func(s *SendFacts) { s.RetryWindowEnd = time.Second }), Retry, false},
		"window open":             {sending(func(s *SendFacts) { s.RetryWindowEnd = 2 * time.Second }), 0, true},
		"first attempt":           {MayRetry(RetryFacts{Unsafe: true}), 0, true},
		"unsafe that never ran":   {MayRetry(RetryFacts{Attempts: 1, Unsafe: true}), 0, true},
		"unsafe that may have":    {MayRetry(RetryFacts{Attempts: 1, MayHaveRun: true, Unsafe: true}), Retry, false},
		"unsafe that is out":      {MayRetry(RetryFacts{Attempts: 1, InFlight: 1, Unsafe: true, HedgingAllowed: true}), Retry, false},
		"safe that may have":      {MayRetry(RetryFacts{Attempts: 1, MayHaveRun: true}), 0, true},
		"second copy":             {MayRetry(RetryFacts{Attempts: 1, InFlight: 1}), Hedge, false},
		"second copy allowed":     {MayRetry(RetryFacts{Attempts: 1, InFlight: 1, HedgingAllowed: true}), 0, true},
		"close between requests":  {MayClose(CloseFacts{}), 0, true},
		"close over a request":    {MayClose(CloseFacts{Unanswered: true}), FinalAnswer, false},
		"close after its client":  {MayClose(CloseFacts{Unanswered: true, ClientGone: true}), 0, true},
		"start":                   {MayStart(StartFacts{Serving: true}), 0, true},
		"start without a list":    {MayStart(StartFacts{}), Start, false},
		"start while it is ended": {MayStart(StartFacts{Serving: true, Stopping: true}), Start, false},
	} {
		if c.none != (c.got == nil) || c.got != nil && c.got.Invariant != c.want {
			t.Errorf("%s: %v", name, c.got)
		}
	}
}

// The check goes by the notes alone: each invariant is counted when its note says so, once, and logged with the request's id.
func TestViolations(t *testing.T) {
	good := AttemptRecord{RequestID: "r", BegunAt: 10 * time.Second, Deadline: 12 * time.Second, TimeoutSent: 2 * time.Second, DrainGrace: time.Second / 2}
	for _, c := range []struct {
		i      Invariant
		breaks func(*AttemptRecord)
	}{
		{Drain, func(b *AttemptRecord) { b.ClosedAt = b.BegunAt - b.DrainGrace - time.Millisecond }},
		{StaleList, func(b *AttemptRecord) { b.LeaseExpired = true }},
		{Retry, func(b *AttemptRecord) { b.Unsafe, b.EarlierMayRun = true, true }},
		{Retry, func(b *AttemptRecord) { b.RetryWindowEnd, b.EarlierMayRun = b.BegunAt-time.Millisecond, true }},
		{Hedge, func(b *AttemptRecord) { b.EarlierInFlight = true }},
		{ClientGone, func(b *AttemptRecord) { b.RequestEndedAt = b.BegunAt - goneGrace - time.Millisecond }},
		{TimeLeft, func(b *AttemptRecord) { b.TimeoutSent += timeSlack + time.Millisecond }},
		{Start, func(b *AttemptRecord) { b.NoEndpointList = true }},
	} {
		i, breaks := c.i, c.breaks
		var log bytes.Buffer
		g := New(slog.New(slog.NewTextHandler(&log, nil)))
		g.Check(good)
		if n := len(g.Violations()); n > 0 {
			t.Fatalf("a good attempt counts as %d violations", n)
		}
		b := good
		breaks(&b)
		g.Check(b)
		if v := g.Violations(); len(v) != 1 || v[i.String()] != 1 || !strings.Contains(log.String(), "id=r") {
			t.Errorf("%v: counted %v, logged %q", i, v, log.String())
		}
	}
	within := good // every note just inside what is allowed
	within.RetryWindowEnd, within.EarlierMayRun = within.BegunAt, true
	within.ClosedAt, within.RequestEndedAt, within.TimeoutSent = within.BegunAt-within.DrainGrace, within.BegunAt-goneGrace, 2*time.Second+timeSlack
	if v := within.violations(); len(v) > 0 {
		t.Errorf("within all bounds: %v", v)
	}
}
