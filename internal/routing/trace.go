package routing

import (
	"context"
	"log/slog"
	"time"

	"kitewood/balance"
)

// At debug level the Loop logs a line for each attempt and each answer, from which the requests of a whole fleet can be
// counted. At the default level no such line is written, so that errors cannot flood the log.

// String returns the verdict's name in metrics and logs.
func (v Verdict) String() string { return [...]string{"served", "busy", "failed", "doubled"}[v] }

// traceEnabled reports whether debug lines are logged.
func (l *Loop) traceEnabled() bool { return l.log.Enabled(context.Background(), slog.LevelDebug) }

// traceAttempt logs how an attempt ended: the endpoint, its age and its load report.
func (l *Loop) traceAttempt(a *Attempt, endpoint balance.EndpointID, status balance.Status, r Result, now time.Duration) {
	if !l.traceEnabled() {
		return
	}
	name, age := "", time.Duration(0)
	if a.Endpoint != nil {
		name = a.Endpoint.Name
		if a.Endpoint.startedAt > 0 {
			age = now - a.Endpoint.startedAt
		}
	}
	l.log.Debug("attempt", "operation", a.Request.id, "class", a.Request.Class, "hint", a.Request.CostHint, "attempt", a.number,
		"id", a.Request.Key, "destination", name, "server", endpoint, "age", age, "status", status.String(), "took", now-a.sentAt,
		"opened", a.connectionOpened.Load(), "load", r.Load, "error", r.Err)
}

// traceAnswer logs a request's final answer, and the reason if it was rejected or failed.
func (l *Loop) traceAnswer(req *Request, v Verdict, reason string) {
	if l.traceEnabled() {
		l.log.Debug("answer", "operation", req.id, "id", req.Key, "class", req.Class, "hint", req.CostHint, "repeat", req.ClientRetry, "verdict",
			v.String(), "reason", reason, "attempts", len(req.attempts), "took", l.Now()-req.receivedAt, "left", req.Deadline-l.Now())
	}
}

// traceAbandoned logs a request whose client has disconnected.
func (l *Loop) traceAbandoned(req *Request) {
	if l.traceEnabled() {
		l.log.Debug("abandoned", "operation", req.id, "id", req.Key, "attempts", len(req.attempts), "out", req.inFlight, "took", l.Now()-req.receivedAt)
	}
}

// maxNamesLogged is the largest number of endpoint names in one log line.
const maxNamesLogged = 8

// logEndpointList logs an endpoint list when it is applied, and the endpoints that accept no new requests from then on, so that
// a request that was sent to a wrong endpoint can be explained.
func (l *Loop) logEndpointList(kind balance.ListKind, index int64, members []Member, closed []string) {
	count := map[balance.State]int{}
	for _, m := range members {
		count[m.State]++
	}
	names := closed[:min(len(closed), maxNamesLogged)]
	l.log.Info("membership update", "index", index, "kind", kind.String(), "ready", count[balance.Ready], "draining", count[balance.Draining],
		"gone", count[balance.Gone], "closed", len(closed), "names", names)
}
