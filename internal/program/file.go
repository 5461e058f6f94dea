package program

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"kitewood/internal/config"
	"kitewood/internal/pools"
	"kitewood/internal/yamlfile"
)

// ServeFile runs the pools of a configuration file until a signal stops the process and no requests are pending. On SIGHUP it
// reads the file again and applies all of it except the admin socket path; an invalid file changes nothing.
func ServeFile(ctx context.Context, path string, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := notifySignals()
	defer signal.Stop(signals)
	f, inForce, err := readConfig(path, nil)
	if err != nil {
		return err
	}
	set := pools.New(ctx, log)
	if err := set.Apply(f); err != nil {
		return err
	}
	if f.Admin != "" {
		if err := set.ServeAdmin(ctx, f.Admin); err != nil {
			return fmt.Errorf("admin: %w", err)
		}
	}
	log.Info("serving", "name", f.Name, "listeners", len(f.Listeners), "pools", len(f.Pools), "routes", len(f.Routes))
	waitForStop(ctx, signals, log, set.PendingRequests, func() error {
		next, text, err := readConfig(path, inForce)
		if err != nil {
			return err
		}
		if err := set.Apply(next); err != nil {
			return err
		}
		inForce = text
		log.Info("configuration reloaded", "listeners", len(next.Listeners), "pools", len(next.Pools), "routes", len(next.Routes))
		return nil
	})
	drainCtx, cancelDrain := untilSecondSignal(ctx, signals, log)
	defer cancelDrain()
	set.Stop(drainCtx)
	log.Info("stopped", "owed", set.PendingRequests())
	return nil
}

// readConfig reads a configuration file that is to replace the text in force, and returns its text with it.
func readConfig(path string, inForce []byte) (*config.File, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	if err := yamlfile.CheckEndMark(path, inForce, text); err != nil {
		return nil, nil, err
	}
	f, err := config.Read(path, text)
	return f, text, err
}

// CheckFile reads a configuration file like ServeFile and writes it with all defaults.
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

// ShowPools reads the status of the process that serves a configuration file from its admin socket and writes it.
func ShowPools(path string, asJSON bool, out io.Writer) error {
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	if f.Admin == "" {
		return fmt.Errorf("%s: admin is not set: the process has no admin socket", path)
	}
	status, err := pools.ReadStatus(f.Admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(status)
	}
	return writeTable(out, status)
}

// writeTable writes a status as tables.
func writeTable(out io.Writer, s pools.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\t%d pools\t%d goroutines\t%d KB\n\n", s.Name, len(s.Pools), s.Goroutines, s.MemoryKB)
	fmt.Fprintln(w, "POOL\tSTATE\tOPEN\tPARKED\tLEVEL\tBELOW\tLIMIT\tUSED\tGUARANTEED\tMOST\tBORROWED")
	for _, p := range s.Pools {
		state := "serving"
		switch {
		case p.Unresponsive:
			state = "stuck"
		case p.Retired:
			state = "retired"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t\t\t\t\t\n", p.Name, state, p.Pending, p.Queued, p.ShedLevel, p.DownstreamShed)
		for _, key := range slices.Sorted(maps.Keys(p.Shares)) {
			u := p.Shares[key]
			maxUnits := "-"
			if u.Max > 0 {
				maxUnits = strconv.Itoa(u.Max)
			}
			fmt.Fprintf(w, "\t\t\t\t\t\t%s\t%d\t%d\t%s\t%d\n", key, u.Used, u.Guaranteed, maxUnits, u.Borrowed)
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "LIMIT\tUSED\tWHOLE")
	for _, key := range slices.Sorted(maps.Keys(s.Limits)) {
		fmt.Fprintf(w, "%s\t%d\t%d\n", key, s.Limits[key].Used, s.Limits[key].Total)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "DESTINATION\tPOOL\tADDRESS\tSTATE\tWEIGHT\tUTILISATION\tFAILED\tIN FLIGHT\tHELD OFF")
	for _, p := range s.Pools {
		for _, e := range p.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%d\t%dms\n", e.Name, p.Name, e.Address, e.State, e.Weight, e.Utilisation, e.FailureRatio,
				e.InFlight, e.EjectedMS)
		}
	}
	return w.Flush()
}
