// Package route finds the pool of a request by its host, path, class and header fields. A Table is compiled once and
// never changes; whoever serves swaps it whole. The package knows no socket.
//
// Of all rules that match, the first in this order holds:
//
//  1. host: named with its port, named, by the longest suffix of a wildcard (with a port first), any;
//  2. path: whole, by the prefix of most segments, any;
//  3. a class stated before none;
//  4. more header fields before fewer;
//  5. the earlier in the list.
package route

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
)

// Rule leads the requests that fit it to a pool.
type Rule struct {
	// Hosts are names ("example.org"), names with a port ("example.org:8080") or wildcards ("*.example.org", for one or
	// more labels before the dot), in any case. None fits every host.
	Hosts []string
	// Path is the whole path where Exact, otherwise a prefix of whole segments: "/a" fits "/a", "/a/" and "/a/b", not
	// "/ab". "" and "/" as a prefix fit every path.
	Path  string
	Exact bool
	// Class is the class that the request states, "" for any or none.
	Class string
	// Headers all have to fit.
	Headers []Header
	// Target is handed back by Match.
	Target int
}

// Header is a condition on a header field: it has the value, in one of its lines, or with Value "" it is there.
type Header struct{ Name, Value string }

// MaxAlike is how many rules may differ in their header fields alone: they are tried one by one.
const MaxAlike = 32

// entry is a rule for one host.
type entry struct {
	Rule
	order int
}

// Table is a compiled list of rules.
type Table struct {
	hosts  map[string]*paths // by name, or name:port
	suffix map[string]*paths // by ".example.org", or with :port
	any    *paths
	labels int  // the most dots that a suffix has
	ports  bool // some host is named with a port
}

// paths are the rules of one host.
type paths struct {
	exact  map[string]*classes
	prefix map[string]*classes // without a slash at the end; "" fits all
	depth  int                 // segments of the longest prefix
}

// classes are the rules of one path.
type classes struct {
	stated map[string][]*entry
	any    []*entry
}

// New compiles rules. An error names the rule by its place, from 0.
func New(rules []Rule) (*Table, error) {
	t := &Table{hosts: map[string]*paths{}, suffix: map[string]*paths{}, any: newPaths()}
	for i, r := range rules {
		if err := t.add(&entry{Rule: r, order: i}); err != nil {
			return nil, fmt.Errorf("route %d: %w", i, err)
		}
	}
	return t, nil
}

func newPaths() *paths {
	return &paths{exact: map[string]*classes{}, prefix: map[string]*classes{}}
}

func (t *Table) add(e *entry) error {
	path := e.Path
	if path == "" && e.Exact {
		return fmt.Errorf("an exact path is missing")
	}
	if path != "" {
		plain, err := clean(path, nil)
		if err != nil {
			return fmt.Errorf("path %q: %w", path, err)
		}
		path = string(plain)
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
		at, err := t.host(host)
		if err != nil {
			return err
		}
		if err := at.add(e, path); err != nil {
			return err
		}
	}
	return nil
}

// host finds or makes the rules of a host.
func (t *Table) host(host string) (*paths, error) {
	if host == "*" {
		return t.any, nil
	}
	in, key := t.hosts, host
	if rest, wild := strings.CutPrefix(host, "*"); wild {
		in, key = t.suffix, "x"+rest
	}
	var buf [maxHost]byte
	name, port, ok := fold(key, &buf)
	if !ok {
		return nil, fmt.Errorf("host %q is no host name", host)
	}
	key = string(name)
	if strings.HasPrefix(host, "*") {
		if key = key[1:]; !strings.HasPrefix(key, ".") || len(key) < 2 {
			return nil, fmt.Errorf("host %q: a wildcard stands for whole labels, as in *.example.org", host)
		}
		t.labels = max(t.labels, strings.Count(key, "."))
	}
	if port != "" {
		t.ports = true
		key += ":" + port
	}
	if in[key] == nil {
		in[key] = newPaths()
	}
	return in[key], nil
}

func (p *paths) add(e *entry, path string) error {
	in := p.exact
	if !e.Exact {
		in, path = p.prefix, strings.TrimSuffix(path, "/")
		p.depth = max(p.depth, strings.Count(path, "/"))
	}
	c := in[path]
	if c == nil {
		c = &classes{stated: map[string][]*entry{}}
		in[path] = c
	}
	list := c.any
	if e.Class != "" {
		list = c.stated[e.Class]
	}
	list = append(list, e)
	slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(len(b.Headers), len(a.Headers)) })
	if len(list) > MaxAlike {
		return fmt.Errorf("over %d rules differ in their header fields alone", MaxAlike)
	}
	if e.Class != "" {
		c.stated[e.Class] = list
	} else {
		c.any = list
	}
	return nil
}

// validPort tells whether a text is a port number.
func validPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0 && s[0] != '0'
}
