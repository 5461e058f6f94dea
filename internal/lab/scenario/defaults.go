package scenario

import "kitewood/internal/yamlfile"

// setDefaults fills in the values that a file leaves out: those of the platform's deployment, or the middle of their ranges.
func (s *Scenario) setDefaults() {
	yamlfile.Default(&s.Duration, yamlfile.Milliseconds(20_000))
	yamlfile.Default(&s.Seed, 1)
	yamlfile.Default(&s.Zone, "mtl-1")
	for i := range s.Classes {
		c := &s.Classes[i]
		yamlfile.Default(&c.Utility, 1)
		yamlfile.Default(&c.LatencyTarget, yamlfile.Milliseconds(2500))
		yamlfile.Default(&c.TotalTimeout, yamlfile.Milliseconds(6000))
		yamlfile.Default(&c.Effect, "safe")
	}
	yamlfile.Default(&s.Load.Arrivals, "poisson")
	yamlfile.Default(&s.Clients.AttemptTimeoutShare, 0.5)
	yamlfile.Default(&s.Frontend.DetectionDelay, yamlfile.Milliseconds(2000))
	yamlfile.Default(&s.Frontend.Skew, 1)
	for i := range s.Tiers {
		s.Tiers[i].setDefaults(i)
	}
	d := &s.Discovery
	yamlfile.Default(&d.DetectionDelay, yamlfile.Milliseconds(3000))
	yamlfile.Default(&d.SilentDetectionDelay, yamlfile.Milliseconds(8000))
	yamlfile.Default(&d.AddDelay, yamlfile.Milliseconds(1500))
	yamlfile.Default(&d.PublishPeriod, yamlfile.Milliseconds(600))
	yamlfile.Default(&d.DelayJitter, yamlfile.Milliseconds(250))
	yamlfile.Default(&d.CallsPerSecond, 100)
	yamlfile.Default(&d.Timeout, yamlfile.Milliseconds(3000))
	yamlfile.Default(&d.HeartbeatPeriod, yamlfile.Milliseconds(2000))
	yamlfile.Default(&s.Sidecar.Cores, 1)
	yamlfile.Default(&s.Sidecar.MemoryMB, 64)
	yamlfile.Default(&s.Sidecar.Sockets, 512)
	yamlfile.Default(&s.Sidecar.ConfigFormat, FormatPlatform)
	yamlfile.Default(&s.Sidecar.MaxAttempts, 4)
	g := &s.Objective
	if g.WholeRun+g.WorstWindow+g.WorstClass == 0 {
		g.WholeRun, g.WorstWindow, g.WorstClass = 0.75, 0.05, 0.20
	}
	yamlfile.Default(&g.Window, yamlfile.Milliseconds(10_000))
	yamlfile.Default(&g.LateFailure, 0.029)
	yamlfile.Default(&g.Waste, 0.02)
	yamlfile.Default(&g.Connection, 0.02)
	yamlfile.Default(&g.Probes, 0.01)
	yamlfile.Default(&g.UtilityPer, "work")
	for i := range s.Faults {
		s.Faults[i].setDefaults()
	}
}

func (t *Tier) setDefaults(n int) {
	if n == 0 {
		yamlfile.Default(&t.Sidecars, 1)
	}
	yamlfile.Default(&t.CallsPerRequest, 1)
	yamlfile.Default(&t.Slots, 16)
	yamlfile.Default(&t.QueueLimit, 20)
	yamlfile.Default(&t.ThrashThreshold, 20)
	yamlfile.Default(&t.RestartDelay, yamlfile.Milliseconds(800))
	if len(t.Kinds) == 0 {
		t.Kinds = []Kind{{Name: t.Name + "-std", Share: 1}}
	}
	for i := range t.Kinds {
		yamlfile.Default(&t.Kinds[i].Cores, 1)
		yamlfile.Default(&t.Kinds[i].Speed, Range{1, 1})
	}
	yamlfile.Default(&t.ColdStart.InitialShare, 0.25)
	yamlfile.Default(&t.ColdStart.Duration, yamlfile.Milliseconds(15_000))
	yamlfile.Default(&t.ColdStart.LoadFactor, 2.5)
	yamlfile.Default(&t.ColdStart.Window, yamlfile.Milliseconds(1500))
	if t.Overload.QueuedPerCore > 0 {
		yamlfile.Default(&t.Overload.TriggerAfter, yamlfile.Milliseconds(2000))
		yamlfile.Default(&t.Overload.Slowdown, 2.8)
		yamlfile.Default(&t.Overload.RecoverBelow, 0.33)
		yamlfile.Default(&t.Overload.RecoverAfter, yamlfile.Milliseconds(3000))
		yamlfile.Default(&t.Overload.MaxDuration, yamlfile.Milliseconds(22_000))
	}
	yamlfile.Default(&t.Connections.HandshakeWork, yamlfile.Milliseconds(2))
	yamlfile.Default(&t.Connections.FirstRequestDelay, yamlfile.Milliseconds(1))
	yamlfile.Default(&t.Connections.TableSizePerCore, 700)
	yamlfile.Default(&t.Connections.IdleTimeout, yamlfile.Milliseconds(30_000))
	if t.LoadReports.Fields == nil {
		t.LoadReports.Fields = []string{"queue", "inflight", "qps", "util"}
	}
	yamlfile.Default(&t.LoadReports.Period, yamlfile.Milliseconds(500))
	yamlfile.Default(&t.LoadReports.Delay, yamlfile.Milliseconds(100))
}

func (f *Fault) setDefaults() {
	switch f.Kind {
	case "deploy":
		yamlfile.Default(&f.BatchShare, 0.16)
		yamlfile.Default(&f.DrainTime, yamlfile.Milliseconds(3000))
	case "pauses":
		yamlfile.Default(&f.Interval, yamlfile.Milliseconds(2000))
		yamlfile.Default(&f.Span, yamlfile.Milliseconds(300))
	case "slow":
		yamlfile.Default(&f.Magnitude, 5)
	case "path":
		yamlfile.Default(&f.TargetShare, 1)
	case "late-reports":
		yamlfile.Default(&f.Span, yamlfile.Milliseconds(2000))
	}
}
