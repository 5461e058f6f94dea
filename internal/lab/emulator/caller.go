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

// caller sends operations to sidecars, for clients and for instances, and enters what came of them.
type caller struct {
	w      *World
	prefix uint64
	count  atomic.Uint64
}

// call is one operation.
type call struct {
	tier, class int
	work        float64
	deadline    time.Duration
	client      int // 0 for an instance's
	intended    time.Duration
	repeat      bool
	leaves      time.Duration // the client closes its connection then; 0 for not
	by          string
	parent      uint64 // the attempt that an instance makes the call for
	chain       string // the word that came with that
}

// try sends an operation through a sidecar and tells how it ended, and what it was declined with.
func (c *caller) try(s *sidecar, q call) (model.AttemptResult, declined) {
	w := c.w
	id := fmt.Sprintf("%08x%08x", uint32(c.prefix), c.count.Add(1))
	class := &w.s.Classes[q.class]
	now := w.book.Now()
	left := (q.deadline - now).Milliseconds()
	e := ledger.Entry{ID: id, ClientRequest: q.client, Tier: q.tier, Class: q.class, Work: q.work, Deadline: q.deadline, Retry: q.repeat,
		Since: q.intended, ParentAttempt: q.parent}
	pool := (*httpc.Pool)(nil)
	if s != nil {
		e.Sidecar, pool = s.name, s.client()
	}
	if pool == nil || left <= 0 {
		e.Kind = ledger.RequestUnsent
		w.book.Add(e)
		return model.AttemptNotConnected, declined{}
	}
	us := strconv.FormatFloat(q.work*1e6, 'f', 0, 64)
	fields := []httpc.HeaderField{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class.Name},
		{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(left, 10)}, {Name: "X-Weight-Hint", Value: us}}
	if q.chain != "" {
		fields = append(fields, httpc.HeaderField{Name: scenario.ChainField, Value: q.chain})
	}
	if q.client > 0 && w.s.Sidecar.Origin {
		fields = append(fields, httpc.HeaderField{Name: scenario.OriginField, Value: strconv.Itoa(q.client)})
	}
	if q.repeat {
		fields = append(fields, httpc.HeaderField{Name: "X-Repeat", Value: "1"})
	}
	method, payload := http.MethodGet, []byte(nil)
	if class.Effect != "safe" {
		method, payload = http.MethodPost, []byte(`{"order":"`+id+`"}`)
	}
	text := httpc.FormatRequest(method, "/"+class.Name+"?work_us="+us, "backend.local", payload, fields...)
	// An answer within the slack is no answer to the client any more, but it keeps the rule.
	until := q.deadline + scenario.Slack
	if q.leaves > 0 {
		until = min(until, q.leaves)
	}
	r := pool.Do(id, method, text, w.book.Start().Add(until))
	if r.Progress < httpc.RequestWritten {
		e.Kind = ledger.RequestUnsent
		w.book.Add(e)
		return model.AttemptNotConnected, declined{}
	}
	asked := e
	asked.Kind, asked.At = ledger.RequestSent, r.WrittenAt.Sub(w.book.Start())
	w.book.Add(asked)
	e.At = r.EndedAt.Sub(w.book.Start())
	e.Since = 0
	switch {
	case w.frozen(q.by):
		e.Kind = ledger.CallerGone
		w.book.Add(e)
		return model.AttemptFailed, declined{}
	case r.Progress == httpc.ResponseReceived:
		e.Kind, e.Status, e.Note = ledger.Answered, r.Status, tokenOf(r.Body, id)
	case r.TimedOut && e.At < q.deadline:
		e.Kind = ledger.CallerClosed
	case r.TimedOut:
		e.Kind = ledger.TimedOut
	default:
		e.Kind, e.Note = ledger.ConnectionBroken, r.Err.Error()
	}
	w.book.Add(e)
	switch {
	case e.Kind == ledger.TimedOut, e.Kind == ledger.CallerClosed, e.At > q.deadline:
		return model.AttemptTimedOut, declined{}
	case e.Kind == ledger.ConnectionBroken:
		return model.AttemptFailed, declined{}
	case r.Status == 200:
		return model.AttemptServed, declined{}
	case r.Header.Get(scenario.ChainField) == protocol.Declined && (q.client == 0 || r.Status == 508):
		return model.AttemptDeclined, declined{r.Status, r.Header.Get("Retry-After")}
	case r.Status == 503 || r.Status == 429:
		return model.AttemptRejected, declined{r.Status, r.Header.Get("Retry-After")}
	}
	return model.AttemptFailed, declined{}
}

// advice is when to come back, 0 where nothing was said of it.
func (d declined) advice() time.Duration {
	after, _ := strconv.ParseFloat(d.after, 64)
	return time.Duration(after * float64(time.Second))
}
