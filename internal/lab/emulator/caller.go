package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kitewood/internal/lab/httpc"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/scenario"
	"kitewood/internal/protocol"
)

// caller sends requests to sidecars, for clients and for instances, and records their outcome in the ledger.
type caller struct {
	w        *World
	idPrefix uint64
	lastID   atomic.Uint64
}

// call is one request that a caller sends.
type call struct {
	tier, class int
	work        float64
	deadline    time.Duration
	client      int // 0 for a call by an instance
	intended    time.Duration
	clientRetry bool
	closeAt     time.Duration // when the client closes its connection; 0 for never
	instance    string
	parent      uint64 // the attempt for which an instance makes the call
	chain       string // the chain header of that attempt
}

// send sends a request through a sidecar. It returns how the request ended, and the rejection if it was rejected.
func (c *caller) send(s *sidecar, req call) (model.TryEnd, rejection) {
	w := c.w
	id := fmt.Sprintf("%08x%08x", uint32(c.idPrefix), c.lastID.Add(1))
	class := &w.scenario.Classes[req.class]
	now := w.ledger.Now()
	timeLeft := (req.deadline - now).Milliseconds()
	e := ledger.Entry{ID: id, Client: req.client, Tier: req.tier, Class: req.class, Work: req.work, Deadline: req.deadline,
		Repeat: req.clientRetry, Since: req.intended, Parent: req.parent}
	pool := (*httpc.Pool)(nil)
	if s != nil {
		e.Sidecar, pool = s.name, s.clientPool()
	}
	if pool == nil || timeLeft <= 0 {
		e.Kind = ledger.Unasked
		w.ledger.Add(e)
		return model.TryNotReached, rejection{}
	}
	us := strconv.FormatFloat(req.work*1e6, 'f', 0, 64)
	headers := []httpc.Field{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class.Name},
		{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(timeLeft, 10)}, {Name: "X-Weight-Hint", Value: us}}
	if req.chain != "" {
		headers = append(headers, httpc.Field{Name: scenario.ChainField, Value: req.chain})
	}
	if req.client > 0 && w.scenario.Sidecar.Origin {
		headers = append(headers, httpc.Field{Name: scenario.OriginField, Value: strconv.Itoa(req.client)})
	}
	if req.clientRetry {
		headers = append(headers, httpc.Field{Name: "X-Repeat", Value: "1"})
	}
	method, payload := http.MethodGet, []byte(nil)
	if class.Effect != "safe" {
		method, payload = http.MethodPost, []byte(`{"order":"`+id+`"}`)
	}
	text := httpc.Text(method, "/"+class.Name+"?work_us="+us, "backend.local", payload, headers...)
	// An answer within the slack comes too late for the client, but still meets the rule.
	until := req.deadline + scenario.Slack
	if req.closeAt > 0 {
		until = min(until, req.closeAt)
	}
	r := pool.Do(id, method, text, w.ledger.Start().Add(until))
	if r.Progress < httpc.Written {
		e.Kind = ledger.Unasked
		w.ledger.Add(e)
		return model.TryNotReached, rejection{}
	}
	sent := e
	sent.Kind, sent.At = ledger.Asked, r.Written.Sub(w.ledger.Start())
	w.ledger.Add(sent)
	e.At = r.Ended.Sub(w.ledger.Start())
	e.Since = 0
	switch {
	case w.isDown(req.instance):
		e.Kind = ledger.Left
		w.ledger.Add(e)
		return model.TryFailed, rejection{}
	case r.Progress == httpc.Answered:
		e.Kind, e.Status, e.Note = ledger.Answered, r.Status, parseAnswerBody(r.Body, id)
	case r.TimedOut && e.At < req.deadline:
		e.Kind = ledger.Quit
	case r.TimedOut:
		e.Kind = ledger.GaveUp
	default:
		e.Kind, e.Note = ledger.Broken, r.Err.Error()
	}
	w.ledger.Add(e)
	switch {
	case e.Kind == ledger.GaveUp, e.Kind == ledger.Quit, e.At > req.deadline:
		return model.TryTimedOut, rejection{}
	case e.Kind == ledger.Broken:
		return model.TryFailed, rejection{}
	case r.Status == 200:
		return model.TryServed, rejection{}
	case r.Header.Get(scenario.ChainField) == protocol.Declined && (req.client == 0 || r.Status == 508):
		return model.TryDeclined, rejection{r.Status, r.Header.Get("Retry-After")}
	case r.Status == 503 || r.Status == 429:
		return model.TryRefused, rejection{r.Status, r.Header.Get("Retry-After")}
	}
	return model.TryFailed, rejection{}
}

// retryDelay is the delay given in Retry-After, 0 if there was none.
func (r rejection) retryDelay() time.Duration {
	after, _ := strconv.ParseFloat(r.retryAfter, 64)
	return time.Duration(after * float64(time.Second))
}
