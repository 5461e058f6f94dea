package emulator

import (
	"fmt"

	"github.com/goccy/go-yaml"

	"kitewood/internal/lab/child"
	"kitewood/internal/lab/dataplane"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/scenario"
)

// Proxies put other proxies in the place of kitewood sidecars: see package dataplane.
type Proxies struct {
	Policy  string // one of dataplane.Policies
	Program string // kitewood-lab, whose command proxy they are
	Control string // kitewood-control, for dataplane.Weighted
}

// controls is the run's control service. It watches discovery as a sidecar of each tier would.
type controls struct {
	*child.ControlProcess
	places []*sidecar // by tier; they have no process
}

// check refuses what proxies cannot play.
func (p *Proxies) check(s *scenario.Scenario, plan *scenario.Plan) error {
	if s.Sidecar.ConfigFormat != scenario.FormatPlatform {
		return fmt.Errorf("the scenario's sidecars are configured as %s: other proxies read the platform's form alone", s.Sidecar.ConfigFormat)
	}
	for _, e := range plan.Events {
		if e.Kind == scenario.MoveDiscovery {
			return fmt.Errorf("the scenario moves discovery at %s: only kitewood sidecars follow it", e.At)
		}
	}
	return nil
}

// command is the command line of a sidecar's place.
func (w *World) command(s *sidecar) (program string, args []string) {
	if w.proxies == nil {
		if args = []string{"serve"}; w.s.Sidecar.ConfigFormat == scenario.FormatPools {
			args = append(args, "--config", s.file("yaml"))
		}
		return w.binary, args
	}
	args = []string{"proxy", "--policy", w.proxies.Policy}
	if w.controls != nil {
		args = append(args, "--control", w.controls.Address, "--pool", w.s.Tiers[s.tier].Name)
	}
	return w.proxies.Program, args
}

// startControl starts the control service with a pool for each tier.
func (w *World) startControl() error {
	c := &controls{}
	type object = map[string]any
	var pools, routes []object
	for t := range w.s.Tiers {
		tier := &w.s.Tiers[t]
		place := w.newSidecar("control@"+tier.Name, t, 0, 1)
		if err := w.registry.admit(place); err != nil {
			return err
		}
		c.places = append(c.places, place)
		pool := w.s.Pool(t, 0, 1)
		pool["members"] = object{"discovery": w.registry.address(place)}
		pools = append(pools, pool)
		routes = append(routes, object{"hosts": []string{dataplane.RouteHost(tier.Name)}, "pool": tier.Name})
	}
	text, err := yaml.Marshal(object{"pools": pools, "routes": routes})
	if err != nil {
		return err
	}
	if c.ControlProcess, err = child.StartControl(w.proxies.Control, w.dir, "control", string(text)); err != nil {
		return err
	}
	w.controls = c
	return nil
}

// stopControl ends the control service.
func (w *World) stopControl() {
	if w.controls == nil {
		return
	}
	select {
	case <-w.controls.Done:
		w.book.Add(ledger.Entry{Kind: ledger.SidecarCrashed, Sidecar: "control", Note: w.controls.Output()})
	default:
		w.controls.Kill()
	}
	w.controls = nil
}

// hear are the names of those who are told what discovery tells a sidecar: where that is the control service's place, it is
// all proxies of the tier, as they hear from nobody else.
func (w *World) hear(s *sidecar) []string {
	if w.controls == nil || w.controls.places[s.tier] != s {
		return []string{s.name}
	}
	var names []string
	_, all := w.here()
	for _, o := range all {
		if o.tier == s.tier {
			names = append(names, o.name)
		}
	}
	return names
}
