package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/drill"
)

// drillCommand builds the drill command, which runs one failure drill or lists all.
func drillCommand() *cli.Command {
	return &cli.Command{
		Name: "drill", Usage: "cause a failure with real processes and check that a guarantee holds", ArgsUsage: "NAME | list",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "run the short form that CI runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed"},
			&cli.IntFlag{Name: "repeats", Usage: "how often to cause the failure (default: depends on the drill)"},
			&cli.StringFlag{Name: "wrong", Usage: "inject one of the drill's defects, to show that the drill then fails"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep the files of the drill in this directory"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArg(c, "drill (or list)")
			if err != nil {
				return err
			}
			w := c.Root().Writer
			if name == "list" {
				for _, d := range drill.All() {
					fmt.Fprintf(w, "%-12s %s\n", d.Name, d.Description)
				}
				return nil
			}
			d, err := drill.Find(name)
			if err != nil {
				return err
			}
			opts := drill.Options{Short: c.Bool("short"), Seed: c.Uint64("seed"), Repeats: c.Int("repeats"), Defect: c.String("wrong")}
			if opts.Defect != "" && !slices.Contains(d.Defects, opts.Defect) {
				return fmt.Errorf("--wrong: drill %s has no defect %q; its defects are %q", d.Name, opts.Defect, d.Defects)
			}
			var release func()
			if opts.Binary, release, err = findSidecarProgram(ctx, c); err != nil {
				return err
			}
			defer release()
			if d.NeedsControl {
				if opts.ControlBinary, release, err = findProgram(ctx, c, "kitewood-control"); err != nil {
					return err
				}
				defer release()
			}
			if opts.LabBinary, err = os.Executable(); err != nil {
				return err
			}
			if opts.Log, err = logger(c); err != nil {
				return err
			}
			if opts.Dir, release, err = workDir(c); err != nil {
				return err
			}
			defer release()
			outcome, err := d.Run(ctx, opts)
			if err != nil {
				return fmt.Errorf("drill %s: %w", d.Name, err)
			}
			pass := outcome.Pass()
			if c.Bool("json") {
				metrics := map[string]float64{}
				for _, m := range outcome.Metrics {
					metrics[m.Name] = m.Value
				}
				if err := json.NewEncoder(w).Encode(map[string]any{"drill": d.Name, "pass": pass, "figures": metrics, "notes": outcome.Notes}); err != nil {
					return err
				}
			} else {
				t := newTable(w, "drill "+d.Name, "figure", "bound", "held")
				for _, m := range outcome.Metrics {
					held := ""
					if m.Bound != "" {
						held = map[bool]string{true: "yes", false: "NO"}[m.Passed]
					}
					t.AppendRow([]any{m.Name, strconv.FormatFloat(m.Value, 'f', -1, 64), m.Bound, held})
				}
				t.Render()
				for _, note := range outcome.Notes {
					fmt.Fprintln(w, note)
				}
			}
			if !pass {
				return fmt.Errorf("drill %s failed: its guarantee did not hold", d.Name)
			}
			return nil
		},
	}
}
