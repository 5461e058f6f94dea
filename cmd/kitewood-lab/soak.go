package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/fleet"
	"kitewood/internal/lab/wrong"
)

// soakReport is what --json prints.
type soakReport struct {
	Pass  bool                `json:"pass"`
	Wrong string              `json:"wrong,omitempty"`
	Seeds []*fleet.SoakResult `json:"seeds"`
}

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "play fleets of real sidecars under faults that overlap, drawn from seeds, and hold them to every invariant",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many, one after another"},
			&cli.DurationFlag{Name: "duration", Value: 25 * time.Second, Usage: "of each"},
			&cli.IntFlag{Name: "sidecars", Value: 12, Usage: fmt.Sprintf("processes in all tiers, %d to %d", fleet.MinSoakSidecars, fleet.MaxSoakSidecars)},
			&cli.StringFlag{Name: "wrong", Usage: "show that an invariant can fail, with sidecars that are wrong: " + strings.Join(wrong.Modes(), ", ")},
			&cli.DurationFlag{Name: "slack", Usage: "added to every time limit, on a machine that is busy with more (default: the protocol's 50ms)"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep what the runs leave in this folder; what broke is kept anyway"},
		},
		Action: soak,
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	o := fleet.SoakOptions{Sidecars: c.Int("sidecars"), Duration: c.Duration("duration"), Defect: c.String("wrong"), Slack: c.Duration("slack")}
	if o.Defect != "" && !slices.Contains(wrong.Modes(), o.Defect) {
		return fmt.Errorf("--wrong: nothing is called %q, there are %s", o.Defect, strings.Join(wrong.Modes(), ", "))
	}
	if c.Int("seeds") < 1 {
		return fmt.Errorf("--seeds: at least 1, not %d", c.Int("seeds"))
	}
	release, err := soakProgram(ctx, c, &o)
	if err != nil {
		return err
	}
	defer release()
	if o.Log, err = logger(c); err != nil {
		return err
	}
	dir, release, err := workFolder(c)
	if err != nil {
		return err
	}
	report := soakReport{Pass: true, Wrong: o.Defect}
	defer func() {
		if report.Pass {
			release()
		}
	}()
	text := c.Root().Writer
	for n := range c.Int("seeds") {
		o.Seed = c.Uint64("seed") + uint64(n)
		o.Dir = fleet.SoakDir(dir, o.Seed)
		r, err := fleet.Soak(ctx, o)
		if err != nil {
			report.Pass = false
			return err
		}
		report.Seeds = append(report.Seeds, r)
		report.Pass = report.Pass && len(r.Violations) == 0
		if !c.Bool("json") {
			tellSoak(text, r)
		}
	}
	if c.Bool("json") {
		out := json.NewEncoder(text)
		out.SetIndent("", " ")
		if err := out.Encode(report); err != nil {
			return err
		}
	}
	if !report.Pass {
		return fmt.Errorf("invariants were violated; the runs are kept in %s", dir)
	}
	return nil
}

// soakProgram finds the sidecar's program; a wrong sidecar is this program itself.
func soakProgram(ctx context.Context, c *cli.Command, o *fleet.SoakOptions) (release func(), err error) {
	if o.Defect != "" {
		o.Binary, err = os.Executable()
		return func() {}, err
	}
	o.Binary, release, err = sidecarProgram(ctx, c)
	return release, err
}

// tellSoak prints a seed's line, and the trace of what it broke.
func tellSoak(w io.Writer, r *fleet.SoakResult) {
	fmt.Fprintf(w, "seed %d: %d sidecars (%s), %d clients, %.2f served in time, %d attempts, %d faults, %d violations\n", r.Seed, r.Sidecars, r.ConfigFormat,
		r.ClientRequests, r.ServedShare, r.Attempts, len(r.Faults), len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Fprintf(w, "  fault %6d ms  %s\n", f.AtMS, f.Text)
		}
		fmt.Fprintf(w, "  kept in %s\n", r.Dir)
	}
}
