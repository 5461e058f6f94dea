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
	beat      = 2 * time.Second // a watch gets an empty line this often while nothing changes: the protocol's figure
	writing   = 5 * time.Second // a reader that takes a line in no more than this stays
	resting   = time.Minute     // a connection without a call is closed after this
	most      = 4096            // connections at a time
	path      = "/registry/instances"
	comeAgain = time.Second // advice to who asks before the list is known
)

// Server offers one list. Any goroutine may call it.
type Server struct {
	log *slog.Logger

	mu      sync.Mutex
	history *History
	changed chan struct{} // closed at the next publication
	conns   int
	watches int
}

// NewServer returns a Server that knows no list yet.
func NewServer(tag uint64, log *slog.Logger) *Server {
	return &Server{log: log, history: NewHistory(tag), changed: make(chan struct{})}
}

// Publish tells all watches what changed. It waits for none of them.
func (s *Server) Publish(now time.Time, changed []protocol.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.history.Publish(now.UnixMilli(), changed); err != nil {
		s.log.Error("the list cannot be written", "error", err)
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watches tells how many watches are open.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Serve takes connections until the context ends.
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
			s.log.Error("discovery's listener", "error", err)
			select { // a lack of descriptors, say
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		if !s.enter() {
			conn.SetWriteDeadline(time.Now().Add(writing))
			conn.Write(protocol.LocalReply{Status: 503, RetryAfter: comeAgain, Reason: "too many connections"}.Encode(true))
			conn.Close()
			continue
		}
		go func() {
			defer s.leave()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			defer func() { // a panic ends the connection alone
				if p := recover(); p != nil {
					s.log.Error("panic at a watcher", "panic", fmt.Sprint(p))
				}
			}()
			s.converse(conn)
		}()
	}
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns >= most {
		return false
	}
	s.conns++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns--
}

// converse answers one call after another.
func (s *Server) converse(conn net.Conn) {
	var machine protocol.Parser
	buf := make([]byte, 4<<10)
	var rest []byte
	for {
		conn.SetReadDeadline(time.Now().Add(resting))
		if len(rest) == 0 {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			rest = buf[:n]
		}
		used, m, err := machine.Feed(rest)
		rest = rest[used:]
		var broken *protocol.Error
		switch {
		case errors.As(err, &broken):
			s.write(conn, protocol.LocalReply{Status: broken.Status, Reason: broken.Reason}.Encode(true))
			return
		case err != nil:
			return
		case m == nil:
			continue
		}
		reply, since, follow := s.answer(m)
		switch {
		case follow:
			s.watch(conn, since)
			return
		case !s.write(conn, reply) || m.Close:
			return
		}
	}
}

func (s *Server) write(conn net.Conn, text []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writing))
	_, err := conn.Write(text)
	return err == nil
}

// answer is the answer to a call, or the version from which on a watch is asked for.
func (s *Server) answer(m *protocol.Message) (reply []byte, since int64, follow bool) {
	refuse := func(r protocol.LocalReply) ([]byte, int64, bool) { return r.Encode(m.Close), 0, false }
	m.ToOriginForm()
	at, err := url.ParseRequestURI(m.StartLine[1])
	if err != nil || at.Path != path {
		return refuse(protocol.LocalReply{Status: 404, Reason: "here is " + path})
	}
	if m.StartLine[0] != "GET" {
		return refuse(protocol.LocalReply{Status: 405, Allow: "GET", Reason: "the list is read by GET"})
	}
	q := at.Query()
	if text := q.Get("since"); text != "" {
		if since, err = strconv.ParseInt(text, 10, 64); err != nil {
			return refuse(protocol.LocalReply{Status: 400, Reason: "since: a version is a whole number"})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Index() == 0 {
		return refuse(protocol.LocalReply{Status: 503, RetryAfter: comeAgain, Reason: "the list is not known yet"})
	}
	if q.Get("follow") != "" {
		return nil, since, true
	}
	line, err := s.history.Whole()
	if err != nil {
		return refuse(protocol.LocalReply{Status: 500, Reason: "the list cannot be written"})
	}
	end := ""
	if m.Close {
		end = "Connection: close\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s\n", end, len(line)+1, line), 0, false
}

// lines are what leads from a version to the newest, the newest, and a channel that closes when there is more.
func (s *Server) lines(since int64) (text [][]byte, index int64, more chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err = s.history.Since(since)
	return text, s.history.Index(), s.changed, err
}

// chunk appends a line as a chunk of the answer. The line is not copied: a thousand watchers share one of megabytes.
func chunk(out net.Buffers, line []byte) net.Buffers {
	return append(out, fmt.Appendf(nil, "%x\r\n", len(line)+1), line, []byte("\n\r\n"))
}

// watch writes what changes until its connection ends. It holds nobody else up: each watch reads the lines, which all share, at
// its own pace, and one that is too slow for its connection is closed.
func (s *Server) watch(conn net.Conn, since int64) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watches--
	}()
	ended := make(chan struct{})
	go func() { // whatever comes on it now, or its end, ends the watch
		defer close(ended)
		conn.SetReadDeadline(time.Time{})
		conn.Read(make([]byte, 1))
	}()
	out := net.Buffers{[]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")}
	timer := time.NewTimer(beat)
	defer timer.Stop()
	for first := true; ; first = false {
		text, index, more, err := s.lines(since)
		if err != nil {
			return
		}
		if first && len(text) == 0 { // it learns at once that it has missed nothing
			if empty, err := (protocol.EndpointList{Index: index}).Encode(); err == nil {
				text = [][]byte{empty}
			}
		}
		for _, line := range text {
			out = chunk(out, line)
		}
		since = index
		conn.SetWriteDeadline(time.Now().Add(writing))
		if _, err := out.WriteTo(conn); err != nil {
			return
		}
		out = nil
		timer.Reset(beat)
		select {
		case <-more:
		case <-timer.C:
			out = chunk(out, nil)
		case <-ended:
			return
		}
	}
}
