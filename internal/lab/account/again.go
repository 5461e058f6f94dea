package account

import (
	"time"

	"kitewood/internal/lab/ledger"
)

// refusedAtOnce is how soon a refusal at the entry comes that is no wait for room.
const refusedAtOnce = 20 * time.Millisecond

// Again counts, from one time to another, the further tries of clients that the entry has refused at once, and those of them
// that were let in: where all sidecars refuse the same, asking elsewhere wins nothing. Entries are in order of time.
func RetriesAfterRejection(entries []ledger.Entry, from, to time.Duration) (tries, letIn int) {
	asked, reached := map[string]*ledger.Entry{}, map[string]bool{}
	refused := map[int]bool{}
	var later []string
	for i := range entries {
		e := &entries[i]
		if e.Tier != 0 {
			continue
		}
		switch e.Kind {
		case ledger.RequestSent:
			if asked[e.ID] = e; refused[e.ClientRequest] && e.At >= from && e.At < to {
				later = append(later, e.ID)
			}
		case ledger.AttemptArrived:
			reached[e.ID] = true
		case ledger.Answered:
			a := asked[e.ID]
			if a != nil && a.ClientRequest > 0 && a.At >= from && e.Status == 503 && e.At-a.At < refusedAtOnce && !reached[e.ID] {
				refused[a.ClientRequest] = true
			}
		}
	}
	for _, id := range later {
		if reached[id] {
			letIn++
		}
	}
	return len(later), letIn
}
