package control

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"kitewood/internal/config"
	"kitewood/internal/etcdsource"
	"kitewood/internal/membership"
	"kitewood/internal/yamlfile"
)

// fillMembers fills in what a pool's sources leave out, and names what is wrong with them.
func fillMembers(folder, at string, m *config.Members, wrong func(key, format string, args ...any)) {
	if m.Serve != "" {
		if _, err := netip.ParseAddrPort(m.Serve); err != nil {
			wrong(at+"serve", "an IP and a port are wanted, not %q", m.Serve)
		}
	}
	if m.Merge == nil {
		m.Merge = &config.Merge{}
	}
	x, d := m.Merge, membership.Defaults()
	yamlfile.Default(&x.StaleAfter, config.Duration(d.StaleAfter))
	yamlfile.Default(&x.HoldBelow, d.QuarantineBelow)
	yamlfile.Default(&x.HoldFor, config.Duration(d.QuarantineFor))
	yamlfile.Default(&x.FlapMax, d.FlapThreshold)
	yamlfile.Default(&x.FlapHold, config.Duration(d.FlapSuppression))
	if x.StaleAfter < 0 || x.HoldFor < 0 || x.FlapHold < 0 || x.FlapMax < 1 || !(x.HoldBelow > 0 && x.HoldBelow <= 1) {
		wrong(at+"merge", "spans that are not negative, a share up to 1 and at least one return are wanted")
	}
	e := m.Etcd
	if e == nil {
		return
	}
	yamlfile.Default(&e.Form, etcdsource.FormPlain)
	if len(e.Endpoints) == 0 {
		wrong(at+"etcd.endpoints", "at least one is needed")
	}
	for i, text := range e.Endpoints {
		if text == "" {
			wrong(fmt.Sprintf("%setcd.endpoints[%d]", at, i), "is empty")
		}
	}
	if e.Prefix == "" {
		wrong(at+"etcd.prefix", "is missing: without it every key would be a destination")
	}
	if e.Form != etcdsource.FormPlain && e.Form != etcdsource.FormNaming {
		wrong(at+"etcd.form", "%s or %s, not %q", etcdsource.FormPlain, etcdsource.FormNaming, e.Form)
	}
	if (e.User == "") != (e.PasswordFile == "") {
		wrong(at+"etcd.password_file", "user and password_file go together")
	}
	if (e.Certificate == "") != (e.Key == "") || e.Certificate != "" && e.CA == "" {
		wrong(at+"etcd.certificate", "certificate, key and ca go together")
	}
	for _, path := range []*string{&e.PasswordFile, &e.CA, &e.Certificate, &e.Key} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
