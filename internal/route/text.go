package route

import "strings"

// maxHostLength is the length of the longest host name that RFC 1035 allows, with a trailing dot.
const maxHostLength = 254

// parseHost splits a host into its lower-case name, without a trailing dot, and its port.
func parseHost(host string, buf *[maxHostLength]byte) (name []byte, port string, ok bool) {
	text := host
	if strings.HasPrefix(host, "[") { // an IPv6 literal contains colons
		end := strings.IndexByte(host, ']')
		if end < 0 {
			return nil, "", false
		}
		text = host[:end+1]
		if rest := host[end+1:]; rest != "" {
			if rest[0] != ':' {
				return nil, "", false
			}
			port = rest[1:]
			if !validPort(port) {
				return nil, "", false
			}
		}
	} else if cut := strings.IndexByte(host, ':'); cut >= 0 {
		text, port = host[:cut], host[cut+1:]
		if !validPort(port) {
			return nil, "", false
		}
	}
	text = strings.TrimSuffix(text, ".")
	if text == "" || len(text) > maxHostLength {
		return nil, "", false
	}
	literal := text[0] == '['
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= 'A' && c <= 'Z':
			c += 'a' - 'A'
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_':
		case literal && (c == ':' || c == '[' && i == 0 || c == ']' && i == len(text)-1):
		case c == '.' && i > 0 && text[i-1] != '.':
		default:
			return nil, "", false
		}
		buf[i] = c
	}
	return buf[:len(text)], port, true
}

// normalizePath validates a path and decodes its escapes of unreserved characters, as in RFC 3986, 6.2.2.2: to an endpoint
// "/%61dmin" is "/admin", and must not bypass the rule for it. Other escapes stay, with upper-case digits.
func normalizePath(path string, buf []byte) ([]byte, *Error) {
	start := 0 // of the current segment
	for i := 0; i < len(path); i++ {
		c := path[i]
		switch {
		case c == '%':
			if i+2 >= len(path) {
				return nil, ErrMalformedEscape
			}
			high, low := hexValue(path[i+1]), hexValue(path[i+2])
			if high < 0 || low < 0 {
				return nil, ErrMalformedEscape
			}
			i += 2
			switch decoded := byte(high<<4 | low); {
			case decoded == '/' || decoded == '\\' || decoded == 0:
				return nil, ErrEscapedSeparator
			case unreserved(decoded):
				buf = append(buf, decoded)
			default:
				buf = append(buf, '%', upperHex(path[i-1]), upperHex(path[i]))
			}
			continue
		case c == '/':
			if i > 0 {
				if err := checkSegment(buf[start:]); err != nil {
					return nil, err
				}
			}
			buf = append(buf, c)
			start = len(buf)
			continue
		case c == '\\' || c == '#' || c <= ' ' || c == 0x7f:
			return nil, ErrMalformedTarget
		}
		if i == 0 {
			return nil, ErrMalformedTarget
		}
		buf = append(buf, c)
	}
	if len(buf) == 0 || buf[0] != '/' {
		return nil, ErrMalformedTarget
	}
	// The last segment may be empty: "/a/" is a different path from "/a".
	if last := buf[start:]; len(last) > 0 {
		if err := checkSegment(last); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// checkSegment rejects segments that endpoints resolve differently from one another.
func checkSegment(s []byte) *Error {
	switch {
	case len(s) == 0:
		return ErrEmptySegments
	case string(s) == "." || string(s) == "..":
		return ErrDotSegments
	}
	return nil
}

// unreserved reports whether RFC 3986 never requires c to be escaped.
func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// hexValue returns the value of a hexadecimal digit, -1 if c is none.
func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// upperHex converts a hexadecimal digit to upper case.
func upperHex(c byte) byte {
	if c >= 'a' {
		c -= 'a' - 'A'
	}
	return c
}
