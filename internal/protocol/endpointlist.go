package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// State is what discovery says of a destination.
type State uint8

// The states of a destination.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// EndpointList is discovery's list of destinations, whole or only what changed.
type EndpointList struct {
	Index     int64
	Snapshot  bool
	Endpoints []Endpoint
}

// Destination is an entry of an endpoint list.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Kind    string
	Group   int
	State   State
	Weight  float64
	SinceMS int64
}

// ReadEndpointList decodes an endpoint list. One bad entry spoils it whole: a list that is partly believed would tell the
// module that what was left out is gone.
func ReadEndpointList(text []byte) (EndpointList, error) {
	var raw struct {
		Index     *int64
		Snapshot  bool
		Endpoints []struct {
			Name, Address, Zone, Type, Status string
			Group                             int
			Weight                            float64
			SinceMS                           int64 `json:"since_ms"`
		}
	}
	var list EndpointList
	if err := json.Unmarshal(text, &raw); err != nil {
		return list, fmt.Errorf("endpoint list: %w", err)
	}
	if raw.Index == nil {
		return list, fmt.Errorf("endpoint list: index is missing")
	}
	list.Index, list.Snapshot = *raw.Index, raw.Snapshot
	for i, e := range raw.Endpoints {
		d := Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, Group: e.Group, Weight: e.Weight,
			SinceMS: max(e.SinceMS, 0)}
		switch e.Status {
		case "Ready":
			d.State = Ready
		case "Terminating":
			d.State = Draining
		case "Gone":
			d.State = Gone
		default:
			return list, fmt.Errorf("endpoint list: entry %d: unknown status %q", i, e.Status)
		}
		if d.Name == "" {
			return list, fmt.Errorf("endpoint list: entry %d has no name", i)
		}
		if _, err := netip.ParseAddrPort(d.Address); err != nil && d.State != Gone {
			return list, fmt.Errorf("endpoint list: entry %d: %w", i, err)
		}
		list.Endpoints = append(list.Endpoints, d)
	}
	return list, nil
}

// words are the states as discovery writes them.
var words = map[State]string{Ready: "Ready", Draining: "Terminating", Gone: "Gone"}

// Text is an endpoint list as discovery writes it, on one line.
func (c EndpointList) Encode() ([]byte, error) {
	type entry struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Kind    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		SinceMS int64   `json:"since_ms"`
	}
	raw := struct {
		Index     int64   `json:"index"`
		Whole     bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{c.Index, c.Snapshot, make([]entry, 0, len(c.Endpoints))}
	for _, d := range c.Endpoints {
		raw.Endpoints = append(raw.Endpoints, entry{d.Name, d.Address, d.Zone, d.Kind, d.Group, words[d.State], d.Weight, d.SinceMS})
	}
	return json.Marshal(raw)
}
