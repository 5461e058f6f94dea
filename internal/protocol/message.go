// Package protocol implements the platform's message formats: incremental HTTP/1.1 parsing, and encoding and decoding of
// messages, endpoint lists and load reports. It does no I/O and does not read the clock.
package protocol

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"strings"
)

// Limits on the size of a message.
const (
	MaxHeadBytes = 16 << 10 // start line and header fields together
	MaxBodyBytes = 64 << 10
	maxLineBytes = 256 // a chunk-size line or a trailer field

	// MaxRequestFields bounds the header fields of a request beside their bytes: a parsed field of a few bytes takes some hundred.
	MaxRequestFields = 128

	headBytesPerStep = 8 // in the cost of parsing a head
	stepsPerField    = 10

	maxInterimResponses = 8         // 1xx responses before the final one
	responsePrefix      = "HTTP/1." // the first bytes of every response
)

// Error is a violation of the protocol by a received message.
type Error struct {
	Status int // status code of the response to the sender
	Reason string
	Allow  string // with status 405: the methods that are allowed
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// errorf returns an Error with a formatted reason.
func errorf(status int, format string, args ...any) *Error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Message is an HTTP request or response.
type Message struct {
	StartLine [3]string // the three parts of the request line or status line
	Header    textproto.MIMEHeader
	Body      []byte
	Close     bool // the connection is closed after this message
}

// Status returns the status code of a response.
func (m *Message) Status() int {
	code, _ := strconv.Atoi(m.StartLine[1])
	return code
}

// ToOriginForm converts a request target in absolute form to origin form, which endpoints expect.
func (m *Message) ToOriginForm() {
	if _, rest, absolute := strings.Cut(m.StartLine[1], "://"); absolute && !strings.HasPrefix(m.StartLine[1], "/") {
		m.StartLine[1] = "/"
		if at := strings.IndexByte(rest, '/'); at >= 0 {
			m.StartLine[1] = rest[at:]
		}
	}
}

// Parser incrementally parses a sequence of messages. The zero value parses requests.
type Parser struct {
	Responses bool         // parse responses instead of requests
	OnBody    func([]byte) // if set, receives the body in pieces; MaxBodyBytes does not apply

	state     parserState
	buf       []byte   // the incomplete head or line
	msg       *Message // the message whose head is complete and whose body is not
	remaining int      // bytes of the body or chunk not yet read
	steps     int      // work done so far: see FeedSome

	interimCount  int // 1xx responses since the last message
	emptyBytes    int // of empty lines since the last message
	chunkOverhead int // bytes of chunk-size lines that the chunks do not account for
	trailerBytes  int
}

// parserState is the part of a message that a Parser reads next.
type parserState uint8

const (
	inHead parserState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inBodyUntilEOF // a response without a length, ended by the end of the connection
)

// Idle reports whether the parser is between two messages.
func (p *Parser) Idle() bool { return p.state == inHead && len(p.buf) == 0 }

// Head returns the message whose head is complete and whose body is not, or nil.
func (p *Parser) Head() *Message { return p.msg }

// Feed parses bytes from b. It returns the number of bytes consumed, and the message once it is complete; bytes after the
// end of a message are not consumed.
func (p *Parser) Feed(b []byte) (int, *Message, error) {
	used, _, msg, err := p.FeedSome(b, math.MaxInt)
	return used, msg, err
}

// FeedSome is Feed, but stops after some number of steps. A step is a unit of work of some 15 ns, such as a line or a part
// of a chunk; a head takes more by its bytes and fields. It also returns the number of steps taken, which exceeds maxSteps only within a head.
func (p *Parser) FeedSome(b []byte, maxSteps int) (used, steps int, msg *Message, err error) {
	before := p.steps
	for steps < maxSteps {
		n, done, err := p.consume(b[used:])
		p.steps++
		used += n
		steps = p.steps - before
		if err != nil {
			return used, steps, nil, err
		}
		if done {
			return used, steps, p.finish(), nil
		}
		if used == len(b) {
			break
		}
	}
	return used, steps, nil, nil
}

// End signals the end of the input, which completes only a response without a length.
func (p *Parser) End() (*Message, error) {
	if p.state == inBodyUntilEOF {
		return p.finish(), nil
	}
	return nil, errorf(400, "cut off inside a message")
}

// finish returns the completed message and resets the parser for the next one.
func (p *Parser) finish() *Message {
	msg := p.msg
	*p = Parser{Responses: p.Responses, OnBody: p.OnBody, buf: p.buf, steps: p.steps}
	return msg
}

// consume parses some bytes of b. It returns the number of bytes consumed and whether the message is complete.
func (p *Parser) consume(b []byte) (int, bool, error) {
	switch p.state {
	case inHead:
		return p.consumeHead(b)
	case inBody, inChunk:
		n := min(p.remaining, len(b))
		p.remaining -= n
		err := p.appendBody(b[:n])
		if p.remaining > 0 || err != nil {
			return n, false, err
		}
		if p.state == inBody {
			return n, true, nil
		}
		p.state = inChunkEnd
		return n, false, nil
	case inBodyUntilEOF:
		return len(b), false, p.appendBody(b)
	}
	n, line, err := p.consumeLine(b)
	if line == nil || err != nil {
		return n, false, err
	}
	switch p.state {
	case inChunkSize:
		return n, false, p.startChunk(line, n)
	case inChunkEnd:
		if len(line) > 0 {
			return n, false, errorf(400, "a chunk is longer than its size")
		}
		p.state = inChunkSize
	case inTrailer: // trailers are dropped; the platform's protocol does not use them
		if p.trailerBytes += n; p.trailerBytes > MaxHeadBytes {
			return n, false, errorf(431, "the trailers are over %d bytes", MaxHeadBytes)
		}
		return n, len(line) == 0, nil
	}
	return n, false, nil
}

// appendBody adds data to the body, or passes it to OnBody.
func (p *Parser) appendBody(b []byte) error {
	if p.OnBody != nil {
		p.OnBody(b)
		return nil
	}
	if len(p.msg.Body)+len(b) > MaxBodyBytes {
		return errorf(413, "the body is over %d bytes", MaxBodyBytes)
	}
	// Memory is allocated as data arrives, not by the declared length: the whole body is reserved only once a quarter of
	// MaxBodyBytes has been received.
	if body := p.msg.Body; len(body)+len(b) > cap(body) && p.state == inBody && len(body)+len(b) >= MaxBodyBytes/4 {
		p.msg.Body = append(make([]byte, 0, len(body)+len(b)+p.remaining), body...)
	}
	p.msg.Body = append(p.msg.Body, b...)
	return nil
}

// consumeHead buffers bytes until the head is complete and parses it. Only new bytes are searched for the end of the head,
// so input that arrives byte by byte costs no more.
func (p *Parser) consumeHead(b []byte) (int, bool, error) {
	skipped := 0
	if len(p.buf) == 0 { // empty lines before a message are skipped, as RFC 9112 recommends
		for skipped < len(b) && skipped < 2 && (b[skipped] == '\r' || b[skipped] == '\n') {
			skipped++
		}
		if p.emptyBytes += skipped; p.emptyBytes > maxLineBytes {
			return skipped, false, errorf(400, "over %d bytes of empty lines before a message", maxLineBytes)
		}
		if skipped > 0 {
			return skipped, false, nil
		}
	}
	buffered := len(p.buf)
	accepted := min(len(b), MaxHeadBytes+4-buffered)
	p.buf = append(p.buf, b[:accepted]...)
	// Input that is not HTTP is rejected by its first bytes: it may contain no empty line, and waiting for one would last
	// until the timeout.
	if n := min(len(p.buf), len(responsePrefix)); p.Responses && string(p.buf[:n]) != responsePrefix[:n] {
		return accepted, false, errorf(400, "not an HTTP response")
	}
	searchFrom := max(0, buffered-3)
	at := bytes.Index(p.buf[searchFrom:], []byte("\r\n\r\n"))
	if at < 0 {
		if len(p.buf) >= MaxHeadBytes+4 {
			return accepted, false, errorf(431, "the head is over %d bytes", MaxHeadBytes)
		}
		return accepted, false, nil
	}
	end := searchFrom + at + 4
	if end > MaxHeadBytes {
		return accepted, false, errorf(431, "the head is over %d bytes", MaxHeadBytes)
	}
	if lines := bytes.Count(p.buf[:end], []byte("\n")); !p.Responses && lines-headLinesWithoutField > MaxRequestFields {
		return accepted, false, errorf(431, "the head has over %d fields", MaxRequestFields)
	}
	msg, err := parseHead(p.buf[:end], p.Responses)
	if err != nil {
		return accepted, false, err
	}
	p.steps += end/headBytesPerStep + len(msg.Header)*stepsPerField
	if p.buf = p.buf[:0]; cap(p.buf) > 4<<10 {
		p.buf = nil // many connections are idle; none should retain a large buffer
	}
	p.msg = msg
	done, err := p.startBody(msg)
	return end - buffered, done, err
}

// headLinesWithoutField is the number of lines of a head that are no fields: the start line and the empty line at its end.
const headLinesWithoutField = 2

// consumeLine buffers bytes until a line ending in CRLF is complete and returns it without CRLF; until then it returns nil.
func (p *Parser) consumeLine(b []byte) (int, []byte, error) {
	at := bytes.IndexByte(b, '\n')
	n := at + 1
	if at < 0 {
		n = len(b)
	}
	if len(p.buf)+n > maxLineBytes {
		return n, nil, errorf(400, "a line of the chunked body is over %d bytes", maxLineBytes)
	}
	line := b[:n]
	if at < 0 || len(p.buf) > 0 {
		p.buf = append(p.buf, b[:n]...)
		line = p.buf
	}
	if at < 0 {
		return n, nil, nil
	}
	p.buf = p.buf[:0]
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return n, nil, errorf(400, "a line of the chunked body does not end in CRLF")
	}
	return n, line[:len(line)-2], nil
}

// startChunk parses a chunk-size line of the given number of bytes and prepares to read the chunk, or the trailers after the
// last chunk.
func (p *Parser) startChunk(line []byte, lineBytes int) error {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	for n := len(digits); n > 0 && (digits[n-1] == ' ' || digits[n-1] == '\t'); n-- {
		digits = digits[:n-1]
	}
	size, ok := parseChunkSize(digits)
	if !ok {
		return errorf(400, "malformed chunk size")
	}
	if size == 0 {
		p.state = inTrailer
		return nil
	}
	if p.OnBody == nil && len(p.msg.Body)+size > MaxBodyBytes {
		return errorf(413, "the body is over %d bytes", MaxBodyBytes)
	}
	// Chunks of one byte are valid, but extensions must not make a bounded body many times its size.
	p.chunkOverhead = max(p.chunkOverhead+lineBytes-freeLineBytes-2*size, 0)
	if p.OnBody == nil && p.chunkOverhead > MaxHeadBytes {
		return errorf(400, "the chunk extensions are over %d bytes", MaxHeadBytes)
	}
	p.remaining, p.state = size, inChunk
	return nil
}

// freeLineBytes is the length of a chunk-size line that does not count as overhead.
const freeLineBytes = 16

// parseChunkSize parses a hexadecimal number of at most 31 bits.
func parseChunkSize(digits []byte) (size int, ok bool) {
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		if size = size<<4 | int(c); size > math.MaxInt32 {
			return 0, false
		}
	}
	return size, len(digits) > 0
}

// parseHead parses a complete head, including its final empty line.
func parseHead(head []byte, response bool) (*Message, error) {
	for i, c := range head {
		if c == 0 || c == '\r' && (i+1 == len(head) || head[i+1] != '\n') || c == '\n' && (i == 0 || head[i-1] != '\r') {
			return nil, errorf(400, "malformed head: a stray control character")
		}
		if c == '\n' && i+1 < len(head) && (head[i+1] == ' ' || head[i+1] == '\t') {
			return nil, errorf(400, "malformed head: a folded line")
		}
	}
	r := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	line, err := r.ReadLine()
	if err != nil {
		return nil, errorf(400, "malformed head: %v", err)
	}
	header, err := r.ReadMIMEHeader()
	if err != nil {
		return nil, errorf(400, "malformed head: %v", err)
	}
	for name := range header { // textproto accepts a space before the colon, which permits request smuggling
		if !isToken(name) {
			return nil, errorf(400, "malformed head: a field's name")
		}
	}
	msg := &Message{Header: header}
	first, rest, _ := strings.Cut(line, " ")
	second, third, _ := strings.Cut(rest, " ")
	msg.StartLine = [3]string{first, second, third}
	version := third
	if response {
		version = first
		if code, err := strconv.Atoi(second); err != nil || len(second) != 3 || code < 100 {
			return nil, errorf(400, "malformed status line")
		}
	} else if !isToken(first) || second == "" || !printable(second) {
		return nil, errorf(400, "malformed request line")
	}
	if !response && bytes.ContainsFunc(head, func(c rune) bool { return c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f }) {
		return nil, errorf(400, "malformed head: a control character")
	}
	switch version {
	case "HTTP/1.1":
		msg.Close = hasToken(header["Connection"], "close")
	case "HTTP/1.0":
		msg.Close = !hasToken(header["Connection"], "keep-alive")
	default:
		return nil, errorf(400, "neither HTTP/1.1 nor HTTP/1.0")
	}
	if !response && version == "HTTP/1.1" && len(header["Host"]) != 1 {
		return nil, errorf(400, "a request names one Host")
	}
	return msg, nil
}

// startBody determines how the body of a message is delimited. It reports whether the message is already complete.
func (p *Parser) startBody(msg *Message) (bool, error) {
	lengths, codings := msg.Header["Content-Length"], msg.Header["Transfer-Encoding"]
	if p.Responses {
		switch code := msg.Status(); {
		case code < 200: // interim response: a final one must follow within maxInterimResponses, and no upgrade was requested
			if p.interimCount++; p.interimCount > maxInterimResponses || code == 101 {
				return false, errorf(400, "too many interim responses, or an unrequested upgrade")
			}
			p.state, p.msg = inHead, nil
			return false, nil
		case code == 204 || code == 304:
			return true, nil
		}
	}
	switch {
	case len(codings) > 0 && len(lengths) > 0:
		return false, errorf(400, "both Content-Length and Transfer-Encoding")
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
			return false, errorf(501, "unknown transfer coding")
		}
		p.state = inChunkSize
		return false, nil
	case len(lengths) > 0:
		for _, l := range lengths {
			if l != lengths[0] {
				return false, errorf(400, "conflicting Content-Length")
			}
		}
		for _, c := range lengths[0] {
			if c < '0' || c > '9' {
				return false, errorf(400, "malformed Content-Length")
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if lengths[0] == "" {
			return false, errorf(400, "malformed Content-Length")
		}
		if err != nil || n > MaxBodyBytes && p.OnBody == nil {
			return false, errorf(413, "the body is over %d bytes", MaxBodyBytes)
		}
		p.remaining, p.state = int(n), inBody
		if n == 0 {
			return true, nil
		}
		if p.OnBody == nil {
			msg.Body = make([]byte, 0, min(int(n), 4<<10))
		}
		return false, nil
	case p.Responses:
		msg.Close, p.state = true, inBodyUntilEOF
		return false, nil
	}
	return true, nil
}

// isToken reports whether s is a token as defined by RFC 9110.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// printable reports whether s contains only visible ASCII characters.
func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// hasToken reports whether one of the comma-separated lists contains the token, ignoring case.
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
