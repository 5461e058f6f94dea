// Package httpc is an HTTP/1.1 client that behaves like the platform's clients: one request at a time on a connection,
// keep-alive, new connections when all are in use, and a timeout that closes the connection. It reports how far each request
// progressed and whether a connection received unsolicited data.
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

// Progress is how far a request had progressed when it ended.
type Progress uint8

// The stages of a request.
const (
	NotConnected     Progress = iota
	Connected                 // the request was not written completely
	RequestWritten            // the last byte has been written
	ResponseReceived          // a complete response was received
)

// Result describes how a request ended.
type Result struct {
	Progress      Progress
	Status        int
	Header        http.Header
	Body          []byte
	WrittenAt     time.Time // when the last byte was written; zero if it was not
	EndedAt       time.Time
	NewConnection bool // the request opened its connection
	Retried       bool // sent again on a new connection, as a reused one closed before any byte of the response
	TimedOut      bool
	Err           error
}

// Options configure a Pool.
type Options struct {
	Address        string
	TLS            *tls.Config // nil for plain TCP
	LocalAddr      net.Addr    // nil for any
	ConnectTimeout time.Duration
	OnUnsolicited  func(last string) // called with the id of the connection's last request when data follows its response
	MaxBody        int64             // bytes of a response body that are read; 0 for 1 MiB
}

// Pool holds the connections to one address.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// conn is a connection with the reader of its responses.
type conn struct {
	net.Conn
	reader *bufio.Reader
	lastID string // id of the last request
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.MaxBody == 0 {
		options.MaxBody = 1 << 20
	}
	return &Pool{options: options}
}

// Do sends one formatted request and reads its response. It gives up at the deadline by closing the connection. id identifies
// the request to Options.OnUnsolicited.
func (p *Pool) Do(id, method string, text []byte, deadline time.Time) Result {
	r, retry := p.attempt(id, method, text, deadline, false)
	if retry { // the server closed the idle connection before it read the request
		r, _ = p.attempt(id, method, text, deadline, true)
		r.Retried = true
	}
	r.EndedAt = time.Now()
	return r
}

// attempt sends a request once, on a new connection if fresh is set or none is idle. retry is true if a reused connection
// failed before any byte of the response, other than by timeout.
func (p *Pool) attempt(id, method string, text []byte, deadline time.Time, fresh bool) (r Result, retry bool) {
	c := (*conn)(nil)
	if !fresh {
		c = p.takeIdle()
	}
	if r.NewConnection = c == nil; r.NewConnection {
		if c, r.Err = p.dial(deadline); r.Err != nil {
			r.TimedOut = !time.Now().Before(deadline)
			return r, false
		}
	}
	r.Progress, c.lastID = Connected, id
	keep := false
	defer func() {
		if keep {
			p.release(c)
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
	if _, r.Err = c.reader.Peek(1); r.Err != nil {
		r.TimedOut = isTimeout(r.Err)
		return r, !r.NewConnection && !r.TimedOut
	}
	resp, err := p.read(c, method, &r)
	if err != nil {
		r.Err, r.TimedOut = err, isTimeout(err)
		return r, false
	}
	r.Progress = ResponseReceived
	keep = !resp.Close
	return r, false
}

// read reads a response and skips interim ones. It sets the status, header and body of r if the response is complete.
func (p *Pool) read(c *conn, method string, r *Result) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, p.options.MaxBody))
		resp.Body.Close()
		if err == nil { // an incomplete response has no status
			r.Status, r.Header, r.Body = resp.StatusCode, resp.Header, body
		}
		return resp, err
	}
}

// dial opens a connection before the deadline and within the connect timeout.
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
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, 4096)}, nil
}

// HasIdle reports whether there is an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// takeIdle removes and returns the most recently used idle connection that is still usable, or nil.
func (p *Pool) takeIdle() *conn {
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if !p.unusable(c) {
			return c
		}
		c.Close()
	}
}

// unusable reports whether an idle connection was closed or received unsolicited data. It calls OnUnsolicited for the latter.
func (p *Pool) unusable(c *conn) bool {
	data, closed := c.reader.Buffered() > 0, false
	if !data {
		data, closed = peek(c.Conn)
	}
	if data && p.options.OnUnsolicited != nil {
		p.options.OnUnsolicited(c.lastID)
	}
	return data || closed
}

// release returns a connection to the pool, or closes it if it is unusable or the pool is closed.
func (p *Pool) release(c *conn) {
	if p.unusable(c) {
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

// Close closes the idle connections, after a last check of each for unsolicited data.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.unusable(c)
		c.Close()
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// HeaderField is a header field of a request.
type HeaderField struct{ Name, Value string }

// FormatRequest formats a request for Pool.Do.
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
