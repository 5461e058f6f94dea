package emulator

import (
	"fmt"

	"github.com/goccy/go-yaml"

	"kitewood/internal/lab/child"
	"kitewood/internal/lab/dataplane"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/scenario"
)

// Proxies replaces kitewood sidecars with other proxies: see package dataplane.
type Proxies struct {
	Policy  string // one of dataplane.Policies
	Program string // path of kitewood-lab, whose proxy command runs them
	Control string // path of kitewood-control, for dataplane.Weighted
}

// controlService is the run's control service. It watches discovery as a sidecar of each tier would.
type controlService struct {
	*child.ControlProcess
	watchers []*sidecar // by tier; sidecars without a process, which stand for the control service in discovery
}

// check returns an error for a scenario that proxies cannot play.
func (p *Proxies) check(s *scenario.Scenario, plan *scenario.Plan) error {
	if s.Sidecar.ConfigFormat != scenario.FormatPlatform {
		return fmt.Errorf("the scenario configures sidecars in the form %s: other proxies read only the platform's form", s.Sidecar.ConfigFormat)
	}
	for _, e := range plan.Events {
		if e.Kind == scenario.MoveDiscovery {
			return fmt.Errorf("the scenario moves discovery at %s: only kitewood sidecars switch to the new address", e.At)
		}
	}
	return nil
}

// sidecarCommand returns the command line of a sidecar, or of the proxy that replaces it.
func (w *World) sidecarCommand(s *sidecar) (program string, args []string) {
	if w.proxies == nil {
		if args = []string{"serve"}; w.scenario.Sidecar.ConfigFormat == scenario.FormatPools {
			args = append(args, "--config", s.path("yaml"))
		}
		return w.binary, args
	}
	args = []string{"proxy", "--policy", w.proxies.Policy}
	if w.controlService != nil {
		args = append(args, "--control", w.controlService.Address, "--pool", w.scenario.Tiers[s.tier].Name)
	}
	return w.proxies.Program, args
}

// startControl starts the control service with a pool for each tier.
func (w *World) startControl() error {
	c := &controlService{}
	type object = map[string]any
	var pools, routes []object
	for t := range w.scenario.Tiers {
		tier := &w.scenario.Tiers[t]
		watcher := w.newSidecar("control@"+tier.Name, t, 0, 1)
		if err := w.registry.addSidecar(watcher); err != nil {
			return err
		}
		c.watchers = append(c.watchers, watcher)
		pool := w.scenario.Pool(t, 0, 1)
		pool["members"] = object{"discovery": w.registry.address(watcher)}
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
	w.controlService = c
	return nil
}

// stopControl ends the control service.
func (w *World) stopControl() {
	if w.controlService == nil {
		return
	}
	select {
	case <-w.controlService.Done:
		w.ledger.Add(ledger.Entry{Kind: ledger.SidecarCrashed, Sidecar: "control", Note: w.controlService.Output()})
	default:
		w.controlService.Kill()
	}
	w.controlService = nil
}

// recipients returns the names of the sidecars that an update from discovery to s reaches: if s stands for the control service,
// all proxies of its tier, as they have no other source of endpoint lists.
func (w *World) recipients(s *sidecar) []string {
	if w.controlService == nil || w.controlService.watchers[s.tier] != s {
		return []string{s.name}
	}
	var names []string
	_, all := w.members()
	for _, o := range all {
		if o.tier == s.tier {
			names = append(names, o.name)
		}
	}
	return names
}
