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

// Status is what the admin socket shows.
type Status struct {
	Name    string         `json:"name"`
	Proxies []ProxyStatus  `json:"proxies"`
	Reports []ReportStatus `json:"reports"`
	Drains  DrainStatus    `json:"drains"`
	// OutOfBand is, by pool, how many destinations are asked for their load out of band.
	OutOfBand map[string]orca.Counts `json:"out_of_band,omitempty"`
}

// ProxyStatus is a stream of a proxy.
type ProxyStatus struct {
	Node    string       `json:"node"`
	Peer    string       `json:"peer"`
	Delta   bool         `json:"delta"`
	SinceMS int64        `json:"since_ms"`
	Unknown []string     `json:"unknown,omitempty"` // types that it asked for and that are not served
	Types   []TypeStatus `json:"types"`
	// DrainedMS is how long it took to answer the last word of a drain, OwesMS how long one has had no answer.
	DrainedMS float64 `json:"drained_ms,omitempty"`
	OwesMS    float64 `json:"owes_ms,omitempty"`
}

// ReportStatus is a proxy that reports loads, by its node and connection.
type ReportStatus struct {
	Proxy string `json:"proxy"`
	AgeMS int64  `json:"age_ms"` // of its newest report
}

// TypeStatus is how a stream stands with a type.
type TypeStatus struct {
	Type      string `json:"type"`
	Names     int    `json:"names"` // asked for; -1 for all
	Sent      string `json:"sent"`
	Acked     string `json:"acked"`
	WaitingMS int64  `json:"waiting_ms,omitempty"`
	Refused   string `json:"refused,omitempty"` // why the last response was not accepted
}

// DrainStatus are the times from the first word of a drain on a stream to the proxy's answer.
type DrainStatus struct {
	Count int     `json:"count"` // of the last thousand
	P50MS float64 `json:"p50_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Status tells how the proxies stand.
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
	ages := s.reports.ages()
	for _, proxy := range slices.Sorted(maps.Keys(ages)) {
		out.Reports = append(out.Reports, ReportStatus{proxy, ages[proxy].Milliseconds()})
	}
	for _, p := range proxies {
		x := ProxyStatus{Node: p.Node, Peer: p.Peer, Delta: p.Delta, SinceMS: p.ConnectedFor.Milliseconds(), Unknown: p.UnknownTypes,
			DrainedMS: ms(p.LastDrainAck), OwesMS: ms(p.DrainAckPending)}
		for _, t := range p.Types {
			x.Types = append(x.Types, TypeStatus{Type: t.TypeURL, Names: t.Names, Sent: t.SentVersion, Acked: t.AckedVersion,
				WaitingMS: t.AckPending.Milliseconds(), Refused: t.NackReason})
		}
		out.Proxies = append(out.Proxies, x)
	}
	if slices.Sort(drains); len(drains) > 0 {
		out.Drains = DrainStatus{len(drains), ms(drains[len(drains)/2]), ms(drains[len(drains)-1])}
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func admin(ctx context.Context, path string, s *Service, log *slog.Logger) error {
	return adminsocket.Serve(ctx, path, log, map[string]adminsocket.Handler{
		adminsocket.StateCommand: adminsocket.SingleValue(func() any { return s.Status() }),
		"members":                adminsocket.SingleValue(func() any { return s.Members() }),
		"members follow":         s.followMembers,
	})
}

// Ask reads the Status of a process from its admin socket.
func Ask(path string) (Status, error) {
	var out Status
	return out, adminsocket.Query(path, adminsocket.StateCommand, &out)
}
