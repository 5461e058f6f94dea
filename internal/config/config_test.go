package config

import (
	"strings"
	"testing"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"

	"log/slog"
)

const good = `name: edge
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

func TestDefaults(t *testing.T) {
	f, err := Read("/etc/kitewood/edge.yaml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	a, b := &f.Pools[0], &f.Pools[1]
	if b.Members.File != "/etc/kitewood/partner.yaml" || a.Classes[0].Methods[0] != "GET" || a.Classes[1].Methods[0] != "POST" ||
		a.Shares.Operations.Guaranteed != 20 || b.Shares.Operations.Guaranteed != (f.Limits.Operations-20)/2 || b.Attempts != 3 {
		t.Errorf("%+v", f)
	}
	m := a.BalancerSettings(f.SeedOf("portail"))
	if m.Zone != 1 || m.Classes[1].Effect != balance.Keyed || m.Classes[1].DedupWindow != 5*time.Second || !m.PollDiscovery || m.Report.Fields[1] != balance.Inflight {
		t.Errorf("%+v", m)
	}
	if f.SeedOf("portail") == f.SeedOf("partner") {
		t.Error("two pools draw the same")
	}
	for i := range f.Pools {
		if _, err := routing.New(f.Pools[i].BalancerSettings(1), routing.Names{}, routing.NewClock(), slog.New(slog.DiscardHandler)); err != nil {
			t.Errorf("the module does not take pool %d: %v", i, err)
		}
	}
}

// Whatever is wrong is told with the file, the line, the column and the key.
func TestErrorsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"name: edge", "nam: edge", "c.yaml:1:1: nam: unknown field"},
		{"name: edge\n", "", "name: is missing"},
		{"name: edge", "name: edge\nseed: xyz", "c.yaml:2:7: seed: it must be"},
		{"name: edge", "name: edge\nlimits: {memory_mb: 4}", "c.yaml:2:21: limits.memory_mb: at least 16, not 4"},
		{"name: edge", "name: edge\nlimits: {sockets: 4}", "c.yaml:2:19: limits.sockets: at least"},
		{"name: edge", "name: edge\nlimits: {cores: -1}", "c.yaml:2:17: limits.cores: must be above 0"},
		{"zone: b", "zone: b\n    chain: {header: \"a b\"}", `chain.header: a header field's name is wanted, not "a b"`},
		{"zone: b", "zone: b\n    chain: {header: x-correlation-id}", "chain.header: a header field's name is wanted"},
		{"zone: b", "zone: b\n    chain: {header: x-c, service: \"a,b\"}", "chain.service: a name without"},
		{"zone: b", "zone: b\n    chain: {header: x-c, hops: 99}", "chain.hops: between 1 and 32, not 99"},
		{"zone: b", "zone: b\n    chain: {header: x-c, repeats: -1}", "chain.repeats: between 0 and 100, not -1"},
		{"zone: b", "zone: b\n    origin: \"a:b\"", "origin: a header field's name is wanted"},
		{"zone: b", "zone: b\n    retries: {share: 2}", "retries: a share up to 1"},
		{"name: edge", "name: edge\nlimits: {operations: 100000}", "c.yaml:2:22: limits.operations: between 1 and"},
		{`"127.0.0.1:8080"`, "here", `c.yaml:2:23: listeners[0].address: an IP and a port are wanted, not "here"`},
		{`{address: "127.0.0.1:8080"}`, `{address: "127.0.0.1:8080"}, {address: "127.0.0.1:8080"}`, `listeners[1].address: "127.0.0.1:8080" stands twice`},
		{"name: partner", "name: portail", `c.yaml:13:11: pools[1].name: "portail" stands twice`},
		{"name: partner", "name: a b", `pools[1].name: a pool has a name`},
		{"{file: partner.yaml}", "{}", "c.yaml:14:14: pools[1].members: discovery or file is needed"},
		{"{file: partner.yaml}", "{file: x, discovery: y}", "pools[1].members.file: discovery is given, too"},
		{"{file: partner.yaml}", `{file: x, serve: "127.0.0.1:1"}`, "pools[1].members: etcd, merge and serve are kitewood-control's"},
		{"via: answers", "via: orca", "pools[0].reports: via: orca and every are kitewood-control's"},
		{`"127.0.0.1:8500"`, "x:1", "c.yaml:5:26: pools[0].members.discovery: an IP"},
		{"name: look", "name: pay", `c.yaml:8:16: pools[0].classes[1].name: "pay" stands twice`},
		{"effect: safe", "effect: maybe", `c.yaml:7:30: pools[0].classes[0].effect: safe, keyed or unsafe, not "maybe"`},
		{"effect: safe", "effect: safe, window: 1s", "c.yaml:7:44: pools[0].classes[0].window: a keyed class needs it"},
		{"methods: [GET, PUT]", "methods: [GET, HEAD]", `pools[1].classes[0].methods[1]: one of GET, `},
		{"aim: 500ms", "aim: 5s", "pools[0].classes[1].deadline: at least the aim of 5s, not 2s"},
		{"aim: 500ms", "aim: 500", "c.yaml:8:53: pools[0].classes[1].aim: a span with its unit"},
		{"worth: 3", "worth: -3", "pools[0].classes[1].worth: must be above 0"},
		{"worth: 3", "late_worth: 3", "pools[0].classes[1].late_worth: a share lies"},
		{"zone: b", "zone: c", `c.yaml:10:11: pools[0].zone: "c" is none of`},
		{"zone: b", "sidecars: {me: 3, of: 3}", "pools[0].sidecars: me counts"},
		{"zone: b", "attempts: 11", "c.yaml:10:15: pools[0].attempts: between 1 and 10"},
		{"zone: b", "retry_after: -1s", "pools[0].retry_after: is negative"},
		{"zone: b", "cold: {share: 2}", "pools[0].cold: a share up to 1"},
		{"zone: b", "connections: {idle: -1s}", "pools[0].connections: idle and timeout"},
		{"via: answers", "via: mail", `c.yaml:11:20: pools[0].reports.via: answers, probes, none or, for kitewood-control, orca, not "mail"`},
		{"via: answers, ", "", "pools[0].reports.fields: reports need fields"},
		{"[util, inflight]", "[util, odd]", `pools[0].reports.fields[1]: unknown field "odd"`},
		{"guaranteed: 20", "guaranteed: 200", `shares.operations: pool "portail": at most 50 are less than the guaranteed 200`},
		{"guaranteed: 20, most: 50", "guaranteed: 2000", "shares.operations: the guaranteed parts add up to 2001 of"},
		{"pool: partner}\n  - {exact", "pool: parner}\n  - {exact", `c.yaml:18:60: routes[1].pool: there is no pool "parner"`},
		{"as: pay", "as: buy", `c.yaml:17:35: routes[0].as: the pool "portail" has no class "buy"`},
		{"class: any", "class: look", `routes[2].class: the pool "partner" has no class "look"`},
		{"exact: /q", "exact: /q, path: /q", "routes[2].exact: path is given, too"},
		{"path: /p", "path: p", `routes[0]: path "p": malformed target`},
		{`"*.partner.test"`, `"*partner.test"`, `c.yaml:18:5: routes[1]: host "*partner.test": a wildcard`},
		{"pools:", "pools: [", "c.yaml:"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("%q is not in the text", c.from)
		}
		_, err := Read("c.yaml", []byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v; want %s", c.to, err, c.want)
		}
	}
	if _, err := Load("/nowhere/c.yaml"); err == nil {
		t.Error("a file that is not there was read")
	}
}
