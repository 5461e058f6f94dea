// Package httpc is an HTTP/1.1 client as the platform's clients are: a request at a time on a connection, connections
// kept, further ones opened when all are busy, a time-out that closes the connection. It tells how far each request had
// come, and what came on a connection when nothing was owed.
package httpc

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Progress is how far a request had come when it ended.
type Progress uint8

// The stages of a request.
const (
	NotConnected     Progress = iota
	Connected                 // not written whole
	RequestWritten            // the last byte is out
	ResponseReceived          // a whole answer came
)

// Result is how a request ended.
type Result struct {
	Progress      Progress
	Status        int
	Header        http.Header
	Body          []byte
	WrittenAt     time.Time // the last byte went out; zero if it did not
	EndedAt       time.Time
	NewConnection bool // on a connection of its own making
	Retried       bool // went out once more, on a new connection, as the old one closed before any of the answer
	TimedOut      bool
	Err           error
}

// Options say how a pool connects.
type Options struct {
	Address        string
	TLS            *tls.Config // nil for plain TCP
	LocalAddr      net.Addr    // local address, nil for any
	ConnectTimeout time.Duration
	OnUnsolicited  func(last string) // bytes came after the answer to the request that was last on the connection
	MaxBody        int64
}

// Pool holds the connections to one address.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

type conn struct {
	net.Conn
	in   *bufio.Reader
	last string // id of the last request
}

// NewPool makes an empty pool.
func NewPool(options Options) *Pool {
	if options.MaxBody == 0 {
		options.MaxBody = 1 << 20
	}
	return &Pool{options: options}
}

// Do sends one request, whose text is ready, and reads its answer. It gives up at the deadline by closing the
// connection. id names the request for Options.Extra.
func (p *Pool) Do(id, method string, text []byte, deadline time.Time) Result {
	r, crossed := p.once(id, method, text, deadline, false)
	if crossed { // the server closed between requests: the one it has not read goes out once more
		r, _ = p.once(id, method, text, deadline, true)
		r.Retried = true
	}
	r.EndedAt = time.Now()
	return r
}

func (p *Pool) once(id, method string, text []byte, deadline time.Time, fresh bool) (r Result, crossed bool) {
	c := (*conn)(nil)
	if !fresh {
		c = p.take()
	}
	if r.NewConnection = c == nil; r.NewConnection {
		if c, r.Err = p.dial(deadline); r.Err != nil {
			r.TimedOut = !time.Now().Before(deadline)
			return r, false
		}
	}
	r.Progress, c.last = Connected, id
	keep := false
	defer func() {
		if keep {
			p.put(c)
		} else {
			c.Close()
		}
	}()
	c.SetDeadline(deadline)
	if _, r.Err = c.Write(text); r.Err != nil {
		r.TimedOut = isTimeout(r.Err)
		return r, !r.NewConnection && !r.TimedOut
	}
	r.Progress, r.WrittenAt = RequestWritten, time.Now()
	if _, r.Err = c.in.Peek(1); r.Err != nil {
		r.TimedOut = isTimeout(r.Err)
		return r, !r.NewConnection && !r.TimedOut
	}
	answer, err := p.read(c, method, &r)
	if err != nil {
		r.Err, r.TimedOut = err, isTimeout(err)
		return r, false
	}
	r.Progress = ResponseReceived
	keep = !answer.Close
	return r, false
}

func (p *Pool) read(c *conn, method string, r *Result) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(answer.Body, p.options.MaxBody))
		answer.Body.Close()
		if err == nil { // half an answer has no status
			r.Status, r.Header, r.Body = answer.StatusCode, answer.Header, body
		}
		return answer, err
	}
}

func (p *Pool) dial(deadline time.Time) (*conn, error) {
	limit := deadline
	if t := p.options.ConnectTimeout; t > 0 {
		if at := time.Now().Add(t); at.Before(limit) {
			limit = at
		}
	}
	d := net.Dialer{Deadline: limit, LocalAddr: p.options.LocalAddr}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	raw, err := d.DialContext(ctx, "tcp", p.options.Address)
	if err != nil {
		return nil, err
	}
	if p.options.TLS != nil {
		secure := tls.Client(raw, p.options.TLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		raw = secure
	}
	return &conn{Conn: raw, in: bufio.NewReaderSize(raw, 4096)}, nil
}

// Rests tells whether a connection rests that may be used for the next request.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// take hands out the connection that was used last, if it still stands.
func (p *Pool) take() *conn {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if !p.spent(c) {
			return c
		}
		c.Close()
	}
}

// spent tells whether a connection without a request is closed, or has brought something that nobody asked for.
func (p *Pool) spent(c *conn) bool {
	more, ended := c.in.Buffered() > 0, false
	if !more {
		more, ended = pending(c.Conn)
	}
	if more && p.options.OnUnsolicited != nil {
		p.options.OnUnsolicited(c.last)
	}
	return more || ended
}

func (p *Pool) put(c *conn) {
	if p.spent(c) {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close ends the idle connections, after a last look at each for what nobody asked for.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.spent(c)
		c.Close()
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Field is one header field of a request.
type HeaderField struct{ Name, Value string }

// Text writes a request.
func FormatRequest(method, target, host string, body []byte, fields ...HeaderField) []byte {
	var b bytes.Buffer
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for _, f := range fields {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut {
		b.WriteString("Content-Length: " + itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
