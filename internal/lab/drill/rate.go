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

// rateDrill finds what one core of the generator can drive: it runs as a process of its own on one core, against a
// trivial server in this one.
var rateDrill = Drill{
	Name:        "rate",
	Description: "one core of the load generator against a trivial server: at least 5,000 requests/s, and its own error at 2,000/s",
	Run:         runRate,
}

func runRate(ctx context.Context, o Options) (*Outcome, error) {
	out := &Outcome{}
	d, least, rates := 5*time.Second, 5000.0, []float64{2000, 5000, 8000, 10000, 12000, 16000, 20000, 24000, 28000, 32000, 36000, 40000}
	if o.Short { // a shared machine promises no more; the long form holds the figure
		d, least, rates = 2*time.Second, 1000, []float64{1000}
	}
	server, err := newScripted(Stall{})
	if err != nil {
		return nil, err
	}
	defer server.close()
	server.begin(time.Now())
	best := 0.0
	for _, rate := range rates {
		s, err := generate(ctx, o.LabBinary, "http://"+server.address(), rate, d, "GOMAXPROCS=1")
		if err != nil {
			return nil, err
		}
		if rate == rates[0] {
			at := fmt.Sprintf(" at %g/s, ms", rate)
			out.Tell("p50"+at, s.Latency.P50)
			out.Tell("p99"+at, s.Latency.P99)
			out.Tell("p99.9"+at, s.Latency.P999)
			out.Tell(fmt.Sprintf("late sends at %g/s", rate), float64(s.LateSends))
		}
		if s.Failed+s.TimedOut > 0 || s.Rate < rate*0.98 || float64(s.LateSends) > 0.01*float64(s.Sent) {
			break
		}
		best = math.Max(best, s.Rate)
	}
	s, err := generate(ctx, o.LabBinary, "http://"+server.address(), rates[0], d)
	if err != nil {
		return nil, err
	}
	out.Tell(fmt.Sprintf("p99 at %g/s on all cores, ms", rates[0]), s.Latency.P99)
	out.Hold("requests/s kept up", math.Round(best), fmt.Sprintf("at least %g", least), best >= least*0.98)
	return out, nil
}

// generate runs the generator as a process of its own.
func generate(ctx context.Context, lab, url string, rate float64, d time.Duration, env ...string) (load.Summary, error) {
	var s load.Summary
	cmd := exec.CommandContext(ctx, lab, "load", "--url", url, "--rate", fmt.Sprint(rate), "--duration", d.String(), "--json", "-")
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	text, err := cmd.Output()
	if err != nil {
		return s, fmt.Errorf("the generator: %w", err)
	}
	return s, json.Unmarshal(text, &s)
}
