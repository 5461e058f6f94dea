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

// compareCommand builds the compare command: it compares existing results, or runs two programs and compares theirs.
func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare two result directories, or two kitewood programs in interleaved runs of a scenario over several seeds", ArgsUsage: "A B",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "calm", Usage: "scenario to run if A and B are programs"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds to run, starting at 1"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of the scenario's duration"},
			&cli.StringFlag{Name: "out", Usage: "result directory (default: a new one under lab-results/)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return fmt.Errorf("compare takes two result directories or two programs, got %d arguments", c.Args().Len())
			}
			paths := [2]string{c.Args().Get(0), c.Args().Get(1)}
			programs := 0
			for _, path := range paths {
				info, err := os.Stat(path)
				if err != nil {
					return err
				}
				if !info.IsDir() {
					programs++
				}
			}
			switch programs {
			case 1:
				return errors.New("compare takes two result directories or two programs, got one of each")
			case 2:
				var err error
				if paths, err = runBoth(ctx, c, paths); err != nil {
					return err
				}
			}
			var summaries [2][]*results.Summary
			for n, path := range paths {
				var err error
				if summaries[n], err = results.FindSummaries(path); err != nil {
					return err
				}
			}
			rows, err := results.Compare(summaries[0], summaries[1])
			if err != nil {
				return err
			}
			t := newTable(c.Root().Writer, "figure", "A", "B", "B - A", "standard error", "pairs", "B is")
			for _, d := range rows {
				verdict := map[int]string{1: "better", -1: "worse", 0: "no significant difference"}[d.Better]
				t.AppendRow([]any{d.Metric, decimals3(d.MeanA), decimals3(d.MeanB), fmt.Sprintf("%+.3f", d.MeanDifference), decimals3(d.StdErr), d.Pairs, verdict})
			}
			t.Render()
			return nil
		},
	}
}

// runBoth runs a scenario with two programs in turn and returns their result directories. The program that goes first
// alternates with the seed, so that neither always runs first.
func runBoth(ctx context.Context, c *cli.Command, programs [2]string) (dirs [2]string, err error) {
	log, err := logger(c)
	if err != nil {
		return dirs, err
	}
	out := c.String("out")
	if out == "" {
		out = filepath.Join("lab-results", "compare-"+time.Now().Format("20060102T150405"))
	}
	if c.Int("seeds") < 1 {
		return dirs, errors.New("--seeds must be at least 1")
	}
	dirs = [2]string{filepath.Join(out, "a"), filepath.Join(out, "b")}
	for seed := uint64(1); seed <= uint64(c.Int("seeds")); seed++ {
		for turn := range 2 {
			n := (turn + int(seed)) % 2
			s, err := loadScenario(c.String("scenario"))
			if err != nil {
				return dirs, err
			}
			s.SetDuration(c.Duration("duration"))
			binary, err := filepath.Abs(programs[n])
			if err != nil {
				return dirs, err
			}
			bar := newProgressBar(s.Duration.D())
			run := scenarioRun{scenario: s, seed: seed, binary: binary, log: log, onProgress: bar.showRun,
				outDir: filepath.Join(dirs[n], fmt.Sprintf("%s-seed%d", s.Name, seed))}
			_, summary, _, err := run.run(ctx)
			bar.finish()
			if err != nil {
				return dirs, err
			}
			fmt.Fprintf(c.Root().Writer, "%s seed %d %s: service %s, %d rule violations\n", s.Name, seed, string("AB"[n]),
				decimals3(summary.Service.Service), summary.Violations())
			if ctx.Err() != nil {
				return dirs, ctx.Err()
			}
		}
	}
	return dirs, nil
}

// reportCommand builds the report command, which renders the HTML reports of existing results again.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "render the reports of result directories again: a report.html in each, or one page for all", ArgsUsage: "DIR...",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write one page for all directories to this file"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("report takes at least one result directory")
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
