package protocol

import (
	"bytes"
	"fmt"
)

// maxList bounds one endpoint list of a watch, in bytes.
const maxList = 4 << 20

// ListReader cuts the body of a watch into endpoint lists, whatever pieces it comes in. One ends with its last bracket, not
// with its line: a list may come indented, over many lines. What stands between them is white space, the watch's beat.
type ListReader struct {
	OnList func([]byte) error // takes the text of one; its error ends the reading
	Err    error              // what ended it

	buf     []byte
	depth   int
	text    bool // within a string,
	escaped bool // behind a backslash
}

// Partial tells whether a part of a list has come.
func (r *ListReader) Partial() bool { return len(r.buf) > 0 }

// Add takes the next piece.
func (r *ListReader) Feed(p []byte) {
	for len(p) > 0 && r.Err == nil {
		if len(r.buf) == 0 {
			if p = bytes.TrimLeft(p, " \t\r\n"); len(p) == 0 {
				return
			}
			if p[0] != '{' {
				r.Err = fmt.Errorf("an endpoint list begins with %q", p[0])
				return
			}
		}
		n := r.end(p)
		whole := n > 0
		if !whole {
			n = len(p)
		}
		if len(r.buf)+n > maxList {
			r.Err = fmt.Errorf("an endpoint list is over %d bytes", maxList)
			return
		}
		r.buf, p = append(r.buf, p[:n]...), p[n:]
		if whole {
			r.Err = r.OnList(r.buf)
			r.buf = r.buf[:0]
		}
	}
}

// end is where the endpoint list ends in p, 0 if it does not.
func (r *ListReader) end(p []byte) int {
	for i, c := range p {
		switch {
		case r.escaped:
			r.escaped = false
		case r.text:
			r.escaped, r.text = c == '\\', c != '"'
		case c == '"':
			r.text = true
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
