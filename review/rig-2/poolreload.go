package main

import (
	"syscall"
	"time"
)

func init() { cases["9"] = reloadMovesDiscovery }

// reloadMovesDiscovery gives a sidecar with pools a new configuration that moves discovery while a release is under way. The new
// discovery counts its versions itself.
func reloadMovesDiscovery(r *Rig) error {
	list, err := r.instances(8, 300*time.Millisecond)
	if err != nil {
		return err
	}
	next, err := r.instances(8, 300*time.Millisecond)
	if err != nil {
		return err
	}
	for k, i := range next {
		i.Name = "t" + list[k].Name[1:]
	}
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	old, err := r.NewDiscovery("old discovery", 41, entries(list)...)
	if err != nil {
		return err
	}
	moved, err := r.NewDiscovery("new discovery", 33, entries(list)...)
	if err != nil {
		return err
	}
	p, config, err := r.startPools(poolsConfig(listen, old.Address, 3))
	if err != nil {
		return err
	}
	if err := AwaitReady(listen); err != nil {
		return err
	}
	clients := r.NewClients(listen, "9a")
	stop, loaded := make(chan struct{}), make(chan struct{})
	go func() { defer close(loaded); clients.Load(25*time.Millisecond, 20*time.Second, stop, lookup, payment) }()
	time.Sleep(3 * time.Second)

	attempts := 3
	if r.Trouble {
		attempts = 4 // without the disruption discovery moves alone
	}
	if err := write(config, poolsConfig(listen, moved.Address, attempts)); err != nil {
		return err
	}
	r.Log("SIGHUP: discovery moves, attempts %d", attempts)
	p.Signal(syscall.SIGHUP)
	at := r.Now()
	old.Leave()
	time.Sleep(100 * time.Millisecond)
	// A release replaces four of the eight instances. Both discoveries have it at once.
	for k := range 4 {
		for _, d := range []*Discovery{old, moved} {
			d.Change(list[k].entry("Terminating"))
		}
	}
	for k := range next {
		for _, d := range []*Discovery{old, moved} {
			d.Change(next[k].entry("Ready"))
		}
	}
	time.Sleep(9 * time.Second)
	for _, i := range list[:4] {
		i.Stop()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	<-loaded
	clients.Results()
	// Told no later than 6 s after discovery had it, whether it arrived or not.
	return r.sentAfterDrain(at+6*time.Second, list[:4]...)
}
