package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"kitewood/internal/adminsocket"
	"kitewood/internal/membership"
)

// MembersStatus is what is known of a pool's destinations.
type MembersStatus struct {
	Pool    string                  `json:"pool"`
	Sources []membership.SourceView `json:"sources"`
	Entries []membership.EntryView  `json:"destinations"`
	Watches int                     `json:"watches"` // of sidecars, where the list is served
}

// Members tells what is known of all pools' destinations.
func (s *Service) Members() []MembersStatus {
	out := []MembersStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		m := s.pools[name].members
		x := MembersStatus{Pool: name}
		x.Entries, x.Sources, _ = m.view()
		if m.server != nil {
			x.Watches = m.server.Watches()
		}
		out = append(out, x)
	}
	return out
}

// MemberChange is a destination of which something has changed.
type MemberChange struct {
	Pool string               `json:"pool"`
	Now  membership.EntryView `json:"now"`
}

// followMembers sends each change of a destination's state, after all that there are.
func (s *Service) followMembers(ctx context.Context, send func(any) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := make(chan MemberChange)
	for name, p := range s.pools {
		go func() {
			shown := map[string]string{}
			for {
				entries, _, more := p.members.view()
				there := map[string]bool{}
				for _, e := range entries {
					there[e.Name] = true
					if state := e.State + e.Address + e.OverrideReason; shown[e.Name] != state {
						shown[e.Name] = state
						select {
						case changes <- MemberChange{name, e}:
						case <-ctx.Done():
							return
						}
					}
				}
				maps.DeleteFunc(shown, func(n, _ string) bool { return !there[n] })
				select {
				case <-more:
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

// AskMembers reads what a process knows of its pools' destinations from its admin socket.
func QueryMembers(path string) ([]MembersStatus, error) {
	var out []MembersStatus
	return out, adminsocket.Query(path, "members", &out)
}

// FollowMembers hands on each change of a destination until the context ends.
func FollowMembers(ctx context.Context, path string, take func(MemberChange) error) error {
	return adminsocket.Stream(ctx, path, "members follow", func(text json.RawMessage) error {
		var c MemberChange
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		return take(c)
	})
}
