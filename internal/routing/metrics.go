package routing

import (
	"log/slog"

	"kitewood/balance"
)

// Metrics count what a Loop has done since its start. The Loop alone writes them; others get a copy by View.
type Metrics struct {
	Requests      uint64
	Abandoned     uint64                       // their clients left before the answer
	Answers       [Duplicate + 1]uint64        // by verdict
	Rejected      [balance.ReasonCount]uint64  // by reason
	Failed        [balance.ReasonCount]uint64  // by reason
	Attempts      uint64                       // all, first ones too
	Retries       [balance.Declined + 1]uint64 // further attempts with none out, by how the one before ended
	Hedges        uint64                       // further attempts beside one that is out
	Outcomes      [balance.Declined + 1]uint64 // of attempts, by status
	EndpointLists uint64                       // endpoint lists taken
	SourcesLost   uint64                       // times that no source of lists was left
}

// attempt counts an attempt of an operation that is about to begin.
func (m *Metrics) attempt(op *Request) {
	m.Attempts++
	switch {
	case len(op.attempts) == 0:
	case op.out > 0:
		m.Hedges++
	default:
		m.Retries[op.lastStatus]++
	}
}

// Counts are the metrics by name, those that are 0 left out.
func (m *Metrics) Counts() map[string]uint64 {
	out := map[string]uint64{}
	add := func(name string, n uint64) {
		if n > 0 {
			out[name] = n
		}
	}
	add("requests", m.Requests)
	add("abandoned", m.Abandoned)
	add("attempts", m.Attempts)
	add("hedges", m.Hedges)
	add("endpoint lists", m.EndpointLists)
	add("endpoint lists lost", m.SourcesLost)
	for v, n := range m.Answers {
		add("answers: "+Verdict(v).String(), n)
	}
	for why := range m.Rejected {
		add("refused: "+balance.Reason(why).String(), m.Rejected[why])
		add("failed: "+balance.Reason(why).String(), m.Failed[why])
	}
	for s := range m.Outcomes {
		add("outcomes: "+balance.Status(s).String(), m.Outcomes[s])
		add("retries after: "+balance.Status(s).String(), m.Retries[s])
	}
	return out
}

// LogValue shows the metrics as one group of a log line.
func (m *Metrics) LogValue() slog.Value {
	var all []slog.Attr
	for name, n := range m.Counts() {
		all = append(all, slog.Uint64(name, n))
	}
	return slog.GroupValue(all...)
}
