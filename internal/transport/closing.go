package transport

import (
	"context"
	"log/slog"
	"sync/atomic"

	"kitewood/internal/guard"
	"kitewood/internal/protocol"
)

// closeReason tells why a client's connection has ended.
type closeReason uint8

// The reasons.
const (
	closedUnknown    closeReason = iota // no other one was noted
	closedByClient                      // between two requests, or before the first
	closedMidRequest                    // by the client, while its request was out
	closedBadRequest                    // what came is no request, or stopped half way
	closedSlow                          // a request took too long to come
	closedIdle                          // it rested for as long as it may
	closedAsked                         // it was asked to end: to make room, or because the sidecar stops
	closedLast                          // its answer was its last: the client or the budget asked for that
	closedWrite                         // the answer could not be written
	closedPanic
	closeReasons
)

func (r closeReason) String() string {
	return [...]string{"unknown", "client closed", "client closed during its request", "bad request", "slow request", "idle timeout",
		"asked to end", "last answer", "write failed", "panic"}[r]
}

// closings count the ends of connections by reason.
type closings [closeReasons]atomic.Uint64

// counts are the closings by name, those that are 0 left out.
func (c *closings) counts() map[string]uint64 {
	out := map[string]uint64{}
	for r := range c {
		if n := c[r].Load(); n > 0 {
			out["closed: "+closeReason(r).String()] = n
		}
	}
	return out
}

// Closings tell how many clients' connections have ended so far, by reason.
func (f *Server) CloseCounts() map[string]uint64 { return f.closings.counts() }

// because notes why the connection ends; the first reason counts.
func (c *frontConn) because(r closeReason) {
	if c.reason == closedUnknown {
		c.reason = r
	}
}

// settleDebt answers a request that would be closed over: whatever led here, its client waits.
func (c *frontConn) settleDebt() {
	left := c.reason == closedByClient || c.reason == closedMidRequest || c.reason == closedWrite
	if !c.front.guard.Denied(guard.MayClose(guard.CloseFacts{Unanswered: c.owes, ClientGone: left})) {
		return
	}
	if c.reply(protocol.LocalReply{Status: 502, Reason: "failed"}, true); c.owes {
		c.front.guard.RecordViolation(guard.FinalAnswer, "id", c.lastID, "reason", c.reason.String())
	}
}

// noteEnd counts the end of the connection and logs it.
func (c *frontConn) noteEnd() {
	c.front.closings[c.reason].Add(1)
	if c.front.log.Enabled(context.Background(), slog.LevelDebug) {
		c.front.log.Debug("client connection closed", "client", c.conn.RemoteAddr().String(), "reason", c.reason.String(), "last_id", c.lastID,
			"unread", len(c.ahead))
	}
}
