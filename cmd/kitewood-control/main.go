// Command kitewood-control hands the decision module's view of pools to other proxies over xDS.
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
		// One line, as supervisors show one.
		fmt.Fprintln(os.Stderr, "kitewood-control:", yamlfile.OneLine(err))
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := func() cli.Flag {
		return &cli.StringFlag{Name: "config", Required: true, Usage: "YAML configuration (docs/control.md)"}
	}
	return &cli.Command{
		Name:  "kitewood-control",
		Usage: "a control service that tells proxies over xDS where to send",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "serve proxies until SIGTERM",
				Flags: []cli.Flag{file(), &cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"}},
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
				Name: "check-config", Usage: "read a configuration as serve would and print the whole of it",
				Flags: []cli.Flag{file()},
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
				Name: "status", Usage: "show the proxies of the process that serves a configuration, from its admin socket",
				Flags: []cli.Flag{file(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
				Action: func(_ context.Context, c *cli.Command) error {
					socket, err := adminOf(c)
					if err != nil {
						return err
					}
					s, err := control.Ask(socket)
					if err != nil {
						return fmt.Errorf("admin: %w", err)
					}
					if c.Bool("json") {
						e := json.NewEncoder(c.Root().Writer)
						e.SetIndent("", "  ")
						return e.Encode(s)
					}
					return table(c.Root().Writer, s)
				},
			},
			{
				Name: "members", Usage: "show the merged lists of destinations, what each source says of them, and what is held",
				Flags: []cli.Flag{file(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}, &cli.BoolFlag{Name: "follow", Usage: "go on with each change"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					socket, err := adminOf(c)
					if err != nil {
						return err
					}
					return members(ctx, c.Root().Writer, socket, c.Bool("json"), c.Bool("follow"))
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

// adminOf is the admin socket that a command's configuration names.
func adminOf(c *cli.Command) (string, error) {
	f, err := control.Load(c.String("config"))
	if err != nil {
		return "", err
	}
	if f.Admin == "" {
		return "", errors.New("admin is not set in the configuration: the process shows nothing")
	}
	return f.Admin, nil
}

// table writes a status for people.
func table(out io.Writer, s control.Status) error {
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
				t.Acked, t.WaitingMS, t.Refused)
		}
	}
	fmt.Fprintln(w, "\nDRAINS AT\tPEER\tLAST ANSWERED AFTER\tUNANSWERED FOR")
	for _, p := range s.Proxies {
		fmt.Fprintf(w, "%s\t%s\t%.1fms\t%.1fms\n", p.Node, p.Peer, p.DrainedMS, p.OwesMS)
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
