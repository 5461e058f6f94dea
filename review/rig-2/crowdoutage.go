package main

import (
	"context"
	"time"
)

func init() { cases["10"] = crowdLikeAnOutage }

// crowdLikeAnOutage resets the open watches, after which discovery is crowded: each call of the sidecar waits 3 s and fails, while another
// caller has a watch and is told.
func crowdLikeAnOutage(r *Rig) error {
	list, err := r.instances(8, 300*time.Millisecond)
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
	if _, _, err := r.startPlatform(listen, d.Address, "ask", List{Index: 41, Snapshot: true, Endpoints: entries(list)}); err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "10a")
	stop, loaded := make(chan struct{}), make(chan struct{})
	go func() { defer close(loaded); clients.Load(25*time.Millisecond, 60*time.Second, stop, lookup, payment) }()
	time.Sleep(8 * time.Second) // a watch stands

	if r.Trouble {
		d.Wait = func(int) (time.Duration, bool) { return 3 * time.Second, true }
		d.Reset()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Follow(ctx)
	time.Sleep(time.Second)
	drained := r.Now()
	for k := range 3 {
		d.Change(list[k].entry("Terminating"))
	}
	time.Sleep(10 * time.Second)
	for _, i := range list[:3] {
		i.Stop()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	<-loaded
	clients.Results()
	// Told at the latest 6 s after discovery had it and could be reached.
	return r.sentAfterDrain(drained+6*time.Second, list[:3]...)
}
