package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Clients stands in for the clients of one sidecar. They send one request at a time on a connection, keep their connections, and open
// more when all are busy.
type Clients struct {
	rig     *Rig
	address string
	prefix  string
	fresh   bool // a new connection for each request

	mu      sync.Mutex
	idle    []*clientConn
	n       int
	results []*Result
	wait    sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// Result is a request and its answer.
type Result struct {
	ID           string
	Sent         time.Duration // its last byte was written
	TimeLeft     time.Duration
	Unsent       bool // no connection was made, or none on which it was read: not taken
	Answered     bool
	AnsweredAt   time.Duration
	Status       int
	Body, Reason string
}

// Class is a class of requests.
type Class struct {
	Name, Method string
	TimeLeft     time.Duration
}

// NewClients returns clients of a sidecar.
func (r *Rig) NewClients(address, prefix string) *Clients {
	return &Clients{rig: r, address: address, prefix: prefix}
}

// Send sends a request in the background.
func (c *Clients) Send(class Class) {
	c.mu.Lock()
	c.n++
	res := &Result{ID: fmt.Sprintf("%s%08x", c.prefix, c.n), TimeLeft: class.TimeLeft}
	c.results = append(c.results, res)
	c.mu.Unlock()
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.exchange(class, res)
		switch {
		case res.Unsent:
			c.rig.Log("client %s %s: not taken: %s", class.Name, res.ID, res.Reason)
		case res.Answered:
			c.rig.LogAt(res.AnsweredAt, "client %s %s, sent at %.3f: %d %s", class.Name, res.ID, res.Sent.Seconds(), res.Status, strings.TrimSpace(res.Body))
		default:
			c.rig.Log("client %s %s, sent at %.3f: NO ANSWER: %s", class.Name, res.ID, res.Sent.Seconds(), res.Reason)
		}
	}()
}

// Load sends requests of classes in turn at even intervals, for a time or until stop is closed.
func (c *Clients) Load(interval, length time.Duration, stop <-chan struct{}, classes ...Class) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			c.Send(classes[n%len(classes)])
		case <-stop:
			return
		case <-end:
			return
		}
	}
}

// Results waits for all requests and returns them.
func (c *Clients) Results() []*Result {
	c.wait.Wait()
	return c.results
}

func (c *Clients) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 || c.fresh {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// exchange sends a request on a kept connection, or on a new one. A request that crosses the end of a kept connection is sent once more on
// a new connection.
func (c *Clients) exchange(class Class, res *Result) {
	if conn := c.take(); conn != nil {
		if c.try(conn, class, res) || res.Answered {
			return
		}
	}
	raw, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		res.Unsent, res.Reason = true, res.Reason+"; "+err.Error()
		return
	}
	res.Unsent, res.Reason = false, ""
	c.try(&clientConn{raw, bufio.NewReader(raw)}, class, res)
}

// try sends a request on a connection. It returns false if the connection ended without a byte of an answer.
func (c *Clients) try(conn *clientConn, class Class, res *Result) bool {
	head := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\n",
		class.Method, class.Name, res.ID, class.Name, class.TimeLeft.Milliseconds())
	body := ""
	if class.Method == "POST" {
		body = "amount=1"
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	conn.SetDeadline(time.Now().Add(class.TimeLeft + 600*time.Millisecond))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		conn.Close()
		res.Unsent, res.Reason = true, err.Error()
		return false
	}
	res.Sent = c.rig.Now()
	if _, err := conn.in.Peek(1); err != nil {
		conn.Close()
		res.Reason = err.Error()
		return false
	}
	answer, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		conn.Close()
		res.Reason = err.Error()
		return true
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		conn.Close()
		res.Reason = err.Error()
		return true
	}
	res.Answered, res.AnsweredAt, res.Status, res.Body = true, c.rig.Now(), answer.StatusCode, string(text)
	if answer.Close {
		conn.Close()
		return true
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return true
}

// AwaitReady waits until a sidecar says that it is ready.
func AwaitReady(address string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		if r, err := client.Get("http://" + address + "/health/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", address)
}
