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

// completeMembers fills in defaults for a pool's membership sources, makes paths absolute relative to folder and reports
// configuration problems under keys that start with at.
func completeMembers(folder, at string, m *config.Members, report func(key, format string, args ...any)) {
	if m.Serve != "" {
		if _, err := netip.ParseAddrPort(m.Serve); err != nil {
			report(at+"serve", "must be an IP address and a port, not %q", m.Serve)
		}
	}
	if m.Merge == nil {
		m.Merge = &config.Merge{}
	}
	merge, d := m.Merge, membership.Defaults()
	yamlfile.Default(&merge.StaleAfter, config.Duration(d.StaleAfter))
	yamlfile.Default(&merge.HoldBelow, d.QuarantineBelow)
	yamlfile.Default(&merge.HoldFor, config.Duration(d.QuarantineFor))
	yamlfile.Default(&merge.FlapMax, d.FlapThreshold)
	yamlfile.Default(&merge.FlapHold, config.Duration(d.FlapSuppression))
	if merge.StaleAfter < 0 || merge.HoldFor < 0 || merge.FlapHold < 0 || merge.FlapMax < 1 || !(merge.HoldBelow > 0 && merge.HoldBelow <= 1) {
		report(at+"merge", "durations must not be negative, hold_below must be above 0 and at most 1, flap_most must be at least 1")
	}
	e := m.Etcd
	if e == nil {
		return
	}
	yamlfile.Default(&e.Form, etcdsource.FormPlain)
	if len(e.Endpoints) == 0 {
		report(at+"etcd.endpoints", "at least one is needed")
	}
	for i, text := range e.Endpoints {
		if text == "" {
			report(fmt.Sprintf("%setcd.endpoints[%d]", at, i), "is empty")
		}
	}
	if e.Prefix == "" {
		report(at+"etcd.prefix", "is missing: without it every etcd key would be read as an endpoint")
	}
	if e.Form != etcdsource.FormPlain && e.Form != etcdsource.FormNaming {
		report(at+"etcd.form", "must be %s or %s, not %q", etcdsource.FormPlain, etcdsource.FormNaming, e.Form)
	}
	if (e.User == "") != (e.PasswordFile == "") {
		report(at+"etcd.password_file", "user and password_file must be set together")
	}
	if (e.Certificate == "") != (e.Key == "") || e.Certificate != "" && e.CA == "" {
		report(at+"etcd.certificate", "certificate, key and ca must be set together")
	}
	for _, path := range []*string{&e.PasswordFile, &e.CA, &e.Certificate, &e.Key} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}
