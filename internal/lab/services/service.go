package services

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"kitewood/internal/listfile"
)

// service is the destinations of a pool, and the ledger of what reached them.
type service struct {
	pool    Pool
	addrs   []string
	servers []*http.Server

	mu            sync.Mutex
	status        int           // of every answer, 200 unless it fails
	thawed        chan struct{} // closed when it thaws; nil while it answers
	attemptCounts map[string]int
	inFlight      map[string]int
	retried       int // operations that came more than once
	concurrent    int // of them, while another copy was out
}

// overlap is for how long two attempts at an operation may seem to be out at once, as their two connections are seen by two
// goroutines.
const overlapTolerance = 20 * time.Millisecond

// newService starts the destinations of a pool.
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

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	if s.attemptCounts[id]++; s.attemptCounts[id] > 1 {
		s.retried++
	}
	if s.inFlight[id]++; s.inFlight[id] > 1 {
		// The end of the first may be seen here after the start of the second: they come on two connections.
		time.AfterFunc(overlapTolerance, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.inFlight[id] > 1 {
				s.concurrent++
			}
		})
	}
	status, frozen := s.status, s.thawed
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight[id]--
		s.mu.Unlock()
	}()
	gone := r.Context().Done() // the connection was closed: the attempt is over
	if frozen != nil {
		select {
		case <-frozen:
		case <-gone:
			return
		}
	}
	select {
	case <-time.After(s.pool.ResponseDelay.D()):
	case <-gone:
		return
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s", s.pool.Name, id)
}

// freeze holds every answer back for a time.
func (s *service) freeze(d time.Duration) {
	frozen := make(chan struct{})
	s.mu.Lock()
	s.thawed = frozen
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.thawed = nil
		s.mu.Unlock()
		close(frozen)
	})
}

func (s *service) setStatus(status int) {
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
}

// broken tells how many operations came more than once, and how many copies were out at a time.
func (s *service) counts() (again, copies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retried, s.concurrent
}

func (s *service) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// list is the list of a service's destinations.
func (s *service) endpoints() (out []listfile.Endpoint) {
	for i, a := range s.addrs {
		out = append(out, listfile.Endpoint{Name: fmt.Sprintf("%s-%d", s.pool.Name, i), Address: a})
	}
	return out
}
