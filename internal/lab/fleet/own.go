package fleet

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"time"

	"kitewood/internal/lab/ledger"
)

// violationMessage is in the log line that a sidecar writes when one of its own invariant checks fails; see package guard.
const violationMessage = `msg="invariant violated"`

// maxLogLine is the longest accepted line of a sidecar's log, in bytes.
const maxLogLine = 1 << 20

// loggedViolations reads the invariant violations that the sidecars of a run have logged, as ledger entries. The entries carry
// the time of the run's end.
func loggedViolations(dir string, end time.Duration) ([]ledger.Entry, error) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	var out []ledger.Entry
	for _, path := range logs {
		lines, err := linesContaining(path, violationMessage)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			out = append(out, ledger.Entry{At: end, Kind: ledger.OwnCheckFailed, Sidecar: strings.TrimSuffix(filepath.Base(path), ".log"), Note: line})
		}
	}
	return out, nil
}

// linesContaining returns the lines of a file that contain a text.
func linesContaining(path, text string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []string
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		if strings.Contains(in.Text(), text) {
			out = append(out, in.Text())
		}
	}
	return out, in.Err()
}
