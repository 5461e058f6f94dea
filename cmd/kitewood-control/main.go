// Command kitewood-control serves the decision module's view of pools to other proxies over xDS.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"kitewood/internal/control"
	"kitewood/internal/release"
	"kitewood/internal/yamlfile"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		// One line, as supervisors show only one.
		fmt.Fprintln(os.Stderr, "kitewood-control:", yamlfile.OneLine(err))
		os.Exit(1)
	}
}

// command returns the command line of the program.
func command() *cli.Command {
	configFlag := func() cli.Flag {
		return &cli.StringFlag{Name: "config", Required: true, Usage: "YAML configuration (docs/control.md)"}
	}
	return &cli.Command{
		Name:  "kitewood-control",
		Usage: "a control service that serves endpoints and routes to proxies over xDS",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "serve proxies until SIGTERM",
				Flags: []cli.Flag{configFlag(), &cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					var level slog.Level
					if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
						return fmt.Errorf("--log-level: %w", err)
					}
					f, err := control.Load(c.String("config"))
					if err != nil {
						return err
					}
					ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
					defer stop()
					return control.Serve(ctx, f, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
				},
			},
			{
				Name: "check-config", Usage: "validate a configuration and print it with its defaults",
				Flags: []cli.Flag{configFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					f, err := control.Load(c.String("config"))
					if err != nil {
						return err
					}
					text, err := yaml.Marshal(f)
					if err == nil {
						_, err = c.Root().Writer.Write(text)
					}
					return err
				},
			},
			{
				Name: "status", Usage: "show the connected proxies, from the admin socket of the running process",
				Flags: []cli.Flag{configFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
				Action: func(_ context.Context, c *cli.Command) error {
					socket, err := adminSocket(c)
					if err != nil {
						return err
					}
					s, err := control.QueryStatus(socket)
					if err != nil {
						return fmt.Errorf("admin: %w", err)
					}
					if c.Bool("json") {
						e := json.NewEncoder(c.Root().Writer)
						e.SetIndent("", "  ")
						return e.Encode(s)
					}
					return writeStatus(c.Root().Writer, s)
				},
			},
			{
				Name: "members", Usage: "show the merged endpoint lists, what each source reports and why a state differs from the reports",
				Flags: []cli.Flag{configFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}, &cli.BoolFlag{Name: "follow", Usage: "print each change as it happens"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					socket, err := adminSocket(c)
					if err != nil {
						return err
					}
					return writeMembers(ctx, c.Root().Writer, socket, c.Bool("json"), c.Bool("follow"))
				},
			},
			{
				Name: "version", Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					fmt.Fprintf(c.Root().Writer, "kitewood-control %s, revision %s\n", release.Version, release.Revision())
					return nil
				},
			},
		},
	}
}

// adminSocket returns the path of the admin socket from the configuration that a command names.
func adminSocket(c *cli.Command) (string, error) {
	f, err := control.Load(c.String("config"))
	if err != nil {
		return "", err
	}
	if f.Admin == "" {
		return "", errors.New("admin is not set in the configuration: the process has no admin socket")
	}
	return f.Admin, nil
}

// writeStatus writes a status as tables.
func writeStatus(out io.Writer, s control.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\t%d streams\tdrains answered\t%d, half within %.1f ms, all within %.1f ms\n\n", s.Name, len(s.Proxies), s.Drains.Count,
		s.Drains.P50MS, s.Drains.MaxMS)
	fmt.Fprintln(w, "NODE\tPEER\tVARIANT\tTYPE\tNAMES\tSENT\tACCEPTED\tWAITING\tREFUSED")
	for _, p := range s.Proxies {
		variant := map[bool]string{true: "delta", false: "whole"}[p.Delta]
		for _, t := range p.Types {
			names := "all"
			if t.Names >= 0 {
				names = fmt.Sprint(t.Names)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%dms\t%s\n", p.Node, p.Peer, variant, t.Type[strings.LastIndexByte(t.Type, '.')+1:], names, t.Sent,
				t.Acked, t.WaitingMS, t.NackReason)
		}
	}
	fmt.Fprintln(w, "\nDRAINS AT\tPEER\tLAST ANSWERED AFTER\tUNANSWERED FOR")
	for _, p := range s.Proxies {
		fmt.Fprintf(w, "%s\t%s\t%.1fms\t%.1fms\n", p.Node, p.Peer, p.DrainAckMS, p.DrainPendingMS)
	}
	fmt.Fprintln(w, "\nREPORTS OF\tAGE")
	for _, r := range s.Reports {
		fmt.Fprintf(w, "%s\t%dms\n", r.Proxy, r.AgeMS)
	}
	if len(s.OutOfBand) > 0 {
		fmt.Fprintln(w, "\nASKED OUT OF BAND\tDESTINATIONS\tTOLD\tDO NOT OFFER IT")
		for _, pool := range slices.Sorted(maps.Keys(s.OutOfBand)) {
			c := s.OutOfBand[pool]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", pool, c.Watched, c.Reporting, c.Unsupported)
		}
	}
	return w.Flush()
}
