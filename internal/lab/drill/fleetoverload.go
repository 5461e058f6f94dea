package drill

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"kitewood/internal/lab/account"
	rig "kitewood/internal/lab/fleet"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/results"
)

// fleetOverloadDrill brings overload and failing parts to a fleet of sidecars.
var fleetOverloadDrill = Drill{
	Name:        "fleet-overload",
	Description: "a fleet of sidecars in overload, with parts that fail: the worthiest is served, nothing multiplies, service is back in 5 s",
	Defects:     rig.DefectNames(),
	Run:         runFleetOverload,
}

const (
	most        = 1.15 // attempts for an operation, as a multiple of a calm run's
	mostLost    = 0.08 // share of the work done whose answer nobody got
	leastBack   = 0.95 // of calm service, backWithin after the trouble's end
	backWithin  = 5 * time.Second
	leastDouble = 0.85  // worth served at twice the capacity, beside that at the capacity
	leastWorthy = 0.95  // of the worthiest class, while anything of the least is served
	mostLetIn   = 0.015 // of the tries of those that the entry has refused, while a lower tier declines
	mostSpread  = 0.1   // between the refusals of two sidecars with like traffic
)

// fleetPlay is one run of a case.
type fleetPlay struct {
	rig.Case
	sidecars int
	seed     uint64
	dir      string
	*rig.Result
}

func (p *fleetPlay) String() string {
	return fmt.Sprintf("%s, %d sidecars, seed %d", p.Name, p.sidecars, p.seed)
}

// playFleet plays a case; the short form takes half of its time.
func playFleet(ctx context.Context, o Options, name string, sidecars int, seed uint64) (*fleetPlay, error) {
	c, s, err := rig.FindCase(name)
	if err != nil {
		return nil, err
	}
	if err := rig.ApplyDefect(s, o.Defect); err != nil {
		return nil, err
	}
	if o.Short {
		c.FaultStart, c.FaultEnd, c.Duration = c.FaultStart/2, c.FaultEnd/2, c.Duration/2
		squeeze(s, c.Duration)
	}
	dir, err := scratch(o, fmt.Sprintf("fleet-%s-%d-seed%d", name, sidecars, seed))
	if err != nil {
		return nil, err
	}
	r, err := rig.Run(ctx, rig.Options{Scenario: s, Sidecars: sidecars, Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.Summary.CutShort {
		return nil, context.Cause(ctx)
	}
	return &fleetPlay{c, sidecars, seed, dir, r}, nil
}

func runFleetOverload(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	names, sizes, seeds := rig.CaseNames(), []int{12, 24, 48}, o.times(3, 1)
	if o.Short {
		names, sizes = []string{"calm", "double", "circle"}, []int{6}
	}
	held := &held{out: out, short: o.Short}
	for n := range seeds {
		for _, sidecars := range sizes {
			plays, err := playAll(ctx, o, names, sidecars, o.Seed+uint64(n))
			if err != nil {
				return nil, err
			}
			for _, p := range plays {
				held.play(p, plays[0])
			}
		}
	}
	held.again()
	if !o.Short {
		small, err := playFleet(ctx, o, "slow", 6, o.Seed)
		if err != nil {
			return nil, err
		}
		held.beside(small)
	}
	if o.Defect == "" {
		if err := closedLoops(ctx, o, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// playAll plays cases with one fleet, as many side by side as leave each process some part of a core.
func playAll(ctx context.Context, o Options, names []string, sidecars int, seed uint64) ([]*fleetPlay, error) {
	plays, errs := make([]*fleetPlay, len(names)), make([]error, len(names))
	places := make(chan bool, max(1, 8*runtime.NumCPU()/sidecars))
	var open sync.WaitGroup
	for i, name := range names {
		places <- true
		open.Go(func() {
			defer func() { <-places }()
			plays[i], errs[i] = playFleet(ctx, o, name, sidecars, seed)
		})
	}
	open.Wait()
	return plays, errors.Join(errs...)
}

// held gathers what the runs showed.
type held struct {
	out      *Outcome
	short    bool
	beside48 *fleetPlay

	tries, letIn int // see account.Again
}

// play holds one run to what the drill promises, beside the calm run of the same rig.
func (h *held) play(p, calm *fleetPlay) {
	out, a, at := h.out, p.Account, p.String()+": "
	broken := p.Summary.Violations()
	out.Hold(at+"broken rules", float64(broken), "0", broken == 0)
	for _, b := range p.Violations[:min(len(p.Violations), 3)] {
		out.Notes = append(out.Notes, at+b.String())
	}
	if p == calm {
		out.Tell(at+"attempts for an operation", a.AttemptsPerRequest)
		out.Tell(at+"service", calmService(calm))
		return
	}
	if p.sidecars == 48 && p.Name == "slow" {
		h.beside48 = p
	}
	bound := most
	if h.short { // few operations: chance is larger
		bound = 1.4
	}
	times := a.AttemptsPerRequest / calm.Account.AttemptsPerRequest
	out.Hold(at+"attempts for an operation, times calm", times, fmt.Sprintf("at most %g", bound), times <= bound)
	out.Hold(at+"work for answers that nobody got", a.LostWork, fmt.Sprintf("at most %g", mostLost), a.LostWork <= mostLost || h.short)
	if p.Duration > p.FaultEnd+backWithin+2*time.Second {
		back, _ := a.ServedShare(account.AllClasses, p.FaultEnd+backWithin, p.Duration)
		of := back / calmService(calm)
		least := leastBack
		if h.short {
			least = 0.8
		}
		out.Hold(at+"service 5 s after the end, of calm", of, fmt.Sprintf("at least %g", least), of >= least)
	}
	switch p.Name {
	case "double":
		h.double(p, at)
	case "busy", "circle":
		entries, err := results.ReadLines[ledger.Entry](p.dir, results.LedgerFile)
		if err != nil {
			out.Hold(at+"its ledger can be read: "+err.Error(), 0, "1", false)
			return
		}
		tries, in := account.RetriesAfterRejection(entries, p.FaultStart+3*time.Second/2, p.FaultEnd)
		h.tries, h.letIn = h.tries+tries, h.letIn+in
		if p.Name == "circle" {
			loops := refusedInCircles(entries)
			out.Hold(at+"operations refused as going in a circle", float64(loops), "above 0", loops > 0)
		}
	}
}

// again holds that who was refused does not win by asking again, over all runs.
func (h *held) again() {
	share := float64(h.letIn) / float64(max(h.tries, 1))
	h.out.Tell("tries after a refusal at the entry, while a lower tier declines", float64(h.tries))
	if h.short {
		h.out.Tell("share of them that was let in", share)
	} else {
		h.out.Hold("share of them that was let in", share, fmt.Sprintf("at most %g", mostLetIn), share <= mostLetIn)
	}
}

// double holds what is served at twice the capacity.
func (h *held) double(p *fleetPlay, at string) {
	out, a := h.out, p.Account
	full := rig.FullLoadStart
	if h.short {
		full /= 2
	}
	of := a.UtilityRate(p.FaultStart+2*time.Second, p.FaultEnd) / a.UtilityRate(full+time.Second, p.FaultStart)
	worthy, _ := a.ServedShare(1, p.FaultStart+2*time.Second, p.FaultEnd)
	least, _ := a.ServedShare(0, p.FaultStart+2*time.Second, p.FaultEnd)
	spread := a.Tiers[0].RejectionSpread
	if h.short {
		out.Hold(at+"worth served at twice the capacity, of that at the capacity", of, "at least 0.6", of >= 0.6)
		out.Tell(at+"served of the worthiest class", worthy)
	} else {
		out.Hold(at+"worth served at twice the capacity, of that at the capacity", of, fmt.Sprintf("at least %g", leastDouble), of >= leastDouble)
		out.Hold(at+"served of the worthiest class", worthy, fmt.Sprintf("at least %g", leastWorthy), worthy >= leastWorthy)
		out.Hold(at+"refusals of sidecars differ by", spread, fmt.Sprintf("at most %g", mostSpread), spread <= mostSpread)
	}
	out.Tell(at+"served of the least worthy class", least)
}

// beside holds probes and trials at an instance of a large fleet to those of a small one.
func (h *held) beside(small *fleetPlay) {
	if h.beside48 == nil {
		return
	}
	count := func(p *fleetPlay) float64 {
		sum, n := 0, 0
		for _, i := range p.Account.Instances {
			sum += i.Probes.Count + i.AttemptsAfterFailure.Count
			n++
		}
		return float64(sum) / float64(max(n, 1))
	}
	few, many := count(small), count(h.beside48)
	h.out.Tell("slow: probes and trials at an instance, 6 sidecars", few)
	h.out.Hold("slow: probes and trials at an instance, 48 sidecars", many, "at most 1.5 times those at 6", many <= 1.5*max(few, 1))
}

// calmService is the share served in a calm run, from its third second on.
func calmService(calm *fleetPlay) float64 {
	share, _ := calm.Account.ServedShare(account.AllClasses, 2*time.Second, calm.Duration)
	return share
}

// refusedInCircles counts the answers of 508.
func refusedInCircles(entries []ledger.Entry) (n int) {
	for _, e := range entries {
		if e.Kind == ledger.Answered && e.Status == 508 {
			n++
		}
	}
	return n
}
