package emulator

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/scenario"
)

// runTimeline executes the events of the plan, each at its time. Long ones run in the background.
func (w *World) runTimeline(ctx context.Context) {
	var background tasks
	defer background.Wait()
	for _, e := range w.plan.Events {
		if !w.sleepUntil(ctx, e.At) {
			return
		}
		w.log.Debug("timeline", "at", w.ledger.Now().Round(time.Millisecond), "event", e.String())
		w.ledger.Add(ledger.Entry{Kind: ledger.FaultInjected, Instance: e.Instance, Note: e.String()})
		if i := w.instance(e.Instance); i != nil {
			w.applyToInstance(i, e, &background)
			continue
		}
		if e.Instance != "" && e.Kind != scenario.Start {
			continue // an instance that has not started
		}
		switch e.Kind {
		case scenario.Start:
			background.Go(func() { w.startInstance(*e.Machine) })
		case scenario.RestartSidecar:
			background.Go(func() { w.restartSidecar(w.firstTierSidecars[e.Sidecar], e.SignalSeries) })
		case scenario.KillSidecar, scenario.StopSidecar, scenario.ResumeSidecar, scenario.BreakPath, scenario.RestorePath, scenario.BreakWatches:
			w.applyToSidecar(w.firstTierSidecars[e.Sidecar], e, &background)
		case scenario.MoveDiscovery:
			w.registry.switchAddress()
			w.reloadSidecars()
		case scenario.SlowDiscovery:
			w.registry.setSlowdown(e.Factor)
		case scenario.DiscoveryDown:
			w.registry.goOffline()
		case scenario.DiscoveryUp:
			w.registry.goOnline()
		}
	}
}

// applyToInstance executes an event of an instance.
func (w *World) applyToInstance(i *instance, e scenario.Event, background *tasks) {
	now := w.ledger.Now()
	d := &w.scenario.Discovery
	switch e.Kind {
	case scenario.Vanish:
		i.do(i.vanish)
		w.registry.statusChanged(i, model.Gone, d.SilentDetectionDelay.D())
	case scenario.Return:
		background.Go(func() { w.restoreInstance(i) })
	case scenario.Slow:
		i.do(func() { i.model.SetSlowdown(now, e.Factor) })
	case scenario.Pause:
		i.do(func() { i.model.Pause(now, e.Span) })
	case scenario.LateReports:
		i.do(func() { i.model.SetReportDelay(now, e.Span) })
	case scenario.CorruptResponses:
		i.do(func() { i.model.Corrupt(now, e.Factor) })
	case scenario.RejectRequests:
		i.do(func() { i.model.SetRejecting(now, e.Factor > 0) })
	case scenario.Misroute:
		i.do(func() { i.misrouted = e.Factor > 0 })
	case scenario.KillSidecar, scenario.StopSidecar, scenario.ResumeSidecar, scenario.BreakPath, scenario.RestorePath, scenario.BreakWatches:
		if i.localSidecar != nil {
			w.applyToSidecar(i.localSidecar, e, background)
		}
	case scenario.Drain:
		i.do(func() { i.model.Drain(now) })
		w.registry.statusChanged(i, model.Terminating, d.DetectionDelay.D()/2)
	case scenario.Stop:
		i.do(i.terminate)
		w.registry.statusChanged(i, model.Gone, d.DetectionDelay.D()/2)
		if i.localSidecar != nil {
			background.Go(i.localSidecar.kill)
		}
	}
}

// startInstance starts a new instance, after its local sidecar.
func (w *World) startInstance(m scenario.Machine) {
	var localSidecar *sidecar
	if below := m.Tier + 1; below < len(w.scenario.Tiers) {
		count := w.scenario.Tiers[m.Tier].Instances
		localSidecar = w.newSidecar(w.scenario.Tiers[below].Name+"@"+m.Name, below, (m.AddressNumber-1)%count, count) // numbers count from 1
		if err := w.startSidecar(localSidecar); err != nil {
			w.failStart(err)
			return
		}
	}
	i := newInstance(w, m, true, localSidecar)
	w.addInstance(i)
	_, sidecars := w.members()
	for _, s := range sidecars {
		if s.tier == m.Tier {
			i.do(func() { i.addSidecar(s) })
		}
	}
	w.registry.statusChanged(i, model.Ready, w.scenario.Discovery.AddDelay.D())
}

// restoreInstance returns a vanished machine to the network, with new processes. One that a deploy has stopped meanwhile stays
// stopped, as another instance has its address.
func (w *World) restoreInstance(i *instance) {
	stopped := false
	i.do(func() { stopped = i.stopped })
	if stopped {
		return
	}
	if s := i.localSidecar; s != nil {
		s.kill()
		if err := s.start(); err != nil {
			w.failStart(err)
			return
		}
	}
	i.do(i.restore)
	w.registry.statusChanged(i, model.Ready, w.scenario.Discovery.AddDelay.D())
}

// restartSidecar does a planned restart of a sidecar: the front-end load balancer is notified first. Clients keep using open
// connections to it until it has ended. With signalSeries, further signals are sent before and after the one that stops it.
func (w *World) restartSidecar(s *sidecar, signalSeries bool) {
	w.markDead(s, 300*time.Millisecond)
	w.setStopping(s, true)
	if signalSeries {
		if p := s.signal(syscall.SIGHUP, false); p != nil { // the later signals go to this process, not to its successor
			time.AfterFunc(signalInterval, func() { p.cmd.Process.Signal(syscall.SIGHUP) })
			time.AfterFunc(2*signalInterval, func() { p.cmd.Process.Signal(syscall.SIGTERM) })
		}
	}
	s.terminate()
	w.setStopping(s, false)
	w.startAndAdmit(s)
}

// signalInterval is short compared with every step of a sidecar's stop.
const signalInterval = 40 * time.Millisecond

// setStopping records that a first-tier sidecar has been asked to stop, or has ended.
func (w *World) setStopping(s *sidecar, stopping bool) {
	w.balancerMu.Lock()
	defer w.balancerMu.Unlock()
	if !stopping {
		delete(w.stoppingSidecars, s)
		return
	}
	if w.stoppingSidecars == nil {
		w.stoppingSidecars = map[*sidecar]bool{}
	}
	w.stoppingSidecars[s] = true
}

// applyToSidecar executes an event of a sidecar or its paths.
func (w *World) applyToSidecar(s *sidecar, e scenario.Event, background *tasks) {
	switch e.Kind {
	case scenario.KillSidecar:
		background.Go(func() { w.killSidecar(s, e) })
	case scenario.StopSidecar, scenario.ResumeSidecar:
		s.setSuspended(e.Kind == scenario.StopSidecar)
	case scenario.BreakWatches:
		w.registry.breakWatches(s, e.Mode)
	case scenario.BreakPath, scenario.RestorePath:
		if err := w.paths.setFault(s, e.Path, e.Kind == scenario.BreakPath); err != nil {
			w.fail(err)
		}
	}
}

// killSidecar kills a sidecar. The front-end load balancer detects it with a delay. The sidecar is started again immediately,
// or after the event's span.
func (w *World) killSidecar(s *sidecar, e scenario.Event) {
	firstTier := s.tier == 0
	if firstTier {
		w.markDead(s, w.scenario.Frontend.DetectionDelay.D())
	}
	s.kill()
	if e.Span > 0 && !w.sleepUntil(w.ctx, e.At+e.Span) {
		return
	}
	s.setStartEmpty(e.DiscardList)
	switch {
	case firstTier:
		w.startAndAdmit(s)
	case !s.isRunning() && !w.isDown(e.Instance): // its machine may have been restored meanwhile, or be gone
		if err := s.start(); err != nil {
			w.failStart(err)
		}
	}
}

// clientWeight is the share of the clients that a first-tier sidecar gets, relative to 1 for the others.
func (w *World) clientWeight(s *sidecar) float64 {
	if s.index == 0 {
		return w.scenario.Frontend.Skew
	}
	return 1
}

// markDead makes the front-end load balancer detect after a delay that a sidecar has ended.
func (w *World) markDead(s *sidecar, delay time.Duration) {
	w.balancerMu.Lock()
	defer w.balancerMu.Unlock()
	w.balancer.MarkDead(w.ledger.Now()+delay, s.name)
}

// startAndAdmit starts a first-tier sidecar again and adds it to the front-end load balancer.
func (w *World) startAndAdmit(s *sidecar) {
	if err := s.start(); err != nil {
		w.failStart(err)
		return
	}
	w.balancerMu.Lock()
	defer w.balancerMu.Unlock()
	w.balancer.AddSidecar(s.name, w.clientWeight(s))
}

// failStart ends the run because a sidecar could not be started, unless the run is ending already.
func (w *World) failStart(err error) {
	if !errors.Is(err, errInterrupted) {
		w.fail(err)
	}
}

// reloadSidecars replaces the configuration of every running sidecar and sends it SIGHUP.
func (w *World) reloadSidecars() {
	_, sidecars := w.members()
	for _, s := range sidecars {
		if !s.isRunning() {
			continue
		}
		if err := s.reloadConfig(); err != nil {
			w.fail(fmt.Errorf("reload configuration of sidecar %s: %w", s.name, err))
		}
	}
}
