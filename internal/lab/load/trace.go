package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// traceFormat names the format of a trace, in its first line.
const traceFormat = "kitewood-trace/1"

// Item is one request of a trace: what goes out, and when it is meant to.
type Item struct {
	AtMS    float64           `json:"at_ms"` // since the start of the trace
	Method  string            `json:"method"`
	Target  string            `json:"target"` // path and query
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"` // base64 in the file
}

// At is when the request is meant to go out.
func (i Item) At() time.Duration { return time.Duration(i.AtMS * float64(time.Millisecond)) }

// Tracer writes a trace; it may be written to from anywhere.
type Tracer struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	count int
}

// NewTracer begins a trace with its first line.
func NewTracer(w io.Writer, start time.Time) (*Tracer, error) {
	t := &Tracer{start: start, out: bufio.NewWriter(w)}
	_, err := fmt.Fprintf(t.out, "{\"format\":%q,\"started\":%q}\n", traceFormat, start.UTC().Format(time.RFC3339Nano))
	return t, err
}

// Add writes a request that came or was meant to go out at a time.
func (t *Tracer) Add(at time.Time, i Item) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	i.AtMS = float64(at.Sub(t.start).Microseconds()) / 1000
	text, err := json.Marshal(i)
	if err != nil {
		return err
	}
	t.count++
	_, err = t.out.Write(append(text, '\n'))
	return err
}

// Close writes out what is left and tells how many requests there are.
func (t *Tracer) Close() (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count, t.out.Flush()
}

// ReadTrace reads a trace whole. Requests stand in order of time, with errors by line.
func ReadTrace(r io.Reader) ([]Item, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), 4<<20)
	var items []Item
	for n := 1; in.Scan(); n++ {
		line := bytes.TrimSpace(in.Bytes())
		if n == 1 {
			var head struct{ Format string }
			if err := json.Unmarshal(line, &head); err != nil || head.Format != traceFormat {
				return nil, fmt.Errorf("line 1: not a trace: {\"format\":%q} is wanted", traceFormat)
			}
			continue
		}
		if len(line) == 0 {
			continue
		}
		var i Item
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&i); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		switch {
		case i.Method == "" || i.Target == "" || i.Target[0] != '/':
			return nil, fmt.Errorf("line %d: a request has a method and a target that begins with /", n)
		case i.AtMS < 0 || len(items) > 0 && i.AtMS < items[len(items)-1].AtMS:
			// A recorder stamps before it queues for the file: neighbours may stand the other way round.
			if i.AtMS < 0 || items[len(items)-1].AtMS-i.AtMS > 1000 {
				return nil, fmt.Errorf("line %d: at_ms %g is before the line above", n, i.AtMS)
			}
			i.AtMS = items[len(items)-1].AtMS
		}
		items = append(items, i)
	}
	if err := in.Err(); err != nil {
		return nil, err
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("the trace holds no request")
	}
	return items, nil
}
