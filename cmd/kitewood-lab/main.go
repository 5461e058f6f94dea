// Command kitewood-lab tests kitewood: it emulates the platform around real sidecars, generates open-loop load, runs failure
// drills and soaks, compares results and renders reports.
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
	// The soak command starts this program as a faulty sidecar, to show that its checks can fail.
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

// command builds the root command.
func command() *cli.Command {
	return &cli.Command{
		Name:  "kitewood-lab",
		Usage: "emulate the platform around real kitewood sidecars, load them, and check what reached the emulated services",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
			&cli.StringFlag{Name: "kitewood", Usage: "path of the sidecar program (default: kitewood next to this program)"},
			&cli.StringFlag{Name: "kitewood-control", Usage: "path of the control service program (default: kitewood-control next to this program)"},
		},
		Commands: []*cli.Command{demoCommand(), runCommand(), emulateCommand(), checkCommand(), listCommand(), loadCommand(), recordCommand(),
			replayCommand(), drillCommand(), fleetCommand(), soakCommand(), poolsCommand(), compareCommand(), proxiesCommand(), proxyCommand(), countCommand(), reportCommand()},
	}
}

// logger returns a logger to stderr at the level of --log-level.
func logger(c *cli.Command) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// findSidecarProgram returns the path of the sidecar program, as findProgram does.
func findSidecarProgram(ctx context.Context, c *cli.Command) (path string, release func(), err error) {
	return findProgram(ctx, c, "kitewood")
}

// findProgram returns the absolute path of a program of this repository: the one that the flag of that name sets, or else the
// one next to this program. If neither exists, as under go run, it builds the program into a temporary directory, which
// release removes.
func findProgram(ctx context.Context, c *cli.Command, name string) (path string, release func(), err error) {
	release = func() {}
	path = c.String(name)
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", release, err
		}
		path = filepath.Join(filepath.Dir(self), name)
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			if path, release, err = buildProgram(ctx, name); err != nil {
				return "", release, err
			}
		}
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", release, fmt.Errorf("%s is not an executable file: set the path of %s with --%s", path, name, name)
	}
	path, err = filepath.Abs(path)
	return path, release, err
}

// buildProgram builds a program of this repository into a temporary directory, which release removes.
func buildProgram(ctx context.Context, name string) (path string, release func(), err error) {
	dir, err := os.MkdirTemp("", "kitewood-build-")
	if err != nil {
		return "", func() {}, err
	}
	release = func() { os.RemoveAll(dir) }
	path = filepath.Join(dir, name)
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", path, "kitewood/cmd/"+name).CombinedOutput(); err != nil {
		release()
		return "", func() {}, fmt.Errorf("no %s next to this program, and building it failed (set its path with --%s): %s", name, name, bytes.TrimSpace(output))
	}
	return path, release, nil
}

// workDir returns the directory that --out names, created if necessary, or else a temporary one, which release removes.
func workDir(c *cli.Command) (dir string, release func(), err error) {
	if out := c.String("out"); out != "" {
		if dir, err = filepath.Abs(out); err == nil {
			err = os.MkdirAll(dir, 0o755)
		}
		return dir, func() {}, err
	}
	dir, err = os.MkdirTemp("", "kitewood-"+c.Name+"-")
	return dir, func() { os.RemoveAll(dir) }, err
}

// singleArg returns the only argument of a command, or an error that describes the argument as what.
func singleArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes exactly one %s, got %d", c.Name, what, c.Args().Len())
	}
	return c.Args().First(), nil
}

// loadScenario reads a scenario by its path, or by the name of a built-in one.
func loadScenario(name string) (*scenario.Scenario, error) {
	file, text, err := scenarios.Find(name)
	if err != nil {
		return nil, fmt.Errorf("no scenario %s: neither a file nor a built-in scenario (see kitewood-lab list)", name)
	}
	return scenario.Read(file, text)
}

// checkCommand builds the check command, which validates a scenario file.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "validate a scenario file and report errors by line and key", ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := singleArg(c, "scenario")
			if err != nil {
				return err
			}
			s, err := loadScenario(name)
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

// listCommand builds the list command, which lists the built-in scenarios.
func listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list the built-in scenarios",
		Action: func(_ context.Context, c *cli.Command) error {
			var errs []error
			for _, name := range scenarios.Names() {
				s, err := loadScenario(name)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintf(c.Root().Writer, "%-18s %6s  %s\n", name, s.Duration.D(), s.Description)
			}
			return errors.Join(errs...)
		},
	}
}
