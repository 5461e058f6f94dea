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
	Defects:     rig.WrongNames(),
	Run:         runFleetOverload,
}

const (
	maxAttempts        = 1.15 // attempts for an operation, as a multiple of a calm run's
	maxLostWork        = 0.08 // share of the work done whose answer nobody got
	minRecovery        = 0.95 // of calm service, backWithin after the trouble's end
	recoveryTime       = 5 * time.Second
	minOverloadUtility = 0.85  // worth served at twice the capacity, beside that at the capacity
	minTopClassShare   = 0.95  // of the worthiest class, while anything of the least is served
	maxRetryAdmitted   = 0.015 // of the tries of those that the entry has refused, while a lower tier declines
	maxRejectionSpread = 0.1   // between the refusals of two sidecars with like traffic
)

// fleetPlay is one run of a case.
type fleetRun struct {
	rig.Case
	sidecars int
	seed     uint64
	dir      string
	*rig.Result
}

func (p *fleetRun) String() string {
	return fmt.Sprintf("%s, %d sidecars, seed %d", p.Name, p.sidecars, p.seed)
}

// playFleet plays a case; the short form takes half of its time.
func runFleetCase(ctx context.Context, o Options, name string, sidecars int, seed uint64) (*fleetRun, error) {
	c, s, err := rig.Find(name)
	if err != nil {
		return nil, err
	}
	if err := rig.Wrong(s, o.Defect); err != nil {
		return nil, err
	}
	if o.Short {
		c.From, c.To, c.Last = c.From/2, c.To/2, c.Last/2
		compressTimeline(s, c.Last)
	}
	dir, err := makeDir(o, fmt.Sprintf("fleet-%s-%d-seed%d", name, sidecars, seed))
	if err != nil {
		return nil, err
	}
	r, err := rig.Play(ctx, rig.Options{Scenario: s, Sidecars: sidecars, Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.Summary.CutShort {
		return nil, context.Cause(ctx)
	}
	return &fleetRun{c, sidecars, seed, dir, r}, nil
}

func runFleetOverload(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	names, sizes, seeds := rig.Names(), []int{12, 24, 48}, o.repeats(3, 1)
	if o.Short {
		names, sizes = []string{"calm", "double", "circle"}, []int{6}
	}
	held := &fleetChecks{out: out, short: o.Short}
	for n := range seeds {
		for _, sidecars := range sizes {
			plays, err := runFleetCases(ctx, o, names, sidecars, o.Seed+uint64(n))
			if err != nil {
				return nil, err
			}
			for _, p := range plays {
				held.checkRun(p, plays[0])
			}
		}
	}
	held.checkRetries()
	if !o.Short {
		small, err := runFleetCase(ctx, o, "slow", 6, o.Seed)
		if err != nil {
			return nil, err
		}
		held.checkProbes(small)
	}
	if o.Defect == "" {
		if err := compareClosedLoops(ctx, o, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// playAll plays cases with one fleet, as many side by side as leave each process some part of a core.
func runFleetCases(ctx context.Context, o Options, names []string, sidecars int, seed uint64) ([]*fleetRun, error) {
	plays, errs := make([]*fleetRun, len(names)), make([]error, len(names))
	places := make(chan bool, max(1, 8*runtime.NumCPU()/sidecars))
	var open sync.WaitGroup
	for i, name := range names {
		places <- true
		open.Go(func() {
			defer func() { <-places }()
			plays[i], errs[i] = runFleetCase(ctx, o, name, sidecars, seed)
		})
	}
	open.Wait()
	return plays, errors.Join(errs...)
}

// held gathers what the runs showed.
type fleetChecks struct {
	out    *Outcome
	short  bool
	slow48 *fleetRun

	retries, admitted int // see account.Again
}

// play holds one run to what the drill promises, beside the calm run of the same rig.
func (h *fleetChecks) checkRun(p, calm *fleetRun) {
	out, a, at := h.out, p.Account, p.String()+": "
	broken := p.Summary.Broken()
	out.Check(at+"broken rules", float64(broken), "0", broken == 0)
	for _, b := range p.Breaches[:min(len(p.Breaches), 3)] {
		out.Notes = append(out.Notes, at+b.String())
	}
	if p == calm {
		out.Report(at+"attempts for an operation", a.PerOp)
		out.Report(at+"service", calmServiceShare(calm))
		return
	}
	if p.sidecars == 48 && p.Name == "slow" {
		h.slow48 = p
	}
	bound := maxAttempts
	if h.short { // few operations: chance is larger
		bound = 1.4
	}
	times := a.PerOp / calm.Account.PerOp
	out.Check(at+"attempts for an operation, times calm", times, fmt.Sprintf("at most %g", bound), times <= bound)
	out.Check(at+"work for answers that nobody got", a.Lost, fmt.Sprintf("at most %g", maxLostWork), a.Lost <= maxLostWork || h.short)
	if p.Last > p.To+recoveryTime+2*time.Second {
		back, _ := a.Served(account.All, p.To+recoveryTime, p.Last)
		of := back / calmServiceShare(calm)
		least := minRecovery
		if h.short {
			least = 0.8
		}
		out.Check(at+"service 5 s after the end, of calm", of, fmt.Sprintf("at least %g", least), of >= least)
	}
	switch p.Name {
	case "double":
		h.checkDouble(p, at)
	case "busy", "circle":
		entries, err := results.Lines[ledger.Entry](p.dir, results.LedgerFile)
		if err != nil {
			out.Check(at+"its ledger can be read: "+err.Error(), 0, "1", false)
			return
		}
		tries, in := account.Again(entries, p.From+3*time.Second/2, p.To)
		h.retries, h.admitted = h.retries+tries, h.admitted+in
		if p.Name == "circle" {
			loops := countLoopRejections(entries)
			out.Check(at+"operations refused as going in a circle", float64(loops), "above 0", loops > 0)
		}
	}
}

// again holds that who was refused does not win by asking again, over all runs.
func (h *fleetChecks) checkRetries() {
	share := float64(h.admitted) / float64(max(h.retries, 1))
	h.out.Report("tries after a refusal at the entry, while a lower tier declines", float64(h.retries))
	if h.short {
		h.out.Report("share of them that was let in", share)
	} else {
		h.out.Check("share of them that was let in", share, fmt.Sprintf("at most %g", maxRetryAdmitted), share <= maxRetryAdmitted)
	}
}

// double holds what is served at twice the capacity.
func (h *fleetChecks) checkDouble(p *fleetRun, at string) {
	out, a := h.out, p.Account
	full := rig.FullFrom
	if h.short {
		full /= 2
	}
	of := a.Worth(p.From+2*time.Second, p.To) / a.Worth(full+time.Second, p.From)
	worthy, _ := a.Served(1, p.From+2*time.Second, p.To)
	least, _ := a.Served(0, p.From+2*time.Second, p.To)
	spread := a.Tiers[0].Spread
	if h.short {
		out.Check(at+"worth served at twice the capacity, of that at the capacity", of, "at least 0.6", of >= 0.6)
		out.Report(at+"served of the worthiest class", worthy)
	} else {
		out.Check(at+"worth served at twice the capacity, of that at the capacity", of, fmt.Sprintf("at least %g", minOverloadUtility), of >= minOverloadUtility)
		out.Check(at+"served of the worthiest class", worthy, fmt.Sprintf("at least %g", minTopClassShare), worthy >= minTopClassShare)
		out.Check(at+"refusals of sidecars differ by", spread, fmt.Sprintf("at most %g", maxRejectionSpread), spread <= maxRejectionSpread)
	}
	out.Report(at+"served of the least worthy class", least)
}

// beside holds probes and trials at an instance of a large fleet to those of a small one.
func (h *fleetChecks) checkProbes(small *fleetRun) {
	if h.slow48 == nil {
		return
	}
	count := func(p *fleetRun) float64 {
		sum, n := 0, 0
		for _, i := range p.Account.Instances {
			sum += i.Probes.Count + i.Trials.Count
			n++
		}
		return float64(sum) / float64(max(n, 1))
	}
	few, many := count(small), count(h.slow48)
	h.out.Report("slow: probes and trials at an instance, 6 sidecars", few)
	h.out.Check("slow: probes and trials at an instance, 48 sidecars", many, "at most 1.5 times those at 6", many <= 1.5*max(few, 1))
}

// calmService is the share served in a calm run, from its third second on.
func calmServiceShare(calm *fleetRun) float64 {
	share, _ := calm.Account.Served(account.All, 2*time.Second, calm.Last)
	return share
}

// refusedInCircles counts the answers of 508.
func countLoopRejections(entries []ledger.Entry) (n int) {
	for _, e := range entries {
		if e.Kind == ledger.Answered && e.Status == 508 {
			n++
		}
	}
	return n
}
