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
func (c *caller) send(s *sidecar, req call) (model.AttemptResult, rejection) {
	w := c.w
	id := fmt.Sprintf("%08x%08x", uint32(c.idPrefix), c.lastID.Add(1))
	class := &w.scenario.Classes[req.class]
	now := w.ledger.Now()
	timeLeft := (req.deadline - now).Milliseconds()
	e := ledger.Entry{ID: id, ClientRequest: req.client, Tier: req.tier, Class: req.class, Work: req.work, Deadline: req.deadline,
		Retry: req.clientRetry, Since: req.intended, ParentAttempt: req.parent}
	pool := (*httpc.Pool)(nil)
	if s != nil {
		e.Sidecar, pool = s.name, s.clientPool()
	}
	if pool == nil || timeLeft <= 0 {
		e.Kind = ledger.RequestUnsent
		w.ledger.Add(e)
		return model.AttemptNotConnected, rejection{}
	}
	us := strconv.FormatFloat(req.work*1e6, 'f', 0, 64)
	headers := []httpc.HeaderField{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class.Name},
		{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(timeLeft, 10)}, {Name: "X-Weight-Hint", Value: us}}
	if req.chain != "" {
		headers = append(headers, httpc.HeaderField{Name: scenario.ChainField, Value: req.chain})
	}
	if req.client > 0 && w.scenario.Sidecar.Origin {
		headers = append(headers, httpc.HeaderField{Name: scenario.OriginField, Value: strconv.Itoa(req.client)})
	}
	if req.clientRetry {
		headers = append(headers, httpc.HeaderField{Name: "X-Repeat", Value: "1"})
	}
	method, payload := http.MethodGet, []byte(nil)
	if class.Effect != "safe" {
		method, payload = http.MethodPost, []byte(`{"order":"`+id+`"}`)
	}
	text := httpc.FormatRequest(method, "/"+class.Name+"?work_us="+us, "backend.local", payload, headers...)
	// An answer within the slack comes too late for the client, but still meets the rule.
	until := req.deadline + scenario.Slack
	if req.closeAt > 0 {
		until = min(until, req.closeAt)
	}
	r := pool.Do(id, method, text, w.ledger.Start().Add(until))
	if r.Progress < httpc.RequestWritten {
		e.Kind = ledger.RequestUnsent
		w.ledger.Add(e)
		return model.AttemptNotConnected, rejection{}
	}
	sent := e
	sent.Kind, sent.At = ledger.RequestSent, r.WrittenAt.Sub(w.ledger.Start())
	w.ledger.Add(sent)
	e.At = r.EndedAt.Sub(w.ledger.Start())
	e.Since = 0
	switch {
	case w.isDown(req.instance):
		e.Kind = ledger.CallerGone
		w.ledger.Add(e)
		return model.AttemptFailed, rejection{}
	case r.Progress == httpc.ResponseReceived:
		e.Kind, e.Status, e.Note = ledger.Answered, r.Status, parseAnswerBody(r.Body, id)
	case r.TimedOut && e.At < req.deadline:
		e.Kind = ledger.CallerClosed
	case r.TimedOut:
		e.Kind = ledger.TimedOut
	default:
		e.Kind, e.Note = ledger.ConnectionBroken, r.Err.Error()
	}
	w.ledger.Add(e)
	switch {
	case e.Kind == ledger.TimedOut, e.Kind == ledger.CallerClosed, e.At > req.deadline:
		return model.AttemptTimedOut, rejection{}
	case e.Kind == ledger.ConnectionBroken:
		return model.AttemptFailed, rejection{}
	case r.Status == 200:
		return model.AttemptServed, rejection{}
	case r.Header.Get(scenario.ChainField) == protocol.Declined && (req.client == 0 || r.Status == 508):
		return model.AttemptDeclined, rejection{r.Status, r.Header.Get("Retry-After")}
	case r.Status == 503 || r.Status == 429:
		return model.AttemptRejected, rejection{r.Status, r.Header.Get("Retry-After")}
	}
	return model.AttemptFailed, rejection{}
}

// retryDelay is the delay given in Retry-After, 0 if there was none.
func (r rejection) retryDelay() time.Duration {
	after, _ := strconv.ParseFloat(r.retryAfter, 64)
	return time.Duration(after * float64(time.Second))
}
