package account

import (
	"time"

	"kitewood/internal/lab/ledger"
)

// immediateRejection is the time within which the first tier rejects a request that it did not queue for free capacity.
const immediateRejection = 20 * time.Millisecond

// RetriesAfterRejection counts, between two times, the retries of clients that a first-tier sidecar has rejected at once, and
// those retries that were admitted: where all sidecars reject alike, a retry at another one gains nothing. Entries are in
// order of time.
func RetriesAfterRejection(entries []ledger.Entry, from, to time.Duration) (retries, admitted int) {
	sent, reached := map[string]*ledger.Entry{}, map[string]bool{}
	rejected := map[int]bool{}
	var retryIDs []string
	for i := range entries {
		e := &entries[i]
		if e.Tier != 0 {
			continue
		}
		switch e.Kind {
		case ledger.RequestSent:
			if sent[e.ID] = e; rejected[e.ClientRequest] && e.At >= from && e.At < to {
				retryIDs = append(retryIDs, e.ID)
			}
		case ledger.AttemptArrived:
			reached[e.ID] = true
		case ledger.Answered:
			req := sent[e.ID]
			if req != nil && req.ClientRequest > 0 && req.At >= from && e.Status == 503 && e.At-req.At < immediateRejection && !reached[e.ID] {
				rejected[req.ClientRequest] = true
			}
		}
	}
	for _, id := range retryIDs {
		if reached[id] {
			admitted++
		}
	}
	return len(retryIDs), admitted
}
