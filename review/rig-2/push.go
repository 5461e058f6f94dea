package main

import (
	"time"
)

func init() { cases["10"] = pushedFromTheFirstMoment }

// outage is how long discovery is down after the start of the process. The page has 8 s; the first half of them has passed.
const outage = 4 * time.Second

// pushedFromTheFirstMoment starts a sidecar where lists are pushed, while discovery is down. The list that it starts with is old. The
// agent has a newer one and is silent until discovery is back.
func pushedFromTheFirstMoment(r *Rig) error {
	list, err := r.instances(8, 100*time.Millisecond)
	if err != nil {
		return err
	}
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	known := List{Index: 41, Snapshot: true, Endpoints: entries(list)}
	now := entries(list)
	for k := range 3 {
		now[k].Status = "Terminating"
	}
	agent, err := r.NewDiscovery("agent", 44, now...)
	if err != nil {
		return err
	}
	if r.Trouble {
		back := r.Now() + outage
		agent.Wait = func(int) (time.Duration, bool) { return max(back-r.Now(), 0), false }
	}
	if _, _, err := r.startPlatform(listen, agent.Address, "push", known); err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	// The process counts as started when it was ready, which is later than its first moment.
	at := r.Now()
	r.Log("ready")
	clients := r.NewClients(listen, "10a")
	clients.Load(25*time.Millisecond, 8*time.Second, nil, lookup, payment)
	clients.Results()
	return r.sentAfterDrain(at, list[:3]...)
}
