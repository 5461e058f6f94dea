package directory

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"kitewood/internal/protocol"
)

const (
	heartbeatInterval = 2 * time.Second // a watch receives an empty line this often while nothing changes, as the protocol specifies
	writeTimeout      = 5 * time.Second // a connection is closed if a write takes longer
	idleTimeout       = time.Minute     // a connection without a request is closed after this
	maxConns          = 4096            // concurrent connections
	listPath          = "/registry/instances"
	retryAfter        = time.Second // Retry-After of a 503 reply
)

// Server serves one endpoint list. It is safe for concurrent use.
type Server struct {
	log *slog.Logger

	mu      sync.Mutex
	history *History
	changed chan struct{} // closed at the next publication
	conns   int
	watches int
}

// NewServer returns a Server without a list.
func NewServer(tag uint64, log *slog.Logger) *Server {
	return &Server{log: log, history: NewHistory(tag), changed: make(chan struct{})}
}

// Publish sends changed endpoints to all watches. It does not wait for them.
func (s *Server) Publish(now time.Time, changed []protocol.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.history.Publish(now.UnixMilli(), changed); err != nil {
		s.log.Error("cannot encode endpoint list", "error", err)
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watches returns the number of open watches.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.log.Error("cannot accept connection to discovery server", "error", err)
			select { // pause, as the cause may be a lack of file descriptors
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		if !s.acquireConn() {
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			conn.Write(protocol.LocalReply{Status: 503, RetryAfter: retryAfter, Reason: "too many connections"}.Encode(true))
			conn.Close()
			continue
		}
		go func() {
			defer s.releaseConn()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			defer func() { // a panic ends only this connection
				if p := recover(); p != nil {
					s.log.Error("panic in discovery connection", "panic", fmt.Sprint(p))
				}
			}()
			s.serveConn(conn)
		}()
	}
}

// acquireConn counts a new connection, or returns false if maxConns is reached.
func (s *Server) acquireConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= maxConns {
		return false
	}
	s.conns++
	return true
}

func (s *Server) releaseConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

// serveConn answers the requests of a connection one after the other.
func (s *Server) serveConn(conn net.Conn) {
	var parser protocol.Parser
	buf := make([]byte, 4<<10)
	var unread []byte
	for {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		if len(unread) == 0 {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			unread = buf[:n]
		}
		consumed, m, err := parser.Feed(unread)
		unread = unread[consumed:]
		var protocolErr *protocol.Error
		switch {
		case errors.As(err, &protocolErr):
			s.write(conn, protocol.LocalReply{Status: protocolErr.Status, Reason: protocolErr.Reason}.Encode(true))
			return
		case err != nil:
			return
		case m == nil:
			continue
		}
		reply, since, follow := s.respond(m)
		switch {
		case follow:
			s.serveWatch(conn, since)
			return
		case !s.write(conn, reply) || m.Close:
			return
		}
	}
}

// write writes data within writeTimeout and returns whether it succeeded.
func (s *Server) write(conn net.Conn, data []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(data)
	return err == nil
}

// respond returns the reply to a request. If the request starts a watch, it returns the version from which to watch instead, and
// follow is true.
func (s *Server) respond(m *protocol.Message) (reply []byte, since int64, follow bool) {
	reject := func(r protocol.LocalReply) ([]byte, int64, bool) { return r.Encode(m.Close), 0, false }
	m.ToOriginForm()
	target, err := url.ParseRequestURI(m.StartLine[1])
	if err != nil || target.Path != listPath {
		return reject(protocol.LocalReply{Status: 404, Reason: "here is " + listPath})
	}
	if m.StartLine[0] != "GET" {
		return reject(protocol.LocalReply{Status: 405, Allow: "GET", Reason: "the list is read by GET"})
	}
	query := target.Query()
	if value := query.Get("since"); value != "" {
		if since, err = strconv.ParseInt(value, 10, 64); err != nil {
			return reject(protocol.LocalReply{Status: 400, Reason: "since: a version is a whole number"})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Index() == 0 {
		return reject(protocol.LocalReply{Status: 503, RetryAfter: retryAfter, Reason: "the list is not known yet"})
	}
	if query.Get("follow") != "" {
		return nil, since, true
	}
	line, err := s.history.Snapshot()
	if err != nil {
		return reject(protocol.LocalReply{Status: 500, Reason: "the list cannot be written"})
	}
	connection := ""
	if m.Close {
		connection = "Connection: close\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s\n",
		connection, len(line)+1, line), 0, false
}

// linesSince returns the lines that update a list from a version to the current one, the current version, and a channel that is
// closed at the next publication.
func (s *Server) linesSince(since int64) (lines [][]byte, index int64, more chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, err = s.history.Since(since)
	return lines, s.history.Index(), s.changed, err
}

// appendChunk appends a line as a chunk of the response body. It does not copy the line, as a thousand watches may share a line
// of several megabytes.
func appendChunk(out net.Buffers, line []byte) net.Buffers {
	return append(out, fmt.Appendf(nil, "%x\r\n", len(line)+1), line, []byte("\n\r\n"))
}

// serveWatch writes changes to a watch until its connection ends. Watches do not delay each other: each reads the shared lines at
// its own pace, and a connection that accepts data too slowly is closed.
func (s *Server) serveWatch(conn net.Conn, since int64) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watches--
	}()
	ended := make(chan struct{})
	go func() { // any further input on the connection, or its end, ends the watch
		defer close(ended)
		conn.SetReadDeadline(time.Time{})
		conn.Read(make([]byte, 1))
	}()
	out := net.Buffers{[]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")}
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for first := true; ; first = false {
		lines, index, changed, err := s.linesSince(since)
		if err != nil {
			return
		}
		if first && len(lines) == 0 { // an empty update confirms at once that the list is up to date
			if empty, err := (protocol.EndpointList{Index: index}).Encode(); err == nil {
				lines = [][]byte{empty}
			}
		}
		for _, line := range lines {
			out = appendChunk(out, line)
		}
		since = index
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := out.WriteTo(conn); err != nil {
			return
		}
		out = nil
		timer.Reset(heartbeatInterval)
		select {
		case <-changed:
		case <-timer.C:
			out = appendChunk(out, nil)
		case <-ended:
			return
		}
	}
}
