package scenario

import "time"

func or[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func ms(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

// fill puts in what a file leaves out. Figures are those of the platform's deployment, or the middle of their ranges.
func (s *Scenario) fill() {
	or(&s.Duration, ms(20_000))
	or(&s.Seed, 1)
	or(&s.Zone, "mtl-1")
	for i := range s.Classes {
		c := &s.Classes[i]
		or(&c.Worth, 1)
		or(&c.Aim, ms(2500))
		or(&c.GiveUp, ms(6000))
		or(&c.Effect, "safe")
	}
	or(&s.Load.Arrivals, "poisson")
	or(&s.Clients.TryShare, 0.5)
	or(&s.Front.Notice, ms(2000))
	for i := range s.Tiers {
		s.Tiers[i].fill(i)
	}
	d := &s.Discovery
	or(&d.Notice, ms(3000))
	or(&d.SilentNotice, ms(8000))
	or(&d.Add, ms(1500))
	or(&d.Period, ms(600))
	or(&d.Spread, ms(250))
	or(&d.Capacity, 100)
	or(&d.Timeout, ms(3000))
	or(&d.Beat, ms(2000))
	or(&s.Sidecar.Cores, 1)
	or(&s.Sidecar.MemoryMB, 64)
	or(&s.Sidecar.Sockets, 512)
	g := &s.Goal
	if g.Whole+g.WorstWindow+g.WorstClass == 0 {
		g.Whole, g.WorstWindow, g.WorstClass = 0.75, 0.05, 0.20
	}
	or(&g.Window, ms(10_000))
	or(&g.LateFail, 0.029)
	or(&g.Waste, 0.02)
	or(&g.Connection, 0.02)
	or(&g.Probe, 0.01)
	or(&g.WorthBy, "work")
	for i := range s.Troubles {
		s.Troubles[i].fill()
	}
}

func (t *Tier) fill(n int) {
	if n == 0 {
		or(&t.Sidecars, 1)
	}
	or(&t.Calls, 1)
	or(&t.Slots, 16)
	or(&t.Queue, 20)
	or(&t.ThrashAt, 20)
	or(&t.Restart, ms(800))
	if len(t.Kinds) == 0 {
		t.Kinds = []Kind{{Name: t.Name + "-std", Share: 1}}
	}
	for i := range t.Kinds {
		or(&t.Kinds[i].Cores, 1)
		or(&t.Kinds[i].Speed, Range{1, 1})
	}
	or(&t.Cold.Share, 0.25)
	or(&t.Cold.Time, ms(15_000))
	or(&t.Cold.Multiple, 2.5)
	or(&t.Cold.Window, ms(1500))
	if t.Choke.Waiting > 0 {
		or(&t.Choke.Over, ms(2000))
		or(&t.Choke.Slower, 2.8)
		or(&t.Choke.Below, 0.33)
		or(&t.Choke.Rest, ms(3000))
		or(&t.Choke.Most, ms(22_000))
	}
	or(&t.Conns.Cost, ms(2))
	or(&t.Conns.Delay, ms(1))
	or(&t.Conns.Cap, 700)
	or(&t.Conns.Idle, ms(30_000))
	if t.Reports.Fields == nil {
		t.Reports.Fields = []string{"queue", "inflight", "qps", "util"}
	}
	or(&t.Reports.Period, ms(500))
	or(&t.Reports.Delay, ms(100))
}

func (t *Trouble) fill() {
	switch t.Kind {
	case "deploy":
		or(&t.Batch, 0.16)
		or(&t.Drain, ms(3000))
	case "pauses":
		or(&t.Every, ms(2000))
		or(&t.Span, ms(300))
	case "slow":
		or(&t.Size, 5)
	case "late-reports":
		or(&t.Span, ms(2000))
	}
}
