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

// leftoversDrill interrupts a run in the middle of its troubles.
var leftoversDrill = Drill{
	Name:        "leftovers",
	Description: "a run interrupted under load: it ends within 8 s, keeps what was seen, and leaves no process and no listener",
	Run: func(ctx context.Context, o Options) (*Outcome, error) {
		s, err := find("everything")
		if err != nil {
			return nil, err
		}
		squeeze(s, 12*time.Second)
		dir, err := scratch(o, "leftovers")
		if err != nil {
			return nil, err
		}
		cut, cancel := context.WithCancel(ctx)
		defer cancel()
		var left time.Time
		time.AfterFunc(6*time.Second, func() { left = time.Now(); cancel() })
		r, err := emulator.Run(cut, emulator.Options{Scenario: s, Seed: o.Seed, Binary: o.Binary, Dir: dir, Log: o.Log})
		if err != nil {
			return nil, err
		}
		took := time.Since(left)
		out := &Outcome{}
		out.Hold("marked as cut short", b2f(r.CutShort), "1", r.CutShort)
		out.Hold("seconds to end", took.Seconds(), "at most 8", took <= 8*time.Second)
		out.Hold("entries kept", float64(len(r.Entries)), "above 0", len(r.Entries) > 0)
		processes, err := SidecarProcesses(dir)
		if err != nil {
			return nil, err
		}
		out.Hold("processes left", float64(len(processes)), "0", len(processes) == 0)
		listeners, err := listening(":1B") // sidecars' and instances' ports are 7000 to 7167, 0x1B58 to 0x1BFF
		if err != nil {
			return nil, err
		}
		out.Tell("listeners on the lab's ports (other runs' too)", float64(listeners))
		return out, nil
	},
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Children are the processes whose environment names a folder, as every sidecar of a run there does.
func SidecarProcesses(dir string) ([]string, error) {
	abs, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	var out []string
	for _, path := range all {
		text, rerr := os.ReadFile(path)
		if rerr == nil && (bytes.Contains(text, []byte("ROUTER_CONFIG="+abs+"/")) || bytes.Contains(text, []byte("ROUTER_CONFIG="+dir+"/"))) {
			out = append(out, filepath.Base(filepath.Dir(path)))
		}
	}
	return out, err
}

// listening counts the listeners of this machine whose port, in hexadecimal, begins so.
func listening(port string) (int, error) {
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
