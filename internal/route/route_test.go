package route

import (
	"cmp"
	"fmt"
	"net/textproto"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// header builds a header from name and value pairs.
func header(pairs ...string) textproto.MIMEHeader {
	h := textproto.MIMEHeader{}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

// Each request is routed by the rule that takes precedence, or rejected with the expected error.
func TestMatch(t *testing.T) {
	rules := []Rule{
		0:  {},
		1:  {Path: "/a"},
		2:  {Path: "/a", Exact: true},
		3:  {Path: "/a/b/"},
		4:  {Hosts: []string{"Example.org"}},
		5:  {Hosts: []string{"example.org:8080"}, Path: "/a"},
		6:  {Hosts: []string{"*.example.org"}},
		7:  {Hosts: []string{"*.x.example.org", "[::1]"}},
		8:  {Hosts: []string{"pay.test"}, Path: "/p", Class: "pay"},
		9:  {Hosts: []string{"pay.test"}, Path: "/p", Headers: []Header{{"x-beta", ""}}},
		10: {Hosts: []string{"pay.test"}, Path: "/p", Headers: []Header{{"X-Beta", "2"}, {"X-Who", "me"}}},
		11: {Hosts: []string{"pay.test"}, Path: "/admin"},
	}
	for i := range rules {
		rules[i].Target = i
	}
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		host, target, class string
		header              textproto.MIMEHeader
		want                int
		wantErr             *Error
	}{
		{"other", "/", "", nil, 0, nil},
		{"other", "/ab", "", nil, 0, nil},
		{"other", "/a", "", nil, 2, nil},
		{"other", "/a?b=//../%zz", "", nil, 2, nil},
		{"other", "/a/", "", nil, 1, nil},
		{"other", "/%61/c", "", nil, 1, nil},
		{"other", "/a/b", "", nil, 3, nil},
		{"other", "/a/b/c/d/e", "", nil, 3, nil},
		{"EXAMPLE.org.", "/x", "", nil, 4, nil},
		{"example.org:9", "/a", "", nil, 4, nil},
		{"example.org:8080", "/a", "", nil, 5, nil},
		{"example.org:8080", "/x", "", nil, 4, nil},
		{"www.example.org", "/a", "", nil, 6, nil},
		{"a.b.x.example.org:1", "/", "", nil, 7, nil},
		{"x.example.org", "/", "", nil, 6, nil},
		{"[::1]:80", "/", "", nil, 7, nil},
		{"pay.test", "/p/1", "pay", header("X-Beta", "1"), 8, nil},
		{"pay.test", "/p/1", "look", header("X-Beta", "1"), 9, nil},
		{"pay.test", "/p/1", "", header("X-Beta", "1", "X-Beta", "2", "X-Who", "me"), 10, nil},
		{"pay.test", "/p/1", "", nil, 0, nil},
		{"pay.test", "/%61dmin", "", nil, 11, nil},
		{"pay.test", "http://PAY.test/admin", "", nil, 11, nil},
		{"pay.test", "http://pay.test:80/admin", "", nil, 0, ErrHostMismatch},
		{"pay.test", "http://other/admin", "", nil, 0, ErrHostMismatch},
		{"pay.test", "http://me@pay.test/admin", "", nil, 0, ErrMalformedTarget},
		{"pay.test", "http://pay.test", "", nil, 0, ErrMalformedTarget},
		{"pay.test", "*", "", nil, 0, ErrMalformedTarget},
		{"pay.test", "pay.test:80", "", nil, 0, ErrMalformedTarget},
		{"pay.test", "//admin", "", nil, 0, ErrEmptySegments},
		{"pay.test", "/x//y", "", nil, 0, ErrEmptySegments},
		{"pay.test", "/x/../admin", "", nil, 0, ErrDotSegments},
		{"pay.test", "/x/%2E%2e/admin", "", nil, 0, ErrDotSegments},
		{"pay.test", "/x/.", "", nil, 0, ErrDotSegments},
		{"pay.test", "/x/...", "", nil, 0, nil},
		{"pay.test", "/x%2fadmin", "", nil, 0, ErrEscapedSeparator},
		{"pay.test", "/x%5cadmin", "", nil, 0, ErrEscapedSeparator},
		{"pay.test", "/x%00", "", nil, 0, ErrEscapedSeparator},
		{"pay.test", "/x%4", "", nil, 0, ErrMalformedEscape},
		{"pay.test", "/x%4g", "", nil, 0, ErrMalformedEscape},
		{"pay.test", "/x\\..\\admin", "", nil, 0, ErrMalformedTarget},
		{"pay.test", "/x#y", "", nil, 0, ErrMalformedTarget},
		{"pay test", "/", "", nil, 0, ErrMalformedHost},
		{"pay.test:", "/", "", nil, 0, ErrMalformedHost},
		{"pay.test:99999", "/", "", nil, 0, ErrMalformedHost},
		{"a..b", "/", "", nil, 0, ErrMalformedHost},
		{"[::1", "/", "", nil, 0, ErrMalformedHost},
		{"", "/", "", nil, 0, ErrMalformedHost},
		{"a,b", "/", "", nil, 0, ErrMalformedHost},
		{strings.Repeat("a", 300), "/", "", nil, 0, ErrMalformedHost},
	} {
		h := textproto.MIMEHeader{}
		for k, v := range c.header {
			h[k] = v
		}
		h["Host"] = []string{c.host}
		got, err := table.Match(Request{Target: c.target, Header: h, Class: c.class})
		if err != c.wantErr || err == nil && got != c.want {
			t.Errorf("%s %s: rule %d, error %v; want %d, %v", c.host, c.target, got, err, c.want, c.wantErr)
		}
	}
	for _, hosts := range [][]string{nil, {"a", "a"}, {"a", "b"}} {
		if _, err := table.Match(Request{Target: "/", Header: textproto.MIMEHeader{"Host": hosts}}); err != ErrHostCount {
			t.Errorf("Host %q: %v", hosts, err)
		}
	}
	single, err := New(rules[4:5])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := single.Match(Request{Target: "/", Header: header("Host", "other")}); err != ErrNoRoute {
		t.Errorf("no rule matches: error %v", err)
	}
}

// New rejects invalid rules with an error that says what is wrong.
func TestInvalidRules(t *testing.T) {
	sameMatch := make([]Rule, MaxHeaderVariants+1)
	for message, rules := range map[string][]Rule{
		"is missing":            {{Exact: true}},
		`path "a"`:              {{}, {Path: "a"}},
		"dot segments":          {{Path: "/a/.."}},
		"no host name":          {{Hosts: []string{"a b"}}},
		"whole labels":          {{Hosts: []string{"*example.org"}}},
		`"*."`:                  {{Hosts: []string{"*."}}},
		"no field name":         {{Headers: []Header{{Name: "a b"}}}},
		"in their header":       sameMatch,
		"route 1: host \"a:0\"": {{}, {Hosts: []string{"a:0"}}},
	} {
		if _, err := New(rules); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%s: %v", message, err)
		}
	}
}

var escapePattern = regexp.MustCompile("%[0-9a-fA-F]{2}")

// matchNaively tries every rule in order and returns the first with the highest rank. It shares no code with the table.
func matchNaively(rules []Rule, q Request) int {
	host, port, _ := strings.Cut(strings.ToLower(q.Header.Get("Host")), ":")
	path, _, _ := strings.Cut(q.Target, "?")
	normalized := escapePattern.ReplaceAllStringFunc(path, func(s string) string {
		if v, _ := url.PathUnescape(s); regexp.MustCompile(`^[A-Za-z0-9._~-]$`).MatchString(v) {
			return v
		}
		return strings.ToUpper(s)
	})
	segments := strings.Split(normalized, "/")[1:]
	best, bestRank := -1, []int{-1}
	for i, r := range rules {
		hosts := r.Hosts
		if len(hosts) == 0 {
			hosts = []string{"*"}
		}
		for _, h := range hosts {
			name, wantPort, _ := strings.Cut(strings.ToLower(h), ":")
			rank := []int{-1, 0, 0, 0, 0}
			hasPort := 0
			if wantPort != "" {
				hasPort = 1
			}
			suffix, wildcard := strings.CutPrefix(name, "*")
			switch {
			case name == "*":
				rank[0] = 0
			case wantPort != "" && wantPort != port:
			case wildcard && strings.HasSuffix(host, suffix) && len(host) > len(suffix):
				rank[0] = 2*len(suffix) + hasPort
			case name == host:
				rank[0] = 10000 + hasPort
			}
			if rank[0] < 0 {
				continue
			}
			prefix := strings.Split(strings.TrimSuffix(r.Path, "/"), "/")[1:]
			if r.Path == "" || r.Path == "/" {
				prefix = nil
			}
			if r.Exact {
				if r.Path != normalized {
					continue
				}
				rank[1] = 1000
			} else {
				if len(prefix) > len(segments) || !slices.Equal(prefix, segments[:len(prefix)]) {
					continue
				}
				rank[1] = len(prefix)
			}
			if r.Class != "" {
				if r.Class != q.Class {
					continue
				}
				rank[2] = 1
			}
			headersMatch := !slices.ContainsFunc(r.Headers, func(h Header) bool {
				lines := q.Header.Values(h.Name)
				return len(lines) == 0 || h.Value != "" && !slices.Contains(lines, h.Value)
			})
			if rank[3] = len(r.Headers); headersMatch && slices.Compare(rank, bestRank) > 0 {
				best, bestRank = i, rank
			}
		}
	}
	return best
}

// The compiled table selects the same rule as trying every rule.
func TestTableAgreesWithNaiveMatcher(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "%61", "%C3%a9", "x.y", "~"})
	host := rapid.SampledFrom([]string{"a.b", "c.a.b", "d.c.a.b", "B", "A.b:80", "c.a.b:81", "x-1"})
	wildcard := rapid.SampledFrom([]string{"*", "*.b", "*.a.b", "*.a.b:81", "*.c.a.b"})
	rapid.Check(t, func(t *rapid.T) {
		path := func(label string) string {
			p := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
			if len(p) > 1 && rapid.Bool().Draw(t, "slash") {
				p += "/"
			}
			return p
		}
		class := rapid.SampledFrom([]string{"", "", "x", "y"})
		conditions := rapid.SliceOfNDistinct(rapid.SampledFrom([]Header{{"F", ""}, {"F", "1"}, {"G", "2"}}), 0, 2, rapid.ID)
		var rules []Rule
		for range rapid.IntRange(1, 25).Draw(t, "rules") {
			r := Rule{Hosts: rapid.SliceOfN(rapid.OneOf(host, wildcard), 0, 2).Draw(t, "hosts"), Exact: rapid.Bool().Draw(t, "exact"),
				Class: class.Draw(t, "class"), Headers: conditions.Draw(t, "headers"), Target: len(rules)}
			// matchNaively expects normalized rule paths. TestMatch covers the normalization of request paths.
			r.Path = strings.NewReplacer("%61", "a", "%a9", "%A9").Replace(path("path"))
			rules = append(rules, r)
		}
		table, err := New(rules)
		if err != nil {
			t.Fatal(err)
		}
		q := Request{Target: path("target"), Class: class.Draw(t, "stated"), Header: header("Host", host.Draw(t, "host"))}
		for _, h := range conditions.Draw(t, "sent") {
			q.Header.Add(h.Name, cmp.Or(h.Value, "0"))
		}
		want := matchNaively(rules, q)
		got, matchErr := table.Match(q)
		if matchErr != nil {
			got = -1
		}
		if got != want || matchErr != nil && matchErr != ErrNoRoute {
			t.Fatalf("%+v: rule %d (error %v), the naive matcher finds %d of %+v", q, got, matchErr, want, rules)
		}
	})
}

// Whatever the input, a normalized path has no segments that an endpoint could resolve to a different path, and normalizing it
// again changes nothing.
func FuzzNormalizePath(f *testing.F) {
	for _, s := range []string{"/a/b", "/%2e%2E/", "//", "/a%2Fb", "/%", "/a/./b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, invalid := normalizePath(s, nil)
		if invalid != nil {
			return
		}
		text := string(got)
		again, invalid := normalizePath(text, nil)
		if invalid != nil || string(again) != text {
			t.Errorf("not idempotent: %q -> %q -> %q, %v", s, text, again, invalid)
		}
		decoded, err := url.PathUnescape(text)
		if err != nil || strings.Count(decoded, "/") != strings.Count(s, "/") || strings.Contains(decoded+"/", "/../") || strings.Contains(text, "//") {
			t.Errorf("ambiguous path: %q -> %q", s, text)
		}
	})
}

// manyRules returns n rules of all kinds and requests for about 64 of them.
func manyRules(n int) ([]Rule, []Request) {
	var rules []Rule
	var requests []Request
	for i := range n {
		r := Rule{Target: i}
		switch i % 4 {
		case 0:
			r.Hosts = []string{fmt.Sprintf("h%d.example.org", i/40)}
		case 1:
			r.Hosts = []string{fmt.Sprintf("*.z%d.example.org", i/40)}
		case 2:
			r.Class = "pay"
		}
		r.Path = fmt.Sprintf("/v1/s%d/r%d", i%10, i)
		r.Exact = i%8 == 4
		rules = append(rules, r)
		if i%max(1, n/64) == 0 {
			host := fmt.Sprintf("h%d.example.org:8443", i/40)
			if i%4 == 1 {
				host = fmt.Sprintf("A.b.z%d.example.org", i/40)
			}
			requests = append(requests, Request{Target: r.Path + "/more/of%20it/x?y=1", Header: header("Host", host), Class: "pay"})
		}
	}
	return rules, requests
}

// A match must not allocate, even with 50,000 rules.
func TestMatchAllocatesNothing(t *testing.T) {
	rules, requests := manyRules(50_000)
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	i, matched := 0, 0
	if n := testing.AllocsPerRun(1000, func() {
		if _, err := table.Match(requests[i%len(requests)]); err == nil {
			matched++
		}
		i++
	}); n != 0 {
		t.Errorf("%v allocations per match, want 0", n)
	}
	if matched == 0 || matched == i {
		t.Errorf("%d of %d requests matched a rule: want some that match and some that do not", matched, i)
	}
}

// The cost of a match must not grow with the number of rules.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 50_000} {
		rules, requests := manyRules(n)
		table, err := New(rules)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				table.Match(requests[i%len(requests)])
			}
		})
	}
}
