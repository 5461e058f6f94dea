package config

import (
	"errors"
	"fmt"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"kitewood/internal/protocol"
	"kitewood/internal/route"
	"kitewood/internal/share"
)

// reportFunc records what is wrong with the value of a key.
type reportFunc func(key, format string, args ...any)

// check reports every invalid setting by its key.
func (f *File) check(report reportFunc) {
	if f.Name == "" {
		report("name", "is missing")
	}
	if _, err := strconv.ParseUint(f.Seed, 16, 64); f.Seed != "" && err != nil {
		report("seed", "must be up to 16 hexadecimal digits")
	}
	if !(f.Limits.Cores > 0 && f.Limits.Cores <= 1024) {
		report("limits.cores", "must be above 0, not %g", f.Limits.Cores)
	}
	if f.Limits.MemoryMB < 16 {
		report("limits.memory_mb", "must be at least 16, not %d", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < minSockets {
		report("limits.sockets", "must be at least %d, not %d", minSockets, f.Limits.Sockets)
	}
	if clients, _ := f.connectionLimits(); f.Limits.Requests < 1 || f.Limits.Requests > clients {
		report("limits.operations", "must be between 1 and the limit of %d client connections, not %d", clients, f.Limits.Requests)
	}
	if len(f.Listeners) == 0 {
		report("listeners", "at least one is required")
	}
	seen := map[string]bool{}
	for i, l := range f.Listeners {
		key := fmt.Sprintf("listeners[%d].address", i)
		if _, err := netip.ParseAddrPort(l.Address); err != nil {
			report(key, "must be an IP address and a port, not %q", l.Address)
		}
		checkUnique(seen, l.Address, key, report)
	}
	if len(f.Pools) == 0 {
		report("pools", "at least one is required")
	}
	seen = map[string]bool{}
	for i := range f.Pools {
		p, at := &f.Pools[i], fmt.Sprintf("pools[%d].", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " /\t") {
			report(at+"name", "must be a name without spaces and slashes, not %q", p.Name)
		}
		checkUnique(seen, p.Name, at+"name", report)
		p.check(at, report)
	}
	for _, l := range f.SharedLimits() {
		if _, err := share.New(l.Units, l.PoolShares(f)); err != nil {
			report("pools", "shares.%s: %v", l.Key, err)
		}
	}
	for i, r := range f.Routes {
		f.checkRoute(&r, fmt.Sprintf("routes[%d].", i), report)
	}
}

// checkUnique reports a name that occurred before.
func checkUnique(seen map[string]bool, name, key string, report reportFunc) {
	if name != "" && seen[name] {
		report(key, "%q is used twice", name)
	}
	seen[name] = true
}

// check reports every invalid setting of a pool; at is the key of the pool with a dot.
func (p *Pool) check(at string, report reportFunc) {
	switch m := p.Members; {
	case m.Discovery == "" && m.File == "" && m.Etcd == nil:
		report(at+"members", "discovery or file is required")
	case m.Discovery != "":
		if _, err := netip.ParseAddrPort(m.Discovery); err != nil {
			report(at+"members.discovery", "must be an IP address and a port, not %q", m.Discovery)
		}
	}
	if len(p.Classes) == 0 {
		report(at+"classes", "at least one is required")
	}
	seen := map[string]bool{}
	for i, c := range p.Classes {
		at := fmt.Sprintf("%sclasses[%d].", at, i)
		if c.Name == "" || strings.ContainsAny(c.Name, " /\t") {
			report(at+"name", "must be a name without spaces and slashes, not %q", c.Name)
		}
		checkUnique(seen, c.Name, at+"name", report)
		if _, known := effects[c.Effect]; !known {
			report(at+"effect", "must be safe, keyed or unsafe, not %q", c.Effect)
		}
		if (c.Effect == "keyed") != (c.DedupWindow > 0) {
			report(at+"window", "is required for a keyed class and not allowed for others")
		}
		for j, m := range c.Methods {
			if !slices.Contains(methods, m) {
				report(fmt.Sprintf("%smethods[%d]", at, j), "must be one of %s, not %q", strings.Join(methods, ", "), m)
			}
		}
		if c.LatencyTarget <= 0 {
			report(at+"aim", "must be above 0, not %s", c.LatencyTarget.D())
		}
		if c.Deadline < c.LatencyTarget {
			report(at+"deadline", "must be at least the aim of %s, not %s", c.LatencyTarget.D(), c.Deadline.D())
		}
		if !(c.Utility > 0) {
			report(at+"worth", "must be above 0, not %g", c.Utility)
		}
		if !(c.LateUtility >= 0 && c.LateUtility <= 1) {
			report(at+"late_worth", "must be between 0 and 1, not %g", c.LateUtility)
		}
	}
	if s := p.Sidecars; s.Count < 1 || s.Index < 0 || s.Index >= s.Count {
		report(at+"sidecars", "me must be at least 0 and below of, not %d of %d", s.Index, s.Count)
	}
	if p.Zone != "" && !slices.Contains(p.Zones, p.Zone) {
		report(at+"zone", "%q is not one of the zones %q", p.Zone, p.Zones)
	}
	if p.Attempts < 1 || p.Attempts > 10 {
		report(at+"attempts", "must be between 1 and 10, not %d", p.Attempts)
	}
	if c := p.Chain; c != nil {
		if !validHeaderName(c.Header) {
			report(at+"chain.header", "must be the name of a header field that the sidecar does not use itself, not %q", c.Header)
		}
		if c.Service == "" || strings.ContainsAny(c.Service, ",;= \t") {
			report(at+"chain.service", "must be a name without spaces, commas, semicolons and equals signs, not %q", c.Service)
		}
		if c.MaxHops < 1 || c.MaxHops > 32 {
			report(at+"chain.hops", "must be between 1 and 32, not %d", c.MaxHops)
		}
		if c.MaxRetries < 0 || c.MaxRetries > 100 {
			report(at+"chain.repeats", "must be between 0 and 100, not %d", c.MaxRetries)
		}
	}
	if p.Origin != "" && !validHeaderName(p.Origin) {
		report(at+"origin", "must be the name of a header field that the sidecar does not use itself, not %q", p.Origin)
	}
	if r := p.Retries; !(r.Share >= 0 && r.Share <= 1) || !(r.Burst >= 0 && r.Burst <= 1e6) {
		report(at+"retries", "share must be between 0 and 1 and burst between 0 and 1000000")
	}
	if p.RetryAfter < 0 {
		report(at+"retry_after", "must not be negative")
	}
	if _, known := reportSources[p.Reports.Source]; !known {
		report(at+"reports.via", "must be answers, probes, none or, for kitewood-control, orca, not %q", p.Reports.Source)
	}
	for i, name := range p.Reports.Fields {
		if _, known := reportFields[name]; !known {
			report(fmt.Sprintf("%sreports.fields[%d]", at, i), "unknown field %q", name)
		}
	}
	if (p.Reports.Source != "none") != (len(p.Reports.Fields) > 0) {
		report(at+"reports.fields", "fields are required with reports and not allowed without")
	}
	if c := p.SlowStart; !(c.Share > 0 && c.Share <= 1) || c.Time < 0 || !(c.OverloadMultiple >= 1) || c.OverloadWindow <= 0 {
		report(at+"cold", "share must be above 0 and at most 1, multiple at least 1, time not negative and window above 0")
	}
	if p.Connections.Idle <= 0 || p.Connections.Timeout <= 0 {
		report(at+"connections", "idle and timeout must be above 0")
	}
}

// validHeaderName reports whether a string can be the name of a header field and is none that the sidecar writes itself.
func validHeaderName(s string) bool {
	return s != "" && !strings.ContainsAny(s, " \t:,;=\r\n") && !slices.Contains(protocol.ReservedFields(), textproto.CanonicalMIMEHeaderKey(s))
}

// checkRoute reports every invalid setting of a route; at is the key of the route with a dot.
func (f *File) checkRoute(r *Route, at string, report reportFunc) {
	i := slices.IndexFunc(f.Pools, func(p Pool) bool { return p.Name == r.Pool })
	if i < 0 {
		report(at+"pool", "there is no pool %q", r.Pool)
	} else {
		for key, class := range map[string]string{"class": r.Class, "as": r.DefaultClass} {
			if class != "" && f.Pools[i].classIndex(class) < 0 {
				report(at+key, "the pool %q has no class %q", r.Pool, class)
			}
		}
	}
	if r.Path != "" && r.Exact != "" {
		report(at+"exact", "only one of exact and path is allowed")
	}
	if _, err := route.New([]route.Rule{r.rule(0)}); err != nil {
		report(strings.TrimSuffix(at, "."), "%v", errors.Unwrap(err))
	}
}

// classIndex returns the index of a class by name, or -1.
func (p *Pool) classIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}
