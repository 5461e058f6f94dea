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

// sendFlags are the flags of all that sends.
func sendFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "url", Required: true, Usage: "target, http or https"},
		&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "a request is given up after this"},
		&cli.IntFlag{Name: "max-open", Value: 10000, Usage: "requests out at once"},
		&cli.StringFlag{Name: "json", Usage: "write the summary to this file (- for standard output)"},
		&cli.StringFlag{Name: "out", Usage: "keep a folder with series, histogram and report"},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests to a URL open-loop; latency counts from the intended time",
		Flags: append(sendFlags(),
			&cli.FloatFlag{Name: "rate", Required: true, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Required: true, Usage: "how long"},
			&cli.StringFlag{Name: "shape", Usage: "flat, steps, ramp, due-date-morning, or a YAML file of corners"},
			&cli.BoolFlag{Name: "poisson", Usage: "as a Poisson process instead of evenly spaced"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the Poisson process and the mix"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "of the requests"},
			&cli.StringSliceFlag{Name: "header", Usage: "`NAME: VALUE`, may be repeated"},
			&cli.StringFlag{Name: "body", Usage: "of the requests"},
			&cli.StringSliceFlag{Name: "mix", Usage: "`WEIGHT METHOD TARGET`: one kind of request of several, may be repeated"},
			&cli.StringFlag{Name: "record", Usage: "write what goes out as a trace to this file"},
			&cli.IntFlag{Name: "closed", Usage: "also run a closed loop of so many callers, to show what it leaves out"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("load takes no argument: %q", c.Args().First())
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
					return fmt.Errorf("--header: NAME: VALUE is wanted, not %q", h)
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
			if err := send(ctx, c, source, d, seed, tracer); err != nil {
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
				latencyTable(c.Root().Writer, fmt.Sprintf("closed loop of %d callers, %d sent (ms)", n, s.Sent), s.Latency)
			}
			return nil
		},
	}
}

// parseMix reads kinds of requests, each "WEIGHT METHOD TARGET".
func parseMix(mix []string, like load.Item) ([]load.WeightedItem, error) {
	var out []load.WeightedItem
	for _, m := range mix {
		var w load.WeightedItem
		w.Item = like
		if n, err := fmt.Sscanf(m, "%g %s %s", &w.Weight, &w.Item.Method, &w.Item.Target); n != 3 || err != nil || !(w.Weight > 0) ||
			!strings.HasPrefix(w.Item.Target, "/") {
			return nil, fmt.Errorf("--mix: WEIGHT METHOD TARGET is wanted, not %q", m)
		}
		out = append(out, w)
	}
	return out, nil
}

// send runs a source and shows and keeps what came of it.
func send(ctx context.Context, c *cli.Command, source load.Source, d time.Duration, seed uint64, tracer *load.Tracer) error {
	started := time.Now()
	rec := load.NewRecorder()
	bar := newBar(d)
	err := load.Run(ctx, source, load.Options{URL: c.String("url"), Timeout: c.Duration("timeout"), MaxInFlight: c.Int("max-open"),
		Recorder: rec, Tracer: tracer, OnProgress: bar.load})
	bar.end()
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
		t.AppendRow([]any{s.Intended, s.Sent, s.OK, s.Failed, s.TimedOut, s.LateSends, f1(s.MaxLateMS), s.Connections, f1(s.Rate)})
		t.Render()
		latencyTable(w, "from the intended time (ms)", s.Latency)
		latencyTable(w, "from the send (ms)", s.Service)
		if s.LateSends > 0 {
			fmt.Fprintf(w, "the generator fell behind: %d of %d went out over %s late, the latest by %.1f ms\n", s.LateSends, s.Sent,
				load.LateThreshold, s.MaxLateMS)
		}
		if sum.CutShort {
			fmt.Fprintln(w, "cut short: these figures tell of what was seen until then")
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

func recordCommand() *cli.Command {
	return &cli.Command{
		Name: "record", Usage: "pass requests on to a URL and write them down as a trace, until Ctrl-C",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.StringFlag{Name: "to", Required: true, Usage: "URL that requests are passed on to"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "file of the trace"},
			&cli.DurationFlag{Name: "duration", Usage: "stop after this (default: at Ctrl-C)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			to, err := url.Parse(c.String("to"))
			if err != nil || to.Host == "" {
				return fmt.Errorf("--to: %q is no URL of a server", c.String("to"))
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
			t, err := load.NewTracer(f, time.Now())
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "recording http://%s to %s\n", ln.Addr(), c.String("out"))
			if d := c.Duration("duration"); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			err = load.Record(ctx, ln, to, t, log)
			n, cerr := t.Close()
			fmt.Fprintf(c.Root().Writer, "%d requests recorded\n", n)
			return errors.Join(err, cerr)
		},
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "play a trace to a URL at its times", ArgsUsage: "TRACE",
		Flags: append(sendFlags(), &cli.FloatFlag{Name: "speed", Value: 1, Usage: "times as fast as it was recorded"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "trace")
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
			last := time.Duration(float64(items[len(items)-1].At()) / speed)
			return send(ctx, c, &load.Replay{Items: items, Speed: speed}, last, 0, nil)
		},
	}
}
