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

var words = map[string]string{"cds": TypeCluster, "eds": TypeEndpoint, "lds": TypeListener, "rds": TypeRoute}

// snap reads a snapshot like "cds:a=1 eds:a=1/ready". What follows a slash is the resource's safety.
func snap(t interface {
	Helper()
	Fatal(...any)
}, text string) *Snapshot {
	t.Helper()
	all := map[string][]*Resource{}
	for _, word := range strings.Fields(text) {
		kind, rest, _ := strings.Cut(word, ":")
		name, version, _ := strings.Cut(rest, "=")
		_, safe, _ := strings.Cut(version, "/")
		safety := uint64(0)
		for _, c := range safe {
			safety = safety*31 + uint64(c)
		}
		r, err := NewResource(name, safety, wrapperspb.String(name+version))
		if err != nil {
			t.Fatal(err)
		}
		r.Version = version
		all[words[kind]] = append(all[words[kind]], r)
	}
	s, err := NewSnapshot(all)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// say is a response in short: "eds a=1 b=2 -c urgent".
func say(r *Response) string {
	if r == nil {
		return ""
	}
	var out []string
	for word, t := range words {
		if t == r.TypeURL {
			out = append(out, word)
		}
	}
	for _, x := range r.Resources {
		out = append(out, x.Name+"="+x.Version)
	}
	for _, name := range r.Removed {
		out = append(out, "-"+name)
	}
	if r.Urgent {
		out = append(out, "urgent")
	}
	return strings.Join(out, " ")
}

// dialogue plays lines against a stream. "> eds a b" asks for names (state of the world), "> eds +a -b" changes them
// (delta), with "v=X" for a version that the proxy has, or "a@1" for one of a resource's; "ack eds" and "nack eds" answer the
// last response; "snap ..." gives a snapshot; "wait 50ms" lets time pass; "< eds a=1" expects a response, "<" none.
func dialogue(t *testing.T, delta bool, text string) *Stream {
	t.Helper()
	s := NewStream(delta, "")
	now := time.Second
	last := map[string]*Response{}
	for n, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		take := func(q *Request) {
			t.Helper()
			if err := s.Take(now, q); err != nil {
				t.Fatalf("line %d, %s: %v", n+1, line, err)
			}
		}
		switch f[0] {
		case "snap":
			s.Update(snap(t, strings.TrimPrefix(strings.TrimSpace(line), "snap")))
		case "wait":
			d, err := time.ParseDuration(f[1])
			if err != nil {
				t.Fatal(err)
			}
			now += d
		case ">", "ack", "nack", "stale":
			q := &Request{Node: "p", TypeURL: words[f[1]], Initial: map[string]string{}}
			if r := last[f[1]]; f[0] != ">" {
				q.Nonce, q.Version = r.Nonce, r.Version
			}
			switch f[0] {
			case "nack":
				q.Refused = "odd"
			case "stale":
				q.Nonce = "old"
			}
			for _, name := range f[2:] {
				has, version, given := strings.Cut(name, "@")
				switch {
				case strings.HasPrefix(name, "v="):
					q.Version = name[2:]
				case given:
					q.Initial[has] = version
				case strings.HasPrefix(name, "+"):
					q.Subscribe = append(q.Subscribe, name[1:])
				case strings.HasPrefix(name, "-"):
					q.Unsubscribe = append(q.Unsubscribe, name[1:])
				default:
					q.Names = append(q.Names, name)
				}
			}
			take(q)
		case "<":
			r, _ := s.Next(now)
			if r != nil {
				last[map[string]string{TypeCluster: "cds", TypeEndpoint: "eds", TypeListener: "lds", TypeRoute: "rds"}[r.TypeURL]] = r
			}
			if got, want := say(r), strings.Join(f[1:], " "); got != want {
				t.Fatalf("line %d: sent %q, want %q", n+1, got, want)
			}
		default:
			t.Fatalf("line %d: %s", n+1, line)
		}
	}
	return s
}

func TestStateOfTheWorld(t *testing.T) {
	for name, text := range map[string]string{
		"all in order, each once": `
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
		"only what changed of endpoints, all of clusters": `
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
		"weights are gathered while one waits, and for a while": `
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
		"weights wait for the answer to the last response": `
			snap eds:a=1
			> eds a
			< eds a=1
			snap eds:a=2
			wait 1h
			<
			ack eds a
			< eds a=2`,
		"a drain waits for nothing": `
			snap eds:a=1/ready eds:b=1
			> eds a b
			< eds a=1/ready b=1
			snap eds:a=2/drains eds:b=1
			< eds a=2/drains urgent
			snap eds:a=3/gone eds:b=2
			< eds a=3/gone b=2 urgent`,
		"a refusal is not looped on": `
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
		"what is not there comes when it is": `
			snap eds:a=1
			> eds a x
			< eds a=1
			ack eds a x
			<
			wait 1s
			snap eds:a=1 eds:x=1
			< eds x=1`,
		"an old answer is passed over": `
			snap eds:a=1 eds:b=1
			> eds a
			< eds a=1
			stale eds b
			<
			ack eds a b
			< eds a=1 b=1`,
		"a removed cluster stays until the routes that led to it are accepted": `
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
		"a new cluster comes before the routes to it": `
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
		"by name, then none": `
			snap cds:a=1 cds:b=1
			> cds a
			< cds a=1
			ack cds
			<
			snap cds:a=2 cds:b=1
			<`,
		"both ways": `
			snap cds:a=1 cds:b=1
			> cds * a
			< cds a=1 b=1`,
	} {
		t.Run(name, func(t *testing.T) { dialogue(t, false, text) })
	}
}

func TestDelta(t *testing.T) {
	for name, text := range map[string]string{
		"what changed, and what is gone": `
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
		"a reconnect goes on from what the proxy has": `
			snap cds:a=2 cds:b=1 eds:a=1 eds:b=1
			> cds a@1 b@1 c@1
			< cds a=2 -c
			> eds +a +b a@1 b@0
			< eds b=1`,
		"a reconnect with all of it gets nothing": `
			snap cds:a=1
			> cds a@1
			<`,
		"what is not there is told": `
			snap eds:a=1
			> eds +a +x
			< eds a=1 -x
			ack eds
			wait 1s
			<
			snap eds:a=1 eds:x=1
			< eds x=1`,
		"asked for again, sent again": `
			snap eds:a=1
			> eds +a
			< eds a=1
			ack eds
			wait 1s
			> eds +a
			< eds a=1`,
		"given up": `
			snap eds:a=1 eds:b=1
			> eds +a +b
			< eds a=1 b=1
			ack eds -b
			wait 1s
			snap eds:a=1 eds:b=2
			<`,
		"a drain waits for nothing": `
			snap eds:a=1/ready
			> eds +a
			< eds a=1/ready
			snap eds:a=2/drains
			< eds a=2/drains urgent`,
		"names come with an old answer": `
			snap eds:a=1 eds:b=1
			> eds +a
			< eds a=1
			stale eds +b
			<
			ack eds
			wait 1s
			< eds b=1`,
		"wildcard and back": `
			snap cds:a=1 cds:b=1
			> cds +a
			< cds a=1
			ack cds +*
			< cds b=1
			ack cds -*
			< cds -b`,
	} {
		t.Run(name, func(t *testing.T) { dialogue(t, true, text) })
	}
}

// A proxy that comes back with the version of all it has is sent nothing.
func TestReconnectWithTheWholeVersion(t *testing.T) {
	s := NewStream(false, "")
	s.Update(snap(t, "cds:a=1 cds:b=1"))
	s.Take(0, &Request{TypeURL: TypeCluster})
	first, _ := s.Next(0)
	for version, want := range map[string]string{first.Version: "", "other": "cds a=1 b=1"} {
		again := NewStream(false, "")
		again.Update(snap(t, "cds:a=1 cds:b=1"))
		again.Take(0, &Request{TypeURL: TypeCluster, Version: version})
		if r, _ := again.Next(0); say(r) != want {
			t.Errorf("with version %s it is sent %q, want %q", version, say(r), want)
		}
	}
}

func TestStateAndDrains(t *testing.T) {
	s := dialogue(t, false, `
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
	if d := s.Drains(); len(d) != 1 || d[0] != 100*time.Millisecond || len(s.Drains()) != 0 {
		t.Errorf("drains took %v", d)
	}
	if st := s.State(2 * time.Second); len(st) != 1 || st[0].AckedVersion != st[0].SentVersion || st[0].Names != 1 || st[0].NackReason != "" || st[0].AckPending != 0 {
		t.Errorf("%+v", st)
	}
}

// What is beyond the bounds ends the stream; what is only not known does not.
func TestBounds(t *testing.T) {
	long := strings.Repeat("x", MaxName+1)
	for name, q := range map[string]*Request{
		"node id":    {Node: strings.Repeat("n", MaxNode+1), TypeURL: TypeCluster},
		"a name is":  {TypeURL: TypeCluster, Names: []string{long}},
		"over 20000": {TypeURL: TypeEndpoint, Subscribe: make([]string, MaxNames+1)},
	} {
		if err := NewStream(true, "").Take(0, q); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := NewStream(false, TypeEndpoint).Take(0, &Request{TypeURL: TypeCluster}); err == nil {
		t.Error("a stream of endpoints took clusters")
	}
	s := NewStream(false, "")
	var err error
	for i := 0; err == nil && i < 100; i++ {
		err = s.Take(0, &Request{TypeURL: fmt.Sprint("odd", i, long)})
	}
	if err == nil || len(s.Unknown) != maxUnknown || len(s.Unknown[0]) > maxText {
		t.Errorf("%v, %d unknown types kept", err, len(s.Unknown))
	}
}

// Whatever snapshots and answers come, in whatever order, a proxy that applies what it is sent ends with the last snapshot;
// a response is never sent that changes nothing.
func TestProxyEndsWithTheLastSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delta := rapid.Bool().Draw(t, "delta")
		s := NewStream(delta, "")
		now := time.Second
		has := map[string]map[string]string{TypeCluster: {}, TypeEndpoint: {}}
		names := []string{"a", "b", "c"}
		ask := func(nonce, typeURL, refused string) {
			q := &Request{TypeURL: typeURL, Nonce: nonce, Refused: refused}
			if typeURL == TypeEndpoint && !delta {
				q.Names = names
			}
			if typeURL == TypeEndpoint && delta && nonce == "" {
				q.Subscribe = names
			}
			if err := s.Take(now, q); err != nil {
				t.Fatal(err)
			}
		}
		ask("", TypeCluster, "")
		ask("", TypeEndpoint, "")
		var open []*Response
		var last *Snapshot
		deliver := func() bool {
			now += time.Second
			r, _ := s.Next(now)
			if r == nil {
				return false
			}
			mine := has[r.TypeURL]
			before := maps.Clone(mine)
			if !delta && r.TypeURL == TypeCluster {
				clear(mine)
			}
			for _, x := range r.Resources {
				mine[x.Name] = x.Version
			}
			for _, name := range r.Removed {
				delete(mine, name)
			}
			if maps.Equal(before, mine) && r.Nonce > "4" && len(r.Removed) == 0 {
				t.Fatalf("%s changes nothing", say(r))
			}
			open = append(open, r)
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
				last = snap(t, text)
				s.Update(last)
			case 1:
				deliver()
			case 2:
				if len(open) > 0 {
					ask(open[0].Nonce, open[0].TypeURL, "")
					open = open[1:]
				}
			}
		}
		for i := 0; deliver() || len(open) > 0; i++ {
			for _, r := range open {
				ask(r.Nonce, r.TypeURL, "")
			}
			open = nil
			if i > 100 {
				t.Fatal("it never comes to rest")
			}
		}
		if last == nil {
			return
		}
		for typeURL, mine := range has {
			for _, name := range last.Names(typeURL) {
				if mine[name] != last.Resource(typeURL, name).Version {
					t.Fatalf("%s %s: the proxy has %q, want %q", typeURL, name, mine[name], last.Resource(typeURL, name).Version)
				}
			}
			if !delta && typeURL == TypeEndpoint {
				continue // that these are gone cannot be told in state of the world; their clusters are
			}
			if len(mine) != len(last.Names(typeURL)) {
				t.Fatalf("%s: the proxy has %v", typeURL, slices.Sorted(maps.Keys(mine)))
			}
		}
	})
}

// Whatever requests come, a stream neither panics nor grows beyond its bounds nor answers for ever.
func FuzzStream(f *testing.F) {
	f.Add(false, "cds\neds a b\n!eds a\neds\n")
	f.Add(true, "cds +*\neds +a -b a@1\n!eds odd\nlds -*\n")
	f.Fuzz(func(t *testing.T, delta bool, text string) {
		s, now := NewStream(delta, ""), time.Second
		s.Update(snap(t, "cds:a=1 cds:b=1 eds:a=1/x eds:b=1 lds:l=1 rds:r=1"))
		nonces := map[string]string{}
		for line := range strings.Lines(text) {
			answers := strings.HasPrefix(line, "!")
			fields := strings.Fields(strings.TrimPrefix(line, "!"))
			if len(fields) == 0 {
				continue
			}
			q := &Request{Node: "p", TypeURL: words[fields[0]], Names: fields[1:], Initial: map[string]string{}}
			if q.TypeURL == "" {
				q.TypeURL = fields[0]
			}
			if answers {
				q.Nonce, q.Refused = nonces[q.TypeURL], strings.Join(fields[1:], " ")
			}
			for _, x := range fields[1:] {
				has, version, given := strings.Cut(x, "@")
				switch {
				case given:
					q.Initial[has] = version
				case strings.HasPrefix(x, "-"):
					q.Unsubscribe = append(q.Unsubscribe, x[1:])
				default:
					q.Subscribe = append(q.Subscribe, strings.TrimPrefix(x, "+"))
				}
			}
			if s.Take(now, q) != nil {
				return
			}
			for n := 0; ; n++ {
				now += time.Second
				r, _ := s.Next(now)
				if r == nil {
					break
				}
				nonces[r.TypeURL] = r.Nonce
				if n > len(order) {
					t.Fatalf("%q: it answers for ever", text)
				}
			}
			s.State(now)
		}
		if len(s.Unknown) > maxUnknown {
			t.Errorf("%d unknown types kept", len(s.Unknown))
		}
	})
}
