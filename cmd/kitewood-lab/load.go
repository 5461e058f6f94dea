package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/load"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/report"
	"kitewood/internal/lab/results"
)

// loadFlags returns the flags that load and replay share.
func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "url", Required: true, Usage: "target, http or https"},
		&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "timeout of a request"},
		&cli.IntFlag{Name: "max-open", Value: 10000, Usage: "maximum number of requests in flight"},
		&cli.StringFlag{Name: "json", Usage: "write the summary to this file (- for standard output)"},
		&cli.StringFlag{Name: "out", Usage: "write time series, histogram and report to this directory"},
	}
}

// loadCommand builds the load command, the open-loop load generator.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests to a URL in an open loop; latency is measured from the intended send time",
		Flags: append(loadFlags(),
			&cli.FloatFlag{Name: "rate", Required: true, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Required: true, Usage: "duration of the load"},
			&cli.StringFlag{Name: "shape", Usage: "rate over time: flat, steps, ramp, due-date-morning, or a YAML file of points"},
			&cli.BoolFlag{Name: "poisson", Usage: "space arrivals as a Poisson process instead of evenly"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the Poisson process and the mix"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "method of the requests"},
			&cli.StringSliceFlag{Name: "header", Usage: "header of the requests, `NAME: VALUE`; may be repeated"},
			&cli.StringFlag{Name: "body", Usage: "body of the requests"},
			&cli.StringSliceFlag{Name: "mix", Usage: "one kind of request and its relative weight, `WEIGHT METHOD TARGET`; may be repeated"},
			&cli.StringFlag{Name: "record", Usage: "write a trace of the sent requests to this file"},
			&cli.IntFlag{Name: "closed", Usage: "afterwards also run a closed loop of this many callers, to show the latency that it omits"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("load takes no arguments, got %q", c.Args().First())
			}
			rate, d := c.Float("rate"), c.Duration("duration")
			if !(rate > 0) || rate > 1e6 || d <= 0 {
				return errors.New("--rate and --duration must be above 0")
			}
			target, err := load.ParseURL(c.String("url"))
			if err != nil {
				return fmt.Errorf("--url: %w", err)
			}
			shape, err := load.NamedShape(c.String("shape"), d)
			if err != nil {
				return err
			}
			seed := c.Uint64("seed")
			spacing := model.NewRand(seed, 1)
			if !c.Bool("poisson") {
				spacing = nil
			}
			arrivals := load.NewArrivals(rate, shape, spacing, d)
			item := load.Item{Method: c.String("method"), Target: target.Path, Headers: map[string]string{}, Body: []byte(c.String("body"))}
			for _, h := range c.StringSlice("header") {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fmt.Errorf("--header: want NAME: VALUE, got %q", h)
				}
				item.Headers[strings.TrimSpace(name)] = strings.TrimSpace(value)
			}
			var source load.Source = &load.SingleRequest{Item: item, Arrivals: arrivals}
			if mix := c.StringSlice("mix"); len(mix) > 0 {
				kinds, err := parseMix(mix, item)
				if err != nil {
					return err
				}
				source = &load.Mix{Kinds: kinds, Arrivals: arrivals, Draw: model.NewRand(seed, 2).Float64}
			}
			var tracer *load.Tracer
			if name := c.String("record"); name != "" {
				f, err := os.Create(name)
				if err != nil {
					return err
				}
				defer f.Close()
				if tracer, err = load.NewTracer(f, time.Now()); err != nil {
					return err
				}
			}
			if err := runLoad(ctx, c, source, d, seed, tracer); err != nil {
				return err
			}
			if tracer != nil {
				if _, err := tracer.Close(); err != nil {
					return err
				}
			}
			if n := c.Int("closed"); n > 0 && ctx.Err() == nil {
				rec := load.NewRecorder()
				o := load.Options{URL: c.String("url"), Timeout: c.Duration("timeout"), MaxInFlight: n, Recorder: rec}
				if err := load.RunClosedLoop(ctx, n, rate, d, item, o); err != nil {
					return err
				}
				s := rec.Summary()
				printLatencyTable(c.Root().Writer, fmt.Sprintf("closed loop of %d callers, %d sent (ms)", n, s.Sent), s.Latency)
			}
			return nil
		},
	}
}

// parseMix parses kinds of requests, each "WEIGHT METHOD TARGET". Headers and body come from base.
func parseMix(mix []string, base load.Item) ([]load.WeightedItem, error) {
	var out []load.WeightedItem
	for _, m := range mix {
		var w load.WeightedItem
		w.Item = base
		if n, err := fmt.Sscanf(m, "%g %s %s", &w.Weight, &w.Item.Method, &w.Item.Target); n != 3 || err != nil || !(w.Weight > 0) ||
			!strings.HasPrefix(w.Item.Target, "/") {
			return nil, fmt.Errorf("--mix: want WEIGHT METHOD TARGET, got %q", m)
		}
		out = append(out, w)
	}
	return out, nil
}

// runLoad sends the requests of a source, prints the summary and writes the output files that the flags ask for.
func runLoad(ctx context.Context, c *cli.Command, source load.Source, d time.Duration, seed uint64, tracer *load.Tracer) error {
	started := time.Now()
	rec := load.NewRecorder()
	progress := newProgressBar(d)
	err := load.Run(ctx, source, load.Options{URL: c.String("url"), Timeout: c.Duration("timeout"), MaxInFlight: c.Int("max-open"),
		Recorder: rec, Tracer: tracer, OnProgress: progress.showLoad})
	progress.finish()
	if err != nil {
		return err
	}
	sum := results.NewSummary("load", c.String("url"), seed, started)
	sum.Summary = rec.Summary()
	sum.CutShort = ctx.Err() != nil
	sum.Summary.CutShort = sum.CutShort
	w := c.Root().Writer
	if file := c.String("json"); file != "" {
		text, err := json.MarshalIndent(sum, "", "  ")
		if err != nil {
			return err
		}
		if file == "-" {
			fmt.Fprintln(w, string(text))
		} else if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.String("json") != "-" {
		s := &sum.Summary
		t := newTable(w, "intended", "sent", "ok", "failed", "timed out", "late sends", "latest by ms", "connections", "sent/s")
		t.AppendRow([]any{s.Intended, s.Sent, s.OK, s.Failed, s.TimedOut, s.LateSends, decimals1(s.MaxLateMS), s.Connections, decimals1(s.Rate)})
		t.Render()
		printLatencyTable(w, "from the intended time (ms)", s.Latency)
		printLatencyTable(w, "from the send (ms)", s.Service)
		if s.LateSends > 0 {
			fmt.Fprintf(w, "the generator fell behind: %d of %d requests were sent more than %s late, at most %.1f ms late\n", s.LateSends, s.Sent,
				load.LateThreshold, s.MaxLateMS)
		}
		if sum.CutShort {
			fmt.Fprintln(w, "interrupted: the results cover only the time before the interruption")
		}
	}
	if out := c.String("out"); out != "" {
		dir, err := results.CreateDir(out, "load", seed, started)
		if err != nil {
			return err
		}
		if err := results.WriteLoad(dir, sum, rec); err != nil {
			return err
		}
		path, err := report.WriteFile(dir)
		if err != nil {
			return err
		}
		fmt.Fprintln(w, "report:", path)
	}
	return nil
}

// recordCommand builds the record command, a forwarding proxy that records a trace.
func recordCommand() *cli.Command {
	return &cli.Command{
		Name: "record", Usage: "forward requests to a URL and record them as a trace, until Ctrl-C",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.StringFlag{Name: "to", Required: true, Usage: "URL to which requests are forwarded"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "trace file; must not exist yet"},
			&cli.DurationFlag{Name: "duration", Usage: "stop after this time (default: at Ctrl-C)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			to, err := url.Parse(c.String("to"))
			if err != nil || to.Host == "" {
				return fmt.Errorf("--to: %q is not a server URL", c.String("to"))
			}
			log, err := logger(c)
			if err != nil {
				return err
			}
			ln, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			defer ln.Close()
			f, err := os.OpenFile(c.String("out"), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			defer f.Close()
			tracer, err := load.NewTracer(f, time.Now())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "recording http://%s to %s\n", ln.Addr(), c.String("out"))
			if d := c.Duration("duration"); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			err = load.Record(ctx, ln, to, tracer, log)
			n, closeErr := tracer.Close()
			fmt.Fprintf(c.Root().Writer, "%d requests recorded\n", n)
			return errors.Join(err, closeErr)
		},
	}
}

// replayCommand builds the replay command, which sends the requests of a recorded trace.
func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "send the requests of a trace to a URL at their recorded times", ArgsUsage: "TRACE",
		Flags: append(loadFlags(), &cli.FloatFlag{Name: "speed", Value: 1, Usage: "replay speed, as a multiple of the recorded speed"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "trace")
			if err != nil {
				return err
			}
			f, err := os.Open(name)
			if err != nil {
				return err
			}
			defer f.Close()
			items, err := load.ReadTrace(f)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			speed := c.Float("speed")
			if !(speed > 0) {
				return errors.New("--speed must be above 0")
			}
			duration := time.Duration(float64(items[len(items)-1].At()) / speed)
			return runLoad(ctx, c, &load.Replay{Items: items, Speed: speed}, duration, 0, nil)
		},
	}
}
