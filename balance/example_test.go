package balance_test

import (
	"fmt"
	"time"

	"kitewood/balance"
)

// host is a small host: it performs actions by printing them and keeps what a real one would have to do later.
type host struct {
	sent   []balance.EndpointID
	timers []uint64
}

func (h *host) Send(id balance.RequestID, s balance.EndpointID, timeout time.Duration) {
	fmt.Printf("request %d goes out, %v at most\n", id, timeout)
	h.sent = append(h.sent, s)
}
func (h *host) Reject(id balance.RequestID, _ time.Duration, _ balance.Reason) {
	fmt.Printf("request %d is refused\n", id)
}
func (h *host) Fail(id balance.RequestID, _ balance.Reason) { fmt.Printf("request %d fails\n", id) }
func (h *host) Cancel(balance.RequestID, int)               {}
func (h *host) Probe(balance.EndpointID)                    {}
func (h *host) CloseIdle(balance.EndpointID)                {}
func (h *host) Watch()                                      {}
func (h *host) SendToPeer(int, []byte)                      {}
func (h *host) StartTimer(_ time.Duration, token uint64)    { h.timers = append(h.timers, token) }
func (h *host) Log(text string)                             {}

func Example() {
	h := &host{}
	b, err := balance.New(balance.Settings{
		Seed:      1,
		Balancers: 1,
		Classes:   []balance.Class{{LatencyTarget: time.Second, Deadline: 3 * time.Second, Utility: 1, LateUtility: 0.5}},
		Report:    balance.Report{Source: balance.OnResponses, Fields: []balance.Field{balance.Util}},
		Limits:    balance.Limits{MaxAttempts: 3},
		Rules:     balance.Rules{SlowStartShare: 0.3, SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second},
	}, h, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.UpdateEndpoints(0, balance.Cached, []balance.Endpoint{{ID: 1, State: balance.Ready}, {ID: 2, State: balance.Ready}})

	now := 10 * time.Millisecond
	b.RequestArrived(now, balance.Request{ID: 7, Deadline: now + 2*time.Second})
	first := h.sent[0]

	// The server turns it away unseen; the request goes to the other one, which serves it and reports its load.
	now += 5 * time.Millisecond
	b.AttemptDone(now, balance.Outcome{ID: 7, Attempt: 0, Endpoint: first, Status: balance.Rejected})
	now += 40 * time.Millisecond
	b.AttemptDone(now, balance.Outcome{ID: 7, Attempt: 1, Endpoint: h.sent[1], Status: balance.OK, Final: true,
		Latency: 40 * time.Millisecond, Load: []float32{0.6}})
	fmt.Println("another server:", first != h.sent[1])

	// Timers come back with their tokens when their time has come.
	now += time.Second
	for _, token := range append([]uint64(nil), h.timers...) {
		b.TimerFired(now, token)
	}

	// All servers leave: a request is held while a server could still come in time, then refused by a timer.
	b.UpdateEndpoints(now, balance.Full, nil)
	h.timers = nil
	b.RequestArrived(now, balance.Request{ID: 8, Deadline: now + 500*time.Millisecond})
	now += 500 * time.Millisecond
	for _, token := range h.timers {
		b.TimerFired(now, token)
	}
	// Output:
	// request 7 goes out, 2s at most
	// request 7 goes out, 1.995s at most
	// another server: true
	// request 8 is refused
}
