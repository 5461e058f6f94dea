// Command kitewood-lab proves kitewood: an emulator of the platform round real sidecars, an open-loop load generator,
// drills, comparisons and reports.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/scenario"
	"kitewood/internal/lab/wrong"
	"kitewood/scenarios"
)

func main() {
	// The soak starts this program in the sidecars' place to show that its checks can fail.
	if mode := os.Getenv(wrong.ModeVariable); mode != "" && len(os.Args) > 1 && os.Args[1] == "serve" {
		if err := wrong.Serve(mode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "kitewood-lab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "kitewood-lab",
		Usage: "emulate the platform round real kitewood sidecars, load them, and judge what reached the stand-ins",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
			&cli.StringFlag{Name: "kitewood", Usage: "the sidecar's program (default: kitewood beside this program)"},
			&cli.StringFlag{Name: "kitewood-control", Usage: "the control service's program (default: the one beside this program)"},
		},
		Commands: []*cli.Command{demoCommand(), runCommand(), emulateCommand(), checkCommand(), listCommand(), loadCommand(), recordCommand(),
			replayCommand(), drillCommand(), fleetCommand(), soakCommand(), poolsCommand(), compareCommand(), proxiesCommand(), proxyCommand(), countCommand(), reportCommand()},
	}
}

func logger(c *cli.Command) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// sidecarProgram finds the program that the emulator starts: the one that was named, or the one beside this program.
func sidecarProgram(ctx context.Context, c *cli.Command) (path string, release func(), err error) {
	return findProgram(ctx, c, "kitewood")
}

// findProgram finds a program of this repository: the one that was named, or the one beside this program. Where there is
// none, as under go run, it is built into a folder of its own, which release removes.
func findProgram(ctx context.Context, c *cli.Command, name string) (path string, release func(), err error) {
	release = func() {}
	path = c.String(name)
	if path == "" {
		own, err := os.Executable()
		if err != nil {
			return "", release, err
		}
		path = filepath.Join(filepath.Dir(own), name)
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			if path, release, err = build(ctx, name); err != nil {
				return "", release, err
			}
		}
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", release, fmt.Errorf("%s is no program: name %s's with --%s", path, name, name)
	}
	path, err = filepath.Abs(path)
	return path, release, err
}

func build(ctx context.Context, name string) (path string, release func(), err error) {
	dir, err := os.MkdirTemp("", "kitewood-build-")
	if err != nil {
		return "", func() {}, err
	}
	release = func() { os.RemoveAll(dir) }
	path = filepath.Join(dir, name)
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "kitewood/cmd/"+name).CombinedOutput(); err != nil {
		release()
		return "", func() {}, fmt.Errorf("no %s beside this program, and building it failed (name it with --%s): %s", name, name, bytes.TrimSpace(out))
	}
	return path, release, nil
}

// workFolder is the folder that --out names, made if it is not there, or one that release removes.
func workFolder(c *cli.Command) (dir string, release func(), err error) {
	if out := c.String("out"); out != "" {
		if dir, err = filepath.Abs(out); err == nil {
			err = os.MkdirAll(dir, 0o755)
		}
		return dir, func() {}, err
	}
	dir, err = os.MkdirTemp("", "kitewood-"+c.Name+"-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// one is the single argument of a command.
func one(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one %s, not %d", c.Name, what, c.Args().Len())
	}
	return c.Args().First(), nil
}

func findScenario(name string) (*scenario.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		return nil, fmt.Errorf("no scenario %s: it is neither a file nor one that ships (kitewood-lab list)", name)
	}
	return scenario.Read(file, text)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "read a scenario file and say what is wrong with it, by line and key", ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := one(c, "scenario")
			if err != nil {
				return err
			}
			s, err := findScenario(name)
			if err != nil {
				return err
			}
			plan := s.Plan(s.Seed)
			fmt.Fprintf(c.Root().Writer, "ok: %s, %s, %d tiers, %d machines, %.1f requests/s, %d events\n", s.Name, s.Duration.D(),
				len(s.Tiers), len(plan.Machines), plan.BaseRate, len(plan.Events))
			return nil
		},
	}
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "name the scenarios that ship",
		Action: func(_ context.Context, c *cli.Command) error {
			var all []error
			for _, name := range scenarios.Names() {
				s, err := findScenario(name)
				if err != nil {
					all = append(all, err)
					continue
				}
				fmt.Fprintf(c.Root().Writer, "%-18s %6s  %s\n", name, s.Duration.D(), s.Description)
			}
			return errors.Join(all...)
		},
	}
}
