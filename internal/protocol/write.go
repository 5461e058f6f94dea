package protocol

import (
	"net/textproto"
	"slices"
	"strconv"
	"time"
)

// hopByHop are the fields that end at this sidecar, and those that it writes itself.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Host", headerTimeLeft, headerLoad}

// OwnFields are the names of the fields that mean something to this program or end here.
func ReservedFields() []string {
	return append([]string{headerID, headerKey, headerClass, headerRepeat, headerHint, headerFacts, headerNotRun}, hopByHop...)
}

// Field is one header field.
type Field struct{ Name, Value string }

// endToEnd tells whether a field passes even where Connection names it as one for this hop alone. Destinations know a request by its
// id, and drop repeats by its key: without the key a repeat would run again.
func endToEnd(name string) bool { return name == headerID || name == headerKey }

// appendFields writes all fields that pass this sidecar, but one.
func appendFields(b []byte, h textproto.MIMEHeader, but string) []byte {
	for name, values := range h {
		if name == but || slices.Contains(hopByHop, name) || hasToken(h["Connection"], name) && !endToEnd(name) {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}

// RequestHead is the head of a client's request for a destination. The body follows as it is, so that no copy of it is
// made. A chain's word goes in the field that carries it, in place of the one that the client sent.
func RequestHead(m *Message, timeLeft time.Duration, chain Field) []byte {
	host := "backend.local"
	if h := m.Header["Host"]; len(h) == 1 {
		host = h[0]
	}
	b := []byte(m.StartLine[0] + " " + m.StartLine[1] + " HTTP/1.1\r\nHost: " + host + "\r\n")
	b = appendFields(b, m.Header, chain.Name)
	if chain.Name != "" {
		b = append(b, chain.Name+": "+chain.Value+"\r\n"...)
	}
	b = append(append(b, headerTimeLeft+": "...), strconv.FormatInt(max(timeLeft.Milliseconds(), 0), 10)...)
	b = append(b, "\r\n"...)
	if len(m.Body) > 0 || m.StartLine[0] != "GET" {
		b = appendLength(b, len(m.Body))
	}
	return append(b, "\r\n"...)
}

// GetText is a request of the sidecar's own.
func GetRequest(host, target string) []byte {
	return []byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}

// ServedHead is the head of a destination's answer for the client. The body follows as it is.
func ResponseHead(m *Message, last bool) []byte {
	status := m.Status()
	why := reason(status)
	if why == "Error" {
		why = m.StartLine[2]
	}
	b := appendFields([]byte("HTTP/1.1 "+strconv.Itoa(status)+" "+why+"\r\n"), m.Header, "")
	if status == 204 || status == 304 { // neither has a body, nor its length
		if last {
			b = append(b, "Connection: close\r\n"...)
		}
		return append(b, "\r\n"...)
	}
	return appendEnd(b, len(m.Body), last)
}

// Reply is an answer that the sidecar words itself.
type LocalReply struct {
	Status     int
	RetryAfter time.Duration // 0 for none
	Allow      string        // the method that a 405 wants
	ChainField string        // the field that says that the answer is final for all who are above; empty for none
	Reason     string        // its body
}

// Text is the whole answer.
func (r LocalReply) Encode(last bool) []byte {
	b := []byte("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + reason(r.Status) + "\r\n")
	if r.RetryAfter > 0 {
		b = append(b, "Retry-After: "+strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64)+"\r\n"...)
	}
	if r.Allow != "" {
		b = append(b, "Allow: "+r.Allow+"\r\n"...)
	}
	if r.ChainField != "" {
		b = append(b, r.ChainField+": "+Declined+"\r\n"...)
	}
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	return append(appendEnd(b, len(r.Reason)+1, last), r.Reason+"\n"...)
}

func appendEnd(b []byte, length int, last bool) []byte {
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(appendLength(b, length), "\r\n"...)
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), "\r\n"...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 409:
		return "Conflict"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 508:
		return "Loop Detected"
	}
	return "Error"
}
