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

// bad notes that a key is wrong.
type bad func(key, format string, args ...any)

// check names all that is wrong.
func (f *File) check(bad bad) {
	if f.Name == "" {
		bad("name", "is missing")
	}
	if _, err := strconv.ParseUint(f.Seed, 16, 64); f.Seed != "" && err != nil {
		bad("seed", "it must be up to 16 hexadecimal digits")
	}
	if !(f.Limits.Cores > 0 && f.Limits.Cores <= 1024) {
		bad("limits.cores", "must be above 0, not %g", f.Limits.Cores)
	}
	if f.Limits.MemoryMB < 16 {
		bad("limits.memory_mb", "at least 16, not %d", f.Limits.MemoryMB)
	}
	if f.Limits.Sockets < minSockets {
		bad("limits.sockets", "at least %d, not %d", minSockets, f.Limits.Sockets)
	}
	if front, _ := f.budget(); f.Limits.Operations < 1 || f.Limits.Operations > front {
		bad("limits.operations", "between 1 and the %d connections that clients may have, not %d", front, f.Limits.Operations)
	}
	if len(f.Listeners) == 0 {
		bad("listeners", "at least one is needed")
	}
	seen := map[string]bool{}
	for i, l := range f.Listeners {
		key := fmt.Sprintf("listeners[%d].address", i)
		if _, err := netip.ParseAddrPort(l.Address); err != nil {
			bad(key, "an IP and a port are wanted, not %q", l.Address)
		}
		once(seen, l.Address, key, bad)
	}
	if len(f.Pools) == 0 {
		bad("pools", "at least one is needed")
	}
	seen = map[string]bool{}
	for i := range f.Pools {
		p, at := &f.Pools[i], fmt.Sprintf("pools[%d].", i)
		if p.Name == "" || strings.ContainsAny(p.Name, " /\t") {
			bad(at+"name", "a pool has a name without spaces and slashes, not %q", p.Name)
		}
		once(seen, p.Name, at+"name", bad)
		p.check(at, bad)
	}
	for _, w := range f.Wholes() {
		if _, err := share.New(w.Units, w.Parts(f)); err != nil {
			bad("pools", "shares.%s: %v", w.Key, err)
		}
	}
	for i, r := range f.Routes {
		f.checkRoute(&r, fmt.Sprintf("routes[%d].", i), bad)
	}
}

func once(seen map[string]bool, name, key string, bad bad) {
	if name != "" && seen[name] {
		bad(key, "%q stands twice", name)
	}
	seen[name] = true
}

func (p *Pool) check(at string, bad bad) {
	switch m := p.Members; {
	case m.Discovery == "" && m.File == "" && m.Etcd == nil:
		bad(at+"members", "discovery or file is needed")
	case m.Discovery != "":
		if _, err := netip.ParseAddrPort(m.Discovery); err != nil {
			bad(at+"members.discovery", "an IP and a port are wanted, not %q", m.Discovery)
		}
	}
	if len(p.Classes) == 0 {
		bad(at+"classes", "at least one is needed")
	}
	seen := map[string]bool{}
	for i, c := range p.Classes {
		at := fmt.Sprintf("%sclasses[%d].", at, i)
		if c.Name == "" || strings.ContainsAny(c.Name, " /\t") {
			bad(at+"name", "a class has a name without spaces and slashes, not %q", c.Name)
		}
		once(seen, c.Name, at+"name", bad)
		if _, known := effects[c.Effect]; !known {
			bad(at+"effect", "safe, keyed or unsafe, not %q", c.Effect)
		}
		if (c.Effect == "keyed") != (c.Window > 0) {
			bad(at+"window", "a keyed class needs it, others have none")
		}
		for j, m := range c.Methods {
			if !slices.Contains(methods, m) {
				bad(fmt.Sprintf("%smethods[%d]", at, j), "one of %s, not %q", strings.Join(methods, ", "), m)
			}
		}
		if c.Aim <= 0 {
			bad(at+"aim", "must be above 0, not %s", c.Aim.D())
		}
		if c.Deadline < c.Aim {
			bad(at+"deadline", "at least the aim of %s, not %s", c.Aim.D(), c.Deadline.D())
		}
		if !(c.Worth > 0) {
			bad(at+"worth", "must be above 0, not %g", c.Worth)
		}
		if !(c.LateWorth >= 0 && c.LateWorth <= 1) {
			bad(at+"late_worth", "a share lies between 0 and 1, not %g", c.LateWorth)
		}
	}
	if s := p.Sidecars; s.Of < 1 || s.Me < 0 || s.Me >= s.Of {
		bad(at+"sidecars", "me counts from 0 up to below of, not %d of %d", s.Me, s.Of)
	}
	if p.Zone != "" && !slices.Contains(p.Zones, p.Zone) {
		bad(at+"zone", "%q is none of the zones %q", p.Zone, p.Zones)
	}
	if p.Attempts < 1 || p.Attempts > 10 {
		bad(at+"attempts", "between 1 and 10, not %d", p.Attempts)
	}
	if c := p.Chain; c != nil {
		if !fieldName(c.Header) {
			bad(at+"chain.header", "a header field's name is wanted, not %q", c.Header)
		}
		if c.Service == "" || strings.ContainsAny(c.Service, ",;= \t") {
			bad(at+"chain.service", "a name without spaces, commas, semicolons and equals signs is wanted, not %q", c.Service)
		}
		if c.Hops < 1 || c.Hops > 32 {
			bad(at+"chain.hops", "between 1 and 32, not %d", c.Hops)
		}
		if c.Repeats < 0 || c.Repeats > 100 {
			bad(at+"chain.repeats", "between 0 and 100, not %d", c.Repeats)
		}
	}
	if p.Origin != "" && !fieldName(p.Origin) {
		bad(at+"origin", "a header field's name is wanted, not %q", p.Origin)
	}
	if r := p.Retries; !(r.Share >= 0 && r.Share <= 1) || !(r.Burst >= 0 && r.Burst <= 1e6) {
		bad(at+"retries", "a share up to 1 and a burst that is not negative are wanted")
	}
	if p.RetryAfter < 0 {
		bad(at+"retry_after", "is negative")
	}
	if _, known := vias[p.Reports.Source]; !known {
		bad(at+"reports.via", "answers, probes, none or, for kitewood-control, orca, not %q", p.Reports.Source)
	}
	for i, name := range p.Reports.Fields {
		if _, known := fields[name]; !known {
			bad(fmt.Sprintf("%sreports.fields[%d]", at, i), "unknown field %q", name)
		}
	}
	if (p.Reports.Source != "none") != (len(p.Reports.Fields) > 0) {
		bad(at+"reports.fields", "reports need fields, and where there are none there are no fields")
	}
	if c := p.Cold; !(c.Share > 0 && c.Share <= 1) || c.Time < 0 || !(c.Multiple >= 1) || c.Window <= 0 {
		bad(at+"cold", "a share up to 1, a multiple from 1 and spans that are not negative are wanted")
	}
	if p.Connections.Idle <= 0 || p.Connections.Timeout <= 0 {
		bad(at+"connections", "idle and timeout must be above 0")
	}
}

// fieldName tells whether a text can be the name of a header field that this program does not write itself.
func fieldName(s string) bool {
	return s != "" && !strings.ContainsAny(s, " \t:,;=\r\n") && !slices.Contains(protocol.ReservedFields(), textproto.CanonicalMIMEHeaderKey(s))
}

func (f *File) checkRoute(r *Route, at string, bad bad) {
	i := slices.IndexFunc(f.Pools, func(p Pool) bool { return p.Name == r.Pool })
	if i < 0 {
		bad(at+"pool", "there is no pool %q", r.Pool)
	} else {
		for key, class := range map[string]string{"class": r.Class, "as": r.DefaultClass} {
			if class != "" && f.Pools[i].class(class) < 0 {
				bad(at+key, "the pool %q has no class %q", r.Pool, class)
			}
		}
	}
	if r.Path != "" && r.Exact != "" {
		bad(at+"exact", "path is given, too: one of them is enough")
	}
	if _, err := route.New([]route.Rule{r.rule(0)}); err != nil {
		bad(strings.TrimSuffix(at, "."), "%v", errors.Unwrap(err))
	}
}

func (p *Pool) class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}
