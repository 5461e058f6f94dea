package transport

import (
	"log/slog"
	"sync"
	"time"

	"kitewood/internal/chain"
	"kitewood/internal/protocol"
)

// Chain applies the limits of a chain of services to the requests of a pool: it reads the chain header of an incoming request
// and writes those of its attempts. See package chain. It is safe for concurrent use.
type Chain struct {
	HeaderName string // of the chain header, in canonical form
	clock      func() time.Duration
	log        *slog.Logger

	mu      sync.Mutex // held a few times per request, for less than a microsecond each
	tracker *chain.Tracker
}

// NewChain returns a Chain with the given limits. The seed determines the tokens of its chain headers.
func NewChain(headerName string, limits chain.Limits, seed uint64, clock func() time.Duration, log *slog.Logger) *Chain {
	return &Chain{HeaderName: headerName, clock: clock, log: log, tracker: chain.New(limits, seed)}
}

// begin registers a request with the given deadline and utility. A reply other than nil is the response to the client, and the
// request must not be sent on.
func (c *Chain) begin(m *protocol.Message, deadline time.Duration, utility float64) (*chain.Entry, *protocol.LocalReply) {
	text := ""
	if v := m.Header[c.HeaderName]; len(v) > 1 {
		return nil, &protocol.LocalReply{Status: 400, Reason: "a request has one " + c.HeaderName}
	} else if len(v) == 1 {
		text = v[0]
	}
	now := c.clock()
	c.mu.Lock()
	entry, rejection, first, err := c.tracker.Enter(now, text, deadline, utility)
	c.mu.Unlock()
	switch {
	case err != nil:
		return nil, &protocol.LocalReply{Status: 400, Reason: c.HeaderName + ": " + err.Error()}
	case rejection != nil:
		if first {
			c.log.Warn("rejecting requests: the route forms a loop or passes too many services", "why", rejection.Reason)
		}
		return nil, &protocol.LocalReply{Status: 508, Reason: rejection.Reason, ChainField: c.HeaderName}
	case entry.Deadline <= now:
		c.end(entry)
		return nil, &protocol.LocalReply{Status: 503, Reason: "busy: no time is left", ChainField: c.HeaderName}
	}
	return entry, nil
}

// nextHeader returns the chain header of the next attempt of a request, and false if the attempt must not be sent.
func (c *Chain) nextHeader(entry *chain.Entry) (string, bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return entry.NextAttempt(now)
}

// end returns what the request has not used of its chain's retries.
func (c *Chain) end(entry *chain.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.Release()
}
