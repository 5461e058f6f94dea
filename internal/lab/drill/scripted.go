package drill

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// scripted is a server that answers by a Stall's script. It is as plain as it can be, so that what is measured is the
// load generator.
type scripted struct {
	ln    net.Listener
	stall Stall
	mu    sync.Mutex
	start time.Time
	conns map[net.Conn]bool
	wait  sync.WaitGroup
}

func newScripted(s Stall) (*scripted, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &scripted{ln: ln, stall: s, conns: map[net.Conn]bool{}}
	out.wait.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			out.mu.Lock()
			out.conns[c] = true
			out.mu.Unlock()
			out.wait.Go(func() { out.serve(c) })
		}
	})
	return out, nil
}

func (s *scripted) address() string { return s.ln.Addr().String() }

// begin says when the script starts.
func (s *scripted) begin(at time.Time) {
	s.mu.Lock()
	s.start = at
	s.mu.Unlock()
}

func (s *scripted) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.Body.Close()
		s.mu.Lock()
		start := s.start
		s.mu.Unlock()
		came := time.Since(start)
		done := came + s.stall.Service
		if came < s.stall.Begin+s.stall.Freeze && done > s.stall.Begin && s.stall.Freeze > 0 {
			done = max(done, s.stall.Begin+s.stall.Freeze)
		}
		time.Sleep(time.Until(start.Add(done)))
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")); err != nil {
			return
		}
	}
}

func (s *scripted) close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
