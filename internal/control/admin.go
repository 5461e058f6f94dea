package control

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"kitewood/internal/adminsocket"
	"kitewood/internal/orca"
)

// Status is the state of the control service as the admin socket reports it.
type Status struct {
	Name    string         `json:"name"`
	Proxies []ProxyStatus  `json:"proxies"`
	Reports []ReportStatus `json:"reports"`
	Drains  DrainStatus    `json:"drains"`
	// OutOfBand counts the endpoints queried for out-of-band ORCA load reports, by pool.
	OutOfBand map[string]orca.Counts `json:"out_of_band,omitempty"`
}

// ProxyStatus is the state of one xDS stream of a proxy.
type ProxyStatus struct {
	Node    string       `json:"node"`
	Peer    string       `json:"peer"`
	Delta   bool         `json:"delta"`
	SinceMS int64        `json:"since_ms"`
	Unknown []string     `json:"unknown,omitempty"` // requested resource types that are not served
	Types   []TypeStatus `json:"types"`
	// DrainAckMS is how long the proxy took to acknowledge the last drain update.
	// DrainPendingMS is how long a drain update has been waiting for its acknowledgement.
	DrainAckMS     float64 `json:"drained_ms,omitempty"`
	DrainPendingMS float64 `json:"owes_ms,omitempty"`
}

// ReportStatus describes a proxy that sends load reports, identified by its node and connection.
type ReportStatus struct {
	Proxy string `json:"proxy"`
	AgeMS int64  `json:"age_ms"` // age of its newest report
}

// TypeStatus is the state of one resource type on a stream.
type TypeStatus struct {
	Type       string `json:"type"`
	Names      int    `json:"names"` // number of subscribed resource names; -1 for a wildcard subscription
	Sent       string `json:"sent"`
	Acked      string `json:"acked"`
	WaitingMS  int64  `json:"waiting_ms,omitempty"`
	NackReason string `json:"refused,omitempty"` // why the proxy rejected the last response
}

// DrainStatus summarises the times from the first drain update on a stream to the proxy's acknowledgement.
type DrainStatus struct {
	Count int     `json:"count"` // number of samples, the last 1000 at most
	P50MS float64 `json:"p50_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Status returns the state of all proxy streams, load reports and drains.
func (s *Service) Status() Status {
	proxies, drains := s.hub.Status()
	out := Status{Name: s.file.Name, Proxies: []ProxyStatus{}, Reports: []ReportStatus{}}
	for name, p := range s.pools {
		if p.orca != nil {
			if out.OutOfBand == nil {
				out.OutOfBand = map[string]orca.Counts{}
			}
			out.OutOfBand[name] = p.orca.Counts()
		}
	}
	ages := s.reports.reportAges()
	for _, proxy := range slices.Sorted(maps.Keys(ages)) {
		out.Reports = append(out.Reports, ReportStatus{proxy, ages[proxy].Milliseconds()})
	}
	for _, p := range proxies {
		status := ProxyStatus{Node: p.Node, Peer: p.Peer, Delta: p.Delta, SinceMS: p.ConnectedFor.Milliseconds(), Unknown: p.UnknownTypes,
			DrainAckMS: ms(p.LastDrainAck), DrainPendingMS: ms(p.DrainAckPending)}
		for _, t := range p.Types {
			status.Types = append(status.Types, TypeStatus{Type: t.TypeURL, Names: t.Names, Sent: t.SentVersion, Acked: t.AckedVersion,
				WaitingMS: t.AckPending.Milliseconds(), NackReason: t.NackReason})
		}
		out.Proxies = append(out.Proxies, status)
	}
	if slices.Sort(drains); len(drains) > 0 {
		out.Drains = DrainStatus{len(drains), ms(drains[len(drains)/2]), ms(drains[len(drains)-1])}
	}
	return out
}

// ms converts a duration to milliseconds with microsecond precision.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// serveAdmin answers admin commands on the Unix socket at path until the context ends.
func serveAdmin(ctx context.Context, path string, s *Service, log *slog.Logger) error {
	return adminsocket.Serve(ctx, path, log, map[string]adminsocket.Handler{
		adminsocket.StateCommand: adminsocket.SingleValue(func() any { return s.Status() }),
		"members":                adminsocket.SingleValue(func() any { return s.Members() }),
		"members follow":         s.followMembers,
	})
}

// QueryStatus reads the Status of a running process from its admin socket.
func QueryStatus(path string) (Status, error) {
	var out Status
	return out, adminsocket.Query(path, adminsocket.StateCommand, &out)
}
