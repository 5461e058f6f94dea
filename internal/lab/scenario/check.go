package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// troubleKeys are the keys that a kind of trouble has beside kind and at. A ! marks one that it needs.
var faultKeys = map[string][]string{
	"vanish":          {"for!", "tier", "part", "count"},
	"slow":            {"for!", "tier", "part", "count", "size"},
	"pauses":          {"for!", "tier", "part", "count", "every", "span"},
	"late-reports":    {"for!", "tier", "part", "count", "span"},
	"spoilt":          {"for!", "tier", "part", "count", "size!"},
	"deploy":          {"for!", "tier", "part", "count", "batch", "drain"},
	"switch-on":       {"tier!", "count!"},
	"busy":            {"for!", "tier", "part", "count"},
	"misroute":        {"for!", "tier!", "part", "count"},
	"restart-sidecar": {"count", "series"},
	"kill-sidecar":    {"for", "tier", "part", "count", "forget"},
	"stop-sidecar":    {"for!", "tier", "part", "count"},
	"path":            {"for!", "tier", "part", "count", "path!", "way", "span", "size", "reset", "targets"},
	"move-discovery":  {"count", "every"},
	"slow-discovery":  {"for!", "size!"},
	"watches":         {"way!", "tier", "part", "count"},
	"discovery-down":  {"for!"},
}

// mostMoves is how many places discovery can have at a time; an old one stands for a while.
const maxDiscoveryMoves = 6

// wrong checks the figures, and names each that cannot be by the key where it stands.
func (s *Scenario) validate(bad func(key, format string, args ...any)) {
	above := func(key string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			bad(key, "must be above 0, not %g", v)
		}
	}
	part := func(key string, v float64) {
		if !(v >= 0 && v <= 1) {
			bad(key, "a share lies between 0 and 1, not %g", v)
		}
	}
	span := func(key string, d Duration) {
		if d <= 0 {
			bad(key, "must be above 0, not %s", d.D())
		}
	}
	if s.Name == "" {
		bad("name", "is missing")
	}
	span("duration", s.Duration)
	if s.Warmup < 0 || s.Warmup >= s.Duration {
		bad("warmup", "must lie within the duration of %s", s.Duration.D())
	}
	if len(s.Classes) == 0 {
		bad("classes", "at least one is needed")
	}
	shares := 0.0
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/? \t") {
			bad(at+"name", "a class has a name without spaces and slashes, not %q", c.Name)
		}
		if slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }) {
			bad(at+"name", "%q stands twice", c.Name)
		}
		above(at+"share", c.Share)
		above(at+"worth", c.Utility)
		span(at+"work", c.Work)
		span(at+"aim", c.LatencyTarget)
		if c.TotalTimeout < c.LatencyTarget {
			bad(at+"give_up", "%s is before the aim of %s", c.TotalTimeout.D(), c.LatencyTarget.D())
		}
		if c.Effect != "safe" && c.Effect != "unsafe" {
			bad(at+"effect", "safe or unsafe, not %q", c.Effect)
		}
		if c.WorkCV < 0 || c.AttemptNoise < 0 {
			bad(at+"spread", "a spread is not negative")
		}
		shares += c.Share
	}
	if len(s.Classes) > 0 && math.Abs(shares-1) > 0.011 {
		bad("classes", "the shares add up to %.2f, not 1", shares)
	}
	s.validateLoad(bad)
	if s.Clients.MaxRetries < 0 || s.Clients.MaxRetries > 20 {
		bad("clients.retries", "between 0 and 20, not %d", s.Clients.MaxRetries)
	}
	above("clients.try_share", s.Clients.AttemptTimeoutShare)
	part("clients.try_share", s.Clients.AttemptTimeoutShare)
	part("clients.honour", s.Clients.HonorRetryAfter)
	part("clients.leave", s.Clients.LeaveShare)
	if !(s.Frontend.Skew >= 1 && s.Frontend.Skew <= 100) {
		bad("front.skew", "between 1 and 100, not %g", s.Frontend.Skew)
	}
	if s.Clients.Backoff < 0 {
		bad("clients.backoff", "is negative")
	}
	if len(s.Tiers) == 0 {
		bad("tiers", "at least one is needed")
	}
	for i := range s.Tiers {
		s.Tiers[i].validate(i, len(s.Tiers), bad, above, part, span)
	}
	d := s.Discovery
	above("discovery.capacity", d.CallsPerSecond)
	span("discovery.period", d.PublishPeriod)
	span("discovery.timeout", d.Timeout)
	span("discovery.beat", d.HeartbeatPeriod)
	above("sidecar.cores", s.Sidecar.Cores)
	if s.Sidecar.MemoryMB < 16 {
		bad("sidecar.memory_mb", "at least 16, not %d", s.Sidecar.MemoryMB)
	}
	if s.Sidecar.Sockets < 64 {
		bad("sidecar.sockets", "at least 64, not %d", s.Sidecar.Sockets)
	}
	switch c := s.Sidecar; {
	case c.ConfigFormat != FormatPlatform && c.ConfigFormat != FormatPools:
		bad("sidecar.form", "%s or %s, not %q", FormatPlatform, FormatPools, c.ConfigFormat)
	case c.ConfigFormat == FormatPlatform && (c.Chain || c.Origin || c.RetryDeclined || c.RetryShare != 0 || c.RetryBurst != 0):
		bad("sidecar.form", "%s has no chain, origin and retries: they need form: %s", FormatPlatform, FormatPools)
	case c.MaxAttempts < 1 || c.MaxAttempts > 10:
		bad("sidecar.attempts", "between 1 and 10, not %d", c.MaxAttempts)
	}
	if g := s.Objective; math.Abs(g.WholeRun+g.WorstWindow+g.WorstClass-1) > 0.001 {
		bad("goal", "whole, worst_window and worst_class add up to %.2f, not 1", g.WholeRun+g.WorstWindow+g.WorstClass)
	}
	if s.Objective.UtilityPer != "work" && s.Objective.UtilityPer != "request" {
		bad("goal.worth_by", "work or request, not %q", s.Objective.UtilityPer)
	}
	for i := range s.Faults {
		s.validateFault(i, bad, part)
	}
}

func (s *Scenario) validateLoad(bad func(string, string, ...any)) {
	l := s.Load
	switch {
	case l.Utilisation == 0 && l.Rate == 0:
		bad("load", "utilisation or rate is needed")
	case l.Utilisation != 0 && l.Rate != 0:
		bad("load.rate", "utilisation is given, too: one of them is enough")
	case l.Utilisation < 0 || l.Utilisation > 5:
		bad("load.utilisation", "between 0 and 5, not %g", l.Utilisation)
	case l.Rate < 0 || l.Rate > 5000:
		bad("load.rate", "between 0 and 5000 requests a second, not %g", l.Rate)
	}
	if l.Arrivals != "poisson" && l.Arrivals != "constant" {
		bad("load.arrivals", "poisson or constant, not %q", l.Arrivals)
	}
	for i, p := range l.Shape {
		if i > 0 && p.At < l.Shape[i-1].At {
			bad(fmt.Sprintf("load.shape[%d].at", i), "%s comes after %s", p.At.D(), l.Shape[i-1].At.D())
		}
		if p.Factor < 0 || p.Factor > 100 {
			bad(fmt.Sprintf("load.shape[%d].factor", i), "between 0 and 100, not %g", p.Factor)
		}
	}
}

func (t *Tier) validate(n, of int, bad func(string, string, ...any), above, part func(string, float64), span func(string, Duration)) {
	at := fmt.Sprintf("tiers[%d].", n)
	if t.Name == "" || strings.ContainsAny(t.Name, "/ \t") {
		bad(at+"name", "a tier has a name without spaces and slashes, not %q", t.Name)
	}
	if t.Instances < 1 || t.Instances > 200 {
		bad(at+"instances", "between 1 and 200, not %d", t.Instances)
	}
	switch {
	case n == 0 && (t.Sidecars < 1 || t.Sidecars > 60):
		bad(at+"sidecars", "between 1 and 60, not %d", t.Sidecars)
	case n > 0 && t.Sidecars != 0:
		bad(at+"sidecars", "only the first tier has a number of sidecars: later ones have one for each instance above")
	}
	above(at+"work", t.WorkShare)
	if n > 0 && !(t.CallsPerRequest >= 1 && t.CallsPerRequest <= 10) {
		bad(at+"calls", "between 1 and 10, not %g", t.CallsPerRequest)
	}
	sum := 0.0
	for i, k := range t.Kinds {
		at := fmt.Sprintf("%skinds[%d].", at, i)
		if k.Name == "" {
			bad(at+"name", "is missing")
		}
		sum += k.Share
		above(at+"share", k.Share)
		above(at+"speed", k.Speed.Low)
		if k.Speed.High < k.Speed.Low {
			bad(at+"speed", "the range ends before it begins")
		}
		if k.Cores < 1 || k.Cores > 64 {
			bad(at+"cores", "between 1 and 64, not %d", k.Cores)
		}
	}
	if math.Abs(sum-1) > 0.011 {
		bad(at+"kinds", "the shares add up to %.2f, not 1", sum)
	}
	if t.Slots < 1 {
		bad(at+"slots", "at least 1, not %d", t.Slots)
	}
	if t.QueueLimit < 0 {
		bad(at+"queue", "is negative")
	}
	part(at+"errors", t.ErrorShare)
	part(at+"spoilt", t.CorruptShare)
	above(at+"cold.share", t.ColdStart.InitialShare)
	part(at+"cold.share", t.ColdStart.InitialShare)
	span(at+"cold.time", t.ColdStart.Duration)
	span(at+"cold.window", t.ColdStart.Window)
	above(at+"cold.multiple", t.ColdStart.LoadFactor)
	part(at+"connections.tax", t.Connections.FullTableLoss)
	span(at+"reports.period", t.LoadReports.Period)
	for i, f := range t.LoadReports.Fields {
		if reportFieldNames[f] == "" {
			bad(fmt.Sprintf("%sreports.fields[%d]", at, i), "queue, inflight, qps or util, not %q", f)
		}
	}
}

// set tells which keys of a trouble are given.
func (t *Fault) givenKeys() map[string]bool {
	return map[string]bool{"for": t.Duration != 0, "tier": t.Tier != "", "part": t.Share != 0, "count": t.Count != 0, "size": t.Magnitude != 0,
		"every": t.Interval != 0, "span": t.Span != 0, "batch": t.BatchShare != 0, "drain": t.DrainTime != 0, "path": t.Path != "", "way": t.Mode != "",
		"reset": t.Reset, "targets": t.TargetShare != 0, "forget": t.DiscardList}
}

func (s *Scenario) validateFault(i int, bad func(string, string, ...any), part func(string, float64)) {
	t, at := &s.Faults[i], fmt.Sprintf("troubles[%d].", i)
	keys, known := faultKeys[t.Kind]
	if !known {
		bad(at+"kind", "%q is none of %s", t.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	for key, given := range t.givenKeys() {
		needed := slices.Contains(keys, key+"!")
		if given && !needed && !slices.Contains(keys, key) {
			bad(at+key, "%s has no such key", t.Kind)
		}
		if !given && needed {
			bad(at+key, "%s needs it", t.Kind)
		}
	}
	if t.At < 0 || t.At >= s.Duration {
		bad(at+"at", "%s is not within the run of %s", t.At.D(), s.Duration.D())
	}
	if t.Duration < 0 {
		bad(at+"for", "is negative")
	}
	if t.Tier != "" && !slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == t.Tier }) {
		bad(at+"tier", "there is no tier %q", t.Tier)
	}
	part(at+"part", t.Share)
	part(at+"batch", t.BatchShare)
	if t.Count < 0 || t.Count > 200 {
		bad(at+"count", "between 0 and 200, not %d", t.Count)
	}
	if t.Share != 0 && t.Count != 0 {
		bad(at+"count", "part is given, too: one of them is enough")
	}
	if t.Kind == "slow" && t.Magnitude < 1 {
		bad(at+"size", "how many times slower, at least 1, not %g", t.Magnitude)
	}
	if t.Kind == "spoilt" || t.Kind == "path" {
		part(at+"size", t.Magnitude)
	}
	if t.Kind == "slow-discovery" && t.Magnitude < 1 {
		bad(at+"size", "how many times slower, at least 1, not %g", t.Magnitude)
	}
	if t.Kind == "move-discovery" && t.Count > maxDiscoveryMoves {
		bad(at+"count", "at most %d in a row, not %d", maxDiscoveryMoves, t.Count)
	}
	if ways := []string{WatchesEnd, WatchesReset, WatchesSilent}; t.Kind == "watches" && !slices.Contains(ways, t.Mode) {
		bad(at+"way", "%s, not %q", strings.Join(ways, ", "), t.Mode)
	}
	if t.Kind == "path" {
		s.validatePath(t, at, bad, part)
	}
	if t.Kind == "misroute" && len(s.Tiers) > 0 && t.Tier == s.Tiers[len(s.Tiers)-1].Name {
		bad(at+"tier", "instances of the last tier make no calls")
	}
	if t.Kind == "pauses" && t.Interval <= t.Span {
		bad(at+"every", "%s is no longer than the pause of %s", t.Interval.D(), t.Span.D())
	}
}

func (s *Scenario) validatePath(t *Fault, at string, bad func(string, string, ...any), part func(string, float64)) {
	if t.Path != PathInstances && t.Path != PathDiscovery {
		bad(at+"path", "%s or %s, not %q", PathInstances, PathDiscovery, t.Path)
	}
	if t.Mode != "" && t.Mode != "out" && t.Mode != "back" && t.Mode != "both" {
		bad(at+"way", "out, back or both, not %q", t.Mode)
	}
	if t.Mode == "" && t.Span == 0 && t.Magnitude == 0 && !t.Reset {
		bad(at+"way", "one of way, span, size and reset is needed")
	}
	if t.Span < 0 {
		bad(at+"span", "is negative")
	}
	part(at+"targets", t.TargetShare)
}

// TroubleKinds are the kinds of troubles, sorted.
func FaultKinds() []string {
	var out []string
	for k := range faultKeys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
