package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"kitewood/internal/control"
	"kitewood/internal/membership"
)

// members writes the merged lists of the process behind an admin socket, or each change of them until Ctrl-C.
func members(ctx context.Context, out io.Writer, socket string, asJSON, follow bool) error {
	lines := json.NewEncoder(out)
	if follow {
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		err := control.FollowMembers(ctx, socket, func(c control.MemberChange) error {
			if asJSON {
				return lines.Encode(c)
			}
			_, err := fmt.Fprintf(out, "%s  %s  %s  %s  %s\n", c.Pool, c.Now.Name, c.Now.State, c.Now.Address, told(c.Now))
			return err
		})
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	all, err := control.QueryMembers(socket)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	if asJSON {
		lines.SetIndent("", "  ")
		return lines.Encode(all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, p := range all {
		fmt.Fprintf(w, "POOL %s, %d watches of sidecars\n\nSOURCE\tNAMED\tREVISION\tSILENT\tSTATE\n", p.Pool, p.Watches)
		for _, s := range p.Sources {
			state := s.Suspicious
			if s.Lost {
				state = strings.TrimSpace("lost " + state)
			}
			fmt.Fprintf(w, "%s\t%d\t%s %d\t%dms\t%s\n", s.Source, s.Named, s.History, s.Revision, s.SilentMS, state)
		}
		fmt.Fprintln(w, "\nDESTINATION\tADDRESS\tSTATE\tSAID BY")
		for _, e := range p.Entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Name, e.Address, e.State, told(e))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// told is who says what of a destination, and why it is held.
func told(e membership.EntryView) string {
	var out []string
	for _, w := range e.Reports {
		text := fmt.Sprintf("%s: %s for %d ms", w.Source, w.State, w.AgeMS)
		if w.FromEarlierHistory {
			text += " (before it was restored)"
		}
		if w.Stale {
			text += " (lost)"
		}
		out = append(out, text)
	}
	if e.OverrideReason != "" {
		out = append(out, e.OverrideReason)
	}
	return strings.Join(out, ", ")
}
