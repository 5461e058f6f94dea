package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// NewID returns a new correlation id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// RequestText returns the text of a request as a client sends it.
func RequestText(c Class, id string, timeLeft time.Duration, body string) string {
	method, extra := "POST", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch c.Repeat {
	case "safe":
		method, extra, body = "GET", "", ""
	case "keyed":
		extra += "Idempotency-Key: " + NewID() + NewID() + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\n%s\r\n%s",
		method, c.Name, id, c.Name, timeLeft.Milliseconds(), extra, body)
}

// Outcome is what a client got for a request.
type Outcome struct {
	ID       string
	Class    string
	SentAt   time.Time // when its last byte was written
	Deadline time.Time
	Status   int       // 0 if the connection ended, or the client stopped to wait, without a whole answer
	EndedAt  time.Time // of the answer or the connection
	Ended    string    // how a connection without an answer ended: closed, reset, or silent at the end of the client's patience
	Body     string
	New      bool // it was sent on a new connection
}

// Client is one connection of a client, with one request at a time.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	dead   bool
	used   int // answers that came on it
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Local returns the address of the client.
func (c *Client) Local() string { return c.conn.LocalAddr().String() }

// Closes reports whether the last answer told that the connection closes, or the connection has ended.
func (c *Client) Closes() bool { return c.dead }

// Write sends text.
func (c *Client) Write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// Answer reads one answer into an outcome, until some time.
func (c *Client) Answer(o *Outcome, until time.Time) {
	c.conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	o.EndedAt = time.Now()
	if err == nil {
		o.Status, o.Body = resp.StatusCode, string(body)
		c.dead = c.dead || resp.Close
		c.used++
		return
	}
	c.dead = true
	var e net.Error
	switch {
	case errors.As(err, &e) && e.Timeout():
		o.Ended = "silent"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		o.Ended = "closed"
	case strings.Contains(err.Error(), "reset"):
		o.Ended = "reset"
	default:
		o.Ended = err.Error()
	}
}

// Pool holds idle connections of clients to one sidecar.
type Pool struct {
	Address string
	mu      sync.Mutex
	idle    []*Client
}

// Take returns an idle connection or a new one.
func (p *Pool) Take() (*Client, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return Dial(p.Address)
}

// Put gives a connection back.
func (p *Pool) Put(c *Client) {
	if c.dead {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// Patience is how long after its deadline a request may still get its final answer.
const Patience = 500 * time.Millisecond

// Slack is what the protocol page adds to each time limit on sockets.
const Slack = 50 * time.Millisecond

// Do sends one request and waits for its answer, and for Patience beyond its deadline. Where the close of a connection that was used
// before crosses the request, it is sent once more on a new connection, as the protocol page has it.
func (p *Pool) Do(r *Record, c Class, timeLeft time.Duration, body string) *Outcome {
	o := &Outcome{ID: NewID(), Class: c.Name, SentAt: time.Now()}
	o.Deadline = o.SentAt.Add(timeLeft)
	text := RequestText(c, o.ID, timeLeft, body)
	client, err := p.Take()
	for again := false; ; again = true {
		if err != nil {
			o.Ended, o.EndedAt = "not connected", time.Now()
			r.Line("noconn   id=%s class=%s error=%v", o.ID, c.Name, err)
			return o
		}
		kept, writtenAt := client.used > 0, time.Now()
		o.New = !kept
		r.Line("sent     id=%s class=%s from=%s after_answers=%d time_left_ms=%d again=%v", o.ID, c.Name, client.Local(), client.used, timeLeft.Milliseconds(), again)
		if err = client.Write(text); err == nil {
			client.Answer(o, o.Deadline.Add(Patience+Slack))
		} else {
			o.Ended, o.EndedAt, client.dead = "reset", time.Now(), true
		}
		if o.Status != 0 {
			r.LineAt(o.EndedAt, "answered id=%s status=%d after=%.3f", o.ID, o.Status, o.EndedAt.Sub(o.SentAt).Seconds())
			p.Put(client)
			return o
		}
		client.Close()
		r.LineAt(o.EndedAt, "NOANSWER id=%s connection=%s after=%.3f time_left=%.3f", o.ID, o.Ended, o.EndedAt.Sub(o.SentAt).Seconds(),
			o.Deadline.Sub(o.EndedAt).Seconds())
		if again || !kept || o.Ended == "silent" || o.EndedAt.Sub(writtenAt) > crossing {
			return o
		}
		client, err = Dial(p.Address)
	}
}

// crossing is how long after it was written the end of a connection may show that its close crossed the request.
const crossing = 100 * time.Millisecond
