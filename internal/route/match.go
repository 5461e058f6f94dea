package route

import (
	"net/textproto"
	"strings"
)

// Request is what a Table looks at.
type Request struct {
	Target string               // of the request line, in origin or absolute form
	Header textproto.MIMEHeader // with Host
	Class  string               // that it states, "" for none
}

// Error is why a request has no pool, with the status that its client is told.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

// What may be wrong with a request. They are values of their own so that a flood of bad requests allocates nothing.
var (
	ErrNoRoute = &Error{404, "no route fits"}
	ErrHosts   = &Error{400, "a request names one Host"}
	ErrHost    = &Error{400, "malformed Host"}
	ErrSpoof   = &Error{400, "the target and Host name different hosts"}
	ErrTarget  = &Error{400, "malformed target"}
	ErrEscape  = &Error{400, "malformed escape in the path"}
	ErrDots    = &Error{400, "dot segments in the path"}
	ErrEmpty   = &Error{400, "empty segments in the path"}
	ErrSlash   = &Error{400, "an escaped slash, backslash or zero in the path"}
)

// Match finds the target of the rule that holds. What it refuses must reach no destination: another reader of the same
// text could see another host or path in it.
func (t *Table) Match(q Request) (int, *Error) {
	host, path, bad := split(q)
	if bad != nil {
		return 0, bad
	}
	var hostBuf [maxHost]byte
	name, port, ok := fold(host, &hostBuf)
	if !ok {
		return 0, ErrHost
	}
	var pathBuf [256]byte
	plain, bad := clean(path, pathBuf[:0])
	if bad != nil {
		return 0, bad
	}
	if e := t.find(name, port, plain, &q); e != nil {
		return e.Target, nil
	}
	return 0, ErrNoRoute
}

// split takes a request's target apart into host and path.
func split(q Request) (host, path string, bad *Error) {
	hosts := q.Header["Host"]
	if len(hosts) != 1 {
		return "", "", ErrHosts
	}
	host, path = hosts[0], q.Target
	if !strings.HasPrefix(path, "/") {
		rest, ok := cutScheme(path)
		if !ok {
			return "", "", ErrTarget // asterisk and authority forms ask for no path
		}
		end := strings.IndexAny(rest, "/?#")
		if end < 0 {
			end = len(rest)
		}
		named := rest[:end]
		if strings.IndexByte(named, '@') >= 0 {
			return "", "", ErrTarget
		}
		// RFC 9112, 3.2.2 has the target go before Host; where they differ, somebody on the way may go by the other.
		if !strings.EqualFold(named, host) {
			return "", "", ErrSpoof
		}
		if path = rest[end:]; path == "" || path[0] != '/' {
			return "", "", ErrTarget
		}
	}
	if cut := strings.IndexByte(path, '?'); cut >= 0 {
		path = path[:cut]
	}
	return host, path, nil
}

func cutScheme(s string) (string, bool) {
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(s) >= len(scheme) && strings.EqualFold(s[:len(scheme)], scheme) {
			return s[len(scheme):], true
		}
	}
	return "", false
}

// find goes through the hosts that fit, the most specific first.
func (t *Table) find(name []byte, port string, path []byte, q *Request) *entry {
	var key [maxHost + 6]byte
	withPort := func(name []byte) []byte {
		n := copy(key[:], name)
		key[n] = ':'
		return key[:n+1+copy(key[n+1:], port)]
	}
	ported := t.ports && port != ""
	if ported {
		if e := t.hosts[string(withPort(name))].find(path, q); e != nil {
			return e
		}
	}
	if e := t.hosts[string(name)].find(path, q); e != nil {
		return e
	}
	// The longest suffix that some rule has is the first to look for.
	from, dots := len(name), 0
	for i := len(name) - 1; i > 0 && dots < t.labels; i-- {
		if name[i] == '.' {
			from, dots = i, dots+1
		}
	}
	for i := from; i < len(name); i++ {
		if name[i] != '.' {
			continue
		}
		if ported {
			if e := t.suffix[string(withPort(name[i:]))].find(path, q); e != nil {
				return e
			}
		}
		if e := t.suffix[string(name[i:])].find(path, q); e != nil {
			return e
		}
	}
	return t.any.find(path, q)
}

func (p *paths) find(path []byte, q *Request) *entry {
	if p == nil {
		return nil
	}
	if e := p.exact[string(path)].find(q); e != nil {
		return e
	}
	// Cut to as many segments as the longest prefix has, then one by one.
	end, depth := len(path), 0
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			if depth++; depth == p.depth {
				end = i
				break
			}
		}
	}
	if p.depth == 0 {
		end = 0
	}
	for {
		if e := p.prefix[string(path[:end])].find(q); e != nil || end == 0 {
			return e
		}
		for end--; end > 0 && path[end] != '/'; {
			end--
		}
	}
}

func (c *classes) find(q *Request) *entry {
	if c == nil {
		return nil
	}
	if q.Class != "" {
		if e := first(c.stated[q.Class], q); e != nil {
			return e
		}
	}
	return first(c.any, q)
}

func first(list []*entry, q *Request) *entry {
next:
	for _, e := range list {
		for _, h := range e.Headers {
			if !h.fits(q.Header[h.Name]) {
				continue next
			}
		}
		return e
	}
	return nil
}

func (h Header) fits(lines []string) bool {
	for _, line := range lines {
		if h.Value == "" || line == h.Value {
			return true
		}
	}
	return false
}
