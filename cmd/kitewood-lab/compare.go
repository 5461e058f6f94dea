package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/report"
	"kitewood/internal/lab/results"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare two result folders, or two kitewood programs on a scenario, interleaved, over several seeds", ArgsUsage: "A B",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "calm", Usage: "to play, where A and B are programs"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "to play, from 1"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long instead of the scenario's duration"},
			&cli.StringFlag{Name: "out", Usage: "folder of the results (default: one under lab-results/)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("compare takes two folders or two programs, not %d", c.Args().Len())
			}
			sides := [2]string{c.Args().Get(0), c.Args().Get(1)}
			programs := 0
			for _, s := range sides {
				info, err := os.Stat(s)
				if err != nil {
					return err
				}
				if !info.IsDir() {
					programs++
				}
			}
			switch programs {
			case 1:
				return errors.New("compare takes two folders or two programs, not one of each")
			case 2:
				var err error
				if sides, err = playBoth(ctx, c, sides); err != nil {
					return err
				}
			}
			var found [2][]*results.Summary
			for n, s := range sides {
				var err error
				if found[n], err = results.FindSummaries(s); err != nil {
					return err
				}
			}
			rows, err := results.Compare(found[0], found[1])
			if err != nil {
				return err
			}
			t := newTable(c.Root().Writer, "figure", "A", "B", "B - A", "standard error", "pairs", "B is")
			for _, d := range rows {
				word := map[int]string{1: "better", -1: "worse", 0: "not told apart"}[d.Better]
				t.AppendRow([]any{d.Metric, f3(d.MeanA), f3(d.MeanB), fmt.Sprintf("%+.3f", d.MeanDifference), f3(d.StdErr), d.Pairs, word})
			}
			t.Render()
			return nil
		},
	}
}

// playBoth plays a scenario with two programs in turn, the one that begins changing with the seed.
func playBoth(ctx context.Context, c *cli.Command, programs [2]string) (sides [2]string, err error) {
	log, err := logger(c)
	if err != nil {
		return sides, err
	}
	out := c.String("out")
	if out == "" {
		out = filepath.Join("lab-results", "compare-"+time.Now().Format("20060102T150405"))
	}
	if c.Int("seeds") < 1 {
		return sides, errors.New("--seeds must be at least 1")
	}
	sides = [2]string{filepath.Join(out, "a"), filepath.Join(out, "b")}
	for seed := uint64(1); seed <= uint64(c.Int("seeds")); seed++ {
		for turn := range 2 {
			n := (turn + int(seed)) % 2
			s, err := findScenario(c.String("scenario"))
			if err != nil {
				return sides, err
			}
			s.SetDuration(c.Duration("duration"))
			binary, err := filepath.Abs(programs[n])
			if err != nil {
				return sides, err
			}
			bar := newBar(s.Duration.D())
			p := play{scenario: s, seed: seed, binary: binary, log: log, progress: bar.run,
				out: filepath.Join(sides[n], fmt.Sprintf("%s-seed%d", s.Name, seed))}
			_, sum, _, err := p.run(ctx)
			bar.end()
			if err != nil {
				return sides, err
			}
			fmt.Fprintf(c.Root().Writer, "%s seed %d %s: service %s, %d broken rules\n", s.Name, seed, string("AB"[n]),
				f3(sum.Service.Service), sum.Violations())
			if ctx.Err() != nil {
				return sides, ctx.Err()
			}
		}
	}
	return sides, nil
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "draw result folders anew: each one's report.html, or one page of several", ArgsUsage: "DIR...",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write one page of all folders to this file"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("report takes at least one folder")
			}
			if out := c.String("out"); out != "" {
				f, err := os.Create(out)
				if err != nil {
					return err
				}
				return errors.Join(report.Write(f, c.Args().Slice()...), f.Close())
			}
			for _, dir := range c.Args().Slice() {
				path, err := report.WriteFile(dir)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.Root().Writer, path)
			}
			return nil
		},
	}
}
