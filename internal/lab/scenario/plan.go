package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kitewood/internal/lab/model"
)

// Machine is a planned instance.
type Machine struct {
	Name          string
	Tier          int
	Kind          string
	AddressNumber int // shared by the instances that succeed each other at one address
	Config        model.Config
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Vanish EventKind = iota + 1
	Return
	Slow
	Pause
	LateReports
	CorruptResponses
	Drain
	Stop
	Start
	RestartSidecar
	KillSidecar
	MoveDiscovery
	DiscoveryDown
	DiscoveryUp
	RejectRequests
	Misroute
	StopSidecar
	ResumeSidecar
	BreakPath
	RestorePath
	SlowDiscovery
	BreakWatches
)

// Modes in which watches of discovery break.
const (
	WatchesEnd    = "end"    // closed cleanly, as when discovery ends a watch instead of sending a change
	WatchesReset  = "reset"  // connections are reset
	WatchesSilent = "silent" // connections stay open, but nothing is sent any more
)

// Network paths that a fault can break: from sidecars to the instances, and to discovery.
const (
	PathInstances = "instances"
	PathDiscovery = "discovery"
)

// Event is one entry of a timeline.
type Event struct {
	At           time.Duration
	Kind         EventKind
	Instance     string   // empty where no instance is concerned; with an event of a sidecar, the instance whose sidecar it is
	Machine      *Machine // of Start
	Sidecar      int      // number of a sidecar of the first tier, from 0
	Factor       float64
	Span         time.Duration
	Path         *Path  // of BreakPath and RestorePath
	DiscardList  bool   // of KillSidecar: the new process starts without an endpoint list
	SignalSeries bool   // of RestartSidecar: several signals are sent in a row
	Mode         string // of BreakWatches
}

// Path describes how a network path is broken.
type Path struct {
	To               string   // PathInstances or PathDiscovery
	Targets          []string // names of the instances; nil for all
	Delay            time.Duration
	Loss             float64
	CutOutgoing      bool // nothing passes from the sidecar
	CutIncoming      bool // nothing passes to the sidecar
	ResetConnections bool // open connections are reset
}

// NeedsRelays reports whether the plan breaks network paths, which takes relays on them.
func (p *Plan) NeedsRelays() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == BreakPath })
}

// Band is the time range of a fault, for charts.
type Band struct {
	From, To time.Duration
	Name     string
}

// Plan is the timeline of a scenario for a seed.
type Plan struct {
	Machines []Machine // at the start of the run
	Events   []Event   // ordered by time
	Bands    []Band
	BaseRate float64 // requests a second at factor 1
}

// Plan plans a run of the scenario. The same seed gives the same plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	pl := &planner{s: s, rng: model.NewRand(seed, 1), plan: &Plan{}, lastNumber: make([]int, len(s.Tiers))}
	for t := range s.Tiers {
		for _, k := range apportion(s.Tiers[t].Kinds, s.Tiers[t].Instances) {
			pl.plan.Machines = append(pl.plan.Machines, pl.drawMachine(t, k, 0))
		}
	}
	pl.plan.BaseRate = s.Load.Rate
	if pl.plan.BaseRate == 0 {
		pl.plan.BaseRate = s.Load.Utilisation * s.capacity(pl.plan.Machines)
	}
	pl.alive = slices.Clone(pl.plan.Machines)
	faults := slices.Clone(s.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for i := range faults {
		pl.addFault(&faults[i])
	}
	slices.SortStableFunc(pl.plan.Events, func(a, b Event) int { return int(a.At - b.At) })
	return pl.plan
}

// meanWork returns the mean work of a client's request in all tiers, in core-seconds.
func (s *Scenario) meanWork() (work float64) {
	for _, c := range s.Classes {
		work += c.Share * c.Work.D().Seconds()
	}
	return work
}

// coldStart returns the cold-start parameters of a tier's instances for package model.
func (s *Scenario) coldStart(t *Tier) model.ColdStart {
	return model.ColdStart{InitialShare: t.ColdStart.InitialShare, Duration: t.ColdStart.Duration.D(), LoadFactor: t.ColdStart.LoadFactor, Window: t.ColdStart.Window.D(), MeanWork: s.meanWork() * t.WorkShare}
}

// capacity returns the capacity of the tier with the least, in client requests per second.
func (s *Scenario) capacity(machines []Machine) float64 {
	work := s.meanWork()
	lowest, calls := math.Inf(1), 1.0
	for t, tier := range s.Tiers {
		if t > 0 {
			calls *= tier.CallsPerRequest
		}
		sum := 0.0 // of the cores' speed
		for _, m := range machines {
			if m.Tier == t {
				sum += float64(m.Config.Cores) * m.Config.Speed
			}
		}
		lowest = math.Min(lowest, sum/(work*tier.WorkShare*calls))
	}
	return lowest
}

// apportion assigns kinds to n machines by the kinds' shares, deterministically.
func apportion(kinds []Kind, n int) []Kind {
	out := make([]Kind, 0, n)
	assigned := make([]float64, len(kinds))
	for range n {
		best := 0
		for i, k := range kinds {
			if (assigned[i]+1)/k.Share < (assigned[best]+1)/kinds[best].Share {
				best = i
			}
		}
		assigned[best]++
		out = append(out, kinds[best])
	}
	return out
}

// planner builds a plan.
type planner struct {
	s          *Scenario
	rng        *rand.Rand
	plan       *Plan
	lastNumber []int // last address number of each tier
	nameCounts map[string]int
	alive      []Machine
}

// drawMachine draws a machine of a kind. With address number 0 the machine gets a new address, otherwise that of an earlier
// machine and a name with the number of its generation.
func (pl *planner) drawMachine(tier int, k Kind, number int) Machine {
	t := &pl.s.Tiers[tier]
	if number == 0 {
		pl.lastNumber[tier]++
		number = pl.lastNumber[tier]
	}
	base := fmt.Sprintf("%s-%d", t.Name, number)
	if pl.nameCounts == nil {
		pl.nameCounts = map[string]int{}
	}
	name := base
	if pl.nameCounts[base]++; pl.nameCounts[base] > 1 {
		name = fmt.Sprintf("%s.%d", base, pl.nameCounts[base])
	}
	return Machine{Name: name, Tier: tier, Kind: k.Name, AddressNumber: number, Config: t.instanceConfig(k, k.Speed.Draw(pl.rng), pl.s.coldStart(t))}
}

// instanceConfig returns the parameters of an instance of the tier for package model.
func (t *Tier) instanceConfig(k Kind, speed float64, cold model.ColdStart) model.Config {
	return model.Config{Cores: k.Cores, Speed: speed, Slots: t.Slots, QueueLimit: t.QueueLimit, ThrashFactor: t.ThrashFactor, ThrashThreshold: t.ThrashThreshold,
		ErrorShare: t.ErrorShare, CorruptShare: t.CorruptShare, ColdStart: cold,
		Overload: model.Overload{QueuedPerCore: t.Overload.QueuedPerCore, TriggerAfter: t.Overload.TriggerAfter.D(), Slowdown: t.Overload.Slowdown, RecoverBelow: t.Overload.RecoverBelow,
			RecoverAfter: t.Overload.RecoverAfter.D(), MaxDuration: t.Overload.MaxDuration.D()},
		Connections: model.ConnectionCosts{HandshakeWork: t.Connections.HandshakeWork.D(), FirstRequestDelay: t.Connections.FirstRequestDelay.D(), TableSize: t.Connections.TableSizePerCore * k.Cores, FullTableLoss: t.Connections.FullTableLoss,
			IdleTimeout: t.Connections.IdleTimeout.D()},
		LoadReports: model.LoadReports{Period: t.LoadReports.Period.D(), Delay: t.LoadReports.Delay.D(), Noise: t.LoadReports.Noise}}
}

// targetCount returns how many of a total number of processes a fault affects: its count, its share, or all.
func (f *Fault) targetCount(total int) int {
	switch {
	case f.Count > 0:
		return min(total, f.Count)
	case f.Share > 0:
		return max(1, int(math.Round(f.Share*float64(total))))
	}
	return total
}

// pickInstances draws the instances that a fault affects.
func (pl *planner) pickInstances(f *Fault) []Machine {
	var out []Machine
	for tier := range pl.s.Tiers {
		if f.Tier != "" && pl.s.Tiers[tier].Name != f.Tier {
			continue
		}
		var candidates []Machine
		for _, m := range pl.alive {
			if m.Tier == tier {
				candidates = append(candidates, m)
			}
		}
		for _, i := range pl.rng.Perm(len(candidates))[:f.targetCount(len(candidates))] {
			out = append(out, candidates[i])
		}
	}
	return out
}

// sidecarEvents draws the sidecars that a fault affects, and returns an event for each that names it. The sidecars of a tier are
// those that send to it. With a count, those of the first tier are the first ones by number instead of a random choice, since
// the scenario may give the first one a different share of the traffic.
func (pl *planner) sidecarEvents(f *Fault) (out []Event) {
	for tier := range pl.s.Tiers {
		if f.Tier != "" && pl.s.Tiers[tier].Name != f.Tier {
			continue
		}
		if tier > 0 {
			for _, m := range pl.pickInstances(&Fault{Tier: pl.s.Tiers[tier-1].Name, Share: f.Share, Count: f.Count}) {
				out = append(out, Event{Instance: m.Name})
			}
			continue
		}
		order := make([]int, pl.s.Tiers[0].Sidecars)
		for i := range order {
			order[i] = i
		}
		if f.Count == 0 && f.Share > 0 {
			order = pl.rng.Perm(len(order))
		}
		for _, i := range order[:f.targetCount(len(order))] {
			out = append(out, Event{Sidecar: i})
		}
	}
	return out
}

func (pl *planner) addEvent(e Event) { pl.plan.Events = append(pl.plan.Events, e) }

// endOf returns when a fault ends, which is the end of the run at the latest.
func (pl *planner) endOf(f *Fault) time.Duration {
	return min((f.At + f.Duration).D(), pl.s.Duration.D())
}

// addFault adds the events of a fault and its band.
func (pl *planner) addFault(f *Fault) {
	at, end := f.At.D(), pl.endOf(f)
	name := f.Kind
	if f.Tier != "" {
		name += " " + f.Tier
	}
	band := Band{From: at, To: max(end, at+300*time.Millisecond), Name: name}
	defer func() { pl.plan.Bands = append(pl.plan.Bands, band) }()
	switch f.Kind {
	case "vanish":
		for _, m := range pl.pickInstances(f) {
			pl.addEvent(Event{At: at, Kind: Vanish, Instance: m.Name})
			pl.addEvent(Event{At: at + f.Duration.D(), Kind: Return, Instance: m.Name})
		}
	case "slow", "late-reports", "spoilt", "busy", "misroute":
		kind := map[string]EventKind{"slow": Slow, "late-reports": LateReports, "spoilt": CorruptResponses, "busy": RejectRequests, "misroute": Misroute}[f.Kind]
		restored := map[string]float64{"slow": 1}[f.Kind]
		if kind == RejectRequests || kind == Misroute {
			f.Magnitude = 1
		}
		for _, m := range pl.pickInstances(f) {
			pl.addEvent(Event{At: at, Kind: kind, Instance: m.Name, Factor: f.Magnitude, Span: f.Span.D()})
			pl.addEvent(Event{At: end, Kind: kind, Instance: m.Name, Factor: restored})
		}
	case "pauses":
		for _, m := range pl.pickInstances(f) {
			for p := at + time.Duration(pl.rng.Float64()*float64(f.Interval)); p < end; p += f.Interval.D() {
				pl.addEvent(Event{At: p, Kind: Pause, Instance: m.Name, Span: f.Span.D()})
			}
		}
	case "deploy":
		band.To = max(band.To, pl.deploy(f))
	case "switch-on":
		for tier := range pl.s.Tiers {
			if pl.s.Tiers[tier].Name == f.Tier {
				for _, k := range apportion(pl.s.Tiers[tier].Kinds, f.Count) {
					m := pl.drawMachine(tier, k, 0)
					pl.alive = append(pl.alive, m)
					pl.addEvent(Event{At: at, Kind: Start, Instance: m.Name, Machine: &m})
				}
			}
		}
	case "restart-sidecar":
		for i := range min(max(f.Count, 1), pl.s.Tiers[0].Sidecars) {
			pl.addEvent(Event{At: at, Kind: RestartSidecar, Sidecar: i, SignalSeries: f.SignalSeries})
		}
	case "kill-sidecar":
		if f.Tier == "" && f.Share == 0 { // by default the first sidecars of the first tier
			f.Tier, f.Count = pl.s.Tiers[0].Name, max(f.Count, 1)
		}
		for _, e := range pl.sidecarEvents(f) {
			e.At, e.Kind, e.Span, e.DiscardList = at, KillSidecar, f.Duration.D(), f.DiscardList
			pl.addEvent(e)
		}
	case "stop-sidecar":
		for _, e := range pl.sidecarEvents(f) {
			e.At, e.Kind = at, StopSidecar
			pl.addEvent(e)
			e.At, e.Kind = end, ResumeSidecar
			pl.addEvent(e)
		}
	case "path":
		p := &Path{To: f.Path, Delay: f.Span.D(), Loss: f.Magnitude, CutOutgoing: f.Mode == "out" || f.Mode == "both",
			CutIncoming: f.Mode == "back" || f.Mode == "both", ResetConnections: f.ResetConnections}
		if f.Path == PathInstances && f.TargetShare < 1 {
			p.Targets = []string{}
			for tier := range pl.s.Tiers {
				for _, m := range pl.pickInstances(&Fault{Tier: pl.s.Tiers[tier].Name, Share: f.TargetShare}) {
					p.Targets = append(p.Targets, m.Name)
				}
			}
		}
		for _, e := range pl.sidecarEvents(f) {
			e.At, e.Kind, e.Path = at, BreakPath, p
			pl.addEvent(e)
			e.At, e.Kind = end, RestorePath
			pl.addEvent(e)
		}
	case "move-discovery":
		for n := range max(f.Count, 1) {
			pl.addEvent(Event{At: at + time.Duration(n)*f.Interval.D(), Kind: MoveDiscovery})
		}
	case "slow-discovery":
		pl.addEvent(Event{At: at, Kind: SlowDiscovery, Factor: f.Magnitude})
		pl.addEvent(Event{At: end, Kind: SlowDiscovery, Factor: 1})
	case "watches":
		for _, e := range pl.sidecarEvents(f) {
			e.At, e.Kind, e.Mode = at, BreakWatches, f.Mode
			pl.addEvent(e)
		}
	case "discovery-down":
		pl.addEvent(Event{At: at, Kind: DiscoveryDown})
		pl.addEvent(Event{At: at + f.Duration.D(), Kind: DiscoveryUp})
	}
}

// deploy drains, stops and replaces instances in batches and returns the time of the last start. The new instances start cold at
// the same address with a new name, after the tier's restart delay.
func (pl *planner) deploy(f *Fault) time.Duration {
	byTier := map[int][]Machine{}
	for _, m := range pl.pickInstances(f) {
		byTier[m.Tier] = append(byTier[m.Tier], m)
	}
	last := time.Duration(0)
	for tier := range pl.s.Tiers {
		replaced := byTier[tier]
		if len(replaced) == 0 {
			continue
		}
		size := max(1, int(math.Ceil(f.BatchShare*float64(pl.s.Tiers[tier].Instances))))
		batches := (len(replaced) + size - 1) / size
		for i, old := range replaced {
			// The batches begin at equal intervals over the deploy's duration.
			at := f.At.D() + time.Duration(i/size)*f.Duration.D()/time.Duration(batches)
			stop := at + f.DrainTime.D()
			start := stop + pl.s.Tiers[tier].RestartDelay.D()
			k := pl.s.Tiers[tier].Kinds[slices.IndexFunc(pl.s.Tiers[tier].Kinds, func(k Kind) bool { return k.Name == old.Kind })]
			m := pl.drawMachine(tier, k, old.AddressNumber)
			pl.addEvent(Event{At: at, Kind: Drain, Instance: old.Name})
			pl.addEvent(Event{At: stop, Kind: Stop, Instance: old.Name})
			pl.addEvent(Event{At: start, Kind: Start, Instance: m.Name, Machine: &m})
			pl.alive = slices.DeleteFunc(pl.alive, func(o Machine) bool { return o.Name == old.Name })
			pl.alive = append(pl.alive, m)
			last = max(last, start)
		}
	}
	return last
}

var eventTexts = map[EventKind]string{Vanish: "vanishes", Return: "comes back", Slow: "is slow", Pause: "pauses", LateReports: "reports late",
	CorruptResponses: "spoils answers", Drain: "drains", Stop: "stops", Start: "starts", RestartSidecar: "sidecar restarts",
	KillSidecar: "sidecar is killed", StopSidecar: "sidecar stands still", ResumeSidecar: "sidecar goes on", RejectRequests: "is busy to all",
	Misroute: "sends its calls to the first tier", BreakPath: "sidecar's path breaks", RestorePath: "sidecar's path heals", MoveDiscovery: "discovery moves", SlowDiscovery: "discovery is slow", BreakWatches: "sidecar's watch breaks", DiscoveryDown: "discovery is down", DiscoveryUp: "discovery is up"}

// String describes the event.
func (e Event) String() string {
	out := eventTexts[e.Kind]
	switch {
	case e.Instance != "":
		out = e.Instance + " " + out
	case e.concernsSidecar():
		out = fmt.Sprintf("front-%d %s", e.Sidecar, out)
	}
	if p := e.Path; p != nil && e.Kind == BreakPath {
		out += fmt.Sprintf(" to %s (%d), delay %s, loss %g, cut out %t, back %t, reset %t", p.To, len(p.Targets), p.Delay, p.Loss, p.CutOutgoing, p.CutIncoming, p.ResetConnections)
	}
	if e.Mode != "" {
		out += ": " + e.Mode
	}
	if e.Factor != 0 {
		out += fmt.Sprintf(" x%g", e.Factor)
	}
	if e.Span != 0 {
		out += " " + e.Span.String()
	}
	return out
}

// concernsSidecar reports whether the event is one of a sidecar.
func (e Event) concernsSidecar() bool {
	return slices.Contains([]EventKind{RestartSidecar, KillSidecar, StopSidecar, ResumeSidecar, BreakPath, RestorePath, BreakWatches}, e.Kind)
}

// SetDuration changes the duration of the run, unless d is 0 or less. The warm-up is shortened to half of it if it is longer, and
// faults after its end are dropped.
func (s *Scenario) SetDuration(d time.Duration) {
	if d <= 0 {
		return
	}
	s.Duration = Duration(d)
	s.Warmup = min(s.Warmup, s.Duration/2)
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.At >= s.Duration })
}
