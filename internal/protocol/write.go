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

func appendFields(b []byte, h textproto.MIMEHeader) []byte {
	for name, values := range h {
		if slices.Contains(hopByHop, name) || hasToken(h["Connection"], name) {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}

// AppendRequest writes a client's request for a destination.
func AppendRequest(b []byte, m *Message, timeLeft time.Duration) []byte {
	host := "backend.local"
	if h := m.Header["Host"]; len(h) == 1 {
		host = h[0]
	}
	b = append(b, m.Start[0]+" "+m.Start[1]+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	b = appendFields(b, m.Header)
	b = append(append(b, headerTimeLeft+": "...), strconv.FormatInt(max(timeLeft.Milliseconds(), 0), 10)...)
	b = append(b, "\r\n"...)
	if len(m.Body) > 0 || m.Start[0] != "GET" {
		b = appendLength(b, len(m.Body))
	}
	return append(append(b, "\r\n"...), m.Body...)
}

// AppendGet writes a request of the sidecar's own.
func AppendGet(b []byte, host, target string) []byte {
	return append(b, "GET "+target+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"...)
}

// AppendServed passes on a destination's answer.
func AppendServed(b []byte, m *Message, last bool) []byte {
	b = append(b, "HTTP/1.1 200 OK\r\n"...)
	b = appendFields(b, m.Header)
	return finish(b, m.Body, last)
}

// Reply is an answer that the sidecar words itself.
type Reply struct {
	Status     int
	RetryAfter time.Duration // 0 for none
	Allow      string        // the method that a 405 wants
	Text       string
}

// AppendReply writes an answer of the sidecar's own.
func AppendReply(b []byte, r Reply, last bool) []byte {
	b = append(b, "HTTP/1.1 "+strconv.Itoa(r.Status)+" "+reason(r.Status)+"\r\n"...)
	if r.RetryAfter > 0 {
		b = append(b, "Retry-After: "+strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64)+"\r\n"...)
	}
	if r.Allow != "" {
		b = append(b, "Allow: "+r.Allow+"\r\n"...)
	}
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	return finish(b, []byte(r.Text+"\n"), last)
}

func finish(b, body []byte, last bool) []byte {
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(appendLength(b, len(body)), "\r\n"...)
	return append(b, body...)
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
	}
	return "Error"
}
