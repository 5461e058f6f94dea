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

// kitewoodPolicy is the policy name that stands for kitewood sidecars, with which the proxies are compared.
const kitewoodPolicy = "kitewood"

// proxyCommand builds the hidden proxy command, which the lab starts in place of a sidecar.
func proxyCommand() *cli.Command {
	return &cli.Command{
		Name: "proxy", Usage: "run a proxy in place of a sidecar, as the lab does for the proxies command", Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Value: dataplane.RoundRobin, Usage: strings.Join(dataplane.Policies, ", ")},
			&cli.StringFlag{Name: "control", Usage: "address of the control service"},
			&cli.StringFlag{Name: "pool", Usage: "pool to whose endpoints it sends"},
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

// proxiesCommand builds the proxies command, which compares proxies of several policies with kitewood sidecars.
func proxiesCommand() *cli.Command {
	return &cli.Command{
		Name: "proxies", ArgsUsage: "[SCENARIO...]",
		Usage: "run scenarios with proxies that use round robin, least request or the weights of kitewood-control, and with kitewood sidecars",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds to run, starting at 1"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policy to compare, one of " + strings.Join(append(slices.Clone(dataplane.Policies), kitewoodPolicy), ", ") + "; may be repeated (default: all)"},
			&cli.DurationFlag{Name: "duration", Usage: "run for this long instead of the scenario's duration"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "number of concurrent runs; above a quarter of the cores they disturb each other"},
			&cli.StringFlag{Name: "out", Usage: "result directory (default: a new one under lab-results/)"},
			&cli.StringFlag{Name: "chart", Usage: "write a chart of the service shares to this SVG file"},
		},
		Action: compareProxies,
	}
}

// proxyRun is one run of the comparison.
type proxyRun struct {
	scenario, policy string
	seed             uint64
	summary          *results.Summary
	err              error
}

// compareProxies runs all combinations of seed, scenario and policy, and prints the means over the seeds.
func compareProxies(ctx context.Context, c *cli.Command) error {
	scenarios := c.Args().Slice()
	if len(scenarios) == 0 {
		scenarios = []string{"vanish", "slow", "deploy", "late-reports"}
	}
	policies := c.StringSlice("policy")
	if len(policies) == 0 {
		policies = append(slices.Clone(dataplane.Policies), kitewoodPolicy)
	}
	for _, p := range policies {
		if p != kitewoodPolicy && !slices.Contains(dataplane.Policies, p) {
			return fmt.Errorf("unknown policy %q: want one of %s, %s", p, strings.Join(dataplane.Policies, ", "), kitewoodPolicy)
		}
	}
	if c.Int("seeds") < 1 || c.Int("parallel") < 1 {
		return errors.New("--seeds and --parallel must be at least 1")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := logger(c)
	if err != nil {
		return err
	}
	kitewood, release, err := findSidecarProgram(ctx, c)
	defer release()
	if err != nil {
		return err
	}
	control, release, err := findProgram(ctx, c, "kitewood-control")
	defer release()
	if err != nil {
		return err
	}
	base := scenarioRun{binary: kitewood, log: log, outDir: c.String("out")}
	if base.outDir == "" {
		base.outDir = filepath.Join("lab-results", "proxies-"+time.Now().Format("20060102T150405"))
	}
	var runs []*proxyRun
	for seed := range c.Int("seeds") { // interleaved, so that other load on the machine affects all policies alike
		for _, scenario := range scenarios {
			for _, policy := range policies {
				runs = append(runs, &proxyRun{scenario: scenario, policy: policy, seed: uint64(seed + 1)})
			}
		}
	}
	slots := make(chan bool, c.Int("parallel"))
	var wg sync.WaitGroup
	for _, r := range runs {
		slots <- true
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			r.err = r.run(ctx, base, c.Duration("duration"), emulator.Proxies{Program: self, Control: control})
			if r.err == nil {
				fmt.Fprintf(c.Root().ErrWriter, "%s, %s, seed %d: service %s, p99 %.0f ms, %d rule violations\n", r.scenario, r.policy, r.seed,
					decimals3(r.summary.Service.Service), r.summary.Latency.P99, r.summary.Violations())
			}
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	rows := results.Table{}
	for _, r := range runs {
		if r.err != nil {
			return fmt.Errorf("%s, %s, seed %d: %w", r.scenario, r.policy, r.seed, r.err)
		}
		rows.Add(r.scenario, r.policy, r.summary)
	}
	printProxyTable(c.Root().Writer, &rows)
	if path := c.String("chart"); path != "" {
		return writeProxyChart(path, &rows)
	}
	return nil
}

// run executes the run and stores its summary. base holds what all runs have in common; proxies is used for all policies but
// kitewoodPolicy.
func (r *proxyRun) run(ctx context.Context, base scenarioRun, duration time.Duration, proxies emulator.Proxies) (err error) {
	if base.scenario, err = loadScenario(r.scenario); err != nil {
		return err
	}
	base.scenario.SetDuration(duration)
	base.seed, base.outDir = r.seed, filepath.Join(base.outDir, fmt.Sprintf("%s-%s-seed%d", r.scenario, r.policy, r.seed))
	if proxies.Policy = r.policy; r.policy != kitewoodPolicy {
		base.proxies = &proxies
	}
	_, r.summary, _, err = base.run(ctx)
	return err
}
