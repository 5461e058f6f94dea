package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/dataplane"
	"kitewood/internal/lab/emulator"
	"kitewood/internal/lab/results"
)

// sidecars is what the proxies are compared with.
const sidecars = "kitewood"

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name: "proxy", Usage: "run one proxy of another kind in the place of a sidecar, as the lab does", Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Value: dataplane.RoundRobin, Usage: strings.Join(dataplane.Policies, ", ")},
			&cli.StringFlag{Name: "control", Usage: "address of the control service"},
			&cli.StringFlag{Name: "pool", Usage: "whose destinations it sends to"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := logger(c)
			if err != nil {
				return err
			}
			file := os.Getenv("ROUTER_CONFIG")
			if file == "" {
				return errors.New("ROUTER_CONFIG is not set: it names the configuration file")
			}
			return dataplane.Serve(ctx, file, dataplane.Options{Policy: c.String("policy"), Control: c.String("control"), Pool: c.String("pool"), Log: log})
		},
	}
}

func proxiesCommand() *cli.Command {
	return &cli.Command{
		Name: "proxies", ArgsUsage: "[SCENARIO...]",
		Usage: "play scenarios with proxies on round robin, on least request, on kitewood-control's weights, and with kitewood sidecars",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "to play, from 1"},
			&cli.StringSliceFlag{Name: "policy", Usage: "one of " + strings.Join(append(slices.Clone(dataplane.Policies), sidecars), ", ") + "; several (default: all)"},
			&cli.DurationFlag{Name: "duration", Usage: "play so long instead of the scenario's duration"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "runs at a time: more than a quarter of the cores disturb each other"},
			&cli.StringFlag{Name: "out", Usage: "folder of the results (default: one under lab-results/)"},
			&cli.StringFlag{Name: "chart", Usage: "draw the services into this SVG file"},
		},
		Action: compareProxies,
	}
}

// cell is a run of the comparison.
type cell struct {
	scenario, policy string
	seed             uint64
	sum              *results.Summary
	err              error
}

func compareProxies(ctx context.Context, c *cli.Command) error {
	names := c.Args().Slice()
	if len(names) == 0 {
		names = []string{"vanish", "slow", "deploy", "late-reports"}
	}
	policies := c.StringSlice("policy")
	if len(policies) == 0 {
		policies = append(slices.Clone(dataplane.Policies), sidecars)
	}
	for _, p := range policies {
		if p != sidecars && !slices.Contains(dataplane.Policies, p) {
			return fmt.Errorf("no policy %q: there are %s, %s", p, strings.Join(dataplane.Policies, ", "), sidecars)
		}
	}
	if c.Int("seeds") < 1 || c.Int("parallel") < 1 {
		return errors.New("--seeds and --parallel must be at least 1")
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := logger(c)
	if err != nil {
		return err
	}
	kitewood, release, err := sidecarProgram(ctx, c)
	defer release()
	if err != nil {
		return err
	}
	control, release, err := findProgram(ctx, c, "kitewood-control")
	defer release()
	if err != nil {
		return err
	}
	base := play{binary: kitewood, log: log, out: c.String("out")}
	if base.out == "" {
		base.out = filepath.Join("lab-results", "proxies-"+time.Now().Format("20060102T150405"))
	}
	var cells []*cell
	for seed := range c.Int("seeds") { // interleaved, so that what else the machine does falls on all alike
		for _, name := range names {
			for _, policy := range policies {
				cells = append(cells, &cell{scenario: name, policy: policy, seed: uint64(seed + 1)})
			}
		}
	}
	places := make(chan bool, c.Int("parallel"))
	var wait sync.WaitGroup
	for _, x := range cells {
		places <- true
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() {
			defer func() { <-places }()
			x.err = x.play(ctx, base, c.Duration("duration"), emulator.Proxies{Program: own, Control: control})
			if x.err == nil {
				fmt.Fprintf(c.Root().ErrWriter, "%s, %s, seed %d: service %s, p99 %.0f ms, %d broken rules\n", x.scenario, x.policy, x.seed,
					f3(x.sum.Service.Service), x.sum.Latency.P99, x.sum.Violations())
			}
		})
	}
	wait.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	rows := results.Table{}
	for _, x := range cells {
		if x.err != nil {
			return fmt.Errorf("%s, %s, seed %d: %w", x.scenario, x.policy, x.seed, x.err)
		}
		rows.Add(x.scenario, x.policy, x.sum)
	}
	proxyTable(c.Root().Writer, &rows)
	if path := c.String("chart"); path != "" {
		return chartProxies(path, &rows)
	}
	return nil
}

// play plays one run. base holds what all runs have in common.
func (x *cell) play(ctx context.Context, base play, last time.Duration, other emulator.Proxies) (err error) {
	if base.scenario, err = findScenario(x.scenario); err != nil {
		return err
	}
	base.scenario.SetDuration(last)
	base.seed, base.out = x.seed, filepath.Join(base.out, fmt.Sprintf("%s-%s-seed%d", x.scenario, x.policy, x.seed))
	if other.Policy = x.policy; x.policy != sidecars {
		base.proxies = &other
	}
	_, x.sum, _, err = base.run(ctx)
	return err
}
