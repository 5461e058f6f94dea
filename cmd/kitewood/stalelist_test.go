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

// The limits of the protocol on the time between a change and the last request that may ignore it.
const (
	drainGrace         = 550 * time.Millisecond // after the sidecar was notified, with the tolerance for sockets
	confirmWithin      = 6 * time.Second        // a change counts as notified this long after discovery had it and was reachable,
	confirmAfterEnd    = 2 * time.Second        // this long after a watch ended in order instead of sending it,
	confirmAfterReload = 4 * time.Second        // and this long after a reload that names another discovery
)

// leaseDuration is for how long a sidecar serves by a list that nobody confirms, with the smallest grace that the tests configure.
const leaseDuration = confirmWithin

// staleListTest is one sidecar process with a faulty discovery and two endpoints, one of which drains. Times of the test are
// relative to its start.
type staleListTest struct {
	t                *testing.T
	listMode         string // ask or push
	start            atomic.Pointer[time.Time]
	draining         net.Addr
	staying          net.Addr
	discoveryAddress string // of the discovery that the sidecar starts with; run starts it if empty
	configPath       string
	listen           string
	signal           func(syscall.Signal)
	watchFirst       bool // whether the sidecar gets a watch before the test starts

	mu             sync.Mutex
	lastToDraining time.Duration // when the last request reached the draining endpoint
	sent           int           // requests of the clients
	served         int
	lastServed     time.Duration // when the last request was served
	longestGap     time.Duration // between two requests that were served one after the other
	firstRejected  time.Duration // when the first request was sent that was not served; 0 for none
}

// elapsed is the time since the start of the test.
func (s *staleListTest) elapsed() time.Duration { return time.Since(*s.start.Load()) }

// setStart starts the test now.
func (s *staleListTest) setStart() { s.setStartAfter(0) }

// setStartAfter has the test start after a time.
func (s *staleListTest) setStartAfter(d time.Duration) {
	start := time.Now().Add(d)
	s.start.Store(&start)
}

// sleepUntil waits until a time of the test.
func (s *staleListTest) sleepUntil(d time.Duration) { time.Sleep(d - s.elapsed()) }

// list is a full list, in which the draining endpoint has the given state.
func (s *staleListTest) list(index int, state string) string {
	draining := strings.Replace(endpointJSON(s.draining, state), `"s"`, `"leaving"`, 1)
	staying := strings.Replace(endpointJSON(s.staying, "Ready"), `"s"`, `"staying"`, 1)
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s,%s]}`+"\n", index, draining, staying)
}

// reload writes a configuration with another discovery address and sends SIGHUP.
func (s *staleListTest) reload(discovery string) {
	writeFile(s.t, s.configPath, configJSON(s.listen, discovery, 256, s.listMode, s.cachedEndpoints()...))
	s.signal(syscall.SIGHUP)
}

// cachedEndpoints are the endpoints in the configuration: both, ready.
func (s *staleListTest) cachedEndpoints() []string {
	return []string{strings.Replace(endpointJSON(s.draining, "Ready"), `"s"`, `"leaving"`, 1),
		strings.Replace(endpointJSON(s.staying, "Ready"), `"s"`, `"staying"`, 1)}
}

// discovery starts a discovery server that handles each call by a function.
func (s *staleListTest) discovery(handle func(*watchCall)) string {
	return s.startDiscovery("127.0.0.1:0", handle).Listener.Addr().String()
}

// startDiscovery starts a discovery server on an address.
func (s *staleListTest) startDiscovery(address string, handle func(*watchCall)) *httptest.Server {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handle(&watchCall{w, r, s})
	}))
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	s.t.Cleanup(func() { stopDiscovery(server) })
	return server
}

// stopDiscovery breaks all watches of a discovery server and closes its listener. It may be called again.
func stopDiscovery(server *httptest.Server) {
	server.CloseClientConnections()
	server.Close()
}

// watchCall is one call of the sidecar to discovery.
type watchCall struct {
	response http.ResponseWriter
	request  *http.Request
	test     *staleListTest
}

func (c *watchCall) send(text string) {
	io.WriteString(c.response, text)
	c.response.(http.Flusher).Flush()
}

// wait keeps the call open without sending anything until a time of the test or the end of the call. The test may start
// meanwhile.
func (c *watchCall) wait(until time.Duration) {
	for c.test.elapsed() < until && c.request.Context().Err() == nil {
		select {
		case <-time.After(min(until-c.test.elapsed(), 20*time.Millisecond)):
		case <-c.request.Context().Done():
		}
	}
}

// keepAlive sends a sign of life every second until a time of the test.
func (c *watchCall) keepAlive(until time.Duration) {
	for c.test.elapsed() < until && c.request.Context().Err() == nil {
		c.wait(min(until, c.test.elapsed()+time.Second))
		c.send("\n")
	}
}

func (c *watchCall) reject() { c.response.WriteHeader(http.StatusServiceUnavailable) }

// drainFrom rejects calls before a time of the test, and from then on sends the list with the drain.
func drainFrom(at time.Duration) func(*watchCall) {
	return func(c *watchCall) {
		if c.test.elapsed() < at {
			c.reject()
			return
		}
		c.send(c.test.list(2, "Terminating"))
		c.keepAlive(99 * time.Second)
	}
}

// run starts the sidecar and its first discovery, which handles calls by a function, and has clients send requests until a time of
// the test while the script runs.
func (s *staleListTest) run(handle func(*watchCall), script func(), end time.Duration) {
	t := s.t
	startEndpoint := func(drains bool) net.Addr {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if drains {
				s.lastToDraining = s.elapsed()
			}
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr()
	}
	s.draining, s.staying = startEndpoint(true), startEndpoint(false)
	if s.setStartAfter(0); s.watchFirst {
		s.setStartAfter(time.Hour) // the test does not start before the sidecar has its list
	}
	if s.discoveryAddress == "" {
		s.discoveryAddress = s.discovery(handle)
	}
	s.configPath, s.listen = filepath.Join(t.TempDir(), "config.json"), testkit.ReserveAddress(t)
	writeFile(t, s.configPath, configJSON(s.listen, s.discoveryAddress, 256, s.listMode, s.cachedEndpoints()...))
	c, log := startSidecar(t, s.configPath, 0)
	s.signal = func(sig syscall.Signal) { c.Process.Signal(sig) }
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(s.listen) })
	if s.watchFirst {
		testkit.WaitUntil(t, "the sidecar has a list", func() bool { return log.Count("kind=full") > 0 })
	}
	s.setStart()
	var done atomic.Bool
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := 0; !done.Load(); i++ {
				s.sendRequest(fmt.Sprintf("%s-%d-%d", filepath.Base(s.configPath), n, i))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	script()
	s.sleepUntil(end)
	done.Store(true)
	clients.Wait()
	if t.Failed() {
		t.Log(log)
	}
}

// sendRequest sends one client request and counts it.
func (s *staleListTest) sendRequest(id string) {
	q, _ := http.NewRequest("GET", "http://"+s.listen+"/look", nil)
	q.Header.Set("X-Correlation-Id", id)
	q.Header.Set("X-Time-Left-Ms", "2500")
	sentAt := s.elapsed()
	r, err := http.DefaultTransport.RoundTrip(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if err != nil {
		s.t.Errorf("a request got no response: %v", err)
		return
	}
	r.Body.Close()
	if r.StatusCode == 200 {
		s.served++
		now := s.elapsed()
		s.longestGap = max(s.longestGap, now-s.lastServed)
		s.lastServed = now
	} else if s.firstRejected == 0 {
		s.firstRejected = sentAt
	}
}

// checkServedUntil checks that all requests that were sent before a time of the test were served.
func (s *staleListTest) checkServedUntil(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstRejected > 0 && s.firstRejected < until {
		s.t.Errorf("a request that was sent at %v was not served, want all served that were sent before %v", s.firstRejected, until)
	}
}

// checkNotServedAfter checks that no request was served after a time of the test.
func (s *staleListTest) checkNotServedAfter(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastServed > after {
		s.t.Errorf("the last request was served at %v, want none after %v", s.lastServed, after)
	}
}

// checkServedAfter checks that a request was served after a time of the test.
func (s *staleListTest) checkServedAfter(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastServed < after {
		s.t.Errorf("the last request was served at %v, want one after %v", s.lastServed, after)
	}
}

// checkDrainHonoured checks that no request reached the draining endpoint later than the protocol allows after the time at which the
// drain counted as notified.
func (s *staleListTest) checkDrainHonoured(notified time.Duration) {
	if late := s.lateness(notified); late > 0 {
		s.t.Errorf("a request reached the draining endpoint %v after the drain counted as notified, at most %v is allowed", late, drainGrace)
	}
}

// lateness is how long after the drain counted as notified the last request reached the draining endpoint; 0 if within the limit.
func (s *staleListTest) lateness(notified time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastToDraining <= notified+drainGrace {
		return 0
	}
	return s.lastToDraining - notified
}

// checkServedShare checks that at least a share of the requests was served.
func (s *staleListTest) checkServedShare(minShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share := float64(s.served) / float64(s.sent); share < minShare {
		s.t.Errorf("a share of %.2f of %d requests was served, want at least %.2f", share, s.sent, minShare)
	}
}

// checkServedThroughout checks that no two requests that were served one after the other are further apart than a limit. Clients that
// wait for their responses send few requests while none is served, so the share of those that were served hardly shows it.
func (s *staleListTest) checkServedThroughout(maxGap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.longestGap > maxGap {
		s.t.Errorf("no request was served for %v, want at most %v", s.longestGap, maxGap)
	}
}

// runDiscoveryDown runs a test in which discovery breaks its watch and from then on handles each call by a function. It accepts
// connections, so it may be notifying others: requests are served until the lease expires, and none is sent after that.
func (s *staleListTest) runDiscoveryDown(handle func(*watchCall)) {
	const (
		lastList   = 500 * time.Millisecond // at the latest
		watchBreak = time.Second
	)
	s.run(func(c *watchCall) {
		if s.elapsed() < lastList {
			c.send(s.list(1, "Ready"))
			c.wait(watchBreak)
			breakConnection(c)
			return
		}
		handle(c)
	}, func() {}, 14*time.Second)
	s.checkServedUntil(leaseDuration - lastList)
	s.checkDrainHonoured(lastList + confirmWithin)
	s.checkNotServedAfter(lastList + confirmWithin + drainGrace + time.Second) // an answer may take some time
}

// No request goes to a draining endpoint once the drain counts as notified, whatever kept the sidecar from receiving it: a list may
// be used until its lease expires. Until then no request is rejected because of an old list.
func TestStaleListIsNotUsed(t *testing.T) {
	t.Parallel()
	const silence = 9 * time.Second // for how long the sidecar receives nothing
	for name, run := range map[string]func(s *staleListTest){
		// As in the incident: a reload ends a working watch, and the new discovery sends nothing for a long time.
		"reload to a silent discovery, the old one sends the drain": func(s *staleListTest) {
			next := s.discovery(func(c *watchCall) { c.wait(silence); c.send(s.list(2, "Terminating")); c.keepAlive(99 * time.Second) })
			notified := 500 * time.Millisecond
			s.run(func(c *watchCall) {
				c.send(s.list(1, "Ready"))
				c.wait(notified)
				c.send(s.list(2, "Terminating"))
				c.keepAlive(99 * time.Second)
			}, func() { s.reload(next) }, silence)
			s.checkDrainHonoured(notified)
			s.checkServedShare(0.95)
		},
		"several reloads to a discovery that rejects calls, the old one ends the watch": func(s *staleListTest) {
			rejecting := drainFrom(silence)
			next := []string{s.discovery(rejecting), s.discovery(rejecting), s.discovery(rejecting)}
			s.run(func(c *watchCall) { c.send(s.list(1, "Ready")); c.wait(300 * time.Millisecond) }, func() {
				for i, n := range next {
					s.sleepUntil(time.Duration(i) * 400 * time.Millisecond)
					s.reload(n)
				}
			}, silence+3*time.Second)
			s.checkDrainHonoured(300*time.Millisecond + confirmWithin)
			s.checkServedShare(0.5)
		},
		// Discovery ends the watch instead of sending the drain, and queues the next call.
		"watch ended instead of sending the drain, the next call waits": func(s *staleListTest) {
			end := 1500 * time.Millisecond
			s.run(func(c *watchCall) {
				if s.elapsed() < end {
					c.send(s.list(1, "Ready"))
					c.keepAlive(end)
					return
				}
				c.wait(end + 2950*time.Millisecond)
				c.send(s.list(2, "Terminating"))
				c.keepAlive(99 * time.Second)
			}, func() {}, end+5*time.Second)
			s.checkDrainHonoured(end + confirmAfterEnd)
			s.checkServedShare(0.8)
		},
		// The beginning of a response, or half a list, does not count as a report of discovery.
		"watch ended instead of sending the drain, the next response comes in pieces": func(s *staleListTest) {
			end := 1500 * time.Millisecond
			s.run(func(c *watchCall) {
				if s.elapsed() < end {
					c.send(s.list(1, "Ready"))
					c.keepAlive(end)
					return
				}
				c.wait(end + 500*time.Millisecond)
				text := s.list(2, "Terminating")
				c.send("")
				c.wait(end + 2500*time.Millisecond)
				c.send(text[:len(text)/2])
				c.wait(end + 3500*time.Millisecond)
				c.send(text[len(text)/2:])
				c.keepAlive(99 * time.Second)
			}, func() {}, end+5*time.Second)
			s.checkDrainHonoured(end + confirmAfterEnd)
			s.checkServedShare(0.6)
		},
		"new process, discovery rejects calls": func(s *staleListTest) {
			s.watchFirst = false
			s.run(drainFrom(silence), func() {}, silence+2*time.Second)
			s.checkDrainHonoured(confirmWithin)
			s.checkServedShare(0.5)
		},
		"watch falls silent, discovery rejects calls": func(s *staleListTest) {
			s.run(func(c *watchCall) {
				switch {
				case s.elapsed() < time.Second:
					c.send(s.list(1, "Ready"))
					c.wait(99 * time.Second)
				default:
					drainFrom(silence)(c)
				}
			}, func() {}, silence+2*time.Second)
			s.checkDrainHonoured(confirmWithin)
			s.checkServedShare(0.5)
		},
		// The new discovery knows of a drain; a watch of the old one goes on without it. Guards against 6 s in place of 4 s.
		"reload to a discovery that rejects calls, the old one goes on": func(s *staleListTest) {
			next := s.discovery(drainFrom(silence))
			s.run(func(c *watchCall) { c.send(s.list(1, "Ready")); c.keepAlive(99 * time.Second) }, func() { s.reload(next) }, silence+2*time.Second)
			s.checkDrainHonoured(confirmAfterReload)
			s.checkServedUntil(confirmAfterReload - 100*time.Millisecond)
		},
		"push mode: reload to an agent that responds late": func(s *staleListTest) {
			s.listMode = "push"
			next := s.discovery(drainFrom(6 * time.Second))
			s.run(func(c *watchCall) { c.send(s.list(1, "Ready")); c.keepAlive(99 * time.Second) }, func() { s.reload(next) }, 8*time.Second)
			s.checkDrainHonoured(confirmAfterReload)
			s.checkServedShare(0.6)
		},
		// When a suspended process resumes, it reads what has arrived on the watch, although the time-out of the watch has passed.
		"process is suspended while the drain arrives, the next call waits": func(s *staleListTest) {
			const resume = 4 * time.Second
			s.run(func(c *watchCall) {
				if s.elapsed() > time.Second {
					c.wait(resume + 3*time.Second)
					c.reject()
					return
				}
				c.send(s.list(1, "Ready"))
				c.wait(1500 * time.Millisecond)
				c.send(s.list(2, "Terminating"))
				c.keepAlive(99 * time.Second)
			}, func() {
				s.sleepUntil(200 * time.Millisecond)
				s.signal(syscall.SIGSTOP)
				s.sleepUntil(resume)
				s.signal(syscall.SIGCONT)
			}, resume+2*time.Second)
			s.checkDrainHonoured(resume)
		},
		"discovery down or overloaded: calls wait for 3 s and fail": func(s *staleListTest) { s.runDiscoveryDown(failAfter(3 * time.Second)) },
		// The discovery of another installation has calls wait for 2 s.
		"discovery down or overloaded: calls wait for 2 s and fail": func(s *staleListTest) { s.runDiscoveryDown(failAfter(2 * time.Second)) },
		"discovery down or overloaded: connections break":           func(s *staleListTest) { s.runDiscoveryDown(breakConnection) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(&staleListTest{t: t, listMode: "ask", watchFirst: true})
		})
	}
}
