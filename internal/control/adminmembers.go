package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"kitewood/internal/adminsocket"
	"kitewood/internal/membership"
)

// MembersStatus is the merged membership of a pool and the state of its sources.
type MembersStatus struct {
	Pool    string                  `json:"pool"`
	Sources []membership.SourceView `json:"sources"`
	Entries []membership.EntryView  `json:"destinations"`
	Watches int                     `json:"watches"` // watches of sidecars, if the list is served
}

// Members returns the membership of each pool, ordered by pool name.
func (s *Service) Members() []MembersStatus {
	out := []MembersStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		m := s.pools[name].members
		status := MembersStatus{Pool: name}
		status.Entries, status.Sources, _ = m.view()
		if m.server != nil {
			status.Watches = m.server.Watches()
		}
		out = append(out, status)
	}
	return out
}

// MemberChange is an endpoint whose state, address or override reason has changed.
type MemberChange struct {
	Pool string               `json:"pool"`
	Now  membership.EntryView `json:"now"`
}

// followMembers sends the current state of every endpoint, then each change, until the context ends.
func (s *Service) followMembers(ctx context.Context, send func(any) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan MemberChange)
	for name, p := range s.pools {
		go func() {
			sent := map[string]string{}
			for {
				entries, _, changed := p.members.view()
				listed := map[string]bool{}
				for _, e := range entries {
					listed[e.Name] = true
					if state := e.State + e.Address + e.OverrideReason; sent[e.Name] != state {
						sent[e.Name] = state
						select {
						case changes <- MemberChange{name, e}:
						case <-ctx.Done():
							return
						}
					}
				}
				maps.DeleteFunc(sent, func(n, _ string) bool { return !listed[n] })
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	for {
		select {
		case c := <-changes:
			if err := send(c); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// QueryMembers reads the membership of each pool of a running process from its admin socket.
func QueryMembers(path string) ([]MembersStatus, error) {
	var out []MembersStatus
	return out, adminsocket.Query(path, "members", &out)
}

// FollowMembers passes each membership change to handle until the context ends or handle returns an error.
func FollowMembers(ctx context.Context, path string, handle func(MemberChange) error) error {
	return adminsocket.Stream(ctx, path, "members follow", func(text json.RawMessage) error {
		var c MemberChange
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		return handle(c)
	})
}
