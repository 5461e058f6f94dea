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
	by          string
}

// call sends an operation through a sidecar and tells how it ended.
func (c *caller) call(s *sidecar, q call) model.TryEnd {
	end, _ := c.try(s, q)
	return end
}

func (c *caller) try(s *sidecar, q call) (model.TryEnd, time.Duration) {
	w := c.w
	id := fmt.Sprintf("%08x%08x", uint32(c.prefix), c.count.Add(1))
	class := &w.s.Classes[q.class]
	now := w.book.Now()
	left := (q.deadline - now).Milliseconds()
	e := ledger.Entry{ID: id, Client: q.client, Tier: q.tier, Class: q.class, Work: q.work, Deadline: q.deadline, Repeat: q.repeat,
		Since: q.intended}
	pool := (*httpc.Pool)(nil)
	if s != nil {
		e.Sidecar, pool = s.name, s.client()
	}
	if pool == nil || left <= 0 {
		e.Kind = ledger.Unasked
		w.book.Add(e)
		return model.TryNotReached, 0
	}
	us := strconv.FormatFloat(q.work*1e6, 'f', 0, 64)
	fields := []httpc.Field{{Name: "X-Correlation-Id", Value: id}, {Name: "X-Service-Class", Value: class.Name},
		{Name: "X-Time-Left-Ms", Value: strconv.FormatInt(left, 10)}, {Name: "X-Weight-Hint", Value: us}}
	if q.repeat {
		fields = append(fields, httpc.Field{Name: "X-Repeat", Value: "1"})
	}
	method, payload := http.MethodGet, []byte(nil)
	if class.Effect != "safe" {
		method, payload = http.MethodPost, []byte(`{"order":"`+id+`"}`)
	}
	text := httpc.Text(method, "/"+class.Name+"?work_us="+us, "backend.local", payload, fields...)
	// An answer within the slack is no answer to the client any more, but it keeps the rule.
	r := pool.Do(id, method, text, w.book.Start().Add(q.deadline+scenario.Slack))
	if r.Progress < httpc.Written {
		e.Kind = ledger.Unasked
		w.book.Add(e)
		return model.TryNotReached, 0
	}
	asked := e
	asked.Kind, asked.At = ledger.Asked, r.Written.Sub(w.book.Start())
	w.book.Add(asked)
	e.At = r.Ended.Sub(w.book.Start())
	e.Since = 0
	switch {
	case w.frozen(q.by):
		e.Kind = ledger.Left
		w.book.Add(e)
		return model.TryFailed, 0
	case r.Progress == httpc.Answered:
		e.Kind, e.Status, e.Note = ledger.Answered, r.Status, tokenOf(r.Body, id)
	case r.TimedOut:
		e.Kind = ledger.GaveUp
	default:
		e.Kind, e.Note = ledger.Broken, r.Err.Error()
	}
	w.book.Add(e)
	switch {
	case e.Kind == ledger.GaveUp, e.At > q.deadline:
		return model.TryTimedOut, 0
	case e.Kind == ledger.Broken:
		return model.TryFailed, 0
	case r.Status == 200:
		return model.TryServed, 0
	case r.Status == 503 || r.Status == 429:
		after, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		return model.TryRefused, time.Duration(after * float64(time.Second))
	}
	return model.TryFailed, 0
}
