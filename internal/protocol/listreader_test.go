package protocol

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Each list of a watch is returned complete, wherever the body is split into pieces and whether lists are on one line or
// indented. White space between lists is ignored, and brackets and quotes inside strings do not end a list.
func TestListReaderSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOf(rapid.SliceOf(rapid.StringMatching(`[{}\[\]a-z:"\\\n ]{0,20}`))).Draw(t, "words")
		var want []string
		var text string
		for _, list := range names {
			line, err := json.Marshal(map[string]any{"index": len(list), "endpoints": list})
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
		reader := ListReader{OnList: func(b []byte) error { got = append(got, string(b)); return nil }}
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "piece")
			reader.Feed([]byte(text[:n]))
			text = text[n:]
		}
		if !slices.Equal(got, want) || reader.Err != nil {
			t.Fatalf("want lists %q, got %q, error %v", want, got, reader.Err)
		}
	})
}

// Input that is not a list stops the reader, and so does a list that exceeds the size limit.
func TestListReaderRejectsMalformedInput(t *testing.T) {
	for _, text := range []string{"x", "[]", "{}}", `{"a":1}"`, "{" + strings.Repeat(" ", maxListBytes)} {
		reader := ListReader{OnList: func([]byte) error { return nil }}
		if reader.Feed([]byte(text)); reader.Err == nil {
			t.Errorf("%.20q: no error", text)
		}
	}
}
