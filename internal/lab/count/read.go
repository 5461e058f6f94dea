// Package count adds up what the sidecars of a fleet did together, from the lines that they log at debug level. What one
// sidecar does may be fine alone and hurt when all do it: only the sum shows that.
package count

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Attempt is one attempt of one sidecar. Its times count from the fleet's first line.
type Attempt struct {
	Sidecar, Tier, Class, Number int
	Endpoint, Status             string
	SentAt, EndedAt              time.Duration
	Age                          time.Duration // of the destination when it was sent; 0 for long ago
	OpenedConnection             bool          // a connection was opened for it
}

// Answer is one final answer of one sidecar.
type Answer struct {
	Tier        int
	Verdict     string
	ClientRetry bool
	ReceivedAt  time.Duration
}

// Call is a question to discovery, or the end of a watch.
type DiscoveryEvent struct {
	Tier       int
	At         time.Duration
	WatchEnded bool
}

// Fleet is what the sidecars of a fleet logged.
type Fleet struct {
	Sidecars        map[int]int // by tier
	Attempts        []Attempt   // by the time they were sent
	Answers         []Answer
	DiscoveryEvents []DiscoveryEvent
}

// Read reads the logs of a folder, one file for each sidecar; all are of one clock. It fails where there is none, where
// one cannot be read (with file and line), and where none is of debug level.
func Read(dir string) (*Fleet, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s holds no sidecar's log (*.log)", dir)
	}
	f := &Fleet{Sidecars: map[int]int{}}
	start := time.Duration(1<<63 - 1)
	for n, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		first, err := f.add(n, file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		start = min(start, first)
	}
	if len(f.Attempts)+len(f.Answers) == 0 {
		return nil, errors.New("the logs name no attempts: start the sidecars with --log-level debug")
	}
	for i := range f.Attempts {
		f.Attempts[i].SentAt -= start
		f.Attempts[i].EndedAt -= start
	}
	for i := range f.Answers {
		f.Answers[i].ReceivedAt -= start
	}
	for i := range f.DiscoveryEvents {
		f.DiscoveryEvents[i].At -= start
	}
	slices.SortStableFunc(f.Attempts, func(x, y Attempt) int { return int(x.SentAt - y.SentAt) })
	return f, nil
}

// add takes one sidecar's log, and returns the time of its first line. Lines of other messages are passed over.
func (f *Fleet) add(sidecar int, text io.Reader) (first time.Duration, err error) {
	first = 1<<63 - 1
	lines := logfmt.NewDecoder(text)
	tier := -1
	for n := 1; lines.ScanRecord(); n++ {
		l := line{}
		for lines.ScanKeyval() {
			l[string(lines.Key())] = string(lines.Value())
		}
		if lines.Err() != nil {
			break
		}
		r := reader{line: l}
		at := r.clock()
		switch l["msg"] {
		case "serving":
			tier = r.number("tier")
			f.Sidecars[tier]++
		case "attempt":
			took := r.span("took")
			f.Attempts = append(f.Attempts, Attempt{Sidecar: sidecar, Tier: tier, Class: r.number("class"),
				Number: r.number("attempt"), Endpoint: l["destination"], Status: l["status"], SentAt: at - took, EndedAt: at,
				Age: max(r.span("age")-took, 0), OpenedConnection: l["opened"] == "true"})
		case "answer":
			f.Answers = append(f.Answers, Answer{Tier: tier, Verdict: l["verdict"], ClientRetry: l["repeat"] == "true",
				ReceivedAt: at - r.span("took")})
		case askedMsg, lostMsg:
			f.DiscoveryEvents = append(f.DiscoveryEvents, DiscoveryEvent{Tier: tier, At: at, WatchEnded: l["msg"] == lostMsg})
		}
		if r.err != nil {
			return first, fmt.Errorf("line %d: %w", n, r.err)
		}
		if at > 0 {
			first = min(first, at)
		}
	}
	return first, lines.Err()
}

// The sidecar's words for its calls to discovery.
const (
	askedMsg = "discovery is asked"
	lostMsg  = "the watch of discovery has ended"
)

type line map[string]string

// reader reads a line's values and keeps the first error.
type reader struct {
	line
	err error
}

func (r *reader) fail(key string, err error) {
	if r.err == nil && err != nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
}

func (r *reader) number(key string) int {
	n, err := strconv.Atoi(r.line[key])
	r.fail(key, err)
	return n
}

func (r *reader) span(key string) time.Duration {
	d, err := time.ParseDuration(r.line[key])
	r.fail(key, err)
	return d
}

// clock is a line's time, 0 for a line that has none: a stack of a panic, say.
func (r *reader) clock() time.Duration {
	if r.line["time"] == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339Nano, r.line["time"])
	r.fail("time", err)
	return time.Duration(t.UnixNano())
}
