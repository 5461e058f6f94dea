package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// endpointProcess is a stand-in for one process of an endpoint. Once it has vanished it says nothing more, and its connections stay open.
type endpointProcess struct {
	listener net.Listener
	mu       sync.Mutex
	vanished bool
	received []string
}

// startEndpointProcess starts a process at an address.
func startEndpointProcess(t *testing.T, address string) *endpointProcess {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &endpointProcess{listener: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go p.serve(conn)
		}
	}()
	return p
}

// serve answers the requests of a connection until the process vanishes.
func (p *endpointProcess) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		p.mu.Lock()
		p.received = append(p.received, request.Header.Get("X-Correlation-Id"))
		vanished := p.vanished
		p.mu.Unlock()
		if !vanished {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// vanish makes the process silent and frees its address.
func (p *endpointProcess) vanish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vanished = true
	p.listener.Close()
}

// count returns how many requests the process has received.
func (p *endpointProcess) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received)
}

// A machine vanishes, and a new process comes up at its address, under the same name with a later start or under another name. Once
// discovery has reported it, nothing goes to the old one's connections any more. Guards against a process that is known by its
// address, or by its name, alone.
func TestNewProcessAtTheSameAddress(t *testing.T) {
	for name, entry := range map[string]string{"same name": "s", "other name": "s2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := testkit.ReserveAddress(t)
			listEntry := func(name string, sinceMS int64) string {
				return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":0,"status":"Ready","weight":1,"since_ms":%d}`, name, address, sinceMS)
			}
			old := startEndpointProcess(t, address)
			restarted := make(chan struct{})
			s := &staleListTest{t: t}
			s.setStart()
			discovery := s.discovery(func(c *watchCall) {
				c.send(fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`+"\n", listEntry("s", 0)))
				<-restarted
				c.send(fmt.Sprintf(`{"index":3,"snapshot":false,"endpoints":[%s]}`+"\n", listEntry(entry, time.Now().Add(-10*time.Second).UnixMilli())))
				c.keepAlive(99 * time.Second)
			})
			listen, config := testkit.ReserveAddress(t), t.TempDir()+"/config.json"
			writeFile(t, config, configJSON(listen, discovery, 256, "ask", listEntry("s", 0)))
			_, log := startSidecar(t, config, 0)
			testkit.WaitUntil(t, "the sidecar has a list", func() bool { return log.Count("kind=full") > 0 })
			pay := func(id string) int {
				request, _ := http.NewRequest("POST", "http://"+listen+"/pay/x", strings.NewReader("x"))
				request.Header.Set("X-Correlation-Id", id)
				request.Header.Set("X-Time-Left-Ms", "1500")
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					t.Error(err)
					return 0
				}
				response.Body.Close()
				return response.StatusCode
			}
			var first sync.WaitGroup
			for n := range 6 { // so that there are idle connections
				first.Go(func() { pay(fmt.Sprintf("%s-first-%d", entry, n)) })
			}
			first.Wait()
			time.Sleep(100 * time.Millisecond)
			old.vanish()
			before := old.count()
			next := startEndpointProcess(t, address)
			close(restarted)
			testkit.WaitUntil(t, "the sidecar knows of the new process", func() bool { return log.Count("kind=delta") > 0 })
			statuses := map[int]int{}
			for n := range 6 {
				statuses[pay(fmt.Sprintf("%s-second-%d", entry, n))]++
			}
			if toOld := old.count() - before; toOld > 0 || next.count() != 6 || statuses[200] != 6 {
				t.Errorf("%d payments went to the process that has gone, %d to the new one; statuses %v, want 0, 6 and all 200", toOld, next.count(), statuses)
			}
		})
	}
}
