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
	Name   string
	Tier   int
	Kind   string
	Number int // of its address: what replaces an instance at its address has its number
	Config model.Config
}

// Do is what an event does.
type Do uint8

// The events of a timeline.
const (
	Vanish Do = iota + 1
	Return
	Slow
	Pause
	LateReports
	SpoilAnswers
	Drain
	Stop
	Start
	RestartSidecar
	KillSidecar
	MoveDiscovery
	DiscoveryDown
	DiscoveryUp
	Busy
	Misroute
	StopSidecar
	ResumeSidecar
	BreakPath
	HealPath
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
	At       time.Duration
	Do       Do
	Instance string   // empty for what concerns no instance; what concerns a sidecar means the one beside it
	Machine  *Machine // of Start
	Sidecar  int      // of the first tier, from 0
	Factor   float64
	Span     time.Duration
	Path     *Path  // of BreakPath and HealPath
	Forget   bool   // of KillSidecar: the new process knows no list
	Series   bool   // of RestartSidecar: signals come in a series
	Way      string // of BreakWatches
}

// Path is a path that is broken.
type Path struct {
	To      string   // PathInstances or PathDiscovery
	Targets []string // names of the instances; nil for all
	Delay   time.Duration
	Loss    float64
	Out     bool // cut from the sidecar
	Back    bool // cut towards it
	Reset   bool // connections that stand are reset
}

// Relayed tells whether the plan breaks paths, so that there have to be relays on them.
func (p *Plan) Relayed() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Do == BreakPath })
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
	Rate     float64 // requests a second at factor 1
}

// Lay lays a scenario out. The same seed gives the same plan.
func (s *Scenario) Lay(seed uint64) *Plan {
	l := &layer{s: s, rng: model.NewRand(seed, 1), plan: &Plan{}, next: make([]int, len(s.Tiers))}
	for t := range s.Tiers {
		for _, k := range deal(s.Tiers[t].Kinds, s.Tiers[t].Instances) {
			l.plan.Machines = append(l.plan.Machines, l.machine(t, k, 0))
		}
	}
	l.plan.Rate = s.Load.Rate
	if l.plan.Rate == 0 {
		l.plan.Rate = s.Load.Utilisation * s.capacity(l.plan.Machines)
	}
	l.alive = slices.Clone(l.plan.Machines)
	troubles := slices.Clone(s.Troubles)
	slices.SortStableFunc(troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	for i := range troubles {
		l.trouble(&troubles[i])
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
func (s *Scenario) cold(t *Tier) model.ColdStart {
	return model.ColdStart{InitialShare: t.Cold.Share, Duration: t.Cold.Time.D(), LoadFactor: t.Cold.Multiple, Window: t.Cold.Window.D(), MeanWork: s.meanWork() * t.Work}
}

// capacity is how many requests a second the tier that runs out first can do.
func (s *Scenario) capacity(machines []Machine) float64 {
	work := s.meanWork()
	least, calls := math.Inf(1), 1.0
	for t, tier := range s.Tiers {
		if t > 0 {
			calls *= tier.Calls
		}
		sum := 0.0
		for _, m := range machines {
			if m.Tier == t {
				sum += float64(m.Config.Cores) * m.Config.Speed
			}
		}
		least = math.Min(least, sum/(work*tier.Work*calls))
	}
	return least
}

// deal gives n machines their kinds by the kinds' shares, the same however often it is done.
func deal(kinds []Kind, n int) []Kind {
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

type layer struct {
	s     *Scenario
	rng   *rand.Rand
	plan  *Plan
	next  []int // number of the last machine of each tier
	named map[string]int
	alive []Machine
}

// machine draws a machine; number 0 gives it an address of its own.
func (l *layer) machine(tier int, k Kind, number int) Machine {
	t := &l.s.Tiers[tier]
	if number == 0 {
		l.next[tier]++
		number = l.next[tier]
	}
	base := fmt.Sprintf("%s-%d", t.Name, number)
	if l.named == nil {
		l.named = map[string]int{}
	}
	name := base
	if l.named[base]++; l.named[base] > 1 {
		name = fmt.Sprintf("%s.%d", base, l.named[base])
	}
	return Machine{Name: name, Tier: tier, Kind: k.Name, Number: number, Config: t.config(k, k.Speed.Draw(l.rng), l.s.cold(t))}
}

func (t *Tier) config(k Kind, speed float64, cold model.ColdStart) model.Config {
	return model.Config{Cores: k.Cores, Speed: speed, Slots: t.Slots, QueueLimit: t.Queue, ThrashFactor: t.Thrash, ThrashThreshold: t.ThrashAt,
		ErrorShare: t.Errors, CorruptShare: t.Spoilt, ColdStart: cold,
		Overload: model.Overload{QueuedPerCore: t.Choke.Waiting, TriggerAfter: t.Choke.Over.D(), Slowdown: t.Choke.Slower, RecoverBelow: t.Choke.Below,
			RecoverAfter: t.Choke.Rest.D(), MaxDuration: t.Choke.Most.D()},
		Connections: model.ConnectionCosts{HandshakeWork: t.Conns.Cost.D(), FirstRequestDelay: t.Conns.Delay.D(), TableSize: t.Conns.Cap * k.Cores, FullTableLoss: t.Conns.Tax,
			IdleTimeout: t.Conns.Idle.D()},
		LoadReports: model.LoadReports{Period: t.Reports.Period.D(), Delay: t.Reports.Delay.D(), Noise: t.Reports.Noise}}
}

// number is how many of some a trouble meets: its count, its part, or all.
func (t *Trouble) number(of int) int {
	switch {
	case t.Count > 0:
		return min(of, t.Count)
	case t.Part > 0:
		return max(1, int(math.Round(t.Part*float64(of))))
	}
	return of
}

// victims picks the instances that a trouble meets.
func (l *layer) victims(t *Trouble) []Machine {
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
		for _, i := range l.rng.Perm(len(there))[:t.number(len(there))] {
			out = append(out, there[i])
		}
	}
	return out
}

// sidecars picks the sidecars that a trouble meets, as events that name them: those of a tier are the ones that send to it.
// Where a count is given of the first tier they are its first, as their traffic may be told apart.
func (l *layer) sidecars(t *Trouble) (out []Event) {
	for tier := range l.s.Tiers {
		if t.Tier != "" && l.s.Tiers[tier].Name != t.Tier {
			continue
		}
		if tier > 0 {
			for _, m := range l.victims(&Trouble{Tier: l.s.Tiers[tier-1].Name, Part: t.Part, Count: t.Count}) {
				out = append(out, Event{Instance: m.Name})
			}
			continue
		}
		order := make([]int, l.s.Tiers[0].Sidecars)
		for i := range order {
			order[i] = i
		}
		if t.Count == 0 && t.Part > 0 {
			order = l.rng.Perm(len(order))
		}
		for _, i := range order[:t.number(len(order))] {
			out = append(out, Event{Sidecar: i})
		}
	}
	return out
}

func (l *layer) event(e Event) { l.plan.Events = append(l.plan.Events, e) }

// until is when something that lasts ends: troubles end with the run.
func (l *layer) until(t *Trouble) time.Duration { return min((t.At + t.For).D(), l.s.Duration.D()) }

func (l *layer) trouble(t *Trouble) {
	at, end := t.At.D(), l.until(t)
	name := t.Kind
	if t.Tier != "" {
		name += " " + t.Tier
	}
	band := Band{From: at, To: max(end, at+300*time.Millisecond), Name: name}
	defer func() { l.plan.Bands = append(l.plan.Bands, band) }()
	switch t.Kind {
	case "vanish":
		for _, m := range l.victims(t) {
			l.event(Event{At: at, Do: Vanish, Instance: m.Name})
			l.event(Event{At: at + t.For.D(), Do: Return, Instance: m.Name})
		}
	case "slow", "late-reports", "spoilt", "busy", "misroute":
		do := map[string]Do{"slow": Slow, "late-reports": LateReports, "spoilt": SpoilAnswers, "busy": Busy, "misroute": Misroute}[t.Kind]
		heal := map[string]float64{"slow": 1}[t.Kind]
		if do == Busy || do == Misroute {
			t.Size = 1
		}
		for _, m := range l.victims(t) {
			l.event(Event{At: at, Do: do, Instance: m.Name, Factor: t.Size, Span: t.Span.D()})
			l.event(Event{At: end, Do: do, Instance: m.Name, Factor: heal})
		}
	case "pauses":
		for _, m := range l.victims(t) {
			for p := at + time.Duration(l.rng.Float64()*float64(t.Every)); p < end; p += t.Every.D() {
				l.event(Event{At: p, Do: Pause, Instance: m.Name, Span: t.Span.D()})
			}
		}
	case "deploy":
		band.To = max(band.To, l.deploy(t))
	case "switch-on":
		for tier := range l.s.Tiers {
			if l.s.Tiers[tier].Name == t.Tier {
				for _, k := range deal(l.s.Tiers[tier].Kinds, t.Count) {
					m := l.machine(tier, k, 0)
					l.alive = append(l.alive, m)
					l.event(Event{At: at, Do: Start, Instance: m.Name, Machine: &m})
				}
			}
		}
	case "restart-sidecar":
		for i := range min(max(t.Count, 1), l.s.Tiers[0].Sidecars) {
			l.event(Event{At: at, Do: RestartSidecar, Sidecar: i, Series: t.Series})
		}
	case "kill-sidecar":
		if t.Tier == "" && t.Part == 0 { // the first ones, of the first tier
			t.Tier, t.Count = l.s.Tiers[0].Name, max(t.Count, 1)
		}
		for _, e := range l.sidecars(t) {
			e.At, e.Do, e.Span, e.Forget = at, KillSidecar, t.For.D(), t.Forget
			l.event(e)
		}
	case "stop-sidecar":
		for _, e := range l.sidecars(t) {
			e.At, e.Do = at, StopSidecar
			l.event(e)
			e.At, e.Do = end, ResumeSidecar
			l.event(e)
		}
	case "path":
		p := &Path{To: t.Path, Delay: t.Span.D(), Loss: t.Size, Out: t.Way == "out" || t.Way == "both",
			Back: t.Way == "back" || t.Way == "both", Reset: t.Reset}
		if t.Path == PathInstances && t.Targets < 1 {
			p.Targets = []string{}
			for tier := range l.s.Tiers {
				for _, m := range l.victims(&Trouble{Tier: l.s.Tiers[tier].Name, Part: t.Targets}) {
					p.Targets = append(p.Targets, m.Name)
				}
			}
		}
		for _, e := range l.sidecars(t) {
			e.At, e.Do, e.Path = at, BreakPath, p
			l.event(e)
			e.At, e.Do = end, HealPath
			l.event(e)
		}
	case "move-discovery":
		for n := range max(t.Count, 1) {
			l.event(Event{At: at + time.Duration(n)*t.Every.D(), Do: MoveDiscovery})
		}
	case "slow-discovery":
		l.event(Event{At: at, Do: SlowDiscovery, Factor: t.Size})
		l.event(Event{At: end, Do: SlowDiscovery, Factor: 1})
	case "watches":
		for _, e := range l.sidecars(t) {
			e.At, e.Do, e.Way = at, BreakWatches, t.Way
			l.event(e)
		}
	case "discovery-down":
		l.event(Event{At: at, Do: DiscoveryDown})
		l.event(Event{At: at + t.For.D(), Do: DiscoveryUp})
	}
}

// deploy drains, stops and replaces instances in batches; their successors start cold at the same address with a new
// name, after the tier's restart time.
func (l *layer) deploy(t *Trouble) time.Duration {
	byTier := map[int][]Machine{}
	for _, m := range l.victims(t) {
		byTier[m.Tier] = append(byTier[m.Tier], m)
	}
	last := time.Duration(0)
	for tier := range l.s.Tiers {
		victims := byTier[tier]
		if len(victims) == 0 {
			continue
		}
		size := max(1, int(math.Ceil(t.Batch*float64(l.s.Tiers[tier].Instances))))
		batches := (len(victims) + size - 1) / size
		for i, old := range victims {
			// Every batch is drained, stopped and followed within the deploy's time.
			at := t.At.D() + time.Duration(i/size)*t.For.D()/time.Duration(batches)
			stop := at + t.Drain.D()
			start := stop + l.s.Tiers[tier].Restart.D()
			k := l.s.Tiers[tier].Kinds[slices.IndexFunc(l.s.Tiers[tier].Kinds, func(k Kind) bool { return k.Name == old.Kind })]
			m := l.machine(tier, k, old.Number)
			l.event(Event{At: at, Do: Drain, Instance: old.Name})
			l.event(Event{At: stop, Do: Stop, Instance: old.Name})
			l.event(Event{At: start, Do: Start, Instance: m.Name, Machine: &m})
			l.alive = slices.DeleteFunc(l.alive, func(o Machine) bool { return o.Name == old.Name })
			l.alive = append(l.alive, m)
			last = max(last, start)
		}
	}
	return last
}

var doNames = map[Do]string{Vanish: "vanishes", Return: "comes back", Slow: "is slow", Pause: "pauses", LateReports: "reports late",
	SpoilAnswers: "spoils answers", Drain: "drains", Stop: "stops", Start: "starts", RestartSidecar: "sidecar restarts",
	KillSidecar: "sidecar is killed", StopSidecar: "sidecar stands still", ResumeSidecar: "sidecar goes on", Busy: "is busy to all",
	Misroute: "sends its calls to the first tier", BreakPath: "sidecar's path breaks", HealPath: "sidecar's path heals", MoveDiscovery: "discovery moves", SlowDiscovery: "discovery is slow", BreakWatches: "sidecar's watch breaks", DiscoveryDown: "discovery is down", DiscoveryUp: "discovery is up"}

// String tells what happens.
func (e Event) String() string {
	out := doNames[e.Do]
	switch {
	case e.Instance != "":
		out = e.Instance + " " + out
	case e.ofSidecar():
		out = fmt.Sprintf("front-%d %s", e.Sidecar, out)
	}
	if p := e.Path; p != nil && e.Do == BreakPath {
		out += fmt.Sprintf(" to %s (%d), delay %s, loss %g, cut out %t, back %t, reset %t", p.To, len(p.Targets), p.Delay, p.Loss, p.Out, p.Back, p.Reset)
	}
	if e.Way != "" {
		out += ": " + e.Way
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
func (e Event) ofSidecar() bool {
	return slices.Contains([]Do{RestartSidecar, KillSidecar, StopSidecar, ResumeSidecar, BreakPath, HealPath, BreakWatches}, e.Do)
}

// Last has a run take another time than the scenario's, where one is given: the warm-up is half of it at the most, and
// troubles after its end are dropped.
func (s *Scenario) Last(d time.Duration) {
	if d <= 0 {
		return
	}
	s.Duration = Duration(d)
	s.Warmup = min(s.Warmup, s.Duration/2)
	s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.At >= s.Duration })
}
