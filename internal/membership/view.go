package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"kitewood/balance"
)

// EntryView is a destination with what each source says of it.
type EntryView struct {
	Name           string       `json:"name"`
	Address        string       `json:"address"`
	State          string       `json:"state"` // that counts
	Reports        []ReportView `json:"words"`
	OverrideReason string       `json:"held,omitempty"` // why the state is not what the words say
}

// WordView is what one source says.
type ReportView struct {
	Source             string `json:"source"`
	State              string `json:"state"`
	AgeMS              int64  `json:"age_ms"`            // since it was said
	SinceMS            int64  `json:"since_ms"`          // the start that it is about, Unix time; 0 for long ago
	FromEarlierHistory bool   `json:"earlier,omitempty"` // of an earlier history of the source
	Stale              bool   `json:"stale,omitempty"`   // the source is lost
}

// SourceView is how a source stands.
type SourceView struct {
	Source     string `json:"source"`
	Named      int    `json:"named"`
	History    string `json:"history"`
	Revision   int64  `json:"revision"`
	SilentMS   int64  `json:"silent_ms"` // since it was heard
	Lost       bool   `json:"lost,omitempty"`
	TooOld     int    `json:"too_old,omitempty"` // lists and changes of an older revision that were not taken
	Suspicious string `json:"suspicious,omitempty"`
}

var words = map[balance.State]string{balance.Ready: "ready", balance.Draining: "draining", balance.Gone: "gone"}

// View tells what is known at a time: every name that is listed or of which a bad word is kept, and every source.
func (m *Merger) View(now time.Duration) (entries []EntryView, sources []SourceView) {
	names := map[string]bool{}
	for _, from := range m.c.Sources {
		s := m.sources[from]
		v := SourceView{Source: from, Named: s.named(), History: s.at.History, Revision: s.at.Revision, Lost: s.lost, TooOld: s.old}
		if s.spoken {
			v.SilentMS = (now - s.heard).Milliseconds()
		}
		if h := s.hold; h != nil {
			v.Suspicious = fmt.Sprintf("its list names %d of the %d before; %d stay for %.1f s more", h.named, h.before, len(h.missing), (h.until - now).Seconds())
		}
		sources = append(sources, v)
		for name := range s.words {
			names[name] = true
		}
		for name := range s.before {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		e := EntryView{Name: name, State: words[balance.Gone]}
		if w := m.shown[name]; w != nil {
			e.State, e.Address = words[w.State], w.Address
		}
		if f := m.flaps[name]; f != nil && f.until > now {
			e.OverrideReason = fmt.Sprintf("it returned %d times; held back for %.1f s more", len(f.returns), (f.until - now).Seconds())
		}
		for _, from := range m.c.Sources {
			s := m.sources[from]
			say := func(w *word, earlier bool) {
				if w != nil {
					e.Address = cmp.Or(e.Address, w.Address)
					e.Reports = append(e.Reports, ReportView{from, words[w.State], (now - w.came).Milliseconds(), w.StartedAt.Milliseconds(), earlier, s.lost})
				}
			}
			say(s.words[name], false)
			say(s.before[name], true)
			if s.hold != nil && s.hold.missing[name] {
				e.OverrideReason = cmp.Or(e.OverrideReason, from+" leaves it out of a list that is not believed yet")
			}
		}
		entries = append(entries, e)
	}
	return entries, sources
}
