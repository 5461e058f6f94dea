// Command kitewood is a sidecar: it takes clients' operations on its listener to the destinations that the
// decision module chooses.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"kitewood/internal/program"
	"kitewood/internal/release"
	"kitewood/internal/yamlfile"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		// One line, as supervisors show one.
		fmt.Fprintln(os.Stderr, "kitewood:", yamlfile.OneLine(err))
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "kitewood",
		Usage: "a sidecar that balances operations over destinations",
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "run the sidecar that $ROUTER_CONFIG or --config describes until SIGTERM; at SIGHUP, read it again",
				Flags: []cli.Flag{&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"}, configFlag()},
				Action: func(ctx context.Context, c *cli.Command) error {
					var level slog.Level
					if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
						return fmt.Errorf("--log-level: %w", err)
					}
					log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
					if path := c.String("config"); path != "" {
						return program.ServeFile(ctx, path, log)
					}
					return program.Serve(ctx, os.Getenv, log)
				},
			},
			{
				Name:  "check-config",
				Usage: "read the configuration as serve would, and say what is wrong with it; of a --config, print the whole with defaults",
				Flags: []cli.Flag{configFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					if path := c.String("config"); path != "" {
						return program.CheckFile(path, c.Root().Writer)
					}
					config, err := program.Load(os.Getenv)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "ok: %s on %s, tier %d, %d classes, %d destinations known\n", config.Name,
						config.Listen, config.Balancer.Tier, len(config.Classes), len(config.CachedEndpoints.Endpoints))
					return nil
				},
			},
			{
				Name:  "pools",
				Usage: "show the pools of the process that serves a --config, from its admin socket",
				Flags: []cli.Flag{configFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
				Action: func(_ context.Context, c *cli.Command) error {
					if c.String("config") == "" {
						return errors.New("pools: --config names the configuration of the process")
					}
					return program.ShowPools(c.String("config"), c.Bool("json"), c.Root().Writer)
				},
			},
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					fmt.Fprintf(c.Root().Writer, "kitewood %s, revision %s\n", release.Version, release.Revision())
					return nil
				},
			},
		},
	}
}

// configFlag names a configuration of the product's own form.
func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "YAML configuration of pools and routes (docs/configuration.md), instead of $ROUTER_CONFIG"}
}
