package route

import (
	"net/textproto"
	"strings"
)

// Request holds the parts of a request that rules match on.
type Request struct {
	Target string               // request target, in origin or absolute form
	Header textproto.MIMEHeader // including Host
	Class  string               // class that the request states, "" if none
}

// Error says why no pool was found for a request, with the status code of the reply.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

// The errors of Match. They are preallocated so that a flood of bad requests allocates nothing.
var (
	ErrNoRoute          = &Error{404, "no route fits"}
	ErrHostCount        = &Error{400, "a request names one Host"}
	ErrMalformedHost    = &Error{400, "malformed Host"}
	ErrHostMismatch     = &Error{400, "the target and Host name different hosts"}
	ErrMalformedTarget  = &Error{400, "malformed target"}
	ErrMalformedEscape  = &Error{400, "malformed escape in the path"}
	ErrDotSegments      = &Error{400, "dot segments in the path"}
	ErrEmptySegments    = &Error{400, "empty segments in the path"}
	ErrEscapedSeparator = &Error{400, "an escaped slash, backslash or zero in the path"}
)

// Match returns the target of the rule that applies. A request that it rejects must not be forwarded to any endpoint: another
// parser could read a different host or path from the same text.
func (t *Table) Match(q Request) (int, *Error) {
	host, path, err := splitTarget(q)
	if err != nil {
		return 0, err
	}
	var hostBuf [maxHostLength]byte
	name, port, ok := parseHost(host, &hostBuf)
	if !ok {
		return 0, ErrMalformedHost
	}
	var pathBuf [256]byte
	normalized, err := normalizePath(path, pathBuf[:0])
	if err != nil {
		return 0, err
	}
	if e := t.find(name, port, normalized, &q); e != nil {
		return e.Target, nil
	}
	return 0, ErrNoRoute
}

// splitTarget returns the host and the path of a request, without the query.
func splitTarget(q Request) (host, path string, err *Error) {
	hosts := q.Header["Host"]
	if len(hosts) != 1 {
		return "", "", ErrHostCount
	}
	host, path = hosts[0], q.Target
	if !strings.HasPrefix(path, "/") {
		rest, ok := cutScheme(path)
		if !ok {
			return "", "", ErrMalformedTarget // asterisk and authority form have no path
		}
		end := strings.IndexAny(rest, "/?#")
		if end < 0 {
			end = len(rest)
		}
		authority := rest[:end]
		if strings.IndexByte(authority, '@') >= 0 {
			return "", "", ErrMalformedTarget
		}
		// By RFC 9112, 3.2.2 the target takes precedence over Host. Where they differ, an intermediary may use the other one.
		if !strings.EqualFold(authority, host) {
			return "", "", ErrHostMismatch
		}
		if path = rest[end:]; path == "" || path[0] != '/' {
			return "", "", ErrMalformedTarget
		}
	}
	if cut := strings.IndexByte(path, '?'); cut >= 0 {
		path = path[:cut]
	}
	return host, path, nil
}

// cutScheme removes the scheme of an absolute-form target. It reports whether there was one.
func cutScheme(s string) (string, bool) {
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(s) >= len(scheme) && strings.EqualFold(s[:len(scheme)], scheme) {
			return s[len(scheme):], true
		}
	}
	return "", false
}

// find tries the hosts that match, the most specific first.
func (t *Table) find(name []byte, port string, path []byte, q *Request) *compiledRule {
	var key [maxHostLength + 6]byte
	withPort := func(name []byte) []byte {
		n := copy(key[:], name)
		key[n] = ':'
		return key[:n+1+copy(key[n+1:], port)]
	}
	tryPort := t.hasPorts && port != ""
	if tryPort {
		if e := t.hosts[string(withPort(name))].find(path, q); e != nil {
			return e
		}
	}
	if e := t.hosts[string(name)].find(path, q); e != nil {
		return e
	}
	// Start with the longest suffix that any rule has.
	from, dots := len(name), 0
	for i := len(name) - 1; i > 0 && dots < t.maxSuffixDots; i-- {
		if name[i] == '.' {
			from, dots = i, dots+1
		}
	}
	for i := from; i < len(name); i++ {
		if name[i] != '.' {
			continue
		}
		if tryPort {
			if e := t.suffixes[string(withPort(name[i:]))].find(path, q); e != nil {
				return e
			}
		}
		if e := t.suffixes[string(name[i:])].find(path, q); e != nil {
			return e
		}
	}
	return t.any.find(path, q)
}

// find tries the exact path, then its prefixes, the longest first.
func (h *hostRules) find(path []byte, q *Request) *compiledRule {
	if h == nil {
		return nil
	}
	if e := h.exact[string(path)].find(q); e != nil {
		return e
	}
	// Cut the path to the number of segments of the longest prefix, then remove one segment at a time.
	end, depth := len(path), 0
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			if depth++; depth == h.maxDepth {
				end = i
				break
			}
		}
	}
	if h.maxDepth == 0 {
		end = 0
	}
	for {
		if e := h.prefixes[string(path[:end])].find(q); e != nil || end == 0 {
			return e
		}
		for end--; end > 0 && path[end] != '/'; {
			end--
		}
	}
}

// find tries the rules for the request's class, then those for any class.
func (p *pathRules) find(q *Request) *compiledRule {
	if p == nil {
		return nil
	}
	if q.Class != "" {
		if e := firstMatch(p.byClass[q.Class], q); e != nil {
			return e
		}
	}
	return firstMatch(p.any, q)
}

// firstMatch returns the first rule whose header conditions are all met.
func firstMatch(rules []*compiledRule, q *Request) *compiledRule {
nextRule:
	for _, rule := range rules {
		for _, h := range rule.Headers {
			if !h.matches(q.Header[h.Name]) {
				continue nextRule
			}
		}
		return rule
	}
	return nil
}

// matches reports whether the values of a header field meet the condition.
func (h Header) matches(values []string) bool {
	for _, value := range values {
		if h.Value == "" || value == h.Value {
			return true
		}
	}
	return false
}
