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

// soakReport is the output of soak --json.
type soakReport struct {
	Pass   bool                `json:"pass"`
	Defect string              `json:"wrong,omitempty"`
	Seeds  []*fleet.SoakResult `json:"seeds"`
}

// soakCommand builds the soak command, which checks the invariants on fleets under random faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run fleets of real sidecars under overlapping random faults and check every invariant",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first random seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds, run one after another"},
			&cli.DurationFlag{Name: "duration", Value: 25 * time.Second, Usage: "duration of each run"},
			&cli.IntFlag{Name: "sidecars", Value: 12, Usage: fmt.Sprintf("sidecar processes in all tiers, %d to %d", fleet.MinSoakSidecars, fleet.MaxSoakSidecars)},
			&cli.StringFlag{Name: "wrong", Usage: "use sidecars with a defect, to show that an invariant can fail: " + strings.Join(wrong.Modes(), ", ")},
			&cli.DurationFlag{Name: "slack", Usage: "added to every time limit, for a machine under other load (default: the 50ms of the protocol)"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "out", Usage: "keep the files of the runs in this directory; after a violation they are always kept"},
		},
		Action: runSoak,
	}
}

// runSoak runs the soak with consecutive seeds. Without --out, it removes the files of the runs if none of them failed.
func runSoak(ctx context.Context, c *cli.Command) error {
	opts := fleet.SoakOptions{Sidecars: c.Int("sidecars"), Duration: c.Duration("duration"), Defect: c.String("wrong"), Slack: c.Duration("slack")}
	if opts.Defect != "" && !slices.Contains(wrong.Modes(), opts.Defect) {
		return fmt.Errorf("--wrong: unknown mode %q, want one of %s", opts.Defect, strings.Join(wrong.Modes(), ", "))
	}
	if c.Int("seeds") < 1 {
		return fmt.Errorf("--seeds must be at least 1, got %d", c.Int("seeds"))
	}
	release, err := findSoakProgram(ctx, c, &opts)
	if err != nil {
		return err
	}
	defer release()
	if opts.Log, err = logger(c); err != nil {
		return err
	}
	dir, release, err := workDir(c)
	if err != nil {
		return err
	}
	report := soakReport{Pass: true, Defect: opts.Defect}
	defer func() {
		if report.Pass {
			release()
		}
	}()
	w := c.Root().Writer
	for n := range c.Int("seeds") {
		opts.Seed = c.Uint64("seed") + uint64(n)
		opts.Dir = fleet.SoakDir(dir, opts.Seed)
		result, err := fleet.Soak(ctx, opts)
		if err != nil {
			report.Pass = false
			return err
		}
		report.Seeds = append(report.Seeds, result)
		report.Pass = report.Pass && len(result.Violations) == 0
		if !c.Bool("json") {
			printSoakResult(w, result)
		}
	}
	if c.Bool("json") {
		enc := json.NewEncoder(w)
		enc.SetIndent("", " ")
		if err := enc.Encode(report); err != nil {
			return err
		}
	}
	if !report.Pass {
		return fmt.Errorf("invariants were violated; the files of the runs are kept in %s", dir)
	}
	return nil
}

// findSoakProgram sets the sidecar program in opts. Sidecars with a defect are run by this program itself.
func findSoakProgram(ctx context.Context, c *cli.Command, opts *fleet.SoakOptions) (release func(), err error) {
	if opts.Defect != "" {
		opts.Binary, err = os.Executable()
		return func() {}, err
	}
	opts.Binary, release, err = findSidecarProgram(ctx, c)
	return release, err
}

// printSoakResult prints a line for a seed, followed by its violations and faults if there are violations.
func printSoakResult(w io.Writer, result *fleet.SoakResult) {
	fmt.Fprintf(w, "seed %d: %d sidecars (%s), %d clients, %.2f served in time, %d attempts, %d faults, %d violations\n", result.Seed, result.Sidecars, result.ConfigFormat,
		result.ClientRequests, result.ServedShare, result.Attempts, len(result.Faults), len(result.Violations))
	for _, v := range result.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
	if len(result.Violations) > 0 {
		for _, f := range result.Faults {
			fmt.Fprintf(w, "  fault %6d ms  %s\n", f.AtMS, f.Text)
		}
		fmt.Fprintf(w, "  kept in %s\n", result.Dir)
	}
}
