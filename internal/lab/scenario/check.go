package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// faultKeys are the keys of each kind of fault, besides kind and at. An exclamation mark marks a required key.
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

// maxDiscoveryMoves bounds the address changes of one fault: discovery keeps serving at its old addresses for a while, and there
// can be only so many at a time.
const maxDiscoveryMoves = 6

// validate checks all values and reports each invalid one with its key.
func (s *Scenario) validate(report func(key, format string, args ...any)) {
	positive := func(key string, v float64) {
		if !(v > 0) || math.IsInf(v, 0) {
			report(key, "must be above 0, not %g", v)
		}
	}
	share := func(key string, v float64) {
		if !(v >= 0 && v <= 1) {
			report(key, "a share lies between 0 and 1, not %g", v)
		}
	}
	positiveDuration := func(key string, d Duration) {
		if d <= 0 {
			report(key, "must be above 0, not %s", d.D())
		}
	}
	if s.Name == "" {
		report("name", "is missing")
	}
	positiveDuration("duration", s.Duration)
	if s.Warmup < 0 || s.Warmup >= s.Duration {
		report("warmup", "must lie within the duration of %s", s.Duration.D())
	}
	if len(s.Classes) == 0 {
		report("classes", "at least one is needed")
	}
	shares := 0.0
	for i, c := range s.Classes {
		prefix := fmt.Sprintf("classes[%d].", i)
		if c.Name == "" || strings.ContainsAny(c.Name, "/? \t") {
			report(prefix+"name", "a class has a name without spaces and slashes, not %q", c.Name)
		}
		if slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }) {
			report(prefix+"name", "duplicate name %q", c.Name)
		}
		positive(prefix+"share", c.Share)
		positive(prefix+"worth", c.Utility)
		positiveDuration(prefix+"work", c.Work)
		positiveDuration(prefix+"aim", c.LatencyTarget)
		if c.TotalTimeout < c.LatencyTarget {
			report(prefix+"give_up", "%s is before the aim of %s", c.TotalTimeout.D(), c.LatencyTarget.D())
		}
		if c.Effect != "safe" && c.Effect != "unsafe" {
			report(prefix+"effect", "safe or unsafe, not %q", c.Effect)
		}
		if c.WorkCV < 0 || c.AttemptNoise < 0 {
			report(prefix+"spread", "a spread is not negative")
		}
		shares += c.Share
	}
	if len(s.Classes) > 0 && math.Abs(shares-1) > 0.011 {
		report("classes", "the shares add up to %.2f, not 1", shares)
	}
	s.validateLoad(report)
	if s.Clients.MaxRetries < 0 || s.Clients.MaxRetries > 20 {
		report("clients.retries", "between 0 and 20, not %d", s.Clients.MaxRetries)
	}
	positive("clients.try_share", s.Clients.AttemptTimeoutShare)
	share("clients.try_share", s.Clients.AttemptTimeoutShare)
	share("clients.honour", s.Clients.HonorRetryAfter)
	share("clients.leave", s.Clients.LeaveShare)
	if !(s.Frontend.Skew >= 1 && s.Frontend.Skew <= 100) {
		report("front.skew", "between 1 and 100, not %g", s.Frontend.Skew)
	}
	if s.Clients.Backoff < 0 {
		report("clients.backoff", "is negative")
	}
	if len(s.Tiers) == 0 {
		report("tiers", "at least one is needed")
	}
	for i := range s.Tiers {
		s.Tiers[i].validate(i, len(s.Tiers), report, positive, share, positiveDuration)
	}
	d := s.Discovery
	positive("discovery.capacity", d.CallsPerSecond)
	positiveDuration("discovery.period", d.PublishPeriod)
	positiveDuration("discovery.timeout", d.Timeout)
	positiveDuration("discovery.beat", d.HeartbeatPeriod)
	positive("sidecar.cores", s.Sidecar.Cores)
	if s.Sidecar.MemoryMB < 16 {
		report("sidecar.memory_mb", "at least 16, not %d", s.Sidecar.MemoryMB)
	}
	if s.Sidecar.Sockets < 64 {
		report("sidecar.sockets", "at least 64, not %d", s.Sidecar.Sockets)
	}
	switch c := s.Sidecar; {
	case c.ConfigFormat != FormatPlatform && c.ConfigFormat != FormatPools:
		report("sidecar.form", "%s or %s, not %q", FormatPlatform, FormatPools, c.ConfigFormat)
	case c.ConfigFormat == FormatPlatform && (c.Chain || c.Origin || c.RetryDeclined || c.RetryShare != 0 || c.RetryBurst != 0):
		report("sidecar.form", "%s has no chain, origin and retries: they need form: %s", FormatPlatform, FormatPools)
	case c.MaxAttempts < 1 || c.MaxAttempts > 10:
		report("sidecar.attempts", "between 1 and 10, not %d", c.MaxAttempts)
	}
	if g := s.Objective; math.Abs(g.WholeRun+g.WorstWindow+g.WorstClass-1) > 0.001 {
		report("goal", "whole, worst_window and worst_class add up to %.2f, not 1", g.WholeRun+g.WorstWindow+g.WorstClass)
	}
	if s.Objective.UtilityPer != "work" && s.Objective.UtilityPer != "request" {
		report("goal.worth_by", "work or request, not %q", s.Objective.UtilityPer)
	}
	for i := range s.Faults {
		s.validateFault(i, report, share)
	}
}

// validateLoad checks the key load.
func (s *Scenario) validateLoad(report func(string, string, ...any)) {
	l := s.Load
	switch {
	case l.Utilisation == 0 && l.Rate == 0:
		report("load", "utilisation or rate is needed")
	case l.Utilisation != 0 && l.Rate != 0:
		report("load.rate", "only one of utilisation and rate may be set")
	case l.Utilisation < 0 || l.Utilisation > 5:
		report("load.utilisation", "between 0 and 5, not %g", l.Utilisation)
	case l.Rate < 0 || l.Rate > 5000:
		report("load.rate", "between 0 and 5000 requests a second, not %g", l.Rate)
	}
	if l.Arrivals != "poisson" && l.Arrivals != "constant" {
		report("load.arrivals", "poisson or constant, not %q", l.Arrivals)
	}
	for i, p := range l.Shape {
		if i > 0 && p.At < l.Shape[i-1].At {
			report(fmt.Sprintf("load.shape[%d].at", i), "%s comes after %s", p.At.D(), l.Shape[i-1].At.D())
		}
		if p.Factor < 0 || p.Factor > 100 {
			report(fmt.Sprintf("load.shape[%d].factor", i), "between 0 and 100, not %g", p.Factor)
		}
	}
}

// validate checks the n-th tier.
func (t *Tier) validate(n, tiers int, report func(string, string, ...any), positive, share func(string, float64), positiveDuration func(string, Duration)) {
	prefix := fmt.Sprintf("tiers[%d].", n)
	if t.Name == "" || strings.ContainsAny(t.Name, "/ \t") {
		report(prefix+"name", "a tier has a name without spaces and slashes, not %q", t.Name)
	}
	if t.Instances < 1 || t.Instances > 200 {
		report(prefix+"instances", "between 1 and 200, not %d", t.Instances)
	}
	switch {
	case n == 0 && (t.Sidecars < 1 || t.Sidecars > 60):
		report(prefix+"sidecars", "between 1 and 60, not %d", t.Sidecars)
	case n > 0 && t.Sidecars != 0:
		report(prefix+"sidecars", "only the first tier has a number of sidecars: later ones have one for each instance above")
	}
	positive(prefix+"work", t.WorkShare)
	if n > 0 && !(t.CallsPerRequest >= 1 && t.CallsPerRequest <= 10) {
		report(prefix+"calls", "between 1 and 10, not %g", t.CallsPerRequest)
	}
	sum := 0.0
	for i, k := range t.Kinds {
		prefix := fmt.Sprintf("%skinds[%d].", prefix, i)
		if k.Name == "" {
			report(prefix+"name", "is missing")
		}
		sum += k.Share
		positive(prefix+"share", k.Share)
		positive(prefix+"speed", k.Speed.Low)
		if k.Speed.High < k.Speed.Low {
			report(prefix+"speed", "the upper bound of the range is below the lower bound")
		}
		if k.Cores < 1 || k.Cores > 64 {
			report(prefix+"cores", "between 1 and 64, not %d", k.Cores)
		}
	}
	if math.Abs(sum-1) > 0.011 {
		report(prefix+"kinds", "the shares add up to %.2f, not 1", sum)
	}
	if t.Slots < 1 {
		report(prefix+"slots", "at least 1, not %d", t.Slots)
	}
	if t.QueueLimit < 0 {
		report(prefix+"queue", "is negative")
	}
	share(prefix+"errors", t.ErrorShare)
	share(prefix+"spoilt", t.CorruptShare)
	positive(prefix+"cold.share", t.ColdStart.InitialShare)
	share(prefix+"cold.share", t.ColdStart.InitialShare)
	positiveDuration(prefix+"cold.time", t.ColdStart.Duration)
	positiveDuration(prefix+"cold.window", t.ColdStart.Window)
	positive(prefix+"cold.multiple", t.ColdStart.LoadFactor)
	share(prefix+"connections.tax", t.Connections.FullTableLoss)
	positiveDuration(prefix+"reports.period", t.LoadReports.Period)
	for i, f := range t.LoadReports.Fields {
		if reportFieldNames[f] == "" {
			report(fmt.Sprintf("%sreports.fields[%d]", prefix, i), "queue, inflight, qps or util, not %q", f)
		}
	}
}

// givenKeys reports which keys of a fault are set.
func (f *Fault) givenKeys() map[string]bool {
	return map[string]bool{"for": f.Duration != 0, "tier": f.Tier != "", "part": f.Share != 0, "count": f.Count != 0, "size": f.Magnitude != 0,
		"every": f.Interval != 0, "span": f.Span != 0, "batch": f.BatchShare != 0, "drain": f.DrainTime != 0, "path": f.Path != "", "way": f.Mode != "",
		"reset": f.ResetConnections, "targets": f.TargetShare != 0, "forget": f.DiscardList}
}

// validateFault checks the i-th fault.
func (s *Scenario) validateFault(i int, report func(string, string, ...any), share func(string, float64)) {
	f, prefix := &s.Faults[i], fmt.Sprintf("troubles[%d].", i)
	keys, known := faultKeys[f.Kind]
	if !known {
		report(prefix+"kind", "unknown kind %q, not one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
		return
	}
	for key, given := range f.givenKeys() {
		needed := slices.Contains(keys, key+"!")
		if given && !needed && !slices.Contains(keys, key) {
			report(prefix+key, "a fault of kind %s has no such key", f.Kind)
		}
		if !given && needed {
			report(prefix+key, "required for kind %s", f.Kind)
		}
	}
	if f.At < 0 || f.At >= s.Duration {
		report(prefix+"at", "%s is not within the run of %s", f.At.D(), s.Duration.D())
	}
	if f.Duration < 0 {
		report(prefix+"for", "is negative")
	}
	if f.Tier != "" && !slices.ContainsFunc(s.Tiers, func(o Tier) bool { return o.Name == f.Tier }) {
		report(prefix+"tier", "there is no tier %q", f.Tier)
	}
	share(prefix+"part", f.Share)
	share(prefix+"batch", f.BatchShare)
	if f.Count < 0 || f.Count > 200 {
		report(prefix+"count", "between 0 and 200, not %d", f.Count)
	}
	if f.Share != 0 && f.Count != 0 {
		report(prefix+"count", "only one of part and count may be set")
	}
	if f.Kind == "slow" && f.Magnitude < 1 {
		report(prefix+"size", "how many times slower, at least 1, not %g", f.Magnitude)
	}
	if f.Kind == "spoilt" || f.Kind == "path" {
		share(prefix+"size", f.Magnitude)
	}
	if f.Kind == "slow-discovery" && f.Magnitude < 1 {
		report(prefix+"size", "how many times slower, at least 1, not %g", f.Magnitude)
	}
	if f.Kind == "move-discovery" && f.Count > maxDiscoveryMoves {
		report(prefix+"count", "at most %d in a row, not %d", maxDiscoveryMoves, f.Count)
	}
	if ways := []string{WatchesEnd, WatchesReset, WatchesSilent}; f.Kind == "watches" && !slices.Contains(ways, f.Mode) {
		report(prefix+"way", "%s, not %q", strings.Join(ways, ", "), f.Mode)
	}
	if f.Kind == "path" {
		s.validatePath(f, prefix, report, share)
	}
	if f.Kind == "misroute" && len(s.Tiers) > 0 && f.Tier == s.Tiers[len(s.Tiers)-1].Name {
		report(prefix+"tier", "instances of the last tier make no calls")
	}
	if f.Kind == "pauses" && f.Interval <= f.Span {
		report(prefix+"every", "%s is no longer than the pause of %s", f.Interval.D(), f.Span.D())
	}
}

// validatePath checks the keys of a fault of kind path.
func (s *Scenario) validatePath(f *Fault, prefix string, report func(string, string, ...any), share func(string, float64)) {
	if f.Path != PathInstances && f.Path != PathDiscovery {
		report(prefix+"path", "%s or %s, not %q", PathInstances, PathDiscovery, f.Path)
	}
	if f.Mode != "" && f.Mode != "out" && f.Mode != "back" && f.Mode != "both" {
		report(prefix+"way", "out, back or both, not %q", f.Mode)
	}
	if f.Mode == "" && f.Span == 0 && f.Magnitude == 0 && !f.ResetConnections {
		report(prefix+"way", "one of way, span, size and reset is needed")
	}
	if f.Span < 0 {
		report(prefix+"span", "is negative")
	}
	share(prefix+"targets", f.TargetShare)
}

// FaultKinds returns the kinds of faults, sorted.
func FaultKinds() []string {
	var out []string
	for k := range faultKeys {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
