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

// fleetCommand builds the fleet command, which runs a scenario on a fleet of sidecars and prints the account of all processes.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a scenario on a fleet of sidecars with the faults of its plan, and report their combined activity",
		ArgsUsage: "CASE | SCENARIO | list",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "random seed (default: the scenario's)"},
			&cli.IntFlag{Name: "sidecars", Usage: "sidecar processes in all tiers, 3 to 60 (default: the scenario's)"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of the scenario's duration"},
			&cli.StringFlag{Name: "wrong", Usage: "inject a defect into the fleet: " + strings.Join(fleet.DefectNames(), ", ")},
			&cli.StringFlag{Name: "out", Usage: "result directory (default: a new one under lab-results/)"},
			&cli.BoolFlag{Name: "json", Usage: "print the account as one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "case or scenario (or list)")
			if err != nil {
				return err
			}
			if name == "list" {
				for _, x := range fleet.Cases() {
					fmt.Fprintf(c.Root().Writer, "%-12s %6s  %s\n", x.Name, x.Duration, x.Description)
				}
				return nil
			}
			base, isCase := name, slices.Contains(fleet.CaseNames(), name)
			if isCase {
				base = "fleet"
			}
			run, release, err := prepareRun(ctx, c, base)
			if err != nil {
				return err
			}
			defer release()
			if isCase {
				if _, run.scenario, err = fleet.FindCase(name); err != nil {
					return err
				}
			}
			run.scenario.SetDuration(c.Duration("duration"))
			if err := fleet.ApplyDefect(run.scenario, c.String("wrong")); err != nil {
				return fmt.Errorf("--wrong: %w", err)
			}
			dir, err := results.CreateDir(c.String("out"), "fleet-"+run.scenario.Name, run.seed, time.Now())
			if err != nil {
				return err
			}
			progress := newProgressBar(run.scenario.Duration.D())
			result, err := fleet.Run(ctx, fleet.Options{Scenario: run.scenario, Sidecars: c.Int("sidecars"), Seed: run.seed, Binary: run.binary, Dir: dir, Log: run.log,
				Progress: progress.showRun})
			progress.finish()
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
				err = enc.Encode(map[string]any{"scenario": run.scenario.Name, "seed": run.seed, "sidecars": result.Sidecars, "account": result.Account,
					"rules": result.Summary.RuleViolations, "service": result.Summary.Service})
			} else {
				printRunTables(w, result.Summary, result.Violations)
				printAccountTables(w, result.Account)
				fmt.Fprintf(w, "%d sidecars; results: %s\nreport: %s\n", result.Sidecars, dir, filepath.Join(dir, results.ReportFile))
			}
			if n := result.Summary.Violations(); err == nil && n > 0 {
				err = fmt.Errorf("%d rule violations in %s", n, filepath.Join(dir, results.VerdictFile))
			}
			return err
		},
	}
}

// printAccountTables prints the totals of a fleet, then its tiers, the load on their instances, and the calls to discovery.
func printAccountTables(w io.Writer, a *account.Account) {
	t := newTable(w, "operations", "clients' tries", "attempts, all tiers", "for each operation", "most for one", "beyond a call's first", "work lost")
	t.AppendRow(table.Row{a.ClientRequests, a.ClientAttempts, a.Attempts, decimals2(a.AttemptsPerRequest), a.MaxAttempts, decimals3(a.ExtraAttempts), decimals3(a.LostWork)})
	t.Render()
	t = newTable(w, "tier", "operations", "attempts", "refused by sidecars", "failed", "turned away by instances", "work lost", "refusals differ by")
	for n, x := range a.Tiers {
		t.AppendRow(table.Row{n, x.Requests, x.Attempts, x.Rejected, x.Failed, x.RejectedAttempts, decimals3(x.LostWork), decimals3(x.RejectionSpread)})
	}
	t.Render()
	t = newTable(w, "tier", "instances", "probes, most a second", "trials at one, most", "most a second", "connections to one, most", "most a second")
	for n := range a.Tiers {
		count, probes, afterFailure, afterFailurePerSecond, connections, connectionsPerSecond := 0, 0, 0, 0, 0, 0
		for _, i := range a.Instances {
			if i.Tier == n {
				count++
				probes = max(probes, i.Probes.MaxPerSecond)
				afterFailure, afterFailurePerSecond = max(afterFailure, i.AttemptsAfterFailure.Count), max(afterFailurePerSecond, i.AttemptsAfterFailure.MaxPerSecond)
				connections, connectionsPerSecond = max(connections, i.Connections.Count), max(connectionsPerSecond, i.Connections.MaxPerSecond)
			}
		}
		t.AppendRow(table.Row{n, count, probes, afterFailure, afterFailurePerSecond, connections, connectionsPerSecond})
	}
	t.Render()
	t = newTable(w, "calls to discovery", "most a second")
	t.AppendRow(table.Row{a.Discovery.Count, a.Discovery.MaxPerSecond})
	t.Render()
}
