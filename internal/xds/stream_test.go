package xds

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"
	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// typeURLs maps the abbreviations used in these tests to type URLs.
var typeURLs = map[string]string{"cds": TypeCluster, "eds": TypeEndpoint, "lds": TypeListener, "rds": TypeRoute}

// parseSnapshot builds a snapshot from a text such as "cds:a=1 eds:a=1/ready". The part after the slash determines the
// resource's UrgentHash.
func parseSnapshot(t interface {
	Helper()
	Fatal(...any)
}, text string) *Snapshot {
	t.Helper()
	resources := map[string][]*Resource{}
	for _, field := range strings.Fields(text) {
		kind, rest, _ := strings.Cut(field, ":")
		name, version, _ := strings.Cut(rest, "=")
		_, urgent, _ := strings.Cut(version, "/")
		urgentHash := uint64(0)
		for _, c := range urgent {
			urgentHash = urgentHash*31 + uint64(c)
		}
		r, err := NewResource(name, urgentHash, wrapperspb.String(name+version))
		if err != nil {
			t.Fatal(err)
		}
		r.Version = version
		resources[typeURLs[kind]] = append(resources[typeURLs[kind]], r)
	}
	s, err := NewSnapshot(resources)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// formatResponse returns a response in short form: "eds a=1 b=2 -c urgent".
func formatResponse(r *Response) string {
	if r == nil {
		return ""
	}
	var parts []string
	for kind, t := range typeURLs {
		if t == r.TypeURL {
			parts = append(parts, kind)
		}
	}
	for _, x := range r.Resources {
		parts = append(parts, x.Name+"="+x.Version)
	}
	for _, name := range r.Removed {
		parts = append(parts, "-"+name)
	}
	if r.Urgent {
		parts = append(parts, "urgent")
	}
	return strings.Join(parts, " ")
}

// runDialogue runs a script of one command per line against a stream: "> eds a b" subscribes to names (state of the world),
// "> eds +a -b" changes them (delta), where "v=X" gives the version that the proxy has and "a@1" that of a resource; "ack eds"
// and "nack eds" answer the last response, "stale eds" has an outdated nonce; "snap ..." sets the snapshot; "wait 50ms"
// advances the time; "< eds a=1" expects a response, "<" expects none.
func runDialogue(t *testing.T, delta bool, text string) *Stream {
	t.Helper()
	s := NewStream(delta, "")
	now := time.Second
	last := map[string]*Response{}
	for n, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		handle := func(q *Request) {
			t.Helper()
			if err := s.HandleRequest(now, q); err != nil {
				t.Fatalf("line %d, %s: %v", n+1, line, err)
			}
		}
		switch f[0] {
		case "snap":
			s.SetSnapshot(parseSnapshot(t, strings.TrimPrefix(strings.TrimSpace(line), "snap")))
		case "wait":
			d, err := time.ParseDuration(f[1])
			if err != nil {
				t.Fatal(err)
			}
			now += d
		case ">", "ack", "nack", "stale":
			q := &Request{NodeID: "p", TypeURL: typeURLs[f[1]], InitialVersions: map[string]string{}}
			if r := last[f[1]]; f[0] != ">" {
				q.Nonce, q.Version = r.Nonce, r.Version
			}
			switch f[0] {
			case "nack":
				q.NackReason = "odd"
			case "stale":
				q.Nonce = "old"
			}
			for _, name := range f[2:] {
				resource, version, hasVersion := strings.Cut(name, "@")
				switch {
				case strings.HasPrefix(name, "v="):
					q.Version = name[2:]
				case hasVersion:
					q.InitialVersions[resource] = version
				case strings.HasPrefix(name, "+"):
					q.Subscribe = append(q.Subscribe, name[1:])
				case strings.HasPrefix(name, "-"):
					q.Unsubscribe = append(q.Unsubscribe, name[1:])
				default:
					q.Names = append(q.Names, name)
				}
			}
			handle(q)
		case "<":
			r, _ := s.Next(now)
			if r != nil {
				last[map[string]string{TypeCluster: "cds", TypeEndpoint: "eds", TypeListener: "lds", TypeRoute: "rds"}[r.TypeURL]] = r
			}
			if got, want := formatResponse(r), strings.Join(f[1:], " "); got != want {
				t.Fatalf("line %d: sent %q, want %q", n+1, got, want)
			}
		default:
			t.Fatalf("line %d: unknown command: %s", n+1, line)
		}
	}
	return s
}

func TestStateOfTheWorld(t *testing.T) {
	routesVersion := combinedVersion([]*Resource{{Name: "r", Version: "a"}})
	for name, text := range map[string]string{
		"all types in order, each once": `
			> lds
			> cds
			<
			snap cds:a=1 cds:b=1 eds:a=1 eds:b=1 lds:l=1 rds:r=1
			< cds a=1 b=1
			ack cds
			> eds a b
			< eds a=1 b=1
			< lds l=1
			> rds r
			< rds r=1
			ack eds a b
			ack lds
			ack rds r
			<`,
		"changed endpoints only, but all clusters": `
			snap cds:a=1 cds:b=1 eds:a=1 eds:b=1
			> cds
			> eds a b
			< cds a=1 b=1
			< eds a=1 b=1
			ack cds
			ack eds a b
			wait 1s
			snap cds:a=1 cds:b=2 eds:a=1 eds:b=2
			< cds a=1 b=2
			< eds b=2`,
		"weight updates are batched until the ACK and for the minimum interval": `
			snap eds:a=1
			> eds a
			< eds a=1
			snap eds:a=2
			<
			snap eds:a=3
			ack eds a
			wait 50ms
			<
			wait 50ms
			< eds a=3`,
		"weight updates wait for the ACK of the last response": `
			snap eds:a=1
			> eds a
			< eds a=1
			snap eds:a=2
			wait 1h
			<
			ack eds a
			< eds a=2`,
		"a drain is sent without waiting for an ACK": `
			snap eds:a=1/ready eds:b=1
			> eds a b
			< eds a=1/ready b=1
			snap eds:a=2/drains eds:b=1
			< eds a=2/drains urgent
			snap eds:a=3/gone eds:b=2
			< eds a=3/gone b=2 urgent`,
		"a rejected resource is not sent again": `
			snap eds:a=1
			> eds a
			< eds a=1
			ack eds a
			wait 1s
			snap eds:a=2
			< eds a=2
			nack eds a
			wait 1s
			<
			wait 1h
			<
			snap eds:a=3
			< eds a=3`,
		"names are added and dropped": `
			snap eds:a=1 eds:b=1 eds:c=1
			> eds a
			< eds a=1
			ack eds a b
			< eds a=1 b=1
			ack eds b
			<
			ack eds a b
			< eds a=1 b=1`,
		"a missing resource is sent once it exists": `
			snap eds:a=1
			> eds a x
			< eds a=1
			ack eds a x
			<
			wait 1s
			snap eds:a=1 eds:x=1
			< eds x=1`,
		"a stale nonce is ignored": `
			snap eds:a=1 eds:b=1
			> eds a
			< eds a=1
			stale eds b
			<
			ack eds a b
			< eds a=1 b=1`,
		"a removed cluster stays until the routes without it are accepted": `
			snap cds:a=1 cds:b=1 rds:r=b
			> cds
			> rds r
			< cds a=1 b=1
			< rds r=b
			ack cds
			ack rds r
			snap cds:a=1 rds:r=a
			< rds r=a
			<
			ack rds r
			< cds a=1`,
		"a removed cluster stays while the proxy has rejected the routes without it": `
			snap cds:a=1 cds:b=1 cds:c=1 rds:r=b
			> cds
			> rds r
			< cds a=1 b=1 c=1
			< rds r=b
			ack cds
			ack rds r
			snap cds:a=1 cds:c=1 rds:r=a
			< rds r=a
			nack rds r
			<
			snap cds:a=1 rds:r=a
			<
			snap cds:a=2 rds:r=a2
			< cds a=2 b=1 c=1
			< rds r=a2
			ack cds
			<
			ack rds r
			< cds a=2`,
		"routes accepted alone do not end the rejection of others": `
			snap cds:a=1 cds:b=1 rds:q=b rds:r=b
			> cds
			> rds q r
			< cds a=1 b=1
			< rds q=b r=b
			ack cds
			ack rds q r
			snap cds:a=1 rds:q=a rds:r=a
			< rds q=a r=a
			nack rds q r
			snap cds:a=1 rds:q=a rds:r=a2
			< rds r=a2
			ack rds q r
			<
			snap cds:a=1 rds:q=a2 rds:r=a2
			< rds q=a2
			ack rds q r
			< cds a=1`,
		"rejected routes that are unsubscribed hold no cluster": `
			snap cds:a=1 cds:b=1 rds:q=a rds:r=b
			> cds
			> rds q r
			< cds a=1 b=1
			< rds q=a r=b
			ack cds
			ack rds q r
			snap cds:a=1 rds:q=a rds:r=a
			< rds r=a
			nack rds q r
			<
			> rds q
			< cds a=1`,
		"a removed cluster stays while the proxy has routes that are gone": `
			snap cds:a=1 cds:b=1 rds:q=a rds:r=b
			> cds
			> rds q r
			< cds a=1 b=1
			< rds q=a r=b
			ack cds
			ack rds q r
			snap cds:a=1 rds:q=a
			<
			> rds q
			< cds a=1`,
		"a proxy that reconnects with the current routes has accepted them": `
			snap cds:a=1 cds:b=1 rds:r=a
			> cds
			> rds r v=` + routesVersion + `
			< cds a=1 b=1
			ack cds
			<
			snap cds:a=1 rds:r=a
			< cds a=1`,
		"a new cluster is sent before the routes to it": `
			snap cds:a=1 rds:r=a
			> cds
			> rds r
			< cds a=1
			< rds r=a
			ack cds
			ack rds r
			snap cds:a=1 cds:b=1 eds:b=1 rds:r=b
			< cds a=1 b=1
			< rds r=b`,
		"subscription by name, then to nothing": `
			snap cds:a=1 cds:b=1
			> cds a
			< cds a=1
			ack cds
			<
			snap cds:a=2 cds:b=1
			<`,
		"wildcard and name": `
			snap cds:a=1 cds:b=1
			> cds * a
			< cds a=1 b=1`,
	} {
		t.Run(name, func(t *testing.T) { runDialogue(t, false, text) })
	}
}

func TestDelta(t *testing.T) {
	for name, text := range map[string]string{
		"changed and removed resources": `
			snap cds:a=1 cds:b=1 eds:a=1 eds:b=1
			> cds
			< cds a=1 b=1
			ack cds
			> eds +a +b
			< eds a=1 b=1
			ack eds
			wait 1s
			snap cds:a=1 eds:a=2
			< cds -b
			< eds a=2 -b
			ack cds
			ack eds
			<`,
		"a reconnect continues from the versions of the proxy": `
			snap cds:a=2 cds:b=1 eds:a=1 eds:b=1
			> cds a@1 b@1 c@1
			< cds a=2 -c
			> eds +a +b a@1 b@0
			< eds b=1`,
		"a reconnect with all current versions is sent nothing": `
			snap cds:a=1
			> cds a@1
			<`,
		"a missing resource is reported as removed": `
			snap eds:a=1
			> eds +a +x
			< eds a=1 -x
			ack eds
			wait 1s
			<
			snap eds:a=1 eds:x=1
			< eds x=1`,
		"a removed cluster stays while the proxy has rejected the routes without it": `
			snap cds:a=1 cds:b=1 rds:r=b
			> cds
			> rds +r
			< cds a=1 b=1
			< rds r=b
			ack cds
			ack rds
			snap cds:a=1 rds:r=a
			< rds r=a
			nack rds
			<
			snap cds:a=1 rds:r=a2
			< rds r=a2
			<
			ack rds
			< cds -b`,
		"a removed cluster stays until the removal of its routes is accepted": `
			snap cds:a=1 cds:b=1 rds:r=b
			> cds
			> rds +r
			< cds a=1 b=1
			< rds r=b
			ack cds
			ack rds
			snap cds:a=1
			< rds -r
			<
			ack rds
			< cds -b`,
		"a proxy that reconnects with the current routes has accepted them": `
			snap cds:a=1 cds:b=1 rds:r=a
			> cds a@1 b@1
			> rds +r r@a
			<
			snap cds:a=1 rds:r=a
			< cds -b`,
		"a repeated subscription is answered again": `
			snap eds:a=1
			> eds +a
			< eds a=1
			ack eds
			wait 1s
			> eds +a
			< eds a=1`,
		"unsubscribed": `
			snap eds:a=1 eds:b=1
			> eds +a +b
			< eds a=1 b=1
			ack eds -b
			wait 1s
			snap eds:a=1 eds:b=2
			<`,
		"a drain is sent without waiting for an ACK": `
			snap eds:a=1/ready
			> eds +a
			< eds a=1/ready
			snap eds:a=2/drains
			< eds a=2/drains urgent`,
		"a stale nonce may add names": `
			snap eds:a=1 eds:b=1
			> eds +a
			< eds a=1
			stale eds +b
			<
			ack eds
			wait 1s
			< eds b=1`,
		"wildcard added and removed": `
			snap cds:a=1 cds:b=1
			> cds +a
			< cds a=1
			ack cds +*
			< cds b=1
			ack cds -*
			< cds -b`,
	} {
		t.Run(name, func(t *testing.T) { runDialogue(t, true, text) })
	}
}

// TestReconnectWithCurrentVersion checks that a proxy that reconnects with the current version is sent nothing, and one with
// another version all resources.
func TestReconnectWithCurrentVersion(t *testing.T) {
	s := NewStream(false, "")
	s.SetSnapshot(parseSnapshot(t, "cds:a=1 cds:b=1"))
	s.HandleRequest(0, &Request{TypeURL: TypeCluster})
	first, _ := s.Next(0)
	for version, want := range map[string]string{first.Version: "", "other": "cds a=1 b=1"} {
		again := NewStream(false, "")
		again.SetSnapshot(parseSnapshot(t, "cds:a=1 cds:b=1"))
		again.HandleRequest(0, &Request{TypeURL: TypeCluster, Version: version})
		if r, _ := again.Next(0); formatResponse(r) != want {
			t.Errorf("a proxy with version %s is sent %q, want %q", version, formatResponse(r), want)
		}
	}
}

func TestStateAndDrainAcks(t *testing.T) {
	s := runDialogue(t, false, `
		snap eds:a=1/ready
		> eds a
		< eds a=1/ready
		ack eds a
		snap eds:a=2/drains
		< eds a=2/drains urgent
		wait 70ms
		nack eds a
		snap eds:a=3/ready
		< eds a=3/ready urgent
		wait 30ms
		ack eds a`)
	if d := s.TakeDrainAcks(); len(d) != 1 || d[0] != 100*time.Millisecond || len(s.TakeDrainAcks()) != 0 {
		t.Errorf("times until drains were acknowledged: %v, want one of 100ms", d)
	}
	if st := s.State(2 * time.Second); len(st) != 1 || st[0].AckedVersion != st[0].SentVersion || st[0].Names != 1 || st[0].NackReason != "" || st[0].AckPending != 0 {
		t.Errorf("states: %+v, want one type, accepted, without a pending ACK", st)
	}
}

// TestRequestLimits checks that a request beyond the limits ends the stream, but an unsupported type alone does not.
func TestRequestLimits(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	for name, q := range map[string]*Request{
		"node id":    {NodeID: strings.Repeat("n", MaxNodeIDBytes+1), TypeURL: TypeCluster},
		"a name is":  {TypeURL: TypeCluster, Names: []string{long}},
		"over 20000": {TypeURL: TypeEndpoint, Subscribe: make([]string, MaxNames+1)},
	} {
		if err := NewStream(true, "").HandleRequest(0, q); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	if err := NewStream(false, TypeEndpoint).HandleRequest(0, &Request{TypeURL: TypeCluster}); err == nil {
		t.Error("an endpoint-only stream accepted a request for clusters")
	}
	s := NewStream(false, "")
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = s.HandleRequest(0, &Request{TypeURL: fmt.Sprint("odd", i, long)})
	}
	if err == nil || len(s.UnknownTypes) != maxUnknownTypes || len(s.UnknownTypes[0]) > maxTextBytes {
		t.Errorf("got error %v and %d unknown types, want an error at the limit of types and truncated names", err, len(s.UnknownTypes))
	}
}

// TestProxyConvergesToLatestSnapshot checks that for any order of snapshots and ACKs, a proxy that applies all responses ends up
// with the last snapshot, and that no response is without effect.
func TestProxyConvergesToLatestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delta := rapid.Bool().Draw(t, "delta")
		s := NewStream(delta, "")
		now := time.Second
		proxy := map[string]map[string]string{TypeCluster: {}, TypeEndpoint: {}}
		names := []string{"a", "b", "c"}
		request := func(nonce, typeURL, nackReason string) {
			q := &Request{TypeURL: typeURL, Nonce: nonce, NackReason: nackReason}
			if typeURL == TypeEndpoint && !delta {
				q.Names = names
			}
			if typeURL == TypeEndpoint && delta && nonce == "" {
				q.Subscribe = names
			}
			if err := s.HandleRequest(now, q); err != nil {
				t.Fatal(err)
			}
		}
		request("", TypeCluster, "")
		request("", TypeEndpoint, "")
		var unacked []*Response
		var last *Snapshot
		deliver := func() bool {
			now += time.Second
			r, _ := s.Next(now)
			if r == nil {
				return false
			}
			versions := proxy[r.TypeURL]
			before := maps.Clone(versions)
			if !delta && r.TypeURL == TypeCluster {
				clear(versions)
			}
			for _, x := range r.Resources {
				versions[x.Name] = x.Version
			}
			for _, name := range r.Removed {
				delete(versions, name)
			}
			if maps.Equal(before, versions) && r.Nonce > "4" && len(r.Removed) == 0 {
				t.Fatalf("response without effect: %s", formatResponse(r))
			}
			unacked = append(unacked, r)
			return true
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				text := ""
				for _, name := range names {
					if v := rapid.IntRange(0, 3).Draw(t, name); v > 0 {
						text += fmt.Sprintf(" cds:%s=%d eds:%s=%d/%d", name, v, name, v, v%2)
					}
				}
				last = parseSnapshot(t, text)
				s.SetSnapshot(last)
			case 1:
				deliver()
			case 2:
				if len(unacked) > 0 {
					request(unacked[0].Nonce, unacked[0].TypeURL, "")
					unacked = unacked[1:]
				}
			}
		}
		for i := 0; deliver() || len(unacked) > 0; i++ {
			for _, r := range unacked {
				request(r.Nonce, r.TypeURL, "")
			}
			unacked = nil
			if i > 100 {
				t.Fatal("the stream still sends responses after 100 rounds of ACKs")
			}
		}
		if last == nil {
			return
		}
		for typeURL, versions := range proxy {
			for _, name := range last.Names(typeURL) {
				if versions[name] != last.Resource(typeURL, name).Version {
					t.Fatalf("%s %s: the proxy has %q, want %q", typeURL, name, versions[name], last.Resource(typeURL, name).Version)
				}
			}
			if !delta && typeURL == TypeEndpoint {
				continue // state of the world cannot express the removal of endpoints, only that of their clusters
			}
			if len(versions) != len(last.Names(typeURL)) {
				t.Fatalf("%s: the proxy has resources that were removed: %v", typeURL, slices.Sorted(maps.Keys(versions)))
			}
		}
	})
}

// routedProxy models a proxy that subscribes to all clusters and to two routes, each of which names one cluster.
type routedProxy struct {
	stream   *Stream
	delta    bool
	now      time.Duration
	clusters map[string]bool   // of the proxy
	routes   map[string]string // of the proxy, with the cluster that they name
	unacked  *Response         // routes that the proxy has not handled yet
}

// routeNames returns the names of the routes to which a routedProxy subscribes.
func routeNames() []string { return []string{"q", "r"} }

// request sends a discovery request.
func (p *routedProxy) request(t *rapid.T, typeURL, nonce, nackReason string) {
	q := &Request{TypeURL: typeURL, Nonce: nonce, NackReason: nackReason}
	if typeURL == TypeRoute && !p.delta {
		q.Names = routeNames()
	}
	if typeURL == TypeRoute && p.delta && nonce == "" {
		q.Subscribe = routeNames()
	}
	if err := p.stream.HandleRequest(p.now, q); err != nil {
		t.Fatal(err)
	}
}

// deliver receives the next response, if there is one. The proxy accepts clusters at once, and handles routes later.
func (p *routedProxy) deliver(t *rapid.T) bool {
	p.now += time.Second
	r, _ := p.stream.Next(p.now)
	if r == nil {
		return false
	}
	if r.TypeURL == TypeRoute {
		p.unacked = r
		return true
	}
	if !p.delta {
		clear(p.clusters)
	}
	for _, x := range r.Resources {
		p.clusters[x.Name] = true
	}
	for _, name := range r.Removed {
		delete(p.clusters, name)
	}
	p.request(t, r.TypeURL, r.Nonce, "")
	return true
}

// handleRoutes accepts the routes that were received, or rejects them with a reason.
func (p *routedProxy) handleRoutes(t *rapid.T, nackReason string) {
	r := p.unacked
	if p.unacked = nil; r == nil {
		return
	}
	if nackReason == "" {
		for _, x := range r.Resources {
			p.routes[x.Name] = x.Version[:1]
		}
		for _, name := range r.Removed {
			delete(p.routes, name)
		}
	}
	p.request(t, r.TypeURL, r.Nonce, nackReason)
}

// check fails the test if the proxy lacks a cluster that one of its routes names.
func (p *routedProxy) check(t *rapid.T, event string) {
	for name, to := range p.routes {
		if !p.clusters[to] {
			t.Fatalf("after %s: route %s names cluster %s, and the proxy has %v", event, name, to, slices.Sorted(maps.Keys(p.clusters)))
		}
	}
}

// publishRouted sets a snapshot with some clusters and with routes to them, of which some may be missing. It returns the clusters.
func publishRouted(t *rapid.T, s *Stream, version int, allRoutes bool) map[string]bool {
	text, clusters := "", map[string]bool{}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID[string]).Draw(t, "clusters") {
		clusters[name] = true
		text += " cds:" + name + "=1"
	}
	for _, name := range routeNames() {
		to := rapid.SampledFrom(slices.Sorted(maps.Keys(clusters))).Draw(t, name)
		if allRoutes || rapid.IntRange(0, 4).Draw(t, "gone") > 0 {
			text += fmt.Sprintf(" rds:%s=%s%d", name, to, version)
		}
	}
	s.SetSnapshot(parseSnapshot(t, text))
	return clusters
}

// TestRoutedClustersStay checks that for any order of snapshots, ACKs and NACKs, a proxy has all clusters that the routes name which
// it accepted last, and that once it accepts all routes, it has the clusters of the last snapshot alone.
func TestRoutedClustersStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delta := rapid.Bool().Draw(t, "delta")
		p := &routedProxy{stream: NewStream(delta, ""), delta: delta, clusters: map[string]bool{}, routes: map[string]string{}}
		p.request(t, TypeCluster, "", "")
		p.request(t, TypeRoute, "", "")
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			event := rapid.SampledFrom([]string{"snapshot", "delivery", "delivery", "ACK", "NACK"}).Draw(t, "event")
			switch event {
			case "snapshot":
				publishRouted(t, p.stream, rapid.IntRange(0, 1).Draw(t, "version")+i/10, false)
			case "delivery":
				p.deliver(t)
			case "ACK":
				p.handleRoutes(t, "")
			case "NACK":
				p.handleRoutes(t, "odd")
			}
			p.check(t, event)
		}
		last := publishRouted(t, p.stream, 100, true) // a version that the proxy has not rejected
		for i := 0; p.deliver(t) || p.unacked != nil; i++ {
			p.handleRoutes(t, "")
			p.check(t, "the last snapshot")
			if i > 100 {
				t.Fatal("the stream still sends responses after 100 rounds of ACKs")
			}
		}
		if !maps.Equal(p.clusters, last) {
			t.Fatalf("the proxy has the clusters %v, want %v", p.clusters, last)
		}
	})
}

// FuzzStream checks that for any requests, a stream does not panic, exceed its limits or send responses without end.
func FuzzStream(f *testing.F) {
	f.Add(false, "cds\neds a b\n!eds a\neds\n")
	f.Add(true, "cds +*\neds +a -b a@1\n!eds odd\nlds -*\n")
	f.Fuzz(func(t *testing.T, delta bool, text string) {
		s, now := NewStream(delta, ""), time.Second
		s.SetSnapshot(parseSnapshot(t, "cds:a=1 cds:b=1 eds:a=1/x eds:b=1 lds:l=1 rds:r=1"))
		nonces := map[string]string{}
		for line := range strings.Lines(text) {
			isAnswer := strings.HasPrefix(line, "!")
			fields := strings.Fields(strings.TrimPrefix(line, "!"))
			if len(fields) == 0 {
				continue
			}
			q := &Request{NodeID: "p", TypeURL: typeURLs[fields[0]], Names: fields[1:], InitialVersions: map[string]string{}}
			if q.TypeURL == "" {
				q.TypeURL = fields[0]
			}
			if isAnswer {
				q.Nonce, q.NackReason = nonces[q.TypeURL], strings.Join(fields[1:], " ")
			}
			for _, x := range fields[1:] {
				resource, version, hasVersion := strings.Cut(x, "@")
				switch {
				case hasVersion:
					q.InitialVersions[resource] = version
				case strings.HasPrefix(x, "-"):
					q.Unsubscribe = append(q.Unsubscribe, x[1:])
				default:
					q.Subscribe = append(q.Subscribe, strings.TrimPrefix(x, "+"))
				}
			}
			if s.HandleRequest(now, q) != nil {
				return
			}
			for n := 0; ; n++ {
				now += time.Second
				r, _ := s.Next(now)
				if r == nil {
					break
				}
				nonces[r.TypeURL] = r.Nonce
				if n > len(updateOrder) {
					t.Fatalf("%q: responses do not end", text)
				}
			}
			s.State(now)
		}
		if len(s.UnknownTypes) > maxUnknownTypes {
			t.Errorf("%d unknown types kept, more than the limit", len(s.UnknownTypes))
		}
	})
}
