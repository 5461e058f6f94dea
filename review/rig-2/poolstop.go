package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["8"] = plannedRestartOfPools }

// plannedRestartOfPools ends a sidecar with pools as at a planned restart, under load.
func plannedRestartOfPools(r *Rig) error {
	list, err := r.instances(6, 300*time.Millisecond)
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
	p, _, err := r.startPools(poolsConfig(listen, d.Address, 3))
	if err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "8a")
	const (
		before = 4 * time.Second
		// The longest deadline of a class is 6 s, which is taken as 3 s, and 0.7 s more.
		killAfter = 3700 * time.Millisecond
	)
	stop, loaded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(loaded)
		clients.Load(40*time.Millisecond, before+10*time.Second, stop, lookup, payment)
	}()
	time.Sleep(before)
	told := time.Duration(0)
	if r.Trouble {
		told = r.Now()
		r.Log("SIGTERM")
		p.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.ended:
	case <-time.After(killAfter):
	}
	if r.Trouble && p.Running() {
		r.Log("SIGKILL, %.3f s after SIGTERM", (r.Now() - told).Seconds())
		p.Signal(syscall.SIGKILL)
	}
	close(stop)
	<-loaded
	results := clients.Results()
	ran := map[string]bool{}
	for _, i := range list {
		for _, g := range i.Received() {
			ran[g.ID] = true
		}
	}
	lost, answered, first, last := 0, 0, time.Hour, time.Duration(0)
	for _, res := range results {
		switch {
		case res.Answered:
			if answered++; res.Status == 200 && !strings.Contains(res.Body, res.ID) {
				return &Broken{fmt.Sprintf("%s was answered with %q", res.ID, res.Body)}
			}
		case !ran[res.ID], r.Trouble && res.Sent <= told+700*time.Millisecond:
			// Perhaps not taken, as no instance has seen it, or excused: it came at most 0.7 s after SIGTERM.
		default:
			lost++
			first, last = min(first, res.Sent-told), max(last, res.Sent-told)
			r.LogAt(res.Sent, "LOST: %s was taken %.3f s after SIGTERM and has run and was never answered", res.ID, (res.Sent - told).Seconds())
		}
	}
	r.Log("%d requests, %d answered, %d lost", len(results), answered, lost)
	if answered == 0 {
		return fmt.Errorf("no request was answered")
	}
	if lost > 0 {
		return &Broken{fmt.Sprintf("%d of %d requests that have run were taken %.2f to %.2f s after SIGTERM and never answered", lost, len(results), first.Seconds(), last.Seconds())}
	}
	return nil
}

// poolsConfig returns the configuration of a sidecar with one pool.
func poolsConfig(listen, discovery string, attempts int) string {
	return fmt.Sprintf(`name: edge-1
listeners:
  - {address: "%s"}
limits: {sockets: 1024, memory_mb: 192}
pools:
  - name: portail
    members: {discovery: "%s"}
    attempts: %d
    classes:
      - {name: %s, effect: safe, aim: 2500ms, deadline: 6s}
      - {name: %s, effect: unsafe, aim: 2500ms, deadline: 6s, worth: 3}
    zone: mtl-1
    zones: [mtl-1]
    kinds: [portail-std]
routes:
  - {path: /, pool: portail}
`, listen, discovery, attempts, lookup.Name, payment.Name)
}
