package program

import (
	"context"
	"io"
	"log/slog"
	"os/signal"

	"github.com/goccy/go-yaml"

	"kitewood/internal/config"
	"kitewood/internal/pools"
)

// ServeFile runs the pools of a configuration file until a signal stops the process and nothing is owed to a client any
// more. At SIGHUP it reads the file again and takes all of it but the admin socket; a bad file changes nothing.
func ServeFile(ctx context.Context, path string, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := listen()
	defer signal.Stop(signals)
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	set := pools.New(ctx, log)
	if err := set.Apply(f); err != nil {
		return err
	}
	log.Info("serving", "name", f.Name, "listeners", len(f.Listeners), "pools", len(f.Pools), "routes", len(f.Routes))
	untilStopped(ctx, signals, log, set.Owed, func() error {
		next, err := config.Load(path)
		if err != nil {
			return err
		}
		if err := set.Apply(next); err != nil {
			return err
		}
		log.Info("configuration read again", "listeners", len(next.Listeners), "pools", len(next.Pools), "routes", len(next.Routes))
		return nil
	})
	set.Stop(ctx)
	log.Info("stopped", "owed", set.Owed())
	return nil
}

// CheckFile reads a configuration file as ServeFile would and writes the whole of it, with what it leaves out filled in.
func CheckFile(path string, out io.Writer) error {
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	text, err := yaml.Marshal(f)
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}
