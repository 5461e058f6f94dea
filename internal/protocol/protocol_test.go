package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitewood/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// splitRandomly splits a text into pieces of random sizes.
func splitRandomly(t *rapid.T, text []byte) [][]byte {
	var pieces [][]byte
	for len(text) > 0 {
		n := rapid.IntRange(1, min(len(text), 4000)).Draw(t, "piece")
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}

// feedPieces feeds the pieces to a parser and returns the messages and the first error.
func feedPieces(p *Parser, pieces ...[]byte) (messages []*Message, err error) {
	for _, piece := range pieces {
		for len(piece) > 0 {
			used, msg, err := p.Feed(piece)
			if err != nil {
				return messages, err
			}
			if msg != nil {
				messages = append(messages, msg)
			} else if used < len(piece) {
				return messages, fmt.Errorf("parser consumed %d of %d bytes without returning a message", used, len(piece))
			}
			piece = piece[used:]
		}
	}
	return messages, nil
}

// drawMessage returns a random valid message and its body, with a Content-Length or chunked.
func drawMessage(t *rapid.T, startLine string) ([]byte, []byte) {
	body := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body")
	text := []byte(startLine + "\r\nHost: h\r\nX-Facts: a=1,b=2\r\n")
	if rapid.Bool().Draw(t, "by length") {
		return append(fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(body)), body...), body
	}
	text = append(text, "Transfer-Encoding: Chunked\r\n\r\n"...)
	for _, p := range splitRandomly(t, body) {
		text = append(append(fmt.Appendf(text, "%x;x=y\r\n", len(p)), p...), "\r\n"...)
	}
	return append(text, "0\r\nTrailer-Field: dropped\r\n\r\n"...), body
}

// Valid messages parse the same wherever the input is split.
func TestMessagesSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		responses := rapid.Bool().Draw(t, "answers")
		startLine := "POST /pay?q=1 HTTP/1.1"
		if responses {
			startLine = "HTTP/1.1 200 OK"
		}
		var text []byte
		var bodies [][]byte
		for range rapid.IntRange(1, 3).Draw(t, "messages") {
			part, body := drawMessage(t, startLine)
			text, bodies = append(text, part...), append(bodies, body)
		}
		p := Parser{Responses: responses}
		got, err := feedPieces(&p, splitRandomly(t, text)...)
		if err != nil || len(got) != len(bodies) || !p.Idle() {
			t.Fatalf("got %d messages, want %d; idle %v, error %v", len(got), len(bodies), p.Idle(), err)
		}
		for i := range got {
			if !bytes.Equal(got[i].Body, bodies[i]) {
				t.Fatalf("body %d was changed to %q", i, got[i].Body)
			}
		}
	})
}

// Parsing in pieces of some steps gives the same messages, and no piece takes more steps than asked for and those of one head.
func TestFeedSome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, body := drawMessage(t, "POST /pay?q=1 HTTP/1.1")
		maxSteps := rapid.IntRange(1, 50).Draw(t, "steps")
		const stepsOfHead = 100
		var p Parser
		for rest := text; ; {
			used, steps, msg, err := p.FeedSome(rest, maxSteps)
			if err != nil || steps < 1 || steps > maxSteps+stepsOfHead {
				t.Fatalf("took %d of %d steps, error %v", steps, maxSteps, err)
			}
			rest = rest[used:]
			if msg != nil {
				if !bytes.Equal(msg.Body, body) || len(rest) > 0 {
					t.Fatalf("got a body of %d bytes, want %d; %d bytes are left", len(msg.Body), len(body), len(rest))
				}
				return
			}
		}
	})
}

// A request or response written by a sidecar parses back to the message that was received.
func TestForwardedMessagesAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, body := drawMessage(t, "POST /pay?q=1 HTTP/1.1")
		in, err := feedPieces(&Parser{}, text)
		if err != nil {
			t.Fatal(err)
		}
		out, err := feedPieces(&Parser{}, RequestHead(in[0], 1500*time.Millisecond, Field{}), in[0].Body)
		if err != nil || out[0].StartLine != in[0].StartLine || !bytes.Equal(out[0].Body, body) ||
			out[0].Header.Get(headerTimeLeft) != "1500" || out[0].Header.Get(headerFacts) != "a=1,b=2" {
			t.Fatalf("request: error %v, messages %+v", err, out)
		}
		in[0].StartLine = rapid.SampledFrom([][3]string{{"HTTP/1.1", "200", "OK"}, {"HTTP/1.1", "418", "I'm a teapot"}}).Draw(t, "start")
		response, err := feedPieces(&Parser{Responses: true}, ResponseHead(in[0], true), in[0].Body)
		if err != nil || response[0].StartLine != in[0].StartLine || !response[0].Close || !bytes.Equal(response[0].Body, body) {
			t.Fatalf("response: error %v, messages %+v", err, response)
		}
	})
}

// Random input, or a valid message with one byte changed, gives an error or a message, without a panic and without retaining
// a large buffer.
func TestArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Parser{Responses: rapid.Bool().Draw(t, "answers")}
		text := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "spoilt") {
			text, _ = drawMessage(t, "GET / HTTP/1.1")
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			text[at] = rapid.Byte().Draw(t, "byte")
		}
		messages, _ := feedPieces(&p, splitRandomly(t, text)...)
		for _, msg := range messages {
			ReadRequestMeta(msg, classes)
			msg.LoadReport([]string{"q", "busy"})
		}
		ParseLoadReport(string(text), []string{"q"})
		if _, err := ReadEndpointList(text); err == nil {
			t.Fatalf("%q was accepted as an endpoint list", text)
		}
		if cap(p.buf) > 4*MaxHeadBytes {
			t.Fatalf("parser retains a buffer of %d bytes", cap(p.buf))
		}
	})
}

// A routed request gets the class it states, else the default class, else the first class that allows its method.
func TestReadRoutedRequestMeta(t *testing.T) {
	request := func(method string, fields ...string) *Message {
		m := &Message{StartLine: [3]string{method, "/x", "HTTP/1.1"}, Header: textproto.MIMEHeader{}}
		for i := 0; i < len(fields); i += 2 {
			m.Header.Add(fields[i], fields[i+1])
		}
		return m
	}
	for _, c := range []struct {
		m            *Message
		defaultClass string
		class        int
		status       int
		allow        string
	}{
		{request("GET"), "", 0, 0, ""},
		{request("POST"), "", 1, 0, ""},
		{request("POST"), "pay", 1, 0, ""},
		{request("POST", headerClass, "pay"), "look", 1, 0, ""},
		{request("GET", headerClass, "pay"), "look", 0, 405, "POST"},
		{request("PUT"), "", 0, 405, "GET, POST"},
		{request("GET", headerClass, "odd"), "", 0, 400, ""},
		{request("GET", headerClass, "look", headerClass, "look"), "", 0, 400, ""},
		{request("GET", headerCorrelationID, "1", headerCorrelationID, "1"), "", 0, 400, ""},
		{request("GET", headerTimeLeft, "x"), "", 0, 400, ""},
	} {
		meta, err := ReadRoutedRequestMeta(c.m, classes, c.defaultClass)
		var e *Error
		if errors.As(err, &e); e == nil {
			e = &Error{}
		}
		if e.Status != c.status || e.Allow != c.allow || err == nil && (meta.Class != c.class || meta.TimeLeft != classes[c.class].Deadline) {
			t.Errorf("%v: got %+v, %v", c, meta, err)
		}
	}
}

var classes = []Class{{Name: "look", Methods: []string{"GET"}, Deadline: 6 * time.Second},
	{Name: "pay", Methods: []string{"POST"}, Deadline: 3 * time.Second},
	{Name: "cut", Methods: []string{"POST"}, Deadline: 3 * time.Second, Keyed: true}}

// requestStatus parses one request and returns the status of the error, 200 for a valid request or 0 for an incomplete one.
func requestStatus(text string) int {
	got, err := feedPieces(&Parser{}, []byte(text))
	if err == nil && len(got) == 1 {
		_, err = ReadRequestMeta(got[0], classes)
	}
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.Status
	case len(got) == 0:
		return 0
	}
	return 200
}

func TestReadRequestMetaStatus(t *testing.T) {
	const valid = "Host: h\r\nX-Correlation-Id: 1\r\n"
	for _, c := range []struct {
		want int
		text string
	}{
		{200, "GET /look HTTP/1.1\r\n" + valid + "\r\n"},
		{200, "\r\nGET /look/a?b HTTP/1.1\r\n" + valid + "X-Time-Left-Ms: 0\r\nX-Weight-Hint: 2.5\r\nX-Repeat: 1\r\n\r\n"},
		{200, "POST /pay HTTP/1.1\r\n" + valid + "X-Service-Class: pay\r\nContent-Length: 1\r\n\r\nx"},
		{200, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: 5c0f\r\n\r\n"},
		{200, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: " + strings.Repeat("a", 256) + "\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key:\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: a\tb\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: a\x01b\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + valid + "Idempotency-Key: " + strings.Repeat("a", 257) + "\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Idempotency-Key: a\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "Idempotency-Key: a\r\n\r\n"},
		{0, "GET /look HTTP/1.1\r\n" + valid},
		{400, "GET /look\r\n" + valid + "\r\n"},
		{400, "GET /look HTTP/2.0\r\n" + valid + "\r\n"},
		{400, "GET /look HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "no colon\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "Space : 1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "A: 1\r\n folded\r\n\r\n"},
		{400, "GET /look HTTP/1.1\n" + valid + "\r\n"},
		{400, "GET /look HTTP/1.1\r\nHost: h\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Service-Class: none\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Service-Class: pay\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Time-Left-Ms: soon\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Time-Left-Ms: -1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Weight-Hint: NaN\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Repeat: maybe\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + valid + "X-Facts: a=1,b\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Content-Length: +1\r\n\r\nx"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: chunked\r\n\r\nz\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 200)},
		{400, strings.Repeat("\r\n", 200)},
		{404, "GET /none HTTP/1.1\r\n" + valid + "\r\n"},
		{404, "GET / HTTP/1.1\r\n" + valid + "\r\n"},
		{405, "POST /look HTTP/1.1\r\n" + valid + "\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + valid + "Content-Length: 65537\r\n\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + valid + "Content-Length: 99999999999999999999\r\n\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: chunked\r\n\r\n10001\r\n"},
		{431, "GET /look HTTP/1.1\r\n" + valid + "A: " + strings.Repeat("a", MaxHeadBytes) + "\r\n\r\n"},
		{431, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\r\n", MaxHeadBytes/4+1)},
		{501, "POST /pay HTTP/1.1\r\n" + valid + "Transfer-Encoding: gzip\r\n\r\n"},
	} {
		if got := requestStatus(c.text); got != c.want {
			t.Errorf("status %d, want %d, for %.120q", got, c.want, c.text)
		}
	}
}

// The cost hint is converted from microseconds to seconds, and without X-Time-Left-Ms the class's deadline applies.
func TestReadRequestMeta(t *testing.T) {
	got, _ := feedPieces(&Parser{}, []byte("POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nX-Weight-Hint: 250000\r\n"+
		"X-Repeat: 1\r\n\r\n"))
	meta, err := ReadRequestMeta(got[0], classes)
	if want := (RequestMeta{Class: 1, ID: "1", TimeLeft: 3 * time.Second, CostHint: 0.25, ClientRetry: true}); err != nil || meta != want {
		t.Errorf("got %+v, %v; want the hint in seconds and the class's deadline as time left", meta, err)
	}
}

// Load reports may use the value names of the protocol or those of the settings.
func TestParseLoadReport(t *testing.T) {
	for _, text := range []string{"inflight=7,queue=2,util=0.5,qps=9", "q=2,rif=7,rate=9,busy=0.5"} {
		load := ParseLoadReport(text, []string{"q", "rif", "rate", "busy"})
		if !slices.Equal(load, []float32{2, 7, 9, 0.5}) {
			t.Errorf("%s parsed as %v", text, load)
		}
	}
	for _, bad := range []string{"", "queue=2", "queue=x,util=1", "queue=NaN,util=1", "queue"} {
		if load := ParseLoadReport(bad, []string{"q", "busy"}); load != nil {
			t.Errorf("%q parsed as %v, want nil", bad, load)
		}
	}
}

func TestReadEndpointList(t *testing.T) {
	entry := `{"name":"s","address":"10.1.0.18:7070","zone":"a","type":"m2","group":3,"status":"Ready","weight":1.0,"since_ms":5}`
	list, err := ReadEndpointList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entry + `]}`))
	want := Endpoint{"s", "10.1.0.18:7070", "a", "m2", 3, Ready, 1, 5}
	if err != nil || list.Index != 41 || !list.Snapshot || len(list.Endpoints) != 1 || list.Endpoints[0] != want {
		t.Errorf("got %+v, %v", list, err)
	}
	for _, bad := range []string{"", "[]", `{"endpoints":[]}`, `{"index":1,"endpoints":[{"name":"s","status":"Odd"}]}`,
		`{"index":1,"endpoints":[{"name":"","address":"10.1.0.18:1","status":"Ready"}]}`,
		`{"index":1,"endpoints":[{"name":"s","address":"nowhere","status":"Ready"}]}`} {
		if _, err := ReadEndpointList([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// The end of the connection completes a response without a length; it is an error inside any other message.
func TestResponseWithoutLengthEndsAtEOF(t *testing.T) {
	p := Parser{Responses: true}
	feedPieces(&p, []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end"))
	if msg, err := p.End(); err != nil || string(msg.Body) != "to the end" || !msg.Close {
		t.Errorf("got %+v, %v", msg, err)
	}
	feedPieces(&p, []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncut"))
	if _, err := p.End(); err == nil {
		t.Error("truncated response was accepted as complete")
	}
}

// A request has a bounded number of fields, whatever their size. Guards against heads whose parsed form takes many times their bytes.
func TestRequestFieldsAreBounded(t *testing.T) {
	for fields, want := range map[int]bool{MaxRequestFields: true, MaxRequestFields + 1: false, 1900: false} {
		text := "GET /look HTTP/1.1\r\nHost: h\r\n"
		for i := range fields - 1 {
			text += fmt.Sprintf("%x:b\r\n", i)
		}
		var parser Parser
		_, msg, err := parser.Feed([]byte(text + "\r\n"))
		var e *Error
		if errors.As(err, &e); (msg != nil) != want || !want && (e == nil || e.Status != 431) {
			t.Errorf("%d fields: accepted %v, error %v", fields, msg != nil, err)
		}
	}
}
