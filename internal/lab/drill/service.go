package drill

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// service is the destinations of a pool, and the ledger of what reached them.
type service struct {
	name    string
	addrs   []string
	servers []*http.Server

	mu     sync.Mutex
	delay  time.Duration
	status int           // of every answer, 200 unless it fails
	frozen chan struct{} // closed when it thaws; nil while it answers
	times  map[string]int
	out    map[string]int
	again  int // operations that came more than once
	copies int // of them, while another copy was out
}

// newService starts n destinations.
func newService(name string, n int, delay time.Duration) (*service, error) {
	s := &service{name: name, delay: delay, status: 200, times: map[string]int{}, out: map[string]int{}}
	for range n {
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
	if s.times[id]++; s.times[id] > 1 {
		s.again++
	}
	if s.out[id]++; s.out[id] > 1 {
		s.copies++
	}
	delay, status, frozen := s.delay, s.status, s.frozen
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.out[id]--
		s.mu.Unlock()
	}()
	if frozen != nil {
		<-frozen
	}
	time.Sleep(delay)
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s", s.name, id)
}

// freeze holds every answer back for a time.
func (s *service) freeze(d time.Duration) {
	frozen := make(chan struct{})
	s.mu.Lock()
	s.frozen = frozen
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.frozen = nil
		s.mu.Unlock()
		close(frozen)
	})
}

func (s *service) fail(status int) {
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
}

// broken tells how many operations came more than once, and how many copies were out at a time.
func (s *service) broken() (again, copies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.again, s.copies
}

func (s *service) close() {
	s.mu.Lock()
	if s.frozen != nil {
		s.delay = 0
	}
	s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
}
