package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"kitewood/balance"
)

// EntryView is an endpoint with the report of each source about it.
type EntryView struct {
	Name           string       `json:"name"`
	Address        string       `json:"address"`
	State          string       `json:"state"` // the merged state
	Reports        []ReportView `json:"words"`
	OverrideReason string       `json:"held,omitempty"` // why the state differs from the reports
}

// ReportView is the report of one source about an endpoint.
type ReportView struct {
	Source             string `json:"source"`
	State              string `json:"state"`
	AgeMS              int64  `json:"age_ms"`            // since the report was received
	StartedAtMS        int64  `json:"since_ms"`          // the endpoint's start that the report is about, Unix time; 0 for long ago
	FromEarlierHistory bool   `json:"earlier,omitempty"` // from an earlier history of the source
	Stale              bool   `json:"stale,omitempty"`   // the source is lost
}

// SourceView is the status of a source.
type SourceView struct {
	Source     string `json:"source"`
	Named      int    `json:"named"` // endpoints reported that are not gone
	History    string `json:"history"`
	Revision   int64  `json:"revision"`
	SilentMS   int64  `json:"silent_ms"` // since the last contact
	Lost       bool   `json:"lost,omitempty"`
	Outdated   int    `json:"too_old,omitempty"`    // lists and changes rejected for their older revision
	Suspicious string `json:"suspicious,omitempty"` // describes a quarantined list
}

var stateNames = map[balance.State]string{balance.Ready: "ready", balance.Draining: "draining", balance.Gone: "gone"}

// merged reports whether a Merge has evaluated a name: it is listed, or is noted as removed.
func (m *Merger) merged(name string) bool {
	_, removed := m.removedAt[name]
	return removed || m.published[name] != nil
}

// View returns the state at a time: every name that is listed or has a retained negative report, with its state as of the last Merge,
// and every source. A name that no Merge has evaluated yet is left out: it is not listed, but not gone either.
func (m *Merger) View(now time.Duration) (entries []EntryView, sources []SourceView) {
	names := map[string]bool{}
	for _, from := range m.config.Sources {
		s := m.sources[from]
		v := SourceView{Source: from, Named: s.countNamed(), History: s.position.History, Revision: s.position.Revision, Lost: s.lost, Outdated: s.outdated}
		if s.reported {
			v.SilentMS = (now - s.lastContact).Milliseconds()
		}
		if q := s.quarantine; q != nil {
			v.Suspicious = fmt.Sprintf("its list names %d of the %d before; %d stay for %.1f s more", q.listedCount, q.previousCount, len(q.missing), (q.until - now).Seconds())
		}
		sources = append(sources, v)
		for name := range s.reports {
			names[name] = true
		}
		for name := range s.earlierNegative {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !m.merged(name) {
			continue
		}
		e := EntryView{Name: name, State: stateNames[balance.Gone]}
		if r := m.published[name]; r != nil {
			e.State, e.Address = stateNames[r.State], r.Address
		}
		if f := m.flaps[name]; f != nil && f.suppressedUntil > now {
			e.OverrideReason = fmt.Sprintf("it returned %d times; held back for %.1f s more", len(f.returns), (f.suppressedUntil - now).Seconds())
		}
		for _, from := range m.config.Sources {
			s := m.sources[from]
			add := func(r *report, earlier bool) {
				if r != nil {
					e.Address = cmp.Or(e.Address, r.Address)
					e.Reports = append(e.Reports, ReportView{from, stateNames[r.State], (now - r.receivedAt).Milliseconds(), r.StartedAt.Milliseconds(), earlier, s.lost})
				}
			}
			add(s.reports[name], false)
			add(s.earlierNegative[name], true)
			if s.quarantine != nil && s.quarantine.missing[name] {
				e.OverrideReason = cmp.Or(e.OverrideReason, from+" leaves it out of a list that is not believed yet")
			}
		}
		entries = append(entries, e)
	}
	return entries, sources
}
