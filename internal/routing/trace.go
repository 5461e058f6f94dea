package routing

import (
	"context"
	"log/slog"
	"time"

	"kitewood/balance"
)

// The lines at debug level that let a day be counted across a fleet: one for each attempt, one for each answer, one for
// each endpoint list. At the default level none is written, however bad what comes.

func (v Verdict) String() string { return [...]string{"served", "busy", "failed", "doubled"}[v] }

func (l *Loop) traces() bool { return l.log.Enabled(context.Background(), slog.LevelDebug) }

// traceAttempt notes how an attempt ended: at which destination, at which age of it, and what it reported.
func (l *Loop) traceAttempt(a *Attempt, server balance.EndpointID, status balance.Status, r Result, now time.Duration) {
	if !l.traces() {
		return
	}
	name, age := "", time.Duration(0)
	if a.Endpoint != nil {
		name = a.Endpoint.Name
		if a.Endpoint.since > 0 {
			age = now - a.Endpoint.since
		}
	}
	l.log.Debug("attempt", "operation", a.Request.id, "class", a.Request.Class, "hint", a.Request.CostHint, "attempt", a.number,
		"id", a.Request.Key, "destination", name, "server", server, "age", age, "status", status.String(), "took", now-a.sent,
		"opened", a.opened.Load(), "load", r.Load, "error", r.Err)
}

// traceAnswer notes an operation's final answer, and why it was refused or failed.
func (l *Loop) traceAnswer(op *Request, v Verdict, why string) {
	if l.traces() {
		l.log.Debug("answer", "operation", op.id, "id", op.Key, "class", op.Class, "hint", op.CostHint, "repeat", op.ClientRetry, "verdict",
			v.String(), "reason", why, "attempts", len(op.attempts), "took", l.Now()-op.came, "left", op.Deadline-l.Now())
	}
}

// traceAbandoned notes an operation whose client has left.
func (l *Loop) traceAbandoned(op *Request) {
	if l.traces() {
		l.log.Debug("abandoned", "operation", op.id, "id", op.Key, "attempts", len(op.attempts), "out", op.out, "took", l.Now()-op.came)
	}
}

// namesLogged is how many endpoints a line names at the most.
const namesLogged = 8

// logPool notes an endpoint list as it was taken, and which endpoints take no new requests from it on: the start of every
// question on a request that went to the wrong one.
func (l *Loop) logPool(kind balance.ListKind, index int64, members []Member, closed []string) {
	count := map[balance.State]int{}
	for _, m := range members {
		count[m.State]++
	}
	names := closed[:min(len(closed), namesLogged)]
	l.log.Info("membership update", "index", index, "kind", kind.String(), "ready", count[balance.Ready], "draining", count[balance.Draining],
		"gone", count[balance.Gone], "closed", len(closed), "names", names)
}
