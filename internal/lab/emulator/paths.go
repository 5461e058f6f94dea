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

// pathSet holds the relays between sidecars and their upstreams. A run has it only if its plan breaks paths.
type pathSet struct {
	w *World

	mu     sync.Mutex
	relays map[pathKey]*relay.Relay
	faults map[string][]*scenario.Path // active faults by sidecar
	closed bool
}

// pathKey identifies a relay by the sidecar that uses it and the address that it forwards to.
type pathKey struct {
	sidecar, kind string // kind is scenario.PathInstances or scenario.PathDiscovery
	tier, number  int    // of the instance's address; for discovery, number is its location
}

func newPathSet(w *World) *pathSet {
	return &pathSet{w: w, relays: map[pathKey]*relay.Relay{}, faults: map[string][]*scenario.Path{}}
}

func instancePath(s *sidecar, m *scenario.Machine) pathKey {
	return pathKey{s.name, scenario.PathInstances, m.Tier, m.AddressNumber}
}

// openInstance opens the path from a sidecar to the address of an instance, unless it is open already. An instance that
// replaces another at its address uses the same path.
func (p *pathSet) openInstance(s *sidecar, i *instance) error {
	m := i.machine
	return p.open(instancePath(s, &m), p.w.addresses.relayedInstanceAddress(m.Tier, m.AddressNumber, s.index), i.address(s),
		func(peer string) { p.w.sidecarClosed(m.Tier, m.AddressNumber, peer) })
}

// openDiscovery opens the path from a sidecar to discovery at a location.
func (p *pathSet) openDiscovery(s *sidecar, location int) error {
	return p.open(pathKey{s.name, scenario.PathDiscovery, s.tier, location}, p.w.addresses.relayedDiscoveryAddress(location, s.tier, s.index),
		p.w.addresses.discoveryAddress(location, s.tier, s.index), nil)
}

func (p *pathSet) open(key pathKey, address, target string, ended func(string)) error {
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

// state combines all active faults that affect a path.
func (p *pathSet) state(key pathKey) (s relay.State) {
	for _, f := range p.faults[key.sidecar] {
		if p.affects(f, key) {
			s = relay.State{Delay: max(s.Delay, f.Delay), Loss: max(s.Loss, f.Loss), BlockForward: s.BlockForward || f.CutOutgoing, BlockReverse: s.BlockReverse || f.CutIncoming}
		}
	}
	return s
}

// affects reports whether a fault applies to a path.
func (p *pathSet) affects(f *scenario.Path, key pathKey) bool {
	if f.To != key.kind || f.Targets == nil {
		return f.To == key.kind
	}
	return slices.ContainsFunc(f.Targets, func(name string) bool {
		i := p.w.instance(name)
		return i != nil && i.machine.Tier == key.tier && i.machine.AddressNumber == key.number
	})
}

// setFault applies a fault to the paths of a sidecar, or removes it.
func (p *pathSet) setFault(s *sidecar, f *scenario.Path, broken bool) error {
	if f.To == scenario.PathDiscovery {
		kind := ledger.DiscoveryPathRestored
		if broken {
			kind = ledger.DiscoveryPathCut
		}
		p.w.ledger.Add(ledger.Entry{Kind: kind, Sidecar: s.name, Tier: s.tier})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if broken {
		p.faults[s.name] = append(p.faults[s.name], f)
	} else {
		p.faults[s.name] = slices.DeleteFunc(p.faults[s.name], func(o *scenario.Path) bool { return o == f })
	}
	for key, r := range p.relays {
		if key.sidecar != s.name || !p.affects(f, key) {
			continue
		}
		if err := r.SetState(p.state(key)); err != nil {
			return fmt.Errorf("set path state of %s: %w", s.name, err)
		}
		if broken && f.ResetConnections {
			r.Reset()
		}
	}
	return nil
}

// firstByteTime returns when, on the run's clock, the sidecar sent the first byte of the current request on a connection to an
// instance; false if it is not known.
func (p *pathSet) firstByteTime(c *instanceConn, s *sidecar) (time.Duration, bool) {
	r := p.relay(instancePath(s, &c.instance.machine))
	if r == nil {
		return 0, false
	}
	at, known := r.PendingSince(c.RemoteAddr().String())
	return at.Sub(p.w.ledger.Start()), known
}

func (p *pathSet) relay(key pathKey) *relay.Relay {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays[key]
}

func (p *pathSet) close() {
	p.mu.Lock()
	p.closed = true
	all := slices.Collect(maps.Values(p.relays))
	clear(p.relays)
	p.mu.Unlock()
	for _, r := range all {
		r.Close()
	}
}

// sidecarClosed records that a sidecar has closed its side of a connection to an instance's address. The instance may see
// that later, as a broken path holds it back.
func (w *World) sidecarClosed(tier, number int, peer string) {
	instances, _ := w.members()
	for _, i := range instances {
		if i.machine.Tier != tier || i.machine.AddressNumber != number {
			continue
		}
		i.post(func() {
			for c := range i.conns {
				if c.RemoteAddr().String() == peer && !c.peerClosed {
					c.peerClosed = true
					i.recordAllLost(c)
				}
			}
		})
	}
}

// setPathTarget makes the path from a sidecar behave as the instance's listener does. It is called on the instance's event
// loop.
func (i *instance) setPathTarget(l *sidecarListener, t relay.TargetState) {
	if i.w.paths == nil {
		return
	}
	r := i.w.paths.relay(instancePath(l.sidecar, &i.machine))
	if r == nil {
		return
	}
	if err := r.SetTargetState(t); err != nil {
		i.w.fail(fmt.Errorf("set target of path from %s to %s: %w", l.sidecar.name, i.machine.Name, err))
	}
}
