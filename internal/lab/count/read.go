// Package count aggregates what the sidecars of a fleet did together, from the lines that they log at debug level. Behavior
// that is harmless in one sidecar may do harm when all sidecars show it, which only the totals reveal.
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

// Attempt is one attempt of one sidecar. Its times count from the first log line of the fleet.
type Attempt struct {
	Sidecar, Tier, Class, Number int
	Endpoint, Status             string
	SentAt, EndedAt              time.Duration
	Age                          time.Duration // of the endpoint when the attempt was sent; 0 if it started long ago
	OpenedConnection             bool          // a new connection was opened for the attempt
}

// Answer is one final answer of one sidecar. ReceivedAt is when the sidecar received the request.
type Answer struct {
	Tier        int
	Verdict     string
	ClientRetry bool
	ReceivedAt  time.Duration
}

// DiscoveryEvent is a call to discovery, or the end of a watch if WatchEnded is set.
type DiscoveryEvent struct {
	Tier       int
	At         time.Duration
	WatchEnded bool
}

// Fleet holds what the sidecars of a fleet logged.
type Fleet struct {
	Sidecars        map[int]int // by tier
	Attempts        []Attempt   // by the time they were sent
	Answers         []Answer
	DiscoveryEvents []DiscoveryEvent
}

// Read reads the logs of a folder, one file for each sidecar; their times must be of the same clock. It fails if there is no
// log, if one cannot be parsed (the error names file and line), and if none holds lines of debug level.
func Read(dir string) (*Fleet, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no sidecar logs (*.log) in %s", dir)
	}
	f := &Fleet{Sidecars: map[int]int{}}
	start := time.Duration(1<<63 - 1)
	for n, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		first, err := f.addLog(n, file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		start = min(start, first)
	}
	if len(f.Attempts)+len(f.Answers) == 0 {
		return nil, errors.New("the logs contain no attempts: start the sidecars with --log-level debug")
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

// addLog adds one sidecar's log and returns the time of its first line. Lines with other messages are skipped.
func (f *Fleet) addLog(sidecar int, text io.Reader) (first time.Duration, err error) {
	first = 1<<63 - 1
	lines := logfmt.NewDecoder(text)
	tier := -1
	for n := 1; lines.ScanRecord(); n++ {
		rec := record{}
		for lines.ScanKeyval() {
			rec[string(lines.Key())] = string(lines.Value())
		}
		if lines.Err() != nil {
			break
		}
		r := recordReader{record: rec}
		at := r.timestamp()
		switch rec["msg"] {
		case "serving":
			tier = r.intValue("tier")
			f.Sidecars[tier]++
		case "attempt":
			took := r.durationValue("took")
			f.Attempts = append(f.Attempts, Attempt{Sidecar: sidecar, Tier: tier, Class: r.intValue("class"),
				Number: r.intValue("attempt"), Endpoint: rec["destination"], Status: rec["status"], SentAt: at - took, EndedAt: at,
				Age: max(r.durationValue("age")-took, 0), OpenedConnection: rec["opened"] == "true"})
		case "answer":
			f.Answers = append(f.Answers, Answer{Tier: tier, Verdict: rec["verdict"], ClientRetry: rec["repeat"] == "true",
				ReceivedAt: at - r.durationValue("took")})
		case discoveryCallMsg, watchEndedMsg:
			f.DiscoveryEvents = append(f.DiscoveryEvents, DiscoveryEvent{Tier: tier, At: at, WatchEnded: rec["msg"] == watchEndedMsg})
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

// Messages that a sidecar logs about its calls to discovery.
const (
	discoveryCallMsg = "discovery is asked"
	watchEndedMsg    = "the watch of discovery has ended"
)

// record holds the values of one log line by key.
type record map[string]string

// recordReader parses the values of a record and keeps the first error.
type recordReader struct {
	record
	err error
}

func (r *recordReader) setErr(key string, err error) {
	if r.err == nil && err != nil {
		r.err = fmt.Errorf("%s: %w", key, err)
	}
}

func (r *recordReader) intValue(key string) int {
	n, err := strconv.Atoi(r.record[key])
	r.setErr(key, err)
	return n
}

func (r *recordReader) durationValue(key string) time.Duration {
	d, err := time.ParseDuration(r.record[key])
	r.setErr(key, err)
	return d
}

// timestamp returns the time of a line, or 0 for a line without one, such as a line of a panic's stack trace.
func (r *recordReader) timestamp() time.Duration {
	if r.record["time"] == "" {
		return 0
	}
	t, err := time.Parse(time.RFC3339Nano, r.record["time"])
	r.setErr("time", err)
	return time.Duration(t.UnixNano())
}
