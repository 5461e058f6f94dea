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

// traceFormat identifies the format of a trace, in its first line.
const traceFormat = "kitewood-trace/1"

// Item is one request of a trace and its intended time.
type Item struct {
	AtMS    float64           `json:"at_ms"` // since the start of the trace
	Method  string            `json:"method"`
	Target  string            `json:"target"` // path and query
	Headers map[string]string `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"` // base64 in the file
}

// At returns the intended time of the request, since the start of the trace.
func (i Item) At() time.Duration { return time.Duration(i.AtMS * float64(time.Millisecond)) }

// Tracer writes a trace. It is safe for concurrent use.
type Tracer struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	count int
}

// NewTracer starts a trace and writes its first line.
func NewTracer(w io.Writer, start time.Time) (*Tracer, error) {
	t := &Tracer{start: start, out: bufio.NewWriter(w)}
	_, err := fmt.Fprintf(t.out, "{\"format\":%q,\"started\":%q}\n", traceFormat, start.UTC().Format(time.RFC3339Nano))
	return t, err
}

// Add writes a request with the time at which it was received or intended to be sent.
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

// Close flushes the trace and returns the number of its requests.
func (t *Tracer) Close() (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count, t.out.Flush()
}

// ReadTrace reads a whole trace. The returned requests are in order of time. Errors name the line.
func ReadTrace(r io.Reader) ([]Item, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), 4<<20)
	var items []Item
	for n := 1; in.Scan(); n++ {
		line := bytes.TrimSpace(in.Bytes())
		if n == 1 {
			var head struct{ Format string }
			if err := json.Unmarshal(line, &head); err != nil || head.Format != traceFormat {
				return nil, fmt.Errorf("line 1: not a trace: want {\"format\":%q}", traceFormat)
			}
			continue
		}
		if len(line) == 0 {
			continue
		}
		var item Item
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&item); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		switch {
		case item.Method == "" || item.Target == "" || item.Target[0] != '/':
			return nil, fmt.Errorf("line %d: a request requires a method and a target that starts with /", n)
		case item.AtMS < 0 || len(items) > 0 && item.AtMS < items[len(items)-1].AtMS:
			// A Tracer's callers take the time before they wait for its lock, so neighboring lines may be out of order.
			if item.AtMS < 0 || items[len(items)-1].AtMS-item.AtMS > 1000 {
				return nil, fmt.Errorf("line %d: at_ms %g is before the previous line", n, item.AtMS)
			}
			item.AtMS = items[len(items)-1].AtMS
		}
		items = append(items, item)
	}
	if err := in.Err(); err != nil {
		return nil, err
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("the trace contains no requests")
	}
	return items, nil
}
