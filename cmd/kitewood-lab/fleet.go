package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/account"
	"kitewood/internal/lab/fleet"
	"kitewood/internal/lab/report"
	"kitewood/internal/lab/results"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "play a scenario on a fleet of sidecars, break what its plan says between them, and add up what all did together",
		ArgsUsage: "CASE | SCENARIO | list",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "of all draws (default: the scenario's)"},
			&cli.IntFlag{Name: "sidecars", Usage: "processes in all tiers, 3 to 60 (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long instead of the scenario's duration"},
			&cli.StringFlag{Name: "wrong", Usage: "run the fleet wrongly: " + strings.Join(fleet.DefectNames(), ", ")},
			&cli.StringFlag{Name: "out", Usage: "folder of the results (default: one under lab-results/)"},
			&cli.BoolFlag{Name: "json", Usage: "print the account as one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "case or scenario (or list)")
			if err != nil {
				return err
			}
			if name == "list" {
				for _, x := range fleet.Cases() {
					fmt.Fprintf(c.Root().Writer, "%-12s %6s  %s\n", x.Name, x.Duration, x.Description)
				}
				return nil
			}
			base, hard := name, slices.Contains(fleet.CaseNames(), name)
			if hard {
				base = "fleet"
			}
			p, release, err := prepare(ctx, c, base)
			if err != nil {
				return err
			}
			defer release()
			if hard {
				if _, p.scenario, err = fleet.FindCase(name); err != nil {
					return err
				}
			}
			p.scenario.SetDuration(c.Duration("duration"))
			if err := fleet.ApplyDefect(p.scenario, c.String("wrong")); err != nil {
				return fmt.Errorf("--wrong: %w", err)
			}
			dir, err := results.CreateDir(c.String("out"), "fleet-"+p.scenario.Name, p.seed, time.Now())
			if err != nil {
				return err
			}
			bar := newBar(p.scenario.Duration.D())
			r, err := fleet.Run(ctx, fleet.Options{Scenario: p.scenario, Sidecars: c.Int("sidecars"), Seed: p.seed, Binary: p.binary, Dir: dir, Log: p.log,
				Progress: bar.run})
			bar.end()
			if err != nil {
				return err
			}
			if _, err := report.WriteFile(dir); err != nil {
				return err
			}
			w := c.Root().Writer
			if c.Bool("json") {
				enc := json.NewEncoder(w)
				enc.SetIndent("", "  ")
				err = enc.Encode(map[string]any{"scenario": p.scenario.Name, "seed": p.seed, "sidecars": r.Sidecars, "account": r.Account,
					"rules": r.Summary.RuleViolations, "service": r.Summary.Service})
			} else {
				runTables(w, r.Summary, r.Violations)
				accountTables(w, r.Account)
				fmt.Fprintf(w, "%d sidecars; results: %s\nreport: %s\n", r.Sidecars, dir, filepath.Join(dir, results.ReportFile))
			}
			if n := r.Summary.Violations(); err == nil && n > 0 {
				err = fmt.Errorf("%d broken rules in %s", n, filepath.Join(dir, results.VerdictFile))
			}
			return err
		},
	}
}

func accountTables(w io.Writer, a *account.Account) {
	t := newTable(w, "operations", "clients' tries", "attempts, all tiers", "for each operation", "most for one", "beyond a call's first", "work lost")
	t.AppendRow(table.Row{a.ClientRequests, a.ClientAttempts, a.Attempts, f2(a.AttemptsPerRequest), a.MaxAttempts, f3(a.ExtraAttempts), f3(a.LostWork)})
	t.Render()
	t = newTable(w, "tier", "operations", "attempts", "refused by sidecars", "failed", "turned away by instances", "work lost", "refusals differ by")
	for n, x := range a.Tiers {
		t.AppendRow(table.Row{n, x.Requests, x.Attempts, x.Rejected, x.Failed, x.RejectedAttempts, f3(x.LostWork), f3(x.RejectionSpread)})
	}
	t.Render()
	t = newTable(w, "tier", "instances", "probes, most a second", "trials at one, most", "most a second", "connections to one, most", "most a second")
	for n := range a.Tiers {
		count, probes, trials, trialsSecond, opened, openedSecond := 0, 0, 0, 0, 0, 0
		for _, i := range a.Instances {
			if i.Tier == n {
				count++
				probes = max(probes, i.Probes.MaxPerSecond)
				trials, trialsSecond = max(trials, i.AttemptsAfterFailure.Count), max(trialsSecond, i.AttemptsAfterFailure.MaxPerSecond)
				opened, openedSecond = max(opened, i.Connections.Count), max(openedSecond, i.Connections.MaxPerSecond)
			}
		}
		t.AppendRow(table.Row{n, count, probes, trials, trialsSecond, opened, openedSecond})
	}
	t.Render()
	t = newTable(w, "calls to discovery", "most a second")
	t.AppendRow(table.Row{a.Discovery.Count, a.Discovery.MaxPerSecond})
	t.Render()
}
