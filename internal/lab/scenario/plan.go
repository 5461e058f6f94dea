package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kitewood/internal/lab/model"
)

// Machine is an instance of the plan.
type Machine struct {
	Name          string
	Tier          int
	Kind          string
	AddressNumber int // of its address: what replaces an instance at its address has its number
	Config        model.Config
}

// Do is what an event does.
type EventKind uint8

// The events of a timeline.
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

// The ways in which watches of discovery break.
const (
	WatchesEnd    = "end"    // in order, as where discovery ends one instead of telling a change
	WatchesReset  = "reset"  // their connections are reset
	WatchesSilent = "silent" // nothing comes any more
)

// The paths that a trouble can break: from sidecars to the instances, and to discovery.
const (
	PathInstances = "instances"
	PathDiscovery = "discovery"
)

// Event is one entry of a timeline.
type Event struct {
	At           time.Duration
	Kind         EventKind
	Instance     string   // empty for what concerns no instance; what concerns a sidecar means the one beside it
	Machine      *Machine // of Start
	Sidecar      int      // of the first tier, from 0
	Factor       float64
	Span         time.Duration
	Path         *Path  // of BreakPath and HealPath
	DiscardList  bool   // of KillSidecar: the new process knows no list
	SignalSeries bool   // of RestartSidecar: signals come in a series
	Mode         string // of BreakWatches
}

// Path is a path that is broken.
type Path struct {
	To               string   // PathInstances or PathDiscovery
	Targets          []string // names of the instances; nil for all
	Delay            time.Duration
	Loss             float64
	CutOutgoing      bool // cut from the sidecar
	CutIncoming      bool // cut towards it
	ResetConnections bool // connections that stand are reset
}

// Relayed tells whether the plan breaks paths, so that there have to be relays on them.
func (p *Plan) NeedsRelays() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == BreakPath })
}

// Band is a trouble as it lies in time, for charts.
type Band struct {
	From, To time.Duration
	Name     string
}

// Plan is a scenario laid out for a seed.
type Plan struct {
	Machines []Machine // those that are there from the start
	Events   []Event   // in order of time
	Bands    []Band
	BaseRate float64 // requests a second at factor 1
}

// Lay lays a scenario out. The same seed gives the same plan.
func (s *Scenario) Plan(seed uint64) *Plan {
	l := &planner{s: s, rng: model.NewRand(seed, 1), plan: &Plan{}, lastNumber: make([]int, len(s.Tiers))}
	for t := range s.Tiers {
		for _, k := range apportion(s.Tiers[t].Kinds, s.Tiers[t].Instances) {
			l.plan.Machines = append(l.plan.Machines, l.drawMachine(t, k, 0))
		}
	}
	l.plan.BaseRate = s.Load.Rate
	if l.plan.BaseRate == 0 {
		l.plan.BaseRate = s.Load.Utilisation * s.capacity(l.plan.Machines)
	}
	l.alive = slices.Clone(l.plan.Machines)
	troubles := slices.Clone(s.Faults)
	slices.SortStableFunc(troubles, func(a, b Fault) int { return int(a.At - b.At) })
	for i := range troubles {
		l.addFault(&troubles[i])
	}
	slices.SortStableFunc(l.plan.Events, func(a, b Event) int { return int(a.At - b.At) })
	return l.plan
}

// meanWork is that of a client's request, in core-seconds over all tiers.
func (s *Scenario) meanWork() (work float64) {
	for _, c := range s.Classes {
		work += c.Share * c.Work.D().Seconds()
	}
	return work
}

// cold is how an instance of a tier starts, in the model's terms.
func (s *Scenario) coldStart(t *Tier) model.ColdStart {
	return model.ColdStart{InitialShare: t.ColdStart.InitialShare, Duration: t.ColdStart.Duration.D(), LoadFactor: t.ColdStart.LoadFactor, Window: t.ColdStart.Window.D(), MeanWork: s.meanWork() * t.WorkShare}
}

// capacity is how many requests a second the tier that runs out first can do.
func (s *Scenario) capacity(machines []Machine) float64 {
	work := s.meanWork()
	least, calls := math.Inf(1), 1.0
	for t, tier := range s.Tiers {
		if t > 0 {
			calls *= tier.CallsPerRequest
		}
		sum := 0.0
		for _, m := range machines {
			if m.Tier == t {
				sum += float64(m.Config.Cores) * m.Config.Speed
			}
		}
		least = math.Min(least, sum/(work*tier.WorkShare*calls))
	}
	return least
}

// deal gives n machines their kinds by the kinds' shares, the same however often it is done.
func apportion(kinds []Kind, n int) []Kind {
	out := make([]Kind, 0, n)
	given := make([]float64, len(kinds))
	for range n {
		best := 0
		for i, k := range kinds {
			if (given[i]+1)/k.Share < (given[best]+1)/kinds[best].Share {
				best = i
			}
		}
		given[best]++
		out = append(out, kinds[best])
	}
	return out
}

type planner struct {
	s          *Scenario
	rng        *rand.Rand
	plan       *Plan
	lastNumber []int // number of the last machine of each tier
	nameCounts map[string]int
	alive      []Machine
}

// machine draws a machine; number 0 gives it an address of its own.
func (l *planner) drawMachine(tier int, k Kind, number int) Machine {
	t := &l.s.Tiers[tier]
	if number == 0 {
		l.lastNumber[tier]++
		number = l.lastNumber[tier]
	}
	base := fmt.Sprintf("%s-%d", t.Name, number)
	if l.nameCounts == nil {
		l.nameCounts = map[string]int{}
	}
	name := base
	if l.nameCounts[base]++; l.nameCounts[base] > 1 {
		name = fmt.Sprintf("%s.%d", base, l.nameCounts[base])
	}
	return Machine{Name: name, Tier: tier, Kind: k.Name, AddressNumber: number, Config: t.instanceConfig(k, k.Speed.Draw(l.rng), l.s.coldStart(t))}
}

func (t *Tier) instanceConfig(k Kind, speed float64, cold model.ColdStart) model.Config {
	return model.Config{Cores: k.Cores, Speed: speed, Slots: t.Slots, QueueLimit: t.QueueLimit, ThrashFactor: t.ThrashFactor, ThrashThreshold: t.ThrashThreshold,
		ErrorShare: t.ErrorShare, CorruptShare: t.CorruptShare, ColdStart: cold,
		Overload: model.Overload{QueuedPerCore: t.Overload.QueuedPerCore, TriggerAfter: t.Overload.TriggerAfter.D(), Slowdown: t.Overload.Slowdown, RecoverBelow: t.Overload.RecoverBelow,
			RecoverAfter: t.Overload.RecoverAfter.D(), MaxDuration: t.Overload.MaxDuration.D()},
		Connections: model.ConnectionCosts{HandshakeWork: t.Connections.HandshakeWork.D(), FirstRequestDelay: t.Connections.FirstRequestDelay.D(), TableSize: t.Connections.TableSizePerCore * k.Cores, FullTableLoss: t.Connections.FullTableLoss,
			IdleTimeout: t.Connections.IdleTimeout.D()},
		LoadReports: model.LoadReports{Period: t.LoadReports.Period.D(), Delay: t.LoadReports.Delay.D(), Noise: t.LoadReports.Noise}}
}

// number is how many of some a trouble meets: its count, its part, or all.
func (t *Fault) targetCount(of int) int {
	switch {
	case t.Count > 0:
		return min(of, t.Count)
	case t.Share > 0:
		return max(1, int(math.Round(t.Share*float64(of))))
	}
	return of
}

// victims picks the instances that a trouble meets.
func (l *planner) pickInstances(t *Fault) []Machine {
	var out []Machine
	for tier := range l.s.Tiers {
		if t.Tier != "" && l.s.Tiers[tier].Name != t.Tier {
			continue
		}
		var there []Machine
		for _, m := range l.alive {
			if m.Tier == tier {
				there = append(there, m)
			}
		}
		for _, i := range l.rng.Perm(len(there))[:t.targetCount(len(there))] {
			out = append(out, there[i])
		}
	}
	return out
}

// sidecars picks the sidecars that a trouble meets, as events that name them: those of a tier are the ones that send to it.
// Where a count is given of the first tier they are its first, as their traffic may be told apart.
func (l *planner) sidecarEvents(t *Fault) (out []Event) {
	for tier := range l.s.Tiers {
		if t.Tier != "" && l.s.Tiers[tier].Name != t.Tier {
			continue
		}
		if tier > 0 {
			for _, m := range l.pickInstances(&Fault{Tier: l.s.Tiers[tier-1].Name, Share: t.Share, Count: t.Count}) {
				out = append(out, Event{Instance: m.Name})
			}
			continue
		}
		order := make([]int, l.s.Tiers[0].Sidecars)
		for i := range order {
			order[i] = i
		}
		if t.Count == 0 && t.Share > 0 {
			order = l.rng.Perm(len(order))
		}
		for _, i := range order[:t.targetCount(len(order))] {
			out = append(out, Event{Sidecar: i})
		}
	}
	return out
}

func (l *planner) addEvent(e Event) { l.plan.Events = append(l.plan.Events, e) }

// until is when something that lasts ends: troubles end with the run.
func (l *planner) endOf(t *Fault) time.Duration {
	return min((t.At + t.Duration).D(), l.s.Duration.D())
}

func (l *planner) addFault(t *Fault) {
	at, end := t.At.D(), l.endOf(t)
	name := t.Kind
	if t.Tier != "" {
		name += " " + t.Tier
	}
	band := Band{From: at, To: max(end, at+300*time.Millisecond), Name: name}
	defer func() { l.plan.Bands = append(l.plan.Bands, band) }()
	switch t.Kind {
	case "vanish":
		for _, m := range l.pickInstances(t) {
			l.addEvent(Event{At: at, Kind: Vanish, Instance: m.Name})
			l.addEvent(Event{At: at + t.Duration.D(), Kind: Return, Instance: m.Name})
		}
	case "slow", "late-reports", "spoilt", "busy", "misroute":
		do := map[string]EventKind{"slow": Slow, "late-reports": LateReports, "spoilt": CorruptResponses, "busy": RejectRequests, "misroute": Misroute}[t.Kind]
		heal := map[string]float64{"slow": 1}[t.Kind]
		if do == RejectRequests || do == Misroute {
			t.Magnitude = 1
		}
		for _, m := range l.pickInstances(t) {
			l.addEvent(Event{At: at, Kind: do, Instance: m.Name, Factor: t.Magnitude, Span: t.Span.D()})
			l.addEvent(Event{At: end, Kind: do, Instance: m.Name, Factor: heal})
		}
	case "pauses":
		for _, m := range l.pickInstances(t) {
			for p := at + time.Duration(l.rng.Float64()*float64(t.Interval)); p < end; p += t.Interval.D() {
				l.addEvent(Event{At: p, Kind: Pause, Instance: m.Name, Span: t.Span.D()})
			}
		}
	case "deploy":
		band.To = max(band.To, l.deploy(t))
	case "switch-on":
		for tier := range l.s.Tiers {
			if l.s.Tiers[tier].Name == t.Tier {
				for _, k := range apportion(l.s.Tiers[tier].Kinds, t.Count) {
					m := l.drawMachine(tier, k, 0)
					l.alive = append(l.alive, m)
					l.addEvent(Event{At: at, Kind: Start, Instance: m.Name, Machine: &m})
				}
			}
		}
	case "restart-sidecar":
		for i := range min(max(t.Count, 1), l.s.Tiers[0].Sidecars) {
			l.addEvent(Event{At: at, Kind: RestartSidecar, Sidecar: i, SignalSeries: t.SignalSeries})
		}
	case "kill-sidecar":
		if t.Tier == "" && t.Share == 0 { // the first ones, of the first tier
			t.Tier, t.Count = l.s.Tiers[0].Name, max(t.Count, 1)
		}
		for _, e := range l.sidecarEvents(t) {
			e.At, e.Kind, e.Span, e.DiscardList = at, KillSidecar, t.Duration.D(), t.DiscardList
			l.addEvent(e)
		}
	case "stop-sidecar":
		for _, e := range l.sidecarEvents(t) {
			e.At, e.Kind = at, StopSidecar
			l.addEvent(e)
			e.At, e.Kind = end, ResumeSidecar
			l.addEvent(e)
		}
	case "path":
		p := &Path{To: t.Path, Delay: t.Span.D(), Loss: t.Magnitude, CutOutgoing: t.Mode == "out" || t.Mode == "both",
			CutIncoming: t.Mode == "back" || t.Mode == "both", ResetConnections: t.Reset}
		if t.Path == PathInstances && t.TargetShare < 1 {
			p.Targets = []string{}
			for tier := range l.s.Tiers {
				for _, m := range l.pickInstances(&Fault{Tier: l.s.Tiers[tier].Name, Share: t.TargetShare}) {
					p.Targets = append(p.Targets, m.Name)
				}
			}
		}
		for _, e := range l.sidecarEvents(t) {
			e.At, e.Kind, e.Path = at, BreakPath, p
			l.addEvent(e)
			e.At, e.Kind = end, RestorePath
			l.addEvent(e)
		}
	case "move-discovery":
		for n := range max(t.Count, 1) {
			l.addEvent(Event{At: at + time.Duration(n)*t.Interval.D(), Kind: MoveDiscovery})
		}
	case "slow-discovery":
		l.addEvent(Event{At: at, Kind: SlowDiscovery, Factor: t.Magnitude})
		l.addEvent(Event{At: end, Kind: SlowDiscovery, Factor: 1})
	case "watches":
		for _, e := range l.sidecarEvents(t) {
			e.At, e.Kind, e.Mode = at, BreakWatches, t.Mode
			l.addEvent(e)
		}
	case "discovery-down":
		l.addEvent(Event{At: at, Kind: DiscoveryDown})
		l.addEvent(Event{At: at + t.Duration.D(), Kind: DiscoveryUp})
	}
}

// deploy drains, stops and replaces instances in batches; their successors start cold at the same address with a new
// name, after the tier's restart time.
func (l *planner) deploy(t *Fault) time.Duration {
	byTier := map[int][]Machine{}
	for _, m := range l.pickInstances(t) {
		byTier[m.Tier] = append(byTier[m.Tier], m)
	}
	last := time.Duration(0)
	for tier := range l.s.Tiers {
		victims := byTier[tier]
		if len(victims) == 0 {
			continue
		}
		size := max(1, int(math.Ceil(t.BatchShare*float64(l.s.Tiers[tier].Instances))))
		batches := (len(victims) + size - 1) / size
		for i, old := range victims {
			// Every batch is drained, stopped and followed within the deploy's time.
			at := t.At.D() + time.Duration(i/size)*t.Duration.D()/time.Duration(batches)
			stop := at + t.DrainTime.D()
			start := stop + l.s.Tiers[tier].RestartDelay.D()
			k := l.s.Tiers[tier].Kinds[slices.IndexFunc(l.s.Tiers[tier].Kinds, func(k Kind) bool { return k.Name == old.Kind })]
			m := l.drawMachine(tier, k, old.AddressNumber)
			l.addEvent(Event{At: at, Kind: Drain, Instance: old.Name})
			l.addEvent(Event{At: stop, Kind: Stop, Instance: old.Name})
			l.addEvent(Event{At: start, Kind: Start, Instance: m.Name, Machine: &m})
			l.alive = slices.DeleteFunc(l.alive, func(o Machine) bool { return o.Name == old.Name })
			l.alive = append(l.alive, m)
			last = max(last, start)
		}
	}
	return last
}

var eventTexts = map[EventKind]string{Vanish: "vanishes", Return: "comes back", Slow: "is slow", Pause: "pauses", LateReports: "reports late",
	CorruptResponses: "spoils answers", Drain: "drains", Stop: "stops", Start: "starts", RestartSidecar: "sidecar restarts",
	KillSidecar: "sidecar is killed", StopSidecar: "sidecar stands still", ResumeSidecar: "sidecar goes on", RejectRequests: "is busy to all",
	Misroute: "sends its calls to the first tier", BreakPath: "sidecar's path breaks", RestorePath: "sidecar's path heals", MoveDiscovery: "discovery moves", SlowDiscovery: "discovery is slow", BreakWatches: "sidecar's watch breaks", DiscoveryDown: "discovery is down", DiscoveryUp: "discovery is up"}

// String tells what happens.
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

// ofSidecar tells whether the event concerns a sidecar.
func (e Event) concernsSidecar() bool {
	return slices.Contains([]EventKind{RestartSidecar, KillSidecar, StopSidecar, ResumeSidecar, BreakPath, RestorePath, BreakWatches}, e.Kind)
}

// Last has a run take another time than the scenario's, where one is given: the warm-up is half of it at the most, and
// troubles after its end are dropped.
func (s *Scenario) SetDuration(d time.Duration) {
	if d <= 0 {
		return
	}
	s.Duration = Duration(d)
	s.Warmup = min(s.Warmup, s.Duration/2)
	s.Faults = slices.DeleteFunc(s.Faults, func(t Fault) bool { return t.At >= s.Duration })
}
