package emulator

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	"kitewood/internal/lab/model"
)

// answer is what an instance says to an attempt.
type answer struct {
	outcome model.Outcome
	spoil   model.Corruption
	status  int
	body    string
	load    string // the report as it is sent; empty for none
	fields  string // further header lines
}

// text is the answer as it goes out, where it comes whole; the spoilt kinds that trickle are written by trickle.
func (a answer) text() []byte {
	var b bytes.Buffer
	reason := map[int]string{200: "OK", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout", 400: "Bad Request",
		404: "Not Found", 508: "Loop Detected"}[a.status]
	length := len(a.body)
	load := a.load
	switch a.spoil {
	case model.Garbage:
		return []byte(strings.Repeat("\x00\x07~noise~", 40))
	case model.MalformedHead:
		return []byte("HTTP/1.1 2x0 maybe\r\n: :\r\n\r\n")
	case model.OverlongLength:
		length += 50
	case model.HugeLength:
		length = 3 << 30
	case model.MalformedReport:
		load = "inflight=many,,=,"
	case model.InterimResponse:
		b.WriteString("HTTP/1.1 102 Processing\r\n\r\n")
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", a.status, reason)
	if a.outcome == model.Rejected {
		b.WriteString("X-Unprocessed: 1\r\n")
	}
	b.WriteString(a.fields)
	if load != "" {
		fmt.Fprintf(&b, "X-Backend-Load: %s\r\n", load)
	}
	if a.spoil == model.EndlessHead {
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", length, a.body)
	switch a.spoil {
	case model.DuplicateResponse:
		b.Write(bytes.Clone(b.Bytes()))
	case model.TrailingGarbage:
		b.WriteString("~noise~")
	}
	return b.Bytes()
}

// trickles tells whether an answer keeps coming after its text.
func (a answer) trickles() bool { return a.spoil == model.EndlessHead || a.spoil == model.HugeLength }

// trickle writes on, for a bounded time, until the other side has enough.
func (a answer) trickle(w io.Writer) {
	more := []byte(strings.Repeat("X-Filler: "+strings.Repeat("n", 100)+"\r\n", 10))
	for range 200 {
		if _, err := w.Write(more); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
