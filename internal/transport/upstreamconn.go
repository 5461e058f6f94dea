package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"kitewood/internal/protocol"
	"kitewood/internal/routing"
)

// exchange is one request sent over a connection, and its response.
type exchange struct {
	done        func(routing.Result)
	deadline    time.Time
	silentUntil time.Time // while a response has begun: when it counts as cut short unless more of it arrives; zero before
	probe       bool
	onConnect   func() // called before a new connection is opened for it

	mu         sync.Mutex
	progress   routing.Progress
	writing    bool
	writeDone  chan struct{} // closed when the write has returned
	writeAbort error         // the first error that occurred during the write
	finished   bool
	cleanup    func() bool // see onFinish
}

// finish reports the result of the exchange. Only the first call has an effect.
func (e *exchange) finish(r routing.Result) {
	e.mu.Lock()
	finished, cleanup := e.finished, e.cleanup
	e.finished = true
	e.mu.Unlock()
	if finished {
		return
	}
	if cleanup != nil {
		cleanup()
	}
	e.done(r)
}

// fail reports that the exchange ended without a response. While the request is being written the report is left to
// finishWrite: until the write has returned it is not known whether the request may have run.
func (e *exchange) fail(err error) {
	e.mu.Lock()
	if e.writing {
		if e.writeAbort == nil {
			e.writeAbort = err
		}
		e.mu.Unlock()
		return
	}
	progress := e.progress
	e.mu.Unlock()
	e.finish(routing.Result{Err: &routing.AttemptError{Progress: progress, Err: err}})
}

// beginWrite marks the request as being written.
func (e *exchange) beginWrite() {
	e.mu.Lock()
	e.writing, e.progress, e.writeDone = true, routing.PartlyWritten, make(chan struct{})
	e.mu.Unlock()
}

// noteWritten records that the last byte of the request has been written.
func (e *exchange) noteWritten() {
	e.mu.Lock()
	e.progress = max(e.progress, routing.FullyWritten)
	e.mu.Unlock()
}

// endWrite records the result of the write. It returns the error that ended the exchange during the write, else that of the write.
func (e *exchange) endWrite(err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing = false
	close(e.writeDone)
	if err == nil && e.progress < routing.FullyWritten {
		e.progress = routing.FullyWritten
	}
	if e.writeAbort != nil {
		return e.writeAbort
	}
	return err
}

// awaitWrite waits for a write in progress to be recorded as ended. A fast response can arrive before the goroutine that
// wrote the request has returned from its write. It would count as early, the connection would be closed without need, and
// the next request would have to open a new one.
func (e *exchange) awaitWrite() {
	e.mu.Lock()
	writing, writeDone := e.writing, e.writeDone
	e.mu.Unlock()
	if writing {
		select {
		case <-writeDone:
		case <-time.After(writeEndTimeout):
		}
	}
}

// writeEndTimeout is how long a response waits for the end of its request's write before it counts as early.
const writeEndTimeout = time.Second / 4

// noteResponse records that part of a response has arrived. It reports whether that was before the whole request was written.
func (e *exchange) noteResponse() (early bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.progress < routing.FullyWritten {
		return true
	}
	e.progress = routing.Answering
	return false
}

// maxResponseSilence bounds the time between two parts of a response. A broken response can be shorter than its declared length
// while the connection stays open: it is not waited for until the attempt's deadline.
const maxResponseSilence = 3 * time.Second / 4

// awaitMore records that a part of the response has arrived. Between an interim response and the next one the endpoint is at work.
func (e *exchange) awaitMore(now time.Time, betweenResponses bool) {
	if e.silentUntil = now.Add(maxResponseSilence); betweenResponses {
		e.silentUntil = time.Time{}
	}
}

// cutShort reports whether the response has begun and ends before the deadline if nothing more of it arrives.
func (e *exchange) cutShort() bool {
	return !e.silentUntil.IsZero() && e.silentUntil.Before(e.deadline)
}

// readDeadline returns until when the next part of the response is awaited.
func (e *exchange) readDeadline() time.Time {
	if e.cutShort() {
		return e.silentUntil
	}
	return e.deadline
}

// onFinish has f called when the exchange finishes, or now if it has already.
func (e *exchange) onFinish(f func() bool) {
	e.mu.Lock()
	finished := e.finished
	e.cleanup = f
	e.mu.Unlock()
	if finished {
		f()
	}
}

// upstreamConn is one connection to an endpoint. Its read loop runs for as long as it is open, so the end of an idle
// connection is detected at once.
type upstreamConn struct {
	pool      *ConnectionPool
	endpoint  *routing.Endpoint
	conn      net.Conn
	closeOnce sync.Once

	mu           sync.Mutex
	parser       protocol.Parser
	exchange     *exchange // in progress, nil while idle
	hasResponded bool      // at least one whole response has been received
	idleSince    time.Time
	closed       bool
}

// assign assigns an exchange to an idle connection and reports whether the connection is still usable. The peek detects that
// the peer has closed it, or sent bytes over it, before the read loop has run: a request written to such a connection would
// count as one that may have run, and the bytes would be taken for its response.
func (uc *upstreamConn) assign(e *exchange) bool {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	if uc.closed || uc.exchange != nil || peek(uc.conn) != peekNothing {
		uc.close()
		return false
	}
	uc.exchange = e
	uc.conn.SetReadDeadline(e.deadline)
	return true
}

// write writes the request of an exchange.
func (uc *upstreamConn) write(e *exchange, text net.Buffers) {
	uc.conn.SetWriteDeadline(e.deadline)
	e.beginWrite()
	missing := 0
	for _, part := range text {
		missing += len(part)
	}
	n, err := text.WriteTo(uc.conn)
	if missing -= int(n); missing == 0 { // the last byte is on its way: the request may run, whatever the write returned
		e.noteWritten()
	}
	uc.finishWrite(e, err)
}

// finishWrite handles the end of the write: it aborts the exchange if the write or the exchange failed.
func (uc *upstreamConn) finishWrite(e *exchange, err error) {
	if err := e.endWrite(err); err != nil {
		uc.abort(e, err)
	}
}

// release puts a connection over which nothing was sent back into the pool.
func (uc *upstreamConn) release(e *exchange) {
	uc.mu.Lock()
	assigned := uc.exchange == e
	if assigned {
		uc.markIdle()
	}
	uc.mu.Unlock()
	if assigned {
		uc.pool.putIdle(uc)
	}
}

// markIdle ends the current exchange's use of the connection and starts the idle timeout. uc.mu is held.
func (uc *upstreamConn) markIdle() {
	uc.exchange = nil
	uc.idleSince = time.Now()
	uc.conn.SetReadDeadline(uc.idleSince.Add(uc.pool.IdleTimeout))
}

// close closes the connection and frees its place in the limit. uc.mu is held.
func (uc *upstreamConn) close() {
	uc.closed = true
	uc.closeOnce.Do(func() {
		uc.conn.Close()
		uc.pool.ConnectionLimiter.Release()
	})
}

// abort ends an exchange without a response. The connection is closed first, so that no copy of the request is in flight
// when the failure is reported and a retry may follow.
func (uc *upstreamConn) abort(e *exchange, err error) {
	uc.mu.Lock()
	if uc.exchange == e {
		uc.exchange = nil
		uc.close()
	}
	uc.mu.Unlock()
	e.fail(err)
}

// readLoop reads from the connection until it is closed.
func (uc *upstreamConn) readLoop() {
	defer func() {
		if r := recover(); r != nil { // confined to this connection; the attempt fails according to its progress
			uc.pool.Log.Error("panic in the read loop of an upstream connection", "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
		}
		uc.mu.Lock()
		e := uc.exchange
		uc.exchange = nil
		uc.close()
		uc.mu.Unlock()
		uc.pool.removeIdle(uc)
		if e != nil {
			e.fail(errPanic)
		}
	}()
	buf := make([]byte, 4<<10)
	for {
		n, err := uc.conn.Read(buf)
		if e := uc.currentExchange(); e != nil && n > 0 {
			e.awaitWrite()
		}
		e, msg, err, reusable := uc.handleRead(buf[:n], err)
		switch {
		case msg != nil && reusable:
			uc.pool.putIdle(uc)
			e.finish(uc.pool.result(msg, e.probe))
		case msg != nil:
			e.finish(uc.pool.result(msg, e.probe))
		case err != nil:
			uc.abort(e, err)
		}
		if !reusable {
			return
		}
	}
}

// currentExchange returns the exchange in progress, nil while idle.
func (uc *upstreamConn) currentExchange() *exchange {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	return uc.exchange
}

// handleRead handles the bytes and the error of one read. It returns the exchange with the response or the error that ends
// it, and whether the connection stays open.
func (uc *upstreamConn) handleRead(p []byte, err error) (e *exchange, msg *protocol.Message, failure error, reusable bool) {
	uc.mu.Lock()
	defer uc.mu.Unlock()
	e = uc.exchange
	if e == nil { // idle: closed by the peer, idle timeout, or unsolicited bytes
		uc.close()
		return nil, nil, nil, false
	}
	used, early := 0, false
	if len(p) > 0 {
		early = e.noteResponse()
		if used, msg, failure = uc.parser.Feed(p); failure != nil {
			failure = fmt.Errorf("%w: %w", errInvalidResponse, failure)
		} else if early && (uc.hasResponded || msg != nil && msg.Status() == 200) {
			// Received before the whole request was written: the rest of an earlier response, or unsolicited.
			msg, failure = nil, fmt.Errorf("%w: received before the request was written", errInvalidResponse)
		} else if msg == nil && !early {
			e.awaitMore(time.Now(), uc.parser.Idle())
			uc.conn.SetReadDeadline(e.readDeadline())
		}
	}
	if msg == nil && failure == nil && err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(e.readDeadline()) {
			return e, nil, nil, true // the read deadline of the idle phase; the exchange has set its own meanwhile
		}
		failure = err
		if e.cutShort() && errors.Is(err, os.ErrDeadlineExceeded) {
			failure = fmt.Errorf("%w: truncated", errInvalidResponse)
		}
		if errors.Is(err, io.EOF) {
			if m, endErr := uc.parser.End(); endErr == nil {
				msg, failure = m, nil
			}
		}
	}
	if msg == nil {
		return e, nil, failure, failure == nil
	}
	uc.exchange, uc.hasResponded = nil, true
	if early || err != nil || used < len(p) || msg.Close {
		// After an early response, or with bytes after the response, the two sides may no longer agree on where a message
		// ends.
		uc.close()
		return e, msg, nil, false
	}
	uc.markIdle()
	return e, msg, nil, true
}
