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

// cuts draws a way to cut a text into pieces.
func cuts(t *rapid.T, text []byte) [][]byte {
	var out [][]byte
	for len(text) > 0 {
		n := rapid.IntRange(1, min(len(text), 4000)).Draw(t, "piece")
		out, text = append(out, text[:n]), text[n:]
	}
	return out
}

// feed gives a machine pieces and returns the messages and the first error.
func feed(m *Parser, pieces ...[]byte) (out []*Message, err error) {
	for _, p := range pieces {
		for len(p) > 0 {
			used, msg, err := m.Feed(p)
			if err != nil {
				return out, err
			}
			if msg != nil {
				out = append(out, msg)
			} else if used < len(p) {
				return out, fmt.Errorf("%d of %d bytes used and no message", used, len(p))
			}
			p = p[used:]
		}
	}
	return out, nil
}

// message draws a valid message and its body, with either framing.
func message(t *rapid.T, start string) ([]byte, []byte) {
	body := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "body")
	text := []byte(start + "\r\nHost: h\r\nX-Facts: a=1,b=2\r\n")
	if rapid.Bool().Draw(t, "by length") {
		return append(fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(body)), body...), body
	}
	text = append(text, "Transfer-Encoding: Chunked\r\n\r\n"...)
	for _, p := range cuts(t, body) {
		text = append(append(fmt.Appendf(text, "%x;x=y\r\n", len(p)), p...), "\r\n"...)
	}
	return append(text, "0\r\nTrailer-Field: dropped\r\n\r\n"...), body
}

func TestCutsOfValidMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answers := rapid.Bool().Draw(t, "answers")
		start := "POST /pay?q=1 HTTP/1.1"
		if answers {
			start = "HTTP/1.1 200 OK"
		}
		var text []byte
		var bodies [][]byte
		for range rapid.IntRange(1, 3).Draw(t, "messages") {
			part, body := message(t, start)
			text, bodies = append(text, part...), append(bodies, body)
		}
		m := Parser{Responses: answers}
		got, err := feed(&m, cuts(t, text)...)
		if err != nil || len(got) != len(bodies) || !m.Idle() {
			t.Fatalf("%d messages of %d, idle %v, error %v", len(got), len(bodies), m.Idle(), err)
		}
		for i := range got {
			if !bytes.Equal(got[i].Body, bodies[i]) {
				t.Fatalf("body %d came as %q", i, got[i].Body)
			}
		}
	})
}

// What a sidecar writes, the other side's machine reads as it was.
func TestPassedOnUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, body := message(t, "POST /pay?q=1 HTTP/1.1")
		in, err := feed(&Parser{}, text)
		if err != nil {
			t.Fatal(err)
		}
		out, err := feed(&Parser{}, RequestHead(in[0], 1500*time.Millisecond, Field{}), in[0].Body)
		if err != nil || out[0].StartLine != in[0].StartLine || !bytes.Equal(out[0].Body, body) ||
			out[0].Header.Get(headerTimeLeft) != "1500" || out[0].Header.Get(headerFacts) != "a=1,b=2" {
			t.Fatalf("%v %+v", err, out)
		}
		in[0].StartLine = rapid.SampledFrom([][3]string{{"HTTP/1.1", "200", "OK"}, {"HTTP/1.1", "418", "I'm a teapot"}}).Draw(t, "start")
		answer, err := feed(&Parser{Responses: true}, ResponseHead(in[0], true), in[0].Body)
		if err != nil || answer[0].StartLine != in[0].StartLine || !answer[0].Close || !bytes.Equal(answer[0].Body, body) {
			t.Fatalf("%v %+v", err, answer)
		}
	})
}

// Garbage, alone or inside a valid message, ends in an error or a message, with no panic and no heap of bytes kept.
func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Parser{Responses: rapid.Bool().Draw(t, "answers")}
		text := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "spoilt") {
			text, _ = message(t, "GET / HTTP/1.1")
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			text[at] = rapid.Byte().Draw(t, "byte")
		}
		messages, _ := feed(&m, cuts(t, text)...)
		for _, msg := range messages {
			ReadRequestMeta(msg, classes)
			msg.LoadReport([]string{"q", "busy"})
		}
		ParseLoadReport(string(text), []string{"q"})
		if _, err := ReadEndpointList(text); err == nil {
			t.Fatalf("%q is an endpoint list", text)
		}
		if cap(m.buf) > 4*MaxHeadBytes {
			t.Fatalf("%d bytes kept", cap(m.buf))
		}
	})
}

// A request that a route has led somewhere is of the class that it states, that of the route, or the first that takes it.
func TestReadRouted(t *testing.T) {
	get := func(method string, fields ...string) *Message {
		m := &Message{StartLine: [3]string{method, "/x", "HTTP/1.1"}, Header: textproto.MIMEHeader{}}
		for i := 0; i < len(fields); i += 2 {
			m.Header.Add(fields[i], fields[i+1])
		}
		return m
	}
	for _, c := range []struct {
		m      *Message
		as     string
		class  int
		status int
		allow  string
	}{
		{get("GET"), "", 0, 0, ""},
		{get("POST"), "", 1, 0, ""},
		{get("POST"), "pay", 1, 0, ""},
		{get("POST", headerClass, "pay"), "look", 1, 0, ""},
		{get("GET", headerClass, "pay"), "look", 0, 405, "POST"},
		{get("PUT"), "", 0, 405, "GET, POST"},
		{get("GET", headerClass, "odd"), "", 0, 400, ""},
		{get("GET", headerClass, "look", headerClass, "look"), "", 0, 400, ""},
		{get("GET", headerID, "1", headerID, "1"), "", 0, 400, ""},
		{get("GET", headerTimeLeft, "x"), "", 0, 400, ""},
	} {
		op, err := ReadRoutedRequestMeta(c.m, classes, c.as)
		var e *Error
		if errors.As(err, &e); e == nil {
			e = &Error{}
		}
		if e.Status != c.status || e.Allow != c.allow || err == nil && (op.Class != c.class || op.TimeLeft != classes[c.class].Deadline) {
			t.Errorf("%v: %+v, %v", c, op, err)
		}
	}
}

var classes = []Class{{Name: "look", Methods: []string{"GET"}, Deadline: 6 * time.Second},
	{Name: "pay", Methods: []string{"POST"}, Deadline: 3 * time.Second},
	{Name: "cut", Methods: []string{"POST"}, Deadline: 3 * time.Second, Keyed: true}}

// status reads one request and returns the status of its refusal, or 200.
func status(text string) int {
	got, err := feed(&Parser{}, []byte(text))
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

func TestBadInput(t *testing.T) {
	const fine = "Host: h\r\nX-Correlation-Id: 1\r\n"
	for _, c := range []struct {
		want int
		text string
	}{
		{200, "GET /look HTTP/1.1\r\n" + fine + "\r\n"},
		{200, "\r\nGET /look/a?b HTTP/1.1\r\n" + fine + "X-Time-Left-Ms: 0\r\nX-Weight-Hint: 2.5\r\nX-Repeat: 1\r\n\r\n"},
		{200, "POST /pay HTTP/1.1\r\n" + fine + "X-Service-Class: pay\r\nContent-Length: 1\r\n\r\nx"},
		{200, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: 5c0f\r\n\r\n"},
		{200, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: " + strings.Repeat("a", 256) + "\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key:\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: a\tb\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: a\x01b\r\n\r\n"},
		{400, "POST /cut HTTP/1.1\r\n" + fine + "Idempotency-Key: " + strings.Repeat("a", 257) + "\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Idempotency-Key: a\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "Idempotency-Key: a\r\n\r\n"},
		{0, "GET /look HTTP/1.1\r\n" + fine},
		{400, "GET /look\r\n" + fine + "\r\n"},
		{400, "GET /look HTTP/2.0\r\n" + fine + "\r\n"},
		{400, "GET /look HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "no colon\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "Space : 1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "A: 1\r\n folded\r\n\r\n"},
		{400, "GET /look HTTP/1.1\n" + fine + "\r\n"},
		{400, "GET /look HTTP/1.1\r\nHost: h\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Service-Class: none\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Service-Class: pay\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Time-Left-Ms: soon\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Time-Left-Ms: -1\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Weight-Hint: NaN\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Repeat: maybe\r\n\r\n"},
		{400, "GET /look HTTP/1.1\r\n" + fine + "X-Facts: a=1,b\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Content-Length: +1\r\n\r\nx"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Transfer-Encoding: chunked\r\n\r\nz\r\n"},
		{400, "POST /pay HTTP/1.1\r\n" + fine + "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n"},
		{404, "GET /none HTTP/1.1\r\n" + fine + "\r\n"},
		{404, "GET / HTTP/1.1\r\n" + fine + "\r\n"},
		{405, "POST /look HTTP/1.1\r\n" + fine + "\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + fine + "Content-Length: 65537\r\n\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + fine + "Content-Length: 99999999999999999999\r\n\r\n"},
		{413, "POST /pay HTTP/1.1\r\n" + fine + "Transfer-Encoding: chunked\r\n\r\n10001\r\n"},
		{431, "GET /look HTTP/1.1\r\n" + fine + "A: " + strings.Repeat("a", MaxHeadBytes) + "\r\n\r\n"},
		{501, "POST /pay HTTP/1.1\r\n" + fine + "Transfer-Encoding: gzip\r\n\r\n"},
	} {
		if got := status(c.text); got != c.want {
			t.Errorf("%d, want %d: %.120q", got, c.want, c.text)
		}
	}
}

func TestFigures(t *testing.T) {
	got, _ := feed(&Parser{}, []byte("POST /pay HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nX-Weight-Hint: 250000\r\n"+
		"X-Repeat: 1\r\n\r\n"))
	op, err := ReadRequestMeta(got[0], classes)
	if want := (RequestMeta{Class: 1, ID: "1", TimeLeft: 3 * time.Second, CostHint: 0.25, ClientRetry: true}); err != nil || op != want {
		t.Errorf("%+v, %v; without a time left the class's deadline holds", op, err)
	}
}

// Reports come in the protocol's words and in those of the settings.
func TestLoadReport(t *testing.T) {
	for _, text := range []string{"inflight=7,queue=2,util=0.5,qps=9", "q=2,rif=7,rate=9,busy=0.5"} {
		load := ParseLoadReport(text, []string{"q", "rif", "rate", "busy"})
		if !slices.Equal(load, []float32{2, 7, 9, 0.5}) {
			t.Errorf("%s read as %v", text, load)
		}
	}
	for _, bad := range []string{"", "queue=2", "queue=x,util=1", "queue=NaN,util=1", "queue"} {
		if load := ParseLoadReport(bad, []string{"q", "busy"}); load != nil {
			t.Errorf("%q read as %v", bad, load)
		}
	}
}

func TestEndpointList(t *testing.T) {
	entry := `{"name":"s","address":"10.1.0.18:7070","zone":"a","type":"m2","group":3,"status":"Ready","weight":1.0,"since_ms":5}`
	list, err := ReadEndpointList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entry + `]}`))
	want := Endpoint{"s", "10.1.0.18:7070", "a", "m2", 3, Ready, 1, 5}
	if err != nil || list.Index != 41 || !list.Snapshot || len(list.Endpoints) != 1 || list.Endpoints[0] != want {
		t.Errorf("%+v, %v", list, err)
	}
	for _, bad := range []string{"", "[]", `{"endpoints":[]}`, `{"index":1,"endpoints":[{"name":"s","status":"Odd"}]}`,
		`{"index":1,"endpoints":[{"name":"","address":"10.1.0.18:1","status":"Ready"}]}`,
		`{"index":1,"endpoints":[{"name":"s","address":"nowhere","status":"Ready"}]}`} {
		if _, err := ReadEndpointList([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// An answer without a length ends with its connection; nothing else does.
func TestEnd(t *testing.T) {
	m := Parser{Responses: true}
	feed(&m, []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end"))
	if msg, err := m.End(); err != nil || string(msg.Body) != "to the end" || !msg.Close {
		t.Errorf("%+v, %v", msg, err)
	}
	feed(&m, []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncut"))
	if _, err := m.End(); err == nil {
		t.Error("a cut answer counts as whole")
	}
}
