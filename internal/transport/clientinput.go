package transport

import (
	"io"
	"os"
	"time"

	"kitewood/internal/protocol"
)

// This file holds how a client connection buffers and parses its input, and how it waits for the turns of an inputQueue.

// bufferRead buffers what has been read until it is parsed.
func (c *clientConn) bufferRead(p []byte) {
	if len(p) == 0 {
		return
	}
	if len(c.readAhead) == 0 { // all earlier bytes have been parsed
		c.readMarks = c.readMarks[:0]
	}
	size := cap(c.readAhead)
	if c.readAhead = append(c.readAhead, p...); cap(c.readAhead) > size {
		c.holdReadAhead(cap(c.readAhead))
	}
	c.bytesRead += len(p)
	arrived := c.arrivalTime()
	// Bytes that arrive one by one share a timestamp. The time left that is reported is then a little too short, never too long.
	if last := len(c.readMarks) - 1; last >= 0 && arrived.Sub(c.readMarks[last].at) < readMergeWindow {
		c.readMarks[last].offset = c.bytesRead
	} else {
		c.readMarks = append(c.readMarks, readMark{c.bytesRead, arrived})
	}
}

// holdReadAhead records how many bytes the connection's buffer takes of those that all connections may.
func (c *clientConn) holdReadAhead(size int) {
	c.server.readAheadBytes.Add(int64(size - c.readAheadSize))
	c.readAheadSize = size
}

// readsEnough reports whether so much was read ahead that no more is read while a response is pending. As long as the process has
// memory for it much is read: behind bytes that are left unread the client's disconnect cannot be seen.
func (c *clientConn) readsEnough() bool {
	n := len(c.readAhead)
	return n >= maxReadAhead || n >= minReadAhead && c.server.readAheadBytes.Load() >= c.server.maxReadAheadBytes.Load()
}

// awaitWithoutReading waits for the answer to the request in flight, for a moment at most, and leaves what the client sends to the
// system: it is read when the response is written. It returns io.EOF if the client is seen to have disconnected meanwhile.
func (c *clientConn) awaitWithoutReading(deadline time.Time) error {
	if c.unreadSince.IsZero() {
		c.unreadSince = time.Now()
	}
	c.noteEmpty(peek(c.conn) == peekNothing)
	timeout := time.NewTimer(min(time.Until(deadline), unreadCheckInterval))
	defer timeout.Stop()
	select {
	case <-timeout.C:
	case <-c.wake:
	}
	if clientGone(c.conn) {
		return io.EOF
	}
	return os.ErrDeadlineExceeded
}

// noteEmpty records whether a look at the connection has found nothing unread.
func (c *clientConn) noteEmpty(empty bool) {
	switch {
	case !empty:
		c.emptySince = time.Time{}
	case c.emptySince.IsZero():
		c.emptySince = time.Now()
	}
}

// noteRead records a read of n bytes into a buffer of some size. One that has not filled it has left nothing unread.
func (c *clientConn) noteRead(n, size int) {
	switch {
	case n == size:
		c.emptySince = time.Time{}
	case n > 0:
		c.emptySince = time.Now()
	}
}

// arrivalTime returns when the client may have sent what is read now. While reading is paused the client's system may hold back what
// the client has written; it counts as sent at the pause, until nothing has come for idleAfterPause.
func (c *clientConn) arrivalTime() time.Time {
	now := time.Now()
	if !c.emptySince.IsZero() && now.Sub(c.emptySince) > idleAfterPause {
		c.unreadSince = time.Time{}
	}
	if c.unreadSince.IsZero() {
		return now
	}
	return c.unreadSince
}

// requestReadAt returns when the last byte of the most recently parsed request was read. A client's deadline counts from there:
// a request that was sent ahead may have waited long for the response before it.
func (c *clientConn) requestReadAt() time.Time {
	parsed := c.bytesRead - len(c.readAhead)
	for len(c.readMarks) > 1 && c.readMarks[0].offset < parsed {
		c.readMarks = c.readMarks[1:]
	}
	return c.readMarks[0].at
}

// partialBegan returns when the first byte behind the most recently parsed request was read. The time that a request may take to
// arrive counts from there: its first part may have waited for the response before it.
func (c *clientConn) partialBegan() time.Time {
	for _, mark := range c.readMarks {
		if mark.offset > c.requestEnd {
			return mark.at
		}
	}
	return time.Now()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextRequest parses a request from the buffered bytes. It returns nil while the request is incomplete. Without credit it waits for
// a turn, in which it also reads what has arrived since.
func (c *clientConn) nextRequest(state clientState, since, readDeadline time.Time) (*protocol.Message, error) {
	if state == clientIdle && len(c.readAhead) > 0 {
		readDeadline = later(readDeadline, c.partialBegan().Add(requestReadTimeout))
	}
	for len(c.readAhead) > 0 || c.holdsTurn() && !c.readsNoMore && c.readInTurn() {
		if c.mayParse() {
			c.begun = true
			if msg, err := c.parsePiece(); msg != nil || err != nil {
				return msg, err
			}
			continue
		}
		class := turnContinue
		if !c.begun || c.closing {
			class = turnBegin
		}
		c.endTurn()
		granted, err := c.awaitTurn(class, since, readDeadline)
		if err != nil {
			return nil, err
		}
		if granted {
			c.begun = true
			c.beginTurn()
		}
	}
	return nil, nil
}

// mayParse reports whether the connection may parse now, by its turn, its credit or as a new connection.
func (c *clientConn) mayParse() bool {
	switch {
	case c.holdsTurn():
		return c.credit.steps > 0
	case !c.begun:
		return c.server.input.admitNew()
	}
	return c.credit.available() > 0
}

// holdsTurn reports whether the connection has the turn of the input queue.
func (c *clientConn) holdsTurn() bool { return !c.turnBegan.IsZero() }

// beginTurn records that the connection was granted a turn. All that it does until it waits for something belongs to the turn: the
// requests that it parses and the replies that reach no endpoint.
func (c *clientConn) beginTurn() {
	c.turnBegan = time.Now()
	c.credit.grantTurn()
}

// endTurn ends the connection's turn, if it has one, with what is left of the turn's credit.
func (c *clientConn) endTurn() {
	if c.holdsTurn() {
		c.server.input.release(c.turnBegan)
		c.turnBegan = time.Time{}
		c.credit.steps = min(c.credit.steps, 0)
	}
}

// readInTurn reads what has arrived, without waiting, and reports whether there was anything.
func (c *clientConn) readInTurn() bool {
	if peek(c.conn) != peekData {
		return false
	}
	buf := c.server.input.readBuffer()
	n, _ := c.conn.Read(buf) // the next read outside of a turn returns the error again
	c.credit.spendRead(n)
	c.bufferRead(buf[:n])
	c.noteRead(n, len(buf))
	return n > 0
}

// parsePiece parses as many of the buffered bytes as the credit allows.
func (c *clientConn) parsePiece() (*protocol.Message, error) {
	used, steps, msg, err := c.parser.FeedSome(c.readAhead, c.credit.available())
	c.credit.spend(steps)
	if c.readAhead = c.readAhead[used:]; len(c.readAhead) == 0 {
		c.readAhead = nil
		c.holdReadAhead(0)
	}
	if msg != nil {
		c.requestEnd = c.bytesRead - len(c.readAhead)
	}
	return msg, err
}

// readWhileWaiting reads from the connection while a request is in flight, unless enough was read ahead; without credit it waits for a
// turn first. It reports whether anything was read. It returns early with an error that is os.ErrDeadlineExceeded if the answer comes.
func (c *clientConn) readWhileWaiting(buf []byte, deadline time.Time) (bool, error) {
	if c.readsEnough() {
		return false, c.awaitWithoutReading(deadline)
	}
	if c.credit.available() > 0 {
		n, err := c.conn.Read(buf)
		c.credit.spendRead(n)
		c.bufferRead(buf[:n])
		c.noteRead(n, len(buf))
		return n > 0, err
	}
	if c.awaitTurnUntil(turnContinue, deadline) != turnGranted {
		return false, os.ErrDeadlineExceeded
	}
	defer c.server.input.release(time.Now())
	return c.server.input.readPending(c.conn, func(p []byte) bool {
		c.bufferRead(p)
		return !c.readsEnough()
	})
}

// discardPending waits until the deadline for something to read from the connection, or without credit for a turn, and discards what
// it reads. It reports whether anything was read.
func (c *clientConn) discardPending(buf []byte, deadline time.Time) (bool, error) {
	c.conn.SetReadDeadline(deadline)
	if c.credit.available() > 0 {
		n, err := c.conn.Read(buf)
		c.credit.spendRead(n)
		return n > 0, err
	}
	if c.awaitTurnUntil(turnContinue, deadline) != turnGranted {
		return false, os.ErrDeadlineExceeded
	}
	defer c.server.input.release(time.Now())
	return c.server.input.readPending(c.conn, func([]byte) bool { return true })
}

// awaitTurn waits for a turn and reports whether it was granted. It fails if the request is not received by the deadline, and if the
// connection is asked to close while it has a part of one. Whole requests that were read are answered before it closes.
func (c *clientConn) awaitTurn(class turnClass, since, deadline time.Time) (granted bool, err error) {
	select {
	case <-c.wake: // of an earlier request
	default:
	}
	partial := !c.parser.Idle()
	switch {
	case partial:
		c.setState(clientReading, since)
	case class == turnContinue:
		c.setState(clientQueued, since)
	}
	result := c.awaitTurnUntil(class, deadline)
	if c.setState(clientActive, since) {
		c.closing, c.readsNoMore = true, true
	}
	switch {
	case result == turnTimedOut:
		c.setCloseReason(closedRequestTimeout)
		return false, errRequestTimeout
	case partial && c.readsNoMore:
		c.setCloseReason(closedOnRequest)
		if result == turnGranted {
			c.server.input.release(time.Now())
		}
		return false, errRequestTimeout
	}
	return result == turnGranted, nil
}

// turnResult is the end of a wait for a turn.
type turnResult uint8

const (
	turnGranted turnResult = iota
	turnTimedOut
	turnWoken // by wakeUp
)

// awaitTurnUntil waits for a turn until a deadline or until the connection is woken up.
func (c *clientConn) awaitTurnUntil(class turnClass, deadline time.Time) turnResult {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	wait := c.server.input.enqueue(class)
	result := turnTimedOut
	select {
	case <-wait.granted:
		return turnGranted
	case <-timeout.C:
	case <-c.wake:
		result = turnWoken
	}
	c.server.input.cancel(wait)
	return result
}

// wakeUp ends the connection's wait for a turn.
func (c *clientConn) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// errRequestTimeout is the answer to a request that was not received in time.
var errRequestTimeout = &protocol.Error{Status: 408, Reason: "the request took too long to come"}
