package main

import (
	"syscall"
	"time"
)

func init() { cases["10"] = crowdedDiscoveryAfterReload }

// crowdedDiscoveryAfterReload gives a sidecar a new configuration that moves discovery. The new discovery is crowded: it refuses the
// calls of the first seconds with 503.
func crowdedDiscoveryAfterReload(r *Rig) error {
	list, err := r.instances(8, 100*time.Millisecond)
	if err != nil {
		return err
	}
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	old, err := r.NewDiscovery("old discovery", 41, entries(list)...)
	if err != nil {
		return err
	}
	moved, err := r.NewDiscovery("new discovery", 41, entries(list)...)
	if err != nil {
		return err
	}
	if r.Trouble {
		moved.Wait = func(int) (time.Duration, bool) { return 0, true }
	}
	known := List{Index: 41, Snapshot: true, Endpoints: entries(list)}
	p, config, err := r.startPlatform(listen, old.Address, "ask", known)
	if err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "10a")
	stop, loaded := make(chan struct{}), make(chan struct{})
	go func() { defer close(loaded); clients.Load(25*time.Millisecond, 30*time.Second, stop, lookup, payment) }()
	time.Sleep(6 * time.Second) // the first call comes within 3.2 s

	if err := write(config, platformConfig(listen, moved.Address, "ask", known)); err != nil {
		return err
	}
	r.Log("SIGHUP: discovery moves")
	p.Signal(syscall.SIGHUP)
	at := r.Now()
	old.Leave()
	time.Sleep(1700 * time.Millisecond) // the old discovery has closed its connections
	for k := range 3 {
		moved.Change(list[k].entry("Terminating"))
	}
	time.Sleep(8 * time.Second)
	close(stop)
	<-loaded
	clients.Results()
	return r.sentAfterDrain(at+4*time.Second, list[:3]...)
}
