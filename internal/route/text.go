package route

import "strings"

// maxHost is the longest host name that RFC 1035 allows, with a dot at its end.
const maxHost = 254

// fold takes a host apart into its name in lower case, without a dot at its end, and its port.
func fold(host string, buf *[maxHost]byte) (name []byte, port string, ok bool) {
	text := host
	if strings.HasPrefix(host, "[") { // an IPv6 literal has colons of its own
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
	if text == "" || len(text) > maxHost {
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

// clean checks a path and gives it with its escapes of unreserved characters undone, as RFC 3986, 6.2.2.2 has it:
// "/%61dmin" is "/admin" to a destination, and must not pass by its rule. Other escapes stay, their digits in upper case.
func clean(path string, buf []byte) ([]byte, *Error) {
	start := 0 // of the segment
	for i := 0; i < len(path); i++ {
		c := path[i]
		switch {
		case c == '%':
			if i+2 >= len(path) {
				return nil, ErrEscape
			}
			high, low := unhex(path[i+1]), unhex(path[i+2])
			if high < 0 || low < 0 {
				return nil, ErrEscape
			}
			i += 2
			switch v := byte(high<<4 | low); {
			case v == '/' || v == '\\' || v == 0:
				return nil, ErrSlash
			case unreserved(v):
				buf = append(buf, v)
			default:
				buf = append(buf, '%', upper(path[i-1]), upper(path[i]))
			}
			continue
		case c == '/':
			if i > 0 {
				if bad := segment(buf[start:]); bad != nil {
					return nil, bad
				}
			}
			buf = append(buf, c)
			start = len(buf)
			continue
		case c == '\\' || c == '#' || c <= ' ' || c == 0x7f:
			return nil, ErrTarget
		}
		if i == 0 {
			return nil, ErrTarget
		}
		buf = append(buf, c)
	}
	if len(buf) == 0 || buf[0] != '/' {
		return nil, ErrTarget
	}
	// The last segment may be empty: "/a/" is a path of its own.
	if last := buf[start:]; len(last) > 0 {
		if bad := segment(last); bad != nil {
			return nil, bad
		}
	}
	return buf, nil
}

// segment refuses what destinations resolve each in their own way.
func segment(s []byte) *Error {
	switch {
	case len(s) == 0:
		return ErrEmpty
	case string(s) == "." || string(s) == "..":
		return ErrDots
	}
	return nil
}

func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

func unhex(c byte) int {
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

func upper(c byte) byte {
	if c >= 'a' {
		c -= 'a' - 'A'
	}
	return c
}
