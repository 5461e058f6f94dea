// Package directory offers a pool's list of destinations to sidecars by the platform's discovery protocol: the whole list, or a
// watch that tells what changes.
package directory

import (
	"cmp"
	"maps"
	"slices"

	"kitewood/internal/protocol"
)

// kept is how many changes are kept for those who come back. Whoever was away for longer gets the whole list.
const kept = 1024

// An index is a time in milliseconds, moved left by tagBits, and the tag of this run of this service: it grows over restarts as
// the clock does, and no other service or run gives out the same, so that a sidecar which comes from another gets the whole
// list. It stays below 2^53, which every reader of JSON can hold, until the year 2248.
const tagBits = 10

// change is what one publication changed.
type change struct {
	index int64
	line  []byte
}

// History is a list with its last changes: a core without a socket or a clock. It is not safe for concurrent use.
type History struct {
	tag     int64
	index   int64 // 0 before the first list
	first   int64 // index from which on all changes are kept
	members map[string]protocol.Endpoint
	changes []change
	whole   []byte // of index; nil if it has not been asked for
}

// NewHistory returns a History without a list. tag tells this run of this service from others.
func NewHistory(tag uint64) *History {
	return &History{tag: int64(tag % (1 << tagBits)), members: map[string]protocol.Endpoint{}}
}

// Publish takes what changed at a Unix time in milliseconds; destinations that are gone leave the list. The first call is the
// whole list.
func (h *History) Publish(nowMS int64, changed []protocol.Endpoint) error {
	index := max(nowMS, h.index>>tagBits+1)<<tagBits | h.tag
	line, err := protocol.EndpointList{Index: index, Snapshot: h.index == 0, Endpoints: changed}.Encode()
	if err != nil {
		return err
	}
	for _, d := range changed {
		if d.State == protocol.Gone {
			delete(h.members, d.Name)
		} else {
			h.members[d.Name] = d
		}
	}
	if h.whole = nil; h.index == 0 {
		h.first, h.whole = index, line
	} else {
		if len(h.changes) == kept {
			h.first = h.changes[0].index
			h.changes = slices.Delete(h.changes, 0, 1)
		}
		h.changes = append(h.changes, change{index, line})
	}
	h.index = index
	return nil
}

// Index is the version of the list, 0 before the first.
func (h *History) Index() int64 { return h.index }

// Whole is the whole list on one line.
func (h *History) Whole() ([]byte, error) {
	if h.whole == nil {
		list := protocol.EndpointList{Index: h.index, Snapshot: true}
		list.Endpoints = slices.SortedFunc(maps.Values(h.members), func(a, b protocol.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		var err error
		if h.whole, err = list.Encode(); err != nil {
			return nil, err
		}
	}
	return h.whole, nil
}

// Since are the lines that lead from an index to the newest: those of the changes if the index was given out by this History and
// they are kept, else the whole list.
func (h *History) Since(index int64) ([][]byte, error) {
	if index != h.first {
		at, found := slices.BinarySearchFunc(h.changes, index, func(c change, i int64) int { return cmp.Compare(c.index, i) })
		if !found {
			line, err := h.Whole()
			return [][]byte{line}, err
		}
		return lines(h.changes[at+1:]), nil
	}
	return lines(h.changes), nil
}

func lines(all []change) [][]byte {
	out := make([][]byte, len(all))
	for i, c := range all {
		out[i] = c.line
	}
	return out
}
