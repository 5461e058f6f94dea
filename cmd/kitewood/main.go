// Command kitewood is a sidecar: it takes clients' operations on its front socket to the destinations that the
// decision module chooses.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"kitewood/internal/program"
	"kitewood/internal/release"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "kitewood:", err)
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
				Usage: "run the sidecar that $ROUTER_CONFIG describes until SIGTERM; at SIGHUP, read discovery from it again",
				Flags: []cli.Flag{&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					var level slog.Level
					if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
						return fmt.Errorf("--log-level: %w", err)
					}
					config, err := program.Load(os.Getenv)
					if err != nil {
						return err
					}
					log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
					reload := func() (*program.Config, error) { return program.Reload(os.Getenv) }
					return program.Serve(ctx, config, reload, log)
				},
			},
			{
				Name:  "check-config",
				Usage: "read the configuration as serve would, and say what is wrong with it",
				Action: func(_ context.Context, c *cli.Command) error {
					config, err := program.Load(os.Getenv)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "ok: %s on %s, tier %d, %d classes, %d destinations known\n", config.Name,
						config.Listen, config.Module.Tier, len(config.Classes), len(config.Known.Destinations))
					return nil
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
