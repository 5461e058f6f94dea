package emulator

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	"kitewood/internal/lab/model"
)

// response is an instance's response to an attempt.
type response struct {
	outcome      model.Outcome
	fault        model.Corruption
	status       int
	body         string
	loadReport   string // value of the load report header; empty for none
	extraHeaders string // further header lines
}

// encode returns the bytes of the response. An endless response continues with sendFiller.
func (r response) encode() []byte {
	var b bytes.Buffer
	reason := map[int]string{200: "OK", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout", 400: "Bad Request",
		404: "Not Found", 508: "Loop Detected"}[r.status]
	length := len(r.body)
	loadReport := r.loadReport
	switch r.fault {
	case model.Garbage:
		return []byte(strings.Repeat("\x00\x07~noise~", 40))
	case model.MalformedHead:
		return []byte("HTTP/1.1 2x0 maybe\r\n: :\r\n\r\n")
	case model.OverlongLength:
		length += 50
	case model.HugeLength:
		length = 3 << 30
	case model.MalformedReport:
		loadReport = "inflight=many,,=,"
	case model.InterimResponse:
		b.WriteString("HTTP/1.1 102 Processing\r\n\r\n")
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", r.status, reason)
	if r.outcome == model.Rejected {
		b.WriteString("X-Unprocessed: 1\r\n")
	}
	b.WriteString(r.extraHeaders)
	if loadReport != "" {
		fmt.Fprintf(&b, "X-Backend-Load: %s\r\n", loadReport)
	}
	if r.fault == model.EndlessHead {
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", length, r.body)
	switch r.fault {
	case model.DuplicateResponse:
		b.Write(bytes.Clone(b.Bytes()))
	case model.TrailingGarbage:
		b.WriteString("~noise~")
	}
	return b.Bytes()
}

// endless reports whether the response continues after its encoded bytes.
func (r response) endless() bool { return r.fault == model.EndlessHead || r.fault == model.HugeLength }

// sendFiller writes filler, for a bounded time, until the peer closes the connection.
func (r response) sendFiller(w io.Writer) {
	filler := []byte(strings.Repeat("X-Filler: "+strings.Repeat("n", 100)+"\r\n", 10))
	for range 200 {
		if _, err := w.Write(filler); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
