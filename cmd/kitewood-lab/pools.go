package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/services"
	"kitewood/scenarios"
)

// poolsCommand builds the pools command, which runs a scenario against one kitewood process with several pools.
func poolsCommand() *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "run a scenario with one kitewood process that serves several pools", ArgsUsage: "SCENARIO | list",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of the scenario's duration; its faults keep their times"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep configuration, endpoint lists and log in this directory"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "pools SCENARIO (or list)")
			if err != nil {
				return err
			}
			w := c.Root().Writer
			if name == "list" {
				for _, n := range scenarios.PoolNames() {
					s, err := loadPoolsScenario(n)
					if err != nil {
						return err
					}
					fmt.Fprintf(w, "%-18s %s\n", n, s.Description)
				}
				return nil
			}
			opts := services.Options{Seed: c.Uint64("seed")}
			if opts.Scenario, err = loadPoolsScenario(name); err != nil {
				return err
			}
			if d := c.Duration("duration"); d > 0 {
				opts.Scenario.Duration = services.Duration(d)
			}
			var release func()
			if opts.Binary, release, err = findSidecarProgram(ctx, c); err != nil {
				return err
			}
			defer release()
			if opts.Dir, release, err = workDir(c); err != nil {
				return err
			}
			defer release()
			result, err := services.Run(ctx, opts)
			if err != nil {
				return err
			}
			violations := printPools(c, result)
			switch {
			case !result.Clean:
				return fmt.Errorf("pools: the kitewood process did not exit cleanly: %s", result.Problems)
			case violations > 0:
				return fmt.Errorf("pools: %d rule violations", violations)
			}
			return nil
		},
	}
}

// printPools prints a result and returns the number of rule violations: requests without an answer, unsafe requests that
// reached endpoints more than once, and requests with several attempts in flight at once.
func printPools(c *cli.Command, result *services.Result) (violations int) {
	for _, p := range result.Pools {
		violations += p.Statuses["none"] + p.Concurrent
		if p.Unsafe {
			violations += p.Retried
		}
	}
	w := c.Root().Writer
	if c.Bool("json") {
		json.NewEncoder(w).Encode(map[string]any{"pools": result.Pools, "broken": violations, "clean": result.Clean})
		return violations
	}
	t := newTable(w, "pool", "requests", "in time", "busy", "failed", "other", "no answer", "p50 ms", "p99 ms", "longest s", "came again", "copies")
	for _, p := range result.Pools {
		s := p.Summary
		other := s.Intended - s.OK - p.Statuses["503"] - p.Statuses["502"] - p.Statuses["none"]
		t.AppendRow([]any{p.Name, s.Intended, fmt.Sprintf("%.4f", p.OKShare()), p.Statuses["503"], p.Statuses["502"], other, p.Statuses["none"],
			fmt.Sprintf("%.1f", s.Latency.P50), fmt.Sprintf("%.1f", s.Latency.P99), fmt.Sprintf("%.2f", p.MaxLatency.Seconds()), p.Retried, p.Concurrent})
	}
	t.Render()
	return violations
}

// loadPoolsScenario reads a pools scenario by its path, or by the name of a built-in one.
func loadPoolsScenario(name string) (*services.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		var builtinErr error
		if file, text, builtinErr = scenarios.Find("pools/" + name); builtinErr != nil {
			return nil, fmt.Errorf("no pools scenario %s: neither a file nor a built-in scenario (see kitewood-lab pools list)", name)
		}
	}
	return services.Read(file, text)
}
