// Package etcdsource follows a pool's destinations in etcd: a list at a revision, and a watch from the next one on.
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

// The forms that values may have.
const (
	FormPlain  = "kitewood" // docs/membership.md
	FormNaming = "naming"   // of etcd's naming/endpoints package, which gRPC's resolver reads
)

// Decode reads the value of a key as a destination. The key's rest behind the prefix is its name.
func Decode(form, name string, value []byte) (routing.Member, error) {
	if name == "" {
		return routing.Member{}, fmt.Errorf("a key without a name behind the prefix")
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
			return m, fmt.Errorf("state: ready or draining, not %q", v.State)
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
				return m, fmt.Errorf("started: a time like 2026-12-01T10:00:00Z is wanted, not %q", v.Started)
			}
			m.StartedAt = max(0, time.Duration(t.UnixNano()))
		}
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return m, fmt.Errorf("address: an IP and a port are wanted, not %q", m.Address)
	}
	return m, nil
}
