package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"kitewood/internal/testkit"
)

// arrivals records when requests reached an endpoint, by id.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

// add records an arrival now.
func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.times == nil {
		a.times = map[string][]time.Time{}
	}
	a.times[id] = append(a.times[id], time.Now())
}

// startPaymentSidecar starts a sidecar in front of an endpoint that takes a time for each request and records it.
func startPaymentSidecar(t *testing.T, serviceTime time.Duration) (address string, received *arrivals) {
	received = &arrivals{}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		received.add(r.Header.Get("X-Correlation-Id"))
		time.Sleep(serviceTime)
	}))
	t.Cleanup(endpoint.Close)
	address = testkit.ReserveAddress(t)
	config := t.TempDir() + "/config.json"
	writeFile(t, config, configJSON(address, testkit.ReserveAddress(t), 512, "ask", endpointJSON(endpoint.Listener.Addr(), "Ready")))
	startSidecar(t, config, 0)
	testkit.WaitUntil(t, "the sidecar is ready", func() bool { return isReady(address) })
	return address, received
}

// payment is a payment with a body of some size.
func payment(id string, size int) string {
	return fmt.Sprintf("POST /pay/echo HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("x", size))
}

// leave closes a connection, with a reset or in order.
func leave(conn net.Conn, reset bool) {
	if reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// Clients send many payments at once and leave while the first ones are served. None is begun later than 0.1 s after its client has left.
// Guards against requests that are sent on from what was read, or lies unread, of a connection whose client has gone.
func TestNothingIsBegunForClientsThatHaveLeft(t *testing.T) {
	const (
		clients     = 10
		allowed     = 150 * time.Millisecond // 0.1 s and the tolerance for sockets
		serviceTime = 60 * time.Millisecond
	)
	for _, c := range []struct{ requests, size int }{{300, 10}, {30, 2000}, {300, 2000}, {100, 30000}} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d payments of %d bytes, reset %v", c.requests, c.size, reset), func(t *testing.T) {
				t.Parallel()
				address, received := startPaymentSidecar(t, serviceTime)
				var mu sync.Mutex
				left := map[string]time.Time{}
				var running sync.WaitGroup
				for n := range clients {
					running.Go(func() {
						conn, err := net.Dial("tcp", address)
						if err != nil {
							t.Error(err)
							return
						}
						conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
						for i := range c.requests {
							if _, err := io.WriteString(conn, payment(fmt.Sprintf("%d-%d", n, i), c.size)); err != nil {
								break
							}
						}
						time.Sleep(time.Duration(100+20*n) * time.Millisecond)
						mu.Lock()
						left[fmt.Sprint(n)] = time.Now()
						mu.Unlock()
						leave(conn, reset)
					})
				}
				running.Wait()
				time.Sleep(time.Second)
				received.mu.Lock()
				defer received.mu.Unlock()
				late, latest := 0, time.Duration(0)
				for id, times := range received.times {
					client, _, _ := strings.Cut(id, "-")
					for _, at := range times {
						if after := at.Sub(left[client]); after > allowed {
							late, latest = late+1, max(latest, after)
						}
					}
				}
				if late > 0 || len(received.times) < clients {
					t.Errorf("%d of %d payments were begun up to %v after their clients had left, at most %v is allowed", late, len(received.times), latest, allowed)
				}
			})
		}
	}
}

// Clients leave while their payment runs and send it again, under the same id, on a new connection. Each runs once, whether the second
// comes while the first runs or later. Guards against a process that forgets an id with the connection that it came on.
func TestPaymentThatComesAgainRunsOnce(t *testing.T) {
	const clients, serviceTime = 60, 400 * time.Millisecond
	address, received := startPaymentSidecar(t, serviceTime)
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range clients {
		running.Go(func() {
			id := fmt.Sprintf("again-%d", n)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			io.WriteString(conn, payment(id, 10))
			time.Sleep(time.Duration(50+10*(n%30)) * time.Millisecond)
			leave(conn, n%2 == 0)
			if n%3 == 0 {
				time.Sleep(2 * serviceTime)
			}
			request, _ := http.NewRequest("POST", "http://"+address+"/pay/echo", strings.NewReader("xxxxxxxxxx"))
			request.Header.Set("X-Correlation-Id", id)
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Errorf("the second %s got no answer: %v", id, err)
				return
			}
			response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			statuses[response.StatusCode]++
		})
	}
	running.Wait()
	received.mu.Lock()
	defer received.mu.Unlock()
	twice := 0
	for _, times := range received.times {
		if len(times) > 1 {
			twice++
		}
	}
	if twice > 0 || len(received.times) != clients || statuses[503] > 0 {
		t.Errorf("%d of %d payments ran twice; statuses of the second ones: %v", twice, len(received.times), statuses)
	}
}
