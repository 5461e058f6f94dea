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

func drillCommand() *cli.Command {
	return &cli.Command{
		Name: "drill", Usage: "cause a failure with real processes and see whether a promise holds", ArgsUsage: "NAME | list",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "the form that CI runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of all draws"},
			&cli.IntFlag{Name: "repeats", Usage: "of the failure (default: the drill's own number)"},
			&cli.StringFlag{Name: "wrong", Usage: "run it wrongly on purpose, in one of the drill's ways: its promise must break"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep what it leaves in this folder"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := one(c, "drill (or list)")
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
			o := drill.Options{Short: c.Bool("short"), Seed: c.Uint64("seed"), Repeats: c.Int("repeats"), Defect: c.String("wrong")}
			if o.Defect != "" && !slices.Contains(d.Defects, o.Defect) {
				return fmt.Errorf("--wrong: drill %s has no %q, only %q", d.Name, o.Defect, d.Defects)
			}
			var release func()
			if o.Binary, release, err = sidecarProgram(ctx, c); err != nil {
				return err
			}
			defer release()
			if d.NeedsControl {
				if o.ControlBinary, release, err = findProgram(ctx, c, "kitewood-control"); err != nil {
					return err
				}
				defer release()
			}
			if o.LabBinary, err = os.Executable(); err != nil {
				return err
			}
			if o.Log, err = logger(c); err != nil {
				return err
			}
			if o.Dir, release, err = workFolder(c); err != nil {
				return err
			}
			defer release()
			out, err := d.Run(ctx, o)
			if err != nil {
				return fmt.Errorf("drill %s: %w", d.Name, err)
			}
			pass := out.Pass()
			if c.Bool("json") {
				figures := map[string]float64{}
				for _, f := range out.Metrics {
					figures[f.Name] = f.Value
				}
				if err := json.NewEncoder(w).Encode(map[string]any{"drill": d.Name, "pass": pass, "figures": figures, "notes": out.Notes}); err != nil {
					return err
				}
			} else {
				t := newTable(w, "drill "+d.Name, "figure", "bound", "held")
				for _, f := range out.Metrics {
					held := ""
					if f.Bound != "" {
						held = map[bool]string{true: "yes", false: "NO"}[f.Passed]
					}
					t.AppendRow([]any{f.Name, strconv.FormatFloat(f.Value, 'f', -1, 64), f.Bound, held})
				}
				t.Render()
				for _, n := range out.Notes {
					fmt.Fprintln(w, n)
				}
			}
			if !pass {
				return fmt.Errorf("drill %s: its promise did not hold", d.Name)
			}
			return nil
		},
	}
}
