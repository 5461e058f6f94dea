package protocol

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a watch is cut, and whether its lists stand on one line or come indented, each comes whole; what is white stands
// for a beat. Brackets and quotes inside of words end nothing.
func TestListReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOf(rapid.SliceOf(rapid.StringMatching(`[{}\[\]a-z:"\\\n ]{0,20}`))).Draw(t, "words")
		var want []string
		var text string
		for _, w := range words {
			line, err := json.Marshal(map[string]any{"index": len(w), "endpoints": w})
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "indented") {
				var b bytes.Buffer
				json.Indent(&b, line, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
				line = b.Bytes()
			}
			want = append(want, string(line))
			text += string(line) + rapid.SampledFrom([]string{"\n", "\r\n", "\n\n\r\n \n"}).Draw(t, "end")
		}
		var got []string
		lists := ListReader{OnList: func(b []byte) error { got = append(got, string(b)); return nil }}
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "piece")
			lists.Feed([]byte(text[:n]))
			text = text[n:]
		}
		if !slices.Equal(got, want) || lists.Err != nil {
			t.Fatalf("%q came as %q, %v", want, got, lists.Err)
		}
	})
}

// What is no list ends the reading, and so does one without an end.
func TestListReaderRefuses(t *testing.T) {
	for _, text := range []string{"x", "[]", "{}}", `{"a":1}"`, "{" + strings.Repeat(" ", maxList)} {
		lists := ListReader{OnList: func([]byte) error { return nil }}
		if lists.Feed([]byte(text)); lists.Err == nil {
			t.Errorf("%.20q is taken", text)
		}
	}
}
