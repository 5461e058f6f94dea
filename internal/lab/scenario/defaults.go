package scenario

import "kitewood/internal/yamlfile"

// fill puts in what a file leaves out. Figures are those of the platform's deployment, or the middle of their ranges.
func (s *Scenario) fill() {
	yamlfile.Default(&s.Duration, yamlfile.Milliseconds(20_000))
	yamlfile.Default(&s.Seed, 1)
	yamlfile.Default(&s.Zone, "mtl-1")
	for i := range s.Classes {
		c := &s.Classes[i]
		yamlfile.Default(&c.Worth, 1)
		yamlfile.Default(&c.Aim, yamlfile.Milliseconds(2500))
		yamlfile.Default(&c.GiveUp, yamlfile.Milliseconds(6000))
		yamlfile.Default(&c.Effect, "safe")
	}
	yamlfile.Default(&s.Load.Arrivals, "poisson")
	yamlfile.Default(&s.Clients.TryShare, 0.5)
	yamlfile.Default(&s.Front.Notice, yamlfile.Milliseconds(2000))
	yamlfile.Default(&s.Front.Skew, 1)
	for i := range s.Tiers {
		s.Tiers[i].fill(i)
	}
	d := &s.Discovery
	yamlfile.Default(&d.Notice, yamlfile.Milliseconds(3000))
	yamlfile.Default(&d.SilentNotice, yamlfile.Milliseconds(8000))
	yamlfile.Default(&d.Add, yamlfile.Milliseconds(1500))
	yamlfile.Default(&d.Period, yamlfile.Milliseconds(600))
	yamlfile.Default(&d.Spread, yamlfile.Milliseconds(250))
	yamlfile.Default(&d.Capacity, 100)
	yamlfile.Default(&d.Timeout, yamlfile.Milliseconds(3000))
	yamlfile.Default(&d.Beat, yamlfile.Milliseconds(2000))
	yamlfile.Default(&s.Sidecar.Cores, 1)
	yamlfile.Default(&s.Sidecar.MemoryMB, 64)
	yamlfile.Default(&s.Sidecar.Sockets, 512)
	yamlfile.Default(&s.Sidecar.Form, FormPlatform)
	yamlfile.Default(&s.Sidecar.Attempts, 4)
	g := &s.Goal
	if g.Whole+g.WorstWindow+g.WorstClass == 0 {
		g.Whole, g.WorstWindow, g.WorstClass = 0.75, 0.05, 0.20
	}
	yamlfile.Default(&g.Window, yamlfile.Milliseconds(10_000))
	yamlfile.Default(&g.LateFail, 0.029)
	yamlfile.Default(&g.Waste, 0.02)
	yamlfile.Default(&g.Connection, 0.02)
	yamlfile.Default(&g.Probe, 0.01)
	yamlfile.Default(&g.WorthBy, "work")
	for i := range s.Troubles {
		s.Troubles[i].fill()
	}
}

func (t *Tier) fill(n int) {
	if n == 0 {
		yamlfile.Default(&t.Sidecars, 1)
	}
	yamlfile.Default(&t.Calls, 1)
	yamlfile.Default(&t.Slots, 16)
	yamlfile.Default(&t.Queue, 20)
	yamlfile.Default(&t.ThrashAt, 20)
	yamlfile.Default(&t.Restart, yamlfile.Milliseconds(800))
	if len(t.Kinds) == 0 {
		t.Kinds = []Kind{{Name: t.Name + "-std", Share: 1}}
	}
	for i := range t.Kinds {
		yamlfile.Default(&t.Kinds[i].Cores, 1)
		yamlfile.Default(&t.Kinds[i].Speed, Range{1, 1})
	}
	yamlfile.Default(&t.Cold.Share, 0.25)
	yamlfile.Default(&t.Cold.Time, yamlfile.Milliseconds(15_000))
	yamlfile.Default(&t.Cold.Multiple, 2.5)
	yamlfile.Default(&t.Cold.Window, yamlfile.Milliseconds(1500))
	if t.Choke.Waiting > 0 {
		yamlfile.Default(&t.Choke.Over, yamlfile.Milliseconds(2000))
		yamlfile.Default(&t.Choke.Slower, 2.8)
		yamlfile.Default(&t.Choke.Below, 0.33)
		yamlfile.Default(&t.Choke.Rest, yamlfile.Milliseconds(3000))
		yamlfile.Default(&t.Choke.Most, yamlfile.Milliseconds(22_000))
	}
	yamlfile.Default(&t.Conns.Cost, yamlfile.Milliseconds(2))
	yamlfile.Default(&t.Conns.Delay, yamlfile.Milliseconds(1))
	yamlfile.Default(&t.Conns.Cap, 700)
	yamlfile.Default(&t.Conns.Idle, yamlfile.Milliseconds(30_000))
	if t.Reports.Fields == nil {
		t.Reports.Fields = []string{"queue", "inflight", "qps", "util"}
	}
	yamlfile.Default(&t.Reports.Period, yamlfile.Milliseconds(500))
	yamlfile.Default(&t.Reports.Delay, yamlfile.Milliseconds(100))
}

func (t *Trouble) fill() {
	switch t.Kind {
	case "deploy":
		yamlfile.Default(&t.Batch, 0.16)
		yamlfile.Default(&t.Drain, yamlfile.Milliseconds(3000))
	case "pauses":
		yamlfile.Default(&t.Every, yamlfile.Milliseconds(2000))
		yamlfile.Default(&t.Span, yamlfile.Milliseconds(300))
	case "slow":
		yamlfile.Default(&t.Size, 5)
	case "path":
		yamlfile.Default(&t.Targets, 1)
	case "late-reports":
		yamlfile.Default(&t.Span, yamlfile.Milliseconds(2000))
	}
}
