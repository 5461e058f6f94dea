package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"kitewood/internal/guard"
	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

const (
	slowRequest = 2500 * time.Millisecond                       // a request that takes longer to come is given up, as is a connection without one
	idleFor     = 3 * time.Second                               // between two requests; clients ask once and keep their connections for good
	slowAnswer  = 5 * time.Second                               // an answer that the client does not take
	answerGrace = 25 * time.Millisecond                         // after the deadline the connection answers by itself
	maxAhead    = protocol.MaxHeadBytes + protocol.MaxBodyBytes // bytes kept of what a client sends before it has its answer
	goodbye     = 500 * time.Millisecond                        // how long the client may take to close its side
	oneRead     = 5 * time.Millisecond                          // reads this close together count as one
	makingRoom  = 50 * time.Millisecond                         // the same, where another client waits for its descriptor
)

// frontConn is one connection of a client. One goroutine serves it, and it alone ends it; others ask it to. While an
// operation is out that goroutine goes on reading: the client's leaving shows in nothing else. The answer wakes it by
// moving the time of its read.
type frontConn struct {
	front   *Server
	conn    net.Conn
	beyond  bool // beyond the budget: told that the sidecar is busy
	machine protocol.Parser
	ahead   []byte    // read, and not yet fed
	reads   []reading // when that was read, and the bytes fed last
	kept    int       // bytes read so far
	ending  bool      // it ends with the answer to what has been read, or now if that is nothing
	flooded bool      // more came than is kept: it ends with the next answer

	stage stage     // under front.mu, as are since and asked
	since time.Time // the stage, or the request that is coming, began then
	asked bool      // to end, to make room or because the sidecar stops
	known bool      // it has had its first mark

	reason closeReason // why it ends
	lastID string      // of the last request
	owes   bool        // a request was read whole, and its answer is not written

	op     *routing.Request // out, nil for none
	loop   *routing.Loop    // that op is out in
	answer chan routing.Answer
}

// reading is a time at which bytes were read, up to a place in all that came.
type reading struct {
	end int
	at  time.Time
}

// stage is what a connection is at.
type stage uint8

const (
	working stage = iota // its request is out or being answered
	silent               // nothing has ever come
	coming               // a part of a request has come
	resting              // between two requests
)

// serve runs the connection to its end.
func (c *frontConn) serve() {
	defer c.leave()
	buf := make([]byte, 4<<10)
	// A connection without a request has as long as a slow one: crowds that say nothing must not stay.
	at, since := silent, c.since
	until := since.Add(slowRequest)
	var begun time.Time // a request began to come
	promised := false   // a client that waits for it has been told to go on
	for {
		msg, err := c.next()
		if err != nil {
			c.because(closedBadRequest)
			c.refuse(err)
			return
		}
		if msg != nil {
			promised = false
			if !c.handle(msg, buf) {
				return
			}
			at, since = resting, time.Now()
			until = since.Add(idleFor)
			continue
		}
		if !c.machine.Idle() && at != coming {
			if at == resting {
				since = time.Now()
				until = since.Add(slowRequest)
			}
			at, begun = coming, time.Now()
		}
		if head := c.machine.Head(); head != nil && !promised && head.Header.Get("Expect") != "" {
			promised = true
			c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		if c.ending && peek(c.conn) != peekData {
			rest := begun.Add(tooSlow) // as much time as keeps a connection from being asked
			if at != coming || !time.Now().Before(rest) {
				c.because(closedAsked)
				c.bow(at) // nothing more has come, and what comes from here on is not taken
				return
			}
			if rest.Before(until) {
				until = rest
			}
		}
		// The time is set anew before each read: the wake-up of an answer may come after the answer itself was
		// seen, and must not end a later read. It is set before the mark: from that on the connection may be asked to
		// end, and that wake-up must not be lost.
		c.conn.SetReadDeadline(until)
		c.mark(at, since)
		n, err := c.conn.Read(buf)
		if c.mark(working, since) {
			if c.ending = true; n > 0 {
				c.stay() // what has been read is answered first: its client has sent it, and waits
			}
		}
		c.keep(buf[:n])
		switch {
		case n > 0 || err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !time.Now().Before(until) {
				if at == coming || peek(c.conn) != peekData {
					c.because(map[bool]closeReason{true: closedIdle, false: closedSlow}[at == resting])
					c.bow(at)
					return
				}
				until = time.Now().Add(slowRequest) // it came as the time ran out
			}
		default:
			if at == coming && errors.Is(err, io.EOF) {
				_, cut := c.machine.End()
				c.because(closedBadRequest)
				c.refuse(cut)
			}
			c.because(closedByClient)
			return
		}
	}
}

// bow ends a connection that owes no answer: its own side first, so that a request which crosses that is not reset, and
// is known by its client not to have been taken.
func (c *frontConn) bow(at stage) {
	switch {
	case at == coming:
		c.refuse(&protocol.Error{Status: 408, Reason: "the request took too long to come"})
	case at == resting || c.front.closing.Load():
		c.linger()
	}
}

// stay puts a connection that was asked to end back among those that can be: it has something to answer before it does,
// and others may end sooner.
func (c *frontConn) stay() {
	c.front.mu.Lock()
	c.asked = false
	c.front.live++
	c.front.mu.Unlock()
}

// keep keeps what has been read for its turn. A client that sends further ahead than any request is long gets no answer
// to that: the connection ends with the next one. Reading stops at nothing, or its leaving would not be seen.
func (c *frontConn) keep(p []byte) {
	if len(c.ahead)+len(p) > maxAhead {
		c.ending, c.flooded = true, true
		return
	}
	if len(p) == 0 {
		return
	}
	if len(c.ahead) == 0 { // what was read before is fed
		c.reads = c.reads[:0]
	}
	c.ahead = append(c.ahead, p...)
	c.kept += len(p)
	// Bytes that come singly share a time: what is told of the time left is then a little less, never more.
	if last := len(c.reads) - 1; last >= 0 && time.Since(c.reads[last].at) < oneRead {
		c.reads[last].end = c.kept
	} else {
		c.reads = append(c.reads, reading{c.kept, time.Now()})
	}
}

// came is when the last byte of the request was read that was fed last: a client's time counts from there, and what it sent
// ahead may have waited long for the answer before.
func (c *frontConn) came() time.Time {
	fed := c.kept - len(c.ahead)
	for len(c.reads) > 1 && c.reads[0].end < fed {
		c.reads = c.reads[1:]
	}
	return c.reads[0].at
}

// mark notes what the connection is at: where it is not working it may be asked to end, to make room or because the
// sidecar stops. It tells whether that has happened.
func (c *frontConn) mark(at stage, since time.Time) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.recognise()
	if c.stage, c.since = at, since; at != working {
		c.front.changed.Broadcast()
	}
	return c.asked
}

// recognise counts the connection as one that can be asked to end, or that has ended. front.mu is held.
func (c *frontConn) recognise() {
	if !c.known {
		c.known = true
		c.front.fresh--
	}
}

// next takes a request from what has come, nil while it is not whole.
func (c *frontConn) next() (*protocol.Message, error) {
	if len(c.ahead) == 0 {
		return nil, nil
	}
	used, msg, err := c.machine.Feed(c.ahead)
	if c.ahead = c.ahead[used:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return msg, err
}

// endsSoon tells whether the connection is to end once what has been read is answered.
func (c *frontConn) endsSoon() bool { return c.beyond || c.ending || c.front.closing.Load() }

// handle answers one request and tells whether the connection stays.
func (c *frontConn) handle(m *protocol.Message, buf []byte) bool {
	c.owes = true
	last := func() bool { return m.Close || c.flooded || c.endsSoon() && len(c.ahead) == 0 }
	if path, _, _ := strings.Cut(m.StartLine[1], "?"); path == "/health/ready" {
		r := protocol.LocalReply{Status: 200, Reason: "ready"}
		if m.StartLine[0] != "GET" {
			r = protocol.LocalReply{Status: 405, Allow: "GET", Reason: "this path wants GET"}
		} else if d := guard.MayStart(guard.StartFacts{Serving: c.front.serving.Load(), Stopping: c.front.draining.Load()}); d != nil {
			r = protocol.LocalReply{Status: 503, Reason: d.Reason}
		} else {
			c.front.checkReady(c.front.clock.Now() - time.Since(c.came()))
		}
		return c.reply(r, last())
	}
	to, figures, err := (*c.front.find.Load())(m)
	if err != nil {
		var e *protocol.Error
		errors.As(err, &e)
		return c.reply(protocol.LocalReply{Status: e.Status, Reason: e.Reason, Allow: e.Allow}, last())
	}
	if c.beyond {
		return c.reply(protocol.LocalReply{Status: 503, Reason: "busy: too many connections"}, last())
	}
	return c.operate(m, to, figures, buf, last)
}

// operate has an operation carried out and answers it.
func (c *frontConn) operate(m *protocol.Message, to *Backend, figures protocol.RequestMeta, buf []byte, last func() bool) bool {
	loop := to.Loop
	busy := protocol.LocalReply{Status: 503, RetryAfter: to.RetryAfter, Reason: "busy"}
	if to.Chain != nil {
		busy.ChainField = to.Chain.Field
	}
	var sent func()
	if to.Admission != nil {
		pass, ok := to.Admission.Admit(len(m.Body))
		if !ok {
			return c.reply(busy, last())
		}
		defer pass.Release()
		sent = pass.Sent
	}
	answer := make(chan routing.Answer, 1)
	c.answer = answer
	deadline := loop.Now() - time.Since(c.came()) + figures.TimeLeft
	var word func() (string, bool)
	if to.Chain != nil {
		visit, reply := to.Chain.enter(m, deadline, to.worth(figures.Class))
		if reply != nil {
			return c.reply(*reply, last())
		}
		defer to.Chain.end(visit)
		deadline, word = visit.Deadline, func() (string, bool) { return to.Chain.word(visit) }
	}
	if c.front.draining.Load() { // the process may be killed after that, and the operation lost
		deadline = min(deadline, time.Duration(c.front.until.Load()))
	}
	op := &routing.Request{Class: figures.Class, Deadline: deadline, CostHint: figures.CostHint,
		ClientRetry: figures.ClientRetry, Payload: m, Key: figures.ID, OnFirstSend: sent, Origin: to.origin(m), Header: word, ClientGone: func() bool { return peek(c.conn) == peekClosed }}
	c.lastID = figures.ID
	if op.ClientGone() { // it sent its request and went: nothing is begun for it
		c.because(closedMidRequest)
		return false
	}
	op.Done = func(a routing.Answer) {
		answer <- a                       // not c.answer: a late answer must not reach the next operation
		c.conn.SetReadDeadline(longAgo()) // wakes the read in wait
	}
	c.op, c.loop = op, loop
	if !loop.Submit(op) {
		c.op = nil
		return c.reply(busy, last())
	}
	a, here := c.wait(buf)
	c.op = nil
	if !here {
		c.because(closedMidRequest)
		loop.Abandon(op)
		return false
	}
	close := last()
	switch a.Verdict {
	case routing.Served:
		served := a.Payload.(*protocol.Message)
		return c.send(close, protocol.ResponseHead(served, close), served.Body)
	case routing.Rejected:
		busy.RetryAfter = a.RetryAfter
		return c.reply(busy, close)
	}
	if a.Verdict == routing.Duplicate {
		return c.reply(protocol.LocalReply{Status: 409, Reason: "a request with this id is open"}, close)
	}
	return c.reply(protocol.LocalReply{Status: 502, Reason: "failed"}, close)
}

// wait reads on until the answer is there, or tells that the client has left. Where the time is up and no answer has
// come, the operation has failed.
func (c *frontConn) wait(buf []byte) (routing.Answer, bool) {
	until := c.loop.At(c.op.Deadline + answerGrace)
	for time.Now().Before(until) {
		// First the time, then a look for the answer: one that comes after the look moves the time again.
		c.conn.SetReadDeadline(until)
		select {
		case a := <-c.answer:
			return a, true
		default:
		}
		n, err := c.conn.Read(buf)
		c.keep(buf[:n])
		if n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case a := <-c.answer: // the client may have closed only its own side
				return a, true
			default:
				return routing.Answer{}, false
			}
		}
	}
	c.loop.Abandon(c.op)
	select {
	case a := <-c.answer:
		return a, true
	default:
		return routing.Answer{Verdict: routing.Failed}, true
	}
}

// refuse answers what is not a request; where one ends is no longer known, so the connection ends too.
func (c *frontConn) refuse(err error) {
	var e *protocol.Error
	if errors.As(err, &e) {
		c.reply(protocol.LocalReply{Status: e.Status, Reason: e.Reason}, true)
	}
}

func (c *frontConn) reply(r protocol.LocalReply, last bool) bool {
	return c.send(last, r.Encode(last))
}

// send writes an answer and tells whether the connection stays.
func (c *frontConn) send(last bool, parts ...[]byte) bool {
	if !c.write(parts...) {
		c.because(closedWrite)
		return false
	}
	c.owes = false
	if last {
		c.because(closedLast)
		c.linger()
	}
	return !last
}

func (c *frontConn) write(parts ...[]byte) bool {
	c.conn.SetWriteDeadline(time.Now().Add(slowAnswer))
	text := net.Buffers(parts)
	_, err := text.WriteTo(c.conn)
	return err == nil
}

// linger lets the client read the answer: closing while it still sends would reset the connection under it. What it sends
// is not taken. The wake-up of an answer that was seen otherwise may come now, and is no reason to close.
func (c *frontConn) linger() {
	tcp, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	began := time.Now()
	buf := make([]byte, 4<<10)
	for left := 4 * protocol.MaxBodyBytes; ; {
		gone := time.Since(began)
		if gone >= goodbye || gone >= makingRoom && c.front.crowded.Load() {
			return
		}
		if left <= 0 { // a flood is not read for ever, but its answer has its time
			time.Sleep(makingRoom)
			continue
		}
		c.conn.SetReadDeadline(time.Now().Add(makingRoom))
		n, err := c.conn.Read(buf)
		if left -= n; n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// leave ends the connection. A panic stops here, and the operation that it met still gets its answer.
func (c *frontConn) leave() {
	if p := recover(); p != nil {
		c.because(closedPanic)
		c.front.log.Error("panic at a front connection", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		if c.op != nil {
			c.loop.Abandon(c.op)
		}
		c.reply(protocol.LocalReply{Status: 500, Reason: "failed"}, true)
	}
	c.settleDebt()
	c.noteEnd()
	c.conn.Close()
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.recognise()
	if !c.asked {
		c.front.live--
	}
	c.front.changed.Broadcast()
	c.front.mu.Unlock()
}
