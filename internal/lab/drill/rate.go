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

// minGeneratorRate is the rate that one core of the generator has to sustain, in requests per second.
const minGeneratorRate = 5000.0

// runRate runs the long or the short form.
func runRate(ctx context.Context, o Options) (*Outcome, error) {
	server, err := newScriptedServer(Stall{})
	if err != nil {
		return nil, err
	}
	defer server.close()
	server.startScript(time.Now())
	g := rateGenerator{lab: o.LabBinary, url: "http://" + server.address()}
	if o.Short {
		return g.sustainOnSharedCores(ctx)
	}
	return g.raise(ctx)
}

// rateGenerator runs the load generator against the server of the drill.
type rateGenerator struct{ lab, url string }

// raise raises the rate until the generator no longer keeps up. It needs a machine that is not shared.
func (g rateGenerator) raise(ctx context.Context) (*Outcome, error) {
	out := &Outcome{}
	const d = 5 * time.Second
	rates := []float64{2000, 5000, 8000, 10000, 12000, 16000, 20000, 24000, 28000, 32000, 36000, 40000}
	best := 0.0
	for _, rate := range rates {
		run, err := runGenerator(ctx, g.lab, g.url, rate, d, "GOMAXPROCS=1")
		if err != nil {
			return nil, err
		}
		if rate == rates[0] {
			reportGenerator(out, run.Summary, rate)
		}
		if !run.keptUp(rate) {
			break
		}
		best = math.Max(best, run.Rate)
	}
	all, err := runGenerator(ctx, g.lab, g.url, rates[0], d)
	if err != nil {
		return nil, err
	}
	out.Report(fmt.Sprintf("p99 at %g/s on all cores, ms", rates[0]), all.Latency.P99)
	out.Check("requests/s kept up", math.Round(best), fmt.Sprintf("at least %g", minGeneratorRate), best >= minGeneratorRate*0.98)
	return out, nil
}

// sustainOnSharedCores checks the generator on a machine where other processes take the core from it for tens of milliseconds
// now and then, which makes a part of its requests late whatever the generator does. Its processor time at the full rate has
// to fit into one core. At a fifth of that rate it has to send every request, and most of them in time in at least one of
// several runs: a generator that falls behind by itself makes all later requests late, in every run.
func (g rateGenerator) sustainOnSharedCores(ctx context.Context) (*Outcome, error) {
	const (
		runs     = 3
		rate     = minGeneratorRate / 5
		duration = time.Second
		maxP50   = float64(load.LateThreshold / time.Millisecond)
	)
	out := &Outcome{}
	failed, unsent, p50 := 0, 0, math.Inf(1)
	for n := range runs {
		steady, err := runGenerator(ctx, g.lab, g.url, rate, duration, "GOMAXPROCS=1")
		if err != nil {
			return nil, err
		}
		if n == 0 {
			reportGenerator(out, steady.Summary, rate)
		}
		failed += steady.Failed + steady.TimedOut
		unsent += int(rate*duration.Seconds()) - steady.Sent
		p50 = min(p50, steady.Latency.P50)
	}
	full, err := runGenerator(ctx, g.lab, g.url, minGeneratorRate, duration, "GOMAXPROCS=1")
	if err != nil {
		return nil, err
	}
	failed += full.Failed + full.TimedOut
	capacity := math.Round(float64(full.OK) / full.processorTime.Seconds())
	out.Check("requests failed", float64(failed), "0", failed == 0)
	out.Check(fmt.Sprintf("requests not sent at %g/s", rate), float64(unsent), "0", unsent == 0)
	out.Check(fmt.Sprintf("p50 at %g/s of the best run, ms", rate), p50, fmt.Sprintf("at most %g", maxP50), p50 <= maxP50)
	out.Check("requests per second of processor time", capacity, fmt.Sprintf("at least %g", minGeneratorRate), capacity >= minGeneratorRate)
	return out, nil
}

// reportGenerator reports the latencies that the generator measured and how often it was late.
func reportGenerator(out *Outcome, s load.Summary, rate float64) {
	suffix := fmt.Sprintf(" at %g/s, ms", rate)
	out.Report("p50"+suffix, s.Latency.P50)
	out.Report("p99"+suffix, s.Latency.P99)
	out.Report("p99.9"+suffix, s.Latency.P999)
	out.Report(fmt.Sprintf("late sends at %g/s", rate), float64(s.LateSends))
}

// generatorRun is the result of one run of the load generator.
type generatorRun struct {
	load.Summary
	processorTime time.Duration // of the whole process, with its start
}

// keptUp reports whether the generator sent at the given rate, at most one request in a hundred late, and none failed.
func (r generatorRun) keptUp(rate float64) bool {
	return r.Failed+r.TimedOut == 0 && r.Rate >= rate*0.98 && float64(r.LateSends) <= 0.01*float64(r.Sent)
}

// runGenerator runs the load generator as a process of its own and returns its summary.
func runGenerator(ctx context.Context, lab, url string, rate float64, d time.Duration, env ...string) (generatorRun, error) {
	var run generatorRun
	cmd := exec.CommandContext(ctx, lab, "load", "--url", url, "--rate", fmt.Sprint(rate), "--duration", d.String(), "--json", "-")
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return run, fmt.Errorf("load generator: %w", err)
	}
	run.processorTime = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return run, json.Unmarshal(output, &run.Summary)
}
