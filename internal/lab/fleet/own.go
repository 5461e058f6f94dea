package fleet

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"time"

	"kitewood/internal/lab/ledger"
)

// violationMessage is how a sidecar logs that its own check has counted a violation; see package guard.
const violationMessage = `msg="invariant violated"`

// maxLogLine bounds a line of a sidecar's log, in bytes.
const maxLogLine = 1 << 20

// ownViolations reads the sidecars' logs of a run for what they have counted themselves. The entries stand at the run's end.
func loggedViolations(dir string, took time.Duration) ([]ledger.Entry, error) {
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
			out = append(out, ledger.Entry{At: took, Kind: ledger.OwnCheckFailed, Sidecar: strings.TrimSuffix(filepath.Base(path), ".log"), Note: line})
		}
	}
	return out, nil
}

// linesWith are the lines of a file that hold a text.
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
