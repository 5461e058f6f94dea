package drill

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"
)

// scriptedServer is a server that answers according to a Stall script. It is as simple as possible, so that a measurement
// reflects the load generator.
type scriptedServer struct {
	ln          net.Listener
	stall       Stall
	mu          sync.Mutex
	scriptStart time.Time
	conns       map[net.Conn]bool
	wg          sync.WaitGroup
}

// newScriptedServer starts a server on a free port; startScript has to follow before the first request.
func newScriptedServer(s Stall) (*scriptedServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &scriptedServer{ln: ln, stall: s, conns: map[net.Conn]bool{}}
	out.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			out.mu.Lock()
			out.conns[c] = true
			out.mu.Unlock()
			out.wg.Go(func() { out.serve(c) })
		}
	})
	return out, nil
}

func (s *scriptedServer) address() string { return s.ln.Addr().String() }

// startScript sets the time at which the script starts.
func (s *scriptedServer) startScript(at time.Time) {
	s.mu.Lock()
	s.scriptStart = at
	s.mu.Unlock()
}

// serve answers the requests of one connection one after another.
func (s *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r.Body.Close()
		s.mu.Lock()
		start := s.scriptStart
		s.mu.Unlock()
		arrival := time.Since(start)
		done := arrival + s.stall.ServiceTime
		if arrival < s.stall.FreezeAt+s.stall.Freeze && done > s.stall.FreezeAt && s.stall.Freeze > 0 {
			done = max(done, s.stall.FreezeAt+s.stall.Freeze)
		}
		time.Sleep(time.Until(start.Add(done)))
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")); err != nil {
			return
		}
	}
}

// close closes the listener and all connections and waits for their goroutines.
func (s *scriptedServer) close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
