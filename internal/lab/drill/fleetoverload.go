package drill

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"kitewood/internal/lab/account"
	"kitewood/internal/lab/fleet"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/results"
)

// fleetOverloadDrill drives a fleet of sidecars into overload and injects faults.
var fleetOverloadDrill = Drill{
	Name:        "fleet-overload",
	Description: "a fleet of sidecars in overload and with faults: the class of the highest utility is served, attempts do not multiply, service recovers within 5 s",
	Defects:     fleet.DefectNames(),
	Run:         runFleetOverload,
}

const (
	maxAttempts        = 1.15 // attempts per request, as a multiple of a calm run's
	maxLostWork        = 0.08 // share of the work done whose response reached no client
	minRecovery        = 0.95 // share of the calm service, recoveryTime after the end of the fault
	recoveryTime       = 5 * time.Second
	minOverloadUtility = 0.85  // utility served at twice the capacity, relative to that at the capacity
	minTopClassShare   = 0.95  // served share of the class of the highest utility, while any request of the lowest is served
	maxRetryAdmitted   = 0.015 // share of the retries after a rejection at the entry that are admitted while a lower tier rejects
	maxRejectionSpread = 0.1   // difference between the rejected shares of two sidecars with similar traffic
)

// fleetRun is one run of a case.
type fleetRun struct {
	fleet.Case
	sidecars int
	seed     uint64
	dir      string
	*fleet.Result
}

// String identifies the run in names of metrics.
func (r *fleetRun) String() string {
	return fmt.Sprintf("%s, %d sidecars, seed %d", r.Name, r.sidecars, r.seed)
}

// runFleetCase runs a case; the short form takes half of its time.
func runFleetCase(ctx context.Context, o Options, name string, sidecars int, seed uint64) (*fleetRun, error) {
	c, s, err := fleet.FindCase(name)
	if err != nil {
		return nil, err
	}
	if err := fleet.ApplyDefect(s, o.Defect); err != nil {
		return nil, err
	}
	if o.Short {
		c.FaultStart, c.FaultEnd, c.Duration = c.FaultStart/2, c.FaultEnd/2, c.Duration/2
		compressTimeline(s, c.Duration)
	}
	dir, err := makeDir(o, fmt.Sprintf("fleet-%s-%d-seed%d", name, sidecars, seed))
	if err != nil {
		return nil, err
	}
	result, err := fleet.Run(ctx, fleet.Options{Scenario: s, Sidecars: sidecars, Seed: seed, Binary: o.Binary, Dir: dir, Log: o.Log})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if result.Summary.CutShort {
		return nil, context.Cause(ctx)
	}
	return &fleetRun{c, sidecars, seed, dir, result}, nil
}

// runFleetOverload runs the cases with fleets of several sizes and seeds and checks each run.
func runFleetOverload(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	cases, sizes, seeds := fleet.CaseNames(), []int{12, 24, 48}, o.repeats(3, 1)
	if o.Short {
		cases, sizes = []string{"calm", "double", "circle"}, []int{6}
	}
	checks := &fleetChecks{out: out, short: o.Short}
	for n := range seeds {
		for _, sidecars := range sizes {
			runs, err := runFleetCases(ctx, o, cases, sidecars, o.Seed+uint64(n))
			if err != nil {
				return nil, err
			}
			for _, r := range runs {
				checks.checkRun(r, runs[0])
			}
		}
	}
	checks.checkRetries()
	if !o.Short {
		small, err := runFleetCase(ctx, o, "slow", 6, o.Seed)
		if err != nil {
			return nil, err
		}
		checks.checkProbes(small)
	}
	if o.Defect == "" {
		if err := compareClosedLoops(ctx, o, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// runFleetCases runs cases with one size of fleet, concurrently as far as each process gets a part of a core.
func runFleetCases(ctx context.Context, o Options, cases []string, sidecars int, seed uint64) ([]*fleetRun, error) {
	runs, errs := make([]*fleetRun, len(cases)), make([]error, len(cases))
	slots := make(chan bool, max(1, 8*runtime.NumCPU()/sidecars))
	var wg sync.WaitGroup
	for i, name := range cases {
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			runs[i], errs[i] = runFleetCase(ctx, o, name, sidecars, seed)
		})
	}
	wg.Wait()
	return runs, errors.Join(errs...)
}

// fleetChecks checks runs and accumulates what is checked over all of them.
type fleetChecks struct {
	out    *Outcome
	short  bool
	slow48 *fleetRun

	retries, admitted int // over all runs: retries after a rejection at the entry, and those of them that were admitted
}

// checkRun checks one run against the drill's bounds, relative to the calm run of the same fleet.
func (c *fleetChecks) checkRun(r, calm *fleetRun) {
	out, a, prefix := c.out, r.Account, r.String()+": "
	violations := r.Summary.Violations()
	out.Check(prefix+"broken rules", float64(violations), "0", violations == 0)
	for _, b := range r.Violations[:min(len(r.Violations), 3)] {
		out.Notes = append(out.Notes, prefix+b.String())
	}
	if r == calm {
		out.Report(prefix+"attempts for an operation", a.AttemptsPerRequest)
		out.Report(prefix+"service", calmServiceShare(calm))
		return
	}
	if r.sidecars == 48 && r.Name == "slow" {
		c.slow48 = r
	}
	maxRatio := maxAttempts
	if c.short { // few requests, so more variance
		maxRatio = 1.4
	}
	ratio := a.AttemptsPerRequest / calm.Account.AttemptsPerRequest
	out.Check(prefix+"attempts for an operation, times calm", ratio, fmt.Sprintf("at most %g", maxRatio), ratio <= maxRatio)
	out.Check(prefix+"work for answers that nobody got", a.LostWork, fmt.Sprintf("at most %g", maxLostWork), a.LostWork <= maxLostWork || c.short)
	if r.Duration > r.FaultEnd+recoveryTime+2*time.Second {
		served, _ := a.ServedShare(account.AllClasses, r.FaultEnd+recoveryTime, r.Duration)
		recovered := served / calmServiceShare(calm)
		minShare := minRecovery
		if c.short {
			minShare = 0.8
		}
		out.Check(prefix+"service 5 s after the end, of calm", recovered, fmt.Sprintf("at least %g", minShare), recovered >= minShare)
	}
	switch r.Name {
	case "double":
		c.checkDouble(r, prefix)
	case "busy", "circle":
		entries, err := results.ReadLines[ledger.Entry](r.dir, results.LedgerFile)
		if err != nil {
			out.Check(prefix+"its ledger can be read: "+err.Error(), 0, "1", false)
			return
		}
		retries, admitted := account.RetriesAfterRejection(entries, r.FaultStart+3*time.Second/2, r.FaultEnd)
		c.retries, c.admitted = c.retries+retries, c.admitted+admitted
		if r.Name == "circle" {
			loops := countLoopRejections(entries)
			out.Check(prefix+"operations refused as going in a circle", float64(loops), "above 0", loops > 0)
		}
	}
}

// checkRetries checks, over all runs, that a client does not gain admission by retrying a rejected request.
func (c *fleetChecks) checkRetries() {
	share := float64(c.admitted) / float64(max(c.retries, 1))
	c.out.Report("tries after a refusal at the entry, while a lower tier declines", float64(c.retries))
	if c.short {
		c.out.Report("share of them that was let in", share)
	} else {
		c.out.Check("share of them that was let in", share, fmt.Sprintf("at most %g", maxRetryAdmitted), share <= maxRetryAdmitted)
	}
}

// checkDouble checks what is served at twice the capacity.
func (c *fleetChecks) checkDouble(r *fleetRun, prefix string) {
	out, a := c.out, r.Account
	capacityFrom := fleet.FullLoadStart
	if c.short {
		capacityFrom /= 2
	}
	ratio := a.UtilityRate(r.FaultStart+2*time.Second, r.FaultEnd) / a.UtilityRate(capacityFrom+time.Second, r.FaultStart)
	highest, _ := a.ServedShare(1, r.FaultStart+2*time.Second, r.FaultEnd)
	lowest, _ := a.ServedShare(0, r.FaultStart+2*time.Second, r.FaultEnd)
	spread := a.Tiers[0].RejectionSpread
	if c.short {
		out.Check(prefix+"worth served at twice the capacity, of that at the capacity", ratio, "at least 0.6", ratio >= 0.6)
		out.Report(prefix+"served of the worthiest class", highest)
	} else {
		out.Check(prefix+"worth served at twice the capacity, of that at the capacity", ratio, fmt.Sprintf("at least %g", minOverloadUtility), ratio >= minOverloadUtility)
		out.Check(prefix+"served of the worthiest class", highest, fmt.Sprintf("at least %g", minTopClassShare), highest >= minTopClassShare)
		out.Check(prefix+"refusals of sidecars differ by", spread, fmt.Sprintf("at most %g", maxRejectionSpread), spread <= maxRejectionSpread)
	}
	out.Report(prefix+"served of the least worthy class", lowest)
}

// checkProbes checks that an instance gets about as many probes and probation attempts from a large fleet as from a small one.
func (c *fleetChecks) checkProbes(small *fleetRun) {
	if c.slow48 == nil {
		return
	}
	perInstance := func(r *fleetRun) float64 {
		sum, n := 0, 0
		for _, i := range r.Account.Instances {
			sum += i.Probes.Count + i.AttemptsAfterFailure.Count
			n++
		}
		return float64(sum) / float64(max(n, 1))
	}
	few, many := perInstance(small), perInstance(c.slow48)
	c.out.Report("slow: probes and trials at an instance, 6 sidecars", few)
	c.out.Check("slow: probes and trials at an instance, 48 sidecars", many, "at most 1.5 times those at 6", many <= 1.5*max(few, 1))
}

// calmServiceShare returns the share of requests served in a calm run, from 2 s after its start.
func calmServiceShare(calm *fleetRun) float64 {
	share, _ := calm.Account.ServedShare(account.AllClasses, 2*time.Second, calm.Duration)
	return share
}

// countLoopRejections counts responses with status 508, which reject requests that loop.
func countLoopRejections(entries []ledger.Entry) (n int) {
	for _, e := range entries {
		if e.Kind == ledger.Answered && e.Status == 508 {
			n++
		}
	}
	return n
}
