// Package chain carries what one client's operation may still cost down a chain of services: the time, the repeats and the
// worth that are left, and the services that it has passed. Services pass a header on with each call that they make for a
// request; the sidecar before each of them reads the word, keeps its part and writes what is left for the next. The package
// knows no socket and no clock.
package chain

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Word is what travels with an operation, as key=value pairs between semicolons: left=1200;repeats=2;worth=3;token=1f;via=a,b.
type Header struct {
	TimeLeft time.Duration // until nobody waits for the answer, from when the word was written
	Retries  int           // that all tiers below may make together
	Utility  float64       // of the answer against others; 0 for not known
	Token    string        // names the attempt that it was written for: all calls that are made for it share its repeats
	Via      []string      // the services that the operation has passed, the first one first
}

// Bounds of what is taken for a word at all.
const (
	maxText    = 1024
	maxVia     = 64
	maxRepeats = 1000
	maxLeft    = 24 * time.Hour
)

// String is the word's text.
func (w Header) String() string {
	return fmt.Sprintf("left=%d;repeats=%d;worth=%s;token=%s;via=%s", max(w.TimeLeft.Milliseconds(), 0), w.Retries,
		strconv.FormatFloat(w.Utility, 'g', -1, 64), w.Token, strings.Join(w.Via, ","))
}

// errWord says that a text is no word.
var errWord = errors.New("malformed chain word")

// Parse reads a word. Keys that it does not know are passed over, as a newer version may write them; those that it knows
// are all needed, once each.
func Parse(text string) (w Header, err error) {
	if len(text) > maxText {
		return Header{}, fmt.Errorf("%w: over %d bytes", errWord, maxText)
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(text, ";") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[key] {
			return Header{}, fmt.Errorf("%w: %q stands twice", errWord, key)
		}
		ok := true
		switch key {
		case "left":
			var ms uint64
			ms, err = strconv.ParseUint(value, 10, 53)
			w.TimeLeft = min(time.Duration(min(ms, uint64(maxLeft/time.Millisecond)))*time.Millisecond, maxLeft)
		case "repeats":
			w.Retries, err = strconv.Atoi(value)
			ok = w.Retries >= 0 && w.Retries <= maxRepeats
		case "worth":
			w.Utility, err = strconv.ParseFloat(value, 64)
			ok = w.Utility >= 0 && w.Utility <= 1e9
		case "token":
			w.Token, ok = value, value != ""
		case "via":
			w.Via = strings.Split(value, ",")
			ok = len(w.Via) <= maxVia && !slices.Contains(w.Via, "")
		}
		if err != nil || !ok {
			return Header{}, fmt.Errorf("%w: %s=%q", errWord, key, value)
		}
		seen[key] = true
	}
	for _, key := range []string{"left", "repeats", "worth", "token", "via"} {
		if !seen[key] {
			return Header{}, fmt.Errorf("%w: no %s", errWord, key)
		}
	}
	return w, nil
}
