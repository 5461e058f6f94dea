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

// play is one run of a scenario, kept in a folder.
type play struct {
	scenario *scenario.Scenario
	seed     uint64
	binary   string
	proxies  *emulator.Proxies
	out      string
	log      *slog.Logger
	progress func(emulator.Progress)
	page     bool
}

func (p play) run(ctx context.Context) (dir string, sum *results.Summary, breaches []ledger.Violation, err error) {
	started := time.Now()
	if dir, err = results.CreateDir(p.out, p.scenario.Name, p.seed, started); err != nil {
		return
	}
	r, err := emulator.Run(ctx, emulator.Options{Scenario: p.scenario, Seed: p.seed, Binary: p.binary, Proxies: p.proxies, Dir: dir, Log: p.log,
		Progress: p.progress})
	if r == nil {
		return dir, nil, nil, err
	}
	head := results.NewSummary("run", p.scenario.Name, p.seed, started)
	head.Binary = p.binary
	sum, breaches, kerr := results.WriteRun(dir, p.scenario, p.scenario.Rules(), head, r)
	if err == nil {
		err = kerr
	}
	if err == nil && p.page {
		_, err = report.WriteFile(dir)
	}
	return dir, sum, breaches, err
}

// prepare gathers what a command needs to play a scenario. release removes what was built for it.
func prepare(ctx context.Context, c *cli.Command, name string) (p play, release func(), err error) {
	release = func() {}
	if p.scenario, err = findScenario(name); err != nil {
		return
	}
	if p.log, err = logger(c); err != nil {
		return
	}
	if c.IsSet("seed") {
		p.scenario.Seed = c.Uint64("seed")
	}
	p.seed = p.scenario.Seed
	p.binary, release, err = sidecarProgram(ctx, c)
	return
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "play a scenario on real sidecars and judge it", ArgsUsage: "SCENARIO",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "of all draws (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long instead of the scenario's duration"},
			&cli.StringFlag{Name: "out", Usage: "folder of the results (default: one under lab-results/)"},
			&cli.BoolFlag{Name: "json", Usage: "print summary.json instead of tables"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "scenario")
			if err != nil {
				return err
			}
			return playScenario(ctx, c, name, c.Bool("json"))
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "three tiers with real sidecars for 20 s while machines vanish and slow down: service, rules, latency",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "folder of the results (default: one under lab-results/)"},
			&cli.Uint64Flag{Name: "seed", Usage: "of all draws (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return fmt.Errorf("demo takes no argument: run plays other scenarios")
			}
			return playScenario(ctx, c, "demo", false)
		},
	}
}

func playScenario(ctx context.Context, c *cli.Command, name string, asJSON bool) error {
	p, release, err := prepare(ctx, c, name)
	if err != nil {
		return err
	}
	defer release()
	s := p.scenario
	s.SetDuration(c.Duration("duration"))
	bar := newBar(s.Duration.D())
	p.out, p.progress, p.page = c.String("out"), bar.run, true
	if !asJSON {
		fmt.Fprintf(c.Root().Writer, "%s, seed %d: %s, %.1f requests/s\n", s.Name, p.seed, s.Duration.D(), s.Plan(p.seed).BaseRate)
	}
	dir, sum, breaches, err := p.run(ctx)
	bar.end()
	if sum != nil {
		if asJSON {
			enc := json.NewEncoder(c.Root().Writer)
			enc.SetIndent("", "  ")
			if jerr := enc.Encode(sum); jerr != nil {
				return jerr
			}
		} else {
			runTables(c.Root().Writer, sum, breaches)
			fmt.Fprintf(c.Root().Writer, "results: %s\nreport:  %s\n", dir, filepath.Join(dir, results.ReportFile))
		}
	}
	if err != nil {
		return err
	}
	if n := sum.Violations(); n > 0 {
		return fmt.Errorf("%d broken rules in %s", n, filepath.Join(dir, results.VerdictFile))
	}
	return nil
}

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name: "emulate", Usage: "start a scenario's instances, discovery and sidecars without clients, print the addresses, and stay up",
		ArgsUsage: "SCENARIO",
		Flags:     []cli.Flag{&cli.Uint64Flag{Name: "seed", Usage: "of all draws (default: the scenario's)"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "scenario")
			if err != nil {
				return err
			}
			p, release, err := prepare(ctx, c, name)
			if err != nil {
				return err
			}
			defer release()
			s := p.scenario
			dir, err := os.MkdirTemp("", "kitewood-lab-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			w := c.Root().Writer
			_, err = emulator.Run(ctx, emulator.Options{Scenario: s, Seed: p.seed, Binary: p.binary, Proxies: p.proxies, Dir: dir, Log: p.log, Idle: true,
				Ready: func(addresses []string) {
					class := s.Classes[0]
					method := ""
					if class.Effect != "safe" {
						method = "-X POST "
					}
					for n, a := range addresses {
						fmt.Fprintf(w, "front-%d  http://%s\n", n, a)
					}
					fmt.Fprintf(w, "\ntry: curl -i %s-H \"X-Correlation-Id: %s\" 'http://%s/%s?work_us=%d'\nCtrl-C ends it; the sidecars' configurations and logs: %s\n",
						method, "hand-$RANDOM", addresses[0], class.Name, class.Work.D().Microseconds(), filepath.Join(dir, "sidecars"))
				}})
			return err
		},
	}
}
