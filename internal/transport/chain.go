package transport

import (
	"log/slog"
	"sync"
	"time"

	"kitewood/internal/chain"
	"kitewood/internal/protocol"
)

// Chain keeps the word of a chain of services for the operations of a pool: see package chain.
type Chain struct {
	Field string // that carries it, in the canonical form of header names
	clock func() time.Duration
	log   *slog.Logger

	mu   sync.Mutex // each operation takes it a few times, for less than a microsecond
	book *chain.Tracker
}

// NewChain returns a Chain by its limits. The seed draws the tokens of its words.
func NewChain(field string, limits chain.Limits, seed uint64, clock func() time.Duration, log *slog.Logger) *Chain {
	return &Chain{Field: field, clock: clock, log: log, book: chain.New(limits, seed)}
}

// enter takes an operation that waits until a deadline; the reply is the client's where it goes no further.
func (c *Chain) enter(m *protocol.Message, deadline time.Duration, worth float64) (*chain.Entry, *protocol.LocalReply) {
	text := ""
	if v := m.Header[c.Field]; len(v) > 1 {
		return nil, &protocol.LocalReply{Status: 400, Reason: "a request has one " + c.Field}
	} else if len(v) == 1 {
		text = v[0]
	}
	now := c.clock()
	c.mu.Lock()
	v, no, first, err := c.book.Enter(now, text, deadline, worth)
	c.mu.Unlock()
	switch {
	case err != nil:
		return nil, &protocol.LocalReply{Status: 400, Reason: c.Field + ": " + err.Error()}
	case no != nil:
		if first {
			c.log.Warn("a route leads operations in a circle or too far", "why", no.Reason)
		}
		return nil, &protocol.LocalReply{Status: 508, Reason: no.Reason, ChainField: c.Field}
	case v.Deadline <= now:
		c.end(v)
		return nil, &protocol.LocalReply{Status: 503, Reason: "busy: no time is left", ChainField: c.Field}
	}
	return v, nil
}

// word is what the next attempt carries on; ok is false if it may not go out.
func (c *Chain) word(v *chain.Entry) (string, bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return v.NextAttempt(now)
}

func (c *Chain) end(v *chain.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Release()
}
