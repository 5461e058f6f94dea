package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// What the protocol allows between a change and the last request that ignores it.
const (
	drainGrace    = 550 * time.Millisecond // after the sidecar was told, with the slack for sockets
	toldAnyway    = 6 * time.Second        // a change counts as told so long after discovery had it and could be reached
	toldAfterEnd  = 2 * time.Second        // and so long after the end of a watch that ended instead of telling it
	toldAfterMove = 4 * time.Second        // and so long after a reload, where lists are pushed
)

// staleList is one sidecar process between a discovery that misbehaves and two servers, one of which goes.
type staleList struct {
	t       *testing.T
	mode    string // of the lists: ask or push
	began   atomic.Pointer[time.Time]
	leaving net.Addr
	staying net.Addr
	first   string // address of the discovery that it starts with
	config  string
	listen  string
	signal  func(syscall.Signal)
	ready   bool // whether the sidecar has a watch before the case begins

	mu     sync.Mutex
	last   time.Duration // of a request that reached the server that goes, since began
	sent   int           // requests of clients
	served int
	lastOK time.Duration // of a request that was served, since began
}

// since is the time since the case began.
func (s *staleList) since() time.Duration { return time.Since(*s.began.Load()) }

// begin makes now the beginning of the case.
func (s *staleList) begin() { s.beginAfter(0) }

func (s *staleList) beginAfter(d time.Duration) {
	at := time.Now().Add(d)
	s.began.Store(&at)
}

// at waits for a time of the case.
func (s *staleList) at(d time.Duration) { time.Sleep(d - s.since()) }

// list is the whole list, with the state of the server that goes.
func (s *staleList) list(index int, state string) string {
	leaving := strings.Replace(entry(s.leaving, state), `"s"`, `"leaving"`, 1)
	staying := strings.Replace(entry(s.staying, "Ready"), `"s"`, `"staying"`, 1)
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`+"\n", index, leaving, staying)
}

// reload names another discovery and says so by SIGHUP.
func (s *staleList) reload(discovery string) {
	write(s.t, s.config, configured(s.listen, discovery, 256, s.mode, s.known()...))
	s.signal(syscall.SIGHUP)
}

func (s *staleList) known() []string {
	return []string{strings.Replace(entry(s.leaving, "Ready"), `"s"`, `"leaving"`, 1),
		strings.Replace(entry(s.staying, "Ready"), `"s"`, `"staying"`, 1)}
}

// discovery starts a discovery of which each call is answered by a function.
func (s *staleList) discovery(answer func(*watcher)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(&watcher{w, r, s})
	}))
	s.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// watcher is one call of the sidecar to discovery.
type watcher struct {
	answer http.ResponseWriter
	call   *http.Request
	s      *staleList
}

func (w *watcher) tell(text string) {
	io.WriteString(w.answer, text)
	w.answer.(http.Flusher).Flush()
}

// wait keeps the call open without a word until a time of the case, or its end. The case may begin meanwhile.
func (w *watcher) wait(until time.Duration) {
	for w.s.since() < until && w.call.Context().Err() == nil {
		select {
		case <-time.After(min(until-w.s.since(), 20*time.Millisecond)):
		case <-w.call.Context().Done():
		}
	}
}

// beat keeps the watch alive until a time of the case.
func (w *watcher) beat(until time.Duration) {
	for w.s.since() < until && w.call.Context().Err() == nil {
		w.wait(min(until, w.s.since()+time.Second))
		w.tell("\n")
	}
}

func (w *watcher) refuse() { w.answer.WriteHeader(http.StatusServiceUnavailable) }

// tellsFrom answers calls from a time of the case on with the drain, and refuses them before.
func tellsFrom(at time.Duration) func(*watcher) {
	return func(w *watcher) {
		if w.s.since() < at {
			w.refuse()
			return
		}
		w.tell(w.s.list(2, "Terminating"))
		w.beat(99 * time.Second)
	}
}

// play starts the sidecar, has clients send all the time and runs a case.
func (s *staleList) play(first func(*watcher), script func(), last time.Duration) {
	t := s.t
	server := func(leaves bool) net.Addr {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if leaves {
				s.last = s.since()
			}
		}))
		t.Cleanup(h.Close)
		return h.Listener.Addr()
	}
	s.leaving, s.staying = server(true), server(false)
	if s.beginAfter(0); s.ready {
		s.beginAfter(time.Hour) // nothing of the case happens before the sidecar has its list
	}
	s.first = s.discovery(first)
	s.config, s.listen = filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	write(t, s.config, configured(s.listen, s.first, 256, s.mode, s.known()...))
	c, log := launch(t, s.config, 0)
	s.signal = func(sig syscall.Signal) { c.Process.Signal(sig) }
	testkit.WaitUntil(t, "it is ready", func() bool { return ready(s.listen) })
	if s.ready {
		testkit.WaitUntil(t, "it has a list", func() bool { return log.Count("kind=full") > 0 })
	}
	s.begin()
	var over atomic.Bool
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := 0; !over.Load(); i++ {
				s.ask(fmt.Sprintf("%s-%d-%d", filepath.Base(s.config), n, i))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	script()
	s.at(last)
	over.Store(true)
	clients.Wait()
	if t.Failed() {
		t.Log(log)
	}
}

func (s *staleList) ask(id string) {
	q, _ := http.NewRequest("GET", "http://"+s.listen+"/look", nil)
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Time-Left-Ms", "2500")
	r, err := http.DefaultTransport.RoundTrip(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if err != nil {
		s.t.Errorf("a request has no answer: %v", err)
		return
	}
	r.Body.Close()
	if r.StatusCode == 200 {
		s.served++
		s.lastOK = s.since()
	}
}

// servedLast checks that requests are served at the end, that is later than a time of the case.
func (s *staleList) servedLast(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastOK < after {
		s.t.Errorf("the last request was served at %v, it is served on after %v", s.lastOK, after)
	}
}

// holds checks that no request reached the server that goes later than the protocol allows after it counted as told.
func (s *staleList) holds(told time.Duration) {
	if late := s.late(told); late > 0 {
		s.t.Errorf("a request went to the server that drains %v after this counted as told, %v are allowed", late, drainGrace)
	}
}

// late is how long after the drain counted as told the last request reached the server that drains; 0 for in time.
func (s *staleList) late(told time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last <= told+drainGrace {
		return 0
	}
	return s.last - told
}

// serves checks that a share of the requests was served.
func (s *staleList) serves(least float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share := float64(s.served) / float64(s.sent); share < least {
		s.t.Errorf("%.2f of %d requests were served, at least %.2f are wanted", share, s.sent, least)
	}
}

// down has a discovery break its watch and fail each call after a wait.
func (s *staleList) down(wait time.Duration) {
	s.play(func(w *watcher) {
		if s.since() < 500*time.Millisecond {
			w.tell(s.list(1, "Ready"))
			w.wait(time.Second)
			panic(http.ErrAbortHandler) // its connection breaks
		}
		w.wait(s.since() + wait)
		w.refuse()
	}, func() {}, 14*time.Second)
	s.serves(0.98)
}

// No request goes to a server that drains once this counts as told, whatever keeps the sidecar from hearing of it: the list
// that it has may be used for so long and no longer. And no request is refused because a list is old while discovery is out
// of reach: nothing can count as told then.
func TestStaleListIsNotUsed(t *testing.T) {
	t.Parallel()
	const away = 9 * time.Second // for how long the sidecar hears nothing
	for name, run := range map[string]func(s *staleList){
		// The incident's report: the watch that works is ended by a reload, and nothing else tells for a long time.
		"reload to a discovery that is silent, the old one tells": func(s *staleList) {
			next := s.discovery(func(w *watcher) { w.wait(away); w.tell(s.list(2, "Terminating")); w.beat(99 * time.Second) })
			told := 500 * time.Millisecond
			s.play(func(w *watcher) {
				w.tell(s.list(1, "Ready"))
				w.wait(told)
				w.tell(s.list(2, "Terminating"))
				w.beat(99 * time.Second)
			}, func() { s.reload(next) }, away)
			s.holds(told)
			s.serves(0.95)
		},
		"reloads in a row to a discovery that refuses, the old one ends": func(s *staleList) {
			refusing := tellsFrom(away)
			next := []string{s.discovery(refusing), s.discovery(refusing), s.discovery(refusing)}
			s.play(func(w *watcher) { w.tell(s.list(1, "Ready")); w.wait(300 * time.Millisecond) }, func() {
				for i, n := range next {
					s.at(time.Duration(i) * 400 * time.Millisecond)
					s.reload(n)
				}
			}, away+3*time.Second)
			s.holds(300*time.Millisecond + toldAnyway)
			s.serves(0.5)
		},
		// The first replay: discovery ends the watch instead of telling, and the next call waits for its turn.
		"watch ended instead of telling, the next call waits": func(s *staleList) {
			end := 1500 * time.Millisecond
			s.play(func(w *watcher) {
				if s.since() < end {
					w.tell(s.list(1, "Ready"))
					w.beat(end)
					return
				}
				w.wait(end + 2950*time.Millisecond)
				w.tell(s.list(2, "Terminating"))
				w.beat(99 * time.Second)
			}, func() {}, end+5*time.Second)
			s.holds(end + toldAfterEnd)
			s.serves(0.8)
		},
		// Found by the bench: an answer that has begun, or half a list, tells nothing yet.
		"watch ended instead of telling, the next answer comes in pieces": func(s *staleList) {
			end := 1500 * time.Millisecond
			s.play(func(w *watcher) {
				if s.since() < end {
					w.tell(s.list(1, "Ready"))
					w.beat(end)
					return
				}
				w.wait(end + 500*time.Millisecond)
				text := s.list(2, "Terminating")
				w.tell("")
				w.wait(end + 2500*time.Millisecond)
				w.tell(text[:len(text)/2])
				w.wait(end + 3500*time.Millisecond)
				w.tell(text[len(text)/2:])
				w.beat(99 * time.Second)
			}, func() {}, end+5*time.Second)
			s.holds(end + toldAfterEnd)
			s.serves(0.6)
		},
		"new process, discovery refuses": func(s *staleList) {
			s.ready = false
			s.play(tellsFrom(away), func() {}, away+2*time.Second)
			s.holds(toldAnyway)
			s.serves(0.5)
		},
		"watch falls silent, discovery refuses": func(s *staleList) {
			s.play(func(w *watcher) {
				switch {
				case s.since() < time.Second:
					w.tell(s.list(1, "Ready"))
					w.wait(99 * time.Second)
				default:
					tellsFrom(away)(w)
				}
			}, func() {}, away+2*time.Second)
			s.holds(toldAnyway)
			s.serves(0.5)
		},
		"pushed: reload to an agent that answers late": func(s *staleList) {
			s.mode = "push"
			next := s.discovery(tellsFrom(6 * time.Second))
			s.play(func(w *watcher) { w.tell(s.list(1, "Ready")); w.beat(99 * time.Second) }, func() { s.reload(next) }, 8*time.Second)
			s.holds(toldAfterMove)
			s.serves(0.6)
		},
		// Found by the soak: what waits on the watch when the process wakes is read, although the watch's time is over.
		"process stands still while it is told, the next call waits": func(s *staleList) {
			const still = 4 * time.Second
			s.play(func(w *watcher) {
				if s.since() > time.Second {
					w.wait(still + 3*time.Second)
					w.refuse()
					return
				}
				w.tell(s.list(1, "Ready"))
				w.wait(1500 * time.Millisecond)
				w.tell(s.list(2, "Terminating"))
				w.beat(99 * time.Second)
			}, func() {
				s.at(200 * time.Millisecond)
				s.signal(syscall.SIGSTOP)
				s.at(still)
				s.signal(syscall.SIGCONT)
			}, still+2*time.Second)
			s.holds(still)
		},
		// Nothing can be told by a discovery that is out of reach, so nothing is held back.
		"discovery down: calls wait for 3 s and fail": func(s *staleList) { s.down(3 * time.Second) },
		// Another installation's discovery lets calls wait for 2 s.
		"discovery down: calls wait for 2 s and fail": func(s *staleList) { s.down(2 * time.Second) },
		"discovery down: connections break": func(s *staleList) {
			s.play(func(w *watcher) {
				if s.since() < 500*time.Millisecond {
					w.tell(s.list(1, "Ready"))
					w.wait(time.Second)
				}
				panic(http.ErrAbortHandler)
			}, func() {}, 14*time.Second)
			s.serves(0.98)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(&staleList{t: t, mode: "ask", ready: true})
		})
	}
}
