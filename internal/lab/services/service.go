package services

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"kitewood/internal/listfile"
)

// service runs the endpoints of a pool and records the requests that reach them.
type service struct {
	pool    Pool
	addrs   []string
	servers []*http.Server

	mu            sync.Mutex
	status        int           // of every response; 200 unless a fault changes it
	unfrozen      chan struct{} // closed when the freeze ends; nil while the service is not frozen
	attemptCounts map[string]int
	inFlight      map[string]int
	retried       int // requests that arrived more than once
	concurrent    int // of them, those that arrived while another attempt was in flight
}

// overlapTolerance is for how long two successive attempts at a request may seem to be in flight at once, as their two connections
// are handled by two goroutines.
const overlapTolerance = 20 * time.Millisecond

// newService starts the endpoints of a pool.
func newService(pool Pool) (*service, error) {
	s := &service{pool: pool, status: 200, attemptCounts: map[string]int{}, inFlight: map[string]int{}}
	for range pool.Endpoints {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(s.serve)}
		s.addrs, s.servers = append(s.addrs, ln.Addr().String()), append(s.servers, server)
		go server.Serve(ln)
	}
	return s, nil
}

// serve handles a request to any endpoint.
func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	if s.attemptCounts[id]++; s.attemptCounts[id] > 1 {
		s.retried++
	}
	if s.inFlight[id]++; s.inFlight[id] > 1 {
		// The end of the first attempt may be handled after the start of the second, as they use two connections.
		time.AfterFunc(overlapTolerance, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.inFlight[id] > 1 {
				s.concurrent++
			}
		})
	}
	status, unfrozen := s.status, s.unfrozen
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight[id]--
		s.mu.Unlock()
	}()
	closed := r.Context().Done() // the connection was closed, so the attempt is over
	if unfrozen != nil {
		select {
		case <-unfrozen:
		case <-closed:
			return
		}
	}
	select {
	case <-time.After(s.pool.ResponseDelay.D()):
	case <-closed:
		return
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s", s.pool.Name, id)
}

// freeze delays all responses until d has passed.
func (s *service) freeze(d time.Duration) {
	unfrozen := make(chan struct{})
	s.mu.Lock()
	s.unfrozen = unfrozen
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.unfrozen = nil
		s.mu.Unlock()
		close(unfrozen)
	})
}

// setStatus sets the status of all responses.
func (s *service) setStatus(status int) {
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
}

// counts returns how many requests arrived more than once, and how many of these arrived while another attempt was in flight.
func (s *service) counts() (retried, concurrent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retried, s.concurrent
}

func (s *service) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// endpoints returns the endpoint list of the pool.
func (s *service) endpoints() (out []listfile.Endpoint) {
	for i, a := range s.addrs {
		out = append(out, listfile.Endpoint{Name: fmt.Sprintf("%s-%d", s.pool.Name, i), Address: a})
	}
	return out
}
