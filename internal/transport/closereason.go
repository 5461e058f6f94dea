package transport

import (
	"context"
	"log/slog"
	"sync/atomic"

	"kitewood/internal/guard"
	"kitewood/internal/protocol"
)

// closeReason is why a client connection was closed.
type closeReason uint8

const (
	closedUnknown        closeReason = iota // no other reason was recorded
	closedByClient                          // by the client, between two requests or before the first
	closedMidRequest                        // by the client, while its request was in flight
	closedBadRequest                        // the data received is not a valid request, or ends within one
	closedRequestTimeout                    // a request was not received in time
	closedIdleTimeout                       // no request followed within the idle timeout
	closedOnRequest                         // on request of the server, to free a descriptor or because the sidecar stops
	closedLastResponse                      // after a response with "Connection: close", as the client or the budget asked
	closedWriteFailed                       // the response could not be written
	closedPanic                             // the connection's goroutine panicked
	closeReasonCount
)

// String returns the reason's name in logs and status reports.
func (r closeReason) String() string {
	return [...]string{"unknown", "client closed", "client closed during its request", "bad request", "slow request", "idle timeout",
		"asked to end", "last answer", "write failed", "panic"}[r]
}

// closeCounters count closed client connections by reason.
type closeCounters [closeReasonCount]atomic.Uint64

// counts returns the counters that are not zero by name.
func (c *closeCounters) counts() map[string]uint64 {
	counts := map[string]uint64{}
	for r := range c {
		if n := c[r].Load(); n > 0 {
			counts["closed: "+closeReason(r).String()] = n
		}
	}
	return counts
}

// CloseCounts returns how many client connections have been closed so far, by reason.
func (s *Server) CloseCounts() map[string]uint64 { return s.closeCounts.counts() }

// setCloseReason records why the connection closes. The first reason is kept.
func (c *clientConn) setCloseReason(r closeReason) {
	if c.reason == closedUnknown {
		c.reason = r
	}
}

// answerPending answers a request that is still pending when the connection is about to close while its client waits,
// whatever led to that. A response that cannot be written is recorded as an invariant violation.
func (c *clientConn) answerPending() {
	clientLeft := c.reason == closedByClient || c.reason == closedMidRequest || c.reason == closedWriteFailed
	if !c.server.guard.Denied(guard.MayClose(guard.CloseFacts{Unanswered: c.responsePending, ClientGone: clientLeft})) {
		return
	}
	if c.reply(protocol.LocalReply{Status: 502, Reason: "failed"}, true); c.responsePending {
		c.server.guard.RecordViolation(guard.FinalAnswer, "id", c.lastID, "reason", c.reason.String())
	}
}

// recordClose counts and logs the end of the connection.
func (c *clientConn) recordClose() {
	c.server.closeCounts[c.reason].Add(1)
	if c.server.log.Enabled(context.Background(), slog.LevelDebug) {
		c.server.log.Debug("client connection closed", "client", c.conn.RemoteAddr().String(), "reason", c.reason.String(), "last_id", c.lastID,
			"unread", len(c.readAhead))
	}
}
