package protocol

import (
	"bytes"
	"fmt"
)

// maxListBytes is the maximum size of one endpoint list in a watch.
const maxListBytes = 4 << 20

// ListReader splits the body of a watch, fed in pieces of any size, into endpoint lists. A list ends with its closing
// bracket rather than at the end of a line, because it may be indented over several lines. White space between lists is
// the heartbeat of the watch.
type ListReader struct {
	OnList func([]byte) error // receives the text of each list; an error stops the reader
	Err    error              // why the reader stopped; nil while it runs

	buf      []byte // the incomplete list
	depth    int    // open brackets
	inString bool   // inside a JSON string
	escaped  bool   // the previous byte was a backslash inside a string
}

// Partial reports whether an incomplete list has been read.
func (r *ListReader) Partial() bool { return len(r.buf) > 0 }

// Feed reads the next piece of the body.
func (r *ListReader) Feed(p []byte) {
	for len(p) > 0 && r.Err == nil {
		if len(r.buf) == 0 {
			if p = bytes.TrimLeft(p, " \t\r\n"); len(p) == 0 {
				return
			}
			if p[0] != '{' {
				r.Err = fmt.Errorf("endpoint list begins with %q, want '{'", p[0])
				return
			}
		}
		n := r.listEnd(p)
		complete := n > 0
		if !complete {
			n = len(p)
		}
		if len(r.buf)+n > maxListBytes {
			r.Err = fmt.Errorf("endpoint list exceeds %d bytes", maxListBytes)
			return
		}
		r.buf, p = append(r.buf, p[:n]...), p[n:]
		if complete {
			r.Err = r.OnList(r.buf)
			r.buf = r.buf[:0]
		}
	}
}

// listEnd returns the offset in p just past the end of the current list, or 0 if the list continues after p.
func (r *ListReader) listEnd(p []byte) int {
	for i, c := range p {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped, r.inString = c == '\\', c != '"'
		case c == '"':
			r.inString = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			if r.depth--; r.depth == 0 {
				return i + 1
			}
		}
	}
	return 0
}
