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

// timeline does what the plan says, each thing at its time. What takes long goes on beside it.
func (w *World) timeline(ctx context.Context) {
	var open tasks
	defer open.Wait()
	for _, e := range w.plan.Events {
		if !w.sleep(ctx, e.At) {
			return
		}
		w.log.Debug("timeline", "at", w.book.Now().Round(time.Millisecond), "event", e.String())
		w.book.Add(ledger.Entry{Kind: ledger.FaultInjected, Instance: e.Instance, Note: e.String()})
		if i := w.instance(e.Instance); i != nil {
			w.happen(i, e, &open)
			continue
		}
		if e.Instance != "" && e.Kind != scenario.Start {
			continue // it was to come later, and has not
		}
		switch e.Kind {
		case scenario.Start:
			open.Go(func() { w.startMachine(*e.Machine) })
		case scenario.RestartSidecar:
			open.Go(func() { w.restart(w.first[e.Sidecar], e.SignalSeries) })
		case scenario.KillSidecar, scenario.StopSidecar, scenario.ResumeSidecar, scenario.BreakPath, scenario.RestorePath, scenario.BreakWatches:
			w.trouble(w.first[e.Sidecar], e, &open)
		case scenario.MoveDiscovery:
			w.registry.move()
			w.reload()
		case scenario.SlowDiscovery:
			w.registry.slow(e.Factor)
		case scenario.DiscoveryDown:
			w.registry.down()
		case scenario.DiscoveryUp:
			w.registry.up()
		}
	}
}

// happen does something to an instance.
func (w *World) happen(i *instance, e scenario.Event, open *tasks) {
	now := w.book.Now()
	d := &w.s.Discovery
	switch e.Kind {
	case scenario.Vanish:
		i.do(i.vanish)
		w.registry.change(i, model.Gone, d.SilentDetectionDelay.D())
	case scenario.Return:
		open.Go(func() { w.bringBack(i) })
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
		i.do(func() { i.misled = e.Factor > 0 })
	case scenario.KillSidecar, scenario.StopSidecar, scenario.ResumeSidecar, scenario.BreakPath, scenario.RestorePath, scenario.BreakWatches:
		if i.beside != nil {
			w.trouble(i.beside, e, open)
		}
	case scenario.Drain:
		i.do(func() { i.model.Drain(now) })
		w.registry.change(i, model.Terminating, d.DetectionDelay.D()/2)
	case scenario.Stop:
		i.do(i.down)
		w.registry.change(i, model.Gone, d.DetectionDelay.D()/2)
		if i.beside != nil {
			open.Go(i.beside.kill)
		}
	}
}

// startMachine starts an instance that is new, its sidecar first.
func (w *World) startMachine(m scenario.Machine) {
	var beside *sidecar
	if below := m.Tier + 1; below < len(w.s.Tiers) {
		of := w.s.Tiers[m.Tier].Instances
		beside = w.newSidecar(w.s.Tiers[below].Name+"@"+m.Name, below, (m.AddressNumber-1)%of, of) // numbers count from 1
		if err := w.enroll(beside); err != nil {
			w.failStart(err)
			return
		}
	}
	i := newInstance(w, m, true, beside)
	w.place(i)
	_, sidecars := w.here()
	for _, s := range sidecars {
		if s.tier == m.Tier {
			i.do(func() { i.admit(s) })
		}
	}
	w.registry.change(i, model.Ready, w.s.Discovery.AddDelay.D())
}

// bringBack brings a machine back that had vanished, with processes that are new. One that a release has stopped meanwhile
// stays so: another has its address.
func (w *World) bringBack(i *instance) {
	stopped := false
	i.do(func() { stopped = i.stopped })
	if stopped {
		return
	}
	if s := i.beside; s != nil {
		s.kill()
		if err := s.start(); err != nil {
			w.failStart(err)
			return
		}
	}
	i.do(i.back)
	w.registry.change(i, model.Ready, w.s.Discovery.AddDelay.D())
}

// restart is a planned restart of a sidecar: the front layer learns of it first. Clients go on using the connections to it that
// stay open, until it has ended. In a series further signals come around the one that stops it.
func (w *World) restart(s *sidecar, series bool) {
	w.died(s, 300*time.Millisecond)
	w.stopping(s, true)
	if series {
		if p := s.signal(syscall.SIGHUP, false); p != nil { // those that follow are for this process, not for its successor
			time.AfterFunc(betweenSignals, func() { p.cmd.Process.Signal(syscall.SIGHUP) })
			time.AfterFunc(2*betweenSignals, func() { p.cmd.Process.Signal(syscall.SIGTERM) })
		}
	}
	s.term()
	w.stopping(s, false)
	w.again(s)
}

// betweenSignals is short against everything that a stopping sidecar does.
const betweenSignals = 40 * time.Millisecond

// stopping notes that a sidecar has been told to stop, or has ended.
func (w *World) stopping(s *sidecar, is bool) {
	w.frontMu.Lock()
	defer w.frontMu.Unlock()
	if !is {
		delete(w.ending, s)
		return
	}
	if w.ending == nil {
		w.ending = map[*sidecar]bool{}
	}
	w.ending[s] = true
}

// trouble does something to a sidecar or its paths.
func (w *World) trouble(s *sidecar, e scenario.Event, open *tasks) {
	switch e.Kind {
	case scenario.KillSidecar:
		open.Go(func() { w.killSidecar(s, e) })
	case scenario.StopSidecar, scenario.ResumeSidecar:
		s.stand(e.Kind == scenario.StopSidecar)
	case scenario.BreakWatches:
		w.registry.breakWatches(s, e.Mode)
	case scenario.BreakPath, scenario.RestorePath:
		if err := w.paths.change(s, e.Path, e.Kind == scenario.BreakPath); err != nil {
			w.fail(err)
		}
	}
}

// killSidecar ends a sidecar outright. The front layer learns late; it is started again at once, or when its time is over.
func (w *World) killSidecar(s *sidecar, e scenario.Event) {
	first := s.tier == 0
	if first {
		w.died(s, w.s.Frontend.DetectionDelay.D())
	}
	s.kill()
	if e.Span > 0 && !w.sleep(w.ctx, e.At+e.Span) {
		return
	}
	s.forget(e.DiscardList)
	switch {
	case first:
		w.again(s)
	case !s.runs() && !w.frozen(e.Instance): // its machine may have come back meanwhile, or be gone
		if err := s.start(); err != nil {
			w.failStart(err)
		}
	}
}

// shareOf is how much of the clients a front sidecar gets beside the others.
func (w *World) shareOf(s *sidecar) float64 {
	if s.index == 0 {
		return w.s.Frontend.Skew
	}
	return 1
}

func (w *World) died(s *sidecar, notice time.Duration) {
	w.frontMu.Lock()
	defer w.frontMu.Unlock()
	w.front.MarkDead(w.book.Now()+notice, s.name)
}

func (w *World) again(s *sidecar) {
	if err := s.start(); err != nil {
		w.failStart(err)
		return
	}
	w.frontMu.Lock()
	defer w.frontMu.Unlock()
	w.front.AddSidecar(s.name, w.shareOf(s))
}

// failStart ends the run because a sidecar could not be started, unless the run is ending anyway.
func (w *World) failStart(err error) {
	if !errors.Is(err, errInterrupted) {
		w.fail(err)
	}
}

// reload gives every sidecar its configuration anew, and says so by SIGHUP.
func (w *World) reload() {
	_, sidecars := w.here()
	for _, s := range sidecars {
		if !s.runs() {
			continue
		}
		if err := s.reload(); err != nil {
			w.fail(fmt.Errorf("reload of %s: %w", s.name, err))
		}
	}
}
