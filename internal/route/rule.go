// Package route selects the pool of a request by its host, path, class and header fields. A Table is compiled once and
// immutable; a server replaces it as a whole. The package does no I/O.
//
// Of all rules that match, the one that applies is determined by, in this order:
//
//  1. host: a name with a port, a name, the longest wildcard suffix (with a port before without), any host;
//  2. path: an exact path, the prefix with the most segments, any path;
//  3. a rule with a class before one without;
//  4. more header conditions before fewer;
//  5. the position in the list, earlier first.
package route

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Rule routes the requests that match it to a pool.
type Rule struct {
	// Hosts are names ("example.org"), names with a port ("example.org:8080") or wildcards ("*.example.org", for one or
	// more labels before the dot), case-insensitive. An empty list matches every host.
	Hosts []string
	// Path is the complete path if Exact is set, otherwise a prefix of whole segments: "/a" matches "/a", "/a/" and "/a/b",
	// not "/ab". As prefixes, "" and "/" match every path.
	Path  string
	Exact bool
	// Class is the class that the request must state; "" matches any class and none.
	Class string
	// Headers are conditions that must all be met.
	Headers []Header
	// Target is the value that Match returns, such as the index of a pool.
	Target int
}

// Header is a condition on a header field: one of its lines has the value, or, if Value is "", the field is present.
type Header struct{ Name, Value string }

// MaxHeaderVariants limits the number of rules that differ only in their header conditions, as they are tried one by one.
const MaxHeaderVariants = 32

// compiledRule is a rule with canonical header names.
type compiledRule struct {
	Rule
	order int
}

// Table is a compiled list of rules.
type Table struct {
	hosts         map[string]*hostRules // by name or name:port
	suffixes      map[string]*hostRules // by ".example.org", or ".example.org:port"
	any           *hostRules
	maxSuffixDots int  // most dots in any suffix
	hasPorts      bool // whether any host has a port
}

// hostRules holds the rules of one host by path.
type hostRules struct {
	exact    map[string]*pathRules
	prefixes map[string]*pathRules // without a trailing slash; "" matches every path
	maxDepth int                   // number of segments of the longest prefix
}

// pathRules holds the rules of one path by class.
type pathRules struct {
	byClass map[string][]*compiledRule
	any     []*compiledRule
}

// New compiles rules. An error names the rule by its index.
func New(rules []Rule) (*Table, error) {
	t := &Table{hosts: map[string]*hostRules{}, suffixes: map[string]*hostRules{}, any: newHostRules()}
	for i, rule := range rules {
		if err := t.add(&compiledRule{Rule: rule, order: i}); err != nil {
			return nil, fmt.Errorf("route %d: %w", i, err)
		}
	}
	return t, nil
}

func newHostRules() *hostRules {
	return &hostRules{exact: map[string]*pathRules{}, prefixes: map[string]*pathRules{}}
}

// add compiles a rule for each of its hosts.
func (t *Table) add(e *compiledRule) error {
	path := e.Path
	if path == "" && e.Exact {
		return fmt.Errorf("an exact path is missing")
	}
	if path != "" {
		normalized, err := normalizePath(path, nil)
		if err != nil {
			return fmt.Errorf("path %q: %w", path, err)
		}
		path = string(normalized)
	}
	e.Headers = slices.Clone(e.Headers)
	for i, h := range e.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, " \t:") {
			return fmt.Errorf("header %q is no field name", h.Name)
		}
		e.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(h.Name)
	}
	if len(e.Hosts) == 0 {
		return t.any.add(e, path)
	}
	for _, host := range e.Hosts {
		rules, err := t.rulesForHost(host)
		if err != nil {
			return err
		}
		if err := rules.add(e, path); err != nil {
			return err
		}
	}
	return nil
}

// rulesForHost returns the rules of a host, which it creates if there are none.
func (t *Table) rulesForHost(host string) (*hostRules, error) {
	if host == "*" {
		return t.any, nil
	}
	byKey, key := t.hosts, host
	if rest, wildcard := strings.CutPrefix(host, "*"); wildcard {
		byKey, key = t.suffixes, "x"+rest
	}
	var buf [maxHostLength]byte
	name, port, ok := parseHost(key, &buf)
	if !ok {
		return nil, fmt.Errorf("host %q is no host name", host)
	}
	key = string(name)
	if strings.HasPrefix(host, "*") {
		if key = key[1:]; !strings.HasPrefix(key, ".") || len(key) < 2 {
			return nil, fmt.Errorf("host %q: a wildcard stands for whole labels, as in *.example.org", host)
		}
		t.maxSuffixDots = max(t.maxSuffixDots, strings.Count(key, "."))
	}
	if port != "" {
		t.hasPorts = true
		key += ":" + port
	}
	if byKey[key] == nil {
		byKey[key] = newHostRules()
	}
	return byKey[key], nil
}

// add adds a rule for a normalized path, sorted by the number of header conditions.
func (h *hostRules) add(e *compiledRule, path string) error {
	byPath := h.exact
	if !e.Exact {
		byPath, path = h.prefixes, strings.TrimSuffix(path, "/")
		h.maxDepth = max(h.maxDepth, strings.Count(path, "/"))
	}
	p := byPath[path]
	if p == nil {
		p = &pathRules{byClass: map[string][]*compiledRule{}}
		byPath[path] = p
	}
	rules := p.any
	if e.Class != "" {
		rules = p.byClass[e.Class]
	}
	rules = append(rules, e)
	slices.SortStableFunc(rules, func(a, b *compiledRule) int { return cmp.Compare(len(b.Headers), len(a.Headers)) })
	if len(rules) > MaxHeaderVariants {
		return fmt.Errorf("over %d rules differ in their header fields alone", MaxHeaderVariants)
	}
	if e.Class != "" {
		p.byClass[e.Class] = rules
	} else {
		p.any = rules
	}
	return nil
}

// validPort reports whether s is a port number.
func validPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0 && s[0] != '0'
}
