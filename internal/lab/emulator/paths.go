package emulator

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/relay"
	"kitewood/internal/lab/scenario"
)

// paths are the relays between sidecars and what they talk to. A run has them only where its plan breaks paths.
type paths struct {
	w *World

	mu     sync.Mutex
	relays map[path]*relay.Relay
	broken map[string][]*scenario.Path // by sidecar, those that are in force
	closed bool
}

// path names a relay: a sidecar, and the address that it stands for.
type path struct {
	sidecar, kind string // kind is one of scenario's
	tier, number  int    // of the instance's address; of discovery the number of its place
}

func newPaths(w *World) *paths {
	return &paths{w: w, relays: map[path]*relay.Relay{}, broken: map[string][]*scenario.Path{}}
}

func instancePath(s *sidecar, m *scenario.Machine) path {
	return path{s.name, scenario.PathInstances, m.Tier, m.AddressNumber}
}

// instance opens the path from a sidecar to the address of an instance, if it does not stand. What replaces an instance
// at its address has its path.
func (p *paths) instance(s *sidecar, i *instance) error {
	m := i.machine
	return p.open(instancePath(s, &m), p.w.block.relayed(m.Tier, m.AddressNumber, s.index), i.address(s),
		func(half string) { p.w.gone(m.Tier, m.AddressNumber, half) })
}

// discovery opens the path from a sidecar to discovery at a place.
func (p *paths) discovery(s *sidecar, place int) error {
	return p.open(path{s.name, scenario.PathDiscovery, s.tier, place}, p.w.block.relayedDiscovery(place, s.tier, s.index),
		p.w.block.discovery(place, s.tier, s.index), nil)
}

func (p *paths) open(key path, address, target string, ended func(string)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relays[key] != nil || p.closed {
		return nil
	}
	r, err := relay.ListenTCP(address, target, hash(fmt.Sprint(key))^p.w.seed)
	if err != nil {
		return err
	}
	if ended != nil {
		r.OnClientClose(ended)
	}
	p.relays[key] = r
	return r.SetState(p.state(key))
}

// state is how a path is under all that is in force.
func (p *paths) state(key path) (s relay.State) {
	for _, b := range p.broken[key.sidecar] {
		if p.meets(b, key) {
			s = relay.State{Delay: max(s.Delay, b.Delay), Loss: max(s.Loss, b.Loss), BlockForward: s.BlockForward || b.CutOutgoing, BlockReverse: s.BlockReverse || b.CutIncoming}
		}
	}
	return s
}

// meets tells whether a trouble concerns a path.
func (p *paths) meets(b *scenario.Path, key path) bool {
	if b.To != key.kind || b.Targets == nil {
		return b.To == key.kind
	}
	return slices.ContainsFunc(b.Targets, func(name string) bool {
		i := p.w.instance(name)
		return i != nil && i.machine.Tier == key.tier && i.machine.AddressNumber == key.number
	})
}

// change breaks a sidecar's paths, or heals what was broken.
func (p *paths) change(s *sidecar, b *scenario.Path, broken bool) error {
	if b.To == scenario.PathDiscovery {
		kind := ledger.DiscoveryPathRestored
		if broken {
			kind = ledger.DiscoveryPathCut
		}
		p.w.book.Add(ledger.Entry{Kind: kind, Sidecar: s.name, Tier: s.tier})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken {
		p.broken[s.name] = append(p.broken[s.name], b)
	} else {
		p.broken[s.name] = slices.DeleteFunc(p.broken[s.name], func(o *scenario.Path) bool { return o == b })
	}
	for key, r := range p.relays {
		if key.sidecar != s.name || !p.meets(b, key) {
			continue
		}
		if err := r.SetState(p.state(key)); err != nil {
			return fmt.Errorf("path of %s: %w", s.name, err)
		}
		if broken && b.ResetConnections {
			r.Reset()
		}
	}
	return nil
}

// asked is when the first byte was sent of what an instance's connection asks now, on the run's clock.
func (p *paths) asked(c *iconn, s *sidecar) (time.Duration, bool) {
	r := p.of(instancePath(s, &c.i.machine))
	if r == nil {
		return 0, false
	}
	at, known := r.PendingSince(c.RemoteAddr().String())
	return at.Sub(p.w.book.Start()), known
}

func (p *paths) of(key path) *relay.Relay {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays[key]
}

func (p *paths) close() {
	p.mu.Lock()
	p.closed = true
	all := slices.Collect(maps.Values(p.relays))
	clear(p.relays)
	p.mu.Unlock()
	for _, r := range all {
		r.Close()
	}
}

// gone takes word that a sidecar has ended its side of a connection to an instance's address, which the instance may see
// later: a path that is broken holds it.
func (w *World) gone(tier, number int, half string) {
	instances, _ := w.here()
	for _, i := range instances {
		if i.machine.Tier != tier || i.machine.AddressNumber != number {
			continue
		}
		i.post(func() {
			for c := range i.conns {
				if c.RemoteAddr().String() == half && !c.behind {
					c.behind = true
					i.leave(c)
				}
			}
		})
	}
}

// show has the path from a sidecar look as the instance's listener does. It is called on the instance's owner.
func (i *instance) show(d *door, t relay.TargetState) {
	if i.w.paths == nil {
		return
	}
	r := i.w.paths.of(instancePath(d.sidecar, &i.machine))
	if r == nil {
		return
	}
	if err := r.SetTargetState(t); err != nil {
		i.w.fail(fmt.Errorf("path from %s to %s: %w", d.sidecar.name, i.machine.Name, err))
	}
}
