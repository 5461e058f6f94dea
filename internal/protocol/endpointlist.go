package protocol

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// State is the state of an endpoint as reported by discovery.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota + 1 // accepts new requests
	Draining                  // is shutting down and must get no new requests
	Gone                      // no longer exists
)

// EndpointList is one version of the endpoints known to discovery: either a full snapshot or the changes since the
// previous version.
type EndpointList struct {
	Index     int64 // version of the list
	Snapshot  bool  // all endpoints, not only changes
	Endpoints []Endpoint
}

// Endpoint is one entry of an EndpointList.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	Kind    string
	Group   int
	State   State
	Weight  float64
	SinceMS int64 // Unix time of the last start in milliseconds; 0 for long ago
}

// ReadEndpointList decodes an endpoint list from JSON. One invalid entry makes the whole list invalid: in a partially
// accepted snapshot, the decision module would treat the omitted endpoints as gone.
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
		endpoint := Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Type, Group: e.Group, Weight: e.Weight,
			SinceMS: max(e.SinceMS, 0)}
		switch e.Status {
		case "Ready":
			endpoint.State = Ready
		case "Terminating":
			endpoint.State = Draining
		case "Gone":
			endpoint.State = Gone
		default:
			return list, fmt.Errorf("endpoint list: entry %d: unknown status %q", i, e.Status)
		}
		if endpoint.Name == "" {
			return list, fmt.Errorf("endpoint list: entry %d has no name", i)
		}
		if _, err := netip.ParseAddrPort(endpoint.Address); err != nil && endpoint.State != Gone {
			return list, fmt.Errorf("endpoint list: entry %d: %w", i, err)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// statusNames maps states to the status values used by discovery.
var statusNames = map[State]string{Ready: "Ready", Draining: "Terminating", Gone: "Gone"}

// Encode returns the endpoint list in discovery's JSON format, on a single line.
func (l EndpointList) Encode() ([]byte, error) {
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
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{l.Index, l.Snapshot, make([]entry, 0, len(l.Endpoints))}
	for _, e := range l.Endpoints {
		raw.Endpoints = append(raw.Endpoints, entry{e.Name, e.Address, e.Zone, e.Kind, e.Group, statusNames[e.State], e.Weight, e.SinceMS})
	}
	return json.Marshal(raw)
}
