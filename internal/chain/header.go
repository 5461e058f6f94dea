// Package chain limits what one client request may cost along a chain of services. A header field carries the remaining
// time and retries, the utility of the response, and the services that the request has passed. Services copy the field to
// each call that they make for a request; the sidecar in front of each service parses it, keeps its own part of the budget
// and writes the rest for the next tier. The package does no I/O and does not read the clock.
package chain

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Header is the chain state that travels with a request. Its text consists of key=value pairs separated by semicolons:
// left=1200;repeats=2;worth=3;token=1f;via=a,b, where left is in milliseconds.
type Header struct {
	TimeLeft time.Duration // until no caller waits for the response, counted from when the header was written
	Retries  int           // that all tiers below may make in total
	Utility  float64       // of the response, relative to others; 0 if unknown
	Token    string        // identifies the attempt the header was written for; all calls made on its behalf share its retries
	Via      []string      // the services that the request has passed, in order
}

// Limits on the values that Parse accepts.
const (
	maxHeaderBytes = 1024
	maxViaServices = 64
	maxRetries     = 1000
	maxTimeLeft    = 24 * time.Hour
)

// String returns the text of the header.
func (h Header) String() string {
	return fmt.Sprintf("left=%d;repeats=%d;worth=%s;token=%s;via=%s", max(h.TimeLeft.Milliseconds(), 0), h.Retries,
		strconv.FormatFloat(h.Utility, 'g', -1, 64), h.Token, strings.Join(h.Via, ","))
}

// errMalformed is wrapped by all errors of Parse.
var errMalformed = errors.New("malformed chain word")

// Parse parses the text of a Header. All known keys are required, and no key may occur twice. Unknown keys are ignored,
// because a newer version may write them.
func Parse(text string) (h Header, err error) {
	if len(text) > maxHeaderBytes {
		return Header{}, fmt.Errorf("%w: over %d bytes", errMalformed, maxHeaderBytes)
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(text, ";") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[key] {
			return Header{}, fmt.Errorf("%w: %q stands twice", errMalformed, key)
		}
		ok := true
		switch key {
		case "left":
			var ms uint64
			ms, err = strconv.ParseUint(value, 10, 53)
			h.TimeLeft = min(time.Duration(min(ms, uint64(maxTimeLeft/time.Millisecond)))*time.Millisecond, maxTimeLeft)
		case "repeats":
			h.Retries, err = strconv.Atoi(value)
			ok = h.Retries >= 0 && h.Retries <= maxRetries
		case "worth":
			h.Utility, err = strconv.ParseFloat(value, 64)
			ok = h.Utility >= 0 && h.Utility <= 1e9
		case "token":
			h.Token, ok = value, value != ""
		case "via":
			h.Via = strings.Split(value, ",")
			ok = len(h.Via) <= maxViaServices && !slices.Contains(h.Via, "")
		}
		if err != nil || !ok {
			return Header{}, fmt.Errorf("%w: %s=%q", errMalformed, key, value)
		}
		seen[key] = true
	}
	for _, key := range []string{"left", "repeats", "worth", "token", "via"} {
		if !seen[key] {
			return Header{}, fmt.Errorf("%w: no %s", errMalformed, key)
		}
	}
	return h, nil
}
