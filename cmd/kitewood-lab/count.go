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

// countCommand builds the count command, which aggregates the debug logs of a fleet of sidecars.
func countCommand() *cli.Command {
	return &cli.Command{
		Name: "count", Usage: "aggregate the activity of a fleet of sidecars from a directory with their debug logs", ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "per", Value: time.Second, Usage: "length of the time windows of the first table"},
			&cli.IntFlag{Name: "tier", Value: -1, Usage: "show only this tier (-1: all)"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			dir, err := singleArg(c, "folder")
			if err != nil {
				return err
			}
			if c.Duration("per") <= 0 {
				return errors.New("--per must be above 0")
			}
			logs := dir
			if _, err := os.Stat(filepath.Join(dir, "sidecars")); err == nil { // the result directory of a run
				logs = filepath.Join(dir, "sidecars")
			}
			fl, err := count.Read(logs)
			if err != nil {
				return err
			}
			printCountTables(c.Root().Writer, fl, c.Duration("per"), c.Int("tier"))
			return printLedgerAccount(c.Root().Writer, dir)
		},
	}
}

// printLedgerAccount prints the account computed from the ledger if dir is the result directory of a run or its sidecars
// directory, and nothing otherwise. It shows what reached the emulated instances and discovery, next to what the sidecars
// logged.
func printLedgerAccount(w io.Writer, dir string) error {
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
	printAccountTables(w, account.Summarize(entries, s.LedgerObjective()))
	return nil
}

// attemptStatuses lists the statuses with which attempts end, in the order of the columns.
var attemptStatuses = []string{"ok", "error", "turned away", "timed out", "connect failed", "reset", "called off", "not sent"}

// printCountTables prints activity by time window, by endpoint and by cause of connection opens. A tier below 0 selects all
// tiers.
func printCountTables(w io.Writer, fl *count.Fleet, window time.Duration, tier int) {
	header := []any{"tier", "from", "operations", "marked", "served", "busy", "failed", "attempts", "again"}
	for _, s := range attemptStatuses {
		header = append(header, s)
	}
	t := newTable(w, append(header, "opened", "asked", "lost")...)
	for _, x := range fl.Windows(window) {
		if tier >= 0 && x.Tier != tier {
			continue
		}
		row := table.Row{x.Tier, x.From, x.Requests, x.ClientRetries, x.Verdicts["served"], x.Verdicts["busy"],
			x.Verdicts["failed"], x.Attempts, x.Retries}
		for _, s := range attemptStatuses {
			row = append(row, x.Statuses[s])
		}
		t.AppendRow(append(row, x.ConnectionsOpened, x.DiscoveryCalls, x.WatchesEnded))
	}
	t.Render()

	t = newTable(w, "tier", "destination", "first sent to", "sent", "served", "most out", "under 2 s old", "under 5 s", "under 10 s",
		"under 20 s", "unserved in a row", "over")
	for _, e := range fl.Endpoints() {
		if tier < 0 || e.Tier == tier {
			t.AppendRow(table.Row{e.Tier, e.Name, e.FirstSentAt.Round(time.Millisecond), e.Sent, e.OK, e.MaxInFlight, e.ByAge[0], e.ByAge[1],
				e.ByAge[2], e.ByAge[3], e.LongestFailureRun, e.FailureRunDuration.Round(time.Millisecond)})
		}
	}
	t.Render()

	t = newTable(w, "tier", "sidecars", "attempts", "connections: first", "beside another", "again", "served, over 1.5 means")
	for _, o := range fl.ConnectionOpens() {
		if tier < 0 || o.Tier == tier {
			t.AppendRow(table.Row{o.Tier, fl.Sidecars[o.Tier], o.Attempts, o.First, o.Concurrent, o.Reopened,
				fmt.Sprintf("%.1f%%", 100*fl.SlowShare(o.Tier, 1.5))})
		}
	}
	t.Render()
}
