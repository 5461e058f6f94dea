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
	requestReadTimeout   = 2500 * time.Millisecond // to receive a request, from its first byte or from the accept
	clientIdleTimeout    = 3 * time.Second         // between two requests: many clients send one and never close
	responseWriteTimeout = 5 * time.Second         // to write a response to a client that does not read it
	turnWriteTimeout     = time.Millisecond        // to write a response within a turn of the input queue
	deadlineGrace        = 25 * time.Millisecond   // after a request's deadline, before the connection answers by itself
	minReadAhead         = 16 << 10                // bytes that each connection may buffer while a response is pending, and one read more
	maxReadAhead         = 512 << 10               // bytes that one may buffer while all together are within their limit
	unreadCheckInterval  = 25 * time.Millisecond   // between looks at a client whose input is left unread
	idleAfterPause       = 100 * time.Millisecond  // without input: the client has written nothing that is still unread
	lingerTimeout        = 500 * time.Millisecond  // for the client to close its side
	readMergeWindow      = 5 * time.Millisecond    // reads within it share a timestamp
	shortLingerTimeout   = 50 * time.Millisecond   // replaces lingerTimeout while another client, or the end of the process, waits for it
)

// clientConn is one client connection. A single goroutine serves and closes it; others may only ask it to close. While a
// request is in flight that goroutine keeps reading, as nothing else shows that the client has disconnected. The answer wakes it
// up by moving its read deadline into the past.
type clientConn struct {
	server        *Server
	conn          net.Conn
	overBudget    bool // accepted beyond the budget: its requests are answered "busy"
	parser        protocol.Parser
	readAhead     []byte     // read from the connection and not yet parsed
	readMarks     []readMark // when the bytes of readAhead, and those parsed last, were read
	bytesRead     int        // in total
	requestEnd    int        // offset behind the most recently parsed request
	closing       bool       // the connection closes once all that was read is answered
	readsNoMore   bool       // it closes without another read
	readAheadSize int        // bytes counted for the buffer of readAhead
	unreadSince   time.Time  // when reading was paused, if bytes from then on may be unread; zero for none
	emptySince    time.Time  // since when nothing was unread; zero if there was something
	begun         bool       // something that it sent was parsed
	credit        credit     // for the work that its input causes
	turnBegan     time.Time  // when its turn of the input queue began; zero while it has none

	state          clientState // guarded by server.mu, as are since, closeRequested and closable
	since          time.Time   // when the state, or the request being received, began
	closeRequested bool        // asked to close, to free a descriptor or because the sidecar stops
	closable       bool        // may be asked to close: it has come to its first read

	wake chan struct{} // ends the wait for a turn: the connection was asked to close, or its request to be answered

	reason          closeReason // why it closes
	lastID          string      // of the last request
	responsePending bool        // a request was received and its response is not written

	request *routing.Request // in flight, nil for none
	loop    *routing.Loop    // that handles request
	answer  chan routing.Answer
}

// readMark records when the bytes of the connection up to an offset were read.
type readMark struct {
	offset int
	at     time.Time
}

// clientState is the state of a client connection. Except for clientActive, requestClose prefers the lower values.
type clientState uint8

const (
	clientActive  clientState = iota // a request is in flight or being answered
	clientQueued                     // requests were received, and their sender has used up its credit
	clientNew                        // nothing has been received yet
	clientReading                    // a part of a request has been received
	clientIdle                       // between two requests
)

// serve handles the requests of the connection until it closes.
func (c *clientConn) serve() {
	defer c.finish()
	buf := make([]byte, 4<<10)
	// A connection without a request has the same time as a slow request, so that masses of silent connections are closed.
	state, since := clientNew, c.since
	readDeadline := since.Add(requestReadTimeout)
	var requestBegan time.Time // when the first bytes of a request arrived
	continued := false         // the client was sent "100 Continue"
	for {
		msg, err := c.nextRequest(state, since, readDeadline)
		if err != nil {
			c.setCloseReason(closedBadRequest)
			c.replyError(err)
			return
		}
		if msg != nil {
			continued = false
			if !c.handle(msg, buf) {
				return
			}
			state, since = clientIdle, time.Now()
			readDeadline = since.Add(clientIdleTimeout)
			continue
		}
		if !c.parser.Idle() && state != clientReading {
			if state == clientIdle {
				if since = c.partialBegan(); !c.unreadSince.IsZero() { // its sender may have waited for the pause to end
					since = time.Now()
				}
				readDeadline = later(since.Add(requestReadTimeout), time.Now().Add(partialRequestGrace))
			}
			state, requestBegan = clientReading, time.Now()
		}
		if head := c.parser.Head(); head != nil && !continued && head.Header.Get("Expect") != "" {
			continued = true
			if !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) { // a response would follow the torn half of this one
				c.setCloseReason(closedWriteFailed)
				return
			}
		}
		if c.closing && (c.readsNoMore || peek(c.conn) != peekData) {
			// A partial request gets as much time as in requestClose.
			graceEnd := requestBegan.Add(partialRequestGrace)
			if state != clientReading || c.readsNoMore || !time.Now().Before(graceEnd) {
				c.setCloseReason(closedOnRequest)
				c.closeGracefully(state) // nothing further has been received, and what arrives from here on is not read as a request
				return
			}
			if graceEnd.Before(readDeadline) {
				readDeadline = graceEnd
			}
		}
		// The deadline is set anew before each read: the wake-up of an answer may come after the answer itself was
		// seen, and must not end a later read. It is set before the state: from then on the connection may be asked to
		// close, and that wake-up must not be lost.
		c.endTurn()
		c.conn.SetReadDeadline(readDeadline)
		c.setState(state, since)
		n, err := c.conn.Read(buf)
		if c.setState(clientActive, since) {
			if c.closing = true; n > 0 {
				c.drainPending() // what has been read is answered first, as the client waits for it
			}
		}
		c.credit.spendRead(n)
		c.bufferRead(buf[:n])
		c.noteRead(n, len(buf))
		switch {
		case n > 0 || err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !time.Now().Before(readDeadline) {
				if state == clientReading || peek(c.conn) != peekData {
					c.setCloseReason(map[bool]closeReason{true: closedIdleTimeout, false: closedRequestTimeout}[state == clientIdle])
					c.closeGracefully(state)
					return
				}
				readDeadline = time.Now().Add(requestReadTimeout) // a request arrived just as the time ran out
			}
		default:
			if state == clientReading && errors.Is(err, io.EOF) {
				_, truncated := c.parser.End()
				c.setCloseReason(closedBadRequest)
				c.replyError(truncated)
			}
			c.setCloseReason(closedByClient)
			return
		}
	}
}

// closeGracefully closes a connection without a pending response. It closes the write side first: a request that crosses the
// close on the wire is then not reset, and its client knows that it was not processed.
func (c *clientConn) closeGracefully(state clientState) {
	switch {
	case state == clientReading:
		c.replyError(errRequestTimeout)
	case state == clientIdle || c.server.closing.Load():
		c.lingeringClose()
	}
}

// drainPending makes a connection that was asked to close count as open again: it has a request to answer before it closes, and
// other connections may close sooner.
func (c *clientConn) drainPending() {
	c.server.mu.Lock()
	c.closeRequested = false
	c.server.openConns++
	c.server.mu.Unlock()
}

// setState records the state of the connection and reports whether it has been asked to close, which can happen in every state
// but clientActive.
func (c *clientConn) setState(state clientState, since time.Time) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.markClosable()
	if c.state, c.since = state, since; state != clientActive {
		c.server.changed.Broadcast()
	}
	return c.closeRequested
}

// markClosable removes the connection from the count of those that cannot be asked to close yet. server.mu is held.
func (c *clientConn) markClosable() {
	if !c.closable {
		c.closable = true
		c.server.notClosable--
	}
}

// closesSoon reports whether the connection is to close once all that has been read is answered.
func (c *clientConn) closesSoon() bool { return c.overBudget || c.closing || c.server.closing.Load() }

// handle answers one request and reports whether the connection stays open.
func (c *clientConn) handle(m *protocol.Message, buf []byte) bool {
	c.responsePending = true
	last := func() bool { return m.Close || c.closesSoon() && len(c.readAhead) == 0 }
	if path, _, _ := strings.Cut(m.StartLine[1], "?"); path == "/health/ready" {
		r := protocol.LocalReply{Status: 200, Reason: "ready"}
		if m.StartLine[0] != "GET" {
			r = protocol.LocalReply{Status: 405, Allow: "GET", Reason: "this path wants GET"}
		} else if d := guard.MayStart(guard.StartFacts{Serving: c.server.serving.Load(), Stopping: c.server.draining.Load()}); d != nil {
			r = protocol.LocalReply{Status: 503, Reason: d.Reason}
		} else {
			c.server.checkReady(c.server.clock.Now() - time.Since(c.requestReadAt()))
		}
		return c.reply(r, last())
	}
	backend, meta, err := (*c.server.router.Load())(m)
	if err != nil {
		var e *protocol.Error
		errors.As(err, &e)
		return c.reply(protocol.LocalReply{Status: e.Status, Reason: e.Reason, Allow: e.Allow}, last())
	}
	if c.overBudget {
		return c.reply(protocol.LocalReply{Status: 503, Reason: "busy: too many connections"}, last())
	}
	return c.forward(m, backend, meta, buf, last)
}

// forward sends a request to its backend and answers the client. It reports whether the connection stays open.
func (c *clientConn) forward(m *protocol.Message, backend *Backend, meta protocol.RequestMeta, buf []byte, last func() bool) bool {
	loop := backend.Loop
	busy := protocol.LocalReply{Status: 503, RetryAfter: backend.RetryAfter, Reason: "busy"}
	if backend.Chain != nil {
		busy.ChainField = backend.Chain.HeaderName
	}
	var sent func()
	if backend.Admission != nil {
		admission, ok := backend.Admission.Admit(len(m.Body))
		if !ok {
			return c.reply(busy, last())
		}
		defer admission.Release()
		sent = admission.Sent
	}
	answer := make(chan routing.Answer, 1)
	c.answer = answer
	deadline := loop.Now() - time.Since(c.requestReadAt()) + meta.TimeLeft
	var nextHeader func() (string, bool)
	if backend.Chain != nil {
		entry, reply := backend.Chain.begin(m, deadline, backend.utility(meta.Class))
		if reply != nil {
			return c.reply(*reply, last())
		}
		defer backend.Chain.end(entry)
		deadline, nextHeader = entry.Deadline, func() (string, bool) { return backend.Chain.nextHeader(entry) }
	}
	if c.server.stoppedBefore(c.requestReadAt()) { // the process may be killed after that, and the request lost
		deadline = min(deadline, time.Duration(c.server.drainDeadline.Load()))
	}
	req := &routing.Request{Class: meta.Class, Deadline: deadline, CostHint: meta.CostHint,
		ClientRetry: meta.ClientRetry, Payload: m, Key: meta.ID, OnFirstSend: sent, Origin: backend.originHash(m), Header: nextHeader, ClientGone: func() bool { return clientGone(c.conn) }}
	c.lastID = meta.ID
	if req.ClientGone() { // the client has disconnected: nothing is started for it
		c.setCloseReason(closedMidRequest)
		return false
	}
	req.Done = func(a routing.Answer) {
		answer <- a                            // not c.answer: a late answer must not reach the next request
		c.conn.SetReadDeadline(pastDeadline()) // wakes up the read in awaitAnswer
		c.wakeUp()
	}
	c.endTurn()
	c.request, c.loop = req, loop
	c.server.addOpenRequests(1)
	defer c.server.addOpenRequests(-1)
	if !loop.Submit(req) {
		c.request = nil
		return c.reply(busy, last())
	}
	a, connected := c.awaitAnswer(buf)
	c.request = nil
	if !connected {
		c.setCloseReason(closedMidRequest)
		loop.Abandon(req)
		return false
	}
	close := last()
	switch a.Verdict {
	case routing.Served:
		c.credit.refill() // the time that an endpoint takes bounds what such requests cost
		served := a.Payload.(*protocol.Message)
		open := c.send(close, protocol.ResponseHead(served, close), served.Body)
		if c.reason == closedWriteFailed {
			loop.AnswerLost(req)
		}
		return open
	case routing.Rejected:
		busy.RetryAfter = a.RetryAfter
		return c.reply(busy, close)
	}
	if a.Verdict == routing.Duplicate {
		return c.reply(protocol.LocalReply{Status: 409, Reason: "a request with this id is open"}, close)
	}
	return c.reply(protocol.LocalReply{Status: 502, Reason: "failed"}, close)
}

// awaitAnswer keeps reading until the answer to the request is there; it returns false if the client disconnects first. If there
// is no answer shortly after the deadline, the request has failed.
func (c *clientConn) awaitAnswer(buf []byte) (routing.Answer, bool) {
	for {
		readDeadline := c.answerDeadline()
		// The deadline is set before the answer is looked for: an answer that comes later moves the deadline again.
		c.conn.SetReadDeadline(readDeadline)
		select {
		case a := <-c.answer:
			return a, true
		default:
		}
		if c.server.expired.Load() || !time.Now().Before(readDeadline) {
			break
		}
		read, err := c.readWhileWaiting(buf, readDeadline)
		if !read && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case a := <-c.answer: // the client may have closed only its write side
				return a, true
			default:
				return routing.Answer{}, false
			}
		}
	}
	c.loop.Abandon(c.request)
	select {
	case a := <-c.answer:
		return a, true
	default:
		return routing.Answer{Verdict: routing.Failed}, true
	}
}

// answerDeadline returns when the connection answers its request by itself. A request that was received before the sidecar was asked
// to stop keeps its deadline, unless bytes that came since wait behind it: these must be answered before the process may be killed.
func (c *clientConn) answerDeadline() time.Time {
	deadline := c.request.Deadline
	if n := len(c.readMarks); n > 0 && len(c.readAhead) > 0 && c.server.stoppedBefore(c.readMarks[n-1].at) {
		deadline = min(deadline, time.Duration(c.server.drainDeadline.Load()))
	}
	return c.loop.At(deadline + deadlineGrace)
}

// replyError answers data that is not a valid request. As the end of that request is not known, the connection closes.
func (c *clientConn) replyError(err error) {
	var e *protocol.Error
	if errors.As(err, &e) {
		c.reply(protocol.LocalReply{Status: e.Status, Reason: e.Reason}, true)
	}
}

// reply writes a response of the sidecar's own and reports whether the connection stays open.
func (c *clientConn) reply(r protocol.LocalReply, last bool) bool {
	c.credit.spend(stepsPerReply)
	return c.send(last, r.Encode(last))
}

// send writes a response and reports whether the connection stays open.
func (c *clientConn) send(last bool, parts ...[]byte) bool {
	if !c.write(parts...) {
		c.setCloseReason(closedWriteFailed)
		return false
	}
	c.responsePending = false
	if last {
		c.setCloseReason(closedLastResponse)
		c.lingeringClose()
	}
	return !last
}

// write reports whether all parts were written in time. A turn ends if the client does not take them at once.
func (c *clientConn) write(parts ...[]byte) bool {
	text := net.Buffers(parts)
	if c.holdsTurn() {
		c.conn.SetWriteDeadline(time.Now().Add(turnWriteTimeout))
		_, err := text.WriteTo(c.conn)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err == nil
		}
		c.endTurn() // and text has what is left to write
	}
	c.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := text.WriteTo(c.conn)
	return err == nil
}

// lingeringClose closes the write side and lets the client read the response: closing both sides while the client still sends
// would reset the connection and lose it. What the client sends is discarded, without credit in turns. The wake-up of an answer that
// was already seen may come now, and is no reason to close.
func (c *clientConn) lingeringClose() {
	tcp, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	c.markClosing()
	c.endTurn()
	began := time.Now()
	buf := make([]byte, 4<<10)
	for {
		elapsed := time.Since(began)
		if elapsed >= lingerTimeout || elapsed >= shortLingerTimeout && (c.server.descriptorWanted.Load() || c.server.drainOverdue()) {
			return
		}
		read, err := c.discardPending(buf, time.Now().Add(shortLingerTimeout))
		if !read && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// markClosing makes the connection count as one that was asked to close: its descriptor is free soon.
func (c *clientConn) markClosing() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.closeRequested {
		c.closeRequested = true
		c.server.openConns--
	}
}

// finish closes the connection. It recovers from a panic of its goroutine; a request that was in flight is still answered.
func (c *clientConn) finish() {
	if p := recover(); p != nil {
		c.setCloseReason(closedPanic)
		c.server.log.Error("panic while serving a client connection", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		if c.request != nil {
			c.loop.Abandon(c.request)
		}
		c.reply(protocol.LocalReply{Status: 500, Reason: "failed"}, true)
	}
	c.answerPending()
	c.endTurn()
	c.recordClose()
	c.holdReadAhead(0)
	c.conn.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.markClosable()
	if !c.closeRequested {
		c.server.openConns--
	}
	c.server.changed.Broadcast()
	c.server.mu.Unlock()
}
