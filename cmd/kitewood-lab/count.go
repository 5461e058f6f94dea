package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"kitewood/internal/lab/account"
	"kitewood/internal/lab/count"
	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/results"
	"kitewood/internal/lab/scenario"
)

func countCommand() *cli.Command {
	return &cli.Command{
		Name: "count", Usage: "add up what the sidecars of a fleet did together, from a folder of their logs at debug level", ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "per", Value: time.Second, Usage: "length of the stretches that are counted"},
			&cli.IntFlag{Name: "tier", Value: -1, Usage: "show one tier alone"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			dir, err := one(c, "folder")
			if err != nil {
				return err
			}
			if c.Duration("per") <= 0 {
				return errors.New("--per must be above 0")
			}
			logs := dir
			if _, err := os.Stat(filepath.Join(dir, "sidecars")); err == nil { // a run's folder
				logs = filepath.Join(dir, "sidecars")
			}
			f, err := count.Read(logs)
			if err != nil {
				return err
			}
			countTables(c.Root().Writer, f, c.Duration("per"), c.Int("tier"))
			return countLedger(c.Root().Writer, dir)
		},
	}
}

// countLedger adds the fleet's account where the folder is a run's, or the sidecars' inside one: what reached the stand-ins
// beside what the sidecars say.
func countLedger(w io.Writer, dir string) error {
	if _, err := os.Stat(filepath.Join(dir, results.LedgerFile)); err != nil {
		dir = filepath.Dir(filepath.Clean(dir))
	}
	entries, err := results.ReadLines[ledger.Entry](dir, results.LedgerFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	s, err := scenario.Load(filepath.Join(dir, results.ScenarioFile))
	if err != nil {
		return err
	}
	accountTables(w, account.Summarize(entries, s.LedgerObjective()))
	return nil
}

// shown are the ways that attempts end, in the order of the columns.
var shown = []string{"ok", "error", "turned away", "timed out", "connect failed", "reset", "called off", "not sent"}

func countTables(w io.Writer, f *count.Fleet, per time.Duration, only int) {
	head := []any{"tier", "from", "operations", "marked", "served", "busy", "failed", "attempts", "again"}
	for _, s := range shown {
		head = append(head, s)
	}
	t := newTable(w, append(head, "opened", "asked", "lost")...)
	for _, x := range f.Windows(per) {
		if only >= 0 && x.Tier != only {
			continue
		}
		row := table.Row{x.Tier, x.From, x.Requests, x.ClientRetries, x.Verdicts["served"], x.Verdicts["busy"],
			x.Verdicts["failed"], x.Attempts, x.Retries}
		for _, s := range shown {
			row = append(row, x.Statuses[s])
		}
		t.AppendRow(append(row, x.ConnectionsOpened, x.DiscoveryCalls, x.WatchesEnded))
	}
	t.Render()

	t = newTable(w, "tier", "destination", "first sent to", "sent", "served", "most out", "under 2 s old", "under 5 s", "under 10 s",
		"under 20 s", "unserved in a row", "over")
	for _, d := range f.Endpoints() {
		if only < 0 || d.Tier == only {
			t.AppendRow(table.Row{d.Tier, d.Name, d.FirstSentAt.Round(time.Millisecond), d.Sent, d.OK, d.MaxInFlight, d.ByAge[0], d.ByAge[1],
				d.ByAge[2], d.ByAge[3], d.LongestFailureRun, d.FailureRunDuration.Round(time.Millisecond)})
		}
	}
	t.Render()

	t = newTable(w, "tier", "sidecars", "attempts", "connections: first", "beside another", "again", "served, over 1.5 means")
	for _, o := range f.ConnectionOpens() {
		if only < 0 || o.Tier == only {
			t.AppendRow(table.Row{o.Tier, f.Sidecars[o.Tier], o.Attempts, o.First, o.Concurrent, o.Reopened,
				fmt.Sprintf("%.1f%%", 100*f.SlowShare(o.Tier, 1.5))})
		}
	}
	t.Render()
}
