package drill

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"kitewood/internal/lab/emulator"
)

// leftoversDrill interrupts a run while faults are active.
var leftoversDrill = Drill{
	Name:        "leftovers",
	Description: "a run interrupted under load: it ends within 8 s, keeps the recorded entries, and leaves no process and no listener",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		s, err := findScenario("everything")
		if err != nil {
			return nil, err
		}
		compressTimeline(s, 12*time.Second)
		dir, err := makeDir(o, "leftovers")
		if err != nil {
			return nil, err
		}
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		var interrupted time.Time
		time.AfterFunc(6*time.Second, func() { interrupted = time.Now(); cancel() })
		r, err := emulator.Run(runCtx, emulator.Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Dir: dir, Log: o.Log})
		if err != nil {
			return nil, err
		}
		took := time.Since(interrupted)
		out := &Outcome{}
		out.Check("marked as cut short", boolValue(r.CutShort), "1", r.CutShort)
		out.Check("seconds to end", took.Seconds(), "at most 8", took <= 8*time.Second)
		out.Check("entries kept", float64(len(r.Entries)), "above 0", len(r.Entries) > 0)
		processes, err := SidecarProcesses(dir)
		if err != nil {
			return nil, err
		}
		out.Check("processes left", float64(len(processes)), "0", len(processes) == 0)
		listeners, err := countListeners(":1B") // sidecars' and instances' ports are 7000 to 7167, 0x1B58 to 0x1BFF
		if err != nil {
			return nil, err
		}
		out.Report("listeners on the lab's ports (other runs' too)", float64(listeners))
		return out, nil
	},
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// SidecarProcesses returns the ids of the processes whose environment names a configuration in dir, as the sidecars of a run do.
func SidecarProcesses(dir string) ([]string, error) {
	abs, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	paths, err := filepath.Glob("/proc/[0-9]*/environ")
	var out []string
	for _, path := range paths {
		env, rerr := os.ReadFile(path)
		if rerr == nil && (bytes.Contains(env, []byte("ROUTER_CONFIG="+abs+"/")) || bytes.Contains(env, []byte("ROUTER_CONFIG="+dir+"/"))) {
			out = append(out, filepath.Base(filepath.Dir(path)))
		}
	}
	return out, err
}

// countListeners counts this machine's listeners whose port, in hexadecimal, begins with the given digits.
func countListeners(port string) (int, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	n := 0
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 3 && f[3] == "0A" && strings.Contains(f[1], port) {
			n++
		}
	}
	return n, nil
}
