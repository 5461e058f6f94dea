package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"time"

	"kitewood/internal/lab/load"
)

// rateDrill measures the rate that one core of the load generator can sustain. The generator runs as a process of its own on one
// core, against a trivial server in this process.
var rateDrill = Drill{
	Name:        "rate",
	Description: "one core of the load generator against a trivial server: at least 5,000 requests/s, and its own error at 2,000/s",
	Run:         runRate,
}

// runRate raises the rate until the generator no longer keeps up.
func runRate(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	d, minRate, rates := 5*time.Second, 5000.0, []float64{2000, 5000, 8000, 10000, 12000, 16000, 20000, 24000, 28000, 32000, 36000, 40000}
	if o.Short { // a shared machine guarantees no more; the long form checks the full bound
		d, minRate, rates = 2*time.Second, 1000, []float64{1000}
	}
	server, err := newScriptedServer(Stall{})
	if err != nil {
		return nil, err
	}
	defer server.close()
	server.startScript(time.Now())
	best := 0.0
	for _, rate := range rates {
		s, err := runGenerator(ctx, o.LabBinary, "http://"+server.address(), rate, d, "GOMAXPROCS=1")
		if err != nil {
			return nil, err
		}
		if rate == rates[0] {
			suffix := fmt.Sprintf(" at %g/s, ms", rate)
			out.Report("p50"+suffix, s.Latency.P50)
			out.Report("p99"+suffix, s.Latency.P99)
			out.Report("p99.9"+suffix, s.Latency.P999)
			out.Report(fmt.Sprintf("late sends at %g/s", rate), float64(s.LateSends))
		}
		if s.Failed+s.TimedOut > 0 || s.Rate < rate*0.98 || float64(s.LateSends) > 0.01*float64(s.Sent) {
			break
		}
		best = math.Max(best, s.Rate)
	}
	s, err := runGenerator(ctx, o.LabBinary, "http://"+server.address(), rates[0], d)
	if err != nil {
		return nil, err
	}
	out.Report(fmt.Sprintf("p99 at %g/s on all cores, ms", rates[0]), s.Latency.P99)
	out.Check("requests/s kept up", math.Round(best), fmt.Sprintf("at least %g", minRate), best >= minRate*0.98)
	return out, nil
}

// runGenerator runs the load generator as a process of its own and returns its summary.
func runGenerator(ctx context.Context, lab, url string, rate float64, d time.Duration, env ...string) (load.Summary, error) {
	var s load.Summary
	cmd := exec.CommandContext(ctx, lab, "load", "--url", url, "--rate", fmt.Sprint(rate), "--duration", d.String(), "--json", "-")
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return s, fmt.Errorf("load generator: %w", err)
	}
	return s, json.Unmarshal(output, &s)
}
