package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = crowdThatStopsHalfWay }

// A crowd of thousands of clients that stop half way, and the time over which they come.
const (
	crowdSize = 2500
	crowdTime = 2 * time.Second
)

// crowdThatStopsHalfWay has a crowd of clients connect, send half a head and stay, while the usual clients send each request on a new
// connection.
func crowdThatStopsHalfWay(r *Rig) error {
	list, err := r.instances(8, 100*time.Millisecond)
	if err != nil {
		return err
	}
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	d, err := r.NewDiscovery("discovery", 41, entries(list)...)
	if err != nil {
		return err
	}
	known := List{Index: 41, Snapshot: true, Endpoints: entries(list)}
	if _, _, err := r.startPlatform(listen, d.Address, "ask", known); err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "7a")
	clients.fresh = true
	loaded := make(chan struct{})
	go func() { defer close(loaded); clients.Load(40*time.Millisecond, 12*time.Second, nil, lookup, payment) }()
	time.Sleep(3 * time.Second)
	crowdEnds := make(chan struct{})
	var crowd sync.WaitGroup
	var connected atomic.Int64
	if r.Trouble {
		r.Log("%d clients connect, send half a head and stay", crowdSize)
		for k := range crowdSize {
			crowd.Go(func() {
				time.Sleep(crowdTime * time.Duration(k) / crowdSize)
				if stopHalfWay(listen, crowdEnds) {
					connected.Add(1)
				}
			})
		}
	}
	<-loaded
	results := clients.Results()
	close(crowdEnds)
	crowd.Wait()
	if r.Trouble {
		r.Log("%d of the crowd were connected", connected.Load())
		if connected.Load() < 1000 {
			return fmt.Errorf("only %d of the crowd could connect", connected.Load())
		}
	}
	answered, refused, shut, lost := 0, 0, 0, 0
	for _, res := range results {
		switch {
		case res.Answered:
			if answered++; res.Status == 503 {
				refused++
			}
		case res.Unsent || !strings.Contains(res.Reason, "timeout"):
			shut++ // a new connection may be shut unread
		default:
			lost++
			r.LogAt(res.Sent, "LOST: %s was written to an accepted connection, which stayed open, and got no answer within %.1f s and 0.6 s", res.ID, res.TimeLeft.Seconds())
		}
	}
	r.Log("%d requests, %d answered (%d of them refused), %d shut, %d lost", len(results), answered, refused, shut, lost)
	if answered == 0 {
		return fmt.Errorf("no request was answered")
	}
	if lost > 0 {
		return &Broken{fmt.Sprintf("%d of %d requests of usual clients were never answered: not within their time and 0.6 s", lost, len(results))}
	}
	return nil
}

// stopHalfWay connects, sends half a head, reads what it is sent and stays. It reports whether it was connected.
func stopHalfWay(address string, end <-chan struct{}) (connected bool) {
	c, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	io.WriteString(c, "POST /"+payment.Name+" HTTP/1.1\r\nHost: backend.local\r\nX-Corr")
	go io.Copy(io.Discard, c)
	<-end
	return true
}
