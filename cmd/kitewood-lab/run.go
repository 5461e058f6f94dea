package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/report"
	"kitewood/internal/lab/results"
	"kitewood/internal/lab/scenario"
)

// scenarioRun is one run of a scenario, whose results are written to a directory.
type scenarioRun struct {
	scenario    *scenario.Scenario
	seed        uint64
	binary      string
	proxies     *emulator.Proxies
	outDir      string
	log         *slog.Logger
	onProgress  func(emulator.Progress)
	writeReport bool
}

// run executes the run, writes its results and returns their directory. If the run fails but has produced results, they are
// written and returned together with the error.
func (r scenarioRun) run(ctx context.Context) (dir string, summary *results.Summary, violations []ledger.Violation, err error) {
	started := time.Now()
	if dir, err = results.CreateDir(r.outDir, r.scenario.Name, r.seed, started); err != nil {
		return
	}
	result, err := emulator.Run(ctx, emulator.Options{Scenario: r.scenario, Seed: r.seed, Binary: r.binary, Proxies: r.proxies, Dir: dir, Log: r.log,
		Progress: r.onProgress})
	if result == nil {
		return dir, nil, nil, err
	}
	base := results.NewSummary("run", r.scenario.Name, r.seed, started)
	base.Binary = r.binary
	summary, violations, writeErr := results.WriteRun(dir, r.scenario, r.scenario.Rules(), base, result)
	if err == nil {
		err = writeErr
	}
	if err == nil && r.writeReport {
		_, err = report.WriteFile(dir)
	}
	return dir, summary, violations, err
}

// prepareRun loads a scenario and finds the sidecar program that a command needs to run it. release removes the program if it
// was built for the run.
func prepareRun(ctx context.Context, c *cli.Command, name string) (run scenarioRun, release func(), err error) {
	release = func() {}
	if run.scenario, err = loadScenario(name); err != nil {
		return
	}
	if run.log, err = logger(c); err != nil {
		return
	}
	if c.IsSet("seed") {
		run.scenario.Seed = c.Uint64("seed")
	}
	run.seed = run.scenario.Seed
	run.binary, release, err = findSidecarProgram(ctx, c)
	return
}

// runCommand builds the run command, which runs one scenario and checks its ledger against the rules.
func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run a scenario on real sidecars and check the rules", ArgsUsage: "SCENARIO",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "random seed (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of the scenario's duration"},
			&cli.StringFlag{Name: "out", Usage: "result directory (default: a new one under lab-results/)"},
			&cli.BoolFlag{Name: "json", Usage: "print summary.json instead of tables"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "scenario")
			if err != nil {
				return err
			}
			return runScenario(ctx, c, name, c.Bool("json"))
		},
	}
}

// demoCommand builds the demo command, which runs the built-in scenario demo.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run three tiers with real sidecars for 20 s while machines vanish and slow down, and show service, rules and latency",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "result directory (default: a new one under lab-results/)"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of 20 s"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("demo takes no arguments: use run for other scenarios")
			}
			return runScenario(ctx, c, "demo", false)
		},
	}
}

// runScenario runs a scenario and prints the summary as tables or JSON. It fails if a rule was violated.
func runScenario(ctx context.Context, c *cli.Command, name string, asJSON bool) error {
	run, release, err := prepareRun(ctx, c, name)
	if err != nil {
		return err
	}
	defer release()
	s := run.scenario
	s.SetDuration(c.Duration("duration"))
	progress := newProgressBar(s.Duration.D())
	run.outDir, run.onProgress, run.writeReport = c.String("out"), progress.showRun, true
	if !asJSON {
		fmt.Fprintf(c.Root().Writer, "%s, seed %d: %s, %.1f requests/s\n", s.Name, run.seed, s.Duration.D(), s.Plan(run.seed).BaseRate)
	}
	dir, summary, violations, err := run.run(ctx)
	progress.finish()
	if summary != nil {
		if asJSON {
			enc := json.NewEncoder(c.Root().Writer)
			enc.SetIndent("", "  ")
			if encodeErr := enc.Encode(summary); encodeErr != nil {
				return encodeErr
			}
		} else {
			printRunTables(c.Root().Writer, summary, violations)
			fmt.Fprintf(c.Root().Writer, "results: %s\nreport:  %s\n", dir, filepath.Join(dir, results.ReportFile))
		}
	}
	if err != nil {
		return err
	}
	if n := summary.Violations(); n > 0 {
		return fmt.Errorf("%d rule violations in %s", n, filepath.Join(dir, results.VerdictFile))
	}
	return nil
}

// emulateCommand builds the emulate command, which keeps an emulated platform up for requests sent by hand.
func emulateCommand() *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "start the instances, discovery and sidecars of a scenario without clients, print the addresses, and run until Ctrl-C",
		ArgsUsage: "SCENARIO",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "seed", Usage: "random seed (default: the scenario's)"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "scenario")
			if err != nil {
				return err
			}
			run, release, err := prepareRun(ctx, c, name)
			if err != nil {
				return err
			}
			defer release()
			s := run.scenario
			dir, err := os.MkdirTemp("", "kitewood-lab-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			w := c.Root().Writer
			_, err = emulator.Run(ctx, emulator.Options{Scenario: s, Seed: run.seed, Binary: run.binary, Proxies: run.proxies, Dir: dir, Log: run.log, Idle: true,
				Ready: func(addresses []string) {
					class := s.Classes[0]
					method := ""
					if class.Effect != "safe" {
						method = "-X POST "
					}
					for n, address := range addresses {
						fmt.Fprintf(w, "front-%d  http://%s\n", n, address)
					}
					fmt.Fprintf(w, "\ntry: curl -i %s-H \"X-Correlation-Id: %s\" 'http://%s/%s?work_us=%d'\nCtrl-C stops it; configurations and logs of the sidecars: %s\n",
						method, "hand-$RANDOM", addresses[0], class.Name, class.Work.D().Microseconds(), filepath.Join(dir, "sidecars"))
				}})
			return err
		},
	}
}
