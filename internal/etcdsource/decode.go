// Package etcdsource watches the endpoints of a pool in etcd: it lists the keys at a revision and watches from the next one on.
package etcdsource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"kitewood/balance"
	"kitewood/internal/routing"
)

// The formats that values may have.
const (
	FormPlain  = "kitewood" // JSON as described in docs/membership.md
	FormNaming = "naming"   // the format of etcd's naming/endpoints package, which gRPC's resolver reads
)

// Decode decodes the value of a key as an endpoint. name is the part of the key after the prefix.
func Decode(form, name string, value []byte) (routing.Member, error) {
	if name == "" {
		return routing.Member{}, fmt.Errorf("key without a name after the prefix")
	}
	m := routing.Member{Name: name, State: balance.Ready, Weight: 1}
	if form == FormNaming {
		var v struct{ Addr string }
		if err := json.Unmarshal(value, &v); err != nil {
			return m, err
		}
		m.Address = v.Addr
	} else {
		var v struct {
			Address string  `json:"address"`
			State   string  `json:"state"`
			Zone    string  `json:"zone"`
			Kind    string  `json:"kind"`
			Group   int     `json:"group"`
			Weight  float64 `json:"weight"`
			Started string  `json:"started"`
		}
		d := json.NewDecoder(bytes.NewReader(value))
		d.DisallowUnknownFields()
		if err := d.Decode(&v); err != nil {
			return m, err
		}
		m.Address, m.Zone, m.Kind, m.Cell = v.Address, v.Zone, v.Kind, v.Group
		switch v.State {
		case "", "ready":
		case "draining":
			m.State = balance.Draining
		default:
			return m, fmt.Errorf("state: must be ready or draining, not %q", v.State)
		}
		if v.Weight < 0 {
			return m, fmt.Errorf("weight: must be above 0, not %g", v.Weight)
		}
		if v.Weight > 0 {
			m.Weight = v.Weight
		}
		if v.Started != "" {
			t, err := time.Parse(time.RFC3339, v.Started)
			if err != nil {
				return m, fmt.Errorf("started: must be a time like 2026-12-01T10:00:00Z, not %q", v.Started)
			}
			m.StartedAt = max(0, time.Duration(t.UnixNano()))
		}
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return m, fmt.Errorf("address: must be an IP address and a port, not %q", m.Address)
	}
	return m, nil
}
