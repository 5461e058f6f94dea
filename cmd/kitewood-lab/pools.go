package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/services"
	"kitewood/scenarios"
)

// poolsCommand plays a day of one process with several pools.
func poolsCommand() *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "play a scenario of one process that fronts several pools", ArgsUsage: "SCENARIO | list",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the arrivals"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long instead of the scenario's duration; its troubles keep their times"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep configuration, lists and log in this folder"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "pools SCENARIO (or list)")
			if err != nil {
				return err
			}
			w := c.Root().Writer
			if name == "list" {
				for _, n := range scenarios.PoolNames() {
					s, err := findPools(n)
					if err != nil {
						return err
					}
					fmt.Fprintf(w, "%-18s %s\n", n, s.Description)
				}
				return nil
			}
			o := services.Options{Seed: c.Uint64("seed")}
			if o.Scenario, err = findPools(name); err != nil {
				return err
			}
			if d := c.Duration("duration"); d > 0 {
				o.Scenario.Duration = services.Duration(d)
			}
			var release func()
			if o.Binary, release, err = sidecarProgram(ctx, c); err != nil {
				return err
			}
			defer release()
			if o.Dir, release, err = workFolder(c); err != nil {
				return err
			}
			defer release()
			r, err := services.Run(ctx, o)
			if err != nil {
				return err
			}
			broken := showPools(c, r)
			switch {
			case !r.Clean:
				return fmt.Errorf("pools: the process did not end cleanly: %s", r.Problems)
			case broken > 0:
				return fmt.Errorf("pools: %d broken rules", broken)
			}
			return nil
		},
	}
}

// showPools prints a result and tells how many rules were broken: requests without an answer, unsafe operations that came
// twice, and copies out at once.
func showPools(c *cli.Command, r *services.Result) (broken int) {
	for _, p := range r.Pools {
		broken += p.Statuses["none"] + p.Concurrent
		if p.Unsafe {
			broken += p.Retried
		}
	}
	w := c.Root().Writer
	if c.Bool("json") {
		json.NewEncoder(w).Encode(map[string]any{"pools": r.Pools, "broken": broken, "clean": r.Clean})
		return broken
	}
	t := newTable(w, "pool", "requests", "in time", "busy", "failed", "other", "no answer", "p50 ms", "p99 ms", "longest s", "came again", "copies")
	for _, p := range r.Pools {
		s := p.Summary
		other := s.Intended - s.OK - p.Statuses["503"] - p.Statuses["502"] - p.Statuses["none"]
		t.AppendRow([]any{p.Name, s.Intended, fmt.Sprintf("%.4f", p.OKShare()), p.Statuses["503"], p.Statuses["502"], other, p.Statuses["none"],
			fmt.Sprintf("%.1f", s.Latency.P50), fmt.Sprintf("%.1f", s.Latency.P99), fmt.Sprintf("%.2f", p.MaxLatency.Seconds()), p.Retried, p.Concurrent})
	}
	t.Render()
	return broken
}

// findPools reads a scenario by its path, or by the name of one that ships.
func findPools(name string) (*services.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		var shipped error
		if file, text, shipped = scenarios.Find("pools/" + name); shipped != nil {
			return nil, fmt.Errorf("no scenario %s: kitewood-lab pools list names those that ship", name)
		}
	}
	return services.Read(file, text)
}
