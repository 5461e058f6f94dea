// Package protocol holds the platform's message formats: HTTP/1.1 as state machines that are fed bytes, and the
// decoding of endpoint lists and load reports. It knows no socket and no clock.
package protocol

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
)

// The sizes that a message may have.
const (
	MaxHeadBytes = 16 << 10 // start line and header fields
	MaxBodyBytes = 64 << 10
	maxLine      = 256 // the line of a chunk's size, or of a trailer

	maxInterim = 8         // interim answers before one that counts
	answers    = "HTTP/1." // what every answer begins with
)

// Error is a message that breaks the protocol, with the status that its sender is told.
type Error struct {
	Status int
	Reason string
	Allow  string // 405: the methods that are taken
}

func (e *Error) Error() string { return e.Reason }

func bad(status int, format string, args ...any) *Error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Message is a whole request or answer. Start holds the three parts of its first line.
type Message struct {
	StartLine [3]string
	Header    textproto.MIMEHeader
	Body      []byte
	Close     bool // the connection ends with this message
}

// Status is the status code of an answer.
func (m *Message) Status() int {
	code, _ := strconv.Atoi(m.StartLine[1])
	return code
}

// Origin turns the target of a request that is in absolute form into origin form, as destinations want it.
func (m *Message) ToOriginForm() {
	if _, rest, absolute := strings.Cut(m.StartLine[1], "://"); absolute && !strings.HasPrefix(m.StartLine[1], "/") {
		m.StartLine[1] = "/"
		if at := strings.IndexByte(rest, '/'); at >= 0 {
			m.StartLine[1] = rest[at:]
		}
	}
}

// Machine takes the bytes of one message after another. The zero value reads requests.
type Parser struct {
	Responses bool         // it reads answers, not requests
	OnBody    func([]byte) // if set, takes the body as it comes, and MaxBody does not bind

	step step
	buf  []byte // the head or line that is not yet whole
	msg  *Message
	left int // bytes of the body or chunk to come

	interim int // interim answers since the last message
}

// step is what a Machine waits for.
type step uint8

const (
	inHead step = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilEnd
)

// Idle tells whether the machine stands between two messages.
func (m *Parser) Idle() bool { return m.step == inHead && len(m.buf) == 0 }

// Head is the message whose head has come and whose body is not whole, if there is one.
func (m *Parser) Head() *Message { return m.msg }

// Feed takes bytes. It returns how many it used and the message if that is whole; bytes after a message are left.
func (m *Parser) Feed(p []byte) (int, *Message, error) {
	used := 0
	for {
		n, done, err := m.take(p[used:])
		used += n
		if err != nil {
			return used, nil, err
		}
		if done {
			return used, m.finish(), nil
		}
		if used == len(p) {
			return used, nil, nil
		}
	}
}

// End takes the end of the input. Only an answer without a length is whole by it.
func (m *Parser) End() (*Message, error) {
	if m.step == untilEnd {
		return m.finish(), nil
	}
	return nil, bad(400, "cut off inside a message")
}

func (m *Parser) finish() *Message {
	msg := m.msg
	m.step, m.msg, m.left, m.interim = inHead, nil, 0, 0
	return msg
}

// take uses some bytes of p, and tells whether the message is whole.
func (m *Parser) take(p []byte) (int, bool, error) {
	switch m.step {
	case inHead:
		return m.takeHead(p)
	case inBody, inChunk:
		n := min(m.left, len(p))
		m.left -= n
		err := m.body(p[:n])
		if m.left > 0 || err != nil {
			return n, false, err
		}
		if m.step == inBody {
			return n, true, nil
		}
		m.step = inChunkEnd
		return n, false, nil
	case untilEnd:
		return len(p), false, m.body(p)
	}
	n, line, err := m.takeLine(p)
	if line == nil || err != nil {
		return n, false, err
	}
	switch m.step {
	case inChunkSize:
		return n, false, m.chunk(string(line))
	case inChunkEnd:
		if len(line) > 0 {
			return n, false, bad(400, "a chunk is longer than its size")
		}
		m.step = inChunkSize
	case inTrailer: // trailers are dropped: nothing in the platform's protocol uses them
		return n, len(line) == 0, nil
	}
	return n, false, nil
}

func (m *Parser) body(p []byte) error {
	if m.OnBody != nil {
		m.OnBody(p)
		return nil
	}
	if len(m.msg.Body)+len(p) > MaxBodyBytes {
		return bad(413, "the body is over %d bytes", MaxBodyBytes)
	}
	// A body grows with what comes, not with what is promised: whoever wants 64 KiB kept has sent a quarter of them.
	if b := m.msg.Body; len(b)+len(p) > cap(b) && m.step == inBody && len(b)+len(p) >= MaxBodyBytes/4 {
		m.msg.Body = append(make([]byte, 0, len(b)+len(p)+m.left), b...)
	}
	m.msg.Body = append(m.msg.Body, p...)
	return nil
}

// takeHead collects a head. It looks for the end only in what is new, so bytes that come singly cost no more.
func (m *Parser) takeHead(p []byte) (int, bool, error) {
	from := 0
	if len(m.buf) == 0 { // empty lines before a message are passed over, as the standard asks
		for from < len(p) && from < 2 && (p[from] == '\r' || p[from] == '\n') {
			from++
		}
		if from > 0 {
			return from, false, nil
		}
	}
	old := len(m.buf)
	room := min(len(p), MaxHeadBytes+4-old)
	m.buf = append(m.buf, p[:room]...)
	// Noise is known by its first bytes: it may hold no empty line, and who waits for one waits until the time is up.
	if n := min(len(m.buf), len(answers)); m.Responses && string(m.buf[:n]) != answers[:n] {
		return room, false, bad(400, "not an answer")
	}
	look := max(0, old-3)
	at := bytes.Index(m.buf[look:], []byte("\r\n\r\n"))
	if at < 0 {
		if len(m.buf) >= MaxHeadBytes+4 {
			return room, false, bad(431, "the head is over %d bytes", MaxHeadBytes)
		}
		return room, false, nil
	}
	end := look + at + 4
	if end > MaxHeadBytes {
		return room, false, bad(431, "the head is over %d bytes", MaxHeadBytes)
	}
	msg, err := parseHead(m.buf[:end], m.Responses)
	if err != nil {
		return room, false, err
	}
	if m.buf = m.buf[:0]; cap(m.buf) > 4<<10 {
		m.buf = nil // many connections stand idle: none keeps a large buffer
	}
	m.msg = msg
	done, err := m.frame(msg)
	return end - old, done, err
}

// takeLine collects a line that ends in CRLF; it returns nil until that is whole.
func (m *Parser) takeLine(p []byte) (int, []byte, error) {
	at := bytes.IndexByte(p, '\n')
	n := at + 1
	if at < 0 {
		n = len(p)
	}
	if len(m.buf)+n > maxLine {
		return n, nil, bad(400, "a line of the chunked body is over %d bytes", maxLine)
	}
	m.buf = append(m.buf, p[:n]...)
	if at < 0 {
		return n, nil, nil
	}
	line := m.buf
	m.buf = m.buf[:0]
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return n, nil, bad(400, "a line of the chunked body does not end in CRLF")
	}
	return n, line[:len(line)-2], nil
}

func (m *Parser) chunk(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 31)
	if err != nil {
		return bad(400, "malformed chunk size")
	}
	if size == 0 {
		m.step = inTrailer
		return nil
	}
	if m.OnBody == nil && len(m.msg.Body)+int(size) > MaxBodyBytes {
		return bad(413, "the body is over %d bytes", MaxBodyBytes)
	}
	m.left, m.step = int(size), inChunk
	return nil
}

// parseHead reads a head that is whole, its final empty line included.
func parseHead(head []byte, answer bool) (*Message, error) {
	for i, c := range head {
		if c == 0 || c == '\r' && (i+1 == len(head) || head[i+1] != '\n') || c == '\n' && (i == 0 || head[i-1] != '\r') {
			return nil, bad(400, "malformed head: a stray control character")
		}
		if c == '\n' && i+1 < len(head) && (head[i+1] == ' ' || head[i+1] == '\t') {
			return nil, bad(400, "malformed head: a folded line")
		}
	}
	r := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	line, err := r.ReadLine()
	if err != nil {
		return nil, bad(400, "malformed head: %v", err)
	}
	header, err := r.ReadMIMEHeader()
	if err != nil {
		return nil, bad(400, "malformed head: %v", err)
	}
	for name := range header { // textproto lets a space before the colon pass, by which heads are smuggled
		if !isToken(name) {
			return nil, bad(400, "malformed head: a field's name")
		}
	}
	msg := &Message{Header: header}
	first, rest, _ := strings.Cut(line, " ")
	second, third, _ := strings.Cut(rest, " ")
	msg.StartLine = [3]string{first, second, third}
	version := third
	if answer {
		version = first
		if code, err := strconv.Atoi(second); err != nil || len(second) != 3 || code < 100 {
			return nil, bad(400, "malformed status line")
		}
	} else if !isToken(first) || second == "" || !printable(second) {
		return nil, bad(400, "malformed request line")
	}
	if !answer && bytes.ContainsFunc(head, func(c rune) bool { return c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f }) {
		return nil, bad(400, "malformed head: a control character")
	}
	switch version {
	case "HTTP/1.1":
		msg.Close = hasToken(header["Connection"], "close")
	case "HTTP/1.0":
		msg.Close = !hasToken(header["Connection"], "keep-alive")
	default:
		return nil, bad(400, "neither HTTP/1.1 nor HTTP/1.0")
	}
	if !answer && version == "HTTP/1.1" && len(header["Host"]) != 1 {
		return nil, bad(400, "a request names one Host")
	}
	return msg, nil
}

// frame finds how the body of a message ends, and tells whether it has none.
func (m *Parser) frame(msg *Message) (bool, error) {
	lengths, codings := msg.Header["Content-Length"], msg.Header["Transfer-Encoding"]
	if m.Responses {
		switch code := msg.Status(); {
		case code < 200: // an interim answer: the final one follows, but not for ever, and nobody asked for an upgrade
			if m.interim++; m.interim > maxInterim || code == 101 {
				return false, bad(400, "interim answers without an end")
			}
			m.step, m.msg = inHead, nil
			return false, nil
		case code == 204 || code == 304:
			return true, nil
		}
	}
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return false, bad(400, "both Content-Length and Transfer-Encoding")
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
			return false, bad(501, "unknown transfer coding")
		}
		m.step = inChunkSize
		return false, nil
	case len(lengths) > 0:
		for _, l := range lengths {
			if l != lengths[0] {
				return false, bad(400, "conflicting Content-Length")
			}
		}
		for _, c := range lengths[0] {
			if c < '0' || c > '9' {
				return false, bad(400, "malformed Content-Length")
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if lengths[0] == "" {
			return false, bad(400, "malformed Content-Length")
		}
		if err != nil || n > MaxBodyBytes && m.OnBody == nil {
			return false, bad(413, "the body is over %d bytes", MaxBodyBytes)
		}
		m.left, m.step = int(n), inBody
		if n == 0 {
			return true, nil
		}
		if m.OnBody == nil {
			msg.Body = make([]byte, 0, min(int(n), 4<<10))
		}
		return false, nil
	case m.Responses:
		msg.Close, m.step = true, untilEnd
		return false, nil
	}
	return true, nil
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
