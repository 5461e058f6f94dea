package routing

import (
	"log/slog"

	"kitewood/balance"
)

// Metrics counts what a Loop has done since its start. Only the Loop writes them; View returns a copy.
type Metrics struct {
	Requests      uint64
	Abandoned     uint64                       // requests whose client disconnected before the answer
	Answers       [Duplicate + 1]uint64        // by verdict
	Rejected      [balance.ReasonCount]uint64  // by reason
	Failed        [balance.ReasonCount]uint64  // by reason
	Attempts      uint64                       // all attempts, including first ones
	Retries       [balance.Declined + 1]uint64 // further attempts with none in flight, by the status of the previous one
	Hedges        uint64                       // further attempts while another is in flight
	Outcomes      [balance.Declined + 1]uint64 // of attempts, by status
	EndpointLists uint64                       // endpoint lists received
	SourcesLost   uint64                       // how often the watch of the endpoint list was lost
	KeysForgotten uint64                       // keys of requests without a delivered answer that were forgotten before their time
}

// countAttempt counts an attempt of a request. It is called before the attempt is added to the request.
func (m *Metrics) countAttempt(req *Request) {
	m.Attempts++
	switch {
	case len(req.attempts) == 0:
	case req.inFlight > 0:
		m.Hedges++
	default:
		m.Retries[req.lastStatus]++
	}
}

// Counts returns the metrics that are not 0, by name.
func (m *Metrics) Counts() map[string]uint64 {
	counts := map[string]uint64{}
	add := func(name string, n uint64) {
		if n > 0 {
			counts[name] = n
		}
	}
	add("requests", m.Requests)
	add("abandoned", m.Abandoned)
	add("attempts", m.Attempts)
	add("hedges", m.Hedges)
	add("endpoint lists", m.EndpointLists)
	add("endpoint lists lost", m.SourcesLost)
	add("undelivered keys forgotten", m.KeysForgotten)
	for v, n := range m.Answers {
		add("answers: "+Verdict(v).String(), n)
	}
	for reason := range m.Rejected {
		add("refused: "+balance.Reason(reason).String(), m.Rejected[reason])
		add("failed: "+balance.Reason(reason).String(), m.Failed[reason])
	}
	for s := range m.Outcomes {
		add("outcomes: "+balance.Status(s).String(), m.Outcomes[s])
		add("retries after: "+balance.Status(s).String(), m.Retries[s])
	}
	return counts
}

// LogValue implements slog.LogValuer: the metrics are one group of a log line.
func (m *Metrics) LogValue() slog.Value {
	var attrs []slog.Attr
	for name, n := range m.Counts() {
		attrs = append(attrs, slog.Uint64(name, n))
	}
	return slog.GroupValue(attrs...)
}
