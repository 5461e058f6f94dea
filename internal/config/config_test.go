package config

import (
	"strings"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"

	"log/slog"
)

const validConfig = `name: edge
listeners: [{address: "127.0.0.1:8080"}]
pools:
  - name: portail
    members: {discovery: "127.0.0.1:8500"}
    classes:
      - {name: look, effect: safe, aim: 1s, deadline: 3s}
      - {name: pay, effect: keyed, window: 5s, aim: 500ms, deadline: 2s, worth: 3}
    zones: [a, b]
    zone: b
    reports: {via: answers, fields: [util, inflight]}
    shares: {operations: {guaranteed: 20, most: 50}}
  - name: partner
    members: {file: partner.yaml}
    classes: [{name: any, effect: unsafe, methods: [GET, PUT], aim: 1s, deadline: 3s}]
routes:
  - {path: /p, pool: portail, as: pay}
  - {hosts: ["*.partner.test"], headers: {x-a: "1"}, pool: partner}
  - {exact: /q, class: any, pool: partner}
`

// Settings that the file leaves out get their defaults, and each pool yields valid balancer settings.
func TestDefaults(t *testing.T) {
	f, err := Read("/etc/kitewood/edge.yaml", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	a, b := &f.Pools[0], &f.Pools[1]
	if b.Members.File != "/etc/kitewood/partner.yaml" || a.Classes[0].Methods[0] != "GET" || a.Classes[1].Methods[0] != "POST" ||
		a.Shares.Requests.Guaranteed != 20 || b.Shares.Requests.Guaranteed != (f.Limits.Requests-20)/2 || b.Attempts != 3 {
		t.Errorf("defaults: %+v", f)
	}
	s := a.BalancerSettings(f.SeedOf("portail"))
	if s.Zone != 1 || s.Classes[1].Effect != balance.Keyed || s.Classes[1].DedupWindow != 5*time.Second || !s.PollDiscovery || s.Report.Fields[1] != balance.Inflight {
		t.Errorf("balancer settings: %+v", s)
	}
	if f.SeedOf("portail") == f.SeedOf("partner") {
		t.Error("two pools have the same seed")
	}
	for i := range f.Pools {
		if _, err := routing.New(f.Pools[i].BalancerSettings(1), routing.Names{}, routing.NewClock(), slog.New(slog.DiscardHandler)); err != nil {
			t.Errorf("settings of pool %d rejected: %v", i, err)
		}
	}
}

// Each error names the file, line, column and key of the invalid setting.
func TestErrorsHavePositionAndKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"name: edge", "nam: edge", "c.yaml:1:1: nam: unknown field"},
		{"name: edge\n", "", "name: is missing"},
		{"name: edge", "name: edge\nseed: xyz", "c.yaml:2:7: seed: must be up to 16"},
		{"name: edge", "name: edge\nlimits: {memory_mb: 4}", "c.yaml:2:21: limits.memory_mb: must be at least 16, not 4"},
		{"name: edge", "name: edge\nlimits: {sockets: 4}", "c.yaml:2:19: limits.sockets: must be at least"},
		{"name: edge", "name: edge\nlimits: {cores: -1}", "c.yaml:2:17: limits.cores: must be above 0"},
		{"zone: b", "zone: b\n    chain: {header: \"a b\"}", `chain.header: must be the name of a header field that the sidecar does not use itself, not "a b"`},
		{"zone: b", "zone: b\n    chain: {header: x-correlation-id}", "chain.header: must be the name of a header field"},
		{"zone: b", "zone: b\n    chain: {header: x-c, service: \"a,b\"}", "chain.service: must be a name without"},
		{"zone: b", "zone: b\n    chain: {header: x-c, hops: 99}", "chain.hops: must be between 1 and 32, not 99"},
		{"zone: b", "zone: b\n    chain: {header: x-c, repeats: -1}", "chain.repeats: must be between 0 and 100, not -1"},
		{"zone: b", "zone: b\n    origin: \"a:b\"", "origin: must be the name of a header field"},
		{"zone: b", "zone: b\n    retries: {share: 2}", "retries: share must be between 0 and 1"},
		{"name: edge", "name: edge\nlimits: {operations: 100000}", "c.yaml:2:22: limits.operations: must be between 1 and"},
		{`"127.0.0.1:8080"`, "here", `c.yaml:2:23: listeners[0].address: must be an IP address and a port, not "here"`},
		{`{address: "127.0.0.1:8080"}`, `{address: "127.0.0.1:8080"}, {address: "127.0.0.1:8080"}`, `listeners[1].address: "127.0.0.1:8080" is used twice`},
		{"name: partner", "name: portail", `c.yaml:13:11: pools[1].name: "portail" is used twice`},
		{"name: partner", "name: a b", `pools[1].name: must be a name`},
		{"{file: partner.yaml}", "{}", "c.yaml:14:14: pools[1].members: discovery or file is required"},
		{"{file: partner.yaml}", "{file: x, discovery: y}", "pools[1].members.file: only one of file and discovery is allowed"},
		{"{file: partner.yaml}", `{file: x, serve: "127.0.0.1:1"}`, "pools[1].members: etcd, merge and serve are for kitewood-control only"},
		{"via: answers", "via: orca", "pools[0].reports: via: orca and every are for kitewood-control only"},
		{`"127.0.0.1:8500"`, "x:1", "c.yaml:5:26: pools[0].members.discovery: must be an IP"},
		{"name: look", "name: pay", `c.yaml:8:16: pools[0].classes[1].name: "pay" is used twice`},
		{"effect: safe", "effect: maybe", `c.yaml:7:30: pools[0].classes[0].effect: must be safe, keyed or unsafe, not "maybe"`},
		{"effect: safe", "effect: safe, window: 1s", "c.yaml:7:44: pools[0].classes[0].window: is required for a keyed class"},
		{"methods: [GET, PUT]", "methods: [GET, HEAD]", `pools[1].classes[0].methods[1]: must be one of GET, `},
		{"aim: 500ms", "aim: 5s", "pools[0].classes[1].deadline: must be at least the aim of 5s, not 2s"},
		{"aim: 500ms", "aim: 500", "c.yaml:8:53: pools[0].classes[1].aim: a span with its unit"},
		{"worth: 3", "worth: -3", "pools[0].classes[1].worth: must be above 0"},
		{"worth: 3", "late_worth: 3", "pools[0].classes[1].late_worth: must be between 0 and 1"},
		{"zone: b", "zone: c", `c.yaml:10:11: pools[0].zone: "c" is not one of`},
		{"zone: b", "sidecars: {me: 3, of: 3}", "pools[0].sidecars: me must be at least 0 and below of"},
		{"zone: b", "attempts: 11", "c.yaml:10:15: pools[0].attempts: must be between 1 and 10"},
		{"zone: b", "retry_after: -1s", "pools[0].retry_after: must not be negative"},
		{"zone: b", "cold: {share: 2}", "pools[0].cold: share must be above 0 and at most 1"},
		{"zone: b", "connections: {idle: -1s}", "pools[0].connections: idle and timeout"},
		{"via: answers", "via: mail", `c.yaml:11:20: pools[0].reports.via: must be answers, probes, none or, for kitewood-control, orca, not "mail"`},
		{"via: answers, ", "", "pools[0].reports.fields: fields are required with reports"},
		{"[util, inflight]", "[util, odd]", `pools[0].reports.fields[1]: unknown field "odd"`},
		{"guaranteed: 20", "guaranteed: 200", `shares.operations: pool "portail": at most 50 are less than the guaranteed 200`},
		{"guaranteed: 20, most: 50", "guaranteed: 2000", "shares.operations: the guaranteed parts add up to 2001 of"},
		{"pool: partner}\n  - {exact", "pool: parner}\n  - {exact", `c.yaml:18:60: routes[1].pool: there is no pool "parner"`},
		{"as: pay", "as: buy", `c.yaml:17:35: routes[0].as: the pool "portail" has no class "buy"`},
		{"class: any", "class: look", `routes[2].class: the pool "partner" has no class "look"`},
		{"exact: /q", "exact: /q, path: /q", "routes[2].exact: only one of exact and path is allowed"},
		{"path: /p", "path: p", `routes[0]: path "p": malformed target`},
		{`"*.partner.test"`, `"*partner.test"`, `c.yaml:18:5: routes[1]: host "*partner.test": a wildcard`},
		{"pools:", "pools: [", "c.yaml:"},
	} {
		if !strings.Contains(validConfig, c.from) {
			t.Fatalf("%q is not in the valid configuration", c.from)
		}
		_, err := Read("c.yaml", []byte(strings.Replace(validConfig, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %s", c.to, err, c.want)
		}
	}
	if _, err := Load("/nowhere/c.yaml"); err == nil {
		t.Error("no error for a missing file")
	}
}
